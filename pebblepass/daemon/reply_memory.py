"""The memory for pipelined requests: their commands, and replies behind other replies. No I/O, no clock.

The request whose reply is next on its connection needs none of it, so each connection can always have one. A
request behind it is parsed and dispatched once there is memory for the longest answer that is buffered; its
reservation shrinks to the length of its answer. Longer values are read as they are written.
"""

from __future__ import annotations

from collections.abc import Callable

from pebblepass.daemon.memory_monitor import MemoryUse
from pebblepass.wire.resp import LONG_VALUE_BYTES

ANSWER_BYTES = LONG_VALUE_BYTES + 64
"""Length of the longest reply that is buffered, with its header."""
MIN_REPLY_MEMORY_BYTES = 1 << 20


class ReplyMemory:
    """Counts the memory in bytes."""

    def __init__(self, total: int) -> None:
        self._total = total
        self.used = 0
        self.on_release: Callable[[], None] = lambda: None
        """Called when memory is released; set by whoever waits for it."""

    def use(self) -> MemoryUse:
        """Return how much is in use."""
        return MemoryUse("pipelined requests", self.used, self._total)

    @property
    def free_answers(self) -> int:
        """For how many further requests there is memory."""
        return max(self._total - self.used, 0) // ANSWER_BYTES

    def take(self, size: int) -> None:
        """Count `size` bytes that are in use now; a negative size releases them."""
        self.used += size
        if size < 0:
            self.on_release()

    def resize(self, total: int) -> None:
        """Change the total; what is in use stays."""
        self._total = total
        self.on_release()
