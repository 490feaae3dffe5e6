"""An HTTP/1.1 listener for operators' tools: its connections, and how long and how many of them it bears.

What is said to whom comes from its owner; the control address and the figures' listener are two of them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

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


class Bounds(Struct, frozen=True):
    """What a listener bears."""

    connections: int
    head: int
    """Bytes of one request."""
    waiting: int
    """Requests of one connection that wait for their answer."""
    idle_s: float
    """Seconds in which a connection must have brought a whole request, the first or a further one."""
    one_call: bool
    """Whether a connection ends with its first answer."""
    make_room: bool
    """Whether a newcomer at the limit takes the place of the one that has been silent for longest; else it is
    answered 503."""
    body: int = 0
    """Bytes of a request's body; 0: none is taken."""


class Page(Struct, frozen=True):
    """One answer."""

    status: int
    body: bytes
    kind: str = "text/plain"


Respond = Callable[["Connection", str, str], Awaitable[Page | None]]
"""Answers a method and a target; None: the connection has been taken for a stream."""


class Shell:
    """The listener and its connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, respond: Respond, bounds: Bounds) -> None:
        self.loop, self.respond, self.bounds = loop, respond, bounds
        self.connections: dict[Connection, None] = {}
        """In the order in which they last had an answer, or came."""
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Listen; raises OSError where the address can't be had. Returns the address."""
        self._server = await self.loop.create_server(lambda: Connection(self), *address)
        bound: Address = self._server.sockets[0].getsockname()[:2]
        return bound

    def close(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def admit(self, connection: Connection) -> bool:
        """Take a new connection in, if there is room for it or can be made."""
        if len(self.connections) >= self.bounds.connections:
            silent = next((held for held in self.connections if held.silent), None)
            if silent is None or not self.bounds.make_room:
                return False
            silent.abort()
            self.connections.pop(silent, None)
        self.connections[connection] = None
        return True


class Connection(asyncio.Protocol):
    """One connection of an operator's tool."""

    def __init__(self, shell: Shell) -> None:
        self._shell = shell
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self.body = b""
        """Of the request that is being answered."""
        self._head = 0
        self._idle: asyncio.TimerHandle | None = None
        self._asked: deque[tuple[str, str, bool]] = deque()  # method, target, whether to go on
        self._answering: asyncio.Task[None] | None = None
        self._streams = False
        self.ended: Callable[[], None] = lambda: None
        """Called when the connection is over; whoever takes it for a stream sets it."""

    @property
    def silent(self) -> bool:
        """Whether it has asked nothing that waits for an answer."""
        return not self._asked and not self._streams and (self._answering is None or self._answering.done())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        if self._shell.admit(self):
            self._wait()
        else:
            self._answer(Page(503, b"too many connections\n"), keep=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        self._transport = None
        self._shell.connections.pop(self, None)
        self.ended()
        if self._idle is not None:
            self._idle.cancel()
        if self._answering is not None:
            self._answering.cancel()

    def abort(self) -> None:
        """Break it."""
        if self._transport is not None:
            self._transport.abort()

    def _wait(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = self._shell.loop.call_later(self._shell.bounds.idle_s, self._idle_for_long)

    def _idle_for_long(self) -> None:
        if self._answering is None or self._answering.done():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Read what came."""
        self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(Page(400, b"not HTTP/1.1\n"), keep=False)
            return
        # Guards the memory against a request without an end.
        if self._head > self._shell.bounds.head + self._shell.bounds.body:
            self._answer(Page(400, b"request too long\n"), keep=False)

    def on_url(self, url: bytes) -> None:
        """Called by httptools."""
        self._target += url

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        if self._shell.bounds.body:
            self.body += body

    def on_message_complete(self) -> None:
        """Called by httptools."""
        target, self._target, self._head = self._target.decode("ascii", "replace"), b"", 0
        # Guards the memory against one that asks and asks, and takes no answer.
        if len(self._asked) >= self._shell.bounds.waiting:
            self.abort()
            return
        method = self._parser.get_method().decode("ascii")
        self._asked.append((method, target, self._parser.should_keep_alive()))
        self._wait()
        if self._answering is None or self._answering.done():
            self._answering = self._shell.loop.create_task(self._answer_all())

    async def _answer_all(self) -> None:
        """Answer one after another, in the order in which they were asked."""
        while self._asked:
            method, target, keep = self._asked[0]
            page = await self._shell.respond(self, method, target)
            self._asked.popleft()
            if page is not None:
                self._answer(page, keep and not self._shell.bounds.one_call)

    def _answer(self, page: Page, keep: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        end = b"" if keep else b"Connection: close\r\n"
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n"
        kind, size = page.kind.encode(), len(page.body)
        self._transport.write(head % (page.status, _REASONS[page.status], kind, size, end) + page.body)
        if not keep:
            self._transport.close()
        elif self in self._shell.connections:
            del self._shell.connections[self]  # the one that has been silent for longest stands first
            self._shell.connections[self] = None

    def stream(self, head: bytes) -> None:
        """Begin an answer without an end."""
        if self._transport is not None:
            self._streams = True
            if self._idle is not None:
                self._idle.cancel()  # a stream may be silent for as long as there is nothing to say
            self._transport.write(head)

    def push(self, data: bytes, most_unread: int) -> None:
        """Go on with it; a reader that leaves more than so many bytes unread is dropped."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > most_unread:
            self.abort()
