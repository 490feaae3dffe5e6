"""The schedule of calls: the wait and the timeout of the next call by how earlier calls ended."""

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


def test_successful_calls_are_followed_by_random_long_waits() -> None:
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


def test_timeout_is_followed_by_immediate_call_and_short_watch() -> None:
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


def test_consecutive_timeouts_get_longer_without_extra_calls() -> None:
    schedule = make_schedule(POLL_TIMING)
    timeouts = []
    for _ in range(5):
        schedule.plan(full=False)
        assert schedule.record_failure(timed_out=True) is True
        timeouts.append(schedule.plan(full=False).timeout_s)
    assert all(
        minimum <= timeout_s <= 1.05 * minimum
        for minimum, timeout_s in zip((1.0, 1.5, 2.2, 2.2, 2.2), timeouts, strict=True)
    )
    schedule.record_success()
    assert schedule.plan(full=False).timeout_s > POLL_TIMING.min_wait_s


def test_other_failure_is_followed_by_backoff_and_short_watch() -> None:
    schedule = make_schedule(POLL_TIMING)
    for _ in range(3):
        schedule.plan(full=False)
        assert schedule.record_failure(timed_out=False) is False
        assert schedule.is_failing
        assert schedule.plan(full=False) == POLL_TIMING.after_failure
    schedule.record_success()
    assert not schedule.is_failing
    assert schedule.plan(full=False).timeout_s > POLL_TIMING.min_wait_s


def test_full_list_is_always_requested_without_wait() -> None:
    schedule = make_schedule(POLL_TIMING)
    for timed_out in (False, True, False):
        wait_s, timeout_s = schedule.plan(full=True)
        assert wait_s is None
        assert timeout_s <= 2.2 * 1.05
        schedule.record_failure(timed_out)
    schedule.record_success()
    assert schedule.plan(full=False).timeout_s > POLL_TIMING.min_wait_s


@pytest.mark.parametrize("timing", [PUSH_TIMING, POLL_TIMING])
def test_two_calls_after_any_failures_end_within_deadline(timing: WatchTiming) -> None:
    """After any three calls, two calls in a row of which the first times out take less than 6 s."""
    for number in range(4**3):
        schedule = make_schedule(timing, number)
        for outcome in (number % 4, number // 4 % 4, number // 16):
            schedule.plan(full=False)
            if outcome < 2:
                schedule.record_failure(timed_out=outcome == 0)
            else:
                schedule.record_success()
        if not schedule.is_failing:
            continue
        first = schedule.plan(full=False).timeout_s
        assert schedule.record_failure(timed_out=True) is True
        assert first + schedule.plan(full=False).timeout_s < 6.0
