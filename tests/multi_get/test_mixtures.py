"""Any mixture of withheld, late and missing keys, against a model that knows nothing of parts or retries."""

from __future__ import annotations

import random

import pytest

from tests.multi_get.deployment import Behavior, Deployment, entry_labels, run_on_deployment

SEEDS = 200
NODES = ("ok", "ok", "ok", "ok", "slow0.05", "slow0.12", "miss", "once-error")
STORE = ("ok", "ok", "none")


class Told:
    """Which keys are withheld, by whom, and what becomes of the others."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.keys = [f"pkg/{seed}/{number}" for number in range(rng.randint(1, 120))]
        self.asked = [rng.choice(self.keys) for _ in range(rng.randint(1, 160))]
        self.at_nodes = {key: rng.choice(NODES) for key in self.keys}
        self.at_store = {
            key: rng.choice(STORE) if self.at_nodes[key] == "miss" else "ok" for key in self.keys
        }
        self.at_nodes[rng.choice(self.keys)] = "once-reset"
        self.withheld = set(rng.sample(self.keys, min(len(self.keys), rng.randint(0, 3))))
        self.how = {key: rng.choice(("node", "store")) for key in sorted(self.withheld)}

    def fate(self, place: str, key: str, time: int) -> str:
        if place == "store":
            return "silent" if key in self.withheld else self.at_store[key]
        if key in self.withheld:
            return "silent" if self.how[key] == "node" else "miss"
        word = self.at_nodes[key]
        return (word[5:] if time == 1 else "ok") if word.startswith("once-") else word

    def model(self, request: str) -> list[str]:
        """One word for each place asked."""
        words = []
        for key in self.asked:
            if key in self.withheld:
                words.append("withheld")
            elif self.at_nodes[key] == "miss" and self.at_store[key] == "none":
                words.append("miss")
            else:
                words.append(f"{key} of {request}")
        return words


def seen(words: list[str]) -> list[str]:
    return ["withheld" if word in ("late", "refused", "failed") else word for word in words]


@pytest.mark.parametrize("seed", range(SEEDS))
def test_the_marked_keys_are_exactly_those_withheld(seed: int) -> None:
    told = Told(seed)
    fate: Behavior = told.fate

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        answer = await client.multi_get(told.asked, request="q", d=6000)
        assert seen(entry_labels(answer)) == told.model("q")
        row, once = deployment.ledger_row(), set(told.asked)
        assert (row["taken"], row["open"]) == (len(once), 0)
        model = dict(zip(told.asked, told.model("q"), strict=True))
        served = sum(1 for word in model.values() if word not in ("withheld", "miss"))
        assert row["served"] == served
        assert row["failed_by_reason"].get("missing", 0) == sum(word == "miss" for word in model.values())

    run_on_deployment(test, behavior=fate, nodes=2 + seed % 6)
