"""Each rule on the kit's own count: what breaks it, and what is just within it."""

from __future__ import annotations

import pytest

from pebblepass.emulators.advertised import AdvertisedTimeout
from pebblepass.emulators.effects import RepeatedEffect
from pebblepass.simulation.deadlines import DeadlineCount
from pebblepass.simulation.rule_checker import Rule, RuleChecker


def rule_checker() -> RuleChecker:
    made = RuleChecker(slack=0.001)
    made.record_taken("q", "r0", deadline=10.0)
    return made


def broken(made: RuleChecker) -> list[Rule]:
    return [breach.rule for breach in made.breaches]


def test_an_answer_in_time_breaks_nothing() -> None:
    made = rule_checker()
    made.attempt_received("q", "s0", 9.0)
    made.record_answer("q", 10.07)
    assert broken(made) == []


def test_an_answer_too_late_breaks_the_first_rule() -> None:
    made = rule_checker()
    made.record_answer("q", 10.08)
    assert broken(made) == [Rule.ANSWERED]


def test_a_second_answer_breaks_the_first_rule() -> None:
    made = rule_checker()
    made.record_answer("q", 9.0)
    made.record_answer("q", 9.0)
    assert broken(made) == [Rule.ANSWERED]


def test_bytes_that_nobody_asked_for_break_the_first_rule() -> None:
    made = rule_checker()
    made.record_unexpected_bytes("r0", 9.0)
    assert broken(made) == [Rule.ANSWERED]


def test_a_send_after_the_answer_breaks_the_first_rule() -> None:
    made = rule_checker()
    made.record_answer("q", 9.0)
    made.attempt_received("q", "s0", 9.0005)
    assert broken(made) == []
    made.attempt_received("q", "s0", 9.002)
    assert broken(made) == [Rule.ANSWERED]


def test_a_send_that_no_client_asked_for_breaks_the_first_rule() -> None:
    made = rule_checker()
    made.attempt_received("unheard-of", "s0", 9.0)
    assert broken(made) == [Rule.ANSWERED]


def test_a_doubled_effect_breaks_the_second_rule() -> None:
    made = rule_checker()
    made.effect_repeated(RepeatedEffect("q", "order", 9.0))
    assert broken(made) == [Rule.ONCE]


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_a_send_after_the_grace_breaks_the_third_rule(state: str) -> None:
    made = rule_checker()
    made.registry_update_sent("r0", "s0", state, 1.0)
    made.attempt_received("q", "s0", 1.55)
    assert broken(made) == []
    made.attempt_received("q", "s0", 1.56)
    assert broken(made) == [Rule.DRAINED]


def test_being_told_again_does_not_renew_the_grace() -> None:
    made = rule_checker()
    made.registry_update_sent("r0", "s0", "draining", 1.0)
    made.registry_update_sent("r0", "s0", "draining", 1.5)
    made.attempt_received("q", "s0", 1.56)
    assert broken(made) == [Rule.DRAINED]


def test_another_router_or_a_server_that_is_back_may_be_sent_to() -> None:
    made = rule_checker()
    made.registry_update_sent("r1", "s0", "draining", 1.0)
    made.registry_update_sent("r0", "s1", "draining", 1.0)
    made.registry_update_sent("r0", "s1", "up", 2.0)
    made.attempt_received("q", "s0", 9.0)
    made.attempt_received("q", "s1", 9.0)
    assert broken(made) == []


def test_a_router_that_starts_anew_has_been_told_nothing() -> None:
    made = rule_checker()
    made.registry_update_sent("r0", "s0", "draining", 1.0)
    made.router_started("r0")
    made.attempt_received("q", "s0", 9.0)
    assert broken(made) == []


def test_a_node_pushed_over_by_routers_that_knew_breaks_the_fourth_rule() -> None:
    made = rule_checker()
    made.cold_node_overloaded("s0", 0.6, 9.0)
    assert broken(made) == []
    made.cold_node_overloaded("s1", 0.7, 9.0)
    assert broken(made) == [Rule.COLD]
    assert made.pushed == ["s0", "s1"]


def test_who_knows_of_a_start() -> None:
    made = rule_checker()
    made.registry_update_sent("r0", "s0", "up", 1.0)
    assert made.router_knows_start("q", "s0")
    made.server_started("s0")
    assert not made.router_knows_start("q", "s0")
    made.registry_update_sent("r0", "s0", "up", 2.0)
    assert made.router_knows_start("q", "s0")


