"""Where service goes after a trouble, and when it is back: by reason, by copy, by fetch. No I/O.

A recorder takes what the rehearsal sees; `against` holds the report against that of the calm twin (the same
scenario without its disturbances and faults) and against the clairvoyant bound.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from math import fsum
from typing import Any

import msgspec

from pebblepass.simulation.clairvoyant_bound import ClairvoyantCache
from pebblepass.simulation.plan import Operation, Plan
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.scenario import Scenario

SMOOTH_S = 5  # service of one second is mostly chance
SHARE = 0.95  # of the calm twin's service, from which on it counts as back
USES = ("read", "unread", "late", "again")
"""What a fetch was good for: its copy was read again; it answered its own request alone; not even that, and
its copy was never read; another node held a copy already."""


@dataclass(frozen=True, slots=True)
class RouterState:
    """One router's running totals and limits, for the sample of a second."""

    refused: Counter[str]
    """Requests refused so far, by reason."""
    limits: dict[str, float]
    """Fetches a second that each namespace may have now."""


@dataclass(slots=True)
class _Fetch:
    second: int
    operations: list[int]
    again: bool
    copies: list[tuple[str, str]]
    reads: int = 0


@dataclass(slots=True)
class _Seconds:
    """Differences of a running total, second by second."""

    rows: dict[str, list[int]] = field(default_factory=dict)
    _before: Counter[str] = field(default_factory=Counter)

    def take(self, totals: Counter[str], seconds: int) -> None:
        for name in totals:
            self.rows.setdefault(name, [0] * seconds)
        for name, row in self.rows.items():
            # A router that was killed takes its totals with it.
            row.append(max(totals[name] - self._before[name], 0))
        self._before = totals


