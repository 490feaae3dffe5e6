"""Which client connection is evicted for a new one at the connection limit. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import TypeVar

IDLE_GRACE_S = 0.25
"""An active client sends its next request within this time."""
PARTIAL_COMMAND_GRACE_S = 0.9
"""Maximum pause between two pieces of a command from a slow but live client."""
NEW_CONNECTION_GRACE_S = 0.005
"""Time from the start of a connection to its first byte, for a client that has a request to send."""
SILENT_CONNECTION_S = 0.25
"""Time after which a connection without a byte has no request to send, even if its host is busy."""

T = TypeVar("T")


class Activity(Enum):
    """A connection's state."""

    NEW = "no command received yet"
    PARTIAL_COMMAND = "a command partially received, no reply pending"
    IDLE = "idle after its only command so far"
    RECURRING = "between two commands, after several"
    REPLY_PENDING = "waiting for a reply"


# In order: the first activity with a connection that has been inactive for at least the grace period applies,
# and its longest inactive connection is evicted. A client that sends one command after another is about to
# send the next, which would meet a closed connection: it is not evicted while it goes on. One that pauses in
# the middle of a command has usually stopped.
_EVICTION_ORDER = (
    (Activity.NEW, SILENT_CONNECTION_S),
    (Activity.IDLE, IDLE_GRACE_S),
    (Activity.RECURRING, IDLE_GRACE_S),
    (Activity.PARTIAL_COMMAND, PARTIAL_COMMAND_GRACE_S),
    (Activity.NEW, NEW_CONNECTION_GRACE_S),
    (Activity.IDLE, 0.0),
)
# When the limit falls, descriptors have to be freed: clients that go on are evicted after all others.
_ORDER_AT_A_LOWER_LIMIT = (*_EVICTION_ORDER, (Activity.RECURRING, 0.0))


def choose_eviction(
    connections: Iterable[tuple[T, Activity, float]], limit_is_lower: bool = False
) -> T | None:
    """Return the connection to evict; `connections`: each with its activity and its seconds of inactivity.

    `limit_is_lower`: whether the connection limit has fallen; else the eviction is for a newcomer. Returns
    None if each is waiting for a reply, or was active just now after several commands or none.
    """
    longest: dict[Activity, tuple[float, T]] = {}
    for connection, activity, inactive_s in connections:
        known = longest.get(activity)
        if known is None or inactive_s > known[0]:
            longest[activity] = inactive_s, connection
    for activity, grace_s in _ORDER_AT_A_LOWER_LIMIT if limit_is_lower else _EVICTION_ORDER:
        if activity in longest and longest[activity][0] >= grace_s:
            return longest[activity][1]
    return None
