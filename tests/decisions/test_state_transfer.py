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


def router_with_traffic(origin_fails: bool = True) -> tuple[Router, int]:
    """Return a router after a time of traffic with a hot key and, if `origin_fails`, failing fetches."""
    router, now = started(settings(), fleet(6)), 0
    for i in range(CALLS):
        now += 10 * MS
        send = only_send(router.handle(request(f"q{i}", now, key="hot" if i % 2 else f"k{i}"), now))
        if send.server == ORIGIN.id:
            continue
        for fetch in sends(router.handle(result_of(send, Outcome.MISS if i % 8 == 0 else Outcome.OK), now)):
            is_bad = origin_fails and i > CALLS / 2
            outcome = Outcome.ERROR if is_bad else Outcome.OK
            router.handle(result_of(fetch, outcome, attempt=1, answered=not is_bad), now)
    return router, now


def importing_router(exported: RouterState, servers: tuple[Server, ...], now: int) -> Router:
    router = started(settings(), servers, now=now, seed=9)
    router.handle(StateImported(exported), now)
    return router


def test_importing_router_has_the_exporters_limits_and_health() -> None:
    exporter, now = router_with_traffic()
    down = only_send(exporter.handle(request("last", now, key="other"), now))
    exporter.handle(result_of(down, Outcome.CONNECT_FAILED), now)
    assert exporter.limits()["a"] < started(settings(), fleet(6)).limits()["a"]
    importer = importing_router(exporter.export_state(now), fleet(6), now)
    assert importer.limits() == pytest.approx(exporter.limits())
    assert importer.avoided(now) == exporter.avoided(now) == [down.server]
    imported_state, exported_state = importer.export_state(now), exporter.export_state(now)
    assert {node.server: node.mean_latency for node in imported_state.servers} == {
        node.server: node.mean_latency for node in exported_state.servers
    }
    assert dict(imported_state.slot_counts) == dict(exported_state.slot_counts)
    assert astuple(imported_state.origin) == pytest.approx(astuple(exported_state.origin))
    # The window's calls are imported too; otherwise the importer would admit as many fetches again.
    assert [sum(admitted for _, admitted, _ in limit.calls) for limit in imported_state.limits] == [
        sum(admitted for _, admitted, _ in limit.calls) for limit in exported_state.limits
    ]


def test_state_of_weight_zero_changes_nothing() -> None:
    exporter, now = router_with_traffic()
    exported = exporter.export_state(now)
    fresh = started(settings(), fleet(6), now=now, seed=9)
    before = fresh.export_state(now)
    fresh.handle(StateImported(replace(exported, servers=(), limits=(), weight=0.0)), now)
    after = fresh.export_state(now)
    assert (after.origin, after.limits, after.servers) == (before.origin, before.limits, before.servers)


def test_health_of_a_restarted_server_is_not_imported() -> None:
    exporter, now = router_with_traffic(origin_fails=False)
    send = only_send(exporter.handle(request("last", now, key="other"), now))
    exporter.handle(result_of(send, Outcome.CONNECT_FAILED), now)
    restarted = tuple(
        replace(server, started=now) if server.id == send.server else server for server in fleet(6)
    )
    assert importing_router(exporter.export_state(now), restarted, now).avoided(now) == []


def test_health_of_an_unlisted_server_is_not_imported() -> None:
    exporter, now = router_with_traffic(origin_fails=False)
    importer = importing_router(exporter.export_state(now), fleet(3), now)
    assert {node.server for node in importer.export_state(now).servers} <= {server.id for server in fleet(3)}
    importer.handle(ServersChanged(ListKind.FULL, (*fleet(6), ORIGIN)), now)
    assert importer.avoided(now) == []


def test_newer_own_record_is_not_replaced() -> None:
    exporter, now = router_with_traffic(origin_fails=False)
    exported = exporter.export_state(now)
    importer = started(settings(), fleet(6), now=now, seed=9)
    send = only_send(importer.handle(request("own", now + S, key="hot"), now + S))
    importer.handle(result_of(send, Outcome.CONNECT_FAILED), now + S)
    importer.handle(StateImported(exported), now + S)
    assert importer.avoided(now + S) == [send.server]