class Recorder:
    """Takes what is asked, read and fetched, and a sample each second."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._working_set = frozenset(plan.popular)
        self._operations: dict[str, int] = {}
        self._fetches: list[_Fetch] = []
        self._copies: dict[tuple[str, str], _Fetch] = {}
        self._refused, self._store = _Seconds(), _Seconds()
        self._tries, self._tried = _Seconds(), Counter[str]({"first": 0, "after a refusal": 0, "other": 0})
        self.held: list[float] = []
        self.limits: list[float] = []

    def record_request(self, request: str, operation: Operation, before: str) -> None:
        """A try goes out; `before`: what the try before it came to, empty for the first."""
        self._operations[request] = operation.number
        self._tried["first" if not before else "after a refusal" if before == "refused" else "other"] += 1

    def record_read(self, key: str, node: str) -> None:
        """A node has answered a read with its copy."""
        fetch = self._copies.get((node, key))
        if fetch is not None:
            fetch.reads += 1

    def record_fetch(
        self, at: float, request: str, key: str, nodes: Iterable[str], held_elsewhere: bool
    ) -> None:
        """The store has served a fetch, and these nodes keep it; `held_elsewhere`: another one had it."""
        copies = [(node, key) for node in nodes]
        operation = self._operations.get(request)
        fetch = _Fetch(int(at), [operation] if operation is not None else [], held_elsewhere, copies)
        self._fetches.append(fetch)
        self._copies.update(dict.fromkeys(copies, fetch))

    def sample(
        self,
        copies: Sequence[Collection[str]],
        fetches: int,
        writes: int,
        routers: Sequence[RouterState],
    ) -> None:
        """A second ends: the copies of each node, the store's running totals, and each router's state."""
        seconds = len(self.held)
        held = set[str]().union(*(self._working_set.intersection(kept) for kept in copies))
        self.held.append(len(held) / max(len(self._working_set), 1))
        self.limits.append(fsum(limit for router in routers for limit in router.limits.values()))
        refused = Counter[str]()
        for router in routers:
            refused.update(router.refused)
        self._refused.take(refused, seconds)
        self._store.take(Counter({"fetches": fetches, "writes": writes}), seconds)
        self._tries.take(self._tried.copy(), seconds)

    def _uses(self, count: RequestCounts) -> dict[str, list[int]]:
        uses = {use: [0] * len(self.held) for use in USES}
        aims = {cls.name: cls.aim_ms / 1000 for cls in self._plan.scenario.classes}
        for fetch in self._fetches:
            in_time = any(
                count.served_after.get(number, float("inf"))
                <= aims[self._plan.operations[number].request_class]
                for number in fetch.operations
            )
            use = "again" if fetch.again else "read" if fetch.reads else "unread" if in_time else "late"
            if self.held:
                uses[use][min(fetch.second + 1, len(self.held) - 1)] += 1
        return uses

    def report(self, count: RequestCounts) -> dict[str, Any]:
        """Everything second by second, and the figures that can be told without a twin."""
        store, uses = self._plan.store, self._uses(count)
        capacity = store.slots / store.work
        served = [sum(row) for row in zip(*self._store.rows.values(), strict=True)]
        limited = self._refused.rows.get("limit", [0] * len(served))
        short = [done for done, refused in zip(served, limited, strict=True) if refused]
        fetches = sum(map(sum, uses.values()))
        return {
            "refused": dict(sorted(self._refused.rows.items())),
            "held": self.held,
            "limit": self.limits,
            "fetches": uses,
            "writes": self._store.rows.get("writes", []),
            "tries": self._tries.rows,
            "capacity": capacity,
            "seconds_short": len(short),
            "store_used": fsum(short) / (capacity * len(short)) if short else None,
            "fetches_wasted": (sum(uses["late"]) + sum(uses["again"])) / fetches if fetches else 0.0,
        }


def without_faults(scenario: Scenario) -> Scenario:
    """The same scenario with nothing that goes wrong."""
    return msgspec.structs.replace(scenario, disturbances=(), faults=())


def first_fault_at(plan: Plan) -> float | None:
    """When the first trouble or fault begins; None: there is none."""
    return min([at for at, _ in plan.disturbances] + [h.at for h in plan.fault_events], default=None)


def time_to_recover(
    rows: Sequence[tuple[float, float]], calm_rows: Sequence[tuple[float, float]], trouble_at: float
) -> float | None:
    """Seconds from a trouble until service stays above SHARE of the calm twin's, both smoothed.

    Each row is a second's worth asked and earned. None: it does not come back for good.
    """
    last = min(len(rows), len(calm_rows)) - SMOOTH_S
    back: float | None = None
    for second in range(last, int(trouble_at) - 1, -1):
        here, there = (_service(table[second : second + SMOOTH_S]) for table in (rows, calm_rows))
        if here < SHARE * there:
            break
        back = max(second - trouble_at, 0.0)
    return back


def _service(rows: Sequence[tuple[float, float]]) -> float:
    asked = fsum(row[0] for row in rows)
    return fsum(row[1] for row in rows) / asked if asked else 1.0


def bound_rows(plan: Plan, count: RequestCounts, bound: ClairvoyantCache) -> list[tuple[float, float]]:
    """Each second's worth asked, and earned within the bound."""
    seconds = [[0.0, 0.0] for _ in range(count.seconds)]
    for operation in plan.operations:
        worth, _ = count.worth(operation)
        row = seconds[min(int(operation.at), count.seconds - 1)]
        row[0] += worth
        row[1] += worth * bound.in_time.get(operation.number, False)
    return [(asked, earned) for asked, earned in seconds]


def compare_to_references(
    report: dict[str, Any], calm_report: dict[str, Any], plan: Plan, bound: ClairvoyantCache
) -> dict[str, Any]:
    """What can be told only beside the calm twin and the bound; it goes into the report's recovery."""
    rows = [(asked, earned) for asked, earned in report["service"]["seconds"]]
    calm_rows = [(asked, earned) for asked, earned in calm_report["service"]["seconds"]]
    reckoned = bound_rows(plan, RequestCounts(plan), bound)
    at = first_fault_at(plan)
    return {
        "trouble_at": at,
        "time_to_recover": time_to_recover(rows, calm_rows, at) if at is not None else 0.0,
        "calm_service": calm_report["service"]["whole"],
        "bound_service": _service(reckoned),
        "share_of_bound": report["service"]["whole"] / max(_service(reckoned), 1e-9),
        "service_by_second": {
            "this": _smoothed(rows),
            "calm twin": _smoothed(calm_rows),
            "clairvoyant": _smoothed(reckoned),
        },
    }


def _smoothed(rows: Sequence[tuple[float, float]]) -> list[float]:
    return [_service(rows[max(0, second - SMOOTH_S + 1) : second + 1]) for second in range(len(rows))]
