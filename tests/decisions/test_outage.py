"""Outages of the network path to the origin: limits decreased in one are restored at its end."""

from __future__ import annotations

import pytest

from pebblepass.decisions import Action, Event, Outcome, Router, Send, SetTimer, TimerFired
from pebblepass.decisions.outage import OriginState, Outage
from tests.decisions.builders import MS, ORIGIN, S, Timeline, fleet, request, result_of, settings, started

CUT_S = 6


Way = tuple[Outcome, int]


class Site:
    """A router whose caches hold nothing, so that each read is fetched; 20 reads a second."""

    def __init__(self) -> None:
        self.router: Router = started(settings(), fleet(5))
        self.requested = self.fetched = 0
        self.due = Timeline[Event]()
        self.how: tuple[Way, ...] = ()

    def play(self, begins: int, seconds: int, *how: Way) -> float:
        """Fetches end in these ways in turn, after so long; returns their number for each read."""
        self.how, self.fetched = how, 0
        for i in range(seconds * 20):
            now = begins * S + i * S // 20
            self._until(now)
            self.requested += 1
            name = f"k{self.requested}"
            self._carry_out(self.router.handle(request(name, now, key=name), now), now)
        self._until((begins + seconds) * S)
        return self.fetched / (seconds * 20)

    def _until(self, now: int) -> None:
        for then, event in self.due.until(now):
            self._carry_out(self.router.handle(event, then), then)

    def _carry_out(self, actions: list[Action], now: int) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.due.add(now + action.delay, TimerFired(action.token))
            elif isinstance(action, Send) and action.server == ORIGIN.id:
                outcome, latency = self.how[self.fetched % len(self.how)]
                self.fetched += 1
                self.due.add(now + latency, result_of(action, outcome, 1, latency=latency))
            elif isinstance(action, Send):
                self.due.add(now + 5 * MS, result_of(action, Outcome.MISS, latency=5 * MS))


GOOD = (Outcome.OK, 60 * MS)


@pytest.mark.parametrize("way", [(Outcome.TIMEOUT, 900 * MS), (Outcome.CONNECT_FAILED, 250 * MS)])
def test_two_seconds_after_an_outage_every_fetch_succeeds_again(way: Way) -> None:
    site = Site()
    assert site.play(0, 10, GOOD) == 1.0
    before = site.router.limits()
    assert site.play(10, CUT_S, way) < 0.3
    assert site.router.limits()["a"] < before["a"] / 10
    site.play(10 + CUT_S, 2, GOOD)
    assert site.router.limits() == before
    assert site.play(12 + CUT_S, 5, GOOD) == 1.0


def test_few_probes_are_sent_during_an_outage() -> None:
    site = Site()
    site.play(0, 10, GOOD)
    site.play(10, CUT_S, (Outcome.TIMEOUT, 900 * MS))
    assert 8 <= site.play(20, 10, (Outcome.TIMEOUT, 900 * MS)) * 200 <= 20  # of 200 reads


@pytest.mark.parametrize(
    "how", [[(Outcome.ERROR, 60 * MS)], [(Outcome.TIMEOUT, 900 * MS)] * 2 + [(Outcome.OK, 600 * MS)]]
)
def test_limits_decreased_for_an_overloaded_origin_are_not_restored(how: list[Way]) -> None:
    site = Site()
    site.play(0, 10, GOOD)
    before = site.router.limits()
    site.play(10, 20, *how)
    assert site.router.limits()["a"] < before["a"] / 2
    site.play(30, 1, GOOD)
    assert site.router.limits()["a"] < before["a"] * 0.75


def state_of(width: float) -> OriginState:
    return OriginState(width, 1.0, 0.0, 0.0, 0.0, {})


def test_an_outage_is_three_unanswered_in_a_row_and_ends_with_a_quick_answer_only() -> None:
    outage = Outage()
    for _ in range(2):
        outage.record_unanswered(state_of(1.0))
    assert outage.record_answer(quickly=True) is None
    for width in (2.0, 3.0, 4.0):
        outage.record_unanswered(state_of(width))
    assert outage.record_answer(quickly=False) is None
    assert outage.record_answer(quickly=True) is None  # a slow one has come in between: too much to do
    for width in (5.0, 6.0, 7.0):
        outage.record_unanswered(state_of(width))
    assert outage.record_answer(quickly=True) == state_of(5.0)
    assert outage.record_answer(quickly=True) is None
