"""The RESP2 server for clients: it accepts their connections, and replies in the order of their commands."""

from __future__ import annotations

import asyncio
import functools
import logging
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from pebblepass.connection_limits.descriptors import REFUSERS
from pebblepass.connection_limits.places import Standing, choose_eviction
from pebblepass.daemon.unread import READ_EVENTS, accept_pending, peer_has_closed, socket_poller
from pebblepass.daemon.unread_age import BacklogAge, UnreadAge
from pebblepass.daemon.upstream import ValueSource
from pebblepass.wire.address import Address
from pebblepass.wire.resp import LARGE, MANY, Command, CommandReader, UnknownCommandError, parse_request

if TYPE_CHECKING:
    from pebblepass.daemon.greetings import ClientSession
    from pebblepass.handover.messages import ConnectionState

BACKLOG = 1024
MAX_PIPELINE = 256
HIGH_WATER = 64 << 10
IDLE_TIMEOUT_S = 2.0  # after which a connection without an open request is closed, even if it never had one
COMMAND_TIMEOUT_S = 2.0  # for receiving one command; well within the platform's 3 s, with a sweep's delay
WRITE_STALL_TIMEOUT_S = 10.0  # within which a client must read some of its buffered replies
SWEEP_INTERVAL_S = 0.5
PAUSED_POLL_INTERVAL_S = 0.1  # between two polls of the connections that are not read, for disconnects
# For which a client counts as alive. The platform forbids attempts that begin over 0.1 s after a disconnect.
LIVENESS_TTL_S = 0.05
MAX_EVICTION_CHECKS = 4  # connections considered for eviction before a new one is rejected

log = logging.getLogger("pebblepass")


class PollTimes(Protocol):
    """Tells when the event loop last polled its sockets."""

    sockets_polled_at: float
    """Loop time in seconds; every socket that was readable at this time has been read from since."""


class Host(Protocol):
    """Handles the clients' requests for a single key."""

    ready: bool

    @property
    def lag(self) -> PollTimes:
        """The lag of the event loop."""

    def request_arrived(self, command: Command, reply: Reply) -> None:
        """Handle a request that was received completely."""

    def client_disconnected(self, reply: Reply) -> None:
        """Drop the request behind this reply: its client has disconnected."""

    def record_rejection(self, command: Command, refused: str = "", failed: str = "") -> None:
        """Account for a request that was rejected before it was handled."""


class MultiKeyHost(Protocol):
    """Handles the clients' commands that read many keys."""

    def command_arrived(self, words: list[bytes], reply: Reply, refusing: bool) -> None:
        """Handle a command that was received completely; `refusing`: reject its keys."""


class Budget:
    """Memory for long commands, reserved before a command is read, so that each one begun can be finished."""

    def __init__(self, total: int) -> None:
        self._total = self._free = total
        self._waiting: deque[ClientConnection] = deque()

    def take(self, connection: ClientConnection, size: int) -> bool:
        """Reserve bytes; returns False and queues the connection where too few are free."""
        if size > self._free:
            self._waiting.append(connection)
            return False
        self._free -= size
        return True

    def resize(self, total: int) -> None:
        """Change the total; reservations stay."""
        self._total, self._free = total, self._free + total - self._total
        self.give_back(0)

    def give_back(self, size: int) -> None:
        """Release reserved bytes, and let the queued connections try again."""
        self._free += size
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            connection = waiting.popleft()
            if not connection.closed:
                connection.reserve()


