"""Simulated schedules: the program passes every check, and each defective variant is detected."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from pebblepass.consensus.leases import ProcessId
from pebblepass.consensus.quota_allocator import QuotaAllocator, Rates
from pebblepass.consensus.replica import Replica
from pebblepass.fault_injection.checkers import (
    check_all,
    one_outcome,
    promises_kept,
    single_version_in_force,
    versions_in_order,
    within_quota,
)
from pebblepass.fault_injection.history import Event, read_history, write_history
from pebblepass.fault_injection.scenarios import SCENARIOS
from pebblepass.fault_injection.schedule import run_schedule
from pebblepass.fault_injection.variants import UNMODIFIED, VARIANTS, Variant

SEEDS = 12  # per scenario in CI; `pebblepass trial simulate` runs ten thousand
DETECTED_BY = {  # the scenario, the number of seeds, and the check that detects each variant
    "no-sync": ("steps", 150, "promises kept"),
    "promise-forgotten": ("fierce", 30, "promises kept"),
    "empty-disk-votes": ("frail", 300, "one outcome"),
    "lease-by-wall-clock": ("voters", 30, "everywhere or nowhere"),
    "two-coordinators-in-one-term": ("lost-disks", 60, "one outcome"),
    "lease-not-looked-at-after-a-pause": ("policy", 60, "everywhere or nowhere"),
    "old-version-served-when-cut-off": ("policy", 20, "everywhere or nowhere"),
    "commit-before-quorum": ("lost-disks", 80, "one outcome"),
    "torn-tail-believed": ("steps", 150, "one outcome"),
    "members-changed-at-once": ("rivals", 120, "one outcome"),
    "granted-before-closed": ("policy", 30, "everywhere or nowhere"),
    "grants-forgotten-at-restart": ("steps", 60, "everywhere or nowhere"),
    "disk-that-lies": ("fierce", 60, "promises kept"),
    "share-counted-by-its-last-grant": ("shares", 30, "within the quota"),
    "share-freed-at-the-answer": ("shares-deaf", 60, "within the quota"),
    "shares-forgotten-at-restart": ("shares-quick", 60, "within the quota"),
    "floors-not-set-aside": ("shares", 20, "within the quota"),
    "share-kept-over-a-version": ("shares-quick", 40, "within the quota"),
    "share-kept-past-its-lease": ("shares", 40, "within the quota"),
    "share-by-wall-clock": ("shares-deaf", 60, "within the quota"),
}


@pytest.mark.parametrize("name", [name for name in SCENARIOS if name != "large"])
def test_every_schedule_passes_all_checks_and_recovers(name: str) -> None:
    plan = SCENARIOS[name][1]
    for seed in range(SEEDS):
        result = run_schedule(plan, seed, UNMODIFIED)
        assert check_all(result.events) == [], seed
        assert result.stuck == "", seed
        assert any(event.kind == "admit" and event.version >= 1 for event in result.events)


@pytest.mark.parametrize("name", VARIANTS)
def test_each_defective_variant_is_detected_by_its_check(name: str) -> None:
    scenario, seeds, check = DETECTED_BY[name]
    for seed in range(seeds):
        violations = check_all(run_schedule(SCENARIOS[scenario][1], seed, VARIANTS[name]).events)
        if any(found.check == check for found in violations):
            return
    pytest.fail(f"{name} was not detected in {seeds} schedules of {scenario}")


def test_fleet_without_granted_shares_is_reported_as_stuck_at_floor() -> None:
    class NoGrantsAllocator(QuotaAllocator):
        def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
            return ()

    class NoGrantsVariant(Variant):
        def replica(self, base: type[Replica]) -> type[Replica]:
            class Modified(base):  # type: ignore[valid-type, misc]
                quota_allocator_class = NoGrantsAllocator

            return Modified

    plan = SCENARIOS["shares-lossy"][1]
    assert (
        run_schedule(plan, 1, NoGrantsVariant()).stuck
        == "r0, r1, r2, r3, r4, r5 at the floor at the end with demand above it"
    )


def test_same_seed_gives_identical_history_bytes(tmp_path: Path) -> None:
    files = []
    for number in range(2):
        files.append(tmp_path / str(number))
        write_history(files[-1], run_schedule(SCENARIOS["fierce"][1], 5, UNMODIFIED).events)
    assert files[0].read_bytes() == files[1].read_bytes()
    assert len(read_history(files[:1])) > 1000


def test_messages_of_two_hundred_routers_grow_linearly_with_their_number() -> None:
    result = run_schedule(SCENARIOS["large"][1], 1, UNMODIFIED)
    assert check_all(result.events) == []
    assert result.stuck == ""
    assert max(event.version for event in result.events) >= 2
    # Renewals take 2 * 7 * 200 messages per second: a request and a grant per router and voter, with leases
    # of 3 s. The factor of 2 allows for changes, router deaths and liveness queries.
    assert result.messages < 2 * 2 * 7 * 200 * 16


def event(at: int, router: str, kind: str, **facts: object) -> Event:
    return Event(at, router, kind, **facts)  # type: ignore[arg-type]


def test_each_checker_reports_a_violating_history() -> None:
    decided = event(1, "r0", "decided", version=1, change="a", detail="x")
    assert list(one_outcome([decided, event(2, "r1", "decided", version=1, change="b", detail="y")]))
    assert list(one_outcome([decided, event(2, "r1", "verdict", change="a", detail="refused")]))
    later = event(3, "r1", "decided", version=2, change="b", detail="z")
    admitted = [event(4, "r0", "admit", version=2), event(5, "r1", "admit", version=1)]
    assert list(single_version_in_force([decided, later, *admitted]))
    assert list(single_version_in_force([decided, event(4, "r0", "admit", version=2)]))
    assert not list(single_version_in_force([decided, later, *reversed(admitted)]))
    vote = event(1, "r0", "promised", version=2, ballot=(4, "r1"), disk="d")
    assert list(promises_kept([vote, event(2, "r0", "accepted", version=2, ballot=(3, "r2"), disk="d")]))
    took = event(1, "r0", "accepted", version=2, ballot=(4, "r1"), disk="d", change="a")
    assert list(promises_kept([took, event(2, "r0", "promised", version=2, ballot=(5, "r2"), disk="d")]))
    quota = event(1, "r0", "decided", version=2, change="a", detail="x", amount=30.0)
    shares = [event(2, "r0", "share", version=2, amount=20.0, until=5)]
    assert not list(within_quota([quota, *shares, event(6, "r1", "share", version=2, amount=20.0, until=9)]))
    less = event(3, "r0", "share", version=2, amount=9.0, until=9)
    assert not list(
        within_quota([quota, *shares, less, event(4, "r1", "share", version=2, amount=20.0, until=9)])
    )
    assert list(within_quota([quota, *shares, event(4, "r1", "share", version=2, amount=20.0, until=9)]))
    ended = event(2, "r0", "verdict", version=5, change="a", detail="in force")
    after = [
        event(3, "r1", "proposed", change="b"),
        event(4, "r1", "verdict", version=4, change="b", detail="in force"),
    ]
    assert list(versions_in_order([event(1, "r0", "proposed", change="a"), ended, *after]))


def test_history_is_read_up_to_a_truncated_last_line(tmp_path: Path) -> None:
    events = [event(random.Random(7).randrange(99), "r0", "admit", version=1)]
    write_history(tmp_path / "h", events)
    with (tmp_path / "h").open("ab") as file:
        file.write(b'{"at":7,"rou')
    assert read_history([tmp_path / "h"]) == events
