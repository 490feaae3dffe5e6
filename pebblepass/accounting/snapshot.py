"""Snapshots of the ledger as files: written atomically, and validated when read."""

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
    """One account, in the form of `Ledger.export_rows`."""

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
    """The contents of a snapshot file."""

    format: str
    version: int
    router: str
    epoch: str
    """Identifies a gapless series of counts: a planned restart continues it, a kill starts a new one."""
    written_unix_ns: int
    closing: bool
    """Whether it was written at a planned stop; a successor continues it if no request is open."""
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
    """Encode a snapshot file."""
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
    """Decode and validate a snapshot of this router; raises SnapshotError if it can't be used."""
    try:
        snapshot = msgspec.json.decode(data, type=Snapshot)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SnapshotError(f"truncated, or not a snapshot: {' '.join(str(error).split())}") from None
    if snapshot.format != FORMAT or snapshot.version != VERSION:
        raise SnapshotError(f"unsupported format or version: {snapshot.format} {snapshot.version}")
    if snapshot.router != router:
        raise SnapshotError(f"belongs to another router: {snapshot.router}")
    for row in snapshot.figures:
        if row.taken != row.served + row.refused + row.failed + row.gone + row.open:
            raise SnapshotError(f"does not balance: class {row.name} in namespace {row.namespace}")
    return snapshot


def load_initial_state(path: Path, router: str, fresh_epoch: str) -> InitialState:
    """Return the state to start with; a closing snapshot without open requests is continued in its epoch.

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
