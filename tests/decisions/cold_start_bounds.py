"""The load of a cold server from all routers together, against its bound."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import sqrt
from typing import NamedTuple


class ColdRules(NamedTuple):
    """The settings' figures for cold servers; times in seconds."""

    multiple: float
    """`rules.fallMultiple`"""
    window: float
    """`rules.fallNs`"""
    share: float
    """`rules.coldShare`"""
    time: float
    """`rules.coldNs`"""

    def capacity_fraction(self, age: float) -> float:
        """The share of its capacity that a server has at this age, at least."""
        return min(1.0, self.share + (1 - self.share) * max(age, 0.0) / self.time)

    def allowed_requests(self, age: float, capacity: float) -> float:
        """N: requests of mean work in one window; `capacity`: what the server does warm, a second."""
        return self.multiple * self.capacity_fraction(age) * capacity * self.window


def bound(expected: float) -> float:
    """What is put down to chance included: N + 2 x root of N + 2."""
    return expected + 2 * sqrt(expected) + 2


class WindowLoad(NamedTuple):
    """One start's heaviest windows; excesses in requests of mean work, below 0: so many under the bound."""

    fraction: float
    """Of the bound; above 1 the server falls over."""
    excess: float
    """Over the bound, by what the server can do at the window's end."""
    strict_excess: float
    """Over the bound, by what the server can do at the window's beginning, the least within it."""


def heaviest_window(rules: ColdRules, capacity: float, sent: Iterable[tuple[float, float]]) -> WindowLoad:
    """The heaviest window of what was sent, as (age of the server, work in requests of mean work), by age.

    A window is full from its first moment: at once after the start all of N may be spent.
    """
    inside: deque[tuple[float, float]] = deque()
    least = bound(rules.allowed_requests(0.0, capacity))
    work, fraction, excess, strict_excess = 0.0, 0.0, -least, -least
    for age, each in sent:
        if age >= rules.time:
            break
        inside.append((age, each))
        work += each
        while inside[0][0] <= age - rules.window:
            work -= inside.popleft()[1]
        most = bound(rules.allowed_requests(age, capacity))
        fraction, excess = max(fraction, work / most), max(excess, work - most)
        strict_excess = max(strict_excess, work - bound(rules.allowed_requests(age - rules.window, capacity)))
    return WindowLoad(fraction, excess, strict_excess)
