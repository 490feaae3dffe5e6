"""Timeouts after which an attempt counts as lost."""

from __future__ import annotations

from pebblepass.decisions import EventLoopLagged, Outcome, RequestClass, Router
from tests.decisions.builders import MS, S, fleet, only_send, request, result_of, settings, started

LATENCY_TARGET = 1000 * MS
CONFIG = settings(classes=(RequestClass("read", latency_target=LATENCY_TARGET, deadline=3 * S),))


def run_hits(router: Router, latencies: list[int]) -> None:
    """Run reads that hit, one after another."""
    for number, latency in enumerate(latencies):
        send = only_send(router.handle(request(f"w{number}", number * S), number * S))
        router.handle(result_of(send, Outcome.OK, latency=latency), number * S + latency)


def timeout_of(router: Router) -> int:
    return only_send(router.handle(request("q", 1000 * S), 1000 * S)).timeout


def test_fast_servers_get_the_minimum_timeout() -> None:
    """Answers of 1.5 ms hardly vary; six deviations would be less than a short pause."""
    router = started(CONFIG, fleet(1))
    run_hits(router, [3 * MS // 2] * 200)
    assert timeout_of(router) == LATENCY_TARGET // 8


def test_slow_servers_get_mean_latency_plus_six_deviations() -> None:
    router = started(CONFIG, fleet(1))
    run_hits(router, [90 * MS, 110 * MS] * 100)
    assert 150 * MS < timeout_of(router) < 180 * MS


def test_event_loop_lag_is_added_while_it_lasts() -> None:
    router = started(CONFIG, fleet(1))
    run_hits(router, [3 * MS // 2] * 200)
    assert router.handle(EventLoopLagged(100 * MS), 900 * S) == []
    assert timeout_of(router) == LATENCY_TARGET // 8 + 100 * MS
    router.handle(EventLoopLagged(0), 1001 * S)
    assert only_send(router.handle(request("r", 1002 * S), 1002 * S)).timeout == LATENCY_TARGET // 8


def test_timeout_is_below_the_latency_target_whatever_the_lag() -> None:
    router = started(CONFIG, fleet(1))
    run_hits(router, [3 * MS // 2] * 200)
    router.handle(EventLoopLagged(5 * S), 900 * S)
    assert timeout_of(router) == LATENCY_TARGET * 95 // 100
