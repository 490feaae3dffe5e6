"""A relay between every two routers: what one sends another passes it, and can be cut, one way or both."""

from __future__ import annotations

import contextlib
import heapq
import selectors
import socket
import threading
import time
from collections.abc import Iterable

LOOPBACK = "127.0.0.1"


class Relays:
    """A listener for each ordered pair, in a thread of its own; bytes pass unless the pair is cut.

    A cut is silent, as a network's is: bytes are swallowed and nobody is told; what was under way stays lost,
    since a link whose bytes have a gap is closed once the cut is mended.
    """

    def __init__(self, targets: dict[str, int], sources: Iterable[str] | None = None) -> None:
        """`targets`: the routers and the ports that they listen at; `sources`: who dials, if not the same.

        A source may be a place, such as a zone, whose routers all dial the same listeners.
        """
        self._targets = targets
        self._selector = selectors.DefaultSelector()
        self._listeners: dict[tuple[str, str], socket.socket] = {}
        self._cut: set[tuple[str, str]] = set()
        self._holes: set[socket.socket] = set()
        self._delays: dict[tuple[str, str], float] = {}
        self._late: list[tuple[float, int, socket.socket, bytes]] = []
        self._count = 0  # of what is late: bytes that are due at one time leave in their order
        self._lock = threading.Lock()
        self._closed = False
        for source in targets if sources is None else sources:
            for to in targets:
                listener = socket.create_server((LOOPBACK, 0))
                self._listeners[source, to] = listener
                self._selector.register(listener, selectors.EVENT_READ, ("listen", source, to))
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def port(self, source: str, to: str) -> int:
        """Where one router reaches another."""
        return int(self._listeners[source, to].getsockname()[1])

    def cut(self, *links: tuple[str, str]) -> None:
        """From now on nothing passes from the first of each pair to the second."""
        with self._lock:
            self._cut |= set(links)

    def mend(self) -> None:
        """Everything passes again."""
        with self._lock:
            self._cut.clear()

    def delay(self, seconds: float, *links: tuple[str, str]) -> None:
        """From now on what the first of each pair sends the second arrives so much later; in order still.

        Before the pair is used: a shorter delay would let later bytes overtake earlier ones.
        """
        with self._lock:
            self._delays.update(dict.fromkeys(links, seconds))

    def close(self) -> None:
        """End."""
        self._closed = True
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            with contextlib.suppress(OSError):
                key.fileobj.close()  # type: ignore[union-attr]
        self._selector.close()

    def _run(self) -> None:
        while not self._closed:
            wait = min(self._late[0][0] - time.monotonic(), 0.05) if self._late else 0.05
            for key, _ in self._selector.select(max(wait, 0.0)):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if key.data[0] == "listen":
                    self._accept(sock, key.data[1], key.data[2])
                else:
                    self._pass(sock, *key.data[1:])
            while self._late and self._late[0][0] <= time.monotonic():
                _, _, other, data = heapq.heappop(self._late)
                # A side that has gone meanwhile is closed where its end is read.
                with contextlib.suppress(OSError):
                    other.settimeout(1.0)
                    other.sendall(data)

    def _accept(self, listener: socket.socket, source: str, to: str) -> None:
        with contextlib.suppress(OSError):
            here, _ = listener.accept()
            try:
                there = socket.create_connection((LOOPBACK, self._targets[to]), 1.0)
            except OSError:
                here.close()
                return
            for each in (here, there):
                # Else each small message waits 40 ms for the acknowledgement of the one before.
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(here, selectors.EVENT_READ, ("pass", there, source, to))
            self._selector.register(there, selectors.EVENT_READ, ("pass", here, to, source))

    def _pass(self, sock: socket.socket, other: socket.socket, source: str, to: str) -> None:
        try:
            data = sock.recv(1 << 16)
        except OSError:
            data = b""
        with self._lock:
            cut = (source, to) in self._cut
            delay = self._delays.get((source, to), 0.0)
        if data and cut:
            self._holes.add(sock)
            return
        if data and delay and sock not in self._holes:
            self._count += 1
            heapq.heappush(self._late, (time.monotonic() + delay, self._count, other, data))
            return
        if data and sock not in self._holes:
            try:
                other.settimeout(1.0)
                other.sendall(data)
                return
            except OSError:
                pass
        for each in (sock, other):
            self._holes.discard(each)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(each)
            each.close()
