"""The server list."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class ListKind(Enum):
    """What a ServersChanged event contains."""

    DELTA = "delta"
    """The entries that changed."""
    FULL = "full"
    """The complete list."""
    CACHED = "cached"
    """The complete list from an earlier run, possibly outdated."""
    FAILED = "failed"
    """Nothing: the list could not be fetched."""


class ServerState(Enum):
    """The state of a listed server."""

    REMOVED = "gone"
    READY = "ready"
    DRAINING = "draining"


class Server(Struct, frozen=True):
    """One entry of the server list."""

    id: str
    kind: str = ""
    """Its machine kind."""
    state: ServerState = ServerState.READY
    weight: float = 1.0
    """Its size relative to other servers, if the settings are `weighted`."""
    started: int = 0
    """When it started (clock time, nanoseconds); 0: longer ago than any warm-up."""
    zone: str = ""
    cell: int = 0
