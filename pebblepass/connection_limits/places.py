"""Which connection makes room for a newcomer when all places are taken. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import TypeVar

KEPT_S = 0.25  # a client that goes on does so within this; those that ask once and stay do not
MIDWAY_S = 0.9  # between two pieces of a command that is written slowly: the longest of 512 that were seen
NEW_S = 0.005  # from a connection's start to its first byte, for a client that has something to ask

T = TypeVar("T")


class Standing(Enum):
    """Where a connection stands."""

    NEW = "has said nothing yet"
    MIDWAY = "in the midst of a command, with nothing else open"
    BETWEEN = "between two requests"
    BUSY = "owed an answer"


# One after another: the first kind that has any gives up the one that has been silent for longest. Whoever is
# evicted between two requests may be writing the next; one that is midway and silent has mostly stopped.
_ORDER = (
    (Standing.BETWEEN, KEPT_S),
    (Standing.MIDWAY, MIDWAY_S),
    (Standing.BETWEEN, 0.0),
    (Standing.NEW, NEW_S),
)


def choose_eviction(connections: Iterable[tuple[T, Standing, float]]) -> T | None:
    """The connection to close, of some that each come with their standing and the seconds of their silence.

    None: all are owed an answer, or have come or written just now.
    """
    silent: dict[Standing, tuple[float, T]] = {}
    for connection, standing, seconds in connections:
        longest = silent.get(standing)
        if longest is None or seconds > longest[0]:
            silent[standing] = seconds, connection
    for standing, least in _ORDER:
        if standing in silent and silent[standing][0] >= least:
            return silent[standing][1]
    return None
