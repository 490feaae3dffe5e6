"""Terminal output of a rehearsal: its progress, and its report as tables."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table

from pebblepass.simulation.clairvoyant_bound import clairvoyant_bound
from pebblepass.simulation.page import deadline_line, recovery_rows
from pebblepass.simulation.plan import Plan, make_plan
from pebblepass.simulation.recovery import compare_to_references, without_faults
from pebblepass.simulation.report import Series, compare, verdict
from pebblepass.simulation.request_counts import OUTCOMES
from pebblepass.simulation.runner import rehearse, rehearse_in_real_time

REFRESH_S = 0.1
FILE_WIDTH = 120  # of the tables, where the output is not a terminal


def run_rehearsal(plan: Plan, deploy: Path | None, recovery: bool = False) -> dict[str, Any]:
    """Run a plan in virtual time or, with a deploy file, in real time; shows the progress on a terminal.

    `recovery`: also run the baseline without faults, in virtual time, and compute the clairvoyant bound.
    """
    console = Console(stderr=True)
    with Live(console=console, auto_refresh=False, transient=True) as live:
        shown_at = 0.0

        def progress(second: float, series: Series) -> None:
            nonlocal shown_at
            if not console.is_terminal and second < 1:
                console.print(
                    f"playing {plan.scenario.title}: {len(plan.operations)} operations", soft_wrap=True
                )
            now = time.monotonic()  # real time, for refreshes only: no figure depends on it
            if console.is_terminal and now - shown_at >= REFRESH_S:
                shown_at = now
                live.update(_progress(plan, second, series), refresh=True)

        def add_recovery(report: dict[str, Any]) -> dict[str, Any]:
            if recovery and not report["interrupted"]:
                baseline_report = rehearse(make_plan(without_faults(plan.scenario), plan.seed), progress)
                report["recovery"] |= compare_to_references(
                    report, baseline_report, plan, clairvoyant_bound(plan)
                )
            return report

        if deploy is None:
            return add_recovery(rehearse(plan, progress))
        with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
            report = rehearse_in_real_time(plan, Path(folder), deploy, progress)
        if not report["interrupted"]:
            report["compared"] = compare(report, rehearse(plan, progress))
        return add_recovery(report)


def _progress(plan: Plan, second: float, series: Series) -> Table:
    table = Table.grid(padding=(0, 2))
    busiest = sorted(((row[-1], name) for name, row in series.load.items() if row), reverse=True)[:5]
    table.add_row(plan.scenario.title, f"{second:.0f} of {plan.scenario.length_s:g} s")
    table.add_row("open requests", str(series.open[-1]))
    table.add_row("origin fetches per second", str(series.fetches[-1]))
    table.add_row("busiest nodes", ", ".join(f"{name} {load:.0%}" for load, name in busiest))
    return table


def print_report(report: dict[str, Any]) -> None:
    """Print a report as plain tables."""
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=FILE_WIDTH)
    scale, service = report["scale"], report["service"]
    console.print(
        f"{report['scenario']}: seed {report['seed']}, plan {report['plan']}, {report['clock']} clock, "
        f"{scale['routers']} routers, {scale['nodes']} nodes, {scale['rate']:g} requests a second, "
        f"{scale['length_s']:g} s" + (" (interrupted)" if report["interrupted"] else ""),
        soft_wrap=True,
    )
    for at, description in report["events"]:
        console.print(f"  {at:6.1f} s  {description}", soft_wrap=True)
    table = Table("service", "share of worth", box=None)
    table.add_row("weighted", f"{service['weighted']:.3f}")
    table.add_row("whole run", f"{service['whole']:.3f}")
    table.add_row(f"worst 10 s (from {service['worst_10_s_from']} s)", f"{service['worst_10_s']:.3f}")
    for name, value in (*service["namespaces"].items(), *service["classes"].items()):
        table.add_row(name, f"{value:.3f}")
    console.print(table)
    requests = Table("namespace", "class", "asked", *OUTCOMES, box=None)
    for namespace, classes in report["tries"].items():
        for cls, tally in classes.items():
            requests.add_row(namespace, cls, *(str(tally[name]) for name in ("asked", *OUTCOMES)))
    console.print(requests)
    rules = Table("rule", "held", "breaches", box=None)
    for rule, result in report["rules"].items():
        rules.add_row(rule, "yes" if result["held"] else "NO", str(result["breaches"]))
    console.print(rules)
    console.print(
        f"store: {report['store']['fetches']} fetches, {report['store']['writes']} writes; "
        f"repeats dropped: {report['effects']['repeats_dropped']}",
        soft_wrap=True,
    )
    console.print(deadline_line(report["deadlines"]), soft_wrap=True)
    recovery = Table("recovery", "", box=None)
    for name, value in recovery_rows(report["recovery"]):
        recovery.add_row(name, value)
    console.print(recovery)
    if routers := report["figures"]["compared"]:
        difference_count = len(report["figures"]["differences"])
        console.print(
            f"accounts of {', '.join(routers)} compared with the counted requests: {difference_count} differ"
        )
    if compared := report.get("compared"):
        table = Table("figure", "real", "virtual", box=None)
        for name, (real, virtual) in compared.items():
            table.add_row(name, f"{real:g}", f"{virtual:g}")
        console.print(table)
    for line in verdict(report):
        console.print(line, soft_wrap=True)
