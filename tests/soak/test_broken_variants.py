"""A soak finds each broken variant, with the bad clients that it concerns."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.soak.faults import FIRST_SEED, FIRST_SLOW_SEED, Fault, fault_of
from tests.soak.history import broken_rules
from tests.soak.run import make_plan, run_soak
from tests.soak.slow_discovery import Disruption

FOUND = [
    ("keeps_partial_commands", "half-write", "KB of memory"),
    ("keeps_partial_commands", "slow-write", "KB of memory"),
    ("buffers_unread_replies", "unread-pipeline", "KB of memory"),
    ("handles_all_commands_at_once", "error-flood", "lost"),
]


@pytest.mark.parametrize(("variant", "bad_clients", "line"), FOUND)
def test_soak_finds_a_broken_variant(variant: str, bad_clients: str, line: str) -> None:
    plan = replace(make_plan(1), bad_clients=bad_clients)
    history = run_soak(1, plan, f"tests.soak.broken.{variant}")
    assert any(line in broken for broken in broken_rules(history))


FAULT_VARIANTS = {
    Fault.BREAKING_VALUES: ("never_holds_values", "lost"),
    Fault.VALUES_WITHOUT_LENGTH: ("keeps_ended_answers", "KB of memory"),
    Fault.LONG_CLASS: ("plans_with_any_deadline", "lost"),
}


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + len(FAULT_VARIANTS)))
def test_soak_finds_the_broken_variant_of_a_fault(seed: int) -> None:
    variant, line = FAULT_VARIANTS[fault_of(seed)]
    history = run_soak(seed, module=f"tests.soak.broken.{variant}")
    assert any(line in broken for broken in broken_rules(history))


@pytest.mark.parametrize("seed", range(FIRST_SLOW_SEED, FIRST_SLOW_SEED + len(Disruption)))
def test_soak_finds_calls_that_are_given_up_early(seed: int) -> None:
    history = run_soak(seed, module="tests.soak.broken.gives_calls_up_early")
    assert any(line.startswith("drain:") for line in broken_rules(history))
