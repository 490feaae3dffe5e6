"""Connections to cache servers: one command, one answer, read by hiredis or passed on as it comes."""

from __future__ import annotations

import re

import hiredis

from pebblepass.daemon.upstream import Answer, Connection, Server
from pebblepass.decisions import CacheNote, Outcome
from pebblepass.wire.resp import LARGE, MAX_ANSWER

MAX_REST = 8 << 10  # all of an answer but its value: far more than a note and a load report take
HEADER = re.compile(rb"\*[1-9]\r\n\$(\d{1,8})\r\n")
AFTER_VALUE = re.compile(rb"\r\n\$3\r\nhit\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n")
HEADER_BEGUN = re.compile(rb"\*([1-9](\r(\n(\$(-|\d{1,8}\r?)?)?)?)?)?")

_NOTES = {b"hit": CacheNote.HIT, b"miss": CacheNote.MISS, b"pending": CacheNote.FETCH_OUT}


def _whole_hit(data: bytes) -> Answer | None:
    """What the server brought, if these bytes are one whole hit; None: look closer.

    Nearly all answers are that, and every length in them is checked here.
    """
    header = HEADER.match(data)
    if header is None or data[1] != 51:  # 3 places
        return None
    start, length = header.end(), int(header[1])
    rest = AFTER_VALUE.fullmatch(data, start + length)
    if length > LARGE or rest is None or len(rest[2]) != int(rest[1]):
        return None
    return Answer(data[start : start + length], CacheNote.HIT, rest[2])


class CacheConnection(Connection):
    """Speaks RESP2 with one cache server."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._reader = hiredis.Reader()
        self._head = b""
        self._begun = False  # the answer's header has been looked at
        self._came = 0  # bytes of the answer that hiredis was given
        self._left = 0  # bytes of a long value, with its line end, that are still to come
        self._length = 0
        self._value_end = -1  # where in the answer the line end behind a short value stands

    def answer_came(self, data: bytes) -> None:
        """Look at the header first: hiredis holds a whole value, so a long one goes past it."""
        if self._left:
            data = self._pass_on(data)
            if not data:
                return
        elif not self._begun:
            data = self._head + data
            self._head = b""
            if (whole := _whole_hit(data)) is not None:
                self.finish(Outcome.OK, whole)
                return
            if data[0] == 42 and b"\n$-1" not in data[:8]:
                header = HEADER.match(data)
                # Guards against waiting out a request's time for the rest of what can't become a header:
                # a short broken one, such as an array of arrays, is all that its server sends.
                if header is None and HEADER_BEGUN.fullmatch(data):
                    self._head = data
                    return
                if header is None or int(header[1]) > MAX_ANSWER:
                    self.spoil("sent an answer with a broken header")
                    return
                if int(header[1]) > LARGE:
                    self._begun = True
                    self._start_value(int(header[1]))
                    # What follows the value is read as an array of its own, its first place taken up here.
                    self._reader.feed(data[:4] + b"$0\r\n\r\n")
                    data = self._pass_on(data[header.end() :])
                    if not data:
                        return
                else:
                    self._value_end = header.end() + int(header[1])
            self._begun = True
        if not self._ends_well(data):
            self.spoil("sent a value of another length than it told")
            return
        self._came += len(data)
        self._reader.feed(data)
        self._read()

    def _ends_well(self, data: bytes) -> bool:
        """Look at the line end behind a value, as far as it comes in these bytes.

        Danger: hiredis skips these two bytes unseen, so a wrong length would cut the value or add to it.
        """
        start = self._value_end - self._came
        places = ((start, 0x0D), (start + 1, 0x0A)) if self._value_end >= 0 else ()
        return all(data[at] == want for at, want in places if 0 <= at < len(data))

    def _start_value(self, length: int) -> None:
        assert self.exchange is not None
        self._length, self._left = length, length + 2
        self.exchange.value_started(length, self)

    def _pass_on(self, data: bytes) -> bytes:
        """Hand on what belongs to the long value; returns what comes after it."""
        exchange = self.exchange
        part, rest = data[: self._left], data[self._left :]
        of_value = max(min(len(part), self._left - 2), 0)
        line_end = part[of_value:]
        begun = 2 - (self._left - of_value)  # how much of the line end came before
        if line_end and line_end != b"\r\n"[begun : begun + len(line_end)]:
            self.spoil("sent a value of another length than it told")
            return b""
        self._left -= len(part)
        if exchange is not None and of_value:
            exchange.value_came(part[:of_value])
        return rest

    def _read(self) -> None:
        try:
            answer = self._reader.gets()
        except hiredis.ProtocolError as error:
            self.spoil(f"broke the protocol: {error}")
            return
        if answer is False:
            if self._came > LARGE + MAX_REST:
                self.spoil("sent more beside the value than an answer has")
            return
        # Danger: more bytes after the answer would be taken for the next request's answer. What they are
        # does not matter, and the answer ahead of them is good: read on, noise would spoil it.
        self.retired = self.retired or self._reader.has_data()
        streamed = self._length > 0
        self._begun, self._came, self._length, self._value_end = False, 0, 0, -1
        if isinstance(answer, hiredis.ReplyError):
            self._error(str(answer))
        elif isinstance(answer, list) and answer and isinstance(answer[0], bytes | None):
            note = answer[1] if len(answer) > 1 else None
            report = answer[2] if len(answer) > 2 and isinstance(answer[2], bytes) else None
            value = None if streamed else answer[0]
            outcome = Outcome.MISS if answer[0] is None else Outcome.OK
            self.finish(outcome, Answer(value, _NOTES.get(note) if isinstance(note, bytes) else None, report))
        elif isinstance(answer, bytes) and self.exchange is not None and self.exchange.is_probe:
            self.finish(Outcome.OK, Answer(report=answer))
        else:
            self.spoil("sent an answer of an unknown form")

    def _error(self, text: str) -> None:
        """An error line; a load report may stand last in it."""
        last = text.rpartition(" ")[2]
        report = last.encode() if "=" in last else None
        self.finish(Outcome.FULL if text.startswith("BUSY") else Outcome.ERROR, Answer(report=report))
