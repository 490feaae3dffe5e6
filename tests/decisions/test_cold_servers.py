"""Cold servers under the load of all routers: N + 2 x root of N + 2 requests in the configured window."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from zlib import crc32

import pytest

from pebblepass.decisions import ListKind, Outcome, Router, Server, ServersChanged, Settings
from pebblepass.decisions.health import Node
from pebblepass.decisions.interface import BatchArrived, SendBatch
from pebblepass.decisions.settings import read_settings
from pebblepass.decisions.slot_table import SLOTS, SlotTable
from tests.decisions.builders import MS, ORIGIN, S, fleet, only_send, request, result_of, settings, started
from tests.decisions.cold_start_bounds import ColdRules, WindowLoad, heaviest_window

SERVERS, BORN = 24, 100 * S
RULES = ColdRules(multiple=4.0, window=2.0, share=0.32, time=9.0)
A_SECOND = 20.0  # requests that a warm server can do
COLD = Server("cold:80", kind="std", started=BORN)


def config(rules: ColdRules = RULES) -> Settings:
    ramp = {"cold_capacity": rules.share, "warm_up_time": int(rules.time * S)}
    return settings(routers=200, overload_multiple=rules.multiple, **ramp)


def hot_key(rules: ColdRules = RULES) -> str:
    """A key whose slot the cold server holds from its start."""
    table = SlotTable(config(rules))
    table.update([*fleet(SERVERS - 1), COLD], [])
    keys = (f"hot{i}" for i in range(10_000))
    return next(key for key in keys if table.rank(crc32(key.encode()) % SLOTS, BORN)[0].entry is COLD)


def sent_to(
    cold: Server,
    routers: list[Router],
    load: float,
    hot: float,
    rules: ColdRules = RULES,
    span: float = 4.0,
    seed: int = 1,
) -> WindowLoad:
    """What all routers send a cold server in its first seconds, each of mean work; `hot`: one key's share."""
    rng, key, age, count = Random(seed), hot_key(rules) if hot else "", 0.0, 0
    sent: list[tuple[float, float]] = []
    while (age := age + rng.expovariate(load * SERVERS * A_SECOND)) < span:
        now, count = BORN + int(age * S), count + 1
        router = rng.choice(routers)
        chosen = key if rng.random() < hot else f"k{rng.randrange(1_000_000)}"
        send = only_send(router.handle(request(f"r{count}", now, key=chosen), now))
        if send.server == cold.id:
            sent.append((age, 1.0))
        router.handle(result_of(send, Outcome.OK, latency=20 * MS), now)
    return heaviest_window(rules, A_SECOND, sent)


def group(count: int, rules: ColdRules = RULES) -> list[Router]:
    """Routers that begin when the server does, and know nothing yet of what is hot."""
    servers = (*fleet(SERVERS - 1), COLD)
    return [started(config(rules), servers, now=BORN, seed=seed) for seed in range(count)]


def test_a_hot_slot_not_known_as_hot_is_not_sent_to_a_cold_server_by_all_routers() -> None:
    start = sent_to(COLD, group(200), load=0.6, hot=0.25)
    assert start.strict_excess < 0
    assert start.fraction < 0.5


def test_a_hot_slot_of_batches_is_not_sent_to_a_cold_server_by_all_routers() -> None:
    key, rng, sent = hot_key(), Random(1), list[tuple[float, float]]()
    for i, router in enumerate(group(200)):
        age = i / 100  # within two seconds; each asks for the hot key and three others
        keys = [key, *(f"k{rng.randrange(1_000_000)}" for _ in range(3))]
        now = BORN + int(age * S)
        batch = BatchArrived([f"{i}.{each}" for each in range(4)], keys, "read", now + S, "a", f"c{i}")
        for action in router.handle(batch, now):
            if isinstance(action, SendBatch) and action.server == COLD.id:
                sent += [(age, 1.0)] * len(action.requests)
    assert heaviest_window(RULES, A_SECOND, sent).strict_excess < 0


