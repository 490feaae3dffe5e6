"""Deadline propagation in rehearsals: a correct router passes, one that advertises too much fails."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.attempts import Attempt
from pebblepass.daemon.multi_get.multi_get import MultiGet
from pebblepass.simulation.page import as_page, deadline_line
from pebblepass.simulation.plan import Plan, make_plan
from pebblepass.simulation.report import as_json, verdict
from pebblepass.simulation.rule_checker import Rule
from pebblepass.simulation.runner import rehearse
from pebblepass.simulation.scenario import Disturbance, Fleet, Scenario, Sync, Traffic, load_scenario
from pebblepass.wire.address import Address

INVALIDATION = Disturbance(kind="invalidation", at_s=2)
MISSES = Scenario(
    title="misses",
    length_s=6,
    fleet=Fleet(routers=2, nodes=8),
    traffic=Traffic(rate=60, swing=0),
    disturbances=(INVALIDATION,),
)
"""Copies are invalidated, so that most reads miss and go to the store in a further attempt."""
MULTI_KEY_READS = Scenario(
    title="multi-key reads",
    length_s=6,
    fleet=Fleet(routers=2, nodes=8),
    traffic=Traffic(rate=60, swing=0),
    sync=Sync(commands=2.0, keys=25),
)
remaining_ms = deadline_propagation.remaining_ms
request_bytes = Attempt.request_bytes


def plan(scenario: Scenario = MISSES) -> Plan:
    return make_plan(scenario, 3)


def broken_rules(report: dict[str, Any]) -> list[str]:
    return [rule for rule, result in report["rules"].items() if not result["held"]]


def first_breaches(report: dict[str, Any]) -> list[str]:
    breaches: list[str] = report["rules"][Rule.DEADLINE.value]["first"]
    return breaches


@pytest.mark.parametrize("scenario", [MISSES, MULTI_KEY_READS])
def test_correct_router_advertises_no_excess(scenario: Scenario) -> None:
    report = rehearse(plan(scenario))
    assert verdict(report) == []
    deadlines = report["deadlines"]
    assert deadlines["attempts"] == sum(report["attempts"].values()) > 300
    assert deadlines["further_attempts"] > 50
    assert (deadlines["above_what_was_left"], deadlines["unreadable"], deadlines["largest_excess_ms"]) == (
        0,
        0,
        0.0,
    )


def client_timeout(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
    """Advertise the client's own timeout in every attempt."""
    return client_timeout_ms


def rounded_up(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
    """Advertise less than a millisecond too much."""
    return min(-(-(deadline_ns - now_ns) // deadline_propagation.NS_PER_MS), client_timeout_ms)


@pytest.mark.parametrize("faulty", [client_timeout, rounded_up])
def test_advertising_too_much_breaks_rule_on_deadlines_alone(
    faulty: Callable[[int, int, int], int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(deadline_propagation, "remaining_ms", faulty)
    report = rehearse(plan())
    assert broken_rules(report) == [Rule.DEADLINE.value]
    assert verdict(report)[0].startswith(f"rule broken: {Rule.DEADLINE.value}")
    deadlines = report["deadlines"]
    assert deadlines["above_what_was_left"] == report["rules"][Rule.DEADLINE.value]["breaches"] > 50
    assert (deadlines["largest_excess_ms"] < 1) == (faulty is rounded_up)


def test_repeating_first_timeout_to_the_store_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    first_timeouts: dict[str, int] = {}

    def with_first_timeout(self: Attempt, address: Address) -> bytes:
        def first_timeout(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
            remaining = remaining_ms(deadline_ns, now_ns, client_timeout_ms)
            first_ms = first_timeouts.setdefault(self.request_id, remaining)
            return first_ms if self._to_origin else remaining

        with monkeypatch.context() as patched:
            patched.setattr(deadline_propagation, "remaining_ms", first_timeout)
            return request_bytes(self, address)

    monkeypatch.setattr(Attempt, "request_bytes", with_first_timeout)
    report = rehearse(plan())
    assert broken_rules(report) == [Rule.DEADLINE.value]
    assert report["deadlines"]["above_what_was_left"] > 50
    # Each breach is a further attempt at the store.
    assert all(" to store advertised " in line for line in first_breaches(report))
    assert not any(" attempt 1 to " in line for line in first_breaches(report))


def test_multi_key_read_with_client_timeout_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(MultiGet, "info_to_send", lambda self, now: self.command.info)
    report = rehearse(plan(MULTI_KEY_READS))
    assert broken_rules(report) == [Rule.DEADLINE.value]
    assert first_breaches(report)
    assert not any(" to store " in line for line in first_breaches(report))


def test_missing_timeout_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def without_timeout(self: Attempt, address: Address) -> bytes:
        data = request_bytes(self, address)
        return data.replace(b",d=", b",e=") if self._to_origin else data

    monkeypatch.setattr(Attempt, "request_bytes", without_timeout)
    report = rehearse(plan())
    assert broken_rules(report) == [Rule.DEADLINE.value]
    deadlines = report["deadlines"]
    assert (
        deadlines["unreadable"]
        == report["rules"][Rule.DEADLINE.value]["breaches"]
        == report["attempts"]["store"]
    )


def test_report_is_reproducible_and_page_shows_deadline_counts() -> None:
    first, second = (rehearse(plan()) for _ in range(2))
    assert as_json(first) == as_json(second)
    assert deadline_line(first["deadlines"]) in as_page(first)


@pytest.mark.parametrize("name", ["quiet", "release-morning", "broken-parts", "index-sync"])
def test_shipped_scenarios_keep_rule_on_deadlines(name: str) -> None:
    report = rehearse(make_plan(load_scenario(name), 7))
    assert report["rules"][Rule.DEADLINE.value]["held"], first_breaches(report)
