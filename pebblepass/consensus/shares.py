"""Shares of the store's limits, granted like leases: what a voter hands out, and what a router holds of it.
No I/O, no clock.

A policy with `store.shares` splits each namespace's quota: the floors of all routers are set aside, and of
the rest each of V voters owns 1/V and hands it out by itself, so that no quorum is needed for the sum:
whatever the others do, a voter never has more out than its part. A router's question tells what it would
fetch and which grant of that voter it has applied last; the grant that answers it tells its share.

What a router may still hold of a voter, as that voter sees it; "out" is the sum of it over all routers:

| held | event | guard | next |
| --- | --- | --- | --- |
| nothing | question, version in force | not quiet, some of the part is not out | grant k |
| grants j..k, the largest counts | question | some of the part is not out, beside these | grants j..k+1 |
| grants j..k | question or release that tells i applied | j <= i <= k | grants i..k |
| grants j..k | clock | the end of j has come | grants j+1..k |
| grants j..k | question on a later version | - | nothing: it has let go of them |
| any | the voter begins a later version | the one before is closed | nothing: no lease on it holds any more |
| any | the voter starts again | - | not known: quiet until all that it may have granted has run out |

What a router holds of a voter:

| held | event | guard | next |
| --- | --- | --- | --- |
| any | grant k | on its version, k is later than what it has applied | share k, until k was asked + `kept` |
| any | another grant | - | as before |
| share k | clock | its end has come | nothing |
| share k | it learns of another version | - | nothing |

The router looks at its clock before each event (`PolicyChanged.shares_until`), and counts from when it asked,
less the drift; the voter from when it was asked, plus the drift: so the router's end always comes first.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Mapping
from typing import TypeVar

from msgspec import Struct

from pebblepass.consensus.leases import Terms

Who = TypeVar("Who", bound=Hashable)
Rows = tuple[tuple[str, float], ...]
"""Namespaces, and fetches a second."""

NS_PER_S = 1_000_000_000
SWEEPS = 4  # parts of the time between two questions after which the split is worked out anew
RESERVE = 1 / 16  # of a part that stays at hand, for a router whose demand has just risen
SWING = 1 / 16  # of what it held: a router that loses more tells so at once
SPENT = 1 / 8  # of a lease: a share that ends so soon is let go of before the others are lost with it
QUICK_S, SLOW_S = 2.0, 8.0  # memories of the demand: one to see that it has moved, one less led by chance
MOVED = 2.0  # deviations of chance by which the two differ when it has


class Pool(Struct, frozen=True):
    """What there is of one namespace's quota, in fetches a second of all routers together."""

    shared: float
    """Beyond the floors."""
    floor: float
    """What each router may fetch without a share."""


class _Client:
    """One run of a router, as a voter sees it."""

    def __init__(self) -> None:
        self.demand: dict[str, float] = {}
        self.grants: list[tuple[int, int, dict[str, float]]] = []  # question, end, share; the oldest first
        self.out: dict[str, float] = {}
        self.asked_at = 0


