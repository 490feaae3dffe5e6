"""How two processes split the descriptors of one router. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class ConnectionLimits(NamedTuple):
    """How many connections of each kind a process may have."""

    clients: int
    servers: int


class DescriptorSplit:
    """Limits for connections: two processes together have the descriptors of one router."""

    def __init__(self, clients: int, servers: int, overhead: int) -> None:
        """`clients` and `servers`: connections of a router that runs alone.

        `overhead`: descriptors that a process needs beside them: its own, and those for clients that are only
        rejected.
        """
        self.full = ConnectionLimits(clients, servers)
        """Limits of a process that runs alone."""
        self.shared = ConnectionLimits(max(clients - overhead // 2, 1), max(servers - overhead // 2, 1))
        """Limits of two processes together: the overhead of the second one is deducted."""

    def remaining(self, clients: int, servers: int) -> ConnectionLimits:
        """Return the successor's limits while the predecessor, which opens no more, has so many."""
        return ConnectionLimits(max(self.shared.clients - clients, 0), max(self.shared.servers - servers, 0))
