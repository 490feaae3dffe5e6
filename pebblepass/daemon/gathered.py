"""Bytes for answers that have to be gathered whole, as nobody tells their length. No I/O, no clock."""

from __future__ import annotations

from typing import Protocol


class Reader(Protocol):
    """Who gathers an answer."""

    def hold_back(self) -> None:
        """Read no more for now."""

    def go_on(self) -> None:
        """Read again."""


class GatherBudget:
    """Shares a number of bytes out among readers that each may need up to the longest answer.

    The reader that came first may always go on: room for one whole answer is kept for it, so that all come to
    an end one after another however little there is. The others share what is left.
    """

    def __init__(self, total: int, longest: int) -> None:
        self._shared = max(total - longest, 0)
        self._held: dict[Reader, int] = {}
        self._waiting: dict[Reader, None] = {}

    @property
    def held(self) -> int:
        """Bytes that all readers hold."""
        return sum(self._held.values())

    def take(self, reader: Reader, size: int) -> None:
        """Count bytes that have come; a reader that has to wait is held back until it may go on."""
        self._held[reader] = self._held.get(reader, 0) + size
        if reader not in self._waiting and not self._may_read(reader):
            self._waiting[reader] = None
            reader.hold_back()

    def release(self, reader: Reader) -> None:
        """Count all that a reader held as free, and let those go on that may."""
        self._held.pop(reader, None)
        self._waiting.pop(reader, None)
        for waiting in list(self._waiting):
            if waiting in self._waiting and self._may_read(waiting):
                del self._waiting[waiting]
                waiting.go_on()

    def _may_read(self, reader: Reader) -> bool:
        first = next(iter(self._held))
        return reader is first or self.held - self._held[first] <= self._shared
