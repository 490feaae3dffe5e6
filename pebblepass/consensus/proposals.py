"""Operators' proposals: each is answered, forwarded to a voter, or begun as a change. No I/O, no clock.

A voter handles proposals itself; any other router (a non-voter) forwards them. The first matching row counts.

| at | guard | result |
| --- | --- | --- |
| any router | the change has a final verdict, or is decided | the same verdict again |
| non-voter | no voter is alive, or another router forwarded the proposal here | refused |
| non-voter | otherwise | forwarded to a live voter |
| voter | it withdraws the change in progress, which no voter can have accepted | that change is refused |
| voter | another change is in progress and not decided | refused |
| voter | it can't become a version, or there is no quorum | refused |
| voter | otherwise | begun as a change |
"""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus import texts
from pebblepass.consensus.change import Phase
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.errors import ProposalRejectedError, RejectionReason
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.policy import Policy
from pebblepass.consensus.proposer import Proposer
from pebblepass.consensus.setup import RandomSource
from pebblepass.consensus.verdicts import Verdicts


class Proposals:
    """Handles proposals, and makes values of those that become changes."""

    def __init__(
        self,
        name: str,
        learner: Learner,
        disk: DiskIdentity,
        peers: PeerTable,
        proposer: Proposer,
        verdicts: Verdicts,
        outbox: Outbox,
        rng: RandomSource,
    ) -> None:
        self._name, self._learner, self._disk, self._peers = name, learner, disk, peers
        self._proposer, self._verdicts, self._outbox, self._rng = proposer, verdicts, outbox, rng

    def propose(self, proposal: m.Proposal) -> None:
        """Handle a proposal."""
        final = self._verdicts.final(proposal.change_id)
        version = self._learner.version_of(proposal.change_id)
        if final is not None:
            self._verdicts.conclude(final)
        elif version:
            lines = (f"decided: version {version}",)
            self._verdicts.conclude(m.Verdict(proposal.change_id, "in force", version, lines))
        elif not self._disk.can_vote(self._learner.voters):
            self._forward(proposal)
        else:
            self._begin(proposal)

    def _forward(self, proposal: m.Proposal) -> None:
        voters, now = self._learner.voters, self._outbox.now
        alive = self._peers.alive(sorted(voters), now)
        if self._verdicts.is_received(proposal.change_id) or not alive:
            self._verdicts.refuse(proposal.change_id, texts.no_live_voter(voters))
            return
        until = now + 2 * self._proposer.conclusion_ns
        self._verdicts.forward(proposal, alive[self._rng.randrange(len(alive))], until)

    def _begin(self, proposal: m.Proposal) -> None:
        if self._withdraw(proposal):
            return
        change = self._proposer.change
        if change is not None and change.phase is not Phase.DECIDED:
            reason = f"another change is in progress: {change.value.change_id}"
            self._verdicts.refuse(proposal.change_id, reason)
            return
        if change is not None:
            self._proposer.conclude()
        try:
            value = self._value(proposal)
        except ProposalRejectedError as error:
            self._verdicts.refuse(proposal.change_id, texts.rejection(error))
            return
        now, voters = self._outbox.now, self._learner.voters
        missing = [
            name for name in sorted(self._learner.other_voters()) if not self._peers.is_alive(name, now)
        ]
        if len(voters) - len(missing) < self._learner.quorum_size:
            self._verdicts.refuse(proposal.change_id, self._proposer.too_few_voters(missing))
            return
        self._proposer.begin(value, takeover=False)

    def _withdraw(self, proposal: m.Proposal) -> bool:
        """Withdraw the change in progress, if the proposal asks for that and it is still possible."""
        change = self._proposer.change
        if change is None or change.may_be_accepted:
            return False
        if proposal.withdrawn_change_id != change.value.change_id:
            return False
        self._proposer.refuse(f"withdrawn by {proposal.author}")
        lines = (f"{proposal.withdrawn_change_id} is withdrawn",)
        self._verdicts.conclude(m.Verdict(proposal.change_id, "in force", 0, lines))
        return True

    def _value(self, proposal: m.Proposal) -> m.Value:
        """Return the value that a proposal makes the next version; raises ProposalRejectedError."""
        decided = self._learner.decided
        if self._learner.is_forming:
            raise ProposalRejectedError(RejectionReason.NOT_FORMED)
        members = {
            name: address
            for name, address in decided.fleet.members.items()
            if name not in proposal.removed_members
        }
        members.update(proposal.added_members)
        fleet = m.Fleet(members, self._voters(proposal, members))
        kind = self._kind(proposal)
        policy = decided.policy if proposal.policy is None else proposal.policy
        if kind != "withdrawn" and (policy, fleet) == (decided.policy, decided.fleet):
            raise ProposalRejectedError(RejectionReason.NO_DIFFERENCE)
        return next_version(
            decided, proposal.change_id, kind, policy, fleet, proposal.author, proposal.reason, self._name
        )

    def _voters(self, proposal: m.Proposal, members: dict[str, str]) -> dict[str, str]:
        names = proposal.voters or [name for name in self._learner.voters if name in members]
        voters = {name: self._voter_disk(name, members) for name in names}
        if not voters:
            raise ProposalRejectedError(RejectionReason.NO_VOTERS)
        return voters

    def _voter_disk(self, name: str, members: dict[str, str]) -> str:
        """Return the id of the disk with which a router is to vote; raises ProposalRejectedError."""
        disk_id = self._learner.voters.get(name) or self._peers.disk_id(name)
        if name == self._name:
            disk_id = self._disk.disk_id
        if name not in members or not disk_id:
            is_known = self._peers.state(name) is not None
            reason = RejectionReason.NO_STORAGE if is_known else RejectionReason.NEVER_CONNECTED
            raise ProposalRejectedError(reason, name)
        return disk_id

    def _kind(self, proposal: m.Proposal) -> m.Kind:
        if proposal.withdrawn_change_id:
            version = self._learner.version_of(proposal.withdrawn_change_id)
            if version:
                raise ProposalRejectedError(
                    RejectionReason.ALREADY_DECIDED, proposal.withdrawn_change_id, version
                )
            return "withdrawn"
        changes_fleet = proposal.added_members or proposal.removed_members or proposal.voters
        return "members" if proposal.policy is None or changes_fleet else "policy"


def next_version(
    decided: m.Value,
    change_id: str,
    kind: m.Kind,
    policy: Policy,
    fleet: m.Fleet,
    author: str,
    reason: str,
    proposer: str,
) -> m.Value:
    """Return the value of the version after the decided one."""
    voters = decided.fleet.voters
    return m.Value(decided.version + 1, change_id, kind, policy, fleet, voters, author, reason, proposer)
