"""Simulations of the decision module at the size of a fleet: many routers, a virtual clock, no sockets.

    python -m pebblepass.scale.decisions limits | health | purges | growth | discovery   [--json FILE]

`limits`: the fetches that all routers together admit under their shares of the store's quota. `health`: the
requests that miss their latency target because of a faulty server. `purges`: stale reads after purges,
depending on whether the cache servers store the result of a fetch during which the key was purged. `growth`:
whether memory or CPU grow with keys, servers or tenants. `discovery`: the size of the endpoint list, and
discovery calls per second, idle and after an outage.
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
MISS_NS, FETCH_NS = 2 * MS, 20 * MS  # duration of a cache miss, and of a fetch from a healthy store
AIM_NS, DEADLINE_NS = 300 * MS, 1_200 * MS
MISS_FRACTION = 0.05  # of the reads sent to a key's own server
WARM_UP_S = 10  # shares are evaluated after this time, when routers have started and know their traffic
TARGET_ROUTERS, TARGET_SERVERS, TARGET_REQUESTS_PER_S = 930, 120, 850_000
PAIR_REQUESTS_PER_S = TARGET_REQUESTS_PER_S / TARGET_ROUTERS / TARGET_SERVERS
ORIGIN = Server("store:1", kind="origin")
READ = RequestClass("read", latency_target=AIM_NS, deadline=DEADLINE_NS)


def make_servers(count: int) -> tuple[Server, ...]:
    """This many cache servers, and the store."""
    caches = (Server(f"10.0.{n >> 8}.{n & 255}:6379", kind="std", zone=f"z{n % 8}") for n in range(count))
    return (*caches, ORIGIN)


def make_router(settings: Settings, servers: int, seed: int) -> Router:
    """A router with its endpoint list."""
    router = Router(settings, seed)
    router.handle(ServersChanged(ListKind.CACHED, make_servers(servers)), 0)
    return router


# Limits of the store, summed over all routers


class Split(Enum):
    """How the quota is split over the routers."""

    MODULE = "module"
    """As in the settings: each router limits itself to an even part of the quota."""
    CLAIRVOYANT = "clairvoyant"
    """Each router's part is proportional to its true traffic."""
    ONE_COUNTER = "one counter"
    """A single router handles all requests."""
    UNSHARED = "unshared"
    """Faulty, for tests of the simulation: every router uses the whole quota."""


@dataclass(frozen=True)
class Demand:
    """A demand for fetches: every read misses, as each key is read once."""

    quota: float
    """Fetches per second allowed to all routers together."""
    routers: int
    spread: float = 0.0
    """Sigma of the log-normal distribution of the routers' traffic; 0: all routers have the same traffic."""
    asked: float = 0.8
    """Demanded fetches as a fraction of the quota."""
    seconds: int = 20
    seed: int = 1

    def weights(self) -> list[float]:
        """Each router's fraction of the traffic."""
        rng = random.Random(self.seed)
        drawn = [rng.lognormvariate(0.0, self.spread) for _ in range(self.routers)]
        return [weight / sum(drawn) for weight in drawn]


@dataclass(frozen=True)
class AdmittedFlow:
    """Demanded fetches, and fetches admitted to the store, by second."""

    demand: Demand
    asked: list[int]
    admitted: list[int]

    def share(self, since: int = WARM_UP_S) -> float:
        """The fraction of demanded fetches that are admitted, from a second on."""
        return sum(self.admitted[since:]) / max(sum(self.asked[since:]), 1)

    def rate(self, since: int = WARM_UP_S) -> float:
        """Admitted fetches per second from a second on, as a multiple of the quota."""
        return sum(self.admitted[since:]) / max(len(self.admitted) - since, 1) / self.demand.quota

    def most(self, window: int) -> float:
        """The most fetches admitted in a window of seconds, as a multiple of the quota in the window."""
        sums = list(itertools.accumulate(self.admitted, initial=0))
        best = max(sums[at + window] - sums[at] for at in range(len(self.admitted) - window + 1))
        return best / (self.demand.quota * window)


def settings_for(demand: Demand, split: Split, weight: float) -> Settings:
    """The settings of one router."""
    quota = demand.quota * (weight if split is Split.CLAIRVOYANT else 1.0)
    routers = demand.routers if split is Split.MODULE else 1
    return Settings((READ,), (Tenant("a", 1.0, quota),), routers=routers, origin_kind="origin")


