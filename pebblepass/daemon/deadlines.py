"""Many deadlines on one timer of the loop: nearly all are cancelled, and must cost next to nothing."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from heapq import heappop, heappush

STEP_NS = 500_000  # deadlines within a step come together, after its end: never early
TIMER_ROUNDING_S = 0.0005  # loops count in whole milliseconds and round to the nearest

log = logging.getLogger("pebblepass")


class Deadline:
    """One callback that is due at a time."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Forget it, and let go of what it holds."""
        self.callback = None


class Deadlines:
    """The deadlines of one loop, by the step in which they are due."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int]) -> None:
        """`now` gives nanoseconds of the loop's clock."""
        self._loop, self._now = loop, now
        self._steps: dict[int, list[Deadline]] = {}
        self._order: list[int] = []  # a heap of the steps
        self._timer: asyncio.TimerHandle | None = None

    def add(self, due: int, callback: Callable[[], None]) -> Deadline:
        """Call back once the clock shows `due`, in nanoseconds; never before."""
        step, made = due // STEP_NS + 1, Deadline(callback)
        held = self._steps.get(step)
        if held is None:
            self._steps[step] = [made]
            heappush(self._order, step)
            if self._order[0] == step:
                self._arm()
        else:
            held.append(made)
        return made

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._order:
            left = max(self._order[0] * STEP_NS - self._now(), 0) / 1e9
            self._timer = self._loop.call_later(left + TIMER_ROUNDING_S, self._fire)

    def _fire(self) -> None:
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
                    # Danger: a fault in one would lose all that are due with it.
                    log.exception("a deadline's callback failed")
        self._arm()
