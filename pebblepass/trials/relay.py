"""A relay between every two routers: what one sends another passes it, and can be cut, one way or both."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading

LOOPBACK = "127.0.0.1"


class Relays:
    """A listener for each ordered pair, in a thread of its own; bytes pass unless the pair is cut.

    A cut is silent, as a network's is: bytes are swallowed and nobody is told; what was under way stays lost,
    since a link whose bytes have a gap is closed once the cut is mended.
    """

    def __init__(self, targets: dict[str, int]) -> None:
        """`targets`: the routers and the ports that they listen at."""
        self._targets = targets
        self._selector = selectors.DefaultSelector()
        self._listeners: dict[tuple[str, str], socket.socket] = {}
        self._cut: set[tuple[str, str]] = set()
        self._holes: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._closed = False
        for source in targets:
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
            for key, _ in self._selector.select(0.05):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if key.data[0] == "listen":
                    self._accept(sock, key.data[1], key.data[2])
                else:
                    self._pass(sock, *key.data[1:])

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
        if data and cut:
            self._holes.add(sock)
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
