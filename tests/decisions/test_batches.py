"""Keys that arrive as a batch are routed as if each had arrived as a single request."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from pebblepass.decisions import (
    Action,
    AttemptEnded,
    BatchArrived,
    BatchServed,
    ClientDisconnected,
    ListKind,
    Outcome,
    Reason,
    Reject,
    Router,
    Send,
    SendBatch,
    Server,
    ServersChanged,
    ServerState,
    Settings,
)
from pebblepass.decisions.health import LATE_DECREASE
from tests.decisions.builders import MS, S, fleet, request, result_of, settings, started

KEYS = [f"pkg/{number}" for number in range(200)]


def names(keys: list[str]) -> list[str]:
    return [f"c.{number}" for number in range(len(keys))]


def arrive(router: Router, keys: list[str], now: int = 0, tenant: str = "a") -> list[Action]:
    return router.handle(BatchArrived(names(keys), keys, "read", now + S, tenant, "c"), now)


def targets(actions: list[Action]) -> dict[str, tuple[str, int]]:
    """Return the server and the timeout of each request."""
    targets_by_request = {}
    for action in actions:
        if isinstance(action, Send):
            targets_by_request[action.request] = action.server, action.timeout
        elif isinstance(action, SendBatch):
            assert action.command == "c"
            targets_by_request.update(dict.fromkeys(action.requests, (action.server, action.timeout)))
    return targets_by_request


def has_no_state(router: Router) -> bool:
    idle = all(node.attempts_in_flight == 0 for node in router.caches.nodes.values())
    return idle and not router.open_requests.by_id and not router.open_requests.commands


def warm_router(config: Settings, servers: tuple[Server, ...], now: int = 0) -> Router:
    """Return a router that knows its servers' latencies."""
    router = started(config, servers, now=now)
    for number in range(40):
        for action in router.handle(request(f"w{number}", now=now, key=f"w{number}"), now):
            assert isinstance(action, Send)
            router.handle(result_of(action, Outcome.OK, latency=(2 + number % 7) * MS), now + 9 * MS)
    return router


COLD = settings(cold_capacity=0.2, warm_up_time=30 * S)


@pytest.mark.parametrize(
    ("config", "servers", "now"),
    [
        (settings(), fleet(1), S),
        (settings(), fleet(12), S),
        (settings(weighted=True), tuple(replace(s, weight=1.0 + i) for i, s in enumerate(fleet(12))), S),
        (COLD, (*fleet(11), Server("new:1", kind="std", started=60 * S)), 70 * S),
        (COLD, fleet(12, started=60 * S), 70 * S),
    ],
)
def test_keys_of_a_batch_go_where_single_requests_go(
    config: Settings, servers: tuple[Server, ...], now: int
) -> None:
    batched, single = warm_router(config, servers, now), warm_router(config, servers, now)
    for round_ in range(4):
        at = now + S + round_ * 50 * MS
        batch_targets = targets(arrive(batched, KEYS, at))
        single_targets: dict[str, tuple[str, int]] = {}
        for name, key in zip(names(KEYS), KEYS, strict=True):
            single_targets |= targets(single.handle(request(name, now=at, key=key), at))
        assert batch_targets == single_targets
        assert len(batch_targets) == len(KEYS)
        for name, (server, _) in batch_targets.items():
            batched.handle(BatchServed([name], server, 3 * MS), at + 3 * MS)
            single.handle(AttemptEnded(name, 0, server, Outcome.OK, True, 3 * MS), at + 3 * MS)
    assert has_no_state(batched)
    assert has_no_state(single)


