"""The plan of a rehearsal, drawn from a scenario and a seed: servers, operations of clients, and faults.

No clock and no I/O. Each part draws its random numbers from a stream of its own, so that adding a part does
not change what the others draw. The draws depend on neither PYTHONHASHSEED nor the version of Python.
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
    """Named random number generators, all derived from one seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, name: str) -> random.Random:
        """Return a new generator for this name, at the start of its sequence."""
        return random.Random(f"{self._seed}/{name}")


@dataclass(frozen=True, slots=True)
class NodeFacts:
    """Properties of one mirror node; times in seconds."""

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
    """The number of copies that the node can store."""


@dataclass(frozen=True, slots=True)
class StoreFacts:
    """Properties of the package store."""

    slots: int
    """Requests that are served concurrently, each at full speed."""
    work: float
    """Service time of one request, in seconds."""
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
    """One operation of a client: a first request and its retries."""

    # The plan's digest is a hash of reprs; this keeps it equal to that of earlier versions.
    __qualname__ = "Ask"
    number: int
    at: float
    request_class: str
    namespace: str
    key: str
    zone: str
    router: int
    """The index of the router that the load balancer picks while it is up."""
    over: bool
    """Whether it is beyond the quota of its namespace."""
    try_shares: tuple[float, ...]
    backoffs: tuple[float, ...]
    leaves: float
    """A draw from 0 to 1; the client disconnects if it is below the share of clients that do so."""
    command: int = -1
    """The number of the multi-key command that it is part of; -1: none."""


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
    """Everything that is drawn before a rehearsal starts."""

    scenario: Scenario
    seed: int
    nodes: tuple[NodeFacts, ...]
    spares: tuple[NodeFacts, ...]
    """Nodes that replace others."""
    store: StoreFacts
    routers: tuple[RouterFacts, ...]
    delays: dict[tuple[str, str], float]
    """The one-way delay between two zones, in seconds."""
    operations: tuple[Operation, ...]
    fault_events: tuple[FaultEvent, ...]
    disturbances: tuple[tuple[float, str], ...]
    """Start and description of each disturbance of the traffic."""
    popular: tuple[str, ...]
    """The keys that one cache of the size of the whole fleet would store, the most popular first."""

    def digest(self) -> str:
        """Return a digest of the plan, the same in virtual and in real time."""
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
    """Draw the plan of a scenario."""
    streams = Streams(seed)
    fleet = scenario.fleet
    keys = _Keys(scenario, streams)
    zones = fleet.zones
    # A quarter more than each node's part of the keys of the pooled cache.
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
    for i, zone in enumerate(zones):
        for other_zone in zones[i:]:
            delay = _draw(rng, fleet.same_ms if zone == other_zone else fleet.cross_ms) / 1000
            delays[zone, other_zone] = delays[other_zone, zone] = delay
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
        operations=tuple(_with_sync_commands(scenario, streams, keys, routers)),
        fault_events=_fault_events(scenario, streams),
        disturbances=_disturbance_descriptions(scenario, streams),
        popular=keys.pooled,
    )


def _store(scenario: Scenario, streams: Streams, keys: _Keys) -> StoreFacts:
    rng, store, rate = streams.of("store"), scenario.store, scenario.traffic.rate
    writes = fsum(cls.share for cls in scenario.classes if cls.write)
    usual_fetches = rate * (1 - writes) * (1 - keys.hits)
    work = _draw(rng, store.work_ms) / 1000
    capacity = usual_fetches * _draw(rng, store.capacity) + rate * writes
    slots = max(1, round(capacity * work))
    return StoreFacts(
        slots=slots,
        work=slots / capacity,
        queue=round(_draw(rng, store.queue)),
        error_rate=store.error_rate,
    )


class _Keys:
    """The packages, with Zipf popularity."""

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        traffic = scenario.traffic
        rng = streams.of("keys")
        self._names = [f"pkg/p{i}/{rng.randrange(10)}.{rng.randrange(20)}" for i in range(traffic.keys)]
        weights = [1 / (i + 1) ** traffic.skew for i in range(traffic.keys)]
        self._sums = list(accumulate(weights))
        self.hits = _draw(rng, traffic.pooled_hits)
        copies = _lru_size([weight / self._sums[-1] for weight in weights], self.hits)
        self.pooled = tuple(self._names[:copies])

    def draw(self, rng: random.Random) -> str:
        index = bisect_left(self._sums, rng.random() * self._sums[-1])
        return self._names[min(index, len(self._names) - 1)]


