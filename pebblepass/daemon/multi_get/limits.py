"""The bounds of multi-get, from the operator's `[many_keys]` section and the router's settings.

Translates the keys of the section that bound memory and batches into the terms of `pebblepass.multi_get`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pebblepass.multi_get import AllocationBounds, BatchBounds
from pebblepass.wire.resp import LONG_VALUE_BYTES

if TYPE_CHECKING:
    from pebblepass.decisions import Settings
    from pebblepass.operator_config import MultiGetSection

MAX_MEMORY_FRACTION = 0.25  # maximum fraction of the router's memory for replies that are being assembled


def allocation_bounds(section: MultiGetSection, memory: int) -> AllocationBounds:
    """Return the bounds for all commands and for a single one; `memory`: of the router, in bytes."""
    reply_memory = min(section.held_kib << 10, int(memory * MAX_MEMORY_FRACTION))
    return AllocationBounds(
        keys_in_flight=section.keys_in_flight,
        keys_in_flight_per_command=section.keys_of_one,
        memory=reply_memory,
        memory_per_command=max(reply_memory // 2, LONG_VALUE_BYTES),
        value_bytes=LONG_VALUE_BYTES,
        chunk=section.chunk,
        commands=section.commands,
    )


def batch_bounds(section: MultiGetSection, settings: Settings) -> BatchBounds:
    """Return the bounds of a batch, and of the batches in flight to one server."""
    return BatchBounds(
        keys=section.part_keys,
        pipelined=min(section.part_keys, settings.requests_per_connection),
        key_bytes=section.part_kib << 10,
        in_flight_per_server=section.parts_of_server,
    )
