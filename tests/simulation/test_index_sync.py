"""Multi-key reads in a rehearsal: each key counts as a request, and the routers' accounts agree."""

from __future__ import annotations

import json

import msgspec
import pytest

from pebblepass.operator_config import FileError, decode_toml
from pebblepass.simulation.plan import make_plan
from pebblepass.simulation.report import verdict
from pebblepass.simulation.runner import rehearse
from pebblepass.simulation.scenario import Fault, Scenario, Sync, load_scenario

SMALL = msgspec.structs.replace(
    load_scenario("index-sync"),
    length_s=6,
    sync=Sync(commands=2.0, keys=25),
    faults=(
        Fault(kind="node-drain", at_s=1),
        Fault(kind="node-silent", at_s=2, for_s=2),
        Fault(kind="node-reset", at_s=2, for_s=3, share=0.3),
        Fault(kind="router-term", at_s=3, place=0),
        Fault(kind="router-reload", at_s=4, place=1),
    ),
)


@pytest.mark.parametrize("seed", range(6))
def test_every_key_is_counted_and_rules_hold_under_faults(seed: int) -> None:
    plan = make_plan(SMALL, seed)
    keys = sum(operation.command >= 0 for operation in plan.operations)
    assert keys == 25 * len({operation.command for operation in plan.operations if operation.command >= 0})
    assert keys > 100
    report = rehearse(plan)
    assert verdict(report) == []
    assert report["figures"]["differences"] == []
    assert sum(tally["asked"] for tally in report["routers"].values()) >= len(plan.operations)


def test_killed_router_loses_only_its_own_commands() -> None:
    scenario = msgspec.structs.replace(SMALL, faults=(Fault(kind="router-kill", at_s=2, place=0),))
    assert verdict(rehearse(make_plan(scenario, 3))) == []


def test_same_seed_gives_identical_report() -> None:
    first, second = (json.dumps(rehearse(make_plan(SMALL, 5)), sort_keys=True) for _ in range(2))
    assert first == second


def test_multi_key_reads_do_not_change_the_other_operations() -> None:
    without = msgspec.structs.replace(SMALL, sync=None)
    single_operations, all_operations = make_plan(without, 4).operations, make_plan(SMALL, 4).operations
    assert [(operation.at, operation.key) for operation in single_operations] == [
        (a.at, a.key) for a in all_operations if a.command < 0
    ]


def test_command_of_more_than_half_the_keys_is_rejected() -> None:
    with pytest.raises(FileError, match=r"sync.keys: at most half of traffic.keys"):
        decode_toml("x", b"title = 'x'\nlength_s = 5\n[traffic]\nkeys = 100\n[sync]\nkeys = 60\n", Scenario)
