"""What the next call of discovery is, by the events before it: no sockets, no clock."""

from __future__ import annotations

import random

import pytest

from pebblepass.discovery.pace import ASKED, PUSHED, SOON_S, Call, Pace, Times


def pace(times: Times, seed: int = 1) -> Pace:
    return Pace(times, random.Random(seed))


def test_answered_calls_are_followed_by_long_waits_that_differ() -> None:
    asking = pace(ASKED)
    waits = set()
    for _ in range(50):
        wait, limit = asking.plan(whole=False)
        assert wait is not None
        assert ASKED.wait <= wait <= ASKED.most
        assert limit == pytest.approx(wait + ASKED.slack)
        waits.add(wait)
        asking.answered()
    assert len(waits) == 50
    assert pace(PUSHED).plan(whole=False) == Call(2.0, 2.5)


def test_a_silence_is_followed_by_a_call_for_an_answer_at_once_and_a_short_watch() -> None:
    asking = pace(ASKED)
    asking.plan(whole=False)
    assert asking.failed(silent=True) is True
    wait, limit = asking.plan(whole=False)
    assert wait == SOON_S
    assert limit <= 1.05
    asking.answered()
    assert asking.plan(whole=False) == ASKED.after_silence
    asking.answered()
    assert asking.plan(whole=False).limit > ASKED.wait


def test_silences_in_a_row_give_a_busy_discovery_time_and_cost_no_further_call() -> None:
    asking = pace(ASKED)
    limits = []
    for _ in range(5):
        asking.plan(whole=False)
        assert asking.failed(silent=True) is True
        limits.append(asking.plan(whole=False).limit)
    assert all(
        least <= limit <= 1.05 * least for least, limit in zip((1.0, 1.5, 2.2, 2.2, 2.2), limits, strict=True)
    )
    asking.answered()
    assert asking.plan(whole=False).limit > ASKED.wait


def test_another_failure_is_followed_by_a_pause_and_a_short_watch() -> None:
    asking = pace(ASKED)
    for _ in range(3):
        asking.plan(whole=False)
        assert asking.failed(silent=False) is False
        assert asking.failing
        assert asking.plan(whole=False) == ASKED.after_failure
    asking.answered()
    assert not asking.failing
    assert asking.plan(whole=False).limit > ASKED.wait


def test_a_whole_list_is_asked_for_at_once_whatever_came_before() -> None:
    asking = pace(ASKED)
    for silent in (False, True, False):
        wait, limit = asking.plan(whole=True)
        assert wait is None
        assert limit <= 2.2 * 1.05
        asking.failed(silent)
    asking.answered()
    assert asking.plan(whole=False).limit > ASKED.wait


@pytest.mark.parametrize("times", [PUSHED, ASKED])
def test_every_order_of_failures_leaves_calls_that_end_in_time(times: Times) -> None:
    """Two calls in a row, of which the first fails in silence, behind any three: over within 6 s."""
    for number in range(4**3):
        asking = pace(times, number)
        for step in (number % 4, number // 4 % 4, number // 16):
            asking.plan(whole=False)
            if step < 2:
                asking.failed(silent=step == 0)
            else:
                asking.answered()
        if not asking.failing:
            continue
        first = asking.plan(whole=False).limit
        assert asking.failed(silent=True) is True
        assert first + asking.plan(whole=False).limit < 6.0