# Deadline propagation: the slack is 1 ms here, and 500 ms are left at 9.5 s


def advertise(
    made: RuleChecker,
    timeout_ms: int | None,
    at: float = 9.5,
    last_byte_at: float | None = None,
    name: str = "q",
) -> None:
    last = at if last_byte_at is None else last_byte_at
    made.timeout_advertised(AdvertisedTimeout(name, "s0", timeout_ms, at, last))


@pytest.mark.parametrize("timeout_ms", [0, 1, 499, 500, 501])
def test_what_is_left_and_the_slack_may_be_advertised(timeout_ms: int) -> None:
    made = rule_checker()
    advertise(made, timeout_ms)
    assert broken(made) == []
    assert made.deadlines.above == 0


def test_one_millisecond_beyond_the_slack_breaks_the_fifth_rule() -> None:
    made = rule_checker()
    advertise(made, 502)
    assert broken(made) == [Rule.DEADLINE]
    what = "q: attempt 1 to s0 advertised 502 ms with 500.000 ms left, 2.000 ms too much"
    assert made.breaches[0].what == what


def test_the_slack_is_kept_to_the_microsecond() -> None:
    made = RuleChecker(slack=0.001, transit_slack=0.000_001)
    made.record_taken("q", "r0", deadline=10.0)
    advertise(made, 500, at=9.5)
    advertise(made, 500, at=9.500_001)
    assert broken(made) == []
    advertise(made, 500, at=9.500_002)
    assert broken(made) == [Rule.DEADLINE]
    assert made.deadlines.largest_excess_us == 2


def test_the_first_attempt_is_held_to_the_rule_too() -> None:
    made = rule_checker()
    advertise(made, 1000)
    assert made.deadlines == DeadlineCount(attempts=1, further=0, above=1, largest_excess_us=500_000)


def test_a_further_attempt_that_tells_the_first_ones_time_breaks_the_fifth_rule() -> None:
    made = rule_checker()
    advertise(made, 1000, at=9.0)
    assert broken(made) == []
    advertise(made, 1000, at=9.25)
    assert broken(made) == [Rule.DEADLINE]
    assert made.deadlines == DeadlineCount(attempts=2, further=1, above=1, largest_excess_us=250_000)


def test_what_counts_is_what_was_left_at_the_attempts_first_byte() -> None:
    made = rule_checker()
    advertise(made, 500, at=9.5, last_byte_at=9.9)
    assert broken(made) == []


def test_the_clients_deadline_is_the_one_that_its_request_states() -> None:
    made = RuleChecker(slack=0.001)
    made.record_taken("q", "r0", deadline=10.0, client_deadline=9.9)
    advertise(made, 402)
    assert broken(made) == [Rule.DEADLINE]
    made.record_answer("q", 10.07)  # the answer is owed by the other one still
    assert broken(made) == [Rule.DEADLINE]


def test_after_its_deadline_no_attempt_may_advertise_anything() -> None:
    made = rule_checker()
    advertise(made, 0, at=10.5)
    assert broken(made) == [Rule.DEADLINE]


def test_an_unreadable_timeout_breaks_the_fifth_rule() -> None:
    made = rule_checker()
    advertise(made, None)
    assert broken(made) == [Rule.DEADLINE]
    assert made.deadlines == DeadlineCount(attempts=1, unreadable=1)


def test_attempts_are_told_apart_by_their_request() -> None:
    made = rule_checker()
    made.record_taken("p", "r0", deadline=10.0)
    advertise(made, 500, name="p")
    advertise(made, 500)
    advertise(made, 500)
    assert (made.deadlines.attempts, made.deadlines.further) == (3, 1)


def test_an_attempt_that_no_client_asked_for_is_counted_and_left_to_the_first_rule() -> None:
    made = rule_checker()
    advertise(made, 9999, name="unheard-of")
    assert broken(made) == []
    assert made.deadlines.attempts == 1


def test_the_count_as_a_report_tells_it() -> None:
    count = DeadlineCount(attempts=7, further=2, above=1, unreadable=1, largest_excess_us=1500)
    assert count.report() == {
        "attempts": 7,
        "further_attempts": 2,
        "above_what_was_left": 1,
        "unreadable": 1,
        "largest_excess_ms": 1.5,
    }
