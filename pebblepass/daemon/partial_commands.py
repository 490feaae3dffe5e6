"""Which of the long commands that are being received gives way when memory is short. No I/O, no clock."""

from __future__ import annotations

from typing import Protocol

SILENT_S = 0.1
"""Time without a byte after which a command gives way to one whose bytes are being received."""


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
