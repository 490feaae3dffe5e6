"""A server's health as observed by routers with many requests and with few."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from pebblepass.decisions import HedgeDue, Outcome, Router, Send, Tenant
from tests.decisions.builders import (
    MS,
    ORIGIN,
    S,
    finals,
    fleet,
    only_send,
    request,
    result_of,
    sends,
    settings,
    started,
)

LATE = 400 * MS
QUEUE_DRAINED, STILL_UNRESPONSIVE, HEALTHY_AGAIN = 2 * S, 4 * S, 12 * S
READS = 200


def one_server(routers: int) -> Router:
    return started(settings(routers=routers, may_hedge=False), fleet(1), origin=False)


def count_rejections(router: Router, now: int, reads: int = READS) -> int:
    """Return how many of `reads` reads at one time are rejected; none of them has a result."""
    count = 0
    for i in range(reads):
        count += bool(finals(router.handle(request(f"{now}.{i}", now, deadline=now + S), now)))
    return count


@pytest.mark.parametrize("routers", [4, 100])
def test_server_recovers_from_a_late_answer_within_seconds(
    routers: int,
) -> None:
    router = one_server(routers)
    send = only_send(router.handle(request("first"), 0))
    router.handle(result_of(send, Outcome.OK, latency=LATE), LATE)
    assert count_rejections(router, LATE) > READS / 2
    assert count_rejections(router, LATE + QUEUE_DRAINED) == 0


@pytest.mark.parametrize("routers", [4, 100])
def test_unresponsive_server_is_avoided_for_longer_than_a_slow_one(routers: int) -> None:
    router = one_server(routers)
    router.handle(result_of(only_send(router.handle(request("first"), 0)), Outcome.TIMEOUT, latency=S), S)
    assert count_rejections(router, S + STILL_UNRESPONSIVE) > READS * 0.9
    assert count_rejections(router, S + HEALTHY_AGAIN) == 0


def test_router_with_few_requests_rejects_none_after_a_late_answer() -> None:
    lost = 0
    for seed in range(40):
        router = started(settings(routers=100), fleet(1), origin=False, seed=seed)
        send = only_send(router.handle(request("first"), 0))
        router.handle(result_of(send, Outcome.OK, latency=LATE), LATE)
        for i in range(1, 11):
            now = i * 3 * S
            actions = router.handle(request(f"r{i}", now, deadline=now + S), now)
            if finals(actions):
                lost += 1
            else:
                router.handle(result_of(only_send(actions), Outcome.OK), now + 20 * MS)
    assert lost == 0  # 265 of these 400 if only good answers to this router restored the probability


def connection_rejected(router: Router, send: Send, now: int) -> Send:
    """Reject the request's connection for lack of capacity; return where the request goes next."""
    event = replace(result_of(send, Outcome.OVERLOADED, latency=10 * MS), connection_rejected=True)
    return only_send(router.handle(event, now))


def keys_at(owner: str, count: int) -> list[str]:
    """Return keys that this one of five servers owns; a test reads each key once, so that none is hot."""
    keys: list[str] = []
    number = 0
    while len(keys) < count:
        key, number = f"k{number}", number + 1
        send = only_send(started(settings(), fleet(5)).handle(request("r", key=key), 0))
        if send.server == owner:
            keys.append(key)
    return keys


def test_server_that_rejects_connections_is_avoided_without_rejections() -> None:
    owner = fleet(5)[0].id
    first, *others, second, third = keys_at(owner, 20)
    router = started(settings(), fleet(5))
    other = connection_rejected(router, only_send(router.handle(request("first", key=first), 0)), 10 * MS)
    assert other.server != owner
    router.handle(result_of(other, Outcome.OK, attempt=1), 30 * MS)
    for key in others:
        send = only_send(router.handle(request(key, 100 * MS, key=key), 100 * MS))
        assert send.server != owner
        router.handle(result_of(send, Outcome.OK), 120 * MS)
    again = only_send(router.handle(request("second", S, key=second), S + 10 * MS))
    assert again.server == owner
    router.handle(result_of(again, Outcome.OK), S + 20 * MS)
    assert only_send(router.handle(request("third", S, key=third), S + 20 * MS)).server == owner


@pytest.mark.parametrize("routers", [4, 100])
def test_all_routers_together_rarely_connect_to_a_full_server(routers: int) -> None:
    duration_s, connects, owner = 60, 0, fleet(5)[0].id
    keys = keys_at(owner, duration_s * 2)
    for seed in range(routers):
        router = started(settings(routers=routers), fleet(5), seed=seed)
        for i, key in enumerate(keys):
            now = i * S // 2
            send = only_send(router.handle(request(key, now, key=key), now))
            if full := send.server == owner:
                connects += 1
                send = connection_rejected(router, send, now + MS)
            router.handle(result_of(send, Outcome.OK, attempt=int(full)), now + 20 * MS)
    assert connects / routers <= duration_s / 8 + 5  # one in 8 to 16 s after a few; 120 without backoff


