"""What a run of hollow routers consists of: names, places, processes, phases, what it may take. No I/O.

| phase | what is done | over when |
| --- | --- | --- |
| join | control machines start, then all routers | all hold a lease |
| idle | nothing | the window is over |
| change | changes of the policy, one after another | the last is in force everywhere |
| discovery | all follow the list of servers; a change; an outage with a change in it | all have the last |
| voter | a control machine is killed, and started after two leases | it holds its lease |
| cut | a region hears nobody for two leases | all hold a lease again |
| zone | likewise a zone, half a region | likewise |
| some | 100 routers restart, or a tenth where there are fewer than 900 | all hold a lease |
| all | all routers and control machines restart | all hold a lease |
"""

from __future__ import annotations

import random
from typing import Any

from msgspec import Struct

FAULTS = ("voter", "cut", "zone", "some", "all")
PHASES = ("idle", "change", "discovery", *FAULTS)
CUTS = ("cut", "zone")
ZONES = 2  # in a region
PER_PROCESS = 120  # hollow routers
MOST_PROCESSES = 40
MOST_ROUTERS = 5000
MEMORY_MB = 12 * 1024
PROCESS_MB, ROUTER_MB = 45.0, 0.12  # of a process with none, and of a router for itself
MEMBER_MB, VERSIONS = 0.00018, 8  # what a member costs a router in each version that it keeps, and how many
OWN_DESCRIPTORS = 64
SERVERS = 120  # in the list
OUTAGE_S = 12.0  # of discovery

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ceilings": {
        "mostTries": 4,
        "retryAfter": True,
        "maxRetryAfterNs": 10**9,
        "dialTimeoutNs": 500_000_000,
        "idleCloseNs": 10**10,
        "maxOpen": 1000,
    },
    "classes": [{"name": "get", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "retryable"}],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
    "kinds": ["std", "origin"],
    "membershipMode": "automatic",
    "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 200.0}],
}
"""The platform's settings, as small as a router takes them."""


class PlanError(ValueError):
    """A run can't be made so; the text is one plain line."""


