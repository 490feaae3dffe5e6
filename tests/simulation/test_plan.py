"""The draws of a plan from its seed, and the service computed from the counted requests."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import msgspec
import pytest

from pebblepass.simulation.plan import BURST_KEY, Plan, Streams, make_plan
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.scenario import Disturbance, Fault, Range, Scenario, Traffic

UNDISTURBED = Scenario(title="undisturbed", length_s=30, traffic=Traffic(rate=100, swing=0))


def with_changes(**changes: Any) -> Scenario:
    return msgspec.structs.replace(UNDISTURBED, **changes)


def test_plan_digest_depends_on_seed() -> None:
    assert make_plan(UNDISTURBED, 7).digest() == make_plan(UNDISTURBED, 7).digest()
    assert make_plan(UNDISTURBED, 7).digest() != make_plan(UNDISTURBED, 8).digest()


def test_added_fault_does_not_change_other_draws() -> None:
    with_fault = with_changes(faults=(Fault(kind="node-kill", at_s=3),))
    plan, other = make_plan(UNDISTURBED, 7), make_plan(with_fault, 7)
    assert (plan.operations, plan.nodes, plan.store) == (other.operations, other.nodes, other.store)


def test_stream_depends_on_seed_and_name_only() -> None:
    streams = Streams(3)
    streams.of("other").random()
    assert streams.of("a").random() == Streams(3).of("a").random() == random.Random("3/a").random()


def test_operations_follow_rate_and_shares_of_scenario() -> None:
    operations = make_plan(with_changes(length_s=100), 5).operations
    assert len(operations) == pytest.approx(10_000, rel=0.05)
    classes = Counter(operation.request_class for operation in operations)
    assert classes["fetch"] / len(operations) == pytest.approx(0.97, abs=0.01)
    assert Counter(operation.namespace for operation in operations)["public"] / len(
        operations
    ) == pytest.approx(0.63, abs=0.03)
    assert min(Counter(operation.router for operation in operations).values()) > len(operations) / 4


def test_burst_adds_reads_of_one_new_package() -> None:
    burst = Disturbance(kind="burst", at_s=10, for_s=10, share=Range(0.5, 0.5))
    operations = make_plan(with_changes(disturbances=(burst,)), 7).operations
    new = [operation for operation in operations if operation.key == BURST_KEY]
    assert all(10 <= operation.at < 20 and operation.request_class == "fetch" for operation in new)
    assert len(new) == pytest.approx(500, rel=0.2)
    assert len(operations) == pytest.approx(3500, rel=0.1)


def test_one_time_reads_replace_other_reads() -> None:
    once = Disturbance(kind="one-time", at_s=10, for_s=10, share=Range(0.2, 0.2))
    operations = make_plan(with_changes(disturbances=(once,)), 7).operations
    keys = Counter(operation.key for operation in operations if operation.key.startswith("once/"))
    assert set(keys.values()) == {1}
    assert len(keys) == pytest.approx(194, rel=0.25)
    assert len(operations) == len(make_plan(UNDISTURBED, 7).operations)


def test_skew_sends_its_share_to_one_router_while_it_lasts() -> None:
    skew = Disturbance(kind="skew", at_s=10, for_s=10, share=Range(0.25, 0.25))
    operations = [
        operation
        for operation in make_plan(with_changes(disturbances=(skew,)), 7).operations
        if 10 <= operation.at < 20
    ]
    most = max(Counter(operation.router for operation in operations).values())
    assert most / len(operations) == pytest.approx(0.25 + 0.75 / 3, abs=0.06)


def test_faults_without_place_hit_different_nodes() -> None:
    faults = tuple(Fault(kind="node-slow", at_s=i) for i in range(12))
    node_indexes = [event.place for event in make_plan(with_changes(faults=faults), 7).fault_events]
    assert sorted(node_indexes) == list(range(12))


def test_popular_keys_give_an_lru_cache_the_drawn_hit_rate() -> None:
    """Compares Che's approximation with a simulated LRU cache."""
    plan = make_plan(
        with_changes(length_s=600, traffic=Traffic(rate=100, swing=0, pooled_hits=Range(0.8, 0.8))), 7
    )
    cache: dict[str, None] = {}
    hits, reads = 0, 0
    for index, operation in enumerate(plan.operations):
        if index > len(plan.operations) // 2:
            reads += 1
            hits += operation.key in cache
        cache.pop(operation.key, None)
        cache[operation.key] = None
        if len(cache) > len(plan.popular):
            cache.pop(next(iter(cache)))
    assert hits / reads == pytest.approx(0.8, abs=0.03)


def service_of(plan: Plan, served: dict[int, float]) -> dict[str, Any]:
    count = RequestCounts(plan)
    count.served_after = served
    return count.service()


def test_service_is_earned_worth_over_total_worth() -> None:
    plan = make_plan(UNDISTURBED, 7)
    assert service_of(plan, {})["weighted"] == 0
    assert service_of(plan, {operation.number: 0.1 for operation in plan.operations})[
        "weighted"
    ] == pytest.approx(1.0)
    late = {
        operation.number: 0.31 if operation.request_class == "fetch" else 0.1 for operation in plan.operations
    }
    assert service_of(plan, late)["classes"]["fetch"] == pytest.approx(0.25)
    too_late = {operation.number: 1.21 for operation in plan.operations}
    assert service_of(plan, too_late)["whole"] == 0


def test_weighted_service_uses_the_documented_weights() -> None:
    plan = make_plan(UNDISTURBED, 7)
    service = service_of(
        plan,
        {
            operation.number: 0.1
            for operation in plan.operations
            if operation.namespace == "public" or operation.at >= 10
        },
    )
    worst = min(service["namespaces"].values()), min(service["classes"].values())
    expected = 0.55 * service["whole"] + 0.15 * service["worst_10_s"] + 0.05 * worst[1] + 0.25 * worst[0]
    assert service["weighted"] == pytest.approx(expected)
    assert service["namespaces"]["public"] == 1.0
    assert service["worst_10_s_from"] == 0


def test_traffic_beyond_quota_earns_5_percent_outside_namespace_service() -> None:
    burst = Disturbance(kind="burst", at_s=0, for_s=30, share=Range(3, 3))
    plan = make_plan(with_changes(disturbances=(burst,)), 7)
    over = [operation for operation in plan.operations if operation.over]
    assert len(over) > len(plan.operations) / 3
    count = RequestCounts(plan)
    count.served_after = {over[0].number: 0.1}
    cls = next(cls for cls in UNDISTURBED.classes if cls.name == over[0].request_class)
    assert count.worth(over[0]) == pytest.approx((cls.worth * 0.05, cls.worth * 0.05))
    within = {operation.number: 0.1 for operation in plan.operations if not operation.over}
    assert service_of(plan, within)["namespaces"] == {"public": 1.0, "municipal": 1.0}


def test_request_without_outcome_is_reported() -> None:
    plan = make_plan(UNDISTURBED, 7)
    count, operation = RequestCounts(plan), plan.operations[0]
    count.record_start(operation, "r0")
    assert count.balance() == [f"{operation.namespace} {operation.request_class}: asked 1, accounted for 0"]
    count.record_end(operation, "r0", "served")
    assert count.balance() == []
