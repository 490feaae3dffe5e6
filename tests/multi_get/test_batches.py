"""Which keys travel together, how long a batch may take, and what a silent key does to the others."""

from __future__ import annotations

from hypothesis import given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pebblepass.multi_get import Batch, BatchBounds, Batches

MS = 1_000_000
LATENCY_OBJECTIVE = 300 * MS
BOUNDS = BatchBounds(keys=6, pipelined=4, key_bytes=100, in_flight_per_server=2)


def accepts_no_command(_: str) -> bool:
    return False


def filled(count: int, owner: str = "c", timeout: int = 50 * MS) -> Batches[int]:
    batches: Batches[int] = Batches(BOUNDS, LATENCY_OBJECTIVE)
    for number in reversed(range(count)):
        batches.enqueue("s", owner, number, number, size=10, timeout=timeout)
    return batches


def test_a_batch_is_as_long_as_a_connection_carries_and_in_the_order_of_the_list() -> None:
    batches = filled(10)
    assert [batch.items for batch in batches.take_due(0, accepts_no_command)] == [[0, 1, 2, 3], [4, 5, 6, 7]]
    assert batches.take_due(0, accepts_no_command) == []


def test_a_server_that_takes_many_keys_in_one_command_has_longer_batches() -> None:
    assert [batch.items for batch in filled(7).take_due(0, lambda _: True)] == [[0, 1, 2, 3, 4, 5], [6]]


def test_bytes_bound_a_batch_and_a_key_over_the_bound_goes_by_itself() -> None:
    batches: Batches[int] = Batches(BOUNDS, LATENCY_OBJECTIVE)
    for number, size in enumerate((200, 60, 30, 30)):
        batches.enqueue("s", "c", number, number, size)
    assert [batch.items for batch in batches.take_due(0, accepts_no_command)] == [[0], [1, 2]]


def test_commands_take_turns_at_a_server() -> None:
    batches = filled(8, "long")
    batches.enqueue("s", "short", 100, 0)
    first, second = batches.take_due(0, accepts_no_command)
    assert (first.owner, second.owner) == ("long", "short")


def test_a_slow_server_has_short_batches() -> None:
    batches = filled(8)
    (batch, _) = batches.take_due(0, accepts_no_command)
    for place in range(4):
        batch.answered = place
        batches.record_answer(batch, 400 * MS)  # 100 ms a key: one fits into half of the objective
    batches.finish(batch)
    assert batches.take_due(400 * MS, accepts_no_command) == []  # all eight are in flight
    batches.enqueue("s", "c", 8, 8)
    batches.enqueue("s", "c", 9, 9)
    assert [batch.items for batch in batches.take_due(400 * MS, accepts_no_command)] == [[8]]


@given(strategies.integers(1, 8), strategies.integers(1, 50))
def test_a_keys_fraction_of_its_batchs_time_is_right_within_a_factor_of_two(count: int, work: int) -> None:
    """Whether the server works on one key after another, or on all at once."""
    for one_by_one in (True, False):
        batches: Batches[int] = Batches(BatchBounds(pipelined=8), LATENCY_OBJECTIVE)
        for number in range(count):
            batches.enqueue("s", "c", number, number)
        (batch,) = batches.take_due(0, accepts_no_command)
        for place in range(count):
            batch.answered = place
            at = work * MS * (place + 1 if one_by_one else count)
            told = batches.record_answer(batch, at)
            assert told <= 2 * work * MS
            assert not one_by_one or told >= 2 * work * MS * (place + 1) // (place + 1 + count)


def test_a_batch_may_take_its_first_keys_timeout_and_its_usual_time_for_the_others() -> None:
    batches = filled(4)
    (batch,) = batches.take_due(0, accepts_no_command)
    assert batch.attempt_timeout == 50 * MS  # nothing is known of the server yet
    batch.answered = 3
    batches.record_answer(batch, 40 * MS)
    batches.finish(batch)
    for number in range(3):
        batches.enqueue("s", "c", number, number, timeout=50 * MS)
    (batch,) = batches.take_due(0, accepts_no_command)
    assert batch.attempt_timeout == 50 * MS + 2 * 2 * 10 * MS
    assert batch.hedge_delay >= 40 * MS


def test_one_key_that_has_all_the_time_gives_it_to_its_batch() -> None:
    batches = filled(2)
    batches.enqueue("s", "c", 2, 2, timeout=0)
    (batch,) = batches.take_due(0, accepts_no_command)
    assert batch.attempt_timeout == 0


def test_a_silent_first_key_frees_those_behind_it_and_its_place() -> None:
    batches = filled(9)
    first, _ = batches.take_due(0, accepts_no_command)
    assert batches.check_stall(first, MS) == (first.stall_timeout - MS, [])
    first.answered = 1
    batches.record_answer(first, 2 * MS)  # an answer puts it off
    assert batches.check_stall(first, first.stall_timeout + MS)[0] == MS
    assert batches.check_stall(first, first.stall_timeout + 2 * MS) == (0, [2, 3])
    assert first.unanswered == [1]
    (third,) = batches.take_due(0, accepts_no_command)  # its place is another's
    assert third.items == [8]


