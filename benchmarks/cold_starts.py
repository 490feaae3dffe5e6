"""What cold servers are sent by all routers together, against N + 2 x root of N + 2: many drawn starts.

    python benchmarks/cold_starts.py SITE.toml ... [--starts 10000] [--servers 120] [--cold 1] [--out FILE]

`--cold 1`: one of the servers starts; 40: so many at once; as many as there are servers: all of them.
docs/design/cold-servers.md says what is drawn, and what is taken from the module as it is.
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
LOADS = (1.1,)  # of all servers' capacity, when warm
UNEVEN = 5  # times the others' traffic, at one of the routers
RESENT = 1 / 8  # of the requests come from a server that failed them
APART_S = 1.0  # by how much routers' clocks may be off
KEYS, SINGLE = 320_000_000, 3000  # keys in all; drawn one by one, the rest evenly over the slots
BASES = 500  # starts beside the same warm servers
HIGH = 2  # scores that are kept of a slot's ranking


class Site(NamedTuple):
    """What a site file says of its cache servers and its traffic, where there is a choice the harder end."""

    name: str
    rules: ColdRules
    capacity: float
    """Requests of mean work a second of a usual server."""
    speed_cv: float
    handshake: float
    """The work of a new connection, in requests of mean work."""
    popular: list[float]
    """The share of the requests that each slot has."""


def most(value: Any) -> float:
    """The upper end of a range, or the one value."""
    return max(value) if isinstance(value, list) else value


def least(value: Any) -> float:
    """The lower end of a range, or the one value."""
    return min(value) if isinstance(value, list) else value


def middle(value: Any) -> float:
    """The middle of a range, or the one value."""
    return (most(value) + least(value)) / 2


def popularity(zipf: float, offset: float) -> list[float]:
    """Each slot's share of the requests, keys hashed as the module hashes them."""
    slots = [0.0] * SLOTS
    for i in range(SINGLE):
        slots[crc32(b"key/%d" % i) % SLOTS] += (i + 1 + offset) ** -zipf
    near, far = SINGLE + 0.5 + offset, KEYS + 0.5 + offset
    rest = math.log(far / near) if zipf == 1.0 else (far ** (1 - zipf) - near ** (1 - zipf)) / (1 - zipf)
    total = sum(slots) + rest
    return [(slot + rest / SLOTS) / total for slot in slots]


def read_site(path: Path) -> Site:
    """Read a site file."""
    facts = tomllib.loads(path.read_text())
    [tier], kinds = facts["tier"], facts["tier"][0]["kind"]
    classes = facts["class"]
    shares = [middle(each["share"]) for each in classes]
    work = sum(share * middle(each["work_ms"]) for share, each in zip(shares, classes, strict=True))
    work /= sum(shares) * 1000
    parts = [middle(kind["share"]) for kind in kinds]
    speed = sum(p * k["cores"] * middle(k["speed"]) for p, k in zip(parts, kinds, strict=True)) / sum(parts)
    rules = ColdRules(
        facts["rules"]["fall_multiple"],
        facts["rules"]["fall_ms"] / 1000,
        min(least(kind["cold_from"]) for kind in kinds),
        max(most(kind["cold_s"]) for kind in kinds),
    )
    return Site(
        facts["name"],
        rules,
        speed / work,
        max(most(kind["speed_cv"]) for kind in kinds),
        most(tier["conn"]["handshake_us"]) / 1e6 / work,
        popularity(most(facts["fam"]["zipf"]), least(facts["fam"]["offset"])),
    )


class Held(NamedTuple):
    """A slot that a cold server may hold: its own score, the warm ones' and the other cold ones'."""

    slot: int
    score: float
    warm: list[float]
    cold: list[float]

    def asked_first(self, warmth: float) -> bool:
        """Whether the server is the slot's best at this warmth, as `SlotTable.rank` has it."""
        beaten = not self.warm or self.score * warmth > self.warm[0]
        return beaten and (not self.cold or self.score > self.cold[0])

    def chance(self, warmth: float, owners: int) -> float:
        """The best one's chance to be asked as one of several owners: by warmth, as if the others were warm.

        `ServerSelection._expected_wait` gives it less: nothing under a warmth of 0.6 while one of the others
        is idle and warm.
        """
        return warmth / (warmth + owners - 1) if self.warm else 1 / owners


