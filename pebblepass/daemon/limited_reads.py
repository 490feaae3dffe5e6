"""Connections that read at most a few kilobytes at a time while memory is short."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

from pebblepass.daemon.memory_account import MemoryAccount

READ_BYTES = 128 << 10
"""Maximum length of one read."""
SHORT_OF_MEMORY_READ_BYTES = 4 << 10
"""The same while memory is short."""

# One buffer for all connections of the process: what is read is copied before the next read.
_BUFFER = memoryview(bytearray(READ_BYTES))
_SHORT_BUFFER = _BUFFER[:SHORT_OF_MEMORY_READ_BYTES]


class LimitedReads(asyncio.BufferedProtocol):
    """A protocol whose subclass receives the bytes by `data_received`."""

    def __init__(self, memory: MemoryAccount) -> None:
        """`memory`: the account that tells whether memory is short."""
        self._memory = memory

    @property
    def keeps_what_it_reads(self) -> bool:
        """Whether the bytes of the next read take memory."""
        return True

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read; called by the event loop."""
        return _SHORT_BUFFER if self._memory.is_short and self.keeps_what_it_reads else _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read; called by the event loop."""
        self.data_received(bytes(_BUFFER[:nbytes]))
