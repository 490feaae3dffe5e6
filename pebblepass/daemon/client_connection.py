"""One client's connection: receives commands, keeps the order of replies, and detects a disconnect."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from pebblepass.connection_limits.eviction import Activity
from pebblepass.daemon.client_liveness import ClientLiveness
from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.close_reasons import CloseCounts, CloseReason
from pebblepass.daemon.command_turns import CommandTurns
from pebblepass.daemon.deferred_commands import DeferredCommands
from pebblepass.daemon.limited_reads import READ_BYTES, LimitedReads
from pebblepass.daemon.memory_account import SMALL_BYTES, MemoryAccount
from pebblepass.daemon.partial_commands import CommandInProgress, PartialCommands
from pebblepass.daemon.reply import Reply
from pebblepass.daemon.request_hosts import Host, MultiKeyHost, PollTimes
from pebblepass.wire.resp import (
    MULTI_GET_COMMAND,
    Command,
    CommandReader,
    UnknownCommandError,
    parse_request,
)

if TYPE_CHECKING:
    from pebblepass.daemon.session_commands import ClientSession
    from pebblepass.handover.messages import ConnectionState

MAX_PIPELINE = 256  # commands without a complete reply on one connection, before it is no longer read
WRITE_HIGH_WATER_BYTES = 1024  # of what the kernel has not accepted; more is counted in the memory account
# For which a client counts as connected. The platform forbids attempts that begin over 0.1 s after a
# disconnect.
LIVENESS_TTL_S = 0.05
READ_AHEAD_BYTES = 2 << 20  # of one connection, to find out whether its client is connected

REFUSED = b"-BUSY\r\n"
NS_PER_MS = 10**6

log = logging.getLogger("pebblepass")


class ConnectionServer(Protocol):
    """The interface of the client server that its connections use."""

    loop: asyncio.AbstractEventLoop
    host: Host
    multi_gets: MultiKeyHost | None
    lag: PollTimes
    memory: MemoryAccount
    partial_commands: PartialCommands
    turns: CommandTurns
    poll_socket: Callable[[int, int], int]
    read_socket: Callable[[int, int], bytes | None]
    session_count: int
    shutting_down: bool
    closes: CloseCounts

    @property
    def on_handover(self) -> object | None:
        """Not None while there is another process to hand connections over to."""

    def begin_handover(self, connection: ClientConnection) -> None:
        """Hand the connection over if it can be."""

    @property
    def connected(self) -> int:
        """Number of connections."""

    def register(self, connection: ClientConnection) -> None:
        """Register a new connection."""

    def unregister(self, connection: ClientConnection) -> None:
        """Remove a connection."""

    def schedule_paused_poll(self) -> None:
        """Poll for disconnects while there are connections that are not read."""


class ClientConnection(LimitedReads):
    """One client's connection: parses commands, orders replies, and detects the client's disconnect."""

    def __init__(
        self,
        server: ConnectionServer,
        handed_over: ConnectionState | None = None,
        empty_at: float = float("-inf"),
    ) -> None:
        """`handed_over`: its state in the process that handed it over, if one has.

        `empty_at`: a loop time at which no bytes were unread; minus infinity if no such time is known.
        """
        super().__init__(server.memory)
        self.server = server
        self._handed_over = handed_over
        self.transport: asyncio.Transport | None = None
        self.replies: deque[Reply] = deque()
        self.blocked = self.closed = False
        self.last_used_at = server.loop.time()
        self.reader = CommandReader(server.multi_gets is not None)
        self.session: ClientSession | None = None
        self._in_progress = CommandInProgress(self.reader, server.memory, server.partial_commands)
        # The timeout of the first command starts when the connection is accepted.
        self.command_started_at = self.last_used_at
        self.has_sent_command = self._has_sent_several = False
        self._deferred = DeferredCommands(self, server.turns, server.memory, server.loop)
        self._blocking_bytes = 0  # of the memory account: in the write buffer of a client that does not read
        self._closes_when_idle = False  # no further command is expected
        self._draining = False  # it closes for the router's shutdown, once it has nothing open
        self._is_ending = False  # the shutdown is over: nothing more is read
        self._disconnect_detected = False
        self._close_reason = CloseReason.CLIENT_LEFT  # unless this process closes it
        self.liveness = ClientLiveness(server.lag, server.poll_socket, self.last_used_at, empty_at)
        """When the client is known to have been connected, and how long its bytes were unread."""
        self.unsent_at_last_sweep = 0
        """Bytes in the write buffer when the timeouts were last enforced."""
        self.unread_ns = 0
        """Nanoseconds for which the bytes of the last read may have been unread."""
        self.is_over_limit = False
        """Whether it is over the connection limit: its commands are rejected."""
        self.in_handover = False
        """Whether it is being handed over to another process."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving; continues the command that another process has begun to receive, if any."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.liveness.descriptor = self.transport.get_extra_info("socket").fileno()
        self.liveness.begin(self.server.loop.time())
        self.server.register(self)
        if self._handed_over is not None and not self.transport.is_closing():
            self._restore(self._handed_over)  # before any other bytes are read
            self._handed_over = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the open requests."""
        self._handle_disconnect()

    def eof_received(self) -> bool:
        """Treat the client's end of file as its disconnect."""
        self._handle_disconnect()
        if self.transport is not None and self.transport.get_write_buffer_size():
            # Warning: if the transport were closed rather than aborted, its descriptor would stay open until
            # the client has read the rest, which may never happen, and no limit would count it any longer.
            self.transport.abort()
        return False

    def _handle_disconnect(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.server.closes.record(self._close_reason)
        # Warning: a connection left registered would keep its memory, count in the limit, and block a drain.
        self.server.unregister(self)
        self._in_progress.release()
        self._count_blocking_bytes(0)
        self._deferred.discard()
        replies, self.replies = self.replies, deque()
        for reply in replies:
            reply.discard()
            if not reply.done:
                self.server.host.client_disconnected(reply)

    def data_received(self, data: bytes) -> None:
        """Parse and dispatch the commands in the data."""
        try:
            self._parse(data)
        except Exception:
            log.exception("reading a command of %d bytes from a client failed: connection aborted", len(data))
            self.abort(CloseReason.FAULT)

    def _parse(self, data: bytes) -> None:
        reader = self.reader
        self.last_used_at = now = self.server.loop.time()
        self.unread_ns = self.liveness.record_read(now, len(data))
        starts_command = not reader.needed_bytes
        is_next = not (self.replies or reader.has_unparsed)
        may_be_long = len(data) > SMALL_BYTES or bool(self._in_progress.size)
        commands = reader.feed(data, self.server.turns.commands_per_read(is_next))
        if reader.has_unparsed:
            self._deferred.received(len(data), now, self.unread_ns)
        is_wanted = True
        if len(commands) > 1 or reader.has_unparsed:
            if self.client_has_disconnected():
                # Warning: servers would execute the commands of a client that has disconnected after sending
                # several.
                self.abort(CloseReason.CLIENT_LEFT)
                return
            is_wanted = self.client_state() is ClientState.CONNECTED
        if commands:
            self._has_sent_several = self.has_sent_command or len(commands) > 1
            self.has_sent_command = True
        for words in commands:
            self.accept_command(words, may_be_long=may_be_long, is_wanted=is_wanted)
        if reader.has_unparsed:
            self.update_reading()
        self.commands_parsed(bool(commands) or (starts_command and self.has_sent_command))
        if self.is_full:
            self.update_reading()

    def accept_command(
        self,
        words: list[bytes],
        is_deferred: bool = False,
        may_be_long: bool = True,
        is_wanted: bool = True,
    ) -> None:
        """Add the reply of a command, and dispatch it or refuse it for want of memory.

        `is_deferred`: it had to wait; `may_be_long`: whether it may be longer than SMALL_BYTES; `is_wanted`:
        False if its client may have disconnected.
        """
        reply = Reply(self)
        has_memory = words is not self.reader.discarded
        if may_be_long:
            self._in_progress.release()
        if self.replies:
            reply.reserve_answer()
        if may_be_long or self.replies:
            size = sum(map(len, words))
            has_memory = has_memory and (size <= SMALL_BYTES or size <= self.memory.free)
            if has_memory:
                reply.count_command(size)
        self.replies.append(reply)
        self._dispatch(words, reply, is_deferred, has_memory and is_wanted)

    def commands_parsed(self, starts_command: bool) -> None:
        """Handle what is received behind the last command; `starts_command`: a command starts there."""
        reader = self.reader
        if reader.framing_error:
            self._reject_invalid_bytes(reader.framing_error)
        elif reader.needed_bytes:
            if starts_command:
                self.command_started_at = self.last_used_at
            self._in_progress.received(self.last_used_at)
        else:
            self._in_progress.release()

    @property
    def keeps_what_it_reads(self) -> bool:
        """Whether the bytes of the next read take memory: not those of a command that is discarded."""
        # Read a little at a time, they would cost so much that other clients wait.
        return not self.reader.is_discarding

    def _reject_invalid_bytes(self, problem: str) -> None:
        """Reply to bytes that are not a command, and close."""
        reply = Reply(self)
        self.replies.append(reply)
        self._closes_when_idle = True
        self.update_reading()
        reply.send(b"-ERR Protocol error: %b\r\n" % problem.encode())

    def _dispatch(self, words: list[bytes], reply: Reply, is_deferred: bool, has_memory: bool) -> None:
        if len(words) == 1 and words[0].upper() == b"PING":
            reply.send(b"+PONG\r\n" if self.server.host.ready else b"-LOADING no list of servers yet\r\n")
            reply.free_command()
            return
        try:
            command = parse_request(words)
        except ValueError as error:
            if not has_memory:  # words of a command that was discarded are missing
                reply.send(REFUSED)
                reply.free_command()
            elif isinstance(error, UnknownCommandError):
                self._dispatch_other(words, reply)
            else:
                reply.send(b"-ERR %b\r\n" % str(error).encode())
                reply.free_command()
            return
        if self.is_over_limit or self.server.shutting_down:
            self._closes_when_idle = True
            self._reject(command, reply, "connections" if self.is_over_limit else "router ends")
        elif not has_memory or (is_deferred and self.unread_ns >= command.timeout_ms * NS_PER_MS):
            self._reject(command, reply, "memory")
        else:
            self.server.host.request_arrived(command, reply)

    def _reject(self, command: Command, reply: Reply, reason: str) -> None:
        reply.send(REFUSED)
        self.server.host.record_rejection(command, refused=reason)
        reply.free_command()

    def _dispatch_other(self, words: list[bytes], reply: Reply) -> None:
        """Dispatch a command that is neither a read nor a write of a single key."""
        server = self.server
        if server.multi_gets is not None and words[0].upper() == MULTI_GET_COMMAND:
            self._closes_when_idle = self._closes_when_idle or self.is_over_limit
            server.multi_gets.command_arrived(words, reply, self.is_over_limit)
            return
        # Imported with the first handshake: the platform's clients send none.
        from pebblepass.daemon.session_commands import ClientSession, answer_session_command

        if self.session is None:
            server.session_count += 1
            self.session = ClientSession(server.session_count)
        try:
            answer = answer_session_command(words, self.session, server.host.ready, server.connected)
        except UnknownCommandError as error:
            answer = b"-ERR %b\r\n" % str(error).encode()
        self._closes_when_idle = self._closes_when_idle or self.session.has_quit
        reply.send(answer)
        reply.free_command()

    @property
    def memory(self) -> MemoryAccount:
        """The account of memory."""
        return self.server.memory

    def write(self, data: bytes) -> None:
        """Write to the client."""
        if self.transport is not None:
            self.transport.write(data)

    def flush(self) -> None:
        """Start the next reply; without one, close the connection or hand it over if that is pending."""
        replies = self.replies
        while replies and replies[0].is_written:
            replies.popleft()
            if replies:
                replies[0].write_buffered()
        if not replies:
            self.last_used_at = self.server.loop.time()
        if self.reader.has_unparsed:
            self._deferred.wait()
        elif not replies and self._closes_when_idle and not self._is_ending and self.transport is not None:
            # Warning: closing with unread bytes would lose a request, and send a reset that may destroy the
            # last reply.
            if not (self._draining and self.has_unread()):
                self.close(CloseReason.LAST_REPLY)
        elif not replies and self.server.on_handover is not None:
            self.server.loop.call_soon(self.server.begin_handover, self)  # the reply is still to be written
        elif not self.liveness.is_reading:
            self.update_reading()

    def pause_writing(self) -> None:
        """Pause reading from the client, which does not read its replies, and from its reply's source."""
        self.blocked = True
        self.last_used_at = self.server.loop.time()
        if self.transport is not None:
            self._count_blocking_bytes(self.transport.get_write_buffer_size())
        self.update_reading()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.pause()

    def resume_writing(self) -> None:
        """Resume reading: the client reads its replies again."""
        self.blocked = False
        self._count_blocking_bytes(0)
        self.update_reading()
        if self.replies:
            self.replies[0].write_buffered()
            self.flush()
        if self.reader.has_unparsed:
            self._deferred.wait()
            self.flush()

    def _count_blocking_bytes(self, size: int) -> None:
        before, self._blocking_bytes = self._blocking_bytes, size
        if size != before:
            self.memory.replies.take(size - before)

    @property
    def _passes_on_value(self) -> bool:
        """Whether an incomplete long value is being written: if it breaks, so does the connection."""
        return bool(self.replies) and self.replies[0].is_passing_on

    def value_begun(self) -> None:
        """Leave unread what the client sends until the value is complete."""
        self.update_reading()

    def value_ended(self) -> None:
        """Read again; the time for which commands have waited for the value does not count."""
        self.liveness.exclude_wait(self.server.loop.time())
        self.update_reading()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back after a delay."""
        return self.server.loop.call_later(delay_s, callback)

    @property
    def is_full(self) -> bool:
        """Whether it has so many open commands that it is not read any further."""
        return len(self.replies) >= MAX_PIPELINE

    def update_reading(self) -> None:
        """Pause or resume reading, depending on whether another command can be accepted now."""
        # The next commands of a client that waits for a reply would have to wait for memory.
        is_short = self.reader.has_unparsed or (bool(self.replies) and self.server.turns.is_short)
        is_busy = self.blocked or is_short or self.is_full
        is_over = self.in_handover or self._is_ending
        should_read = not (is_busy or self.reader.framing_error or is_over or self._passes_on_value)
        if should_read == self.liveness.is_reading or self.transport is None or self.transport.is_closing():
            return
        if should_read and self.client_has_disconnected():
            # Warning: the commands that the client sent before it disconnected would be sent to servers,
            # even if it disconnected long ago.
            self.server.loop.call_soon(self.abort, CloseReason.CLIENT_LEFT)
            return
        if should_read and self.reader.has_unparsed:
            return  # commands were read ahead just now
        if should_read:
            self.liveness.resume(self.server.loop.time())
            self.transport.resume_reading()
        else:
            self.liveness.is_reading = False
            self.transport.pause_reading()
            self.server.schedule_paused_poll()

    def client_has_disconnected(self) -> bool:
        """Poll whether the client has closed or reset the connection, possibly after unread bytes."""
        if self.transport is None or self.transport.is_closing():
            return False
        state = self.liveness.poll_state(self.server.loop.time)
        leaves_unread = self.in_handover or self._is_ending or self._passes_on_value
        if state is ClientState.UNKNOWN and not leaves_unread:
            state = self._read_ahead()
        return state is ClientState.DISCONNECTED

    def _read_ahead(self) -> ClientState:
        """Read what the client has sent up to its end, without parsing it, as far as there is memory."""
        server, reader = self.server, self.reader
        while True:
            room = min(READ_AHEAD_BYTES - reader.buffered_bytes, server.memory.free_for_optional_use)
            if room <= 0:
                return ClientState.UNKNOWN
            data = server.read_socket(self.liveness.descriptor, min(room, READ_BYTES))
            if data is None:
                return self.liveness.poll_state(server.loop.time)
            if not data:
                return ClientState.DISCONNECTED
            now = server.loop.time()
            unread_ns = self.liveness.record_read(now, len(data))
            if not reader.framing_error:
                reader.add(data)
                self._deferred.received(len(data), now, unread_ns, is_read_ahead=True)

    def client_state(self) -> ClientState:
        """Return whether the client is connected; polls if the last confirmation is LIVENESS_TTL_S old."""
        if self._disconnect_detected or self.closed or self.transport is None or self.transport.is_closing():
            return ClientState.DISCONNECTED
        if self._is_confirmed:
            return ClientState.CONNECTED
        if self.client_has_disconnected():
            self._disconnect_detected = True
            # Not in this call: the caller may be handling another request.
            self.server.loop.call_soon(self.abort, CloseReason.CLIENT_LEFT)
            return ClientState.DISCONNECTED
        return ClientState.CONNECTED if self._is_confirmed else ClientState.UNKNOWN

    @property
    def _is_confirmed(self) -> bool:
        return self.server.loop.time() - self.liveness.last_alive_at() <= LIVENESS_TTL_S

    def has_unread(self) -> bool:
        """Whether a connected client has sent bytes that will be read in the next iteration of the loop."""
        if not self.liveness.is_reading or self.transport is None or self.transport.is_closing():
            return False
        return self.liveness.has_unread()

    @property
    def paused(self) -> bool:
        """Whether it is not read, so that only a poll can detect its disconnect."""
        return not (self.liveness.is_reading or self.in_handover or self.closed)

    @property
    def idle(self) -> bool:
        """Whether it has neither an open request nor a partial command."""
        return not (self.has_open_requests or self.reader.needed_bytes)

    @property
    def has_open_requests(self) -> bool:
        """Whether it has commands without a complete reply."""
        return bool(self.replies) or self.reader.has_unparsed

    @property
    def owes_replies(self) -> bool:
        """Whether there are replies that the kernel has not accepted."""
        unsent = self.transport is not None and self.transport.get_write_buffer_size() > 0
        return bool(self.replies) or unsent

    # The end of the process, see `last_replies`

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that this machine's kernel has not accepted."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def has_open_replies(self) -> bool:
        """Whether it has replies that are not written completely."""
        return bool(self.replies)

    @property
    def has_waiting_commands(self) -> bool:
        """Whether commands that were read wait for their turn."""
        return self.reader.has_unparsed

    @property
    def awaits_value(self) -> bool:
        """Whether its next reply is a long value that its server is still sending."""
        return bool(self.replies) and self.replies[0].source is not None

    def stop_reading(self) -> None:
        """Leave unread what the client sends from now on."""
        self._is_ending = True
        self.update_reading()

    def end(self) -> None:
        """Close it, or hand it over if another process takes connections over."""
        if self.server.on_handover is not None:
            self.server.begin_handover(self)
        if not self.in_handover:
            self.close(CloseReason.EXIT)

    @property
    def activity(self) -> Activity:
        """Its state, which decides whether it may be evicted."""
        if self.has_open_requests or self.in_handover:
            return Activity.REPLY_PENDING
        if self.reader.needed_bytes:
            return Activity.PARTIAL_COMMAND
        if self._has_sent_several:
            return Activity.RECURRING
        return Activity.IDLE if self.has_sent_command else Activity.NEW

    def finish(self, with_partial_commands: bool) -> None:
        """Close once nothing is open; `with_partial_commands`: also with a partially received command."""
        if self.transport is None or self.closed:
            return
        is_open = self.has_open_requests
        is_new = not (self.has_sent_command or is_open)
        if not is_open and (with_partial_commands or not (self.reader.needed_bytes or is_new)):
            self._closes_when_idle = self._draining = True
            if not self.has_unread():
                self.close(CloseReason.EXIT)
        elif is_open and (with_partial_commands or not self.reader.needed_bytes):
            self._closes_when_idle = self._draining = True

    @property
    def is_transferable(self) -> bool:
        """Whether another process could serve it: it accepts commands, and no reply is outstanding."""
        if self.transport is None or self.transport.is_closing() or self.has_open_requests:
            return False
        is_about_to_close = self._closes_when_idle or self.closed or self.is_over_limit
        is_waiting = self.blocked or self._in_progress.size or self.reader.is_discarding
        return not (is_about_to_close or is_waiting or self.in_handover)

    @property
    def descriptor(self) -> int:
        """The file descriptor of its socket."""
        assert self.transport is not None
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    def _restore(self, state: ConnectionState) -> None:
        """Restore the state that another process has handed over."""
        self.has_sent_command = self._has_sent_several = state.has_sent_command
        if state.protocol:
            from pebblepass.daemon.session_commands import ClientSession

            self.server.session_count += 1
            self.session = ClientSession(state.connection_number, state.protocol, state.client_name)
        if state.partial_command:
            unread_age = self.liveness.without_unread_age(self.last_used_at)
            self.data_received(state.partial_command)
            self.liveness.restore_unread_age(unread_age)
            self.command_started_at = self.server.loop.time() - state.command_age_ms / 1000

    def close(self, reason: CloseReason) -> None:
        """Close the connection once its replies are sent."""
        self._close_reason = reason
        if self.transport is not None:
            self.transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Abort the connection, and drop its open requests."""
        self._close_reason = reason
        if self.transport is not None:
            self.transport.abort()
        self._handle_disconnect()

    def reject_unfinished(self) -> None:
        """Reply to a command that was not received in time, and close."""
        self._in_progress.release()
        self._closes_when_idle = True
        reply = Reply(self)
        self.replies.append(reply)
        reply.send(b"-ERR Protocol error: command not finished in time\r\n")
