"""The helper for child processes restores signal dispositions, and leaves no process running."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.processes import (
    RESTORED_SIGNALS,
    end_by_sigterm,
    ending,
    kill_process,
    kill_processes_with,
    processes_with,
    spawn,
)
from tests.sockets import WAIT_TIMEOUT_S, eventually

SLEEP = [sys.executable, "-c", "import time; time.sleep(600)"]
IGNORE_SIGTERM = [
    *(sys.executable, "-c"),
    "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); print(flush=True); time.sleep(600)",
]
VARIABLE = "PEBBLEPASS_TEST_MARK"


@contextmanager
def ignored(number: signal.Signals) -> Iterator[None]:
    """Ignore a signal in this process, as a shell's background job or nohup does."""
    before = signal.signal(number, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(number, before)


@pytest.mark.parametrize("number", RESTORED_SIGNALS)
def test_a_signal_ignored_by_the_parent_ends_a_spawned_process(number: signal.Signals) -> None:
    with ignored(number):
        process = spawn(["sleep", "600"])
    with ending(process):
        process.send_signal(number)
        assert process.wait(WAIT_TIMEOUT_S) == -number


def test_a_process_is_killed_when_its_block_fails() -> None:
    process = spawn(SLEEP, stdout=subprocess.PIPE)
    with pytest.raises(AssertionError, match="in the block"), ending(process):
        raise AssertionError("in the block")
    assert process.poll() == -signal.SIGKILL
    assert process.stdout is not None
    assert process.stdout.closed


def test_a_process_that_has_ended_keeps_its_exit_code() -> None:
    process = spawn([sys.executable, "-c", "raise SystemExit(3)"])
    with ending(process):
        process.wait(WAIT_TIMEOUT_S)
    assert process.returncode == 3


def test_a_process_that_ignores_sigterm_is_reported_and_killed() -> None:
    process = spawn(IGNORE_SIGTERM, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert process.stdout is not None
    assert process.stdout.readline() == b"\n"
    with pytest.raises(subprocess.TimeoutExpired):
        end_by_sigterm(process, 0.1)
    assert process.poll() == -signal.SIGKILL


def test_only_processes_with_exactly_this_value_are_killed(tmp_path: Path) -> None:
    value = str(tmp_path)
    processes = {mark: spawn(SLEEP, env={VARIABLE: mark}) for mark in (value, value + "0")}
    marked, other = processes.values()
    try:
        # The variable is set only once the process has executed its program.
        eventually(lambda: processes_with(VARIABLE, value) == [marked.pid], "its variable")
        eventually(lambda: processes_with(VARIABLE, value + "0") == [other.pid], "the other's variable")
        kill_processes_with(VARIABLE, value)
        assert marked.wait(WAIT_TIMEOUT_S) == -signal.SIGKILL
        assert other.poll() is None
    finally:
        for process in processes.values():
            kill_process(process)
