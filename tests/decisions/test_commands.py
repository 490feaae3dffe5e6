"""Keys of one command, second copies, and what nobody has."""

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
from tests.decisions.cases import (
    MS,
    ORIGIN,
    S,
    ended,
    finals,
    fleet,
    only_send,
    request,
    sends,
    settings,
    started,
)


def asked(router: Router, name: str, command: str) -> Send:
    """A command of this one key: where it is sent."""
    (keys,) = router.handle(BatchArrived([name], [name], "read", S, "a", command), 0)
    assert isinstance(keys, SendBatch)
    return Send(name, keys.server)


def missed(router: Router, name: str, command: str | None = None) -> list[Send]:
    """A read that misses at its node; what is sent then."""
    send = (
        only_send(router.handle(request(name, key=name), 0))
        if command is None
        else asked(router, name, command)
    )
    return sends(router.handle(ended(send, Outcome.MISS), MS))


def only_send_of(found: list[Send]) -> Send:
    (send,) = found
    return send


def copies(**changes: object) -> Settings:
    return settings(may_hedge=True, **changes)


def test_a_commands_misses_have_so_many_fetches_out_and_the_next_follows_each_end() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(12) for send in missed(router, f"k{number}", command="c")]
    assert [fetch.request for fetch in fetches] == [f"k{number}" for number in range(FETCHES_PER_COMMAND)]
    for number in range(12):
        following = sends(router.handle(ended(fetches[number], Outcome.OK, attempt=1), 30 * MS))
        fetches += following
        assert [send.request for send in following] == [f"k{number + 4}"][: 12 - 4 - number]
    assert router.open_requests.commands == {}
    assert router.open_requests.by_id == {}


def test_keys_that_stand_in_line_for_the_store_count_among_their_commands_fetches() -> None:
    router = started(settings(), fleet(5))
    router.origin_limits.fetch_window = 2.0
    out = [send for number in range(12) for send in missed(router, f"k{number}", command="c")]
    assert [send.request for send in out] == ["k0", "k1"]
    assert router.fetch_queue.request_ids() == ["k2", "k3"]
    router.origin_limits.fetch_window = 20.0  # all of them would have room now
    seen = list(out)
    while out:
        assert len(out) <= FETCHES_PER_COMMAND
        out += sends(router.handle(ended(out.pop(0), Outcome.OK, attempt=1), 20 * MS))
        seen += [send for send in out if send not in seen]
    assert [send.request for send in seen] == [f"k{number}" for number in range(12)]
    assert router.open_requests.commands == {}


def test_a_key_that_leaves_the_line_makes_room_for_the_next_of_its_command() -> None:
    router = started(settings(), fleet(5))
    router.origin_limits.fetch_window = 1.0
    for number in range(6):
        missed(router, f"k{number}", command="c")
    assert router.fetch_queue.request_ids() == ["k1", "k2", "k3"]
    router.handle(ClientDisconnected("k2"), 2 * MS)
    assert router.fetch_queue.request_ids() == ["k1", "k3", "k4"]


def test_other_reads_do_not_wait_for_a_commands_line() -> None:
    router = started(settings(), fleet(5))
    for number in range(8):
        missed(router, f"k{number}", command="c")
    assert only_send_of(missed(router, "alone")).server == ORIGIN.id
    assert only_send_of(missed(router, "other", command="d")).server == ORIGIN.id


def test_a_key_in_line_is_asked_of_the_cache_again_once_another_has_fetched_it() -> None:
    router = started(settings(), fleet(5))
    for number in range(FETCHES_PER_COMMAND):
        missed(router, f"k{number}", command="c")
    assert missed(router, "same", command="c") == []
    single = only_send(router.handle(request("single", key="same"), 0))
    fetch = only_send(router.handle(ended(single, Outcome.MISS), MS))
    again = only_send(router.handle(ended(fetch, Outcome.OK, attempt=1), 40 * MS))
    assert again.request == "same"
    assert again.server != ORIGIN.id
    assert sends(router.handle(ended(again, Outcome.OK, attempt=1), 50 * MS)) == []


def test_a_key_in_line_whose_client_leaves_gives_its_place_up() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(6) for send in missed(router, f"k{number}", command="c")]
    router.handle(ClientDisconnected("k4"), 2 * MS)
    assert [s.request for s in sends(router.handle(ended(fetches[0], Outcome.OK, 1), 30 * MS))] == ["k5"]


def test_fetches_that_fail_or_whose_client_has_left_make_room_too() -> None:
    router = started(settings(), fleet(5))
    fetches = [send for number in range(7) for send in missed(router, f"k{number}", command="c")]
    following = sends(router.handle(ended(fetches[0], Outcome.ERROR, 1), 30 * MS))
    assert [send.request for send in following] == ["k4"]
    router.handle(ClientDisconnected("k1"), 31 * MS)
    following = sends(router.handle(ended(fetches[1], Outcome.OK, 1, closed=True), 32 * MS))
    assert [send.request for send in following] == ["k5"]


