"""A core on an event loop: one timer, set for when the core has something to tell next."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic

from pebblepass.emulators.core import Core, CoreParameters, Job


class CoreRunner(Generic[Job]):
    """Runs requests on a core and tells of each that is done, with the time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, facts: CoreParameters, done: Callable[[Job, float], None]
    ) -> None:
        self._loop, self._facts, self._done = loop, facts, done
        self._timer: asyncio.TimerHandle | None = None
        self.core: Core[Job]
        self.incarnation = -1
        """Counts the starts: what was under way to an earlier one comes to nothing."""
        self.restart(cold=False)

    def restart(self, cold: bool) -> None:
        """Start anew: what was held is gone."""
        self.incarnation += 1
        self.core = Core(self._facts, self._loop.time(), cold)
        self._set_timer()

    def offer(self, job: Job, work: float) -> bool:
        """Take a request; False: the queue is full."""
        self._advance()
        taken = self.core.offer(self._loop.time(), job, work)
        self._set_timer()
        return taken

    def set_speed_factor(self, factor: float) -> None:
        """From now on the core has so much of its speed."""
        self._advance()
        self.core.speed_factor = factor
        self._set_timer()

    def _set_timer(self) -> None:
        due = self.core.next_event()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if due is None else self._loop.call_at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self._advance()
        self._set_timer()

    def _advance(self) -> None:
        now = self._loop.time()
        for job in self.core.advance(now):
            self._done(job, now)
