"""Each kind of message is dispatched to exactly one component of a replica."""

from __future__ import annotations

from typing import get_args

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.replica import Replica
from tests.consensus.helpers import sender, setup, value

BALLOT = m.Ballot(1, "r1.boot")
BODIES: list[m.Body] = [
    m.LeaseRequest(1, 1),
    m.LeaseGrant(1, 1, "r0.boot"),
    m.QuotaLeaseApplied(1, 1),
    m.Heartbeat(),
    m.StartConfirmed("r0.boot"),
    m.VersionDecided(value(1)),
    m.PolicyCheck(value(1)),
    m.PolicyCheckResult(1, "c1", ""),
    m.Prepare(1, BALLOT),
    m.Promise(1, BALLOT),
    m.Accept(1, BALLOT, value(1)),
    m.Accepted(1, BALLOT),
    m.Rejected(1, BALLOT, 2),
    m.Rejoin(),
    m.StaleDisk("r0.boot", 1),
    m.ForwardedProposal(m.Proposal("c", "ana", "")),
    m.ForwardedVerdict(m.Verdict("c", "open", 0, ())),
    m.LivenessQuery("r2"),
    m.LivenessReport("r2", 1),
]


def test_bodies_contain_every_kind_of_message() -> None:
    assert {type(body) for body in BODIES} == set(get_args(m.Body))
    assert len(BODIES) == len(get_args(m.Body))


@pytest.mark.parametrize("body", BODIES, ids=m.tag_of)
def test_message_is_dispatched_once_and_heartbeat_never(body: m.Body) -> None:
    replica = Replica(setup(), None, 0)
    replica.start(0)
    dispatches = (
        replica._handle_lease_message,
        replica._handle_peer_message,
        replica._handle_round_message,
        replica._handle_change_message,
    )
    reached = [dispatch(sender(), body) for dispatch in dispatches]
    assert reached.count(True) == (0 if isinstance(body, m.Heartbeat) else 1)
