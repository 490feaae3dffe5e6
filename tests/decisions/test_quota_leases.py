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

LATENCY_TARGET = NS_PER_S
SETTINGS = Settings(
    (RequestClass("get", LATENCY_TARGET, 2 * LATENCY_TARGET),),
    (Tenant("acme", 0.5, 40.0), Tenant("free", 0.5)),
    routers=4,
    origin_kind="o",
)
NOW = 10 * NS_PER_S
TICK = TimerFired("nothing")
POLICY = FleetPolicy(3, (), None, 1.5, None, (), 0.25, True)
EVEN = FleetPolicy(4, (), None, 1.5, None, (), 0.25)
FLOOR = 2.5


def router() -> Router:
    made = Router(SETTINGS, 1)
    made.handle(ServersChanged(ListKind.FULL, (Server("s1"), Server("store", "o"))), NOW)
    return made


def grant(made: Router, rate: float, now: int, until: int = 0, lease: int = 0) -> None:
    event = PolicyChanged(POLICY, lease or now + 9 * NS_PER_S, (("acme", rate),), until or now + 5 * NS_PER_S)
    made.handle(event, now)


def limit(made: Router) -> float:
    return made.limits()["acme"]


def test_a_lease_adds_to_the_floor_until_its_expiry_and_not_without_a_quota() -> None:
    made = router()
    free = made.limits()["free"]
    made.handle(PolicyChanged(POLICY, NOW + 9 * NS_PER_S), NOW)
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


def test_a_policy_that_expires_ends_its_quota_leases() -> None:
    made = router()
    grant(made, 12.0, NOW, until=NOW + 9 * NS_PER_S, lease=NOW + NS_PER_S)
    made.handle(TICK, NOW + NS_PER_S)
    assert (limit(made), made.policy_version()) == (FLOOR, 0)
    grant(made, 12.0, NOW + 2 * NS_PER_S)
    assert limit(made) == FLOOR + 12


def test_a_lease_that_changes_keeps_the_limits_fraction_of_the_cap() -> None:
    made = router()
    grant(made, 7.5, NOW)
    made.tenants.suppressors["acme"].limit = 5.0  # cut to half by the origin's errors
    grant(made, 37.5, NOW + NS_PER_S)
    assert limit(made) == pytest.approx(20.0)
    made.handle(TICK, NOW + 8 * NS_PER_S)  # the floor, and back
    assert limit(made) == pytest.approx(FLOOR / 2)
    grant(made, 37.5, NOW + 9 * NS_PER_S)
    assert limit(made) == pytest.approx(20.0)


def test_a_policy_without_leases_restores_the_even_division_and_the_tuned_fraction() -> None:
    made = router()
    grant(made, 7.5, NOW)
    made.tenants.suppressors["acme"].limit = 5.0
    made.handle(PolicyChanged(EVEN, 0), NOW + NS_PER_S)
    assert limit(made) == FLOOR
    made.handle(PolicyChanged(EVEN, NOW + 9 * NS_PER_S), NOW + NS_PER_S)
    assert limit(made) == pytest.approx(5.0)  # half of 40 / 4


def test_calls_made_under_a_larger_lease_are_not_charged_to_a_smaller_one() -> None:
    made = router()
    limiter = made.tenants.suppressors["acme"]
    grant(made, 57.5, NOW, until=NOW + 8 * NS_PER_S)  # 60 a second, in a window of 5 s
    for number in range(250):
        assert limiter.admit(NOW + number * NS_PER_S // 50)
    later = NOW + 5 * NS_PER_S
    end = later + 20 * NS_PER_S
    grant(made, 7.5, later, end, end)  # 10 a second from here on
    admitted = sum(limiter.admit(later + number * NS_PER_S // 8) for number in range(80))
    assert admitted >= 70  # of 8 a second that are wanted; 48 without the ease
    # At the floor there is no such ease: others may have the share.
    made.handle(PolicyChanged(POLICY, 0), later + 10 * NS_PER_S)
    assert limiter._carried_over == 0


def test_demand_counts_fetches_and_writes_and_rejected_ones_once() -> None:
    made = router()

    def request(name: str, now: int, retry: bool = False, write: bool = False) -> None:
        made.handle(RequestArrived(name, "get", now + LATENCY_TARGET, "acme", name, write, retry), now)
        if not write:
            made.handle(AttemptEnded(name, 1, "s1", Outcome.MISS, False, 1), now)

    for number in range(5):
        request(f"r{number}", NOW)
    request("w", NOW, write=True)
    assert made.demand() == {"acme": 6, "free": 0}
    request("again", NOW + 1, retry=True)
    assert made.demand()["acme"] == 6
