"""A voter's quota leases: how it splits its part of each quota among the routers. No I/O, no clock.

With quota leases, each namespace's quota is split as follows. The floors of all routers are reserved. Of the
rest, each of V voters owns 1/V, its part, and grants leases on it without asking the other voters. A voter
never grants more than its part, so the sum over all voters stays within the quota without a quorum. A lease
request carries the router's demand and the sequence of the grant that it applied last; the answer carries its
quota lease.

A grant's answer may be lost, so a voter does not know which of its recent grants a router applies. It counts
the largest of them. The sum over all routers is "outstanding".

| grants that a router may apply | event | guard | next |
| --- | --- | --- | --- |
| none | request on the version in force | leases of an earlier process have expired | k |
| j..k | request | - | j..k+1; the new grant is limited to what is not outstanding |
| j..k | request or message: the router applied i | j <= i <= k | i..k |
| j..k | expiry of j | - | j+1..k |
| j..k | request on a later version | - | none: the router has released them |
| any | the voter begins a later version | the previous version is closed | none: no lease on it is valid |
| any | the voter restarts | - | unknown; it grants nothing until all earlier grants have expired |
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Mapping
from typing import TypeVar

from msgspec import Struct

from pebblepass.consensus.leases import LeaseTerms, ProcessId

Key = TypeVar("Key", bound=Hashable)
Rates = tuple[tuple[str, float], ...]
"""Fetches a second by namespace."""

SPLITS_PER_RENEWAL = 4  # at most this many times the split is computed between two requests of a router
RESERVE = 1 / 16  # fraction of a part that the split leaves free, for a router whose demand has just risen
NEVER = -(1 << 62)  # a time before any that the clock returns


class QuotaPool(Struct, frozen=True):
    """One namespace's quota, in fetches a second."""

    shared: float
    """The quota without the floors, of all routers together. Leases split this."""
    floor: float
    """The rate at which each router may fetch without a lease."""


class _Grant(Struct, frozen=True):
    sequence: int
    expires_at: int
    amounts: dict[str, float]


class _Client:
    """The state that a voter keeps for one run of a router."""

    def __init__(self) -> None:
        self.demand: dict[str, float] = {}
        self.grants: list[_Grant] = []  # the oldest first
        self.outstanding: dict[str, float] = {}
        self.requested_at = 0


