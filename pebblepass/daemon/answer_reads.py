"""Which connections to servers may go on reading long answers when memory is short. No I/O, no clock."""

from __future__ import annotations

from typing import Protocol

from pebblepass.daemon.memory_account import SMALL_BYTES, MemoryAccount


class ReadingConnection(Protocol):
    """A connection that buffers an answer until it is complete."""

    def pause_buffering(self) -> None:
        """Pause reading."""

    def resume_buffering(self) -> None:
        """Resume reading."""


class AnswerReads:
    """Counts the bytes of incomplete answers, and pauses connections while memory is short.

    The connection that was first to need memory may use what the account reserves, so that it can finish and
    all finish one after another. Small answers never wait.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._used: dict[ReadingConnection, int] = {}
        self._paused: dict[ReadingConnection, None] = {}
        account.on_release(self._resume)

    @property
    def used(self) -> int:
        """Bytes buffered by all connections."""
        return sum(self._used.values())

    @property
    def longest(self) -> int:
        """The longest answer that can be buffered, in bytes."""
        return self._account.reserved

    def is_paused(self, connection: ReadingConnection) -> bool:
        """Whether a connection is not read for want of memory."""
        return connection in self._paused

    def count(self, connection: ReadingConnection, size: int) -> None:
        """Record that a connection buffers `size` bytes now; pause it if it has to wait for memory."""
        if size <= SMALL_BYTES:
            self.release(connection)
            return
        before = self._used.get(connection, 0)
        self._used[connection] = size
        self._account.answers.take(size - before)
        if connection not in self._paused and not self._may_read(connection):
            self._paused[connection] = None
            connection.pause_buffering()

    def release(self, connection: ReadingConnection) -> None:
        """Release all memory of a connection, and resume the connections that may continue."""
        self._paused.pop(connection, None)
        used = self._used.pop(connection, 0)
        if used:
            self._account.answers.take(-used)

    def _resume(self) -> None:
        if not self._paused:
            return
        candidates = [next(iter(self._used), None)] if self._account.is_short else list(self._paused)
        for connection in candidates:
            if connection in self._paused and self._may_read(connection):
                del self._paused[connection]
                connection.resume_buffering()

    def _may_read(self, connection: ReadingConnection) -> bool:
        if not self._account.is_short:
            return True
        is_first = next(iter(self._used), connection) is connection
        return is_first and not self._account.is_exhausted
