"""What a scenario's file may say of its fleet."""

from __future__ import annotations

from pathlib import Path

import pytest

from pebblepass.operator_config.loader import FileError
from pebblepass.simulation.scenario import MOST_PROCESSES, Scenario, load_scenario


def scenario_of(folder: Path, routers: int, nodes: int) -> Scenario:
    path = folder / "large.toml"
    path.write_text(f'title = "large"\nlength_s = 1\n[fleet]\nrouters = {routers}\nnodes = {nodes}\n')
    return load_scenario(str(path))


@pytest.mark.parametrize("count", [1100, MOST_PROCESSES])
def test_a_fleet_may_have_more_than_a_thousand_routers_and_nodes(tmp_path: Path, count: int) -> None:
    fleet = scenario_of(tmp_path, count, count).fleet
    assert (fleet.routers, fleet.nodes) == (count, count)


def test_a_fleet_without_bound_is_refused(tmp_path: Path) -> None:
    with pytest.raises(FileError, match=r"fleet\.routers"):
        scenario_of(tmp_path, MOST_PROCESSES + 1, 1)
