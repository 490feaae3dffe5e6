"""Each rule: events that break it, and events just within its limits."""

from __future__ import annotations

import pytest

from pebblepass.emulators.advertised import AdvertisedTimeout
from pebblepass.emulators.effects import RepeatedEffect
from pebblepass.simulation.deadlines import DeadlineCount
from pebblepass.simulation.rule_checker import Rule, RuleChecker


def checker_with_request() -> RuleChecker:
    checker = RuleChecker(slack=0.001)
    checker.record_written("q", "r0", deadline=10.0)
    return checker


def broken_rules(checker: RuleChecker) -> list[Rule]:
    return [breach.rule for breach in checker.breaches]


def test_answer_before_deadline_and_slack_is_accepted() -> None:
    checker = checker_with_request()
    checker.attempt_received("q", "s0", 9.0)
    checker.record_answer("q", 10.07)
    assert broken_rules(checker) == []


def test_answer_after_deadline_and_slack_breaks_rule_on_answers() -> None:
    checker = checker_with_request()
    checker.record_answer("q", 10.08)
    assert broken_rules(checker) == [Rule.ANSWERED]


def test_second_answer_breaks_rule_on_answers() -> None:
    checker = checker_with_request()
    checker.record_answer("q", 9.0)
    checker.record_answer("q", 9.0)
    assert broken_rules(checker) == [Rule.ANSWERED]


def test_bytes_without_open_request_break_rule_on_answers() -> None:
    checker = checker_with_request()
    checker.record_unexpected_bytes("r0", 9.0)
    assert broken_rules(checker) == [Rule.ANSWERED]


def test_attempt_after_answer_breaks_rule_on_answers() -> None:
    checker = checker_with_request()
    checker.record_answer("q", 9.0)
    checker.attempt_received("q", "s0", 9.0005)
    assert broken_rules(checker) == []
    checker.attempt_received("q", "s0", 9.002)
    assert broken_rules(checker) == [Rule.ANSWERED]


def test_attempt_for_unknown_request_breaks_rule_on_answers() -> None:
    checker = checker_with_request()
    checker.attempt_received("unknown", "s0", 9.0)
    assert broken_rules(checker) == [Rule.ANSWERED]


def test_doubled_effect_breaks_rule_on_effects() -> None:
    checker = checker_with_request()
    checker.effect_repeated(RepeatedEffect("q", "order", 9.0))
    assert broken_rules(checker) == [Rule.ONCE]


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_attempt_after_drain_grace_breaks_rule_on_drains(state: str) -> None:
    checker = checker_with_request()
    checker.registry_update_sent("r0", "s0", state, 1.0)
    checker.attempt_received("q", "s0", 1.55)
    assert broken_rules(checker) == []
    checker.attempt_received("q", "s0", 1.56)
    assert broken_rules(checker) == [Rule.DRAINED]


def test_repeated_announcement_does_not_extend_drain_grace() -> None:
    checker = checker_with_request()
    checker.registry_update_sent("r0", "s0", "draining", 1.0)
    checker.registry_update_sent("r0", "s0", "draining", 1.5)
    checker.attempt_received("q", "s0", 1.56)
    assert broken_rules(checker) == [Rule.DRAINED]


def test_attempts_to_servers_up_or_draining_for_others_are_accepted() -> None:
    checker = checker_with_request()
    checker.registry_update_sent("r1", "s0", "draining", 1.0)
    checker.registry_update_sent("r0", "s1", "draining", 1.0)
    checker.registry_update_sent("r0", "s1", "up", 2.0)
    checker.attempt_received("q", "s0", 9.0)
    checker.attempt_received("q", "s1", 9.0)
    assert broken_rules(checker) == []


def test_restarted_router_is_not_bound_by_old_announcements() -> None:
    checker = checker_with_request()
    checker.registry_update_sent("r0", "s0", "draining", 1.0)
    checker.router_started("r0")
    checker.attempt_received("q", "s0", 9.0)
    assert broken_rules(checker) == []


def test_cold_node_overloaded_by_informed_routers_breaks_rule() -> None:
    checker = checker_with_request()
    checker.cold_node_overloaded("s0", 0.6, 9.0)
    assert broken_rules(checker) == []
    checker.cold_node_overloaded("s1", 0.7, 9.0)
    assert broken_rules(checker) == [Rule.COLD]
    assert checker.overloaded == ["s0", "s1"]


def test_router_knows_start_after_announcement_only() -> None:
    checker = checker_with_request()
    checker.registry_update_sent("r0", "s0", "up", 1.0)
    assert checker.router_knows_start("q", "s0")
    checker.server_started("s0")
    assert not checker.router_knows_start("q", "s0")
    checker.registry_update_sent("r0", "s0", "up", 2.0)
    assert checker.router_knows_start("q", "s0")


