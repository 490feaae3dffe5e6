"""Records of a router's consensus log. No I/O.

`rename` and `tag` define the names on disk, which the frozen bytes in `tests/compatibility` pin.
"""

from __future__ import annotations

import msgspec

from pebblepass.consensus.messages import Ballot, DecidedChange, Value


class StartRecord(
    msgspec.Struct, frozen=True, tag="booted", rename={"disk_id": "incarnation", "start_count": "boots"}
):
    """A process was started from this disk."""

    disk_id: str
    start_count: int


class PromiseRecord(msgspec.Struct, frozen=True, tag="promised"):
    """A promise for the version after the decided one."""

    version: int
    ballot: Ballot


class AcceptRecord(msgspec.Struct, frozen=True, tag="took"):
    """A value that was accepted for the version after the decided one."""

    version: int
    ballot: Ballot
    value: Value


class DecisionRecord(msgspec.Struct, frozen=True, tag="decided"):
    """A decided version."""

    value: Value


class PeerStartRecord(
    msgspec.Struct,
    frozen=True,
    tag="seen",
    rename={"disk_id": "incarnation", "start_count": "boots", "boot_id": "boot"},
):
    """The latest known start from another voter's disk."""

    name: str
    disk_id: str
    start_count: int
    boot_id: str


class ClosedRecord(msgspec.Struct, frozen=True, tag="closed"):
    """No router can hold a lease on this version or an older one any more."""

    version: int


class DiskStart(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A start of a process from a voter's disk; encoded as an array."""

    disk_id: str
    start_count: int
    boot_id: str


class SnapshotRecord(
    msgspec.Struct,
    frozen=True,
    tag="whole",
    rename={
        "disk_id": "incarnation",
        "start_count": "boots",
        "peer_starts": "seen",
        "closed_version": "closed",
        "decided_changes": "past",
    },
):
    """The complete state, in one record that replaces all before it."""

    disk_id: str
    start_count: int
    decided: Value
    promised: Ballot | None
    accepted: Ballot | None
    value: Value | None
    """The value that was accepted with the ballot `accepted`."""
    peer_starts: dict[str, DiskStart]
    history: tuple[Value, ...]
    closed_version: int
    decided_changes: tuple[DecidedChange, ...]


Record = (
    StartRecord
    | PromiseRecord
    | AcceptRecord
    | DecisionRecord
    | PeerStartRecord
    | ClosedRecord
    | SnapshotRecord
)

_record_decoder = msgspec.msgpack.Decoder(Record)


def read_record(data: bytes) -> Record:
    """Decode a record; raises ValueError with a one-line text."""
    return _record_decoder.decode(data)
