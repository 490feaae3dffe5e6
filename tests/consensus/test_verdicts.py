"""Every edge of the table of verdicts: who gets the outcome of a proposal, and when."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import ProposalConcluded
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.verdicts import REMEMBERED_VERDICTS, Verdicts
from tests.consensus.parts import outbox, sent

DONE = m.Verdict("c", "in force", 2, ("decided: version 2",))
OPEN = m.Verdict("c", "open", 2, ("open: r1 have not answered",))


def concluded(box: Outbox) -> list[m.Verdict]:
    return [each.verdict for each in box.finish() if isinstance(each, ProposalConcluded)]


def test_a_proposal_made_here_is_concluded_here_and_remembered() -> None:
    box = outbox()
    verdicts = Verdicts(box)
    verdicts.conclude(DONE)
    assert concluded(box) == [DONE]
    assert verdicts.final("c") == DONE


def test_an_open_verdict_is_not_final() -> None:
    box = outbox()
    verdicts = Verdicts(box)
    verdicts.conclude(OPEN)
    assert concluded(box) == [OPEN]
    assert verdicts.final("c") is None


def test_a_proposal_of_another_router_is_concluded_there_once() -> None:
    box = outbox()
    verdicts = Verdicts(box)
    verdicts.received_from("c", "r2")
    assert verdicts.is_received("c")
    verdicts.conclude(DONE)
    assert sent(box) == [("r2", m.ForwardedVerdict(DONE))]
    assert concluded(box) == []
    assert not verdicts.is_received("c")


def test_a_forwarded_proposal_is_concluded_by_the_voters_answer_once() -> None:
    box = outbox()
    verdicts = Verdicts(box)
    proposal = m.Proposal("c", "ana", "")
    verdicts.forward(proposal, "r1", until=10)
    assert sent(box) == [("r1", m.ForwardedProposal(proposal))]
    verdicts.answered(DONE)
    verdicts.answered(DONE)
    assert concluded(box) == [DONE]


def test_a_forwarded_proposal_without_an_answer_is_open_at_its_deadline() -> None:
    box = outbox()
    verdicts = Verdicts(box)
    verdicts.forward(m.Proposal("c", "ana", ""), "r1", until=10)
    box.begin(9)
    verdicts.expire()
    assert concluded(box) == []
    box.begin(10)
    verdicts.expire()
    assert [(each.change_id, each.state) for each in concluded(box)] == [("c", "open")]
    box.begin(11)
    verdicts.expire()
    verdicts.answered(DONE)
    assert concluded(box) == []


def test_the_verdicts_that_are_remembered_are_bounded() -> None:
    verdicts = Verdicts(outbox())
    for number in range(1000):
        verdicts.refuse(f"c{number}", "nothing would change")
    known = [number for number in range(1000) if verdicts.final(f"c{number}") is not None]
    assert known == list(range(1000 - len(known), 1000))
    assert len(known) == REMEMBERED_VERDICTS + 1
