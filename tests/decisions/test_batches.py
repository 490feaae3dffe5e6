"""Keys of one command that arrive as a batch: each is decided on as if it had arrived by itself."""

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


def sent(actions: list[Action]) -> dict[str, tuple[str, int]]:
    """Where each request goes, and with which timeout."""
    found = {}
    for action in actions:
        if isinstance(action, Send):
            found[action.request] = action.server, action.timeout
        elif isinstance(action, SendBatch):
            assert action.command == "c"
            found.update(dict.fromkeys(action.requests, (action.server, action.timeout)))
    return found


def nothing_left(router: Router) -> bool:
    idle = all(node.attempts_in_flight == 0 for node in router.caches.nodes.values())
    return idle and not router.open_requests.by_id and not router.open_requests.commands


def warmed(config: Settings, servers: tuple[Server, ...], now: int = 0) -> Router:
    """A router that knows its servers' pace."""
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
def test_keys_of_a_batch_go_where_each_would_go_by_itself(
    config: Settings, servers: tuple[Server, ...], now: int
) -> None:
    together, alone = warmed(config, servers, now), warmed(config, servers, now)
    for round_ in range(4):
        at = now + S + round_ * 50 * MS
        first = sent(arrive(together, KEYS, at))
        each: dict[str, tuple[str, int]] = {}
        for name, key in zip(names(KEYS), KEYS, strict=True):
            each |= sent(alone.handle(request(name, now=at, key=key), at))
        assert first == each
        assert len(first) == len(KEYS)
        for name, (server, _) in first.items():
            together.handle(BatchServed([name], server, 3 * MS), at + 3 * MS)
            alone.handle(AttemptEnded(name, 0, server, Outcome.OK, True, 3 * MS), at + 3 * MS)
    assert nothing_left(together)
    assert nothing_left(alone)


def test_a_failed_server_gets_no_key_of_a_batch_and_a_draining_one_nothing_new() -> None:
    router = started(settings(), fleet(4))
    down, drains = sorted(router.caches.nodes)[:2]
    for number in range(60):
        for action in router.handle(request(f"d{number}", key=f"d{number}"), 0):
            assert isinstance(action, Send)
            lost = Outcome.CONNECT_FAILED if action.server == down else Outcome.OK
            router.handle(result_of(action, lost), MS)
            if lost is not Outcome.OK:
                router.handle(ClientDisconnected(f"d{number}"), MS)
    draining = Server(drains, kind="std", state=ServerState.DRAINING)
    router.handle(ServersChanged(ListKind.DELTA, (draining,)), MS)
    found = sent(arrive(router, KEYS, 2 * MS))
    assert len(found) == len(KEYS)
    assert {server for server, _ in found.values()} == set(router.caches.nodes) - {down, drains}


def test_keys_served_together_count_as_one_sample_of_their_server() -> None:
    late = 400 * MS
    together, alone = started(settings(), fleet(1)), started(settings(), fleet(1))
    (send,) = arrive(together, KEYS[:8])
    assert isinstance(send, SendBatch)
    together.handle(BatchServed(send.requests, send.server, late), late)
    arrive(alone, KEYS[:8])
    for name in send.requests:
        alone.handle(BatchServed([name], send.server, late), late)
    chances = [router.caches.nodes[send.server].send_probability(late) for router in (together, alone)]
    assert chances[0] == pytest.approx(LATE_DECREASE)
    assert chances[1] < chances[0]
    assert nothing_left(together)


def test_a_key_given_up_or_reset_in_between_is_not_counted_twice() -> None:
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
    assert nothing_left(router)


def test_a_hot_key_of_batches_has_more_than_one_owner() -> None:
    router, servers = started(settings(), fleet(8)), set[str]()
    for number in range(200):
        keys = ["hot", f"cold/{number}"]
        for name, (server, _) in sent(arrive(router, keys)).items():
            if name == "c.0":
                servers.add(server)
            router.handle(BatchServed([name], server, MS), MS)
    assert len(servers) > 1


@pytest.mark.parametrize(("now", "count", "reason"), [(0, 0, Reason.NO_SERVER), (2 * S, 3, Reason.DEADLINE)])
def test_keys_that_no_server_can_serve_are_rejected_one_by_one(now: int, count: int, reason: Reason) -> None:
    router = started(settings(), fleet(count), origin=False)
    actions = router.handle(BatchArrived(names(KEYS[:5]), KEYS[:5], "read", S, "a", "c"), now)
    assert [action.request for action in actions if isinstance(action, Reject)] == names(KEYS[:5])
    assert {action.reason for action in actions if isinstance(action, Reject)} == {reason}
    assert nothing_left(router)


def test_keys_of_batches_count_towards_a_tenants_overuse() -> None:
    router = started(settings(), fleet(3))
    arrive(router, KEYS, tenant="b")
    router.handle(request("one", key="x", tenant="a"), 0)
    assert router.tenants.suppressors["b"].overuse == 0  # as of before its first list
    router.handle(BatchArrived(["d.0"], ["y"], "read", S, "b", "d"), 0)
    assert router.tenants.suppressors["b"].overuse > 2  # nearly all of the requests seen, of a portion of 0.4
