"""How late the router's own loop runs: time in which news stood unread, and nobody else is to blame."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

BEAT_NS = 20_000_000
SLACK_NS = 2_000_000  # a beat this late is on time: the loop counts in milliseconds
MEMORY_NS = 2_000_000_000  # for which the longest lag is held


class LoopLag:
    """A regular beat, and by how much it comes late."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, now: Callable[[], int], told: Callable[[int], None]
    ) -> None:
        """`told` is given the longest lag of late, in nanoseconds, when it changes."""
        self._loop, self._now, self._told = loop, now, told
        self.heard_at = float("-inf")
        """What stood at any socket at this time, in seconds of the loop, has been read since."""
        self._sum = self._said = 0
        self._longest = self._before = 0  # in this span of memory, and in the one before
        self._turns_at = now() + MEMORY_NS
        self._wait()

    def _wait(self) -> None:
        self._due = self._now() + BEAT_NS
        self._timer = self._loop.call_later(BEAT_NS / 1e9, self._beat)

    def total(self, now: int) -> int:
        """Nanoseconds that the loop has been held up since the start, with what no beat has told yet.

        Whether sockets are read or timers run first after a hold-up is the loop's affair.
        """
        late = now - self._due
        return self._sum + late if late > SLACK_NS else self._sum

    def _beat(self) -> None:
        now = self._now()
        late = now - self._due
        if late > SLACK_NS:
            self._sum += late
            self._longest = max(self._longest, late)
        after_news(self._loop, functools.partial(self._heard, self._loop.time()))
        if now >= self._turns_at:
            self._turns_at = now + MEMORY_NS
            self._before, self._longest = self._longest, 0
        longest = max(self._longest, self._before)
        if longest != self._said:
            self._said = longest
            self._told(longest)
        self._wait()

    def _heard(self, at: float) -> None:
        self.heard_at = at

    def close(self) -> None:
        """Stop."""
        self._timer.cancel()


def after_news(loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
    """Call back once the sockets have been read: what is due may have come, and stand unread."""
    # The first turn may come before the sockets are looked at, the second can't.
    loop.call_soon(loop.call_soon, callback)
