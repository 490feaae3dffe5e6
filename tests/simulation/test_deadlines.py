"""Deadline propagation in whole rehearsals: sound programs pass, and each way to tell too much is caught."""

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
"""Copies go void, so that most reads miss and are asked of the store in further attempts."""
LISTS = Scenario(
    title="lists",
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
    return [rule for rule, told in report["rules"].items() if not told["held"]]


def first_breaches(report: dict[str, Any]) -> list[str]:
    told: list[str] = report["rules"][Rule.DEADLINE.value]["first"]
    return told


@pytest.mark.parametrize("scenario", [MISSES, LISTS])
def test_no_attempt_advertises_a_microsecond_too_much(scenario: Scenario) -> None:
    report = rehearse(plan(scenario))
    assert verdict(report) == []
    told = report["deadlines"]
    assert told["attempts"] == sum(report["attempts"].values()) > 300
    assert told["further_attempts"] > 50
    assert (told["above_what_was_left"], told["unreadable"], told["largest_excess_ms"]) == (0, 0, 0.0)


def clients_timeout(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
    """Advertise the client's own timeout in every attempt."""
    return client_timeout_ms


def rounded_up(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
    """Advertise less than a millisecond too much."""
    return min(-(-(deadline_ns - now_ns) // deadline_propagation.NS_PER_MS), client_timeout_ms)


@pytest.mark.parametrize("broken", [clients_timeout, rounded_up])
def test_a_program_that_advertises_too_much_fails_by_the_fifth_rule_alone(
    broken: Callable[[int, int, int], int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(deadline_propagation, "remaining_ms", broken)
    report = rehearse(plan())
    assert broken_rules(report) == [Rule.DEADLINE.value]
    assert verdict(report)[0].startswith(f"rule broken: {Rule.DEADLINE.value}")
    told = report["deadlines"]
    assert told["above_what_was_left"] == report["rules"][Rule.DEADLINE.value]["breaches"] > 50
    assert (told["largest_excess_ms"] < 1) == (broken is rounded_up)


def test_telling_the_store_the_first_attempts_time_again_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    first_told: dict[str, int] = {}

    def told_again(self: Attempt, address: Address) -> bytes:
        def first(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
            left = remaining_ms(deadline_ns, now_ns, client_timeout_ms)
            before = first_told.setdefault(self.request_id, left)
            return before if self._to_origin else left

        with monkeypatch.context() as patched:
            patched.setattr(deadline_propagation, "remaining_ms", first)
            return request_bytes(self, address)

    monkeypatch.setattr(Attempt, "request_bytes", told_again)
    report = rehearse(plan())
    assert broken_rules(report) == [Rule.DEADLINE.value]
    assert report["deadlines"]["above_what_was_left"] > 50
    # Each names a further attempt at the store.
    assert all(" to store advertised " in line for line in first_breaches(report))
    assert not any(" attempt 1 to " in line for line in first_breaches(report))


def test_a_read_of_many_keys_that_advertises_the_clients_timeout_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(MultiGet, "info_to_send", lambda self, now: self.command.info)
    report = rehearse(plan(LISTS))
    assert broken_rules(report) == [Rule.DEADLINE.value]
    assert first_breaches(report)
    assert not any(" to store " in line for line in first_breaches(report))


def test_a_program_that_leaves_the_timeout_out_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def without(self: Attempt, address: Address) -> bytes:
        data = request_bytes(self, address)
        return data.replace(b",d=", b",e=") if self._to_origin else data

    monkeypatch.setattr(Attempt, "request_bytes", without)
    report = rehearse(plan())
    assert broken_rules(report) == [Rule.DEADLINE.value]
    told = report["deadlines"]
    assert (
        told["unreadable"] == report["rules"][Rule.DEADLINE.value]["breaches"] == report["attempts"]["store"]
    )


def test_the_count_is_the_same_to_the_byte_and_stands_on_the_page() -> None:
    first, second = (rehearse(plan()) for _ in range(2))
    assert as_json(first) == as_json(second)
    assert deadline_line(first["deadlines"]) in as_page(first)


@pytest.mark.parametrize("name", ["quiet", "release-morning", "broken-parts", "index-sync"])
def test_every_scenario_keeps_the_fifth_rule(name: str) -> None:
    report = rehearse(make_plan(load_scenario(name), 7))
    assert report["rules"][Rule.DEADLINE.value]["held"], first_breaches(report)
