"""Ports for routers that are restarted at the same address."""

from __future__ import annotations

import os
import socket
from contextlib import suppress

from pebblepass.emulators.listeners import LOOPBACK

FIRST_PORT, LAST_PORT = 10_000, 30_000  # below the kernel's range of ephemeral ports for outgoing connections
BLOCK_SIZE = 100


class PortBlock:
    """Ports reserved for this process among all that use blocks, also while nothing listens on them."""

    def __init__(self) -> None:
        """Reserve a block; raises OSError if all are taken."""
        blocks = (LAST_PORT - FIRST_PORT) // BLOCK_SIZE
        for step in range(blocks):
            self._guard_port = FIRST_PORT + (os.getpid() * 7 + step) % blocks * BLOCK_SIZE
            # Bound for the life of this process, without SO_REUSEADDR, so that no other process can bind it.
            self._guard = socket.socket()
            with suppress(OSError):
                self._guard.bind((LOOPBACK, self._guard_port))
                break
            self._guard.close()
        else:
            raise OSError("no free block of 100 ports between 10000 and 30000")
        self._taken_count = 0

    def take(self) -> int:
        """Return the next port of the block on which nothing listens."""
        while True:
            port = self._guard_port + 1 + self._taken_count % (BLOCK_SIZE - 1)
            self._taken_count += 1
            with suppress(OSError), socket.create_server((LOOPBACK, port)):
                return port


_block: PortBlock | None = None


def take_port() -> int:
    """Return a port of this process's block; raises OSError if all blocks are taken."""
    global _block
    if _block is None:
        _block = PortBlock()
    return _block.take()
