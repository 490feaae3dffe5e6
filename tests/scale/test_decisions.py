"""Whether the rig tells right from wrong: known splits, known bounds, and variants that are broken."""

from __future__ import annotations

import pytest

from pebblepass.scale.decisions import (
    PAIR_A_SECOND,
    Demand,
    Fault,
    Flow,
    PurgedFleet,
    Site,
    Split,
    even_parts,
    hold,
    list_cost,
    outage,
    play,
    size_of,
)

WINDOW_S = 5  # of a limit of some calls a second


def keeps_quota(flow: Flow) -> bool:
    """Whether no window holds more than the quota's part, half as much again, and a call of each router's.

    Half as much again is what a window may hold by the paper's hard limit; what is rounded up is one call.
    """
    slack = flow.demand.routers / (flow.demand.quota * WINDOW_S)
    return flow.most(WINDOW_S) <= 1.5 + slack and flow.rate() <= 1.1 + slack


def test_one_router_is_let_have_all_that_it_asks_for_under_the_quota() -> None:
    assert play(Demand(40, 1)).share() == 1.0


def test_even_routers_that_have_many_calls_each_are_let_have_all() -> None:
    assert play(Demand(400, 12)).share() > 0.99


def test_the_same_demand_gives_the_same_flow_and_another_seed_another() -> None:
    demand = Demand(40, 12, 0.7, seconds=12)
    assert play(demand) == play(demand)
    assert play(demand) != play(Demand(40, 12, 0.7, seconds=12, seed=2))


def test_demand_is_what_was_said_and_its_parts_are_the_spread() -> None:
    demand = Demand(400, 40, 1.2)
    flow = play(demand)
    assert sum(flow.asked) / demand.seconds == pytest.approx(320, rel=0.05)
    assert sum(demand.weights()) == pytest.approx(1.0)
    assert max(demand.weights()) > 4 / 40
    assert set(Demand(400, 40).weights()) == {1 / 40}


@pytest.mark.parametrize("spread", [0.7, 1.2])
def test_uneven_routers_get_no_more_than_even_parts_let_through_and_a_true_split_nearly_all(
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
def test_three_times_the_quota_never_passes_it_but_for_one_windows_slack(split: Split, spread: float) -> None:
    assert keeps_quota(play(Demand(40, 12, spread, asked=3.0, seconds=15), split))


@pytest.mark.parametrize("spread", [0.0, 1.2])
def test_limits_that_routers_do_not_share_are_caught(spread: float) -> None:
    flow = play(Demand(40, 12, spread, asked=3.0, seconds=15), Split.UNSHARED)
    assert not keeps_quota(flow)
    assert flow.rate() > 1.5


def test_a_flow_that_goes_over_in_one_window_only_is_caught() -> None:
    demand = Demand(40, 1, seconds=20)
    assert keeps_quota(Flow(demand, [40] * 20, [40] * 20))
    assert not keeps_quota(Flow(demand, [90] * 20, [40] * 12 + [90] * 5 + [0] * 3))


@pytest.mark.parametrize(
    ("fault", "noticed", "harms"),
    [
        (Fault.SILENT, True, True),
        (Fault.SLOW, True, True),
        (Fault.FAILING, False, False),
        (Fault.GONE, True, False),
    ],
)
def test_a_server_that_goes_bad_is_passed_by_where_its_fault_harms(
    fault: Fault, noticed: bool, harms: bool
) -> None:
    learned = Site(6, PAIR_A_SECOND, fault, 1).learn()
    assert (learned.noticed_s is not None) == noticed
    assert (learned.harmed > 0) == harms
    assert learned.attempts > 0
    if noticed:
        assert learned.noticed_s is not None
        assert learned.noticed_s < 2.0
        assert learned.attempts < PAIR_A_SECOND * 30


def test_keys_that_are_ever_new_leave_nothing_once_every_slot_was_seen() -> None:
    few, many = hold((3_000, 9_000), 3, 2, missing=0.05, a_second=914, every_slot=True)
    assert many.slots_bytes == few.slots_bytes
    assert many.requests_bytes == few.requests_bytes
    assert (
        many.heat_bytes <= few.heat_bytes * 1.5
    )  # counts of the last thousand requests, halved now and then
    assert many.module_bytes <= few.module_bytes * 1.05


def test_what_is_held_twice_is_counted_once_and_what_grows_is_seen() -> None:
    part = [bytes(1000)]
    assert size_of([part, part]) < size_of([[bytes(1000)], [bytes(1001)]])
    held: dict[str, bytes] = {}
    before = size_of(held)
    held["key"] = bytes(10_000)
    assert size_of(held) > before + 10_000


def test_the_list_of_ten_times_the_servers_has_ten_times_the_bytes() -> None:
    few, many = list_cost(12, rounds=1, slots=16), list_cost(120, rounds=1, slots=16)
    assert many.bytes == pytest.approx(few.bytes * 121 / 13, rel=0.02)
    assert min(many.read_us, many.taken_us, many.change_us) > 0


def test_calls_after_an_outage_are_spread_and_none_is_forgotten() -> None:
    calls = outage(40, 8)
    assert sum(calls.a_second[8:]) == 40  # each router asks once more, and its watch goes on
    assert calls.most_after < 40
    assert sum(calls.a_second[:8]) < 40 * 8


def test_no_read_is_answered_with_what_was_purged_before_it_where_nobody_keeps_that() -> None:
    found = PurgedFleet(3, keys=5, kept=False, seed=1).play(4, reads_a_second=300, purges_a_second=60)
    assert found.overtaken > 10
    assert found.waited > 10
    assert found.stale_after_wait == found.stale_else == 0


def test_a_value_that_is_kept_after_its_purge_is_seen_by_reads_that_waited_and_by_others() -> None:
    found = PurgedFleet(3, keys=5, kept=True, seed=1).play(4, reads_a_second=300, purges_a_second=60)
    assert found.stale_after_wait > 0
    assert found.stale_else > 0
