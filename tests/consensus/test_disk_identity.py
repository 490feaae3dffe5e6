"""Covers every row of the disk identity tables: starts are counted, and stale disk copies are detected."""

from __future__ import annotations

import pytest

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import ChangeStep, Write
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.records import DiskStart, PeerStartRecord, StartRecord
from tests.consensus.helpers import VOTERS, outbox, sender, sent


def identity(disk_id: str = "r0.disk") -> tuple[DiskIdentity, Outbox]:
    box = outbox()
    return DiskIdentity("r0", "r0.boot", disk_id, box), box


def written(box: Outbox) -> list[object]:
    return [record for action in box.finish() if isinstance(action, Write) for record in action.records]


def steps(box: Outbox) -> list[str]:
    return [action.event for action in box.finish() if isinstance(action, ChangeStep)]


def test_starts_are_counted_only_with_a_disk() -> None:
    disk, box = identity()
    disk.restore("r0.disk", 4)
    disk.start()
    assert written(box) == [StartRecord("r0.disk", 5)]
    diskless, box = identity("")
    diskless.start()
    assert written(box) == []
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
    disk, box = identity()
    disk.record_peer(sender(), 1)
    disk.record_peer(sender(), 1)
    disk.record_peer(sender(start_count=2, boot_id="next"), 1)
    assert written(box) == [
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
    disk, box = identity()
    disk.record_peer(sender(start_count=3, durable_version=7), 1)
    box.begin(1)
    assert disk.is_stale(stale)
    disk.record_peer(stale, 1)
    assert sent(box) == [("r1", m.StaleDisk(stale.boot_id, 3))]
    assert steps(box) == ["older disk"]
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
    disk, box = identity()
    disk.reported_stale(m.StaleDisk("an earlier run", 3), 1)
    assert disk.disk_id == "r0.disk"
    disk.reported_stale(m.StaleDisk("r0.boot", 3), 1)
    assert (disk.disk_id, disk.start_count) == ("r0.r0.boot.3", 1)
    assert written(box) == [StartRecord("r0.r0.boot.3", 1)]
    assert not disk.can_vote(VOTERS)
    box.send("r1", m.Heartbeat())
    assert sent(box) == []  # the record of the new id is not synced
