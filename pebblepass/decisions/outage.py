"""Outages of the origin: their detection, and the state to restore after them."""

from __future__ import annotations

from typing import NamedTuple

from pebblepass.decisions.interface import NS_PER_S

OUTAGE_THRESHOLD = 3  # consecutive fetches without an answer
PROBE_INTERVAL_NS = NS_PER_S


class OriginState(NamedTuple):
    """The limits and latencies (in nanoseconds) that a router has tuned by the origin's answers."""

    write_limit: float
    fetch_window: float
    bad_fraction: float
    mean: float
    deviation: float
    limits: dict[str, float]
    """Calls a second of this router, by tenant."""


class Outage:
    """Detects that the network path to the origin is interrupted, and keeps the state from before that.

    An overloaded origin answers late or declines; an unreachable one does not answer at all, and answers fast
    once it is reachable. Limits decreased in an outage do not reflect its capacity, and are restored.
    """

    def __init__(self) -> None:
        self._unanswered = 0
        self._state_before: OriginState | None = None
        self._last_probe_at = 0

    @property
    def active(self) -> bool:
        """Whether enough consecutive fetches went unanswered."""
        return self._unanswered >= OUTAGE_THRESHOLD

    def take_probe(self, now: int) -> bool:
        """Whether to send a fetch as a probe despite the limits: during an outage, at most one a second."""
        is_due = self.active and now - self._last_probe_at >= PROBE_INTERVAL_NS
        if is_due:
            self._last_probe_at = now
        return is_due

    def record_unanswered(self, state: OriginState) -> None:
        """Count a fetch that ended without an answer; the first consecutive one keeps `state`."""
        if not self._unanswered:
            self._state_before = state
        self._unanswered += 1

    def record_answer(self, is_fast: bool) -> OriginState | None:
        """Reset the count; return the state to restore if a fast answer ends an outage."""
        has_ended = is_fast and self.active
        self._unanswered = 0
        return self._state_before if has_ended else None
