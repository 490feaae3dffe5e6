"""The interface of multi-gets that the decision module's host uses."""

from __future__ import annotations

from typing import Any, Protocol

from pebblepass.daemon.attempts import Attempt, OpenRequest
from pebblepass.decisions import SendBatch


class MultiGetHost(Protocol):
    """Handles the decisions on keys of multi-gets; see `daemon.multi_get`."""

    unopened: int
    """Number of keys that the decision module has received and that have no OpenRequest yet."""

    def open_ids(self) -> list[str]:
        """Return the request ids of all keys without a final answer."""

    def owns(self, request_id: str) -> bool:
        """Whether this is the request id of a key of an open command."""

    def open_request(self, request_id: str) -> OpenRequest | None:
        """Make the OpenRequest of a key that has none; None if there is no such key."""

    def send_batch(self, action: SendBatch) -> None:
        """Queue the keys of a batch for the server that the decision module has selected."""

    def send_single(self, attempt: Attempt, server: str, timeout: int) -> None:
        """Queue a single key, such as a retry, for the selected server; `timeout` is in nanoseconds."""

    def client_disconnected(self, multi_get: Any) -> None:
        """Drop the command whose client has disconnected; `multi_get` is the `request` of its reply."""

    def server_left(self, server: str) -> None:
        """Cancel the keys that are queued for a server that drains or is gone."""

    def end_all(self) -> None:
        """Reply to every command now, with the answers received so far."""

    def abandon(self) -> None:
        """Drop every command without a reply: the router stops."""
