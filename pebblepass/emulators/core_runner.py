"""Runs a `Core` on an event loop, with one timer set to the core's next event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic

from pebblepass.emulators.core import Core, CoreParameters, Job


class CoreRunner(Generic[Job]):
    """Runs requests on a core and reports each one that is done, with the time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        parameters: CoreParameters,
        on_done: Callable[[Job, float], None],
    ) -> None:
        self._loop, self._parameters, self._on_done = loop, parameters, on_done
        self._timer: asyncio.TimerHandle | None = None
        self.core: Core[Job]
        self.incarnation = -1
        """Counts the starts, so that requests in transit to an earlier start can be dropped."""
        self.restart(cold=False)

    def restart(self, cold: bool) -> None:
        """Replace the core; requests that it held are lost."""
        self.incarnation += 1
        self.core = Core(self._parameters, self._loop.time(), cold)
        self._set_timer()

    def offer(self, job: Job, work: float) -> bool:
        """Accept a request; False if the queue is full."""
        self._advance()
        accepted = self.core.offer(self._loop.time(), job, work)
        self._set_timer()
        return accepted

    def set_speed_factor(self, factor: float) -> None:
        """Set the fraction of its speed that the core has from now on."""
        self._advance()
        self.core.speed_factor = factor
        self._set_timer()

    def _set_timer(self) -> None:
        due = self.core.next_event()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if due is None else self._loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()
        self._set_timer()

    def _advance(self) -> None:
        now = self._loop.time()
        for job in self.core.advance(now):
            self._on_done(job, now)
