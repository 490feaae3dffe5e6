"""The fleet's policy in the decisions: in force until it expires, then the floor applies."""

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


def policy(
    version: int, rate: float | None = None, quota: float | None = None, *cordoned: str
) -> FleetPolicy:
    namespaces = (NamespaceLimits("acme", None, quota),) if quota is not None else ()
    return FleetPolicy(version, namespaces, rate, 1.5, None, cordoned, 0.25)


def new_router() -> Router:
    router = Router(SETTINGS, 1)
    servers = (Server("s1"), Server("s2"), Server("s3"), Server("store", "o"))
    router.handle(ServersChanged(ListKind.FULL, servers), NOW)
    return router


def limits(router: Router) -> tuple[float, float]:
    limits_by_tenant = router.limits()
    return limits_by_tenant["acme"], limits_by_tenant["zoo"]


def test_settings_apply_without_a_policy_and_do_not_expire() -> None:
    router = new_router()
    router.handle(TICK, NOW + 3600 * NS_PER_S)
    assert limits(router) == (10.0, 10.0)
    assert router.policy_version() == 0


def test_floor_applies_at_the_first_event_after_the_policys_expiry() -> None:
    router = new_router()
    router.handle(PolicyChanged(policy(3, rate=40.0, quota=30.0), NOW + NS_PER_S), NOW)
    assert limits(router) == (5.0, 5.0)  # 40 a second for all, divided by weight and among four routers
    assert router.policy_version() == 3
    router.handle(TICK, NOW + NS_PER_S - 1)
    assert router.policy_version() == 3
    # After the process was stopped: expiry is checked before any event.
    router.handle(TICK, NOW + 9 * NS_PER_S)
    assert router.policy_version() == 0
    assert limits(router) == (2.5, 2.5)


def test_renewal_changes_no_limit_and_restores_the_tuned_one_after_the_floor() -> None:
    router = new_router()
    current = policy(3, quota=20.0)
    router.handle(PolicyChanged(current, NOW + NS_PER_S), NOW)
    router.tenants.suppressors["acme"].limit = 4.0  # decreased by the origin's errors
    router.handle(PolicyChanged(current, NOW + 2 * NS_PER_S), NOW + NS_PER_S // 2)
    assert limits(router)[0] == 4.0
    router.handle(TICK, NOW + 3 * NS_PER_S)
    assert limits(router)[0] == 2.5
    router.handle(PolicyChanged(current, NOW + 5 * NS_PER_S), NOW + 4 * NS_PER_S)
    assert limits(router)[0] == 4.0
    assert router.policy_version() == 3


def test_floor_applies_to_a_version_that_has_expired_already() -> None:
    router = new_router()
    router.handle(PolicyChanged(policy(4, quota=30.0), 0), NOW)
    assert router.policy_version() == 0
    assert limits(router)[0] == 2.5


def test_cordoned_servers_get_no_requests_until_uncordoned() -> None:
    router = new_router()

    def servers_used() -> set[str]:
        servers = set()
        for number in range(60):
            name = f"{number}.{len(router.open_requests.by_id)}"
            event = RequestArrived(name, "get", NOW + LATENCY_TARGET, "acme", f"key{number}")
            servers |= {action.server for action in router.handle(event, NOW) if isinstance(action, Send)}
        return servers

    assert servers_used() == {"s1", "s2", "s3"}
    router.handle(PolicyChanged(policy(1, None, None, "s2", "store"), NOW + NS_PER_S), NOW)
    assert servers_used() == {"s1", "s3"}
    assert sorted(server.id for server in router.ready_servers()) == ["s1", "s2", "s3", "store"]
    # Changes of the list meanwhile: s2 stays cordoned, and the removed s3 does not come back.
    router.handle(ServersChanged(ListKind.DELTA, (Server("s2"), Server("s4"))), NOW)
    assert "s2" not in servers_used()
    router.handle(ServersChanged(ListKind.DELTA, (Server("s3", state=ServerState.REMOVED),)), NOW)
    router.handle(PolicyChanged(policy(2), NOW + NS_PER_S), NOW)
    assert servers_used() == {"s1", "s2", "s4"}
