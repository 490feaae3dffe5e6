"""The unchanged decision module at the size of a fleet: routers on a virtual clock, without sockets.

    python -m pebblepass.scale.decisions limits | health | purges | growth | discovery   [--json FILE]

`limits`: what the routers' shares of the store's quota let through by the sum. `health`: what a router loses
before it passes a bad server by. `purges`: reads that are answered with what was purged before they came, by
what the store and the cache servers do with a fetch that a purge has overtaken. `growth`: whether memory or
CPU grow with keys, servers or tenants. `discovery`: the list's size, and calls a second, idle and after an
outage.
"""

from __future__ import annotations

import gc
import heapq
import itertools
import json
import random
import statistics
import sys
import time
from bisect import bisect
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from enum import Enum
from pathlib import Path
from types import FunctionType
from typing import Any

import click
import msgspec

from pebblepass.decisions import (
    Action,
    AttemptEnded,
    Fail,
    ListKind,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerFired,
)
from pebblepass.decisions.slot_table import DEPTH, SLOTS
from pebblepass.discovery.call_schedule import POLL_TIMING, PUSH_TIMING
from pebblepass.discovery.endpoint_list import ClockOffset, encode_endpoint_list, parse_endpoint_list

S = 1_000_000_000
MS = 1_000_000
MISS_NS, FETCH_NS = 2 * MS, 20 * MS  # a cache's miss, and a healthy store's fetch
AIM_NS, DEADLINE_NS = 300 * MS, 1_200 * MS
MISSING = 0.05  # of the reads that a key's own server gets
LEARNT_S = 10  # seconds after which shares are looked at: routers have begun, or traffic has moved
TARGET_ROUTERS, TARGET_SERVERS, TARGET_A_SECOND = 930, 120, 850_000
PAIR_A_SECOND = TARGET_A_SECOND / TARGET_ROUTERS / TARGET_SERVERS
ORIGIN = Server("store:1", kind="origin")
READ = RequestClass("read", latency_target=AIM_NS, deadline=DEADLINE_NS)


def servers_of(count: int) -> tuple[Server, ...]:
    """So many cache servers, and the store."""
    caches = (Server(f"10.0.{n >> 8}.{n & 255}:6379", kind="std", zone=f"z{n % 8}") for n in range(count))
    return (*caches, ORIGIN)


def started(settings: Settings, servers: int, seed: int) -> Router:
    """A router that has its list."""
    router = Router(settings, seed)
    router.handle(ServersChanged(ListKind.CACHED, servers_of(servers)), 0)
    return router


# The store's limits by the sum


class Split(Enum):
    """Who may fetch how much of the quota."""

    MODULE = "module"
    """As the settings have it: each router counts alone, under an even part."""
    CLAIRVOYANT = "clairvoyant"
    """Each router's part goes by its true traffic."""
    ONE_COUNTER = "one counter"
    """One router's module sees every call: what all would do if they were one."""
    UNSHARED = "unshared"
    """Broken, for the rig's own tests: every router takes the whole quota for its own."""


@dataclass(frozen=True)
class Demand:
    """Fetches that are asked for, all of them misses of keys that are ever new."""

    quota: float
    """Fetches a second that all routers together may have."""
    routers: int
    spread: float = 0.0
    """Of the routers' traffic: sigma of its log-normal; 0: even."""
    asked: float = 0.8
    """Of the quota."""
    seconds: int = 20
    seed: int = 1

    def weights(self) -> list[float]:
        """Each router's part of the traffic."""
        rng = random.Random(self.seed)
        drawn = [rng.lognormvariate(0.0, self.spread) for _ in range(self.routers)]
        return [weight / sum(drawn) for weight in drawn]