def placements(settings: Settings, servers: int, cold: int, starts: int) -> Iterator[list[Held]]:
    """For each start the slots that its server may hold, by the real table's scores."""
    table, drawn = SlotTable(settings), 0
    while drawn < starts:
        base = [Node(Server(f"warm{drawn}/{i}"), weighted=False) for i in range(servers - cold)]
        warm = [
            sorted((table._score(slot, node) for node in base), reverse=True)[:HIGH] for slot in range(SLOTS)
        ]
        until = min(drawn + max(BASES, cold), starts)
        while drawn < until:
            new = [Node(Server(f"new{drawn + i}", started=1), weighted=False) for i in range(cold)]
            scores = [[table._score(slot, node) for slot in range(SLOTS)] for node in new]
            rivals = [sorted(each, reverse=True)[:HIGH] for each in zip(*scores, strict=True)]
            if drawn == 0:
                _check(settings, base, new, warm, scores, rivals)
            for mine in scores[: until - drawn]:
                yield list(_held(mine, warm, rivals))
            drawn += cold


def _held(mine: list[float], warm: list[list[float]], rivals: list[list[float]]) -> Iterator[Held]:
    """The slots that one cold server comes to be the best of."""
    for slot, score in enumerate(mine):
        if score >= rivals[slot][0] and (not warm[slot] or score > warm[slot][0]):
            yield Held(slot, score, warm[slot], rivals[slot][1:])


