"""Grouping of keys into batches, timeouts of batches, and head-of-line blocking."""

from __future__ import annotations

from hypothesis import given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pebblepass.multi_get import Batch, BatchBounds, Batches

MS = 1_000_000
LATENCY_OBJECTIVE = 300 * MS
BOUNDS = BatchBounds(keys=6, pipelined=4, key_bytes=100, in_flight_per_server=2)


def accepts_no_command(_: str) -> bool:
    return False


def batches_with_keys(count: int, owner: str = "c", timeout: int = 50 * MS) -> Batches[int]:
    batches: Batches[int] = Batches(BOUNDS, LATENCY_OBJECTIVE)
    for number in reversed(range(count)):
        batches.enqueue("s", owner, number, number, size=10, timeout=timeout)
    return batches


def test_pipelined_batches_keep_their_bound_and_the_key_order() -> None:
    batches = batches_with_keys(10)
    assert [batch.items for batch in batches.take_due(0, accepts_no_command)] == [[0, 1, 2, 3], [4, 5, 6, 7]]
    assert batches.take_due(0, accepts_no_command) == []


def test_batches_sent_as_one_command_may_be_longer() -> None:
    assert [batch.items for batch in batches_with_keys(7).take_due(0, lambda _: True)] == [
        [0, 1, 2, 3, 4, 5],
        [6],
    ]


def test_batch_is_bounded_in_bytes_and_an_oversized_key_is_sent_alone() -> None:
    batches: Batches[int] = Batches(BOUNDS, LATENCY_OBJECTIVE)
    for number, size in enumerate((200, 60, 30, 30)):
        batches.enqueue("s", "c", number, number, size)
    assert [batch.items for batch in batches.take_due(0, accepts_no_command)] == [[0], [1, 2]]


def test_commands_take_turns_at_a_server() -> None:
    batches = batches_with_keys(8, "long")
    batches.enqueue("s", "short", 100, 0)
    first, second = batches.take_due(0, accepts_no_command)
    assert (first.owner, second.owner) == ("long", "short")


def test_slow_server_gets_short_batches() -> None:
    batches = batches_with_keys(8)
    (batch, _) = batches.take_due(0, accepts_no_command)
    for position in range(4):
        batch.answered = position
        batches.record_answer(batch, 400 * MS)  # 100 ms per key: one key fits into half of the objective
    batches.finish(batch)
    assert batches.take_due(400 * MS, accepts_no_command) == []  # all eight are in flight
    batches.enqueue("s", "c", 8, 8)
    batches.enqueue("s", "c", 9, 9)
    assert [batch.items for batch in batches.take_due(400 * MS, accepts_no_command)] == [[8]]


@given(strategies.integers(1, 8), strategies.integers(1, 50))
def test_latency_per_key_is_within_a_factor_of_two(count: int, work_ms: int) -> None:
    """Both for a server that processes keys one by one and for one that processes all at once."""
    for is_one_by_one in (True, False):
        batches: Batches[int] = Batches(BatchBounds(pipelined=8), LATENCY_OBJECTIVE)
        for number in range(count):
            batches.enqueue("s", "c", number, number)
        (batch,) = batches.take_due(0, accepts_no_command)
        for position in range(count):
            batch.answered = position
            at = work_ms * MS * (position + 1 if is_one_by_one else count)
            key_latency = batches.record_answer(batch, at)
            assert key_latency <= 2 * work_ms * MS
            assert not is_one_by_one or key_latency >= 2 * work_ms * MS * (position + 1) // (
                position + 1 + count
            )


def test_batch_timeout_is_first_keys_timeout_plus_mean_time_of_others() -> None:
    batches = batches_with_keys(4)
    (batch,) = batches.take_due(0, accepts_no_command)
    assert batch.attempt_timeout == 50 * MS  # the server's latency is not known yet
    batch.answered = 3
    batches.record_answer(batch, 40 * MS)
    batches.finish(batch)
    for number in range(3):
        batches.enqueue("s", "c", number, number, timeout=50 * MS)
    (batch,) = batches.take_due(0, accepts_no_command)
    assert batch.attempt_timeout == 50 * MS + 2 * 2 * 10 * MS
    assert batch.hedge_delay >= 40 * MS


def test_batch_with_a_key_without_timeout_has_no_timeout() -> None:
    batches = batches_with_keys(2)
    batches.enqueue("s", "c", 2, 2, timeout=0)
    (batch,) = batches.take_due(0, accepts_no_command)
    assert batch.attempt_timeout == 0


def test_stalled_batch_releases_later_keys_and_its_slot() -> None:
    batches = batches_with_keys(9)
    first, _ = batches.take_due(0, accepts_no_command)
    assert batches.check_stall(first, MS) == (first.stall_timeout - MS, [])
    first.answered = 1
    batches.record_answer(first, 2 * MS)  # an answer restarts the stall timeout
    assert batches.check_stall(first, first.stall_timeout + MS)[0] == MS
    assert batches.check_stall(first, first.stall_timeout + 2 * MS) == (0, [2, 3])
    assert first.unanswered == [1]
    (third,) = batches.take_due(0, accepts_no_command)  # the stalled batch has released its slot
    assert third.items == [8]


