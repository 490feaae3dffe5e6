"""The operator's configuration file: a validated schema with a section for each subsystem.

`run` loads it only if `PEBBLEPASS_OPERATOR` names a file; without one every optional subsystem is off.
"""

from pebblepass.operator_config.loader import FileError, decode_toml, describe, read_toml
from pebblepass.operator_config.schema import (
    AccountingSection,
    FleetSection,
    LogSection,
    MultiGetSection,
    Operator,
    load_operator,
)

__all__ = [
    "AccountingSection",
    "FileError",
    "FleetSection",
    "LogSection",
    "MultiGetSection",
    "Operator",
    "decode_toml",
    "describe",
    "load_operator",
    "read_toml",
]
