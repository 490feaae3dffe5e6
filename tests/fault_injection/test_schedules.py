"""Schedules without sockets: what holds of the program, and that each known broken one is caught by name."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from pebblepass.consensus.leases import ProcessId
from pebblepass.consensus.quota_allocator import QuotaAllocator, Rates
from pebblepass.consensus.replica import Replica
from pebblepass.fault_injection.broken import SOUND, VARIANTS, Variant
from pebblepass.fault_injection.checkers import (
    check_all,
    everywhere_or_nowhere,
    in_order,
    one_outcome,
    promises_kept,
    within_the_quota,
)
from pebblepass.fault_injection.history import Event, read_history, write_history
from pebblepass.fault_injection.scenarios import SCENARIOS
from pebblepass.fault_injection.schedule import play

SEEDS = 12  # of each schedule, in CI; ten thousand by `pebblepass trial simulate`
CATCHES = {
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
def test_every_schedule_holds_all_checks_and_comes_back(name: str) -> None:
    plan = SCENARIOS[name][1]
    for seed in range(SEEDS):
        result = play(plan, seed, SOUND)
        assert check_all(result.events) == [], seed
        assert result.stuck == "", seed
        assert any(event.what == "admit" and event.version >= 1 for event in result.events)


@pytest.mark.parametrize("name", VARIANTS)
def test_a_known_broken_program_is_caught_by_name(name: str) -> None:
    scenario, seeds, check = CATCHES[name]
    for seed in range(seeds):
        broken = check_all(play(SCENARIOS[scenario][1], seed, VARIANTS[name]).events)
        if any(found.check == check for found in broken):
            return
    pytest.fail(f"{name} was not caught in {seeds} schedules of {scenario}")


def test_a_fleet_whose_voters_grant_no_shares_is_told_stuck_at_the_floor() -> None:
    class Mean(QuotaAllocator):
        def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
            return ()

    class Miser(Variant):
        def replica(self, sound: type[Replica]) -> type[Replica]:
            class Other(sound):  # type: ignore[valid-type, misc]
                quota_allocator_class = Mean

            return Other

    plan = SCENARIOS["shares-lossy"][1]
    assert play(plan, 1, Miser()).stuck == "r0, r1, r2, r3, r4, r5 at the floor at the end, and wants more"


def test_the_same_seed_gives_the_same_history_to_the_byte(tmp_path: Path) -> None:
    files = []
    for number in range(2):
        files.append(tmp_path / str(number))
        write_history(files[-1], play(SCENARIOS["fierce"][1], 5, SOUND).events)
    assert files[0].read_bytes() == files[1].read_bytes()
    assert len(read_history(files[:1])) > 1000


def test_two_hundred_routers_change_in_one_lease_with_messages_that_grow_with_their_number() -> None:
    result = play(SCENARIOS["large"][1], 1, SOUND)
    assert check_all(result.events) == []
    assert result.stuck == ""
    assert max(event.version for event in result.events) >= 2
    # Each renewal asks seven voters and is answered: 2 * 7 * 200 in a second of a lease of 3 s; twice that is
    # what changes, deaths and their questions may add.
    assert result.messages < 2 * 2 * 7 * 200 * 16


def event(at: int, router: str, what: str, **facts: object) -> Event:
    return Event(at, router, what, **facts)  # type: ignore[arg-type]


def test_each_checker_tells_a_history_that_breaks_it() -> None:
    decided = event(1, "r0", "decided", version=1, change="a", told="x")
    assert list(one_outcome([decided, event(2, "r1", "decided", version=1, change="b", told="y")]))
    assert list(one_outcome([decided, event(2, "r1", "verdict", change="a", told="refused")]))
    later = event(3, "r1", "decided", version=2, change="b", told="z")
    admitted = [event(4, "r0", "admit", version=2), event(5, "r1", "admit", version=1)]
    assert list(everywhere_or_nowhere([decided, later, *admitted]))
    assert list(everywhere_or_nowhere([decided, event(4, "r0", "admit", version=2)]))
    assert not list(everywhere_or_nowhere([decided, later, *reversed(admitted)]))
    vote = event(1, "r0", "promised", version=2, ballot=(4, "r1"), disk="d")
    assert list(promises_kept([vote, event(2, "r0", "accepted", version=2, ballot=(3, "r2"), disk="d")]))
    took = event(1, "r0", "accepted", version=2, ballot=(4, "r1"), disk="d", change="a")
    assert list(promises_kept([took, event(2, "r0", "promised", version=2, ballot=(5, "r2"), disk="d")]))
    whole = event(1, "r0", "decided", version=2, change="a", told="x", amount=30.0)
    shares = [event(2, "r0", "share", version=2, amount=20.0, until=5)]
    assert not list(
        within_the_quota([whole, *shares, event(6, "r1", "share", version=2, amount=20.0, until=9)])
    )
    less = event(3, "r0", "share", version=2, amount=9.0, until=9)
    assert not list(
        within_the_quota([whole, *shares, less, event(4, "r1", "share", version=2, amount=20.0, until=9)])
    )
    assert list(within_the_quota([whole, *shares, event(4, "r1", "share", version=2, amount=20.0, until=9)]))
    ended = event(2, "r0", "verdict", version=5, change="a", told="in force")
    after = [
        event(3, "r1", "proposed", change="b"),
        event(4, "r1", "verdict", version=4, change="b", told="in force"),
    ]
    assert list(in_order([event(1, "r0", "proposed", change="a"), ended, *after]))


def test_histories_with_a_torn_last_line_are_read_up_to_it(tmp_path: Path) -> None:
    events = [event(random.Random(7).randrange(99), "r0", "admit", version=1)]
    write_history(tmp_path / "h", events)
    with (tmp_path / "h").open("ab") as file:
        file.write(b'{"at":7,"rou')
    assert read_history([tmp_path / "h"]) == events
