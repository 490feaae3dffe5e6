"""The virtual clock: time moves only where nothing is under way, and the same run is the same twice."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from pebblepass.simulation.clock import START_S, WINDOW, StalledError, VirtualLoop
from tests.virtual import run_virtual

HOST = "127.0.0.1"
LINGER_0 = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class Recorder(asyncio.Protocol):
    """Notes what comes, and when."""

    def __init__(self, loop: VirtualLoop, log: list[tuple[float, str]], name: str = "") -> None:
        self.loop, self.log, self.name = loop, log, name
        self.transport: Any = None
        self.size = 0
        self.ended = loop.create_future()

    def note(self, what: str) -> None:
        self.log.append((round(self.loop.time() - START_S, 6), self.name + what))

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        self.note(f"{len(data)} bytes")

    def connection_lost(self, exc: Exception | None) -> None:
        self.note("lost" if exc is None else type(exc).__name__)
        if not self.ended.done():
            self.ended.set_result(exc)


async def pair(
    loop: VirtualLoop, log: list[tuple[float, str]]
) -> tuple[Recorder, Recorder, asyncio.Server, int]:
    """A connection, from both ends."""
    accepted: list[Recorder] = []

    def accept() -> Recorder:
        accepted.append(Recorder(loop, log, "server: "))
        return accepted[-1]

    server = await loop.create_server(accept, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    _, client = await loop.create_connection(lambda: Recorder(loop, log, "client: "), HOST, port)
    while not accepted or accepted[0].transport is None:
        await asyncio.sleep(0)
    assert isinstance(client, Recorder)
    return client, accepted[0], server, port


def test_an_hour_of_timers_takes_no_time() -> None:
    async def work(loop: VirtualLoop) -> float:
        for _ in range(60):
            await asyncio.sleep(60)
        return loop.time() - START_S

    begun = time.monotonic()
    assert run_virtual(work) == pytest.approx(3600)
    assert time.monotonic() - begun < 60


def test_time_stands_still_while_bytes_are_under_way() -> None:
    log: list[tuple[float, str]] = []

    async def work(loop: VirtualLoop) -> None:
        client, server, _, _ = await pair(loop, log)
        loop.call_later(1e-6, client.note, "timer")
        client.transport.write(b"x" * 1000)
        await asyncio.sleep(1)
        assert server.size == 1000

    run_virtual(work)
    assert log[:2] == [(0.0, "server: 1000 bytes"), (1e-6, "client: timer")]


def test_a_value_larger_than_the_window_arrives_whole_and_in_equal_pieces() -> None:
    def once() -> list[tuple[float, str]]:
        log: list[tuple[float, str]] = []

        async def work(loop: VirtualLoop) -> None:
            client, server, _, _ = await pair(loop, log)
            client.transport.write(b"x" * (5 * WINDOW + 7))
            await asyncio.sleep(1)
            assert server.size == 5 * WINDOW + 7

        run_virtual(work)
        return log

    first = once()
    assert len(first) == 6
    assert once() == first


def test_many_small_writes_never_overrun_the_kernel() -> None:
    async def work(loop: VirtualLoop) -> int:
        client, server, _, _ = await pair(loop, [])
        server.transport.pause_reading()
        for _ in range(5000):
            client.transport.write(b"x")
            await asyncio.sleep(0)
        server.transport.resume_reading()
        await asyncio.sleep(1)
        return server.size

    assert run_virtual(work) == 5000


def test_a_close_is_seen_after_the_bytes_before_it() -> None:
    log: list[tuple[float, str]] = []

    async def work(loop: VirtualLoop) -> None:
        client, server, _, _ = await pair(loop, log)
        client.transport.write(b"last words")
        client.transport.close()
        await server.ended

    run_virtual(work)
    assert [what for _, what in log if what.startswith("server")] == ["server: 10 bytes", "server: lost"]


def test_a_close_with_bytes_unread_is_a_reset() -> None:
    async def work(loop: VirtualLoop) -> Any:
        client, server, _, _ = await pair(loop, [])
        server.transport.pause_reading()
        client.transport.write(b"never read")
        await asyncio.sleep(0.1)
        server.transport.abort()
        return await client.ended

    assert isinstance(run_virtual(work), ConnectionResetError)


def test_a_close_without_linger_is_a_reset() -> None:
    async def work(loop: VirtualLoop) -> Any:
        client, server, _, _ = await pair(loop, [])
        held = server.transport.get_extra_info("socket")
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        server.transport.abort()
        return await client.ended

    assert isinstance(run_virtual(work), ConnectionResetError)


def test_what_is_written_to_a_closed_end_comes_back_as_a_reset() -> None:
    async def work(loop: VirtualLoop) -> Any:
        client, server, _, _ = await pair(loop, [])
        client.transport.pause_reading()  # so that the end is not seen before the write
        server.transport.abort()
        await asyncio.sleep(0.1)
        client.transport.write(b"too late")
        client.transport.resume_reading()
        return await client.ended

    assert isinstance(run_virtual(work), ConnectionResetError)


def test_nobody_listens() -> None:
    async def work(loop: VirtualLoop) -> None:
        _, _, server, port = await pair(loop, [])
        server.close()
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(asyncio.Protocol, HOST, port)
        for host in ("banana", "10.0.0.1", "::1"):
            with pytest.raises(OSError, match="no loopback address"):
                await loop.create_connection(asyncio.Protocol, host, port)

    run_virtual(work)


def test_connections_that_were_never_accepted_are_reset_when_the_listener_closes() -> None:
    async def work(loop: VirtualLoop) -> Any:
        listener = loop.network.listen(HOST, 0, 16)
        assert listener.address is not None
        log: list[tuple[float, str]] = []
        _, client = await loop.create_connection(lambda: Recorder(loop, log), *listener.address)
        await asyncio.sleep(0.1)
        listener.close()
        assert isinstance(client, Recorder)
        return await client.ended

    assert isinstance(run_virtual(work), ConnectionResetError)


def test_a_silent_machine_never_answers() -> None:
    async def work(loop: VirtualLoop) -> float:
        _, _, _, port = await pair(loop, [])
        loop.set_silent((HOST, port), True)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(3):
                await loop.create_connection(asyncio.Protocol, HOST, port)
        loop.set_silent((HOST, port), False)
        await loop.create_connection(asyncio.Protocol, HOST, port)
        return loop.time() - START_S

    assert run_virtual(work) == pytest.approx(3)


def test_an_address_in_use_says_so() -> None:
    async def work(loop: VirtualLoop) -> None:
        _, _, _, port = await pair(loop, [])
        with pytest.raises(OSError, match="in use"):
            await loop.create_server(asyncio.Protocol, HOST, port)

    run_virtual(work)


def test_a_run_that_would_stand_still_for_ever_ends() -> None:
    async def work(loop: VirtualLoop) -> None:
        await loop.create_future()

    with pytest.raises(StalledError):
        run_virtual(work)


def test_sockets_that_are_ready_together_are_taken_in_the_order_in_which_they_were_made() -> None:
    async def work(loop: VirtualLoop) -> list[str]:
        log: list[tuple[float, str]] = []
        made = [await pair(loop, log) for _ in range(20)]
        for number, (client, server, _, _) in enumerate(made):
            server.name = f"{number}: "
            client.transport.pause_reading()
        for client, _, _, _ in reversed(made):
            client.transport.write(b"x")
        await asyncio.sleep(0.1)
        return [what for _, what in log]

    assert run_virtual(work) == [f"{number}: 1 bytes" for number in range(20)]


def test_the_address_of_a_listener_that_closed_is_kept_for_it() -> None:
    async def work(loop: VirtualLoop) -> None:
        first = await loop.create_server(asyncio.Protocol, HOST, 0)
        port = first.sockets[0].getsockname()[1]
        first.close()
        await asyncio.sleep(0)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((HOST, port))
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(asyncio.Protocol, HOST, port)
        again = await loop.create_server(asyncio.Protocol, HOST, port)
        await loop.create_connection(asyncio.Protocol, HOST, port)
        again.close()

    run_virtual(work)
