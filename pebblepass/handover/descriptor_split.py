"""How two processes share the descriptors of one router during an upgrade. No I/O."""

from __future__ import annotations

from typing import NamedTuple

MIN_SERVER_CONNECTIONS = 2  # that the predecessor may still have, for the requests that it has accepted


class ConnectionLimits(NamedTuple):
    """The maximum number of connections of each kind that a process may have."""

    clients: int
    servers: int


class DescriptorSplit:
    """Connection limits under which two processes together use no more descriptors than one router."""

    def __init__(self, clients: int, servers: int, overhead: int) -> None:
        """`clients` and `servers`: the connection limits of a process that runs alone.

        `overhead`: the descriptors that a process needs for other purposes, among them connections of clients
        that it rejects.
        """
        self.full = ConnectionLimits(clients, servers)
        """The limits of a process that runs alone."""
        self.shared = ConnectionLimits(max(clients - overhead // 2, 1), max(servers - overhead // 2, 1))
        """The limits of two processes together. The overhead of the second process is deducted."""

    def remaining(self, clients: int, servers: int) -> ConnectionLimits:
        """Return the successor's limits while the predecessor still has this many connections."""
        return ConnectionLimits(max(self.shared.clients - clients, 0), max(self.shared.servers - servers, 0))


def predecessor_server_limit(limit: int, needed: int, open_requests: int, exchanges: int) -> int:
    """Return the new limit of the predecessor's connections to servers; it never grows.

    `limit` is the current one, and `needed` the number of connections that the exchanges can use at once.
    An open request without an exchange may begin one at any time, so each has a connection of its own.
    """
    not_begun = max(open_requests - exchanges, 0)
    return min(limit, max(needed + not_begun, MIN_SERVER_CONNECTIONS))