def test_a_stalled_batch_stays_stalled_whether_its_key_is_answered_or_not() -> None:
    batches = filled(4)
    (batch,) = batches.take_due(0, accepts_no_command)
    stalled_at = batch.stall_timeout
    assert batches.check_stall(batch, stalled_at) == (0, [1, 2, 3])
    assert batches.check_stall(batch, stalled_at) == (0, [])
    assert batch.unanswered == [0]
    batches.record_answer(batch, stalled_at + MS)
    assert batch.is_stalled
    assert batches.check_stall(batch, stalled_at + MS) == (batch.stall_timeout, [])
    batches.finish(batch)
    for number in range(8):
        batches.enqueue("s", "c", number, number)
    assert batches.take_blocked() == []
    assert len(batches.take_due(0, accepts_no_command)) == BOUNDS.in_flight_per_server  # counted off once


def test_a_command_with_too_many_batches_stalled_at_a_server_sends_nothing_more_there() -> None:
    batches = filled(12)
    stalled = batches.take_due(0, accepts_no_command)
    batches.enqueue("s", "other", 100, 0)
    for batch in stalled:
        batches.check_stall(batch, 10 * LATENCY_OBJECTIVE)
    assert batches.take_blocked() == [8, 9, 10, 11]
    assert [batch.owner for batch in batches.take_due(0, accepts_no_command)] == ["other"]
    batches.finish(stalled[0])
    batches.enqueue("s", "c", 5, 5)
    assert batches.take_blocked() == []
    assert [batch.items for batch in batches.take_due(0, accepts_no_command)] == [[5]]


def test_a_key_that_has_blocked_others_travels_alone_and_last() -> None:
    batches = filled(2)
    batches.enqueue("s", "c", -1, -1, alone=True)
    batches.enqueue("s", "c", -2, -2, alone=True)
    assert [batch.items for batch in batches.take_due(0, accepts_no_command)] == [[0, 1], [-2]]


def test_a_server_that_left_and_is_back_starts_anew_and_is_not_kept_for_ever() -> None:
    batches = filled(6)
    running = batches.take_due(0, accepts_no_command)
    batches.enqueue("s", "c", 9, 9)
    assert batches.remove_server("s") == [9]
    for batch in running:
        batches.finish(batch)
    assert batches._servers == {}
    assert batches.remove_server("unheard of") == []


class BatchLifecycle(RuleBasedStateMachine):
    """Any order of offers, cuts, answers, hold-ups, ends and departures: every key is somewhere once."""

    def __init__(self) -> None:
        super().__init__()
        self.batches: Batches[int] = Batches(BOUNDS, LATENCY_OBJECTIVE)
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
        self.batches.enqueue(server, owner, self.number, self.number, timeout=MS, alone=alone)
        self.waiting.add(self.number)

    @rule(as_command=strategies.booleans())
    def due(self, as_command: bool) -> None:
        for batch in self.batches.take_due(self.now, lambda _: as_command):
            assert batch.items == sorted(batch.items)
            assert set(batch.items) <= self.waiting
            self.waiting -= set(batch.items)
            self.out.append(batch)
        for server in "st":
            running = [batch for batch in self.out if batch.server == server and not batch.is_stalled]
            assert len(running) <= BOUNDS.in_flight_per_server

    @precondition(lambda self: self.out)
    @rule(place=strategies.integers(0, 99), ms=strategies.integers(0, 200))
    def answer(self, place: int, ms: int) -> None:
        batch = self.out[place % len(self.out)]
        self.now += ms * MS
        assert self.batches.record_answer(batch, self.now) > 0
        if batch.answered + 1 == len(batch.items):
            self.out.remove(batch)
            self.batches.finish(batch)
        else:
            batch.answered += 1

    @precondition(lambda self: self.out)
    @rule(place=strategies.integers(0, 99), ms=strategies.integers(0, 2000))
    def hold_up(self, place: int, ms: int) -> None:
        batch = self.out[place % len(self.out)]
        self.now += ms * MS
        _, behind = self.batches.check_stall(batch, self.now)
        assert not set(behind) & set(batch.items)
        assert batch.unanswered

    @precondition(lambda self: self.out)
    @rule(place=strategies.integers(0, 99))
    def end(self, place: int) -> None:
        self.batches.finish(self.out.pop(place % len(self.out)))

    @rule(server=strategies.sampled_from("st"))
    def leave(self, server: str) -> None:
        self.waiting -= set(self.batches.remove_server(server))

    @rule(owner=strategies.sampled_from("cde"))
    def drop(self, owner: str) -> None:
        dropped = set(self.batches.cancel(owner))
        assert dropped <= self.waiting
        self.waiting -= dropped

    @rule()
    def blocked(self) -> None:
        blocked = set(self.batches.take_blocked())
        assert blocked <= self.waiting
        self.waiting -= blocked

    @invariant()
    def every_waiting_key_stands_in_one_queue(self) -> None:
        found = [
            queued[2]
            for server in self.batches._servers.values()
            for queue in server.queues.values()
            for queued in queue
        ]
        assert sorted(found) == sorted(self.waiting)
        for server in self.batches._servers.values():
            assert set(server.round_robin) == set(server.queues)
            assert server.in_flight >= 0

    def teardown(self) -> None:
        """Once every batch ends, nothing is left waiting."""
        while self.out or self.waiting:
            for batch in self.out:
                self.batches.finish(batch)
            self.out = self.batches.take_due(self.now, accepts_no_command)
            assert self.out or not self.waiting
            self.waiting -= {item for batch in self.out for item in batch.items}


TestBatchLifecycle = BatchLifecycle.TestCase
TestBatchLifecycle.settings = settings(max_examples=80, stateful_step_count=30)
