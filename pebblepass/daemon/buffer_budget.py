"""The memory budget for values of unknown length, which have to be buffered completely. No I/O, no clock."""

from __future__ import annotations

from typing import Protocol

from pebblepass.daemon.memory_monitor import MemoryUse


class BufferingConnection(Protocol):
    """A connection that buffers a value."""

    def pause_buffering(self) -> None:
        """Pause reading."""

    def resume_buffering(self) -> None:
        """Resume reading."""


class BufferBudget:
    """Divides memory among connections, each of which may need as much as the longest value.

    Memory for one complete value is reserved for the first connection, so that it can always finish and all
    finish one after another, however small the budget is. The others share the rest.
    """

    def __init__(self, total: int, longest: int) -> None:
        """`total` and `longest`, the length of the longest value, are in bytes."""
        self._shared, self._longest = max(total - longest, 0), longest
        self._used: dict[BufferingConnection, int] = {}
        self._paused: dict[BufferingConnection, None] = {}

    @property
    def used(self) -> int:
        """Bytes buffered by all connections."""
        return sum(self._used.values())

    def use(self) -> MemoryUse:
        """Return how much is in use."""
        return MemoryUse("buffered values", self.used, self._shared + self._longest)

    def take(self, connection: BufferingConnection, size: int) -> None:
        """Count `size` bytes that a connection has received, and pause it if it has to wait for memory."""
        self._used[connection] = self._used.get(connection, 0) + size
        if connection not in self._paused and not self._may_read(connection):
            self._paused[connection] = None
            connection.pause_buffering()

    def release(self, connection: BufferingConnection) -> None:
        """Release all memory of a connection, and resume the connections that may continue."""
        self._used.pop(connection, None)
        self._paused.pop(connection, None)
        for paused in list(self._paused):
            if paused in self._paused and self._may_read(paused):
                del self._paused[paused]
                paused.resume_buffering()

    def _may_read(self, connection: BufferingConnection) -> bool:
        first = next(iter(self._used))
        return connection is first or self.used - self._used[first] <= self._shared
