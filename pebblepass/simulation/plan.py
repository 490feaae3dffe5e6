"""The plan: who asks what when, what each part is like, and what breaks; drawn from a scenario and a seed.

Pure: no clock, no I/O. Random numbers come from streams split by name, so that a part that is added does not
shift the others' draws; they depend on neither PYTHONHASHSEED nor the version of Python.
"""

from __future__ import annotations

import hashlib
import random
from bisect import bisect_left
from dataclasses import dataclass, replace
from itertools import accumulate
from math import exp, fsum, pi, sin

from pebblepass.simulation.scenario import Disturbance, Fault, Range, RequestClass, Scenario

BURST_KEY = "pkg/released-today/1.0.0"
STORE_ID = "store"


class Streams:
    """Random sources by name, all from one seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, name: str) -> random.Random:
        """The source of this name, from its start."""
        return random.Random(f"{self._seed}/{name}")


@dataclass(frozen=True, slots=True)
class NodeFacts:
    """What one mirror node is like; times in seconds."""

    id: str
    zone: str
    speed: float
    slots: int
    queue: int
    thrash_at: int
    thrash: float
    pause_every: float
    pause: float
    cold_capacity: float
    warm_up_time: float
    report_period: float
    memory: int
    """Copies that it can keep."""


@dataclass(frozen=True, slots=True)
class StoreFacts:
    """What the package store is like."""

    slots: int
    """Requests that run side by side, each at full speed."""
    work: float
    """Seconds that one takes."""
    queue: int
    error_rate: float


@dataclass(frozen=True, slots=True)
class RouterFacts:
    """One router."""

    id: str
    zone: str
    seed: int


@dataclass(frozen=True, slots=True)
class Operation:
    """What one client wants: a first request and its retries."""

    # The plan's digest is a hash of reprs; this keeps it equal to that of earlier versions.
    __qualname__ = "Ask"
    number: int
    at: float
    request_class: str
    namespace: str
    key: str
    zone: str
    router: int
    """The router that the front deals it to."""
    over: bool
    """Beyond its namespace's share."""
    try_shares: tuple[float, ...]
    backoffs: tuple[float, ...]
    leaves: float
    """A draw from 0 to 1: where clients leave, those under the share do."""
    command: int = -1
    """The command of many keys that it belongs to; -1: it is asked by itself."""


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A fault or an invalidation of cached copies at a set time."""

    # The plan's digest is a hash of reprs; this keeps it equal to that of earlier versions.
    __qualname__ = "Happening"
    at: float
    kind: str
    length: float
    place: int
    share: float
    factor: float


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that a rehearsal needs to know before it starts."""

    scenario: Scenario
    seed: int
    nodes: tuple[NodeFacts, ...]
    spares: tuple[NodeFacts, ...]
    """Nodes that come into the list in the place of others."""
    store: StoreFacts
    routers: tuple[RouterFacts, ...]
    delays: dict[tuple[str, str], float]
    """One way between two zones, in seconds."""
    operations: tuple[Operation, ...]
    fault_events: tuple[FaultEvent, ...]
    disturbances: tuple[tuple[float, str], ...]
    """What clients bring, as words: when it begins, and what it is."""
    popular: tuple[str, ...]
    """Keys, the most popular first, that a pooled cache of the fleet's size holds."""

    def digest(self) -> str:
        """A digest of who asks what when and of what breaks; the same whatever plays it."""
        text = hashlib.sha256()
        for part in (
            *self.nodes,
            *self.spares,
            self.store,
            *self.routers,
            *self.operations,
            *self.fault_events,
        ):
            text.update(repr(part).encode())
        return text.hexdigest()[:16]


def _draw(rng: random.Random, bounds: Range) -> float:
    return bounds.least + (bounds.most - bounds.least) * rng.random()


