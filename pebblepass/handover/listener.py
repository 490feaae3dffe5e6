"""Where a successor finds its predecessor: a Unix socket in a folder that both share."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from pathlib import Path

SOCKET_NAME = "pebblepass-handover"
BACKLOG = 8


class HandoverListener:
    """Connects to the listening process, and becomes the listening process."""

    def __init__(self, folder: str) -> None:
        self._path = str(Path(folder) / SOCKET_NAME)
        self._sock: socket.socket | None = None

    def connect(self) -> socket.socket | None:
        """Return a connection to the process that listens; None: there is none."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            sock.connect(self._path)
        except OSError:
            sock.close()
            return None
        return sock

    def open(self, loop: asyncio.AbstractEventLoop, on_accept: Callable[[socket.socket], None]) -> None:
        """Listen in place of any other process; raises OSError if the socket can't be made."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            # Bound aside and moved: whoever connects in between finds the old socket or the new one.
            aside = f"{self._path}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(aside)
            sock.bind(aside)
            sock.listen(BACKLOG)
            sock.setblocking(False)
            os.replace(aside, self._path)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        loop.add_reader(sock.fileno(), self._accept, on_accept)

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Stop listening. The file stays: it may be another process's by now."""
        if self._sock is not None:
            loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _accept(self, on_accept: Callable[[socket.socket], None]) -> None:
        assert self._sock is not None
        with contextlib.suppress(OSError):
            on_accept(self._sock.accept()[0])
