"""Opens a connection to a server, with a timeout."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from pebblepass.daemon.server_connection import Connection, Server

LATE_TIMER_S = 0.02  # a timer this late means that the event loop lagged, and the connection may be open


class DialResult(NamedTuple):
    """The result of a dial."""

    connection: Connection | None
    """The connection, if the server accepted it."""
    is_isolated: bool
    """Whether the failure is excluded from the health statistics, see `Server.record_dial_timeout`."""


async def dial(loop: asyncio.AbstractEventLoop, server: Server, timeout_s: float) -> DialResult:
    """Connect to the server's address within `timeout_s` seconds; cancelled, it leaves no connection open."""
    connection: Connection | None = None
    coroutine = loop.create_connection(lambda: server.connect(server), *server.address)
    connecting = loop.create_task(coroutine)
    started_at, is_isolated = loop.time(), False
    try:
        due = started_at + timeout_s
        await asyncio.wait((connecting,), timeout=timeout_s)
        if not connecting.done() and loop.time() - due > LATE_TIMER_S:
            await asyncio.wait((connecting,), timeout=LATE_TIMER_S)
        if connecting.done():
            _, connection = connecting.result()
        else:
            is_isolated = server.record_dial_timeout(started_at, loop.time())
    except (OSError, ValueError):
        pass  # an invalid host name raises UnicodeError, which is a failed dial too
    finally:
        if connection is None:
            # A cancelled dial may have connected in this iteration of the loop; its descriptor must not leak.
            connecting.add_done_callback(_close_abandoned)
            connecting.cancel()
    return DialResult(connection, is_isolated)


def _close_abandoned(connecting: asyncio.Task[tuple[asyncio.Transport, Connection]]) -> None:
    """Close the connection of a dial that was cancelled or timed out."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[1].close()
