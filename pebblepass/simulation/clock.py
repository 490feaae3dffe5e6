"""A virtual clock over real loopback sockets: an event loop on which the same run comes out the same twice.

Both ends of every connection are in this process, so the loop need not ask the kernel what is ready: it
counts what each end has written and the other not yet read, the connections that wait to be accepted, and
how each end was closed. A socket is ready when that count says so, in the order in which the sockets were
made, and a read waits until the kernel has brought all that was counted. Time stands still while any socket
is ready and jumps to the next timer when none is; nothing ever sleeps.

The bytes still go through the kernel, and descriptors, transports and protocols are asyncio's own.
"""

from __future__ import annotations

import asyncio
import errno
import ipaddress
import select
import selectors
import socket
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any, cast

START_S = 1000.0  # of the virtual clock: not 0, which means 'long ago' in the list of servers
UNIX_START_NS = 1_700_000_000 * 10**9  # the virtual Unix time of the start
WINDOW = 64 << 10  # bytes under way in one direction; under the kernel's own smallest buffers
ARRIVAL_MS = 10_000  # of real time, for the kernel to bring what was sent on loopback
BACKLOG = 4096
LINGER_0 = b"\x01\x00\x00\x00\x00\x00\x00\x00"

Address = tuple[str, int]


class StalledError(RuntimeError):
    """Nothing is ready and no timer is set: the run would stand still for ever."""


class Half:
    """One direction of a connection: what was written to it and is not yet read, and how it ended."""

    __slots__ = ("bytes", "ended", "reader", "reset", "writer")

    def __init__(self) -> None:
        self.bytes = 0
        self.ended = self.reset = False
        self.reader: CountedSocket | None = None
        self.writer: CountedSocket | None = None

    @property
    def room(self) -> int:
        """Bytes that may be written now."""
        return WINDOW - self.bytes


class CountedSocket(socket.socket):
    """A TCP socket that counts what it sends and reads; made by the network below only."""

    network: Network
    number: int
    incoming: Half | None = None
    outgoing: Half | None = None
    pending: deque[tuple[Half, Half]] | None = None
    """A listener's: the two directions of each connection that waits to be accepted."""
    address: Address | None = None

    def connect(self, address: Any) -> None:
        """Connect to a listener of this network; the kernel's handshake is waited out."""
        self.network.connect(self, (address[0], address[1]))

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept the connection that has waited longest."""
        if not self.pending:
            raise BlockingIOError(errno.EAGAIN, "no connection waits")
        self.network.arrived(self, select.POLLIN)
        fd, address = self._accept()  # type: ignore[attr-defined]
        accepted = self.network.adopt(fd)
        accepted.incoming, accepted.outgoing = self.pending.popleft()
        accepted.incoming.reader = accepted.outgoing.writer = accepted
        self.network.touch(accepted)
        return accepted, address

    def send(self, data: Any, flags: int = 0) -> int:
        """Send as much as the window has room for."""
        out, back = self.outgoing, self.incoming
        if out is None or back is None:
            raise OSError(errno.ENOTCONN, "not connected")
        if back.reset or out.ended:
            raise BrokenPipeError(errno.EPIPE, "the connection is over")
        if out.reader is None and out.reset:
            # As on a real network: what reaches a closed socket is thrown away and answered with a reset.
            back.reset = True
            self.network.touch(self)
            return len(data)
        part = memoryview(data)[: out.room]
        if not part:
            raise BlockingIOError(errno.EAGAIN, "the window is full")
        sent = super().send(part, flags)
        if sent != len(part):
            raise RuntimeError(f"the kernel took {sent} of {len(part)} bytes")
        out.bytes += sent
        if out.reader is not None:
            self.network.touch(out.reader)
        return sent

    def sendmsg(self, buffers: Any, *_: Any) -> int:
        """Send from several buffers; asyncio does so from Python 3.12 on."""
        return self.send(b"".join(buffers))

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Read all that was counted, up to `size`, however many pieces the kernel brings it in."""
        half = self.incoming
        if half is None:
            raise OSError(errno.ENOTCONN, "not connected")
        wanted = min(size, half.bytes)
        if not wanted:
            if half.reset:
                raise ConnectionResetError(errno.ECONNRESET, "reset by the other end")
            if half.ended:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing has come")
        parts, missing = [], wanted
        while missing:
            self.network.arrived(self, select.POLLIN)
            part = super().recv(missing, flags)
            parts.append(part)
            missing -= len(part)
        half.bytes -= wanted
        if half.writer is not None:
            self.network.touch(half.writer)
        return b"".join(parts)

    def shutdown(self, how: int) -> None:
        """End one or both directions."""
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and self.outgoing is not None:
            self._end(self.outgoing)
        super().shutdown(how)

    def close(self) -> None:
        """Close; with bytes unread, or after `SO_LINGER` of 0, the other end sees a reset."""
        if self.fileno() >= 0:
            self.network.forget(self)
            if self.incoming is not None and self.outgoing is not None:
                linger = self.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
                if self.incoming.bytes or linger == LINGER_0:
                    self.outgoing.reset = True
                if self.incoming.ended and self.outgoing.reader is None:
                    # An orderly end leaves a port in TIME_WAIT for a minute, and thousands use up the range.
                    # The other end has closed already and reads no more: a reset loses nothing.
                    self.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
                self._end(self.outgoing)
                self.incoming.reader = self.outgoing.writer = None
                self.incoming.reset = True  # for who still writes to it
        super().close()
        if self.address is not None:
            address, self.address = self.address, None
            self.network.keep(address)

    def _end(self, half: Half) -> None:
        half.ended = True
        if half.reader is not None:
            self.network.touch(half.reader)

    @property
    def readable(self) -> bool:
        """Whether a read, or an accept, would give something."""
        if self.pending is not None:
            return bool(self.pending)
        half = self.incoming
        return half is not None and (half.bytes > 0 or half.ended or half.reset)

    @property
    def writable(self) -> bool:
        """Whether a write would be taken, or fail."""
        out, back = self.outgoing, self.incoming
        if out is None or back is None:
            return False
        return out.room > 0 or back.reset or out.reset


