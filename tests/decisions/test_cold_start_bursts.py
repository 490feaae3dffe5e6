"""The load that 20 to 30 routers together send to each of several cold servers during a burst of reads.

The bound is that of cold_start_bounds. Routers are notified of each start at different times and do not
communicate; only the decisions run, on a virtual clock.
"""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from zlib import crc32

import pytest
from msgspec.structs import replace

from pebblepass.decisions import (
    Action,
    ListKind,
    Outcome,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)
from pebblepass.decisions.health import Node
from pebblepass.decisions.hot_keys import Popularity
from pebblepass.decisions.slot_table import SLOTS, SlotTable
from tests.decisions.builders import MS, S, Timeline, fleet, request, result_of, sends, settings, started
from tests.decisions.cold_start_bounds import ColdRules, WindowLoad, heaviest_window

SERVERS, JOINING, RETURNING = 18, 3, 3
RATE_PER_SERVER = 20.0  # requests of mean work a second that a warm server can serve
LOAD = 0.6  # of the capacity of all servers when warm, before the burst
WARM_UP_S, COLD_S = 6.0, 6.0
FIRST_START = 100 * S
START_INTERVAL_S = 0.4  # between two starts
MAX_NOTIFICATION_DELAY_S = 0.3  # a router is notified of a change within this time
ABSENT_S = 4.0  # time for which a returning server was absent
DECLINED_FRACTION = 0.1  # of the first attempts: declined, and retried at another server
ANSWER_LATENCY_S = 0.02
MIN_LOAD_FRACTION = 0.2  # of a warm server's load before the burst, over the whole warm-up
KEY_COUNT, ZIPF_EXPONENT, ZIPF_OFFSET = 3000, 0.9, 20

HIGH_MULTIPLE = ColdRules(multiple=4.0, window=2.0, share=0.32, time=COLD_S)
LOW_MULTIPLE = ColdRules(multiple=1.5, window=2.0, share=0.32, time=COLD_S)
"""So low a multiple that a cold server fails at once if it gets the load of a warm one."""


@dataclass(frozen=True)
class Burst:
    """The factor by which the traffic rises, and for how long from the first start on."""

    factor: float
    duration_s: float
    new_key_fraction: float = 0.0
    """Fraction of the reads that are for one key, never read before, whose slot a new server owns."""


LONG_BURST = Burst(1.5, COLD_S + 3.0)
SHORT_BURST = Burst(2.5, 1.5)
NEW_KEY = Burst(1.5, COLD_S + 3.0, new_key_fraction=0.2)


def config(rules: ColdRules, routers: int) -> Settings:
    return settings(
        routers=routers,
        overload_multiple=rules.multiple,
        cold_capacity=rules.share,
        warm_up_time=int(rules.time * S),
    )


def popularity() -> list[float]:
    return list(accumulate((rank + ZIPF_OFFSET) ** -ZIPF_EXPONENT for rank in range(KEY_COUNT)))


@dataclass
class Fleet:
    """Routers, servers of which some start, and the requests sent to those."""

    routers: list[Router]
    rng: Random
    timeline: Timeline[tuple[Router, Send | ServersChanged | TimerFired]] = field(default_factory=Timeline)
    starts: dict[str, int] = field(default_factory=dict)
    sent: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    new_key: str = ""

    def announce(self, server: Server, when: int) -> None:
        """Notify every router of this entry, each after its own delay."""
        for router in self.routers:
            delay = int(self.rng.uniform(0.0, MAX_NOTIFICATION_DELAY_S) * S)
            self.timeline.add(when + delay, (router, ServersChanged(ListKind.DELTA, (server,))))

    def start_server(self, server: Server, when: int) -> None:
        self.starts[server.id] = when
        self.sent[server.id] = []
        self.announce(replace(server, started=when), when)

    def run(self, burst: Burst) -> None:
        """Run from the initial traffic to the end of the last warm-up."""
        cumulative_weights, rng = popularity(), self.rng
        started_at, count = FIRST_START - int(WARM_UP_S * S), 0
        # One router has several times the others' traffic.
        router_weights = list(accumulate([4.0] + [1.0] * (len(self.routers) - 1)))
        now, end = started_at, max(self.starts.values()) + int(COLD_S * S)
        while now < end:
            in_burst = FIRST_START <= now < FIRST_START + int(burst.duration_s * S)
            rate = LOAD * SERVERS * RATE_PER_SERVER * (burst.factor if in_burst else 1.0)
            now, count = now + int(rng.expovariate(rate) * S), count + 1
            self._run_until(now)
            router = self.routers[bisect(router_weights, rng.random() * router_weights[-1])]
            key = f"k{bisect(cumulative_weights, rng.random() * cumulative_weights[-1])}"
            if in_burst and burst.new_key_fraction and rng.random() < burst.new_key_fraction:
                key = self.new_key
            self._carry_out(router, router.handle(request(f"r{count}", now, key=key), now), now)

    def _run_until(self, now: int) -> None:
        for due_at, (router, event) in self.timeline.pop_until(now):
            if isinstance(event, Send):
                self._answer(router, event, due_at)
            else:
                self._carry_out(router, router.handle(event, due_at), due_at)

    def _carry_out(self, router: Router, actions: list[Action], now: int) -> None:
        for send in sends(actions):
            age = now - self.starts.get(send.server, now + 1)
            if age >= 0:  # before its restart the server was warm
                self.sent[send.server].append((age / S, 1.0))
            self.timeline.add(now + int(ANSWER_LATENCY_S * S), (router, send))
        for action in actions:
            if isinstance(action, SetTimer):
                self.timeline.add(now + action.delay, (router, TimerFired(action.token)))

    def _answer(self, router: Router, send: Send, now: int) -> None:
        attempt = self.attempts.get(send.request, 0)
        self.attempts[send.request] = attempt + 1
        is_declined = attempt == 0 and self.rng.random() < DECLINED_FRACTION
        outcome = Outcome.OVERLOADED if is_declined else Outcome.OK
        event = result_of(send, outcome, attempt, latency=20 * MS)
        self._carry_out(router, router.handle(event, now), now)


