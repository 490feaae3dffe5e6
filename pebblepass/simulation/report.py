"""The report of a rehearsal: one object of plain figures, the same for the same run, to the byte."""

from __future__ import annotations

from typing import Any

import msgspec

from pebblepass.simulation.emulated_services import EmulatedServices
from pebblepass.simulation.plan import Plan
from pebblepass.simulation.reconcile import differences
from pebblepass.simulation.request_counts import OUTCOMES, RequestCounts
from pebblepass.simulation.rule_checker import Rule, RuleChecker

DIGITS = 6
MOST_BREACHES = 20  # that are told with their words; all are counted


class Series:
    """Figures second by second, for the plots."""

    def __init__(self, nodes: list[str]) -> None:
        self.seconds: list[float] = []
        self.open: list[int] = []
        self.fetches: list[int] = []
        """Reads that the store served in the second."""
        self.load: dict[str, list[float]] = {name: [] for name in nodes}
        """The share of the second in which each node had something to do."""
        self._fetched = 0
        self._busy: dict[str, float] = {}

    def take(self, second: float, open_requests: int, fetched: int, busy: dict[str, float]) -> None:
        """Take the running totals at the end of a second."""
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
    world: EmulatedServices,
    recovery: dict[str, Any],
    clock: str,
    events: list[tuple[float, str]],
    figures: dict[str, list[dict[str, Any]] | None],
    peaks_kb: dict[str, int],
    crashes: list[str],
    interrupted: bool,
) -> dict[str, Any]:
    """Put the report together."""
    fleet = plan.scenario.fleet
    begun = series.seconds[0] if series.seconds else 0.0
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
                cls: {name: count.tries[namespace, cls][name] for name in ("asked", *OUTCOMES)}
                for other, cls in count.tries
                if other == namespace
            }
            for namespace, _ in count.tries
        },
        "routers": {
            name: {outcome: tally[outcome] for outcome in ("asked", *OUTCOMES)}
            for name, tally in count.routers.items()
        },
        "attempts": dict(sorted(rule_checker.attempts.items())),
        "deadlines": rule_checker.deadlines.report(),
        "store": {"fetches": world.store.fetches, "writes": world.store.writes},
        "effects": {"applied": world.effects.applied, "repeats_dropped": world.effects.dropped},
        "rules": {
            rule: {
                "held": not found,
                "breaches": len(found),
                "first": [f"{breach.what}" for breach in found[:MOST_BREACHES]],
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
        "fallen": rule_checker.pushed,
        "events": [[at, what] for at, what in events],
        "series": {
            "second": [round(second - begun) for second in series.seconds],
            "open": series.open,
            "fetches": series.fetches,
            "load": series.load,
        },
    }
    rounded: dict[str, Any] = _rounded(report)
    return rounded


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, DIGITS)
    if isinstance(value, dict):
        return {key: _rounded(held) for key, held in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(held) for held in value]
    return value


def as_json(report: dict[str, Any]) -> bytes:
    """The report as a file."""
    return msgspec.json.format(msgspec.json.encode(report, order="sorted")) + b"\n"


def verdict(report: dict[str, Any]) -> list[str]:
    """Why the rehearsal has failed, a line each; empty where every rule held and all adds up."""
    lines = [
        f"rule broken: {rule} ({told['breaches']}): {told['first'][0]}"
        for rule, told in report["rules"].items()
        if not told["held"]
    ]
    lines += [f"does not add up: {line}" for line in report["balance"]]
    lines += [f"figures differ: {line}" for line in report["figures"]["differences"]]
    return lines + [f"crashed: {line}" for line in report["crashes"]]


def compare(real: dict[str, Any], virtual: dict[str, Any]) -> dict[str, tuple[float, float]]:
    """What differs between two playings of one plan: each such figure, real before virtual."""
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
