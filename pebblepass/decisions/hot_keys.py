"""Popularity of slots and tenants: recent request counts with exponential decay."""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nlargest
from operator import itemgetter

HOT_LOAD_FRACTION = 0.25  # of a server's fair load: a slot with more requests is replicated
COUNT_LIMIT = 1024  # total requests at which all counts are halved: a few seconds of a busy router
EXPORTED_COUNTS = 256  # slots or tenants, those with the highest counts


class Popularity:
    """Popularity of slots or tenants: fractions of recent requests, from counts that are regularly halved."""

    def __init__(self) -> None:
        self._counts: dict[int | str, float] = {}
        self.total = 0.0

    def add(self, slot: int | str, requests: int = 1) -> float:
        """Count requests of this slot or tenant; return its previous fraction of all requests."""
        count = self._counts.get(slot, 0.0)
        fraction = count / self.total if self.total > 1.0 else count
        self._counts[slot] = count + requests
        self.total += requests
        if self.total >= COUNT_LIMIT:
            self._counts = {slot: count / 2 for slot, count in self._counts.items() if count > 1}
            self.total = sum(self._counts.values())
        return fraction

    def hottest(self) -> list[tuple[int | str, float]]:
        """Return the slots or tenants with the highest counts, each with its count."""
        return nlargest(EXPORTED_COUNTS, self._counts.items(), key=itemgetter(1))

    def import_counts(self, counts: Sequence[tuple[int | str, float]], weight: float) -> None:
        """Add another router's counts, multiplied by `weight` (0 to 1)."""
        for slot, count in counts:
            self._counts[slot] = self._counts.get(slot, 0.0) + count * weight
            self.total += count * weight
