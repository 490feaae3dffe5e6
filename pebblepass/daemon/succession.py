"""What a router does in an upgrade: exchanges its state and its clients' connections with another process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine

from msgspec import Struct

from pebblepass.daemon.client_server import ClientServer
from pebblepass.daemon.connection_handover import ConnectionHandover
from pebblepass.daemon.connection_pool import Pool
from pebblepass.daemon.router import RouterHost
from pebblepass.decisions import ListKind, StateImported
from pebblepass.discovery.registry import Clock, Discovery, read_listing, write_listing
from pebblepass.handover.knowledge import aged
from pebblepass.handover.messages import (
    MAX_CONNECTIONS_PER_MESSAGE,
    Account,
    ConnectionState,
    HandoverError,
    read_account,
    write_account,
)
from pebblepass.handover.parts import Handover
from pebblepass.handover.states import Shares

MIN_SERVER_CONNECTIONS = 2  # that the old process may still open, for the requests that it has accepted


class Routed(Struct, frozen=True):
    """The parts of a router that take part in an upgrade."""

    loop: asyncio.AbstractEventLoop
    host: RouterHost
    clients: ClientServer
    pool: Pool
    discovery: Discovery
    clock: Clock
    budget: int
    """Bytes for clients' long commands in a process that runs alone."""


class Succession:
    """Carries out on a router what the handover decides."""

    def __init__(self, routed: Routed, listener: socket.socket, folder: str, own: int) -> None:
        """`listener`: the clients' socket that the platform holds; `own`: a process's further descriptors,
        including those for rejected client connections.
        """
        self._routed, self._listener = routed, listener
        self.told = False
        """Whether another process has sent its state."""
        shares = Shares(routed.clients.limit, routed.pool.limit, own)
        self._handover = Handover(routed.loop, folder, self, shares)
        self._leaving: list[ConnectionHandover] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Find out whether there is another process, and import its state."""
        await self._handover.begin()

    def ready(self) -> None:
        """Report to the handover that the servers are known."""
        self._handover.ready()

    def leave(self) -> bool:
        """Handle SIGTERM; returns whether another process takes the connections over."""
        self._handover.terminate()
        return self._handover.can_give

    def close(self) -> None:
        """Stop taking part in the handover, and close the listener."""
        self._handover.close()
        self._listener.close()

    # Called by the handover

    def account(self) -> bytes:
        """Encode the endpoint list and the learned state of the decision module."""
        routed, host = self._routed, self._routed.host
        servers = host.ready_servers()
        listing = write_listing(routed.discovery.generation, servers, routed.pool.addresses(), routed.clock)
        account = Account(listing, host.export_state(), host.now())
        return write_account(account, routed.clock.unix_ms)

    def learn(self, account: bytes) -> None:
        """Import the endpoint list, until discovery sends one, and the fresh part of the state.

        Raises HandoverError.
        """
        routed, now = self._routed, self._routed.host.now()
        told = read_account(account, now, routed.clock.monotonic)
        try:
            listing = read_listing(told.listing, routed.clock, ListKind.CACHED)
        except ValueError as error:
            raise HandoverError(str(error)) from None
        routed.discovery.generation = listing.generation
        routed.host.servers_changed(listing)
        routed.host.handle_event(StateImported(aged(told.knowledge, told.told_at, now)))
        self.told = True

    def begin_serving(self) -> None:
        """Accept clients."""
        # A duplicate: stop_accepting closes it, and this process may have to accept again.
        self._run(self._routed.clients.listen(self._listener.dup()))

    def stop_accepting(self) -> None:
        """Stop accepting clients."""
        self._routed.clients.stop_accepting()

    def hand_on(self) -> None:
        """Hand every client's connection over, now or once it is idle."""
        self._routed.clients.hand_over(self._give)

    def close_idle(self) -> None:
        """Close idle connections: no process takes them over."""
        self._routed.clients.finish(even_midway=False)

    def held(self) -> tuple[int, int]:
        """Return the number of client connections, and the maximum of connections to servers from now on."""
        pool = self._routed.pool
        if self._routed.clients.on_handover is not None:
            self._routed.clients.hand_over(self._give)  # some had unsent bytes before
        pool.limit = max(pool.busy, MIN_SERVER_CONNECTIONS)
        return self._routed.clients.connected, pool.limit

    def room(self, clients: int, servers: int, alone: bool) -> None:
        """Set the connection limits; of two processes each has half of the memory for long commands."""
        routed = self._routed
        if alone:
            routed.clients.on_handover = None
        routed.clients.limit, routed.pool.limit = clients, servers
        routed.clients.budget.resize(routed.budget if alone else routed.budget // 2)

    def take(self, sock: socket.socket, handed: ConnectionState) -> None:
        """Serve a client's connection that another process has handed over."""
        sock.setblocking(False)
        self._routed.clients.limit += 1  # the old process has lowered its own limit by one
        self._run(self._routed.clients.adopt(sock, handed))

    def _run(self, work: Coroutine[None, None, None]) -> None:
        task = self._routed.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _give(self, handover: ConnectionHandover) -> None:
        if not self._leaving:
            self._routed.loop.call_soon(self._send)
        self._leaving.append(handover)

    def _send(self) -> None:
        """Send many connections in one message: each message delays replies in both processes."""
        leaving, self._leaving = self._leaving, []
        for at in range(0, len(leaving), MAX_CONNECTIONS_PER_MESSAGE):
            batch = leaving[at : at + MAX_CONNECTIONS_PER_MESSAGE]
            self._send_some([handover for handover in batch if not handover.connection.closed])

    def _send_some(self, handovers: list[ConnectionHandover]) -> None:
        descriptors = [handover.connection.descriptor for handover in handovers]

        def done(sent: bool) -> None:
            for handover in handovers:
                if sent:
                    handover.complete()
                else:
                    handover.cancel()

        if handovers:
            self._handover.give(descriptors, [handover.state() for handover in handovers], done)