def test_routers_that_know_hot_slots_send_a_cold_server_its_fraction() -> None:
    routers = group(2)
    for router in routers:  # 400 requests seen: a slot of more than a quarter of a server's part is known
        for i in range(400):
            send = only_send(router.handle(request(f"w{i}", BORN, key=f"w{i}"), BORN))
            router.handle(result_of(send, Outcome.OK, latency=20 * MS), BORN)
    rng, total, counts = Random(2), 4000, 0
    for i in range(total):
        router = routers[i % 2]
        send = only_send(router.handle(request(f"r{i}", BORN, key=f"k{rng.randrange(1_000_000)}"), BORN))
        counts += send.server == COLD.id
        router.handle(result_of(send, Outcome.OK, latency=20 * MS), BORN)
    part = RULES.share / (SERVERS - 1 + RULES.share)
    assert 0.7 * part < counts / total < 1.3 * part


def test_cold_servers_are_used_where_none_is_warm() -> None:
    servers = fleet(6, started=BORN)
    router = started(config(), servers, now=BORN)
    warm = started(config(), fleet(6), now=BORN)
    for i in range(50):
        send = only_send(router.handle(request(f"r{i}", BORN, key=f"k{i}"), BORN))
        assert send.server == only_send(warm.handle(request(f"r{i}", BORN, key=f"k{i}"), BORN)).server


def test_settings_without_an_overload_multiple_leave_the_warm_up_alone() -> None:
    plain = settings(cold_capacity=RULES.share, warm_up_time=9 * S)
    router = started(plain, (*fleet(SERVERS - 1), COLD), now=BORN)
    assert only_send(router.handle(request("r", BORN, key=hot_key()), BORN)).server == COLD.id


TIGHT = RULES._replace(multiple=1.5)
"""Less than a site's settings allow: what is sent too much shows in a few starts."""


def over(routers: int, starts: int) -> int:
    """How many starts went over, by routers that know what is hot."""
    counted = 0
    for seed in range(starts):
        cold = Server(f"cold{seed}:80", kind="std", started=BORN)
        fresh = [started(config(TIGHT), fleet(SERVERS - 1), now=BORN, seed=each) for each in range(routers)]
        for router in fresh:
            for i in range(SERVERS * 8):
                send = only_send(router.handle(request(f"w{i}", BORN, key=f"w{i}"), BORN))
                router.handle(result_of(send, Outcome.OK, latency=20 * MS), BORN)
            router.handle(ServersChanged(ListKind.FULL, (*fleet(SERVERS - 1), cold, ORIGIN)), BORN)
        counted += sent_to(cold, fresh, 1.0, 0.0, TIGHT, seed=seed).excess > 0
    return counted


def no_ramp(table: SlotTable, node: Node, now: int) -> float:
    return 1.0


def doubled(table: SlotTable, node: Node, now: int) -> float:
    return min(1.0, 2 * RAMP(table, node, now))


RAMP: Callable[[SlotTable, Node, int], float] = SlotTable.warm_up_fraction


@pytest.mark.parametrize("routers", [1, 10])
def test_the_warm_up_keeps_the_sum_of_all_routers_within_the_bound(routers: int) -> None:
    assert over(routers, 4) == 0


@pytest.mark.parametrize("broken", [no_ramp, doubled])
def test_a_broken_warm_up_is_detected(
    broken: Callable[[SlotTable, Node, int], float], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlotTable, "warm_up_fraction", broken)
    assert over(2, 8) > 0


def test_the_overload_multiple_is_read_from_the_settings() -> None:
    facts = {"classes": [{"name": "read", "aimNs": 1, "giveUpNs": 2, "semantics": "retryable"}]}
    assert read_settings({**facts, "rules": {"fallMultiple": 3.0}}).overload_multiple == 3.0
    assert read_settings(facts).overload_multiple == inf
