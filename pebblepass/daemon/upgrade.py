"""The upgrade of a router: hands its state and its clients' connections over to another process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine

from msgspec import Struct

from pebblepass.daemon.client_server import ClientServer
from pebblepass.daemon.connection_handover import ConnectionHandover
from pebblepass.daemon.connection_pool import Pool
from pebblepass.daemon.memory_account import MemoryAccount
from pebblepass.daemon.router import RouterHost
from pebblepass.decisions import ListKind, StateImported
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, encode_endpoint_list, parse_endpoint_list
from pebblepass.handover.descriptor_split import (
    ConnectionLimits,
    DescriptorSplit,
    predecessor_server_limit,
)
from pebblepass.handover.errors import HandoverError
from pebblepass.handover.handover import Handover
from pebblepass.handover.messages import MAX_CONNECTIONS_PER_MESSAGE, ConnectionCounts, ConnectionState
from pebblepass.handover.router_snapshot import RouterSnapshot, decode_snapshot, encode_snapshot
from pebblepass.handover.state_aging import age_state


class RouterParts(Struct, frozen=True):
    """The parts of a router that take part in an upgrade."""

    loop: asyncio.AbstractEventLoop
    host: RouterHost
    clients: ClientServer
    pool: Pool
    discovery: DiscoveryClient
    clock: ClockOffset
    memory: MemoryAccount
    account_bytes: Callable[[int], int]
    """Returns the bytes of the memory account of one of so many processes."""


class RouterUpgrade:
    """Carries out the decisions of the handover on a router."""

    def __init__(self, parts: RouterParts, listener: socket.socket, folder: str, reserved: int) -> None:
        """`listener`: the clients' listening socket, which the platform holds.

        `reserved`: the descriptors of a process that neither served clients nor servers use.
        """
        self._parts, self._listener = parts, listener
        self.has_imported_state = False
        """Whether another process has sent its state."""
        split = DescriptorSplit(parts.clients.limit, parts.pool.limit, reserved)
        self._handover = Handover(parts.loop, folder, self, split)
        self._outgoing: list[ConnectionHandover] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Look for another process, and import its state if there is one."""
        await self._handover.start()

    def ready(self) -> None:
        """Report to the handover that this process has an endpoint list."""
        self._handover.servers_known()

    def terminate(self) -> bool:
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
        parts, host = self._parts, self._parts.host
        servers = host.ready_servers()
        listing = encode_endpoint_list(
            parts.discovery.generation, servers, parts.pool.addresses(), parts.clock
        )
        snapshot = RouterSnapshot(listing, host.export_state(), host.now())
        return encode_snapshot(snapshot, parts.clock.unix_ms)

    def import_snapshot(self, data: bytes) -> None:
        """Import the endpoint list, for use until discovery sends one, and the state that is not too old.

        Raises HandoverError.
        """
        parts, now = self._parts, self._parts.host.now()
        snapshot = decode_snapshot(data, now, parts.clock.monotonic)
        try:
            listing = parse_endpoint_list(snapshot.endpoint_list, parts.clock, ListKind.CACHED)
        except ValueError as error:
            raise HandoverError(str(error)) from None
        parts.discovery.generation = listing.generation
        parts.host.servers_changed(listing)
        parts.host.handle_event(StateImported(age_state(snapshot.state, snapshot.exported_at, now)))
        self.has_imported_state = True

    def begin_serving(self) -> None:
        """Accept clients."""
        # A duplicate, as stop_accepting closes it, and this process may have to accept again.
        self._run(self._parts.clients.listen(self._listener.dup()))

    def stop_accepting(self) -> None:
        """Stop accepting clients."""
        self._parts.clients.stop_accepting()

    def hand_over_connections(self) -> None:
        """Hand every client's connection over, now or once it is idle."""
        self._parts.clients.hand_over(self._queue_handover)

    def close_idle_connections(self) -> None:
        """Close idle connections: no process takes them over."""
        self._parts.clients.finish(with_partial_commands=False)

    def connection_counts(self) -> ConnectionCounts:
        """Lower the limit of server connections, offer idle clients again, and return the remaining counts.

        The second number is the new limit of server connections, not how many are open.
        """
        pool = self._parts.pool
        if self._parts.clients.on_handover is not None:
            self._parts.clients.hand_over(
                self._queue_handover
            )  # those with unsent bytes were not handed over before
        # Warning: connections that rest before reuse look idle, although exchanges wait for them. If closed
        # here, requests would be rejected for want of connections.
        pool.limit = predecessor_server_limit(
            pool.limit,
            pool.needed_connections,
            len(self._parts.host.open_requests()),
            pool.exchange_count,
        )
        return ConnectionCounts(self._parts.clients.connected, pool.limit)

    def limit_connections(self, limits: ConnectionLimits, alone: bool) -> None:
        """Set the connection limits; two processes share the memory."""
        parts = self._parts
        if alone:
            parts.clients.on_handover = None
        parts.clients.limit, parts.pool.limit = limits.clients, limits.servers
        parts.memory.resize(parts.account_bytes(1 if alone else 2))

    def announce_writes(self, announce: Callable[[list[str]], None]) -> None:
        """Pass on the ids of the writes that must not be sent again: those known now, then each new one."""
        host = self._parts.host
        announce(host.unrepeatable_writes())
        host.on_unrepeatable_write = lambda request_id: announce([request_id])

    def import_writes(self, request_ids: tuple[str, ...]) -> None:
        """Refuse writes with these ids for a while: the predecessor may have sent them."""
        self._parts.host.import_writes(request_ids)

    def adopt_connection(self, sock: socket.socket, state: ConnectionState) -> None:
        """Serve a client's connection that another process has handed over."""
        sock.setblocking(False)
        self._parts.clients.limit += 1  # the old process has lowered its own limit by one
        self._run(self._parts.clients.adopt(sock, state))

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._parts.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _queue_handover(self, handover: ConnectionHandover) -> None:
        if not self._outgoing:
            self._parts.loop.call_soon(self._send_queued)
        self._outgoing.append(handover)

    def _send_queued(self) -> None:
        """Send many connections in one message: each message delays replies in both processes."""
        outgoing, self._outgoing = self._outgoing, []
        for start in range(0, len(outgoing), MAX_CONNECTIONS_PER_MESSAGE):
            batch = outgoing[start : start + MAX_CONNECTIONS_PER_MESSAGE]
            self._send_batch([handover for handover in batch if not handover.connection.closed])

    def _send_batch(self, handovers: list[ConnectionHandover]) -> None:
        descriptors = [handover.connection.descriptor for handover in handovers]

        def on_sent(sent: bool) -> None:
            for handover in handovers:
                if sent:
                    handover.complete()
                else:
                    handover.cancel()

        if handovers:
            self._handover.send_connections(
                descriptors, [handover.state() for handover in handovers], on_sent
            )
