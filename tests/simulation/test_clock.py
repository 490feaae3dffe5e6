"""The virtual clock: time advances only when no bytes are in transit, and runs are reproducible."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from pebblepass.simulation.clock import START_S, StalledError, VirtualLoop
from pebblepass.simulation.network import WINDOW, DeliveryError
from tests.virtual import run_virtual

HOST = "127.0.0.1"
LINGER_0 = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class RecordingProtocol(asyncio.Protocol):
    """Logs received data and the end of the connection, with the virtual time."""

    def __init__(self, loop: VirtualLoop, log: list[tuple[float, str]], name: str = "") -> None:
        self.loop, self.log, self.name = loop, log, name
        self.transport: Any = None
        self.size = 0
        self.lost = loop.create_future()

    def note(self, event: str) -> None:
        self.log.append((round(self.loop.time() - START_S, 6), self.name + event))

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        self.note(f"{len(data)} bytes")

    def connection_lost(self, exc: Exception | None) -> None:
        self.note("lost" if exc is None else type(exc).__name__)
        if not self.lost.done():
            self.lost.set_result(exc)


async def connect_pair(
    loop: VirtualLoop, log: list[tuple[float, str]]
) -> tuple[RecordingProtocol, RecordingProtocol, asyncio.Server, int]:
    """Return the protocols of both ends of a connection, the server and its port."""
    accepted: list[RecordingProtocol] = []

    def accept() -> RecordingProtocol:
        accepted.append(RecordingProtocol(loop, log, "server: "))
        return accepted[-1]

    server = await loop.create_server(accept, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    _, client = await loop.create_connection(lambda: RecordingProtocol(loop, log, "client: "), HOST, port)
    while not accepted or accepted[0].transport is None:
        await asyncio.sleep(0)
    assert isinstance(client, RecordingProtocol)
    return client, accepted[0], server, port


def test_an_hour_of_timers_takes_little_real_time() -> None:
    async def run(loop: VirtualLoop) -> float:
        for _ in range(60):
            await asyncio.sleep(60)
        return loop.time() - START_S

    started_at = time.monotonic()
    assert run_virtual(run) == pytest.approx(3600)
    assert time.monotonic() - started_at < 60


def test_clock_does_not_advance_while_bytes_are_in_transit() -> None:
    log: list[tuple[float, str]] = []

    async def run(loop: VirtualLoop) -> None:
        client, server, _, _ = await connect_pair(loop, log)
        loop.call_later(1e-6, client.note, "timer")
        client.transport.write(b"x" * 1000)
        await asyncio.sleep(1)
        assert server.size == 1000

    run_virtual(run)
    assert log[:2] == [(0.0, "server: 1000 bytes"), (1e-6, "client: timer")]


def test_value_larger_than_window_arrives_in_reproducible_pieces() -> None:
    def run_once() -> list[tuple[float, str]]:
        log: list[tuple[float, str]] = []

        async def run(loop: VirtualLoop) -> None:
            client, server, _, _ = await connect_pair(loop, log)
            client.transport.write(b"x" * (5 * WINDOW + 7))
            await asyncio.sleep(1)
            assert server.size == 5 * WINDOW + 7

        run_virtual(run)
        return log

    first = run_once()
    assert len(first) == 6
    assert run_once() == first


def test_many_small_unread_writes_all_arrive() -> None:
    async def run(loop: VirtualLoop) -> int:
        client, server, _, _ = await connect_pair(loop, [])
        server.transport.pause_reading()
        for _ in range(5000):
            client.transport.write(b"x")
            await asyncio.sleep(0)
        server.transport.resume_reading()
        await asyncio.sleep(1)
        return server.size

    assert run_virtual(run) == 5000


def test_close_is_reported_after_preceding_bytes() -> None:
    log: list[tuple[float, str]] = []

    async def run(loop: VirtualLoop) -> None:
        client, server, _, _ = await connect_pair(loop, log)
        client.transport.write(b"last words")
        client.transport.close()
        await server.lost

    run_virtual(run)
    assert [event for _, event in log if event.startswith("server")] == ["server: 10 bytes", "server: lost"]


def test_close_with_unread_bytes_resets_connection() -> None:
    async def run(loop: VirtualLoop) -> Any:
        client, server, _, _ = await connect_pair(loop, [])
        server.transport.pause_reading()
        client.transport.write(b"never read")
        await asyncio.sleep(0.1)
        server.transport.abort()
        return await client.lost

    assert isinstance(run_virtual(run), ConnectionResetError)


def test_close_with_linger_of_0_resets_connection() -> None:
    async def run(loop: VirtualLoop) -> Any:
        client, server, _, _ = await connect_pair(loop, [])
        sock = server.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        server.transport.abort()
        return await client.lost

    assert isinstance(run_virtual(run), ConnectionResetError)


def test_write_to_closed_peer_resets_connection() -> None:
    async def run(loop: VirtualLoop) -> Any:
        client, server, _, _ = await connect_pair(loop, [])
        client.transport.pause_reading()  # so that the close is not detected before the write
        server.transport.abort()
        await asyncio.sleep(0.1)
        client.transport.write(b"too late")
        client.transport.resume_reading()
        return await client.lost

    assert isinstance(run_virtual(run), ConnectionResetError)


def test_connect_fails_without_listener_or_loopback_address() -> None:
    async def run(loop: VirtualLoop) -> None:
        _, _, server, port = await connect_pair(loop, [])
        server.close()
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(asyncio.Protocol, HOST, port)
        for host in ("banana", "10.0.0.1", "::1"):
            with pytest.raises(OSError, match="not an IPv4 loopback address"):
                await loop.create_connection(asyncio.Protocol, host, port)

    run_virtual(run)


def test_closing_a_listener_resets_connections_not_accepted() -> None:
    async def run(loop: VirtualLoop) -> Any:
        listener = loop.network.listen(HOST, 0, 16)
        assert listener.address is not None
        log: list[tuple[float, str]] = []
        _, client = await loop.create_connection(lambda: RecordingProtocol(loop, log), *listener.address)
        await asyncio.sleep(0.1)
        listener.close()
        assert isinstance(client, RecordingProtocol)
        return await client.lost

    assert isinstance(run_virtual(run), ConnectionResetError)


def test_connect_to_unreachable_machine_never_completes() -> None:
    async def run(loop: VirtualLoop) -> float:
        _, _, _, port = await connect_pair(loop, [])
        loop.set_silent((HOST, port), True)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(3):
                await loop.create_connection(asyncio.Protocol, HOST, port)
        loop.set_silent((HOST, port), False)
        await loop.create_connection(asyncio.Protocol, HOST, port)
        return loop.time() - START_S

    assert run_virtual(run) == pytest.approx(3)


def test_listen_on_address_in_use_fails() -> None:
    async def run(loop: VirtualLoop) -> None:
        _, _, _, port = await connect_pair(loop, [])
        with pytest.raises(OSError, match="in use"):
            await loop.create_server(asyncio.Protocol, HOST, port)

    run_virtual(run)


def test_run_without_timers_or_ready_sockets_raises_stalled_error() -> None:
    async def run(loop: VirtualLoop) -> None:
        await loop.create_future()

    with pytest.raises(StalledError):
        run_virtual(run)


def test_ready_sockets_are_reported_in_order_of_creation() -> None:
    async def run(loop: VirtualLoop) -> list[str]:
        log: list[tuple[float, str]] = []
        pairs = [await connect_pair(loop, log) for _ in range(20)]
        for number, (client, server, _, _) in enumerate(pairs):
            server.name = f"{number}: "
            client.transport.pause_reading()
        for client, _, _, _ in reversed(pairs):
            client.transport.write(b"x")
        await asyncio.sleep(0.1)
        return [event for _, event in log]

    assert run_virtual(run) == [f"{number}: 1 bytes" for number in range(20)]


def test_address_of_closed_listener_stays_reserved() -> None:
    async def run(loop: VirtualLoop) -> None:
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

    run_virtual(run)


def connect_stranger(port: int) -> socket.socket:
    """Connect as a program outside the simulation does, such as a health check."""
    return socket.create_connection((HOST, port))


@pytest.mark.parametrize("stays", [False, True])
def test_connections_of_other_processes_are_closed_and_never_paired(stays: bool) -> None:
    """Guards against a run that never ends: a stranger's socket does not deliver the counted bytes."""
    log: list[tuple[float, str]] = []
    strangers: list[socket.socket] = []

    async def run(loop: VirtualLoop) -> None:
        def connect(port: int) -> None:
            strangers.append(connect_stranger(port))
            if not stays:
                strangers[-1].close()

        def accept() -> RecordingProtocol:
            return RecordingProtocol(loop, log, f"server {len(log)}: ")

        server = await loop.create_server(accept, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        for size in (10, 20, 30):
            connect(port)
            client = RecordingProtocol(loop, [])
            transport, _ = await loop.create_connection(lambda made=client: made, HOST, port)
            connect(port)
            transport.write(b"x" * size)
            await asyncio.sleep(1)
            connect(port)
            transport.write(b"y" * (size + 1))
            await asyncio.sleep(1)
        connect(port)

    run_virtual(run)
    assert [event.split(": ")[1] for _, event in log] == [
        f"{size} bytes" for size in (10, 11, 20, 21, 30, 31)
    ]
    if stays:
        assert all(stranger.recv(1) == b"" for stranger in strangers[:7])
    for stranger in strangers:
        stranger.close()


def test_connections_that_the_kernel_accepts_out_of_order_keep_their_pairs() -> None:
    """Guards against a connection that is paired with the bytes of another."""
    log: list[tuple[float, str]] = []

    async def run(loop: VirtualLoop) -> None:
        names = iter("ab")
        server = await loop.create_server(lambda: RecordingProtocol(loop, log, next(names)), HOST, 0)
        address = server.sockets[0].getsockname()
        listener = loop.network.listeners[address]
        first, second = loop.network.adopt(), loop.network.adopt()
        for client in (first, second):
            client.connect(address)
        assert listener.pending is not None
        listener.pending.rotate()
        first.send(b"one")
        second.send(b"second")
        await asyncio.sleep(1)
        first.close()
        second.close()

    run_virtual(run)
    assert [event for _, event in log][:2] == ["a6 bytes", "b3 bytes"]


def test_stream_that_ends_early_ends_the_run_with_one_line() -> None:
    """Guards against a run that reads the end of a stream again and again."""

    async def run(loop: VirtualLoop) -> None:
        client, server, _, _ = await connect_pair(loop, [])
        sender = loop.network.by_fd[client.transport.get_extra_info("socket").fileno()]
        client.transport.write(b"four")
        assert sender.outgoing is not None
        sender.outgoing.bytes += 3
        socket.socket.shutdown(sender, socket.SHUT_WR)
        await asyncio.sleep(1)
        pytest.fail(f"the run went on after {server.size} bytes")

    with pytest.raises(DeliveryError, match=r"^a connection ended 3 bytes early$"):
        run_virtual(run)
