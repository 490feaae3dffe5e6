"""Fetches in flight at the origin: a window that follows their latency, and the short queue behind it."""

from __future__ import annotations

import math

import pytest

from pebblepass.decisions import (
    Action,
    ClientDisconnected,
    ListKind,
    Outcome,
    Reason,
    Reject,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    TimerFired,
)
from pebblepass.decisions.fetch_queue import QUEUED_PER_FETCH
from pebblepass.decisions.origin_limits import QUICK_FETCH_FRACTION, SLOW_FETCH_FRACTION, WINDOW_DECREASE
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

LATENCY_TARGET = 300 * MS
QUICK, SLOW = int(LATENCY_TARGET * QUICK_FETCH_FRACTION), int(LATENCY_TARGET * SLOW_FETCH_FRACTION) + 1


def miss(router: Router, name: str, now: int, key: str = "") -> list[Action]:
    """A read that misses at its node; what follows."""
    send = only_send(router.handle(request(name, now, key=key or name), now))
    return router.handle(result_of(send, Outcome.MISS, latency=2 * MS), now)


def narrowed(window: float = 1.0) -> Router:
    """A router whose window is that small, with quick fetches lately and none out."""
    router = started(settings(), fleet(4))
    router.origin_limits.fetch_window, router.origin_limits.fetch_latency.mean = window, 50 * MS
    return router


def fetch(router: Router, name: str, now: int) -> Send:
    return only_send(miss(router, name, now))


def test_there_is_no_window_until_a_fetch_is_slow_and_then_it_follows_the_fetches_in_flight() -> None:
    router = started(settings(), fleet(4))
    out = [fetch(router, f"f{number}", S) for number in range(40)]
    assert router.origin_limits.fetch_window == math.inf
    router.handle(result_of(out[0], Outcome.OK, 1, latency=SLOW), S + SLOW)
    assert router.origin_limits.fetch_window == pytest.approx(40 * WINDOW_DECREASE)
    # One round-trip's slow fetches are one sign.
    router.handle(result_of(out[1], Outcome.OK, 1, latency=SLOW), S + SLOW)
    assert router.origin_limits.fetch_window == pytest.approx(40 * WINDOW_DECREASE)
    before = router.origin_limits.fetch_window
    router.handle(result_of(out[2], Outcome.OK, 1, latency=QUICK), S + SLOW)
    assert router.origin_limits.fetch_window == pytest.approx(before + 1 / before)


def test_late_fetches_decrease_no_limit_while_the_window_can_shrink() -> None:
    router = started(settings(), fleet(4))
    limits, late = router.limits(), LATENCY_TARGET + MS
    for send in [fetch(router, f"f{number}", S) for number in range(6)]:
        router.handle(result_of(send, Outcome.OK, 1, latency=late), S + late)
    assert router.origin_limits.fetch_window == pytest.approx(6 * WINDOW_DECREASE)
    assert router.limits() == limits
    # Of one that was out alone the origin itself is slow: that lateness counts.
    router.origin_limits.fetch_window, now = 1.0, 2 * S
    for number in range(2):
        send = fetch(router, f"g{number}", now)
        now += late
        router.handle(result_of(send, Outcome.OK, 1, latency=late), now)
    assert all(router.limits()[name] < limit for name, limit in limits.items())


def test_errors_decrease_the_limits_whatever_the_window() -> None:
    router = started(settings(), fleet(4))
    limits = router.limits()
    out = [fetch(router, f"f{number}", S) for number in range(12)]
    for send in out:
        router.handle(result_of(send, Outcome.ERROR, 1, latency=5 * MS), S + 5 * MS)
    assert all(router.limits()[name] < limit for name, limit in limits.items())


