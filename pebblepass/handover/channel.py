"""The handover's sockets: a door in a folder that both processes share, and the channel between them.

Sequenced packets over a Unix socket: messages stay whole and in order, and descriptors travel with them.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path

from pebblepass.handover.messages import MAX_CONNECTIONS_PER_MESSAGE, HandoverError, Message, decode, encode

DOOR = "pebblepass-handover"
MOST_MESSAGE = 256 << 10  # more than sixteen connections with what is held of their commands take

log = logging.getLogger("pebblepass")

Take = Callable[[Message, list[socket.socket]], None]


class Channel:
    """One connection between the two processes."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, take: Take, lost: Callable[[], None]
    ) -> None:
        """`take` gets each message and the sockets that came with it; `lost` is called once, at the end."""
        self._loop, self._sock, self._take, self._lost = loop, sock, take, lost
        self._waiting: deque[tuple[bytes, list[int], Callable[[bool], None]]] = deque()
        self._writing = self.closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._read)

    def send(
        self, message: Message, fds: list[int] | None = None, done: Callable[[bool], None] = lambda _: None
    ) -> None:
        """Send a message, and these descriptors with it; `done` is told whether the kernel has them."""
        if self.closed:
            done(False)
        else:
            self._waiting.append((encode(message), fds or [], done))
            self._write()

    def _write(self) -> None:
        while self._waiting and not self.closed:
            data, fds, done = self._waiting[0]
            try:
                socket.send_fds(self._sock, [data], fds)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                log.warning("handover: %s", error)
                self.close()
                return
            self._waiting.popleft()
            done(True)
        if self.closed or bool(self._waiting) == self._writing:
            return
        self._writing = bool(self._waiting)
        if self._writing:
            self._loop.add_writer(self._sock.fileno(), self._write)
        else:
            self._loop.remove_writer(self._sock.fileno())

    def _read(self) -> None:
        while not self.closed:
            try:
                data, fds, flags, _ = socket.recv_fds(
                    self._sock, MOST_MESSAGE, 2 * MAX_CONNECTIONS_PER_MESSAGE
                )
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, fds, flags = b"", [], 0
            sockets = [socket.socket(fileno=fd) for fd in fds]
            if not data:
                self.close()
                return
            try:
                if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                    raise HandoverError("a message cut short")
                self._take(decode(data), sockets)
            except HandoverError as error:
                for each in sockets:
                    each.close()
                log.warning("handover: %s", error)
                self.close()

    def close(self) -> None:
        """End; whoever is on the other side sees it."""
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._sock.fileno())
        if self._writing:
            self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        unsent = list(self._waiting)
        self._waiting.clear()
        self._lost()
        for _, _, done in unsent:
            done(False)


class Door:
    """Where a new process finds the one that is there."""

    def __init__(self, folder: str) -> None:
        self._path = str(Path(folder) / DOOR)
        self._sock: socket.socket | None = None

    def knock(self) -> socket.socket | None:
        """A connection to the process that is there; None: there is none."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            sock.connect(self._path)
        except OSError:
            sock.close()
            return None
        return sock

    def open(self, loop: asyncio.AbstractEventLoop, came: Callable[[socket.socket], None]) -> None:
        """Wait for processes; raises OSError where that can't be."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            # Bound aside and moved: one that knocks in between finds the old door or the new one.
            aside = f"{self._path}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(aside)
            sock.bind(aside)
            sock.listen(8)
            sock.setblocking(False)
            os.replace(aside, self._path)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        loop.add_reader(sock.fileno(), self._accept, came)

    def _accept(self, came: Callable[[socket.socket], None]) -> None:
        assert self._sock is not None
        with contextlib.suppress(OSError):
            came(self._sock.accept()[0])

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Let nobody come any longer. The file stays: it may be another process's by now."""
        if self._sock is not None:
            loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
