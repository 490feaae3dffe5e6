"""A router's configuration: the file named by LB_CONFIG, and environment variables that override it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct

from pebblepass.decisions import Settings
from pebblepass.decisions.settings import WireError, read_settings, require_type
from pebblepass.discovery.endpoint_list import ClockOffset, parse_endpoint_list
from pebblepass.wire.address import Address, parse_address

DEFAULT_MAX_OPEN = 20_000
DEFAULT_DIAL_TIMEOUT_NS = 250_000_000
DEFAULT_IDLE_CLOSE_NS = 10_000_000_000
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024


class ConfigError(Exception):
    """The configuration is invalid; the message is one line."""


class Config(Struct, frozen=True):
    """A valid configuration; times are nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    max_open: int
    """Maximum number of open requests."""
    dial_timeout: int
    idle_close: int
    """Maximum time after which a cache server closes an idle connection."""
    memory: int
    """Bytes; the platform kills a router that uses more."""
    sockets: int
    cores: float
    """Number of cores that the router may use; may be a fraction."""
    ops: Address | None
    """The control address, if there is one."""
    inherited: int | None
    """The descriptor of the clients' listening socket, if the process inherits it from the platform."""
    known: dict[str, Any] | None
    """The cached endpoint list in discovery's format; it may be outdated."""


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration; environment variables override the file. Raises ConfigError."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            decoded = msgspec.json.decode(file.read())
        return read_config(require_type("the file", decoded, dict), environ)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: missing field {error.args[0]!r}") from None
    except (WireError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None


def reload_discovery(environ: Mapping[str, str]) -> Address:
    """Read discovery's address from the file again, ignoring LB_DISCOVERY. Raises ConfigError."""
    return load_config({name: value for name, value in environ.items() if name != "LB_DISCOVERY"}).discovery


def _positive(where: str, value: Any, default: int) -> int:
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 1:
        raise ValueError(f"{where}: expected a number of at least 1, got {value!r}")
    return int(value)


def _cores(value: Any) -> float:
    if value is None:
        return 1.0
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ValueError(f"limits.cores: expected a number above 0, got {value!r}")
    return float(value)


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdecimal() or len(text) > 9:
        raise ValueError(f"LB_INHERITED_FD: expected the number of a descriptor, got {text!r}")
    return int(text)


def read_config(decoded: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """Read the decoded file; raises KeyError, WireError, ValueError or TypeError if it is invalid."""
    settings = require_type("settings", decoded["settings"], dict)
    ceilings = settings.get("ceilings") or {}
    limits = require_type("limits", decoded.get("limits") or {}, dict)
    known = decoded.get("known")
    if known is not None:
        # Parsed here too, so that an invalid list is a ConfigError and not a failure of the running router.
        parse_endpoint_list(require_type("known", known, dict), ClockOffset(0, 0))
    return Config(
        name=environ.get("LB_NAME") or str(decoded.get("name") or "router"),
        listen=parse_address("listen", environ.get("LB_LISTEN") or decoded["listen"]),
        discovery=parse_address("discovery", environ.get("LB_DISCOVERY") or decoded["discovery"]),
        seed=int(str(decoded.get("seed") or "0"), 16),
        settings=read_settings(settings),
        max_open=_positive("ceilings.maxOpen", ceilings.get("maxOpen"), DEFAULT_MAX_OPEN),
        dial_timeout=_positive(
            "ceilings.dialTimeoutNs", ceilings.get("dialTimeoutNs"), DEFAULT_DIAL_TIMEOUT_NS
        ),
        idle_close=_positive("ceilings.idleCloseNs", ceilings.get("idleCloseNs"), DEFAULT_IDLE_CLOSE_NS),
        memory=_positive("limits.memory_mb", limits.get("memory_mb"), DEFAULT_MEMORY_MB) << 20,
        sockets=_positive("limits.sockets", limits.get("sockets"), DEFAULT_SOCKETS),
        cores=_cores(limits.get("cores")),
        ops=parse_address("ops", ops) if (ops := environ.get("LB_OPS") or decoded.get("ops")) else None,
        inherited=_descriptor(environ.get("LB_INHERITED_FD")),
        known=known,
    )
