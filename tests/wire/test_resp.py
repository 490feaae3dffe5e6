"""Commands are parsed to the same words in pieces of any size, and invalid ones are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.wire.resp import CommandReader, command, parse_request, read_fields

# Line ends, type bytes and digits within words could confuse the parser that reads a command in one step.
WORDS = strategies.binary(max_size=12) | strategies.sampled_from(
    [b"\r\n", b"a\r\nb", b"$3", b"*4", b"\r\n$1\r\n", b"", b"k" * 300, b"k" * 1100]
)
READS = strategies.tuples(strategies.just(b"KV.GET"), WORDS, WORDS, WORDS).map(list)


def parse_in_pieces(data: bytes, size: int) -> tuple[list[list[bytes]], str]:
    """Parse pieces of `size` bytes; return the commands, and the framing error if there is one."""
    reader, found = CommandReader(), []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
        if reader.framing_error:
            break
    return found, reader.framing_error


@given(READS)
def test_a_read_is_parsed_to_its_words_in_any_pieces(words: list[bytes]) -> None:
    data = command(*words)
    for size in (len(data), 1, 7):
        assert parse_in_pieces(data, size) == ([words], "")


@given(strategies.lists(READS, min_size=2, max_size=4))
def test_reads_received_together_are_separated(reads: list[list[bytes]]) -> None:
    data = b"".join(command(*words) for words in reads)
    assert parse_in_pieces(data, len(data)) == (reads, "")


@given(
    strategies.lists(READS, min_size=1, max_size=5),
    strategies.sampled_from([b"", b"*1", b"*x"]),
    strategies.data(),
)
def test_commands_taken_one_by_one_are_those_received_together(
    reads: list[list[bytes]], end: bytes, data: strategies.DataObject
) -> None:
    received = b"".join(command(*words) for words in reads) + end
    reader, found = CommandReader(), []
    while received:
        size = data.draw(strategies.integers(1, len(received)))
        limit = data.draw(strategies.integers(0, 2))
        found += reader.feed(received[:size], limit)
        received = received[size:]
    while reader.has_unparsed:
        found += reader.take(1)
    assert found == reads
    assert (reader.framing_error != "", reader.buffered) == ((True, b"") if end == b"*x" else (False, end))


@given(READS, READS, strategies.integers(1, 40))
def test_a_read_and_the_start_of_the_next_one(first: list[bytes], second: list[bytes], more: int) -> None:
    data = command(*first) + command(*second)
    assert parse_in_pieces(data, len(command(*first)) + more) == ([first, second], "")


@given(READS, strategies.data())
def test_a_read_with_a_changed_byte_parses_the_same_in_any_pieces(
    words: list[bytes], data: strategies.DataObject
) -> None:
    sent = bytearray(command(*words))
    position = data.draw(strategies.integers(0, len(sent) - 1))
    sent[position] = data.draw(strategies.sampled_from(b"\r\n$*0129kX"))
    commands, error = parse_in_pieces(bytes(sent), len(sent))
    commands_bytewise, error_bytewise = parse_in_pieces(bytes(sent), 1)
    assert (commands, error) == (commands_bytewise, error_bytewise)


@pytest.mark.parametrize(
    ("info", "expected"),
    [
        (b"c=get,d=900,t=a", b"c=get,d=7,t=a"),
        (b"d=900,c=get", b"d=7,c=get"),
        (b"c=get,d=900", b"c=get,d=7"),
        (b"c=get,dd=1,d=900,x=d=2", b"c=get,dd=1,d=7,x=d=2"),
    ],
)
def test_a_command_is_encoded_with_the_remaining_timeout(info: bytes, expected: bytes) -> None:
    read = parse_request([b"KV.GET", b"key", b"id", info])
    assert read.as_bytes(7) == command(b"KV.GET", b"key", b"id", expected)
    write = parse_request([b"KV.SET", b"key", b"id", info, b"a\r\nvalue"])
    assert write.as_bytes(7) == command(b"KV.SET", b"key", b"id", expected, b"a\r\nvalue")


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
def test_fields_without_exactly_one_valid_timeout_are_rejected(info: bytes, problem: str) -> None:
    with pytest.raises(ValueError, match=f"^{problem}$"):
        parse_request([b"KV.GET", b"key", b"id", info])
    with pytest.raises(ValueError, match=f"^{problem}$"):
        read_fields(b"id", info)


def test_a_field_other_than_the_timeout_may_be_repeated() -> None:
    assert parse_request([b"KV.GET", b"key", b"id", b"c=get,x=1,d=900,x=2"]).timeout_ms == 900


def encode_multi_get(count: int) -> bytes:
    words = [b"KV.MGET", b"%d" % count, *[b"pkg/%d/1.0" % n for n in range(count)], b"q", b"c=get,d=5"]
    return command(*words)


@pytest.mark.parametrize("size", [1, 7, 1000, 1 << 20])
def test_a_multi_get_is_parsed_the_same_in_any_pieces(size: int) -> None:
    data, parse_count = encode_multi_get(500), 0
    reader = CommandReader(accepts_multi_get=True)
    found: list[list[bytes]] = []
    for start in range(0, len(data), size):
        if reader.needed_bytes and len(reader._buffer) + size >= reader.needed_bytes:
            parse_count += 1
        found += reader.feed(data[start : start + size])
    assert [len(words) for words in found] == [504]
    assert found[0][2] == b"pkg/0/1.0"
    assert not reader.framing_error
    # The buffer is parsed again only when much more of the command is received, not with each byte.
    assert parse_count < 40


def test_more_words_than_usual_are_accepted_in_multi_gets_only() -> None:
    too_many_words = command(*[b"KV.GET"] * 20)
    for reader, data in (
        (CommandReader(accepts_multi_get=True), too_many_words),
        (CommandReader(), encode_multi_get(20)),
        (CommandReader(accepts_multi_get=True), b"*20000\r\n$7\r\nKV.MGET\r\n"),
    ):
        assert reader.feed(data) == []
        assert reader.framing_error == "invalid multibulk length"


@pytest.mark.parametrize("position", range(0, 60))
def test_a_multi_get_with_a_changed_byte_parses_the_same_bytewise(position: int) -> None:
    data = bytearray(encode_multi_get(20))
    data[position] = ord("7")
    whole, bytewise = CommandReader(accepts_multi_get=True), CommandReader(accepts_multi_get=True)
    found = whole.feed(bytes(data))
    found_bytewise = [
        words for byte in data for words in ([] if bytewise.framing_error else bytewise.feed(bytes([byte])))
    ]
    assert found == found_bytewise
    assert whole.framing_error == bytewise.framing_error


@given(data=strategies.data(), value=strategies.binary(max_size=300))
def test_commands_around_a_discarded_word_are_those_received(
    data: strategies.DataObject, value: bytes
) -> None:
    long = [b"KV.SET", b"key", b"id", b"c=put,d=9", value]
    stream = command(b"PING") + command(*long) + command(b"ECHO", value)
    reader, received, position = CommandReader(), [], 0
    while position < len(stream):
        end = data.draw(strategies.integers(position + 1, len(stream)))
        received += reader.feed(stream[position:end])
        position = end
        is_in_value = reader.needed_bytes and len(reader._partial.words) == 4
        if is_in_value and data.draw(strategies.booleans()):
            reader.discard_word()
            assert reader.buffered_bytes <= 2
    assert reader.framing_error == ""
    kept = long if reader.discarded is None else [*long[:4], b""]
    assert received == [[b"PING"], kept, [b"ECHO", value]]
    assert reader.discarded is None or reader.discarded is received[1]


def test_discarded_multi_get_keeps_neither_its_keys_nor_its_bytes() -> None:
    reader = CommandReader(accepts_multi_get=True)
    stream = command(b"KV.MGET", b"1000", *[b"key%d" % number for number in range(1000)], b"id", b"c=get,d=9")
    reader.feed(stream[: len(stream) // 2])
    reader.discard_word()
    assert reader.buffered_bytes < 20
    (words,) = reader.feed(stream[len(stream) // 2 :])
    assert words is reader.discarded
    assert len(words) == 1004
    assert set(words[4:]) == {b""}
    assert reader.needed_bytes == 0
