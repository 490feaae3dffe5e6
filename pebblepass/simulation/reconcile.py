"""Compares the accounts of the routers with the counts of the load generator; no I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Any

from pebblepass.simulation.request_counts import RequestCounts

KEYS = ("taken", "served", "refused", "failed", "gone", "open")


def differences(count: RequestCounts, figures: Mapping[str, list[dict[str, Any]] | None]) -> list[str]:
    """Return a line for each router, namespace and class whose account differs from the counts.

    `figures`: by router, the accounts of each of its starts; None where they are not available.
    """
    lines = []
    for router, rows in figures.items():
        if rows is None:
            continue
        reported: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
        for row in rows:
            reported[row["namespace"], row["class"]].update({key: row[key] for key in KEYS})
        expected = {key[1:]: _expected(tally) for key, tally in count.accounts.items() if key[0] == router}
        for account in sorted({*reported, *expected}):
            counted, accounted = expected.get(account, {}), reported[account]
            unequal = [
                f"{key} {counted.get(key, 0)} / {accounted[key]}"
                for key in KEYS
                if counted.get(key, 0) != accounted[key]
            ]
            if unequal:
                lines.append(f"{router} {account[0]} {account[1]} (counted / router): {', '.join(unequal)}")
    return lines


def _expected(tally: Counter[str]) -> dict[str, int]:
    """Return the account that a router should have of these requests, without those it has never read."""
    return {
        "taken": tally["asked"] - tally["unreached"] - tally["unseen"],
        "served": tally["served"],
        "refused": tally["refused"],
        "failed": tally["failed"] - tally["unseen"] + tally["lost"],
        "gone": tally["gone"],
        "open": 0,
    }
