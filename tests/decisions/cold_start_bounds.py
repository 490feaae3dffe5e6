"""The load of a cold server from all routers together, against its bound."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import sqrt
from typing import NamedTuple


class ColdRules(NamedTuple):
    """The settings for cold servers; times in seconds."""

    multiple: float
    """`rules.fallMultiple`"""
    window: float
    """`rules.fallNs`"""
    share: float
    """`rules.coldShare`"""
    time: float
    """`rules.coldNs`"""

    def capacity_fraction(self, age: float) -> float:
        """Return the minimum fraction of its capacity that a server has at this age."""
        return min(1.0, self.share + (1 - self.share) * max(age, 0.0) / self.time)

    def allowed_requests(self, age: float, capacity: float) -> float:
        """Return N, the requests of mean work in one window; `capacity`: of the warm server, a second."""
        return self.multiple * self.capacity_fraction(age) * capacity * self.window


def bound(expected: float) -> float:
    """Return the bound with an allowance for random variation: N + 2 x square root of N + 2."""
    return expected + 2 * sqrt(expected) + 2


class WindowLoad(NamedTuple):
    """The heaviest windows of one start; an excess is in requests of mean work, negative below the bound."""

    fraction: float
    """Of the bound; above 1 the server fails."""
    excess: float
    """Over the bound by the server's capacity at the end of the window."""
    strict_excess: float
    """Over the bound by the server's capacity at the beginning of the window, its lowest in the window."""


def heaviest_window(rules: ColdRules, capacity: float, sent: Iterable[tuple[float, float]]) -> WindowLoad:
    """Return the heaviest windows of `sent`: (age of the server, work in requests of mean work), by age.

    The first window counts as complete: right after the start all of N may be used at once.
    """
    in_window: deque[tuple[float, float]] = deque()
    lowest_bound = bound(rules.allowed_requests(0.0, capacity))
    work, fraction, excess, strict_excess = 0.0, 0.0, -lowest_bound, -lowest_bound
    for age, request_work in sent:
        if age >= rules.time:
            break
        in_window.append((age, request_work))
        work += request_work
        while in_window[0][0] <= age - rules.window:
            work -= in_window.popleft()[1]
        age_bound = bound(rules.allowed_requests(age, capacity))
        fraction, excess = max(fraction, work / age_bound), max(excess, work - age_bound)
        strict_excess = max(strict_excess, work - bound(rules.allowed_requests(age - rules.window, capacity)))
    return WindowLoad(fraction, excess, strict_excess)
