"""A server's health as seen by routers with many requests and with few."""

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
TRIES = 200


def one_server(routers: int) -> Router:
    return started(settings(routers=routers, may_hedge=False), fleet(1), origin=False)


def refused(router: Router, now: int, tries: int = TRIES) -> int:
    """How many of so many reads at one moment are refused; none of them has an end that teaches anything."""
    count = 0
    for i in range(tries):
        count += bool(finals(router.handle(request(f"{now}.{i}", now, deadline=now + S), now)))
    return count


@pytest.mark.parametrize("routers", [4, 100])
def test_a_late_answer_is_forgotten_once_its_queue_has_drained(
    routers: int,
) -> None:
    router = one_server(routers)
    send = only_send(router.handle(request("first"), 0))
    router.handle(result_of(send, Outcome.OK, latency=LATE), LATE)
    assert refused(router, LATE) > TRIES / 2
    assert refused(router, LATE + QUEUE_DRAINED) == 0


@pytest.mark.parametrize("routers", [4, 100])
def test_an_unresponsive_server_is_avoided_for_longer_than_a_slow_one_but_not_forever(routers: int) -> None:
    router = one_server(routers)
    router.handle(result_of(only_send(router.handle(request("first"), 0)), Outcome.TIMEOUT, latency=S), S)
    assert refused(router, S + STILL_UNRESPONSIVE) > TRIES * 0.9
    assert refused(router, S + HEALTHY_AGAIN) == 0


def test_a_router_with_a_request_in_three_seconds_loses_none_to_a_late_answer() -> None:
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
    assert lost == 0  # 265 of these 400, where only good answers of its own bring the chance back


def connection_rejected(router: Router, send: Send, now: int) -> Send:
    """That server has no place for a connection: where the request goes next."""
    event = replace(result_of(send, Outcome.OVERLOADED, latency=10 * MS), connection_rejected=True)
    return only_send(router.handle(event, now))


def keys_at(home: str, count: int) -> list[str]:
    """Keys that this server of five holds; each is connects once only, so that none is hot."""
    found: list[str] = []
    tried = 0
    while len(found) < count:
        key, tried = f"k{tried}", tried + 1
        send = only_send(started(settings(), fleet(5)).handle(request("r", key=key), 0))
        if send.server == home:
            found.append(key)
    return found


def test_a_server_that_rejects_connections_is_avoided_for_a_while_and_nothing_is_rejected() -> None:
    home = fleet(5)[0].id
    first, *others, second, third = keys_at(home, 20)
    router = started(settings(), fleet(5))
    other = connection_rejected(router, only_send(router.handle(request("first", key=first), 0)), 10 * MS)
    assert other.server != home
    router.handle(result_of(other, Outcome.OK, attempt=1), 30 * MS)
    for key in others:
        send = only_send(router.handle(request(key, 100 * MS, key=key), 100 * MS))
        assert send.server != home
        router.handle(result_of(send, Outcome.OK), 120 * MS)
    again = only_send(router.handle(request("second", S, key=second), S + 10 * MS))
    assert again.server == home
    router.handle(result_of(again, Outcome.OK), S + 20 * MS)
    assert only_send(router.handle(request("third", S, key=third), S + 20 * MS)).server == home


@pytest.mark.parametrize("routers", [4, 100])
def test_all_routers_together_connect_seldom_to_a_full_server(routers: int) -> None:
    span, connects, home = 60, 0, fleet(5)[0].id
    keys = keys_at(home, span * 2)
    for seed in range(routers):
        router = started(settings(routers=routers), fleet(5), seed=seed)
        for i, key in enumerate(keys):
            now = i * S // 2
            send = only_send(router.handle(request(key, now, key=key), now))
            if full := send.server == home:
                connects += 1
                send = connection_rejected(router, send, now + MS)
            router.handle(result_of(send, Outcome.OK, attempt=int(full)), now + 20 * MS)
    assert connects / routers <= span / 8 + 5  # one in 8 to 16 s after the first few; 120 without a pause


