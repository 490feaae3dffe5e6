"""Addresses in the format of the configuration and the endpoint list: HOST:PORT."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]


def parse_address(where: str, text: Any) -> Address:
    """Split HOST:PORT; raises a ValueError of one line that begins with `where`."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{where}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)
