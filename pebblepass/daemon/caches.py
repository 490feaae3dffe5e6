"""Connections to cache servers: parse answers in order, and stream long values."""

from __future__ import annotations

from pebblepass.daemon.exchange import Answer, Exchange
from pebblepass.daemon.server_connection import Connection, Server
from pebblepass.decisions import CacheNote, Outcome
from pebblepass.wire.answers import AnswerFormatError, AnswerParser, ParsedAnswer

_NOTES = {b"hit": CacheNote.HIT, b"miss": CacheNote.MISS, b"pending": CacheNote.FETCH_SHARED}


class CacheConnection(Connection):
    """Speaks RESP2 with one cache server."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._parser = AnswerParser()
        self._left = 0  # bytes of a long value not received yet
        self._streamed = False  # the current answer has a long value

    def read_answer(self, data: bytes) -> None:
        """Parse as many answers as the exchange on this connection expects."""
        parser = self._parser
        parser.feed(data)
        while (exchange := self.exchange) is not None:
            if self._left and not self._pass_on():
                return
            try:
                if exchange.carries_several and self._several(exchange):
                    continue
                answer = parser.next_answer()
            except AnswerFormatError as error:
                self.fail_protocol(f"sent {error}")
                return
            if answer is not None:
                self._take(answer)
            elif parser.long_value_length:
                self._left, self._streamed = parser.long_value_length, True
                exchange.value_started(parser.long_value_length, self)
                if not parser.buffered:
                    return
            else:
                return

    def _several(self, exchange: Exchange) -> bool:
        """Handle the array's header if one is due, or plain hits; False: parse the next answer by itself."""
        parser = self._parser
        if exchange.array_expected:
            if (count := parser.array_length()) is None:
                return False  # nothing after it is complete either
            exchange.array_started(count)
        entries = parser.next_hits(exchange.expected_hits)
        if entries:
            self.finish_hits(exchange, entries)
        return bool(entries)

    def check_trailing_bytes(self) -> None:
        """Retire the connection if bytes after the exchange's answers were received."""
        # Danger: more bytes after the answer would be taken for the next request's answer. What they are
        # does not matter, and the answer before them is valid: parsing on could turn it into an error.
        self.retired = self.retired or self._parser.has_partial_answer

    def _pass_on(self) -> bool:
        """Pass on the received bytes of the long value; returns whether it is complete."""
        parser = self._parser
        part, parser.buffered = parser.buffered[: self._left], parser.buffered[self._left :]
        self._left -= len(part)
        if not self._left:
            parser.long_value_received()
        if part and self.exchange is not None:
            self.exchange.value_received(part)
        return not self._left

    def _take(self, answer: ParsedAnswer) -> None:
        elements, line = answer.elements, answer.line
        streamed, self._streamed = self._streamed, False
        if elements:
            note = _NOTES.get(elements[1] or b"") if len(elements) > 1 else None
            report = elements[2] if len(elements) > 2 else None
            outcome = Outcome.MISS if elements[0] is None else Outcome.OK
            self.finish(outcome, Answer(None if streamed else elements[0], note, report))
        elif line is not None and line.startswith(b"-"):
            self._error(line[1:])
        elif line is not None and self.exchange is not None and self.exchange.is_probe:
            self.finish(Outcome.OK, Answer(report=line[1:]))
        else:
            self.fail_protocol("sent an answer of an unknown form")

    def _error(self, text: bytes) -> None:
        """Handle an error line, whose last word may be a load report."""
        last = text.rpartition(b" ")[2]
        report = last if b"=" in last else None
        if text.startswith(b"BUSY"):
            self.reject(Answer(report=report))
        else:
            self.finish(Outcome.ERROR, Answer(report=report))
