"""What one router's decisions tell another's, and what it makes of it."""

from __future__ import annotations

import pytest
from msgspec.structs import astuple, replace

from pebblepass.decisions import ListKind, Outcome, Router, RouterState, Server, ServersChanged, StateImported
from tests.decisions.cases import MS, ORIGIN, S, ended, fleet, only_send, request, sends, settings, started

CALLS = 400


def busy(limit_cut: bool = True) -> tuple[Router, int]:
    """A router that has served for a while: a dead server, a hot key, and a store that fails."""
    router, now = started(settings(), fleet(6)), 0
    for i in range(CALLS):
        now += 10 * MS
        send = only_send(router.handle(request(f"q{i}", now, key="hot" if i % 2 else f"k{i}"), now))
        if send.server == ORIGIN.id:
            continue
        for again in sends(router.handle(ended(send, Outcome.MISS if i % 8 == 0 else Outcome.OK), now)):
            bad = limit_cut and i > CALLS / 2
            outcome = Outcome.ERROR if bad else Outcome.OK
            router.handle(ended(again, outcome, attempt=1, closed=not bad), now)
    return router, now


def taught(known: RouterState, servers: tuple[Server, ...], now: int) -> Router:
    router = started(settings(), servers, now=now, seed=9)
    router.handle(StateImported(known), now)
    return router


def test_a_router_that_is_told_has_the_limits_and_the_health_of_the_one_that_tells() -> None:
    donor, now = busy()
    down = only_send(donor.handle(request("last", now, key="other"), now))
    donor.handle(ended(down, Outcome.CONNECT_FAILED), now)
    assert donor.limits()["a"] < started(settings(), fleet(6)).limits()["a"]
    heir = taught(donor.export_state(now), fleet(6), now)
    assert heir.limits() == pytest.approx(donor.limits())
    assert heir.avoided(now) == donor.avoided(now) == [down.server]
    told, kept = heir.export_state(now), donor.export_state(now)
    assert {node.server: node.mean_latency for node in told.servers} == {
        node.server: node.mean_latency for node in kept.servers
    }
    assert dict(told.slot_counts) == dict(kept.slot_counts)
    assert astuple(told.origin) == pytest.approx(astuple(kept.origin))
    # The window's calls come along: else the heir would let as many fetches go again.
    assert [sum(went for _, went, _ in limit.calls) for limit in told.limits] == [
        sum(went for _, went, _ in limit.calls) for limit in kept.limits
    ]


def test_what_weighs_nothing_changes_nothing() -> None:
    donor, now = busy()
    known = donor.export_state(now)
    fresh = started(settings(), fleet(6), now=now, seed=9)
    before = fresh.export_state(now)
    fresh.handle(StateImported(replace(known, servers=(), limits=(), weight=0.0)), now)
    after = fresh.export_state(now)
    assert (after.origin, after.limits, after.servers) == (before.origin, before.limits, before.servers)


def test_a_server_that_has_started_since_is_not_the_one_that_was_known() -> None:
    donor, now = busy(limit_cut=False)
    send = only_send(donor.handle(request("last", now, key="other"), now))
    donor.handle(ended(send, Outcome.CONNECT_FAILED), now)
    again = tuple(replace(each, started=now) if each.id == send.server else each for each in fleet(6))
    assert taught(donor.export_state(now), again, now).avoided(now) == []


def test_a_server_that_is_not_listed_any_longer_is_left_out() -> None:
    donor, now = busy(limit_cut=False)
    heir = taught(donor.export_state(now), fleet(3), now)
    assert {node.server for node in heir.export_state(now).servers} <= {each.id for each in fleet(3)}
    heir.handle(ServersChanged(ListKind.FULL, (*fleet(6), ORIGIN)), now)
    assert heir.avoided(now) == []


def test_an_own_later_view_is_not_overruled() -> None:
    donor, now = busy(limit_cut=False)
    known = donor.export_state(now)
    heir = started(settings(), fleet(6), now=now, seed=9)
    send = only_send(heir.handle(request("own", now + S, key="hot"), now + S))
    heir.handle(ended(send, Outcome.CONNECT_FAILED), now + S)
    heir.handle(StateImported(known), now + S)
    assert heir.avoided(now + S) == [send.server]
