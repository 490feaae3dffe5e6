"""Streams a long value from a server to a client, and detects that the server has stalled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pebblepass.daemon.exchange import ValueSource

STALL_TIMEOUT_S = 2.0
"""Servers pause within a value for at most 0.1 s; one that pauses longer than this counts as unreachable."""

MAX_HOLD_S = 1.5
"""For which a value may be held until it is complete; the platform counts 2 s without a byte as a loss."""
HOLD_MARGIN_S = 0.05
"""Before the deadline of its request, at which a value is no longer held."""

PAUSED = float("inf")
"""The time of the last bytes of a value that is not being read."""


def hold_time(remaining_s: float) -> float:
    """Return for how many seconds a value may be held, `remaining_s` before the deadline of its request."""
    return max(min(remaining_s - HOLD_MARGIN_S, MAX_HOLD_S), 0.0)


class ValueStream:
    """The source of a value that is being streamed, and the time of its last bytes."""

    __slots__ = ("_last_bytes_at", "_loop", "_on_stall", "_source", "_timer", "length")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, source: ValueSource, length: int, on_stall: Callable[[], None]
    ) -> None:
        """`length`: of the value, in bytes; `on_stall`: called if no bytes arrive for STALL_TIMEOUT_S."""
        self._loop, self._source, self.length, self._on_stall = loop, source, length, on_stall
        self._last_bytes_at = loop.time()
        self._timer = loop.call_later(STALL_TIMEOUT_S, self._check_stall)

    def record_bytes(self) -> None:
        """Record that bytes of the value were received; some may be received after a pause."""
        if self._last_bytes_at != PAUSED:
            self._last_bytes_at = self._loop.time()

    def pause(self) -> None:
        """Pause reading from the server: the client does not read."""
        self._last_bytes_at = PAUSED
        self._source.pause()

    def resume(self) -> None:
        """Resume reading from the server."""
        self._last_bytes_at = self._loop.time()
        self._source.resume()

    def close(self) -> None:
        """Stop detecting stalls."""
        self._timer.cancel()

    def _check_stall(self) -> None:
        if self._loop.time() - self._last_bytes_at >= STALL_TIMEOUT_S:
            self._on_stall()
        else:
            self._timer = self._loop.call_later(STALL_TIMEOUT_S / 4, self._check_stall)
