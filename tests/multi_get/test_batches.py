"""Which keys travel together, how long a part may take, and what a silent key does to the others."""

from __future__ import annotations

from hypothesis import given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pebblepass.multi_get import Batch, BatchBounds, Batches

MS = 1_000_000
AIM = 300 * MS
BOUNDS = BatchBounds(keys=6, pipelined=4, words=100, side_by_side=2)


def no_one(_: str) -> bool:
    return False


def filled(count: int, owner: str = "c", patience: int = 50 * MS) -> Batches[int]:
    parts: Batches[int] = Batches(BOUNDS, AIM)
    for number in reversed(range(count)):
        parts.offer("s", owner, number, number, size=10, patience=patience)
    return parts


def test_a_part_is_as_long_as_a_connection_carries_and_in_the_order_of_the_list() -> None:
    parts = filled(10)
    assert [part.items for part in parts.due(0, no_one)] == [[0, 1, 2, 3], [4, 5, 6, 7]]
    assert parts.due(0, no_one) == []


def test_a_server_that_takes_many_keys_in_one_command_has_longer_parts() -> None:
    assert [part.items for part in filled(7).due(0, lambda _: True)] == [[0, 1, 2, 3, 4, 5], [6]]


def test_words_bound_a_part_and_a_key_over_the_bound_goes_by_itself() -> None:
    parts: Batches[int] = Batches(BOUNDS, AIM)
    for number, size in enumerate((200, 60, 30, 30)):
        parts.offer("s", "c", number, number, size)
    assert [part.items for part in parts.due(0, no_one)] == [[0], [1, 2]]


def test_commands_take_turns_at_a_server() -> None:
    parts = filled(8, "long")
    parts.offer("s", "short", 100, 0)
    first, second = parts.due(0, no_one)
    assert (first.owner, second.owner) == ("long", "short")


def test_a_slow_server_has_short_parts() -> None:
    parts = filled(8)
    (part, _) = parts.due(0, no_one)
    for place in range(4):
        part.answered = place
        parts.answer(part, 400 * MS)  # 100 ms a key: one fits into half of the aim
    parts.end(part)
    assert [len(part.items) for part in parts.due(400 * MS, no_one)] == []  # all eight are out
    parts.offer("s", "c", 8, 8)
    parts.offer("s", "c", 9, 9)
    assert [part.items for part in parts.due(400 * MS, no_one)] == [[8]]


@given(strategies.integers(1, 8), strategies.integers(1, 50))
def test_a_keys_share_of_its_parts_time_is_right_within_a_factor_of_two(count: int, work: int) -> None:
    """Whether the server works on one key after another, or on all at once."""
    for one_by_one in (True, False):
        parts: Batches[int] = Batches(BatchBounds(pipelined=8), AIM)
        for number in range(count):
            parts.offer("s", "c", number, number)
        (part,) = parts.due(0, no_one)
        for place in range(count):
            part.answered = place
            at = work * MS * (place + 1 if one_by_one else count)
            told = parts.answer(part, at)
            assert told <= 2 * work * MS
            assert not one_by_one or told >= 2 * work * MS * (place + 1) // (place + 1 + count)


def test_a_part_may_take_its_first_keys_patience_and_its_usual_time_for_the_others() -> None:
    parts = filled(4)
    (part,) = parts.due(0, no_one)
    assert part.patience == 50 * MS  # nothing is known of the server yet
    part.answered = 3
    parts.answer(part, 40 * MS)
    parts.end(part)
    for number in range(3):
        parts.offer("s", "c", number, number, patience=50 * MS)
    (part,) = parts.due(0, no_one)
    assert part.patience == 50 * MS + 2 * 2 * 10 * MS
    assert part.slow_after >= 40 * MS


def test_one_key_that_has_all_the_time_gives_it_to_its_part() -> None:
    parts = filled(2)
    parts.offer("s", "c", 2, 2, patience=0)
    (part,) = parts.due(0, no_one)
    assert part.patience == 0


def test_a_silent_first_key_frees_those_behind_it_and_its_place() -> None:
    parts = filled(9)
    first, _ = parts.due(0, no_one)
    assert parts.held_up(first, MS) == (first.held_up_after - MS, [])
    first.answered = 1
    parts.answer(first, 2 * MS)  # an answer puts it off
    assert parts.held_up(first, first.held_up_after + MS)[0] == MS
    assert parts.held_up(first, first.held_up_after + 2 * MS) == (0, [2, 3])
    assert first.left == [1]
    (third,) = parts.due(0, no_one)  # its place is another's
    assert third.items == [8]


