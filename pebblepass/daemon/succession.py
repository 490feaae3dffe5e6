"""A router's part in an upgrade: what it tells, hands on and takes over, on its listener, pool and list."""

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

KEPT_FOR_SERVERS = 2  # connections that the old process may still open, for what it has taken


class Routed(Struct, frozen=True):
    """The parts of a router that an upgrade concerns."""

    loop: asyncio.AbstractEventLoop
    host: RouterHost
    clients: ClientServer
    pool: Pool
    discovery: Discovery
    clock: Clock
    budget: int
    """Bytes for clients' long commands, of a router that is alone."""


class Succession:
    """What the handover asks of a router."""

    def __init__(self, routed: Routed, listener: socket.socket, folder: str, own: int) -> None:
        """`listener`: the clients' socket that the platform holds; `own`: a process's further descriptors,
        those for clients that are only refused among them.
        """
        self._routed, self._listener = routed, listener
        self.told = False
        """Whether another process has told what it knows."""
        shares = Shares(routed.clients.limit, routed.pool.limit, own)
        self._handover = Handover(routed.loop, folder, self, shares)
        self._leaving: list[ConnectionHandover] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Find out whether there is another process, and learn from it."""
        await self._handover.begin()

    def ready(self) -> None:
        """The servers are known."""
        self._handover.ready()

    def leave(self) -> bool:
        """SIGTERM has come; returns whether another process takes the connections."""
        self._handover.terminate()
        return self._handover.can_give

    def close(self) -> None:
        """End."""
        self._handover.close()
        self._listener.close()

    # What the handover asks

    def account(self) -> bytes:
        """The list, and what the module has learned."""
        routed, host = self._routed, self._routed.host
        servers = host.ready_servers()
        listing = write_listing(routed.discovery.generation, servers, routed.pool.addresses(), routed.clock)
        account = Account(listing, host.export_state(), host.now())
        return write_account(account, routed.clock.unix_ms)

    def learn(self, account: bytes) -> None:
        """Take the list over until discovery speaks, and what is fresh of the rest."""
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
        # A copy: to stop accepting closes it, and this process may have to accept again.
        self._run(self._routed.clients.listen(self._listener.dup()))

    def stop_accepting(self) -> None:
        """Accept nobody any longer."""
        self._routed.clients.stop_accepting()

    def hand_on(self) -> None:
        """Give away what has nothing open, and keep few connections to servers."""
        self._routed.clients.hand_over(self._give)

    def close_idle(self) -> None:
        """Nobody takes them over."""
        self._routed.clients.finish(even_midway=False)

    def held(self) -> tuple[int, int]:
        """Connections of clients, and as many to servers as there may be still."""
        pool = self._routed.pool
        if self._routed.clients.on_handover is not None:
            self._routed.clients.hand_over(self._give)  # some had bytes to write when they were asked
        pool.limit = max(pool.busy, KEPT_FOR_SERVERS)
        return self._routed.clients.connected, pool.limit

    def room(self, clients: int, servers: int, alone: bool) -> None:
        """Hold so many; two processes have half of the memory for long commands each."""
        routed = self._routed
        if alone:
            routed.clients.on_handover = None
        routed.clients.limit, routed.pool.limit = clients, servers
        routed.clients.budget.resize(routed.budget if alone else routed.budget // 2)

    def take(self, sock: socket.socket, handed: ConnectionState) -> None:
        """Go on with a client's connection."""
        sock.setblocking(False)
        self._routed.clients.limit += 1  # it brings its place along: the old process has one less
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
        """Several in one message: each message holds up this process's answers, and the other's."""
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
