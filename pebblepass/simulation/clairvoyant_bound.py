"""A bound on service: what one clairvoyant cache in front of the same store would serve of a plan. No I/O.

The cache is as large as all nodes together and evicts the copy whose next use is furthest ahead (Belady: A
study of replacement algorithms for a virtual-storage computer, 1966). The store has the capacity of the plan;
it serves writes first, and then fetches the missed key whose waiting and later reads have the most worth.
There are no routers, network delays, second copies or refusals; only requests to the store take time.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pebblepass.simulation.plan import Operation, Plan, Streams

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class BoundInputs:
    """The parts of a plan that the bound is computed from; times in seconds."""

    memory: int
    """The size of the cache, in copies."""
    slots: int
    """Fetches and writes that the store serves concurrently."""
    work: float
    """Service time of each, in seconds."""
    initial_keys: tuple[str, ...]
    """Keys in the cache at the start."""
    invalidations: tuple[tuple[float, float], ...]
    """Time of each invalidation, and the share of the copies that it drops."""
    outages: tuple[tuple[float, float], ...]
    """Start and end of each outage of the store."""


@dataclass(slots=True)
class _KeyDemand:
    """The reads of one key."""

    reads: deque[tuple[float, int, float]]
    """Reads still to come: time, number and worth of each."""
    remaining: float
    """The worth of these reads and of the waiting ones."""
    waiting: list[tuple[int, float]]
    """Reads that wait for a fetch: number and worth of each."""


def bound_inputs(plan: Plan) -> BoundInputs:
    """Return the parts of a plan that the bound depends on."""
    return BoundInputs(
        memory=sum(node.memory for node in plan.nodes),
        slots=plan.store.slots,
        work=plan.store.work,
        initial_keys=plan.popular,
        invalidations=tuple(
            (event.at, event.share) for event in plan.fault_events if event.kind == "invalidation"
        ),
        outages=tuple(
            (event.at, event.at + event.length) for event in plan.fault_events if event.kind == "store-down"
        ),
    )


class ClairvoyantCache:
    """Runs the operations of a plan, in order of time, against one cache and the store."""

    def __init__(
        self,
        inputs: BoundInputs,
        operations: tuple[Operation, ...],
        terms: Callable[[Operation], tuple[bool, float, float]],
        draw: Callable[[], float],
    ) -> None:
        """`terms`: whether an operation is a write, its worth and target time in seconds; `draw`: 0 to 1."""
        self._inputs, self._operations, self._draw = inputs, operations, draw
        self._terms = {operation.number: terms(operation) for operation in operations}
        self.in_time: dict[int, bool] = {}
        """Whether each operation was served within its target time, by its number."""
        self.fetches = self.writes = 0
        self._demand: dict[str, _KeyDemand] = {}
        for operation in operations:
            write, worth, _ = self._terms[operation.number]
            if not write:
                demand = self._demand.setdefault(operation.key, _KeyDemand(deque(), 0.0, []))
                demand.reads.append((operation.at, operation.number, worth))
                demand.remaining += worth
        self._at = {operation.number: operation.at for operation in operations}
        self._cache = dict.fromkeys(inputs.initial_keys[: inputs.memory])
        self._missed: dict[str, None] = {}
        self._busy: list[
            tuple[float, str]
        ] = []  # at the store: completion, and key of a fetch or "" for a write
        self._queue: deque[int] = deque()  # waiting writes

    def run(self) -> None:
        """Run all operations."""
        invalidations = deque(self._inputs.invalidations)
        for operation in self._operations:
            while invalidations and invalidations[0][0] <= operation.at:
                at, share = invalidations.popleft()
                self._advance_store(at)
                for key in [key for key in self._cache if self._draw() < share]:
                    del self._cache[key]
            self._advance_store(operation.at)
            write, worth, _ = self._terms[operation.number]
            if write:
                self._queue.append(operation.number)
                self._cache.pop(operation.key, None)
            else:
                demand = self._demand[operation.key]
                demand.reads.popleft()
                if operation.key in self._cache:
                    demand.remaining -= worth
                    self.in_time[operation.number] = True
                else:
                    demand.waiting.append((operation.number, worth))
                    self._missed[operation.key] = None
            self._start_requests(operation.at)
        self._advance_store(NEVER)

    def _advance_store(self, now: float) -> None:
        """Complete the requests that the store finishes by `now`."""
        while self._busy and self._busy[0][0] <= now:
            completed_at, key = heapq.heappop(self._busy)
            if key:
                self._store_copy(key, completed_at)
            self._start_requests(completed_at)

    def _start_requests(self, now: float) -> None:
        """Fill the store's free slots with waiting writes, then with the most valuable fetches."""
        inputs = self._inputs
        starts_at = max([now, *(end for start, end in inputs.outages if start <= now < end)])
        while len(self._busy) < inputs.slots:
            if self._queue:
                number = self._queue.popleft()
                completed_at = starts_at + inputs.work
                self.writes += 1
                self.in_time[number] = completed_at <= self._at[number] + self._terms[number][2]
                heapq.heappush(self._busy, (completed_at, ""))
                continue
            key = self._best_missed_key(starts_at + inputs.work)
            if not key:
                return
            del self._missed[key]
            self.fetches += 1
            heapq.heappush(self._busy, (starts_at + inputs.work, key))

    def _best_missed_key(self, completed_at: float) -> str:
        """Return the missed key with the most worth left if its fetch completes then, or an empty string."""
        best, most_worth = "", 0.0
        for key in list(self._missed):
            demand = self._demand[key]
            # Reads past their target time earn nothing, whichever key is fetched.
            late = [
                (n, worth) for n, worth in demand.waiting if completed_at > self._at[n] + self._terms[n][2]
            ]
            if late:
                demand.remaining -= sum(worth for _, worth in late)
                demand.waiting = [waiting for waiting in demand.waiting if waiting not in late]
                self.in_time.update((n, False) for n, _ in late)
            if not demand.waiting and not demand.reads:
                del self._missed[key]
            elif demand.remaining > most_worth:
                best, most_worth = key, demand.remaining
        return best

    def _store_copy(self, key: str, now: float) -> None:
        demand = self._demand[key]
        for number, worth in demand.waiting:
            demand.remaining -= worth
            self.in_time[number] = now <= self._at[number] + self._terms[number][2]
        demand.waiting = []
        self._missed.pop(key, None)
        self._cache[key] = None
        if len(self._cache) > self._inputs.memory:
            del self._cache[max(self._cache, key=self._next_use)]

    def _next_use(self, key: str) -> float:
        demand = self._demand.get(key)
        return demand.reads[0][0] if demand is not None and demand.reads else NEVER


def clairvoyant_bound(plan: Plan) -> ClairvoyantCache:
    """Compute the bound of a plan; the copies that invalidations drop are drawn anew, in the same shares."""
    classes = {cls.name: cls for cls in plan.scenario.classes}
    over_share_worth = plan.scenario.traffic.over_share_worth

    def terms(operation: Operation) -> tuple[bool, float, float]:
        cls = classes[operation.request_class]
        return cls.write, cls.worth * (over_share_worth if operation.over else 1.0), cls.aim_ms / 1000

    bound = ClairvoyantCache(
        bound_inputs(plan), plan.operations, terms, Streams(plan.seed).of("bound").random
    )
    bound.run()
    return bound
