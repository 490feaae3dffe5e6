"""HTTP/1.1 responses in the forms that RFC 9112 allows, received in pieces of any size, and their end."""

from __future__ import annotations

import pytest

from pebblepass.wire.http import HttpError, HttpReader

BODY = b"a value\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nand more of it"
NOTE = b"X-Note: " + b"n" * 9000 + b"\r\n"
CHUNKED = b"".join(b"%x;ext=1\r\n%b\r\n" % (len(part), part) for part in (BODY[:5], BODY[5:])) + b"0\r\n\r\n"
FORMS = {
    "a length": b"HTTP/1.1 200 OK\r\nContent-Length: %d \t\r\n\r\n" % len(BODY) + BODY,
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n" + CHUNKED,
    "long header": b"HTTP/1.1 200 OK\r\n" + NOTE + b"CONTENT-length:%d\r\n\r\n" % len(BODY) + BODY,
    "interim": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    % len(BODY)
    + BODY,
}
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nNot-Started: 1 \r\nConnection: close\r\n\r\n" + BODY


class Reader(HttpReader):
    """Collects the body."""

    def __init__(self) -> None:
        self.body = b""
        super().__init__()

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        self.body += data


def read(data: bytes, step: int) -> tuple[Reader, bool]:
    """Feed the data in pieces of `step` bytes; return whether the response is complete."""
    reader, is_complete = Reader(), False
    for start in range(0, len(data), step):
        assert not is_complete, "complete before its last byte"
        is_complete = reader.read(data[start : start + step])
    return reader, is_complete


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
@pytest.mark.parametrize("form", FORMS)
def test_a_response_is_complete_with_its_last_byte(form: str, step: int) -> None:
    reader, is_complete = read(FORMS[form], step)
    assert (is_complete, reader.status, reader.body) == (True, 200, BODY)
    assert reader.finish_response(), "the connection can be reused"
    assert not reader.is_complete_at_eof(), "no response is in progress"


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
def test_a_body_without_a_length_ends_with_the_connection(step: int) -> None:
    reader, is_complete = read(UNTIL_CLOSE, step)
    assert not is_complete
    assert reader.is_complete_at_eof()
    assert (reader.status, reader.body, reader.headers[b"not-started"]) == (200, BODY, b"1")
    assert not reader.finish_response(), "the connection can't be reused"


@pytest.mark.parametrize(
    "partial",
    [
        FORMS["a length"][:-1],
        FORMS["chunks"][:-5],  # the whole body without the last chunk
        UNTIL_CLOSE[:40],  # a part of the header
        b"",
    ],
)
def test_a_truncated_response_is_incomplete_at_eof(partial: bytes) -> None:
    reader, is_complete = read(partial, 1 << 20)
    assert not is_complete
    assert not reader.is_complete_at_eof()


def test_a_header_that_is_too_long_is_an_error() -> None:
    with pytest.raises(HttpError, match="header too long"):
        read(b"HTTP/1.1 200 OK\r\n" + b"X-Note: n\r\n" * 9000, 1000)
