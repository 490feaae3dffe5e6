"""The accounting listener for operators: the ledger and its breaches over HTTP/1.1.

`GET /figures` returns JSON and `GET /metrics` OpenMetrics. `GET /breaches` streams breaches as server-sent
events (WHATWG HTML). `POST /breaches/acknowledge?through=N` acknowledges breaches up to number N.
`AccountingPages` provides the contents.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from pebblepass.control.http_server import Connection, HttpServer, Page, ServerLimits
from pebblepass.wire.address import Address

MAX_CONNECTIONS = 32
MAX_HEAD_BYTES = 16 << 10
MAX_UNREAD_BYTES = 64 << 10  # a subscriber with more unsent data is dropped
LIMITS = ServerLimits(
    connections=MAX_CONNECTIONS,
    head_bytes=MAX_HEAD_BYTES,
    queued_requests=16,
    idle_timeout_s=10.0,
    one_call=False,
    evict_idle=False,
)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n: open\n\n"
)


@dataclass(frozen=True, slots=True)
class AccountingPages:
    """The functions that provide the contents of the pages."""

    figures: Callable[[], Awaitable[bytes]]
    metrics: Callable[[], Awaitable[Page]]
    acknowledge: Callable[[int], int]
    """Acknowledges breaches up to a number, and returns how many were pending."""
    pending: Callable[[], list[bytes]]
    """Returns an event for each unacknowledged breach."""


class AccountingServer:
    """Serves the accounting pages and streams breaches to subscribers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, pages: AccountingPages) -> None:
        self.pages = pages
        self.subscribers: dict[Connection, None] = {}
        self._server = HttpServer(loop, self._respond, LIMITS)

    async def listen(self, address: Address) -> Address:
        """Listen, and return the bound address; raises OSError if it can't be bound."""
        return await self._server.listen(address)

    def publish(self, event: bytes) -> None:
        """Queue an event for every subscriber without waiting; one that does not read is dropped."""
        for subscriber in list(self.subscribers):
            subscriber.push(event, MAX_UNREAD_BYTES)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()

    async def _respond(self, connection: Connection, method: str, target: str) -> Page | None:
        parts, pages = urlsplit(target), self.pages
        expected_method = "POST" if parts.path == "/breaches/acknowledge" else "GET"
        if parts.path not in ("/figures", "/metrics", "/breaches", "/breaches/acknowledge"):
            return Page(404, b"no such page\n")
        if method != expected_method:
            return Page(405, f"{expected_method} only\n".encode())
        if parts.path == "/figures":
            return Page(200, await pages.figures(), "application/json")
        if parts.path == "/metrics":
            return await pages.metrics()
        if parts.path == "/breaches":
            self._subscribe(connection)
            return None
        through = parse_qs(parts.query).get("through", [""])[0]
        if not through.isdecimal():
            return Page(400, b"through must be a breach's number\n")
        return Page(200, b'{"acknowledged":%d}\n' % pages.acknowledge(int(through)), "application/json")

    def _subscribe(self, connection: Connection) -> None:
        def unsubscribe() -> None:
            self.subscribers.pop(connection, None)

        connection.on_closed = unsubscribe
        connection.start_stream(STREAM_HEAD)
        self.subscribers[connection] = None
        for event in self.pages.pending():
            connection.push(event, MAX_UNREAD_BYTES)
