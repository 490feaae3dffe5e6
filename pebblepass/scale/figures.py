"""What two looks at a run say of the time between them: messages, bytes, CPU and memory by role. No I/O."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from pebblepass.scale.plan import Plan

COUNTS = ("messages_in", "messages_out", "bytes_in", "bytes_out")


class Snapshot(Struct, frozen=True):
    """A run at one moment; by process."""

    at: float
    """Seconds of the machine's clock."""
    cpu: dict[str, float]
    """Seconds so far."""
    memory: dict[str, float]
    """Resident, MB."""
    told: dict[str, dict[str, Any]]
    """What each control machine's process has counted, with `pid`: another one has begun anew."""


def counted(before: Snapshot, after: Snapshot, voter: str, what: str, names: Iterable[str]) -> int:
    """By how much a control machine's count of these routers went up; a new process began at nothing."""
    new = after.told.get(voter, {})
    old = before.told.get(voter, {})
    if old.get("pid") != new.get("pid"):
        old = {}
    return sum(new.get(what, {}).get(name, 0) - old.get(what, {}).get(name, 0) for name in names)


def _traffic(plan: Plan, before: Snapshot, after: Snapshot, names: list[str]) -> dict[str, Any]:
    """Per router and second; what a control machine is sent, a router sends."""
    seconds, voters = after.at - before.at, plan.voter_names()
    sums = {what: sum(counted(before, after, voter, what, names) for voter in voters) for what in COUNTS}
    share = seconds * len(names)
    return {
        "sent_per_s": sums["messages_in"] / share,
        "received_per_s": sums["messages_out"] / share,
        "messages_per_s": (sums["messages_in"] + sums["messages_out"]) / share,
        "bytes_per_s": (sums["bytes_in"] + sums["bytes_out"]) / share,
        "received": _kinds(plan, before, after, names),
    }


def _kinds(plan: Plan, before: Snapshot, after: Snapshot, names: list[str]) -> dict[str, float]:
    """What one of these routers was sent, by kind of message."""
    sort, found = names[0][0], dict[str, float]()
    for voter in plan.voter_names():
        kinds = [kind for kind in after.told.get(voter, {}).get("kinds", {}) if kind.endswith(f" {sort}")]
        for kind in kinds:
            count = counted(before, after, voter, "kinds", [kind])
            if count:
                name = kind.partition(" ")[0]
                found[name] = found.get(name, 0.0) + count / len(names)
    return found


def _spent(before: Snapshot, after: Snapshot, name: str) -> float:
    return after.cpu.get(name, 0.0) - before.cpu.get(name, 0.0)


def figures_by_role(plan: Plan, before: Snapshot, after: Snapshot) -> dict[str, Any]:
    """The figures of each role: CPU in cores, memory in MB, the rest per second."""
    seconds = after.at - before.at
    processes = [f"hollow{number}" for number in range(plan.hollow_processes)]
    idle_cpu, idle_memory = _spent(before, after, "empty"), after.memory.get("empty", 0.0)
    told: dict[str, Any] = {"seconds": seconds}
    cpu = sum(_spent(before, after, name) for name in processes) - len(processes) * idle_cpu
    memory = sum(after.memory.get(name, 0.0) for name in processes) - len(processes) * idle_memory
    told["router"] = {
        **_traffic(plan, before, after, plan.hollow_names()),
        "cores": cpu / seconds / plan.hollow,
        "memory_mb": memory / plan.hollow,
    }
    names = plan.full_names()
    if plan.full and all(name in before.cpu for name in names):  # they come after the hollow ones have joined
        lone = [f"lone{number}" for number in range(plan.full)]
        own = sum(_spent(before, after, name) for name in names)
        without = sum(_spent(before, after, name) for name in lone)
        told["full"] = {
            **_traffic(plan, before, after, names),
            "cores": (own - without) / seconds / plan.full,
            "cores_in_all": own / seconds / plan.full,
            "memory_mb": sum(after.memory[a] - after.memory[b] for a, b in zip(names, lone, strict=True))
            / plan.full,
        }
    told["voter"] = _voter(plan, before, after)
    return told


def _voter(plan: Plan, before: Snapshot, after: Snapshot) -> dict[str, Any]:
    seconds, voters = after.at - before.at, plan.voter_names()
    sums = {
        what: sum(
            counted(before, after, voter, what, after.told.get(voter, {}).get(what, {})) for voter in voters
        )
        for what in COUNTS
    }
    share = seconds * len(voters)
    return {
        "messages_per_s": (sums["messages_in"] + sums["messages_out"]) / share,
        "bytes_per_s": (sums["bytes_in"] + sums["bytes_out"]) / share,
        "cores": sum(max(_spent(before, after, name), 0.0) for name in voters) / share,
        "memory_mb": max(after.memory.get(name, 0.0) for name in voters),
        "received": _kinds(plan, before, after, voters),
        "connections": max(after.told.get(name, {}).get("connections", 0) for name in voters),
    }


def change_figures(
    plan: Plan, before: Snapshot, after: Snapshot, took: list[list[float]], idle: dict[str, Any] | None
) -> dict[str, Any]:
    """What a change costs beyond what goes on anyway; `took`: seconds to in force, by change and router."""
    seconds, changes = after.at - before.at, len(took)
    told = figures_by_role(plan, before, after)
    routers = plan.routers

    def beyond(role: str, what: str, count: int) -> float:
        base = idle[role][what] if idle is not None else 0.0
        return float((told[role][what] - base) * seconds * count / changes)

    every = sorted(each for change in took for each in change)
    result = {
        "changes": changes,
        "p50_s": statistics.median(every),
        "max_s": every[-1],
        "bytes": beyond("router", "bytes_per_s", routers),
        "bytes_per_router": beyond("router", "bytes_per_s", 1),
        "messages": beyond("router", "messages_per_s", routers),
        "router_cpu_s": beyond("router", "cores", 1),
        "voter_cpu_s": beyond("voter", "cores", 1),
        "subtracted": idle is not None,
    }
    if plan.full:
        result["full_bytes_per_router"] = (
            (told["full"]["bytes_per_s"] - (idle["full"]["bytes_per_s"] if idle else 0.0)) * seconds / changes
        )
    return result
