"""The built-in schedules, by name, with a description each."""

from __future__ import annotations

from pebblepass.fault_injection.schedule import Plan

SCENARIOS: dict[str, tuple[str, Plan]] = {
    "policy": ("seven routers; kills, pauses and cuts while the policy changes", Plan()),
    "lost-disks": ("two of seven routers restart with an empty disk", Plan(empty_disks=2, kills=2)),
    "old-disks": (
        "two of seven routers restart with an older copy of their disk",
        Plan(old_disks=2, kills=2),
    ),
    "voters": ("changes of the voters, and an empty disk", Plan(member_changes=True, kills=2, empty_disks=1)),
    "three": ("three voters and one router that is not a voter", Plan(4, 3, kills=3, cuts=3, changes=6)),
    "fierce": ("many faults of every kind at once", Plan(kills=8, cuts=5, pauses=5, losses=0.15, changes=8)),
    "steps": (
        "routers killed right after they send a promise, an acceptance or a decision",
        Plan(4, 3, step_kills=0.05, kills=0, changes=6, quick_restarts=True),
    ),
    "blackouts": (
        "more than half of the routers killed at once, four times",
        Plan(kills=0, blackouts=4, quick_restarts=True, cuts=4),
    ),
    "rivals": (
        "concurrent changes of voters and policy, down to one voter",
        Plan(
            5,
            5,
            10.0,
            member_changes=True,
            least_voters=1,
            step_kills=0.02,
            changes=8,
            kills=0,
            quick_restarts=True,
            cuts=5,
        ),
    ),
    "frail": (
        "three routers, an empty disk, and kills at any step of a change",
        Plan(3, 3, step_kills=0.03, empty_disks=1, changes=8, quick_restarts=True, cuts=4),
    ),
    "shares": (
        "five routers, three of them voters, split the quota by demand; kills, pauses and cuts",
        Plan(5, 3, 14.0, shares=0.9, changes=3, kills=4, pauses=3, cuts=4, losses=0.1, admissions_per_s=10.0),
    ),
    "shares-quick": (
        "as shares; killed routers restart at once",
        Plan(
            5,
            3,
            12.0,
            shares=0.9,
            changes=2,
            kills=6,
            cuts=5,
            losses=0.1,
            quick_restarts=True,
            admissions_per_s=10.0,
        ),
    ),
    "shares-deaf": (
        "as shares; routers receive nothing for a while, but can send",
        Plan(
            5,
            3,
            16.0,
            shares=1.0,
            changes=0,
            kills=0,
            cuts=0,
            pauses=0,
            deaf=16,
            losses=0.02,
            admissions_per_s=10.0,
        ),
    ),
    "shares-lossy": (
        "as shares, with a third of the messages lost",
        Plan(
            6, 3, 14.0, shares=1.0, changes=1, kills=1, cuts=2, pauses=2, losses=0.35, admissions_per_s=10.0
        ),
    ),
    "shares-fierce": (
        "as shares, with changes of the voters, lost disks and kills at any step of a change",
        Plan(
            5,
            4,
            12.0,
            shares=0.8,
            changes=6,
            kills=4,
            cuts=4,
            pauses=4,
            empty_disks=1,
            member_changes=True,
            step_kills=0.01,
            admissions_per_s=10.0,
        ),
    ),
    "large": (
        "two hundred routers, seven of them voters, leases of 3 s",
        Plan(200, 7, 16.0, 3.0, changes=3, kills=10, pauses=4, admissions_per_s=2.0, quiet_s=6.0),
    ),
}
