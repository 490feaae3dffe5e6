"""Simulations of the decision module against known splits and bounds, and against broken variants."""

from __future__ import annotations

import pytest

from pebblepass.scale.decisions import (
    PAIR_REQUESTS_PER_S,
    AdmittedFlow,
    Demand,
    Fault,
    FaultRun,
    PurgedFleet,
    Split,
    even_parts,
    list_cost,
    measure_growth,
    play,
    play_outage,
    size_of,
)

WINDOW_S = 5  # the window over which the quota is checked


def keeps_quota(flow: AdmittedFlow) -> bool:
    """Whether no window exceeds 1.5 times its part of the quota, and the mean rate 1.1 times the quota.

    1.5 is the hard limit of a window. One call per router is allowed on top, as each router rounds up.
    """
    tolerance = flow.demand.routers / (flow.demand.quota * WINDOW_S)
    return flow.most(WINDOW_S) <= 1.5 + tolerance and flow.rate() <= 1.1 + tolerance


def test_one_router_under_the_quota_is_admitted_fully() -> None:
    assert play(Demand(40, 1)).share() == 1.0


def test_even_routers_with_many_calls_are_admitted_almost_fully() -> None:
    assert play(Demand(400, 12)).share() > 0.99


def test_flow_depends_only_on_demand_and_seed() -> None:
    demand = Demand(40, 12, 0.7, seconds=12)
    assert play(demand) == play(demand)
    assert play(demand) != play(Demand(40, 12, 0.7, seconds=12, seed=2))


def test_demand_has_the_requested_rate_and_spread() -> None:
    demand = Demand(400, 40, 1.2)
    flow = play(demand)
    assert sum(flow.asked) / demand.seconds == pytest.approx(320, rel=0.05)
    assert sum(demand.weights()) == pytest.approx(1.0)
    assert max(demand.weights()) > 4 / 40
    assert set(Demand(400, 40).weights()) == {1 / 40}


@pytest.mark.parametrize("spread", [0.7, 1.2])
def test_uneven_routers_are_limited_by_even_split_only(
    spread: float,
) -> None:
    demand = Demand(200, 12, spread, seconds=15)
    module, clairvoyant = play(demand), play(demand, Split.CLAIRVOYANT)
    assert module.share() <= even_parts(demand) + 0.02
    assert module.share() < 0.9
    assert clairvoyant.share() > 0.97
    assert play(demand, Split.ONE_COUNTER).share() > 0.97


@pytest.mark.parametrize("split", [Split.MODULE, Split.CLAIRVOYANT, Split.ONE_COUNTER])
@pytest.mark.parametrize("spread", [0.0, 1.2])
def test_demand_of_three_quotas_stays_within_the_quota(split: Split, spread: float) -> None:
    assert keeps_quota(play(Demand(40, 12, spread, asked=3.0, seconds=15), split))


@pytest.mark.parametrize("spread", [0.0, 1.2])
def test_unshared_quota_is_detected(spread: float) -> None:
    flow = play(Demand(40, 12, spread, asked=3.0, seconds=15), Split.UNSHARED)
    assert not keeps_quota(flow)
    assert flow.rate() > 1.5


def test_excess_in_a_single_window_is_detected() -> None:
    demand = Demand(40, 1, seconds=20)
    assert keeps_quota(AdmittedFlow(demand, [40] * 20, [40] * 20))
    assert not keeps_quota(AdmittedFlow(demand, [90] * 20, [40] * 12 + [90] * 5 + [0] * 3))


@pytest.mark.parametrize(
    ("fault", "noticed", "harms"),
    [
        (Fault.SILENT, True, True),
        (Fault.SLOW, True, True),
        (Fault.FAILING, False, False),
        (Fault.GONE, True, False),
    ],
)
def test_faulty_server_is_avoided_where_its_fault_harms(fault: Fault, noticed: bool, harms: bool) -> None:
    result = FaultRun(6, PAIR_REQUESTS_PER_S, fault, 1).play()
    assert (result.noticed_s is not None) == noticed
    assert (result.harmed > 0) == harms
    assert result.attempts > 0
    if noticed:
        assert result.noticed_s is not None
        assert result.noticed_s < 2.0
        assert result.attempts < PAIR_REQUESTS_PER_S * 30


def test_new_keys_use_no_more_memory_once_every_slot_is_ranked() -> None:
    few, many = measure_growth((3_000, 9_000), 3, 2, missing=0.05, a_second=914, every_slot=True)
    assert many.slots_bytes == few.slots_bytes
    assert many.requests_bytes == few.requests_bytes
    assert many.heat_bytes <= few.heat_bytes * 1.5  # request counts per slot, halved periodically
    assert many.module_bytes <= few.module_bytes * 1.05


def test_size_of_counts_shared_objects_once_and_sees_growth() -> None:
    part = [bytes(1000)]
    assert size_of([part, part]) < size_of([[bytes(1000)], [bytes(1001)]])
    growing: dict[str, bytes] = {}
    before = size_of(growing)
    growing["key"] = bytes(10_000)
    assert size_of(growing) > before + 10_000


def test_list_size_is_proportional_to_servers() -> None:
    few, many = list_cost(12, rounds=1, slots=16), list_cost(120, rounds=1, slots=16)
    assert many.bytes == pytest.approx(few.bytes * 121 / 13, rel=0.02)
    assert min(many.read_us, many.taken_us, many.change_us) > 0


def test_calls_after_outage_are_spread_and_every_router_calls() -> None:
    calls = play_outage(40, 8)
    assert sum(calls.a_second[8:]) == 40  # each router calls once, and its watch continues
    assert calls.most_after < 40
    assert sum(calls.a_second[:8]) < 40 * 8


def test_no_stale_read_if_overtaken_fetches_are_dropped() -> None:
    result = PurgedFleet(3, keys=5, kept=False, seed=1).play(4, reads_a_second=300, purges_a_second=60)
    assert result.overtaken > 10
    assert result.waited > 10
    assert result.stale_after_wait == result.stale_else == 0


def test_kept_overtaken_fetches_cause_stale_reads() -> None:
    result = PurgedFleet(3, keys=5, kept=True, seed=1).play(4, reads_a_second=300, purges_a_second=60)
    assert result.stale_after_wait > 0
    assert result.stale_else > 0
