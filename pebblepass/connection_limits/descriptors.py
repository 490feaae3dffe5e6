"""How a process's descriptors are dealt out, so that no use of them takes another's. No I/O, no clock.

What each number stands for: the table in docs/design/operations.md.
"""

from __future__ import annotations

from msgspec import Struct

NEWCOMERS = 3  # accepted, and not yet taken in or closed
BARE = 22  # streams 3, event loop 10, listener, two watches of discovery, a file, 3 newcomers, 2 to spare
CONTROL = 3  # the control address beside its callers: its listener, and two newcomers
INHERITED = 4  # the platform's listener is held twice; the door, and two processes that come
LISTENER = 3  # of the operator's sections: itself, and two newcomers
DISK = 3  # a file that is written, the one that follows it, their folder
WEBHOOK = 1
FEW = 512  # below it those that may call and stay silent have half of the places
CLIENT_SHARE = 0.6
REFUSERS, REFUSERS_SHARE = 32, 0.125  # places for those that are refused, and of all clients' at most
LEAST = 8  # for clients and servers together, however little there is


class Split(Struct, frozen=True):
    """Descriptors by user; the sum is the limit, but for a limit too small to run in."""

    own: int
    """The process itself, operators that call, and what runs beside requests."""
    served: int
    """Clients' connections that are served."""
    refusers: int
    """Further clients' connections, which are only told that they are not."""
    servers: int
    """Connections to cache servers and the store, and dials under way."""


def callers(limit: int, most: int) -> int:
    """Places for those that call and may stay silent, of `most`, in a process with so many descriptors."""
    return most if limit >= FEW else most // 2


def own(control: int, inherited: bool, beside: int = 0) -> int:
    """Descriptors that neither clients nor servers get.

    `control`: places at the control address, 0 without one; `inherited`: whether the platform holds the
    clients' listener; `beside`: what the operator's sections take.
    """
    return BARE + (CONTROL + control if control else 0) + (INHERITED if inherited else 0) + beside


def figures(connections: int, writes: bool, posts: bool) -> int:
    """What the ledger takes: `connections` at its listener, 0 without one; its files; its webhook."""
    at_listener = LISTENER + connections if connections else 0
    return at_listener + (DISK if writes else 0) + (WEBHOOK if posts else 0)


def fleet(voters: int, coming: int, strangers: int, writes: bool) -> int:
    """What being one of a fleet takes: links to the voters, those that come, with their strangers; the log.

    `coming`: routers that keep a link to this one; 0 unless it is a voter.
    """
    return LISTENER + voters + coming + strangers + (DISK if writes else 0)


def split(limit: int, own: int) -> Split:
    """Deal out `limit` descriptors, of which `own` are neither clients' nor servers'."""
    rest = max(limit - own, LEAST)
    clients = int(rest * CLIENT_SHARE)
    # Those that are only refused need descriptors too: beyond the share servers would miss them. Few where
    # there are few: a place that only refuses serves nobody.
    refusers = min(REFUSERS, int(clients * REFUSERS_SHARE))
    return Split(own, clients - refusers, refusers, rest - clients)
