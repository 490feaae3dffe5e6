"""The platform's control address: `/control/ready` and `/control/counters`, one call to a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct
from msgspec.structs import replace

from pebblepass.control.shell import Bounds, Connection, Page, Shell
from pebblepass.wire.address import Address

CALLERS = 16
# Each place is a descriptor, and a caller may stay for seconds and say nothing: a newcomer gets its place.
BOUNDS = Bounds(connections=CALLERS, head=4 << 10, waiting=1, idle_s=2.0, one_call=True, make_room=True)

MOST_POLICY = 256 << 10  # bytes of a policy's file: 1,100 routers with long names take 106 KB


class Told(Struct, frozen=True):
    """What the address tells, asked for at each call."""

    ready: Callable[[], bool]
    counters: Callable[[], list[str]]
    fleet: Callable[[str, str, bytes], Awaitable[Page | None]] | None = None
    """Answers calls of a fleet of routers: method, path, body; None: there is no such call."""


class ControlAddress:
    """The listener for operators."""

    def __init__(self, loop: asyncio.AbstractEventLoop, told: Told, callers: int = CALLERS) -> None:
        """`callers`: the most at a time."""
        self._told = told
        body = MOST_POLICY if told.fleet is not None else 0
        self._shell = Shell(loop, self._respond, replace(BOUNDS, connections=callers, body=body))

    async def listen(self, address: Address) -> Address:
        """Listen; raises OSError where the address can't be had. Returns the address."""
        return await self._shell.listen(address)

    def close(self) -> None:
        """End."""
        self._shell.close()

    async def _respond(self, connection: Connection, method: str, target: str) -> Page:
        path = target.partition("?")[0]
        if self._told.fleet is not None:
            page = await self._told.fleet(method, path, connection.body)
            if page is not None:
                return page
        if path not in ("/control/ready", "/control/counters"):
            return Page(404, b"no such call\n")
        if method != "GET":
            return Page(405, b"GET only\n")
        if path == "/control/counters":
            return Page(200, "".join(f"{line}\n" for line in self._told.counters()).encode())
        return Page(200, b"ready\n") if self._told.ready() else Page(503, b"not ready\n")
