"""Commands off the wire: the same words however their bytes come, and nothing that breaks the framing."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.wire.resp import CommandReader, command, parse_request, read_fields

# Line ends, marks and digits in the words themselves are what a reader in one step could trip over.
WORDS = strategies.binary(max_size=12) | strategies.sampled_from(
    [b"\r\n", b"a\r\nb", b"$3", b"*4", b"\r\n$1\r\n", b"", b"k" * 300, b"k" * 1100]
)
READS = strategies.tuples(strategies.just(b"KV.GET"), WORDS, WORDS, WORDS).map(list)


def in_pieces(data: bytes, size: int) -> tuple[list[list[bytes]], str]:
    reader, found = CommandReader(), []
    for at in range(0, len(data), size):
        found += reader.feed(data[at : at + size])
        if reader.framing_error:
            break
    return found, reader.framing_error


@given(READS)
def test_a_read_gives_its_words_whole_or_in_pieces(words: list[bytes]) -> None:
    data = command(*words)
    for size in (len(data), 1, 7):
        assert in_pieces(data, size) == ([words], "")


@given(strategies.lists(READS, min_size=2, max_size=4))
def test_reads_that_come_together_are_told_apart(reads: list[list[bytes]]) -> None:
    data = b"".join(command(*words) for words in reads)
    assert in_pieces(data, len(data)) == (reads, "")


@given(READS, READS, strategies.integers(1, 40))
def test_a_read_with_the_start_of_the_next(first: list[bytes], second: list[bytes], more: int) -> None:
    data = command(*first) + command(*second)
    assert in_pieces(data, len(command(*first)) + more) == ([first, second], "")


@given(READS, strategies.data())
def test_one_byte_changed_is_judged_the_same_in_one_step_as_byte_by_byte(
    words: list[bytes], data: strategies.DataObject
) -> None:
    sent = bytearray(command(*words))
    at = data.draw(strategies.integers(0, len(sent) - 1))
    sent[at] = data.draw(strategies.sampled_from(b"\r\n$*0129kX"))
    whole, why = in_pieces(bytes(sent), len(sent))
    pieces, other = in_pieces(bytes(sent), 1)
    assert (whole, why) == (pieces, other)


@pytest.mark.parametrize(
    ("info", "passed"),
    [
        (b"c=get,d=900,t=a", b"c=get,d=7,t=a"),
        (b"d=900,c=get", b"d=7,c=get"),
        (b"c=get,d=900", b"c=get,d=7"),
        (b"c=get,dd=1,d=900,x=d=2", b"c=get,dd=1,d=7,x=d=2"),
    ],
)
def test_what_is_passed_on_is_the_command_with_the_time_left(info: bytes, passed: bytes) -> None:
    read = parse_request([b"KV.GET", b"key", b"id", info])
    assert read.as_bytes(7) == command(b"KV.GET", b"key", b"id", passed)
    write = parse_request([b"KV.SET", b"key", b"id", info, b"a\r\nvalue"])
    assert write.as_bytes(7) == command(b"KV.SET", b"key", b"id", passed, b"a\r\nvalue")


@pytest.mark.parametrize(
    ("info", "problem"),
    [
        (b"c=get,t=a", "d must be a number of milliseconds"),
        (b"c=get,d=", "d must be a number of milliseconds"),
        (b"c=get,d=1s", "d must be a number of milliseconds"),
        (b"c=get,d=-5", "d must be a number of milliseconds"),
        (b"c=get,d=9999999999", "d must be a number of milliseconds"),
        (b"c=get,d=900,d=900", "d must stand once"),
        (b"d=100,c=get,t=a,d=900", "d must stand once"),
        (b"c=get,d", "expected a list of names and values"),
    ],
)
def test_a_list_that_tells_no_single_time_is_refused_in_one_plain_line(info: bytes, problem: str) -> None:
    with pytest.raises(ValueError, match=f"^{problem}$"):
        parse_request([b"KV.GET", b"key", b"id", info])
    with pytest.raises(ValueError, match=f"^{problem}$"):
        read_fields(b"id", info)


def test_another_name_may_stand_twice() -> None:
    assert parse_request([b"KV.GET", b"key", b"id", b"c=get,x=1,d=900,x=2"]).timeout_ms == 900


def long_list(count: int) -> bytes:
    words = [b"KV.MGET", b"%d" % count, *[b"pkg/%d/1.0" % n for n in range(count)], b"q", b"c=get,d=5"]
    return command(*words)


@pytest.mark.parametrize("size", [1, 7, 1000, 1 << 20])
def test_a_read_of_many_keys_is_cut_alike_in_any_pieces(size: int) -> None:
    data, cuts = long_list(500), 0
    reader = CommandReader(accepts_multi_get=True)
    found: list[list[bytes]] = []
    for at in range(0, len(data), size):
        if reader.needed_bytes and len(reader._buffer) + size >= reader.needed_bytes:
            cuts += 1
        found += reader.feed(data[at : at + size])
    assert [len(words) for words in found] == [504]
    assert found[0][2] == b"pkg/0/1.0"
    assert not reader.framing_error
    # Each look at what is buffered goes a good part further: it would be one for each byte otherwise.
    assert cuts < 40


def test_long_lists_are_for_reads_of_many_keys_only_and_only_where_they_are_taken() -> None:
    other = command(*[b"KV.GET"] * 20)
    for reader, data in (
        (CommandReader(accepts_multi_get=True), other),
        (CommandReader(), long_list(20)),
        (CommandReader(accepts_multi_get=True), b"*20000\r\n$7\r\nKV.MGET\r\n"),
    ):
        assert reader.feed(data) == []
        assert reader.framing_error == "invalid multibulk length"


@pytest.mark.parametrize("at", range(0, 60))
def test_a_byte_changed_in_a_long_list_is_judged_the_same_whole_as_byte_by_byte(at: int) -> None:
    data = bytearray(long_list(20))
    data[at] = ord("7")
    whole, pieces = CommandReader(accepts_multi_get=True), CommandReader(accepts_multi_get=True)
    found = whole.feed(bytes(data))
    parts = [words for byte in data for words in ([] if pieces.framing_error else pieces.feed(bytes([byte])))]
    assert found == parts
    assert whole.framing_error == pieces.framing_error
