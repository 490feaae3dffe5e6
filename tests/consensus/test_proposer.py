"""Covers every row of the state table of a change with a complete replica."""

from __future__ import annotations

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, ChangeStep, ProposalConcluded, Send, Write
from pebblepass.consensus.change import Change, Phase
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.consensus.records import SnapshotRecord
from pebblepass.consensus.replica import Replica
from tests.consensus.helpers import NAMES, SECOND, sender, setup, value

PROPOSAL = m.Proposal("c", "ana", "", Policy(StorePolicy(rate_per_s=9.0)))


class ProposerHarness:
    """The replica of r0, one of three live voters at version 1, which proposes a change."""

    def __init__(self, decided: m.Value | None = None, closed: int = 0) -> None:
        decided = decided or value(1)
        record = SnapshotRecord("r0.disk", 1, decided, None, None, None, {}, (decided,), closed, ())
        self.replica, self.now = Replica(setup(), [record], 0), 0
        self.actions: list[Action] = []
        self.perform(self.replica.start(0))
        for name in ("r1", "r2"):
            self.receive(name, m.StartConfirmed("r0.boot"))
        self.perform(self.replica.propose(PROPOSAL, 0))

    def perform(self, actions: list[Action]) -> None:
        """Record the actions, and sync the writes among them."""
        self.actions += actions
        tokens = [action.token for action in actions if isinstance(action, Write)]
        if tokens:
            self.perform(self.replica.written(tokens[-1], self.now))

    def receive(self, name: str, body: m.Body, **fields: object) -> None:
        """Deliver a message."""
        self.perform(self.replica.received(m.Message(sender(name, **fields), body), self.now))

    def tick_at(self, until: int) -> None:
        """Advance the clock to a time and tick."""
        self.now = until
        self.perform(self.replica.tick(until))

    @property
    def change(self) -> Change:
        """The change in progress."""
        assert self.replica.proposer.change is not None
        return self.replica.proposer.change

    def phase(self) -> Phase:
        """Return the phase of the change."""
        return self.change.phase

    def check(self, *names: str, problem: str = "") -> None:
        """Deliver these routers' answers to the policy check."""
        for name in names:
            self.receive(name, m.PolicyCheckResult(2, "c", problem))

    def promise(
        self, name: str, accepted: m.Ballot | None = None, accepted_value: m.Value | None = None
    ) -> None:
        """Deliver a voter's promise for the current round."""
        self.receive(name, m.Promise(2, self.change.round.ballot, accepted, accepted_value))

    def accept(self, name: str) -> None:
        """Deliver a voter's acceptance in the current round."""
        self.receive(name, m.Accepted(2, self.change.round.ballot))

    def verdicts(self) -> list[m.Verdict]:
        """Return the verdicts so far."""
        return [action.verdict for action in self.actions if isinstance(action, ProposalConcluded)]

    def sent(self, kind: type[m.Body]) -> list[m.Body]:
        """Return the sent bodies of this type."""
        bodies = [action.message.body for action in self.actions if isinstance(action, Send)]
        return [body for body in bodies if isinstance(body, kind)]


def harness_in_accepting_phase() -> ProposerHarness:
    harness = ProposerHarness()
    harness.check("r1", "r2")
    harness.promise("r1")
    assert harness.phase() is Phase.ACCEPTING
    return harness


def harness_in_decided_phase() -> ProposerHarness:
    harness = harness_in_accepting_phase()
    harness.accept("r1")
    assert harness.phase() is Phase.DECIDED
    return harness


def test_waiting_ends_when_the_older_version_is_closed() -> None:
    harness = ProposerHarness(value(2), closed=0)
    assert harness.phase() is Phase.WAITING
    harness.receive("r1", m.Heartbeat(), closed_version=1, decided_version=2)
    assert harness.phase() is Phase.CHECKING


def test_change_still_waiting_at_deadline_is_refused() -> None:
    harness = ProposerHarness(value(2), closed=0)
    harness.tick_at(harness.change.deadline)
    assert harness.verdicts()[-1].lines == ("refused: the version before the decided one is not closed yet",)


def test_problem_at_any_router_refuses_the_change() -> None:
    harness = ProposerHarness()
    harness.check("r1", problem="no such namespace")
    assert harness.replica.proposer.change is None
    assert harness.verdicts()[-1].lines == ("refused: r1: no such namespace",)


def test_checks_end_when_all_live_routers_have_answered() -> None:
    harness = ProposerHarness()
    harness.check("r1")
    assert harness.phase() is Phase.CHECKING
    harness.receive("r2", m.PolicyCheckResult(2, "another change", ""))
    assert harness.phase() is Phase.CHECKING
    harness.check("r2")
    assert harness.phase() is Phase.PREPARING


def test_check_timeout_proceeds_with_quorum_else_refuses() -> None:
    harness = ProposerHarness()
    harness.check("r1")
    harness.tick_at(harness.change.due)
    assert harness.phase() is Phase.PREPARING
    isolated = ProposerHarness()
    isolated.tick_at(isolated.change.due)
    line = "refused: r1, r2 can't be reached; 2 of 3 voters are needed"
    assert isolated.verdicts()[-1].lines == (line,)


