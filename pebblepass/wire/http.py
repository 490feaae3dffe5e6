"""An HTTP/1.1 client: encodes requests, and parses the responses on a connection, one at a time."""

from __future__ import annotations

import httptools

MAX_HEADER_BYTES = 32 << 10
USED_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"server-load", b"not-started"))


class HttpError(Exception):
    """The bytes are not a valid HTTP/1.1 response, or the response is too long."""


class HttpReader:
    """Parses the responses on one connection; a subclass receives their bodies."""

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        # Made with the first bytes of a response, see `release_parser`.
        self._parser: httptools.HttpResponseParser | None = None
        self.headers: dict[bytes, bytes] = {}
        self._header_bytes = 0
        self._in_body = self._complete = self._reusable = False
        self.status = 0
        """The status code of the response being read, once its header is complete."""

    def read(self, data: bytes) -> bool:
        """Parse a part of a response; returns whether the response is complete.

        Raises HttpError.
        """
        if not self._in_body:
            self._header_bytes += len(data)
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Invalid bytes after a complete response only prevent the reuse of the connection.
            if not self._complete:
                raise HttpError(str(error) or type(error).__name__) from None
            self._reusable = False
        if not self._in_body and self._header_bytes > MAX_HEADER_BYTES:
            raise HttpError("header too long")
        return self._complete

    def is_complete_at_eof(self) -> bool:
        """Handle the orderly end of the stream; returns whether that completes the response.

        A body with neither a length nor chunks ends with the connection (RFC 9112, 6.3). Do not call this
        after a reset, which is not an orderly end.
        """
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        if self._in_body and not self._complete and not framed:
            self._complete, self._reusable = True, False
            return True
        return False

    def finish_response(self) -> bool:
        """Prepare for the next response; returns whether the connection can be reused."""
        reusable = self._reusable
        self._reset()
        return reusable

    def release_parser(self) -> None:
        """Drop the parser at the end of the connection, of which nothing is read from now on.

        Warning: the parser and this object refer to each other. Until the garbage collector finds them, all
        that the connection has received and sent would stay in memory.
        """
        self._parser = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        name = name.lower()
        # Only these: a header may have thousands of fields, each of which takes far more than its bytes.
        if name in USED_HEADERS and not self._complete:
            self.headers[name] = value.strip(b" \t")  # httptools leaves trailing whitespace

    def on_headers_complete(self) -> None:
        """Called by httptools; an interim response (1xx) is ignored."""
        assert self._parser is not None
        if self._complete or self._parser.get_status_code() < 200:
            return
        self.status = self._parser.get_status_code()
        self._in_body = True
        length = self.headers.get(b"content-length")
        self.body_started(int(length) if length is not None and length.isdigit() else None)

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        if not self._complete:
            self.body_received(data)

    def on_message_begin(self) -> None:
        """Called by httptools; a second response belongs to no request, so the connection is not reused."""
        if self._complete:
            self._reusable = False

    def on_message_complete(self) -> None:
        """Called by httptools."""
        assert self._parser is not None
        if self._in_body and not self._complete:
            self._complete = True
            self._reusable = self._parser.should_keep_alive()
        elif not self._complete:
            self.headers.clear()  # of an interim response

    def body_started(self, length: int | None) -> None:
        """Handle the end of the header; `length`: of the body in bytes, None if it is not stated."""
        raise NotImplementedError

    def body_received(self, data: bytes) -> None:
        """Handle a part of the body."""
        raise NotImplementedError


def request(method: str, target: str, host: str, headers: bytes = b"", body: bytes | None = None) -> bytes:
    """Encode a request; `headers` are complete lines."""
    length = b"" if body is None else b"Content-Length: %d\r\n" % len(body)
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode("ascii")
    return b"%b%b%b\r\n%b" % (head, headers, length, body or b"")
