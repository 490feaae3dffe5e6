"""Rate limiting of fetches from the origin: one suppressor for each tenant."""

from __future__ import annotations

import math
import random
from collections import deque
from itertools import takewhile

from pebblepass.decisions import interface as api
from pebblepass.decisions.interface import NS_PER_S

# The Suppressor: the paper's three regimes, and how its limit is tuned (ours).
HARD_LIMIT_FACTOR = 1.5  # of the soft limit, as the paper recommends
CHANCE_CACHED = NS_PER_S // 10  # for which the paper keeps the chance between the limits
WINDOW_CALLS = 8  # calls that a window should be able to hold at the generous limit
WINDOW_MIN_S, WINDOW_MAX_S = 5.0, 20.0  # seconds
UNSTATED_LIMIT = 1000.0  # calls a second of all routers together to begin with, where no quota is stated
CUT, RISE_S = 0.7, 15.0  # the limit's cut, of what was used; seconds from the floor back to the cap


class Suppressor:
    """One tenant's guard of the origin: sliding-window counts, three regimes, AIMD rate limit."""

    def __init__(self, tenant: api.Tenant, routers: int, rng: random.Random) -> None:
        self.portion, self.excess = tenant.portion, 1.0  # excess: (share of requests here / portion) squared
        self.cap = self.limit = (tenant.quota_per_s or UNSTATED_LIMIT) / routers
        self.window_s = min(max(WINDOW_CALLS / self.cap, WINDOW_MIN_S), WINDOW_MAX_S)
        self.floor = min(1 / self.window_s, self.cap)  # one call a window: with none counted a fetch goes
        self._calls: deque[tuple[int, bool]] = deque()
        self.declined = self.wanted = 0  # wanted: fetches and writes so far, those tried again once
        self.hard_factor = HARD_LIMIT_FACTOR
        self._stated = self.portion, self.cap, self.window_s
        self._has_quota, self._shared = tenant.quota_per_s > 0, False
        self._gap, self._gap_at = 0.0, 0  # by what the limit was higher before its share fell, and when
        self._tuned: float | None = None  # the limit before the floor, while that holds
        self._rng = rng
        self._chance, self._chance_until = 1.0, 0
        self._last_rise = 0

    def hold(
        self,
        policy: api.PolicyHeld,
        told: api.NamespaceHeld | None,
        routers: int,
        share: float | None,
        now: int,
    ) -> None:
        """Take a policy over; or the floor, for a router that can't tell whether it still is in force.

        `share`: what it is granted beyond the floor, where the policy splits quotas so; None: the floor.
        """
        portion, cap, window_s = self._stated
        if told is not None:
            portion = portion if told.portion is None else told.portion
            cap = cap if told.quota_per_s is None else told.quota_per_s / routers
        if policy.rate_per_s is not None:
            cap = min(cap, policy.rate_per_s * portion / routers)
        shared, full = policy.shares and self._has_quota, cap
        used = self.limit / self.cap if self.cap else 1.0
        if share is None or shared:
            cap = min(cap, self._stated[1] * policy.floor_share) + (share or 0.0)
        self.portion, self.cap, self.hard_factor = portion, cap, policy.hard_factor
        self.window_s = window_s if policy.window_s is None else policy.window_s
        self.floor = min(1 / self.window_s, cap)
        # What was tuned before the floor holds again after it: it was no sign of the origin's.
        tuned = self.limit if self._tuned is None else self._tuned
        if self._shared and not shared:
            tuned = used * full
        eased = self.limit + self._eased(now)
        self.limit, self._tuned = min(tuned, cap), tuned if share is None else None
        if shared:  # a share that moves is no sign of the origin's either: of the cap it keeps its part
            self.limit, self._tuned = min(used, 1.0) * cap, None
        # Calls that the window holds from before a share fell were allowed then: nobody pays for them now.
        self._gap, self._gap_at = max(eased - self.limit, 0.0) if shared and share else 0.0, now
        self._shared = shared
        self._chance_until = 0

    def _eased(self, now: int) -> float:
        """What is left of the gap: about half of the window's calls are from before half a window."""
        return self._gap * math.exp((self._gap_at - now) / NS_PER_S * 2 / self.window_s) if self._gap else 0.0

    def count(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin."""
        self._calls.append((now, declined))
        self.declined += declined
        self.wanted += 1

    def known(self, tenant: str, now: int) -> api.LimitKnown:
        """The limit and the window's calls, for another router."""
        self.accepted(now)
        counts: dict[int, list[int]] = {}
        for at, declined in self._calls:
            counts.setdefault(at // CHANCE_CACHED, [0, 0])[declined] += 1
        calls = tuple((step * CHANCE_CACHED, each[0], each[1]) for step, each in counts.items())
        return api.LimitKnown(tenant, self.limit, calls)

    def learn(self, known: api.LimitKnown, weight: float) -> None:
        """Take over another router's limit, by its weight, and its calls beside those counted here."""
        self.limit += (min(max(known.limit, self.floor), self.cap) - self.limit) * weight
        told = [(at, bool(i)) for at, *counts in known.calls for i in (0, 1) for _ in range(counts[i])]
        self._calls = deque(sorted([*told, *self._calls]))
        self.declined = sum(declined for _, declined in self._calls)

    def accepted(self, now: int) -> int:
        """Calls of the window that went to the origin."""
        while self._calls and self._calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self._calls.popleft()[1]
        return len(self._calls) - self.declined

    def admit(self, now: int, again: bool = False) -> bool:
        """Decide on one fetch, and count it; `again`: its client has asked for it before."""
        accepted, soft = self.accepted(now), self.window_s * (self.limit + self._eased(now))
        over = len(self._calls) >= soft * self.hard_factor
        allowed = not (over and accepted >= soft)
        if allowed and self._calls and (over or accepted >= soft):
            # Departure: refusals alone that hold total at the hard limit would pin a tenant there, as
            # every retry counts anew; while accepted is under the soft limit the chance holds instead.
            allowed = self._rng.random() < self.chance(now)
        self.count(now, declined=not allowed)
        self.wanted -= again
        return allowed

    def chance(self, now: int) -> float:
        """The chance of a fetch between the limits: rate limit / perceived rate, cached, at most 1."""
        if now >= self._chance_until:
            self._chance_until = now + CHANCE_CACHED
            last = sum(1 for _ in takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self._calls)))
            self._chance = min(1.0, self.limit / max(len(self._calls) / self.window_s, last))
        return self._chance

    def rise(self, now: int) -> None:
        """Additive rise after a good fetch, up to the cap, and only while the limit is in use."""
        if self.accepted(now) * 2 >= self.limit * self.window_s:
            idle = min((now - self._last_rise) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / RISE_S * idle)
        self._last_rise = now

    def cut(self, now: int) -> None:
        """Multiplicative cut from what was really used, harder for a tenant over its portion."""
        self._last_rise, self._gap = now, 0.0
        used = min(self.limit, max(self.accepted(now), 1) / self.window_s)
        self.limit = max(self.floor, used * CUT ** min(max(self.excess, 0.5), 2.0))