class Reply:
    """The reply to one command; replies are written in the order of the commands on the connection."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._held: list[bytes] = []
        self.done = False
        self.source: ValueSource | None = None
        self.request: Any = None  # set and read by the host
        self.reserved = 0

    def send(self, data: bytes) -> None:
        """Write the whole reply, or its last part."""
        self.write(data)
        self.done, self.source = True, None
        self._connection.flush()

    def start(self, data: bytes, source: ValueSource) -> None:
        """Begin a streamed reply; the source is paused while the client does not read."""
        self.source = source
        if not self.write(data) or self._connection.blocked:
            source.pause()

    def write(self, data: bytes) -> bool:
        """Write a part; returns False if it is buffered until the replies ahead are written."""
        connection = self._connection
        if connection.closed:
            return True
        if connection.replies[0] is not self:
            self._held.append(data)
            return False
        connection.write(data)
        return True

    @property
    def is_next(self) -> bool:
        """Whether all replies ahead are written."""
        replies = self._connection.replies
        return bool(replies) and replies[0] is self

    @property
    def unread_ns(self) -> int:
        """Nanoseconds for which the command may have been unread; valid only while it is being dispatched."""
        return self._connection.unread_ns

    @property
    def null(self) -> bytes:
        """The null value in the client's protocol version."""
        session = self._connection.session
        return b"$-1\r\n" if session is None or session.protocol == 2 else b"_\r\n"

    def client_is_alive(self) -> bool:
        """Whether the client is still connected, by a recent read or else by a poll."""
        return self._connection.is_alive()

    def detach_request(self) -> None:
        """Detach the request, which the host has dropped: the disconnect will not be reported for it."""
        self.request = None

    def abort(self) -> None:
        """Abort the connection, so that the client sees that a streamed reply is incomplete."""
        self._connection.abort()

    def free_command(self) -> None:
        """Release the memory reserved for the command, which the host needs no longer."""
        self._connection.server.budget.give_back(self.reserved)
        self.reserved = 0

    def write_buffered(self) -> None:
        """Write what is buffered: the replies ahead have been written."""
        for data in self._held:
            self._connection.write(data)
        self._held.clear()
        if self.source is not None and not self._connection.blocked:
            self.source.resume()


