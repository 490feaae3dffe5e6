"""Simulates the load of cold servers from all routers, against the bound N + 2 x square root of N + 2.

    python benchmarks/cold_starts.py SITE.toml ... [--starts 10000] [--servers 120] [--cold 1] [--out FILE]

`--cold` is the number of servers that start at the same time, up to all of them. docs/design/cold-servers.md
describes what is random, and which parts of the decision module are used unchanged.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
import time
import tomllib
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from pathlib import Path
from typing import Any, NamedTuple
from zlib import crc32

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pebblepass.decisions.health import Node
from pebblepass.decisions.hot_keys import COUNT_LIMIT, HOT_LOAD_FRACTION, Popularity
from pebblepass.decisions.interface import RequestClass, Server, Settings
from pebblepass.decisions.slot_table import SLOTS, SlotTable
from tests.decisions.cold_start_bounds import ColdRules, WindowLoad, heaviest_window

ROUTERS = (1, 4, 30, 200, 930)
LOADS = (1.1,)  # as a fraction of the capacity of all servers when warm
UNEVEN = 5  # one router's traffic, as a multiple of the others'
RESENT = 1 / 8  # requests resent after another server failed them, as a fraction of the others
CLOCK_ERROR_S = 1.0  # the largest error of a router's clock
# All keys; the most popular ones are hashed one by one, and the others are spread evenly over the slots.
KEYS, HASHED_KEYS = 320_000_000, 3000
STARTS_PER_BASE = 500  # starts simulated with the same warm servers
SCORES_PER_SLOT = 2  # highest scores kept per slot


class Site(NamedTuple):
    """A site file's data; of ranges where it matters, the end that loads cold servers more."""

    name: str
    rules: ColdRules
    capacity: float
    """Requests of mean work per second of a typical server."""
    speed_cv: float
    handshake: float
    """The work of a new connection, in requests of mean work."""
    popular: list[float]
    """Each slot's fraction of the requests."""


def upper(value: Any) -> float:
    """The upper end of a range, or the single value."""
    return max(value) if isinstance(value, list) else value


def lower(value: Any) -> float:
    """The lower end of a range, or the single value."""
    return min(value) if isinstance(value, list) else value


def midpoint(value: Any) -> float:
    """The middle of a range, or the single value."""
    return (upper(value) + lower(value)) / 2


def popularity(zipf: float, offset: float) -> list[float]:
    """Each slot's fraction of the requests, with keys hashed as in the decision module."""
    slots = [0.0] * SLOTS
    for i in range(HASHED_KEYS):
        slots[crc32(b"key/%d" % i) % SLOTS] += (i + 1 + offset) ** -zipf
    lower_rank, upper_rank = HASHED_KEYS + 0.5 + offset, KEYS + 0.5 + offset
    rest = (
        math.log(upper_rank / lower_rank)
        if zipf == 1.0
        else (upper_rank ** (1 - zipf) - lower_rank ** (1 - zipf)) / (1 - zipf)
    )
    total = sum(slots) + rest
    return [(slot + rest / SLOTS) / total for slot in slots]


def read_site(path: Path) -> Site:
    """Read a site file."""
    facts = tomllib.loads(path.read_text())
    [tier], kinds = facts["tier"], facts["tier"][0]["kind"]
    classes = facts["class"]
    shares = [midpoint(cls["share"]) for cls in classes]
    work = sum(share * midpoint(cls["work_ms"]) for share, cls in zip(shares, classes, strict=True))
    work /= sum(shares) * 1000
    kind_shares = [midpoint(kind["share"]) for kind in kinds]
    speed = sum(p * k["cores"] * midpoint(k["speed"]) for p, k in zip(kind_shares, kinds, strict=True)) / sum(
        kind_shares
    )
    rules = ColdRules(
        facts["rules"]["fall_multiple"],
        facts["rules"]["fall_ms"] / 1000,
        min(lower(kind["cold_from"]) for kind in kinds),
        max(upper(kind["cold_s"]) for kind in kinds),
    )
    return Site(
        facts["name"],
        rules,
        speed / work,
        max(upper(kind["speed_cv"]) for kind in kinds),
        upper(tier["conn"]["handshake_us"]) / 1e6 / work,
        popularity(upper(facts["fam"]["zipf"]), lower(facts["fam"]["offset"])),
    )


