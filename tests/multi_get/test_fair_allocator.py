"""Allocation of keys to commands, shedding of stalled clients, and the budget of hedged requests."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.multi_get import AllocationBounds, FairAllocator, HedgeBudget, ReplyAssembly

S = 1_000_000_000


def assembly(count: int, value: int = 100) -> ReplyAssembly:
    return ReplyAssembly([b"k%d" % number for number in range(count)], value)


def test_command_with_fewest_keys_in_flight_is_served_first() -> None:
    allocator = FairAllocator(AllocationBounds(chunk=8, value_bytes=100))
    long, short = assembly(1000), assembly(3)
    allocator.add(long)
    allocator.allocate(1000)
    allocator.add(short)
    assert allocator.allocate(1000) == (short, [0, 1, 2])
    assert allocator.allocate(1000) == (long, list(range(8, 16)))


@given(
    strategies.lists(strategies.integers(1, 40), min_size=1, max_size=6),
    strategies.integers(1, 30),
    strategies.integers(1, 10),
    strategies.integers(200, 3000),
    strategies.integers(0, 50),
)
def test_allocation_keeps_all_bounds_and_is_max_min_fair(
    counts: list[int], keys: int, keys_per_command: int, memory: int, capacity: int
) -> None:
    bounds = AllocationBounds(
        keys_in_flight=keys,
        keys_in_flight_per_command=keys_per_command,
        memory=memory,
        memory_per_command=memory // 2,
        value_bytes=100,
        chunk=7,
    )
    allocator = FairAllocator(bounds)
    commands = [assembly(count) for count in counts]
    for command in commands:
        allocator.add(command)
    while allocation := allocator.allocate(capacity):
        fewest = min(
            command.in_flight for command in commands if command.pending or command is allocation.command
        )
        assert 0 < len(allocation.numbers) <= min(bounds.chunk, capacity)
        assert allocation.command.in_flight - len(allocation.numbers) <= fewest
        assert allocator.keys_in_flight <= keys
        assert allocator.memory <= memory
        assert all(command.in_flight <= keys_per_command for command in commands)
        assert all(command.memory <= memory // 2 or command.in_flight == 1 for command in commands)
    in_flight = [command.in_flight for command in commands if command.pending]
    assert not in_flight or max(in_flight) - min(in_flight) <= bounds.chunk or capacity == 0


def test_stalled_client_gets_no_keys_while_others_do() -> None:
    allocator = FairAllocator(AllocationBounds(value_bytes=100))
    stalled, reading = assembly(5), assembly(5)
    allocator.add(stalled)
    allocator.add(reading)
    allocator.client_stalled(stalled, 0)
    assert allocator.allocate(100) == (reading, [0, 1, 2, 3, 4])
    assert allocator.allocate(100) is None
    allocator.client_resumed(stalled)
    assert allocator.allocate(100) == (stalled, [0, 1, 2, 3, 4])


def test_stalled_client_is_shed_after_its_timeout_if_others_lack_memory() -> None:
    allocator = FairAllocator(AllocationBounds(memory=250, memory_per_command=250, value_bytes=100))
    stalled, other = assembly(2), assembly(2)
    allocator.add(stalled)
    allocator.allocate(100)
    for number in (0, 1):
        stalled.complete(number, b"x" * 100)  # buffered until its client reads it
    allocator.client_stalled(stalled, now=S)
    assert allocator.command_to_shed(10 * S) is None  # no other command lacks memory
    allocator.add(other)
    assert allocator.allocate(100) is None
    assert allocator.command_to_shed(S + S // 2) is None
    assert allocator.command_to_shed(2 * S) is stalled
    allocator.remove(stalled)
    assert allocator.allocate(100) == (other, [0, 1])


def test_stall_time_counts_from_first_report_and_restarts_after_resumption() -> None:
    allocator = FairAllocator(AllocationBounds(memory=100, memory_per_command=100, value_bytes=100))
    stalled, other = assembly(1), assembly(1)
    for command in (stalled, other):
        allocator.add(command)
    assert allocator.allocate(100) == (stalled, [0])
    stalled.complete(0, b"x" * 100)
    allocator.client_stalled(stalled, now=S)
    allocator.client_stalled(stalled, now=2 * S)
    assert allocator.command_to_shed(2 * S - 1) is None
    assert allocator.command_to_shed(2 * S) is stalled
    allocator.client_resumed(stalled)
    assert allocator.command_to_shed(2 * S) is None
    allocator.client_stalled(stalled, now=3 * S)
    assert allocator.command_to_shed(4 * S - 1) is None
    assert allocator.command_to_shed(4 * S) is stalled


def test_commands_beyond_the_bound_are_not_added() -> None:
    allocator = FairAllocator(AllocationBounds(commands=1))
    assert allocator.add(assembly(1))
    assert not allocator.add(assembly(1))


@pytest.mark.parametrize("fraction", [0.0, 0.02, 0.5])
def test_hedges_stay_within_their_fraction_of_all_attempts(fraction: float) -> None:
    budget, attempts = HedgeBudget(fraction), 0
    for _ in range(500):
        budget.record_attempts(3)
        attempts += 3
        while budget.spend():
            pass
        assert budget.spent <= attempts * fraction
    assert budget.spent >= attempts * fraction - 1
    budget.record_attempts(10**9)
    assert sum(budget.spend() for _ in range(1000)) <= 8  # the saved budget is bounded
