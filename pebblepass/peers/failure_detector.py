"""Failure detector: which routers are alive, by their heartbeats and by what others report. No I/O, no clock.

| state | what is known | until |
| --- | --- | --- |
| alive | a heartbeat within three intervals | none for longer |
| suspected | none for longer; the voters are queried | one reports a heartbeat, or two intervals passed |
| unheard | none here, but another router has one: a link is down | a heartbeat here, or nobody has one |
| down | none at any router that was queried | a heartbeat here |

One missed heartbeat means nothing: a process that is paused or a link that is slow is not dead.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

MISSED_HEARTBEATS = 3  # intervals without a heartbeat before a router is suspected
QUERY_INTERVALS = 2  # intervals in which those that are queried have to answer
NEVER = -(1 << 62)


class Liveness(Enum):
    """The state of a router as far as it is known."""

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
        """When another router last had a heartbeat, by its report."""

    def heartbeat(self, name: str, now: int) -> None:
        """A router's own message has arrived."""
        self._last_heartbeat[name] = now
        self._queried_at.pop(name, None)

    def reported(self, name: str, age: int, now: int) -> None:
        """Another router had its last heartbeat `age` nanoseconds ago; below 0: never."""
        if age >= 0:
            self._reported_heartbeat[name] = max(self._reported_heartbeat.get(name, 0), now - age)

    def is_alive(self, name: str, now: int) -> bool:
        """Whether a heartbeat has arrived here lately."""
        last = self._last_heartbeat.get(name)
        return last is not None and now - last <= MISSED_HEARTBEATS * self._interval

    def age(self, name: str, now: int) -> int:
        """Return nanoseconds since the last heartbeat here; -1: there was none."""
        return now - self._last_heartbeat[name] if name in self._last_heartbeat else -1

    def to_query(self, names: Iterable[str], now: int) -> list[str]:
        """Return those of these routers that others are to be queried about now, and note the query."""
        timeout = MISSED_HEARTBEATS * self._interval
        found = []
        for name in names:
            is_missing = not self.is_alive(name, now) and now - self._started_at > timeout
            # Repeated: it may be back where its heartbeats don't reach this router.
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
        """Whether an earlier query has already been answered by nobody."""
        missing_since = self._last_heartbeat.get(name, self._started_at)
        return now - missing_since > (2 * MISSED_HEARTBEATS + QUERY_INTERVALS) * self._interval