@dataclass(frozen=True)
class Flow:
    """What was asked for and what went to the store, by second."""

    demand: Demand
    asked: list[int]
    admitted: list[int]

    def share(self, since: int = LEARNT_S) -> float:
        """Of the fetches that were asked for from then on, those that went."""
        return sum(self.admitted[since:]) / max(sum(self.asked[since:]), 1)

    def rate(self, since: int = LEARNT_S) -> float:
        """Fetches a second from then on, as a multiple of the quota."""
        return sum(self.admitted[since:]) / max(len(self.admitted) - since, 1) / self.demand.quota

    def most(self, window: int) -> float:
        """The most that went in so many seconds in a row, as a multiple of what the quota allows in them."""
        sums = list(itertools.accumulate(self.admitted, initial=0))
        best = max(sums[at + window] - sums[at] for at in range(len(self.admitted) - window + 1))
        return best / (self.demand.quota * window)


def settings_for(demand: Demand, split: Split, weight: float) -> Settings:
    """What one router is told."""
    quota = demand.quota * (weight if split is Split.CLAIRVOYANT else 1.0)
    routers = demand.routers if split is Split.MODULE else 1
    return Settings((READ,), (Tenant("a", 1.0, quota),), routers=routers, origin_kind="origin")


def play(demand: Demand, split: Split = Split.MODULE) -> Flow:
    """Play the demand on a healthy store; the same demand gives the same flow."""
    weights = demand.weights()
    count = 1 if split is Split.ONE_COUNTER else demand.routers
    routers = [
        started(settings_for(demand, split, weights[n]), 1, demand.seed * 10_000 + n) for n in range(count)
    ]
    sums = list(itertools.accumulate(weights))
    rng = random.Random(demand.seed + 1)
    asked, admitted = [0] * demand.seconds, [0] * demand.seconds
    fetches: deque[tuple[int, Router, AttemptEnded]] = deque()  # all take as long: in the order of their ends
    now, rate = 0.0, demand.quota * demand.asked / S
    for number in itertools.count():
        now += rng.expovariate(rate)
        if now >= demand.seconds * S:
            break
        at = int(now)
        while fetches and fetches[0][0] <= at:
            then, asking, end = fetches.popleft()
            asking.handle(end, then)
        chosen = min(bisect(sums, rng.random()), demand.routers - 1)
        router, name = routers[chosen if count > 1 else 0], str(number)
        second = at // S
        asked[second] += 1
        actions = router.handle(RequestArrived(name, "read", at + DEADLINE_NS, "a", f"k{number}"), at)
        miss = AttemptEnded(name, 0, sent(actions), Outcome.MISS, False, MISS_NS)
        for action in router.handle(miss, at):
            if isinstance(action, Send):
                admitted[second] += 1
                end = AttemptEnded(name, 1, action.server, Outcome.OK, True, FETCH_NS)
                fetches.append((at + FETCH_NS, router, end))
    return Flow(demand, asked, admitted)


def sent(actions: Sequence[Action]) -> str:
    """Where the one attempt goes."""
    (send,) = (action for action in actions if isinstance(action, Send))
    return send.server


def even_parts(demand: Demand) -> float:
    """The share that even parts of the quota let through at best, if each router used all of its own."""
    part = demand.quota / demand.routers
    rates = [weight * demand.quota * demand.asked for weight in demand.weights()]
    return sum(min(part, rate) for rate in rates) / sum(rates)


# Health that one router learns


class Fault(Enum):
    """What becomes of a server."""

    SILENT = "silent"
    FAILING = "failing"
    SLOW = "slow"
    FULL = "turns away"
    GONE = "refuses connections"


@dataclass(frozen=True)
class Learned:
    """What one router lost to one server's fault."""

    fault: str
    pair_a_second: float
    """Requests a second that this router sends that server when it is well."""
    noticed_s: float | None
    """From the fault to the moment at which the server is avoided first; None: never."""
    harmed_first_s: int
    """Requests not served within the aim, that came in the fault's first second."""
    harmed: int
    """Those of all its seconds."""
    attempts: int
    """At that server while it was at fault."""
    extra: int
    """Further attempts that its fault cost."""


