"""Covers every row of the disk identity tables: starts are counted, and stale disk copies are detected."""

from __future__ import annotations

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import ChangeStep, Write
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.records import DiskStart, PeerStartRecord, StartRecord
from tests.consensus.helpers import VOTERS, create_outbox, sender, sent


def identity(disk_id: str = "r0.disk") -> tuple[DiskIdentity, Outbox]:
    outbox = create_outbox()
    return DiskIdentity("r0", "r0.boot", disk_id, outbox), outbox


def written(outbox: Outbox) -> list[object]:
    return [record for action in outbox.finish() if isinstance(action, Write) for record in action.records]


def steps(outbox: Outbox) -> list[str]:
    return [action.event for action in outbox.finish() if isinstance(action, ChangeStep)]


def test_starts_are_counted_only_with_a_disk() -> None:
    disk, outbox = identity()
    disk.restore("r0.disk", 4)
    disk.start()
    assert written(outbox) == [StartRecord("r0.disk", 5)]
    diskless, outbox = identity("")
    diskless.start()
    assert written(outbox) == []
    assert not diskless.can_vote(VOTERS)


def test_start_is_confirmed_by_a_quorum_of_voters() -> None:
    disk, _ = identity()
    disk.confirm("r9")  # not a voter
    assert not disk.is_confirmed(VOTERS, 2)
    disk.confirm("r1")
    disk.confirm("r1")
    assert disk.is_confirmed(VOTERS, 2)
    assert not disk.is_confirmed(VOTERS, 3)


@pytest.mark.parametrize(
    ("known", "votes"), [({"r0": "r0.disk"}, True), ({"r0": ""}, True), ({"r0": "other"}, False), ({}, False)]
)
def test_voter_can_vote_only_with_its_known_disk(known: dict[str, str], votes: bool) -> None:
    assert identity()[0].can_vote(known) is votes


def test_start_of_another_voter_is_written_once() -> None:
    disk, outbox = identity()
    disk.record_peer(sender(), 1)
    disk.record_peer(sender(), 1)
    disk.record_peer(sender(start_count=2, boot_id="next"), 1)
    assert written(outbox) == [
        PeerStartRecord("r1", "r1.disk", 1, "r1.boot"),
        PeerStartRecord("r1", "r1.disk", 2, "next"),
    ]
    assert disk.peer_starts["r1"] == DiskStart("r1.disk", 2, "next")


@pytest.mark.parametrize(
    "stale",
    [
        sender(start_count=2, boot_id="older"),
        sender(start_count=3, boot_id="copy"),
        sender(start_count=4, boot_id="next", durable_version=6),
    ],
)
def test_stale_disk_copy_is_reported_to_its_router(stale: m.Sender) -> None:
    disk, outbox = identity()
    disk.record_peer(sender(start_count=3, durable_version=7), 1)
    outbox.begin(1)
    assert disk.is_stale(stale)
    disk.record_peer(stale, 1)
    assert sent(outbox) == [("r1", m.StaleDisk(stale.boot_id, 3))]
    assert steps(outbox) == ["older disk"]
    assert disk.peer_starts["r1"] == DiskStart("r1.disk", 3, "r1.boot")


@pytest.mark.parametrize(
    "valid",
    [
        sender(start_count=3, durable_version=7),
        sender(start_count=3, durable_version=5),  # a delayed message of the same run
        sender(start_count=4, boot_id="next", durable_version=7),
        sender(start_count=1, boot_id="next", disk_id="another", durable_version=0),
    ],
)
def test_same_run_later_start_and_other_disk_are_not_stale(valid: m.Sender) -> None:
    disk, _ = identity()
    disk.record_peer(sender(start_count=3, durable_version=7), 1)
    assert not disk.is_stale(valid)


def test_router_with_stale_disk_continues_with_new_disk_id() -> None:
    disk, outbox = identity()
    disk.reported_stale(m.StaleDisk("an earlier run", 3), 1)
    assert disk.disk_id == "r0.disk"
    disk.reported_stale(m.StaleDisk("r0.boot", 3), 1)
    assert (disk.disk_id, disk.start_count) == ("r0.r0.boot.3", 1)
    assert written(outbox) == [StartRecord("r0.r0.boot.3", 1)]
    assert not disk.can_vote(VOTERS)
    outbox.send("r1", m.Heartbeat())
    assert sent(outbox) == []  # the record of the new id is not synced
