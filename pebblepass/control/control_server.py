"""The platform's control address, one request per connection.

`/control/ready` and `/control/counters` are the platform's; `/control/diagnostics` is for whoever is on call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct
from msgspec.structs import replace

from pebblepass.control.http_server import Connection, HttpServer, Page, ServerLimits
from pebblepass.wire.address import Address

MAX_CONNECTIONS = 16
# Each connection takes a descriptor, and clients may stay idle for seconds, so a new one evicts an idle one.
LIMITS = ServerLimits(
    connections=MAX_CONNECTIONS,
    head_bytes=4 << 10,
    queued_requests=1,
    idle_timeout_s=2.0,
    one_call=True,
    evict_idle=True,
)
MAX_POLICY_BYTES = 256 << 10  # a policy file with 1,100 routers that have long names takes 106 KB


class ControlSources(Struct, frozen=True):
    """The callbacks that provide the responses. They are called for each request."""

    ready: Callable[[], bool]
    counters: Callable[[], list[str]]
    fleet: Callable[[str, str, bytes], Awaitable[Page | None]] | None = None
    """Responds to a request about the fleet, given its method, path and body; None: it is no such request."""
    diagnostics: Callable[[], list[str]] | None = None
    """Returns what memory is in use, and why connections were closed; None: there is no such page."""


class ControlServer:
    """The HTTP server of the control address."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sources: ControlSources, connections: int = MAX_CONNECTIONS
    ) -> None:
        """`connections`: the maximum number of open connections."""
        self._sources = sources
        body_bytes = MAX_POLICY_BYTES if sources.fleet is not None else 0
        limits = replace(LIMITS, connections=connections, body_bytes=body_bytes)
        self._server = HttpServer(loop, self._respond, limits)

    async def listen(self, address: Address) -> Address:
        """Listen, and return the bound address; raises OSError if it can't be bound."""
        return await self._server.listen(address)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()

    async def _respond(self, connection: Connection, method: str, target: str) -> Page:
        path = target.partition("?")[0]
        if self._sources.fleet is not None:
            page = await self._sources.fleet(method, path, connection.body)
            if page is not None:
                return page
        pages = {
            "/control/counters": self._sources.counters,
            "/control/diagnostics": self._sources.diagnostics,
        }
        lines = pages.get(path)
        if lines is None and path != "/control/ready":
            return Page(404, b"no such call\n")
        if method != "GET":
            return Page(405, b"GET only\n")
        if lines is not None:
            return Page(200, "".join(f"{line}\n" for line in lines()).encode())
        return Page(200, b"ready\n") if self._sources.ready() else Page(503, b"not ready\n")
