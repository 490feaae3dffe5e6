"""A router's demand by namespace, estimated from counters that only increase. No I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Mapping

from pebblepass.consensus.quota_allocator import Rates

NS_PER_S = 1_000_000_000
MIN_SAMPLE_INTERVAL_NS = NS_PER_S // 100
FAST_S, SLOW_S = 2.0, 8.0  # time constants: the fast average detects a step, the slow one has less noise
STEP_DEVIATIONS = 2.0  # the averages differ by this many standard deviations of a count after a step


class _Rate:
    """One namespace's demand: a slow moving average, and a fast one that detects a step."""

    def __init__(self) -> None:
        self.fast = self.slow = 0.0
        self._age = 0.0

    def add(self, count: int, seconds: float) -> None:
        """Add a sample of `count` fetches within `seconds`."""
        self._age += seconds
        rate = count / seconds
        mean_weight = seconds / self._age  # an arithmetic mean until the age exceeds the time constant
        self.fast += (rate - self.fast) * max(mean_weight, 1 - math.exp(-seconds / FAST_S))
        self.slow += (rate - self.slow) * max(mean_weight, 1 - math.exp(-seconds / SLOW_S))
        deviation = math.sqrt(max(self.fast, self.slow) / (2 * FAST_S))
        if abs(self.fast - self.slow) > STEP_DEVIATIONS * deviation:
            self.slow, self._age = self.fast, FAST_S


class DemandEstimator:
    """Estimates the fetches a second that a router would make without a limit, by namespace."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._rates: dict[str, _Rate] = {}
        self._sampled_at: int | None = None

    def update(self, counts: Mapping[str, int], now: int) -> Rates:
        """Sample the counts and return the rates above 0."""
        if self._sampled_at is not None and now - self._sampled_at < MIN_SAMPLE_INTERVAL_NS:
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
