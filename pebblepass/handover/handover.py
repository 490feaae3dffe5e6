"""Runs the state machines of an upgrade: turns messages and timers into events, and performs the actions."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from pebblepass.handover.channel import Channel
from pebblepass.handover.descriptor_split import ConnectionLimits, DescriptorSplit
from pebblepass.handover.errors import HandoverError
from pebblepass.handover.host import HandoverHost
from pebblepass.handover.listener import HandoverListener
from pebblepass.handover.messages import (
    ConnectionCounts,
    Connections,
    ConnectionState,
    Hello,
    Message,
    Ready,
    Rejected,
    SentWrites,
    StateChunk,
    split_snapshot,
    split_writes,
)
from pebblepass.handover.router_snapshot import MAX_SNAPSHOT_BYTES
from pebblepass.handover.states import (
    HandoverAction,
    PredecessorEvent,
    PredecessorMachine,
    PredecessorState,
    SuccessorEvent,
    SuccessorMachine,
    SuccessorState,
)

SNAPSHOT_TIMEOUT_S = 0.5  # within which the predecessor has to send its state
START_TIMEOUT_S = 2.0  # for all attempts to get the predecessor's state; the platform waits 6 s for a start
CONNECT_RETRY_S = 0.25
REPORT_INTERVAL_S = 0.02  # between two reports of the predecessor's remaining connections
INITIAL_DIVISOR = 4  # the successor starts with the shared limits divided by this

log = logging.getLogger("pebblepass")


class Handover:
    """The handover in this process, first in the role of successor, later of predecessor."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, folder: str, host: HandoverHost, split: DescriptorSplit
    ) -> None:
        """`folder`: of the socket; `host`: the router in this process; `split`: the router's descriptors."""
        self._loop, self._host, self._split = loop, host, split
        self._listener = HandoverListener(folder)
        self._successor, self._predecessor = SuccessorMachine(), PredecessorMachine()
        self._channel: Channel | None = None
        self._snapshot = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._started: asyncio.Future[None] = loop.create_future()
        self._reported: ConnectionCounts | None = None
        self._successor_accepts_writes = False

    @property
    def can_send_connections(self) -> bool:
        """Whether a successor accepts connections. False while this process is still a successor itself."""
        is_leaving = self._predecessor.state in (
            PredecessorState.HANDING_OVER,
            PredecessorState.SHUTTING_DOWN,
        )
        is_alone = self._successor.state is SuccessorState.ALONE
        return is_leaving and is_alone and self._channel is not None

    async def start(self) -> None:
        """Connect to a predecessor and import its state. Returns once that has succeeded or failed."""
        timeout = self._loop.call_later(START_TIMEOUT_S, self._as_successor, SuccessorEvent.TIMED_OUT)
        self._connect()
        await self._started
        timeout.cancel()

    def servers_known(self) -> None:
        """Begin to serve clients, now that the servers are known."""
        self._as_successor(SuccessorEvent.SERVERS_KNOWN)

    def terminate(self) -> None:
        """Shut down after SIGTERM."""
        self._as_predecessor(PredecessorEvent.TERMINATE)

    def send_connections(
        self, descriptors: list[int], states: list[ConnectionState], on_sent: Callable[[bool], None]
    ) -> None:
        """Hand over client connections; `on_sent` is called with whether they were sent, now or later."""
        if self._channel is None:
            on_sent(False)
        else:
            self._channel.send(Connections(tuple(states)), descriptors, on_sent)

    def close(self) -> None:
        """Close the listener and the channel."""
        if self._timer is not None:
            self._timer.cancel()
        self._listener.close(self._loop)
        self._close_channel()

    def _close_channel(self) -> None:
        channel, self._channel = self._channel, None
        if channel is not None:
            channel.close()

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, callback)

    # As the successor

    def _connect(self) -> None:
        sock = self._listener.connect()
        if sock is None:
            self._as_successor(SuccessorEvent.NO_PREDECESSOR)
            return
        self._snapshot.clear()
        self._channel = Channel(self._loop, sock, self._receive_from_predecessor, self._predecessor_lost)
        self._timer = self._loop.call_later(SNAPSHOT_TIMEOUT_S, self._as_successor, SuccessorEvent.TIMED_OUT)
        self._channel.send(Hello(accepts_writes=True))

    def _predecessor_lost(self) -> None:
        channel, self._channel = self._channel, None
        if channel is not None:
            self._as_successor(SuccessorEvent.PREDECESSOR_LOST)

    def _receive_from_predecessor(self, message: Message, sockets: list[socket.socket]) -> None:
        match message:
            case Rejected():
                self._as_successor(SuccessorEvent.REJECTED)
            case StateChunk():
                self._receive_chunk(message)
            case ConnectionCounts():
                limits = self._split.remaining(message.clients, message.servers)
                if self._successor.state is SuccessorState.TAKING_OVER:
                    self._host.limit_connections(limits, alone=False)
            case Connections():
                self._adopt(message, sockets)
            case SentWrites():
                self._host.import_writes(message.request_ids)
            case _:
                raise HandoverError("unexpected kind of message from the predecessor")

    def _receive_chunk(self, chunk: StateChunk) -> None:
        self._snapshot += chunk.data
        if len(self._snapshot) > MAX_SNAPSHOT_BYTES:
            raise HandoverError(f"the snapshot exceeds {MAX_SNAPSHOT_BYTES} bytes")
        if chunk.last:
            self._as_successor(SuccessorEvent.SNAPSHOT_RECEIVED)

    def _adopt(self, connections: Connections, sockets: list[socket.socket]) -> None:
        if len(sockets) != len(connections.states):
            raise HandoverError("the numbers of connections and descriptors in a message differ")
        for sock, state in zip(sockets, connections.states, strict=True):
            self._host.adopt_connection(sock, state)

    def _as_successor(self, event: SuccessorEvent) -> None:
        for action in self._successor.handle(event):
            self._perform_as_successor(action)
        if self._successor.state is not SuccessorState.CONNECTING and not self._started.done():
            if self._timer is not None:
                self._timer.cancel()
            self._started.set_result(None)

    def _perform_as_successor(self, action: HandoverAction) -> None:
        match action:
            case HandoverAction.IMPORT_SNAPSHOT:
                self._import_snapshot()
            case HandoverAction.RETRY_CONNECT:
                self._close_channel()
                self._set_timer(CONNECT_RETRY_S, self._connect)
            case HandoverAction.BEGIN_SERVING:
                if self._channel is not None:
                    self._announce_ready(self._channel)
                self._host.begin_serving()
            case HandoverAction.USE_FULL_LIMITS:
                self._host.limit_connections(self._split.full, alone=True)
            case HandoverAction.OPEN_LISTENER:
                self._open_listener()

    def _import_snapshot(self) -> None:
        try:
            self._host.import_snapshot(bytes(self._snapshot))
        except HandoverError as error:
            log.warning("handover: the predecessor's state is invalid, starting without it: %s", error)
        self._snapshot.clear()

    def _announce_ready(self, channel: Channel) -> None:
        # The predecessor's connections are unknown until its first report.
        shared = self._split.shared
        limits = ConnectionLimits(shared.clients // INITIAL_DIVISOR, shared.servers // INITIAL_DIVISOR)
        self._host.limit_connections(limits, alone=False)
        channel.send(Ready())

    def _open_listener(self) -> None:
        try:
            self._listener.open(self._loop, self._accept_successor)
        except OSError as error:
            log.warning("handover: can't listen, the next upgrade will have no handover: %s", error)

    # As the predecessor

    def _accept_successor(self, sock: socket.socket) -> None:
        if self._channel is not None:
            sock.setblocking(False)
            Channel(self._loop, sock, lambda *_: None, lambda: None).send(Rejected())
            return
        channel = Channel(
            self._loop, sock, self._receive_from_successor, lambda: self._successor_lost(channel)
        )
        self._channel = channel

    def _successor_lost(self, channel: Channel) -> None:
        if self._channel is channel:
            self._channel = None
            self._as_predecessor(PredecessorEvent.SUCCESSOR_LOST)

    def _receive_from_successor(self, message: Message, sockets: list[socket.socket]) -> None:
        match message:
            case Hello():
                self._successor_accepts_writes = message.accepts_writes
                self._as_predecessor(PredecessorEvent.SUCCESSOR_CONNECTED)
            case Ready():
                self._as_predecessor(PredecessorEvent.SUCCESSOR_READY)
                if self._successor_accepts_writes:
                    self._host.announce_writes(self._send_writes)
            case _:
                raise HandoverError("unexpected kind of message from the successor")

    def _send_writes(self, request_ids: list[str]) -> None:
        if self._channel is not None:
            for message in split_writes(request_ids):
                self._channel.send(message)

    def _as_predecessor(self, event: PredecessorEvent) -> None:
        for action in self._predecessor.handle(event):
            self._perform_as_predecessor(action)

    def _perform_as_predecessor(self, action: HandoverAction) -> None:
        match action:
            case HandoverAction.SEND_SNAPSHOT:
                assert self._channel is not None
                for chunk in split_snapshot(self._host.export_snapshot()):
                    self._channel.send(chunk)
            case HandoverAction.HALVE_LIMITS:
                self._host.limit_connections(self._split.shared, alone=False)
            case HandoverAction.STOP_ACCEPTING:
                self._host.stop_accepting()
            case HandoverAction.HAND_OVER_CONNECTIONS:
                self._host.hand_over_connections()
                self._set_timer(0.0, self._report)  # after the idle connections are sent
            case HandoverAction.CLOSE_IDLE:
                self._host.close_idle_connections()
            case HandoverAction.USE_FULL_LIMITS:
                self._host.limit_connections(self._split.full, alone=True)
            case HandoverAction.RESUME_ACCEPTING:
                self._host.begin_serving()
            case HandoverAction.CLOSE_LISTENER:
                self._listener.close(self._loop)

    def _report(self) -> None:
        """Report the remaining connections, so that the successor may use the other descriptors."""
        if self._channel is None or not self.can_send_connections:
            return
        counts = self._host.connection_counts()
        if counts != self._reported:
            self._reported = counts
            self._channel.send(counts)
        self._set_timer(REPORT_INTERVAL_S, self._report)
