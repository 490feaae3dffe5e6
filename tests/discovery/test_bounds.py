"""A delta of 1,100 servers in its longest form is within the limit of a response body."""

from __future__ import annotations

import json

from pebblepass.discovery.connection import MAX_BODY
from pebblepass.discovery.endpoint_list import ClockOffset, parse_endpoint_list

SERVERS = 1100


def delta_body() -> bytes:
    """Return an indented delta with long names, in which each server is listed twice, once as removed."""
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


def test_delta_of_1100_servers_is_far_below_the_body_limit() -> None:
    data = delta_body()
    assert len(data) <= MAX_BODY // 8
    endpoint_list = parse_endpoint_list(json.loads(data), ClockOffset(0, 0))
    assert len(endpoint_list.change.servers) == 2 * SERVERS
    assert len(endpoint_list.addresses) == SERVERS