class OwnedSlot(NamedTuple):
    """A slot that a cold server may own: its score, and those of warm and other cold servers."""

    slot: int
    score: float
    warm: list[float]
    cold: list[float]

    def ranks_first(self, warm_up: float) -> bool:
        """Whether the server ranks first for the slot at this warm-up fraction, as in `SlotTable.rank`."""
        beaten = not self.warm or self.score * warm_up > self.warm[0]
        return beaten and (not self.cold or self.score > self.cold[0])

    def chance(self, warm_up: float, owners: int) -> float:
        """The probability that the first of several owners is selected, by warm-up if the others are warm.

        This is an upper estimate: `ServerSelection._expected_wait` never selects it below a warm-up fraction
        of 0.6 while one of the other owners is idle and warm.
        """
        return warm_up / (warm_up + owners - 1) if self.warm else 1 / owners


def placements(settings: Settings, servers: int, cold: int, starts: int) -> Iterator[list[OwnedSlot]]:
    """Yield the slots that the cold server of each start may own, by scores of the real slot table."""
    table, started = SlotTable(settings), 0
    while started < starts:
        base = [Node(Server(f"warm{started}/{i}"), weighted=False) for i in range(servers - cold)]
        warm = [
            sorted((table._score(slot, node) for node in base), reverse=True)[:SCORES_PER_SLOT]
            for slot in range(SLOTS)
        ]
        until = min(started + max(STARTS_PER_BASE, cold), starts)
        while started < until:
            new = [Node(Server(f"new{started + i}", started=1), weighted=False) for i in range(cold)]
            scores = [[table._score(slot, node) for slot in range(SLOTS)] for node in new]
            cold_scores = [
                sorted(slot_scores, reverse=True)[:SCORES_PER_SLOT]
                for slot_scores in zip(*scores, strict=True)
            ]
            if started == 0:
                _check(settings, base, new, warm, scores, cold_scores)
            for own_scores in scores[: until - started]:
                yield list(_owned_slots(own_scores, warm, cold_scores))
            started += cold


def _owned_slots(
    own_scores: list[float], warm: list[list[float]], cold_scores: list[list[float]]
) -> Iterator[OwnedSlot]:
    """The slots for which one cold server ranks first once it is warm."""
    for slot, score in enumerate(own_scores):
        if score >= cold_scores[slot][0] and (not warm[slot] or score > warm[slot][0]):
            yield OwnedSlot(slot, score, warm[slot], cold_scores[slot][1:])


