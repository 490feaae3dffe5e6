"""The tests that fail for a known fault: they run, are told of, and fail no run until they pass.

`KNOWN-RED.txt` at the root has a line for each, three at most: `TEST | CAUSE | ISSUE`, the test by its
node id.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

LIST = "KNOWN-RED.txt"
MOST = 3


class KnownRed(NamedTuple):
    """One line: a test's node id, the fault for which it fails, and the issue that holds it."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Read the list; raises ValueError in one plain line that names the place."""
    if not path.exists():
        return []
    found: list[KnownRed] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}:{number}: not of the form TEST | CAUSE | ISSUE")
        if parts[0] in {known.test for known in found}:
            raise ValueError(f"{path.name}:{number}: {parts[0]} stands there twice")
        if len(found) == MOST:
            raise ValueError(f"{path.name}:{number}: {MOST} tests may be listed at most")
        found.append(KnownRed(*parts))
    return found


def pytest_configure(config: pytest.Config) -> None:
    """Refuse a list that can't be used, before anything runs."""
    try:
        read_known_red(config.rootpath / LIST)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests: they run, their failure is expected, and a pass fails the run."""
    known = {each.test: each for each in read_known_red(config.rootpath / LIST)}
    for item in items:
        if item.nodeid in known:
            each = known[item.nodeid]
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{each.cause} ({each.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that ran and failed."""
    known = {each.test: each for each in read_known_red(terminalreporter.config.rootpath / LIST)}
    for report in terminalreporter.stats.get("xfailed", []):
        if report.nodeid in known:
            each = known[report.nodeid]
            terminalreporter.write_line(f"known red: {each.test}: {each.cause} ({each.issue})")
