"""A listed server and its connections, each of which carries at most one exchange at a time."""

from __future__ import annotations

import asyncio
import logging
from abc import abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from pebblepass.daemon.answer_reads import AnswerReads
from pebblepass.daemon.answer_times import SUSPECT_DELAYS, AnswerTimes
from pebblepass.daemon.exchange import NOTHING, Answer, Exchange
from pebblepass.daemon.limited_reads import LimitedReads
from pebblepass.daemon.memory_account import MemoryAccount
from pebblepass.daemon.socket_polling import SocketPoller
from pebblepass.decisions import Outcome
from pebblepass.wire.address import Address

MAX_CONNECTIONS_PER_SERVER = 16

log = logging.getLogger("pebblepass")


class PoolOfConnection(Protocol):
    """The interface of the pool that its connections use."""

    loop: asyncio.AbstractEventLoop
    poller: SocketPoller
    memory: MemoryAccount
    answer_reads: AnswerReads
    reports: bool
    """Whether servers send load reports."""

    def reuse_delay(self, server: Server) -> float:
        """Return the seconds from an answer of this server to the next request on its connection."""

    def released(self, connection: Connection) -> None:
        """Keep a connection whose exchange has ended."""

    def lost(self, connection: Connection) -> None:
        """Forget a connection that is closed."""

    def limit_connections(self, connection: Connection) -> bool:
        """Stop further dials to its server for a while; returns whether there are other connections to it."""


