"""The assembly of a reply: order, duplicates, bounds, and keys that complete in any order."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.multi_get import KeyState, ReplyAssembly

VALUE = 1000


def entry(key: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(key), key)


@given(
    strategies.lists(strategies.sampled_from([b"a", b"b", b"c", b"d", b"e"]), min_size=1, max_size=12),
    strategies.randoms(use_true_random=False),
    strategies.integers(0, 6),
)
def test_whatever_the_order_of_the_ends_entries_leave_in_the_order_asked(
    keys: list[bytes], chance: object, before_time_is_up: int
) -> None:
    assembly, out = ReplyAssembly(keys, VALUE), b""
    asked: list[int] = []
    ended: set[bytes] = set()
    for _ in range(before_time_is_up):
        asked += assembly.take_pending(2)
        if asked:
            number = asked.pop(chance.randrange(len(asked)))  # type: ignore[attr-defined]
            assembly.complete(number, entry(assembly.keys[number]))
            ended.add(assembly.keys[number])
        out += b"".join(assembly.take_writable())
        assert assembly.memory >= len(asked) * VALUE
        assert assembly.in_flight == len(asked)
    late = assembly.expire()
    assert {assembly.keys[number] for number in late} == set(keys) - ended
    out += b"".join(assembly.take_writable())
    assert out == b"".join(entry(key) if key in ended else b"-LATE its time ran out\r\n" for key in keys)
    assert assembly.is_written
    assert (assembly.memory, assembly.incomplete, assembly.in_flight, assembly.pending) == (0, 0, 0, 0)


def test_keys_are_asked_in_the_order_of_the_list_and_each_once() -> None:
    assembly = ReplyAssembly([b"b", b"a", b"b", b"c"], VALUE)
    assert assembly.keys == [b"b", b"a", b"c"]
    assert assembly.head == b"*4\r\n"
    assert assembly.take_pending(2) == [0, 1]
    assert assembly.memory == 2 * VALUE
    assert assembly.take_pending(9) == [2]
    assert assembly.take_pending(1) == []


def test_a_later_key_waits_for_an_earlier_one_and_takes_up_its_own_bytes_only() -> None:
    assembly = ReplyAssembly([b"a", b"b"], VALUE)
    assembly.take_pending(2)
    assembly.complete(1, entry(b"b"))
    assert assembly.take_writable() == []
    assert assembly.memory == VALUE + len(entry(b"b"))
    assembly.complete(0, entry(b"a"))
    assert assembly.take_writable() == [entry(b"a"), entry(b"b")]
    assert assembly.memory == 0


def test_a_long_value_has_its_turn_after_those_ahead_and_before_those_behind() -> None:
    assembly = ReplyAssembly([b"a", b"long", b"c"], VALUE)
    assembly.take_pending(3)
    assembly.start_stream(1)
    assembly.complete(2, entry(b"c"))
    assert (assembly.take_writable(), assembly.start_next_stream()) == ([], None)
    assembly.complete(0, entry(b"a"))
    assert assembly.take_writable() == [entry(b"a")]
    assert assembly.start_next_stream() == 1
    assert assembly.is_streaming(1)
    assert assembly.take_writable() == []  # nothing gets in between its bytes
    assert assembly.expire() == []  # what is being written goes on
    assembly.complete_stream(1)
    assert assembly.take_writable() == [entry(b"c")]
    assert assembly.is_written


def test_a_long_value_whose_turn_has_not_come_is_late_like_any_other() -> None:
    assembly = ReplyAssembly([b"a", b"long"], VALUE)
    assembly.take_pending(2)
    assembly.start_stream(1)
    assert assembly.expire() == [0, 1]
    assert assembly.state(1) is KeyState.COMPLETED
    assert len(assembly.take_writable()) == 2


def test_a_long_value_that_breaks_before_its_turn_fails_alone() -> None:
    assembly = ReplyAssembly([b"a", b"long", b"c"], VALUE)
    assembly.take_pending(3)
    assembly.start_stream(1)
    assembly.fail_stream(1, b"-ERR failed\r\n")
    assembly.complete(0, entry(b"a"))
    assembly.complete(2, entry(b"c"))
    assert assembly.take_writable() == [entry(b"a"), b"-ERR failed\r\n", entry(b"c")]
    assert assembly.memory == 0


def test_many_that_end_at_once_are_as_if_each_had_ended_by_itself() -> None:
    keys = [b"a", b"b", b"a", b"c", b"d"]
    together, singly = ReplyAssembly(keys, VALUE), ReplyAssembly(keys, VALUE)
    for assembly in (together, singly):
        assert assembly.take_pending(3) == [0, 1, 2]
    together.complete_all([2, 0], [entry(b"c"), entry(b"a")])
    for number, key in ((2, b"c"), (0, b"a")):
        singly.complete(number, entry(key))
    for assembly in (together, singly):
        assert (assembly.in_flight, assembly.incomplete, assembly.memory) == (
            1,
            2,
            VALUE + 2 * len(entry(b"a")),
        )
        assert assembly.take_writable() == [entry(b"a")]
        assembly.complete(1, entry(b"b"))
        assert assembly.take_writable() == [entry(b"b"), entry(b"a"), entry(b"c")]
        assert assembly.memory == 0
