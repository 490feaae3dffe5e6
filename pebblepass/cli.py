"""The `pebblepass` command. Each sub-command loads what it needs when it is called."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from pebblepass import __version__

EXIT_BROKEN, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


def _stop(line: str) -> None:
    """End with one plain line and exit code 2."""
    click.echo(f"pebblepass: {line}", err=True)
    sys.exit(EXIT_USAGE)


class _Commands(click.Group):
    """Loads a subsystem's commands when they are called: the others need none of what it does."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), "figures", "policy", "scale", "trial"])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name == "figures":
            from pebblepass.accounting.commands import figures

            return figures
        if cmd_name == "policy":
            from pebblepass.consensus.commands import policy

            return policy
        if cmd_name == "scale":
            from pebblepass.scale.commands import scale

            return scale
        if cmd_name == "trial":
            from pebblepass.fault_injection.commands import trial

            return trial
        return super().get_command(ctx, cmd_name)


@click.group(cls=_Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="pebblepass")
def main() -> None:
    """A router between package clients and cache servers, and the kit to rehearse with it."""


@main.command()
@click.option("--operator", type=click.Path(path_type=Path), help="The operator's file.")
def run(operator: Path | None) -> None:
    """Run a router, configured by LB_CONFIG as the platform does."""
    from pebblepass.daemon.__main__ import OPERATOR_VARIABLE
    from pebblepass.daemon.__main__ import main as daemon_main

    if operator is not None:
        os.environ[OPERATOR_VARIABLE] = str(operator)
    sys.exit(daemon_main())


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check an operator's FILE, and print what would be in force."""
    from pebblepass.operator_config import FileError, describe, load_operator

    try:
        operator = load_operator(file)
    except FileError as error:
        _stop(str(error))
        return
    for name, value, meaning in describe(operator):
        click.echo(f"{name} = {value!r}  # {meaning}")


@main.command()
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="What is drawn.")
@click.option("--routers", type=click.IntRange(1, 64), help="Routers, in place of the scenario's.")
@click.option("--nodes", type=click.IntRange(1, 512), help="Mirror nodes, in place of the scenario's.")
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="Requests a second, likewise.")
@click.option("--report", type=click.Path(path_type=Path), help="Write the report here, as JSON.")
@click.option("--html", type=click.Path(path_type=Path), help="Write the report here, as a page with plots.")
@click.option("--recovery", is_flag=True, help="Beside the calm twin and the bound; --html does so too.")
@click.option("--real-time", is_flag=True, help="Against processes started by the deploy file's `run`.")
@click.option(
    "--deploy",
    type=click.Path(path_type=Path),
    default=Path("deploy/balancer.toml"),
    show_default=True,
    help="The deploy file, for --real-time.",
)
def rehearse(
    scenario: str,
    seed: int,
    routers: int | None,
    nodes: int | None,
    rate: float | None,
    report: Path | None,
    html: Path | None,
    recovery: bool,
    real_time: bool,
    deploy: Path,
) -> None:
    """Play SCENARIO (a shipped name, or a file) against the daemon's code on loopback, and report.

    Exit code 0: every rule held and all adds up; 1: not so; 2: wrong usage.
    """
    from pebblepass.operator_config import FileError
    from pebblepass.simulation.plan import make_plan
    from pebblepass.simulation.report import as_json, verdict
    from pebblepass.simulation.runner import RehearsalError
    from pebblepass.simulation.scenario import load_scenario
    from pebblepass.simulation.terminal import print_report, run_rehearsal

    try:
        drawn = load_scenario(scenario).scaled(routers, nodes, rate)
    except FileError as error:
        _stop(str(error))
        return
    if real_time and not deploy.is_file():
        _stop(f"{deploy}: no deploy file")
    for path in (report, html):
        if path is not None and not path.resolve().parent.is_dir():
            _stop(f"{path}: no such folder")
    plan = make_plan(drawn, seed)
    try:
        told = run_rehearsal(plan, deploy if real_time else None, recovery or html is not None)
    except RehearsalError as error:
        _stop(str(error))
        return
    except KeyboardInterrupt:
        click.echo("pebblepass: interrupted before it began", err=True)
        sys.exit(EXIT_INTERRUPTED)
    print_report(told)
    if report is not None:
        report.write_bytes(as_json(told))
    if html is not None:
        from pebblepass.simulation.page import as_page

        html.write_text(as_page(told))
    if told["interrupted"]:
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(EXIT_BROKEN if verdict(told) else 0)


if __name__ == "__main__":
    main()