def play(demand: Demand, split: Split = Split.MODULE) -> AdmittedFlow:
    """Play the demand with a healthy store; the same demand always gives the same flow."""
    weights = demand.weights()
    count = 1 if split is Split.ONE_COUNTER else demand.routers
    routers = [
        make_router(settings_for(demand, split, weights[n]), 1, demand.seed * 10_000 + n)
        for n in range(count)
    ]
    sums = list(itertools.accumulate(weights))
    rng = random.Random(demand.seed + 1)
    asked, admitted = [0] * demand.seconds, [0] * demand.seconds
    # All fetches have the same duration, so the queue is ordered by completion time.
    fetches: deque[tuple[int, Router, AttemptEnded]] = deque()
    now, rate = 0.0, demand.quota * demand.asked / S
    for number in itertools.count():
        now += rng.expovariate(rate)
        if now >= demand.seconds * S:
            break
        at = int(now)
        while fetches and fetches[0][0] <= at:
            end_time, fetching_router, end = fetches.popleft()
            fetching_router.handle(end, end_time)
        chosen = min(bisect(sums, rng.random()), demand.routers - 1)
        router, name = routers[chosen if count > 1 else 0], str(number)
        second = at // S
        asked[second] += 1
        actions = router.handle(RequestArrived(name, "read", at + DEADLINE_NS, "a", f"k{number}"), at)
        miss = AttemptEnded(name, 0, only_send_target(actions), Outcome.MISS, False, MISS_NS)
        for action in router.handle(miss, at):
            if isinstance(action, Send):
                admitted[second] += 1
                end = AttemptEnded(name, 1, action.server, Outcome.OK, True, FETCH_NS)
                fetches.append((at + FETCH_NS, router, end))
    return AdmittedFlow(demand, asked, admitted)


def only_send_target(actions: Sequence[Action]) -> str:
    """The server of the only attempt among these actions."""
    (send,) = (action for action in actions if isinstance(action, Send))
    return send.server


def even_parts(demand: Demand) -> float:
    """The highest admitted fraction under an even split, if each router used its whole part."""
    part = demand.quota / demand.routers
    rates = [weight * demand.quota * demand.asked for weight in demand.weights()]
    return sum(min(part, rate) for rate in rates) / sum(rates)


# Health of servers, as one router observes it


class Fault(Enum):
    """How a server fails."""

    SILENT = "silent"
    FAILING = "failing"
    SLOW = "slow"
    FULL = "turns away"
    GONE = "refuses connections"


@dataclass(frozen=True)
class FaultEffect:
    """The effect of one server's fault on one router."""

    fault: str
    pair_a_second: float
    """Requests per second that the router sends to the server while it is healthy."""
    noticed_s: float | None
    """Seconds from the fault until the router first avoids the server; None: never."""
    harmed_first_s: int
    """Requests that arrived in the first second of the fault and missed the latency target."""
    harmed: int
    """All requests that missed the latency target."""
    attempts: int
    """Attempts at the server during the fault."""
    extra: int
    """Further attempts of requests, from the start of the fault."""


