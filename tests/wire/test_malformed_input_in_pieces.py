"""Malformed input is rejected at the byte that decides it, however the bytes are split into pieces.

Otherwise a parser waits for bytes that the other side need not send: an attempt until its timeout, a client
until its command times out. The changed messages are enumerated, so that each run has the same cases.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from pebblepass.wire import resp
from pebblepass.wire.answers import AnswerFormatError, AnswerParser
from pebblepass.wire.resp import LONG_VALUE_BYTES, CommandReader, bulk, command

REPLACEMENTS = b"\r\n$*:+-0129kX"


def changed_messages(message: bytes) -> Iterator[bytes]:
    """Yield the message with each of its bytes replaced, dropped or doubled, and some continued."""
    for position in range(len(message)):
        before, after = message[:position], message[position + 1 :]
        yield before + after
        yield before + message[position : position + 1] * 2 + after
        for byte in REPLACEMENTS:
            yield before + bytes([byte]) + after


def bytewise(data: bytes) -> list[bytes]:
    return [data[position : position + 1] for position in range(len(data))]


def hit(value: bytes, note: bytes = b"hit", report: bytes = b"latency_ms=1.5,queue=2") -> bytes:
    return b"*3\r\n" + bulk(value) + bulk(note) + bulk(report)


Answers = list[tuple[list[bytes | None], bytes | None]]


def parse_answers(pieces: list[bytes]) -> tuple[Answers, str, int]:
    """Return the answers, the error if there is one, and the number of bytes received until then."""
    parser, found, received = AnswerParser(), Answers(), 0
    for piece in pieces:
        parser.feed(piece)
        received += len(piece)
        try:
            while (answer := parser.next_answer()) is not None:
                found.append((answer.elements, answer.line))
        except AnswerFormatError as error:
            return found, str(error), received
    return found, "", received


@pytest.mark.parametrize(
    "answer",
    [
        hit(bytes(10)),
        hit(b""),
        b"*3\r\n$-1\r\n$4\r\nmiss\r\n$3\r\nq=1\r\n",
        b"-BUSY q=9\r\n",
        b"$3\r\nq=1\r\n",
    ],
)
def test_a_changed_answer_has_the_same_result_at_once_and_byte_by_byte(answer: bytes) -> None:
    for changed in changed_messages(answer):
        at_once, in_pieces = parse_answers([changed]), parse_answers(bytewise(changed))
        assert at_once[:2] == in_pieces[:2], changed


@pytest.mark.parametrize(
    "malformed",
    [
        # Each ends with the byte that decides: a line feed where the first byte of the line end belongs.
        hit(bytes(10)).replace(b"$22", b"$23"),
        b"*3\r\n$6\r\nvalue\r\n",
        b"*3\r\n$5\r\nvalue\r\n$4\r\nhit\r\n",
        b"$4\r\nq=1\r\n",
    ],
)
def test_an_answer_with_a_length_one_too_large_is_rejected_at_once(malformed: bytes) -> None:
    """Guards against an attempt that waits until its timeout for a byte that never comes."""
    error = "a value of another length than announced"
    for pieces in ([malformed], bytewise(malformed), [malformed[:-1], malformed[-1:]]):
        assert parse_answers(pieces) == ([], error, len(malformed))
    assert parse_answers([malformed[:-1]])[1] == ""


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (b"-ERR " + b"x" * 9000 + b"\r\n", "an invalid line"),
        (hit(b"value", report=b"x" * 9000), "a cache note or load report too long"),
    ],
)
def test_an_overlong_line_or_report_is_rejected_in_pieces_of_any_size(answer: bytes, error: str) -> None:
    for size in (len(answer), 1, 1000):
        pieces = [answer[start : start + size] for start in range(0, len(answer), size)]
        assert parse_answers(pieces)[:2] == ([], error)


def test_the_end_of_a_long_value_is_checked_at_its_first_byte() -> None:
    parser = AnswerParser()
    parser.feed(b"*3\r\n$%d\r\n" % (LONG_VALUE_BYTES + 1))
    assert parser.next_answer() is None
    parser.long_value_received()
    parser.feed(b"x")
    with pytest.raises(AnswerFormatError):
        parser.next_answer()


def parse_commands(pieces: list[bytes]) -> tuple[list[list[bytes]], str, int]:
    """Return the commands, the framing error if there is one, and the number of bytes received until then."""
    reader, found, received = CommandReader(accepts_multi_get=True), list[list[bytes]](), 0
    for piece in pieces:
        found += reader.feed(piece)
        received += len(piece)
        if reader.framing_error:
            break
    return found, reader.framing_error, received


@pytest.mark.parametrize(
    "sent",
    [
        command(b"KV.GET", b"k", b"", b""),
        command(b"KV.SET", b"key", b"id", b"c=get,d=5", b"a\r\nvalue"),
        command(b"KV.MGET", b"2", b"k1", b"k2", b"id", b"c=get,d=5"),
        command(b"PING") + command(b"KV.GET", b"key", b"id", b"c=get,d=5"),
    ],
)
def test_a_changed_command_has_the_same_result_at_once_and_byte_by_byte(sent: bytes) -> None:
    for changed in changed_messages(sent):
        at_once, in_pieces = parse_commands([changed]), parse_commands(bytewise(changed))
        assert at_once[:2] == in_pieces[:2], changed
        for cut in range(1, len(changed)):
            assert parse_commands([changed[:cut], changed[cut:]])[:2] == at_once[:2], (changed, cut)


@pytest.mark.parametrize(
    ("malformed", "error"),
    [
        # Each ends with the byte that decides.
        (b"*4\r\n$6\r\nKV.GET\r\n$1\r\n\r\n", "bulk string without its end"),
        (b"*4\r\n$6\r\nKV.GETx", "bulk string without its end"),
        (b"*4\r\n$6\r\nKV.GET\r\r", "bulk string without its end"),
        (b"*4\r\n$6\r\nKV.GET\r\n$x", "expected '$' and a length"),
        (b"*4\r\n$6\r\nKV.GET\r\n$\r", "expected '$' and a length"),
        (b"*4\r\n*", "expected '$' and a length"),
        (b"*4x", "expected '*' and a length"),
        (b"*-", "expected '*' and a length"),
    ],
)
def test_a_malformed_command_is_rejected_at_the_byte_that_decides_it(malformed: bytes, error: str) -> None:
    """Guards against a client that waits until its command times out for the error."""
    for pieces in ([malformed], bytewise(malformed), [malformed[:-1], malformed[-1:]]):
        assert parse_commands(pieces) == ([], error, len(malformed))
    assert parse_commands([malformed[:-1]])[1] == ""


def test_a_long_command_in_small_pieces_is_parsed_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against work that grows with the square of a command's length."""
    parse_length_line, parse_count = resp._length_line, 0

    def count_length_line(data: bytes | bytearray, begin: int, type_byte: bytes) -> tuple[int, int]:
        nonlocal parse_count
        parse_count += 1
        return parse_length_line(data, begin, type_byte)

    monkeypatch.setattr(resp, "_length_line", count_length_line)
    keys = [b"pkg/%d/1.0" % number for number in range(1000)]
    words = [b"KV.MGET", b"1000", *keys, b"id", b"c=get,d=5"]
    sent = command(*words)
    assert parse_commands(bytewise(sent)) == ([words], "", len(sent))
    assert parse_count < len(sent)


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_the_bytes_needed_of_a_partial_command_never_exceed_its_length(size: int) -> None:
    """The number that memory is reserved for; it reaches the length with the last length line."""
    sent = command(b"KV.SET", b"key", b"id", b"c=get,d=5", b"v" * 2000)
    reader, needed = CommandReader(), 0
    for start in range(0, len(sent), size):
        found = reader.feed(sent[start : start + size])
        assert found or needed <= reader.needed_bytes <= len(sent)
        needed = reader.needed_bytes or needed
    assert (len(found), needed, reader.needed_bytes, reader.buffered_bytes) == (1, len(sent), 0, 0)
