"""Many deadlines with a single timer of the event loop: nearly all are cancelled, which has to be cheap."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from heapq import heappop, heappush

STEP_NS = 500_000  # the deadlines within a step are called together after its end, so none is early
TIMER_ROUNDING_S = 0.0005  # event loops round timers to the nearest millisecond

log = logging.getLogger("pebblepass")


class Deadline:
    """One callback that is due at a time."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drop the callback, and with it the references that it has."""
        self.callback = None


class Deadlines:
    """The deadlines of one loop, by the step in which they are due."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int]) -> None:
        """`now` returns the loop's time in nanoseconds."""
        self._loop, self._now = loop, now
        self._steps: dict[int, list[Deadline]] = {}
        self._order: list[int] = []  # a heap of the steps
        self._timer: asyncio.TimerHandle | None = None

    def add(self, due: int, callback: Callable[[], None]) -> Deadline:
        """Call back once the clock has reached `due`, in nanoseconds, and never before."""
        step, deadline = due // STEP_NS + 1, Deadline(callback)
        deadlines = self._steps.get(step)
        if deadlines is None:
            self._steps[step] = [deadline]
            heappush(self._order, step)
            if self._order[0] == step:
                self._set_timer()
        else:
            deadlines.append(deadline)
        return deadline

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._order:
            delay_s = max(self._order[0] * STEP_NS - self._now(), 0) / 1e9
            self._timer = self._loop.call_later(delay_s + TIMER_ROUNDING_S, self._call_due)

    def _call_due(self) -> None:
        self._timer = None
        now = self._now()
        while self._order and self._order[0] * STEP_NS <= now:
            for deadline in self._steps.pop(heappop(self._order)):
                callback = deadline.callback
                if callback is None:
                    continue
                deadline.callback = None
                try:
                    callback()
                except Exception:
                    # Warning: if it were not caught, the other deadlines of the step would be lost.
                    log.exception("the callback of a deadline failed; continuing with the next one")
        self._set_timer()
