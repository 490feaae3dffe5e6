"""What one clairvoyant cache in front of the same store would have served of a plan; pure.

One cache as large as all nodes together, that drops the copy whose next use lies furthest ahead (Belady: A
study of replacement algorithms for a virtual-storage computer, 1966); a store with the plan's true capacity,
which takes writes at once and fetches in the best order known: always the missed key that most worth is
still to come for. No router, no delay, no second copy, no refusal. Fetches alone take time.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pebblepass.simulation.plan import Operation, Plan, Streams

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class BoundFacts:
    """What the bound is reckoned from; times in seconds."""

    memory: int
    """Copies that the one cache keeps."""
    slots: int
    """Fetches and writes that the store works on side by side."""
    work: float
    """Seconds that each takes."""
    kept: tuple[str, ...]
    """Keys that are kept at the start."""
    voids: tuple[tuple[float, float], ...]
    """When kept copies go void, and which share of them."""
    downs: tuple[tuple[float, float], ...]
    """From when to when the store serves nothing."""


@dataclass(slots=True)
class _Wanted:
    """One key over the whole plan."""

    operations: deque[tuple[float, int, float]]
    """Reads still to come: when, which, what each is worth."""
    left: float
    """The worth still to come, waiting reads among it."""
    waiting: list[tuple[int, float]]
    """Reads that wait: which, and what each is worth."""


def bound_facts(plan: Plan) -> BoundFacts:
    """The facts of a plan."""
    return BoundFacts(
        memory=sum(node.memory for node in plan.nodes),
        slots=plan.store.slots,
        work=plan.store.work,
        kept=plan.popular,
        voids=tuple((h.at, h.share) for h in plan.fault_events if h.kind == "invalidation"),
        downs=tuple((h.at, h.at + h.length) for h in plan.fault_events if h.kind == "store-down"),
    )


class ClairvoyantCache:
    """Plays the asks of a plan, in the order of their times, against one cache and the store."""

    def __init__(
        self,
        facts: BoundFacts,
        operations: tuple[Operation, ...],
        terms: Callable[[Operation], tuple[bool, float, float]],
        draw: Callable[[], float],
    ) -> None:
        """`terms`: whether an ask is a write, its worth, and the seconds that it may wait; `draw`: 0 to 1."""
        self._facts, self._operations, self._draw = facts, operations, draw
        self._terms = {operation.number: terms(operation) for operation in operations}
        self.in_time: dict[int, bool] = {}
        """Whether each ask was served within its time, by its number."""
        self.fetches = self.writes = 0
        self._wanted: dict[str, _Wanted] = {}
        for operation in operations:
            write, worth, _ = self._terms[operation.number]
            if not write:
                held = self._wanted.setdefault(operation.key, _Wanted(deque(), 0.0, []))
                held.operations.append((operation.at, operation.number, worth))
                held.left += worth
        self._at = {operation.number: operation.at for operation in operations}
        self._cache = dict.fromkeys(facts.kept[: facts.memory])
        self._missed: dict[str, None] = {}
        self._busy: list[
            tuple[float, str]
        ] = []  # what the store works on: when it is done, and its key or ""
        self._queue: deque[int] = deque()  # writes that wait

    def play(self) -> None:
        """Play all of it."""
        voids = deque(self._facts.voids)
        for operation in self._operations:
            while voids and voids[0][0] <= operation.at:
                at, share = voids.popleft()
                self._store_until(at)
                for key in [key for key in self._cache if self._draw() < share]:
                    del self._cache[key]
            self._store_until(operation.at)
            write, worth, _ = self._terms[operation.number]
            if write:
                self._queue.append(operation.number)
                self._cache.pop(operation.key, None)
            else:
                held = self._wanted[operation.key]
                held.operations.popleft()
                if operation.key in self._cache:
                    held.left -= worth
                    self.in_time[operation.number] = True
                else:
                    held.waiting.append((operation.number, worth))
                    self._missed[operation.key] = None
            self._begin(operation.at)
        self._store_until(NEVER)

    def _store_until(self, now: float) -> None:
        """Let the store work until `now`."""
        while self._busy and self._busy[0][0] <= now:
            done, key = heapq.heappop(self._busy)
            if key:
                self._fetched(key, done)
            self._begin(done)

    def _begin(self, now: float) -> None:
        """Give the store's free places to writes first, and then to the best missed keys."""
        facts = self._facts
        begin = max([now, *(end for start, end in facts.downs if start <= now < end)])
        while len(self._busy) < facts.slots:
            if self._queue:
                number = self._queue.popleft()
                done = begin + facts.work
                self.writes += 1
                self.in_time[number] = done <= self._at[number] + self._terms[number][2]
                heapq.heappush(self._busy, (done, ""))
                continue
            key = self._best(begin + facts.work)
            if not key:
                return
            del self._missed[key]
            self.fetches += 1
            heapq.heappush(self._busy, (begin + facts.work, key))

    def _best(self, done: float) -> str:
        """The missed key for which most is to be had if its fetch is done then; empty: for none."""
        best, most = "", 0.0
        for key in list(self._missed):
            held = self._wanted[key]
            # What can't be in time any more is lost, whatever is fetched.
            late = [(n, worth) for n, worth in held.waiting if done > self._at[n] + self._terms[n][2]]
            if late:
                held.left -= sum(worth for _, worth in late)
                held.waiting = [waiting for waiting in held.waiting if waiting not in late]
                self.in_time.update((n, False) for n, _ in late)
            if not held.waiting and not held.operations:
                del self._missed[key]
            elif held.left > most:
                best, most = key, held.left
        return best

    def _fetched(self, key: str, now: float) -> None:
        held = self._wanted[key]
        for number, worth in held.waiting:
            held.left -= worth
            self.in_time[number] = now <= self._at[number] + self._terms[number][2]
        held.waiting = []
        self._missed.pop(key, None)
        self._cache[key] = None
        if len(self._cache) > self._facts.memory:
            del self._cache[max(self._cache, key=self._next_use)]

    def _next_use(self, key: str) -> float:
        held = self._wanted.get(key)
        return held.operations[0][0] if held is not None and held.operations else NEVER


def clairvoyant_bound(plan: Plan) -> ClairvoyantCache:
    """The bound of a plan, played; what goes void is drawn anew, in the same shares."""
    classes = {cls.name: cls for cls in plan.scenario.classes}
    over = plan.scenario.traffic.over_share_worth

    def terms(operation: Operation) -> tuple[bool, float, float]:
        cls = classes[operation.request_class]
        return cls.write, cls.worth * (over if operation.over else 1.0), cls.aim_ms / 1000

    played = ClairvoyantCache(
        bound_facts(plan), plan.operations, terms, Streams(plan.seed).of("bound").random
    )
    played.play()
    return played
