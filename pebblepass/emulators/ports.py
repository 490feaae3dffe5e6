"""Ports for routers that are started, ended and started again at the same address."""

from __future__ import annotations

import os
import socket
from contextlib import suppress

from pebblepass.emulators.listeners import LOOPBACK

FIRST, LAST = 10_000, 30_000  # below those that the kernel deals out to outgoing connections
BLOCK = 100


class PortBlock:
    """Ports that no other process with a block of its own takes, also while nobody listens at them."""

    def __init__(self) -> None:
        """Take a block; raises OSError where all are taken."""
        blocks = (LAST - FIRST) // BLOCK
        for step in range(blocks):
            self._guarded = FIRST + (os.getpid() * 7 + step) % blocks * BLOCK
            # Bound for as long as this process lives, and without SO_REUSEADDR: nobody else can bind it.
            self._guard = socket.socket()
            with suppress(OSError):
                self._guard.bind((LOOPBACK, self._guarded))
                break
            self._guard.close()
        else:
            raise OSError("no block of ports is free")
        self._dealt = 0

    def take(self) -> int:
        """The next port of the block at which nobody listens."""
        while True:
            port = self._guarded + 1 + self._dealt % (BLOCK - 1)
            self._dealt += 1
            with suppress(OSError), socket.create_server((LOOPBACK, port)):
                return port


_block: PortBlock | None = None


def take_port() -> int:
    """A port of this process's block; raises OSError where there is none."""
    global _block
    if _block is None:
        _block = PortBlock()
    return _block.take()
