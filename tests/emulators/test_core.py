"""The model of one core: what it does with the work it is given, and what pushes it over while it is cold."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies

from pebblepass.emulators.core import ColdBudget, Core, CoreParameters

PLAIN = CoreParameters(speed=1.0, slots=2, queue=2)


def ends(core: Core[str], until: float) -> list[tuple[float, str]]:
    """Run a core by its own events, as an event loop does."""
    log: list[tuple[float, str]] = []
    while (due := core.next_event()) is not None and due <= until:
        log += [(round(due, 6), job) for job in core.advance(due)]
    core.advance(until)
    return log


def test_requests_in_service_share_the_core() -> None:
    core: Core[str] = Core(PLAIN, 0.0)
    assert core.offer(0.0, "a", 1.0)
    assert core.offer(0.0, "b", 1.5)
    assert ends(core, 10) == [(2.0, "a"), (2.5, "b")]


def test_requests_of_a_store_do_not_share() -> None:
    core: Core[str] = Core(replace(PLAIN, shared=False), 0.0)
    core.offer(0.0, "a", 1.0)
    core.offer(0.0, "b", 1.5)
    assert ends(core, 10) == [(1.0, "a"), (1.5, "b")]


def test_more_wait_in_a_bounded_queue_and_the_rest_is_turned_away() -> None:
    core: Core[str] = Core(PLAIN, 0.0)
    assert [core.offer(0.0, name, 1.0) for name in "abcde"] == [True, True, True, True, False]
    assert (core.request_count, core.queue_length) == (4, 2)
    assert [job for _, job in ends(core, 10)] == ["a", "b", "c", "d"]


def test_a_core_that_holds_too_many_loses_speed() -> None:
    crowded: Core[str] = Core(replace(PLAIN, slots=4, thrash_at=2, thrash=0.5), 0.0)
    for name in "abcd":
        crowded.offer(0.0, name, 1.0)
    calm: Core[str] = Core(replace(PLAIN, slots=4), 0.0)
    for name in "abcd":
        calm.offer(0.0, name, 1.0)
    assert ends(calm, 100)[-1][0] == pytest.approx(4.0)
    assert ends(crowded, 100)[-1][0] == pytest.approx(8.0)  # 1 + 0.5 x the two too many


def test_nothing_runs_in_a_pause() -> None:
    core: Core[str] = Core(replace(PLAIN, pause_every=1.0, pause=0.25), 0.0)
    core.offer(0.0, "a", 1.5)
    assert ends(core, 10) == [(1.75, "a")]


def test_a_cold_core_warms_up() -> None:
    facts = replace(PLAIN, cold_capacity=0.5, warm_up_time=2.0)
    core: Core[str] = Core(facts, 100.0, cold=True)
    assert core.warmth(100.0) == 0.5
    assert core.warmth(101.0) == pytest.approx(0.75)
    assert core.warmth(102.0) == 1.0
    core.offer(100.0, "a", 1.46875)  # what the steps of two seconds come to
    assert ends(core, 200) == [(102.0, "a")]


def test_slow_is_slow_from_the_moment_it_is_said() -> None:
    core: Core[str] = Core(PLAIN, 0.0)
    core.offer(0.0, "a", 1.0)
    core.advance(0.5)
    core.speed_factor = 0.25
    assert ends(core, 10) == [(2.5, "a")]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 5), strategies.floats(0.001, 2)), min_size=1, max_size=30
    ),
    strategies.integers(1, 6),
    strategies.booleans(),
    strategies.floats(0.01, 0.9),
)
def test_no_work_is_lost_or_done_twice(
    offers: list[tuple[float, float]], slots: int, cold: bool, pause: float
) -> None:
    facts = CoreParameters(
        speed=0.9,
        slots=slots,
        queue=100,
        thrash_at=3,
        thrash=0.1,
        pause_every=1.0,
        pause=pause,
        cold_capacity=0.4,
        warm_up_time=3.0,
    )
    core: Core[str] = Core(facts, 0.0, cold)
    log: list[tuple[float, str]] = []
    for number, (at, work) in enumerate(sorted(offers)):
        log += ends(core, at)
        assert core.offer(at, str(number), work)
    log += ends(core, 10_000.0)
    assert sorted(int(job) for _, job in log) == list(range(len(offers)))
    assert core.request_count == 0
    total = sum(work for _, work in offers)
    assert core.busy_s >= total / facts.speed - 1e-6  # never faster than its speed
    assert [at for at, _ in log] == sorted(at for at, _ in log)


def budget(cold_time: float = 8.0) -> ColdBudget:
    facts = CoreParameters(speed=1.0, slots=4, queue=10, cold_capacity=0.5, warm_up_time=cold_time)
    return ColdBudget(facts, 0.0, 4.0, 2.0)


def test_a_cold_core_takes_four_times_what_it_can_do_and_no_more() -> None:
    held = budget()
    assert held.add_work(0.0, 4.0, informed=True) is None
    assert held.add_work(0.0, 0.4, informed=True) is None  # the slack for chance
    assert held.add_work(0.0, 0.2, informed=True) == pytest.approx(1.0)


def test_what_was_sent_by_routers_that_did_not_know_is_told_apart() -> None:
    held = budget()
    assert held.add_work(0.0, 3.0, informed=False) is None
    assert held.add_work(0.1, 3.0, informed=True) == pytest.approx(0.5)


def test_what_was_sent_longer_ago_than_the_window_does_not_count() -> None:
    held = budget()
    assert held.add_work(0.0, 4.4, informed=True) is None
    assert held.add_work(2.1, 4.4, informed=True) is None


def test_a_warm_core_is_never_pushed_over() -> None:
    held = budget(cold_time=1.0)
    assert held.add_work(3.1, 1000.0, informed=True) is None
