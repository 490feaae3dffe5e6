"""Placement of slots: balance, minimal changes, warm-up and weights."""

from __future__ import annotations

import itertools

from msgspec.structs import replace

from pebblepass.decisions.interface import Server
from pebblepass.decisions.slot_table import DEPTH, SLOTS, SlotTable
from tests.decisions.builders import S, fleet, settings

COLD = {"cold_capacity": 0.25, "warm_up_time": 10 * S}


def table_of(servers: tuple[Server, ...], **changes: object) -> SlotTable:
    table = SlotTable(settings(**changes))
    table.update(list(servers), [])
    return table


def owners_of_slots(table: SlotTable, now: int = 0, slots: int = 2000) -> list[str]:
    return [table.rank(slot, now)[0].entry.id for slot in range(slots)]


def test_slots_per_server_are_within_a_fifth_of_the_mean() -> None:
    owners = owners_of_slots(table_of(fleet(10)), slots=SLOTS)
    counts = [owners.count(server.id) for server in fleet(10)]
    assert sum(counts) == SLOTS
    assert max(counts) < 1.2 * SLOTS / 10
    assert min(counts) > 0.8 * SLOTS / 10


def test_placement_does_not_depend_on_the_order_of_servers() -> None:
    other = table_of(tuple(reversed(fleet(10))))
    assert owners_of_slots(table_of(fleet(10))) == owners_of_slots(other)


def test_adding_and_removing_a_server_moves_only_its_slots() -> None:
    table = table_of(fleet(10))
    before = owners_of_slots(table)
    new_server = Server("10.9.9.9:80")
    table.update([new_server], [])
    joined = owners_of_slots(table)
    moved = [
        slot
        for slot, owner_pair in enumerate(zip(before, joined, strict=True))
        if owner_pair[0] != owner_pair[1]
    ]
    assert moved
    assert all(joined[slot] == new_server.id for slot in moved)
    table.update([], [new_server.id])
    assert owners_of_slots(table) == before


def test_large_change_gives_the_same_placement_as_a_new_table() -> None:
    table = table_of(fleet(30))
    owners_of_slots(table)
    table.update([], [server.id for server in fleet(30)[10:]])
    assert owners_of_slots(table) == owners_of_slots(table_of(fleet(10)))


def test_cached_rankings_equal_new_ones_after_small_changes() -> None:
    table = table_of(fleet(12))
    owners_of_slots(table)
    table.update([Server("10.9.9.9:80")], [fleet(12)[3].id])
    fresh = table_of((*fleet(12)[:3], *fleet(12)[4:], Server("10.9.9.9:80")))
    for slot in range(300):
        cached = [node.entry.id for node in table.rank(slot, 0)]
        assert cached == [node.entry.id for node in fresh.rank(slot, 0)]
        assert len(cached) >= DEPTH


def test_warm_up_starts_at_the_cold_capacity_and_rises_monotonically() -> None:
    cold = Server("10.9.9.9:80", started=100 * S)
    table = table_of((*fleet(9), cold), **COLD)
    owned = [
        {slot for slot, owner in enumerate(owners_of_slots(table, now)) if owner == cold.id}
        for now in (100 * S, 103 * S, 106 * S, 110 * S)
    ]
    assert all(early < late for early, late in itertools.pairwise(owned))
    assert 0.015 < len(owned[0]) / 2000 < 0.04  # about a quarter of its full share, a tenth
    assert 0.08 < len(owned[-1]) / 2000 < 0.12
    warm = owners_of_slots(table_of(fleet(9)))
    at_start = owners_of_slots(table, 100 * S)
    assert all(
        owner == warm_owner for owner, warm_owner in zip(at_start, warm, strict=True) if owner != cold.id
    )


def test_placement_is_the_same_while_every_server_is_cold() -> None:
    restarted = tuple(replace(server, started=50 * S) for server in fleet(12))
    assert owners_of_slots(table_of(restarted, **COLD), 52 * S) == owners_of_slots(table_of(fleet(12)))


def test_list_weights_count_only_if_they_are_sizes() -> None:
    servers = tuple(Server(f"s{i}", weight=3.0 if i == 0 else 1.0) for i in range(10))
    weighted_count = owners_of_slots(table_of(servers, weighted=True), slots=SLOTS).count("s0")
    unweighted_count = owners_of_slots(table_of(servers), slots=SLOTS).count("s0")
    assert 0.2 < weighted_count / SLOTS < 0.3  # 3 of 12
    assert 0.08 < unweighted_count / SLOTS < 0.12


def test_start_in_the_future_counts_as_now() -> None:
    table = SlotTable(settings(cold_capacity=0.5))
    table.update([Server("s1", started=5)], [])
    assert table.warm_up_fraction(table.nodes["s1"], 4) == 1.0