class FaultRun:
    """One router and its servers, of which one becomes faulty.

    A key's own server has a copy, except for `MISS_FRACTION` of the reads; any other server misses, and the
    quota allows the fetch.
    """

    def __init__(self, servers: int, pair_a_second: float, fault: Fault, seed: int) -> None:
        large_quota = (Tenant("a", 1.0, 4.0 * pair_a_second * servers),)
        settings = Settings((READ,), large_quota, origin_kind="origin")
        self.router, self.fault = make_router(settings, servers, seed), fault
        self.bad = make_servers(servers)[0].id
        self.fault_start, self.fault_end = 10 * S, 40 * S
        self.rate, self.pair = pair_a_second * servers / S, pair_a_second
        self.rng = random.Random(seed)
        self.due: list[tuple[int, int, AttemptEnded | TimerFired]] = []
        self.order = itertools.count()
        self.arrivals: dict[str, int] = {}
        self.last_attempt: dict[str, int] = {}
        self.harmed_arrivals: list[int] = []
        self.attempts = self.extra = 0
        self.noticed: int | None = None

    def play(self) -> FaultEffect:
        """Play 10 s without the fault and 30 s with it."""
        now = 0.0
        for number in itertools.count():
            now += self.rng.expovariate(self.rate)
            at = int(now)
            self._run_until(at)
            if at >= self.fault_end:
                break
            name = str(number)
            self.arrivals[name] = at
            key = f"k{self.rng.randrange(1 << 30)}"
            self._deliver(RequestArrived(name, "read", at + DEADLINE_NS, "a", key), at)
        self._run_until(self.fault_end + 2 * DEADLINE_NS)
        noticed = None if self.noticed is None else (self.noticed - self.fault_start) / S
        first = sum(arrived_at < self.fault_start + S for arrived_at in self.harmed_arrivals)
        return FaultEffect(
            self.fault.value, self.pair, noticed, first, len(self.harmed_arrivals), self.attempts, self.extra
        )

    def _run_until(self, now: int) -> None:
        while self.due and self.due[0][0] <= now:
            event_time, _, event = heapq.heappop(self.due)
            self._deliver(event, event_time)

    def _deliver(self, event: RequestArrived | AttemptEnded | TimerFired, now: int) -> None:
        if isinstance(event, AttemptEnded):
            arrived_at = self.arrivals.get(event.request)
            if arrived_at is None:
                event = msgspec.structs.replace(event, closed=True)
            elif event.outcome is Outcome.OK:
                self._record_answer(event.request, arrived_at, now - arrived_at <= AIM_NS)
        for action in self.router.handle(event, now):
            if isinstance(action, Send):
                self._send(action, now)
            elif isinstance(action, Reject | Fail) and action.request in self.arrivals:
                self._record_answer(action.request, self.arrivals[action.request], False)
            elif isinstance(action, SetTimer):
                heapq.heappush(self.due, (now + action.delay, next(self.order), TimerFired(action.token)))
        if self.noticed is None and now >= self.fault_start and self.bad in self.router.avoided(now):
            self.noticed = now

    def _record_answer(self, name: str, arrived_at: int, in_time: bool) -> None:
        del self.arrivals[name]
        self.last_attempt.pop(name, None)
        if not in_time:
            self.harmed_arrivals.append(arrived_at)

    def _send(self, send: Send, now: int) -> None:
        number = self.last_attempt[send.request] = self.last_attempt.get(send.request, -1) + 1
        left = self.arrivals[send.request] + DEADLINE_NS - now
        limit = min(send.timeout or left, left)
        bad = send.server == self.bad and self.fault_start <= now < self.fault_end
        self.extra += bool(number) and now >= self.fault_start
        outcome, duration = Outcome.OK, int(MS + self.rng.expovariate(1 / (3 * MS)))
        if send.server == ORIGIN.id:
            duration = FETCH_NS
        elif number or self.rng.random() < MISS_FRACTION:
            outcome = Outcome.MISS
        if bad:
            self.attempts += 1
            outcome, duration = {
                Fault.SILENT: (Outcome.TIMEOUT, 2 * left),
                Fault.FAILING: (Outcome.ERROR, 2 * MS),
                Fault.SLOW: (Outcome.OK, 2 * AIM_NS),
                Fault.FULL: (Outcome.OVERLOADED, MS),
                Fault.GONE: (Outcome.CONNECT_FAILED, MS),
            }[self.fault]
        if duration > limit:
            outcome, duration = Outcome.TIMEOUT, limit
        end = AttemptEnded(send.request, number, send.server, outcome, outcome is Outcome.OK, duration)
        heapq.heappush(self.due, (now + duration, next(self.order), end))


# Purges


@dataclass(frozen=True)
class StaleReads:
    """Counts of reads that returned a value purged before they arrived."""

    routers: int
    kept: bool
    """Whether servers store a value that was read before a purge and arrives after it."""
    reads: int
    purges: int
    overtaken: int
    """Fetches in progress when their key was purged."""
    waited: int
    """Reads that waited for another read's fetch."""
    stale_after_wait: int
    """Stale reads among `waited`: the fetch started before the purge, and the read arrived after it."""
    stale_else: int


