"""The schedule of calls to the discovery service: how long each waits for a change, and when another begins.

No I/O, no clock. A watch without a response looks the same whether the service is unreachable or has no
change to report. So a long wait is used only while calls succeed.

A polled service works through calls in turn: it responds or fails within `POLL_RESPONSE_LIMIT_S`, counted
from the end of the call's wait. A call that is given up sooner loses its turn, and the next one queues behind
it. So a call without a response stays open while another one begins beside it, and the first usable response
counts. The start of that other call follows from the time by which a change has to be known:

| occasion | known by | another call begins | its response at the latest |
| --- | --- | --- | --- |
| full list of a new address, after a reload | 4 s | after 1.7 to 1.79 s | 3.79 s |
| the same, calls fail at once | 4 s | 0.2 to 0.4 s after each of five | 4 s |
| full list at a start | | after 1.7 to 1.79 s | 3.79 s |
| long watch | its wait and 2 s | its wait and 0.2 s | its wait and 2.21 s |
| short watch after a call without a response | 6 s | 3.9 s | 5.91 s |
| short watch, begun up to 1.9 s after another failure | 6 s | 2.2 s | 6.11 s |

Where the last column is later than the second, the grace for requests that are sent while a change spreads
(0.3 s at the least) covers it. A sooner call would cost the service a second call for each watch that is only
a little late.

A service that pushes responds at once, so one call follows another, with a short timeout.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

POLL_RESPONSE_LIMIT_S = 2.0
"""A polled service responds or fails within this time, counted from the end of the call's wait."""
POLL_CONNECT_TIMEOUT_S = 0.5
POLL_PATIENCE_S = POLL_RESPONSE_LIMIT_S + POLL_CONNECT_TIMEOUT_S
IMMEDIATE_WAIT_S = 0.01  # wait of a call for an immediate response; some services take 0 for their default
OUTAGE_CALLS = 2  # so many calls in a row without a response count as an outage
OVERLAP_JITTER = 0.05  # fraction of the time until another call begins; keeps routers from polling in step
RETRY_DELAYS_S = ((0.15, 0.6), (0.6, 1.9), (1.3, 1.9))
"""Shortest and longest delay after a call that fails while another one is open, by consecutive failures."""
RELOAD_RETRIES = 5
RELOAD_RETRY_DELAY_S = (0.2, 0.4)


class PlannedCall(NamedTuple):
    """A call: its wait, and what follows if it has no response. All times in seconds, from its start."""

    wait_s: float | None
    """None: the full list, without a wait."""
    overlap_after_s: float
    """When another call begins beside it; infinite: none does."""
    timeout_s: float
    """When it is given up. The time to connect is part of it."""


class WatchTiming(NamedTuple):
    """Waits and timeouts of the calls to one kind of discovery service, in seconds."""

    min_wait_s: float
    """The shortest wait of a watch. Each wait is drawn at random between this and `max_wait_s`."""
    max_wait_s: float
    overdue_s: float
    """How long after the end of its wait another call begins beside a watch."""
    patience_s: float
    """How long after the end of its wait a watch is given up."""
    immediate_overlap_s: float
    """How long after its start another call begins beside a call for an immediate response."""
    outage_overlap_s: float
    """The same after `OUTAGE_CALLS` calls without a response: any response that is due has been received."""
    immediate_timeout_s: float
    connect_timeout_s: float
    """How long connecting may take. This time is part of the call's timeout."""
    after_timeout: PlannedCall | None = None
    """The watch after the first response that follows a single call without one."""
    after_failure: PlannedCall | None = None
    """The watch after a call that failed for any other reason."""


