"""HTTP/1.1 answers in the forms that RFC 9112 allows, in pieces cut anywhere, and where one ends."""

from __future__ import annotations

import pytest

from pebblepass.wire.http import HttpError, HttpReader

BODY = b"a value\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nand more of it"
NOTE = b"X-Note: " + b"n" * 9000 + b"\r\n"
CHUNKED = b"".join(b"%x;ext=1\r\n%b\r\n" % (len(part), part) for part in (BODY[:5], BODY[5:])) + b"0\r\n\r\n"
FORMS = {
    "a length": b"HTTP/1.1 200 OK\r\nContent-Length: %d \t\r\n\r\n" % len(BODY) + BODY,
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n" + CHUNKED,
    "long head": b"HTTP/1.1 200 OK\r\n" + NOTE + b"CONTENT-length:%d\r\n\r\n" % len(BODY) + BODY,
    "interim": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    % len(BODY)
    + BODY,
}
TO_THE_END = b"HTTP/1.1 200 OK\r\nNot-Started: 1 \r\nConnection: close\r\n\r\n" + BODY


class Reader(HttpReader):
    """Gathers the body."""

    def __init__(self) -> None:
        self.body = b""
        super().__init__()

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        self.body += data


def read(data: bytes, step: int) -> tuple[Reader, bool]:
    reader, whole = Reader(), False
    for at in range(0, len(data), step):
        assert not whole, "whole before its last byte"
        whole = reader.read(data[at : at + step])
    return reader, whole


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
@pytest.mark.parametrize("form", FORMS)
def test_an_answer_is_whole_with_its_last_byte_however_it_is_cut(form: str, step: int) -> None:
    reader, whole = read(FORMS[form], step)
    assert (whole, reader.status, reader.body) == (True, 200, BODY)
    assert reader.finish_response(), "the connection goes on"
    assert not reader.is_complete_at_eof(), "nothing is under way"


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
def test_a_body_without_a_length_goes_on_to_the_end_of_the_connection(step: int) -> None:
    reader, whole = read(TO_THE_END, step)
    assert not whole
    assert reader.is_complete_at_eof()
    assert (reader.status, reader.body, reader.headers[b"not-started"]) == (200, BODY, b"1")
    assert not reader.finish_response(), "the connection is of no further use"


@pytest.mark.parametrize(
    "begun",
    [
        FORMS["a length"][:-1],
        FORMS["chunks"][:-5],  # all of the body but for the last chunk
        TO_THE_END[:40],  # not all of the head
        b"",
    ],
)
def test_an_end_before_what_was_told_makes_no_answer(begun: bytes) -> None:
    reader, whole = read(begun, 1 << 20)
    assert not whole
    assert not reader.is_complete_at_eof()


def test_a_head_without_an_end_is_no_answer() -> None:
    with pytest.raises(HttpError, match="header too long"):
        read(b"HTTP/1.1 200 OK\r\n" + b"X-Note: n\r\n" * 9000, 1000)
