"""Recovery from disturbances and faults: refusals by reason, cached copies and fetches by use. No I/O.

A recorder samples the rehearsal each second. `compare_to_references` compares the report with the
clairvoyant bound, and with the baseline run: the same scenario without disturbances and faults. The report
calls the baseline run `calm twin`.
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

SMOOTHING_S = 5  # window of the moving average; the service of a single second varies too much
RECOVERED_SHARE = 0.95  # of the baseline's service; service from this share on counts as recovered
FETCH_USES = ("read", "unread", "late", "again")
"""How a fetch was used: its copy was read later (`read`); it only answered its own request in time
(`unread`); neither (`late`); another node already had a copy (`again`)."""


@dataclass(frozen=True, slots=True)
class RouterState:
    """The running totals and limits of one router, for the sample of a second."""

    refused: Counter[str]
    """Requests refused so far, by reason."""
    limits: dict[str, float]
    """Fetches per second allowed to each namespace."""


@dataclass(slots=True)
class _Fetch:
    second: int
    operations: list[int]
    is_duplicate: bool
    copies: list[tuple[str, str]]
    reads: int = 0


@dataclass(slots=True)
class _RatePerSecond:
    """The increases of running totals in each second."""

    rows: dict[str, list[int]] = field(default_factory=dict)
    _previous: Counter[str] = field(default_factory=Counter)

    def add_second(self, totals: Counter[str], seconds: int) -> None:
        for name in totals:
            self.rows.setdefault(name, [0] * seconds)
        for name, row in self.rows.items():
            # A killed router loses its totals, so a sum may decrease.
            row.append(max(totals[name] - self._previous[name], 0))
        self._previous = totals


class Recorder:
    """Records requests, reads of copies and fetches, and a sample each second."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._working_set = frozenset(plan.popular)
        self._operation_of: dict[str, int] = {}
        self._fetches: list[_Fetch] = []
        self._copies: dict[tuple[str, str], _Fetch] = {}
        self._refusal_rates, self._store_rates = _RatePerSecond(), _RatePerSecond()
        self._request_rates, self._requests_sent = (
            _RatePerSecond(),
            Counter[str]({"first": 0, "after a refusal": 0, "other": 0}),
        )
        self.cached_shares: list[float] = []
        """The share of the working set that nodes have copies of, each second."""
        self.limits: list[float] = []
        """Fetches per second that the limits of all routers allow, each second."""

    def record_request(self, request: str, operation: Operation, last_outcome: str) -> None:
        """Record a request that is sent; `last_outcome`: of the previous request, empty for the first."""
        self._operation_of[request] = operation.number
        self._requests_sent[
            "first" if not last_outcome else "after a refusal" if last_outcome == "refused" else "other"
        ] += 1

    def record_read(self, key: str, node: str) -> None:
        """Record that a node has answered a read from its copy."""
        fetch = self._copies.get((node, key))
        if fetch is not None:
            fetch.reads += 1

    def record_fetch(
        self, at: float, request: str, key: str, nodes: Iterable[str], cached_elsewhere: bool
    ) -> None:
        """Record a fetch that these nodes store; `cached_elsewhere`: another node already had a copy."""
        copies = [(node, key) for node in nodes]
        operation = self._operation_of.get(request)
        fetch = _Fetch(int(at), [operation] if operation is not None else [], cached_elsewhere, copies)
        self._fetches.append(fetch)
        self._copies.update(dict.fromkeys(copies, fetch))

    def sample(
        self,
        copies: Sequence[Collection[str]],
        fetches: int,
        writes: int,
        routers: Sequence[RouterState],
    ) -> None:
        """Add the sample of a second: the copies of each node, the store's totals and the routers' states."""
        seconds = len(self.cached_shares)
        cached = set[str]().union(*(self._working_set.intersection(node_copies) for node_copies in copies))
        self.cached_shares.append(len(cached) / max(len(self._working_set), 1))
        self.limits.append(fsum(limit for router in routers for limit in router.limits.values()))
        refused = Counter[str]()
        for router in routers:
            refused.update(router.refused)
        self._refusal_rates.add_second(refused, seconds)
        self._store_rates.add_second(Counter({"fetches": fetches, "writes": writes}), seconds)
        self._request_rates.add_second(self._requests_sent.copy(), seconds)

    def _uses(self, count: RequestCounts) -> dict[str, list[int]]:
        uses = {use: [0] * len(self.cached_shares) for use in FETCH_USES}
        target_s = {cls.name: cls.aim_ms / 1000 for cls in self._plan.scenario.classes}
        for fetch in self._fetches:
            in_time = any(
                count.served_after.get(number, float("inf"))
                <= target_s[self._plan.operations[number].request_class]
                for number in fetch.operations
            )
            use = (
                "again" if fetch.is_duplicate else "read" if fetch.reads else "unread" if in_time else "late"
            )
            if self.cached_shares:
                uses[use][min(fetch.second + 1, len(self.cached_shares) - 1)] += 1
        return uses

    def report(self, count: RequestCounts) -> dict[str, Any]:
        """Return the part of the report on recovery that needs neither the baseline run nor the bound."""
        store, uses = self._plan.store, self._uses(count)
        capacity = store.slots / store.work
        served = [sum(row) for row in zip(*self._store_rates.rows.values(), strict=True)]
        refused_by_limit = self._refusal_rates.rows.get("limit", [0] * len(served))
        limited_seconds = [
            requests for requests, refused in zip(served, refused_by_limit, strict=True) if refused
        ]
        fetches = sum(map(sum, uses.values()))
        return {
            "refused": dict(sorted(self._refusal_rates.rows.items())),
            "held": self.cached_shares,
            "limit": self.limits,
            "fetches": uses,
            "writes": self._store_rates.rows.get("writes", []),
            "tries": self._request_rates.rows,
            "capacity": capacity,
            "seconds_short": len(limited_seconds),
            "store_used": fsum(limited_seconds) / (capacity * len(limited_seconds))
            if limited_seconds
            else None,
            "fetches_wasted": (sum(uses["late"]) + sum(uses["again"])) / fetches if fetches else 0.0,
        }


