"""How a process's descriptors are allocated, so that no use of them exhausts another's. No I/O, no clock.

What each number stands for: the table in docs/design/operations.md.
"""

from __future__ import annotations

from msgspec import Struct

PENDING_ACCEPTS = 3
"""Connections that are accepted, and not yet registered or closed."""
BASE_DESCRIPTORS = 22
"""Streams 3, event loop 10, listener 1, watches of discovery 2, a file 1, pending accepts 3, spare 2."""
CONTROL_DESCRIPTORS = 3
"""The control address beside its callers: its listener, and two pending accepts."""
UPGRADE_DESCRIPTORS = 4
"""The platform's listener once more, the handover's listener, and two processes that connect to it."""
LISTENER_DESCRIPTORS = 3
"""A listener of one of the operator's sections, and two pending accepts."""
FILE_DESCRIPTORS = 3
"""A file being written, the one that replaces it, and their directory."""
WEBHOOK_DESCRIPTORS = 1
SMALL_LIMIT = 512
"""Below this many descriptors, callers that may be idle get half of their connections."""
CLIENT_FRACTION = 0.6
"""Fraction of the connections to clients and servers that is for clients."""
MAX_REJECTED_CONNECTIONS = 32
"""Maximum of client connections beyond the limit, whose commands are rejected."""
REJECTED_FRACTION = 0.125
"""Maximum fraction of the client connections that is for rejected ones."""
MIN_CONNECTIONS = 8
"""For clients and servers together, however few descriptors there are."""


class Allocation(Struct, frozen=True):
    """Descriptors by user; the sum is the limit, unless the limit is too small to run in."""

    own: int
    """The process itself, operators' calls, and what runs beside requests."""
    served: int
    """Client connections that are served."""
    rejected: int
    """Further client connections, whose commands are rejected."""
    servers: int
    """Connections to cache servers and the origin, and dials in progress."""


def caller_limit(limit: int, maximum: int) -> int:
    """Connections for callers that may be idle: `maximum`, or half of it in a process of few descriptors."""
    return maximum if limit >= SMALL_LIMIT else maximum // 2


def own_descriptors(control: int, inherited: bool, beside: int = 0) -> int:
    """Descriptors that neither clients nor servers get.

    `control`: connections at the control address, 0 without one; `inherited`: whether the platform holds the
    clients' listener; `beside`: what the operator's sections take.
    """
    at_control = CONTROL_DESCRIPTORS + control if control else 0
    for_upgrades = UPGRADE_DESCRIPTORS if inherited else 0
    return BASE_DESCRIPTORS + at_control + for_upgrades + beside


def accounting_descriptors(connections: int, writes: bool, posts: bool) -> int:
    """What accounting takes: `connections` at its listener, 0 without one; its files; its webhook."""
    at_listener = LISTENER_DESCRIPTORS + connections if connections else 0
    return at_listener + (FILE_DESCRIPTORS if writes else 0) + (WEBHOOK_DESCRIPTORS if posts else 0)


def fleet_descriptors(voters: int, incoming: int, unidentified: int, writes: bool) -> int:
    """What a member of a fleet takes: links to the voters, incoming links, its log's files if `writes`.

    `incoming`: routers that keep a link to this one, 0 unless it is a voter; `unidentified`: connections
    whose peer has not identified itself yet.
    """
    return LISTENER_DESCRIPTORS + voters + incoming + unidentified + (FILE_DESCRIPTORS if writes else 0)


def allocate(limit: int, own: int) -> Allocation:
    """Allocate `limit` descriptors, of which `own` are neither for clients nor for servers."""
    rest = max(limit - own, MIN_CONNECTIONS)
    clients = int(rest * CLIENT_FRACTION)
    # Rejected connections take descriptors too: without their share servers would lack them. They are few
    # where there are few clients, as a descriptor that only rejects serves nobody.
    rejected = min(MAX_REJECTED_CONNECTIONS, int(clients * REJECTED_FRACTION))
    return Allocation(own, clients - rejected, rejected, rest - clients)
