"""A list of 1,100 servers, written as long as discovery may write it, is read whole."""

from __future__ import annotations

import json

from pebblepass.discovery.connection import MAX_BODY
from pebblepass.discovery.endpoint_list import ClockOffset, parse_endpoint_list

SERVERS = 1100


def body() -> bytes:
    """Indented, with long names, and each server named twice: once as removed."""
    names = [f"cache-{number:04d}.zone-a.region-1" for number in range(SERVERS)]
    instances = [
        {
            "instanceId": f"{lifecycle}-{name}",
            "hostPort": f"{name}.internal.example:6379",
            "zone": "zone-a.region-1",
            "machineType": "std-1c",
            "cell": 12,
            "lifecycle": lifecycle,
            "weight": 0.3333333333333333,
            "startedAtMs": 1_764_650_000_000,
        }
        for name in names
        for lifecycle in ("removed", "up")
    ]
    return json.dumps({"generation": 41, "reset": False, "instances": instances}, indent=4).encode()


def test_a_change_of_1100_servers_is_far_under_the_longest_body() -> None:
    told = body()
    assert len(told) <= MAX_BODY // 8
    listing = parse_endpoint_list(json.loads(told), ClockOffset(0, 0))
    assert len(listing.change.servers) == 2 * SERVERS
    assert len(listing.addresses) == SERVERS
