"""One request to a server and the handling of its answer, independent of the kind of connection."""

from __future__ import annotations

from abc import abstractmethod
from typing import NamedTuple, Protocol

from pebblepass.decisions import CacheNote, Outcome
from pebblepass.wire.address import Address


class ExchangeConnection(Protocol):
    """The connection as its exchange sees it."""

    exchange: Exchange | None
    unsent: bool
    """Whether the kernel has not accepted every byte of the request."""

    retired: bool
    """Whether it can be used for no further exchange."""

    @property
    def waits_for_memory(self) -> bool:
        """Whether it is not read for want of memory, which is no fault of its server."""

    def close(self) -> None:
        """Abort the connection."""


class ValueSource(Protocol):
    """The source of a value over 64 KiB, as its reader sees it."""

    def pause(self) -> None:
        """Pause reading the value."""

    def resume(self) -> None:
        """Resume reading the value."""


class Answer(NamedTuple):
    """The parts of a server's answer that were received."""

    value: bytes | None = None
    note: CacheNote | None = None
    report: bytes | None = None


NOTHING = Answer()


class Exchange:
    """One command or HTTP request to a server; `handle_outcome` is called exactly once."""

    connection: ExchangeConnection | None = None
    is_over = False
    is_probe = False
    is_write = False
    carries_several = False
    """Whether it carries several requests, each with an answer of its own."""
    array_expected = False
    """Whether the answers are elements of one array whose header has not been received."""
    connection_failed = False
    """Whether it ended for a fault of its connection that does not count in the server's health statistics.

    The connection had served before and broke without a byte of an answer, or was rejected while this router
    had other connections to the server, or was the first dial to time out since the server last responded.
    """
    connection_rejected = False
    """Whether it was rejected together with a new connection, the only one to this server."""

    @property
    def is_wanted(self) -> bool:
        """Whether it should still be sent once there is a connection for it."""
        return True

    def may_begin(self) -> bool:
        """Whether it should be sent now; one that should not may end itself in this call."""
        return self.is_wanted

    def mark_unsent(self) -> None:
        """Record that it waits for a connection, or for the kernel to accept its last byte."""

    @abstractmethod
    def request_bytes(self, address: Address) -> bytes:
        """Encode the request; called when there is a connection for it."""

    @abstractmethod
    def handle_outcome(self, outcome: Outcome, answer: Answer) -> None:
        """Handle the outcome, and the answer if there is one."""

    def written(self) -> None:
        """Called once the kernel has accepted the request's last byte."""

    def value_started(self, length: int, source: ValueSource) -> None:
        """Handle the start of a value over 64 KiB, of `length` bytes."""

    def value_received(self, data: bytes) -> None:
        """Handle a part of the value that has started."""

    def array_started(self, count: int) -> None:
        """Handle the header of the array of answers; `count` is -1 for an error line in its place."""

    def record_answer(self, outcome: Outcome, answer: Answer) -> bool:
        """Handle one answer of several; returns False if it is the last, which `handle_outcome` handles."""
        return False

    @property
    def expected_hits(self) -> int:
        """How many of the next answers may be passed to `record_hits` if they are hits."""
        return 0

    def record_hits(self, entries: list[bytes]) -> bool:
        """Handle several hits, each its value as a bulk string; returns whether the last was among them."""
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer = NOTHING) -> None:
        """End it with this outcome, unless it has ended before."""
        if not self.is_over:
            self.is_over, self.connection = True, None
            self.handle_outcome(outcome, answer)

    def withdraw(self) -> None:
        """End it as superseded, unless the kernel has accepted its last byte.

        A request that was sent completely may be executed, and its answer still counts in the server's health
        statistics. One that was sent in part is never executed, as its connection is closed.
        """
        if self.connection is None or self.connection.unsent:
            self.give_up(Outcome.SUPERSEDED)

    def give_up(self, outcome: Outcome) -> None:
        """End it before its answer is received, and close its connection."""
        connection = self.connection
        if connection is not None:
            connection.exchange = None
            # Warning: left open, it would count as busy for as long as its server is unresponsive, and the
            # server would continue to work on the attempt.
            connection.close()
        self.end(outcome)