class Site:
    """One router and its servers, of which one goes bad.

    A key's own server has it but for `MISSING`; the next one has to have it fetched, which the quota allows.
    """

    def __init__(self, servers: int, pair_a_second: float, fault: Fault, seed: int) -> None:
        ample = (Tenant("a", 1.0, 4.0 * pair_a_second * servers),)
        settings = Settings((READ,), ample, origin_kind="origin")
        self.router, self.fault = started(settings, servers, seed), fault
        self.bad = servers_of(servers)[0].id
        self.begins, self.over = 10 * S, 40 * S
        self.rate, self.pair = pair_a_second * servers / S, pair_a_second
        self.rng = random.Random(seed)
        self.due: list[tuple[int, int, AttemptEnded | TimerFired]] = []
        self.order = itertools.count()
        self.came: dict[str, int] = {}
        self.tries: dict[str, int] = {}
        self.harm: list[int] = []
        self.attempts = self.extra = 0
        self.noticed: int | None = None

    def learn(self) -> Learned:
        """Play 10 s of health and 30 s of the fault."""
        now = 0.0
        for number in itertools.count():
            now += self.rng.expovariate(self.rate)
            at = int(now)
            self._until(at)
            if at >= self.over:
                break
            name = str(number)
            self.came[name] = at
            key = f"k{self.rng.randrange(1 << 30)}"
            self._tell(RequestArrived(name, "read", at + DEADLINE_NS, "a", key), at)
        self._until(self.over + 2 * DEADLINE_NS)
        noticed = None if self.noticed is None else (self.noticed - self.begins) / S
        first = sum(came < self.begins + S for came in self.harm)
        return Learned(self.fault.value, self.pair, noticed, first, len(self.harm), self.attempts, self.extra)

    def _until(self, now: int) -> None:
        while self.due and self.due[0][0] <= now:
            then, _, event = heapq.heappop(self.due)
            self._tell(event, then)

    def _tell(self, event: RequestArrived | AttemptEnded | TimerFired, now: int) -> None:
        if isinstance(event, AttemptEnded):
            came = self.came.get(event.request)
            if came is None:
                event = msgspec.structs.replace(event, closed=True)
            elif event.outcome is Outcome.OK:
                self._answered(event.request, came, now - came <= AIM_NS)
        for action in self.router.handle(event, now):
            if isinstance(action, Send):
                self._send(action, now)
            elif isinstance(action, Reject | Fail) and action.request in self.came:
                self._answered(action.request, self.came[action.request], False)
            elif isinstance(action, SetTimer):
                heapq.heappush(self.due, (now + action.delay, next(self.order), TimerFired(action.token)))
        if self.noticed is None and now >= self.begins and self.bad in self.router.avoided(now):
            self.noticed = now

    def _answered(self, name: str, came: int, in_time: bool) -> None:
        del self.came[name]
        self.tries.pop(name, None)
        if not in_time:
            self.harm.append(came)

    def _send(self, send: Send, now: int) -> None:
        number = self.tries[send.request] = self.tries.get(send.request, -1) + 1
        left = self.came[send.request] + DEADLINE_NS - now
        limit = min(send.timeout or left, left)
        bad = send.server == self.bad and self.begins <= now < self.over
        self.extra += bool(number) and now >= self.begins
        outcome, took = Outcome.OK, int(MS + self.rng.expovariate(1 / (3 * MS)))
        if send.server == ORIGIN.id:
            took = FETCH_NS
        elif number or self.rng.random() < MISSING:
            outcome = Outcome.MISS
        if bad:
            self.attempts += 1
            outcome, took = {
                Fault.SILENT: (Outcome.TIMEOUT, 2 * left),
                Fault.FAILING: (Outcome.ERROR, 2 * MS),
                Fault.SLOW: (Outcome.OK, 2 * AIM_NS),
                Fault.FULL: (Outcome.OVERLOADED, MS),
                Fault.GONE: (Outcome.CONNECT_FAILED, MS),
            }[self.fault]
        if took > limit:
            outcome, took = Outcome.TIMEOUT, limit
        end = AttemptEnded(send.request, number, send.server, outcome, outcome is Outcome.OK, took)
        heapq.heappush(self.due, (now + took, next(self.order), end))


