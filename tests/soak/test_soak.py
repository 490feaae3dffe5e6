"""A short soak: some seeds of what `python -m tests.soak.run` plays by hand over many."""

from __future__ import annotations

import pytest

from tests.soak.faults import FIRST_SEED, FIRST_SLOW_SEED, Fault, fault_of
from tests.soak.history import broken_rules
from tests.soak.run import BAD_CLIENTS, make_plan, run_soak
from tests.soak.slow_discovery import Disruption, make_slow_plan

SEEDS = (*range(1, 17), 403)
FAULT_SEEDS = range(FIRST_SEED, FIRST_SEED + 6)
SLOW_SEEDS = range(FIRST_SLOW_SEED, FIRST_SLOW_SEED + len(Disruption))


def test_the_seeds_draw_runs_with_and_without_a_crowd_and_hanging_servers() -> None:
    plans = [make_plan(seed) for seed in SEEDS]
    assert {bool(plan.crowd) for plan in plans} == {False, True}
    assert {bool(plan.hang_share) for plan in plans} == {False, True}
    assert {plan.bad_clients for plan in plans} == {"", *BAD_CLIENTS}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_until_the_exit(seed: int) -> None:
    history = run_soak(seed)
    assert broken_rules(history) == []
    assert history.requests
    assert history.figures or history.was_killed


@pytest.mark.parametrize("seed", FAULT_SEEDS)
def test_no_rule_is_broken_beside_a_fault_of_the_servers(seed: int) -> None:
    history = run_soak(seed)
    assert broken_rules(history) == []
    assert any(request.request_class == "fault" for request in history.requests.values())


@pytest.mark.parametrize("seed", SLOW_SEEDS)
def test_no_rule_is_broken_while_discovery_is_slow_and_a_server_drains(seed: int) -> None:
    history = run_soak(seed)
    assert broken_rules(history) == []
    assert any(attempt.server for attempt in history.attempts)


def test_the_seeds_draw_every_fault() -> None:
    assert {fault_of(seed) for seed in (*SEEDS, *FAULT_SEEDS, *SLOW_SEEDS)} == set(Fault)
    assert {make_slow_plan(seed).disruption for seed in SLOW_SEEDS} == set(Disruption)
