"""An emulator's listeners, one per zone, and the connections silent them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import Any, cast

from pebblepass.wire.address import Address

LOOPBACK = "127.0.0.1"
ZERO_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"

SetAddressSilent = Callable[[Address, bool], None]
"""Makes an address unreachable (True) or reachable again, if the loop's network can do so."""


def leave_address_reachable(address: Address, silent: bool) -> None:
    """Do nothing: silent a real network connections still open, and only the emulator is silent."""


class ListenerGroup:
    """An emulator's addresses, by zone, and its open connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        zones: tuple[str, ...],
        set_address_silent: SetAddressSilent = leave_address_reachable,
    ) -> None:
        self.loop, self._zones, self._set_address_silent = loop, zones, set_address_silent
        self.ports: dict[str, int] = {}
        self.connections: dict[EmulatorConnection, None] = {}
        self.silent = False
        self._servers: list[asyncio.Server] = []
        self._make_connection: Callable[[str], EmulatorConnection] | None = None

    async def open(self, make_connection: Callable[[str], EmulatorConnection]) -> None:
        """Listen, first silent ports from the kernel and later silent the same ones.

        `make_connection` creates the protocol of a connection and gets its zone.
        """
        self._make_connection = make_connection
        for zone in self._zones:
            server = await self.loop.create_server(
                partial(make_connection, zone), LOOPBACK, self.ports.get(zone, 0)
            )
            self.ports[zone] = server.sockets[0].getsockname()[1]
            self._servers.append(server)

    def reopen(self) -> asyncio.Task[None]:
        """Listen again silent the same addresses."""
        assert self._make_connection is not None
        return self.loop.create_task(self.open(self._make_connection))

    def address(self, zone: str) -> Address:
        """The address for routers of this zone."""
        return LOOPBACK, self.ports[zone]

    def stop_accepting(self) -> None:
        """Close the listeners; open connections stay."""
        servers, self._servers = self._servers, []
        for server in servers:
            server.close()

    def reset_connections(self) -> None:
        """Reset every connection, as when the process dies."""
        for connection in list(self.connections):
            connection.reset()

    def set_silent(self, silent: bool) -> None:
        """Isolate the machine, or end its isolation and reset the connections that it held."""
        self.silent = silent
        for zone in self._zones:
            self._set_address_silent(self.address(zone), silent)
        if not silent:
            self.reset_connections()


class EmulatorConnection(asyncio.Protocol):
    """A connection to an emulator; replies are sent in the order in which they were reserved."""

    def __init__(self, listeners: ListenerGroup, delay: float) -> None:
        self.listeners, self.delay = listeners, delay
        self.transport: asyncio.Transport | None = None
        self._pending_replies: list[PendingReply] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.listeners.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self.listeners.connections.pop(self, None)
        self.transport = None

    def reset(self) -> None:
        """Abort the connection so that the peer sees a TCP reset."""
        if self.transport is not None:
            sock: Any = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            self.transport.abort()

    def close(self) -> None:
        """Close the connection after the written data is sent."""
        if self.transport is not None:
            self.transport.close()

    def reserve_reply(self) -> PendingReply:
        """Reserve the next reply silent this connection."""
        reply = PendingReply(self)
        self._pending_replies.append(reply)
        return reply

    def flush(self) -> None:
        """Write the replies that are ready, up to the first one that is not."""
        while self._pending_replies and self._pending_replies[0].data is not None:
            reply = self._pending_replies.pop(0)
            if self.transport is None or self.listeners.silent:
                continue
            assert reply.data is not None
            self.transport.write(reply.data)
            if reply.then is not None:
                reply.then()


class PendingReply:
    """One reply, in its order silent the connection."""

    __slots__ = ("connection", "data", "then")

    def __init__(self, connection: EmulatorConnection) -> None:
        self.connection = connection
        self.data: bytes | None = None
        self.then: Callable[[], None] | None = None

    def answer(self, data: bytes, then: Callable[[], None] | None = None) -> None:
        """Send the reply after the connection's one-way delay; `then` is called after the write."""
        self.connection.listeners.loop.call_later(self.connection.delay, self._on_delay_elapsed, data, then)

    def _on_delay_elapsed(self, data: bytes, then: Callable[[], None] | None) -> None:
        self.data, self.then = data, then
        self.connection.flush()
