"""The memory budget for clients' long commands. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from pebblepass.daemon.memory_monitor import MemoryUse


class BudgetWaiter(Protocol):
    """A connection that may wait for memory."""

    @property
    def closed(self) -> bool:
        """Whether the connection is closed, so that it needs no memory."""

    def reserve(self) -> None:
        """Try again to reserve memory, of which some has been released."""


class MemoryBudget:
    """Memory for long commands; what a command needs is reserved before it is read, so that it can finish."""

    def __init__(self, total: int) -> None:
        self._total = self._free = total
        self._waiting: deque[BudgetWaiter] = deque()

    def use(self) -> MemoryUse:
        """Return how much is reserved."""
        return MemoryUse("long commands", self._total - self._free, self._total)

    def reserve(self, connection: BudgetWaiter, size: int) -> bool:
        """Reserve `size` bytes; returns False and queues the connection if too few are free."""
        if size > self._free:
            self._waiting.append(connection)
            return False
        self._free -= size
        return True

    def resize(self, total: int) -> None:
        """Change the total; reservations stay."""
        self._total, self._free = total, self._free + total - self._total
        self.release(0)

    def release(self, size: int) -> None:
        """Release `size` reserved bytes, and let the queued connections try again."""
        self._free += size
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            connection = waiting.popleft()
            if not connection.closed:
                connection.reserve()
