"""The schedule of calls: the next call's wait, and when another one begins, by how earlier ones ended."""

from __future__ import annotations

import math
import random

import pytest

from pebblepass.discovery.call_schedule import (
    IMMEDIATE_WAIT_S,
    OUTAGE_CALLS,
    POLL_RESPONSE_LIMIT_S,
    POLL_TIMING,
    PUSH_TIMING,
    RELOAD_RETRIES,
    CallSchedule,
    PlannedCall,
    WatchTiming,
)

RELOADED_S = 4.0  # a reload's deadline


def make_schedule(timing: WatchTiming, seed: int = 1, retries: int = 0) -> CallSchedule:
    return CallSchedule(timing, random.Random(seed), retries)


def next_call_after(planned: PlannedCall) -> float:
    """Return how long after a call without a response the next one begins, in seconds."""
    return min(planned.overlap_after_s, planned.timeout_s)


def test_successful_calls_are_followed_by_random_long_waits() -> None:
    schedule = make_schedule(POLL_TIMING)
    waits = set()
    for _ in range(50):
        wait_s, overlap_after_s, timeout_s = schedule.plan(full=False)
        assert wait_s is not None
        assert POLL_TIMING.min_wait_s <= wait_s <= POLL_TIMING.max_wait_s
        assert wait_s < overlap_after_s <= wait_s + 0.2
        assert timeout_s >= wait_s + POLL_RESPONSE_LIMIT_S
        waits.add(wait_s)
        schedule.record_success()
    assert len(waits) == 50
    assert make_schedule(PUSH_TIMING).plan(full=False) == PlannedCall(2.0, math.inf, 2.5)


def test_call_without_response_is_followed_by_immediate_call_and_short_watch() -> None:
    schedule = make_schedule(POLL_TIMING)
    schedule.plan(full=False)
    wait_s, overlap_after_s, timeout_s = schedule.plan_immediate(full=False, unanswered=1)
    assert wait_s == IMMEDIATE_WAIT_S
    assert overlap_after_s <= 1.785
    assert timeout_s >= IMMEDIATE_WAIT_S + POLL_RESPONSE_LIMIT_S
    schedule.record_success(overdue=1)
    assert schedule.plan(full=False) == POLL_TIMING.after_timeout
    schedule.record_success()
    assert schedule.plan(full=False).overlap_after_s > POLL_TIMING.min_wait_s


def test_timeout_is_followed_by_immediate_call_and_short_watch() -> None:
    schedule = make_schedule(PUSH_TIMING)
    schedule.plan(full=False)
    assert schedule.record_failure(timed_out=True) == 0.0
    wait_s, _, timeout_s = schedule.plan(full=False)
    assert wait_s == IMMEDIATE_WAIT_S
    assert timeout_s <= 1.05
    schedule.record_success()
    assert schedule.plan(full=False) == PlannedCall(2.0, math.inf, 2.5)


def test_consecutive_calls_without_response_lie_further_apart_without_extra_calls() -> None:
    schedule = make_schedule(POLL_TIMING)
    schedule.plan(full=False)
    calls = [schedule.plan_immediate(full=False, unanswered=number) for number in range(1, 6)]
    assert all(
        minimum <= call.overlap_after_s <= 1.05 * minimum
        for minimum, call in zip((1.7, 2.05, 2.05, 2.05, 2.05), calls, strict=True)
    )
    schedule.record_success(overdue=5)
    assert schedule.plan(full=False).overlap_after_s > POLL_TIMING.min_wait_s


def test_no_response_that_is_due_is_outstanding_when_calls_go_on_in_an_outage() -> None:
    for seed in range(20):
        schedule = make_schedule(POLL_TIMING, seed)
        planned = schedule.plan_immediate(full=False, unanswered=OUTAGE_CALLS)
        assert planned.overlap_after_s > POLL_RESPONSE_LIMIT_S + IMMEDIATE_WAIT_S


def test_other_failure_is_followed_by_backoff_and_short_watch() -> None:
    schedule = make_schedule(POLL_TIMING)
    for _ in range(3):
        schedule.plan(full=False)
        assert schedule.record_failure(timed_out=False) is None
        assert schedule.is_failing
        assert schedule.plan(full=False) == POLL_TIMING.after_failure
    schedule.record_success()
    assert not schedule.is_failing
    assert schedule.plan(full=False).overlap_after_s > POLL_TIMING.min_wait_s


def test_failures_beside_an_open_call_are_followed_by_longer_delays() -> None:
    schedule = make_schedule(POLL_TIMING)
    for shortest, longest in ((0.15, 0.6), (0.6, 1.9), (1.3, 1.9), (1.3, 1.9)):
        assert shortest <= schedule.record_failure_beside_open_call() <= longest
    schedule.record_success(overdue=1)
    assert schedule.plan(full=False).overlap_after_s > POLL_TIMING.min_wait_s
    assert 0.15 <= schedule.record_failure_beside_open_call() <= 0.6


def test_failures_right_after_a_reload_are_repeated_within_its_deadline() -> None:
    for seed in range(20):
        schedule = make_schedule(POLL_TIMING, seed, RELOAD_RETRIES)
        delays = [schedule.record_failure(timed_out=False) for _ in range(RELOAD_RETRIES)]
        assert all(delay_s is not None and 0.2 <= delay_s <= 0.4 for delay_s in delays)
        assert sum(delay_s or 0.0 for delay_s in delays) + POLL_RESPONSE_LIMIT_S <= RELOADED_S
        assert schedule.record_failure(timed_out=False) is None
    schedule = make_schedule(POLL_TIMING, retries=RELOAD_RETRIES)
    schedule.record_success()
    assert schedule.record_failure(timed_out=False) is None, "only before the first response"


def test_full_list_is_always_requested_without_wait() -> None:
    schedule = make_schedule(POLL_TIMING)
    for timed_out in (False, True, False):
        wait_s, overlap_after_s, timeout_s = schedule.plan(full=True)
        assert wait_s is None
        assert overlap_after_s <= 2.05 * 1.05
        assert timeout_s >= POLL_RESPONSE_LIMIT_S
        schedule.record_failure(timed_out)
    schedule.record_success()
    assert schedule.plan(full=False).overlap_after_s > POLL_TIMING.min_wait_s


def test_full_list_of_a_new_address_is_known_in_time_if_one_call_is_lost() -> None:
    for seed in range(20):
        first = make_schedule(POLL_TIMING, seed, RELOAD_RETRIES).plan(full=True)
        assert first.overlap_after_s + POLL_RESPONSE_LIMIT_S < RELOADED_S


@pytest.mark.parametrize("timing", [PUSH_TIMING, POLL_TIMING])
def test_two_calls_after_any_failures_end_within_deadline(timing: WatchTiming) -> None:
    """After any three calls, two calls in a row of which the first has no response take less than 6 s.

    A polled service may take its limit for the response to the second.
    """
    response_s = POLL_RESPONSE_LIMIT_S if timing is POLL_TIMING else 0.0
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
        first = next_call_after(schedule.plan(full=False))
        second = next_call_after(schedule.plan_immediate(full=False, unanswered=1))
        assert first + response_s < 6.0
        assert first + second < 6.0
