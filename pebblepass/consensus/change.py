"""The state of one change at the voter that proposes it: policy checks and votes. No I/O, no clock.

| state | event | guard | next |
| --- | --- | --- | --- |
| waiting | version closed | it precedes the decided version | checking; preparing for a takeover |
| checking | check result | a router reports a problem | refused |
| checking | check result | all live routers have answered | preparing |
| checking | timeout | a quorum of voters has answered | preparing |
| checking | timeout | no quorum of voters has answered | refused; the verdict names the missing voters |
| preparing | promise | a quorum, none with an accepted value | accepting, with its own value |
| preparing | promise | a quorum, some with an accepted value | accepting, with that of the highest ballot |
| preparing, accepting | rejection, timeout | before the deadline | preparing, with a higher ballot |
| accepting | acceptance | a quorum | decided |
| any | another value is decided | - | refused: overtaken |
| any but accepting | deadline | its own value was never sent for acceptance | refused |
| any | deadline | its own value was sent for acceptance | reported as open, and continued |
| decided | a router leases the version | all live routers lease it | in force |
| decided | deadline | - | in force; the verdict names the routers without a lease |
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from pebblepass.consensus.acceptor import quorum
from pebblepass.consensus.messages import NO_BALLOT, Ballot, Promise, Value


class Phase(Enum):
    """The state of a change."""

    WAITING = "waiting"
    CHECKING = "checking"
    PREPARING = "preparing"
    ACCEPTING = "accepting"
    DECIDED = "decided"


class Round:
    """Counts the votes on one version. Its voters are those of the previous version."""

    def __init__(self, voters: Mapping[str, str], forming: bool) -> None:
        self.voters, self.needed = voters, quorum(voters, forming)
        self.any_disk = forming
        """Whether votes count from any disk: the voters' disk ids are not known before the fleet forms."""
        self.ballot: Ballot = NO_BALLOT
        self._promises: dict[str, Promise] = {}
        self._accepted: set[str] = set()

    def begin(self, ballot: Ballot) -> None:
        """Begin a round with this ballot, and discard the votes of earlier rounds."""
        self.ballot = ballot
        self._promises.clear()
        self._accepted.clear()

    def is_vote(self, name: str, disk_id: str) -> bool:
        """Whether the router is a voter and uses the disk with which it became one."""
        return name in self.voters and (self.any_disk or self.voters[name] == disk_id)

    def add_promise(self, name: str, disk_id: str, promise: Promise) -> bool:
        """Count a promise; return whether there is a quorum of promises."""
        if promise.ballot == self.ballot and self.is_vote(name, disk_id):
            self._promises[name] = promise
        return len(self._promises) >= self.needed

    def accepted_value(self) -> Value | None:
        """Return the value accepted with the highest ballot, which may be decided already; None: none."""
        accepted = [promise for promise in self._promises.values() if promise.accepted is not None]
        return max(accepted, key=lambda promise: promise.accepted or NO_BALLOT).value if accepted else None

    def add_acceptance(self, name: str, disk_id: str, ballot: Ballot) -> bool:
        """Count an acceptance; return whether there is a quorum of acceptances."""
        if ballot == self.ballot and self.is_vote(name, disk_id):
            self._accepted.add(name)
        return len(self._accepted) >= self.needed

    def missing(self) -> list[str]:
        """Return the voters that have not sent a promise."""
        return sorted(self.voters.keys() - self._promises.keys())


class Change:
    """A change that this voter proposes, either for an operator or in place of a proposer that stopped."""

    def __init__(
        self, value: Value, voters: Mapping[str, str], started_at: int, deadline: int, takeover: bool
    ) -> None:
        """`voters`: of the previous version; `takeover`: another proposer's value that was accepted here."""
        self.value, self.started_at, self.deadline, self.takeover = value, started_at, deadline, takeover
        self.phase = Phase.WAITING
        self.round = Round(voters, value.version == 1)
        self.may_be_accepted = takeover
        """Whether the value has been sent for acceptance; from then on any proposer may get it decided."""
        self.check_requested: dict[str, None] = {}
        """Routers that were sent a policy check."""
        self.check_results: dict[str, str] = {}
        """The problem that each router reported; empty: none."""
        self.due = started_at
        """When the current phase times out."""
        self.reported_open = False
        """Whether the change has been reported to the operator as open."""
        self.rival: Value | None = None
        """Another value for the same version, which may have been decided and must be proposed first."""

    @property
    def proposed_value(self) -> Value:
        """The value to send for acceptance: the rival, if there is one."""
        return self.rival or self.value

    def problem(self) -> str:
        """Return the first problem that a router has reported, by router name; empty: none."""
        problems = sorted(self.check_results.items())
        return next((f"{name}: {problem}" for name, problem in problems if problem), "")

    def is_checked(self) -> bool:
        """Whether every router that was sent a policy check has answered."""
        return self.check_requested.keys() <= self.check_results.keys()
