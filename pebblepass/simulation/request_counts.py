"""Service as the users count it (BRIEF, How we count), on the kit's own records; no I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import fsum
from typing import Any

from pebblepass.simulation.plan import Operation, Plan

WORST_S = 10
WHOLE, WORST_WINDOW, WORST_CLASS, WORST_NAMESPACE = 0.55, 0.15, 0.05, 0.25
OUTCOMES = ("served", "refused", "failed", "gone", "unreached", "killed", "lost")
"""What becomes of one try; every try ends in exactly one."""


@dataclass(slots=True)
class _Sum:
    asked: list[float]
    earned: list[float]

    @property
    def service(self) -> float:
        asked = fsum(self.asked)
        return fsum(self.earned) / asked if asked else 1.0


class RequestCounts:
    """Tries by outcome and what each ask has earned."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._classes = {cls.name: cls for cls in plan.scenario.classes}
        self.tries: dict[tuple[str, str], Counter[str]] = {
            (namespace.name, cls.name): Counter()
            for namespace in plan.scenario.namespaces
            for cls in plan.scenario.classes
        }
        self.routers: dict[str, Counter[str]] = {router.id: Counter() for router in plan.routers}
        self.accounts: dict[tuple[str, str, str], Counter[str]] = {
            (router.id, *key): Counter() for router in plan.routers for key in self.tries
        }
        """By router, namespace and class; `unseen` are those among the failed that no router ever read."""
        self.seconds = max(1, -(-int(plan.scenario.length_s * 1000) // 1000))
        """How many seconds are counted."""
        self.served_after: dict[int, float] = {}
        """Seconds from an ask to its answer, by the ask's number."""

    def record_start(self, operation: Operation, router: str) -> None:
        """A try begins."""
        self.tries[operation.namespace, operation.request_class]["asked"] += 1
        self.routers[router]["asked"] += 1
        self.accounts[router, operation.namespace, operation.request_class]["asked"] += 1

    def record_end(self, operation: Operation, router: str, outcome: str, unseen: bool = False) -> None:
        """A try ends in one of OUTCOMES; `unseen`: its connection was closed before a router read it."""
        account = self.accounts[router, operation.namespace, operation.request_class]
        account[outcome] += 1
        account["unseen"] += unseen
        self.tries[operation.namespace, operation.request_class][outcome] += 1
        self.routers[router][outcome] += 1

    def worth(self, operation: Operation) -> tuple[float, float]:
        """What an ask is worth, and what it has earned."""
        cls = self._classes[operation.request_class]
        worth = cls.worth * (self._plan.scenario.traffic.over_share_worth if operation.over else 1.0)
        after = self.served_after.get(operation.number)
        if after is None or after > cls.deadline_ms / 1000:
            return worth, 0.0
        return worth, worth * (1.0 if after <= cls.aim_ms / 1000 else cls.late_worth)

    def balance(self) -> list[str]:
        """Namespaces and classes for which asked is not the sum of the outcomes; empty when all adds up."""
        amiss = []
        for (namespace, cls), tally in self.tries.items():
            total = sum(tally[outcome] for outcome in OUTCOMES)
            if total != tally["asked"]:
                amiss.append(f"{namespace} {cls}: asked {tally['asked']}, accounted for {total}")
        return amiss

    def service(self) -> dict[str, Any]:
        """The service of the whole run, of its parts, and the weighted figure; each from 0 to 1."""
        scenario, seconds = self._plan.scenario, self.seconds
        by_second = [_Sum([], []) for _ in range(seconds)]
        namespace_seconds = {n.name: [_Sum([], []) for _ in range(seconds)] for n in scenario.namespaces}
        classes = {cls.name: _Sum([], []) for cls in scenario.classes}
        namespaces = {namespace.name: _Sum([], []) for namespace in scenario.namespaces}
        whole = _Sum([], [])
        for operation in self._plan.operations:
            worth, earned = self.worth(operation)
            second = min(int(operation.at), seconds - 1)
            # A namespace is judged within its share: what lies beyond it is not held against the router.
            parts = [whole, by_second[second], classes[operation.request_class]]
            if not operation.over:
                parts += [namespaces[operation.namespace], namespace_seconds[operation.namespace][second]]
            for part in parts:
                part.asked.append(worth)
                part.earned.append(earned)
        width = min(WORST_S, seconds)
        windows = [
            (first, _joined(by_second[first : first + width]).service) for first in range(seconds - width + 1)
        ]
        worst_at, worst = min(windows, key=lambda window: (window[1], window[0]))
        asked_of = [name for name, part in classes.items() if part.asked]
        worst_class = min((classes[name].service for name in asked_of), default=1.0)
        worst_namespace = min(part.service for part in namespaces.values())
        figure = fsum(
            (
                WHOLE * whole.service,
                WORST_WINDOW * worst,
                WORST_CLASS * worst_class,
                WORST_NAMESPACE * worst_namespace,
            )
        )
        return {
            "weighted": figure,
            "whole": whole.service,
            "worst_10_s": worst,
            "worst_10_s_from": worst_at,
            "classes": {name: part.service for name, part in classes.items()},
            "namespaces": {name: part.service for name, part in namespaces.items()},
            "seconds": [[fsum(part.asked), fsum(part.earned)] for part in by_second],
            "by_second": {
                name: [part.service if part.asked else None for part in parts]
                for name, parts in namespace_seconds.items()
            },
        }


def _joined(parts: list[_Sum]) -> _Sum:
    return _Sum([x for part in parts for x in part.asked], [x for part in parts for x in part.earned])
