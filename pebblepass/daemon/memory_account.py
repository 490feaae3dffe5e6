"""One account of the memory in which peers' bytes wait. No I/O, no clock.

Whatever holds bytes of a client or a server counts them here: commands that are received in part, wait for
their turn or belong to open requests, answers that are received in part, and replies that a client has not
read. A command or answer of up to SMALL_BYTES is not counted, so that there is always memory for it. What
happens when memory is short is the decision of each use.
"""

from __future__ import annotations

from collections.abc import Callable

from pebblepass.daemon.memory_monitor import MemoryUse
from pebblepass.wire.resp import LONG_VALUE_BYTES, MAX_ANSWER_VALUE_BYTES

SMALL_BYTES = 1024
"""A command up to this length is accepted even if memory is short."""
ANSWER_BYTES = LONG_VALUE_BYTES + 64
"""Length of the longest reply that is buffered, with its header."""
CONNECTION_BYTES = 4 << 10
"""Memory of one connection without what is counted here."""
COUNTED_FRACTION = 0.7
"""Fraction of the free memory that may be counted: objects and the allocator take the rest."""
RESERVED_FRACTION = 1 / 3
"""Maximum fraction of the account that is reserved for the answer that was first to need memory."""
OPTIONAL_FRACTION = 0.5
"""Fraction of the account for uses that have a fallback without memory."""
PIPELINE_FRACTION = 0.8
"""Fraction of the account beyond which no further pipelined command is dispatched."""
MIN_ACCOUNT_BYTES = 1 << 20


def account_bytes(limit: int, own: int, connections: int, processes: int = 1) -> int:
    """Return the bytes that the account of one of `processes` processes, which share the limit, may count.

    `limit`: of the router's memory; `own`: of one process without a request; `connections`: the maximum
    number of connections of all processes.
    """
    free = limit - own * processes - connections * CONNECTION_BYTES
    return max(int(free * COUNTED_FRACTION) // processes, MIN_ACCOUNT_BYTES)


class MemoryCounter:
    """The bytes of one use of the account."""

    __slots__ = ("_account", "name", "used")

    def __init__(self, account: MemoryAccount, name: str) -> None:
        self._account, self.name, self.used = account, name, 0

    def take(self, size: int) -> None:
        """Count `size` bytes that are in use now; a negative size releases them."""
        self.used += size
        self._account.change(size)


class MemoryAccount:
    """The account of one process."""

    def __init__(self, total: int) -> None:
        """`total`: bytes that may be counted."""
        self.used = 0
        self.commands = MemoryCounter(self, "commands")
        self.replies = MemoryCounter(self, "replies")
        self.answers = MemoryCounter(self, "answers")
        self._on_release: list[Callable[[], None]] = []
        self.is_short = False
        """Whether all but the reserved bytes are in use."""
        self._set_total(total)

    def _set_total(self, total: int) -> None:
        self._total = total
        self.reserved = min(MAX_ANSWER_VALUE_BYTES, int(total * RESERVED_FRACTION))
        """Bytes that only the first answer that needs memory may use, so that one can always be received."""
        self._shared = total - self.reserved
        self._pipeline_limit = int(self._shared * PIPELINE_FRACTION)
        self._optional_limit = self._shared - int(total * (1 - OPTIONAL_FRACTION))
        self.is_short = self.used >= self._shared

    @property
    def free(self) -> int:
        """Bytes that any use may count now; negative if more are in use."""
        return self._shared - self.used

    @property
    def free_for_optional_use(self) -> int:
        """Bytes for uses that have a fallback without memory.

        These are commands that are read only to find out whether their client is connected, and long values
        that are held until they are complete.
        """
        return self._optional_limit - self.used

    @property
    def is_exhausted(self) -> bool:
        """Whether the reserved bytes are in use too."""
        return self.used >= self._total

    @property
    def free_answers(self) -> int:
        """For how many further pipelined requests, with the longest answers, there is memory."""
        return max(self._pipeline_limit - self.used, 0) // ANSWER_BYTES

    def uses(self) -> list[MemoryUse]:
        """Return how much each use takes."""
        counters = (self.commands, self.replies, self.answers)
        return [MemoryUse(counter.name, counter.used, self._total) for counter in counters]

    def on_release(self, callback: Callable[[], None]) -> None:
        """Call back whenever memory is released."""
        self._on_release.append(callback)

    def change(self, size: int) -> None:
        """Count `size` bytes more, or fewer if it is negative; called by the counters."""
        self.used += size
        self.is_short = self.used >= self._shared
        if size < 0:
            self._notify_release()

    def resize(self, total: int) -> None:
        """Change the total; what is in use stays."""
        self._set_total(total)
        self._notify_release()

    def _notify_release(self) -> None:
        for callback in self._on_release:
            callback()
