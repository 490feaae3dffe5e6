"""Every edge of the table of proposals, by a whole replica: which are refused, and with which text."""

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
from tests.consensus.parts import MEMBERS, VOTERS, sender, setup, value

DECIDED = replace(value(1), fleet=m.Fleet({**MEMBERS, "r3": "x:1"}, VOTERS))
RATE = Policy(StorePolicy(rate_per_s=9.0))
PROPOSAL = m.Proposal("c", "ana", "", RATE)


class Bench:
    """r0 of a fleet with three voters and one more member, at version 1."""

    def __init__(self, decided: m.Value = DECIDED, disk_id: str = "r0.disk") -> None:
        record = SnapshotRecord(disk_id, 1, decided, None, None, None, {}, (decided,), 0, ())
        self.replica = Replica(setup(), [record], 0)
        self.actions = self.sync(self.replica.start(0))

    def sync(self, actions: list[Action]) -> list[Action]:
        """All that the actions write is synced."""
        tokens = [each.token for each in actions if isinstance(each, Write)]
        return actions + (self.replica.written(tokens[-1], 0) if tokens else [])

    def hear(self, *names: str, **facts: object) -> None:
        """Let messages of these routers arrive."""
        for name in names:
            self.sync(self.replica.received(m.Message(sender(name, **facts), m.Heartbeat()), 0))

    def propose(self, proposal: m.Proposal) -> list[Action]:
        """Propose here."""
        self.actions = self.sync(self.replica.propose(proposal, 0))
        return self.actions

    def verdicts(self, proposal: m.Proposal) -> list[tuple[str, tuple[str, ...]]]:
        """The states and lines of what is concluded at once."""
        concluded = [each for each in self.propose(proposal) if isinstance(each, ProposalConcluded)]
        return [(each.verdict.state, each.verdict.lines) for each in concluded]

    def bodies(self, kind: type[m.Body]) -> list[str]:
        """To whom the last proposal has sent bodies of this type."""
        sent = [each for each in self.actions if isinstance(each, Send)]
        return [each.to for each in sent if isinstance(each.message.body, kind)]


def test_a_proposal_is_begun_with_a_check_at_all_live_routers() -> None:
    bench = Bench()
    bench.hear("r1", "r3")
    assert bench.verdicts(PROPOSAL) == []
    assert bench.bodies(m.PolicyCheck) == ["r1", "r3"]


def test_without_a_quorum_it_is_refused_and_the_missing_are_named() -> None:
    line = "refused: r1, r2 can't be reached; 2 of 3 voters are needed"
    assert Bench().verdicts(PROPOSAL) == [("refused", (line,))]


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
def test_a_proposal_that_cannot_become_a_version_is_refused(proposal: m.Proposal, line: str) -> None:
    bench = Bench()
    bench.hear("r1", "r2")
    bench.hear("r3", disk_id="")
    bench.replica.learner.decided_changes[1] = "c1"
    assert bench.verdicts(proposal) == [("refused", (f"refused: {line}",))]


def test_before_the_fleet_has_formed_nothing_can_be_proposed() -> None:
    bench = Bench(decided=setup().genesis)
    line = "refused: the fleet has not formed yet: all of its voters have to be up at the same time once"
    assert bench.verdicts(PROPOSAL) == [("refused", (line,))]


def test_every_reason_of_a_rejection_has_its_text() -> None:
    lines = {texts.rejection(ProposalRejectedError(reason, "r9", 7)) for reason in RejectionReason}
    assert len(lines) == len(RejectionReason)


def test_a_router_without_a_vote_forwards_to_a_live_voter_or_refuses() -> None:
    bench = Bench(disk_id="another")
    line = "refused: no voter can be reached: r0, r1, r2"
    assert bench.verdicts(PROPOSAL) == [("refused", (line,))]
    bench.hear("r2")
    other = replace(PROPOSAL, change_id="other")
    assert bench.verdicts(other) == []
    assert bench.bodies(m.ForwardedProposal) == ["r2"]


def test_a_proposal_that_was_forwarded_here_is_not_forwarded_again() -> None:
    bench = Bench(disk_id="another")
    bench.hear("r2")
    message = m.Message(sender("r3"), m.ForwardedProposal(PROPOSAL))
    bench.actions = bench.sync(bench.replica.received(message, 0))
    assert bench.bodies(m.ForwardedProposal) == []
    assert bench.bodies(m.ForwardedVerdict) == ["r3"]


def test_a_second_proposal_is_refused_while_one_is_under_way_and_the_first_can_be_withdrawn() -> None:
    bench = Bench()
    bench.hear("r1", "r2")
    bench.propose(PROPOSAL)
    other = replace(PROPOSAL, change_id="other")
    assert bench.verdicts(other) == [("refused", ("refused: another change is in progress: c",))]
    withdrawal = m.Proposal("w", "eva", "", withdrawn_change_id="c")
    assert bench.verdicts(withdrawal) == [
        ("refused", ("refused: withdrawn by eva",)),
        ("in force", ("c is withdrawn",)),
    ]
    assert bench.replica.proposer.change is None


def test_the_same_change_gets_the_same_verdict_again() -> None:
    bench = Bench()
    first = bench.verdicts(PROPOSAL)
    bench.hear("r1", "r2")
    assert bench.verdicts(PROPOSAL) == first
    bench.replica.learner.decided_changes[1] = "c1"
    known = replace(PROPOSAL, change_id="c1")
    assert bench.verdicts(known) == [("in force", ("decided: version 1",))]
