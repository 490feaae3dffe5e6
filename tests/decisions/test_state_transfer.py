"""State that one router exports and another imports."""

from __future__ import annotations

import pytest
from msgspec.structs import astuple, replace

from pebblepass.decisions import ListKind, Outcome, Router, RouterState, Server, ServersChanged, StateImported
from tests.decisions.builders import (
    MS,
    ORIGIN,
    S,
    fleet,
    only_send,
    request,
    result_of,
    sends,
    settings,
    started,
)

CALLS = 400


def busy(limit_cut: bool = True) -> tuple[Router, int]:
    """A router that has served for a while: a dead server, a hot key, and a store that fails."""
    router, now = started(settings(), fleet(6)), 0
    for i in range(CALLS):
        now += 10 * MS
        send = only_send(router.handle(request(f"q{i}", now, key="hot" if i % 2 else f"k{i}"), now))
        if send.server == ORIGIN.id:
            continue
        for again in sends(router.handle(result_of(send, Outcome.MISS if i % 8 == 0 else Outcome.OK), now)):
            bad = limit_cut and i > CALLS / 2
            outcome = Outcome.ERROR if bad else Outcome.OK
            router.handle(result_of(again, outcome, attempt=1, answered=not bad), now)
    return router, now


def importing_router(known: RouterState, servers: tuple[Server, ...], now: int) -> Router:
    router = started(settings(), servers, now=now, seed=9)
    router.handle(StateImported(known), now)
    return router


def test_an_importing_router_has_the_limits_and_the_health_of_the_exporting_one() -> None:
    exporter, now = busy()
    down = only_send(exporter.handle(request("last", now, key="other"), now))
    exporter.handle(result_of(down, Outcome.CONNECT_FAILED), now)
    assert exporter.limits()["a"] < started(settings(), fleet(6)).limits()["a"]
    importer = importing_router(exporter.export_state(now), fleet(6), now)
    assert importer.limits() == pytest.approx(exporter.limits())
    assert importer.avoided(now) == exporter.avoided(now) == [down.server]
    imported, exported = importer.export_state(now), exporter.export_state(now)
    assert {node.server: node.mean_latency for node in imported.servers} == {
        node.server: node.mean_latency for node in exported.servers
    }
    assert dict(imported.slot_counts) == dict(exported.slot_counts)
    assert astuple(imported.origin) == pytest.approx(astuple(exported.origin))
    # The window's calls come along: else the importer would let as many fetches go again.
    assert [sum(admitted for _, admitted, _ in limit.calls) for limit in imported.limits] == [
        sum(admitted for _, admitted, _ in limit.calls) for limit in exported.limits
    ]


def test_state_of_weight_zero_changes_nothing() -> None:
    exporter, now = busy()
    known = exporter.export_state(now)
    fresh = started(settings(), fleet(6), now=now, seed=9)
    before = fresh.export_state(now)
    fresh.handle(StateImported(replace(known, servers=(), limits=(), weight=0.0)), now)
    after = fresh.export_state(now)
    assert (after.origin, after.limits, after.servers) == (before.origin, before.limits, before.servers)


def test_the_health_of_a_server_that_has_restarted_is_not_imported() -> None:
    exporter, now = busy(limit_cut=False)
    send = only_send(exporter.handle(request("last", now, key="other"), now))
    exporter.handle(result_of(send, Outcome.CONNECT_FAILED), now)
    again = tuple(replace(each, started=now) if each.id == send.server else each for each in fleet(6))
    assert importing_router(exporter.export_state(now), again, now).avoided(now) == []


def test_the_health_of_a_server_that_is_no_longer_listed_is_not_imported() -> None:
    exporter, now = busy(limit_cut=False)
    importer = importing_router(exporter.export_state(now), fleet(3), now)
    assert {node.server for node in importer.export_state(now).servers} <= {each.id for each in fleet(3)}
    importer.handle(ServersChanged(ListKind.FULL, (*fleet(6), ORIGIN)), now)
    assert importer.avoided(now) == []


def test_an_own_newer_record_is_not_replaced() -> None:
    exporter, now = busy(limit_cut=False)
    known = exporter.export_state(now)
    importer = started(settings(), fleet(6), now=now, seed=9)
    send = only_send(importer.handle(request("own", now + S, key="hot"), now + S))
    importer.handle(result_of(send, Outcome.CONNECT_FAILED), now + S)
    importer.handle(StateImported(known), now + S)
    assert importer.avoided(now + S) == [send.server]
