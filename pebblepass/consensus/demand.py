"""A router's demand by namespace, estimated from counts that only grow. No I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Mapping

from pebblepass.consensus.quota_allocator import Rates

NS_PER_S = 1_000_000_000
LEAST_INTERVAL = NS_PER_S // 100  # between two samples
FAST_S, SLOW_S = 2.0, 8.0  # time constants: one to detect a step of the demand, one with less noise
STEP_DEVIATIONS = 2.0  # standard deviations of a count by which the two differ after a step


class _Rate:
    """One namespace's demand: a slow average, and a fast one that detects a step."""

    def __init__(self) -> None:
        self.fast = self.slow = 0.0
        self._age = 0.0

    def add(self, count: int, seconds: float) -> None:
        """Add a sample: so many fetches in this time."""
        self._age += seconds
        rate = count / seconds
        plain = seconds / self._age  # a plain average as long as it is younger than its time constant
        self.fast += (rate - self.fast) * max(plain, 1 - math.exp(-seconds / FAST_S))
        self.slow += (rate - self.slow) * max(plain, 1 - math.exp(-seconds / SLOW_S))
        deviation = math.sqrt(max(self.fast, self.slow) / (2 * FAST_S))
        if abs(self.fast - self.slow) > STEP_DEVIATIONS * deviation:
            self.slow, self._age = self.fast, FAST_S


class DemandEstimator:
    """The fetches a second that a router would make, by namespace."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._rates: dict[str, _Rate] = {}
        self._sampled_at: int | None = None

    def update(self, counts: Mapping[str, int], now: int) -> Rates:
        """Sample the counts and return the rates; those that are 0 are left out."""
        if self._sampled_at is not None and now - self._sampled_at < LEAST_INTERVAL:
            return self.rates()
        for name, count in counts.items():
            if self._sampled_at is not None:
                rate = self._rates.setdefault(name, _Rate())
                increase = max(count - self._counts.get(name, 0), 0)
                rate.add(increase, (now - self._sampled_at) / NS_PER_S)
        self._counts, self._sampled_at = dict(counts), now
        return self.rates()

    def rates(self) -> Rates:
        """Return the rates as of the last sample."""
        return tuple((name, rate.slow) for name, rate in self._rates.items() if rate.slow > 0)
