"""Simulates a quota split by gossip: push-sum over all routers, connected and cut in two.

    .venv/bin/python benchmarks/gossip_probe.py

Supports docs/design/shares.md. In each round every router sends half of its sum and weight to a random
router. Each router admits the quota times its demand over its estimate of the total demand. Prints
the rounds until every tenth router's estimate is within 5% of the truth on its side, and the sum admitted
then, in quotas.
"""

from __future__ import annotations

import random

ROUTERS, SPREAD, TOLERANCE = 930, 1.2, 0.05  # the spread is the sigma of a log-normal


def converge(rng: random.Random, sides: list[list[int]]) -> tuple[int, float]:
    """Rounds until convergence, and quotas admitted, if each side communicates only within itself."""
    side = {router: members for members in sides for router in members}
    demand = [rng.lognormvariate(0, SPREAD) for _ in range(ROUTERS)]
    means = {router: sum(demand[member] for member in side[router]) / len(side[router]) for router in side}
    sums, weights = demand[:], [1.0] * ROUTERS
    rounds = 0
    while rounds < 200:
        rounds += 1
        next_sums, next_weights = [0.0] * ROUTERS, [0.0] * ROUTERS
        for router in range(ROUTERS):
            for target in (router, rng.choice(side[router])):
                next_sums[target] += sums[router] / 2
                next_weights[target] += weights[router] / 2
        sums, weights = next_sums, next_weights
        estimates = [total / weight for total, weight in zip(sums, weights, strict=True)]
        if all(abs(estimates[router] / means[router] - 1) < TOLERANCE for router in range(0, ROUTERS, 10)):
            break
    return rounds, sum(demand[router] / (estimates[router] * len(side[router])) for router in range(ROUTERS))


def main() -> None:
    """Simulate, and print a line per case."""
    half = ROUTERS // 2
    for seed in (1, 2, 3):
        for name, sides in (
            ("whole", [list(range(ROUTERS))]),
            ("cut in two", [list(range(half)), list(range(half, ROUTERS))]),
        ):
            rounds, quotas = converge(random.Random(seed), sides)
            print(f"{name:<10} seed {seed}: {rounds} rounds, {quotas:.2f} quotas")


if __name__ == "__main__":
    main()
