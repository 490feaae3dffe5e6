"""Outages of the network path to the origin: limits decreased by an outage are restored at its end."""

from __future__ import annotations

import pytest

from pebblepass.decisions import Action, Event, Outcome, Router, Send, SetTimer, TimerFired
from pebblepass.decisions.outage import OriginState, Outage
from tests.decisions.builders import MS, ORIGIN, S, Timeline, fleet, request, result_of, settings, started

OUTAGE_S = 6


FetchResult = tuple[Outcome, int]


class SimulatedRouter:
    """A router with empty caches, so that each read is fetched; 20 reads a second."""

    def __init__(self) -> None:
        self.router: Router = started(settings(), fleet(5))
        self.requested = self.fetched = 0
        self.timeline = Timeline[Event]()
        self.results: tuple[FetchResult, ...] = ()

    def run(self, start_s: int, seconds: int, *results: FetchResult) -> float:
        """Run with these fetch results in turn; return the number of fetches for each read."""
        self.results, self.fetched = results, 0
        for i in range(seconds * 20):
            now = start_s * S + i * S // 20
            self._run_until(now)
            self.requested += 1
            name = f"k{self.requested}"
            self._carry_out(self.router.handle(request(name, now, key=name), now), now)
        self._run_until((start_s + seconds) * S)
        return self.fetched / (seconds * 20)

    def _run_until(self, now: int) -> None:
        for due_at, event in self.timeline.pop_until(now):
            self._carry_out(self.router.handle(event, due_at), due_at)

    def _carry_out(self, actions: list[Action], now: int) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timeline.add(now + action.delay, TimerFired(action.token))
            elif isinstance(action, Send) and action.server == ORIGIN.id:
                outcome, latency = self.results[self.fetched % len(self.results)]
                self.fetched += 1
                self.timeline.add(now + latency, result_of(action, outcome, 1, latency=latency))
            elif isinstance(action, Send):
                self.timeline.add(now + 5 * MS, result_of(action, Outcome.MISS, latency=5 * MS))


GOOD = (Outcome.OK, 60 * MS)


@pytest.mark.parametrize("result", [(Outcome.TIMEOUT, 900 * MS), (Outcome.CONNECT_FAILED, 250 * MS)])
def test_limits_are_restored_within_two_seconds_after_an_outage(result: FetchResult) -> None:
    simulated = SimulatedRouter()
    assert simulated.run(0, 10, GOOD) == 1.0
    limits_before = simulated.router.limits()
    assert simulated.run(10, OUTAGE_S, result) < 0.3
    assert simulated.router.limits()["a"] < limits_before["a"] / 10
    simulated.run(10 + OUTAGE_S, 2, GOOD)
    assert simulated.router.limits() == limits_before
    assert simulated.run(12 + OUTAGE_S, 5, GOOD) == 1.0


def test_few_probes_are_sent_during_an_outage() -> None:
    simulated = SimulatedRouter()
    simulated.run(0, 10, GOOD)
    simulated.run(10, OUTAGE_S, (Outcome.TIMEOUT, 900 * MS))
    assert 8 <= simulated.run(20, 10, (Outcome.TIMEOUT, 900 * MS)) * 200 <= 20  # of 200 reads


@pytest.mark.parametrize(
    "results", [[(Outcome.ERROR, 60 * MS)], [(Outcome.TIMEOUT, 900 * MS)] * 2 + [(Outcome.OK, 600 * MS)]]
)
def test_limits_decreased_by_an_overloaded_origin_are_not_restored(results: list[FetchResult]) -> None:
    simulated = SimulatedRouter()
    simulated.run(0, 10, GOOD)
    limits_before = simulated.router.limits()
    simulated.run(10, 20, *results)
    assert simulated.router.limits()["a"] < limits_before["a"] / 2
    simulated.run(30, 1, GOOD)
    assert simulated.router.limits()["a"] < limits_before["a"] * 0.75


def state_of(write_limit: float) -> OriginState:
    return OriginState(write_limit, 1.0, 0.0, 0.0, 0.0, {})


def test_outage_is_three_unanswered_fetches_and_ends_with_a_fast_answer() -> None:
    outage = Outage()
    for _ in range(2):
        outage.record_unanswered(state_of(1.0))
    assert outage.record_answer(is_fast=True) is None
    for write_limit in (2.0, 3.0, 4.0):
        outage.record_unanswered(state_of(write_limit))
    assert outage.record_answer(is_fast=False) is None
    assert outage.record_answer(is_fast=True) is None  # a slow answer came first: the origin was overloaded
    for write_limit in (5.0, 6.0, 7.0):
        outage.record_unanswered(state_of(write_limit))
    assert outage.record_answer(is_fast=True) == state_of(5.0)
    assert outage.record_answer(is_fast=True) is None