class PurgedFleet:
    """Routers and servers with separate copies; a purge drops all copies of a key at once."""

    def __init__(self, routers: int, keys: int, kept: bool, seed: int, servers: int = 12) -> None:
        large_quota = (Tenant("a", 1.0, 1e7),)
        settings = Settings((READ,), large_quota, origin_kind="origin")
        self.routers = [make_router(settings, servers, seed * 1000 + n) for n in range(routers)]
        self.kept, self.rng = kept, random.Random(seed)
        self.popular = list(itertools.accumulate(1 / (rank + 1) for rank in range(keys)))
        self.version = [0] * keys
        self.copies: list[dict[str, int]] = [{} for _ in range(keys)]
        self.fetching = [0] * keys
        self.due: list[tuple[int, int, int, AttemptEnded, int]] = []
        self.order = itertools.count()
        self.open: dict[str, tuple[int, int]] = {}  # by read: its key, and the key's version when it arrived
        self.last_attempt: dict[str, int] = {}
        self.missed: dict[str, list[str]] = {}
        self.waiting: set[str] = set()
        self.reads = self.purges = self.overtaken = self.waited = self.after_wait = self.stale = 0

    def play(self, seconds: int, reads_a_second: float, purges_a_second: float) -> StaleReads:
        """Play reads and purges, both of keys drawn by popularity."""
        rate, now = reads_a_second * len(self.routers) / S, 0.0
        until_purge = self.rng.expovariate(purges_a_second / S)
        while now < seconds * S:
            now += self.rng.expovariate(rate)
            while until_purge < now:
                self._run_until(int(until_purge))
                self._purge(self._key())
                until_purge += self.rng.expovariate(purges_a_second / S)
            self._run_until(int(now))
            self._read(self.rng.randrange(len(self.routers)), self._key(), int(now))
        self._run_until(int(now) + 2 * DEADLINE_NS)
        counts = self.reads, self.purges, self.overtaken, self.waited, self.after_wait, self.stale
        return StaleReads(len(self.routers), self.kept, *counts)

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

    def _run_until(self, now: int) -> None:
        while self.due and self.due[0][0] <= now:
            event_time, _, number, end, version = heapq.heappop(self.due)
            self._handle_attempt_end(number, end, version, event_time)

    def _handle_attempt_end(self, number: int, end: AttemptEnded, version: int, now: int) -> None:
        key, arrived_at = self.open[end.request]
        if end.server == ORIGIN.id:
            self.fetching[key] -= 1
            if self.kept or version == self.version[key]:
                for server in self.missed.get(end.request, ()):
                    self.copies[key][server] = version
        if end.outcome is Outcome.MISS:
            self.missed.setdefault(end.request, []).append(end.server)
        elif version < arrived_at and end.request in self.waiting:
            self.after_wait += 1
        else:
            self.stale += version < arrived_at
        sent_again = self._carry_out(number, self.routers[number].handle(end, now), now)
        if end.outcome is Outcome.MISS and end.request not in sent_again:
            self.waiting.add(end.request)
            self.waited += 1
        elif end.outcome is Outcome.OK:
            for by_request in (self.open, self.last_attempt, self.missed):
                by_request.pop(end.request, None)
            self.waiting.discard(end.request)

    def _carry_out(self, number: int, actions: Sequence[Action], now: int) -> set[str]:
        sent_requests = set()
        for action in actions:
            if not isinstance(action, Send):
                continue
            sent_requests.add(action.request)
            key, _ = self.open[action.request]
            attempt = self.last_attempt[action.request] = self.last_attempt.get(action.request, -1) + 1
            fetch = action.server == ORIGIN.id
            self.fetching[key] += fetch
            version = self.version[key] if fetch else self.copies[key].get(action.server)
            outcome = Outcome.MISS if version is None else Outcome.OK
            duration = FETCH_NS if fetch else MISS_NS
            end = AttemptEnded(
                action.request, attempt, action.server, outcome, outcome is Outcome.OK, duration
            )
            heapq.heappush(self.due, (now + duration, next(self.order), number, end, version or 0))
        return sent_requests


# Growth of memory and CPU


def size_of(root: object) -> int:
    """Bytes of an object and of all objects it refers to, each counted once, without types and settings."""
    seen: set[int] = set()
    total, todo = 0, [root]
    while todo:
        current = todo.pop()
        if id(current) in seen or isinstance(
            current, type | FunctionType | Settings | RequestClass | random.Random
        ):
            continue
        seen.add(id(current))
        total += sys.getsizeof(current)
        if not isinstance(current, str | bytes | int | float):
            todo += gc.get_referents(current)
    return total