class Connection(LimitedReads):
    """One connection, with at most one exchange at a time, so that no exchange waits for another's answer."""

    def __init__(self, server: Server) -> None:
        super().__init__(server.pool.memory)
        self.server = server
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.unsent = False
        self.retired = False
        self._poll_unread: Callable[[], int] | None = None
        # Whether it has received an answer, and a part of the current answer.
        self._has_served = self._has_answer_bytes = False
        self._reading_paused = False  # whether the client of a streamed value does not read
        self._buffered_bytes = 0  # of an answer, as counted in the memory account
        self._unsent_bytes = 0  # of a request, as counted in the memory account
        # Loop times before and after the request was written; between them the process may have been delayed.
        self._send_started_at = self._send_ended_at = 0.0
        self._answer_time_s: float | None = None  # of the current answer, until it is recorded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; a write buffer limit of 0 makes it report when the kernel has every byte."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        descriptor = self.transport.get_extra_info("socket").fileno()
        self._poll_unread = self.server.pool.poller.read_poll(descriptor)

    def pause_writing(self) -> None:
        """Record that the kernel has not accepted every byte."""
        self.unsent = True
        if self.transport is not None:
            self._count_unsent(self.transport.get_write_buffer_size())

    def _count_unsent(self, size: int) -> None:
        before, self._unsent_bytes = self._unsent_bytes, size
        if size != before:
            self.server.pool.memory.commands.take(size - before)

    def resume_writing(self) -> None:
        """Record that the kernel has accepted every byte."""
        self.unsent = False
        self._count_unsent(0)
        if self.exchange is not None:
            self.exchange.written()

    @property
    def usable(self) -> bool:
        """Whether it can be used for another exchange."""
        return not self.retired and self.transport is not None and not self.transport.is_closing()

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the kernel has nothing unread: no end of file, no reset, no answer without a request.

        Warning: answers have no id, so an unread one would be taken for the answer to the next request. And a
        request written after an unread end of file would have to count as possibly executed.
        """
        return self._poll_unread is not None and not self._poll_unread()

    def start(self, exchange: Exchange) -> None:
        """Send an exchange's request."""
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        request, loop = exchange.request_bytes(self.server.address), self.server.pool.loop
        self._send_started_at = loop.time()
        self.transport.write(request)
        self._send_ended_at = loop.time()
        # If the kernel has accepted nothing, the request was not executed, and even one that is not
        # idempotent can be retried.
        self.unsent = self.unsent or self.transport.is_closing()
        if self.unsent:
            exchange.mark_unsent()
        else:
            exchange.written()

    def close(self) -> None:
        """Abort the connection."""
        self.retired = True
        self._release_memory()
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Pause reading."""
        if self.transport is not None and not self.transport.is_closing():
            self._reading_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self.transport is not None and not self.transport.is_closing():
            self._reading_paused = False
            self.transport.resume_reading()

    def finish(self, outcome: Outcome, answer: Answer = NOTHING) -> None:
        """Handle an answer; the last one that the exchange expects ends it and frees the connection."""
        exchange = self.exchange
        # Warning: a server that is full may reject a connection before it has received the request.
        if self._has_served or outcome in (Outcome.OK, Outcome.MISS):
            self._record_answer_time()
        self._has_served = True
        if exchange is not None and exchange.carries_several and exchange.record_answer(outcome, answer):
            return
        self._release()
        if exchange is not None:
            exchange.end(outcome, answer)

    def finish_hits(self, exchange: Exchange, entries: list[bytes]) -> None:
        """Handle several answers that are plain hits, each entry its value as a bulk string."""
        self._record_answer_time()
        self._has_served = True
        if exchange.record_hits(entries):
            self._release()
            exchange.end(Outcome.OK)

    def _record_answer_time(self) -> None:
        answer_time_s, self._answer_time_s = self._answer_time_s, None
        if answer_time_s is not None:
            self.server.answer_times.record(self._send_started_at + answer_time_s, answer_time_s)

    def _release(self) -> None:
        self.exchange, self._has_answer_bytes = None, False
        self.server.unresponsive_since = None
        if self._reading_paused:
            # Warning: the client's next read would resume the exchange that has ended, not this connection.
            # The answer to the next exchange would stay unread, and the server would look unresponsive.
            self.resume()
        self.check_trailing_bytes()
        self.server.pool.released(self)

    def reject(self, answer: Answer) -> None:
        """Handle a rejection.

        The server has too many connections if this is the first answer on the connection and has no load
        report, although servers send load reports.
        """
        exchange = self.exchange
        is_for_load = answer.report is not None or not self.server.pool.reports
        if exchange is not None and not (is_for_load or self._has_served or exchange.carries_several):
            # Warning: kept open, the connection would count as usable, and be rejected again and again.
            self.retired = True
            exchange.connection_rejected = not self.server.pool.limit_connections(self)
            exchange.connection_failed = not exchange.connection_rejected
        self.finish(Outcome.OVERLOADED, answer)

    def fail_protocol(self, reason: str) -> None:
        """End the exchange with an error, and close the connection: the server has sent an invalid answer."""
        log.warning("server %s %s: connection closed, its attempt fails", self.server.id, reason)
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            exchange.end(Outcome.ERROR)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.exchange is None:
            if self.usable:
                self.fail_protocol("sent an answer without a request")
            return
        if not self._has_answer_bytes:
            self._has_answer_bytes = True
            if self._is_second_answer():
                return
        try:
            self.read_answer(data)
            self._count_buffered()
        except Exception:
            log.exception("parsing an answer of server %s failed", self.server.id)
            self.fail_protocol("sent an answer that this router failed to parse")

    def _is_second_answer(self) -> bool:
        """Whether the first byte of an answer is that of a second answer to the request before.

        If so, its connection is closed and the attempt fails; the server may execute the request.
        """
        server, now = self.server, self.server.pool.loop.time()
        self._answer_time_s = now - self._send_started_at
        # The time from the end of the write: a delay of this process makes it shorter, never longer, and so
        # may cost an attempt but not let a second answer pass.
        since_request_s = now - self._send_ended_at
        times = server.answer_times
        if since_request_s >= times.earliest_s or not self._has_served:
            return False
        if self._send_started_at - self.idle_since > server.pool.reuse_delay(server) * SUSPECT_DELAYS:
            return False
        times.record_refused(since_request_s)
        self.fail_protocol(
            f"sent an answer {since_request_s * 1000:.1f} ms after a request, too early for this request, "
            f"{(now - self.idle_since) * 1000:.1f} ms after its previous answer"
        )
        return True

    @abstractmethod
    def read_answer(self, data: bytes) -> None:
        """Parse a part of the answer."""

    @property
    @abstractmethod
    def buffered_bytes(self) -> int:
        """The received bytes of an incomplete answer, or of one that is not passed on yet."""

    def _count_buffered(self) -> None:
        size = self.buffered_bytes
        if size != self._buffered_bytes:
            self._buffered_bytes = size
            self.server.pool.answer_reads.count(self, size)

    @abstractmethod
    def discard_answer(self) -> None:
        """Drop the received bytes of an answer, as the memory account no longer counts them."""

    def _release_memory(self) -> None:
        self._count_unsent(0)
        self.discard_answer()
        if self._buffered_bytes:
            self._buffered_bytes = 0
            self.server.pool.answer_reads.release(self)

    @property
    def waits_for_memory(self) -> bool:
        """Whether it is not read for want of memory, which is no fault of its server."""
        return self.server.pool.answer_reads.is_paused(self)

    def pause_buffering(self) -> None:
        """Pause reading: the memory is in use for other answers."""
        self.pause()

    def resume_buffering(self) -> None:
        """Resume reading."""
        self.resume()

    def check_trailing_bytes(self) -> None:
        """Retire the connection if more than the answers of its exchange was received."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange of a connection that is closed."""
        self.retired = True
        self._release_memory()
        exchange, self.exchange = self.exchange, None
        self.server.pool.lost(self)
        if exchange is not None:
            # A connection that breaks after it was idle does not count against the health of its server.
            exchange.connection_failed = self._has_served and not (self._has_answer_bytes or self.unsent)
            exchange.end(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)


