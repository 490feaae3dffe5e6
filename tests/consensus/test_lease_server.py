"""Covers every row of the lease server's state table: when a version is granted, released and closed."""

from __future__ import annotations

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Write
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.lease_server import LeaseServer
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.quota_allocator import QuotaAllocator
from pebblepass.consensus.records import ClosedRecord
from tests.consensus.helpers import SECOND, TERMS, create_outbox, sender, sent, setup, value


class LeaseServerHarness:
    """A voter at version 1, whose start is synced."""

    def __init__(self, restarted: bool = False) -> None:
        replica_setup = setup()
        self.outbox = create_outbox()
        self.learner = Learner("r0", replica_setup.genesis, replica_setup.check, self.outbox)
        self.learner.learn(value(1), (), keeps_disk=False)
        self.disk = DiskIdentity("r0", "r0.boot", "r0.disk", self.outbox)
        self.peers = PeerTable(TERMS.renewal_interval, 0)
        allocator = QuotaAllocator(TERMS, 0, restarted=restarted)
        self.server = LeaseServer(
            replica_setup, self.learner, self.disk, self.peers, self.outbox, allocator, restarted
        )

    def request(self, name: str, sequence: int, version: int, now: int = 0) -> list[tuple[str, m.Body]]:
        """Return the answers to a router's request."""
        self.outbox.begin(now)
        self.server.request(sender(name), m.LeaseRequest(sequence, version))
        return sent(self.outbox)

    def settle(self, now: int) -> list[tuple[str, m.Body]]:
        """Return the announcements at a time."""
        self.outbox.begin(now)
        self.server.settle()
        return sent(self.outbox)

    def release(self, *names: str, version: int = 1) -> None:
        """Let these routers report that they have released a version."""
        for name in names:
            self.peers.record(sender(name, released_version=version), 0)


GRANT = m.LeaseGrant(1, 1, "r1.boot")


def test_only_the_decided_version_is_granted() -> None:
    harness = LeaseServerHarness()
    assert harness.request("r1", 1, 1) == [("r1", GRANT)]
    assert harness.request("r2", 1, 2) == []
    assert harness.request("r1", 1, 1) == []  # an outdated request
    assert harness.request("r9", 1, 1) == []  # not a member


def test_router_with_stale_disk_gets_no_lease() -> None:
    harness = LeaseServerHarness()
    harness.disk.record_peer(sender("r1", start_count=2, boot_id="later"), 1)
    assert harness.request("r1", 1, 1) == []


def test_router_that_cannot_vote_grants_nothing() -> None:
    harness = LeaseServerHarness()
    harness.disk.restore("another", 1)
    assert harness.request("r1", 1, 1) == []


def test_version_is_granted_when_durable_and_previous_closed() -> None:
    harness = LeaseServerHarness()
    harness.learner.learn(value(2), (), keeps_disk=True)
    assert harness.request("r1", 1, 2) == []
    harness.outbox.mark_synced(1)
    harness.learner.update_durable_version()
    harness.server.grant()
    assert sent(harness.outbox) == []
    harness.server.close(1)
    harness.server.grant()
    assert sent(harness.outbox) == [("r1", m.LeaseGrant(1, 2, "r1.boot"))]


def test_version_is_released_after_expiry_and_closed_by_quorum() -> None:
    harness = LeaseServerHarness()
    harness.request("r1", 1, 1)
    harness.learner.learn(value(2), (), keeps_disk=False)
    expiry = TERMS.granter_duration
    assert harness.settle(expiry - 1) == []
    assert harness.server.next_release(expiry - 1) == expiry
    assert harness.server.released_version == 0
    assert harness.settle(expiry) == [("r1", m.Heartbeat()), ("r2", m.Heartbeat())]
    assert (harness.server.released_version, harness.server.closed_version) == (1, 0)
    assert harness.server.next_release(expiry) is None
    harness.release("r2")
    assert harness.settle(expiry) == [("r1", m.Heartbeat()), ("r2", m.Heartbeat())]
    assert harness.server.closed_version == 1
    records = [action.records for action in harness.outbox.finish() if isinstance(action, Write)]
    assert records == [(ClosedRecord(1),)]


def test_request_on_next_version_releases_previous_at_once() -> None:
    harness = LeaseServerHarness()
    harness.request("r1", 1, 1)
    harness.learner.learn(value(2), (), keeps_disk=False)
    harness.request("r1", 2, 2)
    harness.settle(1)
    assert harness.server.released_version == 1


def test_restarted_voter_waits_for_leases_of_its_earlier_run() -> None:
    harness = LeaseServerHarness(restarted=True)
    harness.learner.learn(value(2), (), keeps_disk=False)
    harness.settle(TERMS.granter_duration - 1)
    assert harness.server.released_version == 0
    harness.settle(TERMS.granter_duration)
    assert harness.server.released_version == 1


@pytest.mark.parametrize(
    ("state", "counts"),
    [
        (sender("r1", released_version=1), True),
        (sender("r1", released_version=0), False),
        (sender("r1", released_version=1, disk_id="another"), False),
    ],
)
def test_release_counts_only_from_the_known_disk(state: m.Sender, counts: bool) -> None:
    harness = LeaseServerHarness()
    harness.peers.record(state, SECOND)
    assert harness.server.has_released("r1", "r1.disk", 1) is counts
    assert not harness.server.has_released("r2", "r2.disk", 1)  # no message from r2 has arrived