def test_promises_without_accepted_value_propose_own_value() -> None:
    harness = harness_in_accepting_phase()
    sent = harness.sent(m.Accept)
    assert {body.value.change_id for body in sent if isinstance(body, m.Accept)} == {"c"}
    assert harness.change.may_be_accepted


def test_value_accepted_with_highest_ballot_is_proposed_first() -> None:
    harness = ProposerHarness()
    harness.check("r1", "r2")
    rival = value(2, "rival")
    harness.promise("r1", m.Ballot(0, "r2.boot"), rival)
    assert harness.change.rival == rival
    sent = harness.sent(m.Accept)
    assert {body.value.change_id for body in sent if isinstance(body, m.Accept)} == {"rival"}
    assert not harness.change.may_be_accepted
    harness.accept("r1")
    assert harness.replica.decided == rival
    assert harness.verdicts()[-1].lines == ("refused: overtaken by version 2 (change rival by ana)",)


def test_promises_of_other_disk_or_other_round_do_not_count() -> None:
    harness = ProposerHarness()
    harness.check("r1", "r2")
    harness.receive("r1", m.Promise(2, harness.change.round.ballot), disk_id="another")
    harness.receive("r2", m.Promise(2, m.Ballot(0, "r0.boot")))
    assert harness.phase() is Phase.PREPARING


@pytest.mark.parametrize("begin", [harness_in_accepting_phase, ProposerHarness])
def test_rejected_round_is_repeated_with_higher_ballot(begin: type[ProposerHarness]) -> None:
    harness = begin()
    if harness.phase() is Phase.CHECKING:
        harness.check("r1", "r2")
    harness.receive("r1", m.Rejected(2, harness.change.round.ballot, 7))
    assert harness.phase() is Phase.PREPARING
    harness.tick_at(harness.change.due)
    assert harness.change.round.ballot == m.Ballot(8, "r0.r0.boot")


def test_round_timeout_repeats_it_with_higher_ballot() -> None:
    harness = harness_in_accepting_phase()
    before = harness.change.round.ballot
    harness.tick_at(harness.change.due)
    assert harness.phase() is Phase.PREPARING
    assert harness.change.round.ballot > before


def test_quorum_of_acceptances_decides() -> None:
    harness = harness_in_decided_phase()
    assert harness.replica.decided.change_id == "c"
    assert "decided" in [action.event for action in harness.actions if isinstance(action, ChangeStep)]
    assert harness.verdicts() == []


def test_decision_on_another_value_overtakes_the_change() -> None:
    harness = ProposerHarness()
    harness.receive("r1", m.VersionDecided(value(2, "other")), decided_version=2)
    assert harness.verdicts()[-1].lines == ("refused: overtaken by version 2 (change other by ana)",)


def test_change_with_missed_decision_is_open_if_maybe_accepted() -> None:
    harness = harness_in_accepting_phase()
    harness.receive("r1", m.VersionDecided(value(3, "later")), decided_version=3)
    assert (harness.verdicts()[-1].state, harness.replica.proposer.change) == ("open", None)


def test_deadline_refuses_change_never_sent_for_acceptance() -> None:
    harness = ProposerHarness()
    harness.check("r1", "r2")
    harness.tick_at(harness.change.deadline)
    line = "refused: r1, r2 can't be reached; 2 of 3 voters are needed"
    assert harness.verdicts()[-1].lines == (line,)


def test_deadline_reports_maybe_accepted_change_open_once() -> None:
    harness = harness_in_accepting_phase()
    for _ in range(2):
        harness.tick_at(harness.change.deadline)
    assert [action.state for action in harness.verdicts()] == ["open"]
    assert harness.phase() is Phase.PREPARING


def test_decided_change_is_in_force_when_live_routers_lease_it() -> None:
    harness = harness_in_decided_phase()
    for name in ("r1", "r2"):
        harness.receive(name, m.Heartbeat(), decided_version=2, durable_version=2, released_version=1)
    for name in ("r1", "r2"):
        requests = [body for body in harness.sent(m.LeaseRequest) if isinstance(body, m.LeaseRequest)]
        grant = m.LeaseGrant(requests[-1].sequence, 2, "r0.boot")
        harness.receive(name, grant, decided_version=2, leased_version=2)
    assert [action.state for action in harness.verdicts()] == ["in force"]
    assert harness.verdicts()[-1].lines[2].startswith("in force at r0, r1, r2 after ")


def test_decided_change_names_missing_routers_at_deadline() -> None:
    harness = harness_in_decided_phase()
    harness.tick_at(harness.change.deadline)
    verdict = harness.verdicts()[-1]
    assert verdict.state == "in force"
    assert [line.split(",")[0] for line in verdict.lines[3:]] == [f"missing: {name}" for name in NAMES]


def test_voter_takes_over_value_of_silent_proposer() -> None:
    harness = ProposerHarness()
    harness.replica.proposer.change = None
    harness.receive("r1", m.Accept(2, m.Ballot(1, "r1.boot"), value(2, "theirs")))
    assert harness.replica.due(0) <= SECOND // 2
    harness.tick_at(SECOND // 2)
    assert harness.change.takeover
    assert harness.change.value.change_id == "theirs"
    assert harness.phase() is Phase.PREPARING
