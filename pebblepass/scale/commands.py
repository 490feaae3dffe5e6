"""The command `pebblepass scale`: runs of hollow routers, and fits of their costs over the fleet's size."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from pebblepass.scale.plan import MEMORY_MB, PHASES, Plan, PlanError, validate_plan

EXIT_BROKEN, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


def _exit_with_error(line: str, code: int = EXIT_USAGE) -> Any:
    click.echo(f"pebblepass: {line}", err=True)
    sys.exit(code)


def _make_folder(folder: Path) -> Path:
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        _exit_with_error(f"{folder}: {error.strerror}")
    return folder


@click.group()
def scale() -> None:
    """Run fleets of hollow routers on this machine, and predict the costs of larger fleets."""


@scale.command()
@click.option("--routers", type=int, required=True, help="Number of routers.")
@click.option("--voters", type=int, default=3, show_default=True, help="Control machines: 1, 3, 5 or 7.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for figures.json.")
@click.option("--full", type=int, default=0, show_default=True, help="Routers that run the real daemon.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--phase", "phases", multiple=True, help=f"Phases, run in the order given: {', '.join(PHASES)}."
)
@click.option("--window", "window_s", type=click.FloatRange(0.1, 600), default=20.0, show_default=True)
@click.option("--changes", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option("--lease-ms", type=click.IntRange(100, 60_000), default=6000, show_default=True)
@click.option("--regions", type=click.IntRange(1, 9), default=4, show_default=True)
@click.option("--delay-ms", type=click.FloatRange(0, 1000), default=0.0, show_default=True)
@click.option(
    "--pace-ms", type=click.FloatRange(0, 1000), default=0.0, help="Time between two starts; 0: all at once."
)
@click.option(
    "--processes",
    type=click.IntRange(0),
    default=0,
    help="Processes of hollow routers; 0: by the number of routers.",
)
@click.option("--memory-mb", type=click.IntRange(1, MEMORY_MB), default=MEMORY_MB, show_default=True)
@click.option("--patience", "patience_s", type=click.FloatRange(1, 600), default=120.0, show_default=True)
def run(out: Path, phases: tuple[str, ...], **chosen: Any) -> None:
    """Run hollow routers with real control machines, and write their costs to figures.json.

    Exit code 0: all phases completed; 1: a phase failed; 2: wrong usage, or too much memory or descriptors.
    """
    from pebblepass.scale.run import RunError, play, raise_descriptor_limit

    try:
        plan = validate_plan(Plan(phases=phases or ("idle", "change"), **chosen), raise_descriptor_limit())
        play(plan, _make_folder(out), lambda line: click.echo(line, err=True))
    except PlanError as error:
        _exit_with_error(str(error))
    except RunError as error:
        _exit_with_error(str(error), EXIT_BROKEN)
    except KeyboardInterrupt:
        _exit_with_error("interrupted", EXIT_INTERRUPTED)
    click.echo(f"{out / 'figures.json'}")


def _read_figures(folders: tuple[Path, ...]) -> list[dict[str, Any]]:
    runs = []
    for folder in folders:
        path = folder / "figures.json" if folder.is_dir() else folder
        try:
            figures = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
            if not isinstance(figures["plan"]["routers"], int):
                raise TypeError("plan.routers is not an integer")
        except OSError as error:
            _exit_with_error(f"{path}: {error.strerror}")
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            _exit_with_error(f"{path}: not the figures of a scale run: {' '.join(str(error).split())}")
        runs.append(figures)
    return runs


def _rounded(value: float) -> str:
    return f"{value:.4g}"


@scale.command()
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--target", type=click.IntRange(1, 100_000), default=930, show_default=True)
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="A run at the target size, to compare with the prediction.",
)
@click.option("--plots", type=click.Path(path_type=Path), help="Folder for one plot per quantity.")
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write the fits to this file.")
def fit(
    folders: tuple[Path, ...], target: int, against: Path | None, plots: Path | None, json_path: Path | None
) -> None:
    """Fit the costs of the runs in FOLDERS over the number of routers, and predict them at the target size.

    Exit code 0: all bounds are met; 1: a bound is exceeded; 2: wrong usage.
    """
    try:
        from rich.console import Console
        from rich.table import Table

        from pebblepass.scale.fit import MAX_DEVIATION, FitError, fit_all, measured_value, relative_deviation
    except ImportError as error:
        _exit_with_error(f"scale fit needs {error.name}: install pebblepass[scale]")
    runs = _read_figures(folders)
    measured = _read_figures((against,))[0] if against is not None else None
    if measured is not None and measured["plan"]["routers"] != target:
        _exit_with_error(
            f"{against}: the run has {measured['plan']['routers']} routers, but the target is {target}"
        )
    try:
        fits = fit_all(runs, target)
    except FitError as error:
        _exit_with_error(str(error))
    table = Table("quantity", "unit", "form", "slope a router", f"at {target}", "bound")
    if measured is not None:
        table.add_column("run")
    lines = []
    for fitted in fits:
        quantity = fitted.quantity
        highest, error_of = fitted.factors[-1], fitted.errors[-1]
        power = "" if quantity.degree == 1 else " N²"
        bound = (
            ""
            if quantity.bound is None
            else _rounded(quantity.bound) + (" MISSED" if fitted.exceeds_bound else "")
        )
        row = [
            quantity.name,
            quantity.unit,
            "linear" if quantity.degree == 1 else "square",
            f"{_rounded(highest)}{power} ± {_rounded(error_of)}",
            f"{_rounded(fitted.predicted)} ± {_rounded(fitted.margin)}",
            bound,
        ]
        if measured is not None:
            value = measured_value(measured, quantity)
            row.append("" if value is None else _rounded(value))
            if value is not None and abs(relative_deviation(fitted.predicted, value)) > MAX_DEVIATION:
                deviation = relative_deviation(fitted.predicted, value)
                predicted = _rounded(fitted.predicted)
                lines.append(
                    f"{quantity.name}: {_rounded(value)} at {target}, off by {deviation:+.0%} of {predicted}"
                )
            if value is not None and quantity.bound is not None and value > quantity.bound:
                lines.append(
                    f"{quantity.name}: {_rounded(value)} at {target} is over {_rounded(quantity.bound)}"
                )
        table.add_row(*row)
    Console(width=None if sys.stdout.isatty() else 140).print(table)
    for line in lines:
        click.echo(line)
    if plots is not None:
        from pebblepass.scale.plots import draw_plots

        draw_plots(fits, _make_folder(plots), None if measured is None else measured)
    if json_path is not None:
        try:
            json_path.write_bytes(msgspec.json.format(msgspec.json.encode(fits)) + b"\n")
        except OSError as error:
            _exit_with_error(f"{json_path}: {error.strerror}")
    bound_exceeded = any(fitted.exceeds_bound for fitted in fits) or any(
        " is over " in line for line in lines
    )
    sys.exit(EXIT_BROKEN if bound_exceeded else 0)
