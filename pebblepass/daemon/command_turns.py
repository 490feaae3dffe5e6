"""Whose turn it is among the connections with commands that are received but not parsed. No I/O, no clock.

Connections take turns, one command each. In one iteration of the event loop only a few commands are
dispatched, so that no client's commands delay the others, however many it sends and however cheap they are.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pebblepass.daemon.memory_account import MemoryAccount

MAX_COMMANDS_PER_READ = 16
"""Commands that a connection dispatches as it receives them, before it has to wait for its turn."""
MAX_DISPATCHES_PER_TURN = 64
"""Commands of waiting connections that are dispatched in one iteration of the event loop."""


class DeferringConnection(Protocol):
    """A connection with commands that wait."""

    def dispatch_deferred(self) -> bool:
        """Dispatch the next command; returns whether there was one."""

    @property
    def has_deferred(self) -> bool:
        """Whether commands may wait."""

    @property
    def needs_memory(self) -> bool:
        """Whether the next command has to wait for memory, as a reply is ahead of it."""


class CommandTurns:
    """Gives each waiting connection its turn; those that need memory wait until there is enough."""

    def __init__(
        self,
        memory: MemoryAccount,
        schedule: Callable[[Callable[[], None]], object],
        on_shortage: Callable[[], None],
    ) -> None:
        """`schedule` calls back soon; `on_shortage` is called when a shortage of memory begins or ends."""
        self._memory, self._schedule, self._on_shortage = memory, schedule, on_shortage
        self._waiting: dict[DeferringConnection, None] = {}
        self._short: dict[DeferringConnection, None] = {}
        self._is_scheduled = False
        memory.on_release(self._memory_released)

    @property
    def is_short(self) -> bool:
        """Whether commands wait for memory."""
        return bool(self._short)

    def commands_per_read(self, is_next: bool) -> int:
        """Return how many commands may be dispatched as they are received; `is_next`: no reply is ahead.

        While connections wait for their turn or for memory, only a command whose reply is next is dispatched.
        """
        if self._waiting or self._short:
            return int(is_next)
        commands = self._memory.free_answers + is_next
        return commands if commands < MAX_COMMANDS_PER_READ else MAX_COMMANDS_PER_READ

    def wait(self, connection: DeferringConnection) -> None:
        """Let a connection with deferred commands wait for its turn."""
        if connection in self._short and connection.needs_memory:
            return
        self._remove_short(connection)
        self._waiting[connection] = None
        self._schedule_turn()

    def stop_waiting(self, connection: DeferringConnection) -> None:
        """Remove a connection that has no deferred command."""
        self._waiting.pop(connection, None)
        self._remove_short(connection)

    def _remove_short(self, connection: DeferringConnection) -> None:
        if connection in self._short:
            del self._short[connection]
            if not self._short:
                self._on_shortage()

    def _add_short(self, connection: DeferringConnection) -> None:
        was_short = self.is_short
        self._short[connection] = None
        if not was_short:
            self._on_shortage()

    def _memory_released(self) -> None:
        if self._short:
            self._schedule_turn()

    def _schedule_turn(self) -> None:
        # Warning: not in this call, as a dispatch may send a reply, which releases memory.
        if not self._is_scheduled:
            self._is_scheduled = True
            self._schedule(self._take_turn)

    def _take_turn(self) -> None:
        self._is_scheduled = False
        for _ in range(MAX_DISPATCHES_PER_TURN):
            connection = self._next_connection()
            if connection is None:
                return
            connection.dispatch_deferred()
            if connection.has_deferred and connection not in self._short:
                self._waiting[connection] = None  # behind the others
        self._schedule_turn()

    def _next_connection(self) -> DeferringConnection | None:
        """Remove and return the next connection whose command can be dispatched."""
        has_memory = self._memory.free_answers > 0
        if has_memory and self._short:
            connection = next(iter(self._short))
            self._remove_short(connection)
            return connection
        while self._waiting:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            if has_memory or not connection.needs_memory:
                return connection
            self._add_short(connection)
        return None
