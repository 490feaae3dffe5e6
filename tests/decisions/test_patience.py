"""How long an attempt may take before it counts as lost."""

from __future__ import annotations

from pebblepass.decisions import EventLoopLagged, Outcome, RequestClass, Router
from tests.decisions.cases import MS, S, ended, fleet, only_send, request, settings, started

AIM = 1000 * MS
CONFIG = settings(classes=(RequestClass("read", latency_target=AIM, deadline=3 * S),))


def answered(router: Router, latencies: list[int]) -> None:
    """Play reads that hit, one after another."""
    for number, latency in enumerate(latencies):
        send = only_send(router.handle(request(f"w{number}", number * S), number * S))
        router.handle(ended(send, Outcome.OK, latency=latency), number * S + latency)


def patience(router: Router) -> int:
    return only_send(router.handle(request("q", 1000 * S), 1000 * S)).timeout


def test_servers_that_answer_at_once_are_given_a_share_of_the_aim() -> None:
    """Answers of 1.5 ms vary by next to nothing: six times that is less than any hiccup."""
    router = started(CONFIG, fleet(1))
    answered(router, [3 * MS // 2] * 200)
    assert patience(router) == AIM // 8


def test_slow_servers_are_given_their_usual_time_and_six_spreads() -> None:
    router = started(CONFIG, fleet(1))
    answered(router, [90 * MS, 110 * MS] * 100)
    assert 150 * MS < patience(router) < 180 * MS


def test_what_the_router_itself_runs_late_is_added_and_taken_away_again() -> None:
    router = started(CONFIG, fleet(1))
    answered(router, [3 * MS // 2] * 200)
    assert router.handle(EventLoopLagged(100 * MS), 900 * S) == []
    assert patience(router) == AIM // 8 + 100 * MS
    router.handle(EventLoopLagged(0), 1001 * S)
    assert only_send(router.handle(request("r", 1002 * S), 1002 * S)).timeout == AIM // 8


def test_patience_ends_before_the_aim_however_late_the_router_runs() -> None:
    router = started(CONFIG, fleet(1))
    answered(router, [3 * MS // 2] * 200)
    router.handle(EventLoopLagged(5 * S), 900 * S)
    assert patience(router) == AIM * 95 // 100
