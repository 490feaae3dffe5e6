"""Clients that close their connection with much still unread: nothing begins for them afterwards."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.sockets import eventually, get, hit, http_answer, put, running_router

CACHES = "abcd"
CLIENTS = 24
COMMANDS = 600
ATTEMPT_SLACK_S = 0.1  # after the close, in which an attempt may still begin
STORE_DELAY_S = 0.3
OBSERVER_PERIOD_S = 0.01
WATCHED_S = 2.5  # after the close: the commands' time
KEY_BYTES = {314_000: 460, 1_000_000: 1600}
"""The length of a key by the bytes of all commands."""


class Recorder:
    """Servers that record when each request arrived, on an event loop of their own.

    With a thread for each connection, the time of an arrival would depend on when the thread runs.
    """

    def __init__(self) -> None:
        self.arrived: list[tuple[float, str]] = []
        self.delay_s = 0.0
        """By how much its loop was late at most."""
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()
        self._started.wait()

    def _run(self) -> None:
        self._loop.run_until_complete(self._serve())

    async def _serve(self) -> None:
        caches = [await asyncio.start_server(self._serve_cache, "127.0.0.1", 0) for _ in CACHES]
        store = await asyncio.start_server(self._serve_store, "127.0.0.1", 0)
        self.ports = [server.sockets[0].getsockname()[1] for server in (*caches, store)]
        self._stopped = asyncio.Event()
        self._started.set()
        while not self._stopped.is_set():
            due = self._loop.time() + OBSERVER_PERIOD_S
            await asyncio.sleep(OBSERVER_PERIOD_S)
            self.delay_s = max(self.delay_s, self._loop.time() - due)

    async def _serve_cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while header := await reader.readline():
                words = []
                for _ in range(int(header[1:])):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                self.arrived.append((time.monotonic(), words[2].decode()))
                writer.write(hit(words[2]))
        writer.close()

    async def _serve_store(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await reader.readexactly(int(head.partition("Content-Length: ")[2].partition("\r")[0] or 0))
                if "Request-Id: " in head:
                    self.arrived.append((time.monotonic(), head.split("Request-Id: ")[1].split("\r")[0]))
                    await asyncio.sleep(STORE_DELAY_S)
                writer.write(http_answer(200, b"v"))
        writer.close()

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._stopped.set)


class Listed:
    """A server of the recorder, for the endpoint list."""

    def __init__(self, port: int) -> None:
        self.port = port

    def close(self) -> None:
        """The recorder closes it."""


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
    *caches, store = map(Listed, recorder.ports)
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with running_router(tmp_path, dict(zip(CACHES, caches, strict=True)), store, limits=limits) as router:
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


@pytest.mark.parametrize("size", KEY_BYTES)
def test_long_pipeline_of_a_client_that_stays_is_served(tmp_path: Path, size: int) -> None:
    """Guards against refusals of commands that are read ahead, where there is memory for them."""
    recorder = Recorder()
    *caches, store = map(Listed, recorder.ports)
    with running_router(tmp_path, dict(zip(CACHES, caches, strict=True)), store) as router:
        client = router.client()
        names = [f"r{n}" for n in range(COMMANDS)]
        client.send(b"".join(get(name, name.ljust(KEY_BYTES[size], "x"), 15_000) for name in names))
        assert [client.read_reply().decode() for _ in names] == names
        client.close()
    recorder.close()