# Purges


@dataclass(frozen=True)
class Stale:
    """Reads answered with what was purged before they came."""

    routers: int
    kept: bool
    """Whether the store and the cache servers keep a value that was read before a purge and comes after."""
    reads: int
    purges: int
    overtaken: int
    """Fetches that were out when their key was purged."""
    waited: int
    """Reads that waited for another's fetch."""
    stale_after_wait: int
    """Stale ones among these: the fetch had begun before the purge, and they came after it."""
    stale_else: int


class PurgedFleet:
    """Routers before servers that share no copy, with purges that drop all copies of a key at once."""

    def __init__(self, routers: int, keys: int, kept: bool, seed: int, servers: int = 12) -> None:
        ample = (Tenant("a", 1.0, 1e7),)
        settings = Settings((READ,), ample, origin_kind="origin")
        self.routers = [started(settings, servers, seed * 1000 + n) for n in range(routers)]
        self.kept, self.rng = kept, random.Random(seed)
        self.popular = list(itertools.accumulate(1 / (rank + 1) for rank in range(keys)))
        self.version = [0] * keys
        self.copies: list[dict[str, int]] = [{} for _ in range(keys)]
        self.fetching = [0] * keys
        self.due: list[tuple[int, int, int, AttemptEnded, int]] = []
        self.order = itertools.count()
        self.open: dict[str, tuple[int, int]] = {}  # a read's key, and the version when it came
        self.tries: dict[str, int] = {}
        self.missed: dict[str, list[str]] = {}
        self.waiting: set[str] = set()
        self.reads = self.purges = self.overtaken = self.waited = self.after_wait = self.stale = 0

    def play(self, seconds: int, reads_a_second: float, purges_a_second: float) -> Stale:
        """Reads by popularity at each router; purges of keys by popularity too."""
        rate, now = reads_a_second * len(self.routers) / S, 0.0
        until_purge = self.rng.expovariate(purges_a_second / S)
        while now < seconds * S:
            now += self.rng.expovariate(rate)
            while until_purge < now:
                self._until(int(until_purge))
                self._purge(self._key())
                until_purge += self.rng.expovariate(purges_a_second / S)
            self._until(int(now))
            self._read(self.rng.randrange(len(self.routers)), self._key(), int(now))
        self._until(int(now) + 2 * DEADLINE_NS)
        counts = self.reads, self.purges, self.overtaken, self.waited, self.after_wait, self.stale
        return Stale(len(self.routers), self.kept, *counts)

    def _key(self) -> int:
        return bisect(self.popular, self.rng.random() * self.popular[-1])

    def _purge(self, key: int) -> None:
        self.purges += 1
        self.overtaken += self.fetching[key]
        self.version[key] += 1
        self.copies[key].clear()

    def _read(self, number: int, key: int, now: int) -> None:
        name = str(self.reads)
        self.reads += 1
        self.open[name] = key, self.version[key]
        arrived = RequestArrived(name, "read", now + DEADLINE_NS, "a", f"k{key}")
        self._carry_out(number, self.routers[number].handle(arrived, now), now)

    def _until(self, now: int) -> None:
        while self.due and self.due[0][0] <= now:
            then, _, number, end, version = heapq.heappop(self.due)
            self._ended(number, end, version, then)

    def _ended(self, number: int, end: AttemptEnded, version: int, now: int) -> None:
        key, came = self.open[end.request]
        if end.server == ORIGIN.id:
            self.fetching[key] -= 1
            if self.kept or version == self.version[key]:
                for server in self.missed.get(end.request, ()):
                    self.copies[key][server] = version
        if end.outcome is Outcome.MISS:
            self.missed.setdefault(end.request, []).append(end.server)
        elif version < came and end.request in self.waiting:
            self.after_wait += 1
        else:
            self.stale += version < came
        sent_again = self._carry_out(number, self.routers[number].handle(end, now), now)
        if end.outcome is Outcome.MISS and end.request not in sent_again:
            self.waiting.add(end.request)
            self.waited += 1
        elif end.outcome is Outcome.OK:
            for held in (self.open, self.tries, self.missed):
                held.pop(end.request, None)
            self.waiting.discard(end.request)

    def _carry_out(self, number: int, actions: Sequence[Action], now: int) -> set[str]:
        asked = set()
        for action in actions:
            if not isinstance(action, Send):
                continue
            asked.add(action.request)
            key, _ = self.open[action.request]
            attempt = self.tries[action.request] = self.tries.get(action.request, -1) + 1
            fetch = action.server == ORIGIN.id
            self.fetching[key] += fetch
            version = self.version[key] if fetch else self.copies[key].get(action.server)
            outcome = Outcome.MISS if version is None else Outcome.OK
            took = FETCH_NS if fetch else MISS_NS
            end = AttemptEnded(action.request, attempt, action.server, outcome, outcome is Outcome.OK, took)
            heapq.heappush(self.due, (now + took, next(self.order), number, end, version or 0))
        return asked


