"""Each rule on the kit's own count: what breaks it, and what is just within it."""

from __future__ import annotations

import pytest

from pebblepass.rehearsal.referee import Referee, Rule
from pebblepass.standins.effects import Doubled


def referee() -> Referee:
    made = Referee(slack=0.001)
    made.taken("q", "r0", deadline=10.0)
    return made


def broken(made: Referee) -> list[Rule]:
    return [breach.rule for breach in made.breaches]


def test_an_answer_in_time_breaks_nothing() -> None:
    made = referee()
    made.attempt_came("q", "s0", 9.0)
    made.answered("q", 10.07)
    assert broken(made) == []


def test_an_answer_too_late_breaks_the_first_rule() -> None:
    made = referee()
    made.answered("q", 10.08)
    assert broken(made) == [Rule.ANSWERED]


def test_a_second_answer_breaks_the_first_rule() -> None:
    made = referee()
    made.answered("q", 9.0)
    made.answered("q", 9.0)
    assert broken(made) == [Rule.ANSWERED]


def test_bytes_that_nobody_asked_for_break_the_first_rule() -> None:
    made = referee()
    made.stray("r0", 9.0)
    assert broken(made) == [Rule.ANSWERED]


def test_a_send_after_the_answer_breaks_the_first_rule() -> None:
    made = referee()
    made.answered("q", 9.0)
    made.attempt_came("q", "s0", 9.0005)
    assert broken(made) == []
    made.attempt_came("q", "s0", 9.002)
    assert broken(made) == [Rule.ANSWERED]


def test_a_send_that_no_client_asked_for_breaks_the_first_rule() -> None:
    made = referee()
    made.attempt_came("unheard-of", "s0", 9.0)
    assert broken(made) == [Rule.ANSWERED]


def test_a_doubled_effect_breaks_the_second_rule() -> None:
    made = referee()
    made.effect_doubled(Doubled("q", "order", 9.0))
    assert broken(made) == [Rule.ONCE]


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_a_send_after_the_grace_breaks_the_third_rule(state: str) -> None:
    made = referee()
    made.was_told("r0", "s0", state, 1.0)
    made.attempt_came("q", "s0", 1.55)
    assert broken(made) == []
    made.attempt_came("q", "s0", 1.56)
    assert broken(made) == [Rule.DRAINED]


def test_being_told_again_does_not_renew_the_grace() -> None:
    made = referee()
    made.was_told("r0", "s0", "draining", 1.0)
    made.was_told("r0", "s0", "draining", 1.5)
    made.attempt_came("q", "s0", 1.56)
    assert broken(made) == [Rule.DRAINED]


def test_another_router_or_a_server_that_is_back_may_be_sent_to() -> None:
    made = referee()
    made.was_told("r1", "s0", "draining", 1.0)
    made.was_told("r0", "s1", "draining", 1.0)
    made.was_told("r0", "s1", "up", 2.0)
    made.attempt_came("q", "s0", 9.0)
    made.attempt_came("q", "s1", 9.0)
    assert broken(made) == []


def test_a_router_that_starts_anew_has_been_told_nothing() -> None:
    made = referee()
    made.was_told("r0", "s0", "draining", 1.0)
    made.router_started("r0")
    made.attempt_came("q", "s0", 9.0)
    assert broken(made) == []


def test_a_node_pushed_over_by_routers_that_knew_breaks_the_fourth_rule() -> None:
    made = referee()
    made.pushed_over("s0", 0.6, 9.0)
    assert broken(made) == []
    made.pushed_over("s1", 0.7, 9.0)
    assert broken(made) == [Rule.COLD]
    assert made.pushed == ["s0", "s1"]


def test_who_knows_of_a_start() -> None:
    made = referee()
    made.was_told("r0", "s0", "up", 1.0)
    assert made.knows_start("q", "s0")
    made.started("s0")
    assert not made.knows_start("q", "s0")
    made.was_told("r0", "s0", "up", 2.0)
    assert made.knows_start("q", "s0")
