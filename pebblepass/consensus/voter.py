"""The voter: decides whether this router may vote, and when its vote is sent. No I/O, no clock.

| event | guard | result |
| --- | --- | --- |
| prepare, accept | not for the version after the decided one | ignored |
| prepare, accept | not a voter, or no quorum has confirmed this start | ignored |
| prepare, accept | the version before the decided one is not closed | rejected: a lease on it may be valid |
| accept | it would form a fleet with other voters than this router's file names | ignored |
| prepare, accept | otherwise | the acceptor votes; the vote is sent once its record is synced |
| timeout | the proposer of an accepted value has stopped sending | this voter takes over the value |
"""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.acceptor import Acceptor, Vote
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.lease_server import LeaseServer
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.setup import ReplicaSetup


class Voter:
    """Votes in rounds, those of this router's own proposer included."""

    def __init__(
        self,
        setup: ReplicaSetup,
        learner: Learner,
        disk: DiskIdentity,
        acceptor: Acceptor,
        lease_server: LeaseServer,
        outbox: Outbox,
    ) -> None:
        self._name, self._lease_ns = setup.name, setup.terms.duration
        self._learner, self._disk, self._acceptor = learner, disk, acceptor
        self._lease_server, self._outbox = lease_server, outbox

    @property
    def can_vote(self) -> bool:
        """Whether this router is a voter and uses the disk with which it became one."""
        return self._disk.can_vote(self._learner.voters)

    @property
    def is_confirmed(self) -> bool:
        """Whether a quorum knows of this start; until then this router must not vote."""
        return self._disk.is_confirmed(self._learner.voters, self._learner.quorum_size)

    def vote(self, sender: m.Sender, request: m.Prepare | m.Accept) -> None:
        """Answer a proposer's request."""
        if request.version != self._learner.version + 1 or not self.can_vote or not self.is_confirmed:
            return
        if self._lease_server.closed_version < request.version - 2:
            rejection = m.Rejected(request.version, request.ballot, request.ballot.number - 1)
            self._outbox.send(sender.name, rejection, sender.boot_id)
            return
        vote = self._acceptors_vote(request)
        if vote is None:
            return
        if vote.record is None:
            self._outbox.send(sender.name, vote.answer, sender.boot_id)
        else:
            self._outbox.send_after_write(vote.record, sender.name, vote.answer)

    def _acceptors_vote(self, request: m.Prepare | m.Accept) -> Vote | None:
        if isinstance(request, m.Prepare):
            return self._acceptor.prepare(request)
        # Accepted even if the value names another disk for this voter: forming the fleet needs the votes of
        # all voters, and the others remember what a replaced disk has lost.
        voters = request.value.fleet.voters
        if self._learner.is_forming and voters.keys() != self._learner.voters.keys():
            return None  # it would form a fleet with other voters than this router's file names
        return self._acceptor.accept(request, self._outbox.now)

    def takeover_at(self) -> int | None:
        """Return when this voter takes over an accepted value; None: there is none, or it can't vote."""
        if not self.can_vote:
            return None
        return self._acceptor.takeover_at(self._name, self._learner.voters, self._lease_ns)
