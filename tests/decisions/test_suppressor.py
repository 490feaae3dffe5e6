"""The paper's three regimes against figures worked out by hand, and the AIMD limit."""

from __future__ import annotations

import random

import pytest

from pebblepass.decisions.interface import Tenant
from pebblepass.decisions.suppressor import LIMIT_DECREASE, LIMIT_RECOVERY_S, Suppressor
from tests.decisions.cases import MS, S


class Fixed(random.Random):
    """A random source that always gives the same number."""

    def __init__(self, value: float) -> None:
        super().__init__(0)
        self.value = value

    def random(self) -> float:
        return self.value


def suppressor(limit: float = 10.0, window_s: float = 60.0, draw: float = 0.5) -> Suppressor:
    guard = Suppressor(Tenant("t", 1.0, limit), 1, Fixed(draw))
    guard.window_s = window_s
    return guard


def fill(guard: Suppressor, start: int, count: int, per_s: float, declined: bool = False) -> int:
    """Count calls at an even rate from `start`; returns the time after the last."""
    now = start
    for _ in range(count):
        guard.record_call(now, declined)
        now += int(S / per_s)
    return now


def test_first_call_goes_and_below_the_soft_limit_all_go() -> None:
    guard = suppressor(limit=1.0, window_s=10.0, draw=0.999)
    assert [guard.admit(i * 100 * MS) for i in range(10)] == [True] * 10
    assert len(guard._calls) == 10
    assert guard.declined == 0


def test_worked_example_of_the_paper_700_in_the_window_and_12_in_the_last_second() -> None:
    # 700 / 60 = 11.67 a second on average, 12 in the last 1000 ms: chance 10 / 12.
    guard = suppressor()
    fill(guard, 0, 688, per_s=12.0)
    now = 59 * S
    fill(guard, now, 12, per_s=100.0)
    assert len(guard._calls) == 700
    assert guard.admission_probability(now + 500 * MS) == pytest.approx(10 / 12)


def test_window_average_is_used_when_it_is_the_higher_rate() -> None:
    guard = suppressor()
    now = fill(guard, 0, 840, per_s=15.0)  # 56 s; 840 / 60 = 14 a second
    assert guard.admission_probability(now + 2 * S) == pytest.approx(10 / 14)


@pytest.mark.parametrize(("draw", "allowed"), [(0.70, True), (0.72, False)])
def test_between_the_limits_a_fetch_goes_with_the_chance(draw: float, allowed: bool) -> None:
    guard = suppressor(draw=draw)
    now = fill(guard, 0, 840, per_s=15.0)
    assert guard.admit(now + 2 * S) is allowed
    assert len(guard._calls) == 841
    assert guard.declined == (not allowed)


def test_hard_limit_on_the_current_total_denies_whatever_the_draw() -> None:
    guard = suppressor(draw=0.0)
    now = fill(guard, 0, 899, per_s=15.0)
    assert guard.admit(now)  # 899: still between the limits
    assert not guard.admit(now)  # 900 = 60 x 10 x 1.5


def test_chance_is_cached_for_100_ms_and_never_above_one() -> None:
    guard = suppressor()
    guard.record_call(0)
    assert guard.admission_probability(0) == 1.0
    fill(guard, 10 * MS, 30, per_s=1000.0)
    assert guard.admission_probability(99 * MS) == 1.0
    assert guard.admission_probability(100 * MS) == pytest.approx(10 / 31)


def test_window_forgets() -> None:
    guard = suppressor(window_s=10.0)
    fill(guard, 0, 50, per_s=100.0)
    assert guard.accepted(9 * S) == 50
    assert guard.accepted(11 * S) == 0
    assert len(guard._calls) == 0


def test_refusals_alone_do_not_pin_a_tenant_at_the_hard_limit() -> None:
    # Found on overloaded days: every retry of a refused read counts anew, and nothing ever went again.
    guard = suppressor(limit=1.0, window_s=10.0, draw=0.05)
    fill(guard, 0, 100, per_s=20.0, declined=True)
    assert guard.accepted(5 * S) == 0
    assert guard.admit(5 * S)  # the chance, 1 / 20, instead of a denial
    shut = suppressor(limit=1.0, window_s=10.0, draw=0.06)
    fill(shut, 0, 100, per_s=20.0, declined=True)
    assert not shut.admit(5 * S)


def test_cut_is_from_what_was_used_and_never_below_the_floor() -> None:
    guard = suppressor(limit=100.0, window_s=10.0)
    now = fill(guard, 0, 100, per_s=20.0)
    guard.decrease_limit(now)
    used = 10.0  # 100 calls in 10 s, not the inflated 100 a second
    assert guard.limit == pytest.approx(used * LIMIT_DECREASE)
    for i in range(1, 40):
        guard.decrease_limit(now + i * S)
    assert guard.limit == guard.min_limit > 0


def test_rise_only_while_used_and_up_to_the_cap() -> None:
    guard = suppressor(limit=10.0, window_s=10.0)
    guard.limit = 4.0
    guard.increase_limit(S)
    assert guard.limit == 4.0
    now = fill(guard, S, 60, per_s=10.0)
    guard.increase_limit(now)
    assert guard.limit == pytest.approx(4.0 + 10.0 / LIMIT_RECOVERY_S * 6.0)  # 6 s since the last rise
    for i in range(1, 200):
        guard.record_call(now + i * 50 * MS)
        guard.increase_limit(now + i * 50 * MS)
    assert guard.limit <= 10.0
