"""The clients' listening socket, if the platform holds it and every process of a router inherits it."""

from __future__ import annotations

import socket

from pebblepass.daemon.config import ConfigError
from pebblepass.wire.address import Address


def adopt_listener(descriptor: int, address: Address) -> socket.socket:
    """Return the inherited socket that listens at this address.

    Raises ConfigError if the descriptor is no such socket; the descriptor stays open.
    """
    where = f"LB_INHERITED_FD: descriptor {descriptor}"
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"{where}: {error.strerror}") from None
    problem = ""
    if listener.family != socket.AF_INET or listener.type != socket.SOCK_STREAM:
        problem = "not a TCP socket over IPv4"
    elif not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        problem = "does not listen"
    elif listener.getsockname() != address:
        problem = "listens at {}:{}, not at {}:{}".format(*listener.getsockname(), *address)
    if problem:
        listener.detach()  # the descriptor may be another one of the platform's, so it is not closed
        raise ConfigError(f"{where}: {problem}")
    return listener
