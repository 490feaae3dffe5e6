"""A listed server and its connections, each with at most one exchange on it."""

from __future__ import annotations

import asyncio
import logging
from abc import abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from pebblepass.daemon.exchange import NOTHING, Answer, Exchange
from pebblepass.daemon.gathered import GatherBudget
from pebblepass.daemon.unread import SocketPoller
from pebblepass.decisions import Outcome
from pebblepass.wire.address import Address

PER_SERVER = 16

log = logging.getLogger("pebblepass")


class PoolOfConnection(Protocol):
    """The pool as its connections see it."""

    poller: SocketPoller
    gathered: GatherBudget
    reports: bool
    """Whether servers give load reports."""

    def released(self, connection: Connection) -> None:
        """Keep a connection that has no exchange any longer."""

    def lost(self, connection: Connection) -> None:
        """Forget a connection that has ended."""

    def no_room(self, connection: Connection) -> bool:
        """Dial its server no more for a while; returns whether there are other connections to it."""


class Connection(asyncio.Protocol):
    """One connection, with at most one exchange on it: an answer never waits behind another exchange's."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.unsent = False
        self.retired = False
        self._look: Callable[[], int] | None = None
        self._kept = self._answering = False  # has served before; a part of the answer has come
        self._not_read = False  # paused, for a client that could take no more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; a limit of 0 tells precisely whether the kernel has taken every byte."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        descriptor = self.transport.get_extra_info("socket").fileno()
        self._look = self.server.pool.poller.read_poll(descriptor)

    def pause_writing(self) -> None:
        """Note that the kernel has not taken every byte."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Note that it has."""
        self.unsent = False
        if self.exchange is not None:
            self.exchange.written()

    @property
    def usable(self) -> bool:
        """Whether it can take another exchange."""
        return not self.retired and self.transport is not None and not self.transport.is_closing()

    @property
    def quiet(self) -> bool:
        """Whether nothing stands unread in the kernel: no end, no reset, no answer that belongs to nobody.

        Danger: answers carry no id, so that a late second one would be taken for the next request's; and what
        is written behind an end that nobody has read may have run, as far as this router can tell.
        """
        return self._look is not None and not self._look()

    def start(self, exchange: Exchange) -> None:
        """Write an exchange's request."""
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        self.transport.write(exchange.request_bytes(self.server.address))
        # Guards what may not be repeated: where the kernel takes nothing, nothing can have run.
        self.unsent = self.unsent or self.transport.is_closing()
        if self.unsent:
            exchange.mark_unsent()
        else:
            exchange.written()

    def close(self) -> None:
        """Break the connection."""
        self.retired = True
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Stop reading."""
        if self.transport is not None and not self.transport.is_closing():
            self._not_read = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self.transport is not None and not self.transport.is_closing():
            self._not_read = False
            self.transport.resume_reading()

    def finish(self, outcome: Outcome, answer: Answer = NOTHING) -> None:
        """Take an answer; with the last one that the exchange expects it ends, and the connection is free."""
        exchange = self.exchange
        self._kept = True
        if exchange is not None and exchange.carries_several and exchange.record_answer(outcome, answer):
            return
        self._free()
        if exchange is not None:
            exchange.end(outcome, answer)

    def hits(self, exchange: Exchange, entries: list[bytes]) -> None:
        """Take answers that need no more than their values; `finish` for many."""
        self._kept = True
        if exchange.record_hits(entries):
            self._free()
            exchange.end(Outcome.OK)

    def _free(self) -> None:
        self.exchange, self._answering = None, False
        self.server.silent_since = None
        if self._not_read:
            # Danger: its client can take no more, and tells the exchange that has ended when it can. The next
            # one's answer would stand unread, and its server look silent.
            self.resume()
        self.look_behind()
        self.server.pool.released(self)

    def turned_away(self, answer: Answer) -> None:
        """Take a refusal. A first one that tells nothing of the load is one for want of a place."""
        exchange = self.exchange
        told_of_load = answer.report is not None or not self.server.pool.reports
        if exchange is not None and not (told_of_load or self._kept or exchange.carries_several):
            # Danger: kept, it would be turned away again and again, and holds a place that it does not have.
            self.retired = True
            exchange.connection_rejected = not self.server.pool.no_room(self)
            exchange.connection_failed = not exchange.connection_rejected
        self.finish(Outcome.OVERLOADED, answer)

    def spoil(self, reason: str) -> None:
        """End the exchange for an answer that can't be read, and the connection with it."""
        log.warning("%s: %s", self.server.id, reason)
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            exchange.end(Outcome.ERROR)

    def data_received(self, data: bytes) -> None:
        """Read what came."""
        if self.exchange is None:
            if self.usable:
                self.spoil("sent an answer that nobody asked for")
            return
        self._answering = True
        try:
            self.answer_came(data)
        except Exception:
            log.exception("%s: reading an answer failed", self.server.id)
            self.spoil("reading an answer failed")

    @abstractmethod
    def answer_came(self, data: bytes) -> None:
        """Read a part of the answer."""

    def look_behind(self) -> None:
        """The exchange is over: see whether more than its answers has come."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection, and of what is out on it."""
        self.retired = True
        exchange, self.exchange = self.exchange, None
        self.server.pool.lost(self)
        if exchange is not None:
            # Guards a sound server's name: kept connections break on their own, above all unused ones.
            exchange.connection_failed = self._kept and not (self._answering or self.unsent)
            exchange.end(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)


class Server:
    """One listed server as the pool sees it."""

    def __init__(
        self,
        pool: PoolOfConnection,
        server_id: str,
        address: Address,
        connect: Callable[[Server], Connection],
    ):
        self.pool, self.id, self.address, self.connect = pool, server_id, address, connect
        self.open = True
        self.idle: list[Connection] = []  # the one used last at the end: spares grow old and are retired
        self.wake: asyncio.TimerHandle | None = None  # when a connection that rests may be used by who waits
        # Dictionaries keep the order in which things came: a set's is another one in each process.
        self.connections: dict[Connection, None] = {}
        self.dials: dict[asyncio.Task[None], None] = {}
        self.waiting: deque[Exchange] = deque()
        self.most, self.most_until = PER_SERVER, 0.0  # connections, since it turned one away
        self.silent_since: float | None = None  # when a dial ran out of time, if nothing was heard since

    @property
    def held(self) -> int:
        """Connections open and under way."""
        return len(self.connections) + len(self.dials)

    def ran_out(self, began: float, now: float) -> bool:
        """Take note of a dial that ran out of time; whether that tells of its connection alone.

        So does the first since the server was heard, with those that were under way beside it: connections
        may come up late, or never, one by one. Danger: a server held dead for it gets next to nothing for a
        minute. One that has vanished fails the next dial too.
        """
        if self.silent_since is None:
            self.silent_since = now
        return began < self.silent_since
