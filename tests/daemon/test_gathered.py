"""Bytes for values whose length nobody tells: bounded, and nobody waits for ever."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.daemon.buffer_budget import BufferBudget

LONGEST = 8
STEP = 2


class Gatherer:
    """Gathers so many bytes, in steps, while it may read."""

    def __init__(self, need: int) -> None:
        self.need, self.reading = need, True

    def pause_buffering(self) -> None:
        assert self.reading
        self.reading = False

    def resume_buffering(self) -> None:
        assert not self.reading
        self.reading = True


@given(strategies.integers(0, 40), strategies.lists(strategies.integers(1, LONGEST), max_size=12))
def test_all_are_served_in_the_end_and_little_more_than_the_total_is_held(
    total: int, needs: list[int]
) -> None:
    budget, open_ones = BufferBudget(total, LONGEST), [Gatherer(need) for need in needs]
    while open_ones:
        moved = False
        for each in list(open_ones):
            if not each.reading:
                continue
            moved = True
            budget.take(each, min(STEP, each.need))
            each.need -= min(STEP, each.need)
            # What has come can't be sent back: a step for each reader at most is over the total.
            assert budget.used <= max(total, LONGEST) + STEP * len(needs)
            if not each.need:
                open_ones.remove(each)
                budget.release(each)
        assert moved, "all of them wait for one another"
    assert budget.used == 0


def test_one_that_waits_and_leaves_makes_no_trouble() -> None:
    budget, first, second, third = BufferBudget(LONGEST, LONGEST), Gatherer(8), Gatherer(8), Gatherer(8)
    for each in (first, second, third):
        budget.take(each, STEP)
    assert [each.reading for each in (first, second, third)] == [True, False, False]
    budget.release(second)
    budget.release(first)
    assert third.reading
    assert budget.used == STEP
