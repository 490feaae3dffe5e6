"""The RESP2 server that clients talk to: their connections, and answers in the order of the commands."""

from __future__ import annotations

import asyncio
import functools
import logging
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from pebblepass.admission.descriptors import REFUSERS
from pebblepass.admission.places import Standing, makes_room
from pebblepass.daemon.unread import READ_EVENTS, accept_pending, peer_has_closed, socket_poller
from pebblepass.daemon.unread_age import UnreadAge
from pebblepass.daemon.upstream import ValueSource
from pebblepass.wire.address import Address
from pebblepass.wire.resp import LARGE, MANY, Command, CommandReader, UnknownCommandError, parse_request

if TYPE_CHECKING:
    from pebblepass.daemon.greetings import Greeted
    from pebblepass.handover.messages import Handed

BACKLOG = 1024
MAX_PIPELINE = 256
HIGH_WATER = 64 << 10
IDLE_S = 2.0  # after which a connection without an open request may be closed, also one that never had any
COMMAND_S = 2.0  # in which a command must be whole; with a sweep's wait well within the 3 s of DAYS
STALL_S = 10.0  # in which a client must take something of what waits for it
SWEEP_S = 0.5
PAUSED_S = 0.1  # between two looks whether those have left that are not read, to let go of what they asked
HEARD_S = 0.05  # for which a client that was heard counts as there: 0.1 s after it has gone nothing may begin
MOST_ASKED = 4  # connections that are asked for their place before a newcomer has none

log = logging.getLogger("pebblepass")


class Heard(Protocol):
    """What knows how old the news of the sockets is."""

    sockets_polled_at: float
    """Loop time in seconds; every socket that was readable at this time has been read from since."""


class Host(Protocol):
    """What takes the clients' requests."""

    ready: bool

    @property
    def lag(self) -> Heard:
        """What the loop's lateness hides."""

    def request_arrived(self, command: Command, reply: Reply) -> None:
        """A request is whole."""

    def client_gone(self, reply: Reply) -> None:
        """The client that waits for this reply has left."""

    def turned_away(self, command: Command, refused: str = "", failed: str = "") -> None:
        """A request was answered at a limit, and never taken further."""


class Commands(Protocol):
    """What takes reads of many keys."""

    def arrived(self, words: list[bytes], reply: Reply, refusing: bool) -> None:
        """A command is whole."""


class Budget:
    """Bytes for long commands: they are set aside before the command is read, so that all can be finished."""

    def __init__(self, total: int) -> None:
        self._total = self._free = total
        self._waiting: deque[ClientConnection] = deque()

    def take(self, connection: ClientConnection, size: int) -> bool:
        """Set bytes aside; without enough of them the connection waits in line."""
        if size > self._free:
            self._waiting.append(connection)
            return False
        self._free -= size
        return True

    def resize(self, total: int) -> None:
        """Set another total; what is set aside stays so."""
        self._total, self._free = total, self._free + total - self._total
        self.give_back(0)

    def give_back(self, size: int) -> None:
        """Free bytes, and let those that wait go on."""
        self._free += size
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            connection = waiting.popleft()
            if not connection.closed:
                connection.reserve()