def test_a_command_with_too_many_parts_stuck_at_a_server_sends_nothing_more_there() -> None:
    parts = filled(12)
    stuck = parts.due(0, no_one)
    parts.offer("s", "other", 100, 0)
    for part in stuck:
        parts.held_up(part, 10 * AIM)
    assert parts.blocked() == [8, 9, 10, 11]
    assert [part.owner for part in parts.due(0, no_one)] == ["other"]
    parts.end(stuck[0])
    parts.offer("s", "c", 5, 5)
    assert parts.blocked() == []
    assert [part.items for part in parts.due(0, no_one)] == [[5]]


def test_a_key_that_has_held_up_others_travels_alone_and_last() -> None:
    parts = filled(2)
    parts.offer("s", "c", -1, -1, alone=True)
    parts.offer("s", "c", -2, -2, alone=True)
    assert [part.items for part in parts.due(0, no_one)] == [[0, 1], [-2]]


def test_a_server_that_left_and_is_back_starts_anew_and_is_not_kept_for_ever() -> None:
    parts = filled(6)
    running = parts.due(0, no_one)
    parts.offer("s", "c", 9, 9)
    assert parts.server_left("s") == [9]
    for part in running:
        parts.end(part)
    assert parts._servers == {}
    assert parts.server_left("unheard of") == []


class Lives(RuleBasedStateMachine):
    """Any order of offers, cuts, answers, hold-ups, ends and departures: every key is somewhere once."""

    def __init__(self) -> None:
        super().__init__()
        self.parts: Batches[int] = Batches(BOUNDS, AIM)
        self.waiting: set[int] = set()
        self.out: list[Batch[int]] = []
        self.number = self.now = 0

    @rule(
        server=strategies.sampled_from("st"),
        owner=strategies.sampled_from("cde"),
        alone=strategies.booleans(),
    )
    def offer(self, server: str, owner: str, alone: bool) -> None:
        self.number += 1
        self.parts.offer(server, owner, self.number, self.number, patience=MS, alone=alone)
        self.waiting.add(self.number)

    @rule(as_one=strategies.booleans())
    def due(self, as_one: bool) -> None:
        for part in self.parts.due(self.now, lambda _: as_one):
            assert part.items == sorted(part.items)
            assert set(part.items) <= self.waiting
            self.waiting -= set(part.items)
            self.out.append(part)
        for server in "st":
            running = [part for part in self.out if part.server == server and not part.stuck]
            assert len(running) <= BOUNDS.side_by_side

    @precondition(lambda self: self.out)
    @rule(place=strategies.integers(0, 99), ms=strategies.integers(0, 200))
    def answer(self, place: int, ms: int) -> None:
        part = self.out[place % len(self.out)]
        self.now += ms * MS
        assert self.parts.answer(part, self.now) > 0
        if part.answered + 1 == len(part.items):
            self.out.remove(part)
            self.parts.end(part)
        else:
            part.answered += 1

    @precondition(lambda self: self.out)
    @rule(place=strategies.integers(0, 99), ms=strategies.integers(0, 2000))
    def hold_up(self, place: int, ms: int) -> None:
        part = self.out[place % len(self.out)]
        self.now += ms * MS
        _, behind = self.parts.held_up(part, self.now)
        assert not set(behind) & set(part.items)
        assert part.left

    @precondition(lambda self: self.out)
    @rule(place=strategies.integers(0, 99))
    def end(self, place: int) -> None:
        self.parts.end(self.out.pop(place % len(self.out)))

    @rule(server=strategies.sampled_from("st"))
    def leave(self, server: str) -> None:
        self.waiting -= set(self.parts.server_left(server))

    @rule(owner=strategies.sampled_from("cde"))
    def drop(self, owner: str) -> None:
        dropped = set(self.parts.drop(owner))
        assert dropped <= self.waiting
        self.waiting -= dropped

    @rule()
    def blocked(self) -> None:
        blocked = set(self.parts.blocked())
        assert blocked <= self.waiting
        self.waiting -= blocked

    @invariant()
    def every_waiting_key_stands_in_one_queue(self) -> None:
        held = [
            queued[2]
            for server in self.parts._servers.values()
            for queue in server.queues.values()
            for queued in queue
        ]
        assert sorted(held) == sorted(self.waiting)
        for server in self.parts._servers.values():
            assert set(server.turns) == set(server.queues)
            assert server.running >= 0

    def teardown(self) -> None:
        """Once every part ends, nothing is left waiting."""
        while self.out or self.waiting:
            for part in self.out:
                self.parts.end(part)
            self.out = self.parts.due(self.now, no_one)
            assert self.out or not self.waiting
            self.waiting -= {item for part in self.out for item in part.items}


TestLives = Lives.TestCase
TestLives.settings = settings(max_examples=80, stateful_step_count=30)
