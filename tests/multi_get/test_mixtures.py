"""Random mixtures of withheld, late and missing keys, against a model without batches and retries."""

from __future__ import annotations

import random

import pytest

from tests.multi_get.deployment import Behavior, Deployment, entry_labels, run_on_deployment

SEEDS = 200
NODE_OUTCOMES = ("ok", "ok", "ok", "ok", "slow0.05", "slow0.12", "miss", "once-error")
STORE_OUTCOMES = ("ok", "ok", "none")


class RandomBehavior:
    """Which keys get no answer, from which server, and the outcomes of the others."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.keys = [f"pkg/{seed}/{number}" for number in range(rng.randint(1, 120))]
        self.requested = [rng.choice(self.keys) for _ in range(rng.randint(1, 160))]
        self.node_outcomes = {key: rng.choice(NODE_OUTCOMES) for key in self.keys}
        self.store_outcomes = {
            key: rng.choice(STORE_OUTCOMES) if self.node_outcomes[key] == "miss" else "ok"
            for key in self.keys
        }
        self.node_outcomes[rng.choice(self.keys)] = "once-reset"
        self.withheld = set(rng.sample(self.keys, min(len(self.keys), rng.randint(0, 3))))
        self.withheld_by = {key: rng.choice(("node", "store")) for key in sorted(self.withheld)}

    def outcome(self, server: str, key: str, count: int) -> str:
        if server == "store":
            return "silent" if key in self.withheld else self.store_outcomes[key]
        if key in self.withheld:
            return "silent" if self.withheld_by[key] == "node" else "miss"
        label = self.node_outcomes[key]
        return (label[5:] if count == 1 else "ok") if label.startswith("once-") else label

    def expected(self, request: str) -> list[str]:
        """Return the expected label of each requested position."""
        labels = []
        for key in self.requested:
            if key in self.withheld:
                labels.append("withheld")
            elif self.node_outcomes[key] == "miss" and self.store_outcomes[key] == "none":
                labels.append("miss")
            else:
                labels.append(f"{key} of {request}")
        return labels


def normalized(labels: list[str]) -> list[str]:
    return ["withheld" if label in ("late", "refused", "failed") else label for label in labels]


@pytest.mark.parametrize("seed", range(SEEDS))
def test_exactly_the_withheld_keys_have_error_entries(seed: int) -> None:
    random_behavior = RandomBehavior(seed)
    behavior: Behavior = random_behavior.outcome

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        answer = await client.multi_get(random_behavior.requested, request="q", d=6000)
        assert normalized(entry_labels(answer)) == random_behavior.expected("q")
        row, distinct_keys = deployment.ledger_row(), set(random_behavior.requested)
        assert (row["taken"], row["open"]) == (len(distinct_keys), 0)
        expected = dict(zip(random_behavior.requested, random_behavior.expected("q"), strict=True))
        served = sum(1 for label in expected.values() if label not in ("withheld", "miss"))
        assert row["served"] == served
        assert row["failed_by_reason"].get("missing", 0) == sum(
            label == "miss" for label in expected.values()
        )

    run_on_deployment(test, behavior=behavior, nodes=2 + seed % 6)
