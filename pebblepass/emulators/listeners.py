"""A stand-in's listeners, one for each data centre, and the connections on them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import Any, cast

from pebblepass.wire.address import Address

LOOPBACK = "127.0.0.1"
LINGER_0 = b"\x01\x00\x00\x00\x00\x00\x00\x00"

SetAddressSilent = Callable[[Address, bool], None]
"""Cuts an address off, or connects it again, where the network under the loop can do so."""


def leave_address_reachable(address: Address, on: bool) -> None:
    """On a real network connects still come up; what is silent is the stand-in."""


class ListenerGroup:
    """The place that a stand-in holds: its addresses, by zone, and who is connected."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        zones: tuple[str, ...],
        silence: SetAddressSilent = leave_address_reachable,
    ) -> None:
        self.loop, self._zones, self._silence = loop, zones, silence
        self.ports: dict[str, int] = {}
        self.connections: dict[EmulatorConnection, None] = {}
        self.silent = False
        self._servers: list[asyncio.Server] = []
        self._make: Callable[[str], EmulatorConnection] | None = None

    async def open(self, make: Callable[[str], EmulatorConnection]) -> None:
        """Listen, the first time on ports from the kernel and later on the same; `make` is given the zone."""
        self._make = make
        for zone in self._zones:
            server = await self.loop.create_server(partial(make, zone), LOOPBACK, self.ports.get(zone, 0))
            self.ports[zone] = server.sockets[0].getsockname()[1]
            self._servers.append(server)

    def reopen(self) -> asyncio.Task[None]:
        """Listen again at the addresses held before."""
        assert self._make is not None
        return self.loop.create_task(self.open(self._make))

    def address(self, zone: str) -> Address:
        """Where routers of this zone connect."""
        return LOOPBACK, self.ports[zone]

    def stop_accepting(self) -> None:
        """Take no new connections; those that stand go on."""
        servers, self._servers = self._servers, []
        for server in servers:
            server.close()

    def reset_connections(self) -> None:
        """Reset every connection, as the end of a process does."""
        for line in list(self.connections):
            line.reset()

    def set_silent(self, on: bool) -> None:
        """Cut the machine off; when it is back, what it held is reset."""
        self.silent = on
        for zone in self._zones:
            self._silence(self.address(zone), on)
        if not on:
            self.reset_connections()


class EmulatorConnection(asyncio.Protocol):
    """One connection to a stand-in; answers leave in the order in which their places were taken."""

    def __init__(self, listeners: ListenerGroup, delay: float) -> None:
        self.listeners, self.delay = listeners, delay
        self.transport: asyncio.Transport | None = None
        self._places: list[PendingReply] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.listeners.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end."""
        self.listeners.connections.pop(self, None)
        self.transport = None

    def reset(self) -> None:
        """Break the connection so that the other end sees a reset."""
        if self.transport is not None:
            held: Any = self.transport.get_extra_info("socket")
            held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
            self.transport.abort()

    def close(self) -> None:
        """Close the connection once what was written has left."""
        if self.transport is not None:
            self.transport.close()

    def reserve_reply(self) -> PendingReply:
        """Take the place of the next answer."""
        place = PendingReply(self)
        self._places.append(place)
        return place

    def flush(self) -> None:
        """Write the answers that are due."""
        while self._places and self._places[0].data is not None:
            place = self._places.pop(0)
            if self.transport is None or self.listeners.silent:
                continue
            assert place.data is not None
            self.transport.write(place.data)
            if place.then is not None:
                place.then()


class PendingReply:
    """The place of one answer on its connection."""

    __slots__ = ("data", "line", "then")

    def __init__(self, line: EmulatorConnection) -> None:
        self.line = line
        self.data: bytes | None = None
        self.then: Callable[[], None] | None = None

    def answer(self, data: bytes, then: Callable[[], None] | None = None) -> None:
        """Give the answer, which travels for the connection's one-way delay; `then` follows it."""
        self.line.listeners.loop.call_later(self.line.delay, self._arrive, data, then)

    def _arrive(self, data: bytes, then: Callable[[], None] | None) -> None:
        self.data, self.then = data, then
        self.line.flush()
