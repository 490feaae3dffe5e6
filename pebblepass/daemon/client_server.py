"""The RESP2 server for clients: it accepts their connections, and replies in the order of their commands."""

from __future__ import annotations

import asyncio
import functools
import select
import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from pebblepass.connection_limits.descriptors import MAX_REJECTED_CONNECTIONS, PENDING_ACCEPTS
from pebblepass.connection_limits.eviction import choose_eviction
from pebblepass.daemon.client_connection import ClientConnection
from pebblepass.daemon.client_timeouts import enforce_timeouts
from pebblepass.daemon.close_reasons import CloseCounts, CloseReason
from pebblepass.daemon.command_turns import CommandTurns
from pebblepass.daemon.memory_account import MIN_ACCOUNT_BYTES, MemoryAccount
from pebblepass.daemon.memory_monitor import ClientFigures
from pebblepass.daemon.partial_commands import PartialCommands
from pebblepass.daemon.request_hosts import Host, MultiKeyHost, PollTimes
from pebblepass.daemon.socket_polling import accept_pending, socket_poller
from pebblepass.daemon.unread_age import BacklogAge
from pebblepass.wire.address import Address

if TYPE_CHECKING:
    from pebblepass.daemon.connection_handover import ConnectionHandover
    from pebblepass.handover.messages import ConnectionState

BACKLOG = 1024
SWEEP_INTERVAL_S = 0.5
PAUSED_POLL_INTERVAL_S = 0.1  # at which connections that are not read are polled for disconnects
MAX_ACCEPTS_PER_TURN = 16
"""Connections that are accepted from the backlog in one iteration of the loop, which itself accepts one."""
MAX_EVICTION_CHECKS = 4  # connections considered for eviction before a new one is rejected