def _lru_size(popularity: list[float], hits: float) -> int:
    """Return the size of an LRU cache, in copies, that serves this share of hits.

    Che's approximation (Che, Tung, Wang: Hierarchical Web Caching Systems, 2002): an unused copy stays for
    the same time whatever its key.
    """
    low, high = 0.0, 1.0
    while _lru_hits(popularity, high) < hits:
        low, high = high, high * 2
    for _ in range(20):
        middle = (low + high) / 2
        low, high = (middle, high) if _lru_hits(popularity, middle) < hits else (low, middle)
    return min(len(popularity), round(fsum(1 - exp(-share * high) for share in popularity)) + 1)


def _lru_hits(popularity: list[float], lifetime: float) -> float:
    return fsum(share * (1 - exp(-share * lifetime)) for share in popularity)


def _operations(
    scenario: Scenario, streams: Streams, keys: _Keys, routers: tuple[RouterFacts, ...]
) -> list[Operation]:
    traffic = scenario.traffic
    rng, disturbances = streams.of("clients"), _disturbance_shares(scenario, streams)
    skewed_routers = {
        index: streams.of(f"skew {index}").sample(range(len(routers)), min(disturbance.routers, len(routers)))
        for index, disturbance in enumerate(scenario.disturbances)
        if disturbance.kind == "skew"
    }
    classes, namespaces = scenario.classes, scenario.namespaces
    class_sums = list(accumulate(cls.share for cls in classes))
    namespace_sums = list(accumulate(namespace.share for namespace in namespaces))
    phase = rng.random()
    peak = traffic.rate * (1 + traffic.swing) * (1 + fsum(s for (d, s) in disturbances if d.kind == "burst"))
    quota = _Quota(scenario)
    operations: list[Operation] = []
    at = 0.0
    while True:
        at += rng.expovariate(1.0) / peak
        if at >= scenario.length_s:
            return operations
        # The rate swings with a period of 17 s.
        base = traffic.rate * (1 + traffic.swing * sin(2 * pi * (at / 17 + phase)))
        active = [
            (index, disturbance, share)
            for index, (disturbance, share) in enumerate(disturbances)
            if _is_active(disturbance, at)
        ]
        burst = fsum(share for _, disturbance, share in active if disturbance.kind == "burst")
        # Every candidate makes every draw, so that dropping one does not change the draws of the next.
        thinning_draw, burst_draw, once_draw, skew_draw = (rng.random() for _ in range(4))
        cls = classes[bisect_left(class_sums, rng.random() * class_sums[-1])]
        namespace = namespaces[bisect_left(namespace_sums, rng.random() * namespace_sums[-1])].name
        key = keys.draw(rng)
        router = rng.randrange(len(routers))
        skew_router_draw = rng.random()
        try_shares = tuple(_draw(rng, traffic.try_share) for _ in range(traffic.retries + 1))
        backoffs = tuple(_draw(rng, traffic.backoff_ms) / 1000 for _ in range(traffic.retries + 1))
        leaves = rng.random()
        if thinning_draw * peak >= base * (1 + burst):
            continue
        if burst and burst_draw * (1 + burst) < burst:
            cls, key = _first_read(classes), BURST_KEY
        elif not cls.write and once_draw < fsum(share for _, d, share in active if d.kind == "one-time"):
            key = f"once/{len(operations)}/{at:.6f}"
        skews = [(index, share) for index, disturbance, share in active if disturbance.kind == "skew"]
        if skews and skew_draw < skews[0][1]:
            picked = skewed_routers[skews[0][0]]
            router = picked[int(skew_router_draw * len(picked))]
        operations.append(
            Operation(
                number=len(operations),
                at=at,
                request_class=cls.name,
                namespace=namespace,
                key=key,
                zone=routers[router].zone,
                router=router,
                over=quota.exceeds(namespace, at),
                try_shares=try_shares,
                backoffs=backoffs,
                leaves=leaves,
            )
        )