class QuotaAllocator:
    """The quota leases that a voter grants on one version."""

    def __init__(self, terms: LeaseTerms, now: int, restarted: bool) -> None:
        """`restarted`: an earlier process on this disk may have granted leases that are not known here."""
        self._terms = terms
        self.earlier_leases_expire_at = now + terms.granter_duration if restarted else now
        """When every lease that an earlier process may have granted has expired."""
        self.version = 0
        self._parts: dict[str, float] = {}
        self._floors: dict[str, float] = {}
        self._voters = 1
        self._clients: dict[ProcessId, _Client] = {}
        self._outstanding: dict[str, float] = {}
        self._targets: dict[str, dict[ProcessId, float]] = {}
        self._split_at = NEVER

    def begin(self, version: int, pools: Mapping[str, QuotaPool], voters: int) -> None:
        """Begin to grant leases on this version. No lease on an older one may be valid any more."""
        if version == self.version:
            return
        self.version, self._voters = version, voters
        self._parts = {name: pool.shared / voters for name, pool in pools.items()}
        self._floors = {name: pool.floor for name, pool in pools.items()}
        for client in self._clients.values():
            client.grants.clear()
            client.outstanding = {}
        self._outstanding = dict.fromkeys(self._parts, 0.0)
        self._targets = {}
        self._split_at = NEVER

    def request(
        self,
        process: ProcessId,
        version: int,
        applied_sequence: int,
        demand: Iterable[tuple[str, float]],
        now: int,
    ) -> None:
        """Record a request: the router's demand, and the sequence of the grant that it applied last."""
        client = self._clients.setdefault(process, _Client())
        client.demand, client.requested_at = dict(demand), now
        if version > self.version:
            client.grants.clear()
            self._recount(client)
        self.applied(process, version, applied_sequence, now)

    def applied(self, process: ProcessId, version: int, applied_sequence: int, now: int) -> None:
        """Record that a router has applied a grant, and drop the grants before it."""
        client = self._clients.get(process)
        if client is not None and version == self.version:
            client.grants = [
                grant
                for grant in client.grants
                if grant.sequence >= applied_sequence and grant.expires_at > now
            ]
            self._recount(client)

    def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
        """Grant and return a router's quota lease, in answer to its request."""
        client = self._clients.get(process)
        if client is None or now < self.earlier_leases_expire_at or not self._parts:
            return ()
        if now - self._split_at >= self._terms.renewal_interval // SPLITS_PER_RENEWAL:
            self._split(now)
        amounts = {}
        for name, part in self._parts.items():
            free = part - self._outstanding.get(name, 0.0) + client.outstanding.get(name, 0.0)
            target = self._targets.get(name, {}).get(process, 0.0)
            amounts[name] = max(0.0, min(target, free))
        client.grants.append(_Grant(sequence, now + self._terms.granter_duration, amounts))
        self._recount(client)
        return tuple(amounts.items())

    def outstanding(self, name: str) -> float:
        """Return how much of this voter's part of a quota routers may be using, in fetches a second."""
        return self._outstanding.get(name, 0.0)

    def report(self) -> dict[str, object]:
        """Return the report to operators: each namespace's part, and how much of it is outstanding."""
        rows = {
            name: {"part_per_s": round(part, 4), "out_per_s": round(self.outstanding(name), 4)}
            for name, part in self._parts.items()
        }
        return {"version": self.version, "routers": len(self._clients), "namespaces": rows}

    def _recount(self, client: _Client) -> None:
        outstanding = {
            name: max((grant.amounts[name] for grant in client.grants), default=0.0) for name in self._parts
        }
        for name, amount in outstanding.items():
            self._outstanding[name] += amount - client.outstanding.get(name, 0.0)
        client.outstanding = outstanding

    def _split(self, now: int) -> None:
        """Drop expired grants, and compute each router's target."""
        self._split_at = now
        for process, client in list(self._clients.items()):
            if client.grants and client.grants[0].expires_at <= now:
                client.grants = [grant for grant in client.grants if grant.expires_at > now]
                self._recount(client)
            if not client.grants and now - client.requested_at > self._terms.granter_duration:
                del self._clients[process]
        for name, part in self._parts.items():
            # Recomputed in full: adding many small differences accumulates rounding errors.
            self._outstanding[name] = math.fsum(
                client.outstanding.get(name, 0.0) for client in self._clients.values()
            )
            demand = {process: client.demand.get(name, 0.0) for process, client in self._clients.items()}
            total = part * self._voters * (1 - RESERVE)
            split = allocate(demand, total, self._floors[name])
            self._targets[name] = {process: amount / self._voters for process, amount in split.items()}


def allocate(demand: Mapping[Key, float], total: float, floor: float) -> dict[Key, float]:
    """Split `total` by demand among routers that each have `floor` in addition. All are in fetches a second.

    If `total` covers the demand, each router gets its demand plus a surplus in proportion to the square root
    of its demand, like the standard deviation of a count. If it does not, the split is max-min fair.
    """
    needs = {key: max(rate - floor, 0.0) for key, rate in demand.items()}
    if math.fsum(needs.values()) >= total:
        level = _water_level(sorted(needs.values()), total)
        return {key: min(need, level) for key, need in needs.items()}
    pairs = [(rate - floor, math.sqrt(rate)) for rate in demand.values() if rate > 0]
    surplus_factor, count = 0.0, -1
    while pairs and len(pairs) != count:
        # Each pass drops routers whose floor covers their demand and surplus. That lowers the surplus factor.
        count = len(pairs)
        surplus_factor = (total - math.fsum(need for need, _ in pairs)) / math.fsum(root for _, root in pairs)
        pairs = [(need, root) for need, root in pairs if need + surplus_factor * root > 0]
    return {key: max(rate - floor + surplus_factor * math.sqrt(rate), 0.0) for key, rate in demand.items()}


def _water_level(needs: list[float], total: float) -> float:
    """Return the largest share in a max-min fair split of `total` (water-filling); `needs` ascend."""
    remaining = total
    for index, need in enumerate(needs):
        level = remaining / (len(needs) - index)
        if need >= level:
            return level
        remaining -= need
    return math.inf
