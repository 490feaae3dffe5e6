"""What a split of a quota by gossip would admit: push-sum over all routers, whole and cut in two.

    .venv/bin/python benchmarks/gossip_probe.py

A probe for docs/design/shares.md. Each round every router sends half of what it holds to one that it draws;
it takes of the quota its own demand's part of the sum that it has heard of. Told: rounds until all of every
tenth router are within 5% of the true sum of their side, and what all admit then, in quotas.
"""

from __future__ import annotations

import random

ROUTERS, SPREAD, NEAR = 930, 1.2, 0.05


def spread(rng: random.Random, sides: list[list[int]]) -> tuple[int, float]:
    """Rounds, and quotas admitted, where each side hears itself only."""
    side = {router: members for members in sides for router in members}
    demand = [rng.lognormvariate(0, SPREAD) for _ in range(ROUTERS)]
    means = {router: sum(demand[each] for each in side[router]) / len(side[router]) for router in side}
    sums, weights = demand[:], [1.0] * ROUTERS
    rounds = 0
    while rounds < 200:
        rounds += 1
        next_sums, next_weights = [0.0] * ROUTERS, [0.0] * ROUTERS
        for router in range(ROUTERS):
            for to in (router, rng.choice(side[router])):
                next_sums[to] += sums[router] / 2
                next_weights[to] += weights[router] / 2
        sums, weights = next_sums, next_weights
        told = [total / weight for total, weight in zip(sums, weights, strict=True)]
        if all(abs(told[router] / means[router] - 1) < NEAR for router in range(0, ROUTERS, 10)):
            break
    return rounds, sum(demand[each] / (told[each] * len(side[each])) for each in range(ROUTERS))


def main() -> None:
    """Play and print."""
    half = ROUTERS // 2
    for seed in (1, 2, 3):
        for name, sides in (
            ("whole", [list(range(ROUTERS))]),
            ("cut in two", [list(range(half)), list(range(half, ROUTERS))]),
        ):
            rounds, quotas = spread(random.Random(seed), sides)
            print(f"{name:<10} seed {seed}: {rounds} rounds, {quotas:.2f} quotas")


if __name__ == "__main__":
    main()
