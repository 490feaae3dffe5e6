"""One key of a command, from the time at which it is requested."""

from __future__ import annotations

from pebblepass.daemon.attempts import Attempt, CarryingBatch
from pebblepass.daemon.multi_get.interfaces import KeyOwner


class KeyAttempt:
    """The minimal state of a requested key, which suffices for a hit; any other outcome creates an attempt.

    Nearly all keys are hits, and a request and an attempt for each would cost as much as a single read.
    """

    __slots__ = ("attempt", "batch", "multi_get", "number", "request_id", "server")

    def __init__(
        self, multi_get: KeyOwner, number: int, request_id: str, attempt: Attempt | None = None
    ) -> None:
        self.multi_get, self.number, self.request_id = multi_get, number, request_id
        self.server = ""
        """The server that the decision module has chosen; empty if none is, or if the request is open."""
        self.batch: CarryingBatch | None = None
        self.attempt = attempt

    @property
    def is_wanted(self) -> bool:
        """Whether its request has no final answer yet."""
        return self.attempt is None or self.attempt.is_wanted

    @property
    def streaming(self) -> bool:
        """Whether its value is being streamed."""
        return self.attempt is not None and self.attempt.streaming

    def begin(self, batch: CarryingBatch) -> None:
        """Mark the key as sent in this batch."""
        self.batch = batch
        if self.attempt is not None:
            self.attempt.begin(batch)

    def ensure_attempt(self) -> Attempt:
        """Return the key's attempt; create it, and its request, if there is none yet."""
        if self.attempt is None:
            self.multi_get.open_key(self.request_id)
        assert self.attempt is not None
        return self.attempt
