"""Fair allocation of keys in flight and of reply memory among the multi-get commands of a router.

A command's client is reading or stalled:

| state   | event             | next    | effect                                                          |
| ------- | ----------------- | ------- | --------------------------------------------------------------- |
| reading | `client_stalled`  | stalled | no more keys are allocated to the command                       |
| stalled | `client_stalled`  | stalled | none: the time of the first stall stays                         |
| stalled | `client_resumed`  | reading | keys are allocated to the command again                         |
| stalled | `command_to_shed` | stalled | proposed after `stall_timeout`, if others lack the memory       |
| either  | `remove`          | removed | its keys in flight and its memory are free for others           |
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from pebblepass.multi_get.reply_assembly import ReplyAssembly


@dataclass(frozen=True, slots=True)
class AllocationBounds:
    """Upper bounds over all commands of a router, and for one."""

    keys_in_flight: int = 512
    """Keys in flight, over all commands."""
    keys_in_flight_per_command: int = 128
    memory: int = 16 << 20
    """Bytes reserved and buffered, over all commands."""
    memory_per_command: int = 8 << 20
    """Bytes reserved and buffered by one command."""
    value_bytes: int = 64 << 10
    """Bytes reserved for a key in flight."""
    chunk: int = 16
    """Keys requested at a time, after which single requests are served again."""
    commands: int = 256
    """Commands in progress; further ones are rejected."""
    stall_timeout: int = 1_000_000_000
    """Nanoseconds for which a client may read nothing while others lack the memory of its reply."""


class Allocation(NamedTuple):
    """The keys that one command may request now."""

    command: ReplyAssembly
    numbers: list[int]


class FairAllocator:
    """The commands in progress. The one with the fewest keys in flight is served first (max-min fairness)."""

    def __init__(self, bounds: AllocationBounds) -> None:
        self.bounds = bounds
        self._stalled_since: dict[ReplyAssembly, int | None] = {}  # None: the client reads

    def __len__(self) -> int:
        """Return the number of commands in progress."""
        return len(self._stalled_since)

    @property
    def keys_in_flight(self) -> int:
        """Keys in flight, over all commands."""
        return sum(command.in_flight for command in self._stalled_since)

    @property
    def memory(self) -> int:
        """Bytes reserved and buffered, over all commands."""
        return sum(command.memory for command in self._stalled_since)

    def add(self, command: ReplyAssembly) -> bool:
        """Add a command; return False if there are too many."""
        if len(self._stalled_since) >= self.bounds.commands:
            return False
        self._stalled_since[command] = None
        return True

    def remove(self, command: ReplyAssembly) -> None:
        """Remove a command that has ended."""
        self._stalled_since.pop(command, None)

    def client_stalled(self, command: ReplyAssembly, now: int) -> None:
        """Record that a command's client does not read its reply, which stops only that command."""
        if self._stalled_since.get(command, 0) is None:
            self._stalled_since[command] = now

    def client_resumed(self, command: ReplyAssembly) -> None:
        """Record that a command's client reads its reply again."""
        if command in self._stalled_since:
            self._stalled_since[command] = None

    def is_starved(self) -> bool:
        """Return whether keys are pending while none is in flight whose completion would free capacity."""
        return not self.keys_in_flight and any(
            command.pending for command, since in self._stalled_since.items() if since is None
        )

    def command_to_shed(self, now: int) -> ReplyAssembly | None:
        """Return the command with the most memory among those stalled for too long, if others lack memory."""
        bounds = self.bounds
        if self.memory + bounds.value_bytes <= bounds.memory or not self.is_starved():
            return None
        stalled = [
            command
            for command, since in self._stalled_since.items()
            if since is not None and now - since >= bounds.stall_timeout
        ]
        return max(stalled, key=lambda command: command.memory, default=None)

    def allocate(self, capacity: int) -> Allocation | None:
        """Allocate a chunk of at most `capacity` keys to one command; None: no command may request more."""
        bounds = self.bounds
        ready = [
            command for command, since in self._stalled_since.items() if since is None and command.pending
        ]
        if not ready:
            return None
        limit = min(
            bounds.chunk,
            capacity,
            bounds.keys_in_flight - self.keys_in_flight,
            (bounds.memory - self.memory) // max(bounds.value_bytes, 1),
        )
        if limit <= 0:
            return None
        # The whole chunk goes to one command: keys that are requested together can be batched.
        for command in sorted(ready, key=lambda command: command.in_flight):
            count = min(limit, self._limit_of(command))
            if count > 0:
                return Allocation(command, command.take_pending(count))
        return None

    def _limit_of(self, command: ReplyAssembly) -> int:
        bounds = self.bounds
        within_memory = (bounds.memory_per_command - command.memory) // max(bounds.value_bytes, 1)
        # One key may always be in flight: the command's other memory is released as its own client reads.
        within_memory = max(within_memory, 0 if command.in_flight else 1)
        return min(command.pending, bounds.keys_in_flight_per_command - command.in_flight, within_memory)
