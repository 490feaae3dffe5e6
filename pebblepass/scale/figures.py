"""Figures between two snapshots of a run: messages, bytes, CPU and memory by role. No I/O."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from pebblepass.scale.plan import Plan

COUNTS = ("messages_in", "messages_out", "bytes_in", "bytes_out")


class Snapshot(Struct, frozen=True):
    """Counters and resource use of a run's processes at one moment, by process name."""

    at: float
    """Seconds of the monotonic clock."""
    cpu: dict[str, float]
    """CPU seconds used so far."""
    memory: dict[str, float]
    """Resident memory in MB."""
    counters: dict[str, dict[str, Any]]
    """The counters of each control machine's process, with its `pid`; a new process starts at zero."""


def counter_increase(
    before: Snapshot, after: Snapshot, voter: str, counter: str, names: Iterable[str]
) -> int:
    """How much a control machine's counter has increased for these names; a new process starts at zero."""
    new_counters = after.counters.get(voter, {})
    old_counters = before.counters.get(voter, {})
    if old_counters.get("pid") != new_counters.get("pid"):
        old_counters = {}
    return sum(
        new_counters.get(counter, {}).get(name, 0) - old_counters.get(counter, {}).get(name, 0)
        for name in names
    )


def _traffic(plan: Plan, before: Snapshot, after: Snapshot, names: list[str]) -> dict[str, Any]:
    """Traffic per router and second; what a control machine receives was sent by a router."""
    seconds, voters = after.at - before.at, plan.voter_names()
    sums = {
        counter: sum(counter_increase(before, after, voter, counter, names) for voter in voters)
        for counter in COUNTS
    }
    router_seconds = seconds * len(names)
    return {
        "sent_per_s": sums["messages_in"] / router_seconds,
        "received_per_s": sums["messages_out"] / router_seconds,
        "messages_per_s": (sums["messages_in"] + sums["messages_out"]) / router_seconds,
        "bytes_per_s": (sums["bytes_in"] + sums["bytes_out"]) / router_seconds,
        "received": _received_by_kind(plan, before, after, names),
    }


def _received_by_kind(plan: Plan, before: Snapshot, after: Snapshot, names: list[str]) -> dict[str, float]:
    """Messages received per process of these names, by kind of message."""
    prefix, received = names[0][0], dict[str, float]()
    for voter in plan.voter_names():
        kinds = [
            kind for kind in after.counters.get(voter, {}).get("kinds", {}) if kind.endswith(f" {prefix}")
        ]
        for kind in kinds:
            count = counter_increase(before, after, voter, "kinds", [kind])
            if count:
                name = kind.partition(" ")[0]
                received[name] = received.get(name, 0.0) + count / len(names)
    return received


def _cpu_between(before: Snapshot, after: Snapshot, name: str) -> float:
    return after.cpu.get(name, 0.0) - before.cpu.get(name, 0.0)


def figures_by_role(plan: Plan, before: Snapshot, after: Snapshot) -> dict[str, Any]:
    """The figures of each role: CPU in cores, memory in MB, traffic per second."""
    seconds = after.at - before.at
    processes = [f"hollow{number}" for number in range(plan.hollow_processes)]
    idle_cpu, idle_memory = _cpu_between(before, after, "empty"), after.memory.get("empty", 0.0)
    figures: dict[str, Any] = {"seconds": seconds}
    cpu = sum(_cpu_between(before, after, name) for name in processes) - len(processes) * idle_cpu
    memory = sum(after.memory.get(name, 0.0) for name in processes) - len(processes) * idle_memory
    figures["router"] = {
        **_traffic(plan, before, after, plan.hollow_names()),
        "cores": cpu / seconds / plan.hollow_count,
        "memory_mb": memory / plan.hollow_count,
    }
    names = plan.full_names()
    if plan.full and all(
        name in before.cpu for name in names
    ):  # full routers start after the hollow ones have joined
        baselines = [f"lone{number}" for number in range(plan.full)]
        fleet_cpu = sum(_cpu_between(before, after, name) for name in names)
        baseline_cpu = sum(_cpu_between(before, after, name) for name in baselines)
        figures["full"] = {
            **_traffic(plan, before, after, names),
            "cores": (fleet_cpu - baseline_cpu) / seconds / plan.full,
            "cores_in_all": fleet_cpu / seconds / plan.full,
            "memory_mb": sum(after.memory[a] - after.memory[b] for a, b in zip(names, baselines, strict=True))
            / plan.full,
        }
    figures["voter"] = _voter(plan, before, after)
    return figures


def _voter(plan: Plan, before: Snapshot, after: Snapshot) -> dict[str, Any]:
    seconds, voters = after.at - before.at, plan.voter_names()
    sums = {
        counter: sum(
            counter_increase(before, after, voter, counter, after.counters.get(voter, {}).get(counter, {}))
            for voter in voters
        )
        for counter in COUNTS
    }
    voter_seconds = seconds * len(voters)
    return {
        "messages_per_s": (sums["messages_in"] + sums["messages_out"]) / voter_seconds,
        "bytes_per_s": (sums["bytes_in"] + sums["bytes_out"]) / voter_seconds,
        "cores": sum(max(_cpu_between(before, after, name), 0.0) for name in voters) / voter_seconds,
        "memory_mb": max(after.memory.get(name, 0.0) for name in voters),
        "received": _received_by_kind(plan, before, after, voters),
        "connections": max(after.counters.get(name, {}).get("connections", 0) for name in voters),
    }


def change_figures(
    plan: Plan,
    before: Snapshot,
    after: Snapshot,
    durations_by_change: list[list[float]],
    idle: dict[str, Any] | None,
) -> dict[str, Any]:
    """The costs of policy changes beyond the idle load.

    `durations_by_change`: for each change, the seconds until it was in force at each router.
    """
    seconds, changes = after.at - before.at, len(durations_by_change)
    figures = figures_by_role(plan, before, after)
    routers = plan.routers

    def above_idle(role: str, counter: str, count: int) -> float:
        base = idle[role][counter] if idle is not None else 0.0
        return float((figures[role][counter] - base) * seconds * count / changes)

    durations = sorted(duration for change in durations_by_change for duration in change)
    result = {
        "changes": changes,
        "p50_s": statistics.median(durations),
        "max_s": durations[-1],
        "bytes": above_idle("router", "bytes_per_s", routers),
        "bytes_per_router": above_idle("router", "bytes_per_s", 1),
        "messages": above_idle("router", "messages_per_s", routers),
        "router_cpu_s": above_idle("router", "cores", 1),
        "voter_cpu_s": above_idle("voter", "cores", 1),
        "subtracted": idle is not None,
    }
    if plan.full:
        result["full_bytes_per_router"] = (
            (figures["full"]["bytes_per_s"] - (idle["full"]["bytes_per_s"] if idle else 0.0))
            * seconds
            / changes
        )
    return result