class Allocator:
    """A voter's part."""

    def __init__(self, terms: Terms, now: int, restarted: bool) -> None:
        """`restarted`: an earlier process on this disk may have granted what this one doesn't know of."""
        self._terms = terms
        self.quiet_from = now + terms.granted if restarted else now
        """From then on nothing that an earlier process granted holds any more."""
        self.version = 0
        self._parts: dict[str, float] = {}
        self._floors: dict[str, float] = {}
        self._voters = 1
        self._clients: dict[tuple[str, str], _Client] = {}
        self._out: dict[str, float] = {}
        self._targets: dict[str, dict[tuple[str, str], float]] = {}
        self._swept_at = -(1 << 62)

    def begin(self, version: int, pools: Mapping[str, Pool], voters: int) -> None:
        """From now on it grants on this version; no lease on an older one holds any more."""
        if version == self.version:
            return
        self.version, self._voters = version, voters
        self._parts = {name: pool.shared / voters for name, pool in pools.items()}
        self._floors = {name: pool.floor for name, pool in pools.items()}
        for client in self._clients.values():
            client.grants.clear()
            client.out = {}
        self._out = dict.fromkeys(self._parts, 0.0)
        self._targets = {}
        self._swept_at = -(1 << 62)

    def asked(
        self, who: tuple[str, str], version: int, applied: int, demand: Iterable[tuple[str, float]], now: int
    ) -> None:
        """A new question of a router: what it would fetch, and which grant of this voter it has applied."""
        client = self._clients.setdefault(who, _Client())
        client.demand, client.asked_at = dict(demand), now
        if version > self.version:
            client.grants.clear()
            self._count(client)
        self.applied(who, version, applied, now)

    def applied(self, who: tuple[str, str], version: int, applied: int, now: int) -> None:
        """A router says which grant it has applied: those before it are over."""
        client = self._clients.get(who)
        if client is not None and version == self.version:
            client.grants = [each for each in client.grants if each[0] >= applied and each[1] > now]
            self._count(client)

    def grant(self, who: tuple[str, str], seq: int, now: int) -> Rows:
        """This router's share, to go with the answer to this question."""
        client = self._clients.get(who)
        if client is None or now < self.quiet_from or not self._parts:
            return ()
        if now - self._swept_at >= self._terms.renewal // SWEEPS:
            self._sweep(now)
        share = {}
        for name, part in self._parts.items():
            free = part - self._out.get(name, 0.0) + client.out.get(name, 0.0)
            wanted = self._targets.get(name, {}).get(who, 0.0)
            share[name] = max(0.0, min(wanted, free))
        client.grants.append((seq, now + self._terms.granted, share))
        self._count(client)
        return tuple(share.items())

    def out(self, name: str) -> float:
        """What routers may hold of this voter's part."""
        return self._out.get(name, 0.0)

    def told(self) -> dict[str, object]:
        """For a person: each namespace's part, and how much of it is out."""
        rows = {
            name: {"part_per_s": round(part, 4), "out_per_s": round(self.out(name), 4)}
            for name, part in self._parts.items()
        }
        return {"version": self.version, "routers": len(self._clients), "namespaces": rows}

    def _count(self, client: _Client) -> None:
        out = {name: max((share[name] for _, _, share in client.grants), default=0.0) for name in self._parts}
        for name, amount in out.items():
            self._out[name] += amount - client.out.get(name, 0.0)
        client.out = out

    def _sweep(self, now: int) -> None:
        """Let go of what has run out, and work out what each router should have."""
        self._swept_at = now
        for who, client in list(self._clients.items()):
            if client.grants and client.grants[0][1] <= now:
                client.grants = [each for each in client.grants if each[1] > now]
                self._count(client)
            if not client.grants and now - client.asked_at > self._terms.granted:
                del self._clients[who]
        for name, part in self._parts.items():
            # Summed anew: differences of many small numbers would drift.
            self._out[name] = math.fsum(each.out.get(name, 0.0) for each in self._clients.values())
            demand = {who: client.demand.get(name, 0.0) for who, client in self._clients.items()}
            whole = part * self._voters * (1 - RESERVE)
            split = allocate(demand, whole, self._floors[name])
            self._targets[name] = {who: share / self._voters for who, share in split.items()}


def allocate(demand: Mapping[Who, float], whole: float, floor: float) -> dict[Who, float]:
    """Split `whole` by demand; each has `floor` besides.

    Where it is enough, what is over goes by the root of the demand, as chance does in counts; where it is
    not, max-min fair: nobody gets more than another one that wants more.
    """
    needs = {who: max(wanted - floor, 0.0) for who, wanted in demand.items()}
    if math.fsum(needs.values()) >= whole:
        level = _water_level(sorted(needs.values()), whole)
        return {who: min(need, level) for who, need in needs.items()}
    pairs = [(wanted - floor, math.sqrt(wanted)) for wanted in demand.values() if wanted > 0]
    height, count = 0.0, -1
    while pairs and len(pairs) != count:
        # Each round leaves out those whose floor is enough at this height, which lowers it for the others.
        count = len(pairs)
        height = (whole - math.fsum(need for need, _ in pairs)) / math.fsum(root for _, root in pairs)
        pairs = [(need, root) for need, root in pairs if need + height * root > 0]
    return {who: max(wanted - floor + height * math.sqrt(wanted), 0.0) for who, wanted in demand.items()}