def key_owned_by(cold: Server, others: tuple[Server, ...]) -> str:
    """Return a key whose slot this server owns from its start."""
    table = SlotTable(config(HIGH_MULTIPLE, 1))
    table.update([*others, replace(cold, started=FIRST_START)], [])
    keys = (f"new{number}" for number in range(100_000))
    slots = ((key, crc32(key.encode()) % SLOTS) for key in keys)
    return next(key for key, slot in slots if table.rank(slot, FIRST_START)[0].entry.id == cold.id)


def start_burst(count: int, rules: ColdRules, burst: Burst, seed: int) -> dict[str, WindowLoad]:
    """Return the heaviest window of each cold server, over all routers."""
    servers = fleet(SERVERS - JOINING)
    routers = [started(config(rules, count), servers, seed=1000 * seed + number) for number in range(count)]
    simulated = Fleet(routers, Random(seed))
    newcomers = [Server(f"new{seed}.{number}:80", kind="std") for number in range(JOINING)]
    simulated.new_key = key_owned_by(newcomers[0], servers)
    returning = simulated.rng.sample(servers, RETURNING)
    for server in returning:
        simulated.announce(replace(server, state=ServerState.REMOVED), FIRST_START - int(ABSENT_S * S))
    for position, server in enumerate([*newcomers, *returning]):
        simulated.start_server(server, FIRST_START + int(position * START_INTERVAL_S * S))
    simulated.run(burst)
    for sent in simulated.sent.values():  # a bound kept by not using cold servers would prove nothing
        assert len(sent) > MIN_LOAD_FRACTION * LOAD * RATE_PER_SERVER * COLD_S
    return {name: heaviest_window(rules, RATE_PER_SERVER, sent) for name, sent in simulated.sent.items()}


def overloaded(starts: dict[str, WindowLoad]) -> list[str]:
    return [name for name, start in starts.items() if start.excess > 0]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("burst", [LONG_BURST, SHORT_BURST], ids=["long", "short"])
@pytest.mark.parametrize("routers", [20, 30])
def test_burst_keeps_cold_servers_within_their_bound(routers: int, burst: Burst, seed: int) -> None:
    assert overloaded(start_burst(routers, LOW_MULTIPLE, burst, seed)) == []


@pytest.mark.parametrize("routers", [20, 30])
def test_suddenly_hot_key_does_not_overload_its_cold_server(routers: int) -> None:
    assert overloaded(start_burst(routers, HIGH_MULTIPLE, NEW_KEY, 1)) == []


def always_warm(table: SlotTable, node: Node, now: int) -> float:
    return 1.0


def never_hot(popularity: Popularity, slot: int | str, requests: int = 1) -> float:
    popularity.total += requests
    return 0.0


@pytest.mark.parametrize("burst", [LONG_BURST, SHORT_BURST], ids=["long", "short"])
def test_routers_without_warm_up_are_detected(burst: Burst, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlotTable, "warm_up_fraction", always_warm)
    assert overloaded(start_burst(20, LOW_MULTIPLE, burst, 1)) != []


def test_routers_that_ignore_hot_keys_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Popularity, "add", never_hot)
    assert overloaded(start_burst(20, HIGH_MULTIPLE, NEW_KEY, 1)) == ["new1.0:80"]
