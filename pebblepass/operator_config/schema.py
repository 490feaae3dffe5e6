"""The sections of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from pebblepass.operator_config.loader import FileError, read_toml


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: the daemon's log on standard error."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        msgspec.Meta(description="the lowest level that is logged"),
    ] = "info"
    lines_per_second: Annotated[
        int,
        msgspec.Meta(
            ge=1, le=1000, description="maximum number of lines per second; further lines are only counted"
        ),
    ] = 5


class AccountingSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[figures]`: the ledger. Without this section the router has none."""

    listen: Annotated[
        str,
        msgspec.Meta(description="HOST:PORT for /figures, /metrics and /breaches; empty: no listener"),
    ] = ""
    directory: Annotated[
        str,
        msgspec.Meta(description="a directory for snapshots that outlives the router; empty: no snapshots"),
    ] = ""
    snapshot_every_s: Annotated[
        float, msgspec.Meta(ge=0.1, le=3600, description="seconds between snapshots")
    ] = 5.0
    webhook: Annotated[
        str, msgspec.Meta(description="http://HOST:PORT/PATH to which breaches are posted; empty: no webhook")
    ] = ""


class MultiGetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[many_keys]`: the command `KV.MGET`, which reads many keys. Without this section it is unknown."""

    keys_in_flight: Annotated[
        int, msgspec.Meta(ge=1, le=100_000, description="maximum number of keys in flight over all commands")
    ] = 256
    keys_of_one: Annotated[
        int, msgspec.Meta(ge=1, le=1024, description="maximum number of keys in flight for one command")
    ] = 128
    commands: Annotated[
        int,
        msgspec.Meta(
            ge=1, le=10_000, description="maximum number of concurrent commands; further ones are refused"
        ),
    ] = 256
    chunk: Annotated[
        int, msgspec.Meta(ge=1, le=1024, description="keys started before other requests are handled")
    ] = 64
    held_kib: Annotated[
        int,
        msgspec.Meta(
            ge=128,
            le=1 << 20,
            description="KiB for values held for commands, at most a quarter of the router's memory",
        ),
    ] = 48 << 10
    part_keys: Annotated[
        int, msgspec.Meta(ge=1, le=1024, description="maximum number of keys per part sent to a node")
    ] = 32
    part_kib: Annotated[int, msgspec.Meta(ge=1, le=64, description="maximum KiB of key names per part")] = 16
    parts_of_server: Annotated[
        int, msgspec.Meta(ge=1, le=16, description="maximum number of parts in flight to one node")
    ] = 3
    margin_ms: Annotated[
        int,
        msgspec.Meta(
            ge=1, le=1000, description="milliseconds before its deadline by which a command is answered"
        ),
    ] = 25
    hedge_share: Annotated[
        float,
        msgspec.Meta(
            ge=0, le=0.5, description="maximum share of hedged attempts for slow keys in all attempts"
        ),
    ] = 0.02
    node_kinds: Annotated[
        tuple[str, ...],
        msgspec.Meta(description="kinds of nodes that support KV.MGET; other nodes receive single reads"),
    ] = ()


class FleetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[fleet]`: the fleet of routers; without this section a router runs alone.

    All routers of a fleet have the same section, except for `listen` and `directory`.
    """

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=64, description="the fleet's name")]
    members: Annotated[
        dict[str, str],
        msgspec.Meta(min_length=1, description="each router's name and the address where others reach it"),
    ]
    voters: Annotated[
        tuple[str, ...],
        msgspec.Meta(
            min_length=1, max_length=9, description="the routers that vote on policy; normally 3, 5 or 7"
        ),
    ]
    listen: Annotated[
        str, msgspec.Meta(description="HOST:PORT for links between routers; empty: its address in `members`")
    ] = ""
    directory: Annotated[
        str,
        msgspec.Meta(description="a persistent directory for a voter's log; empty: the router can't vote"),
    ] = ""
    lease_ms: Annotated[
        int,
        msgspec.Meta(
            ge=100, le=60_000, description="milliseconds for which a policy may be used without renewal"
        ),
    ] = 1000
    drift: Annotated[
        float,
        msgspec.Meta(ge=0.01, le=0.5, description="maximum error of a router's clock rate, as a fraction"),
    ] = 0.1
    alone_after_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=3600,
            description="seconds after start until a router without a lease is ready, with its floor quotas",
        ),
    ] = 10.0


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; an omitted section has its default."""

    log: Annotated[LogSection, msgspec.Meta(description="the log")] = LogSection()
    figures: Annotated[AccountingSection | None, msgspec.Meta(description="the ledger")] = None
    many_keys: Annotated[MultiGetSection | None, msgspec.Meta(description="the command KV.MGET")] = None
    fleet: Annotated[FleetSection | None, msgspec.Meta(description="the fleet of routers")] = None


def load_operator(path: str | Path) -> Operator:
    """Read and validate the operator's file; raises FileError."""
    operator = read_toml(path, Operator)
    if operator.fleet is not None:
        unknown_voters = sorted({*operator.fleet.voters} - operator.fleet.members.keys())
        if unknown_voters:
            raise FileError(f"{path}: fleet.voters: {unknown_voters[0]} is not in fleet.members")
    return operator
