"""The Unix socket at which a successor connects to its predecessor, in a folder that both share."""

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
    """Connects to the process that listens on the socket, or listens itself."""

    def __init__(self, folder: str) -> None:
        self._path = str(Path(folder) / SOCKET_NAME)
        self._sock: socket.socket | None = None

    def connect(self) -> socket.socket | None:
        """Return a connection to the listening process; None: no process listens."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            sock.connect(self._path)
        except OSError:
            sock.close()
            return None
        return sock

    def open(self, loop: asyncio.AbstractEventLoop, on_accept: Callable[[socket.socket], None]) -> None:
        """Listen in place of any other process; raises OSError if that fails."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            # Bound to a temporary path and renamed, so that there is a socket to connect to at any time.
            temporary_path = f"{self._path}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary_path)
            sock.bind(temporary_path)
            sock.listen(BACKLOG)
            sock.setblocking(False)
            os.replace(temporary_path, self._path)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        loop.add_reader(sock.fileno(), self._accept, on_accept)

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Stop listening. The file is not removed, as it may belong to another process by now."""
        if self._sock is not None:
            loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _accept(self, on_accept: Callable[[socket.socket], None]) -> None:
        assert self._sock is not None
        with contextlib.suppress(OSError):
            on_accept(self._sock.accept()[0])
