"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from pebblepass.daemon.exchange import Answer
from pebblepass.daemon.server_connection import Connection, Server
from pebblepass.decisions import Outcome
from pebblepass.wire.http import HttpError, HttpReader
from pebblepass.wire.resp import LONG_VALUE_BYTES, MAX_ANSWER_VALUE_BYTES

_NOT_EXECUTED_STATUSES = (503, 504)
_NOT_FOUND_STATUSES = (404, 410)


class OriginConnection(Connection, HttpReader):
    """Speaks HTTP with the origin, one request at a time."""

    def __init__(self, server: Server) -> None:
        Connection.__init__(self, server)
        HttpReader.__init__(self)
        self._body = bytearray()
        self._streaming = False
        self._unsent: memoryview | None = None  # the rest of a buffered long value, not passed on yet
        self._unsent_length = 0  # of the complete value
        self._paused = False

    def read_answer(self, data: bytes) -> None:
        """Parse a part of the response."""
        try:
            is_complete = self.read(data)
        except HttpError as error:
            self.fail_protocol(f"sent an invalid response ({error})")
            return
        if is_complete:
            self._handle_response()

    def eof_received(self) -> None:
        """Handle the end of the stream, which may complete a response."""
        if self.exchange is not None and self._unsent is None and self.is_complete_at_eof():
            self._handle_response()

    def _handle_response(self) -> None:
        if self.status == 200 and len(self._body) > LONG_VALUE_BYTES and self.exchange is not None:
            self._stream_buffered()
            return
        value = None if self._streaming else bytes(self._body)
        self._streaming = False
        self._body.clear()
        self._finish_exchange(value)

    def _finish_exchange(self, value: bytes | None) -> None:
        status, report = self.status, self.headers.get(b"server-load")
        not_started = self.headers.get(b"not-started") == b"1"
        self.retired = not self.finish_response() or self.retired
        if status == 200:
            self.finish(Outcome.OK, Answer(value, None, report))
        elif status in _NOT_FOUND_STATUSES and self.exchange is not None and not self.exchange.is_write:
            self.finish(Outcome.MISS, Answer(report=report))
        elif status in _NOT_EXECUTED_STATUSES and not_started:
            self.finish(Outcome.OVERLOADED, Answer(report=report))
        else:
            self.finish(Outcome.ERROR, Answer(report=report))

    def body_started(self, length: int | None) -> None:
        """Begin to stream a long value; a short one, or one of unknown length, is buffered."""
        if length is not None and length > MAX_ANSWER_VALUE_BYTES:
            raise HttpError("value too long")
        if (
            length is not None
            and length > LONG_VALUE_BYTES
            and self.status == 200
            and self.exchange is not None
        ):
            self._streaming = True
            self.exchange.value_started(length, self)

    def body_received(self, data: bytes) -> None:
        """Buffer a part of the body, or pass it on."""
        if self._streaming:
            if self.exchange is not None:
                self.exchange.value_received(data)
            return
        self._body += data
        # The client needs the length first, so the complete value is buffered.
        if len(self._body) > max(self.server.pool.answer_reads.longest, LONG_VALUE_BYTES):
            raise HttpError("value too long")

    # A long value received without a length: it stays buffered until the client has read it

    def _stream_buffered(self) -> None:
        assert self.exchange is not None
        body, self._body = self._body, bytearray()
        self._unsent, self._paused = memoryview(body), False
        self._unsent_length = len(body)
        self.exchange.value_started(len(body), self)
        self._pass_on_buffered()

    def _pass_on_buffered(self) -> None:
        while self._unsent and not self._paused and self.exchange is not None:
            part, self._unsent = self._unsent[:LONG_VALUE_BYTES], self._unsent[LONG_VALUE_BYTES:]
            self.exchange.value_received(bytes(part))
        if self._unsent is not None and not self._unsent:
            self.discard_answer()
            self._count_buffered()
            self._finish_exchange(None)

    def pause(self) -> None:
        """Pause reading from the origin, or passing on the buffered value."""
        self._paused = True
        if self._unsent is None:
            super().pause()

    def resume(self) -> None:
        """Resume reading from the origin, or passing on the buffered value."""
        self._paused = False
        if self._unsent is None:
            super().resume()
        else:
            self._pass_on_buffered()

    def pause_buffering(self) -> None:
        """Pause reading: the memory is in use for other answers."""
        super().pause()

    def resume_buffering(self) -> None:
        """Resume reading."""
        super().resume()

    @property
    def buffered_bytes(self) -> int:
        """The received bytes of a body that is not complete, or not passed on yet."""
        return self._unsent_length if self._unsent is not None else len(self._body)

    def discard_answer(self) -> None:
        """Drop the received bytes of a body."""
        self._unsent = None
        self._body = bytearray()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection; a value that was received completely is still passed on."""
        self.release_parser()
        if self._unsent is not None and self.exchange is not None:
            self.retired = True
            self.server.pool.lost(self)
            return
        super().connection_lost(exc)
