"""Connections to cache servers and the origin: exchanges, the connections they run on, and their pool."""

from __future__ import annotations

import asyncio
import logging
from abc import abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol, cast

from pebblepass.daemon.gathered import GatherBudget
from pebblepass.daemon.unread import socket_poller
from pebblepass.decisions import CacheNote, Outcome
from pebblepass.wire.address import Address
from pebblepass.wire.resp import MAX_ANSWER

PER_SERVER = 16
IDLE_SHARE = 0.9  # of the time after which servers close idle connections; news of it may be under way
SWEEP_S = 0.5
NO_ROOM_S = 2.0  # after a server has turned a further connection away: others' idle ones close in seconds
# Between an answer and the next request: a second answer may come some milliseconds late. Seen: 0.3 to 3.8.
REST_S = 0.01
WAKE_SLACK_S = 0.001  # loops count in whole milliseconds and round to the nearest
LATE_NOTICE_S = 0.02  # a timer this late means that the loop was held up, and news may wait in the kernel

log = logging.getLogger("pebblepass")


class ValueSource(Protocol):
    """What a value over 64 KiB comes from, as its reader sees it."""

    def pause(self) -> None:
        """Stop reading more of the value."""

    def resume(self) -> None:
        """Go on reading."""


class Answer(NamedTuple):
    """What a server brought, as far as it did."""

    value: bytes | None = None
    note: CacheNote | None = None
    report: bytes | None = None


NOTHING = Answer()


class Exchange:
    """One command or HTTP request to a server and what comes of it; told of its end exactly once."""

    connection: Connection | None = None
    is_over = False
    is_probe = False
    is_write = False
    carries_several = False
    """It stands for more than one request, each with an answer of its own."""
    array_expected = False
    """The answers come within one array, whose head is still to come."""
    connection_failed = False
    """Ended with a connection that had served before and broke without a byte of an answer, or with one that
    had no place beside this router's others, or was the first not to come up since its server was heard."""
    connection_rejected = False
    """Turned away with a new connection, the only one to this server."""

    @property
    def is_wanted(self) -> bool:
        """Whether it is to be sent still, once there is a connection for it."""
        return True

    def may_begin(self) -> bool:
        """Whether it is to be sent in this moment; one that is not may end itself in here."""
        return self.is_wanted

    def mark_unsent(self) -> None:
        """Take note that it waits for a connection, or for the kernel to take its last byte."""

    @abstractmethod
    def request_bytes(self, address: Address) -> bytes:
        """Write the request down; called when the connection for it is at hand."""

    @abstractmethod
    def ended(self, outcome: Outcome, answer: Answer) -> None:
        """Take the end."""

    def written(self) -> None:
        """Take note that the kernel has taken the request's last byte."""

    def value_started(self, length: int, source: ValueSource) -> None:
        """Take the start of a value over 64 KiB."""

    def value_received(self, data: bytes) -> None:
        """Take a part of it."""

    def array_started(self, count: int) -> None:
        """Take the head of the array of answers; -1: an error line stands in its place."""

    def record_answer(self, outcome: Outcome, answer: Answer) -> bool:
        """Take one answer of several; False: it is the last, and `ended` takes it."""
        return False

    @property
    def expected_hits(self) -> int:
        """How many of the next answers need no more than their value's bytes, where they are hits."""
        return 0

    def record_hits(self, entries: list[bytes]) -> bool:
        """Take so many of those answers, each its value as a bulk string; whether that was the last."""
        raise NotImplementedError

    def end(self, outcome: Outcome, answer: Answer = NOTHING) -> None:
        """End it, unless it has ended."""
        if not self.is_over:
            self.is_over, self.connection = True, None
            self.ended(outcome, answer)

    def withdraw(self) -> None:
        """Nobody wants it any more: end it, unless its last byte is with the kernel.

        What the kernel has taken whole can't be taken back, and its answer still tells of its server. What it
        has taken in part is never begun by its server: the connection's end takes it back.
        """
        if self.connection is None or self.connection.unsent:
            self.give_up(Outcome.SUPERSEDED)

    def give_up(self, outcome: Outcome) -> None:
        """End it before its answer has come."""
        connection = self.connection
        if connection is not None:
            connection.exchange = None
            # Danger: one left open holds a place for as long as its server is silent, and the server
            # goes on taking the attempt for one that is out.
            connection.close()
        self.end(outcome)


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

    def __init__(self, pool: Pool, server_id: str, address: Address, connect: Callable[[Server], Connection]):
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


