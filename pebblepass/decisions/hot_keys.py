"""Popularity of slots and tenants: recent request counts with exponential decay."""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nlargest
from operator import itemgetter

HEAT_SHARE = 0.25  # part of a server's fair load that one slot may bring before it is spread
HEAT_MEMORY = 1024  # requests after which counts are halved: many servers' worth, yet seconds when busy
HEAT_TOLD = 256  # slots that another router is told of


class Heat:
    """Each slot's share of the requests seen lately, by counts halved now and then."""

    def __init__(self) -> None:
        self._counts: dict[int | str, float] = {}
        self.total = 0.0

    def add(self, slot: int | str, requests: int = 1) -> float:
        """Count requests of this slot; returns the slot's share before them."""
        count = self._counts.get(slot, 0.0)
        share = count / self.total if self.total > 1.0 else count
        self._counts[slot] = count + requests
        self.total += requests
        if self.total >= HEAT_MEMORY:
            self._counts = {slot: count / 2 for slot, count in self._counts.items() if count > 1}
            self.total = sum(self._counts.values())
        return share

    def hottest(self) -> list[tuple[int | str, float]]:
        """What was asked for most, and how often."""
        return nlargest(HEAT_TOLD, self._counts.items(), key=itemgetter(1))

    def learn(self, known: Sequence[tuple[int | str, float]], weight: float) -> None:
        """Count what another router has counted."""
        for slot, count in known:
            self._counts[slot] = self._counts.get(slot, 0.0) + count * weight
            self.total += count * weight
