"""The simulated network: real loopback sockets whose bytes and connections are counted.

Both ends of every connection are in this process. A socket counts the bytes that each end has written and the
other has not read, the connections that wait to be accepted, and how each end was closed. A read waits until
the kernel has delivered all counted bytes. Connections of other processes are closed.
"""

from __future__ import annotations

import errno
import os
import select
import socket
from collections import deque
from contextlib import suppress
from typing import Any, NamedTuple

WINDOW = 64 << 10  # bytes in transit in one direction; below the kernel's smallest buffers
ARRIVAL_MS = 10_000  # of real time, for the kernel to deliver bytes on loopback
BACKLOG = 4096
LINGER_0 = b"\x01\x00\x00\x00\x00\x00\x00\x00"

Address = tuple[str, int]


class DeliveryError(RuntimeError):
    """The kernel did not deliver what was sent within this process; the message is one line."""


class Direction:
    """One direction of a connection: the bytes written and not yet read, and how it was closed."""

    __slots__ = ("bytes", "closed", "reader", "reset", "writer")

    def __init__(self) -> None:
        self.bytes = 0
        self.closed = self.reset = False
        self.reader: CountedSocket | None = None
        self.writer: CountedSocket | None = None

    @property
    def room(self) -> int:
        """The number of bytes that may be written now."""
        return WINDOW - self.bytes


class PendingConnection(NamedTuple):
    """A connection of this network that its listener has not accepted."""

    client_address: Address
    """The address of the end that has connected; identifies the connection in the kernel's backlog."""
    from_client: Direction
    to_client: Direction


