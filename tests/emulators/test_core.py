"""The core model: service times, pauses and warm-up, and the work that overloads a cold core."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies

from pebblepass.emulators.core import ColdBudget, Core, CoreParameters

PLAIN = CoreParameters(speed=1.0, slots=2, queue=2)


def finish_times(core: Core[str], until: float) -> list[tuple[float, str]]:
    """Advance a core event by event, as an event loop does; returns when each job finished."""
    finished: list[tuple[float, str]] = []
    while (due := core.next_event()) is not None and due <= until:
        finished += [(round(due, 6), job) for job in core.advance(due)]
    core.advance(until)
    return finished


def test_requests_in_service_share_the_core() -> None:
    core: Core[str] = Core(PLAIN, 0.0)
    assert core.offer(0.0, "a", 1.0)
    assert core.offer(0.0, "b", 1.5)
    assert finish_times(core, 10) == [(2.0, "a"), (2.5, "b")]


def test_unshared_core_runs_each_request_at_full_speed() -> None:
    core: Core[str] = Core(replace(PLAIN, shared=False), 0.0)
    core.offer(0.0, "a", 1.0)
    core.offer(0.0, "b", 1.5)
    assert finish_times(core, 10) == [(1.0, "a"), (1.5, "b")]


def test_excess_requests_queue_and_are_rejected_when_queue_is_full() -> None:
    core: Core[str] = Core(PLAIN, 0.0)
    assert [core.offer(0.0, name, 1.0) for name in "abcde"] == [True, True, True, True, False]
    assert (core.request_count, core.queue_length) == (4, 2)
    assert [job for _, job in finish_times(core, 10)] == ["a", "b", "c", "d"]


def test_core_with_too_many_requests_slows_down() -> None:
    crowded: Core[str] = Core(replace(PLAIN, slots=4, thrash_at=2, thrash=0.5), 0.0)
    for name in "abcd":
        crowded.offer(0.0, name, 1.0)
    calm: Core[str] = Core(replace(PLAIN, slots=4), 0.0)
    for name in "abcd":
        calm.offer(0.0, name, 1.0)
    assert finish_times(calm, 100)[-1][0] == pytest.approx(4.0)
    assert finish_times(crowded, 100)[-1][0] == pytest.approx(8.0)  # 1 + 0.5 x the two too many


def test_no_request_progresses_during_a_pause() -> None:
    core: Core[str] = Core(replace(PLAIN, pause_every=1.0, pause=0.25), 0.0)
    core.offer(0.0, "a", 1.5)
    assert finish_times(core, 10) == [(1.75, "a")]


def test_cold_core_warms_up() -> None:
    facts = replace(PLAIN, cold_capacity=0.5, warm_up_time=2.0)
    core: Core[str] = Core(facts, 100.0, cold=True)
    assert core.warmth(100.0) == 0.5
    assert core.warmth(101.0) == pytest.approx(0.75)
    assert core.warmth(102.0) == 1.0
    core.offer(100.0, "a", 1.46875)  # the work done in the warm-up steps of two seconds
    assert finish_times(core, 200) == [(102.0, "a")]


def test_speed_factor_applies_from_the_time_it_is_set() -> None:
    core: Core[str] = Core(PLAIN, 0.0)
    core.offer(0.0, "a", 1.0)
    core.advance(0.5)
    core.speed_factor = 0.25
    assert finish_times(core, 10) == [(2.5, "a")]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 5), strategies.floats(0.001, 2)), min_size=1, max_size=30
    ),
    strategies.integers(1, 6),
    strategies.booleans(),
    strategies.floats(0.01, 0.9),
)
def test_every_request_finishes_exactly_once(
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
    finished: list[tuple[float, str]] = []
    for number, (at, work) in enumerate(sorted(offers)):
        finished += finish_times(core, at)
        assert core.offer(at, str(number), work)
    finished += finish_times(core, 10_000.0)
    assert sorted(int(job) for _, job in finished) == list(range(len(offers)))
    assert core.request_count == 0
    total = sum(work for _, work in offers)
    assert core.busy_s >= total / facts.speed - 1e-6  # never faster than the core's speed
    assert [at for at, _ in finished] == sorted(at for at, _ in finished)


def make_budget(cold_time: float = 8.0) -> ColdBudget:
    facts = CoreParameters(speed=1.0, slots=4, queue=10, cold_capacity=0.5, warm_up_time=cold_time)
    return ColdBudget(facts, 0.0, 4.0, 2.0)


def test_cold_core_takes_four_times_its_capacity_and_no_more() -> None:
    cold_budget = make_budget()
    assert cold_budget.add_work(0.0, 4.0, informed=True) is None
    assert cold_budget.add_work(0.0, 0.4, informed=True) is None  # within the slack for random variation
    assert cold_budget.add_work(0.0, 0.2, informed=True) == pytest.approx(1.0)


def test_overload_reports_share_of_work_from_informed_senders() -> None:
    cold_budget = make_budget()
    assert cold_budget.add_work(0.0, 3.0, informed=False) is None
    assert cold_budget.add_work(0.1, 3.0, informed=True) == pytest.approx(0.5)


def test_work_older_than_the_window_does_not_count() -> None:
    cold_budget = make_budget()
    assert cold_budget.add_work(0.0, 4.4, informed=True) is None
    assert cold_budget.add_work(2.1, 4.4, informed=True) is None


def test_warm_core_is_never_overloaded() -> None:
    cold_budget = make_budget(cold_time=1.0)
    assert cold_budget.add_work(3.1, 1000.0, informed=True) is None
