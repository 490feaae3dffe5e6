"""Rate limiting of fetches from the origin: one suppressor for each tenant.

The algorithm is suppressed rate limiting; docs/design/decisions.md names its source and the departures.

Limits are calls a second of this router alone; times are whole nanoseconds, windows are seconds.
"""

from __future__ import annotations

import math
import random
from collections import deque
from itertools import takewhile
from typing import NamedTuple

from pebblepass.decisions import interface as api
from pebblepass.decisions.interface import NS_PER_S

HARD_LIMIT_FACTOR = 1.5  # of the soft limit
PROBABILITY_TTL_NS = NS_PER_S // 10  # time for which an admission probability is cached
WINDOW_CALLS = 8  # calls that a window should hold at the cap
MIN_WINDOW_S, MAX_WINDOW_S = 5.0, 20.0
DEFAULT_LIMIT = 1000.0  # calls a second of all routers together, where no quota is configured
MIN_WEIGHT = 0.001  # stands for a weight of 0 when overuse is computed
LIMIT_DECREASE = 0.7  # factor on the rate in use
LIMIT_RECOVERY_S = 15.0  # from 0 to the cap


class ConfiguredLimit(NamedTuple):
    """A tenant's limit by the settings, without a policy."""

    weight: float
    """Fraction of the service, 0 to 1."""
    cap: float
    """Calls a second of this router."""
    window_s: float


