"""Parsing several cache answers at once gives the same as parsing them one by one, in pieces of any size."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.wire.answers import AnswerFormatError, AnswerParser
from pebblepass.wire.resp import bulk

VALUES = strategies.binary(max_size=20) | strategies.sampled_from(
    [b"", b"\r\n", b"v" * 900, b"$3\r\nhit\r\n"]
)


def hit(value: bytes, note: bytes = b"hit", load: bytes = b"q=1") -> bytes:
    return b"*3\r\n" + bulk(value) + bulk(note) + bulk(load)


ANSWERS = strategies.one_of(
    VALUES.map(hit),
    VALUES.map(lambda value: hit(value, note=b"cold")),
    strategies.just(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$3\r\nq=1\r\n"),
    strategies.just(b"-BUSY q=9\r\n"),
)


def parse_singly(data: bytes, size: int) -> list[bytes | None]:
    """Parse with `next_answer` only; return the value of each answer, or None."""
    parser, found = AnswerParser(), list[bytes | None]()
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])
        while (answer := parser.next_answer()) is not None:
            found.append(answer.elements[0] if answer.elements else None)
    return found


def parse_in_groups(data: bytes, size: int, limit: int) -> list[bytes | None]:
    """The same with `next_hits` before each `next_answer`, as the connection of a multi-get batch does."""
    parser, found = AnswerParser(), list[bytes | None]()
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])
        while True:
            entries = parser.next_hits(limit)
            assert len(entries) <= limit
            values = [entry[entry.index(b"\n") + 1 : -2] for entry in entries]
            assert entries == [bulk(value) for value in values]
            found += values
            answer = parser.next_answer()
            if answer is not None:
                found.append(answer.elements[0] if answer.elements else None)
            elif not entries:
                break
    assert not parser.has_partial_answer
    return found


@given(strategies.lists(ANSWERS, max_size=8), strategies.integers(1, 60), strategies.integers(1, 5))
def test_hits_parsed_in_groups_equal_answers_parsed_singly(
    answers: list[bytes], size: int, limit: int
) -> None:
    data = b"".join(answers)
    for piece_size in (size, max(len(data), 1)):
        assert parse_in_groups(data, piece_size, limit) == parse_singly(data, piece_size)
        assert len(parse_singly(data, piece_size)) == len(answers)


@given(strategies.lists(VALUES, min_size=1, max_size=4), strategies.data())
def test_a_changed_byte_has_the_same_result_in_groups_and_singly(
    values: list[bytes], data: strategies.DataObject
) -> None:
    sent = bytearray(b"".join(map(hit, values)))
    position = data.draw(strategies.integers(0, len(sent) - 1))
    sent[position] = data.draw(strategies.sampled_from(b"\r\n$*0129kX"))
    outcomes: list[list[bytes | None] | None] = []
    for limit in (4, 0):
        try:
            outcomes.append(parse_in_groups(bytes(sent), len(sent), limit))
        except (AnswerFormatError, AssertionError):
            outcomes.append(None)  # invalid, or incomplete
    assert outcomes[0] == outcomes[1]


def test_an_incomplete_hit_stays_buffered() -> None:
    parser = AnswerParser()
    data = hit(b"one") + hit(b"two")
    parser.feed(data[:-1])
    assert parser.next_hits(8) == [bulk(b"one")]
    assert parser.next_hits(8) == []
    parser.feed(data[-1:])
    assert parser.next_hits(8) == [bulk(b"two")]
    assert not parser.has_partial_answer


def test_a_hit_with_a_wrong_load_report_length_is_not_returned() -> None:
    parser = AnswerParser()
    parser.feed(hit(b"v").replace(b"$3\r\nq=1", b"$2\r\nq=1"))
    assert parser.next_hits(8) == []
