"""Covers every row of the acceptor's state table, and the guards of a vote."""

from __future__ import annotations

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.acceptor import Acceptor, Vote, quorum
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.lease_server import LeaseServer
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.quota_allocator import QuotaAllocator
from pebblepass.consensus.records import AcceptRecord, PromiseRecord
from pebblepass.consensus.voter import Voter
from tests.consensus.helpers import NAMES, SECOND, TERMS, VOTERS, create_outbox, sender, sent, setup, value

LOW, MIDDLE, HIGH = (m.Ballot(number, f"r{number}.boot") for number in (1, 2, 3))
VALUE = value(2)


def acceptor_with_promise(ballot: m.Ballot) -> Acceptor:
    acceptor = Acceptor(0)
    acceptor.prepare(m.Prepare(2, ballot))
    return acceptor


def test_higher_ballot_is_promised_and_accepted_value_reported() -> None:
    acceptor = acceptor_with_promise(LOW)
    acceptor.accept(m.Accept(2, LOW, VALUE), 0)
    vote = acceptor.prepare(m.Prepare(2, HIGH))
    assert vote == Vote(m.Promise(2, HIGH, LOW, VALUE), PromiseRecord(2, HIGH))
    assert acceptor.promised == HIGH


@pytest.mark.parametrize("ballot", [LOW, MIDDLE])
def test_prepare_with_same_or_lower_ballot_is_rejected(ballot: m.Ballot) -> None:
    acceptor = acceptor_with_promise(MIDDLE)
    assert acceptor.prepare(m.Prepare(2, ballot)) == Vote(m.Rejected(2, ballot, 2))
    assert acceptor.promised == MIDDLE


@pytest.mark.parametrize("ballot", [MIDDLE, HIGH])
def test_accept_with_promised_or_higher_ballot_succeeds(ballot: m.Ballot) -> None:
    acceptor = acceptor_with_promise(MIDDLE)
    vote = acceptor.accept(m.Accept(2, ballot, VALUE), 0)
    assert vote == Vote(m.Accepted(2, ballot), AcceptRecord(2, ballot, VALUE))
    assert (acceptor.promised, acceptor.accepted, acceptor.value) == (ballot, ballot, VALUE)


def test_accept_with_lower_ballot_is_rejected() -> None:
    acceptor = acceptor_with_promise(MIDDLE)
    assert acceptor.accept(m.Accept(2, LOW, VALUE), 0) == Vote(m.Rejected(2, LOW, 2))
    assert (acceptor.promised, acceptor.accepted, acceptor.value) == (MIDDLE, None, None)


def test_decision_clears_the_state_for_the_next_version() -> None:
    acceptor = acceptor_with_promise(LOW)
    acceptor.accept(m.Accept(2, LOW, VALUE), 0)
    acceptor.version_decided(SECOND)
    assert (acceptor.promised, acceptor.accepted, acceptor.value) == (m.NO_BALLOT, None, None)
    assert acceptor.takeover_at("r0", VOTERS, SECOND) is None


def test_takeover_delays_increase_in_order_of_voter_names() -> None:
    acceptor = Acceptor(0)
    acceptor.accept(m.Accept(2, LOW, VALUE), SECOND)
    times = [acceptor.takeover_at(name, VOTERS, SECOND) or 0 for name in NAMES]
    assert times == sorted(set(times))
    assert times[0] == SECOND + SECOND // 4
    assert times[-1] < SECOND + SECOND // 2


def test_quorum_is_a_majority_and_all_voters_when_forming() -> None:
    assert [quorum(dict.fromkeys(map(str, range(count)), ""), False) for count in range(1, 6)] == [
        1,
        2,
        2,
        3,
        3,
    ]
    assert quorum(VOTERS, True) == 3


class VoterHarness:
    """A voter of a fleet at version 1."""

    def __init__(self, version: int = 1) -> None:
        replica_setup = setup()
        self.outbox, self.acceptor = create_outbox(), Acceptor(0)
        self.learner = Learner("r0", replica_setup.genesis, replica_setup.check, self.outbox)
        if version:
            self.learner.restore_decision(value(version))
        self.disk = DiskIdentity("r0", "r0.boot", "r0.disk", self.outbox)
        allocator = QuotaAllocator(TERMS, 0, restarted=False)
        peers = PeerTable(TERMS.renewal_interval, 0)
        self.server = LeaseServer(
            replica_setup, self.learner, self.disk, peers, self.outbox, allocator, False
        )
        self.voter = Voter(replica_setup, self.learner, self.disk, self.acceptor, self.server, self.outbox)

    def vote(self, request: m.Prepare | m.Accept) -> list[tuple[str, m.Body]]:
        """Return the answers to a request after its records are synced."""
        self.outbox.begin(0)
        self.voter.vote(sender(), request)
        assert not any(isinstance(body, m.Promise | m.Accepted) for _, body in sent(self.outbox))
        self.outbox.mark_synced(99)
        self.outbox.send_waiting()
        return sent(self.outbox)


def test_confirmed_voter_votes_only_on_the_next_version() -> None:
    harness = VoterHarness()
    assert harness.vote(m.Prepare(2, LOW)) == []  # its start is not confirmed
    harness.disk.confirm("r2")
    assert harness.vote(m.Prepare(1, LOW)) == []
    assert harness.vote(m.Prepare(3, LOW)) == []
    assert harness.vote(m.Prepare(2, LOW)) == [("r1", m.Promise(2, LOW))]
    assert harness.vote(m.Accept(2, LOW, VALUE)) == [("r1", m.Accepted(2, LOW))]
    assert harness.voter.takeover_at() is not None


def test_router_with_another_disk_neither_votes_nor_takes_over() -> None:
    harness = VoterHarness()
    harness.disk.confirm("r2")
    harness.disk.restore("r0.other", 1)
    assert harness.vote(m.Prepare(2, LOW)) == []
    assert not harness.voter.can_vote
    assert harness.voter.takeover_at() is None


def test_vote_is_rejected_until_the_older_version_is_closed() -> None:
    harness = VoterHarness(version=2)
    harness.disk.confirm("r2")
    assert harness.vote(m.Prepare(3, LOW)) == [("r1", m.Rejected(3, LOW, 0))]
    harness.server.restore_closed(1)
    assert harness.vote(m.Prepare(3, LOW)) == [("r1", m.Promise(3, LOW))]


def test_value_that_forms_another_fleet_is_ignored() -> None:
    harness = VoterHarness(version=0)
    for name in ("r1", "r2"):
        harness.disk.confirm(name)
    other = m.Value(1, "form", "form", VALUE.policy, m.Fleet({}, {"r0": "", "r9": ""}), {})
    assert harness.vote(m.Accept(1, LOW, other)) == []
    formed = value(1, "form", "form")
    assert harness.vote(m.Accept(1, LOW, formed)) == [("r1", m.Accepted(1, LOW))]
