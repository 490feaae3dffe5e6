"""What the kernel holds of a connection and nobody has read: news that stands between two lines of ours."""

from __future__ import annotations

import asyncio
import functools
import select
import socket
from collections.abc import Callable
from contextlib import suppress

ANYTHING = select.POLLIN | select.POLLRDHUP
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL

Look = Callable[[int, int], int]


def looks(loop: asyncio.AbstractEventLoop) -> Look:
    """What tells, without waiting, which of these events, and which errors, stand unread at a descriptor.

    A loop that knows its sockets' state by itself, as a rehearsal's, has an `unread` of its own.
    """
    of_loop: Look | None = getattr(loop, "unread", None)
    return of_loop if of_loop is not None else Poll().unread


def watch(loop: asyncio.AbstractEventLoop, descriptor: int) -> Callable[[], int]:
    """The same for one descriptor that is looked at often: what is registered is kept for its life."""
    of_loop: Look | None = getattr(loop, "unread", None)
    if of_loop is not None:
        return functools.partial(of_loop, descriptor, ANYTHING)
    kept = select.poll()
    kept.register(descriptor, ANYTHING)
    poll = kept.poll

    def look() -> int:
        found = poll(0)
        return found[0][1] if found else 0

    return look


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


def accept_rest(
    loop: asyncio.AbstractEventLoop,
    listener: asyncio.Server,
    take: Callable[[socket.socket], None],
    most: int,
) -> bool:
    """Accept whoever waits at a listener for the loop to do so, up to `most`; whether there may be more."""
    of_loop = getattr(loop, "accept_rest", None)
    for held in listener.sockets:
        if of_loop is not None:
            most -= of_loop(held, take, most)
            continue
        # No descriptor of its own: there may be none.
        own = socket.socket(fileno=held.fileno())
        with suppress(OSError):  # nobody is left, or no descriptor is
            while most > 0:
                sock, _ = own.accept()
                sock.setblocking(False)
                take(sock)
                most -= 1
        own.detach()
    return most <= 0
