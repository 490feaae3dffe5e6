"""A soak finds each broken variant, with the bad clients that it concerns."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.soak.history import broken_rules
from tests.soak.run import make_plan, run_soak

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
