"""The command, and what the daemon loads when it is started as deployed."""

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

TOOLS = (
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


def config(folder: Path) -> Path:
    file = folder / "config.json"
    told = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    file.write_text(json.dumps(told))
    return file


def test_version_and_help() -> None:
    assert command("--version").stdout.strip().endswith(__version__)
    told = command("--help").stdout
    assert all(name in told for name in ("run", "check", "rehearse"))


def test_the_daemon_loads_nothing_that_only_tools_need() -> None:
    code = "import sys, pebblepass.daemon.__main__; print(*sorted(sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    modules = loaded.stdout.split()
    assert "pebblepass.daemon.router" in modules
    assert [name for name in modules if name.startswith(TOOLS)] == []


def test_check_prints_what_would_be_in_force(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[log]\nlevel = 'error'\n")
    told = command("check", str(file))
    assert told.returncode == 0
    assert "log.level = 'error'" in told.stdout
    assert "log.lines_per_second = 5" in told.stdout


def test_check_refuses_a_file_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[log]\nloud = true\n")
    told = command("check", str(file))
    assert (told.returncode, told.stdout) == (2, "")
    assert told.stderr == f"pebblepass: {file}: log.loud: unknown key\n"


def test_run_refuses_an_operators_file_that_cannot_be_used(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[log]\nlines_per_second = 0\n")
    told = command("run", "--operator", str(file), LB_CONFIG=str(config(tmp_path)))
    assert told.returncode == 2
    assert told.stderr.startswith(f"pebblepass: {file}: log.lines_per_second: expected `int` >= 1")
    assert len(told.stderr.splitlines()) == 1


def test_run_without_a_configuration_is_one_line() -> None:
    told = command("run", LB_CONFIG="")
    assert (told.returncode, told.stderr) == (2, "pebblepass: LB_CONFIG is not set\n")


def test_a_list_that_cannot_be_read_is_refused_with_the_files_name(tmp_path: Path) -> None:
    file = config(tmp_path)
    file.write_text(json.dumps({**json.loads(file.read_text()), "known": {"generation": "none"}}))
    told = command("run", LB_CONFIG=str(file))
    assert told.returncode == 2
    assert told.stderr.startswith(f"pebblepass: {file}: not a list of servers")


def test_reload_takes_the_operators_file_whole_or_not_at_all(
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
        assert "the operator's file stays as it was" in line
        assert "log.lines_per_second" in line
        assert eventually(lambda: running.process.poll() is None, "it goes on")
