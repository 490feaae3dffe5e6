"""TCP relays between every pair of routers, which can cut or delay each direction."""

from __future__ import annotations

import contextlib
import heapq
import selectors
import socket
import threading
import time
from collections.abc import Iterable

LOOPBACK = "127.0.0.1"


class LinkRelays:
    """One listener per ordered pair, served by one thread; bytes are relayed unless the pair is cut.

    A cut drops bytes without an error, as a network partition does. A connection that lost bytes is closed
    by the next data after the link is restored, since its stream has a gap.
    """

    def __init__(self, targets: dict[str, int], sources: Iterable[str] | None = None) -> None:
        """`targets`: each router's listening port; `sources`: who connects (default: the same routers).

        A source may be a group, such as a zone, whose routers all connect to the same listeners.
        """
        self._targets = targets
        self._selector = selectors.DefaultSelector()
        self._listeners: dict[tuple[str, str], socket.socket] = {}
        self._cut: set[tuple[str, str]] = set()
        self._gapped: set[socket.socket] = set()
        self._delays: dict[tuple[str, str], float] = {}
        self._delayed: list[tuple[float, int, socket.socket, bytes]] = []
        self._count = 0  # orders delayed bytes that are due at the same time
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
        """The port at which `source` reaches `to`."""
        return int(self._listeners[source, to].getsockname()[1])

    def cut(self, *links: tuple[str, str]) -> None:
        """Drop all bytes from the first of each pair to the second."""
        with self._lock:
            self._cut |= set(links)

    def restore(self) -> None:
        """Relay all links again."""
        with self._lock:
            self._cut.clear()

    def delay(self, seconds: float, *links: tuple[str, str]) -> None:
        """Delay bytes from the first of each pair to the second; their order is kept.

        Call this before the pair is used: with a shorter delay later bytes would overtake earlier ones.
        """
        with self._lock:
            self._delays.update(dict.fromkeys(links, seconds))

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        self._closed = True
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            with contextlib.suppress(OSError):
                key.fileobj.close()  # type: ignore[union-attr]
        self._selector.close()

    def _run(self) -> None:
        while not self._closed:
            wait = min(self._delayed[0][0] - time.monotonic(), 0.05) if self._delayed else 0.05
            for key, _ in self._selector.select(max(wait, 0.0)):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if key.data[0] == "listen":
                    self._accept(sock, key.data[1], key.data[2])
                else:
                    self._relay(sock, *key.data[1:])
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                _, _, peer, data = heapq.heappop(self._delayed)
                # A peer that has closed meanwhile is handled when its end of stream is read.
                with contextlib.suppress(OSError):
                    peer.settimeout(1.0)
                    peer.sendall(data)

    def _accept(self, listener: socket.socket, source: str, to: str) -> None:
        with contextlib.suppress(OSError):
            accepted, _ = listener.accept()
            try:
                connected = socket.create_connection((LOOPBACK, self._targets[to]), 1.0)
            except OSError:
                accepted.close()
                return
            for side in (accepted, connected):
                # Without this each small message waits 40 ms for the acknowledgement of the previous one.
                side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(accepted, selectors.EVENT_READ, ("pass", connected, source, to))
            self._selector.register(connected, selectors.EVENT_READ, ("pass", accepted, to, source))

    def _relay(self, sock: socket.socket, peer: socket.socket, source: str, to: str) -> None:
        try:
            data = sock.recv(1 << 16)
        except OSError:
            data = b""
        with self._lock:
            cut = (source, to) in self._cut
            delay = self._delays.get((source, to), 0.0)
        if data and cut:
            self._gapped.add(sock)
            return
        if data and delay and sock not in self._gapped:
            self._count += 1
            heapq.heappush(self._delayed, (time.monotonic() + delay, self._count, peer, data))
            return
        if data and sock not in self._gapped:
            try:
                peer.settimeout(1.0)
                peer.sendall(data)
                return
            except OSError:
                pass
        for side in (sock, peer):
            self._gapped.discard(side)
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(side)
            side.close()
