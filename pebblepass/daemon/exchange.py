"""One request to a server and what comes of it, whatever connection it runs on."""

from __future__ import annotations

from abc import abstractmethod
from typing import NamedTuple, Protocol

from pebblepass.decisions import CacheNote, Outcome
from pebblepass.wire.address import Address


class ExchangeConnection(Protocol):
    """The connection as the exchange on it sees it."""

    exchange: Exchange | None
    unsent: bool
    """Whether the kernel has not accepted every byte of the request."""

    retired: bool
    """Whether it takes no further exchange."""

    def close(self) -> None:
        """Abort the connection."""


class ValueSource(Protocol):
    """What a value over 64 KiB comes from, as its reader sees it."""

    def pause(self) -> None:
        """Stop reading more of the value."""

    def resume(self) -> None:
        """Go on reading."""


class Answer(NamedTuple):
    """What a server brought, as far as it did."""

    value: bytes | None = None
    note: CacheNote | None = None
    report: bytes | None = None


NOTHING = Answer()


class Exchange:
    """One command or HTTP request to a server and what comes of it; told of its end exactly once."""

    connection: ExchangeConnection | None = None
    is_over = False
    is_probe = False
    is_write = False
    carries_several = False
    """It stands for more than one request, each with an answer of its own."""
    array_expected = False
    """The answers come within one array, whose head is still to come."""
    connection_failed = False
    """Ended with a connection that had served before and broke without a byte of an answer, or with one that
    had no place beside this router's others, or was the first not to come up since its server was heard."""
    connection_rejected = False
    """Turned away with a new connection, the only one to this server."""

    @property
    def is_wanted(self) -> bool:
        """Whether it is to be sent still, once there is a connection for it."""
        return True

    def may_begin(self) -> bool:
        """Whether it is to be sent in this moment; one that is not may end itself in here."""
        return self.is_wanted

    def mark_unsent(self) -> None:
        """Take note that it waits for a connection, or for the kernel to take its last byte."""

    @abstractmethod
    def request_bytes(self, address: Address) -> bytes:
        """Write the request down; called when the connection for it is at hand."""

    @abstractmethod
    def ended(self, outcome: Outcome, answer: Answer) -> None:
        """Take the end."""

    def written(self) -> None:
        """Take note that the kernel has taken the request's last byte."""

    def value_started(self, length: int, source: ValueSource) -> None:
        """Take the start of a value over 64 KiB."""

    def value_received(self, data: bytes) -> None:
        """Take a part of it."""

    def array_started(self, count: int) -> None:
        """Take the head of the array of answers; -1: an error line stands in its place."""

    def record_answer(self, outcome: Outcome, answer: Answer) -> bool:
        """Take one answer of several; False: it is the last, and `ended` takes it."""
        return False

    @property
    def expected_hits(self) -> int:
        """How many of the next answers need no more than their value's bytes, where they are hits."""
        return 0

    def record_hits(self, entries: list[bytes]) -> bool:
        """Take so many of those answers, each its value as a bulk string; whether that was the last."""
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer = NOTHING) -> None:
        """End it, unless it has ended."""
        if not self.is_over:
            self.is_over, self.connection = True, None
            self.ended(outcome, answer)

    def withdraw(self) -> None:
        """Nobody wants it any more: end it, unless its last byte is with the kernel.

        What the kernel has taken whole can't be taken back, and its answer still tells of its server. What it
        has taken in part is never begun by its server: the connection's end takes it back.
        """
        if self.connection is None or self.connection.unsent:
            self.give_up(Outcome.SUPERSEDED)

    def give_up(self, outcome: Outcome) -> None:
        """End it before its answer has come."""
        connection = self.connection
        if connection is not None:
            connection.exchange = None
            # Danger: one left open holds a place for as long as its server is silent, and the server
            # goes on taking the attempt for one that is out.
            connection.close()
        self.end(outcome)
