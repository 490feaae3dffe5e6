"""One core that serves several requests side by side: the model of a mirror node and of the store. No I/O.

Requests in service share the core equally (processor sharing); more wait in a bounded queue. The core loses
speed when it holds too many, stands still in pauses, and warms up after its start.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf, nextafter
from typing import Generic, TypeVar

Job = TypeVar("Job")

WARM_STEP_S = 0.125  # the speed of a core that warms up is constant for so long


@dataclass(frozen=True, slots=True)
class CoreParameters:
    """What a core is like; times in seconds, works in seconds of a core of speed 1."""

    speed: float
    slots: int
    queue: int
    thrash_at: int = 1_000_000
    thrash: float = 0.0
    pause_every: float = inf
    pause: float = 0.0
    cold_capacity: float = 1.0
    warm_up_time: float = 0.0
    shared: bool = True
    """Whether requests in service share one core; else each has `speed` for itself."""


class Core(Generic[Job]):
    """Takes requests with their work and tells which are done; whoever owns it keeps the time."""

    def __init__(self, facts: CoreParameters, started: float, cold: bool = False) -> None:
        self._facts = facts
        self._started = started
        self._warm_at = started + facts.warm_up_time if cold else started
        self._now = started
        self._done = 0.0  # what each request in service has had since the start
        self._running: list[tuple[float, int, Job]] = []  # by what `_done` will be when it ends
        self._waiting: deque[tuple[float, Job]] = deque()
        self._numbers = 0
        self.speed_factor = 1.0
        """What is left of the speed while the node is in trouble."""
        self.busy_s = 0.0
        """Seconds in which it had something to do."""

    @property
    def request_count(self) -> int:
        """Requests in service and waiting."""
        return len(self._running) + len(self._waiting)

    @property
    def queue_length(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def warmth(self, at: float) -> float:
        """The share of its speed that the core has by the time since its start."""
        if at >= self._warm_at:
            return 1.0
        facts = self._facts
        age = (at - self._started) // WARM_STEP_S * WARM_STEP_S
        return facts.cold_capacity + (1 - facts.cold_capacity) * age / facts.warm_up_time

    def offer(self, now: float, job: Job, work: float) -> bool:
        """Take a request at `now`, to which `advance` must have come; False: the queue is full."""
        if len(self._running) < self._facts.slots:
            self._start(job, work)
        elif len(self._waiting) < self._facts.queue:
            self._waiting.append((work, job))
        else:
            return False
        return True

    def _start(self, job: Job, work: float) -> None:
        self._numbers += 1
        heapq.heappush(self._running, (self._done + work, self._numbers, job))

    def _rate(self, at: float) -> float:
        """How fast each request in service gets on."""
        facts, held = self._facts, self.request_count
        if not self._running or self._paused(at):
            return 0.0
        rate = facts.speed * self.speed_factor * self.warmth(at)
        if held > facts.thrash_at:
            rate /= 1 + facts.thrash * (held - facts.thrash_at)
        return rate / len(self._running) if facts.shared else rate

    def _paused(self, at: float) -> bool:
        facts = self._facts
        if facts.pause_every == inf or at - self._started < facts.pause_every:
            return False
        return (at - self._started) % facts.pause_every < facts.pause

    def _next_change(self, at: float) -> float:
        """When the speed changes next by the clock alone; always later than `at`."""
        facts, age = self._facts, at - self._started
        change = inf
        if facts.pause_every != inf and facts.pause > 0:
            begun = age // facts.pause_every * facts.pause_every
            ends = begun + facts.pause
            change = self._started + (ends if begun and age < ends else begun + facts.pause_every)
        if at < self._warm_at:
            change = min(change, self._started + (age // WARM_STEP_S + 1) * WARM_STEP_S)
        return max(change, nextafter(at, inf))

    def next_event(self) -> float | None:
        """When to call `advance` next; None: nothing is in service."""
        if not self._running:
            return None
        rate = self._rate(self._now)
        due = self._now + (self._running[0][0] - self._done) / rate if rate > 0 else inf
        return min(max(due, self._now), self._next_change(self._now))

    def advance(self, now: float) -> list[Job]:
        """Go on to `now`; returns the requests that are done, in the order in which they ended."""
        ended: list[Job] = []
        while self._now < now or (self._running and self._running[0][0] <= self._done):
            if not self._running:
                self._now = now
                break
            rate = self._rate(self._now)
            left = self._running[0][0] - self._done
            due = self._now + left / rate if rate > 0 else inf
            until = min(due, self._next_change(self._now), now)
            self.busy_s += until - self._now
            self._done = self._running[0][0] if until == due else self._done + (until - self._now) * rate
            self._now = until
            while self._running and self._running[0][0] <= self._done:
                ended.append(heapq.heappop(self._running)[2])
                if self._waiting:
                    work, job = self._waiting.popleft()
                    self._start(job, work)
        return ended


class ColdBudget:
    """How much work a core that warms up may be sent: within any `window`, so many times what it can do.

    Sent more, it falls over and stays down (BRIEF, the rules in figures).
    """

    def __init__(self, facts: CoreParameters, started: float, multiple: float, window: float) -> None:
        self._facts, self._started = facts, started
        self._multiple, self._window = multiple, window
        self._sent: deque[tuple[float, float, bool]] = deque()

    def add_work(self, now: float, work: float, informed: bool) -> float | None:
        """Count work that is sent at `now`; None, or the share of what pushed it over sent by who was told.

        `told`: whether the sender had been told that this core has started.
        """
        facts = self._facts
        if now >= self._started + facts.warm_up_time + self._window:
            return None
        sent = self._sent
        sent.append((now, work, informed))
        while sent[0][0] <= now - self._window:
            sent.popleft()
        total = sum(entry[1] for entry in sent)
        if total <= self._multiple * self._capacity(now) * (1 + SLACK) + SLACK_S:
            return None
        return sum(entry[1] for entry in sent if entry[2]) / total

    def _capacity(self, now: float) -> float:
        """What the core can do at this moment, over the window."""
        facts = self._facts
        age = min(max(now - self._started, 0.0), facts.warm_up_time)
        share = (
            facts.cold_capacity + (1 - facts.cold_capacity) * age / facts.warm_up_time
            if facts.warm_up_time
            else 1.0
        )
        return facts.speed * share * self._window


SLACK, SLACK_S = 0.1, 0.1  # for chance: a tenth more, and a request or two
