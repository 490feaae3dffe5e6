"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from pebblepass.daemon.upstream import Answer, Connection, Server
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
        if self.exchange is not None and self.ended():
            self._take()

    def _take(self) -> None:
        status, report = self.status, self.headers.get(b"server-load")
        not_started = self.headers.get(b"not-started") == b"1"
        value = None if self._streaming else bytes(self._body)
        self._streaming = False
        self._body.clear()
        self.retired = not self.answer_done() or self.retired
        if status == 200:
            self.finish(Outcome.OK, Answer(value, None, report))
        elif status in _NOT_THERE and self.exchange is not None and not self.exchange.is_write:
            self.finish(Outcome.MISS, Answer(report=report))
        elif status in _NEVER_RAN and not_started:
            self.finish(Outcome.FULL, Answer(report=report))
        else:
            self.finish(Outcome.ERROR, Answer(report=report))

    def body_starts(self, length: int | None) -> None:
        """Pass a long value on as it comes; a short one, or one of unknown length, is gathered."""
        if length is not None and length > MAX_ANSWER:
            raise HttpError("value too long")
        if length is not None and length > LARGE and self.status == 200 and self.exchange is not None:
            self._streaming = True
            self.exchange.value_started(length, self)

    def body_came(self, data: bytes) -> None:
        """Gather a part of the body, or pass it on."""
        if self._streaming:
            if self.exchange is not None:
                self.exchange.value_came(data)
            return
        self._body += data
        if len(self._body) > MAX_ANSWER:
            raise HttpError("value too long")
