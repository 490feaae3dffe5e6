"""A router's part in an upgrade: what it tells, hands on and takes over, on its listener, pool and list."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine

from msgspec import Struct

from pebblepass.daemon.client_server import ClientServer
from pebblepass.daemon.connection_handover import ConnectionHandover
from pebblepass.daemon.router import RouterHost
from pebblepass.daemon.upstream import Pool
from pebblepass.decisions import ListKind, StateImported
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, encode_endpoint_list, parse_endpoint_list
from pebblepass.handover.descriptor_split import ConnectionLimits, DescriptorSplit
from pebblepass.handover.errors import HandoverError
from pebblepass.handover.handover import Handover
from pebblepass.handover.messages import MAX_CONNECTIONS_PER_MESSAGE, ConnectionCounts, ConnectionState
from pebblepass.handover.router_snapshot import RouterSnapshot, decode_snapshot, encode_snapshot
from pebblepass.handover.state_aging import age_state

KEPT_FOR_SERVERS = 2  # connections that the old process may still open, for what it has taken


class Routed(Struct, frozen=True):
    """The parts of a router that an upgrade concerns."""

    loop: asyncio.AbstractEventLoop
    host: RouterHost
    clients: ClientServer
    pool: Pool
    discovery: DiscoveryClient
    clock: ClockOffset
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
        split = DescriptorSplit(routed.clients.limit, routed.pool.limit, own)
        self._handover = Handover(routed.loop, folder, self, split)
        self._leaving: list[ConnectionHandover] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Find out whether there is another process, and learn from it."""
        await self._handover.start()

    def ready(self) -> None:
        """The servers are known."""
        self._handover.servers_known()

    def leave(self) -> bool:
        """SIGTERM has come; returns whether another process takes the connections."""
        self._handover.terminate()
        return self._handover.can_send_connections

    def close(self) -> None:
        """End."""
        self._handover.close()
        self._listener.close()

    # What the handover asks

    def export_snapshot(self) -> bytes:
        """The list, and what the module has learned."""
        routed, host = self._routed, self._routed.host
        servers = host.ready_servers()
        listing = encode_endpoint_list(
            routed.discovery.generation, servers, routed.pool.addresses(), routed.clock
        )
        snapshot = RouterSnapshot(listing, host.export_state(), host.now())
        return encode_snapshot(snapshot, routed.clock.unix_ms)

    def import_snapshot(self, data: bytes) -> None:
        """Take the list over until discovery speaks, and what is fresh of the rest."""
        routed, now = self._routed, self._routed.host.now()
        snapshot = decode_snapshot(data, now, routed.clock.monotonic)
        try:
            listing = parse_endpoint_list(snapshot.endpoint_list, routed.clock, ListKind.CACHED)
        except ValueError as error:
            raise HandoverError(str(error)) from None
        routed.discovery.generation = listing.generation
        routed.host.servers_changed(listing)
        routed.host.handle_event(StateImported(age_state(snapshot.state, snapshot.exported_at, now)))
        self.told = True

    def begin_serving(self) -> None:
        """Accept clients."""
        # A copy: to stop accepting closes it, and this process may have to accept again.
        self._run(self._routed.clients.listen(self._listener.dup()))

    def stop_accepting(self) -> None:
        """Accept nobody any longer."""
        self._routed.clients.stop_accepting()

    def hand_over_connections(self) -> None:
        """Give away what has nothing open, and keep few connections to servers."""
        self._routed.clients.hand_over(self._give)

    def close_idle_connections(self) -> None:
        """Nobody takes them over."""
        self._routed.clients.finish(even_midway=False)

    def connection_counts(self) -> ConnectionCounts:
        """Connections of clients, and as many to servers as there may be still."""
        pool = self._routed.pool
        if self._routed.clients.on_handover is not None:
            self._routed.clients.hand_over(self._give)  # some had bytes to write when they were asked
        pool.limit = max(pool.busy, KEPT_FOR_SERVERS)
        return ConnectionCounts(self._routed.clients.connected, pool.limit)

    def limit_connections(self, limits: ConnectionLimits, alone: bool) -> None:
        """Hold so many; two processes have half of the memory for long commands each."""
        routed = self._routed
        if alone:
            routed.clients.on_handover = None
        routed.clients.limit, routed.pool.limit = limits.clients, limits.servers
        routed.clients.budget.resize(routed.budget if alone else routed.budget // 2)

    def adopt_connection(self, sock: socket.socket, state: ConnectionState) -> None:
        """Go on with a client's connection."""
        sock.setblocking(False)
        self._routed.clients.limit += 1  # it brings its place along: the old process has one less
        self._run(self._routed.clients.adopt(sock, state))

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
            self._handover.send_connections(descriptors, [handover.state() for handover in handovers], done)
