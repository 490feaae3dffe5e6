"""Watches how much of the memory limit is in use, and by what; warns when the process is near it."""

from __future__ import annotations

import logging
from collections.abc import Callable

from msgspec import Struct

from pebblepass.daemon.process_memory import resident_bytes

NEAR_LIMIT_FRACTION = 0.9
WARNING_INTERVAL_S = 5.0
MIB = 1 << 20

log = logging.getLogger("pebblepass")


class MemoryUse(Struct, frozen=True):
    """One use of memory, as the router counts it."""

    name: str
    used: int
    """Bytes."""
    total: int
    """Bytes that this use may take at most."""


class ClientFigures(Struct, frozen=True):
    """What clients' connections wait for."""

    connected: int
    partial_commands: int
    """Connections whose current command is incomplete."""
    deferred: int
    """Connections with complete commands that are not dispatched yet."""
    paused: int
    """Connections that are not read."""
    blocked: int
    """Connections whose clients do not read their replies."""

    def text(self) -> str:
        """Return the figures as part of a log line."""
        return (
            f"{self.connected} clients ({self.partial_commands} with a partial command, {self.deferred} with"
            f" deferred commands, {self.paused} not read, {self.blocked} that do not read)"
        )


class MemorySources(Struct, frozen=True):
    """The callbacks that provide the figures."""

    uses: Callable[[], list[MemoryUse]]
    clients: Callable[[], ClientFigures]
    open_requests: Callable[[], int]


class MemoryMonitor:
    """Compares the resident memory with the limit."""

    def __init__(
        self, limit: int, sources: MemorySources, resident: Callable[[int], int] = resident_bytes
    ) -> None:
        """`limit`: in bytes; `resident`: returns the bytes that are resident, or its argument if unknown."""
        self._limit, self._sources, self._resident = limit, sources, resident
        self._warned_at = float("-inf")

    def check(self, now: float) -> None:
        """Warn if the process is near the limit; `now` is loop time in seconds."""
        resident = self._resident(0)
        if resident <= self._limit * NEAR_LIMIT_FRACTION or now - self._warned_at < WARNING_INTERVAL_S:
            return
        self._warned_at = now
        sources = self._sources
        uses = ", ".join(f"{use.name} {_mib(use.used)} of {_mib(use.total)}" for use in sources.uses())
        log.warning(
            "%s of %s MB of memory in use: %s MB; %d open requests; %s",
            _mib(resident),
            _mib(self._limit),
            uses,
            sources.open_requests(),
            sources.clients().text(),
        )

    def lines(self) -> list[str]:
        """Return all figures, one line each: a name and a number."""
        sources = self._sources
        clients = sources.clients()
        lines = [f"memory.resident_bytes {self._resident(0)}", f"memory.limit_bytes {self._limit}"]
        for use in sources.uses():
            name = use.name.replace(" ", "_")
            lines += [f"memory.{name}.used_bytes {use.used}", f"memory.{name}.total_bytes {use.total}"]
        lines.append(f"requests.open {sources.open_requests()}")
        fields = ClientFigures.__struct_fields__
        return lines + [f"clients.{field} {getattr(clients, field)}" for field in fields]


def _mib(size: int) -> str:
    return f"{size / MIB:.1f}"