def _check(
    settings: Settings,
    base: list[Node],
    new: list[Node],
    warm: list[list[float]],
    scores: list[list[float]],
    rivals: list[list[float]],
) -> None:
    """Hold the scores against `SlotTable.rank` itself, at three ages, for every slot."""
    table = SlotTable(settings)
    table.update([node.entry for node in (*base, *new)], [])
    names = {node.entry.id: i for i, node in enumerate(new)}
    for now in (1, settings.warm_up_time // 3, settings.warm_up_time - 1):
        for slot in range(SLOTS):
            first = table.rank(slot, now)[0]
            holder = names.get(first.entry.id)
            for i, mine in enumerate(scores):
                without = [other for other in rivals[slot] if other != mine[slot]]
                each = Held(slot, mine[slot], warm[slot], without)
                assert each.asked_first(table.warm_up_fraction(new[i], now)) == (holder == i), (slot, now, i)


def estimates(popular: list[float], hot: set[int]) -> dict[int, list[float]]:
    """What a settled router takes a hot slot's share to be: the real counts, over many requests."""
    heat, rng, told = Popularity(), random.Random(3), dict[int, list[float]]()
    cumulated = list(accumulate(popular))
    for i in range(60 * COUNT_LIMIT):
        slot = min(bisect(cumulated, rng.random() * cumulated[-1]), SLOTS - 1)
        share = heat.add(slot)
        if slot in hot and i > 2 * COUNT_LIMIT:
            told.setdefault(slot, []).append(share)
    return told


class Cell(NamedTuple):
    """One row of the table."""

    site: str
    load: float
    routers: int
    uneven: bool
    know: str
    """What routers know: `settled`: what is hot; `apart`: so, with clocks that differ; `fresh`: nothing,
    they start when the server does; `careful`: the same, and they pass cold servers over as the module does.
    """


class Sums:
    """What the starts of one cell came to: by the capacity at a window's end, and at its beginning."""

    def __init__(self) -> None:
        self.starts = self.over = self.over_strictest = 0
        self.part, self.excess, self.excess_strictest = 0.0, -math.inf, -math.inf

    def add(self, start: WindowLoad) -> None:
        """Count one start."""
        self.starts += 1
        self.over += start.excess > 0
        self.over_strictest += start.strict_excess > 0
        self.part, self.excess = max(self.part, start.fraction), max(self.excess, start.excess)
        self.excess_strictest = max(self.excess_strictest, start.strict_excess)


class Came(NamedTuple):
    """A request that may come to the cold server; the last three are draws from 0 to 1."""

    age: float
    held: Held
    work: float
    who: float
    which: float
    chance: float


class Draws:
    """The requests of one site that may come to a cold server."""

    def __init__(self, site: Site, servers: int, seed: int) -> None:
        self.site, self.servers, self._rng = site, servers, random.Random(seed)
        self.hot = {
            slot for slot, share in enumerate(site.popular) if share > HOT_LOAD_FRACTION / servers / 2
        }
        self.told = estimates(site.popular, self.hot)

    def start(self, held: list[Held], load: float, cells: list[Cell], sums: dict[Cell, Sums]) -> None:
        """Draw one start, for all cells with the same requests."""
        rng, site = self._rng, self.site
        rate = load * self.servers * site.capacity * (1 + RESENT)
        cumulated = list(accumulate(site.popular[each.slot] for each in held))
        # A speed of its own; N goes with it, what it is sent does not.
        spread = math.sqrt(math.log(1 + site.speed_cv**2))
        capacity = site.capacity * math.exp(rng.gauss(-(spread**2) / 2, spread))
        plain, hot = list[Came](), list[Came]()
        age = rng.expovariate(rate * cumulated[-1]) if held else math.inf
        while age < site.rules.time:
            each = held[min(bisect(cumulated, rng.random() * cumulated[-1]), len(held) - 1)]
            came = Came(age, each, rng.expovariate(1.0), rng.random(), rng.random(), rng.random())
            if each.slot in self.hot:
                hot.append(came)
            elif each.asked_first(site.rules.capacity_fraction(age + APART_S)):
                plain.append(came)
            age += rng.expovariate(rate * cumulated[-1])
        usual = [came for came in plain if came.held.asked_first(site.rules.capacity_fraction(came.age))]
        for cell in cells:
            asked = self._asked(cell, rate, plain if cell.know == "apart" else usual, hot)
            sums[cell].add(heaviest_window(site.rules, capacity, self._works(cell, asked)))

    def _works(self, cell: Cell, asked: list[Came]) -> Iterator[tuple[float, float]]:
        """Ages and works, with a new connection's at each router's first."""
        connected = set[int]()
        for came in asked:
            router = self._router(cell, came)
            yield came.age, came.work + (0.0 if router in connected else self.site.handshake)
            connected.add(router)

    def _router(self, cell: Cell, came: Came) -> int:
        more = UNEVEN - 1 if cell.uneven else 0
        return max(int(came.who * (cell.routers + more)) - more, 0)

    def _seen(self, cell: Cell, rate: float, came: Came) -> float:
        """How many requests a fresh router has seen so far."""
        more = UNEVEN - 1 if cell.uneven else 0
        mine = 1 + more if self._router(cell, came) == 0 else 1
        return rate / (1 + RESENT) * mine / (cell.routers + more) * came.age

    def _asked(self, cell: Cell, rate: float, plain: list[Came], hot: list[Came]) -> list[Came]:
        """The requests for which this server is asked."""
        asked = list[Came]()
        if cell.know == "apart":
            asked += [came for came in plain if came.held.asked_first(self._warmth(cell, came))]
        elif cell.know == "careful":
            asked += [came for came in plain if self._known(cell, rate, came)]
        else:
            asked += plain
        for came in hot:
            share = self._share(cell, rate, came)
            owners = min(math.ceil(share * self.servers / HOT_LOAD_FRACTION), self.servers)
            warmth = self._warmth(cell, came)
            if not came.held.asked_first(warmth):
                continue
            if owners > 1:
                if came.chance < came.held.chance(warmth, owners):
                    asked.append(came)
            elif cell.know != "careful" or self._known(cell, rate, came):
                asked.append(came)
        if hot:
            asked.sort(key=lambda came: came.age)
        return asked

    def _warmth(self, cell: Cell, came: Came) -> float:
        off = (2 * came.which - 1) * APART_S if cell.know == "apart" else 0.0
        return self.site.rules.capacity_fraction(came.age + off)

    def _known(self, cell: Cell, rate: float, came: Came) -> bool:
        """Whether a router asks a cold server, by the requests it has seen (`ServerSelection.candidates`)."""
        if not came.held.warm:
            return True
        spare = (self.site.rules.multiple - 1) * self.site.rules.capacity_fraction(came.age)
        return came.chance * self.servers < self._seen(cell, rate, came) * spare

    def _share(self, cell: Cell, rate: float, came: Came) -> float:
        """The share that the router takes the slot to have."""
        told, before = self.told.get(came.held.slot), self._seen(cell, rate, came)
        if cell.know in ("settled", "apart") or before >= COUNT_LIMIT:
            return told[int(came.which * len(told))] if told else 0.0
        seen = self._poisson(before * self.site.popular[came.held.slot])
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
    """Draw and tell."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("sites", nargs="+", type=Path)
    options.add_argument("--starts", type=int, default=10_000)
    options.add_argument("--servers", type=int, default=120)
    options.add_argument("--cold", type=int, default=1)
    options.add_argument(
        "--minutes", type=float, default=math.inf, help="end after so long, with fewer starts"
    )
    options.add_argument("--out", type=Path)
    chosen = options.parse_args()
    begun = time.perf_counter()
    draws = [Draws(read_site(path), chosen.servers, seed) for seed, path in enumerate(chosen.sites)]
    cells: dict[tuple[str, float], list[Cell]] = {
        (each.site.name, load): [
            Cell(each.site.name, load, routers, uneven, know)
            for routers in ROUTERS
            for uneven in (False, True)
            for know in ("settled", "apart", "fresh", "careful")
            if not (uneven and routers == 1) and (know != "apart" or (routers == ROUTERS[-1] and not uneven))
        ]
        for each in draws
        for load in LOADS
    }
    sums = {cell: Sums() for some in cells.values() for cell in some}
    for each in draws:
        rules = each.site.rules
        n = rules.allowed_requests(0.0, each.site.capacity)
        print(
            f"{each.site.name}: {each.site.capacity:.1f} a second when warm, N at the start {n:.0f}; {rules}"
        )
        print(f"  a hot slot has {max(each.site.popular):.4f} of the requests; {len(each.hot)} may be spread")
    shared: dict[tuple[float, float], list[Draws]] = {}
    for each in draws:
        shared.setdefault((each.site.rules.share, each.site.rules.time), []).append(each)
    for (share, cold_time), group in shared.items():
        cls = RequestClass("read", latency_target=1, deadline=1)
        settings = Settings((cls,), cold_capacity=share, warm_up_time=int(cold_time * 1e9))
        for held in placements(settings, chosen.servers, chosen.cold, chosen.starts):
            if time.perf_counter() - begun > chosen.minutes * 60:
                break
            for each in group:
                for load in LOADS:
                    each.start(held, load, cells[each.site.name, load], sums)
    print(f"{chosen.servers} servers, {chosen.cold} cold at once; {time.perf_counter() - begun:.0f} s")
    for cell, sum_ in sums.items():
        traffic = "one x5" if cell.uneven else "even"
        where = f"{cell.site:18} {cell.load:4} R={cell.routers:<4}{traffic:7}{cell.know:8}"
        over, strictest = sum_.over / sum_.starts, sum_.over_strictest / sum_.starts
        print(
            f"{where} {sum_.starts} over {over:.4f} ({sum_.excess:+.0f}, {sum_.part:.2f} of the bound),",
            end="",
        )
        print(f" strictest {strictest:.4f} ({sum_.excess_strictest:+.0f})")
    if chosen.out:
        rows = [{**cell._asdict(), **vars(sum_)} for cell, sum_ in sums.items()]
        told = {"servers": chosen.servers, "cold": chosen.cold, "rows": rows}
        chosen.out.write_text(json.dumps(told, indent=1) + "\n")


if __name__ == "__main__":
    main()