def resident_bytes() -> int:
    """The resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


@dataclass(frozen=True)
class GrowthRow:
    """The memory of one router's decision module after a number of keys."""

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
    """CPU per read since the previous row, for its arrival and end."""


def measure_growth(
    keys: Iterable[int],
    servers: int,
    tenants: int,
    missing: float,
    a_second: float,
    every_slot: bool = False,
) -> list[GrowthRow]:
    """Read each key once through one router's decision module; returns a row for each number of keys.

    `missing`: the fraction of reads that miss and are fetched. `every_slot`: rank every slot beforehand.
    """
    names = [f"t{n}" for n in range(tenants)]
    tenant_settings = tuple(Tenant(name, 1 / tenants, 4000.0 * TARGET_ROUTERS / tenants) for name in names)
    router = make_router(
        Settings((READ,), tenant_settings, routers=TARGET_ROUTERS, origin_kind="origin"), servers, 3
    )
    rng, rows, number, gap = random.Random(5), [], 0, int(S / a_second)
    for slot in range(SLOTS if every_slot else 0):
        router.caches.rank(slot, 0)
    for stop in keys:
        start, before = time.process_time(), number
        while number < stop:
            now, name = number * gap, str(number)
            read = RequestArrived(name, "read", now + DEADLINE_NS, names[number % tenants], f"once/{number}")
            server = only_send_target(router.handle(read, now))
            if rng.random() < missing:
                miss = AttemptEnded(name, 0, server, Outcome.MISS, False, MISS_NS)
                for action in router.handle(miss, now):
                    if isinstance(action, Send):
                        end = AttemptEnded(name, 1, action.server, Outcome.OK, True, FETCH_NS)
                        router.handle(end, now)
            else:
                router.handle(AttemptEnded(name, 0, server, Outcome.OK, True, MISS_NS), now)
            number += 1
        cpu_us = (time.process_time() - start) / max(number - before, 1) * 1e6
        slots = size_of([router.caches.scored_rankings, router.caches.steady_rankings])
        rows.append(
            GrowthRow(
                number,
                servers,
                tenants,
                size_of([router.selection.slot_popularity, router.tenants.usage]),
                slots,
                size_of(router.tenants.suppressors),
                size_of([router.open_requests, router.flights]),
                size_of(router),
                resident_bytes() / 2**20,
                cpu_us,
            )
        )
    return rows


# Discovery


@dataclass(frozen=True)
class ListCost:
    """What an endpoint list of this many servers costs a router."""

    servers: int
    bytes: int
    read_us: float
    """Median CPU to decode and check the list."""
    taken_us: float
    """Median CPU of the module to accept a first, full list."""
    change_us: float
    """Median CPU of the module to add one server while the ranking of every slot is cached."""
    most_us: float
    """The same for the largest number of servers in one change that keeps the rankings cached."""


def list_cost(servers: int, rounds: int = 5, slots: int = SLOTS) -> ListCost:
    """Measure a list's costs; `slots`: how many slot rankings are cached when servers are added."""
    entries, clock = make_servers(servers), ClockOffset(0, 1_700_000_000 * S)
    addresses = {entry.id: ("10.0.0.1", 6379) for entry in entries}
    body = json.dumps(encode_endpoint_list(7, entries, addresses, clock)).encode()
    settings = Settings((READ,), origin_kind="origin")
    read, accept, change, most = (list[int]() for _ in range(4))
    for number in range(rounds):
        start = time.process_time_ns()
        listing = parse_endpoint_list(msgspec.json.decode(body), clock)
        read.append(time.process_time_ns() - start)
        router = Router(settings, number)
        start = time.process_time_ns()
        router.handle(listing.change, 0)
        accept.append(time.process_time_ns() - start)
    for slot in range(slots):
        router.caches.rank(slot, 0)
    for number in range(2 * rounds):
        count = DEPTH if number % 2 else 1
        new = tuple(Server(f"new-{number}-{n}", kind="std") for n in range(count))
        gone = tuple(msgspec.structs.replace(server, state=ServerState.REMOVED) for server in new)
        start = time.process_time_ns()
        router.handle(ServersChanged(ListKind.DELTA, new), 0)
        (most if number % 2 else change).append(time.process_time_ns() - start)
        router.handle(ServersChanged(ListKind.DELTA, gone), 0)
        for slot in range(slots):
            router.caches.rank(slot, 0)
    medians = (statistics.median(times) / 1000 for times in (read, accept, change, most))
    return ListCost(servers, len(body), *medians)