def _node(scenario: Scenario, streams: Streams, name: str, zone: str, memory: int) -> NodeFacts:
    rng, node = streams.of(f"node {name}"), scenario.node
    return NodeFacts(
        id=name,
        zone=zone,
        speed=_draw(rng, node.speed),
        slots=round(_draw(rng, node.slots)),
        queue=round(_draw(rng, node.queue)),
        thrash_at=round(_draw(rng, node.thrash_at)),
        thrash=_draw(rng, node.thrash),
        pause_every=_draw(rng, node.pause_every_s),
        pause=_draw(rng, node.pause_ms) / 1000,
        cold_capacity=_draw(rng, node.cold_share),
        warm_up_time=_draw(rng, node.cold_s),
        report_period=_draw(rng, node.report_ms) / 1000,
        memory=memory,
    )


def make_plan(scenario: Scenario, seed: int) -> Plan:
    """Draw a plan."""
    streams = Streams(seed)
    fleet = scenario.fleet
    keys = _Keys(scenario, streams)
    zones = fleet.zones
    memory = max(4, len(keys.pooled) * 5 // (fleet.nodes * 4))
    nodes = tuple(
        _node(scenario, streams, f"s{i}", zones[i % len(zones)], memory) for i in range(fleet.nodes)
    )
    spares = tuple(
        _node(scenario, streams, f"spare{i}", zones[i % len(zones)], memory)
        for i in range(sum(fault.kind == "node-replace" for fault in scenario.faults))
    )
    rng = streams.of("network")
    delays = {}
    for i, here in enumerate(zones):
        for there in zones[i:]:
            way = _draw(rng, fleet.same_ms if here == there else fleet.cross_ms) / 1000
            delays[here, there] = delays[there, here] = way
    routers = tuple(
        RouterFacts(f"r{i}", zones[i % len(zones)], streams.of(f"router r{i}").getrandbits(63))
        for i in range(fleet.routers)
    )
    return Plan(
        scenario=scenario,
        seed=seed,
        nodes=nodes,
        spares=spares,
        store=_store(scenario, streams, keys),
        routers=routers,
        delays=delays,
        operations=tuple(_with_syncs(scenario, streams, keys, routers)),
        fault_events=_happenings(scenario, streams),
        disturbances=_told_troubles(scenario, streams),
        popular=keys.pooled,
    )


def _store(scenario: Scenario, streams: Streams, keys: _Keys) -> StoreFacts:
    rng, store, rate = streams.of("store"), scenario.store, scenario.traffic.rate
    writes = fsum(cls.share for cls in scenario.classes if cls.write)
    usual = rate * (1 - writes) * (1 - keys.hits)
    work = _draw(rng, store.work_ms) / 1000
    capacity = usual * _draw(rng, store.capacity) + rate * writes
    slots = max(1, round(capacity * work))
    return StoreFacts(
        slots=slots,
        work=slots / capacity,
        queue=round(_draw(rng, store.queue)),
        error_rate=store.error_rate,
    )


class _Keys:
    """The packages and how popular they are."""

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        traffic = scenario.traffic
        rng = streams.of("keys")
        self._names = [f"pkg/p{i}/{rng.randrange(10)}.{rng.randrange(20)}" for i in range(traffic.keys)]
        weights = [1 / (i + 1) ** traffic.skew for i in range(traffic.keys)]
        self._sums = list(accumulate(weights))
        self.hits = _draw(rng, traffic.pooled_hits)
        held = _lru_size([weight / self._sums[-1] for weight in weights], self.hits)
        self.pooled = tuple(self._names[:held])

    def draw(self, rng: random.Random) -> str:
        place = bisect_left(self._sums, rng.random() * self._sums[-1])
        return self._names[min(place, len(self._names) - 1)]


def _lru_size(popularity: list[float], hits: float) -> int:
    """How many copies one cache that drops the least recently used needs for this share of hits.

    Che's approximation (Che, Tung, Wang: Hierarchical Web Caching Systems, 2002): a copy stays for one time
    that is the same for all keys.
    """
    low, high = 0.0, 1.0
    while _lru_hits(popularity, high) < hits:
        low, high = high, high * 2
    for _ in range(20):
        middle = (low + high) / 2
        low, high = (middle, high) if _lru_hits(popularity, middle) < hits else (low, middle)
    return min(len(popularity), round(fsum(1 - exp(-share * high) for share in popularity)) + 1)


def _lru_hits(popularity: list[float], stay: float) -> float:
    return fsum(share * (1 - exp(-share * stay)) for share in popularity)


def _operations(
    scenario: Scenario, streams: Streams, keys: _Keys, routers: tuple[RouterFacts, ...]
) -> list[Operation]:
    traffic = scenario.traffic
    rng, disturbances = streams.of("clients"), _shares(scenario, streams)
    skewed = {
        place: streams.of(f"skew {place}").sample(range(len(routers)), min(trouble.routers, len(routers)))
        for place, trouble in enumerate(scenario.disturbances)
        if trouble.kind == "skew"
    }
    classes, namespaces = scenario.classes, scenario.namespaces
    class_sums = list(accumulate(cls.share for cls in classes))
    namespace_sums = list(accumulate(namespace.share for namespace in namespaces))
    phase = rng.random()
    peak = traffic.rate * (1 + traffic.swing) * (1 + fsum(s for (t, s) in disturbances if t.kind == "burst"))
    quota = _Quota(scenario)
    operations: list[Operation] = []
    at = 0.0
    while True:
        at += rng.expovariate(1.0) / peak
        if at >= scenario.length_s:
            return operations
        base = traffic.rate * (1 + traffic.swing * sin(2 * pi * (at / 17 + phase)))
        now = [
            (place, trouble, share) for place, (trouble, share) in enumerate(disturbances) if _on(trouble, at)
        ]
        burst = fsum(share for _, trouble, share in now if trouble.kind == "burst")
        # Every draw is made for every candidate, so that one ask's fate does not shift the next one's draws.
        thinned, kind, popular, lean = (rng.random() for _ in range(4))
        cls = classes[bisect_left(class_sums, rng.random() * class_sums[-1])]
        namespace = namespaces[bisect_left(namespace_sums, rng.random() * namespace_sums[-1])].name
        key = keys.draw(rng)
        router = rng.randrange(len(routers))
        skew_pick = rng.random()
        try_shares = tuple(_draw(rng, traffic.try_share) for _ in range(traffic.retries + 1))
        backoffs = tuple(_draw(rng, traffic.backoff_ms) / 1000 for _ in range(traffic.retries + 1))
        leaves = rng.random()
        if thinned * peak >= base * (1 + burst):
            continue
        if burst and kind * (1 + burst) < burst:
            cls, key = _first_read(classes), BURST_KEY
        elif not cls.write and popular < fsum(share for _, t, share in now if t.kind == "one-time"):
            key = f"once/{len(operations)}/{at:.6f}"
        leaning = [(place, share) for place, trouble, share in now if trouble.kind == "skew"]
        if leaning and lean < leaning[0][1]:
            picked = skewed[leaning[0][0]]
            router = picked[int(skew_pick * len(picked))]
        operations.append(
            Operation(
                number=len(operations),
                at=at,
                request_class=cls.name,
                namespace=namespace,
                key=key,
                zone=routers[router].zone,
                router=router,
                over=quota.over(namespace, at),
                try_shares=try_shares,
                backoffs=backoffs,
                leaves=leaves,
            )
        )


def _with_syncs(
    scenario: Scenario, streams: Streams, keys: _Keys, routers: tuple[RouterFacts, ...]
) -> list[Operation]:
    """All asks by their time, with those of commands that read many keys: each of their keys is an ask."""
    operations, sync = _operations(scenario, streams, keys, routers), scenario.sync
    if sync is None:
        return operations
    rng, cls, at, number = streams.of("sync"), _first_read(scenario.classes), 0.0, 0
    shares = list(accumulate(namespace.share for namespace in scenario.namespaces))
    while (at := at + rng.expovariate(1.0) / sync.commands) < scenario.length_s:
        namespace = scenario.namespaces[bisect_left(shares, rng.random() * shares[-1])].name
        router, wanted = rng.randrange(len(routers)), dict[str, None]()
        while len(wanted) < sync.keys:
            wanted[keys.draw(rng)] = None
        zone = routers[router].zone
        for key in wanted:
            operation = Operation(
                0, at, cls.name, namespace, key, zone, router, False, (1.0,), (0.0,), 1.0, number
            )
            operations.append(operation)
        number += 1
    operations.sort(key=lambda operation: operation.at)
    return [replace(operation, number=place) for place, operation in enumerate(operations)]


def _first_read(classes: tuple[RequestClass, ...]) -> RequestClass:
    return next((cls for cls in classes if not cls.write), classes[0])


def _on(trouble: Disturbance, at: float) -> bool:
    return trouble.at_s <= at < trouble.at_s + trouble.for_s


def _shares(scenario: Scenario, streams: Streams) -> list[tuple[Disturbance, float]]:
    return [
        (trouble, _draw(streams.of(f"trouble {place} {trouble.kind}"), trouble.share))
        for place, trouble in enumerate(scenario.disturbances)
    ]


_TROUBLE_WORDS = {
    "burst": "{share:.0%} more requests, all for one new package",
    "one-time": "{share:.0%} of the reads ask for keys that are wanted once",
    "skew": "{share:.0%} of all traffic goes to {routers} router(s)",
}


def _told_troubles(scenario: Scenario, streams: Streams) -> tuple[tuple[float, str], ...]:
    return tuple(
        (
            trouble.at_s,
            _TROUBLE_WORDS[trouble.kind].format(share=share, routers=trouble.routers)
            + f" for {trouble.for_s:g} s",
        )
        for trouble, share in _shares(scenario, streams)
        if trouble.kind in _TROUBLE_WORDS
    )


class _Quota:
    """Which requests lie beyond a namespace's share: a bucket of one second's allowance each."""

    def __init__(self, scenario: Scenario) -> None:
        rate = scenario.traffic.rate
        self._allowance = {n.name: max(1.0, rate * n.share * n.quota) for n in scenario.namespaces}
        self._left = dict(self._allowance)
        self._at = dict.fromkeys(self._allowance, 0.0)

    def over(self, namespace: str, at: float) -> bool:
        allowance = self._allowance[namespace]
        left = min(allowance, self._left[namespace] + (at - self._at[namespace]) * allowance)
        self._at[namespace] = at
        self._left[namespace] = left - 1 if left >= 1 else left
        return left < 1


def _happenings(scenario: Scenario, streams: Streams) -> tuple[FaultEvent, ...]:
    fault_events = [
        FaultEvent(trouble.at_s, trouble.kind, 0.0, 0, share, 1.0)
        for trouble, share in _shares(scenario, streams)
        if trouble.kind == "invalidation"
    ]
    taken: set[int] = set()
    for number, fault in enumerate(scenario.faults):
        place = _place(scenario, fault, streams.of(f"fault {number} {fault.kind}"), taken)
        fault_events.append(FaultEvent(fault.at_s, fault.kind, fault.for_s, place, fault.share, fault.factor))
    return tuple(sorted(fault_events, key=lambda event: event.at))


def _place(scenario: Scenario, fault: Fault, rng: random.Random, taken: set[int]) -> int:
    """The node or router that a fault touches; nodes that are drawn are drawn once while there are any."""
    if fault.kind.startswith("router"):
        return rng.randrange(scenario.fleet.routers) if fault.place is None else fault.place
    if not fault.kind.startswith("node"):
        return 0
    if fault.place is None:
        free = [i for i in range(scenario.fleet.nodes) if i not in taken] or list(range(scenario.fleet.nodes))
        place = rng.choice(free)
    else:
        place = fault.place
    taken.add(place)
    return place
