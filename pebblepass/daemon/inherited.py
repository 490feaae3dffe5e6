"""The clients' listening socket, where the platform holds it and every process of a router inherits it."""

from __future__ import annotations

import socket

from pebblepass.daemon.config import ConfigError
from pebblepass.wire.address import Address


def adopt(descriptor: int, address: Address) -> socket.socket:
    """Take the descriptor for the socket that listens at this address; raises ConfigError."""
    where = f"LB_INHERITED_FD: descriptor {descriptor}"
    try:
        held = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"{where}: {error.strerror}") from None
    # Guards the platform's own things: what is no such socket is left as it is, and open.
    wrong = ""
    if held.family != socket.AF_INET or held.type != socket.SOCK_STREAM:
        wrong = "no TCP socket over IPv4"
    elif not held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        wrong = "does not listen"
    elif held.getsockname() != address:
        wrong = "listens at {}:{}, not at {}:{}".format(*held.getsockname(), *address)
    if wrong:
        held.detach()
        raise ConfigError(f"{where}: {wrong}")
    return held
