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


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; a section that is left out leaves its subsystem as it is by default."""

    log: Annotated[LogSection, msgspec.Meta(description="the log")] = LogSection()


def load_operator(path: str | Path) -> Operator:
    """Read the operator's file; raises FileError in one plain line."""
    return read_toml(path, Operator)