@dataclass(frozen=True)
class Calls:
    """Calls to a polled discovery, by second from the start of its outage."""

    routers: int
    down_s: int
    a_second: list[int] = field(default_factory=list)

    @property
    def most_down(self) -> int:
        """The most calls in one second while discovery is down."""
        return max(self.a_second[: self.down_s])

    @property
    def most_after(self) -> int:
        """The most calls in one second after discovery is back."""
        return max(self.a_second[self.down_s :])


def play_outage(routers: int, down_s: int, ask_within: int = 10 * S, seed: int = 1) -> Calls:
    """Play an outage: all watches end at once, and each call fails immediately until discovery is back.

    Only the module's delays between calls are counted: a router stops once a call has succeeded, as its watch
    then continues.
    """
    settings = Settings((READ,), routers=routers, must_subscribe=True, subscribe_within=ask_within)
    polling_routers = [Router(settings, seed * 10_000 + n) for n in range(routers)]
    due: list[tuple[int, int, int]] = []
    order = itertools.count()
    for n, router in enumerate(polling_routers):
        router.handle(ServersChanged(ListKind.FULL, make_servers(3)), 0)
        _push_timers(due, order, n, router.handle(ServersChanged(ListKind.FAILED), 0), 0)
    back, span = down_s * S, down_s + 30
    a_second = [0] * span
    while due and due[0][0] < span * S:
        now, _, n = heapq.heappop(due)
        for action in polling_routers[n].handle(TimerFired("subscribe"), now):
            if isinstance(action, Subscribe):
                a_second[now // S] += 1
                if now < back:
                    _push_timers(
                        due, order, n, polling_routers[n].handle(ServersChanged(ListKind.FAILED), now), now
                    )
                else:
                    polling_routers[n].handle(ServersChanged(ListKind.DELTA), now)
    return Calls(routers, down_s, a_second)


def _push_timers(
    due: list[tuple[int, int, int]], order: Iterable[int], router: int, actions: Sequence[Action], now: int
) -> None:
    for action in actions:
        if isinstance(action, SetTimer):
            heapq.heappush(due, (now + action.delay, next(iter(order)), router))


# The command


def _write_json(path: Path | None, results: Any) -> None:
    if path is not None:
        path.write_text(json.dumps(results, indent=1) + "\n")


_JSON = click.option(
    "--json", "path", type=click.Path(path_type=Path), help="Also write the figures to this file."
)


def _number_list(kind: type) -> Any:
    def read(_context: click.Context, _option: click.Parameter, text: str) -> list[Any]:
        try:
            return [kind(part) for part in text.split(",")]
        except ValueError:
            raise click.BadParameter(f"expected numbers separated by commas, got {text!r}") from None

    return read


@click.group()
def main() -> None:
    """Simulate the decision module at the size of a fleet."""


@main.command()
@click.option("--quotas", default="40,400,4000", callback=_number_list(float))
@click.option("--routers", default="12,40,200,930", callback=_number_list(int))
@click.option("--spreads", default="0,0.7,1.2", callback=_number_list(float))
@click.option("--asked", default=0.8, help="Demand as a fraction of the quota.")
@click.option("--seconds", default=20)
@click.option("--seeds", default="1,2,3", callback=_number_list(int))
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
    """Fetches that the shares of the store's quota admit."""
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
            key: " ".join(f"{number:.3f}" for number in value)
            for key, value in row.items()
            if type(value) is list
        }
        click.echo(
            f"quota {quota:6g}  routers {count:4d}  spread {spread:3g}  admitted after {WARM_UP_S} s "
            f"{shown['share']}  of the quota {shown['of_quota']}  most in 5 s {shown['most_5_s']}  "
            f"even parts at best {shown['even_parts']}"
        )
    _write_json(path, rows)


