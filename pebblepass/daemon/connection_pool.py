"""The pool of connections to servers: assigns exchanges to connections, dials, and limits connections."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator

from pebblepass.daemon.answer_reads import AnswerReads
from pebblepass.daemon.answer_times import AnswerTimes
from pebblepass.daemon.dial import dial
from pebblepass.daemon.exchange import Exchange
from pebblepass.daemon.memory_account import MIN_ACCOUNT_BYTES, MemoryAccount
from pebblepass.daemon.server_connection import MAX_CONNECTIONS_PER_SERVER, Connection, Server
from pebblepass.daemon.socket_polling import socket_poller
from pebblepass.decisions import Outcome
from pebblepass.wire.address import Address

IDLE_CLOSE_FRACTION = 0.9
"""Fraction of the servers' idle timeout after which this router closes an idle connection."""
SWEEP_INTERVAL_S = 0.5
FULL_SERVER_BACKOFF_S = 2.0
"""Time without further dials to a server that has rejected a connection."""
REUSE_DELAY_S = 0.01
"""Time from an answer to the next request on a connection, with a server whose answers take no time.

A second answer may come milliseconds later, see `answer_times`.
"""
START_TOLERANCE_NS = 5_000_000  # by which the same start may differ between two lists, as it is rounded
TIMER_ROUNDING_S = 0.001  # event loops round to the nearest millisecond