def with_a_late_home(fetch_time: int, declined: bool = False) -> tuple[Router, list[str], str]:
    """A router whose origin takes so long, and keys of a server that has just answered late."""
    tenants = (Tenant("a", 1.0, 0.1 if declined else 600.0),)
    router = started(settings(tenants=tenants), fleet(5))
    home = fleet(5)[0].id
    for i in range(40):  # spread over time: fetches are neither denied nor waited for
        send = only_send(router.handle(request(f"m{i}", i * S, key=f"m{i}"), i * S))
        for fetch in sends(router.handle(result_of(send, Outcome.MISS), i * S + MS)):
            router.handle(result_of(fetch, Outcome.OK, attempt=1, latency=fetch_time), i * S + fetch_time)
    first, *keys = keys_at(home, 60)
    send = only_send(router.handle(request("first", 50 * S, key=first), 50 * S))
    router.handle(result_of(send, Outcome.OK, latency=LATE), 50 * S + LATE)
    return router, keys, home


def outcomes(router: Router, keys: list[str], home: str) -> tuple[int, int, int]:
    """Of reads of these keys: how many go home, to another server, and are refused."""
    now = 50 * S + LATE
    results = [router.handle(request(key, now, key=key), now) for key in keys]
    at_home = sum(1 for actions in results for send in sends(actions) if send.server == home)
    refusals = sum(len(finals(actions)) for actions in results)
    return at_home, len(keys) - at_home - refusals, refusals


def test_what_one_server_sheds_goes_to_the_next_one_while_the_origin_has_headroom() -> None:
    at_home, elsewhere, refusals = outcomes(*with_a_late_home(20 * MS))
    assert refusals == 0
    assert at_home > 0
    assert elsewhere > at_home


def test_shed_requests_are_rejected_while_the_origin_is_slow_or_declines() -> None:
    for router, keys, home in (with_a_late_home(200 * MS), with_a_late_home(20 * MS, declined=True)):
        _, elsewhere, refusals = outcomes(router, keys, home)
        assert elsewhere == 0
        assert refusals > len(keys) / 2


@pytest.mark.parametrize("a_second", [2, 10])
def test_an_unresponsive_server_costs_a_router_a_bounded_fraction_of_its_requests(a_second: int) -> None:
    home, span = fleet(5)[0].id, 60
    keys = keys_at(home, span * a_second)
    lost = 0
    for seed in range(10):
        router = started(settings(tenants=(Tenant("a", 1.0, 600.0),)), fleet(5), seed=seed)
        late: list[tuple[int, Send]] = []
        for i, key in enumerate(keys):
            now = i * S // a_second
            while late and late[0][0] <= now:
                due, send = late.pop(0)
                router.handle(result_of(send, Outcome.TIMEOUT, latency=S), due)
            for send in sends(router.handle(request(key, now, key=key), now)):
                if send.server == home:
                    lost += 1
                    late.append((now + S, send))
                else:
                    router.handle(result_of(send, Outcome.OK), now)
    # What is sent before its first end comes, and then some each 4 to 8 s: hardly by how many come.
    assert lost / 10 <= a_second * 3 + span / 3


def test_the_last_attempt_of_a_read_that_caches_reject_goes_to_the_origin() -> None:
    router = started(settings(), fleet(8))
    actions = router.handle(request("r"), 0)
    for attempt in range(3):
        send = only_send(actions)
        assert send.server != ORIGIN.id
        actions = router.handle(result_of(send, Outcome.CONNECT_FAILED, attempt=attempt, latency=MS), 0)
    assert only_send(actions).server == ORIGIN.id


def test_a_hedge_does_not_go_to_a_server_that_rejects_connections() -> None:
    router = started(settings(may_hedge=True), fleet(2))
    first, second = keys_at(fleet(5)[0].id, 2)
    send = only_send(router.handle(request("a", key=first), 0))
    other = connection_rejected(router, send, MS)  # so that `send`'s server has no place
    router.handle(result_of(other, Outcome.OK, attempt=1), 2 * MS)
    again = only_send(router.handle(request("b", key=second), 3 * MS))
    assert again.server == other.server
    assert router.handle(HedgeDue("b"), 50 * MS) == []


def test_a_server_is_reported_as_avoided_while_hardly_anything_is_sent_to_it() -> None:
    for outcome, latency, is_avoided in (
        (Outcome.CONNECT_FAILED, 0, True),
        (Outcome.TIMEOUT, S, True),
        (Outcome.OK, LATE, False),  # it is connects less for a moment, and has most of its traffic
    ):
        router = started(settings(), fleet(2), origin=False)
        assert router.avoided(0) == []
        send = only_send(router.handle(request("first"), 0))
        router.handle(result_of(send, outcome, latency=latency), S)
        assert router.avoided(S) == ([send.server] if is_avoided else [])
        assert router.avoided(S + 62 * S) == []