def router_with_late_owner(fetch_time: int, declined: bool = False) -> tuple[Router, list[str], str]:
    """Return a router whose origin takes `fetch_time`, and keys of a server that has just answered late."""
    tenants = (Tenant("a", 1.0, 0.1 if declined else 600.0),)
    router = started(settings(tenants=tenants), fleet(5))
    owner = fleet(5)[0].id
    for i in range(40):  # spread over time, so that no fetch is declined or has to wait
        send = only_send(router.handle(request(f"m{i}", i * S, key=f"m{i}"), i * S))
        for fetch in sends(router.handle(result_of(send, Outcome.MISS), i * S + MS)):
            router.handle(result_of(fetch, Outcome.OK, attempt=1, latency=fetch_time), i * S + fetch_time)
    first, *keys = keys_at(owner, 60)
    send = only_send(router.handle(request("first", 50 * S, key=first), 50 * S))
    router.handle(result_of(send, Outcome.OK, latency=LATE), 50 * S + LATE)
    return router, keys, owner


def outcomes(router: Router, keys: list[str], owner: str) -> tuple[int, int, int]:
    """Return how many reads of these keys go to their server, to another one, and are rejected."""
    now = 50 * S + LATE
    results = [router.handle(request(key, now, key=key), now) for key in keys]
    at_owner = sum(1 for actions in results for send in sends(actions) if send.server == owner)
    rejections = sum(len(finals(actions)) for actions in results)
    return at_owner, len(keys) - at_owner - rejections, rejections


def test_shed_requests_go_to_the_next_server_while_the_origin_has_headroom() -> None:
    at_owner, at_others, rejections = outcomes(*router_with_late_owner(20 * MS))
    assert rejections == 0
    assert at_owner > 0
    assert at_others > at_owner


def test_shed_requests_are_rejected_while_the_origin_has_no_headroom() -> None:
    for router, keys, owner in (
        router_with_late_owner(200 * MS),
        router_with_late_owner(20 * MS, declined=True),
    ):
        _, at_others, rejections = outcomes(router, keys, owner)
        assert at_others == 0
        assert rejections > len(keys) / 2


@pytest.mark.parametrize("reads_per_s", [2, 10])
def test_unresponsive_server_costs_a_bounded_number_of_requests(reads_per_s: int) -> None:
    owner, duration_s = fleet(5)[0].id, 60
    keys = keys_at(owner, duration_s * reads_per_s)
    lost = 0
    for seed in range(10):
        router = started(settings(tenants=(Tenant("a", 1.0, 600.0),)), fleet(5), seed=seed)
        late: list[tuple[int, Send]] = []
        for i, key in enumerate(keys):
            now = i * S // reads_per_s
            while late and late[0][0] <= now:
                due, send = late.pop(0)
                router.handle(result_of(send, Outcome.TIMEOUT, latency=S), due)
            for send in sends(router.handle(request(key, now, key=key), now)):
                if send.server == owner:
                    lost += 1
                    late.append((now + S, send))
                else:
                    router.handle(result_of(send, Outcome.OK), now)
    # Lost are the reads before the first timeout, and later some every 4 to 8 s, nearly whatever the rate.
    assert lost / 10 <= reads_per_s * 3 + duration_s / 3


def test_last_attempt_of_a_read_goes_to_the_origin() -> None:
    router = started(settings(), fleet(8))
    actions = router.handle(request("r"), 0)
    for attempt in range(3):
        send = only_send(actions)
        assert send.server != ORIGIN.id
        actions = router.handle(result_of(send, Outcome.CONNECT_FAILED, attempt=attempt, latency=MS), 0)
    assert only_send(actions).server == ORIGIN.id


def test_no_hedge_goes_to_a_server_that_rejects_connections() -> None:
    router = started(settings(may_hedge=True), fleet(2))
    first, second = keys_at(fleet(5)[0].id, 2)
    send = only_send(router.handle(request("a", key=first), 0))
    other = connection_rejected(router, send, MS)  # the server of `send` accepts no connection
    router.handle(result_of(other, Outcome.OK, attempt=1), 2 * MS)
    again = only_send(router.handle(request("b", key=second), 3 * MS))
    assert again.server == other.server
    assert router.handle(HedgeDue("b"), 50 * MS) == []


def test_server_is_reported_as_avoided_while_it_gets_hardly_any_requests() -> None:
    for outcome, latency, is_avoided in (
        (Outcome.CONNECT_FAILED, 0, True),
        (Outcome.TIMEOUT, S, True),
        (Outcome.OK, LATE, False),  # it gets less for a moment, and keeps most of its traffic
    ):
        router = started(settings(), fleet(2), origin=False)
        assert router.avoided(0) == []
        send = only_send(router.handle(request("first"), 0))
        router.handle(result_of(send, outcome, latency=latency), S)
        assert router.avoided(S) == ([send.server] if is_avoided else [])
        assert router.avoided(S + 62 * S) == []
