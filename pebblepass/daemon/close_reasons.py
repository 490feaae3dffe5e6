"""Why the router closes clients' connections, and how often. No I/O, no clock."""

from __future__ import annotations

import enum


class CloseReason(enum.Enum):
    """Why a client's connection was closed."""

    CLIENT_LEFT = "the client has closed or reset it"
    IDLE = "idle for too long"
    EVICTED = "evicted for a new connection or a lower limit"
    NO_CAPACITY = "no descriptor for it"
    STALLED = "its client reads no replies"
    LAST_REPLY = "closed after its last reply"
    INCOMPLETE_VALUE = "a streamed value could not be completed"
    HANDED_OVER = "another process serves it"
    FAULT = "an exception while its commands were handled"
    EXIT = "the router exits"


class CloseCounts:
    """Counts closed connections by reason."""

    def __init__(self) -> None:
        self._counts = dict.fromkeys(CloseReason, 0)

    def record(self, reason: CloseReason) -> None:
        """Count one closed connection."""
        self._counts[reason] += 1

    def lines(self) -> list[str]:
        """Return one line for each reason, its name and its count."""
        return [f"closed.{reason.name.lower()} {count}" for reason, count in self._counts.items()]