class ClientConnection(asyncio.Protocol):
    """One client's connection: parses commands, orders replies, and detects the client's disconnect."""

    def __init__(
        self, server: ClientServer, handed: ConnectionState | None = None, empty_at: float = float("-inf")
    ) -> None:
        """`handed`: its state in the process that handed it over; `empty_at`: a time without unread bytes."""
        self.server = server
        self._handed = handed
        self.transport: asyncio.Transport | None = None
        self.replies: deque[Reply] = deque()
        self.blocked = self.closed = False
        self.last_used_at = server.loop.time()
        self._reader = CommandReader(server.many is not None)
        self.session: ClientSession | None = None
        self._reading = True
        self._reserved = 0  # bytes of the budget, for the command being received
        # The first command is timed from the start of the connection.
        self._command_started_at = self.last_used_at
        self._has_sent_command = False
        self._awaits_budget = False
        self._closes_when_idle = False  # no further command is expected
        self._draining = False  # it is closed for the router's shutdown, once it has nothing open
        self._descriptor = -1
        # Danger: before the first read nothing is known, as a connection may have waited long to be accepted.
        self._confirmed_alive_at = float("-inf")
        self._last_read_at = float("inf")
        self._disconnect_detected = False
        self._unread_age = UnreadAge(empty_at)
        self._reading_since = self.last_used_at
        self._unsent = 0  # size of the write buffer at the last sweep
        self.unread_ns = 0
        """Nanoseconds for which the bytes of the last read may have been unread."""
        self.refusing = False
        """Whether it is over the connection limit: its commands are rejected."""
        self.in_handover = False
        """Whether it is being handed over to another process."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving; continues the command that another process began, if any."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        self._descriptor = self.transport.get_extra_info("socket").fileno()
        self.server.register(self)
        if self._handed is not None and not self.transport.is_closing():
            self._restore(self._handed)  # before anything else is read
            self._handed = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the open requests."""
        self._handle_disconnect()

    def eof_received(self) -> bool:
        """Treat the end of the client's sending as its disconnect."""
        self._handle_disconnect()
        if self.transport is not None and self.transport.get_write_buffer_size():
            # Danger: a transport that is closed rather than aborted keeps its descriptor until its client has
            # read the rest, which may be never, and no limit counts that descriptor any longer.
            self.transport.abort()
        return False

    def _handle_disconnect(self) -> None:
        if self.closed:
            return
        self.closed = True
        # Danger: a connection left registered holds its memory, counts in the limit, and blocks a drain.
        self.server.unregister(self)
        if self._reserved:
            self.server.budget.give_back(self._reserved)
        replies, self.replies = self.replies, deque()
        for reply in replies:
            if not reply.done:
                self.server.host.client_disconnected(reply)

    def data_received(self, data: bytes) -> None:
        """Parse and dispatch the commands in the data."""
        try:
            self._parse(data)
        except Exception:
            log.exception("reading a command failed")
            self.abort()

    def _parse(self, data: bytes) -> None:
        reader = self._reader
        self._record_read(len(data))
        starts_command = not reader.need
        commands = reader.feed(data)
        if len(commands) > 1 and self.client_has_disconnected():
            # Danger: commands of a client that sent several and disconnected would be sent on for nobody.
            self.abort()
            return
        self._has_sent_command = self._has_sent_command or bool(commands)
        for words in commands:
            reply = Reply(self)
            reply.reserved, self._reserved = self._reserved, 0
            self.replies.append(reply)
            self._dispatch(words, reply)
        if reader.broken:
            self._reject_broken(reader.broken)
        elif reader.need:
            if commands or (starts_command and self._has_sent_command):
                self._command_started_at = self.last_used_at
            if reader.need > LARGE and not self._reserved and not self._awaits_budget:
                self.reserve()
        elif self._reserved:
            self.server.budget.give_back(self._reserved)
            self._reserved = 0
        if len(self.replies) >= MAX_PIPELINE:
            self._update_reading()

    def _record_read(self, size: int) -> None:
        """Update the times of liveness and the age of the unread bytes for a read of so many bytes."""
        # Not now: an end of file behind these bytes is read an iteration later.
        self._confirmed_alive_at = self._last_alive_at()
        polled_at = self.server.lag.sockets_polled_at
        if self._reading and self._reading_since < polled_at:
            self._unread_age.emptied(polled_at)
        self._last_read_at = self.last_used_at = now = self.server.loop.time()
        self.unread_ns = int(self._unread_age.read(now, size) * 1e9)

    def _reject_broken(self, problem: str) -> None:
        """Reply to bytes that are no command, and close."""
        reply = Reply(self)
        self.replies.append(reply)
        self._closes_when_idle = True
        self._update_reading()
        reply.send(b"-ERR Protocol error: %b\r\n" % problem.encode())

    def reserve(self) -> None:
        """Reserve memory for the command being received, or wait until some is released."""
        self._awaits_budget = not self.server.budget.take(self, self._reader.need)
        if not self._awaits_budget:
            self._reserved = self._reader.need
            self._command_started_at = self.server.loop.time()
        self._update_reading()

    def _dispatch(self, words: list[bytes], reply: Reply) -> None:
        if len(words) == 1 and words[0].upper() == b"PING":
            reply.send(b"+PONG\r\n" if self.server.host.ready else b"-LOADING no list of servers yet\r\n")
            reply.free_command()
            return
        try:
            command = parse_request(words)
        except UnknownCommandError:
            self._dispatch_other(words, reply)
            return
        except ValueError as error:
            reply.send(b"-ERR %b\r\n" % str(error).encode())
            reply.free_command()
            return
        if self.refusing or self.server.shutting_down:
            self._closes_when_idle = True
            reply.send(b"-BUSY\r\n")
            self.server.host.record_rejection(
                command, refused="connections" if self.refusing else "router ends"
            )
            reply.free_command()
            return
        self.server.host.request_arrived(command, reply)

    def _dispatch_other(self, words: list[bytes], reply: Reply) -> None:
        """Dispatch a command that is neither a read nor a write of one key."""
        server = self.server
        if server.many is not None and words[0].upper() == MANY:
            self._closes_when_idle = self._closes_when_idle or self.refusing
            server.many.command_arrived(words, reply, self.refusing)
            return
        # Imported with the first handshake: the platform's clients have none.
        from pebblepass.daemon.greetings import ClientSession, answer_session_command

        if self.session is None:
            server.session_count += 1
            self.session = ClientSession(server.session_count)
        try:
            answer = answer_session_command(words, self.session, server.host.ready, server.connected)
        except UnknownCommandError as error:
            answer = b"-ERR %b\r\n" % str(error).encode()
        self._closes_when_idle = self._closes_when_idle or self.session.leaves
        reply.send(answer)
        reply.free_command()

    def write(self, data: bytes) -> None:
        """Write to the client."""
        if self.transport is not None:
            self.transport.write(data)

    def flush(self) -> None:
        """Start the next reply; without one, close the connection or hand it over if that is pending."""
        replies = self.replies
        while replies and replies[0].done:
            replies.popleft()
            if replies:
                replies[0].write_buffered()
        if not replies:
            self.last_used_at = self.server.loop.time()
        if not replies and self._closes_when_idle and self.transport is not None:
            # Danger: closing with unread bytes loses a request, and sends a reset that may destroy the
            # last reply.
            if not (self._draining and self.has_unread()):
                self.transport.close()
        elif not replies and self.server.on_handover is not None:
            self.server.loop.call_soon(self.hand_over)  # the reply is still to be written
        elif not self._reading:
            self._update_reading()

    def pause_writing(self) -> None:
        """Pause reading from the client and from the source of its reply: it does not read its replies."""
        self.blocked = True
        self.last_used_at = self.server.loop.time()
        self._update_reading()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.pause()

    def resume_writing(self) -> None:
        """Resume reading: the client reads its replies again."""
        self.blocked = False
        self._update_reading()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.resume()

    def _update_reading(self) -> None:
        full = len(self.replies) >= MAX_PIPELINE
        wanted = not (self.blocked or self._awaits_budget or self._reader.broken or full or self.in_handover)
        if wanted == self._reading or self.transport is None or self.transport.is_closing():
            return
        if wanted and self.client_has_disconnected():
            # Danger: commands sent before the disconnect would be sent on, however long ago that was.
            self.server.loop.call_soon(self.abort)
            return
        self._reading = wanted
        if wanted:
            self._last_read_at = self._reading_since = self.server.loop.time()
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            self.server.schedule_paused_poll()

    def client_has_disconnected(self) -> bool:
        """Poll whether the client has closed or reset the connection, perhaps behind unread bytes."""
        if self.transport is None or self.transport.is_closing():
            return False
        found = self.server.poll_socket(self._descriptor, READ_EVENTS)
        if peer_has_closed(found):
            return True
        self._confirmed_alive_at = self.server.loop.time()
        if not found & select.POLLIN:
            self._unread_age.emptied(self._confirmed_alive_at)
        return False

    def _last_alive_at(self) -> float:
        """Return the latest loop time at which the client is known to have been connected."""
        polled_at = self.server.lag.sockets_polled_at
        if self._reading and self._last_read_at < polled_at:
            return max(polled_at, self._confirmed_alive_at)
        return self._confirmed_alive_at

    def is_alive(self) -> bool:
        """Whether the client is connected; polls if that was last known more than LIVENESS_TTL_S ago."""
        if self._disconnect_detected or self.closed or self.transport is None or self.transport.is_closing():
            return False
        if self.server.loop.time() - self._last_alive_at() <= LIVENESS_TTL_S:
            return True
        if self.client_has_disconnected():
            self._disconnect_detected = True
            # In an iteration of its own: the caller may be handling another request.
            self.server.loop.call_soon(self.abort)
            return False
        return True

    def has_unread(self) -> bool:
        """Whether a connected client has sent bytes that will be read in the next iteration of the loop."""
        if not self._reading or self.transport is None or self.transport.is_closing():
            return False
        found = self.server.poll_socket(self._descriptor, READ_EVENTS)
        return bool(found & select.POLLIN) and not peer_has_closed(found)

    @property
    def paused(self) -> bool:
        """Whether it is not read, so that only a poll detects its disconnect."""
        return not (self._reading or self.in_handover or self.closed)

    @property
    def idle(self) -> bool:
        """Whether it has neither an open request nor a partial command."""
        return not self.replies and not self._reader.need

    @property
    def standing(self) -> Standing:
        """Its state, by which connections are chosen for eviction."""
        if self.replies or self.in_handover:
            return Standing.BUSY
        if self._reader.need:
            return Standing.MIDWAY
        return Standing.BETWEEN if self._has_sent_command else Standing.NEW

    def finish(self, even_midway: bool) -> None:
        """Close once nothing is open; `even_midway`: also with a partial command."""
        if self.transport is None or self.closed:
            return
        new = not (self._has_sent_command or self.replies)
        if not self.replies and (even_midway or not (self._reader.need or new)):
            self._closes_when_idle = self._draining = True
            if not self.has_unread():
                self.transport.close()
        elif self.replies and (even_midway or not self._reader.need):
            self._closes_when_idle = self._draining = True

    def hand_over(self) -> None:
        """Hand the connection over to another process if it is idle, or has received little of a command.

        Otherwise this is called again when its last reply has been written.
        """
        if self.server.on_handover is None or self.transport is None or not self._may_be_handed_over():
            return
        # Imported with the first handover: most processes never have one.
        from pebblepass.handover.messages import MAX_PARTIAL_COMMAND

        if self._reader.held_bytes > MAX_PARTIAL_COMMAND:
            return
        # Danger: replies that the kernel has not accepted are lost with this process.
        if self.transport.get_write_buffer_size():
            return
        if self._reading:
            self.transport.pause_reading()
            self._reading = False
        self.in_handover = True
        self.server.on_handover(self)

    def _may_be_handed_over(self) -> bool:
        if self.transport is None or self.transport.is_closing() or self.replies:
            return False
        ends = self._closes_when_idle or self.closed or self.refusing
        waits = self.blocked or self._awaits_budget or self._reserved
        return not (ends or waits or self.in_handover)

    @property
    def descriptor(self) -> int:
        """The file descriptor of its socket."""
        assert self.transport is not None
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    def handover_state(self) -> ConnectionState:
        """The state that the other process needs to continue this connection."""
        from pebblepass.handover.messages import ConnectionState

        command_age_ms = max(int((self.server.loop.time() - self._command_started_at) * 1000), 0)
        session = self.session
        handshake = (session.protocol, session.name, session.number) if session is not None else (0, b"", 0)
        return ConnectionState(self._reader.held, command_age_ms, self._has_sent_command, *handshake)

    def cancel_handover(self) -> None:
        """Serve the connection again: the other process could not accept it."""
        self.in_handover = False
        self._update_reading()

    def complete_handover(self) -> None:
        """Release the descriptor: the other process serves the connection now."""
        self.closed = True
        self.server.unregister(self)
        if self.transport is not None:
            self.transport.abort()

    def _restore(self, handed: ConnectionState) -> None:
        """Restore the state that came with a handover."""
        self._has_sent_command = handed.has_sent_command
        if handed.protocol:
            from pebblepass.daemon.greetings import ClientSession

            self.server.session_count += 1
            self.session = ClientSession(handed.connection_number, handed.protocol, handed.client_name)
        if handed.partial_command:
            unread_age, self._unread_age = self._unread_age, UnreadAge(self.last_used_at)
            self.data_received(handed.partial_command)
            self._unread_age = unread_age  # these bytes were not read from the socket
            self._command_started_at = self.server.loop.time() - handed.command_age_ms / 1000

    def abort(self) -> None:
        """Abort the connection, and drop its open requests."""
        if self.transport is not None:
            self.transport.abort()
        self._handle_disconnect()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if its client has exceeded a timeout."""
        if self.in_handover:
            return
        if self.blocked:
            self._check_write_stall(now)
        elif self.idle:
            self._check_idle(now)
        # A client that waits for memory is owed a reply within the same time.
        elif self._reader.need and not self.replies and now - self._command_started_at > COMMAND_TIMEOUT_S:
            self._reject_unfinished()

    def _check_write_stall(self, now: float) -> None:
        assert self.transport is not None
        size = self.transport.get_write_buffer_size()
        if size != self._unsent:
            self._unsent, self.last_used_at = size, now
        if now - self.last_used_at > WRITE_STALL_TIMEOUT_S:
            log.warning("a client takes nothing of its answer")
            self.abort()

    def _check_idle(self, now: float) -> None:
        # Guards the limit and the memory against clients that connect without a request, or keep their
        # connection for good after one.
        if now - self.last_used_at > IDLE_TIMEOUT_S and self.transport is not None and not self.has_unread():
            self.transport.close()

    def _reject_unfinished(self) -> None:
        log.warning("a client does not finish its command")
        # Guards connections queued for memory behind this one: they are next, and have waited as long.
        reserved, self._reserved = self._reserved, 0
        self.server.budget.give_back(reserved)
        self._closes_when_idle = True
        reply = Reply(self)
        self.replies.append(reply)
        reply.send(b"-ERR Protocol error: command not finished in time\r\n")


class ClientServer:
    """The listener and all clients' connections, within the limit on descriptors."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: Host, limit: int, budget: int, refusers: int = REFUSERS
    ) -> None:
        """`limit` connections are served; the commands of `refusers` more are rejected."""
        self.loop, self.host, self._limit, self._refusers = loop, host, limit, refusers
        self.poll_socket, self.lag = socket_poller(loop).poll, host.lag
        self.shutting_down = False
        """Whether commands are rejected: the router exits before it could reply."""
        self._paused_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.many: MultiKeyHost | None = None
        self.session_count = 0
        """Number of connections with a handshake or another command that is no request."""
        self.budget = Budget(budget)
        self._connections: dict[ClientConnection, None] = {}
        self._listener: asyncio.Server | None = None
        self._listener_descriptor = -1
        self._backlog_age = BacklogAge()
        self.on_handover: Callable[[ClientConnection], None] | None = None
        """Called with each idle connection while there is another process to hand it over to."""
        self.draining = False
        """Whether no connection is accepted any longer."""
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def limit(self) -> int:
        """Maximum number of connections served at a time."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit
        while len(self._connections) > limit and (evicted := self._eviction_candidate()) is not None:
            evicted.abort()

    def _eviction_candidate(self) -> ClientConnection | None:
        """The connection to evict for a new one, if any; never one that has unread bytes."""
        now = self.loop.time()
        for _ in range(MAX_EVICTION_CHECKS):
            candidate = choose_eviction(
                (each, each.standing, now - each.last_used_at) for each in self._connections
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
                connection.abort()
        if paused:
            self.schedule_paused_poll()

    async def adopt(self, sock: socket.socket, handed: ConnectionState) -> None:
        """Serve a connection that another process has handed over."""
        await self._adopt(sock, functools.partial(ClientConnection, self, handed, self.lag.sockets_polled_at))

    async def listen(self, at: Address | socket.socket) -> None:
        """Accept connections at this address, or on a socket that listens already."""
        self.draining = False
        make = self._make_connection
        if isinstance(at, socket.socket):
            self._listener = await self.loop.create_server(make, sock=at, backlog=BACKLOG)
        else:
            self._listener = await self.loop.create_server(make, *at, backlog=BACKLOG)
        self._listener_descriptor = self._listener.sockets[0].fileno()

    def _make_connection(self) -> ClientConnection:
        """Make the protocol of a connection that was accepted just now."""
        pending = self.poll_socket(self._listener_descriptor, select.POLLIN) & select.POLLIN
        now, polled_at = self.loop.time(), self.lag.sockets_polled_at
        empty_at = self._backlog_age.accepted(now, polled_at, more_wait=bool(pending))
        return ClientConnection(self, empty_at=empty_at)

    def register(self, connection: ClientConnection) -> None:
        """Register a new connection: at the limit one is evicted, or the new one is rejected."""
        if len(self._connections) >= self._limit:
            evicted = self._eviction_candidate()
            if evicted is not None:
                evicted.abort()
            elif len(self._connections) < self._limit + self._refusers:
                connection.refusing = True
            else:
                connection.abort()
                return
        self._connections[connection] = None

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

    def accept_pending(self) -> bool:
        """Accept one connection from the backlog of the listener, which is about to close.

        Returns whether there may be more, for a later iteration of the loop.
        """
        # Danger: the kernel has accepted them, and requests they have sent are lost if the listener closes.
        # Accepted all at once, they would use up the descriptors that dials and discovery need.
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

    def hand_over(self, on_handover: Callable[[ClientConnection], None]) -> None:
        """Hand every connection over, now or once it is idle."""
        self.on_handover = on_handover
        for connection in list(self._connections):
            connection.hand_over()

    def finish(self, even_midway: bool) -> None:
        """Close every connection once it has nothing open."""
        self.on_handover = None
        for connection in list(self._connections):
            connection.finish(even_midway)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for connection in list(self._connections):
            connection.enforce_timeouts(now)

    def close(self) -> None:
        """Close the listener, and abort all connections."""
        self._timer.cancel()
        if self._paused_timer is not None:
            self._paused_timer.cancel()
        self.stop_accepting()
        for connection in list(self._connections):
            connection.abort()
