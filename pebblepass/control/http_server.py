"""A small HTTP/1.1 server for operators' tools, with limits on connections, sizes and idle time.

The control address and the accounting pages use one server each. The owner of a server provides the
responses.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple, cast

import httptools
from msgspec import Struct

from pebblepass.wire.address import Address

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    503: b"Service Unavailable",
}


class ServerLimits(Struct, frozen=True):
    """The limits of a server."""

    connections: int
    head_bytes: int
    """The maximum size of a request without its body, in bytes."""
    queued_requests: int
    """The maximum number of requests of one connection that wait for their response."""
    idle_timeout_s: float
    """The time within which a connection must send its first or next complete request, in seconds."""
    one_call: bool
    """Whether a connection is closed after its first response."""
    evict_idle: bool
    """Whether a new connection at the limit evicts the one that has been idle the longest; otherwise the new
    connection gets a 503 response."""
    body_bytes: int = 0
    """The maximum size of a request's body, in bytes; 0: bodies are ignored."""


class Page(Struct, frozen=True):
    """A response."""

    status: int
    body: bytes
    content_type: str = "text/plain"


Responder = Callable[["Connection", str, str], Awaitable[Page | None]]
"""Responds to a request with a method and a target; None: the connection has become a stream."""


class _PendingRequest(NamedTuple):
    method: str
    target: str
    keep_alive: bool


class HttpServer:
    """The server: its listener and its connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, respond: Responder, limits: ServerLimits) -> None:
        self.loop, self.respond, self.limits = loop, respond, limits
        self.connections: dict[Connection, None] = {}
        """Ordered by the time of the last response, or of the connection if there was none."""
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Listen, and return the bound address; raises OSError if it can't be bound."""
        self._server = await self.loop.create_server(lambda: Connection(self), *address)
        bound: Address = self._server.sockets[0].getsockname()[:2]
        return bound

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def admit(self, connection: Connection) -> bool:
        """Register a new connection; return False if the limit is reached and none can be evicted."""
        if len(self.connections) >= self.limits.connections:
            idle = next((other for other in self.connections if other.is_idle), None)
            if idle is None or not self.limits.evict_idle:
                return False
            idle.abort()
            self.connections.pop(idle, None)
        self.connections[connection] = None
        return True


class Connection(asyncio.Protocol):
    """One client connection, for example of an operator's tool."""

    def __init__(self, server: HttpServer) -> None:
        self.body = b""
        """The body of the current request."""
        self.on_closed: Callable[[], None] = lambda: None
        """Called when the connection is closed. The owner of a stream sets it."""
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._request_bytes = 0  # received so far of the current request
        self._idle_timer: asyncio.TimerHandle | None = None
        self._pending: deque[_PendingRequest] = deque()
        self._answering: asyncio.Task[None] | None = None
        self._is_stream = False

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for a response and the connection is no stream."""
        return not self._pending and not self._is_stream and not self._is_answering

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def start_stream(self, head: bytes) -> None:
        """Begin a streaming response with this head."""
        if self._transport is not None:
            self._is_stream = True
            if self._idle_timer is not None:
                self._idle_timer.cancel()  # a stream may be idle while there is nothing to send
            self._transport.write(head)

    def push(self, data: bytes, max_unread: int) -> None:
        """Send data on the stream; abort the connection if more than `max_unread` bytes are queued."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > max_unread:
            self.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or respond with 503 at the limit."""
        self._transport = cast(asyncio.Transport, transport)
        if self._server.admit(self):
            self._restart_idle_timer()
        else:
            self._write(Page(503, b"too many connections\n"), keep_alive=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the resources of the connection."""
        self._transport = None
        # Warning: the parser refers to this connection, which would stay in memory with its request.
        self._parser = None
        self._server.connections.pop(self, None)
        self.on_closed()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._answering is not None:
            self._answering.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        assert self._parser is not None
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._write(Page(400, b"not HTTP/1.1\n"), keep_alive=False)
            return
        # Bounds the memory that a request of unlimited length takes.
        if self._request_bytes > self._server.limits.head_bytes + self._server.limits.body_bytes:
            self._write(Page(400, b"request too long\n"), keep_alive=False)

    def on_url(self, url: bytes) -> None:
        """Called by httptools."""
        self._target += url

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        if self._server.limits.body_bytes:
            self.body += body

    def on_message_complete(self) -> None:
        """Called by httptools."""
        target = self._target.decode("ascii", "replace")
        self._target, self._request_bytes = b"", 0
        # Bounds the memory for a client that sends requests and reads no response.
        if len(self._pending) >= self._server.limits.queued_requests:
            self.abort()
            return
        assert self._parser is not None
        method = self._parser.get_method().decode("ascii")
        self._pending.append(_PendingRequest(method, target, self._parser.should_keep_alive()))
        self._restart_idle_timer()
        if not self._is_answering:
            self._answering = self._server.loop.create_task(self._answer_all())

    @property
    def _is_answering(self) -> bool:
        return self._answering is not None and not self._answering.done()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        timeout_s = self._server.limits.idle_timeout_s
        self._idle_timer = self._server.loop.call_later(timeout_s, self._idle_timeout)

    def _idle_timeout(self) -> None:
        if not self._is_answering:
            self.abort()

    async def _answer_all(self) -> None:
        """Respond to the pending requests, one at a time, in the order of their arrival."""
        while self._pending:
            pending = self._pending[0]
            page = await self._server.respond(self, pending.method, pending.target)
            self._pending.popleft()
            if page is not None:
                self._write(page, pending.keep_alive and not self._server.limits.one_call)

    def _write(self, page: Page, keep_alive: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        close = b"" if keep_alive else b"Connection: close\r\n"
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n"
        content_type, size = page.content_type.encode(), len(page.body)
        self._transport.write(
            head % (page.status, _REASONS[page.status], content_type, size, close) + page.body
        )
        if not keep_alive:
            self._transport.close()
        elif self in self._server.connections:
            del self._server.connections[self]  # moves it to the end: the longest idle one comes first
            self._server.connections[self] = None
