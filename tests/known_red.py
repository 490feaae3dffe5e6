"""Pytest plugin for `KNOWN-RED.txt`, the list of tests that fail because of a known fault.

Each line is `TEST | COMMAND AND SEED | SEEN | ISSUE`, with the test as its pytest node id. A listed test
runs and is printed with its outcome. Its failure is expected, and its success fails the run. The one
exception is a flaky test, whose SEEN field begins with `flaky N of M:` (N failures in M runs): it may
pass or fail.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"
ENTRY_FORM = "TEST | COMMAND AND SEED | SEEN | ISSUE"
FIELD_SEPARATOR = " | "
FIELD_COUNT = 4
FLAKY_FORM = "flaky N of M: WHAT WAS SEEN, with 0 < N < M"
FLAKY_PATTERN = re.compile(r"flaky (?P<failures>\d+) of (?P<runs>\d+): *\S")

STRICT_PASS_PREFIX = "[XPASS(strict)]"
"""How pytest begins the report of a test that passed although its failure is expected."""

OUTCOME_BY_CATEGORY = {
    "xfailed": "failed",
    "xpassed": "passed",
    "failed": "failed outside the test, which fails the run",
    "error": "failed outside the test, which fails the run",
    "skipped": "skipped",
}
"""What is printed for a listed test, by the category in which pytest's terminal reporter counts it."""

UNEXPECTED_PASS = "passed, which fails the run: remove its line"


class KnownFailuresError(ValueError):
    """The list is invalid; the message names the file, the line and the reason."""


@dataclass(frozen=True)
class KnownFailure:
    """One entry of the list."""

    test: str
    """The pytest node id."""
    command: str
    """The command that showed the failure, with its seed if it has one."""
    seen: str
    """What was seen; begins with `flaky N of M:` if the test fails in some runs only."""
    issue: str

    @property
    def is_flaky(self) -> bool:
        """Whether the test may pass as well as fail."""
        return self.seen.startswith("flaky ")

    @property
    def summary(self) -> str:
        """The entry without the name of the test, on one line."""
        return f"{self.seen} ({self.command}; {self.issue})"


KNOWN_FAILURES = pytest.StashKey[dict[str, KnownFailure]]()


def parse_entry(line: str) -> KnownFailure:
    """Parse one line of the list.

    Raises:
        KnownFailuresError: the line is malformed; the message gives the reason only.
    """
    fields = [field.strip() for field in line.split(FIELD_SEPARATOR)]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise KnownFailuresError(f"not of the form {ENTRY_FORM}")
    entry = KnownFailure(*fields)
    if entry.seen.lower().startswith("flaky"):
        check_flaky_count(entry.seen)
    return entry


def check_flaky_count(seen: str) -> None:
    """Check that a flaky test's entry says how many runs failed, of how many.

    Raises:
        KnownFailuresError: the count is missing, or shows a test that always or never failed.
    """
    match = FLAKY_PATTERN.match(seen)
    if match is None or not 0 < int(match["failures"]) < int(match["runs"]):
        raise KnownFailuresError(f"not of the form {FLAKY_FORM}")


def read_known_failures(path: Path) -> dict[str, KnownFailure]:
    """Read the list; returns its entries by test, and none if there is no list.

    Raises:
        KnownFailuresError: a line is malformed, or names a test that an earlier line names.
    """
    known: dict[str, KnownFailure] = {}
    if not path.exists():
        return known
    for number, line in enumerate(path.read_text().splitlines(), 1):
        location = f"{path.name}:{number}"
        try:
            entry = parse_entry(line)
        except KnownFailuresError as error:
            raise KnownFailuresError(f"{location}: {error}") from None
        if entry.test in known:
            raise KnownFailuresError(f"{location}: {entry.test} is listed twice")
        known[entry.test] = entry
    return known


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; an invalid one is an error before any test runs."""
    try:
        config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath / LIST_NAME)
    except KnownFailuresError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail, strictly unless they are flaky."""
    known = config.stash[KNOWN_FAILURES]
    for item in items:
        if entry := known.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(strict=not entry.is_flaky, reason=entry.summary))


def describe_outcome(category: str, report: pytest.TestReport) -> str:
    """Describe how a listed test ended."""
    if category == "failed" and str(report.longrepr).startswith(STRICT_PASS_PREFIX):
        return UNEXPECTED_PASS
    return OUTCOME_BY_CATEGORY[category]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each listed test that ran, with its outcome."""
    known = terminalreporter.config.stash[KNOWN_FAILURES]
    for category in OUTCOME_BY_CATEGORY:
        for report in terminalreporter.stats.get(category, []):
            if entry := known.get(getattr(report, "nodeid", "")):
                outcome = describe_outcome(category, report)
                terminalreporter.write_line(f"known failure: {entry.test}: {outcome}: {entry.summary}")
