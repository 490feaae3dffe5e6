"""How long a change of policy takes, from its proposal until it is in force at all; processes on loopback.

    .venv/bin/python benchmarks/agreement.py [--routers 7] [--voters 7] [--changes 100] [--down 0]

Side by side in the same run: what one sync of a small file takes on the same disk, of which a change needs
three behind one another. With --down the last voters are killed before each ten changes and started again.
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
    """Milliseconds of so many appends of 300 bytes, each with its sync."""
    took = []
    held = os.open(folder / "sync", os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600)
    for _ in range(times):
        begun = time.perf_counter()
        os.write(held, b"x" * 300)
        os.fsync(held)
        took.append((time.perf_counter() - begun) * 1e3)
    os.close(held)
    return took


def told(name: str, values: list[float]) -> None:
    """One row."""
    values = sorted(values)
    p50, p99 = statistics.median(values), values[min(len(values) * 99 // 100, len(values) - 1)]
    print(f"{name:>28} {p50:9.1f} {p99:9.1f} {values[-1]:9.1f}")


def main() -> None:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, default=7)
    parser.add_argument("--voters", type=int, default=7)
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--down", type=int, default=0)
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = Site(folder, chosen.routers, chosen.voters, "")
        try:
            for router in site.names:
                site.start(router)
            site.wait_for_version(1)
            took: dict[str, list[float]] = {"in force at all heard": [], "first after a kill": []}
            version, down = 1, site.voters[chosen.voters - chosen.down :]
            for number in range(chosen.changes):
                killed = bool(down) and number % 10 == 0
                for router in down if killed else ():
                    site.signal(router, signal.SIGKILL)
                text = f"[store]\nrate_per_s = {300 + number % 2}\n"
                begun = time.perf_counter()
                verdict = site.propose(site.names[number % (chosen.voters - chosen.down)], f"c{number}", text)
                row = "first after a kill" if killed else "in force at all heard"
                took[row].append((time.perf_counter() - begun) * 1e3)
                assert verdict["state"] == "in force", verdict
                version += 1
                for router in down if killed else ():
                    site.start(router)
                if killed:
                    site.wait_for_version(version)
            syncs = sync_ms(folder, 300)
        finally:
            site.close()
    print(f"{chosen.routers} routers, {chosen.voters} voters, {chosen.changes} changes; milliseconds")
    print(f"{'':>28} {'p50':>9} {'p99':>9} {'most':>9}")
    for row, values in took.items():
        if values:
            told(row, values)
    told("one sync of the disk", syncs)


if __name__ == "__main__":
    main()
