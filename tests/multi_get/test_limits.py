"""Conversion of the operator's `[many_keys]` section to the bounds of allocation and batches."""

from __future__ import annotations

import pytest

from pebblepass.daemon.config import read_config
from pebblepass.daemon.multi_get.limits import allocation_bounds, batch_bounds
from pebblepass.multi_get import AllocationBounds, BatchBounds
from pebblepass.operator_config import MultiGetSection
from tests.sockets import SETTINGS

MIB = 1 << 20


@pytest.mark.parametrize(("memory", "expected"), [(64 * MIB, MIB), (2 * MIB, MIB // 2)])
def test_section_sets_bounds_of_all_commands_and_of_each(memory: int, expected: int) -> None:
    section = MultiGetSection(keys_in_flight=7, keys_of_one=5, commands=3, chunk=2, held_kib=1024)
    assert allocation_bounds(section, memory) == AllocationBounds(
        keys_in_flight=7,
        keys_in_flight_per_command=5,
        memory=expected,
        memory_per_command=expected // 2,
        value_bytes=64 << 10,
        chunk=2,
        commands=3,
    )


def test_command_always_has_memory_for_one_value() -> None:
    assert allocation_bounds(MultiGetSection(held_kib=128), 100 << 10).memory_per_command == 64 << 10


@pytest.mark.parametrize(("part_keys", "pipelined"), [(32, 8), (6, 6)])
def test_section_sets_bounds_of_batches(part_keys: int, pipelined: int) -> None:
    config_fields = {
        "name": "r0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**SETTINGS, "ceilings": {**SETTINGS["ceilings"], "streamsPerConn": 8}},
    }
    section = MultiGetSection(part_keys=part_keys, part_kib=4, parts_of_server=2)
    assert batch_bounds(section, read_config(config_fields, {}).settings) == BatchBounds(
        keys=part_keys, pipelined=pipelined, key_bytes=4 << 10, in_flight_per_server=2
    )
