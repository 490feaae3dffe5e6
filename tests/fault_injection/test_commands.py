"""`pebblepass trial` and `pebblepass policy`: what they print and how they end."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from pebblepass.cli import main
from pebblepass.fault_injection.history import read_history


def test_a_sound_program_holds_and_a_broken_one_is_shrunk_and_shown(tmp_path: Path) -> None:
    told = CliRunner().invoke(main, ["trial", "simulate", "three", "--seeds", "0..3"])
    assert told.exit_code == 0
    assert told.output.startswith("4 schedules of three, ")
    words = ["trial", "simulate", "policy", "--seeds", "0..20", "--break", "granted-before-closed"]
    told = CliRunner().invoke(main, [*words, "--out", str(tmp_path / "found")])
    assert told.exit_code == 1
    assert ": everywhere or nowhere: " in told.output
    assert "shrunk to {" in told.output
    assert len(read_history((tmp_path / "found").glob("policy.*.jsonl"))) > 100


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["trial", "simulate", "nothing"], "no scenario 'nothing'; there are policy, "),
        (["trial", "simulate", "policy", "--seeds", "9..1"], "--seeds: expected A..B, got '9..1'"),
        (["trial", "simulate", "policy", "--break", "x"], "no variant 'x'; there are no-sync, "),
        (["policy", "status", "--router", "127.0.0.1:1"], "127.0.0.1:1: [Errno 111] Connection refused"),
        (["policy", "status", "--router", "nowhere"], "--router: "),
        (["policy", "propose", "/nowhere", "--router", "127.0.0.1:1"], "/nowhere: No such file or directory"),
    ],
)
def test_wrong_usage_is_one_plain_line_and_exit_code_2(words: list[str], said: str) -> None:
    told = CliRunner().invoke(main, words)
    assert told.exit_code == 2
    assert told.output.startswith(f"pebblepass: {said}")
    assert told.output.count("\n") == 1


def test_the_lists_name_every_scenario_and_variant() -> None:
    told = CliRunner().invoke(main, ["trial", "list"]).output
    assert "policy: " in told
    assert "--break disk-that-lies: " in told
