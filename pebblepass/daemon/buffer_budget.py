"""Memory for answers of unknown length, which have to be buffered completely. No I/O, no clock."""

from __future__ import annotations

from typing import Protocol


class BufferingConnection(Protocol):
    """A connection that buffers an answer."""

    def pause_buffering(self) -> None:
        """Pause reading."""

    def resume_buffering(self) -> None:
        """Resume reading."""


class BufferBudget:
    """Divides memory among readers that each may need up to the longest answer.

    The first reader may always continue: memory for one complete answer is reserved for it, so that all
    finish one after another however little there is. The others share the rest.
    """

    def __init__(self, total: int, longest: int) -> None:
        self._shared = max(total - longest, 0)
        self._held: dict[BufferingConnection, int] = {}
        self._waiting: dict[BufferingConnection, None] = {}

    @property
    def used(self) -> int:
        """Bytes buffered by all readers."""
        return sum(self._held.values())

    def take(self, reader: BufferingConnection, size: int) -> None:
        """Count `size` received bytes of a reader; it is paused if it has to wait for memory."""
        self._held[reader] = self._held.get(reader, 0) + size
        if reader not in self._waiting and not self._may_read(reader):
            self._waiting[reader] = None
            reader.pause_buffering()

    def release(self, reader: BufferingConnection) -> None:
        """Release all memory of a reader, and resume those that may continue."""
        self._held.pop(reader, None)
        self._waiting.pop(reader, None)
        for waiting in list(self._waiting):
            if waiting in self._waiting and self._may_read(waiting):
                del self._waiting[waiting]
                waiting.resume_buffering()

    def _may_read(self, reader: BufferingConnection) -> bool:
        first = next(iter(self._held))
        return reader is first or self.used - self._held[first] <= self._shared
