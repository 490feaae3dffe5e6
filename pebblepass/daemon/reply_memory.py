"""The memory for pipelined requests: their commands, and replies behind other replies. No I/O, no clock.

The request whose reply is next on its connection needs none of it, so each connection can always have one. A
request behind it is parsed and dispatched once there is memory for the longest answer that is buffered; its
reservation shrinks to the length of its answer. Longer values are read as they are written.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pebblepass.daemon.memory_monitor import MemoryUse
from pebblepass.wire.resp import LONG_VALUE_BYTES

ANSWER_BYTES = LONG_VALUE_BYTES + 64
"""Length of the longest reply that is buffered, with its header."""
MIN_REPLY_MEMORY_BYTES = 1 << 20
MAX_DISPATCHES_PER_TURN = 64
"""Commands that are dispatched before the event loop goes on: thousands may have to be refused."""


class DeferringConnection(Protocol):
    """A connection with commands that wait for memory."""

    def dispatch_deferred(self) -> bool:
        """Dispatch the next command, for which ANSWER_BYTES are free; returns whether there was one."""

    @property
    def has_deferred(self) -> bool:
        """Whether commands may wait."""


class ReplyMemory:
    """Counts the memory in bytes; connections with commands that wait for it take turns, one command each."""

    def __init__(
        self, total: int, schedule: Callable[[Callable[[], None]], object], on_shortage: Callable[[], None]
    ) -> None:
        """`schedule` calls back soon; `on_shortage` is called when a shortage begins or ends."""
        self._total, self._schedule, self._on_shortage = total, schedule, on_shortage
        self.used = 0
        self._waiting: dict[DeferringConnection, None] = {}
        self._is_scheduled = False

    @property
    def is_short(self) -> bool:
        """Whether commands wait for memory."""
        return bool(self._waiting)

    @property
    def free_answers(self) -> int:
        """For how many further requests there is memory; 0 while commands wait for it."""
        return 0 if self._waiting else max(self._total - self.used, 0) // ANSWER_BYTES

    def use(self) -> MemoryUse:
        """Return how much is in use."""
        return MemoryUse("pipelined requests", self.used, self._total)

    def take(self, size: int) -> None:
        """Count `size` bytes that are in use now; a negative size releases them."""
        self.used += size
        if size < 0:
            self._schedule_dispatch()

    def resize(self, total: int) -> None:
        """Change the total; what is in use stays."""
        self._total = total
        self._schedule_dispatch()

    def wait(self, connection: DeferringConnection) -> None:
        """Let a connection with deferred commands wait for its turn."""
        was_short = self.is_short
        self._waiting[connection] = None
        if not was_short:
            self._on_shortage()
        self._schedule_dispatch()

    def stop_waiting(self, connection: DeferringConnection) -> None:
        """Remove a connection that has no deferred command."""
        if connection in self._waiting:
            del self._waiting[connection]
            if not self._waiting:
                self._on_shortage()

    def _schedule_dispatch(self) -> None:
        # Warning: not in this call, as a dispatch may send a reply, which releases memory.
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._schedule(self._dispatch_waiting)

    def _dispatch_waiting(self) -> None:
        self._is_scheduled = False
        for _ in range(MAX_DISPATCHES_PER_TURN):
            if not self._waiting or self.used + ANSWER_BYTES > self._total:
                return
            connection = next(iter(self._waiting))
            self._waiting[connection] = self._waiting.pop(connection)  # behind the others
            connection.dispatch_deferred()
            if not connection.has_deferred:
                self.stop_waiting(connection)
        self._schedule_dispatch()