def _water_level(needs: list[float], whole: float) -> float:
    """The height up to which all are filled when `whole` runs out; `needs`: the least first."""
    left = whole
    for at, need in enumerate(needs):
        level = left / (len(needs) - at)
        if need >= level:
            return level
        left -= need
    return math.inf


class ShareHolder:
    """A router's part."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._held: dict[str, tuple[int, int, Rows]] = {}  # voter: question, end, share

    def begin(self) -> None:
        """Another version is decided: all that was granted on the one before is let go of."""
        self._held.clear()

    def granted(self, voter: str, seq: int, asked_at: int, share: Rows) -> bool:
        """A voter has granted it on this version; returns whether that took much away.

        Danger: an older grant that comes late may be one that its voter counts as over.
        """
        before = self._held.get(voter)
        if before is not None and seq <= before[0]:
            return False
        self._held[voter] = (seq, asked_at + self._terms.kept, share)
        had, has = dict(before[2]) if before is not None else {}, dict(share)
        return any(has.get(name, 0.0) < amount * (1 - SWING) for name, amount in had.items())

    def applied(self, voter: str) -> int:
        """The question whose grant of this voter was applied last; 0: none."""
        return self._held[voter][0] if voter in self._held else 0

    def held(self, now: int) -> tuple[Rows, int]:
        """What it may fetch beyond the floor, and until when; those that end soon are left out."""
        spent = now + int(self._terms.kept * SPENT)
        ends = [end for _, end, _ in self._held.values() if end > spent]
        total: dict[str, float] = {}
        for _, end, share in self._held.values():
            if end > spent:
                for name, amount in share:
                    total[name] = total.get(name, 0.0) + amount
        return tuple(sorted(total.items())), min(ends, default=0)

    def due(self, now: int) -> int | None:
        """When the next one is left out."""
        margin = int(self._terms.kept * SPENT)
        return min((end - margin for _, end, _ in self._held.values() if end - margin > now), default=None)

    def granting(self, now: int) -> set[str]:
        """The voters of which it holds a share."""
        return {voter for voter, (_, end, share) in self._held.items() if end > now and share}

    def told(self, now: int) -> dict[str, object]:
        """For a person: what it holds of each voter, and for how long."""
        return {
            voter: {"grant": seq, "lease_ms": max(round((end - now) / 1e6), 0), "per_s": dict(share)}
            for voter, (seq, end, share) in sorted(self._held.items())
        }


class _Rate:
    """One namespace's demand: a slow average, and a quick one that tells when it has moved."""

    def __init__(self) -> None:
        self.quick = self.slow = 0.0
        self._age = 0.0

    def learn(self, count: int, seconds: float) -> None:
        """So many were wanted in this time."""
        self._age += seconds
        rate = count / seconds
        young = seconds / self._age  # as long as it is younger than its memory it is a plain average
        self.quick += (rate - self.quick) * max(young, 1 - math.exp(-seconds / QUICK_S))
        self.slow += (rate - self.slow) * max(young, 1 - math.exp(-seconds / SLOW_S))
        chance = math.sqrt(max(self.quick, self.slow) / (2 * QUICK_S))
        if abs(self.quick - self.slow) > MOVED * chance:
            self.slow, self._age = self.quick, QUICK_S


class Demand:
    """What a router would fetch, by namespace, from counts that only grow."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._rates: dict[str, _Rate] = {}
        self._at: int | None = None

    def rows(self, counts: Mapping[str, int], now: int) -> Rows:
        """The rates now; those that are none are left out."""
        if self._at is not None and now - self._at < NS_PER_S // 100:
            return self.told()
        for name, count in counts.items():
            if self._at is not None:
                rate = self._rates.setdefault(name, _Rate())
                rate.learn(max(count - self._counts.get(name, 0), 0), (now - self._at) / NS_PER_S)
        self._counts, self._at = dict(counts), now
        return self.told()

    def told(self) -> Rows:
        """The rates as they were last."""
        return tuple((name, rate.slow) for name, rate in self._rates.items() if rate.slow > 0)
