"""Measures how long a policy change takes from its proposal until it is in force; processes on loopback.

    .venv/bin/python benchmarks/agreement.py [--routers 7] [--voters 7] [--changes 100] [--down 0]

The same run measures an fsync of a small file on the same disk; a change needs three of them in sequence.
With --down, that many of the last voters are killed before every tenth change and restarted after it.
"""

from __future__ import annotations

import argparse
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.fault_injection.site import Site


def sync_ms(folder: Path, times: int) -> list[float]:
    """Milliseconds of each of several appends of 300 bytes with an fsync."""
    durations = []
    file = os.open(folder / "sync", os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600)
    for _ in range(times):
        start = time.perf_counter()
        os.write(file, b"x" * 300)
        os.fsync(file)
        durations.append((time.perf_counter() - start) * 1e3)
    os.close(file)
    return durations


def print_row(name: str, values: list[float]) -> None:
    """Print the median, the 99th percentile and the maximum of a row."""
    values = sorted(values)
    p50, p99 = statistics.median(values), values[min(len(values) * 99 // 100, len(values) - 1)]
    print(f"{name:>28} {p50:9.1f} {p99:9.1f} {values[-1]:9.1f}")


def main() -> None:
    """Measure, and print the rows."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--voters", type=int, default=7)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--down", type=int, default=0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = Site(folder, options.routers, options.voters, "")
        try:
            for router in site.names:
                site.start(router)
            site.wait_for_version(1)
            durations: dict[str, list[float]] = {"in force at all heard": [], "first after a kill": []}
            version, down = 1, site.voters[options.voters - options.down :]
            for number in range(options.changes):
                killed = bool(down) and number % 10 == 0
                for router in down if killed else ():
                    site.signal(router, signal.SIGKILL)
                text = f"[store]\nrate_per_s = {300 + number % 2}\n"
                start = time.perf_counter()
                verdict = site.propose(
                    site.names[number % (options.voters - options.down)], f"c{number}", text
                )
                row = "first after a kill" if killed else "in force at all heard"
                durations[row].append((time.perf_counter() - start) * 1e3)
                assert verdict["state"] == "in force", verdict
                version += 1
                for router in down if killed else ():
                    site.start(router)
                if killed:
                    site.wait_for_version(version)
            syncs = sync_ms(folder, 300)
        finally:
            site.close()
    print(f"{options.routers} routers, {options.voters} voters, {options.changes} changes; milliseconds")
    print(f"{'':>28} {'p50':>9} {'p99':>9} {'most':>9}")
    for row, values in durations.items():
        if values:
            print_row(row, values)
    print_row("one sync of the disk", syncs)


if __name__ == "__main__":
    main()