# What grows


def size_of(thing: object) -> int:
    """Bytes of a thing and of all that only things like it hold, as the interpreter counts them."""
    seen: set[int] = set()
    total, todo = 0, [thing]
    while todo:
        each = todo.pop()
        if id(each) in seen or isinstance(
            each, type | FunctionType | Settings | RequestClass | random.Random
        ):
            continue
        seen.add(id(each))
        total += sys.getsizeof(each)
        if not isinstance(each, str | bytes | int | float):
            todo += gc.get_referents(each)
    return total


def resident_bytes() -> int:
    """Memory that this process holds."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


@dataclass(frozen=True)
class Held:
    """What one router's module holds after so many keys."""

    keys: int
    servers: int
    tenants: int
    heat_bytes: int
    slots_bytes: int
    limits_bytes: int
    requests_bytes: int
    module_bytes: int
    resident_mb: float
    cpu_us: float
    """Of one read since the row before: arrival and end."""


def hold(
    keys: Iterable[int],
    servers: int,
    tenants: int,
    missing: float,
    a_second: float,
    every_slot: bool = False,
) -> list[Held]:
    """Let ever new keys through one router's module; a row at each of these numbers of keys.

    `missing`: the share of reads that miss and are fetched. `every_slot`: each slot was asked for before.
    """
    names = [f"t{n}" for n in range(tenants)]
    told = tuple(Tenant(name, 1 / tenants, 4000.0 * TARGET_ROUTERS / tenants) for name in names)
    router = started(Settings((READ,), told, routers=TARGET_ROUTERS, origin_kind="origin"), servers, 3)
    rng, rows, number, gap = random.Random(5), [], 0, int(S / a_second)
    for slot in range(SLOTS if every_slot else 0):
        router.caches.rank(slot, 0)
    for stop in keys:
        begun, before = time.process_time(), number
        while number < stop:
            now, name = number * gap, str(number)
            read = RequestArrived(name, "read", now + DEADLINE_NS, names[number % tenants], f"once/{number}")
            server = sent(router.handle(read, now))
            if rng.random() < missing:
                miss = AttemptEnded(name, 0, server, Outcome.MISS, False, MISS_NS)
                for action in router.handle(miss, now):
                    if isinstance(action, Send):
                        end = AttemptEnded(name, 1, action.server, Outcome.OK, True, FETCH_NS)
                        router.handle(end, now)
            else:
                router.handle(AttemptEnded(name, 0, server, Outcome.OK, True, MISS_NS), now)
            number += 1
        took = (time.process_time() - begun) / max(number - before, 1) * 1e6
        slots = size_of([router.caches.scored_rankings, router.caches.steady_rankings])
        rows.append(
            Held(
                number,
                servers,
                tenants,
                size_of([router.selection.slot_popularity, router.tenants.usage]),
                slots,
                size_of(router.tenants.suppressors),
                size_of([router.open_requests, router.flights]),
                size_of(router),
                resident_bytes() / 2**20,
                took,
            )
        )
    return rows