class Server:
    """One server of the endpoint list, with its connections and the exchanges that wait for a connection."""

    def __init__(
        self,
        pool: PoolOfConnection,
        server_id: str,
        address: Address,
        connect: Callable[[Server], Connection],
        started: int = 0,
    ):
        """`started`: when its process started, in nanoseconds of any one clock."""
        self.pool, self.id, self.address, self.connect = pool, server_id, address, connect
        self.started = started
        self.is_listed = True
        self.idle: list[Connection] = []
        """Idle connections; the one used last is at the end and reused first, so that the others time out."""
        self.answer_times = AnswerTimes()
        self.wake_timer: asyncio.TimerHandle | None = None
        """Due when a waiting exchange may use the oldest idle connection."""
        # Dictionaries keep the order of insertion, while the order of a set differs between processes.
        self.connections: dict[Connection, None] = {}
        self.dials: dict[asyncio.Task[None], None] = {}
        self.waiting: deque[Exchange] = deque()
        self.connection_limit, self.connection_limit_until = MAX_CONNECTIONS_PER_SERVER, 0.0
        """Maximum number of connections after the server has rejected one, and until which loop time."""
        self.unresponsive_since: float | None = None
        """Loop time of the first dial that timed out since the server last answered or accepted."""

    @property
    def connection_count(self) -> int:
        """Number of open connections and dials in progress."""
        return len(self.connections) + len(self.dials)

    @property
    def exchange_count(self) -> int:
        """Number of exchanges that have a connection or wait for one."""
        waiting = sum(not exchange.is_over for exchange in self.waiting)
        return len(self.connections) - len(self.idle) + waiting

    @property
    def needed_connections(self) -> int:
        """Number of connections that its exchanges can use at once, at least those in use and dialled."""
        in_use = self.connection_count - len(self.idle)
        return max(in_use, min(self.exchange_count, MAX_CONNECTIONS_PER_SERVER))

    def record_dial_timeout(self, started_at: float, now: float) -> bool:
        """Record a dial that timed out; returns whether it is excluded from the server's health statistics.

        `started_at` and `now` are loop times in seconds. The first timeout since the server last responded is
        excluded, and so are those of dials that were in progress then, as single connections may be late or
        lost. A server that is down fails the next dial too. Warning: a server that is ejected gets hardly any
        requests for a minute.
        """
        if self.unresponsive_since is None:
            self.unresponsive_since = now
        return started_at < self.unresponsive_since
