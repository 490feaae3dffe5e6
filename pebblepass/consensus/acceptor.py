"""A voter's promises: the rounds in which it votes, and the value that it has accepted. No I/O, no clock.

A promise is announced only once it is on the disk: each method returns the record to write, and the answer
that may be sent once it is synced. In memory a promise holds from when it is made.

Which requests reach it is up to `voter`.

| state | event | guard | next |
| --- | --- | --- | --- |
| promised a | prepare(b) | b > a | promised b; report what was accepted |
| promised a | prepare(b) | b <= a | promised a; reject, and report a |
| promised a | accept(b, v) | b >= a | promised b, accepted v |
| promised a | accept(b, v) | b < a | promised a; reject, and report a |
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

TAKEOVER_DELAY = 0.25  # fraction of a lease until another voter proposes an accepted value


class Vote(Struct, frozen=True):
    """A voter's answer, and the record that must be synced before it is sent."""

    answer: Promise | Accepted | Rejected
    record: PromiseRecord | AcceptRecord | None = None


class Acceptor:
    """The promise and the accepted value for the one version that is open."""

    def __init__(self, now: int) -> None:
        self.promised: Ballot = NO_BALLOT
        self.accepted: Ballot | None = None
        self.value: Value | None = None
        self._last_progress_at = now

    def restore(self, promised: Ballot, accepted: Ballot | None, value: Value | None) -> None:
        """Restore what a record holds."""
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
        """Open the next version: the one that was open has been decided."""
        self.promised, self.accepted, self.value = NO_BALLOT, None, None

    def version_decided(self, now: int) -> None:
        """Open the next version, and note the time of its decision."""
        self.reset()
        self._last_progress_at = now

    def takeover_at(self, name: str, voters: Mapping[str, str], lease_ns: int) -> int | None:
        """When this voter proposes the accepted value, if its proposer does not; None: there is none.

        The voters' delays differ, in the order of their names, so that they do not compete.
        """
        if self.value is None:
            return None
        order = sorted(voters)
        fraction = TAKEOVER_DELAY * (1 + order.index(name) / len(order))
        return self._last_progress_at + int(lease_ns * fraction)


def quorum(voters: Mapping[str, str], forming: bool) -> int:
    """Return how many voters decide: a majority, or all where they form the fleet."""
    return len(voters) if forming else len(voters) // 2 + 1
