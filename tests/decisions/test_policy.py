"""The policy of a fleet in the decisions: in force until a time, and from then on the floor."""

from __future__ import annotations

from pebblepass.decisions import (
    FleetPolicy,
    ListKind,
    NamespaceLimits,
    PolicyChanged,
    RequestArrived,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    Settings,
    Tenant,
    TimerFired,
)
from pebblepass.decisions.interface import NS_PER_S

LATENCY_TARGET = NS_PER_S
CLASSES = (RequestClass("get", LATENCY_TARGET, 2 * LATENCY_TARGET),)
SETTINGS = Settings(
    CLASSES, (Tenant("acme", 0.5, 40.0), Tenant("zoo", 0.5, 40.0)), routers=4, origin_kind="o"
)
NOW = 10 * NS_PER_S
TICK = TimerFired("nothing")


def policy(version: int, rate: float | None = None, quota: float | None = None, *out: str) -> FleetPolicy:
    rows = (NamespaceLimits("acme", None, quota),) if quota is not None else ()
    return FleetPolicy(version, rows, rate, 1.5, None, out, 0.25)


def router() -> Router:
    made = Router(SETTINGS, 1)
    servers = (Server("s1"), Server("s2"), Server("s3"), Server("store", "o"))
    made.handle(ServersChanged(ListKind.FULL, servers), NOW)
    return made


def limits(made: Router) -> tuple[float, float]:
    found = made.limits()
    return found["acme"], found["zoo"]


def test_without_a_policy_the_settings_apply_and_nothing_expires() -> None:
    made = router()
    made.handle(TICK, NOW + 3600 * NS_PER_S)
    assert limits(made) == (10.0, 10.0)
    assert made.policy_version() == 0


def test_a_policy_is_in_force_until_its_expiry_and_the_floor_applies_at_the_next_event() -> None:
    made = router()
    made.handle(PolicyChanged(policy(3, rate=40.0, quota=30.0), NOW + NS_PER_S), NOW)
    assert limits(made) == (5.0, 5.0)  # 40 a second for all, by portion, at four routers
    assert made.policy_version() == 3
    made.handle(TICK, NOW + NS_PER_S - 1)
    assert made.policy_version() == 3
    # A process that was stopped: whatever event comes first, the clock is looked at before it.
    made.handle(TICK, NOW + 9 * NS_PER_S)
    assert made.policy_version() == 0
    assert limits(made) == (2.5, 2.5)


def test_a_renewed_lease_changes_no_limit_and_one_after_the_floor_restores_the_tuned_limit() -> None:
    made = router()
    current = policy(3, quota=20.0)
    made.handle(PolicyChanged(current, NOW + NS_PER_S), NOW)
    made.tenants.suppressors["acme"].limit = 4.0  # cut by the origin's errors
    made.handle(PolicyChanged(current, NOW + 2 * NS_PER_S), NOW + NS_PER_S // 2)
    assert limits(made)[0] == 4.0
    made.handle(TICK, NOW + 3 * NS_PER_S)
    assert limits(made)[0] == 2.5
    made.handle(PolicyChanged(current, NOW + 5 * NS_PER_S), NOW + 4 * NS_PER_S)
    assert limits(made)[0] == 4.0
    assert made.policy_version() == 3


def test_a_version_that_is_decided_but_already_expired_is_at_the_floor() -> None:
    made = router()
    made.handle(PolicyChanged(policy(4, quota=30.0), 0), NOW)
    assert made.policy_version() == 0
    assert limits(made)[0] == 2.5


def test_cordoned_servers_get_nothing_new_until_a_policy_uncordons_them() -> None:
    made = router()

    def servers_used() -> set[str]:
        found = set()
        for number in range(60):
            name = f"{number}.{len(made.open_requests.by_id)}"
            event = RequestArrived(name, "get", NOW + LATENCY_TARGET, "acme", f"key{number}")
            found |= {each.server for each in made.handle(event, NOW) if isinstance(each, Send)}
        return found

    assert servers_used() == {"s1", "s2", "s3"}
    made.handle(PolicyChanged(policy(1, None, None, "s2", "store"), NOW + NS_PER_S), NOW)
    assert servers_used() == {"s1", "s3"}
    assert sorted(each.id for each in made.ready_servers()) == ["s1", "s2", "s3", "store"]
    # News of the list meanwhile: it stays out, and one that is gone is not kept.
    made.handle(ServersChanged(ListKind.DELTA, (Server("s2"), Server("s4"))), NOW)
    assert "s2" not in servers_used()
    made.handle(ServersChanged(ListKind.DELTA, (Server("s3", state=ServerState.REMOVED),)), NOW)
    made.handle(PolicyChanged(policy(2), NOW + NS_PER_S), NOW)
    assert servers_used() == {"s1", "s2", "s4"}