class Reply:
    """The place of one answer among those of its connection."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._held: list[bytes] = []
        self.done = False
        self.source: ValueSource | None = None
        self.request: Any = None  # the host's
        self.reserved = 0

    def send(self, data: bytes) -> None:
        """Give the whole answer, or its last part."""
        self.write(data)
        self.done, self.source = True, None
        self._connection.flush()

    def start(self, data: bytes, source: ValueSource) -> None:
        """Begin an answer that comes in parts; the source is paused while the client can't take more."""
        self.source = source
        if not self.write(data) or self._connection.blocked:
            source.pause()

    def write(self, data: bytes) -> bool:
        """Write a part once the answers ahead are written; False: it is held back."""
        connection = self._connection
        if connection.closed:
            return True
        if connection.replies[0] is not self:
            self._held.append(data)
            return False
        connection.write(data)
        return True

    @property
    def in_turn(self) -> bool:
        """Whether all answers ahead are written."""
        replies = self._connection.replies
        return bool(replies) and replies[0] is self

    @property
    def unread_ns(self) -> int:
        """Nanoseconds for which its command may have stood unread, while that command is being taken."""
        return self._connection.unread_ns

    @property
    def null(self) -> bytes:
        """The null in the client's protocol."""
        greeted = self._connection.greeted
        return b"$-1\r\n" if greeted is None or greeted.protocol == 2 else b"_\r\n"

    def awaited(self) -> bool:
        """Whether its client is there: it has been heard just now, or is looked at."""
        return self._connection.client_there()

    def abandoned(self) -> None:
        """Its request is let go already: the connection's end tells nobody of it."""
        self.request = None

    def cut_off(self) -> None:
        """End a begun answer so that the client sees that it is not whole."""
        self._connection.abort()

    def forgotten(self) -> None:
        """The host needs the command no longer."""
        self._connection.server.budget.give_back(self.reserved)
        self.reserved = 0

    def its_turn(self) -> None:
        """The answers ahead have been written."""
        for data in self._held:
            self._connection.write(data)
        self._held.clear()
        if self.source is not None and not self._connection.blocked:
            self.source.resume()


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(
        self, server: ClientServer, handed: Handed | None = None, empty_at: float | None = None
    ) -> None:
        """`handed`: what another process has begun on it; `empty_at`: when nothing stood unread on it."""
        self.server, self._handed = server, handed
        self.transport: asyncio.Transport | None = None
        self.replies: deque[Reply] = deque()
        self.blocked = self.closed = False
        self.used_at = server.loop.time()
        self._reader = CommandReader(server.many is not None)
        self.greeted: Greeted | None = None
        self._reading = True
        self._reserved = 0  # set aside for the command under way
        self._begun_at = self.used_at  # the first command's time runs from the start of the connection
        self._spoken = False  # it has brought a whole command
        self._starved = False  # waits for the budget
        self._last = False
        self._ending = False  # it is closed for the router's own end, once it has nothing open
        self._descriptor = -1
        # Danger: before the first read nothing is known, as a connection may have waited long to be accepted.
        self._heard_at, self._read_at = float("-inf"), float("inf")
        self._has_left = False
        # One that was accepted just now has come since the last look at the listener.
        self._unread_age = UnreadAge(server.lag.sockets_polled_at if empty_at is None else empty_at)
        self._reading_since = self.used_at
        self.unread_ns = 0
        """Nanoseconds for which what was read last may have stood unread."""
        self.refusing = False
        self.given = False
        """Whether it is on its way to another process."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        self._descriptor = self.transport.get_extra_info("socket").fileno()
        self.server.opened(self)
        if self._handed is not None and not self.transport.is_closing():
            self._go_on(self._handed)  # before anything further is read
            self._handed = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        self._leave()

    def eof_received(self) -> bool:
        """Take the end of the client's sending: it has gone away."""
        self._leave()
        if self.transport is not None and self.transport.get_write_buffer_size():
            # Danger: closed, it keeps its descriptor until its client takes the rest, be it never, and is in
            # no sum any longer.
            self.transport.abort()
        return False

    def _leave(self) -> None:
        if self.closed:
            return
        self.closed = True
        # Danger: one that stays listed holds its memory, fills the limit, and keeps a drain from ending.
        self.server.closed(self)
        if self._reserved:
            self.server.budget.give_back(self._reserved)
        replies, self.replies = self.replies, deque()
        for reply in replies:
            if not reply.done:
                self.server.host.client_gone(reply)

    def data_received(self, data: bytes) -> None:
        """Read what came."""
        try:
            self._read(data)
        except Exception:
            log.exception("reading a command failed")
            self.abort()

    def _read(self, data: bytes) -> None:
        reader = self._reader
        self._heard_at = self._last_heard()  # what stands behind these bytes is read a turn later
        if self._reading and self._reading_since < (heard := self.server.lag.sockets_polled_at):
            self._unread_age.emptied(heard)
        self._read_at = self.used_at = now = self.server.loop.time()
        self.unread_ns = int(self._unread_age.read(now, len(data)) * 1e9)
        fresh = not reader.need
        commands = reader.feed(data)
        if len(commands) > 1 and self.client_has_left():
            # Danger: what somebody has sent at once before going would be sent on for nobody.
            self.abort()
            return
        self._spoken = self._spoken or bool(commands)
        for words in commands:
            reply = Reply(self)
            reply.reserved, self._reserved = self._reserved, 0
            self.replies.append(reply)
            self._take(words, reply)
        if reader.broken:
            reply = Reply(self)
            self.replies.append(reply)
            self._last = True
            self._set_reading()
            reply.send(b"-ERR Protocol error: %b\r\n" % reader.broken.encode())
        elif reader.need:
            if commands or (fresh and self._spoken):
                self._begun_at = self.used_at
            if reader.need > LARGE and not self._reserved and not self._starved:
                self.reserve()
        elif self._reserved:
            self.server.budget.give_back(self._reserved)
            self._reserved = 0
        if len(self.replies) >= MAX_PIPELINE:
            self._set_reading()

    def reserve(self) -> None:
        """Set aside what the command under way needs, or wait for it."""
        self._starved = not self.server.budget.take(self, self._reader.need)
        if not self._starved:
            self._reserved = self._reader.need
            self._begun_at = self.server.loop.time()
        self._set_reading()

    def _take(self, words: list[bytes], reply: Reply) -> None:
        if len(words) == 1 and words[0].upper() == b"PING":
            reply.send(b"+PONG\r\n" if self.server.host.ready else b"-LOADING no list of servers yet\r\n")
            reply.forgotten()
            return
        try:
            command = parse_request(words)
        except UnknownCommandError:
            self._take_other(words, reply)
            return
        except ValueError as error:
            reply.send(b"-ERR %b\r\n" % str(error).encode())
            reply.forgotten()
            return
        if self.refusing or self.server.ending:
            self._last = True
            reply.send(b"-BUSY\r\n")
            self.server.host.turned_away(command, refused="connections" if self.refusing else "router ends")
            reply.forgotten()
            return
        self.server.host.request_arrived(command, reply)

    def _take_other(self, words: list[bytes], reply: Reply) -> None:
        """Take what is neither a read nor a write of one key."""
        server = self.server
        if server.many is not None and words[0].upper() == MANY:
            self._last = self._last or self.refusing
            server.many.arrived(words, reply, self.refusing)
            return
        # Loaded when the first client greets: those of the platform never do.
        from pebblepass.daemon.greetings import Greeted, greet

        if self.greeted is None:
            server.greeted += 1
            self.greeted = Greeted(server.greeted)
        try:
            answer = greet(words, self.greeted, server.host.ready, server.connected)
        except UnknownCommandError as error:
            answer = b"-ERR %b\r\n" % str(error).encode()
        self._last = self._last or self.greeted.leaves
        reply.send(answer)
        reply.forgotten()

    def write(self, data: bytes) -> None:
        """Write to the client."""
        if self.transport is not None:
            self.transport.write(data)

    def flush(self) -> None:
        """Go on to the next answer that is due."""
        replies = self.replies
        while replies and replies[0].done:
            replies.popleft()
            if replies:
                replies[0].its_turn()
        if not replies:
            self.used_at = self.server.loop.time()
        if not replies and self._last and self.transport is not None:
            # Danger: a request that has come meanwhile is taken, and the reset that answers unread bytes may
            # take the last answer with it.
            if not (self._ending and self.has_unread()):
                self.transport.close()
        elif not replies and self.server.give is not None:
            self.server.loop.call_soon(self.hand_on)  # the answer has still to leave
        elif not self._reading:
            self._set_reading()

    def pause_writing(self) -> None:
        """The client does not take what it asked for: read no more for it, from it or for its answer."""
        self.blocked = True
        self.used_at = self.server.loop.time()
        self._set_reading()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.pause()

    def resume_writing(self) -> None:
        """The client takes again."""
        self.blocked = False
        self._set_reading()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.resume()

    def _set_reading(self) -> None:
        full = len(self.replies) >= MAX_PIPELINE
        wanted = not (self.blocked or self._starved or self._reader.broken or full or self.given)
        if wanted == self._reading or self.transport is None or self.transport.is_closing():
            return
        if wanted and self.client_has_left():
            # Danger: what it sent before it left would be sent on, however long ago that was.
            self.server.loop.call_soon(self.abort)
            return
        self._reading = wanted
        if wanted:
            self._read_at = self._reading_since = self.server.loop.time()
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            self.server.watch_paused()

    def client_has_left(self) -> bool:
        """Whether its end, or a reset, stands in the kernel, perhaps behind bytes that nobody has read."""
        if self.transport is None or self.transport.is_closing():
            return False
        found = self.server.poll_socket(self._descriptor, READ_EVENTS)
        if peer_has_closed(found):
            return True
        self._heard_at = self.server.loop.time()
        if not found & select.POLLIN:
            self._unread_age.emptied(self._heard_at)
        return False

    def _last_heard(self) -> float:
        """A time before which its client had not gone, in seconds of the loop."""
        heard = self.server.lag.sockets_polled_at
        return max(heard, self._heard_at) if self._reading and self._read_at < heard else self._heard_at

    def client_there(self) -> bool:
        """Whether an attempt may begin for its client: where the last news is old, the kernel is asked."""
        if self._has_left or self.closed or self.transport is None or self.transport.is_closing():
            return False
        if self.server.loop.time() - self._last_heard() <= HEARD_S:
            return True
        if self.client_has_left():
            self._has_left = True
            # In a turn of its own: whoever asks is in the midst of another request's affairs.
            self.server.loop.call_soon(self.abort)
            return False
        return True

    def has_unread(self) -> bool:
        """Whether a client that is there has sent something that will be read in the next turn."""
        if not self._reading or self.transport is None or self.transport.is_closing():
            return False
        found = self.server.poll_socket(self._descriptor, READ_EVENTS)
        return bool(found & select.POLLIN) and not peer_has_closed(found)

    @property
    def paused(self) -> bool:
        """Whether its end would not be heard."""
        return not (self._reading or self.given or self.closed)

    @property
    def idle(self) -> bool:
        """Whether it stands between requests."""
        return not self.replies and not self._reader.need

    @property
    def standing(self) -> Standing:
        """Where it stands, for whoever looks for a place."""
        if self.replies or self.given:
            return Standing.BUSY
        if self._reader.need:
            return Standing.MIDWAY
        return Standing.BETWEEN if self._spoken else Standing.NEW

    def finish(self, even_midway: bool) -> None:
        """Close once nothing is open; `even_midway`: also in the midst of a command."""
        if self.transport is None or self.closed:
            return
        new = not (self._spoken or self.replies)
        if not self.replies and (even_midway or not (self._reader.need or new)):
            self._last = self._ending = True
            if not self.has_unread():
                self.transport.close()
        elif self.replies and (even_midway or not self._reader.need):
            self._last = self._ending = True

    def hand_on(self) -> None:
        """Give it to another process now, if nothing is open and little of a command has come.

        Else it is asked for again when its last answer has been given.
        """
        unfit = (
            self._last
            or self.given
            or self.closed
            or self.blocked
            or self._starved
            or self._reserved
            or self.refusing
        )
        if self.transport is None or self.transport.is_closing() or unfit or self.replies:
            return
        # Loaded with the first hand-over: where there never is one it costs nothing.
        from pebblepass.handover.messages import MOST_HELD

        if self.server.give is None or self._reader.held_bytes > MOST_HELD:
            return
        # Danger: answers that the kernel has not taken are lost with this process.
        if self.transport.get_write_buffer_size():
            return
        if self._reading:
            self.transport.pause_reading()
            self._reading = False
        self.given = True
        self.server.give(self)

    @property
    def descriptor(self) -> int:
        """The number of its descriptor."""
        assert self.transport is not None
        held: int = self.transport.get_extra_info("socket").fileno()
        return held

    def handed(self) -> Handed:
        """What goes with it."""
        from pebblepass.handover.messages import Handed

        begun = max(int((self.server.loop.time() - self._begun_at) * 1000), 0)
        greeted = self.greeted
        told = (greeted.protocol, greeted.name, greeted.number) if greeted is not None else (0, b"", 0)
        return Handed(self._reader.held, begun, self._spoken, *told)

    def taken_back(self) -> None:
        """The other process could not have it."""
        self.given = False
        self._set_reading()

    def left(self) -> None:
        """The other process has it: let go of the descriptor, and of nothing else."""
        self.closed = True
        self.server.closed(self)
        if self.transport is not None:
            self.transport.abort()

    def _go_on(self, handed: Handed) -> None:
        self._spoken = handed.spoken
        if handed.protocol:
            from pebblepass.daemon.greetings import Greeted

            self.server.greeted += 1
            self.greeted = Greeted(handed.number, handed.protocol, handed.name)
        if handed.held:
            unread_age, self._unread_age = self._unread_age, UnreadAge(self.used_at)
            self.data_received(handed.held)
            self._unread_age = unread_age  # nothing has been read from the socket itself
            self._begun_at = self.server.loop.time() - handed.begun_ms / 1000

    def abort(self) -> None:
        """Break the connection."""
        if self.transport is not None:
            self.transport.abort()
        self._leave()

    def check(self, now: float) -> None:
        """Close it if the client is too slow."""
        if self.given:
            return
        if self.blocked:
            assert self.transport is not None
            size = self.transport.get_write_buffer_size()
            if size != self._unsent:
                self._unsent, self.used_at = size, now
            if now - self.used_at > STALL_S:
                log.warning("a client takes nothing of its answer")
                self.abort()
            return
        if self.idle:
            # Guards the limit and the memory against clients that connect and say nothing, or ask once
            # and keep their connection for good.
            if now - self.used_at > IDLE_S and self.transport is not None and not self.has_unread():
                self.transport.close()
            return
        # One that waits for bytes to be set aside is owed an answer in the same time.
        midway = self._reader.need and not self.replies
        if midway and now - self._begun_at > COMMAND_S:
            log.warning("a client does not finish its command")
            # Guards those that wait for bytes behind it: they are checked next, and have waited as long.
            reserved, self._reserved = self._reserved, 0
            self.server.budget.give_back(reserved)
            self._last = True
            reply = Reply(self)
            self.replies.append(reply)
            reply.send(b"-ERR Protocol error: command not finished in time\r\n")

    _unsent = 0


