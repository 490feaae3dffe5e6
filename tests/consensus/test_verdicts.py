"""Covers every row of the table of verdicts: which router gets the outcome of a proposal, and when."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import ProposalConcluded
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.verdicts import REMEMBERED_VERDICTS, Verdicts
from tests.consensus.helpers import create_outbox, sent

IN_FORCE = m.Verdict("c", "in force", 2, ("decided: version 2",))
OPEN = m.Verdict("c", "open", 2, ("open: r1 have not answered",))


def concluded(outbox: Outbox) -> list[m.Verdict]:
    return [verdict.verdict for verdict in outbox.finish() if isinstance(verdict, ProposalConcluded)]


def test_local_proposal_is_concluded_here_and_remembered() -> None:
    outbox = create_outbox()
    verdicts = Verdicts(outbox)
    verdicts.conclude(IN_FORCE)
    assert concluded(outbox) == [IN_FORCE]
    assert verdicts.final("c") == IN_FORCE


def test_open_verdict_is_not_final() -> None:
    outbox = create_outbox()
    verdicts = Verdicts(outbox)
    verdicts.conclude(OPEN)
    assert concluded(outbox) == [OPEN]
    assert verdicts.final("c") is None


def test_received_proposal_is_concluded_at_its_router_once() -> None:
    outbox = create_outbox()
    verdicts = Verdicts(outbox)
    verdicts.received_from("c", "r2")
    assert verdicts.is_received("c")
    verdicts.conclude(IN_FORCE)
    assert sent(outbox) == [("r2", m.ForwardedVerdict(IN_FORCE))]
    assert concluded(outbox) == []
    assert not verdicts.is_received("c")


def test_forwarded_proposal_is_concluded_by_first_answer() -> None:
    outbox = create_outbox()
    verdicts = Verdicts(outbox)
    proposal = m.Proposal("c", "ana", "")
    verdicts.forward(proposal, "r1", until=10)
    assert sent(outbox) == [("r1", m.ForwardedProposal(proposal))]
    verdicts.answered(IN_FORCE)
    verdicts.answered(IN_FORCE)
    assert concluded(outbox) == [IN_FORCE]


def test_forwarded_proposal_without_answer_is_open_at_deadline() -> None:
    outbox = create_outbox()
    verdicts = Verdicts(outbox)
    verdicts.forward(m.Proposal("c", "ana", ""), "r1", until=10)
    outbox.begin(9)
    verdicts.expire()
    assert concluded(outbox) == []
    outbox.begin(10)
    verdicts.expire()
    assert [(verdict.change_id, verdict.state) for verdict in concluded(outbox)] == [("c", "open")]
    outbox.begin(11)
    verdicts.expire()
    verdicts.answered(IN_FORCE)
    assert concluded(outbox) == []


def test_remembered_verdicts_are_bounded() -> None:
    verdicts = Verdicts(create_outbox())
    for number in range(1000):
        verdicts.refuse(f"c{number}", "nothing would change")
    known = [number for number in range(1000) if verdicts.final(f"c{number}") is not None]
    assert known == list(range(1000 - len(known), 1000))
    assert len(known) == REMEMBERED_VERDICTS + 1