class Network:
    """Every counted socket of one loop, and the listeners they connect to."""

    def __init__(self) -> None:
        self.by_fd: dict[int, CountedSocket] = {}
        self.listeners: dict[Address, CountedSocket] = {}
        self.touched: dict[int, CountedSocket] = {}
        """Sockets, by number, whose state may have changed since they were last seen not to be ready."""
        self.silent: set[Address] = set()
        """Addresses of machines that are cut off: connections to them never come up."""
        self._numbers = 0
        self._kept: dict[Address, socket.socket] = {}

    def adopt(self, fd: int | None = None) -> CountedSocket:
        """Make a socket, or take over a descriptor that the kernel has accepted."""
        made = CountedSocket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
        made.setblocking(False)
        if fd is None:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                made.setsockopt(socket.SOL_SOCKET, option, 4 * WINDOW)
        made.network, made.number = self, self._numbers
        self._numbers += 1
        self.by_fd[made.fileno()] = made
        return made

    def listen(self, host: str, port: int, backlog: int) -> CountedSocket:
        """Bind a listener; raises OSError where the address can't be had."""
        made = self.adopt()
        if (kept := self._kept.pop((host, port), None)) is not None:
            kept.close()
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            made.bind((host, port))
            socket.socket.listen(made, max(backlog, BACKLOG))
        except OSError:
            made.close()
            raise
        made.pending = deque()
        made.address = (host, made.getsockname()[1])
        self.listeners[made.address] = made
        return made

    def keep(self, address: Address) -> None:
        """Keep the address of a listener that has closed, until it listens again.

        Guards against the kernel, which gives a port at which nobody listens to any outgoing connection.
        """
        kept = self._kept[address] = socket.socket()
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with suppress(OSError):
            kept.bind(address)

    def close(self) -> None:
        """Give up all addresses."""
        for kept in self._kept.values():
            kept.close()
        self._kept.clear()

    def connect(self, client: CountedSocket, address: Address) -> None:
        """Carry out a connect; it is refused, comes up at once, or never does."""
        if address in self.silent:
            raise BlockingIOError(errno.EINPROGRESS, "the machine is silent")
        listener = self.listeners.get(address)
        if listener is None or listener.pending is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "nobody listens")
        try:
            socket.socket.connect(client, address)
        except BlockingIOError:
            self.arrived(client, select.POLLOUT)
            if code := client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(code, "connect failed") from None
        to, back = Half(), Half()
        client.outgoing, client.incoming = to, back
        to.writer = back.reader = client
        listener.pending.append((to, back))
        self.touch(listener)

    def arrived(self, who: CountedSocket, events: int) -> None:
        """Wait, in real time, until the kernel has brought what the count says is under way."""
        poll = select.poll()
        poll.register(who.fileno(), events)
        if not poll.poll(ARRIVAL_MS):
            raise RuntimeError("what was sent on loopback has not come")

    def touch(self, who: CountedSocket) -> None:
        """Look at this socket at the next turn."""
        self.touched[who.number] = who

    def forget(self, who: CountedSocket) -> None:
        """Take a socket out that closes; connections that wait at a listener are reset."""
        self.by_fd.pop(who.fileno(), None)
        self.touched.pop(who.number, None)
        if who.address is not None:
            self.listeners.pop(who.address, None)
        for to, back in who.pending or ():
            to.reset = back.reset = True
            if back.reader is not None:
                self.touch(back.reader)