class Plan(Struct, frozen=True):
    """A run."""

    routers: int
    voters: int = 3
    full: int = 0
    """Routers among them that are the real daemon; beside each runs one without a fleet, to subtract."""
    seed: int = 1
    phases: tuple[str, ...] = ("idle", "change")
    lease_ms: int = 6000
    window_s: float = 20.0
    changes: int = 3
    regions: int = 4
    delay_ms: float = 0.0
    """One way, between regions."""
    pace_ms: float = 0.0
    """From the start of one router to the next; 0: all start at once."""
    processes: int = 0
    """Of hollow routers; 0: by their number."""
    memory_mb: int = MEMORY_MB
    patience_s: float = 120.0
    """After which a phase is given up."""

    @property
    def hollow(self) -> int:
        """How many routers are hollow."""
        return self.routers - self.full

    @property
    def hollow_processes(self) -> int:
        """Among how many processes they are spread."""
        return self.processes or max(-(-self.hollow // PER_PROCESS), 1)

    @property
    def relayed(self) -> bool:
        """Whether the links pass a relay: only where something is to be cut or delayed."""
        return self.delay_ms > 0 or any(phase in CUTS for phase in self.phases)

    def voter_names(self) -> list[str]:
        """The control machines."""
        return [f"c{number}" for number in range(self.voters)]

    def hollow_names(self) -> list[str]:
        """The hollow routers."""
        return [f"r{number:04}" for number in range(self.hollow)]

    def full_names(self) -> list[str]:
        """The full ones."""
        return [f"f{number:04}" for number in range(self.full)]

    def region(self, name: str) -> int:
        """Where a router or control machine stands."""
        return int(name[1:]) % self.regions

    def zone(self, name: str) -> str:
        """Likewise, its zone."""
        half = int(name[1:]) // self.regions % ZONES
        return f"{self.region(name)}{'ab'[half]}"

    def zones(self) -> list[str]:
        """All zones."""
        return [f"{region}{half}" for region in range(self.regions) for half in "ab"]

    def spread(self) -> list[list[str]]:
        """The hollow routers of each process."""
        names, count = self.hollow_names(), self.hollow_processes
        return [names[start::count] for start in range(count)]

    def restarted(self) -> list[str]:
        """The routers that restart in the phase `some`."""
        names = self.hollow_names()
        count = 100 if len(names) >= 900 else max(len(names) // 10, 1)
        return sorted(random.Random(f"{self.seed} some").sample(names, count))

    def listed(self) -> list[dict[str, Any]]:
        """The servers that discovery tells of; nothing is sent to them."""
        return [
            {
                "instanceId": f"server-{number:03}",
                "hostPort": f"10.0.{number}.1:6379",
                "zone": self.zones()[number % len(self.zones())],
                "machineType": "std",
                "cell": number % 12,
                "lifecycle": "up",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for number in range(SERVERS)
        ]

    def victim(self) -> str:
        """The control machine that dies."""
        return random.Random(f"{self.seed} voter").choice(self.voter_names())

    def cut_zones(self, phase: str) -> list[str]:
        """The zones that a phase cuts off: those of the last region, or one of them."""
        last = [zone for zone in self.zones() if zone[:-1] == str(self.regions - 1)]
        return last if phase == "cut" else last[:1]

    def memory_needed_mb(self) -> float:
        """What the run is expected to take; it is watched all the same."""
        members = self.routers + self.voters
        router = ROUTER_MB + members * MEMBER_MB * VERSIONS
        processes = self.hollow_processes + self.voters + 1 + 2 * self.full
        return processes * PROCESS_MB + (self.routers + self.voters) * router

    def descriptors(self) -> int:
        """The most that one process needs."""
        lists = "discovery" in self.phases
        hollow = max(len(names) for names in self.spread()) * (1 + self.voters + lists)
        relay = 2 * self.routers * self.voters + 2 * ZONES * self.regions * self.voters
        voter = self.routers + 2 * self.voters
        own = (relay if self.relayed else 0) + (self.hollow if lists else 0)
        return max(hollow, voter, own) + OWN_DESCRIPTORS


def checked(plan: Plan, descriptors: int) -> Plan:
    """The plan, if it can be run with so many descriptors; raises PlanError."""
    if not 1 <= plan.routers <= MOST_ROUTERS:
        raise PlanError(f"--routers: expected 1 to {MOST_ROUTERS}, got {plan.routers}")
    if plan.voters not in (1, 3, 5, 7):
        raise PlanError(f"--voters: expected 1, 3, 5 or 7, got {plan.voters}")
    if not 0 <= plan.full < plan.routers:
        raise PlanError(f"--full: expected 0 to {plan.routers - 1}, got {plan.full}")
    unknown = [phase for phase in plan.phases if phase not in PHASES]
    if unknown:
        raise PlanError(f"--phase: no phase {unknown[0]!r}; there are {', '.join(PHASES)}")
    if plan.regions < 1 or (plan.regions <= plan.voters and any(phase in CUTS for phase in plan.phases)):
        raise PlanError(f"--regions: a cut region holds no control machine: more than {plan.voters}")
    if not 1 <= plan.hollow_processes <= MOST_PROCESSES:
        raise PlanError(f"--processes: {plan.hollow_processes} are more than {MOST_PROCESSES}")
    needed = plan.memory_needed_mb()
    if needed > plan.memory_mb:
        raise PlanError(
            f"memory: {plan.routers} routers need some {needed:.0f} MB, and {plan.memory_mb} may be taken"
        )
    if plan.descriptors() > descriptors:
        raise PlanError(f"descriptors: a process needs {plan.descriptors()}, and {descriptors} may be open")
    return plan
