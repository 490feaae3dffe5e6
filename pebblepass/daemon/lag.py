"""How late the router's own loop runs: time in which news stood unread, and nobody else is to blame."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

BEAT_S = 0.02
SLACK_S = 0.002  # a beat this late is on time: the loop counts in milliseconds
MEMORY_S = 2.0  # for which the longest lag is held


class LoopLag:
    """A regular beat, and by how much it comes late."""

    def __init__(self, loop: asyncio.AbstractEventLoop, told: Callable[[int], None]) -> None:
        """`told` is given the longest lag of late, in nanoseconds, when it changes."""
        self._loop, self._told = loop, told
        self._total = 0
        self._longest = self._before = 0  # in this span of memory, and in the one before
        self._said = 0
        now = loop.time()
        self._turns_at = now + MEMORY_S
        self._due = now + BEAT_S
        self._timer = loop.call_at(self._due, self._beat)

    @property
    def total(self) -> int:
        """Nanoseconds that the loop has been held up since the start, with what no beat has told yet.

        Whether sockets are read or timers run first after a hold-up is the loop's affair.
        """
        late = self._loop.time() - self._due
        return self._total + int(late * 1e9) if late > SLACK_S else self._total

    def _beat(self) -> None:
        now = self._loop.time()
        late = now - self._due
        if late > SLACK_S:
            lag = int(late * 1e9)
            self._total += lag
            self._longest = max(self._longest, lag)
        if now >= self._turns_at:
            self._turns_at = now + MEMORY_S
            self._before, self._longest = self._longest, 0
        longest = max(self._longest, self._before)
        if longest != self._said:
            self._said = longest
            self._told(longest)
        self._due = now + BEAT_S
        self._timer = self._loop.call_at(self._due, self._beat)

    def close(self) -> None:
        """Stop."""
        self._timer.cancel()


def after_news(loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
    """Call back once the sockets have been read: what is due may have come, and stand unread."""
    # The first turn may come before the sockets are looked at, the second can't.
    loop.call_soon(loop.call_soon, callback)
