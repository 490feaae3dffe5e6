"""Every edge of the lease server's table: what is granted, released and closed, and when."""

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
from tests.consensus.parts import SECOND, TERMS, outbox, sender, sent, setup, value


class Bench:
    """A voter at version 1, whose start is synced."""

    def __init__(self, restarted: bool = False) -> None:
        made = setup()
        self.outbox = outbox()
        self.learner = Learner("r0", made.genesis, made.check, self.outbox)
        self.learner.learn(value(1), (), keeps_disk=False)
        self.disk = DiskIdentity("r0", "r0.boot", "r0.disk", self.outbox)
        self.peers = PeerTable(TERMS.renewal_interval, 0)
        allocator = QuotaAllocator(TERMS, 0, restarted=restarted)
        self.server = LeaseServer(
            made, self.learner, self.disk, self.peers, self.outbox, allocator, restarted
        )

    def request(self, name: str, sequence: int, version: int, now: int = 0) -> list[tuple[str, m.Body]]:
        """What a router's request is answered with."""
        self.outbox.begin(now)
        self.server.request(sender(name), m.LeaseRequest(sequence, version))
        return sent(self.outbox)

    def settle(self, now: int) -> list[tuple[str, m.Body]]:
        """What is announced at a time."""
        self.outbox.begin(now)
        self.server.settle()
        return sent(self.outbox)

    def release(self, *names: str, version: int = 1) -> None:
        """Let these routers report that they have released a version."""
        for name in names:
            self.peers.record(sender(name, released_version=version), 0)


GRANT = m.LeaseGrant(1, 1, "r1.boot")


def test_the_decided_version_is_granted_and_another_one_is_not() -> None:
    bench = Bench()
    assert bench.request("r1", 1, 1) == [("r1", GRANT)]
    assert bench.request("r2", 1, 2) == []
    assert bench.request("r1", 1, 1) == []  # an old request
    assert bench.request("r9", 1, 1) == []  # no member


def test_a_router_with_a_stale_disk_gets_no_lease() -> None:
    bench = Bench()
    bench.disk.record_peer(sender("r1", start_count=2, boot_id="later"), 1)
    assert bench.request("r1", 1, 1) == []


def test_a_router_without_a_vote_grants_nothing() -> None:
    bench = Bench()
    bench.disk.restore("another", 1)
    assert bench.request("r1", 1, 1) == []


def test_a_version_is_granted_once_it_is_durable_and_the_one_before_is_closed() -> None:
    bench = Bench()
    bench.learner.learn(value(2), (), keeps_disk=True)
    assert bench.request("r1", 1, 2) == []
    bench.outbox.synced(1)
    bench.learner.written()
    bench.server.grant()
    assert sent(bench.outbox) == []
    bench.server.close(1)
    bench.server.grant()
    assert sent(bench.outbox) == [("r1", m.LeaseGrant(1, 2, "r1.boot"))]


def test_a_version_is_released_when_its_leases_have_expired_and_closed_by_a_quorum() -> None:
    bench = Bench()
    bench.request("r1", 1, 1)
    bench.learner.learn(value(2), (), keeps_disk=False)
    end = TERMS.granter_duration
    assert bench.settle(end - 1) == []
    assert bench.server.next_release(end - 1) == end
    assert bench.server.released_version == 0
    assert bench.settle(end) == [("r1", m.Heartbeat()), ("r2", m.Heartbeat())]
    assert (bench.server.released_version, bench.server.closed_version) == (1, 0)
    assert bench.server.next_release(end) is None
    bench.release("r2")
    assert bench.settle(end) == [("r1", m.Heartbeat()), ("r2", m.Heartbeat())]
    assert bench.server.closed_version == 1
    records = [each.records for each in bench.outbox.finish() if isinstance(each, Write)]
    assert records == [(ClosedRecord(1),)]


def test_a_request_on_the_next_version_releases_the_one_before_at_once() -> None:
    bench = Bench()
    bench.request("r1", 1, 1)
    bench.learner.learn(value(2), (), keeps_disk=False)
    bench.request("r1", 2, 2)
    bench.settle(1)
    assert bench.server.released_version == 1


def test_a_restarted_voter_waits_for_the_leases_of_its_last_run() -> None:
    bench = Bench(restarted=True)
    bench.learner.learn(value(2), (), keeps_disk=False)
    bench.settle(TERMS.granter_duration - 1)
    assert bench.server.released_version == 0
    bench.settle(TERMS.granter_duration)
    assert bench.server.released_version == 1


@pytest.mark.parametrize(
    ("state", "counts"),
    [
        (sender("r1", released_version=1), True),
        (sender("r1", released_version=0), False),
        (sender("r1", released_version=1, disk_id="another"), False),
    ],
)
def test_a_release_counts_on_the_voters_disk_only(state: m.Sender, counts: bool) -> None:
    bench = Bench()
    bench.peers.record(state, SECOND)
    assert bench.server.has_released("r1", "r1.disk", 1) is counts
    assert not bench.server.has_released("r2", "r2.disk", 1)  # nothing was received from it