class ClientServer:
    """The listener and all clients' connections, within the limit on descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        limit: int,
        memory: MemoryAccount | None = None,
        rejected: int = MAX_REJECTED_CONNECTIONS,
    ) -> None:
        """`limit`: connections that are served; `rejected`: further ones, whose commands are rejected.

        `memory`: the account of this process; None: one of MIN_ACCOUNT_BYTES.
        """
        self.loop, self.host, self._limit, self._rejected_limit = loop, host, limit, rejected
        poller = socket_poller(loop)
        self.poll_socket: Callable[[int, int], int] = poller.poll
        self.read_socket: Callable[[int, int], bytes | None] = poller.read
        self.lag: PollTimes = host.lag
        self.shutting_down = False
        """Whether commands are rejected, as the router exits before it could reply to them."""
        self._paused_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.multi_gets: MultiKeyHost | None = None
        self.closes = CloseCounts()
        self.session_count = 0
        """Number of connections so far that have sent a session command."""
        self.memory = memory or MemoryAccount(MIN_ACCOUNT_BYTES)
        self.partial_commands = PartialCommands()
        self.turns = CommandTurns(self.memory, loop.call_soon, self._update_reading)
        self._connections: dict[ClientConnection, None] = {}
        self._listener: asyncio.Server | None = None
        self._listener_descriptor = -1
        self._backlog_age = BacklogAge()
        self._is_accepting_more = False
        self.on_handover: Callable[[ConnectionHandover], None] | None = None
        """Called with each idle connection as long as there is another process to hand it over to."""
        self.on_sweep: Callable[[float], None] = lambda now: None
        """Called with the loop time after the timeouts were enforced; set by its owner."""
        self.draining = False
        """Whether connections are no longer accepted."""
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def limit(self) -> int:
        """Maximum number of connections served at a time."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit
        while len(self._connections) > limit and (evicted := self._eviction_candidate(True)) is not None:
            evicted.abort(CloseReason.EVICTED)

    def _eviction_candidate(self, limit_is_lower: bool = False) -> ClientConnection | None:
        """Return the connection to evict for a newcomer or a lower limit; never one with unread bytes."""
        now = self.loop.time()
        for _ in range(MAX_EVICTION_CHECKS):
            candidate = choose_eviction(
                (
                    (connection, connection.activity, now - connection.last_used_at)
                    for connection in self._connections
                ),
                limit_is_lower,
            )
            if candidate is None or not candidate.has_unread():
                return candidate
            candidate.last_used_at = now
        return None

    def schedule_paused_poll(self) -> None:
        """Poll for disconnects as long as there are connections that are not read."""
        if self._paused_timer is None:
            self._paused_timer = self.loop.call_later(PAUSED_POLL_INTERVAL_S, self._poll_paused)

    def _poll_paused(self) -> None:
        self._paused_timer = None
        paused = [connection for connection in self._connections if connection.paused]
        for connection in paused:
            if connection.client_has_disconnected():
                connection.abort(CloseReason.CLIENT_LEFT)
        if paused:
            self.schedule_paused_poll()

    async def adopt(self, sock: socket.socket, handed_over: ConnectionState) -> None:
        """Serve a connection that another process has handed over."""
        await self._adopt(
            sock, functools.partial(ClientConnection, self, handed_over, self.lag.sockets_polled_at)
        )

    async def listen(self, address: Address | socket.socket) -> None:
        """Accept connections at this address, or on a socket that listens already."""
        self.draining = False
        make = self._make_connection
        if isinstance(address, socket.socket):
            self._listener = await self.loop.create_server(make, sock=address, backlog=BACKLOG)
        else:
            self._listener = await self.loop.create_server(make, *address, backlog=BACKLOG)
        self._listener_descriptor = self._listener.sockets[0].fileno()

    def _make_connection(self) -> ClientConnection:
        """Make the protocol of a connection that has just been accepted."""
        pending = self.poll_socket(self._listener_descriptor, select.POLLIN) & select.POLLIN
        now, polled_at = self.loop.time(), self.lag.sockets_polled_at
        empty_at = self._backlog_age.accepted(now, polled_at, more_wait=bool(pending))
        if pending and not self._is_accepting_more:
            self._is_accepting_more = True
            self.loop.call_soon(self._accept_more)
        return ClientConnection(self, empty_at=empty_at)

    def _accept_more(self) -> None:
        """Accept further connections from the backlog, as many as can be served without an eviction."""
        self._is_accepting_more = False
        room = self._limit - PENDING_ACCEPTS - len(self._connections) - len(self._tasks)
        if self._listener is not None and room > 0:
            accept_pending(self.loop, self._listener, self._accept, min(room, MAX_ACCEPTS_PER_TURN))

    def register(self, connection: ClientConnection) -> None:
        """Register a new connection; at the limit, evict another one or reject the new one's commands."""
        if len(self._connections) >= self._limit:
            evicted = self._eviction_candidate()
            if evicted is not None:
                evicted.abort(CloseReason.EVICTED)
            elif len(self._connections) < self._limit + self._rejected_limit:
                connection.is_over_limit = True
            else:
                connection.abort(CloseReason.NO_CAPACITY)
                return
        self._connections[connection] = None

    def _update_reading(self) -> None:
        """Pause or resume reading from clients that wait for replies, as memory is short or enough."""
        for connection in list(self._connections):
            connection.update_reading()

    def unregister(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed or handed over."""
        self._connections.pop(connection, None)

    @property
    def listening(self) -> bool:
        """Whether connections are accepted."""
        return self._listener is not None

    @property
    def connected(self) -> int:
        """Number of connections, including those whose commands are rejected."""
        return len(self._connections)

    @property
    def connections(self) -> Iterable[ClientConnection]:
        """The connections that are neither closed nor handed over."""
        return list(self._connections)

    @property
    def owes_replies(self) -> bool:
        """Whether there are replies that the kernel has not accepted."""
        return any(connection.owes_replies for connection in self._connections)

    def figures(self) -> ClientFigures:
        """Return what the connections wait for."""
        connections = list(self._connections)
        return ClientFigures(
            connected=len(connections),
            partial_commands=sum(bool(connection.reader.needed_bytes) for connection in connections),
            deferred=sum(connection.reader.has_unparsed for connection in connections),
            paused=sum(connection.paused for connection in connections),
            blocked=sum(connection.blocked for connection in connections),
        )

    def accept_pending(self) -> bool:
        """Accept one connection from the backlog of the listener, which is about to close.

        Returns whether there may be more, for a later iteration of the loop.
        """
        # Warning: the kernel has accepted them already, and the requests that they have sent are lost if the
        # listener closes. Accepted all at once, they would use up the descriptors that dials and discovery
        # need.
        if self._listener is None:
            return False
        return accept_pending(self.loop, self._listener, self._accept, 1 - len(self._tasks))

    def _accept(self, sock: socket.socket) -> None:
        connection = self._make_connection()
        task = self.loop.create_task(self._adopt(sock, lambda: connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _adopt(self, sock: socket.socket, make: Callable[[], ClientConnection]) -> None:
        try:
            await self.loop.connect_accepted_socket(make, sock)
        except OSError:
            sock.close()

    def stop_accepting(self) -> None:
        """Close the listener."""
        self.draining = True
        if self._listener is not None:
            self._listener.close()
            self._listener, self._listener_descriptor = None, -1

    def hand_over(self, on_handover: Callable[[ConnectionHandover], None]) -> None:
        """Hand every connection over, now or once it is idle."""
        self.on_handover = on_handover
        for connection in list(self._connections):
            self.begin_handover(connection)

    def begin_handover(self, connection: ClientConnection) -> None:
        """Hand one connection over if that is possible; if not, this is called again after its last reply."""
        if self.on_handover is None:
            return
        # Imported with the first handover: most processes have none.
        from pebblepass.daemon.connection_handover import ConnectionHandover

        handover = ConnectionHandover(connection)
        if handover.begin():
            self.on_handover(handover)

    def finish(self, with_partial_commands: bool) -> None:
        """Close every connection once it has nothing open."""
        self.on_handover = None
        for connection in list(self._connections):
            connection.finish(with_partial_commands)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for connection in list(self._connections):
            enforce_timeouts(connection, now)
        self.on_sweep(now)

    def close(self) -> None:
        """Close the listener, and abort all connections."""
        self._timer.cancel()
        if self._paused_timer is not None:
            self._paused_timer.cancel()
        self.stop_accepting()
        for connection in list(self._connections):
            connection.abort(CloseReason.EXIT)