def _with_sync_commands(
    scenario: Scenario, streams: Streams, keys: _Keys, routers: tuple[RouterFacts, ...]
) -> list[Operation]:
    """Return all operations in order of time; each key of a multi-key command is an operation."""
    operations, sync = _operations(scenario, streams, keys, routers), scenario.sync
    if sync is None:
        return operations
    rng, cls, at, number = streams.of("sync"), _first_read(scenario.classes), 0.0, 0
    shares = list(accumulate(namespace.share for namespace in scenario.namespaces))
    while (at := at + rng.expovariate(1.0) / sync.commands) < scenario.length_s:
        namespace = scenario.namespaces[bisect_left(shares, rng.random() * shares[-1])].name
        router, command_keys = rng.randrange(len(routers)), dict[str, None]()
        while len(command_keys) < sync.keys:
            command_keys[keys.draw(rng)] = None
        zone = routers[router].zone
        for key in command_keys:
            operation = Operation(
                0, at, cls.name, namespace, key, zone, router, False, (1.0,), (0.0,), 1.0, number
            )
            operations.append(operation)
        number += 1
    operations.sort(key=lambda operation: operation.at)
    return [replace(operation, number=number) for number, operation in enumerate(operations)]


def _first_read(classes: tuple[RequestClass, ...]) -> RequestClass:
    return next((cls for cls in classes if not cls.write), classes[0])


def _is_active(disturbance: Disturbance, at: float) -> bool:
    return disturbance.at_s <= at < disturbance.at_s + disturbance.for_s


def _disturbance_shares(scenario: Scenario, streams: Streams) -> list[tuple[Disturbance, float]]:
    return [
        (disturbance, _draw(streams.of(f"trouble {index} {disturbance.kind}"), disturbance.share))
        for index, disturbance in enumerate(scenario.disturbances)
    ]


_DISTURBANCE_DESCRIPTIONS = {
    "burst": "{share:.0%} more requests, all for one new package",
    "one-time": "{share:.0%} of the reads are of keys that are read only once",
    "skew": "{share:.0%} of all traffic goes to {routers} router(s)",
}


def _disturbance_descriptions(scenario: Scenario, streams: Streams) -> tuple[tuple[float, str], ...]:
    return tuple(
        (
            disturbance.at_s,
            _DISTURBANCE_DESCRIPTIONS[disturbance.kind].format(share=share, routers=disturbance.routers)
            + f" for {disturbance.for_s:g} s",
        )
        for disturbance, share in _disturbance_shares(scenario, streams)
        if disturbance.kind in _DISTURBANCE_DESCRIPTIONS
    )


class _Quota:
    """Finds the operations beyond the quota of their namespace, by a token bucket of one second for each."""

    def __init__(self, scenario: Scenario) -> None:
        rate = scenario.traffic.rate
        self._allowance = {n.name: max(1.0, rate * n.share * n.quota) for n in scenario.namespaces}
        self._left = dict(self._allowance)
        self._at = dict.fromkeys(self._allowance, 0.0)

    def exceeds(self, namespace: str, at: float) -> bool:
        allowance = self._allowance[namespace]
        left = min(allowance, self._left[namespace] + (at - self._at[namespace]) * allowance)
        self._at[namespace] = at
        self._left[namespace] = left - 1 if left >= 1 else left
        return left < 1


def _fault_events(scenario: Scenario, streams: Streams) -> tuple[FaultEvent, ...]:
    fault_events = [
        FaultEvent(disturbance.at_s, disturbance.kind, 0.0, 0, share, 1.0)
        for disturbance, share in _disturbance_shares(scenario, streams)
        if disturbance.kind == "invalidation"
    ]
    used: set[int] = set()
    for number, fault in enumerate(scenario.faults):
        place = _fault_place(scenario, fault, streams.of(f"fault {number} {fault.kind}"), used)
        fault_events.append(FaultEvent(fault.at_s, fault.kind, fault.for_s, place, fault.share, fault.factor))
    return tuple(sorted(fault_events, key=lambda event: event.at))


def _fault_place(scenario: Scenario, fault: Fault, rng: random.Random, used: set[int]) -> int:
    """Return the index of the node or router of a fault; drawn nodes differ until all were drawn once."""
    if fault.kind.startswith("router"):
        return rng.randrange(scenario.fleet.routers) if fault.place is None else fault.place
    if not fault.kind.startswith("node"):
        return 0
    if fault.place is None:
        free = [i for i in range(scenario.fleet.nodes) if i not in used] or list(range(scenario.fleet.nodes))
        place = rng.choice(free)
    else:
        place = fault.place
    used.add(place)
    return place
