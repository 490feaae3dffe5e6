"""A batch: keys of one command that are sent to one server together."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

QueuedKey = tuple[bool, int, Item, int, int]
"""A queued key: whether it is sent alone, its position in the command, the key, its bytes, its timeout in ns.

A plain tuple for speed, as one is made for every key of every command.
"""


@dataclass(frozen=True, slots=True)
class BatchBounds:
    """Upper bounds of one batch, and of one server's batches in flight."""

    keys: int = 32
    """Keys of a batch that is sent as one multi-get command."""
    pipelined: int = 8
    """Keys of a batch that is sent as pipelined single reads on one connection."""
    key_bytes: int = 16 << 10
    """Bytes of all keys of a batch."""
    in_flight_per_server: int = 3
    """Batches in flight at one server; stalled ones are not counted."""


class StallCheck(NamedTuple, Generic[Item]):
    """The result of a check for head-of-line blocking."""

    retry_after: int
    """Nanoseconds until the next check; 0: the batch is stalled."""
    unblocked: list[Item]
    """The keys behind the unresponsive one, which are removed from the batch."""


class Batch(Generic[Item]):
    """Keys of one command that are sent to one server together, and answered in their order."""

    __slots__ = (  # noqa: RUF023
        "server", "owner", "items", "sent_at", "as_command", "answered", "last_answer_at",
        "attempt_timeout", "hedge_delay", "stall_timeout", "is_stalled",
    )  # fmt: skip

    def __init__(
        self, server: str, owner: Hashable, items: list[Item], sent_at: int, as_command: bool = False
    ) -> None:
        self.server, self.owner, self.items, self.sent_at = server, owner, items, sent_at
        self.as_command = as_command
        """Whether it is sent as one multi-get command, not as pipelined single reads."""
        self.answered = 0
        """The number of keys answered so far, in order from the first."""
        self.last_answer_at = sent_at
        """When the last answer arrived, in nanoseconds; before the first, when the request was written."""
        self.is_stalled = False
        """Whether the first unanswered key is unresponsive, and those behind it have left the batch."""
        self.attempt_timeout = 0
        """Nanoseconds after which the unanswered keys have timed out; 0: only at the command's deadline."""
        self.hedge_delay = 0
        """Nanoseconds after which the batch is slow by its server's usual latency; 0: that is not known."""
        self.stall_timeout = 0
        """Nanoseconds without an answer after which the first unanswered key blocks those behind it."""

    @property
    def unanswered(self) -> list[Item]:
        """The keys that are not answered yet, in order."""
        return self.items[self.answered :]
