"""The load of all routers on a cold server stays within the bound of cold_start_bounds."""

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

SERVERS, STARTED_AT = 24, 100 * S
RULES = ColdRules(multiple=4.0, window=2.0, share=0.32, time=9.0)
SERVER_RATE = 20.0  # requests a second that a warm server can serve
COLD = Server("cold:80", kind="std", started=STARTED_AT)


def config(rules: ColdRules = RULES) -> Settings:
    warm_up = {"cold_capacity": rules.share, "warm_up_time": int(rules.time * S)}
    return settings(routers=200, overload_multiple=rules.multiple, **warm_up)


def hot_key(rules: ColdRules = RULES) -> str:
    """Return a key whose slot the cold server owns from its start."""
    table = SlotTable(config(rules))
    table.update([*fleet(SERVERS - 1), COLD], [])
    keys = (f"hot{i}" for i in range(10_000))
    return next(key for key in keys if table.rank(crc32(key.encode()) % SLOTS, STARTED_AT)[0].entry is COLD)


def load_of(
    cold: Server,
    routers: list[Router],
    load: float,
    hot_fraction: float,
    rules: ColdRules = RULES,
    duration_s: float = 4.0,
    seed: int = 1,
) -> WindowLoad:
    """Return the load of a cold server in its first seconds, in requests of mean work.

    `hot_fraction`: the fraction of the requests that is for one key.
    """
    rng, key, age, count = Random(seed), hot_key(rules) if hot_fraction else "", 0.0, 0
    sent: list[tuple[float, float]] = []
    while (age := age + rng.expovariate(load * SERVERS * SERVER_RATE)) < duration_s:
        now, count = STARTED_AT + int(age * S), count + 1
        router = rng.choice(routers)
        chosen_key = key if rng.random() < hot_fraction else f"k{rng.randrange(1_000_000)}"
        send = only_send(router.handle(request(f"r{count}", now, key=chosen_key), now))
        if send.server == cold.id:
            sent.append((age, 1.0))
        router.handle(result_of(send, Outcome.OK, latency=20 * MS), now)
    return heaviest_window(rules, SERVER_RATE, sent)


def fresh_routers(count: int, rules: ColdRules = RULES) -> list[Router]:
    """Return routers that start together with the cold server, and know no hot slots yet."""
    servers = (*fleet(SERVERS - 1), COLD)
    return [started(config(rules), servers, now=STARTED_AT, seed=seed) for seed in range(count)]


def test_routers_together_limit_an_unknown_hot_slot_at_a_cold_server() -> None:
    window_load = load_of(COLD, fresh_routers(200), load=0.6, hot_fraction=0.25)
    assert window_load.strict_excess < 0
    assert window_load.fraction < 0.5


def test_routers_together_limit_hot_keys_of_batches_at_a_cold_server() -> None:
    key, rng, sent = hot_key(), Random(1), list[tuple[float, float]]()
    for i, router in enumerate(fresh_routers(200)):
        age = i / 100  # within two seconds, each with the hot key and three others
        keys = [key, *(f"k{rng.randrange(1_000_000)}" for _ in range(3))]
        now = STARTED_AT + int(age * S)
        batch = BatchArrived([f"{i}.{number}" for number in range(4)], keys, "read", now + S, "a", f"c{i}")
        for action in router.handle(batch, now):
            if isinstance(action, SendBatch) and action.server == COLD.id:
                sent += [(age, 1.0)] * len(action.requests)
    assert heaviest_window(RULES, SERVER_RATE, sent).strict_excess < 0


