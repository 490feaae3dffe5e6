"""`pebblepass scale`: runs of hollow routers, and the slopes of what they cost."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from pebblepass.scale.plan import MEMORY_MB, PHASES, Plan, PlanError, checked

EXIT_BROKEN, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


def _stop(line: str, code: int = EXIT_USAGE) -> Any:
    click.echo(f"pebblepass: {line}", err=True)
    sys.exit(code)


def _folder(out: Path) -> Path:
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        _stop(f"{out}: {error.strerror}")
    return out


@click.group()
def scale() -> None:
    """Fleets of hollow routers on this machine, and what their figures say of larger ones."""


@scale.command()
@click.option("--routers", type=int, required=True, help="How many.")
@click.option("--voters", type=int, default=3, show_default=True, help="Control machines: 1, 3, 5 or 7.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="A folder for figures.json.")
@click.option("--full", type=int, default=0, show_default=True, help="Routers that are the real daemon.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--phase", "phases", multiple=True, help=f"In this order: {', '.join(PHASES)}.")
@click.option("--window", "window_s", type=click.FloatRange(0.1, 600), default=20.0, show_default=True)
@click.option("--changes", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option("--lease-ms", type=click.IntRange(100, 60_000), default=6000, show_default=True)
@click.option("--regions", type=click.IntRange(1, 9), default=4, show_default=True)
@click.option("--delay-ms", type=click.FloatRange(0, 1000), default=0.0, show_default=True)
@click.option("--processes", type=click.IntRange(0), default=0, help="Of hollow routers; 0: by their number.")
@click.option("--memory-mb", type=click.IntRange(1, MEMORY_MB), default=MEMORY_MB, show_default=True)
@click.option("--patience", "patience_s", type=click.FloatRange(1, 600), default=120.0, show_default=True)
def run(out: Path, phases: tuple[str, ...], **chosen: Any) -> None:
    """Run hollow routers with real control machines, and write what they cost.

    Exit code 0: all phases were played; 1: one was not; 2: usage, or more than may be taken.
    """
    from pebblepass.scale.run import RunError, most_descriptors, play

    try:
        plan = checked(Plan(phases=phases or ("idle", "change"), **chosen), most_descriptors())
        play(plan, _folder(out), lambda line: click.echo(line, err=True))
    except PlanError as error:
        _stop(str(error))
    except RunError as error:
        _stop(str(error), EXIT_BROKEN)
    except KeyboardInterrupt:
        _stop("interrupted", EXIT_INTERRUPTED)
    click.echo(f"{out / 'figures.json'}")