def _check(
    settings: Settings,
    base: list[Node],
    new: list[Node],
    warm: list[list[float]],
    scores: list[list[float]],
    cold_scores: list[list[float]],
) -> None:
    """Check the scores against `SlotTable.rank`, at three ages, for every slot."""
    table = SlotTable(settings)
    table.update([node.entry for node in (*base, *new)], [])
    names = {node.entry.id: i for i, node in enumerate(new)}
    for now in (1, settings.warm_up_time // 3, settings.warm_up_time - 1):
        for slot in range(SLOTS):
            first = table.rank(slot, now)[0]
            holder = names.get(first.entry.id)
            for i, own_scores in enumerate(scores):
                without = [other for other in cold_scores[slot] if other != own_scores[slot]]
                owned = OwnedSlot(slot, own_scores[slot], warm[slot], without)
                assert owned.ranks_first(table.warm_up_fraction(new[i], now)) == (holder == i), (slot, now, i)


def estimates(popular: list[float], hot: set[int]) -> dict[int, list[float]]:
    """The shares that a long-running router estimates for hot slots, sampled over many requests."""
    heat, rng, samples = Popularity(), random.Random(3), dict[int, list[float]]()
    cumulated = list(accumulate(popular))
    for i in range(60 * COUNT_LIMIT):
        slot = min(bisect(cumulated, rng.random() * cumulated[-1]), SLOTS - 1)
        share = heat.add(slot)
        if slot in hot and i > 2 * COUNT_LIMIT:
            samples.setdefault(slot, []).append(share)
    return samples


class Cell(NamedTuple):
    """One row of the table."""

    site: str
    load: float
    routers: int
    uneven: bool
    know: str
    """The state of the routers. `settled`: they know the hot slots. `apart`: also, but their clocks differ.
    `fresh`: they start together with the server and know nothing. `careful`: also, but they skip cold servers
    as the module does.
    """


class Sums:
    """Totals of the starts of one cell; the strictest use the capacity at the beginning of a window."""

    def __init__(self) -> None:
        self.starts = self.over = self.over_strictest = 0
        self.part, self.excess, self.excess_strictest = 0.0, -math.inf, -math.inf

    def add(self, start: WindowLoad) -> None:
        """Add one start."""
        self.starts += 1
        self.over += start.excess > 0
        self.over_strictest += start.strict_excess > 0
        self.part, self.excess = max(self.part, start.fraction), max(self.excess, start.excess)
        self.excess_strictest = max(self.excess_strictest, start.strict_excess)


class Arrival(NamedTuple):
    """A request that may reach the cold server; the last three are random numbers from 0 to 1."""

    age: float
    owned: OwnedSlot
    work: float
    who: float
    which: float
    chance: float


class StartSimulation:
    """Simulates the requests of one site that may reach a cold server."""

    def __init__(self, site: Site, servers: int, seed: int) -> None:
        self.site, self.servers, self._rng = site, servers, random.Random(seed)
        self.hot = {
            slot for slot, share in enumerate(site.popular) if share > HOT_LOAD_FRACTION / servers / 2
        }
        self.share_samples = estimates(site.popular, self.hot)

    def start(self, owned: list[OwnedSlot], load: float, cells: list[Cell], totals: dict[Cell, Sums]) -> None:
        """Simulate one start, with the same requests for all cells."""
        rng, site = self._rng, self.site
        rate = load * self.servers * site.capacity * (1 + RESENT)
        cumulated = list(accumulate(site.popular[owned_slot.slot] for owned_slot in owned))
        # Random speed of the server: N depends on it, the requests sent to it do not.
        spread = math.sqrt(math.log(1 + site.speed_cv**2))
        capacity = site.capacity * math.exp(rng.gauss(-(spread**2) / 2, spread))
        plain, hot = list[Arrival](), list[Arrival]()
        age = rng.expovariate(rate * cumulated[-1]) if owned else math.inf
        while age < site.rules.time:
            owned_slot = owned[min(bisect(cumulated, rng.random() * cumulated[-1]), len(owned) - 1)]
            arrival = Arrival(age, owned_slot, rng.expovariate(1.0), rng.random(), rng.random(), rng.random())
            if owned_slot.slot in self.hot:
                hot.append(arrival)
            elif owned_slot.ranks_first(site.rules.capacity_fraction(age + CLOCK_ERROR_S)):
                plain.append(arrival)
            age += rng.expovariate(rate * cumulated[-1])
        usual = [
            arrival
            for arrival in plain
            if arrival.owned.ranks_first(site.rules.capacity_fraction(arrival.age))
        ]
        for cell in cells:
            sent = self._sent_requests(cell, rate, plain if cell.know == "apart" else usual, hot)
            totals[cell].add(heaviest_window(site.rules, capacity, self._works(cell, sent)))

    def _works(self, cell: Cell, sent: list[Arrival]) -> Iterator[tuple[float, float]]:
        """Age and work of the requests; each router's first includes the work of a new connection."""
        connected = set[int]()
        for arrival in sent:
            router = self._router(cell, arrival)
            yield arrival.age, arrival.work + (0.0 if router in connected else self.site.handshake)
            connected.add(router)

    def _router(self, cell: Cell, arrival: Arrival) -> int:
        more = UNEVEN - 1 if cell.uneven else 0
        return max(int(arrival.who * (cell.routers + more)) - more, 0)

    def _seen(self, cell: Cell, rate: float, arrival: Arrival) -> float:
        """How many requests a router has seen since it started."""
        more = UNEVEN - 1 if cell.uneven else 0
        own_scores = 1 + more if self._router(cell, arrival) == 0 else 1
        return rate / (1 + RESENT) * own_scores / (cell.routers + more) * arrival.age

    def _sent_requests(
        self, cell: Cell, rate: float, plain: list[Arrival], hot: list[Arrival]
    ) -> list[Arrival]:
        """The requests that are sent to the cold server."""
        sent = list[Arrival]()
        if cell.know == "apart":
            sent += [arrival for arrival in plain if arrival.owned.ranks_first(self._warm_up(cell, arrival))]
        elif cell.know == "careful":
            sent += [arrival for arrival in plain if self._may_use_cold(cell, rate, arrival)]
        else:
            sent += plain
        for arrival in hot:
            share = self._share(cell, rate, arrival)
            owners = min(math.ceil(share * self.servers / HOT_LOAD_FRACTION), self.servers)
            warm_up = self._warm_up(cell, arrival)
            if not arrival.owned.ranks_first(warm_up):
                continue
            if owners > 1:
                if arrival.chance < arrival.owned.chance(warm_up, owners):
                    sent.append(arrival)
            elif cell.know != "careful" or self._may_use_cold(cell, rate, arrival):
                sent.append(arrival)
        if hot:
            sent.sort(key=lambda arrival: arrival.age)
        return sent

    def _warm_up(self, cell: Cell, arrival: Arrival) -> float:
        off = (2 * arrival.which - 1) * CLOCK_ERROR_S if cell.know == "apart" else 0.0
        return self.site.rules.capacity_fraction(arrival.age + off)

    def _may_use_cold(self, cell: Cell, rate: float, arrival: Arrival) -> bool:
        """Whether a router uses a cold server, by the requests it has seen (`ServerSelection.candidates`)."""
        if not arrival.owned.warm:
            return True
        spare = (self.site.rules.multiple - 1) * self.site.rules.capacity_fraction(arrival.age)
        return arrival.chance * self.servers < self._seen(cell, rate, arrival) * spare

    def _share(self, cell: Cell, rate: float, arrival: Arrival) -> float:
        """The router's estimate of the slot's share."""
        samples, before = self.share_samples.get(arrival.owned.slot), self._seen(cell, rate, arrival)
        if cell.know in ("settled", "apart") or before >= COUNT_LIMIT:
            return samples[int(arrival.which * len(samples))] if samples else 0.0
        seen = self._poisson(before * self.site.popular[arrival.owned.slot])
        return seen / before if before > 1.0 else float(seen)

    def _poisson(self, mean: float) -> int:
        if mean > 50:
            return max(round(self._rng.gauss(mean, math.sqrt(mean))), 0)
        count, left = 0, math.exp(-mean)
        product = self._rng.random()
        while product > left:
            count += 1
            product *= self._rng.random()
        return count


def main() -> None:
    """Simulate all starts, and print the totals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--starts", type=int, default=10_000)
    parser.add_argument("--servers", type=int, default=120)
    parser.add_argument("--cold", type=int, default=1)
    parser.add_argument(
        "--minutes", type=float, default=math.inf, help="stop after this time, with fewer starts"
    )
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    start_time = time.perf_counter()
    simulations = [
        StartSimulation(read_site(path), options.servers, seed) for seed, path in enumerate(options.sites)
    ]
    cells: dict[tuple[str, float], list[Cell]] = {
        (run.site.name, load): [
            Cell(run.site.name, load, routers, uneven, know)
            for routers in ROUTERS
            for uneven in (False, True)
            for know in ("settled", "apart", "fresh", "careful")
            if not (uneven and routers == 1) and (know != "apart" or (routers == ROUTERS[-1] and not uneven))
        ]
        for run in simulations
        for load in LOADS
    }
    totals = {cell: Sums() for some in cells.values() for cell in some}
    for run in simulations:
        rules = run.site.rules
        n = rules.allowed_requests(0.0, run.site.capacity)
        print(f"{run.site.name}: {run.site.capacity:.1f} a second when warm, N at the start {n:.0f}; {rules}")
        print(f"  a hot slot has {max(run.site.popular):.4f} of the requests; {len(run.hot)} may be spread")
    shared: dict[tuple[float, float], list[StartSimulation]] = {}
    for run in simulations:
        shared.setdefault((run.site.rules.share, run.site.rules.time), []).append(run)
    for (share, cold_time), group in shared.items():
        cls = RequestClass("read", latency_target=1, deadline=1)
        settings = Settings((cls,), cold_capacity=share, warm_up_time=int(cold_time * 1e9))
        for owned in placements(settings, options.servers, options.cold, options.starts):
            if time.perf_counter() - start_time > options.minutes * 60:
                break
            for run in group:
                for load in LOADS:
                    run.start(owned, load, cells[run.site.name, load], totals)
    print(f"{options.servers} servers, {options.cold} cold at once; {time.perf_counter() - start_time:.0f} s")
    for cell, total in totals.items():
        traffic = "one x5" if cell.uneven else "even"
        where = f"{cell.site:18} {cell.load:4} R={cell.routers:<4}{traffic:7}{cell.know:8}"
        over, strictest = total.over / total.starts, total.over_strictest / total.starts
        print(
            f"{where} {total.starts} over {over:.4f} ({total.excess:+.0f}, {total.part:.2f} of the bound),",
            end="",
        )
        print(f" strictest {strictest:.4f} ({total.excess_strictest:+.0f})")
    if options.out:
        rows = [{**cell._asdict(), **vars(total)} for cell, total in totals.items()]
        content = {"servers": options.servers, "cold": options.cold, "rows": rows}
        options.out.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
