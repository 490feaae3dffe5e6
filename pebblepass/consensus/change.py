"""One change under way, at the voter that proposes it: requests and votes are counted. No I/O, no clock.

| state | event | guard | next |
| --- | --- | --- | --- |
| waiting | closed | the version before the decided one is | checking; preparing where taken over |
| checking | checked | a problem | refused |
| checking | checked, time | all live routers have answered, a quorum of voters among them | preparing |
| checking | time | less than a quorum | refused, naming who is missing |
| preparing | promise | a quorum; nothing accepted | accepting, with its own value |
| preparing | promise | a quorum; something accepted | accepting, with the value of the highest ballot |
| preparing, accepting | rejected, time | the deadline is ahead | preparing, with a higher ballot |
| accepting | accepted | a quorum | decided |
| any | another value is decided | - | refused: overtaken |
| any but accepting | deadline | its own value was never sent to be accepted | refused |
| any | deadline | it was | open: reported so, and continued |
| decided | a router leases it | all live routers do | in force |
| decided | deadline | - | in force, naming who is missing |
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from pebblepass.consensus.acceptor import quorum
from pebblepass.consensus.messages import NO_BALLOT, Ballot, Promise, Value


class Phase(Enum):
    """The states of a change."""

    WAITING = "waiting"
    CHECKING = "checking"
    PREPARING = "preparing"
    ACCEPTING = "accepting"
    DECIDED = "decided"


class Round:
    """Counts the votes on one version; the voters are those of the version before."""

    def __init__(self, voters: Mapping[str, str], forming: bool) -> None:
        self.voters, self.needed = voters, quorum(voters, forming)
        self.any_disk = forming
        """Whether a voter's vote counts whatever its disk: disks are not known before the fleet forms."""
        self.ballot: Ballot = NO_BALLOT
        self._promises: dict[str, Promise] = {}
        self._accepted: set[str] = set()

    def begin(self, ballot: Ballot) -> None:
        """Begin a round with this ballot: earlier votes don't count."""
        self.ballot = ballot
        self._promises.clear()
        self._accepted.clear()

    def is_vote(self, name: str, disk_id: str) -> bool:
        """Whether this is a voter, on the disk with which it became one."""
        return name in self.voters and (self.any_disk or self.voters[name] == disk_id)

    def promised(self, name: str, disk_id: str, promise: Promise) -> bool:
        """Count a promise; return whether they are a quorum."""
        if promise.ballot == self.ballot and self.is_vote(name, disk_id):
            self._promises[name] = promise
        return len(self._promises) >= self.needed

    def accepted_value(self) -> Value | None:
        """Return the value that may have been decided already: the one accepted with the highest ballot."""
        accepted = [promise for promise in self._promises.values() if promise.accepted is not None]
        return max(accepted, key=lambda promise: promise.accepted or NO_BALLOT).value if accepted else None

    def accepted(self, name: str, disk_id: str, ballot: Ballot) -> bool:
        """Count an acceptance; return whether they are a quorum."""
        if ballot == self.ballot and self.is_vote(name, disk_id):
            self._accepted.add(name)
        return len(self._accepted) >= self.needed

    def missing(self) -> list[str]:
        """Return the voters whose promise has not come."""
        return sorted(self.voters.keys() - self._promises.keys())


class Change:
    """A change that this voter proposes: its own, or one that its proposer has left open."""

    def __init__(
        self, value: Value, voters: Mapping[str, str], started_at: int, deadline: int, takeover: bool
    ) -> None:
        """`voters`: those of the version before; `takeover`: the value was found accepted here."""
        self.value, self.started_at, self.deadline, self.takeover = value, started_at, deadline, takeover
        self.phase = Phase.WAITING
        self.round = Round(voters, value.version == 1)
        self.may_be_accepted = takeover
        """Whether the value has been sent to be accepted: from then on it may be decided by any proposer."""
        self.check_requested: dict[str, None] = {}
        """Routers to which a policy check was sent."""
        self.check_results: dict[str, str] = {}
        """Problem by router, empty where there is none."""
        self.due = started_at
        """When it continues without a message."""
        self.reported_open = False
        """Whether it has been reported to the operator as open."""
        self.rival: Value | None = None
        """Another value for the same version, which may have been decided and is proposed first."""

    @property
    def proposed_value(self) -> Value:
        """The value that is sent to be accepted: the rival where there is one."""
        return self.rival or self.value

    def problem(self) -> str:
        """Return why a router can't use it; empty while none has reported a problem."""
        problems = sorted(self.check_results.items())
        return next((f"{name}: {problem}" for name, problem in problems if problem), "")

    def is_checked(self) -> bool:
        """Whether all policy checks have been answered."""
        return self.check_requested.keys() <= self.check_results.keys()
