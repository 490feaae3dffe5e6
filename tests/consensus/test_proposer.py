"""Every edge of the table of a change, by a whole replica."""

from __future__ import annotations

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, ChangeStep, ProposalConcluded, Send, Write
from pebblepass.consensus.change import Change, Phase
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.consensus.records import SnapshotRecord
from pebblepass.consensus.replica import Replica
from tests.consensus.parts import NAMES, SECOND, sender, setup, value

PROPOSAL = m.Proposal("c", "ana", "", Policy(StorePolicy(rate_per_s=9.0)))


class Bench:
    """r0 of three voters, all alive, at version 1 with its start confirmed; it proposes a change."""

    def __init__(self, decided: m.Value | None = None, closed: int = 0) -> None:
        decided = decided or value(1)
        record = SnapshotRecord("r0.disk", 1, decided, None, None, None, {}, (decided,), closed, ())
        self.replica, self.now = Replica(setup(), [record], 0), 0
        self.seen: list[Action] = []
        self.carry(self.replica.start(0))
        for name in ("r1", "r2"):
            self.receive(name, m.StartConfirmed("r0.boot"))
        self.carry(self.replica.propose(PROPOSAL, 0))

    def carry(self, actions: list[Action]) -> None:
        """Keep the actions, and sync what they write."""
        self.seen += actions
        tokens = [each.token for each in actions if isinstance(each, Write)]
        if tokens:
            self.carry(self.replica.written(tokens[-1], self.now))

    def receive(self, name: str, body: m.Body, **facts: object) -> None:
        """Let a message arrive."""
        self.carry(self.replica.received(m.Message(sender(name, **facts), body), self.now))

    def wait(self, until: int) -> None:
        """Let the time of the change's next step come."""
        self.now = until
        self.carry(self.replica.tick(until))

    @property
    def change(self) -> Change:
        """The change under way."""
        assert self.replica.proposer.change is not None
        return self.replica.proposer.change

    def phase(self) -> Phase:
        """Where it stands."""
        return self.change.phase

    def check(self, *names: str, problem: str = "") -> None:
        """Let these routers answer the check."""
        for name in names:
            self.receive(name, m.PolicyCheckResult(2, "c", problem))

    def promise(self, name: str, accepted: m.Ballot | None = None, found: m.Value | None = None) -> None:
        """Let a voter promise the present round."""
        self.receive(name, m.Promise(2, self.change.round.ballot, accepted, found))

    def accept(self, name: str) -> None:
        """Let a voter accept in the present round."""
        self.receive(name, m.Accepted(2, self.change.round.ballot))

    def verdicts(self) -> list[m.Verdict]:
        """What has been concluded here."""
        return [each.verdict for each in self.seen if isinstance(each, ProposalConcluded)]

    def sent(self, kind: type[m.Body]) -> list[m.Body]:
        """The bodies of this type that were sent."""
        bodies = [each.message.body for each in self.seen if isinstance(each, Send)]
        return [body for body in bodies if isinstance(body, kind)]


def accepting() -> Bench:
    bench = Bench()
    bench.check("r1", "r2")
    bench.promise("r1")
    assert bench.phase() is Phase.ACCEPTING
    return bench


def decided() -> Bench:
    bench = accepting()
    bench.accept("r1")
    assert bench.phase() is Phase.DECIDED
    return bench


def test_waiting_ends_when_the_version_before_is_closed() -> None:
    bench = Bench(value(2), closed=0)
    assert bench.phase() is Phase.WAITING
    bench.receive("r1", m.Heartbeat(), closed_version=1, decided_version=2)
    assert bench.phase() is Phase.CHECKING


def test_a_change_that_still_waits_at_its_deadline_is_refused() -> None:
    bench = Bench(value(2), closed=0)
    bench.wait(bench.change.deadline)
    assert bench.verdicts()[-1].lines == ("refused: the version before the decided one is not closed yet",)


def test_a_problem_at_any_router_refuses_the_change() -> None:
    bench = Bench()
    bench.check("r1", problem="no such namespace")
    assert bench.replica.proposer.change is None
    assert bench.verdicts()[-1].lines == ("refused: r1: no such namespace",)


def test_checks_end_when_all_live_routers_have_answered() -> None:
    bench = Bench()
    bench.check("r1")
    assert bench.phase() is Phase.CHECKING
    bench.receive("r2", m.PolicyCheckResult(2, "another change", ""))
    assert bench.phase() is Phase.CHECKING
    bench.check("r2")
    assert bench.phase() is Phase.PREPARING


def test_checks_end_by_time_with_a_quorum_and_without_one_the_change_is_refused() -> None:
    bench = Bench()
    bench.check("r1")
    bench.wait(bench.change.due)
    assert bench.phase() is Phase.PREPARING
    alone = Bench()
    alone.wait(alone.change.due)
    line = "refused: r1, r2 can't be reached; 2 of 3 voters are needed"
    assert alone.verdicts()[-1].lines == (line,)


