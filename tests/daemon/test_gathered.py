"""Tests of the memory budget for values of unknown length: it is bounded, and no reader waits forever."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.daemon.buffer_budget import BufferBudget

LONGEST = 8
STEP = 2


class Gatherer:
    """Buffers `need` bytes in steps, while it may read."""

    def __init__(self, need: int) -> None:
        self.need, self.reading = need, True

    def pause_buffering(self) -> None:
        assert self.reading
        self.reading = False

    def resume_buffering(self) -> None:
        assert not self.reading
        self.reading = True


@given(strategies.integers(0, 40), strategies.lists(strategies.integers(1, LONGEST), max_size=12))
def test_all_readers_finish_and_exceed_the_budget_by_a_step_at_most(total: int, needs: list[int]) -> None:
    budget, open_ones = BufferBudget(total, LONGEST), [Gatherer(need) for need in needs]
    while open_ones:
        moved = False
        for each in list(open_ones):
            if not each.reading:
                continue
            moved = True
            budget.take(each, min(STEP, each.need))
            each.need -= min(STEP, each.need)
            # Received bytes can't be rejected: each reader may exceed the budget by one step.
            assert budget.used <= max(total, LONGEST) + STEP * len(needs)
            if not each.need:
                open_ones.remove(each)
                budget.release(each)
        assert moved, "all readers wait for one another"
    assert budget.used == 0


def test_reader_that_leaves_while_waiting_blocks_no_other() -> None:
    budget, first, second, third = BufferBudget(LONGEST, LONGEST), Gatherer(8), Gatherer(8), Gatherer(8)
    for each in (first, second, third):
        budget.take(each, STEP)
    assert [each.reading for each in (first, second, third)] == [True, False, False]
    budget.release(second)
    budget.release(first)
    assert third.reading
    assert budget.used == STEP