@pytest.mark.parametrize("first", [Outcome.TIMEOUT, Outcome.MISS, Outcome.RESET, Outcome.OK])
@pytest.mark.parametrize("twin", [Outcome.TIMEOUT, Outcome.MISS, Outcome.ERROR, Outcome.OK])
@pytest.mark.parametrize("twin_is_first", [True, False])
def test_whatever_both_copies_come_to_the_request_ends_once(
    first: Outcome, twin: Outcome, twin_is_first: bool
) -> None:
    router = started(copies(), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    copy = only_send(router.handle(HedgeDue("r"), 50 * MS))
    assert copy.server not in (send.server, ORIGIN.id)
    ends = [(send, first, 0), (copy, twin, 1)]
    answered, out, sent, now = False, {0, 1}, [], 60 * MS
    for each, outcome, number in reversed(ends) if twin_is_first else ends:
        out.remove(number)
        actions = router.handle(ended(each, outcome, number, closed=answered or outcome is Outcome.OK), now)
        assert not (answered and actions)
        answered = answered or outcome is Outcome.OK
        sent += sends(actions)
        now += MS
        assert finals(actions) == []
    # Neither served: a miss of either is fetched, at most once; else the next server is asked.
    assert len(sent) == (not answered) or (len(sent) == 1 and Outcome.MISS in (first, twin))
    for number, each in enumerate(sent, start=2):
        final = router.handle(ended(each, Outcome.OK, number), now)
        assert finals(final) == []
    assert router.open_requests.by_id == {}
    assert all(node.attempts_in_flight == 0 for node in router.caches.nodes.values())


def test_there_is_one_second_copy_at_a_time_and_none_beyond_the_attempts() -> None:
    router = started(copies(max_attempts=2), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    copy = only_send(router.handle(HedgeDue("r"), 50 * MS))
    assert router.handle(HedgeDue("r"), 51 * MS) == []
    router.handle(ended(copy, Outcome.ERROR, 1), 55 * MS)
    assert router.handle(HedgeDue("r"), 56 * MS) == []
    assert finals(router.handle(ended(send, Outcome.ERROR), 60 * MS)) != []


@pytest.mark.parametrize("cls", ["edit", "order"])
def test_what_a_repeat_may_harm_has_no_second_copy(cls: str) -> None:
    router = started(copies(origin_kind=None), fleet(5), origin=False)
    only_send(router.handle(request("w", cls=cls), 0))
    assert router.handle(HedgeDue("w"), 50 * MS) == []


def test_without_leave_or_while_fetching_or_after_its_end_there_is_no_second_copy() -> None:
    router = started(settings(), fleet(5))
    only_send(router.handle(request("r"), 0))
    assert router.handle(HedgeDue("r"), MS) == []
    router = started(copies(), fleet(5))
    missed(router, "m")
    assert router.handle(HedgeDue("m"), 2 * MS) == []
    assert router.handle(HedgeDue("never heard of"), 2 * MS) == []


def test_a_second_copy_goes_to_a_warm_and_sound_server_only() -> None:
    cold = tuple(fleet(1)) + tuple(fleet(6, started=100 * S)[1:])
    router = started(copies(cold_capacity=0.3, warm_up_time=9 * S), cold, now=101 * S)
    name = next(
        f"r{number}"
        for number in range(200)
        if only_send(router.handle(request(f"r{number}", 101 * S, key=f"k{number}"), 101 * S)).server
        != cold[0].id
    )
    assert only_send(router.handle(HedgeDue(name), 101 * S)).server == cold[0].id


def test_what_the_origin_does_not_have_is_told_to_all_that_wait_and_is_held_against_nobody() -> None:
    router = started(settings(), fleet(5))
    fetch = only_send_of(missed(router, "k"))
    for name in ("w1", "w2"):
        send = only_send(router.handle(request(name, key="k"), 0))
        assert sends(router.handle(ended(send, Outcome.MISS), MS)) == []
    limit = router.tenants.suppressors["a"].limit
    answers = router.handle(ended(fetch, Outcome.MISS, 1), 40 * MS)
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


def test_a_command_draining_away_leaves_nothing_in_the_module() -> None:
    router = started(settings(), fleet(3))
    out = {name: asked(router, name, "c") for name in (f"k{n}" for n in range(20))}
    for name, send in out.items():
        router.handle(ClientDisconnected(name), MS)
        router.handle(ended(send, Outcome.TIMEOUT, closed=True), 200 * MS)
    assert router.open_requests.commands == {}
    assert router.open_requests.by_id == {}
