"""The pebblepass command, and the modules that the daemon loads at its start."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from pebblepass import __version__
from tests.sockets import ROOT, SETTINGS, WAIT_TIMEOUT_S, Peer, eventually, hit, running_router

UNWANTED_MODULES = (
    "click",
    "rich",
    "dataclasses",
    "pebblepass.operator_config",
    "pebblepass.simulation",
    "pebblepass.emulators",
    "pebblepass.handover",
)


def command(*words: str, **environ: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pebblepass.cli", *words],
        cwd=ROOT,
        env={**os.environ, **environ},
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S,
        check=False,
    )


def write_config(folder: Path) -> Path:
    file = folder / "config.json"
    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    file.write_text(json.dumps(config))
    return file


def test_version_and_help() -> None:
    assert command("--version").stdout.strip().endswith(__version__)
    help_text = command("--help").stdout
    assert all(name in help_text for name in ("run", "check", "rehearse"))


def test_the_daemon_loads_no_module_that_only_tools_need() -> None:
    code = "import sys, pebblepass.daemon.process; print(*sorted(sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    modules = loaded.stdout.split()
    assert "pebblepass.daemon.router" in modules
    assert [name for name in modules if name.startswith(UNWANTED_MODULES)] == []


def test_check_prints_the_effective_settings(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[log]\nlevel = 'error'\n")
    checked = command("check", str(file))
    assert checked.returncode == 0
    assert "log.level = 'error'" in checked.stdout
    assert "log.lines_per_second = 5" in checked.stdout


def test_check_reports_an_invalid_file_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[log]\nloud = true\n")
    checked = command("check", str(file))
    assert (checked.returncode, checked.stdout) == (2, "")
    assert checked.stderr == f"pebblepass: {file}: log.loud: unknown key\n"


def test_run_with_an_invalid_operators_file_fails_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[log]\nlines_per_second = 0\n")
    ended = command("run", "--operator", str(file), LB_CONFIG=str(write_config(tmp_path)))
    assert ended.returncode == 2
    assert ended.stderr.startswith(f"pebblepass: {file}: log.lines_per_second: expected `int` >= 1")
    assert len(ended.stderr.splitlines()) == 1


def test_run_without_a_configuration_fails_in_one_line() -> None:
    ended = command("run", LB_CONFIG="")
    assert (ended.returncode, ended.stderr) == (2, "pebblepass: LB_CONFIG is not set\n")


def test_an_invalid_cached_endpoint_list_is_reported_with_the_files_name(tmp_path: Path) -> None:
    file = write_config(tmp_path)
    file.write_text(json.dumps({**json.loads(file.read_text()), "known": {"generation": "none"}}))
    ended = command("run", LB_CONFIG=str(file))
    assert ended.returncode == 2
    assert ended.stderr.startswith(f"pebblepass: {file}: not a list of servers")


def test_reloading_an_invalid_operators_file_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[log]\nlevel = 'info'\n")
    monkeypatch.setenv("PEBBLEPASS_OPERATOR", str(file))
    cache = Peer(lambda _, words: hit(words[2]))
    with running_router(tmp_path, {"s0": cache}) as running:
        file.write_text("[log]\nlevel = 'error'\nlines_per_second = -1\n")
        running.process.send_signal(signal.SIGHUP)
        assert running.process.stderr is not None
        line = running.process.stderr.readline()
        assert "reloading the operator's file failed, its settings are unchanged" in line
        assert "log.lines_per_second" in line
        assert eventually(lambda: running.process.poll() is None, "it keeps running")
