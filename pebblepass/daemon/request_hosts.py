"""Interfaces that the server for clients requires of the parts that handle the clients' requests."""

from __future__ import annotations

from typing import Protocol

from pebblepass.daemon.reply import Reply
from pebblepass.wire.resp import Command


class PollTimes(Protocol):
    """Records when the event loop last polled its sockets."""

    sockets_polled_at: float
    """Loop time in seconds; every socket that was readable at this time has been read from since."""


class Host(Protocol):
    """Handles the clients' requests for a single key."""

    ready: bool

    @property
    def lag(self) -> PollTimes:
        """The lag of the event loop."""

    def request_arrived(self, command: Command, reply: Reply) -> None:
        """Handle a request that was received completely."""

    def client_disconnected(self, reply: Reply) -> None:
        """Drop the request behind this reply: its client has disconnected."""

    def record_rejection(self, command: Command, refused: str = "", failed: str = "") -> None:
        """Account for a request that was rejected before it was handled."""


class MultiKeyHost(Protocol):
    """Handles the clients' multi-get commands."""

    def command_arrived(self, words: list[bytes], reply: Reply, is_over_limit: bool) -> None:
        """Handle a command that was received completely; `is_over_limit`: reject its keys."""