# Discovery


@dataclass(frozen=True)
class ListCost:
    """What a list of so many servers costs a router."""

    servers: int
    bytes: int
    read_us: float
    """CPU to decode and check it, the median."""
    taken_us: float
    """CPU of the module to take a whole list over that it has not held before."""
    change_us: float
    """CPU of the module for one server that is added, with every slot's ranking remembered."""
    most_us: float
    """The same for the most servers in one change that leave the rankings remembered."""


def list_cost(servers: int, rounds: int = 5, slots: int = SLOTS) -> ListCost:
    """Measure a list; so many slots' rankings are remembered when a server is replaced."""
    entries, clock = servers_of(servers), ClockOffset(0, 1_700_000_000 * S)
    addresses = {entry.id: ("10.0.0.1", 6379) for entry in entries}
    body = json.dumps(encode_endpoint_list(7, entries, addresses, clock)).encode()
    settings = Settings((READ,), origin_kind="origin")
    read, taken, change, most = (list[int]() for _ in range(4))
    for number in range(rounds):
        begun = time.process_time_ns()
        listing = parse_endpoint_list(msgspec.json.decode(body), clock)
        read.append(time.process_time_ns() - begun)
        router = Router(settings, number)
        begun = time.process_time_ns()
        router.handle(listing.change, 0)
        taken.append(time.process_time_ns() - begun)
    for slot in range(slots):
        router.caches.rank(slot, 0)
    for number in range(2 * rounds):
        count = DEPTH if number % 2 else 1
        new = tuple(Server(f"new-{number}-{n}", kind="std") for n in range(count))
        gone = tuple(msgspec.structs.replace(server, state=ServerState.REMOVED) for server in new)
        begun = time.process_time_ns()
        router.handle(ServersChanged(ListKind.DELTA, new), 0)
        (most if number % 2 else change).append(time.process_time_ns() - begun)
        router.handle(ServersChanged(ListKind.DELTA, gone), 0)
        for slot in range(slots):
            router.caches.rank(slot, 0)
    middle = (statistics.median(times) / 1000 for times in (read, taken, change, most))
    return ListCost(servers, len(body), *middle)


@dataclass(frozen=True)
class Calls:
    """Calls that the routers make to a discovery that is asked, by second from its fall on."""

    routers: int
    down_s: int
    a_second: list[int] = field(default_factory=list)

    @property
    def most_down(self) -> int:
        """The most in a second while it is down."""
        return max(self.a_second[: self.down_s])

    @property
    def most_after(self) -> int:
        """The most in a second from its return on."""
        return max(self.a_second[self.down_s :])


