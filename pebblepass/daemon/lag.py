"""Measures how late the event loop runs: for that time answers stay unread, which is not a server's fault."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

HEARTBEAT_NS = 20_000_000
TOLERANCE_NS = 2_000_000  # a heartbeat late by no more counts as on time: timers have millisecond precision
PEAK_WINDOW_NS = 2_000_000_000  # the peak lag is reported for one to two of these


class LoopLag:
    """A periodic timer of the event loop, the heartbeat, and by how much it is late."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, now: Callable[[], int], on_change: Callable[[int], None]
    ) -> None:
        """`on_change` is called with the recent peak lag in nanoseconds whenever that changes."""
        self._loop = loop
        self._now = now
        self._on_change = on_change
        self.sockets_polled_at = float("-inf")
        """Loop time in seconds; every socket that was readable at this time has been read from since."""
        self._total_lag = 0
        self._reported_peak = 0
        self._current_peak = 0  # within the current window
        self._previous_peak = 0  # within the window before it
        self._window_ends_at = now() + PEAK_WINDOW_NS
        self._schedule_heartbeat()

    def _schedule_heartbeat(self) -> None:
        self._due = self._now() + HEARTBEAT_NS
        self._timer = self._loop.call_later(HEARTBEAT_NS / 1e9, self._heartbeat)

    def total(self, now: int) -> int:
        """Return by how many nanoseconds the loop has been late since the start.

        Includes the lateness of a heartbeat that is overdue now: a late loop may dispatch sockets before it
        runs timers.
        """
        late = now - self._due
        return self._total_lag + late if late > TOLERANCE_NS else self._total_lag

    def _heartbeat(self) -> None:
        now = self._now()
        late = now - self._due
        if late > TOLERANCE_NS:
            self._total_lag += late
            self._current_peak = max(self._current_peak, late)
        after_poll(self._loop, functools.partial(self._record_poll, self._loop.time()))
        if now >= self._window_ends_at:
            self._window_ends_at = now + PEAK_WINDOW_NS
            self._previous_peak, self._current_peak = self._current_peak, 0
        self._report_peak()
        self._schedule_heartbeat()

    def _report_peak(self) -> None:
        peak = max(self._current_peak, self._previous_peak)
        if peak != self._reported_peak:
            self._reported_peak = peak
            self._on_change(peak)

    def _record_poll(self, at: float) -> None:
        self.sockets_polled_at = at

    def close(self) -> None:
        """Stop the heartbeat."""
        self._timer.cancel()


def after_poll(loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
    """Call back once the loop has polled its sockets and dispatched what was readable.

    When the loop is late, a timer may run before input that has arrived long ago is read.
    """
    # The first iteration may begin before the sockets are polled, the second can't.
    loop.call_soon(loop.call_soon, callback)