class CountedSelector(selectors.BaseSelector):
    """Tells readiness by the network's count, and moves the time where there is none."""

    def __init__(self, network: Network, move: Callable[[float], None]) -> None:
        self._network, self._move = network, move
        self._keys: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch a descriptor; those that are not counted (the loop's own pipe) are never ready."""
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if fd in self._keys:
            raise KeyError(f"{fd} is registered")
        key = self._keys[fd] = selectors.SelectorKey(fileobj, fd, events, data)
        if fd in self._network.by_fd:
            self._network.touch(self._network.by_fd[fd])
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Watch a descriptor no longer."""
        return self._keys.pop(fileobj if isinstance(fileobj, int) else fileobj.fileno())

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch a descriptor for something else."""
        self.unregister(fileobj)
        return self.register(fileobj, events, data)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """What is watched, by descriptor."""
        return self._keys

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """The key of a descriptor; raises KeyError where it is not watched."""
        return self._keys[fileobj if isinstance(fileobj, int) else fileobj.fileno()]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, in the order in which the sockets were made; else move the time."""
        ready = []
        touched = self._network.touched
        for number in sorted(touched):
            who = touched[number]
            key = self._keys.get(who.fileno())
            events = 0
            if key is not None:
                if key.events & selectors.EVENT_READ and who.readable:
                    events |= selectors.EVENT_READ
                if key.events & selectors.EVENT_WRITE and who.writable:
                    events |= selectors.EVENT_WRITE
            if key is not None and events:
                ready.append((key, events))
            else:
                del touched[number]
        if not ready:
            if timeout is None:
                raise StalledError("nothing is ready and no timer is set")
            if timeout > 0:
                self._move(timeout)
        return ready

    def close(self) -> None:
        """Watch nothing."""
        self._keys.clear()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time; TCP on IPv4 loopback addresses only."""

    def __init__(self) -> None:
        self.network = Network()
        self._now = START_S
        super().__init__(CountedSelector(self.network, self._move))
        self._clock_resolution = 1e-9  # asyncio's: timers due within it are run

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def time_ns(self) -> int:
        """Return the virtual time in nanoseconds."""
        return int(self._now * 1e9)

    def unix_ns(self) -> int:
        """Return the virtual Unix time in nanoseconds."""
        return UNIX_START_NS + int((self._now - START_S) * 1e9)

    def close(self) -> None:
        """End the loop, and give up the addresses held."""
        super().close()
        self.network.close()

    def poll_socket(self, descriptor: int, events: int) -> int:
        """Return which of these events of `poll`, or errors, are pending at a simulated descriptor."""
        held = self.network.by_fd.get(descriptor)
        half = held.incoming if held is not None else None
        if half is None:
            return select.POLLNVAL
        found = select.POLLIN if half.bytes or half.ended or half.reset else 0
        found |= select.POLLRDHUP if half.ended or half.reset else 0
        return found & events | (select.POLLERR | select.POLLHUP if half.reset else 0)

    def accept_pending(self, listener: Any, on_accept: Callable[[socket.socket], None], limit: int) -> int:
        """Accept up to `limit` connections from a listener's backlog; returns how many."""
        listening = self.network.by_fd[listener.fileno()]
        accepted = 0
        while listening.pending and accepted < limit:
            on_accept(listening.accept()[0])
            accepted += 1
        return accepted

    def stall(self, seconds: float) -> None:
        """Let time go by within the callback that calls this, as work that holds up the loop does."""
        self._move(seconds)

    def set_silent(self, address: Address, on: bool) -> None:
        """Cut a machine off: connections to this address never come up until it is back."""
        (self.network.silent.add if on else self.network.silent.discard)(address)

    def _move(self, seconds: float) -> None:
        self._now += seconds

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, *, backlog: int = 100, **_: Any
    ) -> asyncio.Server:
        """Listen on a loopback address."""
        listener = self.network.listen(_loopback(host), port or 0, backlog)
        return await super().create_server(protocol_factory, sock=listener, backlog=BACKLOG)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect to a loopback address; raises OSError where nobody listens."""
        made = self.network.adopt()
        try:
            await self.sock_connect(made, (_loopback(host), port))
            return await super().create_connection(protocol_factory, sock=made)
        except BaseException:
            made.close()
            raise

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> asyncio.Future[Any]:  # type: ignore[override]
        """Do the work at once: another thread's would take virtual time by chance."""
        done: asyncio.Future[Any] = self.create_future()
        try:
            done.set_result(func(*args))
        except Exception as error:
            done.set_exception(error)
        return done

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connect; to a silent machine this never returns."""
        try:
            cast(CountedSocket, sock).connect(address)
        except BlockingIOError:
            await self.create_future()


def _loopback(host: Any) -> str:
    try:
        if ipaddress.IPv4Address(host).is_loopback:
            return str(host)
    except ValueError:
        pass
    raise OSError(errno.EADDRNOTAVAIL, f"{host!r} is no loopback address")
