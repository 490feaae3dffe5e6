"""Every order for small fleets: the sound program holds, a broken one is found by its shortest path."""

from __future__ import annotations

import pytest

from pebblepass.fault_injection.broken import SOUND, VARIANTS
from pebblepass.fault_injection.explore import Bounds, explore


def test_one_change_among_three_and_a_loss_hold_as_far_as_they_are_looked_at() -> None:
    found = explore(Bounds(changes=1, crashes=0, losses=1, times=0, states=1500), SOUND)
    assert found.broken == ""
    assert found.states == 1500


def test_two_changes_and_a_crash_hold_as_far_as_they_are_looked_at() -> None:
    found = explore(Bounds(changes=2, crashes=1, losses=0, times=1, states=1500), SOUND)
    assert found.broken == ""
    assert found.states == 1500


def test_the_same_bounds_count_the_same_states() -> None:
    bounds = Bounds(changes=1, crashes=1, losses=0, times=0, states=150)
    assert explore(bounds, SOUND) == explore(bounds, SOUND)


@pytest.mark.parametrize("name", ["granted-before-closed"])
def test_a_broken_program_is_found_by_its_shortest_path(name: str) -> None:
    found = explore(Bounds(changes=1, crashes=0, losses=0, times=0, states=6000), VARIANTS[name])
    assert "in force at once" in found.broken
    assert found.path[0].startswith("change ")
