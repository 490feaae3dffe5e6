"""Stand-in clients: kept connections to one router, one request at a time on each, and what came of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import cast

import hiredis

from pebblepass.wire.address import Address
from pebblepass.wire.resp import command


class Answer(Enum):
    """What became of one request, as its client sees it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    WRONG = "wrong"
    """Served with a value that was made for another request."""
    CUT = "cut"
    """A value was begun and not finished."""
    CLOSED = "closed"
    """The router closed the connection without a byte of an answer."""
    UNREACHED = "unreached"
    """No connection came up."""


OnAnswer = Callable[[Answer, int], None]
"""Takes the answer and, for a refusal, after how many milliseconds to come back (0: it does not say)."""


class Request:
    """One request on its way: its command, its client's patience, and who is told of the end."""

    def __init__(
        self,
        words: tuple[bytes, ...],
        expected_prefix: bytes,
        on_sent: Callable[[], None],
        on_answer: OnAnswer,
    ) -> None:
        """`expected_prefix`: the start of a value made for this request; `on_sent` runs after the write."""
        self.data, self.expected_prefix, self.on_sent, self.on_answer = (
            command(*words),
            expected_prefix,
            on_sent,
            on_answer,
        )
        self.line: ClientConnection | None = None
        self.first_on_connection = False
        """Whether it is the first one on its connection."""
        self.finished = False
        self.expected_prefixes: tuple[bytes, ...] = ()
        """For a read of many keys: what each value begins with, in the order asked."""
        self.entries: list[tuple[Answer, int]] = []
        """What came of each of its keys."""

    def end(self, answer: Answer, back_ms: int = 0) -> None:
        """End it, once."""
        if not self.finished:
            self.finished = True
            self.on_answer(answer, back_ms)

    def end_sending(self) -> bool:
        """The client goes away: it ends its sending, and takes only what is already on its way to it.

        Returns whether the request was written; one that was not is over.
        """
        if self.line is None:
            self.finished = True
            return False
        self.line.end_sending()
        return True

    def abandon(self) -> None:
        """The client closes its connection at once, and is told of nothing more."""
        self.finished = True
        if self.line is not None:
            self.line.close()


class ClientPool:
    """The connections of a router's clients; more are opened when all are busy."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop, self.address = loop, address
        self.idle: list[ClientConnection] = []
        self.connections: dict[ClientConnection, None] = {}
        self.on_unexpected_bytes: Callable[[bytes], None] = lambda _: None
        """Told of bytes that came when nothing was asked."""
        self._dials: dict[asyncio.Task[None], None] = {}

    def send(self, request: Request) -> None:
        """Write a request on a kept connection, or on a new one."""
        while self.idle:
            line = self.idle.pop()
            if line.usable:
                line.start(request, first_on_connection=False)
                return
        dial = self.loop.create_task(self._dial(request))
        self._dials[dial] = None

    async def _dial(self, request: Request) -> None:
        task = asyncio.current_task()
        try:
            _, line = await self.loop.create_connection(lambda: ClientConnection(self), *self.address)
        except OSError:
            request.end(Answer.UNREACHED)
            return
        finally:
            if task is not None:
                self._dials.pop(task, None)
        if request.finished:
            line.close()
        elif not line.usable:
            request.end(Answer.UNREACHED)
        else:
            line.start(request, first_on_connection=True)

    def close(self) -> None:
        """Close every connection."""
        for dial in list(self._dials):
            dial.cancel()
        for line in list(self.connections):
            line.close()


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self._reader = hiredis.Reader()
        self._request: Request | None = None
        self._answer_started = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self._pool.connections[self] = None

    @property
    def usable(self) -> bool:
        """Whether it can take a request."""
        return self.transport is not None and not self.transport.is_closing()

    def start(self, request: Request, first_on_connection: bool) -> None:
        """Write a request."""
        assert self.transport is not None
        self._request, request.line, request.first_on_connection = request, self, first_on_connection
        self._answer_started = False
        self.transport.write(request.data)
        request.on_sent()

    def data_received(self, data: bytes) -> None:
        """Read an answer."""
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

    def _end(self, answer: Answer, back_ms: int = 0) -> None:
        request, self._request = self._request, None
        if self.usable:
            self._pool.idle.append(self)
        if request is not None:
            request.line = None
            request.end(answer, back_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        self.transport = None
        self._pool.connections.pop(self, None)
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._request is not None:
            self._end(Answer.CUT if self._answer_started else Answer.CLOSED)

    def end_sending(self) -> None:
        """Close this end's half; what the router has written still arrives."""
        if self.usable:
            assert self.transport is not None
            self.transport.write_eof()

    def close(self) -> None:
        """Close it."""
        if self.transport is not None:
            self.transport.abort()


def _classify_reply(answer: object, expected_prefix: bytes) -> tuple[Answer, int]:
    """What one answer, or an entry of a command's, comes to, and after how many milliseconds to come back."""
    if isinstance(answer, hiredis.ReplyError):
        words = str(answer).split()
        if words and words[0] == "BUSY":
            return Answer.REFUSED, int(words[1]) if len(words) > 1 and words[1].isdecimal() else 0
        return Answer.FAILED, 0
    if isinstance(answer, bytes):
        return (Answer.SERVED if answer.startswith(expected_prefix) else Answer.WRONG), 0
    return Answer.FAILED, 0
