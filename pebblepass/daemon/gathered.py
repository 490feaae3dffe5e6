"""Memory for answers of unknown length, which have to be buffered completely. No I/O, no clock."""

from __future__ import annotations

from typing import Protocol


class Reader(Protocol):
    """A connection that buffers an answer."""

    def hold_back(self) -> None:
        """Pause reading."""

    def go_on(self) -> None:
        """Resume reading."""


class GatherBudget:
    """Divides memory among readers that each may need up to the longest answer.

    The first reader may always continue: memory for one complete answer is reserved for it, so that all
    finish one after another however little there is. The others share the rest.
    """

    def __init__(self, total: int, longest: int) -> None:
        self._shared = max(total - longest, 0)
        self._held: dict[Reader, int] = {}
        self._waiting: dict[Reader, None] = {}

    @property
    def held(self) -> int:
        """Bytes buffered by all readers."""
        return sum(self._held.values())

    def take(self, reader: Reader, size: int) -> None:
        """Count `size` received bytes of a reader; it is paused if it has to wait for memory."""
        self._held[reader] = self._held.get(reader, 0) + size
        if reader not in self._waiting and not self._may_read(reader):
            self._waiting[reader] = None
            reader.hold_back()

    def release(self, reader: Reader) -> None:
        """Release all memory of a reader, and resume those that may continue."""
        self._held.pop(reader, None)
        self._waiting.pop(reader, None)
        for waiting in list(self._waiting):
            if waiting in self._waiting and self._may_read(waiting):
                del self._waiting[waiting]
                waiting.go_on()

    def _may_read(self, reader: Reader) -> bool:
        first = next(iter(self._held))
        return reader is first or self.held - self._held[first] <= self._shared
