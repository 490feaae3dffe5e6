"""The three regimes of suppressed rate limiting, with results calculated by hand, and the AIMD limit."""

from __future__ import annotations

import random

import pytest

from pebblepass.decisions.interface import Tenant
from pebblepass.decisions.suppressor import LIMIT_DECREASE, LIMIT_RECOVERY_S, Suppressor
from tests.decisions.builders import MS, S


class FixedRandom(random.Random):
    """A random source that always gives the same number."""

    def __init__(self, value: float) -> None:
        super().__init__(0)
        self.value = value

    def random(self) -> float:
        return self.value


def suppressor(limit: float = 10.0, window_s: float = 60.0, draw: float = 0.5) -> Suppressor:
    limiter = Suppressor(Tenant("t", 1.0, limit), 1, FixedRandom(draw))
    limiter.window_s = window_s
    return limiter


def fill(limiter: Suppressor, start: int, count: int, per_s: float, declined: bool = False) -> int:
    """Record calls at an even rate from `start`; return the time after the last call."""
    now = start
    for _ in range(count):
        limiter.record_call(now, declined)
        now += int(S / per_s)
    return now


def test_all_calls_below_the_soft_limit_are_admitted() -> None:
    limiter = suppressor(limit=1.0, window_s=10.0, draw=0.999)
    assert [limiter.admit(i * 100 * MS) for i in range(10)] == [True] * 10
    assert len(limiter._calls) == 10
    assert limiter.declined == 0


def test_papers_example_of_700_calls_in_the_window_and_12_in_the_last_second() -> None:
    # 700 / 60 = 11.67 a second on average, 12 in the last 1000 ms: probability 10 / 12.
    limiter = suppressor()
    fill(limiter, 0, 688, per_s=12.0)
    now = 59 * S
    fill(limiter, now, 12, per_s=100.0)
    assert len(limiter._calls) == 700
    assert limiter.admission_probability(now + 500 * MS) == pytest.approx(10 / 12)


def test_window_average_is_used_if_it_is_the_higher_rate() -> None:
    limiter = suppressor()
    now = fill(limiter, 0, 840, per_s=15.0)  # 56 s; 840 / 60 = 14 a second
    assert limiter.admission_probability(now + 2 * S) == pytest.approx(10 / 14)


@pytest.mark.parametrize(("draw", "allowed"), [(0.70, True), (0.72, False)])
def test_between_the_limits_fetches_are_admitted_with_the_probability(draw: float, allowed: bool) -> None:
    limiter = suppressor(draw=draw)
    now = fill(limiter, 0, 840, per_s=15.0)
    assert limiter.admit(now + 2 * S) is allowed
    assert len(limiter._calls) == 841
    assert limiter.declined == (not allowed)


def test_calls_at_the_hard_limit_are_declined_whatever_the_random_number() -> None:
    limiter = suppressor(draw=0.0)
    now = fill(limiter, 0, 899, per_s=15.0)
    assert limiter.admit(now)  # 899: still between the limits
    assert not limiter.admit(now)  # 900 = 60 x 10 x 1.5


def test_probability_is_cached_for_100_ms_and_at_most_one() -> None:
    limiter = suppressor()
    limiter.record_call(0)
    assert limiter.admission_probability(0) == 1.0
    fill(limiter, 10 * MS, 30, per_s=1000.0)
    assert limiter.admission_probability(99 * MS) == 1.0
    assert limiter.admission_probability(100 * MS) == pytest.approx(10 / 31)


def test_window_drops_old_calls() -> None:
    limiter = suppressor(window_s=10.0)
    fill(limiter, 0, 50, per_s=100.0)
    assert limiter.accepted(9 * S) == 50
    assert limiter.accepted(11 * S) == 0
    assert len(limiter._calls) == 0


def test_declined_calls_alone_do_not_keep_a_tenant_at_the_hard_limit() -> None:
    # Fault found under overload: all retries of rejected reads were counted, and no fetch was admitted again.
    limiter = suppressor(limit=1.0, window_s=10.0, draw=0.05)
    fill(limiter, 0, 100, per_s=20.0, declined=True)
    assert limiter.accepted(5 * S) == 0
    assert limiter.admit(5 * S)  # admitted with probability 1 / 20 instead of declined
    declining = suppressor(limit=1.0, window_s=10.0, draw=0.06)
    fill(declining, 0, 100, per_s=20.0, declined=True)
    assert not declining.admit(5 * S)


def test_decrease_starts_from_the_rate_in_use_and_stops_at_the_minimum() -> None:
    limiter = suppressor(limit=100.0, window_s=10.0)
    now = fill(limiter, 0, 100, per_s=20.0)
    limiter.decrease_limit(now)
    used = 10.0  # 100 calls in 10 s, not the inflated 100 a second
    assert limiter.limit == pytest.approx(used * LIMIT_DECREASE)
    for i in range(1, 40):
        limiter.decrease_limit(now + i * S)
    assert limiter.limit == limiter.min_limit > 0


def test_limit_increases_only_while_in_use_and_up_to_the_cap() -> None:
    limiter = suppressor(limit=10.0, window_s=10.0)
    limiter.limit = 4.0
    limiter.increase_limit(S)
    assert limiter.limit == 4.0
    now = fill(limiter, S, 60, per_s=10.0)
    limiter.increase_limit(now)
    assert limiter.limit == pytest.approx(4.0 + 10.0 / LIMIT_RECOVERY_S * 6.0)  # 6 s since the last increase
    for i in range(1, 200):
        limiter.record_call(now + i * 50 * MS)
        limiter.increase_limit(now + i * 50 * MS)
    assert limiter.limit <= 10.0
