"""Allocation of a process's descriptors, so that no use of them exhausts another's. No I/O, no clock.

The table in docs/design/operations.md explains each number.
"""

from __future__ import annotations

from msgspec import Struct

PENDING_ACCEPTS = 3
"""Connections that are accepted but not yet registered or closed."""
DISCOVERY_DESCRIPTORS = 5
"""Three calls at the current address, and one at each of two earlier addresses."""
BASE_DESCRIPTORS = 20 + DISCOVERY_DESCRIPTORS
"""Streams 3, event loop 10, listener 1, a file 1, pending accepts 3, spare 2, and discovery's."""
CONTROL_DESCRIPTORS = 3
"""The control address without its callers: its listener, and two pending accepts."""
UPGRADE_DESCRIPTORS = 4
"""The platform's listener a second time, the handover's listener, and two processes that connect to it."""
LISTENER_DESCRIPTORS = 3
"""The listener of one of the operator file's sections, and two pending accepts."""
FILE_DESCRIPTORS = 3
"""A file being written, the one that replaces it, and their directory."""
WEBHOOK_DESCRIPTORS = 1
SMALL_LIMIT = 512
"""With fewer descriptors than this, callers that may be idle get half of their connections."""
CLIENT_FRACTION = 0.6
"""Fraction of the connections to clients and servers that is for clients."""
MAX_REJECTED_CONNECTIONS = 32
"""Maximum number of client connections beyond the limit, whose commands are rejected."""
REJECTED_FRACTION = 0.125
"""Maximum fraction of the client connections that is for rejected ones; see MAX_REJECTED_CONNECTIONS."""
FEW_SERVED_CONNECTIONS = 16
"""With fewer places for clients than this, an operator is warned at the start."""
MIN_CONNECTIONS = 8
"""For clients and servers together, however few descriptors there are."""


class Allocation(Struct, frozen=True):
    """Descriptors by use; the sum is the limit, unless the limit is too small to run with."""

    own: int
    """The process itself, operators' calls, accounting and the fleet."""
    served: int
    """Client connections that are served."""
    rejected: int
    """Further client connections, whose commands are rejected."""
    servers: int
    """Connections to cache servers and the origin, and dials in progress."""

    @property
    def warning(self) -> str:
        """One line for the operator if hardly any client can be served; empty otherwise."""
        if self.served >= FEW_SERVED_CONNECTIONS:
            return ""
        return (
            f"only {self.served} clients can be served at a time, as the process, operators' calls,"
            f" accounting and the fleet take {self.own} descriptors: raise limits.sockets"
        )


def caller_limit(limit: int, maximum: int) -> int:
    """Return the connections for callers that may be idle: `maximum`, or half if descriptors are few."""
    return maximum if limit >= SMALL_LIMIT else maximum // 2


def own_descriptors(control: int, inherited: bool, sections: int = 0) -> int:
    """Return the number of descriptors that neither clients nor servers get.

    `control`: connections at the control address, 0 without one; `inherited`: whether the platform holds the
    clients' listener; `sections`: descriptors for the operator file's sections.
    """
    at_control = CONTROL_DESCRIPTORS + control if control else 0
    for_upgrades = UPGRADE_DESCRIPTORS if inherited else 0
    return BASE_DESCRIPTORS + at_control + for_upgrades + sections


def accounting_descriptors(connections: int, writes: bool, posts: bool) -> int:
    """Return the number of descriptors for accounting: its listener, its files, its webhook.

    `connections`: connections at the listener, 0 without one.
    """
    at_listener = LISTENER_DESCRIPTORS + connections if connections else 0
    return at_listener + (FILE_DESCRIPTORS if writes else 0) + (WEBHOOK_DESCRIPTORS if posts else 0)


def fleet_descriptors(voters: int, incoming: int, unidentified: int, writes: bool) -> int:
    """Return the number of descriptors for a member of a fleet: links in both directions, log files.

    `incoming`: routers that keep a link to this one, 0 unless it is a voter; `unidentified`: connections
    whose peer has not identified itself yet; `writes`: whether it writes a log.
    """
    return LISTENER_DESCRIPTORS + voters + incoming + unidentified + (FILE_DESCRIPTORS if writes else 0)


def allocate(limit: int, own: int) -> Allocation:
    """Divide `limit` descriptors, of which `own` are neither for clients nor for servers."""
    rest = max(limit - own, MIN_CONNECTIONS)
    clients = int(rest * CLIENT_FRACTION)
    # Rejected connections need descriptors too, and without a share of their own would take those of servers.
    # The share is small where there are few clients, as a descriptor that only rejects serves no one.
    rejected = min(MAX_REJECTED_CONNECTIONS, int(clients * REJECTED_FRACTION))
    return Allocation(own, clients - rejected, rejected, rest - clients)
