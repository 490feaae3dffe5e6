"""The failure detector: which routers are alive, by their heartbeats and by reports. No I/O, no clock.

Every message of a router counts as its heartbeat.

| state | meaning | ends when |
| --- | --- | --- |
| alive | a heartbeat arrived here within the last three intervals | no heartbeat arrives for longer |
| suspected | no heartbeat for longer; voters are queried | one reports a heartbeat, or two intervals passed |
| unheard | another router has a recent heartbeat: a link is down | one arrives here, or no router has one |
| down | no queried router has a recent heartbeat | a heartbeat arrives here |

A single missed heartbeat is ignored: a process may be paused, or a link slow.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

MISSED_HEARTBEATS = 3  # intervals without a heartbeat before a router is suspected
QUERY_INTERVALS = 2  # intervals within which queried routers have to answer
NEVER = -(1 << 62)  # a time before any that the clock returns


class Liveness(Enum):
    """The state of another router, as this router sees it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    UNHEARD = "unheard"
    DOWN = "down"


class FailureDetector:
    """One router's view of the others. Times are nanoseconds of its clock."""

    def __init__(self, heartbeat_interval: int, now: int) -> None:
        """`heartbeat_interval`: nanoseconds."""
        self._interval, self._started_at = heartbeat_interval, now
        self._last_heartbeat: dict[str, int] = {}
        self._queried_at: dict[str, int] = {}
        self._reported_heartbeat: dict[str, int] = {}
        """When a heartbeat last arrived at another router, by that router's reports."""

    def heartbeat(self, name: str, now: int) -> None:
        """Record that a message from a router has arrived."""
        self._last_heartbeat[name] = now
        self._queried_at.pop(name, None)

    def reported(self, name: str, age: int, now: int) -> None:
        """Record a report on a heartbeat that is `age` nanoseconds old; below 0: there was none."""
        if age >= 0:
            self._reported_heartbeat[name] = max(self._reported_heartbeat.get(name, 0), now - age)

    def is_alive(self, name: str, now: int) -> bool:
        """Whether a heartbeat has arrived here within the last three intervals."""
        last = self._last_heartbeat.get(name)
        return last is not None and now - last <= MISSED_HEARTBEATS * self._interval

    def age(self, name: str, now: int) -> int:
        """Return the time since the last heartbeat here, in nanoseconds; -1: there was none."""
        return now - self._last_heartbeat[name] if name in self._last_heartbeat else -1

    def to_query(self, names: Iterable[str], now: int) -> list[str]:
        """Return the routers about which others are to be queried now, and record the query."""
        timeout = MISSED_HEARTBEATS * self._interval
        found = []
        for name in names:
            is_missing = not self.is_alive(name, now) and now - self._started_at > timeout
            # The query is repeated: the router may be back, with heartbeats that reach only other routers.
            if is_missing and now - self._queried_at.get(name, NEVER) > timeout:
                self._queried_at[name] = now
                found.append(name)
        return found

    def state(self, name: str, now: int) -> Liveness:
        """Return the state of a router."""
        if self.is_alive(name, now):
            return Liveness.ALIVE
        reported = self._reported_heartbeat.get(name)
        if reported is not None and now - reported <= (MISSED_HEARTBEATS + QUERY_INTERVALS) * self._interval:
            return Liveness.UNHEARD
        queried_at = self._queried_at.get(name)
        if queried_at is None or self._is_query_open(name, queried_at, now):
            return Liveness.DOWN if self._is_long_missing(name, now) else Liveness.SUSPECTED
        return Liveness.DOWN

    def _is_query_open(self, name: str, queried_at: int, now: int) -> bool:
        waiting_since = max(queried_at, self._last_heartbeat.get(name, 0))
        return now - waiting_since <= QUERY_INTERVALS * self._interval

    def _is_long_missing(self, name: str, now: int) -> bool:
        """Whether the router is missing for so long that an earlier query must have gone unanswered."""
        missing_since = self._last_heartbeat.get(name, self._started_at)
        return now - missing_since > (2 * MISSED_HEARTBEATS + QUERY_INTERVALS) * self._interval