@main.command()
@click.option("--servers", default=TARGET_SERVERS)
@click.option(
    "--pairs",
    default=f"{PAIR_REQUESTS_PER_S:.2f},2,0.5",
    callback=_number_list(float),
    help="Requests per second to one server.",
)
@click.option("--seeds", default="1,2,3,4,5", callback=_number_list(int))
@_JSON
def health(servers: int, pairs: list[float], seeds: list[int], path: Path | None) -> None:
    """Requests that one router loses to a server that is faulty for 30 s."""
    rows: list[dict[str, Any]] = []
    for pair, fault in itertools.product(pairs, Fault):
        results = [FaultRun(servers, pair, fault, seed).play() for seed in seeds]
        rows += map(asdict, results)
        noticed = " ".join("never" if f.noticed_s is None else f"{f.noticed_s:.2f}" for f in results)
        harmed = " ".join(str(f.harmed) for f in results)
        first = " ".join(str(f.harmed_first_s) for f in results)
        attempts = " ".join(str(f.attempts) for f in results)
        click.echo(
            f"{pair:5g}/s {fault.value:>20}: avoided after s {noticed}; harmed in the first second {first}, "
            f"in 30 s {harmed}; attempts there {attempts}"
        )
    _write_json(path, rows)


@main.command()
@click.option("--routers", default="1,3,10", callback=_number_list(int))
@click.option("--keys", default=10_000)
@click.option("--seconds", default=20)
@click.option(
    "--a-second", default=TARGET_REQUESTS_PER_S / TARGET_ROUTERS, help="Reads per second at a router."
)
@click.option("--purges", "purged", default=12.0, help="Purges per second, of keys drawn by popularity.")
@click.option("--seeds", default="1", callback=_number_list(int))
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
    """Reads that return a value purged before they arrived."""
    rows = []
    for count, kept, seed in itertools.product(routers, (False, True), seeds):
        results = asdict(PurgedFleet(count, keys, kept, seed).play(seconds, a_second, purged))
        rows.append(results)
        click.echo("  ".join(f"{key} {value}" for key, value in results.items()))
    _write_json(path, rows)


@main.command()
@click.option("--keys", default="1000,10000,100000,1000000,3000000", callback=_number_list(int))
@click.option("--servers", default=TARGET_SERVERS)
@click.option("--tenants", default=2)
@click.option("--missing", default=0.0, help="Fraction of reads that miss and are fetched.")
@click.option(
    "--a-second", default=TARGET_REQUESTS_PER_S / TARGET_ROUTERS, help="Requests per second at the router."
)
@_JSON
def growth(
    keys: list[int], servers: int, tenants: int, missing: float, a_second: float, path: Path | None
) -> None:
    """Whether memory or CPU grow with new keys, servers or tenants."""
    rows = measure_growth(keys, servers, tenants, missing, a_second)
    for row in rows:
        click.echo("  ".join(f"{key} {value:.5g}" for key, value in asdict(row).items()))
    _write_json(path, [asdict(row) for row in rows])


@main.command()
@click.option("--routers", default="58,116,232,465,930", callback=_number_list(int))
@click.option("--servers", default="12,38,120", callback=_number_list(int))
@click.option("--down", default=8, help="Duration of the outage in seconds.")
@_JSON
def discovery(routers: list[int], servers: list[int], down: int, path: Path | None) -> None:
    """Costs of the endpoint list, and discovery calls, idle and after an outage."""
    costs = [list_cost(count) for count in servers]
    for cost in costs:
        click.echo("  ".join(f"{key} {value:.5g}" for key, value in asdict(cost).items()))
    calls = [play_outage(count, down) for count in routers]
    for outage in calls:
        idle = outage.routers / ((POLL_TIMING.min_wait_s + POLL_TIMING.max_wait_s) / 2)
        click.echo(
            f"routers {outage.routers}: idle {idle:.4g} calls a second where lists are asked for, "
            f"{1 / PUSH_TIMING.min_wait_s:g} at each router's own agent where they are pushed; "
            f"in an outage of {down} s {outage.most_down} a second at most, "
            f"{outage.most_after} from its return on"
        )
    _write_json(
        path,
        {
            "lists": [asdict(cost) for cost in costs],
            "outages": [asdict(call_counts) for call_counts in calls],
        },
    )


if __name__ == "__main__":
    main()
