"""A voter's promises: which rounds it takes part in, and what it has accepted. No I/O, no clock.

What is promised is told only once it is on the disk: each method returns the record to be written, and the
answer that may leave when it lasts. In memory a promise holds from when it is made.

| event | guard | what follows |
| --- | --- | --- |
| prepare(n, b) | n is the open version, b above what was promised | promise b; tell what was accepted |
| accept(n, b, v) | n likewise, b not below; v names this disk where it forms the fleet | accept v |
| either | n likewise, b too low | reject, and tell the round that goes before |
| either | the version before the decided one is not closed | reject: a lease on it may hold still |
| decided(n) | - | promises and what was accepted for n and before are over |
"""

from __future__ import annotations

from pebblepass.consensus.messages import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Promised,
    Record,
    Rejected,
    Took,
    Value,
)

NO_BALLOT: Ballot = (0, "")

Reply = tuple[Record | None, Promise | Accepted | Rejected]
"""What has to last first, if anything, and then the answer."""


class Acceptor:
    """Promises and accepted values for the one version that is open."""

    def __init__(self) -> None:
        self.promised: Ballot = NO_BALLOT
        self.accepted: Ballot | None = None
        self.value: Value | None = None

    def prepare(self, asked: Prepare) -> Reply:
        """A round for the open version begins."""
        if asked.ballot <= self.promised:
            return None, Rejected(asked.version, asked.ballot, self.promised[0])
        self.promised = asked.ballot
        return (
            Promised(asked.version, asked.ballot),
            Promise(asked.version, asked.ballot, self.accepted, self.value),
        )

    def accept(self, asked: Accept) -> Reply:
        """A value for the open version is to be accepted."""
        if asked.ballot < self.promised:
            return None, Rejected(asked.version, asked.ballot, self.promised[0])
        self.promised = self.accepted = asked.ballot
        self.value = asked.value
        return Took(asked.version, asked.ballot, asked.value), Accepted(asked.version, asked.ballot)

    def over(self) -> None:
        """The open version has been decided: the next one is open."""
        self.promised, self.accepted, self.value = NO_BALLOT, None, None


def quorum(voters: dict[str, str], forming: bool) -> int:
    """How many voters decide; all of them where they form the fleet, as nobody can know more than they do."""
    return len(voters) if forming else len(voters) // 2 + 1