PUSH_TIMING = WatchTiming(
    min_wait_s=2.0,
    max_wait_s=2.0,
    overdue_s=math.inf,
    patience_s=0.5,
    immediate_overlap_s=math.inf,
    outage_overlap_s=math.inf,
    immediate_timeout_s=1.0,
    connect_timeout_s=0.4,
)
POLL_TIMING = WatchTiming(
    min_wait_s=20.0,
    max_wait_s=21.0,
    overdue_s=0.2,
    patience_s=POLL_PATIENCE_S,
    immediate_overlap_s=1.7,
    outage_overlap_s=POLL_RESPONSE_LIMIT_S + 0.05,
    immediate_timeout_s=POLL_PATIENCE_S,
    connect_timeout_s=POLL_CONNECT_TIMEOUT_S,
    after_timeout=PlannedCall(3.5, 3.9, 3.5 + POLL_PATIENCE_S),
    after_failure=PlannedCall(1.2, 2.2, 1.2 + POLL_PATIENCE_S),
)


class CallSchedule:
    """Plans the calls to one address of the discovery service."""

    def __init__(self, timing: WatchTiming, rng: random.Random, retries: int = 0) -> None:
        """`rng` spreads the calls of routers whose watches end at the same change.

        `retries`: how many calls that fail before the first response are repeated after a short delay.
        """
        self.timing = timing
        self._rng = rng
        self._retries = retries
        self._consecutive_failures = 0
        self._immediate = False  # the next call requests an immediate response
        self._short_watch: PlannedCall | None = None  # replaces the next watch with a long wait

    def plan(self, full: bool) -> PlannedCall:
        """Return the next call; `full`: for the full list, otherwise for changes to the list in force."""
        if full or self._immediate:
            return self.plan_immediate(full, self._consecutive_failures)
        if self._short_watch is not None:
            return self._short_watch
        timing = self.timing
        wait_s = self._rng.uniform(timing.min_wait_s, timing.max_wait_s)
        return PlannedCall(wait_s, wait_s + timing.overdue_s, wait_s + timing.patience_s)

    def plan_immediate(self, full: bool, unanswered: int = 0) -> PlannedCall:
        """Return a call for an immediate response; `unanswered`: how many before it have had no response."""
        timing = self.timing
        jitter = self._rng.uniform(1.0, 1.0 + OVERLAP_JITTER)
        is_outage = unanswered >= OUTAGE_CALLS
        overlap_after_s = (timing.outage_overlap_s if is_outage else timing.immediate_overlap_s) * jitter
        timeout_s = timing.immediate_timeout_s * jitter
        return PlannedCall(None if full else IMMEDIATE_WAIT_S, overlap_after_s, timeout_s)

    def record_failure_beside_open_call(self) -> float:
        """Record that a call failed while another one is open; return the delay before the next (seconds)."""
        self._consecutive_failures += 1
        shortest, longest = RETRY_DELAYS_S[min(self._consecutive_failures, len(RETRY_DELAYS_S)) - 1]
        return self._rng.uniform(shortest, longest)

    def record_success(self, overdue: int = 0) -> None:
        """Record a list or changes; `overdue`: how many calls begun before that one had no response."""
        if overdue == 1 and not self.is_failing:
            self._short_watch = self.timing.after_timeout
        elif overdue or not self._immediate:  # an outage: a short watch would add a call from every router
            self._short_watch = None
        self._consecutive_failures, self._immediate, self._retries = 0, False, 0

    def record_failure(self, timed_out: bool) -> float | None:
        """Record that no call is open, as the last one failed; return the delay before the next in seconds.

        After a timeout there is none: the router may be expected to know a missed change by now, and the
        timeout itself served as backoff. None: the decision module chooses the backoff.
        """
        self._consecutive_failures += 1
        self._immediate = timed_out
        if not timed_out:
            self._short_watch = self.timing.after_failure
        elif self._consecutive_failures == 1:
            self._short_watch = self.timing.after_timeout
        else:
            self._short_watch = None
        if timed_out:
            return 0.0
        if self._retries:
            self._retries -= 1
            return self._rng.uniform(*RELOAD_RETRY_DELAY_S)
        return None

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._consecutive_failures > 0
