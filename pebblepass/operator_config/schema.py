"""The sections of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from pebblepass.operator_config.loader import FileError, read_toml


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: what the daemon writes to standard error."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        msgspec.Meta(description="the least grave line that is written"),
    ] = "info"
    lines_per_second: Annotated[
        int,
        msgspec.Meta(ge=1, le=1000, description="lines written a second at most; the rest is counted"),
    ] = 5


class AccountingSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[figures]`: the ledger. Without this section the router keeps none."""

    listen: Annotated[
        str,
        msgspec.Meta(description="HOST:PORT for /figures, /metrics and /breaches; empty: no listener"),
    ] = ""
    directory: Annotated[
        str,
        msgspec.Meta(description="a folder that outlives the router, for its snapshots; empty: none"),
    ] = ""
    snapshot_every_s: Annotated[
        float, msgspec.Meta(ge=0.1, le=3600, description="seconds from one snapshot to the next")
    ] = 5.0
    webhook: Annotated[
        str, msgspec.Meta(description="http://HOST:PORT/PATH that each breach is posted to; empty: none")
    ] = ""


class MultiGetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[many_keys]`: reads of many keys, `KV.MGET`. Without this section the command is unknown."""

    keys_in_flight: Annotated[
        int, msgspec.Meta(ge=1, le=100_000, description="keys asked at a time, over all commands")
    ] = 256
    keys_of_one: Annotated[
        int, msgspec.Meta(ge=1, le=1024, description="keys asked at a time for one command")
    ] = 128
    commands: Annotated[
        int, msgspec.Meta(ge=1, le=10_000, description="commands under way; further ones are refused")
    ] = 256
    chunk: Annotated[
        int, msgspec.Meta(ge=1, le=1024, description="keys asked before other requests have their turn")
    ] = 64
    held_kib: Annotated[
        int,
        msgspec.Meta(
            ge=128, le=1 << 20, description="memory for what is gathered, a quarter of the router's at most"
        ),
    ] = 48 << 10
    part_keys: Annotated[int, msgspec.Meta(ge=1, le=1024, description="keys that go to a node together")] = 32
    part_kib: Annotated[int, msgspec.Meta(ge=1, le=64, description="words of keys that go together")] = 16
    parts_of_server: Annotated[
        int, msgspec.Meta(ge=1, le=16, description="parts that one node has under way")
    ] = 3
    margin_ms: Annotated[
        int, msgspec.Meta(ge=1, le=1000, description="the answer leaves so long before its time is up")
    ] = 25
    hedge_share: Annotated[
        float,
        msgspec.Meta(ge=0, le=0.5, description="second copies of slow keys, as a share of all attempts"),
    ] = 0.02
    node_kinds: Annotated[
        tuple[str, ...],
        msgspec.Meta(description="kinds of nodes that take KV.MGET themselves; to others single reads go"),
    ] = ()


class FleetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[fleet]`: routers that know each other, the same at each; without it a router is alone."""

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=64, description="the fleet's name")]
    members: Annotated[
        dict[str, str], msgspec.Meta(min_length=1, description="routers and the addresses that others reach")
    ]
    voters: Annotated[
        tuple[str, ...], msgspec.Meta(min_length=1, max_length=9, description="those that decide: 3, 5 or 7")
    ]
    listen: Annotated[
        str, msgspec.Meta(description="HOST:PORT for links; empty: the address among the members")
    ] = ""
    directory: Annotated[
        str, msgspec.Meta(description="a folder that lasts, for a voter's promises; empty: it can't vote")
    ] = ""
    lease_ms: Annotated[
        int, msgspec.Meta(ge=100, le=60_000, description="for which a policy may be used without a word")
    ] = 1000
    drift: Annotated[
        float, msgspec.Meta(ge=0.01, le=0.5, description="by which part a router's clock may be wrong")
    ] = 0.1
    alone_after_s: Annotated[
        float,
        msgspec.Meta(ge=0, le=3600, description="after which a router without a lease serves at the floor"),
    ] = 10.0


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; a section that is left out leaves its subsystem as it is by default."""

    log: Annotated[LogSection, msgspec.Meta(description="the log")] = LogSection()
    figures: Annotated[AccountingSection | None, msgspec.Meta(description="the ledger")] = None
    many_keys: Annotated[MultiGetSection | None, msgspec.Meta(description="reads of many keys, KV.MGET")] = (
        None
    )
    fleet: Annotated[FleetSection | None, msgspec.Meta(description="a fleet of routers")] = None


def load_operator(path: str | Path) -> Operator:
    """Read the operator's file; raises FileError in one plain line."""
    operator = read_toml(path, Operator)
    if operator.fleet is not None:
        strange = sorted({*operator.fleet.voters} - operator.fleet.members.keys())
        if strange:
            raise FileError(f"{path}: fleet.voters: {strange[0]} is not among fleet.members")
    return operator
