"""The clients' listening socket, if the platform holds it and every process of a router inherits it."""

from __future__ import annotations

import socket

from pebblepass.daemon.config import ConfigError
from pebblepass.wire.address import Address


def adopt(descriptor: int, address: Address) -> socket.socket:
    """Return the inherited socket that listens at this address.

    Raises ConfigError if the descriptor is no such socket; the descriptor stays open.
    """
    where = f"LB_INHERITED_FD: descriptor {descriptor}"
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"{where}: {error.strerror}") from None
    # Guards the platform's other descriptors: one that is no such socket stays open.
    wrong = ""
    if listener.family != socket.AF_INET or listener.type != socket.SOCK_STREAM:
        wrong = "no TCP socket over IPv4"
    elif not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        wrong = "does not listen"
    elif listener.getsockname() != address:
        wrong = "listens at {}:{}, not at {}:{}".format(*listener.getsockname(), *address)
    if wrong:
        listener.detach()
        raise ConfigError(f"{where}: {wrong}")
    return listener
