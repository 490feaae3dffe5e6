"""`pebblepass scale`: runs of hollow routers, and the slopes of what they cost."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

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
@click.option("--pace-ms", type=click.FloatRange(0, 1000), default=0.0, help="Between starts; 0: at once.")
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


def _read(folders: tuple[Path, ...]) -> list[dict[str, Any]]:
    read = []
    for folder in folders:
        path = folder / "figures.json" if folder.is_dir() else folder
        try:
            told = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
            if not isinstance(told["plan"]["routers"], int):
                raise TypeError("plan.routers is no number")
        except OSError as error:
            _stop(f"{path}: {error.strerror}")
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            _stop(f"{path}: not the figures of a run: {' '.join(str(error).split())}")
        read.append(told)
    return read


def _short(value: float) -> str:
    return f"{value:.4g}"


@scale.command()
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--target", type=click.IntRange(1, 100_000), default=930, show_default=True)
@click.option("--against", type=click.Path(path_type=Path), help="A run at the target, to hold against it.")
@click.option("--plots", type=click.Path(path_type=Path), help="A folder for a plot a quantity.")
@click.option("--json", "written", type=click.Path(path_type=Path), help="Write the fits here.")
def fit(
    folders: tuple[Path, ...], target: int, against: Path | None, plots: Path | None, written: Path | None
) -> None:
    """Fit what the runs in FOLDERS cost over the number of routers, and tell it at the target.

    Exit code 0: within what the users allow; 1: a bound is missed; 2: usage.
    """
    try:
        from rich.console import Console
        from rich.table import Table

        from pebblepass.scale.fit import OFF, FitError, fit_all, off, value_of
    except ImportError as error:
        _stop(f"scale fit needs {error.name}: install pebblepass[scale]")
    runs = _read(folders)
    seen = _read((against,))[0] if against is not None else None
    if seen is not None and seen["plan"]["routers"] != target:
        _stop(f"{against}: a run of {seen['plan']['routers']} routers, and the target is {target}")
    try:
        fits = fit_all(runs, target)
    except FitError as error:
        _stop(str(error))
    table = Table("quantity", "unit", "form", "slope a router", f"at {target}", "bound")
    if seen is not None:
        table.add_column("run")
    lines = []
    for told in fits:
        quantity = told.quantity
        highest, error_of = told.factors[-1], told.errors[-1]
        power = "" if quantity.degree == 1 else " N²"
        bound = "" if quantity.bound is None else _short(quantity.bound) + (" MISSED" if told.missed else "")
        row = [
            quantity.name,
            quantity.unit,
            "linear" if quantity.degree == 1 else "square",
            f"{_short(highest)}{power} ± {_short(error_of)}",
            f"{_short(told.predicted)} ± {_short(told.margin)}",
            bound,
        ]
        if seen is not None:
            found = value_of(seen, quantity)
            row.append("" if found is None else _short(found))
            if found is not None and abs(off(told.predicted, found)) > OFF:
                by = off(told.predicted, found)
                said = _short(told.predicted)
                lines.append(f"{quantity.name}: {_short(found)} at {target}, off by {by:+.0%} of {said}")
            if found is not None and quantity.bound is not None and found > quantity.bound:
                lines.append(f"{quantity.name}: {_short(found)} at {target} is over {_short(quantity.bound)}")
        table.add_row(*row)
    Console(width=None if sys.stdout.isatty() else 140).print(table)
    for line in lines:
        click.echo(line)
    if plots is not None:
        from pebblepass.scale.plots import draw

        draw(fits, _folder(plots), None if seen is None else seen)
    if written is not None:
        try:
            written.write_bytes(msgspec.json.format(msgspec.json.encode(fits)) + b"\n")
        except OSError as error:
            _stop(f"{written}: {error.strerror}")
    missed = any(told.missed for told in fits) or any(" is over " in line for line in lines)
    sys.exit(EXIT_BROKEN if missed else 0)