class Pool:
    """Deals exchanges out to connections, within the share of descriptors that servers have."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        dial_timeout: float,
        idle_close: float,
        reports: bool = True,
        gather: int = 16 << 20,
    ) -> None:
        """`reports`: servers give load reports, so that a refusal without one tells of something else.

        `gather`: bytes for long values that come without a length.
        """
        self.reports = reports
        self.poller = socket_poller(loop)
        self.gathered = GatherBudget(gather, MAX_ANSWER)
        self.loop = loop
        self._limit, self._dial_timeout = limit, dial_timeout
        self._idle_limit = idle_close * IDLE_SHARE
        self._servers: dict[str, Server] = {}
        self._held = 0
        self._closed = False
        self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)

    def list_server(self, server_id: str, address: Address, connect: Callable[[Server], Connection]) -> None:
        """A server may be sent to, at this address."""
        server = self._servers.get(server_id)
        if server is None:
            self._servers[server_id] = Server(self, server_id, address, connect)
            return
        if server.address != address or server.connect is not connect:
            # First: whoever is told of an attempt's end may submit another one.
            server.address, server.connect = address, connect
            self._retire(server)
        server.open = True

    def unlist_server(self, server_id: str) -> None:
        """A server drains or is gone: it finishes what it has, and nothing waits for it any longer."""
        server = self._servers.get(server_id)
        if server is not None:
            server.open = False
            self._retire(server)
            self._forget(server)

    def listed(self) -> Iterator[str]:
        """The servers that may be sent to."""
        return (server.id for server in self._servers.values() if server.open)

    def addresses(self) -> dict[str, Address]:
        """Where the servers are that may be sent to."""
        return {server.id: server.address for server in self._servers.values() if server.open}

    @property
    def busy(self) -> int:
        """Connections under way, or with an exchange on them."""
        return self._held - sum(len(server.idle) for server in self._servers.values())

    @property
    def limit(self) -> int:
        """Most connections at a time."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit
        while self._held > limit and self._evict():
            pass
        for server in self._servers.values():
            self._dial_for(server)

    def submit(self, server_id: str, exchange: Exchange) -> None:
        """Send on an idle connection, or wait for one."""
        server = self._servers.get(server_id)
        if server is None or not server.open or self._closed:
            exchange.end(Outcome.CONNECT_FAILED)
            return
        if not exchange.may_begin():
            exchange.end(Outcome.SUPERSEDED)
            return
        connection = self._rested(server)
        if connection is not None:
            connection.start(exchange)
            return
        server.waiting.append(exchange)
        exchange.mark_unsent()
        self._dial_for(server)

    def _rested(self, server: Server) -> Connection | None:
        """Take the connection used last of those that may be used again."""
        now = self.loop.time()
        oldest, rested = now - self._idle_limit, now - REST_S
        at = len(server.idle)
        while at:
            at -= 1
            connection = server.idle[at]
            if connection.idle_since > rested:
                continue
            del server.idle[at]
            if connection.usable and connection.idle_since >= oldest and connection.quiet:
                return connection
            connection.close()
        return None

    def _next_waiting(self, server: Server) -> Exchange | None:
        while server.waiting:
            exchange = server.waiting.popleft()
            if exchange.is_over:
                continue
            if exchange.may_begin():
                return exchange
            # Danger: written all the same, it would be sent for a request that has its final answer, or whose
            # client has gone.
            exchange.end(Outcome.SUPERSEDED)
        return None

    def opened(self, connection: Connection) -> None:
        """Give a new connection to who waits for one."""
        server = connection.server
        exchange = self._next_waiting(server) if connection.usable else None
        if exchange is not None:
            connection.start(exchange)
        else:
            self.released(connection)

    def released(self, connection: Connection) -> None:
        """Keep a free connection, for a rest at first."""
        server = connection.server
        if not connection.usable:
            connection.close()
            return
        connection.idle_since = self.loop.time()
        server.idle.append(connection)
        if server.waiting:
            self._wake_for(server)

    def _wake_for(self, server: Server) -> None:
        """Come back when the connection that has rested longest may be used."""
        if server.wake is None and server.idle:
            left = server.idle[0].idle_since + REST_S - self.loop.time()
            server.wake = self.loop.call_later(max(left, 0.0) + WAKE_SLACK_S, self._wake, server)

    def _wake(self, server: Server) -> None:
        server.wake = None
        while (exchange := self._next_waiting(server)) is not None:
            connection = self._rested(server)
            if connection is None:
                server.waiting.appendleft(exchange)
                break
            connection.start(exchange)
        self._dial_for(server)

    def lost(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        server = connection.server
        if connection not in server.connections:
            return
        del server.connections[connection]
        self._held -= 1
        if connection in server.idle:
            server.idle.remove(connection)
        self._dial_for(server)
        self._forget(server)

    def no_room(self, connection: Connection) -> bool:
        """Its server takes no more connections; whether others of this router must do for a while.

        That bounds the dials of a fleet of routers at a full server: each of them has what it has.
        """
        server = connection.server
        others = sum(held is not connection and held.usable for held in server.connections)
        if others:
            server.most, server.most_until = others, self.loop.time() + NO_ROOM_S
        return others > 0

    def close(self) -> None:
        """Break all connections; nothing is sent from here on, whatever the ends of attempts lead to."""
        self._closed = True
        self._sweep_timer.cancel()
        for server in list(self._servers.values()):
            if server.wake is not None:
                server.wake.cancel()
            self._call_off(server)
            for connection in list(server.connections):
                connection.close()

    def _dial_for(self, server: Server) -> None:
        while server.waiting and server.waiting[0].is_over:
            server.waiting.popleft()
        if self._closed or not server.waiting:
            return
        self._wake_for(server)
        most = server.most if self.loop.time() < server.most_until else PER_SERVER
        # Those that rest will do: a new one costs its server work, and takes as long.
        while len(server.waiting) > len(server.dials) + len(server.idle) and server.held < most:
            if self._held >= self._limit and not self._evict():
                return
            self._held += 1
            dial = self.loop.create_task(self._dial(server))
            server.dials[dial] = None

    def _evict(self) -> bool:
        idle = [server.idle[0] for server in self._servers.values() if server.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        server = oldest.server
        server.idle.remove(oldest)
        del server.connections[oldest]
        self._held -= 1
        oldest.close()
        return True

    async def _dial(self, server: Server) -> None:
        connection: Connection | None = None
        address = server.address
        attempt = self.loop.create_connection(lambda: server.connect(server), *address)
        connecting = self.loop.create_task(attempt)
        task = asyncio.current_task()
        assert task is not None
        began, lone = self.loop.time(), False
        try:
            due = began + self._dial_timeout
            await asyncio.wait((connecting,), timeout=self._dial_timeout)
            if not connecting.done() and self.loop.time() - due > LATE_NOTICE_S:
                await asyncio.wait((connecting,), timeout=LATE_NOTICE_S)
            if connecting.done():
                _, connection = connecting.result()
            else:
                lone = server.ran_out(began, self.loop.time())
        except (OSError, ValueError):
            pass  # a listed name that can't be one of a host raises UnicodeError: nobody is there either
        finally:
            if connection is None:
                # Guards the descriptors: a dial that is called off may have come up in this very turn.
                connecting.add_done_callback(_hang_up)
                connecting.cancel()
            if task in server.dials:
                del server.dials[task]
                self._held -= connection is None
        if connection is None or not connection.usable:
            if connection is not None:
                self._held -= 1
            self._dial_failed(server, lone)
            return
        server.silent_since = None
        server.connections[connection] = None
        connection.retired = not server.open or server.address != address
        self.opened(connection)

    def _dial_failed(self, server: Server, lone: bool) -> None:
        while server.waiting:
            exchange = server.waiting.popleft()
            if not exchange.is_over:
                # Guards against a dead server that looks like a slow one: without its end the attempt
                # lasts until its time is up, and nobody tries another server.
                exchange.connection_failed = lone
                exchange.end(Outcome.CONNECT_FAILED)
                break
        self._dial_for(server)
        self._forget(server)

    def _call_off(self, server: Server) -> None:
        """End the dials under way; counted here, as one that has not begun yet never runs at all."""
        for dial in server.dials:
            dial.cancel()
        self._held -= len(server.dials)
        server.dials.clear()

    def _retire(self, server: Server) -> None:
        for connection in server.connections:
            connection.retired = True
        idle, server.idle = server.idle, []
        for connection in idle:
            connection.close()
        # Danger: the failure of a dial to where it was would be held against where it is now.
        self._call_off(server)
        waiting, server.waiting = server.waiting, deque()
        for exchange in waiting:
            exchange.end(Outcome.CONNECT_FAILED)

    def _forget(self, server: Server) -> None:
        if not server.open and not server.held:
            self._servers.pop(server.id, None)
            if server.wake is not None:
                server.wake.cancel()

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)
        oldest = self.loop.time() - self._idle_limit
        for server in self._servers.values():
            while server.idle and server.idle[0].idle_since < oldest:
                server.idle.pop(0).close()
            self._dial_for(server)


def _hang_up(connecting: asyncio.Task[tuple[asyncio.Transport, Connection]]) -> None:
    """Close what a dial has brought that nobody waits for any longer."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[1].close()
