"""A core that serves several requests concurrently: models a cache server and the store. No I/O.

Requests in service share the core equally (processor sharing); others wait in a bounded queue. The core
slows down when it holds too many requests, stops during pauses, and warms up after its start.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf, nextafter
from typing import Generic, TypeVar

Job = TypeVar("Job")

WARM_UP_STEP_S = 0.125  # the speed of a core that warms up is constant within a step


@dataclass(frozen=True, slots=True)
class CoreParameters:
    """A core's parameters; times in seconds, work in seconds on a core of speed 1."""

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
    """Whether requests in service share the core; otherwise each runs at the full `speed`."""


class Core(Generic[Job]):
    """Runs requests and reports those that are done; the caller advances the time."""

    def __init__(self, parameters: CoreParameters, started: float, cold: bool = False) -> None:
        self._parameters = parameters
        self._started = started
        self._warm_at = started + parameters.warm_up_time if cold else started
        self._now = started
        self._done = 0.0  # work per request in service since the core started
        self._running: list[tuple[float, int, Job]] = []  # a heap, by the value of `_done` at its end
        self._waiting: deque[tuple[float, Job]] = deque()
        self._numbers = 0
        self.speed_factor = 1.0
        """Multiplies the speed; below 1 while a fault slows the node down."""
        self.busy_s = 0.0
        """Seconds with at least one request in service."""

    @property
    def request_count(self) -> int:
        """The number of requests in service and waiting."""
        return len(self._running) + len(self._waiting)

    @property
    def queue_length(self) -> int:
        """The number of requests waiting."""
        return len(self._waiting)

    def warmth(self, at: float) -> float:
        """The fraction of its full speed that the core has reached, by the time since its start."""
        if at >= self._warm_at:
            return 1.0
        parameters = self._parameters
        age = (at - self._started) // WARM_UP_STEP_S * WARM_UP_STEP_S
        return parameters.cold_capacity + (1 - parameters.cold_capacity) * age / parameters.warm_up_time

    def offer(self, now: float, job: Job, work: float) -> bool:
        """Accept a request; False if the queue is full. `advance(now)` has to be called first."""
        if len(self._running) < self._parameters.slots:
            self._start(job, work)
        elif len(self._waiting) < self._parameters.queue:
            self._waiting.append((work, job))
        else:
            return False
        return True

    def _start(self, job: Job, work: float) -> None:
        self._numbers += 1
        heapq.heappush(self._running, (self._done + work, self._numbers, job))

    def _rate(self, at: float) -> float:
        """The work per second that each request in service receives."""
        parameters, request_count = self._parameters, self.request_count
        if not self._running or self._paused(at):
            return 0.0
        rate = parameters.speed * self.speed_factor * self.warmth(at)
        if request_count > parameters.thrash_at:
            rate /= 1 + parameters.thrash * (request_count - parameters.thrash_at)
        return rate / len(self._running) if parameters.shared else rate

    def _paused(self, at: float) -> bool:
        parameters = self._parameters
        if parameters.pause_every == inf or at - self._started < parameters.pause_every:
            return False
        return (at - self._started) % parameters.pause_every < parameters.pause

    def _next_change(self, at: float) -> float:
        """The next time at which a pause or the warm-up changes the speed; always later than `at`."""
        parameters, age = self._parameters, at - self._started
        change = inf
        if parameters.pause_every != inf and parameters.pause > 0:
            pause_start = age // parameters.pause_every * parameters.pause_every
            pause_end = pause_start + parameters.pause
            change = self._started + (
                pause_end if pause_start and age < pause_end else pause_start + parameters.pause_every
            )
        if at < self._warm_at:
            change = min(change, self._started + (age // WARM_UP_STEP_S + 1) * WARM_UP_STEP_S)
        return max(change, nextafter(at, inf))

    def next_event(self) -> float | None:
        """The time of the next `advance`; None if nothing is in service."""
        if not self._running:
            return None
        rate = self._rate(self._now)
        due = self._now + (self._running[0][0] - self._done) / rate if rate > 0 else inf
        return min(max(due, self._now), self._next_change(self._now))

    def advance(self, now: float) -> list[Job]:
        """Advance to `now`; returns the finished requests in the order in which they finished."""
        finished: list[Job] = []
        while self._now < now or (self._running and self._running[0][0] <= self._done):
            if not self._running:
                self._now = now
                break
            rate = self._rate(self._now)
            remaining = self._running[0][0] - self._done
            due = self._now + remaining / rate if rate > 0 else inf
            segment_end = min(due, self._next_change(self._now), now)
            self.busy_s += segment_end - self._now
            self._done = (
                self._running[0][0] if segment_end == due else self._done + (segment_end - self._now) * rate
            )
            self._now = segment_end
            while self._running and self._running[0][0] <= self._done:
                finished.append(heapq.heappop(self._running)[2])
                if self._waiting:
                    work, job = self._waiting.popleft()
                    self._start(job, work)
        return finished


class ColdBudget:
    """Limits the work sent to a core that warms up: within any `window`, `multiple` times its capacity.

    A core that is sent more fails and stays down (BRIEF, the rules in figures).
    """

    def __init__(self, parameters: CoreParameters, started: float, multiple: float, window: float) -> None:
        self._parameters, self._started = parameters, started
        self._multiple, self._window = multiple, window
        self._sent: deque[tuple[float, float, bool]] = deque()

    def add_work(self, now: float, work: float, informed: bool) -> float | None:
        """Count work sent at `now`; returns None, or on overload the share of work from informed senders.

        `informed`: whether the registry had told the sender that this core has started.
        """
        parameters = self._parameters
        if now >= self._started + parameters.warm_up_time + self._window:
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
        """The work that the core can do within the window at its present warmth."""
        parameters = self._parameters
        age = min(max(now - self._started, 0.0), parameters.warm_up_time)
        share = (
            parameters.cold_capacity + (1 - parameters.cold_capacity) * age / parameters.warm_up_time
            if parameters.warm_up_time
            else 1.0
        )
        return parameters.speed * share * self._window


SLACK, SLACK_S = 0.1, 0.1  # tolerates random variation: 10 % more, and one or two requests
