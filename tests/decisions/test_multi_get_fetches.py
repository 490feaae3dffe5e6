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


def sent_for(router: Router, name: str, command: str) -> Send:
    """A command of this one key: where it is sent."""
    (keys,) = router.handle(BatchArrived([name], [name], "read", S, "a", command), 0)
    assert isinstance(keys, SendBatch)
    return Send(name, keys.server)


def missed(router: Router, name: str, command: str | None = None) -> list[Send]:
    """A read that misses at its node; what is sent then."""
    send = (
        only_send(router.handle(request(name, key=name), 0))
        if command is None
        else sent_for(router, name, command)
    )
    return sends(router.handle(result_of(send, Outcome.MISS), MS))


def only_send_of(found: list[Send]) -> Send:
    (send,) = found
    return send


def hedging_settings(**changes: object) -> Settings:
    return settings(may_hedge=True, **changes)


def test_a_command_has_a_limited_number_of_fetches_in_flight_and_starts_the_next_at_each_end() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(12) for send in missed(router, f"k{number}", command="c")]
    assert [fetch.request for fetch in fetches] == [f"k{number}" for number in range(FETCHES_PER_COMMAND)]
    for number in range(12):
        following = sends(router.handle(result_of(fetches[number], Outcome.OK, attempt=1), 30 * MS))
        fetches += following
        assert [send.request for send in following] == [f"k{number + 4}"][: 12 - 4 - number]
    assert router.open_requests.commands == {}
    assert router.open_requests.by_id == {}


def test_keys_in_the_fetch_queue_count_among_their_commands_fetches() -> None:
    router = started(settings(), fleet(5))
    router.origin_limits.fetch_window = 2.0
    out = [send for number in range(12) for send in missed(router, f"k{number}", command="c")]
    assert [send.request for send in out] == ["k0", "k1"]
    assert router.fetch_queue.request_ids() == ["k2", "k3"]
    router.origin_limits.fetch_window = 20.0  # all of them would have room now
    seen = list(out)
    while out:
        assert len(out) <= FETCHES_PER_COMMAND
        out += sends(router.handle(result_of(out.pop(0), Outcome.OK, attempt=1), 20 * MS))
        seen += [send for send in out if send not in seen]
    assert [send.request for send in seen] == [f"k{number}" for number in range(12)]
    assert router.open_requests.commands == {}


def test_a_key_that_leaves_the_fetch_queue_lets_the_next_of_its_command_in() -> None:
    router = started(settings(), fleet(5))
    router.origin_limits.fetch_window = 1.0
    for number in range(6):
        missed(router, f"k{number}", command="c")
    assert router.fetch_queue.request_ids() == ["k1", "k2", "k3"]
    router.handle(ClientDisconnected("k2"), 2 * MS)
    assert router.fetch_queue.request_ids() == ["k1", "k3", "k4"]


def test_other_reads_do_not_wait_for_a_commands_queue() -> None:
    router = started(settings(), fleet(5))
    for number in range(8):
        missed(router, f"k{number}", command="c")
    assert only_send_of(missed(router, "alone")).server == ORIGIN.id
    assert only_send_of(missed(router, "other", command="d")).server == ORIGIN.id


def test_a_queued_key_is_read_from_the_cache_once_another_request_has_fetched_it() -> None:
    router = started(settings(), fleet(5))
    for number in range(FETCHES_PER_COMMAND):
        missed(router, f"k{number}", command="c")
    assert missed(router, "same", command="c") == []
    single = only_send(router.handle(request("single", key="same"), 0))
    fetch = only_send(router.handle(result_of(single, Outcome.MISS), MS))
    again = only_send(router.handle(result_of(fetch, Outcome.OK, attempt=1), 40 * MS))
    assert again.request == "same"
    assert again.server != ORIGIN.id
    assert sends(router.handle(result_of(again, Outcome.OK, attempt=1), 50 * MS)) == []


def test_a_queued_key_whose_client_disconnects_leaves_the_queue() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(6) for send in missed(router, f"k{number}", command="c")]
    router.handle(ClientDisconnected("k4"), 2 * MS)
    assert [s.request for s in sends(router.handle(result_of(fetches[0], Outcome.OK, 1), 30 * MS))] == ["k5"]


def test_fetches_that_fail_or_whose_client_has_disconnected_let_the_next_in() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(7) for send in missed(router, f"k{number}", command="c")]
    following = sends(router.handle(result_of(fetches[0], Outcome.ERROR, 1), 30 * MS))
    assert [send.request for send in following] == ["k4"]
    router.handle(ClientDisconnected("k1"), 31 * MS)
    following = sends(router.handle(result_of(fetches[1], Outcome.OK, 1, answered=True), 32 * MS))
    assert [send.request for send in following] == ["k5"]


