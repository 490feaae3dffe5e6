"""Opening one connection to a server, within a time."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from pebblepass.daemon.server_connection import Connection, Server

LATE_TIMER_S = 0.02  # a timer this late means that the event loop lagged, and the connection may be ready


class DialResult(NamedTuple):
    """What came of a dial."""

    connection: Connection | None
    """The connection, if the server accepted it."""
    is_isolated: bool
    """Whether the failure says nothing of the server: other dials of the same time have failed too."""


async def dial(loop: asyncio.AbstractEventLoop, server: Server, timeout_s: float) -> DialResult:
    """Connect to the server's address, for at most `timeout_s` seconds; cancelled, it leaves none."""
    connection: Connection | None = None
    attempt = loop.create_connection(lambda: server.connect(server), *server.address)
    connecting = loop.create_task(attempt)
    began, isolated = loop.time(), False
    try:
        due = began + timeout_s
        await asyncio.wait((connecting,), timeout=timeout_s)
        if not connecting.done() and loop.time() - due > LATE_TIMER_S:
            await asyncio.wait((connecting,), timeout=LATE_TIMER_S)
        if connecting.done():
            _, connection = connecting.result()
        else:
            isolated = server.record_dial_timeout(began, loop.time())
    except (OSError, ValueError):
        pass  # an invalid host name raises UnicodeError: no server is there either
    finally:
        if connection is None:
            # Guards the descriptors: a cancelled dial may have connected in this iteration of the loop.
            connecting.add_done_callback(_close_abandoned)
            connecting.cancel()
    return DialResult(connection, isolated)


def _close_abandoned(connecting: asyncio.Task[tuple[asyncio.Transport, Connection]]) -> None:
    """Close the connection of a dial that was given up."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[1].close()
