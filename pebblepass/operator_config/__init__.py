"""The operator's own file: one checked schema, a section for each subsystem.

`run` loads this only where `PEBBLEPASS_OPERATOR` names a file; without one every subsystem is off.
"""

from pebblepass.operator_config.checked import FileError, decode_toml, describe, read_toml
from pebblepass.operator_config.schema import (
    FiguresSection,
    FleetSection,
    LogSection,
    ManyKeysSection,
    Operator,
    load_operator,
)

__all__ = [
    "FiguresSection",
    "FileError",
    "FleetSection",
    "LogSection",
    "ManyKeysSection",
    "Operator",
    "decode_toml",
    "describe",
    "load_operator",
    "read_toml",
]
