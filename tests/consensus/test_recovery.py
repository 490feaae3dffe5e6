"""What each record restores, and that a snapshot stands for all of them."""

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
from tests.consensus.parts import setup, value

LOW, HIGH = m.Ballot(1, "r1.boot"), m.Ballot(2, "r2.boot")
LOG: list[Record] = [
    StartRecord("r0.disk", 3),
    PeerStartRecord("r1", "r1.disk", 5, "r1.boot"),
    DecisionRecord(value(1)),
    PromiseRecord(2, LOW),
    AcceptRecord(2, HIGH, value(2)),
    ClosedRecord(1),
]


def recovered(records: list[Record]) -> Replica:
    return Replica(setup(), records, 0)


def test_each_record_restores_its_part() -> None:
    replica = recovered(LOG)
    assert (replica.disk.disk_id, replica.disk.start_count) == ("r0.disk", 3)
    assert replica.disk.peer_starts == {"r1": DiskStart("r1.disk", 5, "r1.boot")}
    assert (replica.decided, replica.learner.durable_version) == (value(1), 1)
    assert list(replica.learner.history) == [value(1)]
    acceptor = replica.acceptor
    assert (acceptor.promised, acceptor.accepted, acceptor.value) == (HIGH, HIGH, value(2))
    assert replica.lease_server.closed_version == 1


def test_a_decision_drops_the_promises_for_its_version() -> None:
    replica = recovered([*LOG, DecisionRecord(value(2))])
    assert (replica.acceptor.promised, replica.acceptor.value) == (m.NO_BALLOT, None)
    assert replica.learner.decided_changes == {1: "c1", 2: "c2"}


@pytest.mark.parametrize("count", range(1, len(LOG) + 1))
def test_a_snapshot_restores_what_the_records_before_it_do(count: int) -> None:
    snapshot = recovered(LOG[:count]).snapshot()
    again = recovered([read_record(m.encode(snapshot))])
    assert again.snapshot() == snapshot
    both = recovered([snapshot, *LOG[count:]])
    assert both.snapshot() == recovered(LOG).snapshot()
