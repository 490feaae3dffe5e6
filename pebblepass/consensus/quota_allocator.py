"""A voter's quota leases: how it splits its part of each quota among the routers. No I/O, no clock.

A policy with quota leases splits each namespace's quota: the floors of all routers are set aside, and of the
rest each of V voters owns 1/V, its part, and grants it without the others. No quorum is needed for the sum:
whatever the others do, a voter never has more granted than its part. A router's lease request carries its
demand and the sequence of the grant of this voter that it has applied last; the answer carries its lease.

What a router may hold of a voter, as that voter sees it; "outstanding" is the sum of it over all routers:

| held | event | guard | next |
| --- | --- | --- | --- |
| nothing | request, version in force | not quiet, some of the part is not outstanding | grant k |
| grants j..k, the largest counts | request | some of the part is free besides | grants j..k+1 |
| grants j..k | request or message that i was applied | j <= i <= k | grants i..k |
| grants j..k | clock | j has expired | grants j+1..k |
| grants j..k | request on a later version | - | nothing: the router has released them |
| any | the voter begins a later version | the one before is closed | nothing: no lease on it is valid |
| any | the voter restarts | - | not known: quiet until all that it may have granted has expired |
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

SPLITS_PER_RENEWAL = 4  # how often the split is computed anew between two requests of a router
RESERVE = 1 / 16  # fraction of a part that stays free, for a router whose demand has just risen
NEVER = -(1 << 62)


class QuotaPool(Struct, frozen=True):
    """One namespace's quota, in fetches a second of all routers together."""

    shared: float
    """What leases split: the quota beyond the floors."""
    floor: float
    """What each router may fetch without a lease."""


class _Grant(Struct, frozen=True):
    sequence: int
    expires_at: int
    amounts: dict[str, float]


class _Client:
    """One run of a router, as a voter sees it."""

    def __init__(self) -> None:
        self.demand: dict[str, float] = {}
        self.grants: list[_Grant] = []  # the oldest first
        self.outstanding: dict[str, float] = {}
        self.requested_at = 0


class QuotaAllocator:
    """A voter's quota leases on one version."""

    def __init__(self, terms: LeaseTerms, now: int, restarted: bool) -> None:
        """`restarted`: an earlier process on this disk may have granted leases that are not known here."""
        self._terms = terms
        self.earlier_leases_expire_at = now + terms.granter_duration if restarted else now
        """From then on no lease that an earlier process granted is valid."""
        self.version = 0
        self._parts: dict[str, float] = {}
        self._floors: dict[str, float] = {}
        self._voters = 1
        self._clients: dict[ProcessId, _Client] = {}
        self._outstanding: dict[str, float] = {}
        self._targets: dict[str, dict[ProcessId, float]] = {}
        self._split_at = NEVER

    def begin(self, version: int, pools: Mapping[str, QuotaPool], voters: int) -> None:
        """Begin to grant on this version; no lease on an older one is valid any more."""
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
        """Take a new request: the router's demand, and the grant of this voter that it has applied last."""
        client = self._clients.setdefault(process, _Client())
        client.demand, client.requested_at = dict(demand), now
        if version > self.version:
            client.grants.clear()
            self._recount(client)
        self.applied(process, version, applied_sequence, now)

    def applied(self, process: ProcessId, version: int, applied_sequence: int, now: int) -> None:
        """A router has applied a grant: those before it are over."""
        client = self._clients.get(process)
        if client is not None and version == self.version:
            client.grants = [
                grant
                for grant in client.grants
                if grant.sequence >= applied_sequence and grant.expires_at > now
            ]
            self._recount(client)

    def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
        """Return a router's quota lease, to answer its request with."""
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
        """Return what routers may hold of this voter's part of a namespace's quota, in fetches a second."""
        return self._outstanding.get(name, 0.0)

    def report(self) -> dict[str, object]:
        """Report each namespace's part, and how much of it is outstanding, to operators."""
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
        """Drop what has expired, and compute each router's target."""
        self._split_at = now
        for process, client in list(self._clients.items()):
            if client.grants and client.grants[0].expires_at <= now:
                client.grants = [grant for grant in client.grants if grant.expires_at > now]
                self._recount(client)
            if not client.grants and now - client.requested_at > self._terms.granter_duration:
                del self._clients[process]
        for name, part in self._parts.items():
            # Summed anew: the differences of many small numbers would drift.
            self._outstanding[name] = math.fsum(
                client.outstanding.get(name, 0.0) for client in self._clients.values()
            )
            demand = {process: client.demand.get(name, 0.0) for process, client in self._clients.items()}
            total = part * self._voters * (1 - RESERVE)
            split = allocate(demand, total, self._floors[name])
            self._targets[name] = {process: amount / self._voters for process, amount in split.items()}


def allocate(demand: Mapping[Key, float], total: float, floor: float) -> dict[Key, float]:
    """Split `total` by demand; each has `floor` besides. All are in fetches a second.

    Where it suffices, the surplus goes by the square root of the demand, as the deviation of counts does;
    where it does not, the split is max-min fair: nobody gets more than another one that demands more.
    """
    needs = {key: max(rate - floor, 0.0) for key, rate in demand.items()}
    if math.fsum(needs.values()) >= total:
        level = _water_level(sorted(needs.values()), total)
        return {key: min(need, level) for key, need in needs.items()}
    pairs = [(rate - floor, math.sqrt(rate)) for rate in demand.values() if rate > 0]
    height, count = 0.0, -1
    while pairs and len(pairs) != count:
        # Each round drops those whose floor suffices at this height, which lowers it for the others.
        count = len(pairs)
        height = (total - math.fsum(need for need, _ in pairs)) / math.fsum(root for _, root in pairs)
        pairs = [(need, root) for need, root in pairs if need + height * root > 0]
    return {key: max(rate - floor + height * math.sqrt(rate), 0.0) for key, rate in demand.items()}


def _water_level(needs: list[float], total: float) -> float:
    """Return the level up to which all needs are met when `total` is used up; `needs` ascend."""
    left = total
    for index, need in enumerate(needs):
        level = left / (len(needs) - index)
        if need >= level:
            return level
        left -= need
    return math.inf
