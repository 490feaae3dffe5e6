"""The operator's listener: the ledger over HTTP/1.1, and breaches as a stream of server-sent events.

`GET /figures` JSON; `GET /metrics` OpenMetrics; `GET /breaches` the stream (WHATWG HTML, Server-sent events);
`POST /breaches/acknowledge?through=N` takes note of breaches. What to say comes from `Pages`.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast
from urllib.parse import parse_qs, urlsplit

import httptools

from pebblepass.wire.address import Address

MOST_CONNECTIONS = 32
MOST_HEAD = 16 << 10
MOST_UNREAD = 64 << 10  # a subscriber that takes no more than this is dropped
MOST_ASKED = 16  # requests of one connection that wait for their answer
IDLE_S = 10.0

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    503: b"Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Pages:
    """What the listener tells."""

    figures: Callable[[], Awaitable[bytes]]
    metrics: Callable[[], Awaitable[tuple[str, bytes]]]
    """The content type, and the text."""
    acknowledge: Callable[[int], int]
    """Takes note of breaches up to a number; returns how many those were."""
    pending: Callable[[], list[bytes]]
    """The events of the breaches that nobody has taken note of."""


class FiguresListener:
    """The listener, its connections and its subscribers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, pages: Pages) -> None:
        self.loop, self.pages = loop, pages
        self.connections: dict[_Connection, None] = {}
        self.subscribers: dict[_Connection, None] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Listen; raises OSError where the address can't be had. Returns the address."""
        self._server = await self.loop.create_server(lambda: _Connection(self), *address)
        bound: Address = self._server.sockets[0].getsockname()[:2]
        return bound

    def publish(self, event: bytes) -> None:
        """Send an event to every subscriber; one that does not read is dropped, and delays nobody."""
        for subscriber in list(self.subscribers):
            subscriber.event(event)

    def close(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """One connection of an operator's tool."""

    def __init__(self, listener: FiguresListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._head = 0
        self._idle: asyncio.TimerHandle | None = None
        self._asked: deque[tuple[str, bytes, bool]] = deque()  # target, method, whether to go on
        self._answering: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if len(self._listener.connections) >= MOST_CONNECTIONS:
            self._answer(503, b"text/plain", b"too many connections\n", keep=False)
            return
        self._listener.connections[self] = None
        self._wait()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._listener.connections.pop(self, None)
        self._listener.subscribers.pop(self, None)
        if self._idle is not None:
            self._idle.cancel()
        if self._answering is not None:
            self._answering.cancel()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _wait(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = self._listener.loop.call_later(IDLE_S, self.abort)

    def data_received(self, data: bytes) -> None:
        self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400, b"text/plain", b"not HTTP/1.1\n", keep=False)
            return
        # Guards the memory against a request without an end.
        if self._head > MOST_HEAD:
            self._answer(400, b"text/plain", b"request too long\n", keep=False)

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        target, self._target, self._head = self._target.decode("ascii", "replace"), b"", 0
        # Guards the memory against one that asks and asks, and takes no answer.
        if len(self._asked) >= MOST_ASKED:
            self.abort()
            return
        self._asked.append((target, self._parser.get_method(), self._parser.should_keep_alive()))
        self._wait()
        if self._answering is None or self._answering.done():
            self._answering = self._listener.loop.create_task(self._answer_all())

    async def _answer_all(self) -> None:
        """Answer one after another, in the order in which they were asked."""
        while self._asked:
            await self._answer_one(*self._asked.popleft())

    async def _answer_one(self, target: str, method: bytes, keep: bool) -> None:
        parts = urlsplit(target)
        pages = self._listener.pages
        wanted = b"POST" if parts.path == "/breaches/acknowledge" else b"GET"
        if parts.path not in ("/figures", "/metrics", "/breaches", "/breaches/acknowledge"):
            self._answer(404, b"text/plain", b"no such page\n", keep)
        elif method != wanted:
            self._answer(405, b"text/plain", b"%b only\n" % wanted, keep)
        elif parts.path == "/figures":
            self._answer(200, b"application/json", await pages.figures(), keep)
        elif parts.path == "/metrics":
            kind, text = await pages.metrics()
            self._answer(200, kind.encode(), text, keep)
        elif parts.path == "/breaches":
            self._subscribe()
        else:
            through = parse_qs(parts.query).get("through", [""])[0]
            if not through.isdecimal():
                self._answer(400, b"text/plain", b"through must be a breach's number\n", keep)
                return
            noted = pages.acknowledge(int(through))
            self._answer(200, b"application/json", b'{"acknowledged":%d}\n' % noted, keep)

    def _answer(self, status: int, kind: bytes, body: bytes, keep: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        end = b"" if keep else b"Connection: close\r\n"
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n"
        self._transport.write(head % (status, _REASONS[status], kind, len(body), end) + body)
        if not keep:
            self._transport.close()

    def _subscribe(self) -> None:
        if self._transport is None:
            return
        if self._idle is not None:
            self._idle.cancel()  # a stream may be silent for as long as nothing is wrong
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n: open\n\n"
        )
        self._transport.write(head)
        self._listener.subscribers[self] = None
        for event in self._listener.pages.pending():
            self.event(event)

    def event(self, event: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(event)
        if self._transport.get_write_buffer_size() > MOST_UNREAD:
            self.abort()
