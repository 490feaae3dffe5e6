"""What the next call of discovery is, by the events before it: no sockets, no clock."""

from __future__ import annotations

import random

import pytest

from pebblepass.discovery.call_schedule import (
    IMMEDIATE_WAIT_S,
    POLL_TIMING,
    PUSH_TIMING,
    CallSchedule,
    PlannedCall,
    WatchTiming,
)


def make_schedule(timing: WatchTiming, seed: int = 1) -> CallSchedule:
    return CallSchedule(timing, random.Random(seed))


def test_answered_calls_are_followed_by_long_waits_that_differ() -> None:
    schedule = make_schedule(POLL_TIMING)
    waits = set()
    for _ in range(50):
        wait_s, timeout_s = schedule.plan(full=False)
        assert wait_s is not None
        assert POLL_TIMING.min_wait_s <= wait_s <= POLL_TIMING.max_wait_s
        assert timeout_s == pytest.approx(wait_s + POLL_TIMING.overdue_s)
        waits.add(wait_s)
        schedule.record_success()
    assert len(waits) == 50
    assert make_schedule(PUSH_TIMING).plan(full=False) == PlannedCall(2.0, 2.5)


def test_a_silence_is_followed_by_a_call_for_an_answer_at_once_and_a_short_watch() -> None:
    schedule = make_schedule(POLL_TIMING)
    schedule.plan(full=False)
    assert schedule.record_failure(timed_out=True) is True
    wait_s, timeout_s = schedule.plan(full=False)
    assert wait_s == IMMEDIATE_WAIT_S
    assert timeout_s <= 1.05
    schedule.record_success()
    assert schedule.plan(full=False) == POLL_TIMING.after_timeout
    schedule.record_success()
    assert schedule.plan(full=False).timeout_s > POLL_TIMING.min_wait_s


def test_silences_in_a_row_give_a_busy_discovery_time_and_cost_no_further_call() -> None:
    schedule = make_schedule(POLL_TIMING)
    timeouts = []
    for _ in range(5):
        schedule.plan(full=False)
        assert schedule.record_failure(timed_out=True) is True
        timeouts.append(schedule.plan(full=False).timeout_s)
    assert all(
        least <= timeout_s <= 1.05 * least
        for least, timeout_s in zip((1.0, 1.5, 2.2, 2.2, 2.2), timeouts, strict=True)
    )
    schedule.record_success()
    assert schedule.plan(full=False).timeout_s > POLL_TIMING.min_wait_s


def test_another_failure_is_followed_by_a_pause_and_a_short_watch() -> None:
    schedule = make_schedule(POLL_TIMING)
    for _ in range(3):
        schedule.plan(full=False)
        assert schedule.record_failure(timed_out=False) is False
        assert schedule.is_failing
        assert schedule.plan(full=False) == POLL_TIMING.after_failure
    schedule.record_success()
    assert not schedule.is_failing
    assert schedule.plan(full=False).timeout_s > POLL_TIMING.min_wait_s


def test_a_whole_list_is_asked_for_at_once_whatever_came_before() -> None:
    schedule = make_schedule(POLL_TIMING)
    for timed_out in (False, True, False):
        wait_s, timeout_s = schedule.plan(full=True)
        assert wait_s is None
        assert timeout_s <= 2.2 * 1.05
        schedule.record_failure(timed_out)
    schedule.record_success()
    assert schedule.plan(full=False).timeout_s > POLL_TIMING.min_wait_s


@pytest.mark.parametrize("timing", [PUSH_TIMING, POLL_TIMING])
def test_every_order_of_failures_leaves_calls_that_end_in_time(timing: WatchTiming) -> None:
    """Two calls in a row, of which the first fails in silence, behind any three: over within 6 s."""
    for number in range(4**3):
        schedule = make_schedule(timing, number)
        for step in (number % 4, number // 4 % 4, number // 16):
            schedule.plan(full=False)
            if step < 2:
                schedule.record_failure(timed_out=step == 0)
            else:
                schedule.record_success()
        if not schedule.is_failing:
            continue
        first = schedule.plan(full=False).timeout_s
        assert schedule.record_failure(timed_out=True) is True
        assert first + schedule.plan(full=False).timeout_s < 6.0
