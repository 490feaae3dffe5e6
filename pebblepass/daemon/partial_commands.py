"""Which of the long commands that are being received gives way when memory is short. No I/O, no clock."""

from __future__ import annotations

import logging
from typing import Protocol

from pebblepass.daemon.memory_account import SMALL_BYTES, MemoryAccount
from pebblepass.wire.resp import CommandReader

SILENT_S = 0.1
"""Time without a byte after which a command gives way to one whose bytes are being received."""

log = logging.getLogger("pebblepass")


class PartialCommand(Protocol):
    """A connection whose current command is long and incomplete."""

    last_used_at: float
    """Loop time of its last bytes."""

    def discard_partial_command(self) -> None:
        """Drop what is received of the command; it will be refused once it is complete."""


class PartialCommands:
    """The long incomplete commands, the one whose last bytes are the oldest first."""

    def __init__(self) -> None:
        self._commands: dict[PartialCommand, None] = {}

    def __len__(self) -> int:
        return len(self._commands)

    def received(self, command: PartialCommand) -> None:
        """Record that bytes of a command were received."""
        self._commands.pop(command, None)
        self._commands[command] = None

    def remove(self, command: PartialCommand) -> None:
        """Remove a command that is complete, discarded, or whose client has left."""
        self._commands.pop(command, None)

    def shed(self, now: float) -> None:
        """Discard the command that has been silent for the longest; without a silent one, the newest."""
        if not self._commands:
            return
        oldest = next(iter(self._commands))
        is_silent = now - oldest.last_used_at >= SILENT_S
        victim = oldest if is_silent else next(reversed(self._commands))
        del self._commands[victim]
        victim.discard_partial_command()


class CommandInProgress:
    """The command that one connection is receiving, counted in the account once it is long."""

    __slots__ = ("_commands", "_memory", "_reader", "last_used_at", "size")

    def __init__(self, reader: CommandReader, memory: MemoryAccount, commands: PartialCommands) -> None:
        self._reader, self._memory, self._commands = reader, memory, commands
        self.size = 0
        """Bytes that are counted; 0 for a short command."""
        self.last_used_at = 0.0

    def received(self, now: float) -> None:
        """Count what was received of it until now; if memory is short, it or another one is discarded."""
        held = self._reader.held_bytes
        if held <= SMALL_BYTES:
            return
        self.last_used_at = now
        self._count(held)
        self._commands.received(self)
        while self._memory.free < 0 and len(self._commands):
            self._commands.shed(now)

    def discard_partial_command(self) -> None:
        """Drop what is received of it; it will be refused once it is complete."""
        self._reader.discard_word()
        self._count(self._reader.held_bytes)
        log.debug("memory is short: a command is refused once it is complete")

    def release(self) -> None:
        """Release its memory: it is complete, or its client has left."""
        if self.size:
            self._count(0)
            self._commands.remove(self)

    def _count(self, size: int) -> None:
        before, self.size = self.size, size
        if size != before:
            self._memory.commands.take(size - before)
