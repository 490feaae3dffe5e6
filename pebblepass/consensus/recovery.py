"""Recovers a replica's state from the records of its log, and makes the snapshots that replace them. No I/O.

| record | restored state |
| --- | --- |
| snapshot | everything |
| start, peer start | disk identity |
| promise, accept | acceptor |
| decision | learner; the acceptor opens the next version |
| closed | lease server |
"""

from __future__ import annotations

from pebblepass.consensus.acceptor import Acceptor
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.lease_server import LeaseServer
from pebblepass.consensus.messages import NO_BALLOT
from pebblepass.consensus.records import (
    AcceptRecord,
    ClosedRecord,
    DecisionRecord,
    DiskStart,
    PeerStartRecord,
    PromiseRecord,
    Record,
    SnapshotRecord,
    StartRecord,
)


class Recovery:
    """Restores the durable state of a replica, and makes snapshots of it."""

    def __init__(
        self, learner: Learner, acceptor: Acceptor, disk: DiskIdentity, lease_server: LeaseServer
    ) -> None:
        self._learner, self._acceptor = learner, acceptor
        self._disk, self._lease_server = disk, lease_server

    def restore(self, record: Record) -> None:
        """Restore the state from a record. Records are restored in the order of the log."""
        match record:
            case SnapshotRecord():
                self._restore_snapshot(record)
            case StartRecord():
                self._disk.restore(record.disk_id, record.start_count)
            case PromiseRecord():
                self._acceptor.promised = record.ballot
            case AcceptRecord():
                self._acceptor.restore(record.ballot, record.ballot, record.value)
            case DecisionRecord():
                self._learner.restore_decision(record.value)
                self._acceptor.reset()
            case ClosedRecord():
                self._lease_server.restore_closed(record.version)
            case PeerStartRecord():
                start = DiskStart(record.disk_id, record.start_count, record.boot_id)
                self._disk.peer_starts[record.name] = start

    def _restore_snapshot(self, record: SnapshotRecord) -> None:
        self._disk.restore(record.disk_id, record.start_count)
        self._disk.peer_starts = dict(record.peer_starts)
        self._learner.restore_history(record.decided, record.history, record.decided_changes)
        self._acceptor.restore(record.promised or NO_BALLOT, record.accepted, record.value)
        self._lease_server.restore_closed(record.closed_version)

    def snapshot(self) -> SnapshotRecord:
        """Return the complete durable state, in one record."""
        learner, acceptor = self._learner, self._acceptor
        return SnapshotRecord(
            self._disk.disk_id,
            self._disk.start_count,
            learner.decided,
            acceptor.promised,
            acceptor.accepted,
            acceptor.value,
            dict(self._disk.peer_starts),
            tuple(learner.history),
            self._lease_server.closed_version,
            learner.known_changes(),
        )