class ClientServer:
    """The listener and all clients' connections, within their share of descriptors."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: Host, limit: int, budget: int, refusers: int = REFUSERS
    ) -> None:
        """`limit` connections are served; `refusers` more are told that they are not."""
        self.loop, self.host, self._limit, self._refusers = loop, host, limit, refusers
        self.poll_socket, self.lag = socket_poller(loop).poll, host.lag
        self.ending = False
        """Whether what still comes is refused: the router ends before it could be answered."""
        self._paused_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.many: Commands | None = None
        self.greeted = 0
        """Connections on which a client has said something beside requests."""
        self.budget = Budget(budget)
        self._connections: dict[ClientConnection, None] = {}
        self._listener: asyncio.Server | None = None
        self.give: Callable[[ClientConnection], None] | None = None
        """Takes each connection that has nothing open, for another process, where there is one."""
        self.draining = False
        """Whether nobody is accepted any longer."""
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    @property
    def limit(self) -> int:
        """Most connections that are served at a time."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit
        while len(self._connections) > limit and (goes := self._goes()) is not None:
            goes.abort()

    def _goes(self) -> ClientConnection | None:
        """Who makes room; never one that has come or written just now, be it that nobody has read it yet."""
        now = self.loop.time()
        for _ in range(MOST_ASKED):
            goes = makes_room((held, held.standing, now - held.used_at) for held in self._connections)
            if goes is None or not goes.has_unread():
                return goes
            goes.used_at = now
        return None

    def watch_paused(self) -> None:
        """Look now and then whether clients have left whose connections are not read."""
        if self._paused_timer is None:
            self._paused_timer = self.loop.call_later(PAUSED_S, self._look_at_paused)

    def _look_at_paused(self) -> None:
        self._paused_timer = None
        paused = [connection for connection in self._connections if connection.paused]
        for connection in paused:
            if connection.client_has_left():
                connection.abort()
        if paused:
            self.watch_paused()

    async def adopt(self, sock: socket.socket, handed: Handed) -> None:
        """Go on with a connection of another process."""
        await self._adopt(sock, functools.partial(ClientConnection, self, handed, self.lag.sockets_polled_at))

    async def listen(self, at: Address | socket.socket) -> None:
        """Accept clients at this address, or on a socket that listens already."""
        self.draining = False
        make = functools.partial(ClientConnection, self)
        if isinstance(at, socket.socket):
            self._listener = await self.loop.create_server(make, sock=at, backlog=BACKLOG)
        else:
            self._listener = await self.loop.create_server(make, *at, backlog=BACKLOG)

    def opened(self, connection: ClientConnection) -> None:
        """Take a new connection in, within the limit."""
        if len(self._connections) >= self._limit:
            goes = self._goes()
            if goes is not None:
                goes.abort()
            elif len(self._connections) < self._limit + self._refusers:
                connection.refusing = True
            else:
                connection.abort()
                return
        self._connections[connection] = None

    def closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._connections.pop(connection, None)

    @property
    def listening(self) -> bool:
        """Whether clients are accepted."""
        return self._listener is not None

    @property
    def connected(self) -> int:
        """How many connections there are."""
        return len(self._connections)

    def accept_rest(self) -> bool:
        """Take in one whom the kernel has accepted for this listener, which is about to close.

        Returns whether there may be more, for a later turn of the loop.
        """
        # Danger: they have been let in, and may have asked: closed unheard, their requests are lost. And all
        # at once, they would take the descriptors of dials and of discovery until they have their answer.
        if self._listener is None:
            return False
        return accept_pending(self.loop, self._listener, self._take_in, 1 - len(self._tasks))

    def _take_in(self, sock: socket.socket) -> None:
        make = functools.partial(ClientConnection, self, None, self.lag.sockets_polled_at)
        task = self.loop.create_task(self._adopt(sock, make))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _adopt(self, sock: socket.socket, make: Callable[[], ClientConnection]) -> None:
        try:
            await self.loop.connect_accepted_socket(make, sock)
        except OSError:
            sock.close()

    def stop_accepting(self) -> None:
        """Accept nobody any longer."""
        self.draining = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def hand_on(self, give: Callable[[ClientConnection], None]) -> None:
        """Give every connection away, now or once it has nothing open."""
        self.give = give
        for connection in list(self._connections):
            connection.hand_on()

    def finish(self, even_midway: bool) -> None:
        """Close all connections once they have nothing open."""
        self.give = None
        for connection in list(self._connections):
            connection.finish(even_midway)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        for connection in list(self._connections):
            connection.check(now)

    def close(self) -> None:
        """Break all connections."""
        self._timer.cancel()
        if self._paused_timer is not None:
            self._paused_timer.cancel()
        self.stop_accepting()
        for connection in list(self._connections):
            connection.abort()
