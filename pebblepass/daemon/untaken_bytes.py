"""Bytes that this machine's kernel has accepted for a peer, and that the peer's kernel has not taken."""

from __future__ import annotations

import fcntl
import struct
import termios

_SIZE = struct.Struct("i")


def untaken_bytes(descriptor: int) -> int:
    """Return the bytes that wait in the kernel's send queue; 0 if the socket is closed, or if unknown."""
    try:
        (untaken,) = _SIZE.unpack(fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_SIZE.size)))
    except (OSError, ValueError):
        return 0
    return int(untaken)