class Suppressor:
    """A tenant's rate limiter: sliding-window counts, three regimes, and a limit tuned by AIMD.

    Under the soft limit every fetch is admitted, over the hard limit none, and in between some. Inputs: the
    calls in the window, the limit, and the outcomes of all tenants' fetches. Reason: a tenant that overuses
    the origin must not slow down the others, and its own retries must not lock it out.
    """

    def __init__(self, tenant: api.Tenant, routers: int, rng: random.Random) -> None:
        self.weight, self.overuse = tenant.weight, 1.0
        self.cap = self.limit = (tenant.quota_per_s or DEFAULT_LIMIT) / routers
        self.window_s = min(max(WINDOW_CALLS / self.cap, MIN_WINDOW_S), MAX_WINDOW_S)
        self.min_limit = min(1 / self.window_s, self.cap)  # one call a window
        self._calls: deque[tuple[int, bool]] = deque()
        self.declined = 0
        """Declined calls in the window."""
        self.demand = 0
        """Fetches and writes so far, declined ones included.

        A client's retry of a read is not counted, and a write is counted at each attempt.
        """
        self.hard_factor = HARD_LIMIT_FACTOR
        self.configured_limit = ConfiguredLimit(self.weight, self.cap, self.window_s)
        self.has_quota, self._leased = tenant.quota_per_s > 0, False
        self._carried_over, self._carried_over_at = 0.0, 0  # excess of the limit from before the lease shrank
        self._limit_before_floor: float | None = None  # None: the floor does not apply
        self._rng = rng
        self._probability, self._probability_until = 1.0, 0
        self._last_increase = 0

    def apply_policy(
        self,
        policy: api.FleetPolicy,
        namespace: api.NamespaceLimits | None,
        routers: int,
        lease: float | None,
        now: int,
    ) -> None:
        """Apply a policy, its entry for this tenant, and the quota lease granted beyond the floor.

        `lease` is in calls a second, and counts where the policy splits quotas by leases. None applies the
        floor: this router does not know whether the policy is still in force.
        """
        used_fraction = self.limit / self.cap if self.cap else 1.0
        full_cap = self._configure(policy, namespace, routers)
        leased = policy.uses_leases and self.has_quota
        self.cap = full_cap
        if lease is None or leased:
            self.cap = min(full_cap, self.configured_limit.cap * policy.floor_fraction) + (lease or 0.0)
        self.min_limit = min(1 / self.window_s, self.cap)
        previous = self.limit + self._carry_over(now)
        if leased:  # a change of lease says nothing about the origin: the limit keeps its fraction
            self.limit, self._limit_before_floor = min(used_fraction, 1.0) * self.cap, None
        else:
            self._limit_without_lease(used_fraction, full_cap, at_floor=lease is None)
        # Calls in the window from before the lease shrank were within the limit, and are not held against it.
        self._carried_over = max(previous - self.limit, 0.0) if leased and lease else 0.0
        self._carried_over_at = now
        self._leased = leased
        self._probability_until = 0

    def _configure(
        self, policy: api.FleetPolicy, namespace: api.NamespaceLimits | None, routers: int
    ) -> float:
        """Set weight, hard factor and window; return the cap without floor and lease, in calls a second."""
        weight, cap, window_s = self.configured_limit
        if namespace is not None:
            weight = weight if namespace.weight is None else namespace.weight
            cap = cap if namespace.quota_per_s is None else namespace.quota_per_s / routers
        if policy.rate_per_s is not None:
            cap = min(cap, policy.rate_per_s * weight / routers)
        self.weight, self.hard_factor = weight, policy.hard_factor
        self.window_s = window_s if policy.window_s is None else policy.window_s
        return cap

    def _limit_without_lease(self, used_fraction: float, full_cap: float, at_floor: bool) -> None:
        """Set the limit; the limit from before the floor applies again after it.

        The floor says nothing about the origin.
        """
        tuned_limit = self.limit if self._limit_before_floor is None else self._limit_before_floor
        if self._leased:
            tuned_limit = used_fraction * full_cap
        self.limit, self._limit_before_floor = min(tuned_limit, self.cap), tuned_limit if at_floor else None

    def _carry_over(self, now: int) -> float:
        """Return what remains of the carried-over excess; it decays with a time constant of half a window."""
        if not self._carried_over:
            return 0.0
        return self._carried_over * math.exp((self._carried_over_at - now) / NS_PER_S * 2 / self.window_s)

    def record_usage(self, fraction: float) -> None:
        """Set the overuse from the tenant's fraction of recent requests: (fraction / weight) squared."""
        self.overuse = (fraction / max(self.weight, MIN_WEIGHT)) ** 2

    def record_call(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin, admitted or declined."""
        self._calls.append((now, declined))
        self.declined += declined
        self.demand += 1

    def export_state(self, tenant: str, now: int) -> api.LimitState:
        """Return the limit and the calls of the window, for another router."""
        self.accepted(now)
        counts: dict[int, list[int]] = {}
        for at, declined in self._calls:
            counts.setdefault(at // PROBABILITY_TTL_NS, [0, 0])[declined] += 1
        calls = tuple((step * PROBABILITY_TTL_NS, count[0], count[1]) for step, count in counts.items())
        return api.LimitState(tenant, self.limit, calls)

    def import_state(self, imported: api.LimitState, weight: float) -> None:
        """Move the limit towards another router's by `weight` (0 to 1), and add its calls to the window."""
        self.limit += (min(max(imported.limit, self.min_limit), self.cap) - self.limit) * weight
        calls = [(at, bool(i)) for at, *counts in imported.calls for i in (0, 1) for _ in range(counts[i])]
        self._calls = deque(sorted([*calls, *self._calls]))
        self.declined = sum(declined for _, declined in self._calls)

    def accepted(self, now: int) -> int:
        """Drop calls older than the window, and return how many of the rest were admitted."""
        while self._calls and self._calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self._calls.popleft()[1]
        return len(self._calls) - self.declined

    def admit(self, now: int, is_retry: bool = False) -> bool:
        """Decide on one fetch, and count it; a retry is not counted as demand."""
        accepted, soft = self.accepted(now), self.window_s * (self.limit + self._carry_over(now))
        over_hard_limit = len(self._calls) >= soft * self.hard_factor
        allowed = not (over_hard_limit and accepted >= soft)
        if allowed and self._calls and (over_hard_limit or accepted >= soft):
            # Departure from the source (docs/design/decisions.md): while fewer calls than the soft limit were
            # admitted, the probability applies over the hard limit too. Otherwise a tenant's declined retries
            # would keep it over the hard limit for good.
            allowed = self._rng.random() < self.admission_probability(now)
        self.record_call(now, declined=not allowed)
        self.demand -= is_retry
        return allowed

    def admission_probability(self, now: int) -> float:
        """Return the probability between the limits: rate limit / perceived rate, at most 1, cached."""
        if now >= self._probability_until:
            self._probability_until = now + PROBABILITY_TTL_NS
            last_second = sum(
                1 for _ in takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self._calls))
            )
            self._probability = min(1.0, self.limit / max(len(self._calls) / self.window_s, last_second))
        return self._probability

    def increase_limit(self, now: int) -> None:
        """Increase the limit additively after a good fetch, up to the cap, if half of it is in use."""
        if self.accepted(now) * 2 >= self.limit * self.window_s:
            elapsed_s = min((now - self._last_increase) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / LIMIT_RECOVERY_S * elapsed_s)
        self._last_increase = now

    def decrease_limit(self, now: int) -> None:
        """Decrease the limit multiplicatively from the rate in use, more for a tenant that overuses."""
        self._last_increase, self._carried_over = now, 0.0
        used_rate = min(self.limit, max(self.accepted(now), 1) / self.window_s)
        self.limit = max(self.min_limit, used_rate * LIMIT_DECREASE ** min(max(self.overuse, 0.5), 2.0))
