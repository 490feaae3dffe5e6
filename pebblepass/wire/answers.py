"""Parses cache servers' answers from a connection's bytes, without reading beyond the end of an answer.

An answer is an array of a value (or null), a cache note and a load report (PROTOCOL, Routers to cache
servers), an error line, or the reply to a health check. With several answers on one connection, the first
byte after an answer belongs to the next one, so the parser must not consume all input at once.
"""

from __future__ import annotations

import re

from msgspec import Struct, field

from pebblepass.wire.resp import LONG_VALUE_BYTES, MAX_ANSWER_VALUE_BYTES

MAX_METADATA_BYTES = 8 << 10  # of an answer without its value; a cache note and a load report are far shorter

_HIT_HEADER = re.compile(rb"\*3\r\n\$(\d{1,8})\r\n")
_HIT_TRAILER = re.compile(rb"\r\n\$3\r\nhit\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n")
_HEADER_LINE = re.compile(rb"(?:\*(\d{1,5}|-1)|\$(\d{1,8}|-1)|([+:-][^\r\n]*))\r\n")
# Rejects a malformed partial line at once: the server may send nothing more, and the attempt would wait until
# its timeout.
_PARTIAL_HEADER_LINE = re.compile(rb"(?:\*(?:-1?|\d{1,5})?|\$(?:-1?|\d{1,8})?|[+:-][^\r\n]*)\r?")


class AnswerFormatError(Exception):
    """The bytes are not a valid answer; the message is the object of "sent"."""


class ParsedAnswer(Struct):
    """One answer: the elements of an array, or a line."""

    elements: list[bytes | None] = field(default_factory=list)
    """Value, cache note and load report; empty if the answer is not an array."""
    line: bytes | None = None
    """An error or status line with its type byte, or the bulk string of a health check after a `$`."""


