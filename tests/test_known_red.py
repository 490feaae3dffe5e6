"""The list of tests that are known to fail passes over just these, and hides nothing else."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import LIST, read_known_red

ROOT = Path(__file__).resolve().parent.parent
TESTS = "def test_sound(): pass\n" + "".join(f"def test_red_{n}(): assert {n} < 0\n" for n in range(4))
LINE = "test_some.py::test_red_{} | a fault | issue 7\n"


def run(place: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    environ = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", *arguments]
    return subprocess.run(
        command, cwd=place, env=environ | {"PYTHONPATH": str(ROOT)}, capture_output=True, text=True
    )


@pytest.fixture
def place(tmp_path: Path) -> Path:
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_some.py").write_text(TESTS)
    return tmp_path


def missing(root: Path) -> list[str]:
    """The listed names that no test has, of those that a plain run takes."""
    names = [known.test for known in read_known_red(root / LIST)]
    return [name for name in names if run(root, "-n", "0", "--collect-only", name).returncode != 0]


def test_every_listed_name_is_a_test() -> None:
    assert missing(ROOT) == []


def test_a_name_that_no_test_has_is_found(place: Path) -> None:
    (place / LIST).write_text(LINE.format(0) + LINE.format("gone"))
    assert missing(place) == ["test_some.py::test_red_gone"]


@pytest.mark.parametrize("workers", ["0", "2"])
def test_three_listed_tests_run_are_printed_and_passed_over(place: Path, workers: str) -> None:
    (place / LIST).write_text("".join(map(LINE.format, range(3))))
    ran = run(place, "-n", workers, "--deselect", "test_some.py::test_red_3")
    assert ran.returncode == 0
    assert "1 passed" in ran.stdout
    assert "3 xfailed" in ran.stdout
    for n in range(3):
        assert f"known red: test_some.py::test_red_{n}: a fault (issue 7)" in ran.stdout


def test_a_failing_test_that_is_not_listed_fails_the_run(place: Path) -> None:
    (place / LIST).write_text("".join(map(LINE.format, range(3))))
    ran = run(place, "-n", "0")
    assert ran.returncode == 1
    assert "1 failed, 1 passed, 3 xfailed" in ran.stdout


def test_a_listed_test_that_passes_fails_the_run(place: Path) -> None:
    (place / LIST).write_text("test_some.py::test_sound | a fault that is mended | issue 7\n")
    ran = run(place, "-n", "0", "test_some.py::test_sound")
    assert ran.returncode == 1
    assert "1 failed" in ran.stdout


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        ("".join(map(LINE.format, range(4))), "KNOWN-RED.txt:4: 3 tests may be listed at most"),
        (LINE.format(0) * 2, "KNOWN-RED.txt:2: test_some.py::test_red_0 stands there twice"),
        (
            "test_some.py::test_red_0 a fault issue 7\n",
            "KNOWN-RED.txt:1: not of the form TEST | CAUSE | ISSUE",
        ),
        (
            "test_some.py::test_red_0 | a fault | \n",
            "KNOWN-RED.txt:1: not of the form TEST | CAUSE | ISSUE",
        ),
    ],
)
def test_a_list_that_cannot_be_used_runs_nothing(place: Path, lines: str, told: str) -> None:
    (place / LIST).write_text(lines)
    ran = run(place)
    assert ran.returncode == 4
    assert told in ran.stdout + ran.stderr
    assert "passed" not in ran.stdout
