"""Protocols between the modules of this package, which avoid circular imports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol, TypeVar

from pebblepass.daemon.attempts import ReplySlot
from pebblepass.daemon.exchange import ValueSource
from pebblepass.multi_get import Batches, FairAllocator, HedgeBudget, ReplyAssembly

if TYPE_CHECKING:
    from pebblepass.daemon.router import RouterHost

CommandT_contra = TypeVar("CommandT_contra", contravariant=True)
KeyT = TypeVar("KeyT")


class StreamedReply(Protocol):
    """The interface of a streamed key's reply that its command uses."""

    source: ValueSource | None

    def write_buffered(self) -> None:
        """Write what is buffered: the entries ahead have been written."""


class KeyOwner(Protocol):
    """The interface of a command that the replies and attempts of its keys use."""

    assembly: ReplyAssembly
    is_paused: bool
    abandoned: set[int]

    @property
    def reply(self) -> ReplySlot:
        """The reply to the command."""

    def open_key(self, request_id: str) -> None:
        """Open the request of a key that has none, and create its attempt if the key was already sent."""

    def complete_key(self, number: int, entry: bytes) -> None:
        """Record a key's final answer."""

    def start_stream(self, number: int, reply: StreamedReply) -> None:
        """Record that a key's value is streamed."""

    def complete_stream(self, number: int) -> None:
        """Record that a streamed value is complete."""

    def fail_stream(self, number: int) -> None:
        """Handle a streamed value that was cut off before it was complete."""


class CommandRegistry(Protocol[CommandT_contra]):
    """The interface of all commands of a router that each of them uses."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""

    @property
    def host(self) -> RouterHost:
        """The running router."""

    @property
    def allocator(self) -> FairAllocator:
        """The allocation of keys in flight and of memory among commands."""

    @property
    def deadline_margin(self) -> int:
        """Nanoseconds before a command's deadline at which its reply is completed."""

    def open_key(self, multi_get: CommandT_contra, request_id: str) -> None:
        """Open the request of one of the command's keys, which has none."""

    def schedule(self, multi_get: CommandT_contra | None = None) -> None:
        """Run a turn soon; `multi_get`: it has changed."""

    def close(self, multi_get: CommandT_contra, failed: str) -> None:
        """End a command early: its unfinished keys fail for this reason, or are abandoned if it is empty."""

    def end_unanswered(self, multi_get: CommandT_contra, number: int, failed: str) -> None:
        """End one key without an answer from the decision module."""

    def cancel_unsent(self, multi_get: CommandT_contra) -> None:
        """Cancel a command's queued keys, and withdraw its batches."""

    def remove(self, multi_get: CommandT_contra) -> None:
        """Remove a command that is finished."""


class BatchRegistry(CommandRegistry[CommandT_contra], Protocol[CommandT_contra, KeyT]):
    """The interface of all commands of a router that a batch on a connection uses."""

    unopened: int
    """The number of keys that the decision module has received and that have no open request yet."""

    @property
    def batches(self) -> Batches[KeyT]:
        """The queued keys, and the batches in flight."""

    @property
    def hedges(self) -> HedgeBudget:
        """The budget for hedged requests."""

    def client_disconnected(self, multi_get: CommandT_contra) -> None:
        """Close a command whose client has disconnected."""
