"""Changes of the fleet that routers propose without an operator: forming it, and a voter's new disk.

| state of the fleet | event | guard | next |
| --- | --- | --- | --- |
| not formed | heartbeat due | all voters are alive and have disks; this voter's name sorts first | forming |
| formed | heartbeat due | this voter's disk is not the one that the fleet knows | rejoin requested |
| formed | rejoin request | a voter with another disk; no change is in progress here | new disk proposed |

No I/O, no clock.
"""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.acceptor import Acceptor
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.proposals import next_version
from pebblepass.consensus.proposer import Proposer
from pebblepass.consensus.setup import ReplicaSetup

AUTHOR = "pebblepass"  # of changes that routers propose without an operator


class Membership:
    """Proposes changes of the fleet that need no operator."""

    def __init__(
        self,
        setup: ReplicaSetup,
        learner: Learner,
        disk: DiskIdentity,
        acceptor: Acceptor,
        peers: PeerTable,
        proposer: Proposer,
        outbox: Outbox,
    ) -> None:
        self._setup, self._learner, self._disk, self._acceptor = setup, learner, disk, acceptor
        self._peers, self._proposer, self._outbox = peers, proposer, outbox
        self._proposed_count = 0

    def tick(self) -> None:
        """Form the fleet, or request to rejoin with another disk. Called with each heartbeat."""
        name, disk_id = self._setup.name, self._disk.disk_id
        if self._learner.is_forming:
            self._form()
        elif disk_id and self._learner.voters.get(name, disk_id) != disk_id:
            self._outbox.send_all(self._learner.other_voters(), m.Rejoin())

    def _form(self) -> None:
        """Propose the fleet once all its voters are alive. Only the voter whose name sorts first does so."""
        name, voters = self._setup.name, self._learner.voters
        if min(voters, default="") != name or self._proposer.change is not None:
            return
        # The order of the voters is part of the encoded version.
        disks = {other: self._peers.disk_id(other) for other in self._learner.other_voters()}
        disks[name] = self._disk.disk_id
        if not all(disks.values()):
            return
        now = self._outbox.now
        if all(self._peers.is_alive(other, now) or other == name for other in disks):
            fleet = m.Fleet(self._learner.decided.fleet.members, disks)
            self._propose("form", "form", fleet, "")

    def rejoin_requested(self, sender: m.Sender) -> None:
        """Propose the new disk of a voter, which may vote again once this is decided."""
        known = self._learner.voters.get(sender.name)
        if not self._disk.can_vote(self._learner.voters) or known is None or known == sender.disk_id:
            return
        if self._learner.is_forming:
            return
        if self._proposer.change is not None or self._acceptor.value is not None:
            return
        voters = {**self._learner.voters, sender.name: sender.disk_id}
        fleet = m.Fleet(self._learner.decided.fleet.members, voters)
        reason = f"{sender.name} has come back with another disk"
        self._propose(f"join.{sender.name}", "members", fleet, reason)

    def _propose(self, change_prefix: str, kind: m.Kind, fleet: m.Fleet, reason: str) -> None:
        self._proposed_count += 1  # each attempt is a change of its own
        change_id = f"{change_prefix}.{self._setup.name}.{self._setup.boot_id}.{self._proposed_count}"
        decided = self._learner.decided
        value = next_version(
            decided, change_id, kind, decided.policy, fleet, AUTHOR, reason, self._setup.name
        )
        self._proposer.begin(value, takeover=False)
