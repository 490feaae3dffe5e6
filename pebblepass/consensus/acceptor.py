"""The acceptor: the ballot that a voter has promised, and the value that it has accepted. No I/O, no clock.

Each method returns an answer and the record that must be synced to disk before the answer is sent. The state
in memory changes immediately.

`voter` decides which requests reach the acceptor.

| state | event | guard | next |
| --- | --- | --- | --- |
| promised a | prepare(b) | b > a | promised b; the answer has the accepted value, if any |
| promised a | prepare(b) | b <= a | promised a; the request is rejected with a's number |
| promised a | accept(b, v) | b >= a | promised b, accepted v |
| promised a | accept(b, v) | b < a | promised a; the request is rejected with a's number |
| any | the version is decided | - | nothing promised or accepted, for the next version |
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from pebblepass.consensus.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Rejected,
    Value,
)
from pebblepass.consensus.records import AcceptRecord, PromiseRecord

TAKEOVER_DELAY = 0.25  # fraction of a lease; shortest wait before another voter proposes an accepted value


class Vote(Struct, frozen=True):
    """A voter's answer, and the record that must be synced before the answer is sent."""

    answer: Promise | Accepted | Rejected
    record: PromiseRecord | AcceptRecord | None = None


class Acceptor:
    """The promise and the accepted value for the open version, which is the one after the decided version."""

    def __init__(self, now: int) -> None:
        self.promised: Ballot = NO_BALLOT
        self.accepted: Ballot | None = None
        self.value: Value | None = None
        self._last_progress_at = now

    def restore(self, promised: Ballot, accepted: Ballot | None, value: Value | None) -> None:
        """Restore the state from a record of the log."""
        self.promised, self.accepted, self.value = promised, accepted, value

    def prepare(self, request: Prepare) -> Vote:
        """Vote on a round for the open version."""
        if request.ballot <= self.promised:
            return Vote(Rejected(request.version, request.ballot, self.promised.number))
        self.promised = request.ballot
        answer = Promise(request.version, request.ballot, self.accepted, self.value)
        return Vote(answer, PromiseRecord(request.version, request.ballot))

    def accept(self, request: Accept, now: int) -> Vote:
        """Vote on a value for the open version."""
        self._last_progress_at = now
        if request.ballot < self.promised:
            return Vote(Rejected(request.version, request.ballot, self.promised.number))
        self.promised = self.accepted = request.ballot
        self.value = request.value
        record = AcceptRecord(request.version, request.ballot, request.value)
        return Vote(Accepted(request.version, request.ballot), record)

    def reset(self) -> None:
        """Clear the state for the next version, after the open one has been decided."""
        self.promised, self.accepted, self.value = NO_BALLOT, None, None

    def version_decided(self, now: int) -> None:
        """Clear the state for the next version, and record when the open one was decided."""
        self.reset()
        self._last_progress_at = now

    def takeover_at(self, name: str, voters: Mapping[str, str], lease_ns: int) -> int | None:
        """Return when this voter takes over the accepted value from its proposer; None: nothing is accepted.

        The delay grows with the position of the voter's name, so that the voters do not compete.
        """
        if self.value is None:
            return None
        order = sorted(voters)
        fraction = TAKEOVER_DELAY * (1 + order.index(name) / len(order))
        return self._last_progress_at + int(lease_ns * fraction)


def quorum(voters: Mapping[str, str], forming: bool) -> int:
    """Return how many votes decide a version: a majority, or all of them to form the fleet."""
    return len(voters) if forming else len(voters) // 2 + 1
