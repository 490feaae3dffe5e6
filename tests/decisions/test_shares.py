"""Shares in the decisions: beside the floor, until their time, and no sign of the origin's when they move."""

from __future__ import annotations

import pytest

from pebblepass.decisions import (
    AttemptEnded,
    FleetPolicy,
    ListKind,
    Outcome,
    PolicyChanged,
    RequestArrived,
    RequestClass,
    Router,
    Server,
    ServersChanged,
    Settings,
    Tenant,
    TimerFired,
)
from pebblepass.decisions.interface import NS_PER_S

AIM = NS_PER_S
SETTINGS = Settings(
    (RequestClass("get", AIM, 2 * AIM),),
    (Tenant("acme", 0.5, 40.0), Tenant("free", 0.5)),
    routers=4,
    origin_kind="o",
)
NOW = 10 * NS_PER_S
TICK = TimerFired("nothing")
HELD = FleetPolicy(3, (), None, 1.5, None, (), 0.25, True)
EVEN = FleetPolicy(4, (), None, 1.5, None, (), 0.25)
FLOOR = 2.5


def router() -> Router:
    made = Router(SETTINGS, 1)
    made.handle(ServersChanged(ListKind.FULL, (Server("s1"), Server("store", "o"))), NOW)
    return made


def grant(made: Router, rate: float, now: int, until: int = 0, lease: int = 0) -> None:
    told = PolicyChanged(HELD, lease or now + 9 * NS_PER_S, (("acme", rate),), until or now + 5 * NS_PER_S)
    made.handle(told, now)


def limit(made: Router) -> float:
    return made.limits()["acme"]


def test_a_share_counts_beside_the_floor_until_its_time_and_a_namespace_without_a_quota_is_left_alone() -> (
    None
):
    made = router()
    free = made.limits()["free"]
    made.handle(PolicyChanged(HELD, NOW + 9 * NS_PER_S), NOW)
    assert limit(made) == FLOOR  # no share yet
    assert made.policy_version() == 3
    grant(made, 12.0, NOW)
    assert limit(made) == FLOOR + 12
    made.handle(TICK, NOW + 5 * NS_PER_S - 1)
    assert limit(made) == FLOOR + 12
    # A process that was stopped: whatever event comes first, the clock is looked at before it.
    made.handle(TICK, NOW + 5 * NS_PER_S)
    assert limit(made) == FLOOR
    assert made.policy_version() == 3
    assert made.limits()["free"] == free


def test_a_lease_that_runs_out_takes_the_share_with_it() -> None:
    made = router()
    grant(made, 12.0, NOW, until=NOW + 9 * NS_PER_S, lease=NOW + NS_PER_S)
    made.handle(TICK, NOW + NS_PER_S)
    assert (limit(made), made.policy_version()) == (FLOOR, 0)
    grant(made, 12.0, NOW + 2 * NS_PER_S)
    assert limit(made) == FLOOR + 12


def test_a_share_that_moves_keeps_the_limits_part_of_the_cap_and_needs_no_rise() -> None:
    made = router()
    grant(made, 7.5, NOW)
    made.tenants.suppressors["acme"].limit = 5.0  # cut to half by the origin's errors
    grant(made, 37.5, NOW + NS_PER_S)
    assert limit(made) == pytest.approx(20.0)
    made.handle(TICK, NOW + 8 * NS_PER_S)  # the floor, and back
    assert limit(made) == pytest.approx(FLOOR / 2)
    grant(made, 37.5, NOW + 9 * NS_PER_S)
    assert limit(made) == pytest.approx(20.0)


def test_a_policy_without_shares_brings_the_even_split_back_with_what_was_tuned() -> None:
    made = router()
    grant(made, 7.5, NOW)
    made.tenants.suppressors["acme"].limit = 5.0
    made.handle(PolicyChanged(EVEN, 0), NOW + NS_PER_S)
    assert limit(made) == FLOOR
    made.handle(PolicyChanged(EVEN, NOW + 9 * NS_PER_S), NOW + NS_PER_S)
    assert limit(made) == pytest.approx(5.0)  # half of 40 / 4


def test_calls_made_under_a_larger_share_are_not_held_against_a_smaller_one() -> None:
    made = router()
    guard = made.tenants.suppressors["acme"]
    grant(made, 57.5, NOW, until=NOW + 8 * NS_PER_S)  # 60 a second, in a window of 5 s
    for number in range(250):
        assert guard.admit(NOW + number * NS_PER_S // 50)
    later = NOW + 5 * NS_PER_S
    end = later + 20 * NS_PER_S
    grant(made, 7.5, later, end, end)  # 10 a second from here on
    admitted = sum(guard.admit(later + number * NS_PER_S // 8) for number in range(80))
    assert admitted >= 70  # of 8 a second that are wanted; 48 without the ease
    # At the floor there is no such ease: others may have the share.
    made.handle(PolicyChanged(HELD, 0), later + 10 * NS_PER_S)
    assert guard._carried_over == 0


def test_what_is_wanted_counts_fetches_and_writes_and_refused_ones_once() -> None:
    made = router()

    def ask(name: str, now: int, retry: bool = False, write: bool = False) -> None:
        made.handle(RequestArrived(name, "get", now + AIM, "acme", name, write, retry), now)
        if not write:
            made.handle(AttemptEnded(name, 1, "s1", Outcome.MISS, False, 1), now)

    for number in range(5):
        ask(f"r{number}", NOW)
    ask("w", NOW, write=True)
    assert made.demand() == {"acme": 6, "free": 0}
    ask("again", NOW + 1, retry=True)
    assert made.demand()["acme"] == 6