@pytest.mark.parametrize("first", [Outcome.TIMEOUT, Outcome.MISS, Outcome.RESET, Outcome.OK])
@pytest.mark.parametrize("twin", [Outcome.TIMEOUT, Outcome.MISS, Outcome.ERROR, Outcome.OK])
@pytest.mark.parametrize("twin_is_first", [True, False])
def test_whatever_the_outcomes_of_attempt_and_hedge_the_request_ends_once(
    first: Outcome, twin: Outcome, twin_is_first: bool
) -> None:
    router = started(hedging_settings(), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    copy = only_send(router.handle(HedgeDue("r"), 50 * MS))
    assert copy.server not in (send.server, ORIGIN.id)
    ends = [(send, first, 0), (copy, twin, 1)]
    answered, out, sent, now = False, {0, 1}, [], 60 * MS
    for each, outcome, number in reversed(ends) if twin_is_first else ends:
        out.remove(number)
        actions = router.handle(
            result_of(each, outcome, number, answered=answered or outcome is Outcome.OK), now
        )
        assert not (answered and actions)
        answered = answered or outcome is Outcome.OK
        sent += sends(actions)
        now += MS
        assert finals(actions) == []
    # Neither served: a miss of either is fetched, at most once; else the next server is asked.
    assert len(sent) == (not answered) or (len(sent) == 1 and Outcome.MISS in (first, twin))
    for number, each in enumerate(sent, start=2):
        final = router.handle(result_of(each, Outcome.OK, number), now)
        assert finals(final) == []
    assert router.open_requests.by_id == {}
    assert all(node.attempts_in_flight == 0 for node in router.caches.nodes.values())


def test_there_is_one_hedge_at_a_time_and_none_beyond_the_attempts() -> None:
    router = started(hedging_settings(max_attempts=2), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    copy = only_send(router.handle(HedgeDue("r"), 50 * MS))
    assert router.handle(HedgeDue("r"), 51 * MS) == []
    router.handle(result_of(copy, Outcome.ERROR, 1), 55 * MS)
    assert router.handle(HedgeDue("r"), 56 * MS) == []
    assert finals(router.handle(result_of(send, Outcome.ERROR), 60 * MS)) != []


@pytest.mark.parametrize("cls", ["edit", "order"])
def test_requests_that_are_not_idempotent_are_not_hedged(cls: str) -> None:
    router = started(hedging_settings(origin_kind=None), fleet(5), origin=False)
    only_send(router.handle(request("w", cls=cls), 0))
    assert router.handle(HedgeDue("w"), 50 * MS) == []


def test_there_is_no_hedge_if_disabled_or_while_fetching_or_after_the_end() -> None:
    router = started(settings(), fleet(5))
    only_send(router.handle(request("r"), 0))
    assert router.handle(HedgeDue("r"), MS) == []
    router = started(hedging_settings(), fleet(5))
    missed(router, "m")
    assert router.handle(HedgeDue("m"), 2 * MS) == []
    assert router.handle(HedgeDue("never heard of"), 2 * MS) == []


def test_a_hedge_goes_to_a_warm_and_healthy_server_only() -> None:
    cold = tuple(fleet(1)) + tuple(fleet(6, started=100 * S)[1:])
    router = started(hedging_settings(cold_capacity=0.3, warm_up_time=9 * S), cold, now=101 * S)
    name = next(
        f"r{number}"
        for number in range(200)
        if only_send(router.handle(request(f"r{number}", 101 * S, key=f"k{number}"), 101 * S)).server
        != cold[0].id
    )
    assert only_send(router.handle(HedgeDue(name), 101 * S)).server == cold[0].id


def test_a_key_missing_at_the_origin_is_reported_to_all_waiters_and_decreases_no_limit() -> None:
    router = started(settings(), fleet(5))
    fetch = only_send_of(missed(router, "k"))
    for name in ("w1", "w2"):
        send = only_send(router.handle(request(name, key="k"), 0))
        assert sends(router.handle(result_of(send, Outcome.MISS), MS)) == []
    limit = router.tenants.suppressors["a"].limit
    answers = router.handle(result_of(fetch, Outcome.MISS, 1), 40 * MS)
    assert [(type(answer), answer.request) for answer in finals(answers)] == [
        (Fail, "w1"),
        (Fail, "w2"),
        (Fail, "k"),
    ]
    assert all(answer.reason is Reason.NOT_FOUND for answer in finals(answers))
    assert sends(answers) == []
    assert router.open_requests.by_id == {}
    assert router.tenants.suppressors["a"].limit >= limit
    assert router.origin_limits.bad_fetch_fraction == 0


def test_a_command_whose_clients_disconnect_leaves_no_state() -> None:
    router = started(settings(), fleet(3))
    out = {name: sent_for(router, name, "c") for name in (f"k{n}" for n in range(20))}
    for name, send in out.items():
        router.handle(ClientDisconnected(name), MS)
        router.handle(result_of(send, Outcome.TIMEOUT, answered=True), 200 * MS)
    assert router.open_requests.commands == {}
    assert router.open_requests.by_id == {}
