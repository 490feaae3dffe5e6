"""One change on its way, at the voter that carries it: what is asked and counted. No I/O, no clock.

| state | event | guard | next |
| --- | --- | --- | --- |
| waiting | closed | the version before the decided one is | checking; preparing where taken over |
| checking | checked | a problem | refused |
| checking | checked, time | all that are heard have answered, a quorum of voters among them | preparing |
| checking | time | less than a quorum | refused, by name of who is missing |
| preparing | promise | a quorum; nothing accepted | accepting, with the own value |
| preparing | promise | a quorum; something accepted | accepting, with what has the highest ballot |
| preparing, accepting | rejected, time | the deadline is ahead | preparing, with a higher ballot |
| accepting | accepted | a quorum | decided |
| any | another value is decided | - | refused: overtaken |
| any but accepting | deadline | the own value was never sent to be accepted | refused |
| any | deadline | it was | open: told so, and carried on |
| decided | a router holds its lease | all that are heard hold it | in force |
| decided | deadline | - | in force, by name of who is missing |
"""

from __future__ import annotations

from enum import Enum

from pebblepass.consensus.messages import Ballot, Promise, Value
from pebblepass.consensus.voting import quorum


class Phase(Enum):
    """The states of a change."""

    WAITING = "waiting"
    CHECKING = "checking"
    PREPARING = "preparing"
    ACCEPTING = "accepting"
    DECIDED = "decided"


class Round:
    """Counts the votes of one version: the voters are those of the version before."""

    def __init__(self, voters: dict[str, str], forming: bool) -> None:
        self._voters, self.needed = voters, quorum(voters, forming)
        self.ballot: Ballot = (0, "")
        self._promises: dict[str, Promise] = {}
        self._accepted: set[str] = set()
        self._forming = forming

    def begin(self, ballot: Ballot) -> None:
        """Begin a round with this ballot: earlier votes don't count."""
        self.ballot = ballot
        self._promises.clear()
        self._accepted.clear()

    def is_vote(self, name: str, incarnation: str) -> bool:
        """Whether this is a voter, on the disk with which it became one."""
        return name in self._voters and (self._forming or self._voters[name] == incarnation)

    def promised(self, name: str, incarnation: str, promise: Promise) -> bool:
        """Count a promise; returns whether they are a quorum."""
        if promise.ballot == self.ballot and self.is_vote(name, incarnation):
            self._promises[name] = promise
        return len(self._promises) >= self.needed

    def found(self) -> Value | None:
        """What may have been decided already: what was accepted with the highest ballot."""
        took = [p for p in self._promises.values() if p.accepted is not None]
        return max(took, key=lambda p: p.accepted or (0, "")).value if took else None

    def accepted(self, name: str, incarnation: str, ballot: Ballot) -> bool:
        """Count an acceptance; returns whether they are a quorum."""
        if ballot == self.ballot and self.is_vote(name, incarnation):
            self._accepted.add(name)
        return len(self._accepted) >= self.needed

    def missing(self) -> list[str]:
        """The voters whose promise has not come."""
        return sorted(self._voters.keys() - self._promises.keys())


class Change:
    """A change that this voter carries: its own, or one that its proposer has left open."""

    def __init__(
        self, value: Value, voters: dict[str, str], begun: int, deadline: int, takeover: bool
    ) -> None:
        """`voters`: those of the version before; `takeover`: the value was found accepted here."""
        self.value, self.begun, self.deadline, self.takeover = value, begun, deadline, takeover
        self.phase = Phase.WAITING
        self.round = Round(voters, value.version == 1)
        self.spread = takeover
        """Whether the value has left to be accepted: from then on it may be decided, whoever goes on."""
        self.asked: dict[str, None] = {}
        self.checked: dict[str, str] = {}
        self.due = begun
        """When it goes on by itself."""
        self.told = False
        """Whether its end, or that it is open, has been told."""
        self.rival: Value | None = None
        """Another value for the same version, which may have been decided and is carried on first."""

    def problem(self) -> str:
        """Why a router can't use it; empty while none says so."""
        return next((f"{name}: {said}" for name, said in sorted(self.checked.items()) if said), "")
