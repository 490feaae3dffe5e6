"""One client's connection: its commands, the order of its replies, and its timeouts."""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from pebblepass.connection_limits.places import Standing
from pebblepass.daemon.memory_budget import MemoryBudget
from pebblepass.daemon.reply import Reply
from pebblepass.daemon.request_hosts import Host, MultiKeyHost, PollTimes
from pebblepass.daemon.unread import READ_EVENTS, peer_has_closed
from pebblepass.daemon.unread_age import UnreadAge
from pebblepass.wire.resp import LARGE, MANY, CommandReader, UnknownCommandError, parse_request

if TYPE_CHECKING:
    from pebblepass.daemon.greetings import ClientSession
    from pebblepass.handover.messages import ConnectionState

MAX_PIPELINE = 256
HIGH_WATER = 64 << 10
IDLE_TIMEOUT_S = 2.0  # after which a connection without an open request is closed, even if it never had one
COMMAND_TIMEOUT_S = 2.0  # for receiving one command; well within the platform's 3 s, with a sweep's delay
WRITE_STALL_TIMEOUT_S = 10.0  # within which a client must read some of its buffered replies
# For which a client counts as alive. The platform forbids attempts that begin over 0.1 s after a disconnect.
LIVENESS_TTL_S = 0.05

log = logging.getLogger("pebblepass")


class ConnectionServer(Protocol):
    """The server as its connections see it."""

    loop: asyncio.AbstractEventLoop
    host: Host
    many: MultiKeyHost | None
    lag: PollTimes
    budget: MemoryBudget
    poll_socket: Callable[[int, int], int]
    session_count: int
    shutting_down: bool
    on_handover: Callable[[ClientConnection], None] | None

    @property
    def connected(self) -> int:
        """Number of connections."""

    def register(self, connection: ClientConnection) -> None:
        """Register a new connection."""

    def unregister(self, connection: ClientConnection) -> None:
        """Remove a connection."""

    def schedule_paused_poll(self) -> None:
        """Poll for disconnects as long as there are connections that are not read."""


class ClientConnection(asyncio.Protocol):
    """One client's connection: parses commands, orders replies, and detects the client's disconnect."""

    def __init__(
        self, server: ConnectionServer, handed: ConnectionState | None = None, empty_at: float = float("-inf")
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

    @property
    def budget(self) -> MemoryBudget:
        """The memory budget for long commands."""
        return self.server.budget

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
        self._has_sent_command = handed.spoken
        if handed.protocol:
            from pebblepass.daemon.greetings import ClientSession

            self.server.session_count += 1
            self.session = ClientSession(handed.number, handed.protocol, handed.name)
        if handed.held:
            unread_age, self._unread_age = self._unread_age, UnreadAge(self.last_used_at)
            self.data_received(handed.held)
            self._unread_age = unread_age  # these bytes were not read from the socket
            self._command_started_at = self.server.loop.time() - handed.begun_ms / 1000

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
