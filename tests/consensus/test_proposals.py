"""Covers every row of the table of proposals with a complete replica: which are refused, with which text."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from pebblepass.consensus import messages as m
from pebblepass.consensus import texts
from pebblepass.consensus.actions import Action, ProposalConcluded, Send, Write
from pebblepass.consensus.errors import ProposalRejectedError, RejectionReason
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.consensus.records import SnapshotRecord
from pebblepass.consensus.replica import Replica
from tests.consensus.helpers import MEMBERS, VOTERS, sender, setup, value

DECIDED = replace(value(1), fleet=m.Fleet({**MEMBERS, "r3": "x:1"}, VOTERS))
RATE = Policy(StorePolicy(rate_per_s=9.0))
PROPOSAL = m.Proposal("c", "ana", "", RATE)


class ProposalHarness:
    """The replica of r0, in a fleet with three voters and one other member, at version 1."""

    def __init__(self, decided: m.Value = DECIDED, disk_id: str = "r0.disk") -> None:
        record = SnapshotRecord(disk_id, 1, decided, None, None, None, {}, (decided,), 0, ())
        self.replica = Replica(setup(), [record], 0)
        self.actions = self.sync(self.replica.start(0))

    def sync(self, actions: list[Action]) -> list[Action]:
        """Sync the writes among the actions; return all actions."""
        tokens = [action.token for action in actions if isinstance(action, Write)]
        return actions + (self.replica.written(tokens[-1], 0) if tokens else [])

    def receive_heartbeats(self, *names: str, **fields: object) -> None:
        """Deliver a heartbeat from each of these routers."""
        for name in names:
            self.sync(self.replica.received(m.Message(sender(name, **fields), m.Heartbeat()), 0))

    def propose(self, proposal: m.Proposal) -> list[Action]:
        """Propose a change at this router."""
        self.actions = self.sync(self.replica.propose(proposal, 0))
        return self.actions

    def verdicts(self, proposal: m.Proposal) -> list[tuple[str, tuple[str, ...]]]:
        """Propose a change; return the states and lines of the immediate verdicts."""
        concluded = [action for action in self.propose(proposal) if isinstance(action, ProposalConcluded)]
        return [(action.verdict.state, action.verdict.lines) for action in concluded]

    def bodies(self, kind: type[m.Body]) -> list[str]:
        """Return the routers to which the last proposal has sent bodies of this type."""
        sent = [action for action in self.actions if isinstance(action, Send)]
        return [action.to for action in sent if isinstance(action.message.body, kind)]


def test_proposal_begins_with_policy_checks_at_live_routers() -> None:
    harness = ProposalHarness()
    harness.receive_heartbeats("r1", "r3")
    assert harness.verdicts(PROPOSAL) == []
    assert harness.bodies(m.PolicyCheck) == ["r1", "r3"]


def test_proposal_without_quorum_is_refused_with_missing_voters() -> None:
    line = "refused: r1, r2 can't be reached; 2 of 3 voters are needed"
    assert ProposalHarness().verdicts(PROPOSAL) == [("refused", (line,))]


@pytest.mark.parametrize(
    ("proposal", "line"),
    [
        (
            m.Proposal("c", "ana", "", voters=("r0", "r9")),
            "r9 can't be a voter: no message from it has arrived",
        ),
        (m.Proposal("c", "ana", "", voters=("r0", "r3")), "r3 can't be a voter: it keeps no disk"),
        (m.Proposal("c", "ana", "", removed_members=("r0", "r1", "r2")), "no voter would be left"),
        (m.Proposal("c", "ana", "", Policy()), "nothing would change"),
        (
            m.Proposal("w", "ana", "", withdrawn_change_id="c1"),
            "c1 is already decided, as version 1",
        ),
    ],
)
def test_invalid_proposal_is_refused_with_reason(proposal: m.Proposal, line: str) -> None:
    harness = ProposalHarness()
    harness.receive_heartbeats("r1", "r2")
    harness.receive_heartbeats("r3", disk_id="")
    harness.replica.learner.decided_changes[1] = "c1"
    assert harness.verdicts(proposal) == [("refused", (f"refused: {line}",))]


def test_proposal_before_the_fleet_has_formed_is_refused() -> None:
    harness = ProposalHarness(decided=setup().genesis)
    line = "refused: the fleet has not formed yet: it forms once all of its voters are up"
    assert harness.verdicts(PROPOSAL) == [("refused", (line,))]


def test_every_rejection_reason_has_its_own_text() -> None:
    lines = {texts.rejection(ProposalRejectedError(reason, "r9", 7)) for reason in RejectionReason}
    assert len(lines) == len(RejectionReason)


def test_non_voter_forwards_to_live_voter_or_refuses() -> None:
    harness = ProposalHarness(disk_id="another")
    line = "refused: no voter can be reached: r0, r1, r2"
    assert harness.verdicts(PROPOSAL) == [("refused", (line,))]
    harness.receive_heartbeats("r2")
    other = replace(PROPOSAL, change_id="other")
    assert harness.verdicts(other) == []
    assert harness.bodies(m.ForwardedProposal) == ["r2"]


def test_forwarded_proposal_is_not_forwarded_again() -> None:
    harness = ProposalHarness(disk_id="another")
    harness.receive_heartbeats("r2")
    message = m.Message(sender("r3"), m.ForwardedProposal(PROPOSAL))
    harness.actions = harness.sync(harness.replica.received(message, 0))
    assert harness.bodies(m.ForwardedProposal) == []
    assert harness.bodies(m.ForwardedVerdict) == ["r3"]


def test_second_proposal_is_refused_and_first_can_be_withdrawn() -> None:
    harness = ProposalHarness()
    harness.receive_heartbeats("r1", "r2")
    harness.propose(PROPOSAL)
    other = replace(PROPOSAL, change_id="other")
    assert harness.verdicts(other) == [("refused", ("refused: another change is in progress: c",))]
    withdrawal = m.Proposal("w", "eva", "", withdrawn_change_id="c")
    assert harness.verdicts(withdrawal) == [
        ("refused", ("refused: withdrawn by eva",)),
        ("in force", ("c is withdrawn",)),
    ]
    assert harness.replica.proposer.change is None


def test_repeated_change_gets_the_same_verdict() -> None:
    harness = ProposalHarness()
    first = harness.verdicts(PROPOSAL)
    harness.receive_heartbeats("r1", "r2")
    assert harness.verdicts(PROPOSAL) == first
    harness.replica.learner.decided_changes[1] = "c1"
    known = replace(PROPOSAL, change_id="c1")
    assert harness.verdicts(known) == [("in force", ("decided: version 1",))]
