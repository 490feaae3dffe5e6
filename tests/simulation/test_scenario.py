"""Limits on the size of the fleet in a scenario file."""

from __future__ import annotations

from pathlib import Path

import pytest

from pebblepass.operator_config.loader import FileError
from pebblepass.simulation.scenario import MAX_PROCESSES, Scenario, load_scenario


def load_with_fleet(folder: Path, routers: int, nodes: int) -> Scenario:
    path = folder / "large.toml"
    path.write_text(f'title = "large"\nlength_s = 1\n[fleet]\nrouters = {routers}\nnodes = {nodes}\n')
    return load_scenario(str(path))


@pytest.mark.parametrize("count", [1100, MAX_PROCESSES])
def test_fleet_of_more_than_1000_routers_and_nodes_is_accepted(tmp_path: Path, count: int) -> None:
    fleet = load_with_fleet(tmp_path, count, count).fleet
    assert (fleet.routers, fleet.nodes) == (count, count)


def test_fleet_above_the_maximum_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(FileError, match=r"fleet\.routers"):
        load_with_fleet(tmp_path, MAX_PROCESSES + 1, 1)