def outage(routers: int, down_s: int, ask_within: int = 10 * S, seed: int = 1) -> Calls:
    """All watches end at one moment; each call fails at once until discovery is back.

    Only the module's pauses count here: the first call after a good one, and the watch that goes on then.
    """
    settings = Settings((READ,), routers=routers, must_subscribe=True, subscribe_within=ask_within)
    asking = [Router(settings, seed * 10_000 + n) for n in range(routers)]
    due: list[tuple[int, int, int]] = []
    order = itertools.count()
    for n, router in enumerate(asking):
        router.handle(ServersChanged(ListKind.FULL, servers_of(3)), 0)
        _set(due, order, n, router.handle(ServersChanged(ListKind.FAILED), 0), 0)
    back, span = down_s * S, down_s + 30
    a_second = [0] * span
    while due and due[0][0] < span * S:
        now, _, n = heapq.heappop(due)
        for action in asking[n].handle(TimerFired("subscribe"), now):
            if isinstance(action, Subscribe):
                a_second[now // S] += 1
                if now < back:
                    _set(due, order, n, asking[n].handle(ServersChanged(ListKind.FAILED), now), now)
                else:
                    asking[n].handle(ServersChanged(ListKind.DELTA), now)
    return Calls(routers, down_s, a_second)


def _set(
    due: list[tuple[int, int, int]], order: Iterable[int], router: int, actions: Sequence[Action], now: int
) -> None:
    for action in actions:
        if isinstance(action, SetTimer):
            heapq.heappush(due, (now + action.delay, next(iter(order)), router))


# The command


def _keep(path: Path | None, found: Any) -> None:
    if path is not None:
        path.write_text(json.dumps(found, indent=1) + "\n")


_JSON = click.option("--json", "path", type=click.Path(path_type=Path), help="Write the figures here too.")


def _listed(kind: type) -> Any:
    def read(_context: click.Context, _option: click.Parameter, text: str) -> list[Any]:
        try:
            return [kind(part) for part in text.split(",")]
        except ValueError:
            raise click.BadParameter(f"expected numbers with commas between them, got {text!r}") from None

    return read


@click.group()
def main() -> None:
    """Figures of the unchanged decision module at the size of a fleet."""


@main.command()
@click.option("--quotas", default="40,400,4000", callback=_listed(float))
@click.option("--routers", default="12,40,200,930", callback=_listed(int))
@click.option("--spreads", default="0,0.7,1.2", callback=_listed(float))
@click.option("--asked", default=0.8, help="Of the quota.")
@click.option("--seconds", default=20)
@click.option("--seeds", default="1,2,3", callback=_listed(int))
@click.option("--split", default="module", type=click.Choice([split.value for split in Split]))
@_JSON
def limits(
    quotas: list[float],
    routers: list[int],
    spreads: list[float],
    asked: float,
    seconds: int,
    seeds: list[int],
    split: str,
    path: Path | None,
) -> None:
    """What the shares of the store's quota let through."""
    rows = []
    for quota, count, spread in itertools.product(quotas, routers, spreads):
        demands = [Demand(quota, count, spread, asked, seconds, seed) for seed in seeds]
        flows = [play(demand, Split(split)) for demand in demands]
        row = {
            "quota": quota,
            "routers": count,
            "spread": spread,
            "asked": asked,
            "split": split,
            "share": [flow.share() for flow in flows],
            "of_quota": [flow.rate() for flow in flows],
            "most_5_s": [flow.most(5) for flow in flows],
            "even_parts": [even_parts(demand) for demand in demands],
        }
        rows.append(row)
        shown = {
            key: " ".join(f"{each:.3f}" for each in value)
            for key, value in row.items()
            if type(value) is list
        }
        click.echo(
            f"quota {quota:6g}  routers {count:4d}  spread {spread:3g}  admitted after {LEARNT_S} s "
            f"{shown['share']}  of the quota {shown['of_quota']}  most in 5 s {shown['most_5_s']}  "
            f"even parts at best {shown['even_parts']}"
        )
    _keep(path, rows)


@main.command()
@click.option("--servers", default=TARGET_SERVERS)
@click.option(
    "--pairs", default=f"{PAIR_A_SECOND:.2f},2,0.5", callback=_listed(float), help="Requests a second."
)
@click.option("--seeds", default="1,2,3,4,5", callback=_listed(int))
@_JSON
def health(servers: int, pairs: list[float], seeds: list[int], path: Path | None) -> None:
    """What one router loses to a server that goes bad for 30 s."""
    rows: list[dict[str, Any]] = []
    for pair, fault in itertools.product(pairs, Fault):
        found = [Site(servers, pair, fault, seed).learn() for seed in seeds]
        rows += map(asdict, found)
        noticed = " ".join("never" if f.noticed_s is None else f"{f.noticed_s:.2f}" for f in found)
        harmed = " ".join(str(f.harmed) for f in found)
        first = " ".join(str(f.harmed_first_s) for f in found)
        attempts = " ".join(str(f.attempts) for f in found)
        click.echo(
            f"{pair:5g}/s {fault.value:>20}: avoided after s {noticed}; harmed in the first second {first}, "
            f"in 30 s {harmed}; attempts there {attempts}"
        )
    _keep(path, rows)


@main.command()
@click.option("--routers", default="1,3,10", callback=_listed(int))
@click.option("--keys", default=10_000)
@click.option("--seconds", default=20)
@click.option("--a-second", default=TARGET_A_SECOND / TARGET_ROUTERS, help="Reads a second at a router.")
@click.option("--purges", "purged", default=12.0, help="Purges a second, of keys by their popularity.")
@click.option("--seeds", default="1", callback=_listed(int))
@_JSON
def purges(
    routers: list[int],
    keys: int,
    seconds: int,
    a_second: float,
    purged: float,
    seeds: list[int],
    path: Path | None,
) -> None:
    """Reads that are answered with what was purged before they came."""
    rows = []
    for count, kept, seed in itertools.product(routers, (False, True), seeds):
        found = asdict(PurgedFleet(count, keys, kept, seed).play(seconds, a_second, purged))
        rows.append(found)
        click.echo("  ".join(f"{key} {value}" for key, value in found.items()))
    _keep(path, rows)


@main.command()
@click.option("--keys", default="1000,10000,100000,1000000,3000000", callback=_listed(int))
@click.option("--servers", default=TARGET_SERVERS)
@click.option("--tenants", default=2)
@click.option("--missing", default=0.0, help="The share of reads that miss and are fetched.")
@click.option("--a-second", default=TARGET_A_SECOND / TARGET_ROUTERS, help="Requests a second at the router.")
@_JSON
def growth(
    keys: list[int], servers: int, tenants: int, missing: float, a_second: float, path: Path | None
) -> None:
    """Whether memory or CPU grow with keys that are ever new, with servers, or with tenants."""
    rows = hold(keys, servers, tenants, missing, a_second)
    for row in rows:
        click.echo("  ".join(f"{key} {value:.5g}" for key, value in asdict(row).items()))
    _keep(path, [asdict(row) for row in rows])


@main.command()
@click.option("--routers", default="58,116,232,465,930", callback=_listed(int))
@click.option("--servers", default="12,38,120", callback=_listed(int))
@click.option("--down", default=8, help="Seconds of the outage.")
@_JSON
def discovery(routers: list[int], servers: list[int], down: int, path: Path | None) -> None:
    """The list's cost, and discovery's calls: idle by the client's times, after an outage as played."""
    costs = [list_cost(count) for count in servers]
    for cost in costs:
        click.echo("  ".join(f"{key} {value:.5g}" for key, value in asdict(cost).items()))
    calls = [outage(count, down) for count in routers]
    for each in calls:
        idle = each.routers / ((POLL_TIMING.min_wait_s + POLL_TIMING.max_wait_s) / 2)
        click.echo(
            f"routers {each.routers}: idle {idle:.4g} calls a second where lists are asked for, "
            f"{1 / PUSH_TIMING.min_wait_s:g} at each router's own agent where they are pushed; "
            f"in an outage of {down} s {each.most_down} a second at most, "
            f"{each.most_after} from its return on"
        )
    _keep(path, {"lists": [asdict(cost) for cost in costs], "outages": [asdict(each) for each in calls]})


if __name__ == "__main__":
    main()
