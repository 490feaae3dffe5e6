"""The channel between predecessor and successor: a Unix socket of type SOCK_SEQPACKET.

The socket preserves the boundaries and the order of messages, and carries file descriptors with them.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from pebblepass.handover.errors import HandoverError
from pebblepass.handover.messages import MAX_CONNECTIONS_PER_MESSAGE, Message, decode, encode

MAX_MESSAGE_BYTES = 256 << 10  # more than a full message of connections with partial commands takes
MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS_PER_MESSAGE  # accepted with one message

log = logging.getLogger("pebblepass")

MessageHandler = Callable[[Message, list[socket.socket]], None]


class _Outgoing(NamedTuple):
    data: bytes
    descriptors: list[int]
    on_sent: Callable[[bool], None]


def _ignore(_: bool) -> None:
    """Ignore the result of a send."""


class Channel:
    """One connection between the two processes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: MessageHandler,
        on_closed: Callable[[], None],
    ) -> None:
        """`on_message` gets each message with its sockets; `on_closed` is called once, at the end."""
        self._loop, self._sock = loop, sock
        self._on_message, self._on_closed = on_message, on_closed
        self._queue: deque[_Outgoing] = deque()
        self._is_writing = self.is_closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._read)

    def send(
        self,
        message: Message,
        descriptors: list[int] | None = None,
        on_sent: Callable[[bool], None] = _ignore,
    ) -> None:
        """Send a message with these descriptors; `on_sent` is called with whether the kernel accepted it."""
        if self.is_closed:
            on_sent(False)
        else:
            self._queue.append(_Outgoing(encode(message), descriptors or [], on_sent))
            self._write()

    def close(self) -> None:
        """Close the channel. The other process sees the end of the stream."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove_reader(self._sock.fileno())
        if self._is_writing:
            self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        unsent = list(self._queue)
        self._queue.clear()
        self._on_closed()
        for outgoing in unsent:
            outgoing.on_sent(False)

    def _write(self) -> None:
        while self._queue and not self.is_closed:
            outgoing = self._queue[0]
            try:
                socket.send_fds(self._sock, [outgoing.data], outgoing.descriptors)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                log.warning("handover: sending a message failed, closing the channel: %s", error)
                self.close()
                return
            self._queue.popleft()
            outgoing.on_sent(True)
        self._update_writer()

    def _update_writer(self) -> None:
        if self.is_closed or bool(self._queue) == self._is_writing:
            return
        self._is_writing = bool(self._queue)
        if self._is_writing:
            self._loop.add_writer(self._sock.fileno(), self._write)
        else:
            self._loop.remove_writer(self._sock.fileno())

    def _read(self) -> None:
        while not self.is_closed:
            try:
                data, fds, flags, _ = socket.recv_fds(self._sock, MAX_MESSAGE_BYTES, MAX_DESCRIPTORS)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, fds, flags = b"", [], 0
            sockets = [socket.socket(fileno=fd) for fd in fds]
            if not data:
                self.close()
                return
            self._receive(data, sockets, flags)

    def _receive(self, data: bytes, sockets: list[socket.socket], flags: int) -> None:
        try:
            if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                raise HandoverError("a message was truncated")
            self._on_message(decode(data), sockets)
        except HandoverError as error:
            for sock in sockets:
                sock.close()
            log.warning("handover: received an invalid message, closing the channel: %s", error)
            self.close()
