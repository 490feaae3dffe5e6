"""Commands of one client that are left unparsed until it is their turn, and there is memory for them."""

from __future__ import annotations

import asyncio
import logging
import weakref
from collections.abc import Sized
from typing import Protocol

from pebblepass.daemon.close_reasons import CloseReason
from pebblepass.daemon.command_turns import CommandTurns
from pebblepass.daemon.memory_account import MemoryAccount
from pebblepass.wire.resp import CommandReader

NS_PER_S = 10**9

log = logging.getLogger("pebblepass")


class CommandConnection(Protocol):
    """The interface of a client's connection that its deferred commands use."""

    reader: CommandReader
    blocked: bool
    closed: bool
    unread_ns: int

    @property
    def replies(self) -> Sized:
        """The replies that are not written completely."""

    def accept_command(self, words: list[bytes], is_deferred: bool) -> None:
        """Add the reply of a command, and dispatch it."""

    def commands_parsed(self, starts_command: bool) -> None:
        """Handle what is received behind the last command; `starts_command`: a command starts there."""

    def update_reading(self) -> None:
        """Pause or resume reading, depending on whether another command can be accepted now."""

    def flush(self) -> None:
        """Start the next reply; without one, close the connection or hand it over if that is pending."""

    def abort(self, reason: CloseReason) -> None:
        """Abort the connection."""


class DeferredCommands:
    """Dispatches what the reader of one connection has left unparsed."""

    __slots__ = ("_bytes", "_connection", "_loop", "_memory", "_received_at", "_turns", "_unread_ns")

    def __init__(
        self,
        connection: CommandConnection,
        turns: CommandTurns,
        memory: MemoryAccount,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        # Warning: with a reference to each other, closed connections and their bytes would stay in
        # memory until the garbage collector finds them.
        self._connection: CommandConnection = weakref.proxy(connection)
        self._turns, self._memory, self._loop = turns, memory, loop
        self._bytes = 0  # of the memory account
        self._received_at, self._unread_ns = 0.0, 0

    @property
    def has_deferred(self) -> bool:
        """Whether commands wait; those of a client that does not read its replies wait until it does."""
        return self._connection.reader.has_unparsed and not self._connection.blocked

    @property
    def needs_memory(self) -> bool:
        """Whether the next command has to wait for reply memory, as a reply is ahead of it."""
        return bool(self._connection.replies)

    def received(self, now: float, unread_ns: int) -> None:
        """Wait for a turn; the commands were read at the loop time `now`, see `Reply.unread_ns`."""
        self._received_at, self._unread_ns = now, unread_ns
        self.wait()

    def wait(self) -> None:
        """Count the unparsed bytes, and wait for a turn if commands wait."""
        reader = self._connection.reader
        self._count_bytes(reader.buffered_bytes if reader.has_unparsed else 0)
        if self.has_deferred:
            self._turns.wait(self)
        else:
            self._turns.stop_waiting(self)

    def dispatch_deferred(self) -> bool:
        """Dispatch the next command; returns whether there was one."""
        if not self.has_deferred:
            return False
        connection = self._connection
        waited_s = self._loop.time() - self._received_at
        connection.unread_ns = self._unread_ns + int(waited_s * NS_PER_S)
        commands = connection.reader.take(1)
        for words in commands:
            try:
                connection.accept_command(words, is_deferred=True)
            except Exception:
                log.exception("handling a command from a client failed: connection aborted")
                connection.abort(CloseReason.FAULT)
        if not connection.closed:
            self.wait()
            connection.commands_parsed(starts_command=True)
            connection.update_reading()
            if not (commands or connection.replies or connection.reader.has_unparsed):
                connection.flush()
        return bool(commands)

    def discard(self) -> None:
        """Release the memory: the client has disconnected."""
        self._count_bytes(0)
        self._turns.stop_waiting(self)

    def _count_bytes(self, size: int) -> None:
        before, self._bytes = self._bytes, size
        if size != before:
            self._memory.commands.take(size - before)
