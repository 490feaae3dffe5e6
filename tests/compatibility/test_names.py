"""Names that operators, the platform and scripts rely on: of commands, metrics, reports and pages."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import click
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import FROZEN, check_names, frozen_bytes, frozen_lines, frozen_samples, paths

LISTS = [
    "command.txt",
    "control-history.txt",
    "control-pages.txt",
    "control-status.txt",
    "counters.txt",
    "fleet-steps.txt",
    "message-kinds.txt",
    "report.txt",
    "scale-figures.txt",
    "scale-run.txt",
]
VARYING = re.compile(r"\.(received|links_closed)\.")
"""Counts by kind, of which a short run may lack some; `message-kinds.txt` holds the kinds of messages."""


@pytest.fixture(scope="module")
def lone_voter() -> forms.LoneVoter:
    return forms.LoneVoter(frozen_samples("proposals.txt")["shares"])


def test_verbs_arguments_and_options_of_the_command() -> None:
    check_names(list(forms.command_names()), frozen_lines("command.txt"))


def test_metrics_of_a_router_in_a_fleet() -> None:
    assert forms.fleet_exposition().encode() == frozen_bytes("fleet-metrics.txt")


def test_steps_of_a_change(lone_voter: forms.LoneVoter) -> None:
    assert lone_voter.concluded
    check_names(list(lone_voter.steps), frozen_lines("fleet-steps.txt"))


def test_keys_of_the_status_of_a_router_in_a_fleet(lone_voter: forms.LoneVoter) -> None:
    check_names(list(paths(lone_voter.status())), frozen_lines("control-status.txt"))


def test_keys_of_the_history_of_a_fleet(lone_voter: forms.LoneVoter) -> None:
    keys = {path for row in lone_voter.history() for path in paths(row)}
    check_names(list(keys), frozen_lines("control-history.txt"))


def test_the_platforms_counters() -> None:
    check_names(forms.counter_lines(), frozen_lines("counters.txt"))


def test_the_pages_of_the_control_address() -> None:
    pages = asyncio.run(forms.control_pages())
    check_names([f"{call}: {page!r}" for call, page in pages.items()], frozen_lines("control-pages.txt"))


def test_keys_of_the_report_of_a_simulation() -> None:
    report = forms.simulation_report(FROZEN / "scenario.toml")
    check_names(list(paths(report)), frozen_lines("report.txt"))


def test_keys_of_the_figures_of_scale() -> None:
    check_names(list(paths(forms.scale_figures())), frozen_lines("scale-figures.txt"))


def test_keys_of_what_a_run_of_scale_writes(tmp_path: Path) -> None:
    told = [path for path in paths(forms.scale_run(tmp_path)) if not VARYING.search(path)]
    check_names(told, frozen_lines("scale-run.txt"))


# The checks find a name that has changed


@pytest.mark.parametrize("name", LISTS)
def test_a_renamed_or_a_missing_or_a_new_name_is_found(name: str) -> None:
    frozen = frozen_lines(name)
    check_names(frozen, frozen)
    for place, line in enumerate(frozen):
        before, after = frozen[:place], frozen[place + 1 :]
        for found in ([*before, f"{line}_renamed", *after], [*before, *after], [*frozen, line]):
            with pytest.raises(AssertionError):
                check_names(found, frozen)


def test_a_renamed_option_of_the_command_is_found() -> None:
    @click.command(name="pebblepass")
    @click.option("--report-file", "report")
    def other(report: str) -> None:
        """Do nothing."""

    with pytest.raises(AssertionError):
        check_names(list(forms.command_names(other)), ["pebblepass", "pebblepass --report"])
