"""Ids of writes that were sent although their client has disconnected since. No I/O, no clock.

Such a write may have run, and no one was told. A client that comes again with the same id must not run it a
second time.
"""

from __future__ import annotations

MAX_IDS = 1000
"""Ids that are remembered; the oldest are forgotten first."""


class AbandonedWrites:
    """Remembers each id for a while."""

    def __init__(self, retention_ns: int) -> None:
        """`retention_ns`: nanoseconds for which an id is remembered."""
        self._retention_ns = retention_ns
        self._expires_at: dict[str, int] = {}

    def record(self, request_id: str, now: int) -> None:
        """Remember an id; `now` is in nanoseconds."""
        self._remove_expired(now)
        if len(self._expires_at) >= MAX_IDS:
            del self._expires_at[next(iter(self._expires_at))]
        self._expires_at[request_id] = now + self._retention_ns

    def request_ids(self, now: int) -> list[str]:
        """Return the ids that are remembered; `now` is in nanoseconds."""
        self._remove_expired(now)
        return list(self._expires_at)

    def contains(self, request_id: str, now: int) -> bool:
        """Return whether an id is remembered; `now` is in nanoseconds."""
        if not self._expires_at:
            return False
        self._remove_expired(now)
        return request_id in self._expires_at

    def _remove_expired(self, now: int) -> None:
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                return
            del self._expires_at[oldest]
