"""What a cold server is sent against what it may be sent, counted over all routers together."""

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

    def warmth(self, age: float) -> float:
        """The share of its capacity that a server has at this age, at least."""
        return min(1.0, self.share + (1 - self.share) * max(age, 0.0) / self.time)

    def allowed(self, age: float, capacity: float) -> float:
        """N: requests of mean work in one window; `capacity`: what the server does warm, a second."""
        return self.multiple * self.warmth(age) * capacity * self.window


def bound(allowed: float) -> float:
    """What is put down to chance included: N + 2 x root of N + 2."""
    return allowed + 2 * sqrt(allowed) + 2


class Start(NamedTuple):
    """One start's heaviest windows; excesses in requests of mean work, below 0: so many under the bound."""

    part: float
    """Of the bound; above 1 the server falls over."""
    excess: float
    """Over the bound, by what the server can do at the window's end."""
    strictest: float
    """Over the bound, by what the server can do at the window's beginning, the least within it."""


def heaviest(rules: ColdRules, capacity: float, sent: Iterable[tuple[float, float]]) -> Start:
    """The heaviest window of what was sent, as (age of the server, work in requests of mean work), by age.

    A window is full from its first moment: at once after the start all of N may be spent.
    """
    inside: deque[tuple[float, float]] = deque()
    least = bound(rules.allowed(0.0, capacity))
    work, part, excess, strictest = 0.0, 0.0, -least, -least
    for age, each in sent:
        if age >= rules.time:
            break
        inside.append((age, each))
        work += each
        while inside[0][0] <= age - rules.window:
            work -= inside.popleft()[1]
        most = bound(rules.allowed(age, capacity))
        part, excess = max(part, work / most), max(excess, work - most)
        strictest = max(strictest, work - bound(rules.allowed(age - rules.window, capacity)))
    return Start(part, excess, strictest)
