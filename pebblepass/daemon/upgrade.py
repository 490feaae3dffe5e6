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
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, encode_endpoint_list, parse_endpoint_list
from pebblepass.handover.descriptor_split import ConnectionLimits, DescriptorSplit
from pebblepass.handover.errors import HandoverError
from pebblepass.handover.handover import Handover
from pebblepass.handover.messages import MAX_CONNECTIONS_PER_MESSAGE, ConnectionCounts, ConnectionState
from pebblepass.handover.router_snapshot import RouterSnapshot, decode_snapshot, encode_snapshot
from pebblepass.handover.state_aging import age_state

MIN_SERVER_CONNECTIONS = 2  # that the old process may still open, for the requests that it has accepted


class Routed(Struct, frozen=True):
    """The parts of a router that take part in an upgrade."""

    loop: asyncio.AbstractEventLoop
    host: RouterHost
    clients: ClientServer
    pool: Pool
    discovery: DiscoveryClient
    clock: ClockOffset
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
        split = DescriptorSplit(routed.clients.limit, routed.pool.limit, own)
        self._handover = Handover(routed.loop, folder, self, split)
        self._leaving: list[ConnectionHandover] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Find out whether there is another process, and import its state."""
        await self._handover.start()

    def ready(self) -> None:
        """Report to the handover that the servers are known."""
        self._handover.servers_known()

    def leave(self) -> bool:
        """Handle SIGTERM; returns whether another process takes the connections over."""
        self._handover.terminate()
        return self._handover.can_send_connections

    def close(self) -> None:
        """Stop taking part in the handover, and close the listener."""
        self._handover.close()
        self._listener.close()

    # Called by the handover

    def export_snapshot(self) -> bytes:
        """Encode the endpoint list and the learned state of the decision module."""
        routed, host = self._routed, self._routed.host
        servers = host.ready_servers()
        listing = encode_endpoint_list(
            routed.discovery.generation, servers, routed.pool.addresses(), routed.clock
        )
        snapshot = RouterSnapshot(listing, host.export_state(), host.now())
        return encode_snapshot(snapshot, routed.clock.unix_ms)

    def import_snapshot(self, data: bytes) -> None:
        """Import the endpoint list, until discovery sends one, and the fresh part of the state.

        Raises HandoverError.
        """
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
        # A duplicate: stop_accepting closes it, and this process may have to accept again.
        self._run(self._routed.clients.listen(self._listener.dup()))

    def stop_accepting(self) -> None:
        """Stop accepting clients."""
        self._routed.clients.stop_accepting()

    def hand_over_connections(self) -> None:
        """Hand every client's connection over, now or once it is idle."""
        self._routed.clients.hand_over(self._give)

    def close_idle_connections(self) -> None:
        """Close idle connections: no process takes them over."""
        self._routed.clients.finish(with_partial_commands=False)

    def connection_counts(self) -> ConnectionCounts:
        """Lower the limit of server connections, offer idle clients once more, and return what remains.

        The second number is the new limit of server connections, not how many are open.
        """
        pool = self._routed.pool
        if self._routed.clients.on_handover is not None:
            self._routed.clients.hand_over(self._give)  # some had unsent bytes before
        pool.limit = max(pool.busy, MIN_SERVER_CONNECTIONS)
        return ConnectionCounts(self._routed.clients.connected, pool.limit)

    def limit_connections(self, limits: ConnectionLimits, alone: bool) -> None:
        """Set the connection limits; of two processes each has half of the memory for long commands."""
        routed = self._routed
        if alone:
            routed.clients.on_handover = None
        routed.clients.limit, routed.pool.limit = limits.clients, limits.servers
        routed.clients.budget.resize(routed.budget if alone else routed.budget // 2)

    def adopt_connection(self, sock: socket.socket, state: ConnectionState) -> None:
        """Serve a client's connection that another process has handed over."""
        sock.setblocking(False)
        self._routed.clients.limit += 1  # the old process has lowered its own limit by one
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
            self._handover.send_connections(descriptors, [handover.state() for handover in handovers], done)
