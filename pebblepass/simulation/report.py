"""The report of a rehearsal as one JSON object; runs of one plan in virtual time give identical bytes."""

from __future__ import annotations

from typing import Any

import msgspec

from pebblepass.simulation.emulated_services import EmulatedServices
from pebblepass.simulation.plan import Plan
from pebblepass.simulation.reconcile import differences
from pebblepass.simulation.request_counts import OUTCOMES, RequestCounts
from pebblepass.simulation.rule_checker import Rule, RuleChecker

DECIMALS = 6  # of each figure
MAX_BREACHES = 20  # described for each rule; all are counted


class Series:
    """Figures for each second, for the plots."""

    def __init__(self, nodes: list[str]) -> None:
        self.seconds: list[float] = []
        self.open: list[int] = []
        self.fetches: list[int] = []
        """Reads that the store served in the second."""
        self.load: dict[str, list[float]] = {name: [] for name in nodes}
        """The share of the second in which each node was busy."""
        self._fetched = 0
        self._busy: dict[str, float] = {}

    def add_second(self, second: float, open_requests: int, fetched: int, busy: dict[str, float]) -> None:
        """Add the figures of a second, from the running totals at its end."""
        self.seconds.append(second)
        self.open.append(open_requests)
        self.fetches.append(fetched - self._fetched)
        self._fetched = fetched
        for name in busy:
            self.load.setdefault(name, [0.0] * (len(self.seconds) - 1))
        for name, row in self.load.items():
            now = busy.get(name, 0.0)
            before = self._busy.get(name, 0.0)
            row.append(min(1.0, now - before) if now >= before else 0.0)
        self._busy = busy


def build_report(
    plan: Plan,
    count: RequestCounts,
    rule_checker: RuleChecker,
    series: Series,
    services: EmulatedServices,
    recovery: dict[str, Any],
    clock: str,
    events: list[tuple[float, str]],
    figures: dict[str, list[dict[str, Any]] | None],
    peaks_kb: dict[str, int],
    crashes: list[str],
    interrupted: bool,
) -> dict[str, Any]:
    """Return the report under its outward keys, with all figures rounded."""
    fleet = plan.scenario.fleet
    started_at = series.seconds[0] if series.seconds else 0.0
    breaches = {
        rule.value: [breach for breach in rule_checker.breaches if breach.rule is rule] for rule in Rule
    }
    report = {
        "scenario": plan.scenario.title,
        "seed": plan.seed,
        "clock": clock,
        "plan": plan.digest(),
        "trace": rule_checker.trace.hexdigest()[:16] if clock == "virtual" else None,
        "interrupted": interrupted,
        "scale": {
            "routers": fleet.routers,
            "nodes": fleet.nodes,
            "rate": plan.scenario.traffic.rate,
            "length_s": plan.scenario.length_s,
            "asks": len(plan.operations),
        },
        "service": count.service(),
        "tries": {
            namespace: {
                cls: {name: count.requests[namespace, cls][name] for name in ("asked", *OUTCOMES)}
                for other, cls in count.requests
                if other == namespace
            }
            for namespace, _ in count.requests
        },
        "routers": {
            name: {outcome: tally[outcome] for outcome in ("asked", *OUTCOMES)}
            for name, tally in count.routers.items()
        },
        "attempts": dict(sorted(rule_checker.attempts.items())),
        "deadlines": rule_checker.deadlines.report(),
        "store": {"fetches": services.store.fetches, "writes": services.store.writes},
        "effects": {"applied": services.effects.applied, "repeats_dropped": services.effects.dropped},
        "rules": {
            rule: {
                "held": not found,
                "breaches": len(found),
                "first": [f"{breach.description}" for breach in found[:MAX_BREACHES]],
            }
            for rule, found in breaches.items()
        },
        "balance": [] if interrupted else count.balance(),
        "peak_memory_kb": peaks_kb,
        "figures": {
            "compared": [name for name, rows in figures.items() if rows is not None],
            "differences": [] if interrupted else differences(count, figures),
        },
        "recovery": recovery,
        "crashes": crashes,
        "fallen": rule_checker.overloaded,
        "events": [[at, description] for at, description in events],
        "series": {
            "second": [round(second - started_at) for second in series.seconds],
            "open": series.open,
            "fetches": series.fetches,
            "load": series.load,
        },
    }
    rounded: dict[str, Any] = _rounded(report)
    return rounded


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, DECIMALS)
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(item) for item in value]
    return value


def as_json(report: dict[str, Any]) -> bytes:
    """Return the report as the bytes of a JSON file."""
    return msgspec.json.format(msgspec.json.encode(report, order="sorted")) + b"\n"


def verdict(report: dict[str, Any]) -> list[str]:
    """Return a line for each reason why the rehearsal has failed; empty where it has passed."""
    lines = [
        f"rule broken: {rule} ({result['breaches']}): {result['first'][0]}"
        for rule, result in report["rules"].items()
        if not result["held"]
    ]
    lines += [f"does not add up: {line}" for line in report["balance"]]
    lines += [f"figures differ: {line}" for line in report["figures"]["differences"]]
    return lines + [f"crashed: {line}" for line in report["crashes"]]


def compare(real: dict[str, Any], virtual: dict[str, Any]) -> dict[str, tuple[float, float]]:
    """Return the figures that differ between two runs of one plan, each as (real time, virtual time)."""
    both = {name: (value, virtual["service"][name]) for name, value in real["service"].items()}
    figures = {f"service {name}": pair for name, pair in both.items() if isinstance(pair[0], int | float)}
    for kind in ("classes", "namespaces"):
        for name, value in real["service"][kind].items():
            figures[f"service {name}"] = (value, virtual["service"][kind][name])
    for outcome in ("asked", *OUTCOMES):
        figures[f"tries {outcome}"] = (
            sum(tally[outcome] for tally in real["routers"].values()),
            sum(tally[outcome] for tally in virtual["routers"].values()),
        )
    for name, value in real["store"].items():
        figures[f"store {name}"] = (value, virtual["store"][name])
    return {name: pair for name, pair in figures.items() if pair[0] != pair[1]}