class Pool:
    """Assigns exchanges to connections, within the limit on connections to servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        dial_timeout: float,
        idle_close: float,
        reports: bool = True,
        memory: MemoryAccount | None = None,
    ) -> None:
        """`limit`: maximum number of connections; `dial_timeout` and `idle_close` are in seconds.

        `reports`: servers send load reports, so that a rejection without one has another reason than load;
        `memory`: the account of this process; None: one of MIN_ACCOUNT_BYTES.
        """
        self.reports = reports
        self.poller = socket_poller(loop)
        self.memory = memory or MemoryAccount(MIN_ACCOUNT_BYTES)
        self.answer_reads = AnswerReads(self.memory)
        self.loop = loop
        self._limit, self._dial_timeout = limit, dial_timeout
        self._idle_limit = idle_close * IDLE_CLOSE_FRACTION
        self._servers: dict[str, Server] = {}
        self._newest_at: dict[Address, Server] = {}  # the listed server that started last
        self._connection_count = 0
        self._closed = False
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def list_server(
        self, server_id: str, address: Address, connect: Callable[[Server], Connection], started: int = 0
    ) -> str | None:
        """Add a server, or change its address; `connect` makes the protocol of a connection to it.

        `started`: when its process started, in nanoseconds of any one clock. Connections to the process
        before are not used again, although its successor may listen at the same address. Returns the id of
        the server that has gone, if two servers are listed at the address: this one or the other.
        """
        server = self._servers.get(server_id)
        if server is None:
            server = self._servers[server_id] = Server(self, server_id, address, connect, started)
            return self._find_superseded(server)
        has_restarted = started - server.started > START_TOLERANCE_NS
        if server.address != address or server.connect is not connect or has_restarted:
            # Set before `_retire` ends exchanges, as the handler of an outcome may submit another exchange.
            server.address, server.connect, server.started = address, connect, started
            server.answer_times = AnswerTimes()
            self._retire(server)
        server.is_listed = True
        return self._find_superseded(server)

    def _find_superseded(self, server: Server) -> str | None:
        """Return the server that started earlier, if another one is listed at the same address."""
        newest = self._newest_at.get(server.address, server)
        is_other = newest is not server and newest.is_listed and newest.address == server.address
        if is_other and server.started < newest.started:
            return server.id
        self._newest_at[server.address] = server
        return newest.id if is_other and server.started > newest.started else None

    def unlist_server(self, server_id: str) -> None:
        """Remove a server that drains or is removed: exchanges in flight finish, and waiting ones end now."""
        server = self._servers.get(server_id)
        if server is not None:
            server.is_listed = False
            self._retire(server)
            self._forget_if_unused(server)

    def listed(self) -> Iterator[str]:
        """Return the ids of the servers on the list."""
        return (server.id for server in self._servers.values() if server.is_listed)

    def addresses(self) -> dict[str, Address]:
        """Return the addresses of the servers on the list, by id."""
        return {server.id: server.address for server in self._servers.values() if server.is_listed}

    @property
    def busy(self) -> int:
        """Number of dials in progress and of connections that are not idle."""
        return self._connection_count - sum(len(server.idle) for server in self._servers.values())

    @property
    def exchange_count(self) -> int:
        """Number of exchanges that have a connection or wait for one."""
        return sum(server.exchange_count for server in self._servers.values())

    @property
    def needed_connections(self) -> int:
        """Number of connections that the exchanges can use at once, at least those in use and dialled.

        A connection that rests before its reuse is needed if an exchange waits for it.
        """
        return sum(server.needed_connections for server in self._servers.values())

    @property
    def limit(self) -> int:
        """Maximum number of connections."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit
        while self._connection_count > limit and self._evict():
            pass
        for server in self._servers.values():
            self._dial_for(server)

    def submit(self, server_id: str, exchange: Exchange) -> None:
        """Send the exchange on an idle connection, or queue it for the next connection."""
        server = self._servers.get(server_id)
        if server is None or not server.is_listed or self._closed:
            exchange.end(Outcome.CONNECT_FAILED)
            return
        if not exchange.may_begin():
            exchange.end(Outcome.SUPERSEDED)
            return
        connection = self._take_idle(server)
        if connection is not None:
            connection.start(exchange)
            return
        server.waiting.append(exchange)
        exchange.mark_unsent()
        self._dial_for(server)

    def reuse_delay(self, server: Server) -> float:
        """Return the seconds from an answer of this server to the next request on its connection."""
        return REUSE_DELAY_S + server.answer_times.jitter_s

    def _take_idle(self, server: Server) -> Connection | None:
        """Remove and return the reusable idle connection that was used last, if there is one."""
        now = self.loop.time()
        earliest, latest = now - self._idle_limit, now - self.reuse_delay(server)
        index = len(server.idle)
        while index:
            index -= 1
            connection = server.idle[index]
            if connection.idle_since > latest:
                continue
            del server.idle[index]
            if connection.usable and connection.idle_since >= earliest and connection.has_nothing_unread:
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
            # Warning: the request has its final reply, or its client has disconnected, so the exchange must
            # not be sent.
            exchange.end(Outcome.SUPERSEDED)
        return None

    def opened(self, connection: Connection) -> None:
        """Start the next waiting exchange on a new connection, or keep the connection idle."""
        server = connection.server
        exchange = self._next_waiting(server) if connection.usable else None
        if exchange is not None:
            connection.start(exchange)
        else:
            self.released(connection)

    def released(self, connection: Connection) -> None:
        """Keep a connection whose exchange has ended, for reuse after the reuse delay."""
        server = connection.server
        if not connection.usable:
            connection.close()
            return
        connection.idle_since = self.loop.time()
        server.idle.append(connection)
        if server.waiting:
            self._schedule_wake(server)

    def _schedule_wake(self, server: Server) -> None:
        """Set the timer for when the oldest idle connection may be reused."""
        if server.wake_timer is None and server.idle:
            delay_s = server.idle[0].idle_since + self.reuse_delay(server) - self.loop.time()
            server.wake_timer = self.loop.call_later(max(delay_s, 0.0) + TIMER_ROUNDING_S, self._wake, server)

    def _wake(self, server: Server) -> None:
        server.wake_timer = None
        while (exchange := self._next_waiting(server)) is not None:
            connection = self._take_idle(server)
            if connection is None:
                server.waiting.appendleft(exchange)
                break
            connection.start(exchange)
        self._dial_for(server)

    def lost(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        server = connection.server
        if connection not in server.connections:
            return
        del server.connections[connection]
        self._connection_count -= 1
        if connection in server.idle:
            server.idle.remove(connection)
        self._dial_for(server)
        self._forget_if_unused(server)

    def limit_connections(self, connection: Connection) -> bool:
        """Limit the connections to a server that has rejected this one to the others that are open.

        Returns whether there are others. This bounds the dials of many routers to a server that is full.
        """
        server = connection.server
        others = sum(other is not connection and other.usable for other in server.connections)
        if others:
            server.connection_limit = others
            server.connection_limit_until = self.loop.time() + FULL_SERVER_BACKOFF_S
        return others > 0

    def close(self) -> None:
        """Abort all connections; exchanges submitted later end at once."""
        self._closed = True
        self._sweep_timer.cancel()
        for server in list(self._servers.values()):
            if server.wake_timer is not None:
                server.wake_timer.cancel()
            self._cancel_dials(server)
            for connection in list(server.connections):
                connection.close()

    def _dial_for(self, server: Server) -> None:
        while server.waiting and server.waiting[0].is_over:
            server.waiting.popleft()
        if self._closed or not server.waiting:
            return
        self._schedule_wake(server)
        is_limited = self.loop.time() < server.connection_limit_until
        limit = server.connection_limit if is_limited else MAX_CONNECTIONS_PER_SERVER
        # An exchange waits for an idle connection that may not be reused yet, rather than for a dial, which
        # takes as long and costs the server work.
        while len(server.waiting) > len(server.dials) + len(server.idle) and server.connection_count < limit:
            if self._connection_count >= self._limit and not self._evict():
                return
            self._connection_count += 1
            task = self.loop.create_task(self._dial(server))
            server.dials[task] = None

    def _evict(self) -> bool:
        idle = [server.idle[0] for server in self._servers.values() if server.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        server = oldest.server
        server.idle.remove(oldest)
        del server.connections[oldest]
        self._connection_count -= 1
        oldest.close()
        return True

    async def _dial(self, server: Server) -> None:
        connection: Connection | None = None
        address, isolated = server.address, False
        task = asyncio.current_task()
        assert task is not None
        try:
            connection, isolated = await dial(self.loop, server, self._dial_timeout)
        finally:
            if task in server.dials:
                del server.dials[task]
                self._connection_count -= connection is None
        if connection is None or not connection.usable:
            if connection is not None:
                self._connection_count -= 1
            self._dial_failed(server, isolated)
            return
        server.unresponsive_since = None
        server.connections[connection] = None
        connection.retired = not server.is_listed or server.address != address
        self.opened(connection)

    def _dial_failed(self, server: Server, isolated: bool) -> None:
        while server.waiting:
            exchange = server.waiting.popleft()
            if not exchange.is_over:
                # One waiting attempt fails with each dial. Otherwise a dead server would look like a slow
                # one, and its attempts would last until their timeout before another server is tried.
                exchange.connection_failed = isolated
                exchange.end(Outcome.CONNECT_FAILED)
                break
        self._dial_for(server)
        self._forget_if_unused(server)

    def _cancel_dials(self, server: Server) -> None:
        """Cancel and uncount the dials in progress: the task of a dial that has not begun never runs."""
        for task in server.dials:
            task.cancel()
        self._connection_count -= len(server.dials)
        server.dials.clear()

    def _retire(self, server: Server) -> None:
        for connection in server.connections:
            connection.retired = True
        idle, server.idle = server.idle, []
        for connection in idle:
            connection.close()
        # Warning: the failure of a dial to the old address would count against the server at the new one.
        self._cancel_dials(server)
        waiting, server.waiting = server.waiting, deque()
        for exchange in waiting:
            exchange.end(Outcome.CONNECT_FAILED)

    def _forget_if_unused(self, server: Server) -> None:
        if not server.is_listed and not server.connection_count:
            self._servers.pop(server.id, None)
            if self._newest_at.get(server.address) is server:
                del self._newest_at[server.address]
            if server.wake_timer is not None:
                server.wake_timer.cancel()

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        oldest = self.loop.time() - self._idle_limit
        for server in self._servers.values():
            while server.idle and server.idle[0].idle_since < oldest:
                server.idle.pop(0).close()
            self._dial_for(server)
