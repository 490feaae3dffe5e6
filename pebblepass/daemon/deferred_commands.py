"""Commands of one client that are left unparsed until it is their turn, and there is memory for them."""

from __future__ import annotations

import asyncio
import logging
import weakref
from collections.abc import Sized
from typing import Protocol

from msgspec import Struct

from pebblepass.daemon.client_state import ClientState
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
    def is_full(self) -> bool:
        """Whether it has so many open commands that it is not read any further."""

    @property
    def replies(self) -> Sized:
        """The replies that are not written completely."""

    def accept_command(
        self, words: list[bytes], is_deferred: bool = False, may_be_long: bool = True, is_wanted: bool = True
    ) -> None:
        """Add the reply of a command, and dispatch it, or refuse it if it is not wanted."""

    def client_state(self) -> ClientState:
        """Return whether the client is connected."""

    def commands_parsed(self, starts_command: bool) -> None:
        """Handle what is received behind the last command; `starts_command`: a command starts there."""

    def update_reading(self) -> None:
        """Pause or resume reading, depending on whether another command can be accepted now."""

    def flush(self) -> None:
        """Start the next reply; without one, close the connection or hand it over if that is pending."""

    def abort(self, reason: CloseReason) -> None:
        """Abort the connection."""


class _ReceivedPart(Struct):
    """Unparsed bytes that were read at once."""

    size: int
    received_at: float
    unread_ns: int
    is_read_ahead: bool


class DeferredCommands:
    """Dispatches what the reader of one connection has left unparsed."""

    __slots__ = ("_bytes", "_connection", "_loop", "_memory", "_part_bytes", "_parts", "_turns")

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
        self._parts: list[_ReceivedPart] = []  # of the unparsed bytes
        self._part_bytes = 0

    @property
    def has_deferred(self) -> bool:
        """Whether commands wait for a turn; those of a client that does not read wait until it does."""
        connection = self._connection
        return connection.reader.has_unparsed and not (connection.blocked or self._is_beyond_pipeline)

    @property
    def _is_beyond_pipeline(self) -> bool:
        """Whether the next command was read only to find out whether the client is connected."""
        return self._connection.is_full and bool(self._parts) and self._parts[0].is_read_ahead

    @property
    def needs_memory(self) -> bool:
        """Whether the next command has to wait for reply memory, as a reply is ahead of it."""
        return bool(self._connection.replies)

    def received(self, size: int, now: float, unread_ns: int, is_read_ahead: bool = False) -> None:
        """Wait for a turn; the last `size` unparsed bytes were read at the loop time `now`.

        `unread_ns`: see `Reply.unread_ns`; `is_read_ahead`: no command of them may be dispatched while the
        connection is full.
        """
        self._parts.append(_ReceivedPart(size, now, unread_ns, is_read_ahead))
        self._part_bytes += size
        self._remove_parsed_parts()
        self.wait()

    def _remove_parsed_parts(self) -> _ReceivedPart | None:
        """Remove the parts that are parsed; return the one with the last parsed byte, if any was."""
        parsed = self._part_bytes - self._connection.reader.buffered_bytes
        last: _ReceivedPart | None = None
        while parsed > 0 and self._parts:
            last = self._parts[0]
            removed = min(parsed, last.size)
            last.size -= removed
            self._part_bytes -= removed
            parsed -= removed
            if not last.size:
                del self._parts[0]
        return last

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
        state = connection.client_state()
        if state is ClientState.DISCONNECTED:
            self._turns.stop_waiting(self)
            return False
        commands = connection.reader.take(1)
        part = self._remove_parsed_parts()
        if part is not None:
            connection.unread_ns = part.unread_ns + int((self._loop.time() - part.received_at) * NS_PER_S)
        is_wanted = state is ClientState.CONNECTED
        for words in commands:
            try:
                connection.accept_command(words, is_deferred=True, is_wanted=is_wanted)
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
        self._parts.clear()
        self._part_bytes = 0
        self._count_bytes(0)
        self._turns.stop_waiting(self)

    def _count_bytes(self, size: int) -> None:
        before, self._bytes = self._bytes, size
        if size != before:
            self._memory.commands.take(size - before)
