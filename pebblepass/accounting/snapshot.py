"""Snapshots of the ledger as files: written whole or not at all, and read with mistrust."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from pebblepass.storage.disk import Directory, replace_file

FORMAT, VERSION = "pebblepass-figures", 1


class SnapshotError(ValueError):
    """A snapshot can't be used; the text is one line."""


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One account, as `Ledger.figures` gives it."""

    name: str = msgspec.field(name="class")
    namespace: str
    taken: int
    served: int
    served_in_aim: int
    served_late: int
    refused: int
    refused_by_reason: dict[str, int]
    failed: int
    failed_by_reason: dict[str, int]
    gone: int
    open: int
    attempts: dict[str, int]
    origin_fetches: int
    bytes_taken: int
    bytes_served: int
    latency_us: list[tuple[int, int, int]]


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete snapshot."""

    format: str
    version: int
    router: str
    epoch: str
    """One series of counts without a gap: continued by a planned restart, a new one after a kill."""
    written_unix_ns: int
    closing: bool
    """Written at a planned stop, without open requests: a successor may continue it."""
    breaches: int
    figures: list[Row]


@dataclass(frozen=True, slots=True)
class InitialState:
    """The accounting state with which a router starts."""

    epoch: str
    rows: list[dict[str, Any]]
    unknown: int
    """Requests left open in the last snapshot of a killed predecessor; their outcome is unknown."""


def encode(
    router: str, epoch: str, unix_ns: int, closing: bool, breaches: int, figures: list[dict[str, Any]]
) -> bytes:
    """Return the bytes of a snapshot."""
    document = {
        "format": FORMAT,
        "version": VERSION,
        "router": router,
        "epoch": epoch,
        "written_unix_ns": unix_ns,
        "closing": closing,
        "breaches": breaches,
        "figures": figures,
    }
    return msgspec.json.encode(document) + b"\n"


def decode(data: bytes, router: str) -> Snapshot:
    """Parse a snapshot of this router; raises SnapshotError if it is broken or another router's."""
    try:
        snapshot = msgspec.json.decode(data, type=Snapshot)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError(f"half-written, or no snapshot: {' '.join(str(error).split())}") from None
    if snapshot.format != FORMAT or snapshot.version != VERSION:
        raise SnapshotError(f"of another form: {snapshot.format} {snapshot.version}")
    if snapshot.router != router:
        raise SnapshotError(f"of another router: {snapshot.router}")
    for row in snapshot.figures:
        if row.taken != row.served + row.refused + row.failed + row.gone + row.open:
            raise SnapshotError(f"does not add up: {row.name} in {row.namespace}")
    return snapshot


def load_initial_state(path: Path, router: str, fresh_epoch: str) -> InitialState:
    """Return the state to start with, continuing the epoch of a closing balance.

    Raises SnapshotError if the file can't be used.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return InitialState(fresh_epoch, [], 0)
    except OSError as error:
        raise SnapshotError(str(error.strerror)) from None
    snapshot = decode(data, router)
    left_open = sum(row.open for row in snapshot.figures)
    if not snapshot.closing or left_open:
        return InitialState(fresh_epoch, [], left_open)
    return InitialState(snapshot.epoch, [msgspec.to_builtins(row) for row in snapshot.figures], 0)


def write_file(path: Path, data: bytes) -> None:
    """Replace a file atomically; raises OSError."""
    replace_file(Directory(path.parent), path.name, data)
