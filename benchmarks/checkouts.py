"""What a request costs the routers of two checkouts, side by side.

    .venv/bin/python benchmarks/checkouts.py OTHER_CHECKOUT [--rounds 20] [--requests 1500] [--nodes 38]

Both daemons are pinned to one core and asked in turn, batch by batch; which goes first changes from round to
round, as the machine's speed drifts. CPU is the process's own, read from the scheduler. Prints the ratio of
this checkout to the other one: of the sums, and the median and the quartiles of the rounds.
"""

from __future__ import annotations

import argparse
import statistics
from pathlib import Path

import uvloop
from stand import Case, Load, Process, Site, site

WARM_UP_REQUESTS = 2000


async def cpu_of_batch(router: Process, case: Case, requests: int) -> float:
    """Ask so often; returns the CPU seconds that the router took."""
    load = Load(case, requests)
    before = router.cpu()
    await load.run(router.port)
    if load.failed or load.refused:
        raise RuntimeError(f"{load.failed} requests failed, {load.refused} were refused")
    return router.cpu() - before


async def compare(running: Site, other: Path, case: Case, rounds: int, requests: int) -> None:
    """Ask both routers in turn, and print what this checkout's requests cost of the other's."""
    here = await running.router(case)
    there = await running.router(case, checkout=other)
    totals = {here: 0.0, there: 0.0}
    ratios: list[float] = []
    try:
        for router in (here, there):
            await cpu_of_batch(router, case, WARM_UP_REQUESTS)
        for number in range(rounds):
            took: dict[Process, float] = {}
            for router in (here, there) if number % 2 == 0 else (there, here):
                took[router] = await cpu_of_batch(router, case, requests)
                totals[router] += took[router]
            ratios.append(took[here] / took[there])
    finally:
        here.end()
        there.end()
    low, middle, high = statistics.quantiles(ratios, n=4)
    asked = rounds * requests
    print(
        f"{case.name}: {totals[here] / asked * 1e6:.1f} us here, {totals[there] / asked * 1e6:.1f} us there; "
        f"ratio of the sums {totals[here] / totals[there]:.3f}, median of {rounds} rounds {middle:.3f}, "
        f"half of them from {low:.3f} to {high:.3f}"
    )


def main() -> None:
    """Run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("other", type=Path, help="the other checkout's folder")
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--requests", type=int, default=1500, help="of one batch")
    parser.add_argument("--nodes", type=int, default=38)
    chosen = parser.parse_args()
    if not (chosen.other / "pebblepass" / "daemon").is_dir():
        parser.error(f"{chosen.other}: no checkout of this project")
    case = Case(f"hits, {chosen.nodes} nodes", nodes=chosen.nodes)

    async def run(running: Site) -> None:
        await compare(running, chosen.other.resolve(), case, chosen.rounds, chosen.requests)

    with site() as running:
        uvloop.run(run(running))


if __name__ == "__main__":
    main()