class AnswerParser:
    """Parses the answers on one connection; its owner removes a value over 64 KiB from `buffered` itself."""

    def __init__(self) -> None:
        self.buffered = b""
        """Received bytes that are not parsed yet."""
        self._needed_bytes = 0
        self._elements: list[bytes | None] | None = None  # of an array with a long value, received so far
        self._count = 0
        self.long_value_length = 0
        """Length in bytes of the long value that the owner has to remove from `buffered` now, or 0."""

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffered = self.buffered + data if self.buffered else data

    def discard(self) -> None:
        """Drop the received bytes at the end of the connection."""
        self.buffered, self._elements = b"", None

    @property
    def has_partial_answer(self) -> bool:
        """Whether a part of an answer is received."""
        return bool(self.buffered) or self._elements is not None

    def long_value_received(self) -> None:
        """Record that the owner has removed the long value from `buffered`, but not its line end."""
        self.long_value_length = 0

    def array_length(self) -> int | None:
        """Consume an array's header; return its length, None if incomplete, -1 for an error line instead."""
        found = self._match_header(0)
        if found is None:
            return None
        if found[1] is None:
            return -1
        self.buffered = self.buffered[found.end() :]
        return int(found[1])

    def next_answer(self) -> ParsedAnswer | None:
        """Return the next answer; None if it is incomplete, or the owner has to remove a long value first.

        Raises AnswerFormatError.
        """
        data = self.buffered
        if len(data) < self._needed_bytes or not data:
            return None
        self._needed_bytes = 0
        if self._elements is None:
            if (answer := self._plain_hit(data)) is not None:
                return answer
            found = self._match_header(0)
            if found is None:
                return None
            if found[1] is None:
                return self._finish_line(found)
            count = int(found[1])
            if not 1 <= count <= 9:
                raise AnswerFormatError("an array with no elements, or with more than 9")
            return self._array([], count, found.end())
        # A long value is followed by its line end, and then the rest of its array.
        if data[:2] != b"\r\n"[: len(data[:2])]:
            raise AnswerFormatError("a value of another length than announced")
        return self._array(self._elements, self._count, 2) if len(data) >= 2 else None

    def next_hits(self, limit: int) -> list[bytes]:
        """Return the values of up to `limit` complete hits in the usual form, each as a bulk string.

        Answers in any other form, and those after them, are left for `next_answer`.
        """
        data, at, entries = self.buffered, 0, list[bytes]()
        if self._elements is not None or len(data) < self._needed_bytes:
            return entries
        while len(entries) < limit:
            head = _HIT_HEADER.match(data, at)
            if head is None:
                break
            end = head.end() + int(head[1])
            rest = _HIT_TRAILER.match(data, end)
            if end - head.end() > LONG_VALUE_BYTES or rest is None or not _is_report(rest):
                break
            entries.append(data[at + 4 : end + 2])
            at = rest.end()
        if entries:
            self.buffered, self._needed_bytes = data[at:], 0
        return entries

    def _plain_hit(self, data: bytes) -> ParsedAnswer | None:
        """Return a complete hit in the usual form, which nearly all answers have; None for any other."""
        head = _HIT_HEADER.match(data)
        if head is None:
            return None
        start, length = head.end(), int(head[1])
        rest = _HIT_TRAILER.match(data, start + length)
        if length > LONG_VALUE_BYTES or rest is None or not _is_report(rest):
            return None
        self.buffered = data[rest.end() :]
        return ParsedAnswer([data[start : start + length], b"hit", rest[2]])

    def _finish_line(self, found: re.Match[bytes]) -> ParsedAnswer | None:
        if found[3] is not None:
            self.buffered = self.buffered[found.end() :]
            return ParsedAnswer(line=found[3])
        length = int(found[2])
        if length < 0 or length > MAX_METADATA_BYTES:
            raise AnswerFormatError("a bulk string that is not an answer")
        if (text := self._bulk_string(found.end(), length)) is None:
            return None
        self.buffered = self.buffered[found.end() + length + 2 :]
        return ParsedAnswer(line=b"$" + text)

    def _array(self, elements: list[bytes | None], count: int, at: int) -> ParsedAnswer | None:
        """Parse the rest of an array's elements from `at` on."""
        elements = elements.copy()
        while len(elements) < count:
            found = self._match_header(at)
            if found is None:
                return None
            at = found.end()
            if found[2] is None:
                if not elements or found[1] not in (None, b"-1") or (found[3] or b"").startswith(b"-"):
                    raise AnswerFormatError("an array that does not begin with a value")
                elements.append(None if found[3] is None else found[3][1:])
                continue
            length = int(found[2])
            if length < 0:
                elements.append(None)
                continue
            if not elements and length > LONG_VALUE_BYTES:
                if length > MAX_ANSWER_VALUE_BYTES:
                    raise AnswerFormatError("a value too long")
                self.buffered = self.buffered[at:]
                self.long_value_length, self._elements, self._count = length, [b""], count
                return None
            if elements and length > MAX_METADATA_BYTES:
                raise AnswerFormatError("a cache note or load report too long")
            if (text := self._bulk_string(at, length)) is None:
                return None
            elements.append(text)
            at += length + 2
        self.buffered, self._elements = self.buffered[at:], None
        return ParsedAnswer(elements)

    def _bulk_string(self, at: int, length: int) -> bytes | None:
        data, end = self.buffered, at + length
        # Warning: a wrong length would truncate the value, or append the bytes that follow it.
        line_end = data[end : end + 2]
        if line_end != b"\r\n"[: len(line_end)]:
            raise AnswerFormatError("a value of another length than announced")
        if len(line_end) < 2:
            # Warning: not both bytes of the line end, as the first decides whether the length is wrong. The
            # server may send nothing more, and the attempt would wait until its timeout.
            self._needed_bytes = end + 1 if len(data) <= end else 0
            return None
        return data[at:end]

    def _match_header(self, at: int) -> re.Match[bytes] | None:
        found = _HEADER_LINE.match(self.buffered, at)
        # The bytes that an incomplete line would have had before its last one.
        line = self.buffered[at : found.end() - 1 if found is not None else at + MAX_METADATA_BYTES + 1]
        is_invalid = found is None and line and not _PARTIAL_HEADER_LINE.fullmatch(line)
        if is_invalid or len(line) > MAX_METADATA_BYTES:
            raise AnswerFormatError("an invalid line")
        return found


def _is_report(trailer: re.Match[bytes]) -> bool:
    """Whether the load report of a hit has the announced length, within the bound."""
    length = int(trailer[1])
    return len(trailer[2]) == length <= MAX_METADATA_BYTES
