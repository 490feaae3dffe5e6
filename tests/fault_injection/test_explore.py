"""Exhaustive exploration of small fleets: no violation in the program, a shortest path to a defect."""

from __future__ import annotations

import pytest

from pebblepass.fault_injection.explore import Bounds, explore
from pebblepass.fault_injection.variants import UNMODIFIED, VARIANTS


def test_one_change_with_a_lost_message_has_no_violation_within_bounds() -> None:
    found = explore(Bounds(changes=1, crashes=0, losses=1, times=0, states=1500), UNMODIFIED)
    assert found.violation == ""
    assert found.states == 1500


def test_two_changes_with_a_crash_have_no_violation_within_bounds() -> None:
    found = explore(Bounds(changes=2, crashes=1, losses=0, times=1, states=1500), UNMODIFIED)
    assert found.violation == ""
    assert found.states == 1500


def test_same_bounds_visit_the_same_states() -> None:
    bounds = Bounds(changes=1, crashes=1, losses=0, times=0, states=150)
    assert explore(bounds, UNMODIFIED) == explore(bounds, UNMODIFIED)


@pytest.mark.parametrize("name", ["granted-before-closed"])
def test_defective_variant_is_found_with_its_shortest_path(name: str) -> None:
    found = explore(Bounds(changes=1, crashes=0, losses=0, times=0, states=6000), VARIANTS[name])
    assert "in force at once" in found.violation
    assert found.path[0].startswith("change ")
