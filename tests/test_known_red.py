"""The list of known failures applies to exactly the tests that it names."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import LIST_NAME, KnownFailure, read_known_failures

ROOT = Path(__file__).resolve().parent.parent

EXIT_FAILED = 1
EXIT_USAGE_ERROR = 4

FAILING_COUNT = 5
TEST_MODULE = """
import pytest

def test_passing(): pass

@pytest.mark.parametrize("n", range(%d))
def test_failing(n): assert n < 0

@pytest.mark.long
def test_long(): assert False
"""
PASSING = "test_some.py::test_passing"
FAILING = [f"test_some.py::test_failing[{number}]" for number in range(FAILING_COUNT)]

COMMAND = "pytest -n 0, seed 3"
SEEN = "assert failed"
FLAKY_SEEN = "flaky 2 of 9: assert failed"


def entry(test: str, seen: str = SEEN) -> str:
    """A well-formed line of the list."""
    return f"{test} | {COMMAND} | {seen} | issue 7\n"


def printed(test: str, outcome: str, seen: str = SEEN) -> str:
    """The line that a run prints for a listed test."""
    return f"known failure: {test}: {outcome}: {seen} ({COMMAND}; issue 7)"


def run_pytest(project: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", *arguments]
    return subprocess.run(
        command, cwd=project, env=environment | {"PYTHONPATH": str(ROOT)}, capture_output=True, text=True
    )


@pytest.fixture
def project(tmp_path: Path) -> Path:
    """A project with passing and failing tests, whose default run excludes the long ones."""
    (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = -m 'not long'\nmarkers = long: a long run\n")
    (tmp_path / "test_some.py").write_text(TEST_MODULE % FAILING_COUNT)
    return tmp_path


def unknown_names(root: Path) -> list[str]:
    """Return the listed names that are not the exact node id of a test that a default run collects."""
    listed = read_known_failures(root / LIST_NAME)
    if not listed:
        return []
    collected = run_pytest(root, "-n", "0", "--collect-only").stdout.splitlines()
    return [name for name in listed if name not in collected]


def test_every_listed_name_is_a_collected_test() -> None:
    assert unknown_names(ROOT) == []


@pytest.mark.parametrize(
    "name",
    [
        "test_some.py::test_gone",
        "test_some.py::test_failing[99]",
        "test_some.py::test_failing",  # has parameters, so each case is listed separately
        "test_some.py::test_long",  # excluded from a default run
        "test_some.py",
    ],
)
def test_a_name_that_a_default_run_does_not_collect_is_reported(project: Path, name: str) -> None:
    (project / LIST_NAME).write_text(entry(FAILING[0]) + entry(name))
    assert unknown_names(project) == [name]


def test_an_entry_has_four_fields(tmp_path: Path) -> None:
    (tmp_path / LIST_NAME).write_text(entry(FAILING[0]) + entry(PASSING, FLAKY_SEEN))
    assert list(read_known_failures(tmp_path / LIST_NAME).values()) == [
        KnownFailure(FAILING[0], COMMAND, SEEN, "issue 7"),
        KnownFailure(PASSING, COMMAND, FLAKY_SEEN, "issue 7"),
    ]


@pytest.mark.parametrize("workers", ["0", "2"])
def test_listed_tests_run_and_their_failures_are_printed_and_expected(project: Path, workers: str) -> None:
    (project / LIST_NAME).write_text("".join(map(entry, FAILING)))
    run = run_pytest(project, "-n", workers)
    assert run.returncode == 0, run.stdout
    assert "1 passed" in run.stdout
    assert f"{FAILING_COUNT} xfailed" in run.stdout
    for test in FAILING:
        assert printed(test, "failed") in run.stdout


def test_an_unlisted_failing_test_fails_the_run(project: Path) -> None:
    (project / LIST_NAME).write_text(entry(FAILING[0]) + entry(FAILING[1], FLAKY_SEEN))
    run = run_pytest(project, "-n", "0", *FAILING[:3])
    assert run.returncode == EXIT_FAILED
    assert "1 failed, 2 xfailed" in run.stdout


@pytest.mark.parametrize("workers", ["0", "2"])
def test_a_listed_test_that_passes_fails_the_run_and_is_printed(project: Path, workers: str) -> None:
    (project / LIST_NAME).write_text(entry(PASSING))
    run = run_pytest(project, "-n", workers, PASSING)
    assert run.returncode == EXIT_FAILED
    assert "1 failed" in run.stdout
    assert printed(PASSING, "passed, which fails the run: remove its line") in run.stdout


@pytest.mark.parametrize("workers", ["0", "2"])
def test_a_flaky_test_may_pass_or_fail_and_is_printed(project: Path, workers: str) -> None:
    (project / LIST_NAME).write_text(entry(PASSING, FLAKY_SEEN) + entry(FAILING[0], FLAKY_SEEN))
    run = run_pytest(project, "-n", workers, PASSING, FAILING[0])
    assert run.returncode == 0, run.stdout
    assert "1 xfailed" in run.stdout
    assert "1 xpassed" in run.stdout
    assert printed(PASSING, "passed", FLAKY_SEEN) in run.stdout
    assert printed(FAILING[0], "failed", FLAKY_SEEN) in run.stdout


def test_a_test_that_is_not_run_is_not_printed(project: Path) -> None:
    (project / LIST_NAME).write_text(entry(FAILING[0]))
    run = run_pytest(project, "-n", "0", PASSING)
    assert run.returncode == 0
    assert "known failure" not in run.stdout


NOT_AN_ENTRY = "not of the form TEST | COMMAND AND SEED | SEEN | ISSUE"
NOT_A_FLAKY_COUNT = "not of the form flaky N of M: WHAT WAS SEEN, with 0 < N < M"


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (entry(FAILING[0]) * 2, f"2: {FAILING[0]} is listed twice"),
        (entry(FAILING[0]) + entry(FAILING[0], FLAKY_SEEN), f"2: {FAILING[0]} is listed twice"),
        (f"{FAILING[0]} assert failed issue 7\n", f"1: {NOT_AN_ENTRY}"),
        (f"{FAILING[0]} | assert failed | issue 7\n", f"1: {NOT_AN_ENTRY}"),  # the old form
        (f"{FAILING[0]} | {COMMAND} | assert failed | issue 7 | more\n", f"1: {NOT_AN_ENTRY}"),
        (f" | {COMMAND} | assert failed | issue 7\n", f"1: {NOT_AN_ENTRY}"),
        (f"{FAILING[0]} |  | assert failed | issue 7\n", f"1: {NOT_AN_ENTRY}"),
        (f"{FAILING[0]} | {COMMAND} |  | issue 7\n", f"1: {NOT_AN_ENTRY}"),
        (f"{FAILING[0]} | {COMMAND} | assert failed | \n", f"1: {NOT_AN_ENTRY}"),
        (entry(FAILING[0]) + "\n", f"2: {NOT_AN_ENTRY}"),
        (entry(FAILING[0], "flaky: assert failed"), f"1: {NOT_A_FLAKY_COUNT}"),
        (entry(FAILING[0], "flaky 2/9: assert failed"), f"1: {NOT_A_FLAKY_COUNT}"),
        (entry(FAILING[0], "flaky 2 of 9"), f"1: {NOT_A_FLAKY_COUNT}"),
        (entry(FAILING[0], "flaky 2 of 9:"), f"1: {NOT_A_FLAKY_COUNT}"),
        (entry(FAILING[0], "flaky 0 of 9: assert failed"), f"1: {NOT_A_FLAKY_COUNT}"),
        (entry(FAILING[0], "flaky 9 of 9: assert failed"), f"1: {NOT_A_FLAKY_COUNT}"),
        (entry(FAILING[0], "Flaky 2 of 9: assert failed"), f"1: {NOT_A_FLAKY_COUNT}"),
    ],
)
def test_no_test_runs_with_an_invalid_list(project: Path, lines: str, message: str) -> None:
    (project / LIST_NAME).write_text(lines)
    run = run_pytest(project)
    assert run.returncode == EXIT_USAGE_ERROR
    assert f"{LIST_NAME}:{message}" in run.stdout + run.stderr
    assert "passed" not in run.stdout
