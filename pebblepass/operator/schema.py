"""The sections of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from pebblepass.operator.checked import read_toml


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


class FiguresSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; a section that is left out leaves its subsystem as it is by default."""

    log: Annotated[LogSection, msgspec.Meta(description="the log")] = LogSection()
    figures: Annotated[FiguresSection | None, msgspec.Meta(description="the ledger")] = None


def load_operator(path: str | Path) -> Operator:
    """Read the operator's file; raises FileError in one plain line."""
    return read_toml(path, Operator)
