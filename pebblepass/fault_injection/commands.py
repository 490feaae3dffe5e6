"""`pebblepass trial`: runs fault schedules of a fleet and checks their histories."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import msgspec

from pebblepass.fault_injection.checkers import check_all
from pebblepass.fault_injection.history import write_history
from pebblepass.fault_injection.scenarios import SCENARIOS
from pebblepass.fault_injection.schedule import Plan, run_schedule
from pebblepass.fault_injection.variants import UNMODIFIED, VARIANTS

EXIT_VIOLATION, EXIT_USAGE = 1, 2
FAULT_COUNT_FIELDS = ("changes", "kills", "pauses", "cuts", "empty_disks", "old_disks", "blackouts", "deaf")


def _exit_with_usage_error(line: str) -> Any:
    click.echo(f"pebblepass: {line}", err=True)
    sys.exit(EXIT_USAGE)


def _plan(scenario: str) -> Plan:
    if scenario not in SCENARIOS:
        _exit_with_usage_error(f"no scenario {scenario!r}; there are {', '.join(SCENARIOS)}")
    return SCENARIOS[scenario][1]


def _violations(plan: Plan, seed: int, name: str) -> tuple[int, str, int]:
    result = run_schedule(plan, seed, VARIANTS.get(name, UNMODIFIED))
    violations = [f"{found.check}: {found.message}" for found in check_all(result.events)]
    return (
        seed,
        "; ".join([*violations, *([f"stuck: {result.stuck}"] if result.stuck else [])]),
        result.messages,
    )


def shrink(plan: Plan, seed: int, name: str) -> Plan:
    """Reduce the faults and the length of a failing schedule for as long as its seed still fails."""
    smaller = True
    while smaller:
        smaller = False
        candidates = [
            msgspec.structs.replace(plan, **{field: getattr(plan, field) - 1})
            for field in FAULT_COUNT_FIELDS
            if getattr(plan, field)
        ]
        if plan.length_s - plan.quiet_s > 3:
            candidates.append(msgspec.structs.replace(plan, length_s=plan.length_s - 1))
        for candidate in candidates:
            if _violations(candidate, seed, name)[1]:
                plan, smaller = candidate, True
                break
    return plan


@click.group()
def trial() -> None:
    """Run fleets of routers with injected faults, drawn from a seed, and check their histories."""


@trial.command("list")
def list_() -> None:
    """List the scenarios and the variants with known defects."""
    for name, (description, _) in SCENARIOS.items():
        click.echo(f"{name}: {description}")
    for name, variant in VARIANTS.items():
        click.echo(f"--break {name}: {(type(variant).__doc__ or '').splitlines()[0]}")


@trial.command()
@click.argument("scenario")
@click.option("--seeds", default="0..99", show_default=True, help="A..B, both included.")
@click.option("--break", "broken", default="", help="A variant with a known defect.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="A folder for the history of the first failing seed."
)
def simulate(scenario: str, seeds: str, broken: str, out: Path | None) -> None:
    """Run SCENARIO without sockets on a virtual clock, one schedule per seed.

    Exit code 0: all checks passed; 1: one failed, and the smallest failing schedule found is shown; 2: usage.
    """
    plan = _plan(scenario)
    if broken and broken not in VARIANTS:
        _exit_with_usage_error(f"no variant {broken!r}; there are {', '.join(VARIANTS)}")
    first, _, last = seeds.partition("..")
    if not (first.isdecimal() and last.isdecimal() and int(first) <= int(last)):
        _exit_with_usage_error(f"--seeds: expected A..B, got {seeds!r}")
    seed_range, started = range(int(first), int(last) + 1), time.monotonic()
    count, messages, failed = 0, 0, 0
    with ProcessPoolExecutor() as pool:
        for seed, violations, sent in pool.map(
            _violations, *zip(*((plan, seed, broken) for seed in seed_range), strict=True), chunksize=8
        ):
            count, messages = count + 1, messages + sent
            if violations and not failed:
                click.echo(f"seed {seed}: {violations}")
                smallest = shrink(plan, seed, broken)
                default = msgspec.to_builtins(plan)
                fewer = {k: v for k, v in msgspec.to_builtins(smallest).items() if default[k] != v}
                click.echo(f"shrunk to {fewer or 'no less'}: {_violations(smallest, seed, broken)[1]}")
                result = run_schedule(smallest, seed, VARIANTS.get(broken, UNMODIFIED))
                for found in check_all(result.events):
                    for event in found.evidence:
                        click.echo(f"    {msgspec.json.encode(event).decode()}")
                if out is not None:
                    out.mkdir(parents=True, exist_ok=True)
                    write_history(out / f"{scenario}.{seed}.jsonl", result.events)
            failed += bool(violations)
    elapsed = time.monotonic() - started
    click.echo(f"{count} schedules of {scenario}, {messages} messages, {elapsed:.1f} s; {failed} broken")
    sys.exit(EXIT_VIOLATION if failed else 0)


@trial.command()
@click.option("--routers", type=click.IntRange(1, 5), default=3, show_default=True)
@click.option("--changes", type=click.IntRange(0, 4), default=2, show_default=True)
@click.option("--crashes", type=click.IntRange(0, 4), default=1, show_default=True)
@click.option("--losses", type=click.IntRange(0, 4), default=0, show_default=True, help="Messages lost.")
@click.option("--repeats", type=click.IntRange(0, 4), default=0, show_default=True, help="Messages repeated.")
@click.option(
    "--times",
    type=click.IntRange(0, 12),
    default=3,
    show_default=True,
    help="Time steps of a third of a lease.",
)
@click.option(
    "--states", type=click.IntRange(1), default=100_000, show_default=True, help="The most states to visit."
)
@click.option("--break", "broken", default="", help="A variant with a known defect.")
def explore(
    routers: int, changes: int, crashes: int, losses: int, repeats: int, times: int, states: int, broken: str
) -> None:
    """Explore every order of events in a small fleet. Exit codes as with `simulate`."""
    from pebblepass.fault_injection.explore import Bounds
    from pebblepass.fault_injection.explore import explore as search

    if broken and broken not in VARIANTS:
        _exit_with_usage_error(f"no variant {broken!r}; there are {', '.join(VARIANTS)}")
    started = time.monotonic()
    bounds = Bounds(routers, changes, crashes, losses, repeats, times, states)
    found = search(bounds, VARIANTS.get(broken, UNMODIFIED))
    elapsed = time.monotonic() - started
    extent = "all there are" if found.complete else "not all there are"
    click.echo(f"{found.states} states, {extent}, {found.depth} steps deep, {elapsed:.1f} s")
    if found.violation:
        click.echo(f"broken: {found.violation}")
        for step in found.path:
            click.echo(f"    {step}")
    sys.exit(EXIT_VIOLATION if found.violation else 0)
