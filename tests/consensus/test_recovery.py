"""Recovery: the state that each record restores, and snapshots that replace records."""

from __future__ import annotations

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.records import (
    AcceptRecord,
    ClosedRecord,
    DecisionRecord,
    DiskStart,
    PeerStartRecord,
    PromiseRecord,
    Record,
    StartRecord,
    read_record,
)
from pebblepass.consensus.replica import Replica
from tests.consensus.helpers import setup, value

LOW, HIGH = m.Ballot(1, "r1.boot"), m.Ballot(2, "r2.boot")
LOG: list[Record] = [
    StartRecord("r0.disk", 3),
    PeerStartRecord("r1", "r1.disk", 5, "r1.boot"),
    DecisionRecord(value(1)),
    PromiseRecord(2, LOW),
    AcceptRecord(2, HIGH, value(2)),
    ClosedRecord(1),
]


def recover(records: list[Record]) -> Replica:
    return Replica(setup(), records, 0)


def test_records_restore_their_state() -> None:
    replica = recover(LOG)
    assert (replica.disk.disk_id, replica.disk.start_count) == ("r0.disk", 3)
    assert replica.disk.peer_starts == {"r1": DiskStart("r1.disk", 5, "r1.boot")}
    assert (replica.decided, replica.learner.durable_version) == (value(1), 1)
    assert list(replica.learner.history) == [value(1)]
    acceptor = replica.acceptor
    assert (acceptor.promised, acceptor.accepted, acceptor.value) == (HIGH, HIGH, value(2))
    assert replica.lease_server.closed_version == 1


def test_decision_clears_promises_for_its_version() -> None:
    replica = recover([*LOG, DecisionRecord(value(2))])
    assert (replica.acceptor.promised, replica.acceptor.value) == (m.NO_BALLOT, None)
    assert replica.learner.decided_changes == {1: "c1", 2: "c2"}


@pytest.mark.parametrize("count", range(1, len(LOG) + 1))
def test_snapshot_restores_the_same_state_as_its_records(count: int) -> None:
    snapshot = recover(LOG[:count]).snapshot()
    again = recover([read_record(m.encode(snapshot))])
    assert again.snapshot() == snapshot
    both = recover([snapshot, *LOG[count:]])
    assert both.snapshot() == recover(LOG).snapshot()
