"""Use of fetches, time to recover, and the part of the report on recovery."""

from __future__ import annotations

from collections import Counter

import pytest

from pebblepass.simulation.clairvoyant_bound import clairvoyant_bound
from pebblepass.simulation.page import as_page
from pebblepass.simulation.plan import Plan, make_plan
from pebblepass.simulation.recovery import (
    Recorder,
    RouterState,
    compare_to_references,
    time_to_recover,
    without_faults,
)
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.runner import rehearse
from pebblepass.simulation.scenario import Disturbance, Range, Scenario, Traffic, load_scenario

SMALL = Scenario(
    title="invalidation",
    length_s=16,
    traffic=Traffic(rate=50, keys=400),
    disturbances=(Disturbance(kind="invalidation", at_s=4, share=Range(0.7, 0.7)),),
)


@pytest.fixture(scope="module")
def plan() -> Plan:
    return make_plan(SMALL, 5)


def sample(recorder: Recorder, fetches: int = 0, writes: int = 0, **refused: int) -> None:
    states = [RouterState(Counter(refused), {"public": 2.0, "municipal": 1.0})]
    recorder.sample([recorder._working_set], fetches, writes, states)


def test_fetches_are_reported_by_use(plan: Plan) -> None:
    count, recorder = RequestCounts(plan), Recorder(plan)
    reads = [operation for operation in plan.operations if operation.request_class == "fetch"][:4]
    for index, operation in enumerate(reads):
        recorder.record_request(f"q{index}", operation, "")
    sample(recorder)
    recorder.record_fetch(0.5, "q0", "a", ["s0"], cached_elsewhere=False)
    recorder.record_fetch(0.5, "q1", "b", ["s0"], cached_elsewhere=False)
    recorder.record_fetch(0.5, "q2", "c", ["s0"], cached_elsewhere=False)
    recorder.record_fetch(0.5, "q3", "a", ["s1"], cached_elsewhere=True)
    recorder.record_read("a", "s0")
    recorder.record_read("b", "s1")  # not a copy of this fetch
    recorder.record_read("a", "s1")  # read, but another node already had a copy
    count.served_after[reads[1].number] = 0.1
    count.served_after[reads[2].number] = 9.0
    sample(recorder, fetches=4)
    recovery = recorder.report(count)
    assert recovery["fetches"] == {"read": [0, 1], "unread": [0, 1], "late": [0, 1], "again": [0, 1]}
    assert recovery["fetches_wasted"] == 0.5


def test_read_counts_for_the_last_fetch_of_a_copy(plan: Plan) -> None:
    recorder = Recorder(plan)
    sample(recorder)
    recorder.record_fetch(0.1, "q", "a", ["s0"], cached_elsewhere=False)
    recorder.record_fetch(0.2, "q", "a", ["s0"], cached_elsewhere=False)
    recorder.record_read("a", "s0")
    sample(recorder, fetches=2)
    assert recorder.report(RequestCounts(plan))["fetches"] == {
        "read": [0, 1],
        "unread": [0, 0],
        "late": [0, 1],
        "again": [0, 0],
    }


def test_store_utilisation_counts_seconds_with_refusals_by_limit_only(
    plan: Plan,
) -> None:
    recorder = Recorder(plan)
    sample(recorder)
    sample(recorder, fetches=2, writes=1, limit=1, shed=4)
    sample(recorder, fetches=9, writes=1, limit=1, shed=9)
    sample(recorder, fetches=10, writes=3, limit=3, shed=9)
    recovery = recorder.report(RequestCounts(plan))
    assert recovery["refused"] == {"limit": [0, 1, 0, 2], "shed": [0, 4, 5, 0]}
    assert recovery["seconds_short"] == 2
    assert recovery["store_used"] == pytest.approx((3 + 3) / 2 / recovery["capacity"])
    assert recovery["limit"] == [3.0] * 4
    assert recovery["held"] == [1.0] * 4


def test_killed_router_resets_its_totals_without_negative_rates(plan: Plan) -> None:
    recorder = Recorder(plan)
    for limit in (5, 0, 2):
        sample(recorder, limit=limit)
    assert recorder.report(RequestCounts(plan))["refused"] == {"limit": [5, 0, 2]}


def rows(*services: float) -> list[tuple[float, float]]:
    return [(10.0, 10.0 * service) for service in services]


@pytest.mark.parametrize(
    ("services", "recovered_after"),
    [
        ([1.0] * 20, 0.0),
        ([1.0] * 5 + [0.0] * 5 + [1.0] * 10, 5.0),  # full service from second 10 on
        ([1.0] * 5 + [0.0] * 5 + [0.97] * 10, 5.0),
        ([1.0] * 5 + [0.5] * 15, None),
        ([1.0] * 5 + [0.0] * 2 + [1.0] * 8 + [0.0] + [1.0] * 4, None),  # a dip in the last five seconds
        ([1.0] * 5 + [0.0] * 2 + [1.0] * 3 + [0.0] + [1.0] * 9, 6.0),  # recovered after the second dip
    ],
)
def test_time_to_recover_ends_when_service_stays_high(
    services: list[float], recovered_after: float | None
) -> None:
    assert time_to_recover(rows(*services), rows(*[1.0] * 20), 5.0) == recovered_after


def test_recovery_is_relative_to_the_calm_twin() -> None:
    assert time_to_recover(rows(*[0.8] * 20), rows(*[0.82] * 20), 5.0) == 0.0
    assert time_to_recover(rows(*[0.8] * 20), rows(*[0.9] * 20), 5.0) is None


def test_calm_twin_has_same_traffic_without_disturbances() -> None:
    scenario = load_scenario("release-morning")
    calm_twin = without_faults(scenario)
    assert (calm_twin.disturbances, calm_twin.faults) == ((), ())
    assert calm_twin.traffic == scenario.traffic
    assert make_plan(calm_twin, 7).fault_events == ()


def test_report_and_page_contain_recovery_figures(plan: Plan) -> None:
    report, calm_twin = rehearse(plan), rehearse(make_plan(without_faults(SMALL), 5))
    recovery = report["recovery"]
    assert sum(map(sum, recovery["fetches"].values())) == report["store"]["fetches"]
    tries = sum(sum(row) for row in recovery["tries"].values())
    assert tries == sum(tally["asked"] for tally in report["routers"].values())
    assert sum(map(sum, recovery["refused"].values())) == sum(
        tally["refused"] for tally in report["routers"].values()
    )
    # The sample of second 4 and the invalidation are due at the same time, in no particular order.
    held_before, held_after = min(recovery["held"][:4]), min(recovery["held"])
    assert held_before > 0.9
    assert held_after < 0.6
    comparison = compare_to_references(report, calm_twin, plan, clairvoyant_bound(plan))
    assert comparison["trouble_at"] == 4.0
    assert comparison["calm_service"] > report["service"]["whole"]
    assert 0 < comparison["share_of_bound"] <= 1.0
    recovery |= comparison
    page = as_page(report)
    assert "Recovery" in page
    assert "share of the bound" in page
