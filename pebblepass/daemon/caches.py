"""Connections to cache servers."""

from __future__ import annotations

from pebblepass.daemon.exchange import Answer, Exchange
from pebblepass.daemon.server_connection import Connection, Server
from pebblepass.decisions import CacheNote, Outcome
from pebblepass.wire.answers import AnswerFormatError, AnswerParser, ParsedAnswer

_NOTES = {b"hit": CacheNote.HIT, b"miss": CacheNote.MISS, b"pending": CacheNote.FETCH_SHARED}


class CacheConnection(Connection):
    """Speaks RESP2 with one cache server: parses answers in order, and streams long values."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._parser = AnswerParser()
        self._missing_bytes = 0  # of a long value
        self._is_streamed = False  # whether the current answer has a long value

    @property
    def buffered_bytes(self) -> int:
        """The received bytes of an incomplete answer."""
        return len(self._parser.buffered)

    def discard_answer(self) -> None:
        """Drop the received bytes of an incomplete answer."""
        self._parser.discard()

    def read_answer(self, data: bytes) -> None:
        """Parse received bytes, up to the last answer that the exchange expects."""
        parser = self._parser
        parser.feed(data)
        while (exchange := self.exchange) is not None:
            if self._missing_bytes and not self._pass_on_value():
                return
            try:
                if exchange.carries_several and self._read_hits(exchange):
                    continue
                answer = parser.next_answer()
            except AnswerFormatError as error:
                self.fail_protocol(f"sent {error}")
                return
            if answer is not None:
                self._handle_answer(answer)
            elif parser.long_value_length:
                self._missing_bytes, self._is_streamed = parser.long_value_length, True
                exchange.value_started(parser.long_value_length, self)
                if not parser.buffered:
                    return
            else:
                return

    def _read_hits(self, exchange: Exchange) -> bool:
        """Handle the array's header if it comes next, and plain hits; False: parse the next answer singly."""
        parser = self._parser
        if exchange.array_expected:
            if (count := parser.array_length()) is None:
                return False  # the header is incomplete, so there is no answer yet
            exchange.array_started(count)
        entries = parser.next_hits(exchange.expected_hits)
        if entries:
            self.finish_hits(exchange, entries)
        return bool(entries)

    def check_trailing_bytes(self) -> None:
        """Retire the connection if bytes after the exchange's answers were received."""
        # Warning: these bytes would be taken for the answer to the next request. They are not parsed, as an
        # error in them must not turn the valid answer before them into a failure.
        self.retired = self.retired or self._parser.has_partial_answer

    def _pass_on_value(self) -> bool:
        """Pass on the received bytes of the long value; returns whether it is complete."""
        parser = self._parser
        part, parser.buffered = (
            parser.buffered[: self._missing_bytes],
            parser.buffered[self._missing_bytes :],
        )
        self._missing_bytes -= len(part)
        if not self._missing_bytes:
            parser.long_value_received()
        if part and self.exchange is not None:
            self.exchange.value_received(part)
        return not self._missing_bytes

    def _handle_answer(self, answer: ParsedAnswer) -> None:
        elements, line = answer.elements, answer.line
        is_streamed, self._is_streamed = self._is_streamed, False
        if elements:
            note = _NOTES.get(elements[1] or b"") if len(elements) > 1 else None
            report = elements[2] if len(elements) > 2 else None
            outcome = Outcome.MISS if elements[0] is None else Outcome.OK
            self.finish(outcome, Answer(None if is_streamed else elements[0], note, report))
        elif line is not None and line.startswith(b"-"):
            self._handle_error(line[1:])
        elif line is not None and self.exchange is not None and self.exchange.is_probe:
            self.finish(Outcome.OK, Answer(report=line[1:]))
        else:
            self.fail_protocol("sent an answer of an unknown form")

    def _handle_error(self, text: bytes) -> None:
        """Handle an error line, whose last word may be a load report."""
        last_word = text.rpartition(b" ")[2]
        report = last_word if b"=" in last_word else None
        if text.startswith(b"BUSY"):
            self.reject(Answer(report=report))
        else:
            self.finish(Outcome.ERROR, Answer(report=report))