def test_stalled_batch_stays_stalled_after_an_answer() -> None:
    batches = batches_with_keys(4)
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
    assert len(batches.take_due(0, accepts_no_command)) == BOUNDS.in_flight_per_server  # released only once


def test_command_with_too_many_stalled_batches_is_blocked_at_that_server() -> None:
    batches = batches_with_keys(12)
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


def test_key_that_has_blocked_others_is_sent_alone_and_last() -> None:
    batches = batches_with_keys(2)
    batches.enqueue("s", "c", -1, -1, alone=True)
    batches.enqueue("s", "c", -2, -2, alone=True)
    assert [batch.items for batch in batches.take_due(0, accepts_no_command)] == [[0, 1], [-2]]


def test_removed_server_leaves_no_state_after_its_batches_end() -> None:
    batches = batches_with_keys(6)
    running = batches.take_due(0, accepts_no_command)
    batches.enqueue("s", "c", 9, 9)
    assert batches.remove_server("s") == [9]
    for batch in running:
        batches.finish(batch)
    assert batches._servers == {}
    assert batches.remove_server("unknown") == []


class BatchLifecycle(RuleBasedStateMachine):
    """Random sequences of all operations: each key is in exactly one queue or batch."""

    def __init__(self) -> None:
        super().__init__()
        self.batches: Batches[int] = Batches(BOUNDS, LATENCY_OBJECTIVE)
        self.queued: set[int] = set()
        self.in_flight: list[Batch[int]] = []
        self.number = self.now = 0

    @rule(
        server=strategies.sampled_from("st"),
        owner=strategies.sampled_from("cde"),
        alone=strategies.booleans(),
    )
    def enqueue_key(self, server: str, owner: str, alone: bool) -> None:
        self.number += 1
        self.batches.enqueue(server, owner, self.number, self.number, timeout=MS, alone=alone)
        self.queued.add(self.number)

    @rule(as_command=strategies.booleans())
    def take_due_batches(self, as_command: bool) -> None:
        for batch in self.batches.take_due(self.now, lambda _: as_command):
            assert batch.items == sorted(batch.items)
            assert set(batch.items) <= self.queued
            self.queued -= set(batch.items)
            self.in_flight.append(batch)
        for server in "st":
            running = [batch for batch in self.in_flight if batch.server == server and not batch.is_stalled]
            assert len(running) <= BOUNDS.in_flight_per_server

    @precondition(lambda self: self.in_flight)
    @rule(position=strategies.integers(0, 99), ms=strategies.integers(0, 200))
    def answer(self, position: int, ms: int) -> None:
        batch = self.in_flight[position % len(self.in_flight)]
        self.now += ms * MS
        assert self.batches.record_answer(batch, self.now) > 0
        if batch.answered + 1 == len(batch.items):
            self.in_flight.remove(batch)
            self.batches.finish(batch)
        else:
            batch.answered += 1

    @precondition(lambda self: self.in_flight)
    @rule(position=strategies.integers(0, 99), ms=strategies.integers(0, 2000))
    def check_stall(self, position: int, ms: int) -> None:
        batch = self.in_flight[position % len(self.in_flight)]
        self.now += ms * MS
        _, unblocked = self.batches.check_stall(batch, self.now)
        assert not set(unblocked) & set(batch.items)
        assert batch.unanswered

    @precondition(lambda self: self.in_flight)
    @rule(position=strategies.integers(0, 99))
    def finish_batch(self, position: int) -> None:
        self.batches.finish(self.in_flight.pop(position % len(self.in_flight)))

    @rule(server=strategies.sampled_from("st"))
    def remove_server(self, server: str) -> None:
        self.queued -= set(self.batches.remove_server(server))

    @rule(owner=strategies.sampled_from("cde"))
    def cancel_command(self, owner: str) -> None:
        cancelled = set(self.batches.cancel(owner))
        assert cancelled <= self.queued
        self.queued -= cancelled

    @rule()
    def blocked(self) -> None:
        blocked = set(self.batches.take_blocked())
        assert blocked <= self.queued
        self.queued -= blocked

    @invariant()
    def every_queued_key_is_in_one_queue(self) -> None:
        found = [
            queued[2]
            for server in self.batches._servers.values()
            for queue in server.queues.values()
            for queued in queue
        ]
        assert sorted(found) == sorted(self.queued)
        for server in self.batches._servers.values():
            assert set(server.round_robin) == set(server.queues)
            assert server.in_flight >= 0

    def teardown(self) -> None:
        """Check that no key is left queued once every batch has ended."""
        while self.in_flight or self.queued:
            for batch in self.in_flight:
                self.batches.finish(batch)
            self.in_flight = self.batches.take_due(self.now, accepts_no_command)
            assert self.in_flight or not self.queued
            self.queued -= {item for batch in self.in_flight for item in batch.items}


TestBatchLifecycle = BatchLifecycle.TestCase
TestBatchLifecycle.settings = settings(max_examples=80, stateful_step_count=30)
