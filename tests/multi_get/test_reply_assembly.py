"""The answer under way: order, duplicates, bounds, and ends that come in any order."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.multi_get import Gathering, State

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
    gathering, out = Gathering(keys, VALUE), b""
    asked: list[int] = []
    ended: set[bytes] = set()
    for _ in range(before_time_is_up):
        asked += gathering.ask(2)
        if asked:
            number = asked.pop(chance.randrange(len(asked)))  # type: ignore[attr-defined]
            gathering.end(number, entry(gathering.keys[number]))
            ended.add(gathering.keys[number])
        out += b"".join(gathering.due())
        assert gathering.held >= len(asked) * VALUE
        assert gathering.asked == len(asked)
    late = gathering.time_up()
    assert {gathering.keys[number] for number in late} == set(keys) - ended
    out += b"".join(gathering.due())
    assert out == b"".join(entry(key) if key in ended else b"-LATE its time ran out\r\n" for key in keys)
    assert gathering.written
    assert (gathering.held, gathering.open, gathering.asked, gathering.waiting) == (0, 0, 0, 0)


def test_keys_are_asked_in_the_order_of_the_list_and_each_once() -> None:
    gathering = Gathering([b"b", b"a", b"b", b"c"], VALUE)
    assert gathering.keys == [b"b", b"a", b"c"]
    assert gathering.head == b"*4\r\n"
    assert gathering.ask(2) == [0, 1]
    assert gathering.held == 2 * VALUE
    assert gathering.ask(9) == [2]
    assert gathering.ask(1) == []


def test_a_later_key_waits_for_an_earlier_one_and_takes_up_its_own_bytes_only() -> None:
    gathering = Gathering([b"a", b"b"], VALUE)
    gathering.ask(2)
    gathering.end(1, entry(b"b"))
    assert gathering.due() == []
    assert gathering.held == VALUE + len(entry(b"b"))
    gathering.end(0, entry(b"a"))
    assert gathering.due() == [entry(b"a"), entry(b"b")]
    assert gathering.held == 0


def test_a_long_value_has_its_turn_after_those_ahead_and_before_those_behind() -> None:
    gathering = Gathering([b"a", b"long", b"c"], VALUE)
    gathering.ask(3)
    gathering.stream(1)
    gathering.end(2, entry(b"c"))
    assert (gathering.due(), gathering.turn()) == ([], None)
    gathering.end(0, entry(b"a"))
    assert gathering.due() == [entry(b"a")]
    assert gathering.turn() == 1
    assert gathering.passes(1)
    assert gathering.due() == []  # nothing gets in between its bytes
    assert gathering.time_up() == []  # what is being written goes on
    gathering.stream_ended(1)
    assert gathering.due() == [entry(b"c")]
    assert gathering.written


def test_a_long_value_whose_turn_has_not_come_is_late_like_any_other() -> None:
    gathering = Gathering([b"a", b"long"], VALUE)
    gathering.ask(2)
    gathering.stream(1)
    assert gathering.time_up() == [0, 1]
    assert gathering.state(1) is State.ENDED
    assert len(gathering.due()) == 2


def test_a_long_value_that_breaks_before_its_turn_fails_alone() -> None:
    gathering = Gathering([b"a", b"long", b"c"], VALUE)
    gathering.ask(3)
    gathering.stream(1)
    gathering.stream_broke(1, b"-ERR failed\r\n")
    gathering.end(0, entry(b"a"))
    gathering.end(2, entry(b"c"))
    assert gathering.due() == [entry(b"a"), b"-ERR failed\r\n", entry(b"c")]
    assert gathering.held == 0


def test_many_that_end_at_once_are_as_if_each_had_ended_by_itself() -> None:
    keys = [b"a", b"b", b"a", b"c", b"d"]
    together, alone = Gathering(keys, VALUE), Gathering(keys, VALUE)
    for gathering in (together, alone):
        assert gathering.ask(3) == [0, 1, 2]
    together.end_all([2, 0], [entry(b"c"), entry(b"a")])
    for number, key in ((2, b"c"), (0, b"a")):
        alone.end(number, entry(key))
    for gathering in (together, alone):
        assert (gathering.asked, gathering.open, gathering.held) == (1, 2, VALUE + 2 * len(entry(b"a")))
        assert gathering.due() == [entry(b"a")]
        gathering.end(1, entry(b"b"))
        assert gathering.due() == [entry(b"b"), entry(b"a"), entry(b"c")]
        assert gathering.held == 0
