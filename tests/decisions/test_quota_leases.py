"""Quota leases in the decisions: added to the floor until they expire; the tuned fraction stays."""

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
POLICY_WITHOUT_LEASES = FleetPolicy(4, (), None, 1.5, None, (), 0.25)
FLOOR = 2.5


def new_router() -> Router:
    router = Router(SETTINGS, 1)
    router.handle(ServersChanged(ListKind.FULL, (Server("s1"), Server("store", "o"))), NOW)
    return router


def grant(router: Router, rate: float, now: int, lease_until: int = 0, policy_until: int = 0) -> None:
    event = PolicyChanged(
        POLICY, policy_until or now + 9 * NS_PER_S, (("acme", rate),), lease_until or now + 5 * NS_PER_S
    )
    router.handle(event, now)


def limit(router: Router) -> float:
    return router.limits()["acme"]


def test_lease_adds_to_the_floor_until_its_expiry_if_there_is_a_quota() -> None:
    router = new_router()
    free_limit = router.limits()["free"]
    router.handle(PolicyChanged(POLICY, NOW + 9 * NS_PER_S), NOW)
    assert limit(router) == FLOOR  # no lease yet
    assert router.policy_version() == 3
    grant(router, 12.0, NOW)
    assert limit(router) == FLOOR + 12
    router.handle(TICK, NOW + 5 * NS_PER_S - 1)
    assert limit(router) == FLOOR + 12
    # After the process was stopped: expiry is checked before any event.
    router.handle(TICK, NOW + 5 * NS_PER_S)
    assert limit(router) == FLOOR
    assert router.policy_version() == 3
    assert router.limits()["free"] == free_limit


def test_expiry_of_the_policy_ends_its_leases() -> None:
    router = new_router()
    grant(router, 12.0, NOW, lease_until=NOW + 9 * NS_PER_S, policy_until=NOW + NS_PER_S)
    router.handle(TICK, NOW + NS_PER_S)
    assert (limit(router), router.policy_version()) == (FLOOR, 0)
    grant(router, 12.0, NOW + 2 * NS_PER_S)
    assert limit(router) == FLOOR + 12


def test_change_of_lease_keeps_the_limits_fraction_of_the_cap() -> None:
    router = new_router()
    grant(router, 7.5, NOW)
    router.tenants.suppressors["acme"].limit = 5.0  # halved by the origin's errors
    grant(router, 37.5, NOW + NS_PER_S)
    assert limit(router) == pytest.approx(20.0)
    router.handle(TICK, NOW + 8 * NS_PER_S)  # the floor applies for a time
    assert limit(router) == pytest.approx(FLOOR / 2)
    grant(router, 37.5, NOW + 9 * NS_PER_S)
    assert limit(router) == pytest.approx(20.0)


def test_policy_without_leases_restores_even_division_and_tuned_fraction() -> None:
    router = new_router()
    grant(router, 7.5, NOW)
    router.tenants.suppressors["acme"].limit = 5.0
    router.handle(PolicyChanged(POLICY_WITHOUT_LEASES, 0), NOW + NS_PER_S)
    assert limit(router) == FLOOR
    router.handle(PolicyChanged(POLICY_WITHOUT_LEASES, NOW + 9 * NS_PER_S), NOW + NS_PER_S)
    assert limit(router) == pytest.approx(5.0)  # half of 40 / 4


def test_calls_under_a_larger_lease_do_not_count_against_a_smaller_one() -> None:
    router = new_router()
    limiter = router.tenants.suppressors["acme"]
    grant(router, 57.5, NOW, lease_until=NOW + 8 * NS_PER_S)  # 60 a second, in a window of 5 s
    for number in range(250):
        assert limiter.admit(NOW + number * NS_PER_S // 50)
    later = NOW + 5 * NS_PER_S
    end = later + 20 * NS_PER_S
    grant(router, 7.5, later, end, end)  # 10 a second from here on
    admitted = sum(limiter.admit(later + number * NS_PER_S // 8) for number in range(80))
    assert admitted >= 70  # of 80 calls at 8 a second; 48 if earlier calls counted
    # At the floor earlier calls count: another router may have the lease.
    router.handle(PolicyChanged(POLICY, 0), later + 10 * NS_PER_S)
    assert limiter._carried_over == 0


def test_demand_counts_fetches_and_writes_but_no_retries() -> None:
    router = new_router()

    def request(name: str, now: int, retry: bool = False, write: bool = False) -> None:
        router.handle(RequestArrived(name, "get", now + LATENCY_TARGET, "acme", name, write, retry), now)
        if not write:
            router.handle(AttemptEnded(name, 1, "s1", Outcome.MISS, False, 1), now)

    for number in range(5):
        request(f"r{number}", NOW)
    request("w", NOW, write=True)
    assert router.demand() == {"acme": 6, "free": 0}
    request("again", NOW + 1, retry=True)
    assert router.demand()["acme"] == 6
