"""The routers' own figures held against the kit's count; no I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Any

from pebblepass.simulation.request_counts import RequestCounts

KEYS = ("taken", "served", "refused", "failed", "gone", "open")


def differences(count: RequestCounts, figures: Mapping[str, list[dict[str, Any]] | None]) -> list[str]:
    """A line for each router, namespace and class whose figures are not the kit's.

    `figures`: by router, its accounts, one start after another; None where nothing can be known.
    """
    found = []
    for router, rows in figures.items():
        if rows is None:
            continue
        told: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
        for row in rows:
            told[row["namespace"], row["class"]].update({key: row[key] for key in KEYS})
        seen = {key[1:]: _expected(tally) for key, tally in count.accounts.items() if key[0] == router}
        for place in sorted({*told, *seen}):
            mine, its = seen.get(place, {}), told[place]
            apart = [f"{key} {mine.get(key, 0)} / {its[key]}" for key in KEYS if mine.get(key, 0) != its[key]]
            if apart:
                found.append(f"{router} {place[0]} {place[1]} (kit / router): {', '.join(apart)}")
    return found


def _expected(tally: Counter[str]) -> dict[str, int]:
    """What a router should say of these tries; those that it never read are not in its figures."""
    return {
        "taken": tally["asked"] - tally["unreached"] - tally["unseen"],
        "served": tally["served"],
        "refused": tally["refused"],
        "failed": tally["failed"] - tally["unseen"] + tally["lost"],
        "gone": tally["gone"],
        "open": 0,
    }
