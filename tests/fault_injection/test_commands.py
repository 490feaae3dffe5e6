"""Output and exit codes of `pebblepass trial` and `pebblepass policy`."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from pebblepass.cli import main
from pebblepass.fault_injection.history import read_history


def test_simulate_passes_unmodified_program_and_shrinks_failing_schedule(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["trial", "simulate", "three", "--seeds", "0..3"])
    assert result.exit_code == 0
    assert result.output.startswith("4 schedules of three, ")
    arguments = ["trial", "simulate", "policy", "--seeds", "0..20", "--break", "granted-before-closed"]
    result = CliRunner().invoke(main, [*arguments, "--out", str(tmp_path / "found")])
    assert result.exit_code == 1
    assert ": everywhere or nowhere: " in result.output
    assert "shrunk to {" in result.output
    assert len(read_history((tmp_path / "found").glob("policy.*.jsonl"))) > 100


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["trial", "simulate", "nothing"], "no scenario 'nothing'; there are policy, "),
        (["trial", "simulate", "policy", "--seeds", "9..1"], "--seeds: expected A..B, got '9..1'"),
        (["trial", "simulate", "policy", "--break", "x"], "no variant 'x'; there are no-sync, "),
        (["policy", "status", "--router", "127.0.0.1:1"], "127.0.0.1:1: [Errno 111] Connection refused"),
        (["policy", "status", "--router", "nowhere"], "--router: "),
        (["policy", "propose", "/nowhere", "--router", "127.0.0.1:1"], "/nowhere: No such file or directory"),
    ],
)
def test_usage_error_prints_one_line_and_exits_with_2(arguments: list[str], message: str) -> None:
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2
    assert result.output.startswith(f"pebblepass: {message}")
    assert result.output.count("\n") == 1


def test_list_prints_scenarios_and_variants() -> None:
    result = CliRunner().invoke(main, ["trial", "list"]).output
    assert "policy: " in result
    assert "--break disk-that-lies: " in result
