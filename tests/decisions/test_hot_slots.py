"""A hot slot's reads go to the owner with the shortest expected wait."""

from __future__ import annotations

from collections import Counter

from pebblepass.decisions import ListKind, Outcome, Router, Server, ServersChanged
from tests.decisions.builders import MS, fleet, only_send, request, result_of, settings, started

WARM_UP, COUNTED = 400, 400


def owner_counts(router: Router, latencies: dict[str, int], count: int, now: int) -> Counter[str]:
    """Read one hot key repeatedly, and count the reads by server; `latencies`: of each server."""
    servers: Counter[str] = Counter()
    for i in range(count):
        send = only_send(router.handle(request(f"{now}.{i}", now, key="hot"), now))
        servers[send.server] += 1
        router.handle(result_of(send, Outcome.OK, latency=latencies[send.server]), now)
    return servers


def test_slow_owner_of_a_hot_slot_gets_fewer_reads() -> None:
    router = started(settings(), fleet(8), origin=False)
    latencies = {server.id: 10 * MS for server in fleet(8)}
    counts_before = owner_counts(router, latencies, WARM_UP, 0)
    slow = max(counts_before, key=lambda name: counts_before[name])
    latencies[slow] = 60 * MS
    owner_counts(router, latencies, WARM_UP, MS)
    counts_slow = owner_counts(router, latencies, COUNTED, 2 * MS)
    assert counts_slow[slow] < COUNTED / 8 / 2
    # It gets more again once it is fast, as the reads that it still gets show that.
    latencies[slow] = 5 * MS
    for i in range(64):
        send = only_send(router.handle(request(f"own{i}", 3 * MS, key=f"k{i}"), 3 * MS))
        router.handle(result_of(send, Outcome.OK, latency=latencies[send.server]), 3 * MS)
    owner_counts(router, latencies, WARM_UP, 3 * MS)
    assert owner_counts(router, latencies, COUNTED, 4 * MS)[slow] > counts_slow[slow]


def test_equal_owners_share_a_hot_slot_equally() -> None:
    router = started(settings(), fleet(8), origin=False)
    latencies = {server.id: 10 * MS for server in fleet(8)}
    owner_counts(router, latencies, WARM_UP, 0)
    counts = owner_counts(router, latencies, COUNTED, MS)
    assert len(counts) == 8
    assert max(counts.values()) < 3 * COUNTED / 8


def test_new_server_is_not_assumed_to_be_the_fastest() -> None:
    router = started(settings(), fleet(7), origin=False)
    latencies = {server.id: 10 * MS for server in fleet(8)}
    owner_counts(router, latencies, WARM_UP, 0)
    new = Server("new", kind="std")
    router.handle(ServersChanged(ListKind.DELTA, (new,)), MS)
    latencies["new"] = 10 * MS
    # Without a prior its few first samples would make it look sixteen times as fast as it is.
    assert owner_counts(router, latencies, 40, MS)["new"] < 40 / 3
