"""Which of a hot slot's owners gets a read: the one with the least expected wait."""

from __future__ import annotations

from collections import Counter

from pebblepass.decisions import ListKind, Outcome, Router, Server, ServersChanged
from tests.decisions.builders import MS, fleet, only_send, request, result_of, settings, started

WARM_UP, COUNTED = 400, 400


def owner_counts(router: Router, times: dict[str, int], count: int, now: int) -> Counter[str]:
    """Ask for one hot key, one request after another; `times`: how long each server takes."""
    servers: Counter[str] = Counter()
    for i in range(count):
        send = only_send(router.handle(request(f"{now}.{i}", now, key="hot"), now))
        servers[send.server] += 1
        router.handle(result_of(send, Outcome.OK, latency=times[send.server]), now)
    return servers


def test_a_slow_owner_of_a_hot_slot_gets_less_than_a_fast_one() -> None:
    router = started(settings(), fleet(8), origin=False)
    times = {server.id: 10 * MS for server in fleet(8)}
    every = owner_counts(router, times, WARM_UP, 0)
    slow = max(every, key=lambda name: every[name])
    times[slow] = 60 * MS
    owner_counts(router, times, WARM_UP, MS)
    later = owner_counts(router, times, COUNTED, 2 * MS)
    assert later[slow] < COUNTED / 8 / 2
    # And more again once it is as quick as the others: some of its requests go on telling.
    times[slow] = 5 * MS
    for i in range(64):
        send = only_send(router.handle(request(f"own{i}", 3 * MS, key=f"k{i}"), 3 * MS))
        router.handle(result_of(send, Outcome.OK, latency=times[send.server]), 3 * MS)
    owner_counts(router, times, WARM_UP, 3 * MS)
    assert owner_counts(router, times, COUNTED, 4 * MS)[slow] > later[slow]


def test_equal_owners_share_a_hot_slot_equally() -> None:
    router = started(settings(), fleet(8), origin=False)
    times = {server.id: 10 * MS for server in fleet(8)}
    owner_counts(router, times, WARM_UP, 0)
    counts = owner_counts(router, times, COUNTED, MS)
    assert len(counts) == 8
    assert max(counts.values()) < 3 * COUNTED / 8


def test_a_new_server_is_not_assumed_to_be_the_fastest() -> None:
    router = started(settings(), fleet(7), origin=False)
    times = {server.id: 10 * MS for server in fleet(8)}
    owner_counts(router, times, WARM_UP, 0)
    new = Server("new", kind="std")
    router.handle(ServersChanged(ListKind.DELTA, (new,)), MS)
    times["new"] = 10 * MS
    # Its first answers are few: by them alone it would look sixteen times as quick as it is.
    assert owner_counts(router, times, 40, MS)["new"] < 40 / 3
