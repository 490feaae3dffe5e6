"""How long each call to the discovery service waits and may take, by how earlier calls ended.

No I/O, no clock. A watch without an answer looks the same whether the service is gone or has no change to
report. So a long wait is used only while calls are answered: after a call that timed out the next one asks
for an immediate answer, after any other failure it waits for a short time.
"""

from __future__ import annotations

import random
from typing import NamedTuple


class PlannedCall(NamedTuple):
    """A call: its wait in seconds (None: the full list, immediately), and its timeout in seconds."""

    wait_s: float | None
    timeout_s: float


class WatchTiming(NamedTuple):
    """Waits and timeouts of the calls to one kind of discovery service, in seconds."""

    min_wait_s: float
    """The shortest wait of a watch; each wait is drawn between this and `max_wait_s`."""
    max_wait_s: float
    overdue_s: float
    """How long after its wait a watch without an answer times out."""
    immediate_timeouts_s: tuple[float, ...]
    """Timeout of a call for an immediate answer, by the number of consecutive failures before it."""
    connect_timeout_s: float
    """How long connecting may take; it counts towards the call's timeout."""
    after_timeout: PlannedCall | None = None
    """The watch that follows the first answer after a single timeout."""
    after_failure: PlannedCall | None = None
    """The watch that follows a call that failed otherwise."""


IMMEDIATE_WAIT_S = 0.05  # the wait of a call for an immediate answer; some services read 0 as their default
TIMEOUT_JITTER = 0.05  # fraction of the timeout; keeps routers from polling in step

# A change counts as delivered 6 s after the service has it and can be reached, whatever failed before; after
# a first timeout 2 s after the call's wait, if that is later. Pushed lists cost nothing: three consecutive
# calls that fail fit into 6 s. A polled service has work with each call, and may take 2 s for its answer when
# it is busy. Danger: where more than the first calls after a failure time out before that, 200 routers keep
# the slowest service that the simulator knows busy for good.
PUSH_TIMING = WatchTiming(
    min_wait_s=2.0, max_wait_s=2.0, overdue_s=0.5, immediate_timeouts_s=(1.0,), connect_timeout_s=0.4
)
POLL_TIMING = WatchTiming(
    min_wait_s=20.0,
    max_wait_s=21.0,
    overdue_s=0.4,
    immediate_timeouts_s=(1.5, 1.0, 1.5, 2.2),
    connect_timeout_s=0.5,
    after_timeout=PlannedCall(3.5, 3.9),
    after_failure=PlannedCall(1.2, 3.4),
)


class CallSchedule:
    """Plans the calls to one address of the discovery service, one after another."""

    def __init__(self, timing: WatchTiming, rng: random.Random) -> None:
        """`rng` spreads the calls of routers whose watches were all ended by one change."""
        self.timing = timing
        self._rng = rng
        self._consecutive_failures = 0
        self._immediate = False  # the next call asks for an immediate answer
        self._short_watch: PlannedCall | None = None  # the next watch, before any with a long wait

    def plan(self, full: bool) -> PlannedCall:
        """Return the next call: for the full list, or for what is newer than the list in force."""
        timing = self.timing
        if full or self._immediate:
            last = len(timing.immediate_timeouts_s) - 1
            timeout_s = timing.immediate_timeouts_s[min(self._consecutive_failures, last)]
            timeout_s *= self._rng.uniform(1.0, 1.0 + TIMEOUT_JITTER)
            return PlannedCall(None if full else IMMEDIATE_WAIT_S, timeout_s)
        if self._short_watch is not None:
            return self._short_watch
        wait_s = self._rng.uniform(timing.min_wait_s, timing.max_wait_s)
        return PlannedCall(wait_s, wait_s + timing.overdue_s)

    def record_success(self) -> None:
        """Record that the last call was answered with a list or with changes."""
        if not self._immediate:
            self._short_watch = None
        self._consecutive_failures, self._immediate = 0, False

    def record_failure(self, timed_out: bool) -> bool:
        """Record that the last call failed; return whether the next is due immediately, without backoff.

        It is due after a timeout: what the call missed may count as delivered by now, and the time that it
        took is backoff enough. Any other backoff is drawn by the decision module.
        """
        self._consecutive_failures += 1
        self._immediate = timed_out
        if not timed_out:
            self._short_watch = self.timing.after_failure
        elif self._consecutive_failures == 1:
            self._short_watch = self.timing.after_timeout
        else:  # an outage: a further short watch would be one more call from every router at its end
            self._short_watch = None
        return timed_out

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._consecutive_failures > 0
