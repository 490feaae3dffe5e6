"""Child processes of tests, which start with default signal dispositions and are always ended."""

from __future__ import annotations

import os
import signal
import subprocess
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

RESTORED_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


def restore_signals() -> None:
    """Restore the default dispositions.

    A child inherits ignored signals: SIGINT from the background job of a shell, SIGHUP from nohup.
    """
    for number in RESTORED_SIGNALS:
        signal.signal(number, signal.SIG_DFL)


def spawn(command: Sequence[str], **options: Any) -> subprocess.Popen[Any]:
    """Start a process with the signal dispositions of one that an interactive shell starts.

    Args:
        command: The program and its arguments.
        options: Options of `subprocess.Popen`.
    """
    return subprocess.Popen(command, preexec_fn=restore_signals, **options)


def kill_process(process: subprocess.Popen[Any]) -> None:
    """Kill a process if it still runs, wait for its exit, and close its pipes."""
    process.kill()
    process.wait()
    for stream in (process.stdin, process.stdout, process.stderr):
        if stream is not None:
            with suppress(OSError):
                stream.close()


@contextmanager
def ending(process: subprocess.Popen[Any]) -> Iterator[None]:
    """Kill the process at the end of the block if it still runs, even if the block raises an exception."""
    try:
        yield
    finally:
        kill_process(process)


def end_by_sigterm(process: subprocess.Popen[Any], timeout_s: float) -> Any:
    """End a process with SIGTERM, and return what it wrote to its error stream.

    Raises:
        subprocess.TimeoutExpired: it did not exit in time, and was killed.
    """
    with ending(process):
        process.terminate()
        _, log = process.communicate(timeout=timeout_s)
    return log


def processes_with(variable: str, value: str) -> list[int]:
    """Return the ids of the processes with this value of an environment variable."""
    entry = f"{variable}={value}".encode()
    found = []
    for environ in Path("/proc").glob("[0-9]*/environ"):
        with suppress(OSError):  # it has exited, or belongs to another user
            if entry in environ.read_bytes().split(b"\0"):
                found.append(int(environ.parent.name))
    return found


def kill_processes_with(variable: str, value: str) -> None:
    """Kill the processes with this value of an environment variable, which only the test's processes have."""
    for process_id in processes_with(variable, value):
        with suppress(ProcessLookupError):
            os.kill(process_id, signal.SIGKILL)