def test_routers_that_know_hot_slots_send_a_cold_server_its_fraction() -> None:
    routers = fresh_routers(2)
    for router in routers:  # 400 requests are enough to know a slot with over a quarter of a server's load
        for i in range(400):
            send = only_send(router.handle(request(f"w{i}", STARTED_AT, key=f"w{i}"), STARTED_AT))
            router.handle(result_of(send, Outcome.OK, latency=20 * MS), STARTED_AT)
    rng, total, cold_count = Random(2), 4000, 0
    for i in range(total):
        router = routers[i % 2]
        send = only_send(
            router.handle(request(f"r{i}", STARTED_AT, key=f"k{rng.randrange(1_000_000)}"), STARTED_AT)
        )
        cold_count += send.server == COLD.id
        router.handle(result_of(send, Outcome.OK, latency=20 * MS), STARTED_AT)
    cold_fraction = RULES.share / (SERVERS - 1 + RULES.share)
    assert 0.7 * cold_fraction < cold_count / total < 1.3 * cold_fraction


def test_cold_servers_are_used_if_none_is_warm() -> None:
    servers = fleet(6, started=STARTED_AT)
    router = started(config(), servers, now=STARTED_AT)
    warm = started(config(), fleet(6), now=STARTED_AT)
    for i in range(50):
        send = only_send(router.handle(request(f"r{i}", STARTED_AT, key=f"k{i}"), STARTED_AT))
        assert (
            send.server
            == only_send(warm.handle(request(f"r{i}", STARTED_AT, key=f"k{i}"), STARTED_AT)).server
        )


def test_cold_server_is_not_skipped_without_an_overload_multiple() -> None:
    without_multiple = settings(cold_capacity=RULES.share, warm_up_time=9 * S)
    router = started(without_multiple, (*fleet(SERVERS - 1), COLD), now=STARTED_AT)
    assert only_send(router.handle(request("r", STARTED_AT, key=hot_key()), STARTED_AT)).server == COLD.id


LOW_MULTIPLE = RULES._replace(multiple=1.5)
"""A lower bound than in production settings, so that a few starts show an excess."""


def starts_over_bound(routers: int, starts: int) -> int:
    """Return how many starts exceeded the bound, with routers that know the hot slots."""
    over_count = 0
    for seed in range(starts):
        cold = Server(f"cold{seed}:80", kind="std", started=STARTED_AT)
        warmed_routers = [
            started(config(LOW_MULTIPLE), fleet(SERVERS - 1), now=STARTED_AT, seed=router_seed)
            for router_seed in range(routers)
        ]
        for router in warmed_routers:
            for i in range(SERVERS * 8):
                send = only_send(router.handle(request(f"w{i}", STARTED_AT, key=f"w{i}"), STARTED_AT))
                router.handle(result_of(send, Outcome.OK, latency=20 * MS), STARTED_AT)
            router.handle(ServersChanged(ListKind.FULL, (*fleet(SERVERS - 1), cold, ORIGIN)), STARTED_AT)
        over_count += load_of(cold, warmed_routers, 1.0, 0.0, LOW_MULTIPLE, seed=seed).excess > 0
    return over_count


def without_warm_up(table: SlotTable, node: Node, now: int) -> float:
    return 1.0


def with_doubled_warm_up(table: SlotTable, node: Node, now: int) -> float:
    return min(1.0, 2 * WARM_UP_FRACTION(table, node, now))


WARM_UP_FRACTION: Callable[[SlotTable, Node, int], float] = SlotTable.warm_up_fraction


@pytest.mark.parametrize("routers", [1, 10])
def test_warm_up_keeps_the_load_of_all_routers_within_the_bound(routers: int) -> None:
    assert starts_over_bound(routers, 4) == 0


@pytest.mark.parametrize("broken_warm_up", [without_warm_up, with_doubled_warm_up])
def test_broken_warm_up_is_detected(
    broken_warm_up: Callable[[SlotTable, Node, int], float], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlotTable, "warm_up_fraction", broken_warm_up)
    assert starts_over_bound(2, 8) > 0


def test_overload_multiple_is_read_from_the_settings() -> None:
    facts = {"classes": [{"name": "read", "aimNs": 1, "giveUpNs": 2, "semantics": "retryable"}]}
    assert read_settings({**facts, "rules": {"fallMultiple": 3.0}}).overload_multiple == 3.0
    assert read_settings(facts).overload_multiple == inf