def test_reads_are_queued_and_the_key_with_most_waiters_is_fetched_first() -> None:
    router = narrowed()
    out = fetch(router, "out", S)
    for name in ("one", "two"):
        assert isinstance(miss(router, name, S)[0], SetTimer)
    assert isinstance(miss(router, "two again", S, key="two")[0], SetTimer)  # joins the flight of its key
    # Neither quick nor slow: the window stays.
    (next_fetch,) = sends(router.handle(result_of(out, Outcome.OK, 1, latency=QUICK + MS), S + 20 * MS))
    assert (next_fetch.request, next_fetch.server) == ("two", ORIGIN.id)
    # Its fetch serves the other that waits too, by the cache; and then it is the first one's turn.
    actions = sends(router.handle(result_of(next_fetch, Outcome.OK, 1, latency=QUICK + MS), S + 40 * MS))
    assert {send.request for send in actions} == {"two again", "one"}
    assert not router.fetch_queue


def test_a_full_queue_rejects_the_key_with_fewest_waiters_at_once() -> None:
    router = narrowed()
    fetch(router, "out", S)
    names = [f"l{number}" for number in range(QUEUED_PER_FETCH)]
    for name in names:
        miss(router, name, S)
    for number in range(2):
        miss(router, f"more {number}", S, key=names[0])
    (refused,) = finals(miss(router, "late", S))
    assert isinstance(refused, Reject)
    assert (refused.request, refused.reason) == (names[1], Reason.RATE_LIMITED)
    assert router.fetch_queue.request_ids() == [names[0], *names[2:], "late"]


def test_a_read_that_can_no_longer_be_in_time_is_rejected() -> None:
    router = narrowed()
    fetch(router, "out", S)
    (timer,) = miss(router, "waits", S)
    assert isinstance(timer, SetTimer)
    assert timer.delay == int(LATENCY_TARGET * SLOW_FETCH_FRACTION) - 50 * MS
    (refused,) = finals(router.handle(TimerFired(timer.token), S + timer.delay))
    assert isinstance(refused, Reject)
    assert refused.reason is Reason.RATE_LIMITED
    router.origin_limits.fetch_latency.mean = float(LATENCY_TARGET)
    (at_once,) = finals(miss(router, "hopeless", S))
    assert at_once.request == "hopeless"
    assert not router.fetch_queue


def test_a_disconnected_client_leaves_the_queue_and_another_takes_over_its_flight() -> None:
    router = narrowed()
    out = fetch(router, "out", S)
    miss(router, "disconnected", S, key="k")
    miss(router, "stays", S, key="k")
    router.handle(ClientDisconnected("disconnected"), S + MS)
    assert router.fetch_queue.request_ids() == ["stays"]
    (next_fetch,) = sends(router.handle(result_of(out, Outcome.OK, 1), S + 20 * MS))
    assert next_fetch.request == "stays"


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_nothing_queued_is_sent_to_an_origin_that_is_draining_or_removed(state: ServerState) -> None:
    router = narrowed()
    out = fetch(router, "out", S)
    miss(router, "waits", S)
    leaves = Server(ORIGIN.id, kind="origin", state=state)
    router.handle(ServersChanged(ListKind.DELTA, (leaves,)), S + MS)
    actions = router.handle(result_of(out, Outcome.OK, 1), S + 20 * MS)
    assert not sends(actions)
    assert [action.request for action in finals(actions)] == ["waits"]


def test_writes_do_not_wait_in_the_queue_of_reads() -> None:
    router = narrowed()
    fetch(router, "out", S)
    miss(router, "waits", S)
    assert only_send(router.handle(request("w", S, cls="edit"), S)).server == ORIGIN.id


def test_no_state_is_left_at_the_end() -> None:
    router = narrowed(2.0)
    out = [fetch(router, f"f{number}", S) for number in range(2)]
    for number in range(20):
        miss(router, f"l{number}", S + number * MS, key=f"k{number % 3}")
    now = S + 50 * MS
    while out:
        following = router.handle(result_of(out.pop(), Outcome.OK, 1), now)
        for send in sends(following):
            if send.server == ORIGIN.id:
                out.append(send)
            else:
                router.handle(result_of(send, Outcome.OK, 1), now)
        now += 10 * MS
    assert not router.fetch_queue
    assert not router.flights
    assert not router.open_requests.by_id
