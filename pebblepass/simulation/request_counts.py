"""Outcomes of requests and the service that clients received, from the load generator's records; no I/O.

Service (BRIEF, How we count) is the worth that answers have earned as a share of the worth of all
operations: an answer within its class's target time earns the full worth, a later one before the deadline a
part of it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import fsum
from typing import Any

from pebblepass.simulation.plan import Operation, Plan

WORST_WINDOW_S = 10
OVERALL_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT, WORST_NAMESPACE_WEIGHT = 0.55, 0.15, 0.05, 0.25
OUTCOMES = ("served", "refused", "failed", "gone", "unreached", "killed", "lost")
"""How a request ends; each request ends in exactly one of these."""


@dataclass(slots=True)
class _Worth:
    """The worth of each of some operations, and what each has earned."""

    worths: list[float]
    earned: list[float]

    @property
    def service(self) -> float:
        total = fsum(self.worths)
        return fsum(self.earned) / total if total else 1.0


class RequestCounts:
    """Counts requests by outcome, and computes what each operation has earned."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._classes = {cls.name: cls for cls in plan.scenario.classes}
        self.requests: dict[tuple[str, str], Counter[str]] = {
            (namespace.name, cls.name): Counter()
            for namespace in plan.scenario.namespaces
            for cls in plan.scenario.classes
        }
        self.routers: dict[str, Counter[str]] = {router.id: Counter() for router in plan.routers}
        self.accounts: dict[tuple[str, str, str], Counter[str]] = {
            (router.id, *key): Counter() for router in plan.routers for key in self.requests
        }
        """By router, namespace and class; `unseen` counts the failed requests that no router has read."""
        self.seconds = max(1, -(-int(plan.scenario.length_s * 1000) // 1000))
        """The length of the scenario in seconds, rounded up."""
        self.served_after: dict[int, float] = {}
        """Seconds from the start of an operation to its answer, by the operation's number."""

    def record_start(self, operation: Operation, router: str) -> None:
        """Count a request that is sent to a router."""
        self.requests[operation.namespace, operation.request_class]["asked"] += 1
        self.routers[router]["asked"] += 1
        self.accounts[router, operation.namespace, operation.request_class]["asked"] += 1

    def record_end(self, operation: Operation, router: str, outcome: str, unseen: bool = False) -> None:
        """Count the outcome of a request, one of OUTCOMES.

        `unseen`: its connection was closed before the router read it.
        """
        account = self.accounts[router, operation.namespace, operation.request_class]
        account[outcome] += 1
        account["unseen"] += unseen
        self.requests[operation.namespace, operation.request_class][outcome] += 1
        self.routers[router][outcome] += 1

    def worth(self, operation: Operation) -> tuple[float, float]:
        """Return what an operation is worth, and what it has earned."""
        cls = self._classes[operation.request_class]
        worth = cls.worth * (self._plan.scenario.traffic.over_share_worth if operation.over else 1.0)
        after = self.served_after.get(operation.number)
        if after is None or after > cls.deadline_ms / 1000:
            return worth, 0.0
        return worth, worth * (1.0 if after <= cls.aim_ms / 1000 else cls.late_worth)

    def balance(self) -> list[str]:
        """Return a line for each namespace and class whose requests are not the sum of their outcomes."""
        unbalanced = []
        for (namespace, cls), tally in self.requests.items():
            total = sum(tally[outcome] for outcome in OUTCOMES)
            if total != tally["asked"]:
                unbalanced.append(f"{namespace} {cls}: asked {tally['asked']}, accounted for {total}")
        return unbalanced

    def service(self) -> dict[str, Any]:
        """Return the weighted service, and the service of the whole run and its parts; each from 0 to 1."""
        scenario, seconds = self._plan.scenario, self.seconds
        by_second = [_Worth([], []) for _ in range(seconds)]
        namespace_seconds = {n.name: [_Worth([], []) for _ in range(seconds)] for n in scenario.namespaces}
        classes = {cls.name: _Worth([], []) for cls in scenario.classes}
        namespaces = {namespace.name: _Worth([], []) for namespace in scenario.namespaces}
        overall = _Worth([], [])
        for operation in self._plan.operations:
            worth, earned = self.worth(operation)
            second = min(int(operation.at), seconds - 1)
            # Traffic beyond a namespace's share does not lower the service of the namespace.
            parts = [overall, by_second[second], classes[operation.request_class]]
            if not operation.over:
                parts += [namespaces[operation.namespace], namespace_seconds[operation.namespace][second]]
            for part in parts:
                part.worths.append(worth)
                part.earned.append(earned)
        width = min(WORST_WINDOW_S, seconds)
        windows = [
            (first, _joined(by_second[first : first + width]).service) for first in range(seconds - width + 1)
        ]
        worst_from, worst = min(windows, key=lambda window: (window[1], window[0]))
        classes_used = [name for name, part in classes.items() if part.worths]
        worst_class = min((classes[name].service for name in classes_used), default=1.0)
        worst_namespace = min(part.service for part in namespaces.values())
        weighted = fsum(
            (
                OVERALL_WEIGHT * overall.service,
                WORST_WINDOW_WEIGHT * worst,
                WORST_CLASS_WEIGHT * worst_class,
                WORST_NAMESPACE_WEIGHT * worst_namespace,
            )
        )
        return {
            "weighted": weighted,
            "whole": overall.service,
            "worst_10_s": worst,
            "worst_10_s_from": worst_from,
            "classes": {name: part.service for name, part in classes.items()},
            "namespaces": {name: part.service for name, part in namespaces.items()},
            "seconds": [[fsum(part.worths), fsum(part.earned)] for part in by_second],
            "by_second": {
                name: [part.service if part.worths else None for part in parts]
                for name, parts in namespace_seconds.items()
            },
        }


def _joined(parts: list[_Worth]) -> _Worth:
    return _Worth([x for part in parts for x in part.worths], [x for part in parts for x in part.earned])