def test_failed_and_draining_servers_get_no_keys_of_a_batch() -> None:
    router = started(settings(), fleet(4))
    down, draining_id = sorted(router.caches.nodes)[:2]
    for number in range(60):
        for action in router.handle(request(f"d{number}", key=f"d{number}"), 0):
            assert isinstance(action, Send)
            outcome = Outcome.CONNECT_FAILED if action.server == down else Outcome.OK
            router.handle(result_of(action, outcome), MS)
            if outcome is not Outcome.OK:
                router.handle(ClientDisconnected(f"d{number}"), MS)
    draining = Server(draining_id, kind="std", state=ServerState.DRAINING)
    router.handle(ServersChanged(ListKind.DELTA, (draining,)), MS)
    targets_by_request = targets(arrive(router, KEYS, 2 * MS))
    assert len(targets_by_request) == len(KEYS)
    assert {server for server, _ in targets_by_request.values()} == set(router.caches.nodes) - {
        down,
        draining_id,
    }


def test_keys_served_together_count_as_one_sample() -> None:
    late = 400 * MS
    batched, single = started(settings(), fleet(1)), started(settings(), fleet(1))
    (send,) = arrive(batched, KEYS[:8])
    assert isinstance(send, SendBatch)
    batched.handle(BatchServed(send.requests, send.server, late), late)
    arrive(single, KEYS[:8])
    for name in send.requests:
        single.handle(BatchServed([name], send.server, late), late)
    probabilities = [router.caches.nodes[send.server].send_probability(late) for router in (batched, single)]
    assert probabilities[0] == pytest.approx(LATE_DECREASE)
    assert probabilities[1] < probabilities[0]
    assert has_no_state(batched)


def test_disconnected_or_reset_key_of_a_batch_is_not_counted_twice() -> None:
    router = started(settings(), fleet(1))
    (send,) = arrive(router, KEYS[:4])
    assert isinstance(send, SendBatch)
    disconnected, broken, *served = send.requests
    router.handle(ClientDisconnected(disconnected), MS)
    router.handle(AttemptEnded(disconnected, 0, send.server, Outcome.OK, True, MS), 2 * MS)
    (again,) = router.handle(AttemptEnded(broken, 0, send.server, Outcome.RESET, False, MS), 2 * MS)
    assert isinstance(again, Send)
    router.handle(BatchServed([disconnected, *served], send.server, MS), 3 * MS)
    router.handle(AttemptEnded(broken, 1, again.server, Outcome.OK, True, MS), 3 * MS)
    router.handle(BatchServed(["c.99"], send.server, MS), 3 * MS)
    assert has_no_state(router)


def test_hot_key_of_batches_has_several_owners() -> None:
    router, servers = started(settings(), fleet(8)), set[str]()
    for number in range(200):
        keys = ["hot", f"cold/{number}"]
        for name, (server, _) in targets(arrive(router, keys)).items():
            if name == "c.0":
                servers.add(server)
            router.handle(BatchServed([name], server, MS), MS)
    assert len(servers) > 1


@pytest.mark.parametrize(("now", "count", "reason"), [(0, 0, Reason.NO_SERVER), (2 * S, 3, Reason.DEADLINE)])
def test_keys_without_a_usable_server_are_rejected_one_by_one(now: int, count: int, reason: Reason) -> None:
    router = started(settings(), fleet(count), origin=False)
    actions = router.handle(BatchArrived(names(KEYS[:5]), KEYS[:5], "read", S, "a", "c"), now)
    assert [action.request for action in actions if isinstance(action, Reject)] == names(KEYS[:5])
    assert {action.reason for action in actions if isinstance(action, Reject)} == {reason}
    assert has_no_state(router)


def test_keys_of_batches_count_towards_a_tenants_overuse() -> None:
    router = started(settings(), fleet(3))
    arrive(router, KEYS, tenant="b")
    router.handle(request("one", key="x", tenant="a"), 0)
    assert router.tenants.suppressors["b"].overuse == 0  # usage before its first command
    router.handle(BatchArrived(["d.0"], ["y"], "read", S, "b", "d"), 0)
    assert router.tenants.suppressors["b"].overuse > 2  # nearly all requests so far, with a weight of 0.4
