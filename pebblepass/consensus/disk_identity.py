"""Disk identity: detects voters whose disk was replaced or restored from an older copy. No I/O, no clock.

A voter's promises are on its disk. A disk that was replaced, or restored from an older copy, lacks some of
them. So each disk has an id and counts the process starts from it, and the other voters remember the count
and the latest run. A voter may vote once a quorum has confirmed its start.

| state of this disk | event | guard | next |
| --- | --- | --- | --- |
| started | confirmed by a voter | less than a quorum | started |
| started | confirmed by a voter | a quorum | confirmed: the router may vote |
| any | reported as stale | the report is about this run | started, with a new disk id that has to rejoin |

| state of another voter's disk | event | guard | next |
| --- | --- | --- | --- |
| any | message | another disk id, a later start, or the same run | known start |
| known start | message | fewer starts, or as many by another run | stale: reported, and granted no lease |
| known start | message | another run, and an older durable version | stale: reported, and granted no lease |
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.records import DiskStart, PeerStartRecord, StartRecord

UNKNOWN_START = DiskStart("", 0, "")


class _DurableVersion(Struct, frozen=True):
    """The latest decided version that one run of a process has reported as synced to its disk."""

    disk_id: str = ""
    boot_id: str = ""
    version: int = 0


NO_DURABLE_VERSION = _DurableVersion()


class DiskIdentity:
    """The identity of this router's disk, and the latest known starts from the other voters' disks."""

    def __init__(self, name: str, boot_id: str, new_disk_id: str, outbox: Outbox) -> None:
        self._name, self._boot_id, self._outbox = name, boot_id, outbox
        self.disk_id, self.start_count = new_disk_id, 0
        self.peer_starts: dict[str, DiskStart] = {}
        self._durable: dict[str, _DurableVersion] = {}
        self._confirming_voters: set[str] = set()

    def restore(self, disk_id: str, start_count: int) -> None:
        """Restore the identity from a record of the log."""
        self.disk_id, self.start_count = disk_id, start_count

    def start(self) -> None:
        """Count this start, if there is a disk."""
        if self.disk_id:
            self.start_count += 1
            self._outbox.write_start(StartRecord(self.disk_id, self.start_count))

    def can_vote(self, voters: Mapping[str, str]) -> bool:
        """Whether this router is a voter and uses the disk with which it became one."""
        expected = voters.get(self._name)
        return expected is not None and bool(self.disk_id) and expected in ("", self.disk_id)

    def confirm(self, voter: str) -> None:
        """Record that a voter knows of this start."""
        self._confirming_voters.add(voter)

    def is_confirmed(self, voters: Iterable[str], needed: int) -> bool:
        """Whether a quorum knows of this start, so that a start from an older copy would be detected."""
        return len(self._confirming_voters.intersection(voters)) + 1 >= needed

    def record_peer(self, sender: m.Sender, version: int) -> None:
        """Record the start of another voter from a message; `version`: the decided one, for the log."""
        start = DiskStart(sender.disk_id, sender.start_count, sender.boot_id)
        if self.is_stale(sender):
            known = self.peer_starts[sender.name].start_count
            cause = f"start {sender.start_count}, but start {known} is known"
            self._outbox.log_step("older disk", version, sender.name, cause)
            self._outbox.send(sender.name, m.StaleDisk(sender.boot_id, known), sender.boot_id)
        elif self.peer_starts.get(sender.name) != start:
            self.peer_starts[sender.name] = start
            if self.disk_id:
                record = PeerStartRecord(sender.name, start.disk_id, start.start_count, start.boot_id)
                self._outbox.write(record)
        if not self.is_stale(sender):
            self._record_durable_version(sender)

    def _record_durable_version(self, sender: m.Sender) -> None:
        known = self._durable.get(sender.name, NO_DURABLE_VERSION)
        is_same_run = (known.disk_id, known.boot_id) == (sender.disk_id, sender.boot_id)
        if not is_same_run or sender.durable_version > known.version:
            durable = _DurableVersion(sender.disk_id, sender.boot_id, sender.durable_version)
            self._durable[sender.name] = durable

    def is_stale(self, sender: m.Sender) -> bool:
        """Whether the sender was started from an older copy of its disk."""
        start = self.peer_starts.get(sender.name, UNKNOWN_START)
        if not start.disk_id or start.disk_id != sender.disk_id:
            return False
        known = self._durable.get(sender.name, NO_DURABLE_VERSION)
        is_other_run = known.disk_id == start.disk_id and known.boot_id != sender.boot_id
        if is_other_run and sender.durable_version < known.version:
            return True  # the disk lacks a version that it had synced before
        # Warning: a copy made before the last start repeats that start with the same number.
        is_repeated = sender.start_count == start.start_count and sender.boot_id != start.boot_id
        return sender.start_count < start.start_count or is_repeated

    def reported_stale(self, report: m.StaleDisk, version: int) -> None:
        """Handle a report that this disk is an older copy; `version`: the decided one, for the log."""
        # A report about an earlier run may arrive late.
        if report.boot_id == self._boot_id and self.disk_id:
            self.disk_id = f"{self._name}.{self._boot_id}.{report.start_count}"
            self.start_count = 1
            cause = "the disk may lack promises; this router has to rejoin with a new disk id"
            self._outbox.log_step("older disk", version, self._name, cause)
            self._outbox.write_start(StartRecord(self.disk_id, self.start_count))
