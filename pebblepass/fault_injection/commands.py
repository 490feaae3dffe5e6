"""`pebblepass trial`: schedules of a fleet's failures, and what is checked of them."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import msgspec

from pebblepass.fault_injection.broken import SOUND, VARIANTS
from pebblepass.fault_injection.checkers import check_all
from pebblepass.fault_injection.history import write_history
from pebblepass.fault_injection.scenarios import SCENARIOS
from pebblepass.fault_injection.schedule import Plan, play

EXIT_BROKEN, EXIT_USAGE = 1, 2
FAULTS = ("changes", "kills", "pauses", "cuts", "empty_disks", "old_disks", "blackouts", "deaf")


def _stop(line: str) -> Any:
    click.echo(f"pebblepass: {line}", err=True)
    sys.exit(EXIT_USAGE)


def _plan(scenario: str) -> Plan:
    if scenario not in SCENARIOS:
        _stop(f"no scenario {scenario!r}; there are {', '.join(SCENARIOS)}")
    return SCENARIOS[scenario][1]


def _play(plan: Plan, seed: int, name: str) -> tuple[int, str, int]:
    result = play(plan, seed, VARIANTS.get(name, SOUND))
    broken = [f"{found.check}: {found.line}" for found in check_all(result.events)]
    return seed, "; ".join([*broken, *([f"stuck: {result.stuck}"] if result.stuck else [])]), result.messages


def shrink(plan: Plan, seed: int, name: str) -> Plan:
    """The same seed with fewer faults and a shorter time, for as long as it still breaks."""
    smaller = True
    while smaller:
        smaller = False
        tries = [
            msgspec.structs.replace(plan, **{field: getattr(plan, field) - 1})
            for field in FAULTS
            if getattr(plan, field)
        ]
        if plan.length_s - plan.quiet_s > 3:
            tries.append(msgspec.structs.replace(plan, length_s=plan.length_s - 1))
        for other in tries:
            if _play(other, seed, name)[1]:
                plan, smaller = other, True
                break
    return plan


@click.group()
def trial() -> None:
    """Routers that fail together: schedules by a seed, and checks on their histories."""


@trial.command("list")
def list_() -> None:
    """The scenarios, and the programs that are broken in known ways."""
    for name, (told, _) in SCENARIOS.items():
        click.echo(f"{name}: {told}")
    for name, variant in VARIANTS.items():
        click.echo(f"--break {name}: {(type(variant).__doc__ or '').splitlines()[0]}")


@trial.command()
@click.argument("scenario")
@click.option("--seeds", default="0..99", show_default=True, help="A..B, both of them played.")
@click.option("--break", "broken", default="", help="A program that is broken in a known way.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="A folder for the history of a seed that breaks."
)
def simulate(scenario: str, seeds: str, broken: str, out: Path | None) -> None:
    """Play SCENARIO without sockets on a virtual clock, one schedule a seed.

    Exit code 0: every check held; 1: one did not, with the smallest schedule found that shows it; 2: usage.
    """
    plan = _plan(scenario)
    if broken and broken not in VARIANTS:
        _stop(f"no variant {broken!r}; there are {', '.join(VARIANTS)}")
    first, _, last = seeds.partition("..")
    if not (first.isdecimal() and last.isdecimal() and int(first) <= int(last)):
        _stop(f"--seeds: expected A..B, got {seeds!r}")
    wanted, begun = range(int(first), int(last) + 1), time.monotonic()
    count, messages, bad = 0, 0, 0
    with ProcessPoolExecutor() as pool:
        for seed, told, sent in pool.map(
            _play, *zip(*((plan, seed, broken) for seed in wanted), strict=True), chunksize=8
        ):
            count, messages = count + 1, messages + sent
            if told and not bad:
                click.echo(f"seed {seed}: {told}")
                smallest = shrink(plan, seed, broken)
                default = msgspec.to_builtins(plan)
                fewer = {k: v for k, v in msgspec.to_builtins(smallest).items() if default[k] != v}
                click.echo(f"shrunk to {fewer or 'no less'}: {_play(smallest, seed, broken)[1]}")
                result = play(smallest, seed, VARIANTS.get(broken, SOUND))
                for found in check_all(result.events):
                    for event in found.shown:
                        click.echo(f"    {msgspec.json.encode(event).decode()}")
                if out is not None:
                    out.mkdir(parents=True, exist_ok=True)
                    write_history(out / f"{scenario}.{seed}.jsonl", result.events)
            bad += bool(told)
    took = time.monotonic() - begun
    click.echo(f"{count} schedules of {scenario}, {messages} messages, {took:.1f} s; {bad} broken")
    sys.exit(EXIT_BROKEN if bad else 0)


@trial.command()
@click.option("--routers", type=click.IntRange(1, 5), default=3, show_default=True)
@click.option("--changes", type=click.IntRange(0, 4), default=2, show_default=True)
@click.option("--crashes", type=click.IntRange(0, 4), default=1, show_default=True)
@click.option("--losses", type=click.IntRange(0, 4), default=0, show_default=True, help="Messages lost.")
@click.option("--repeats", type=click.IntRange(0, 4), default=0, show_default=True, help="Messages repeated.")
@click.option("--times", type=click.IntRange(0, 12), default=3, show_default=True, help="Thirds of a lease.")
@click.option("--states", type=click.IntRange(1), default=100_000, show_default=True, help="At most.")
@click.option("--break", "broken", default="", help="A program that is broken in a known way.")
def explore(
    routers: int, changes: int, crashes: int, losses: int, repeats: int, times: int, states: int, broken: str
) -> None:
    """Take every order of what can happen to a small fleet. Exit codes as with `simulate`."""
    from pebblepass.fault_injection.explore import Bounds
    from pebblepass.fault_injection.explore import explore as search

    if broken and broken not in VARIANTS:
        _stop(f"no variant {broken!r}; there are {', '.join(VARIANTS)}")
    begun = time.monotonic()
    bounds = Bounds(routers, changes, crashes, losses, repeats, times, states)
    found = search(bounds, VARIANTS.get(broken, SOUND))
    took = time.monotonic() - begun
    extent = "all there are" if found.whole else "not all there are"
    click.echo(f"{found.states} states, {extent}, {found.depth} steps deep, {took:.1f} s")
    if found.broken:
        click.echo(f"broken: {found.broken}")
        for step in found.path:
            click.echo(f"    {step}")
    sys.exit(EXIT_BROKEN if found.broken else 0)
