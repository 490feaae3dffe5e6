"""A small HTTP/1.1 client on one connection: a request at a time, and never sent twice."""

from __future__ import annotations

import httptools

MAX_HEAD = 32 << 10


class HttpError(Exception):
    """The bytes are no HTTP/1.1 answer."""


class HttpReader:
    """Reads the answers of one connection; a subclass takes their parts."""

    def __init__(self) -> None:
        self._next_answer()

    def _next_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self._head = 0
        self._in_body = self._whole = self._keep = False
        self.status = 0
        """The status code of the answer being read, once its head is whole."""

    def read(self, data: bytes) -> bool:
        """Read a part of an answer; returns whether the answer is whole."""
        if not self._in_body:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Guards a good answer against what follows it: noise or a copy ends the connection's use only.
            if not self._whole:
                raise HttpError(str(error) or type(error).__name__) from None
            self._keep = False
        if not self._in_body and self._head > MAX_HEAD:
            raise HttpError("head too long")
        return self._whole

    def ended(self) -> bool:
        """Take the orderly end of the stream; returns whether the answer is whole with it.

        A body without a length and not in chunks goes on until the connection's end (RFC 9112, 6.3). A reset
        is no such end: whoever sees one does not ask.
        """
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        if self._in_body and not self._whole and not framed:
            self._whole, self._keep = True, False
            return True
        return False

    def answer_done(self) -> bool:
        """Go on to the next answer; returns whether the connection can be used again."""
        keep = self._keep
        self._next_answer()
        return keep

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        if not self._whole:
            self.headers[name.lower()] = value.strip(b" \t")  # httptools leaves what may stand behind it

    def on_headers_complete(self) -> None:
        """Called by httptools; an interim answer (1xx) has no body and says nothing that is wanted."""
        if self._whole or self._parser.get_status_code() < 200:
            return
        self.status = self._parser.get_status_code()
        self._in_body = True
        length = self.headers.get(b"content-length")
        self.body_starts(int(length) if length is not None and length.isdigit() else None)

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        if not self._whole:
            self.body_came(data)

    def on_message_begin(self) -> None:
        """Called by httptools: a second answer in the same bytes is none that was asked for."""
        if self._whole:
            self._keep = False

    def on_message_complete(self) -> None:
        """Called by httptools."""
        if self._in_body and not self._whole:
            self._whole = True
            self._keep = self._parser.should_keep_alive()
        elif not self._whole:
            self.headers.clear()  # those of an interim answer

    def body_starts(self, length: int | None) -> None:
        """Take the end of the head and the body's length, if it is stated."""
        raise NotImplementedError

    def body_came(self, data: bytes) -> None:
        """Take a part of the body."""
        raise NotImplementedError


def request(method: str, target: str, host: str, headers: bytes = b"", body: bytes | None = None) -> bytes:
    """Write a request down; `headers` are whole lines."""
    length = b"" if body is None else b"Content-Length: %d\r\n" % len(body)
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode("ascii")
    return b"%b%b%b\r\n%b" % (head, headers, length, body or b"")
