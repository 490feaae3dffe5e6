"""The pool of connections to servers: gives exchanges to connections, dials, and limits their number."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator

from pebblepass.daemon.dial import dial
from pebblepass.daemon.exchange import Exchange
from pebblepass.daemon.gathered import GatherBudget
from pebblepass.daemon.server_connection import PER_SERVER, Connection, Server
from pebblepass.daemon.unread import socket_poller
from pebblepass.decisions import Outcome
from pebblepass.wire.address import Address
from pebblepass.wire.resp import MAX_ANSWER

IDLE_SHARE = 0.9  # of the time after which servers close idle connections; news of it may be under way
SWEEP_S = 0.5
NO_ROOM_S = 2.0  # after a server has turned a further connection away: others' idle ones close in seconds
# Between an answer and the next request: a second answer may come some milliseconds late. Seen: 0.3 to 3.8.
REST_S = 0.01
WAKE_SLACK_S = 0.001  # loops count in whole milliseconds and round to the nearest


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
        self._held -= 1
        oldest.close()
        return True

    async def _dial(self, server: Server) -> None:
        connection: Connection | None = None
        address, lone = server.address, False
        task = asyncio.current_task()
        assert task is not None
        try:
            connection, lone = await dial(self.loop, server, self._dial_timeout)
        finally:
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
        for task in server.dials:
            task.cancel()
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
