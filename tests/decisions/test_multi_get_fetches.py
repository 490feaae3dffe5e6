"""Fetches of a multi-get command's keys, hedges, and keys that the origin does not have."""

from __future__ import annotations

import pytest

from pebblepass.decisions import (
    BatchArrived,
    ClientDisconnected,
    Fail,
    HedgeDue,
    Outcome,
    Reason,
    Router,
    Send,
    SendBatch,
    Settings,
)
from pebblepass.decisions.completion import FETCHES_PER_COMMAND
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


def first_attempt(router: Router, name: str, command: str) -> Send:
    """Start a command with this one key; return its first attempt."""
    (keys,) = router.handle(BatchArrived([name], [name], "read", S, "a", command), 0)
    assert isinstance(keys, SendBatch)
    return Send(name, keys.server)


def sends_after_miss(router: Router, name: str, command: str | None = None) -> list[Send]:
    """Run a read that misses at its node; return the attempts that follow."""
    send = (
        only_send(router.handle(request(name, key=name), 0))
        if command is None
        else first_attempt(router, name, command)
    )
    return sends(router.handle(result_of(send, Outcome.MISS), MS))


def only_item(found_sends: list[Send]) -> Send:
    (send,) = found_sends
    return send


def hedging_settings(**changes: object) -> Settings:
    return settings(may_hedge=True, **changes)


def test_command_has_a_limited_number_of_fetches_in_flight() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(12) for send in sends_after_miss(router, f"k{number}", command="c")]
    assert [fetch.request for fetch in fetches] == [f"k{number}" for number in range(FETCHES_PER_COMMAND)]
    for number in range(12):
        next_sends = sends(router.handle(result_of(fetches[number], Outcome.OK, attempt=1), 30 * MS))
        fetches += next_sends
        assert [send.request for send in next_sends] == [f"k{number + 4}"][: 12 - 4 - number]
    assert router.open_requests.commands == {}
    assert router.open_requests.by_id == {}


def test_queued_fetches_count_among_their_commands_fetches() -> None:
    router = started(settings(), fleet(5))
    router.origin_limits.fetch_window = 2.0
    in_flight = [send for number in range(12) for send in sends_after_miss(router, f"k{number}", command="c")]
    assert [send.request for send in in_flight] == ["k0", "k1"]
    assert router.fetch_queue.request_ids() == ["k2", "k3"]
    router.origin_limits.fetch_window = 20.0  # wide enough for all of them
    all_sends = list(in_flight)
    while in_flight:
        assert len(in_flight) <= FETCHES_PER_COMMAND
        in_flight += sends(router.handle(result_of(in_flight.pop(0), Outcome.OK, attempt=1), 20 * MS))
        all_sends += [send for send in in_flight if send not in all_sends]
    assert [send.request for send in all_sends] == [f"k{number}" for number in range(12)]
    assert router.open_requests.commands == {}


def test_key_that_leaves_the_fetch_queue_admits_the_commands_next_key() -> None:
    router = started(settings(), fleet(5))
    router.origin_limits.fetch_window = 1.0
    for number in range(6):
        sends_after_miss(router, f"k{number}", command="c")
    assert router.fetch_queue.request_ids() == ["k1", "k2", "k3"]
    router.handle(ClientDisconnected("k2"), 2 * MS)
    assert router.fetch_queue.request_ids() == ["k1", "k3", "k4"]


def test_other_reads_do_not_wait_for_a_commands_queue() -> None:
    router = started(settings(), fleet(5))
    for number in range(8):
        sends_after_miss(router, f"k{number}", command="c")
    assert only_item(sends_after_miss(router, "alone")).server == ORIGIN.id
    assert only_item(sends_after_miss(router, "other", command="d")).server == ORIGIN.id


def test_queued_key_is_read_from_the_cache_after_another_fetch() -> None:
    router = started(settings(), fleet(5))
    for number in range(FETCHES_PER_COMMAND):
        sends_after_miss(router, f"k{number}", command="c")
    assert sends_after_miss(router, "same", command="c") == []
    single_send = only_send(router.handle(request("single", key="same"), 0))
    fetch = only_send(router.handle(result_of(single_send, Outcome.MISS), MS))
    read_again = only_send(router.handle(result_of(fetch, Outcome.OK, attempt=1), 40 * MS))
    assert read_again.request == "same"
    assert read_again.server != ORIGIN.id
    assert sends(router.handle(result_of(read_again, Outcome.OK, attempt=1), 50 * MS)) == []


def test_queued_key_of_a_disconnected_client_leaves_the_queue() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(6) for send in sends_after_miss(router, f"k{number}", command="c")]
    router.handle(ClientDisconnected("k4"), 2 * MS)
    assert [s.request for s in sends(router.handle(result_of(fetches[0], Outcome.OK, 1), 30 * MS))] == ["k5"]


def test_failed_or_abandoned_fetch_admits_the_commands_next_key() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(7) for send in sends_after_miss(router, f"k{number}", command="c")]
    next_sends = sends(router.handle(result_of(fetches[0], Outcome.ERROR, 1), 30 * MS))
    assert [send.request for send in next_sends] == ["k4"]
    router.handle(ClientDisconnected("k1"), 31 * MS)
    next_sends = sends(router.handle(result_of(fetches[1], Outcome.OK, 1, answered=True), 32 * MS))
    assert [send.request for send in next_sends] == ["k5"]


