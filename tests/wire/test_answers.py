"""Cache servers' answers, cut many at once: the same as one by one, whatever comes and in what pieces."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.wire.answers import AnswerFormatError, AnswerParser
from pebblepass.wire.resp import bulk

VALUES = strategies.binary(max_size=20) | strategies.sampled_from(
    [b"", b"\r\n", b"v" * 900, b"$3\r\nhit\r\n"]
)


def hit(value: bytes, how: bytes = b"hit", load: bytes = b"q=1") -> bytes:
    return b"*3\r\n" + bulk(value) + bulk(how) + bulk(load)


ANSWERS = strategies.one_of(
    VALUES.map(hit),
    VALUES.map(lambda value: hit(value, how=b"cold")),
    strategies.just(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$3\r\nq=1\r\n"),
    strategies.just(b"-BUSY q=9\r\n"),
)


def one_by_one(data: bytes, size: int) -> list[bytes | None]:
    """What each answer comes to, cut by `next` alone: a value, or None."""
    parser, found = AnswerParser(), list[bytes | None]()
    for at in range(0, len(data), size):
        parser.feed(data[at : at + size])
        while (answer := parser.next_answer()) is not None:
            found.append(answer.elements[0] if answer.elements else None)
    return found


def many_at_once(data: bytes, size: int, most: int) -> list[bytes | None]:
    """The same with `hits` before each `next`, as a part's connection does."""
    parser, found = AnswerParser(), list[bytes | None]()
    for at in range(0, len(data), size):
        parser.feed(data[at : at + size])
        while True:
            entries = parser.next_hits(most)
            assert len(entries) <= most
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
def test_answers_cut_many_at_once_are_those_cut_one_by_one(
    answers: list[bytes], size: int, most: int
) -> None:
    data = b"".join(answers)
    for piece in (size, max(len(data), 1)):
        assert many_at_once(data, piece, most) == one_by_one(data, piece)
        assert len(one_by_one(data, piece)) == len(answers)


@given(strategies.lists(VALUES, min_size=1, max_size=4), strategies.data())
def test_one_byte_changed_is_never_taken_for_a_value_of_another_length(
    values: list[bytes], data: strategies.DataObject
) -> None:
    sent = bytearray(b"".join(map(hit, values)))
    at = data.draw(strategies.integers(0, len(sent) - 1))
    sent[at] = data.draw(strategies.sampled_from(b"\r\n$*0129kX"))
    outcomes: list[list[bytes | None] | None] = []
    for most in (4, 0):
        try:
            outcomes.append(many_at_once(bytes(sent), len(sent), most))
        except (AnswerFormatError, AssertionError):
            outcomes.append(None)  # broken, or more is awaited
    assert outcomes[0] == outcomes[1]


def test_what_is_not_whole_is_left_where_it_is() -> None:
    parser = AnswerParser()
    data = hit(b"one") + hit(b"two")
    parser.feed(data[:-1])
    assert parser.next_hits(8) == [bulk(b"one")]
    assert parser.next_hits(8) == []
    parser.feed(data[-1:])
    assert parser.next_hits(8) == [bulk(b"two")]
    assert not parser.has_partial_answer


def test_a_load_report_of_another_length_than_told_is_no_plain_hit() -> None:
    parser = AnswerParser()
    parser.feed(hit(b"v").replace(b"$3\r\nq=1", b"$2\r\nq=1"))
    assert parser.next_hits(8) == []
