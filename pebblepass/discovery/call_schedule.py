"""The schedule of calls to the discovery service: how long each waits for a change, and its timeout.

No I/O, no clock. A watch without a response looks the same whether the service is unreachable or has no
change to report. So a long wait is used only while calls succeed. After a timeout, the next call requests an
immediate response; after any other failure, the next call waits only for a short time.
"""

from __future__ import annotations

import random
from typing import NamedTuple


class PlannedCall(NamedTuple):
    """A call: its wait (None: the full list, without a wait) and its timeout, both in seconds."""

    wait_s: float | None
    timeout_s: float


class WatchTiming(NamedTuple):
    """Waits and timeouts of the calls to one kind of discovery service, in seconds."""

    min_wait_s: float
    """The shortest wait of a watch. Each wait is drawn at random between this and `max_wait_s`."""
    max_wait_s: float
    overdue_s: float
    """How long after the end of its wait a watch without a response times out."""
    immediate_timeouts_s: tuple[float, ...]
    """The timeout of a call for an immediate response, by the number of consecutive failures before it."""
    connect_timeout_s: float
    """How long connecting may take. This time is part of the call's timeout."""
    after_timeout: PlannedCall | None = None
    """The watch after the first response that follows a single timeout."""
    after_failure: PlannedCall | None = None
    """The watch after a call that failed for any other reason."""


IMMEDIATE_WAIT_S = 0.05  # wait of a call for an immediate response; some services take 0 for their default
TIMEOUT_JITTER = 0.05  # fraction of the timeout; keeps routers from polling in step

# The platform expects a router to know a change 6 s after the service has it and can be reached, whatever
# failed before. After a first timeout, it is 2 s after the end of the call's wait, if that is later. A
# service that pushes does no work for a call, so timeouts are short: three failing calls in a row take less
# than 6 s. Each call costs a polled service work, and a busy one may take 2 s to respond. Warning: if calls
# after the first failures time out sooner, 200 routers overload the slowest service in the simulator forever.
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
        """`rng` spreads the calls of routers whose watches end at the same change."""
        self.timing = timing
        self._rng = rng
        self._consecutive_failures = 0
        self._immediate = False  # the next call requests an immediate response
        self._short_watch: PlannedCall | None = None  # replaces the next watch with a long wait

    def plan(self, full: bool) -> PlannedCall:
        """Return the next call; `full`: for the full list, otherwise for changes to the list in force."""
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
        """Record that the last call returned a list or changes."""
        if not self._immediate:
            self._short_watch = None
        self._consecutive_failures, self._immediate = 0, False

    def record_failure(self, timed_out: bool) -> bool:
        """Record that the last call failed; return whether the next one is due immediately.

        After a timeout it is: the router may be expected to know a missed change by now, and the timeout
        itself served as backoff. After any other failure the decision module chooses the backoff.
        """
        self._consecutive_failures += 1
        self._immediate = timed_out
        if not timed_out:
            self._short_watch = self.timing.after_failure
        elif self._consecutive_failures == 1:
            self._short_watch = self.timing.after_timeout
        else:  # an outage: a short watch would add a call from every router when the service is back
            self._short_watch = None
        return timed_out

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._consecutive_failures > 0
