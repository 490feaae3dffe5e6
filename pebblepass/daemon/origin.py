"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from pebblepass.daemon.exchange import Answer
from pebblepass.daemon.server_connection import Connection, Server
from pebblepass.decisions import Outcome
from pebblepass.wire.http import HttpError, HttpReader
from pebblepass.wire.resp import LARGE, MAX_ANSWER

_NEVER_RAN = (503, 504)
_NOT_THERE = (404, 410)


class OriginConnection(Connection, HttpReader):
    """Speaks HTTP with the origin, one request at a time."""

    def __init__(self, server: Server) -> None:
        Connection.__init__(self, server)
        HttpReader.__init__(self)
        self._body = bytearray()
        self._streaming = False
        self._rest: memoryview | None = None  # of a long value that had to be gathered, for its client
        self._paused = False

    def answer_came(self, data: bytes) -> None:
        """Read a part of the answer."""
        try:
            whole = self.read(data)
        except HttpError as error:
            self.spoil(f"broke the protocol: {error}")
            return
        if whole:
            self._take()

    def eof_received(self) -> None:
        """Take the end of the origin's sending, which may be the end of an answer."""
        if self.exchange is not None and self._rest is None and self.is_complete_at_eof():
            self._take()

    def _take(self) -> None:
        if self.status == 200 and len(self._body) > LARGE and self.exchange is not None:
            self._pass_on_gathered()
            return
        value = None if self._streaming else bytes(self._body)
        self._streaming = False
        if len(self._body) > LARGE:  # an error's: nobody waits for that text, but it was counted
            self._let_go()
        self._body.clear()
        self._end(value)

    def _end(self, value: bytes | None) -> None:
        status, report = self.status, self.headers.get(b"server-load")
        not_started = self.headers.get(b"not-started") == b"1"
        self.retired = not self.finish_response() or self.retired
        if status == 200:
            self.finish(Outcome.OK, Answer(value, None, report))
        elif status in _NOT_THERE and self.exchange is not None and not self.exchange.is_write:
            self.finish(Outcome.MISS, Answer(report=report))
        elif status in _NEVER_RAN and not_started:
            self.finish(Outcome.OVERLOADED, Answer(report=report))
        else:
            self.finish(Outcome.ERROR, Answer(report=report))

    def body_started(self, length: int | None) -> None:
        """Pass a long value on as it comes; a short one, or one of unknown length, is gathered."""
        if length is not None and length > MAX_ANSWER:
            raise HttpError("value too long")
        if length is not None and length > LARGE and self.status == 200 and self.exchange is not None:
            self._streaming = True
            self.exchange.value_started(length, self)

    def body_received(self, data: bytes) -> None:
        """Gather a part of the body, or pass it on."""
        if self._streaming:
            if self.exchange is not None:
                self.exchange.value_received(data)
            return
        before = len(self._body)
        self._body += data
        if len(self._body) > MAX_ANSWER:
            raise HttpError("value too long")
        if len(self._body) > LARGE:
            # Guards the memory: the client must be told a length first, so all of it has to be held here.
            self.server.pool.gathered.take(self, len(self._body) - (before if before > LARGE else 0))

    # A long value that came without a length: it is held until its client has taken it

    def _pass_on_gathered(self) -> None:
        assert self.exchange is not None
        self._rest, self._paused = memoryview(bytes(self._body)), False
        self._body.clear()
        self.exchange.value_started(len(self._rest), self)
        self._feed()

    def _feed(self) -> None:
        while self._rest and not self._paused and self.exchange is not None:
            part, self._rest = self._rest[:LARGE], self._rest[LARGE:]
            self.exchange.value_received(bytes(part))
        if self._rest is not None and not self._rest:
            self._let_go()
            self._end(None)

    def pause(self) -> None:
        """Stop reading, or passing on what has been gathered."""
        self._paused = True
        if self._rest is None:
            super().pause()

    def resume(self) -> None:
        """Go on."""
        self._paused = False
        if self._rest is None:
            super().resume()
        else:
            self._feed()

    def hold_back(self) -> None:
        """Read no more for now: other values are being gathered."""
        super().pause()

    def go_on(self) -> None:
        """Read again."""
        super().resume()

    def _let_go(self) -> None:
        self._rest = None
        self.server.pool.gathered.release(self)

    def close(self) -> None:
        """Break the connection; what has been gathered on it goes too."""
        self._let_go()
        super().close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection; a value that has come whole goes on to its client."""
        if self._rest is not None and self.exchange is not None:
            self.retired = True
            self.server.pool.lost(self)
            return
        self._let_go()
        super().connection_lost(exc)
