"""Tests of the memory budget for values of unknown length: it is bounded, and no reader waits forever."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.daemon.buffer_budget import BufferBudget

LONGEST_ANSWER = 8
STEP = 2


class BufferingReader:
    """Buffers `need` bytes in steps, while it may read."""

    def __init__(self, need: int) -> None:
        self.need, self.reading = need, True

    def pause_buffering(self) -> None:
        assert self.reading
        self.reading = False

    def resume_buffering(self) -> None:
        assert not self.reading
        self.reading = True


@given(strategies.integers(0, 40), strategies.lists(strategies.integers(1, LONGEST_ANSWER), max_size=12))
def test_all_readers_finish_and_exceed_the_budget_by_a_step_at_most(total: int, needs: list[int]) -> None:
    budget, readers = BufferBudget(total, LONGEST_ANSWER), [BufferingReader(need) for need in needs]
    while readers:
        progressed = False
        for reader in list(readers):
            if not reader.reading:
                continue
            progressed = True
            budget.take(reader, min(STEP, reader.need))
            reader.need -= min(STEP, reader.need)
            # Received bytes can't be rejected: each reader may exceed the budget by one step.
            assert budget.used <= max(total, LONGEST_ANSWER) + STEP * len(needs)
            if not reader.need:
                readers.remove(reader)
                budget.release(reader)
        assert progressed, "all readers wait for one another"
    assert budget.used == 0


def test_reader_that_leaves_while_waiting_blocks_no_other() -> None:
    budget, first, second, third = (
        BufferBudget(LONGEST_ANSWER, LONGEST_ANSWER),
        BufferingReader(8),
        BufferingReader(8),
        BufferingReader(8),
    )
    for reader in (first, second, third):
        budget.take(reader, STEP)
    assert [reader.reading for reader in (first, second, third)] == [True, False, False]
    budget.release(second)
    budget.release(first)
    assert third.reading
    assert budget.used == STEP
