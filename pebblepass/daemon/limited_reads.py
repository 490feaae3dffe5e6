"""Connections that read at most a few kilobytes at a time while memory is short."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

READ_BYTES = 64 << 10
"""Maximum length of one read."""
SHORT_OF_MEMORY_READ_BYTES = 4 << 10
"""The same while memory is short."""

# One buffer for all connections of the process: what is read is copied before the next read.
_BUFFER = memoryview(bytearray(READ_BYTES))
_SHORT_BUFFER = _BUFFER[:SHORT_OF_MEMORY_READ_BYTES]


class LimitedReads(asyncio.BufferedProtocol):
    """A protocol whose subclass receives the bytes by `data_received`."""

    @property
    @abstractmethod
    def is_short_of_memory(self) -> bool:
        """Whether to read little at a time."""

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read; called by the event loop."""
        return _SHORT_BUFFER if self.is_short_of_memory else _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read; called by the event loop."""
        self.data_received(bytes(_BUFFER[:nbytes]))