def without_faults(scenario: Scenario) -> Scenario:
    """Return the scenario of the baseline run: this one without disturbances and faults."""
    return msgspec.structs.replace(scenario, disturbances=(), faults=())


def first_fault_at(plan: Plan) -> float | None:
    """Return the start of the first disturbance or fault, or None."""
    return min([at for at, _ in plan.disturbances] + [event.at for event in plan.fault_events], default=None)


def time_to_recover(
    rows: Sequence[tuple[float, float]], baseline_rows: Sequence[tuple[float, float]], fault_at: float
) -> float | None:
    """Return the seconds until service stays above RECOVERED_SHARE of the baseline's, both smoothed.

    Each row has the worth of the operations of a second, and the part of it that they have earned. None
    where service is below that share at the end.
    """
    last_second = min(len(rows), len(baseline_rows)) - SMOOTHING_S
    recovered_after: float | None = None
    for second in range(last_second, int(fault_at) - 1, -1):
        service, baseline_service = (
            _service(table[second : second + SMOOTHING_S]) for table in (rows, baseline_rows)
        )
        if service < RECOVERED_SHARE * baseline_service:
            break
        recovered_after = max(second - fault_at, 0.0)
    return recovered_after


def _service(rows: Sequence[tuple[float, float]]) -> float:
    total = fsum(row[0] for row in rows)
    return fsum(row[1] for row in rows) / total if total else 1.0


def bound_rows(plan: Plan, count: RequestCounts, bound: ClairvoyantCache) -> list[tuple[float, float]]:
    """Return, for each second, the worth of its operations and the part that the bound earns."""
    seconds = [[0.0, 0.0] for _ in range(count.seconds)]
    for operation in plan.operations:
        worth, _ = count.worth(operation)
        row = seconds[min(int(operation.at), count.seconds - 1)]
        row[0] += worth
        row[1] += worth * bound.in_time.get(operation.number, False)
    return [(total, earned) for total, earned in seconds]


def compare_to_references(
    report: dict[str, Any], baseline_report: dict[str, Any], plan: Plan, bound: ClairvoyantCache
) -> dict[str, Any]:
    """Return the rest of the report on recovery: the comparison with the baseline run and the bound."""
    rows = [(total, earned) for total, earned in report["service"]["seconds"]]
    baseline_rows = [(total, earned) for total, earned in baseline_report["service"]["seconds"]]
    bound_seconds = bound_rows(plan, RequestCounts(plan), bound)
    fault_at = first_fault_at(plan)
    return {
        "trouble_at": fault_at,
        "time_to_recover": time_to_recover(rows, baseline_rows, fault_at) if fault_at is not None else 0.0,
        "calm_service": baseline_report["service"]["whole"],
        "bound_service": _service(bound_seconds),
        "share_of_bound": report["service"]["whole"] / max(_service(bound_seconds), 1e-9),
        "service_by_second": {
            "this": _smoothed(rows),
            "calm twin": _smoothed(baseline_rows),
            "clairvoyant": _smoothed(bound_seconds),
        },
    }


def _smoothed(rows: Sequence[tuple[float, float]]) -> list[float]:
    return [_service(rows[max(0, second - SMOOTHING_S + 1) : second + 1]) for second in range(len(rows))]
