"""Connections to cache servers: answers in order, and long values passed on as they come."""

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
        self._left = 0  # bytes of a long value that are still to come
        self._streamed = False  # the answer under way has a long value

    def answer_came(self, data: bytes) -> None:
        """Read as many answers as the exchange on this connection expects."""
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
                self.spoil(f"sent {error}")
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
        """Take the array's head that is due, or plain hits; False: look at the next answer by itself."""
        parser = self._parser
        if exchange.array_expected:
            if (count := parser.array_length()) is None:
                return False  # nothing behind it is whole either
            exchange.array_started(count)
        entries = parser.next_hits(exchange.expected_hits)
        if entries:
            self.hits(exchange, entries)
        return bool(entries)

    def look_behind(self) -> None:
        """The exchange is over: what stands behind its answers belongs to nobody."""
        # Danger: more bytes after the answer would be taken for the next request's answer. What they are
        # does not matter, and the answer ahead of them is good: read on, noise would spoil it.
        self.retired = self.retired or self._parser.has_partial_answer

    def _pass_on(self) -> bool:
        """Hand on what belongs to the long value; whether all of it has come."""
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
            self.spoil("sent an answer of an unknown form")

    def _error(self, text: bytes) -> None:
        """An error line; a load report may stand last in it."""
        last = text.rpartition(b" ")[2]
        report = last if b"=" in last else None
        if text.startswith(b"BUSY"):
            self.turned_away(Answer(report=report))
        else:
            self.finish(Outcome.ERROR, Answer(report=report))
