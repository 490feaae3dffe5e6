"""Addresses as the configuration and the list of servers write them: HOST:PORT."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]


def parse_address(where: str, text: Any) -> Address:
    """Split HOST:PORT; raises ValueError in one plain line."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{where}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)