@pytest.mark.parametrize("first_outcome", [Outcome.TIMEOUT, Outcome.MISS, Outcome.RESET, Outcome.OK])
@pytest.mark.parametrize("hedge_outcome", [Outcome.TIMEOUT, Outcome.MISS, Outcome.ERROR, Outcome.OK])
@pytest.mark.parametrize("hedge_ends_first", [True, False])
def test_request_ends_once_whatever_the_outcomes_of_attempt_and_hedge(
    first_outcome: Outcome, hedge_outcome: Outcome, hedge_ends_first: bool
) -> None:
    router = started(hedging_settings(), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    hedge = only_send(router.handle(HedgeDue("r"), 50 * MS))
    assert hedge.server not in (send.server, ORIGIN.id)
    results = [(send, first_outcome, 0), (hedge, hedge_outcome, 1)]
    answered, in_flight, sent, now = False, {0, 1}, [], 60 * MS
    for attempt, outcome, number in reversed(results) if hedge_ends_first else results:
        in_flight.remove(number)
        actions = router.handle(
            result_of(attempt, outcome, number, answered=answered or outcome is Outcome.OK), now
        )
        assert not (answered and actions)
        answered = answered or outcome is Outcome.OK
        sent += sends(actions)
        now += MS
        assert finals(actions) == []
    # If neither served it, a miss of either leads to one fetch, and other outcomes to the next server.
    assert len(sent) == (not answered) or (len(sent) == 1 and Outcome.MISS in (first_outcome, hedge_outcome))
    for number, attempt in enumerate(sent, start=2):
        final = router.handle(result_of(attempt, Outcome.OK, number), now)
        assert finals(final) == []
    assert router.open_requests.by_id == {}
    assert all(node.attempts_in_flight == 0 for node in router.caches.nodes.values())


def test_one_hedge_at_a_time_and_none_beyond_the_attempt_limit() -> None:
    router = started(hedging_settings(max_attempts=2), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    hedge = only_send(router.handle(HedgeDue("r"), 50 * MS))
    assert router.handle(HedgeDue("r"), 51 * MS) == []
    router.handle(result_of(hedge, Outcome.ERROR, 1), 55 * MS)
    assert router.handle(HedgeDue("r"), 56 * MS) == []
    assert finals(router.handle(result_of(send, Outcome.ERROR), 60 * MS)) != []


@pytest.mark.parametrize("cls", ["edit", "order"])
def test_requests_that_are_not_idempotent_are_not_hedged(cls: str) -> None:
    router = started(hedging_settings(origin_kind=None), fleet(5), origin=False)
    only_send(router.handle(request("w", cls=cls), 0))
    assert router.handle(HedgeDue("w"), 50 * MS) == []


def test_no_hedge_if_disabled_or_while_fetching_or_after_the_end() -> None:
    router = started(settings(), fleet(5))
    only_send(router.handle(request("r"), 0))
    assert router.handle(HedgeDue("r"), MS) == []
    router = started(hedging_settings(), fleet(5))
    sends_after_miss(router, "m")
    assert router.handle(HedgeDue("m"), 2 * MS) == []
    assert router.handle(HedgeDue("unknown"), 2 * MS) == []


def test_hedge_goes_only_to_a_warm_and_healthy_server() -> None:
    cold = tuple(fleet(1)) + tuple(fleet(6, started=100 * S)[1:])
    router = started(hedging_settings(cold_capacity=0.3, warm_up_time=9 * S), cold, now=101 * S)
    name = next(
        f"r{number}"
        for number in range(200)
        if only_send(router.handle(request(f"r{number}", 101 * S, key=f"k{number}"), 101 * S)).server
        != cold[0].id
    )
    assert only_send(router.handle(HedgeDue(name), 101 * S)).server == cold[0].id


def test_key_missing_at_the_origin_fails_all_waiters_and_no_limit_decreases() -> None:
    router = started(settings(), fleet(5))
    fetch = only_item(sends_after_miss(router, "k"))
    for name in ("w1", "w2"):
        send = only_send(router.handle(request(name, key="k"), 0))
        assert sends(router.handle(result_of(send, Outcome.MISS), MS)) == []
    limit = router.tenants.suppressors["a"].limit
    actions = router.handle(result_of(fetch, Outcome.MISS, 1), 40 * MS)
    assert [(type(final), final.request) for final in finals(actions)] == [
        (Fail, "w1"),
        (Fail, "w2"),
        (Fail, "k"),
    ]
    assert all(final.reason is Reason.NOT_FOUND for final in finals(actions))
    assert sends(actions) == []
    assert router.open_requests.by_id == {}
    assert router.tenants.suppressors["a"].limit >= limit
    assert router.origin_limits.bad_fetch_fraction == 0


def test_command_of_a_disconnected_client_leaves_no_state() -> None:
    router = started(settings(), fleet(3))
    in_flight = {name: first_attempt(router, name, "c") for name in (f"k{n}" for n in range(20))}
    for name, send in in_flight.items():
        router.handle(ClientDisconnected(name), MS)
        router.handle(result_of(send, Outcome.TIMEOUT, answered=True), 200 * MS)
    assert router.open_requests.commands == {}
    assert router.open_requests.by_id == {}
