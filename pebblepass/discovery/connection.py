"""One HTTP connection to the discovery service."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

from pebblepass.wire.http import HttpError, HttpReader, request

MAX_BODY = 8 << 20  # bytes of one response


class Response(NamedTuple):
    """A response of the discovery service."""

    status: int
    body: bytes


class DiscoveryConnection(asyncio.Protocol, HttpReader):
    """Sends one request at a time and collects its response."""

    def __init__(self) -> None:
        HttpReader.__init__(self)
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[Response] | None = None
        self._body = bytearray()

    def get(self, target: str, host: str) -> asyncio.Future[Response]:
        """Send a GET request; the future fails with HttpError or ConnectionResetError."""
        assert self._transport is not None
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request("GET", target, host))
        return self._response

    @property
    def is_usable(self) -> bool:
        """Whether a further request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is no subclass of it

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        try:
            if self.read(data):
                self._finish_response()
        except HttpError as error:
            self._fail(error)
            self.close()

    def eof_received(self) -> None:
        """Complete a response that ends with the stream."""
        if self.is_complete_at_eof():
            self._finish_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current request, and drop what was received of its response."""
        self.release_parser()
        self._body.clear()
        self._fail(ConnectionResetError("the discovery service closed the connection"))

    def body_started(self, length: int | None) -> None:
        """Ignore the announced length, as the limit applies to the bytes received."""

    def body_received(self, data: bytes) -> None:
        """Collect a part of the body; raises HttpError beyond MAX_BODY."""
        self._body += data
        if len(self._body) > MAX_BODY:
            raise HttpError("the list is too long")

    def _finish_response(self) -> None:
        response = Response(self.status, bytes(self._body))
        self._body.clear()
        if not self.finish_response():
            self.close()
        if self._response is not None and not self._response.done():
            self._response.set_result(response)

    def _fail(self, error: Exception) -> None:
        # Warning: the error refers to this connection by its traceback, so it must not be kept here.
        pending, self._response = self._response, None
        if pending is not None and not pending.done():
            pending.set_exception(error)
