"""Parser and encoder of the endpoint list in the discovery service's JSON format. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from msgspec import Struct

from pebblepass.decisions import ListKind, Server, ServersChanged, ServerState
from pebblepass.wire.address import Address, parse_address

_LIFECYCLES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.REMOVED}
_LIFECYCLE_NAMES = {state: name for name, state in _LIFECYCLES.items()}


class InvalidEndpointListError(ValueError):
    """The data is not a valid endpoint list. No part of it may be used."""


class EndpointList(Struct, frozen=True):
    """A response of the discovery service: the event for the decision module and the servers' addresses."""

    generation: int
    change: ServersChanged
    addresses: dict[str, Address]


class ClockOffset:
    """Converts between Unix time and the monotonic clock by a constant offset."""

    def __init__(self, monotonic_ns: int, unix_ns: int) -> None:
        """The arguments are readings of both clocks at the same time, in nanoseconds."""
        self._offset_ns = unix_ns - monotonic_ns

    def monotonic(self, unix_ms: int) -> int:
        """Return the monotonic time in nanoseconds; 0, which means an unknown time long ago, stays 0."""
        return unix_ms * 1_000_000 - self._offset_ns if unix_ms else 0

    def unix_ms(self, monotonic_ns: int) -> int:
        """Return the Unix time in milliseconds for a monotonic time; 0 stays 0."""
        return (monotonic_ns + self._offset_ns) // 1_000_000 if monotonic_ns else 0


def parse_endpoint_list(body: Any, clock: ClockOffset, kind: ListKind | None = None) -> EndpointList:
    """Parse decoded JSON; `kind` overrides the kind that the list names. Raises InvalidEndpointListError."""
    try:
        servers = tuple(_parse_server(entry, clock) for entry in body["instances"])
        addresses = {
            entry["instanceId"]: parse_address("hostPort", entry["hostPort"])
            for entry in body["instances"]
            if entry["lifecycle"] != "removed"
        }
        if kind is None:
            kind = ListKind.FULL if body["reset"] else ListKind.DELTA
        return EndpointList(int(body["generation"]), ServersChanged(kind, servers), addresses)
    except (KeyError, TypeError, AttributeError) as error:
        raise InvalidEndpointListError(f"not a list of servers: {type(error).__name__}: {error}") from None
    except ValueError as error:
        raise InvalidEndpointListError(str(error)) from None


def encode_endpoint_list(
    generation: int, servers: Iterable[Server], addresses: Mapping[str, Address], clock: ClockOffset
) -> dict[str, Any]:
    """Return the servers as a full list, to be encoded as JSON. Servers without an address are left out."""
    return {
        "generation": generation,
        "reset": True,
        "instances": [
            _encode_server(server, addresses[server.id], clock)
            for server in servers
            if server.id in addresses
        ],
    }


def _encode_server(server: Server, address: Address, clock: ClockOffset) -> dict[str, Any]:
    return {
        "instanceId": server.id,
        "hostPort": "{}:{}".format(*address),
        "zone": server.zone,
        "machineType": server.kind,
        "cell": server.cell,
        "lifecycle": _LIFECYCLE_NAMES[server.state],
        "weight": server.weight,
        "startedAtMs": clock.unix_ms(server.started),
    }


def _parse_server(entry: dict[str, Any], clock: ClockOffset) -> Server:
    if not isinstance(entry["instanceId"], str):
        raise TypeError("instanceId must be a string")
    weight = entry.get("weight")
    return Server(
        id=entry["instanceId"],
        kind=entry.get("machineType") or "",
        state=_LIFECYCLES[entry["lifecycle"]],
        weight=1.0 if weight is None else float(weight),
        started=clock.monotonic(int(entry.get("startedAtMs") or 0)),
        zone=entry.get("zone") or "",
        cell=int(entry.get("cell") or 0),
    )
