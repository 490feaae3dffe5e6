"""Emulated clients: persistent connections to one router, one request at a time on each, and its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import cast

import hiredis

from pebblepass.wire.address import Address
from pebblepass.wire.resp import command


class Answer(Enum):
    """The outcome of one request, as its client sees it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    WRONG = "wrong"
    """Served with a value that belongs to another request."""
    CUT = "cut"
    """The connection ended in the middle of the reply."""
    CLOSED = "closed"
    """The router closed the connection before the first byte of a reply."""
    UNREACHED = "unreached"
    """No connection could be opened."""


OnAnswer = Callable[[Answer, int], None]
"""Called with the answer and, for a refusal, its retry delay in milliseconds (0: none given)."""


class Request:
    """One request in flight: its encoded command and the callbacks for its progress."""

    def __init__(
        self,
        words: tuple[bytes, ...],
        expected_prefix: bytes,
        on_sent: Callable[[], None],
        on_answer: OnAnswer,
    ) -> None:
        """`expected_prefix` is how a correct value begins; `on_sent` is called after the write."""
        self.data, self.expected_prefix, self.on_sent, self.on_answer = (
            command(*words),
            expected_prefix,
            on_sent,
            on_answer,
        )
        self.connection: ClientConnection | None = None
        self.first_on_connection = False
        """Whether this is the first request on its connection."""
        self.finished = False
        self.expected_prefixes: tuple[bytes, ...] = ()
        """For a multi-get: how each value begins, in the order of the keys."""
        self.entries: list[tuple[Answer, int]] = []
        """For a multi-get: the answer and the retry delay of each key."""

    def end(self, answer: Answer, retry_after_ms: int = 0) -> None:
        """Report the answer; later calls do nothing."""
        if not self.finished:
            self.finished = True
            self.on_answer(answer, retry_after_ms)

    def end_sending(self) -> bool:
        """Half-close the connection, as a departing client does; replies in flight still arrive.

        Returns whether the request was written; a request that was not is finished.
        """
        if self.connection is None:
            self.finished = True
            return False
        self.connection.end_sending()
        return True

    def abandon(self) -> None:
        """Close the connection at once and suppress further callbacks."""
        self.finished = True
        if self.connection is not None:
            self.connection.close()


class ClientPool:
    """The client connections to one router; another one is opened when all are busy."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop, self.address = loop, address
        self.idle: list[ClientConnection] = []
        self.connections: dict[ClientConnection, None] = {}
        self.on_unexpected_bytes: Callable[[bytes], None] = lambda _: None
        """Called with bytes that arrive while no request is pending."""
        self._dials: dict[asyncio.Task[None], None] = {}

    def send(self, request: Request) -> None:
        """Write a request on an idle connection, or on a new one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                connection.start(request, first_on_connection=False)
                return
        dial = self.loop.create_task(self._dial(request))
        self._dials[dial] = None

    async def _dial(self, request: Request) -> None:
        task = asyncio.current_task()
        try:
            _, connection = await self.loop.create_connection(lambda: ClientConnection(self), *self.address)
        except OSError:
            request.end(Answer.UNREACHED)
            return
        finally:
            if task is not None:
                self._dials.pop(task, None)
        if request.finished:
            connection.close()
        elif not connection.usable:
            request.end(Answer.UNREACHED)
        else:
            connection.start(request, first_on_connection=True)

    def close(self) -> None:
        """Close every connection."""
        for dial in list(self._dials):
            dial.cancel()
        for connection in list(self.connections):
            connection.close()


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self._reader = hiredis.Reader()
        self._request: Request | None = None
        self._answer_started = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its pool."""
        self.transport = cast(asyncio.Transport, transport)
        self._pool.connections[self] = None

    @property
    def usable(self) -> bool:
        """Whether the connection is open for requests."""
        return self.transport is not None and not self.transport.is_closing()

    def start(self, request: Request, first_on_connection: bool) -> None:
        """Write a request to the transport."""
        assert self.transport is not None
        self._request, request.connection, request.first_on_connection = request, self, first_on_connection
        self._answer_started = False
        self.transport.write(request.data)
        request.on_sent()

    def data_received(self, data: bytes) -> None:
        """Parse the reply and report the answer."""
        request = self._request
        if request is None:
            self._pool.on_unexpected_bytes(data)
            self.close()
            return
        self._answer_started = True
        try:
            self._reader.feed(data)
            answer = self._reader.gets()
        except hiredis.ProtocolError:
            self._end(Answer.FAILED)
            self.close()
            return
        if answer is False:
            return
        if self._reader.has_data():
            self._pool.on_unexpected_bytes(data)
            self.close()
        if (
            request.expected_prefixes
            and isinstance(answer, list)
            and len(answer) == len(request.expected_prefixes)
        ):
            request.entries = [
                _classify_reply(*pair) for pair in zip(answer, request.expected_prefixes, strict=True)
            ]
            self._end(Answer.SERVED)
            return
        if isinstance(answer, list) and answer:
            answer = answer[0]
        self._end(*_classify_reply(answer, request.expected_prefix))

    def _end(self, answer: Answer, retry_after_ms: int = 0) -> None:
        request, self._request = self._request, None
        if self.usable:
            self._pool.idle.append(self)
        if request is not None:
            request.connection = None
            request.end(answer, retry_after_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and report the answer of a pending request."""
        self.transport = None
        self._pool.connections.pop(self, None)
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._request is not None:
            self._end(Answer.CUT if self._answer_started else Answer.CLOSED)

    def end_sending(self) -> None:
        """Shut down the sending side; what the router writes still arrives."""
        if self.usable:
            assert self.transport is not None
            self.transport.write_eof()

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


def _classify_reply(answer: object, expected_prefix: bytes) -> tuple[Answer, int]:
    """Classify a reply, or one entry of a multi-get reply; returns the answer and its retry delay in ms."""
    if isinstance(answer, hiredis.ReplyError):
        words = str(answer).split()
        if words and words[0] == "BUSY":
            return Answer.REFUSED, int(words[1]) if len(words) > 1 and words[1].isdecimal() else 0
        return Answer.FAILED, 0
    if isinstance(answer, bytes):
        return (Answer.SERVED if answer.startswith(expected_prefix) else Answer.WRONG), 0
    return Answer.FAILED, 0
