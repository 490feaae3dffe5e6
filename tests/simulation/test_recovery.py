"""Where service goes: what a fetch was good for, when service is back, and what the report says of it."""

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
    title="void",
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


def test_each_fetch_is_told_by_what_it_was_good_for(plan: Plan) -> None:
    count, recorder = RequestCounts(plan), Recorder(plan)
    reads = [operation for operation in plan.operations if operation.request_class == "fetch"][:4]
    for place, operation in enumerate(reads):
        recorder.record_request(f"q{place}", operation, "")
    sample(recorder)
    recorder.record_fetch(0.5, "q0", "a", ["s0"], held_elsewhere=False)
    recorder.record_fetch(0.5, "q1", "b", ["s0"], held_elsewhere=False)
    recorder.record_fetch(0.5, "q2", "c", ["s0"], held_elsewhere=False)
    recorder.record_fetch(0.5, "q3", "a", ["s1"], held_elsewhere=True)
    recorder.record_read("a", "s0")
    recorder.record_read("b", "s1")  # no copy of this fetch's
    recorder.record_read("a", "s1")  # read, but another node had it
    count.served_after[reads[1].number] = 0.1
    count.served_after[reads[2].number] = 9.0
    sample(recorder, fetches=4)
    told = recorder.report(count)
    assert told["fetches"] == {"read": [0, 1], "unread": [0, 1], "late": [0, 1], "again": [0, 1]}
    assert told["fetches_wasted"] == 0.5


def test_a_copy_fetched_anew_is_another_fetchs_copy(plan: Plan) -> None:
    recorder = Recorder(plan)
    sample(recorder)
    recorder.record_fetch(0.1, "q", "a", ["s0"], held_elsewhere=False)
    recorder.record_fetch(0.2, "q", "a", ["s0"], held_elsewhere=False)
    recorder.record_read("a", "s0")
    sample(recorder, fetches=2)
    assert recorder.report(RequestCounts(plan))["fetches"] == {
        "read": [0, 1],
        "unread": [0, 0],
        "late": [0, 1],
        "again": [0, 0],
    }


def test_the_store_is_held_against_its_capacity_only_while_reads_are_refused_for_the_limit(
    plan: Plan,
) -> None:
    recorder = Recorder(plan)
    sample(recorder)
    sample(recorder, fetches=2, writes=1, limit=1, shed=4)
    sample(recorder, fetches=9, writes=1, limit=1, shed=9)
    sample(recorder, fetches=10, writes=3, limit=3, shed=9)
    told = recorder.report(RequestCounts(plan))
    assert told["refused"] == {"limit": [0, 1, 0, 2], "shed": [0, 4, 5, 0]}
    assert told["seconds_short"] == 2
    assert told["store_used"] == pytest.approx((3 + 3) / 2 / told["capacity"])
    assert told["limit"] == [3.0] * 4
    assert told["held"] == [1.0] * 4


def test_a_router_that_is_killed_takes_its_totals_with_it(plan: Plan) -> None:
    recorder = Recorder(plan)
    for limit in (5, 0, 2):
        sample(recorder, limit=limit)
    assert recorder.report(RequestCounts(plan))["refused"] == {"limit": [5, 0, 2]}


def rows(*services: float) -> list[tuple[float, float]]:
    return [(10.0, 10.0 * service) for service in services]


@pytest.mark.parametrize(
    ("services", "back"),
    [
        ([1.0] * 20, 0.0),
        ([1.0] * 5 + [0.0] * 5 + [1.0] * 10, 5.0),  # from second 10 on all is well
        ([1.0] * 5 + [0.0] * 5 + [0.97] * 10, 5.0),
        ([1.0] * 5 + [0.5] * 15, None),
        ([1.0] * 5 + [0.0] * 2 + [1.0] * 8 + [0.0] + [1.0] * 4, None),  # the last five seconds hold a dip
        ([1.0] * 5 + [0.0] * 2 + [1.0] * 3 + [0.0] + [1.0] * 9, 6.0),  # a dip in between: back behind it
    ],
)
def test_service_is_back_when_it_stays_so(services: list[float], back: float | None) -> None:
    assert time_to_recover(rows(*services), rows(*[1.0] * 20), 5.0) == back


def test_back_is_measured_by_the_calm_twin_and_not_by_what_is_asked() -> None:
    assert time_to_recover(rows(*[0.8] * 20), rows(*[0.82] * 20), 5.0) == 0.0
    assert time_to_recover(rows(*[0.8] * 20), rows(*[0.9] * 20), 5.0) is None


def test_the_calm_twin_asks_the_same_and_nothing_goes_wrong() -> None:
    scenario = load_scenario("release-morning")
    twin = without_faults(scenario)
    assert (twin.disturbances, twin.faults) == ((), ())
    assert twin.traffic == scenario.traffic
    assert make_plan(twin, 7).fault_events == ()


def test_a_report_tells_of_the_recovery_and_its_page_shows_it(plan: Plan) -> None:
    report, twin = rehearse(plan), rehearse(make_plan(without_faults(SMALL), 5))
    told = report["recovery"]
    assert sum(map(sum, told["fetches"].values())) == report["store"]["fetches"]
    tries = sum(sum(row) for row in told["tries"].values())
    assert tries == sum(tally["asked"] for tally in report["routers"].values())
    assert sum(map(sum, told["refused"].values())) == sum(
        tally["refused"] for tally in report["routers"].values()
    )
    # Second 4's sample and the trouble are due at one instant: which comes first is nobody's promise.
    before, after = min(told["held"][:4]), min(told["held"])
    assert before > 0.9
    assert after < 0.6
    beside = compare_to_references(report, twin, plan, clairvoyant_bound(plan))
    assert beside["trouble_at"] == 4.0
    assert beside["calm_service"] > report["service"]["whole"]
    assert 0 < beside["share_of_bound"] <= 1.0
    told |= beside
    page = as_page(report)
    assert "Recovery" in page
    assert "share of the bound" in page
