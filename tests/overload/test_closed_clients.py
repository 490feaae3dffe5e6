"""Clients that close their connection with much still unread: nothing begins for them afterwards."""

from __future__ import annotations

import socket
import struct
import threading
import time
from pathlib import Path

import pytest

from tests.sockets import Peer, eventually, get, hit, http_answer, put, running_router

CLIENTS = 24
COMMANDS = 600
ATTEMPT_SLACK_S = 0.1  # after the close, in which an attempt may still begin
STORE_DELAY_S = 0.3
WATCHED_S = 2.5  # after the close: the commands' time
KEY_BYTES = {314_000: 460, 1_000_000: 1600}
"""The length of a key by the bytes of all commands."""


class Recorder:
    """Servers that record when each request arrived."""

    def __init__(self) -> None:
        self.arrived: list[tuple[float, str]] = []
        self.delay_s = 0.0
        """By how much this process was late at most."""
        self._stopped = threading.Event()
        threading.Thread(target=self._observe, daemon=True).start()

    def serve_cache(self, _: socket.socket, words: list[bytes]) -> bytes:
        self.arrived.append((time.monotonic(), words[2].decode()))
        return hit(words[2])

    def serve_store(self, _: socket.socket, message: list[bytes]) -> bytes:
        head = message[2].decode()
        if "Request-Id: " in head:
            self.arrived.append((time.monotonic(), head.split("Request-Id: ")[1].split("\r")[0]))
            time.sleep(STORE_DELAY_S)
        return http_answer(200, b"v")

    def _observe(self) -> None:
        while not self._stopped.is_set():
            due = time.monotonic() + 0.01
            self._stopped.wait(0.01)
            self.delay_s = max(self.delay_s, time.monotonic() - due)

    def close(self) -> None:
        self._stopped.set()


def send_and_close(port: int, client: int, size: int, with_reset: bool) -> float:
    """Send a slow write and many reads behind it as far as the kernel takes them; return when it closed."""
    reads = [
        get(f"r{client}.{n}", f"k{client}.{n}".ljust(KEY_BYTES[size], "x"), 2000) for n in range(COMMANDS)
    ]
    data = memoryview(put(f"w{client}", d=2000) + b"".join(reads))
    connection = socket.create_connection(("127.0.0.1", port))
    connection.settimeout(0.05)
    try:
        while data:
            data = data[connection.send(data) :]
    except TimeoutError:
        pass  # the rest is not sent
    if with_reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    closed_at = time.monotonic()
    connection.close()
    return closed_at


@pytest.mark.parametrize("memory_mb", [32, 192])
@pytest.mark.parametrize("with_reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("size", KEY_BYTES)
def test_no_attempt_begins_for_a_client_that_closed_behind_unread_commands(
    tmp_path: Path, memory_mb: int, with_reset: bool, size: int
) -> None:
    """Guards against requests that are sent on after their client has gone, its end behind unread bytes."""
    recorder = Recorder()
    caches = {name: Peer(recorder.serve_cache) for name in "abcd"}
    store = Peer(recorder.serve_store, is_http=True)
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with running_router(tmp_path, caches, store, limits=limits) as router:
        closed_at = {n: send_and_close(router.port, n, size, with_reset) for n in range(CLIENTS)}
        ends_at = time.monotonic() + WATCHED_S
        eventually(lambda: time.monotonic() > ends_at, "the time of the commands is over")
    recorder.close()
    allowed_s = ATTEMPT_SLACK_S + recorder.delay_s
    late = {
        name: round(at - closed_at[int(name[1:].split(".")[0])], 2)
        for at, name in recorder.arrived
        if at - closed_at[int(name[1:].split(".")[0])] > allowed_s
    }
    assert late == {}, f"{len(late)} of {len(recorder.arrived)} attempts, up to {max(late.values())} s late"