class CountedSocket(socket.socket):
    """A TCP socket that counts the bytes it sends and reads; created by `Network` only."""

    network: Network
    number: int
    incoming: Direction | None = None
    outgoing: Direction | None = None
    pending: deque[PendingConnection] | None = None
    """For a listener: the connections that wait to be accepted."""
    accepted_early: dict[Address, int] | None = None
    """For a listener: descriptors that the kernel has accepted before their turn, by client address."""
    address: Address | None = None

    def connect(self, address: Any) -> None:
        """Connect to a listener of this network; waits for the kernel's handshake."""
        self.network.connect(self, (address[0], address[1]))

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept the connection that has waited longest."""
        if not self.pending:
            raise BlockingIOError(errno.EAGAIN, "no connection is waiting")
        connection = self.pending.popleft()
        accepted = self.network.adopt(self._accept_from(connection.client_address))
        accepted.incoming, accepted.outgoing = connection.from_client, connection.to_client
        accepted.incoming.reader = accepted.outgoing.writer = accepted
        self.network.touch(accepted)
        return accepted, connection.client_address

    def _accept_from(self, client_address: Address) -> int:
        """Return the descriptor of the connection from this address; close those of other processes."""
        assert self.pending is not None
        assert self.accepted_early is not None
        while client_address not in self.accepted_early:
            self.network.wait_for_kernel(self, select.POLLIN)
            try:
                fd, address = self._accept()  # type: ignore[attr-defined]
            except (BlockingIOError, ConnectionAbortedError):
                continue  # the connection of another process was reset before it was accepted
            waiting = [client_address, *(connection.client_address for connection in self.pending)]
            if address in waiting:
                self.accepted_early[address] = fd
            else:
                # Warning: a health check or a port scan of another process may connect too. Paired with a
                # connection of this network, it would never deliver the counted bytes.
                os.close(fd)
        return self.accepted_early.pop(client_address)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send as much as the window has room for."""
        outgoing, incoming = self.outgoing, self.incoming
        if outgoing is None or incoming is None:
            raise OSError(errno.ENOTCONN, "not connected")
        if incoming.reset or outgoing.closed:
            raise BrokenPipeError(errno.EPIPE, "the connection is closed")
        if outgoing.reader is None and outgoing.reset:
            # As in TCP, bytes that reach a closed socket are discarded and answered with a reset.
            incoming.reset = True
            self.network.touch(self)
            return len(data)
        part = memoryview(data)[: outgoing.room]
        if not part:
            raise BlockingIOError(errno.EAGAIN, "the window is full")
        sent = super().send(part, flags)
        if sent != len(part):
            raise RuntimeError(f"the kernel accepted only {sent} of {len(part)} bytes")
        outgoing.bytes += sent
        if outgoing.reader is not None:
            self.network.touch(outgoing.reader)
        return sent

    def sendmsg(self, buffers: Any, *_: Any) -> int:
        """Send from several buffers; asyncio calls this from Python 3.12 on."""
        return self.send(b"".join(buffers))

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Read all counted bytes, up to `size`, in however many pieces the kernel delivers them."""
        direction = self.incoming
        if direction is None:
            raise OSError(errno.ENOTCONN, "not connected")
        wanted = min(size, direction.bytes)
        if not wanted:
            if direction.reset:
                raise ConnectionResetError(errno.ECONNRESET, "reset by the other end")
            if direction.closed:
                return b""
            raise BlockingIOError(errno.EAGAIN, "no bytes to read")
        parts, missing = [], wanted
        while missing:
            self.network.wait_for_kernel(self, select.POLLIN)
            part = super().recv(missing, flags)
            if not part:
                raise self.network.fail(f"a connection ended {missing} bytes early")
            parts.append(part)
            missing -= len(part)
        direction.bytes -= wanted
        if direction.writer is not None:
            self.network.touch(direction.writer)
        return b"".join(parts)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        """Read into a buffer, as `recv` does."""
        view = memoryview(buffer)
        data = self.recv(size or len(view), flags)
        view[: len(data)] = data
        return len(data)

    def shutdown(self, how: int) -> None:
        """Close one or both directions."""
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and self.outgoing is not None:
            self._close_direction(self.outgoing)
        super().shutdown(how)

    def close(self) -> None:
        """Close the socket; the other end sees a reset if bytes are unread or `SO_LINGER` is 0."""
        if self.fileno() >= 0:
            self.network.forget(self)
            if self.incoming is not None and self.outgoing is not None:
                linger = self.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
                if self.incoming.bytes or linger == LINGER_0:
                    self.outgoing.reset = True
                if self.incoming.closed and self.outgoing.reader is None:
                    # An orderly close leaves a port in TIME_WAIT for a minute, and thousands exhaust the port
                    # range. The other end has closed already and reads no more, so a reset loses no bytes.
                    self.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
                self._close_direction(self.outgoing)
                self.incoming.reader = self.outgoing.writer = None
                self.incoming.reset = True  # so that later writes of the other end fail
        super().close()
        if self.address is not None:
            address, self.address = self.address, None
            self.network.reserve(address)

    def _close_direction(self, direction: Direction) -> None:
        direction.closed = True
        if direction.reader is not None:
            self.network.touch(direction.reader)

    @property
    def readable(self) -> bool:
        """Whether a read or an accept would succeed."""
        if self.pending is not None:
            return bool(self.pending)
        direction = self.incoming
        return direction is not None and (direction.bytes > 0 or direction.closed or direction.reset)

    @property
    def writable(self) -> bool:
        """Whether a write would succeed or fail, and not block."""
        outgoing, incoming = self.outgoing, self.incoming
        if outgoing is None or incoming is None:
            return False
        return outgoing.room > 0 or incoming.reset or outgoing.reset


class Network:
    """The sockets and listeners of one loop."""

    def __init__(self) -> None:
        self.by_fd: dict[int, CountedSocket] = {}
        self.listeners: dict[Address, CountedSocket] = {}
        self.touched: dict[int, CountedSocket] = {}
        """Sockets, by number, that may have become ready since they were last found not ready."""
        self.silent: set[Address] = set()
        """Addresses of unreachable machines: connections to them are never established."""
        self.failure: DeliveryError | None = None
        """Why the run can't continue. Raised by the loop: transports handle the errors of their sockets."""
        self._numbers = 0
        self._reserved: dict[Address, socket.socket] = {}

    def adopt(self, fd: int | None = None) -> CountedSocket:
        """Create a socket, or wrap a descriptor that the kernel has accepted."""
        created = CountedSocket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
        created.setblocking(False)
        if fd is None:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                created.setsockopt(socket.SOL_SOCKET, option, 4 * WINDOW)
        created.network, created.number = self, self._numbers
        self._numbers += 1
        self.by_fd[created.fileno()] = created
        return created

    def listen(self, host: str, port: int, backlog: int) -> CountedSocket:
        """Bind a listener; raises OSError where the address is not available."""
        created = self.adopt()
        if (reserved := self._reserved.pop((host, port), None)) is not None:
            reserved.close()
        try:
            created.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            created.bind((host, port))
            socket.socket.listen(created, max(backlog, BACKLOG))
        except OSError:
            created.close()
            raise
        created.pending, created.accepted_early = deque(), {}
        created.address = (host, created.getsockname()[1])
        self.listeners[created.address] = created
        return created

    def reserve(self, address: Address) -> None:
        """Reserve the address of a closed listener until it listens again.

        Otherwise the kernel may use the free port for an outgoing connection.
        """
        reserved = self._reserved[address] = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with suppress(OSError):
            reserved.bind(address)

    def close(self) -> None:
        """Release all reserved addresses."""
        for reserved in self._reserved.values():
            reserved.close()
        self._reserved.clear()

    def connect(self, client: CountedSocket, address: Address) -> None:
        """Connect a socket; this is refused, succeeds at once, or never completes."""
        if address in self.silent:
            raise BlockingIOError(errno.EINPROGRESS, "the machine is unreachable")
        listener = self.listeners.get(address)
        if listener is None or listener.pending is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "no listener")
        try:
            socket.socket.connect(client, address)
        except BlockingIOError:
            self.wait_for_kernel(client, select.POLLOUT)
            if code := client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(code, "connect failed") from None
        outgoing, incoming = Direction(), Direction()
        client.outgoing, client.incoming = outgoing, incoming
        outgoing.writer = incoming.reader = client
        listener.pending.append(PendingConnection(client.getsockname(), outgoing, incoming))
        self.touch(listener)

    def wait_for_kernel(self, sock: CountedSocket, events: int) -> None:
        """Wait, in real time, until the kernel has delivered bytes or connections that are counted."""
        poll = select.poll()
        poll.register(sock.fileno(), events)
        if not poll.poll(ARRIVAL_MS):
            raise self.fail("the kernel has not delivered what was sent on loopback")

    def fail(self, reason: str) -> DeliveryError:
        """Make the loop raise an error in its next iteration; return it, to be raised by the caller too."""
        self.failure = self.failure or DeliveryError(reason)
        return self.failure

    def touch(self, sock: CountedSocket) -> None:
        """Check the readiness of this socket in the next iteration of the loop."""
        self.touched[sock.number] = sock

    def forget(self, sock: CountedSocket) -> None:
        """Remove a socket that closes; connections that wait at a listener are reset."""
        self.by_fd.pop(sock.fileno(), None)
        self.touched.pop(sock.number, None)
        if sock.address is not None:
            self.listeners.pop(sock.address, None)
        for connection in sock.pending or ():
            connection.from_client.reset = connection.to_client.reset = True
            if connection.to_client.reader is not None:
                self.touch(connection.to_client.reader)
        for fd in (sock.accepted_early or {}).values():
            os.close(fd)
