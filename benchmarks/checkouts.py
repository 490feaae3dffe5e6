"""Compares the CPU per request of the routers of two checkouts.

    .venv/bin/python benchmarks/checkouts.py OTHER_CHECKOUT [--rounds 20] [--requests 1500] [--nodes 38]

Both daemons are pinned to one core and take turns, one batch of requests each per round. The order alternates
between rounds, because the machine's speed drifts. CPU is that of the process, read from the scheduler.
Prints the ratio of this checkout to the other one: of the sums, and the median and quartiles of the rounds.
"""

from __future__ import annotations

import argparse
import statistics
from pathlib import Path

import uvloop
from stand import Case, Load, Process, Site, site

WARM_UP_REQUESTS = 2000


async def cpu_of_batch(router: Process, case: Case, requests: int) -> float:
    """Send a batch of requests; returns the CPU seconds that the router used."""
    load = Load(case, requests)
    before = router.cpu()
    await load.run(router.port)
    if load.failed or load.refused:
        raise RuntimeError(f"{load.failed} requests failed, {load.refused} were refused")
    return router.cpu() - before


async def compare(running: Site, other: Path, case: Case, rounds: int, requests: int) -> None:
    """Send batches to both routers in turn, and print the ratio of their CPU per request."""
    this = await running.router(case)
    that = await running.router(case, checkout=other)
    totals = {this: 0.0, that: 0.0}
    ratios: list[float] = []
    try:
        for router in (this, that):
            await cpu_of_batch(router, case, WARM_UP_REQUESTS)
        for number in range(rounds):
            cpu_s: dict[Process, float] = {}
            for router in (this, that) if number % 2 == 0 else (that, this):
                cpu_s[router] = await cpu_of_batch(router, case, requests)
                totals[router] += cpu_s[router]
            ratios.append(cpu_s[this] / cpu_s[that])
    finally:
        this.end()
        that.end()
    low, median, high = statistics.quantiles(ratios, n=4)
    sent = rounds * requests
    print(
        f"{case.name}: {totals[this] / sent * 1e6:.1f} us here, {totals[that] / sent * 1e6:.1f} us there; "
        f"ratio of the sums {totals[this] / totals[that]:.3f}, median of {rounds} rounds {median:.3f}, "
        f"half of them from {low:.3f} to {high:.3f}"
    )


def main() -> None:
    """Run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("other", type=Path, help="the other checkout's folder")
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--requests", type=int, default=1500, help="requests per batch")
    parser.add_argument("--nodes", type=int, default=38)
    options = parser.parse_args()
    if not (options.other / "pebblepass" / "daemon").is_dir():
        parser.error(f"{options.other}: not a checkout of this project")
    case = Case(f"hits, {options.nodes} nodes", nodes=options.nodes)

    async def run(running: Site) -> None:
        await compare(running, options.other.resolve(), case, options.rounds, options.requests)

    with site() as running:
        uvloop.run(run(running))


if __name__ == "__main__":
    main()
