"""What the kernel holds of a connection and nobody has read: news that stands between two lines of ours."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

ANYTHING = select.POLLIN | select.POLLRDHUP
END = select.POLLRDHUP
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL

Look = Callable[[int, int], int]


def looks(loop: asyncio.AbstractEventLoop) -> Look:
    """What tells, without waiting, which of these events, and which errors, stand unread at a descriptor.

    A loop that knows its sockets' state by itself, as a rehearsal's, has an `unread` of its own.
    """
    of_loop: Look | None = getattr(loop, "unread", None)
    return of_loop if of_loop is not None else Poll().unread


class Poll:
    """Asks the kernel."""

    def __init__(self) -> None:
        self._poll = select.poll()

    def unread(self, descriptor: int, events: int) -> int:
        """Which of the events, or errors, are there now."""
        self._poll.register(descriptor, events)
        try:
            found = self._poll.poll(0)
        finally:
            self._poll.unregister(descriptor)
        return found[0][1] if found else 0


def has_ended(found: int) -> bool:
    """Whether the other side has ended its sending, or the connection is broken."""
    return bool(found & _ENDED)
