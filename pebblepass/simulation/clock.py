"""An event loop with a virtual clock and deterministic readiness, over the simulated network.

The loop computes readiness from the network's counts and does not poll the kernel. Ready sockets are reported
in the order of their creation. The clock stops while any socket is ready, and jumps to the next timer when
none is; the loop never sleeps.

The bytes go through the kernel; descriptors, transports and protocols are those of asyncio.
"""

from __future__ import annotations

import asyncio
import errno
import ipaddress
import select
import selectors
import socket
from collections.abc import Callable, Mapping
from typing import Any, cast

from pebblepass.simulation.network import BACKLOG, Address, CountedSocket, Network

START_S = 1000.0  # of the virtual clock; not 0, which the list of servers uses for a time long ago
UNIX_START_NS = 1_700_000_000 * 10**9  # the virtual Unix time at the start


class StalledError(RuntimeError):
    """No socket is ready and no timer is set, so the run would never continue."""


class CountedSelector(selectors.BaseSelector):
    """Reports readiness from the counts of the network, and advances the clock when no socket is ready."""

    def __init__(self, network: Network, advance: Callable[[float], None]) -> None:
        self._network, self._advance = network, advance
        self._keys: dict[int, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch a descriptor; one that is not a counted socket (the loop's own pipe) is never ready."""
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if fd in self._keys:
            raise KeyError(f"{fd} is registered")
        key = self._keys[fd] = selectors.SelectorKey(fileobj, fd, events, data)
        if fd in self._network.by_fd:
            self._network.touch(self._network.by_fd[fd])
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Stop watching a descriptor."""
        return self._keys.pop(fileobj if isinstance(fileobj, int) else fileobj.fileno())

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change the events that a descriptor is watched for."""
        self.unregister(fileobj)
        return self.register(fileobj, events, data)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the watched descriptors."""
        return self._keys

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return the key of a descriptor; raises KeyError where it is not watched."""
        return self._keys[fileobj if isinstance(fileobj, int) else fileobj.fileno()]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready sockets in order of creation; if there are none, advance the clock."""
        failure, self._network.failure = self._network.failure, None
        if failure is not None:
            raise failure
        ready = []
        touched = self._network.touched
        for number in sorted(touched):
            sock = touched[number]
            key = self._keys.get(sock.fileno())
            events = 0
            if key is not None:
                if key.events & selectors.EVENT_READ and sock.readable:
                    events |= selectors.EVENT_READ
                if key.events & selectors.EVENT_WRITE and sock.writable:
                    events |= selectors.EVENT_WRITE
            if key is not None and events:
                ready.append((key, events))
            else:
                del touched[number]
        if not ready:
            if timeout is None:
                raise StalledError("nothing is ready and no timer is set")
            if timeout > 0:
                self._advance(timeout)
        return ready

    def close(self) -> None:
        """Stop watching all descriptors."""
        self._keys.clear()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time; TCP on IPv4 loopback addresses only."""

    def __init__(self) -> None:
        self.network = Network()
        self._now = START_S
        super().__init__(CountedSelector(self.network, self._advance))
        self._clock_resolution = 1e-9  # attribute of asyncio: timers due within this time run now

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
        """Close the loop and release the reserved addresses."""
        super().close()
        self.network.close()

    def poll_socket(self, descriptor: int, events: int) -> int:
        """Return which of these events of `poll`, or errors, are pending at a simulated descriptor."""
        sock = self.network.by_fd.get(descriptor)
        direction = sock.incoming if sock is not None else None
        if direction is None:
            return select.POLLNVAL
        pending_events = select.POLLIN if direction.bytes or direction.closed or direction.reset else 0
        pending_events |= select.POLLRDHUP if direction.closed or direction.reset else 0
        return pending_events & events | (select.POLLERR | select.POLLHUP if direction.reset else 0)

    def read_socket(self, descriptor: int, size: int) -> bytes:
        """Read from a simulated descriptor without waiting, as `os.read` does."""
        return self.network.by_fd[descriptor].recv(size)

    def accept_pending(self, listener: Any, on_accept: Callable[[socket.socket], None], limit: int) -> int:
        """Accept up to `limit` connections from a listener's backlog; returns how many."""
        listening = self.network.by_fd[listener.fileno()]
        accepted = 0
        while listening.pending and accepted < limit:
            on_accept(listening.accept()[0])
            accepted += 1
        return accepted

    def stall(self, seconds: float) -> None:
        """Advance the clock within the calling callback, as work that blocks the loop does."""
        self._advance(seconds)

    def set_silent(self, address: Address, on: bool) -> None:
        """Set whether a machine is unreachable; connections to one that is are never established."""
        (self.network.silent.add if on else self.network.silent.discard)(address)

    def _advance(self, seconds: float) -> None:
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
        """Connect to a loopback address; raises OSError where there is no listener."""
        created = self.network.adopt()
        try:
            await self.sock_connect(created, (_loopback(host), port))
            return await super().create_connection(protocol_factory, sock=created)
        except BaseException:
            created.close()
            raise

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> asyncio.Future[Any]:  # type: ignore[override]
        """Run the function at once: the virtual time of a result from a thread would vary."""
        done: asyncio.Future[Any] = self.create_future()
        try:
            done.set_result(func(*args))
        except Exception as error:
            done.set_exception(error)
        return done

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connect; to an unreachable machine this never returns."""
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
    raise OSError(errno.EADDRNOTAVAIL, f"{host!r} is not an IPv4 loopback address")
