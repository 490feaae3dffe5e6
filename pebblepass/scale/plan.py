"""The plan of a run of hollow routers: names, regions, processes, phases and resource limits. No I/O.

| phase | action | condition of its end |
| --- | --- | --- |
| join | control machines start, then all routers | all hold a lease |
| idle | none | the window has passed |
| change | policy changes, one after another | the last is in force at all routers |
| discovery | all watch the endpoint list; it changes, and again during an outage | all have the latest list |
| voter | a control machine is killed, and restarted after two lease times | it holds its lease |
| cut | a region is disconnected for two lease times | all hold a lease again |
| zone | a zone (half a region) is disconnected for two lease times | all hold a lease again |
| some | 100 hollow routers restart, or a tenth if there are fewer than 900 | all hold a lease |
| all | all hollow routers and control machines restart | all hold a lease |
"""

from __future__ import annotations

import random
from typing import Any

from msgspec import Struct

FAULTS = ("voter", "cut", "zone", "some", "all")
PHASES = ("idle", "change", "discovery", *FAULTS)
CUTS = ("cut", "zone")
ZONES_PER_REGION = 2
ROUTERS_PER_PROCESS = 120
MAX_PROCESSES = 40
MAX_ROUTERS = 5000
MEMORY_MB = 12 * 1024
PROCESS_MB, ROUTER_MB = 45.0, 0.12  # of a process without routers, and of each router
MEMBER_MB, VERSIONS = 0.00018, 8  # memory per member and policy version in a router; versions it stores
OWN_DESCRIPTORS = 64
SERVERS = 120  # in the endpoint list
OUTAGE_S = 12.0  # duration of the discovery outage

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
"""The smallest platform settings that a router accepts."""


class PlanError(ValueError):
    """A plan is invalid or exceeds a limit; the message is one line."""


class Plan(Struct, frozen=True):
    """The parameters of one run."""

    routers: int
    voters: int = 3
    full: int = 0
    """How many of the routers are real daemons; for each, a daemon without a fleet runs as the baseline."""
    seed: int = 1
    phases: tuple[str, ...] = ("idle", "change")
    lease_ms: int = 6000
    window_s: float = 20.0
    changes: int = 3
    regions: int = 4
    delay_ms: float = 0.0
    """One-way delay between regions."""
    pace_ms: float = 0.0
    """Time between the starts of two routers; 0: all start at once."""
    processes: int = 0
    """Number of processes for hollow routers; 0: by the number of routers."""
    memory_mb: int = MEMORY_MB
    patience_s: float = 120.0
    """Timeout of each wait in a phase."""

    @property
    def hollow_count(self) -> int:
        """How many routers are hollow."""
        return self.routers - self.full

    @property
    def hollow_processes(self) -> int:
        """The number of processes that the hollow routers are spread over."""
        return self.processes or max(-(-self.hollow_count // ROUTERS_PER_PROCESS), 1)

    @property
    def relayed(self) -> bool:
        """Whether links pass through a relay, which is needed only to cut or delay them."""
        return self.delay_ms > 0 or any(phase in CUTS for phase in self.phases)

    def voter_names(self) -> list[str]:
        """The names of the control machines."""
        return [f"c{number}" for number in range(self.voters)]

    def hollow_names(self) -> list[str]:
        """The names of the hollow routers."""
        return [f"r{number:04}" for number in range(self.hollow_count)]

    def full_names(self) -> list[str]:
        """The names of the full routers."""
        return [f"f{number:04}" for number in range(self.full)]

    def region(self, name: str) -> int:
        """The region of a router or control machine."""
        return int(name[1:]) % self.regions

    def zone(self, name: str) -> str:
        """The zone of a router or control machine."""
        half = int(name[1:]) // self.regions % ZONES_PER_REGION
        return f"{self.region(name)}{'ab'[half]}"

    def zones(self) -> list[str]:
        """The names of all zones."""
        return [f"{region}{half}" for region in range(self.regions) for half in "ab"]

    def routers_by_process(self) -> list[list[str]]:
        """The names of the hollow routers in each process."""
        names, count = self.hollow_names(), self.hollow_processes
        return [names[start::count] for start in range(count)]

    def restarted(self) -> list[str]:
        """The routers that restart in the `some` phase."""
        names = self.hollow_names()
        count = 100 if len(names) >= 900 else max(len(names) // 10, 1)
        return sorted(random.Random(f"{self.seed} some").sample(names, count))

    def endpoint_entries(self) -> list[dict[str, Any]]:
        """The servers that discovery lists; no request is sent to them."""
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
        """The control machine that the `voter` phase kills."""
        return random.Random(f"{self.seed} voter").choice(self.voter_names())

    def cut_zones(self, phase: str) -> list[str]:
        """The zones that a phase disconnects: those of the last region, or the first of them."""
        last = [zone for zone in self.zones() if zone[:-1] == str(self.regions - 1)]
        return last if phase == "cut" else last[:1]

    def memory_needed_mb(self) -> float:
        """The memory that the run is expected to use; the actual use is still monitored."""
        members = self.routers + self.voters
        router = ROUTER_MB + members * MEMBER_MB * VERSIONS
        processes = self.hollow_processes + self.voters + 1 + 2 * self.full
        return processes * PROCESS_MB + (self.routers + self.voters) * router

    def descriptors(self) -> int:
        """The largest number of descriptors that one process needs."""
        watches = "discovery" in self.phases
        hollow = max(len(names) for names in self.routers_by_process()) * (1 + self.voters + watches)
        relay = 2 * self.routers * self.voters + 2 * ZONES_PER_REGION * self.regions * self.voters
        voter = self.routers + 2 * self.voters
        own = (relay if self.relayed else 0) + (self.hollow_count if watches else 0)
        return max(hollow, voter, own) + OWN_DESCRIPTORS


def validate_plan(plan: Plan, descriptors: int) -> Plan:
    """Return the plan if it can run within this descriptor limit; raises PlanError otherwise."""
    if not 1 <= plan.routers <= MAX_ROUTERS:
        raise PlanError(f"--routers: expected 1 to {MAX_ROUTERS}, got {plan.routers}")
    if plan.voters not in (1, 3, 5, 7):
        raise PlanError(f"--voters: expected 1, 3, 5 or 7, got {plan.voters}")
    if not 0 <= plan.full < plan.routers:
        raise PlanError(f"--full: expected 0 to {plan.routers - 1}, got {plan.full}")
    unknown = [phase for phase in plan.phases if phase not in PHASES]
    if unknown:
        raise PlanError(f"--phase: unknown phase {unknown[0]!r}; expected one of {', '.join(PHASES)}")
    if plan.regions < 1 or (plan.regions <= plan.voters and any(phase in CUTS for phase in plan.phases)):
        raise PlanError(
            f"--regions: expected more than {plan.voters}, as a cut region holds no control machine"
        )
    if not 1 <= plan.hollow_processes <= MAX_PROCESSES:
        raise PlanError(f"--processes: expected at most {MAX_PROCESSES}, got {plan.hollow_processes}")
    needed = plan.memory_needed_mb()
    if needed > plan.memory_mb:
        raise PlanError(
            f"memory: {plan.routers} routers need about {needed:.0f} MB, and the limit is {plan.memory_mb}"
        )
    if plan.descriptors() > descriptors:
        raise PlanError(f"descriptors: a process needs {plan.descriptors()}, and the limit is {descriptors}")
    return plan