# Advertised timeouts: the slack is 1 ms here, and 500 ms are left at 9.5 s


def advertise(
    checker: RuleChecker,
    timeout_ms: int | None,
    at: float = 9.5,
    last_byte_at: float | None = None,
    name: str = "q",
) -> None:
    last = at if last_byte_at is None else last_byte_at
    checker.timeout_advertised(AdvertisedTimeout(name, "s0", timeout_ms, at, last))


@pytest.mark.parametrize("timeout_ms", [0, 1, 499, 500, 501])
def test_timeout_up_to_time_left_and_slack_is_accepted(timeout_ms: int) -> None:
    checker = checker_with_request()
    advertise(checker, timeout_ms)
    assert broken_rules(checker) == []
    assert checker.deadlines.above == 0


def test_timeout_1_ms_beyond_slack_breaks_rule_on_deadlines() -> None:
    checker = checker_with_request()
    advertise(checker, 502)
    assert broken_rules(checker) == [Rule.DEADLINE]
    description = "q: attempt 1 to s0 advertised 502 ms with 500.000 ms left, 2.000 ms too much"
    assert checker.breaches[0].description == description


def test_transit_slack_is_exact_to_the_microsecond() -> None:
    checker = RuleChecker(slack=0.001, transit_slack=0.000_001)
    checker.record_written("q", "r0", deadline=10.0)
    advertise(checker, 500, at=9.5)
    advertise(checker, 500, at=9.500_001)
    assert broken_rules(checker) == []
    advertise(checker, 500, at=9.500_002)
    assert broken_rules(checker) == [Rule.DEADLINE]
    assert checker.deadlines.largest_excess_us == 2


def test_first_attempt_is_checked_too() -> None:
    checker = checker_with_request()
    advertise(checker, 1000)
    assert checker.deadlines == DeadlineCount(attempts=1, further=0, above=1, largest_excess_us=500_000)


def test_retry_with_timeout_of_first_attempt_breaks_rule_on_deadlines() -> None:
    checker = checker_with_request()
    advertise(checker, 1000, at=9.0)
    assert broken_rules(checker) == []
    advertise(checker, 1000, at=9.25)
    assert broken_rules(checker) == [Rule.DEADLINE]
    assert checker.deadlines == DeadlineCount(attempts=2, further=1, above=1, largest_excess_us=250_000)


def test_time_left_is_taken_at_first_byte_of_attempt() -> None:
    checker = checker_with_request()
    advertise(checker, 500, at=9.5, last_byte_at=9.9)
    assert broken_rules(checker) == []


def test_client_deadline_of_the_request_limits_the_timeout() -> None:
    checker = RuleChecker(slack=0.001)
    checker.record_written("q", "r0", deadline=10.0, client_deadline=9.9)
    advertise(checker, 402)
    assert broken_rules(checker) == [Rule.DEADLINE]
    checker.record_answer("q", 10.07)  # the answer is due by `deadline`
    assert broken_rules(checker) == [Rule.DEADLINE]


def test_timeout_of_0_after_deadline_breaks_rule_on_deadlines() -> None:
    checker = checker_with_request()
    advertise(checker, 0, at=10.5)
    assert broken_rules(checker) == [Rule.DEADLINE]


def test_unreadable_timeout_breaks_rule_on_deadlines() -> None:
    checker = checker_with_request()
    advertise(checker, None)
    assert broken_rules(checker) == [Rule.DEADLINE]
    assert checker.deadlines == DeadlineCount(attempts=1, unreadable=1)


def test_further_attempts_are_counted_per_request() -> None:
    checker = checker_with_request()
    checker.record_written("p", "r0", deadline=10.0)
    advertise(checker, 500, name="p")
    advertise(checker, 500)
    advertise(checker, 500)
    assert (checker.deadlines.attempts, checker.deadlines.further) == (3, 1)


def test_timeout_of_unknown_request_is_counted_without_breach() -> None:
    checker = checker_with_request()
    advertise(checker, 9999, name="unknown")
    assert broken_rules(checker) == []
    assert checker.deadlines.attempts == 1


def test_deadline_count_report_has_the_outward_keys() -> None:
    count = DeadlineCount(attempts=7, further=2, above=1, unreadable=1, largest_excess_us=1500)
    assert count.report() == {
        "attempts": 7,
        "further_attempts": 2,
        "above_what_was_left": 1,
        "unreadable": 1,
        "largest_excess_ms": 1.5,
    }