def test_a_quorum_of_promises_without_a_value_proposes_the_own_one() -> None:
    bench = accepting()
    sent = bench.sent(m.Accept)
    assert {body.value.change_id for body in sent if isinstance(body, m.Accept)} == {"c"}
    assert bench.change.may_be_accepted


def test_the_value_accepted_with_the_highest_ballot_is_proposed_first() -> None:
    bench = Bench()
    bench.check("r1", "r2")
    rival = value(2, "rival")
    bench.promise("r1", m.Ballot(0, "r2.boot"), rival)
    assert bench.change.rival == rival
    sent = bench.sent(m.Accept)
    assert {body.value.change_id for body in sent if isinstance(body, m.Accept)} == {"rival"}
    assert not bench.change.may_be_accepted
    bench.accept("r1")
    assert bench.replica.decided == rival
    assert bench.verdicts()[-1].lines == ("refused: overtaken by version 2 (change rival by ana)",)


def test_promises_from_another_disk_and_of_another_round_do_not_count() -> None:
    bench = Bench()
    bench.check("r1", "r2")
    bench.receive("r1", m.Promise(2, bench.change.round.ballot), disk_id="another")
    bench.receive("r2", m.Promise(2, m.Ballot(0, "r0.boot")))
    assert bench.phase() is Phase.PREPARING


@pytest.mark.parametrize("begin", [accepting, Bench])
def test_a_rejected_round_is_repeated_with_a_higher_ballot(begin: type[Bench]) -> None:
    bench = begin()
    if bench.phase() is Phase.CHECKING:
        bench.check("r1", "r2")
    bench.receive("r1", m.Rejected(2, bench.change.round.ballot, 7))
    assert bench.phase() is Phase.PREPARING
    bench.wait(bench.change.due)
    assert bench.change.round.ballot == m.Ballot(8, "r0.r0.boot")


def test_a_round_without_answers_is_repeated_with_a_higher_ballot() -> None:
    bench = accepting()
    before = bench.change.round.ballot
    bench.wait(bench.change.due)
    assert bench.phase() is Phase.PREPARING
    assert bench.change.round.ballot > before


def test_a_quorum_of_acceptances_decides() -> None:
    bench = decided()
    assert bench.replica.decided.change_id == "c"
    assert "decided" in [each.event for each in bench.seen if isinstance(each, ChangeStep)]
    assert bench.verdicts() == []


def test_another_value_that_is_decided_overtakes_the_change() -> None:
    bench = Bench()
    bench.receive("r1", m.VersionDecided(value(2, "other")), decided_version=2)
    assert bench.verdicts()[-1].lines == ("refused: overtaken by version 2 (change other by ana)",)


def test_a_change_whose_version_was_decided_unheard_is_open_if_it_may_have_been_accepted() -> None:
    bench = accepting()
    bench.receive("r1", m.VersionDecided(value(3, "later")), decided_version=3)
    assert (bench.verdicts()[-1].state, bench.replica.proposer.change) == ("open", None)


def test_at_the_deadline_a_change_that_was_never_sent_to_be_accepted_is_refused() -> None:
    bench = Bench()
    bench.check("r1", "r2")
    bench.wait(bench.change.deadline)
    line = "refused: r1, r2 can't be reached; 2 of 3 voters are needed"
    assert bench.verdicts()[-1].lines == (line,)


def test_at_the_deadline_a_change_that_may_be_accepted_is_reported_open_once_and_goes_on() -> None:
    bench = accepting()
    for _ in range(2):
        bench.wait(bench.change.deadline)
    assert [each.state for each in bench.verdicts()] == ["open"]
    assert bench.phase() is Phase.PREPARING


def test_a_decided_change_is_in_force_once_all_live_routers_lease_it() -> None:
    bench = decided()
    for name in ("r1", "r2"):
        bench.receive(name, m.Heartbeat(), decided_version=2, durable_version=2, released_version=1)
    for name in ("r1", "r2"):
        requests = [body for body in bench.sent(m.LeaseRequest) if isinstance(body, m.LeaseRequest)]
        grant = m.LeaseGrant(requests[-1].sequence, 2, "r0.boot")
        bench.receive(name, grant, decided_version=2, leased_version=2)
    assert [each.state for each in bench.verdicts()] == ["in force"]
    assert bench.verdicts()[-1].lines[2].startswith("in force at r0, r1, r2 after ")


def test_a_decided_change_names_who_is_missing_at_the_deadline() -> None:
    bench = decided()
    bench.wait(bench.change.deadline)
    verdict = bench.verdicts()[-1]
    assert verdict.state == "in force"
    assert [line.split(",")[0] for line in verdict.lines[3:]] == [f"missing: {name}" for name in NAMES]


def test_a_voter_takes_over_a_value_whose_proposer_sends_nothing_more() -> None:
    bench = Bench()
    bench.replica.proposer.change = None
    bench.receive("r1", m.Accept(2, m.Ballot(1, "r1.boot"), value(2, "theirs")))
    assert bench.replica.due(0) <= SECOND // 2
    bench.wait(SECOND // 2)
    assert bench.change.takeover
    assert bench.change.value.change_id == "theirs"
    assert bench.phase() is Phase.PREPARING
