"""Single flight: concurrent fetches of one key are merged into one."""

from __future__ import annotations

from collections.abc import Sequence

from pebblepass.decisions.requests import Request


class SingleFlight:
    """The keys that are being fetched, each with the reads that wait for its fetch.

    Inputs: the key of a read. Reason: the origin is slow, and one fetch fills the cache for all these reads.
    Reads without a key and writes are never merged.
    """

    def __init__(self) -> None:
        self._flights: dict[str, list[Request]] = {}

    def __len__(self) -> int:
        return len(self._flights)

    def lead(self, request: Request, key: str) -> None:
        """Open the key's flight: later reads of this key wait for this request's fetch."""
        self._flights.setdefault(key, [])
        request.leads_flight = True

    def join(self, request: Request) -> bool:
        """Add a read to its key's flight, if there is one; return whether it was added."""
        flight = None if request.key is None else self._flights.get(request.key)
        if flight is None or request.is_write:
            return False
        flight.append(request)
        return True

    def waiters(self, request: Request) -> Sequence[Request]:
        """Return the reads that wait for this key's fetch, the oldest first."""
        return self._flights.get(request.key or "", ())

    def waiter_count(self, request: Request) -> int:
        """Return how many reads wait for this key's fetch."""
        return len(self.waiters(request))

    def end(self, request: Request) -> Sequence[Request]:
        """End the flight that this request leads; return the reads that waited, the oldest first."""
        request.leads_flight = False
        return self._flights.pop(request.key or "", ())
