"""The `pebblepass` command. Each subcommand imports its modules only when it is called."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from pebblepass import __version__

EXIT_FAILED, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


def _exit_with_error(message: str) -> None:
    """Print a one-line error, and exit with code 2."""
    click.echo(f"pebblepass: {message}", err=True)
    sys.exit(EXIT_USAGE)


class _LazyGroup(click.Group):
    """Imports the commands of a subsystem only when they are called."""

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


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="pebblepass")
def main() -> None:
    """A router between package clients and cache servers, with a simulator and tools for operators."""


@main.command()
@click.option("--operator", type=click.Path(path_type=Path), help="The operator's configuration file.")
def run(operator: Path | None) -> None:
    """Run a router with the configuration file that LB_CONFIG names."""
    from pebblepass.daemon.process import OPERATOR_VARIABLE
    from pebblepass.daemon.process import main as daemon_main

    if operator is not None:
        os.environ[OPERATOR_VARIABLE] = str(operator)
    sys.exit(daemon_main())


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check the operator's FILE, and print the settings that would be in force."""
    from pebblepass.operator_config import FileError, describe, load_operator

    try:
        operator = load_operator(file)
    except FileError as error:
        _exit_with_error(str(error))
        return
    for name, value, description in describe(operator):
        click.echo(f"{name} = {value!r}  # {description}")


@main.command()
@click.argument("scenario")
@click.option(
    "--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the random numbers."
)
@click.option("--routers", type=click.IntRange(1, 64), help="Number of routers, in place of the scenario's.")
@click.option("--nodes", type=click.IntRange(1, 512), help="Number of nodes, in place of the scenario's.")
@click.option(
    "--rate", type=click.FloatRange(0, min_open=True), help="Requests per second, in place of the scenario's."
)
@click.option("--report", type=click.Path(path_type=Path), help="Write the report to this file as JSON.")
@click.option(
    "--html",
    type=click.Path(path_type=Path),
    help="Write the report to this file as an HTML page with plots.",
)
@click.option(
    "--recovery",
    is_flag=True,
    help="Compare with an undisturbed run and the clairvoyant bound; --html implies this.",
)
@click.option(
    "--real-time", is_flag=True, help="Run router processes with the `run` command of the deploy file."
)
@click.option(
    "--deploy",
    type=click.Path(path_type=Path),
    default=Path("deploy/balancer.toml"),
    show_default=True,
    help="The deploy file that --real-time uses.",
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
    """Simulate SCENARIO (a shipped one's name, or a file) with the daemon's code, and print a report.

    Exit code 0: every rule was kept and the counts balance; 1: not so; 2: wrong usage; 130: interrupted.
    """
    from pebblepass.operator_config import FileError
    from pebblepass.simulation.plan import make_plan
    from pebblepass.simulation.report import as_json, verdict
    from pebblepass.simulation.runner import RehearsalError
    from pebblepass.simulation.scenario import load_scenario
    from pebblepass.simulation.terminal import print_report, run_rehearsal

    try:
        scaled_scenario = load_scenario(scenario).scaled(routers, nodes, rate)
    except FileError as error:
        _exit_with_error(str(error))
        return
    if real_time and not deploy.is_file():
        _exit_with_error(f"{deploy}: no such deploy file")
    for path in (report, html):
        if path is not None and not path.resolve().parent.is_dir():
            _exit_with_error(f"{path}: its directory does not exist")
    plan = make_plan(scaled_scenario, seed)
    try:
        results = run_rehearsal(plan, deploy if real_time else None, recovery or html is not None)
    except RehearsalError as error:
        _exit_with_error(str(error))
        return
    except KeyboardInterrupt:
        click.echo("pebblepass: interrupted before the run began", err=True)
        sys.exit(EXIT_INTERRUPTED)
    print_report(results)
    if report is not None:
        report.write_bytes(as_json(results))
    if html is not None:
        from pebblepass.simulation.page import as_page

        html.write_text(as_page(results))
    if results["interrupted"]:
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(EXIT_FAILED if verdict(results) else 0)


if __name__ == "__main__":
    main()
