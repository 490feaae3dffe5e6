"""The window of fetches in flight, which follows their latency, and the queue behind it."""

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
    """Run a read that misses at its node; return the actions after the miss."""
    send = only_send(router.handle(request(name, now, key=key or name), now))
    return router.handle(result_of(send, Outcome.MISS, latency=2 * MS), now)


def router_with_window(window: float = 1.0) -> Router:
    """Return a router with this window, fast recent fetches and none in flight."""
    router = started(settings(), fleet(4))
    router.origin_limits.fetch_window, router.origin_limits.fetch_latency.mean = window, 50 * MS
    return router


def fetch(router: Router, name: str, now: int) -> Send:
    return only_send(miss(router, name, now))


def test_window_is_infinite_until_a_fetch_is_slow() -> None:
    router = started(settings(), fleet(4))
    fetches = [fetch(router, f"f{number}", S) for number in range(40)]
    assert router.origin_limits.fetch_window == math.inf
    router.handle(result_of(fetches[0], Outcome.OK, 1, latency=SLOW), S + SLOW)
    assert router.origin_limits.fetch_window == pytest.approx(40 * WINDOW_DECREASE)
    # The slow fetches of one round trip decrease the window once.
    router.handle(result_of(fetches[1], Outcome.OK, 1, latency=SLOW), S + SLOW)
    assert router.origin_limits.fetch_window == pytest.approx(40 * WINDOW_DECREASE)
    window_before = router.origin_limits.fetch_window
    router.handle(result_of(fetches[2], Outcome.OK, 1, latency=QUICK), S + SLOW)
    assert router.origin_limits.fetch_window == pytest.approx(window_before + 1 / window_before)


def test_late_fetches_decrease_no_limit_while_the_window_can_shrink() -> None:
    router = started(settings(), fleet(4))
    limits, late = router.limits(), LATENCY_TARGET + MS
    for send in [fetch(router, f"f{number}", S) for number in range(6)]:
        router.handle(result_of(send, Outcome.OK, 1, latency=late), S + late)
    assert router.origin_limits.fetch_window == pytest.approx(6 * WINDOW_DECREASE)
    assert router.limits() == limits
    # If a single fetch in flight is late, the origin itself is slow, and the limits decrease.
    router.origin_limits.fetch_window, now = 1.0, 2 * S
    for number in range(2):
        send = fetch(router, f"g{number}", now)
        now += late
        router.handle(result_of(send, Outcome.OK, 1, latency=late), now)
    assert all(router.limits()[name] < limit for name, limit in limits.items())


def test_errors_decrease_the_limits_whatever_the_window() -> None:
    router = started(settings(), fleet(4))
    limits = router.limits()
    fetches = [fetch(router, f"f{number}", S) for number in range(12)]
    for send in fetches:
        router.handle(result_of(send, Outcome.ERROR, 1, latency=5 * MS), S + 5 * MS)
    assert all(router.limits()[name] < limit for name, limit in limits.items())


def test_key_with_most_waiters_is_fetched_first() -> None:
    router = router_with_window()
    first_fetch = fetch(router, "out", S)
    for name in ("one", "two"):
        assert isinstance(miss(router, name, S)[0], SetTimer)
    assert isinstance(miss(router, "two again", S, key="two")[0], SetTimer)  # joins its key's flight
    # A latency between fast and slow leaves the window unchanged.
    (next_fetch,) = sends(
        router.handle(result_of(first_fetch, Outcome.OK, 1, latency=QUICK + MS), S + 20 * MS)
    )
    assert (next_fetch.request, next_fetch.server) == ("two", ORIGIN.id)
    # After this fetch its waiter reads from the cache, and the next queued fetch starts.
    actions = sends(router.handle(result_of(next_fetch, Outcome.OK, 1, latency=QUICK + MS), S + 40 * MS))
    assert {send.request for send in actions} == {"two again", "one"}
    assert not router.fetch_queue


def test_full_queue_rejects_the_key_with_fewest_waiters() -> None:
    router = router_with_window()
    fetch(router, "out", S)
    names = [f"l{number}" for number in range(QUEUED_PER_FETCH)]
    for name in names:
        miss(router, name, S)
    for number in range(2):
        miss(router, f"more {number}", S, key=names[0])
    (rejection,) = finals(miss(router, "late", S))
    assert isinstance(rejection, Reject)
    assert (rejection.request, rejection.reason) == (names[1], Reason.RATE_LIMITED)
    assert router.fetch_queue.request_ids() == [names[0], *names[2:], "late"]


def test_read_that_can_no_longer_be_in_time_is_rejected() -> None:
    router = router_with_window()
    fetch(router, "out", S)
    (timer,) = miss(router, "waits", S)
    assert isinstance(timer, SetTimer)
    assert timer.delay == int(LATENCY_TARGET * SLOW_FETCH_FRACTION) - 50 * MS
    (rejection,) = finals(router.handle(TimerFired(timer.token), S + timer.delay))
    assert isinstance(rejection, Reject)
    assert rejection.reason is Reason.RATE_LIMITED
    router.origin_limits.fetch_latency.mean = float(LATENCY_TARGET)
    (rejection_at_once,) = finals(miss(router, "hopeless", S))
    assert rejection_at_once.request == "hopeless"
    assert not router.fetch_queue


def test_waiter_replaces_a_queued_request_whose_client_disconnects() -> None:
    router = router_with_window()
    first_fetch = fetch(router, "out", S)
    miss(router, "disconnected", S, key="k")
    miss(router, "stays", S, key="k")
    router.handle(ClientDisconnected("disconnected"), S + MS)
    assert router.fetch_queue.request_ids() == ["stays"]
    (next_fetch,) = sends(router.handle(result_of(first_fetch, Outcome.OK, 1), S + 20 * MS))
    assert next_fetch.request == "stays"


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_queued_fetches_are_not_sent_to_a_draining_or_removed_origin(state: ServerState) -> None:
    router = router_with_window()
    first_fetch = fetch(router, "out", S)
    miss(router, "waits", S)
    changed_origin = Server(ORIGIN.id, kind="origin", state=state)
    router.handle(ServersChanged(ListKind.DELTA, (changed_origin,)), S + MS)
    actions = router.handle(result_of(first_fetch, Outcome.OK, 1), S + 20 * MS)
    assert not sends(actions)
    assert [action.request for action in finals(actions)] == ["waits"]


def test_writes_do_not_wait_in_the_fetch_queue() -> None:
    router = router_with_window()
    fetch(router, "out", S)
    miss(router, "waits", S)
    assert only_send(router.handle(request("w", S, cls="edit"), S)).server == ORIGIN.id


def test_no_state_is_left_after_all_fetches() -> None:
    router = router_with_window(2.0)
    fetches = [fetch(router, f"f{number}", S) for number in range(2)]
    for number in range(20):
        miss(router, f"l{number}", S + number * MS, key=f"k{number % 3}")
    now = S + 50 * MS
    while fetches:
        next_actions = router.handle(result_of(fetches.pop(), Outcome.OK, 1), now)
        for send in sends(next_actions):
            if send.server == ORIGIN.id:
                fetches.append(send)
            else:
                router.handle(result_of(send, Outcome.OK, 1), now)
        now += 10 * MS
    assert not router.fetch_queue
    assert not router.flights
    assert not router.open_requests.by_id
