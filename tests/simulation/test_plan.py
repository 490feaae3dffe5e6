"""The plan and the count: drawn by name from one seed, and counted as the users count."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import msgspec
import pytest

from pebblepass.simulation.plan import BURST_KEY, Plan, Streams, make_plan
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.scenario import Disturbance, Fault, Range, Scenario, Traffic

CALM = Scenario(title="calm", length_s=30, traffic=Traffic(rate=100, swing=0))


def changed(**changes: Any) -> Scenario:
    return msgspec.structs.replace(CALM, **changes)


def test_one_seed_draws_one_plan_and_another_seed_another() -> None:
    assert make_plan(CALM, 7).digest() == make_plan(CALM, 7).digest()
    assert make_plan(CALM, 7).digest() != make_plan(CALM, 8).digest()


def test_a_part_that_is_added_does_not_shift_the_others() -> None:
    with_fault = changed(faults=(Fault(kind="node-kill", at_s=3),))
    calm, other = make_plan(CALM, 7), make_plan(with_fault, 7)
    assert (calm.operations, calm.nodes, calm.store) == (other.operations, other.nodes, other.store)


def test_streams_depend_on_the_name_alone() -> None:
    streams = Streams(3)
    streams.of("other").random()
    assert streams.of("a").random() == Streams(3).of("a").random() == random.Random("3/a").random()


def test_rate_shares_and_routers_are_as_the_scenario_says() -> None:
    operations = make_plan(changed(length_s=100), 5).operations
    assert len(operations) == pytest.approx(10_000, rel=0.05)
    classes = Counter(operation.request_class for operation in operations)
    assert classes["fetch"] / len(operations) == pytest.approx(0.97, abs=0.01)
    assert Counter(operation.namespace for operation in operations)["public"] / len(
        operations
    ) == pytest.approx(0.63, abs=0.03)
    assert min(Counter(operation.router for operation in operations).values()) > len(operations) / 4


def test_a_burst_asks_for_one_new_package_on_top() -> None:
    burst = Disturbance(kind="burst", at_s=10, for_s=10, share=Range(0.5, 0.5))
    operations = make_plan(changed(disturbances=(burst,)), 7).operations
    new = [operation for operation in operations if operation.key == BURST_KEY]
    assert all(10 <= operation.at < 20 and operation.request_class == "fetch" for operation in new)
    assert len(new) == pytest.approx(500, rel=0.2)
    assert len(operations) == pytest.approx(3500, rel=0.1)


def test_reads_of_keys_wanted_once_replace_other_reads() -> None:
    once = Disturbance(kind="one-time", at_s=10, for_s=10, share=Range(0.2, 0.2))
    operations = make_plan(changed(disturbances=(once,)), 7).operations
    keys = Counter(operation.key for operation in operations if operation.key.startswith("once/"))
    assert set(keys.values()) == {1}
    assert len(keys) == pytest.approx(194, rel=0.25)
    assert len(operations) == len(make_plan(CALM, 7).operations)


def test_a_skew_puts_its_share_on_some_routers_for_its_time() -> None:
    skew = Disturbance(kind="skew", at_s=10, for_s=10, share=Range(0.25, 0.25))
    operations = [
        operation
        for operation in make_plan(changed(disturbances=(skew,)), 7).operations
        if 10 <= operation.at < 20
    ]
    most = max(Counter(operation.router for operation in operations).values())
    assert most / len(operations) == pytest.approx(0.25 + 0.75 / 3, abs=0.06)


def test_faults_of_drawn_nodes_touch_different_nodes() -> None:
    faults = tuple(Fault(kind="node-slow", at_s=i) for i in range(12))
    places = [event.place for event in make_plan(changed(faults=faults), 7).fault_events]
    assert sorted(places) == list(range(12))


def test_kept_copies_serve_the_drawn_share_of_reads_in_an_lru() -> None:
    """Che's approximation against an LRU that is played."""
    plan = make_plan(
        changed(length_s=600, traffic=Traffic(rate=100, swing=0, pooled_hits=Range(0.8, 0.8))), 7
    )
    kept: dict[str, None] = {}
    hits, asked = 0, 0
    for place, operation in enumerate(plan.operations):
        if place > len(plan.operations) // 2:
            asked += 1
            hits += operation.key in kept
        kept.pop(operation.key, None)
        kept[operation.key] = None
        if len(kept) > len(plan.popular):
            kept.pop(next(iter(kept)))
    assert hits / asked == pytest.approx(0.8, abs=0.03)


def counted(plan: Plan, served: dict[int, float]) -> dict[str, Any]:
    count = RequestCounts(plan)
    count.served_after = served
    return count.service()


def test_service_is_the_worth_answered_in_time_over_the_worth_asked_for() -> None:
    plan = make_plan(CALM, 7)
    assert counted(plan, {})["weighted"] == 0
    assert counted(plan, {operation.number: 0.1 for operation in plan.operations})[
        "weighted"
    ] == pytest.approx(1.0)
    late = {
        operation.number: 0.31 if operation.request_class == "fetch" else 0.1 for operation in plan.operations
    }
    assert counted(plan, late)["classes"]["fetch"] == pytest.approx(0.25)
    too_late = {operation.number: 1.21 for operation in plan.operations}
    assert counted(plan, too_late)["whole"] == 0


def test_the_weights_are_those_of_the_users() -> None:
    plan = make_plan(CALM, 7)
    told = counted(
        plan,
        {
            operation.number: 0.1
            for operation in plan.operations
            if operation.namespace == "public" or operation.at >= 10
        },
    )
    worst = min(told["namespaces"].values()), min(told["classes"].values())
    expected = 0.55 * told["whole"] + 0.15 * told["worst_10_s"] + 0.05 * worst[1] + 0.25 * worst[0]
    assert told["weighted"] == pytest.approx(expected)
    assert told["namespaces"]["public"] == 1.0
    assert told["worst_10_s_from"] == 0


def test_traffic_beyond_a_share_is_worth_a_twentieth_and_not_held_against_the_namespace() -> None:
    burst = Disturbance(kind="burst", at_s=0, for_s=30, share=Range(3, 3))
    plan = make_plan(changed(disturbances=(burst,)), 7)
    over = [operation for operation in plan.operations if operation.over]
    assert len(over) > len(plan.operations) / 3
    count = RequestCounts(plan)
    count.served_after = {over[0].number: 0.1}
    cls = next(cls for cls in CALM.classes if cls.name == over[0].request_class)
    assert count.worth(over[0]) == pytest.approx((cls.worth * 0.05, cls.worth * 0.05))
    within = {operation.number: 0.1 for operation in plan.operations if not operation.over}
    assert counted(plan, within)["namespaces"] == {"public": 1.0, "municipal": 1.0}


def test_tries_that_are_not_accounted_for_are_told() -> None:
    plan = make_plan(CALM, 7)
    count, operation = RequestCounts(plan), plan.operations[0]
    count.record_start(operation, "r0")
    assert count.balance() == [f"{operation.namespace} {operation.request_class}: asked 1, accounted for 0"]
    count.record_end(operation, "r0", "served")
    assert count.balance() == []
