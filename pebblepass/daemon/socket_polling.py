"""Polls for events that the event loop has not dispatched yet, and accepts connections from a backlog.

A simulated event loop has no kernel sockets. It implements these operations itself, as `poll_socket`,
`read_socket` and `accept_pending`.
"""

from __future__ import annotations

import asyncio
import functools
import os
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

READ_EVENTS = select.POLLIN | select.POLLRDHUP
_CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL

AcceptCallback = Callable[[socket.socket], None]


class SocketPoller(Protocol):
    """Polls without waiting which events are pending at a descriptor."""

    def poll(self, descriptor: int, events: int) -> int:
        """Return which of these events, or errors, are pending at a descriptor."""

    def read_poll(self, descriptor: int) -> Callable[[], int]:
        """Return a function that polls one descriptor for READ_EVENTS, and is cheaper than `poll`."""

    def read(self, descriptor: int, size: int) -> bytes | None:
        """Read up to `size` bytes without waiting; None if nothing is unread, empty at the end or a reset."""


def socket_poller(loop: asyncio.AbstractEventLoop) -> SocketPoller:
    """Return the poller for the sockets of this loop."""
    poll_socket = getattr(loop, "poll_socket", None)
    return KernelPoller() if poll_socket is None else _SimulatedPoller(poll_socket, loop.read_socket)  # type: ignore[attr-defined]


class KernelPoller:
    """Polls the kernel's sockets."""

    def __init__(self) -> None:
        self._poll = select.poll()

    def poll(self, descriptor: int, events: int) -> int:
        """Return which of these events, or errors, are pending at a descriptor."""
        self._poll.register(descriptor, events)
        try:
            found = self._poll.poll(0)
        finally:
            self._poll.unregister(descriptor)
        return found[0][1] if found else 0

    def read_poll(self, descriptor: int) -> Callable[[], int]:
        """Return a function that polls one descriptor, registered for as long as the function exists."""
        registered = select.poll()
        registered.register(descriptor, READ_EVENTS)
        poll = registered.poll

        def poll_descriptor() -> int:
            found = poll(0)
            return found[0][1] if found else 0

        return poll_descriptor

    def read(self, descriptor: int, size: int) -> bytes | None:
        """Read up to `size` bytes without waiting; None if nothing is unread, empty at the end or a reset."""
        return _read(os.read, descriptor, size)


class _SimulatedPoller:
    """Polls the sockets of a simulated loop."""

    def __init__(
        self, poll_socket: Callable[[int, int], int], read_socket: Callable[[int, int], bytes]
    ) -> None:
        self.poll, self._read_socket = poll_socket, read_socket

    def read_poll(self, descriptor: int) -> Callable[[], int]:
        return functools.partial(self.poll, descriptor, READ_EVENTS)

    def read(self, descriptor: int, size: int) -> bytes | None:
        return _read(self._read_socket, descriptor, size)


def _read(read: Callable[[int, int], bytes], descriptor: int, size: int) -> bytes | None:
    try:
        return read(descriptor, size)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


def peer_has_closed(events: int) -> bool:
    """Return whether these events mean that the peer sends nothing more, or that the connection is broken."""
    return bool(events & _CLOSE_EVENTS)


def accept_pending(
    loop: asyncio.AbstractEventLoop,
    listener: asyncio.Server,
    on_accept: AcceptCallback,
    limit: int,
) -> bool:
    """Accept up to `limit` connections from a listener's backlog; returns whether there may be more."""
    accept_simulated = getattr(loop, "accept_pending", None)
    for listening in listener.sockets:
        if accept_simulated is not None:
            limit -= accept_simulated(listening, on_accept, limit)
        else:
            limit -= _accept_backlog(listening.fileno(), on_accept, limit)
    return limit <= 0


def _accept_backlog(descriptor: int, on_accept: AcceptCallback, limit: int) -> int:
    accepted = 0
    # A second socket object for the same descriptor: there may be no free descriptor for a duplicate.
    listening = socket.socket(fileno=descriptor)
    with suppress(OSError):  # the backlog is empty, or there is no free descriptor
        while accepted < limit:
            sock, _ = listening.accept()
            sock.setblocking(False)
            on_accept(sock)
            accepted += 1
    listening.detach()
    return accepted
