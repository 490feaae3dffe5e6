"""The queue of reads that wait for a fetch in flight to end."""

from __future__ import annotations

from pebblepass.decisions.requests import Request
from pebblepass.decisions.single_flight import SingleFlight

QUEUED_PER_FETCH = 3  # reads queued for each fetch that may be in flight


class FetchQueue:
    """Queued fetches, ordered by how many reads wait for the same key.

    Inputs: the reads that wait for each key, and the window (fetches that may be in flight). Reason: a fetch
    of the key that most reads wait for serves the most clients.
    """

    def __init__(self, flights: SingleFlight) -> None:
        self._flights = flights
        self._queued: list[Request] = []

    def __len__(self) -> int:
        return len(self._queued)

    def request_ids(self) -> list[str]:
        """Return the ids of the queued requests, the oldest first."""
        return [request.id for request in self._queued]

    def is_full(self, window: float) -> bool:
        """Whether as many reads are queued as fit behind this window."""
        return len(self._queued) >= QUEUED_PER_FETCH * window

    def with_most_waiters(self) -> Request:
        """Return the queued request whose key has the most waiters, the oldest if several have."""
        return max(self._queued, key=self._flights.waiter_count)

    def with_fewest_waiters(self) -> Request:
        """Return the queued request whose key has the fewest waiters, the oldest if several have."""
        return min(self._queued, key=self._flights.waiter_count)

    def add(self, request: Request) -> None:
        """Queue a request."""
        request.in_origin_queue = True
        self._queued.append(request)

    def remove(self, request: Request) -> None:
        """Remove a request from the queue."""
        request.in_origin_queue = False
        self._queued.remove(request)
