"""A deadline counts from the arrival of a request, even if the router reads it late."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Awaitable, Callable

import pytest

from pebblepass.daemon.client_connection import MAX_PIPELINE, ClientConnection
from pebblepass.daemon.client_server import ClientServer
from pebblepass.daemon.lag import LoopLag
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.daemon.reply import Reply
from pebblepass.daemon.unread_age import RECENT_S, SHORT_READ, BacklogAge, UnreadAge
from pebblepass.handover.messages import ConnectionState
from pebblepass.wire.resp import Command
from tests.daemon.test_deadline_propagation import advertised_to, advertised_too_much
from tests.multi_get.deployment import Deployment, run_on_deployment
from tests.sockets import bulk
from tests.virtual_router import ADDRESS, Advertised, RouterHarness, encode_request, run_with_router

STALL_S = 0.3
CLIENT_TIMEOUT_MS = 2000
PAUSED_POLL_INTERVAL_S = 0.1  # between two polls of a connection that is not read


def advertised_nearly_all(seen: list[Advertised], sent_at: float, slack_s: float) -> bool:
    """Whether each attempt advertised at least the time left, less this slack."""
    expected = [CLIENT_TIMEOUT_MS - (attempt.at - sent_at + slack_s) * 1000 - 1.01 for attempt in seen]
    return all(attempt.timeout_ms >= least for attempt, least in zip(seen, expected, strict=True))


# The bound alone


def test_bytes_read_soon_after_a_poll_count_as_read_at_once() -> None:
    age = UnreadAge(10.0)
    assert age.read(10.0 + RECENT_S * 0.9, 100) == 0.0


def test_bytes_read_late_may_be_as_old_as_the_last_poll() -> None:
    age = UnreadAge(10.0)
    assert age.read(10.3, 100) == pytest.approx(0.3)
    assert age.read(10.31, 100) == 0.0, "the previous read has emptied the socket"


def test_long_read_may_leave_bytes_unread() -> None:
    age = UnreadAge(10.0)
    assert age.read(10.3, SHORT_READ) == pytest.approx(0.3)
    assert age.read(10.4, 100) == pytest.approx(0.4)


def test_older_poll_changes_nothing_and_an_unknown_age_is_zero() -> None:
    age = UnreadAge(10.0)
    age.emptied(9.0)
    assert age.read(10.2, 100) == pytest.approx(0.2)
    assert UnreadAge(-math.inf).read(10.2, 100) == 0.0


def test_connection_after_an_empty_backlog_is_newer_than_the_last_poll() -> None:
    backlog = BacklogAge()
    assert backlog.accepted(10.0, polled_at=9.98, more_wait=False) == 9.98
    assert backlog.accepted(10.3, polled_at=10.29, more_wait=False) == 10.29


def test_connections_behind_others_may_be_as_old_as_the_first() -> None:
    backlog = BacklogAge()
    backlog.accepted(10.0, polled_at=9.98, more_wait=False)
    assert backlog.accepted(11.0, polled_at=10.99, more_wait=True) == 10.99
    assert backlog.accepted(11.2, polled_at=11.19, more_wait=True) == 10.99
    assert backlog.accepted(11.4, polled_at=11.39, more_wait=False) == 10.99
    assert backlog.accepted(11.5, polled_at=11.39, more_wait=False) == 11.4, "the backlog was empty then"


def test_age_of_connections_older_than_the_process_is_unknown() -> None:
    assert BacklogAge().accepted(10.0, polled_at=-math.inf, more_wait=True) == -math.inf


# Over sockets


class RecordingHost:
    """Records for how long each request may have been unread."""

    ready = True

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.lag = LoopLag(loop, time.monotonic_ns, lambda lag: None)
        self.unread_s: list[float] = []

    def request_arrived(self, command: Command, reply: Reply) -> None:
        self.unread_s.append(reply.unread_ns / 1e9)
        reply.send(b"$1\r\nv\r\n")
        reply.free_command()

    def client_disconnected(self, reply: Reply) -> None:
        pass

    def record_rejection(self, command: Command, refused: str = "", failed: str = "") -> None:
        raise AssertionError("there is room")


def test_request_behind_many_new_connections_counts_from_its_arrival() -> None:
    """Each new connection takes CPU time, and the loop accepts the kernel's backlog one by one."""
    other_clients, work_s = 60, 0.005

    class BusyServer(ClientServer):
        def register(self, connection: ClientConnection) -> None:
            time.sleep(work_s)  # stands for CPU time: the loop is blocked
            super().register(connection)

    async def main(loop: DaemonLoop) -> float:
        host = RecordingHost(loop)
        server = BusyServer(loop, host, 2 * other_clients)
        await server.listen((ADDRESS, 0))
        assert server._listener is not None
        address = server._listener.sockets[0].getsockname()
        await asyncio.sleep(0.1)  # a heartbeat has polled the sockets
        connections = [socket.create_connection(address) for _ in range(other_clients + 1)]
        connections[-1].sendall(encode_request("r"))
        while not host.unread_s:
            await asyncio.sleep(0.001)
        for connection in connections:
            connection.close()
        server.close()
        host.lag.close()
        return host.unread_s[0]

    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, DaemonLoop)
        assert runner.run(main(loop)) >= other_clients * work_s


async def open_connection(harness: RouterHarness) -> None:
    client = await harness.client()
    await harness.wait(0.5)
    client.transport.write(encode_request("r", d=CLIENT_TIMEOUT_MS))
    harness.loop.stall(STALL_S)


async def new_connection(harness: RouterHarness) -> None:
    """The connection itself arrives in the stall."""
    await harness.wait(0.5)
    client = harness.loop.network.adopt()
    client.connect((ADDRESS, harness.port))
    client.send(encode_request("r", d=CLIENT_TIMEOUT_MS))
    harness.loop.stall(STALL_S)


async def handed_over(harness: RouterHarness) -> None:
    """Another process has read the first part of the command."""
    await harness.wait(0.5)
    listener = await harness.loop.create_server(asyncio.Protocol, ADDRESS, 0)
    client = harness.loop.network.adopt()
    client.connect(listener.sockets[0].getsockname())
    command = encode_request("r", d=CLIENT_TIMEOUT_MS)
    client.send(command[20:])
    accepted, _ = harness.loop.network.by_fd[listener.sockets[0].fileno()].accept()
    harness.loop.stall(STALL_S)
    await harness.daemon.clients.adopt(accepted, ConnectionState(command[:20], 0, True, 0, b"", 0))
    await harness.settle()
    listener.close()


@pytest.mark.parametrize(
    "arrival", [open_connection, new_connection, handed_over], ids=lambda arrival: arrival.__name__
)
def test_request_read_after_a_stall_advertises_the_time_left(
    arrival: Callable[[RouterHarness], Awaitable[None]],
) -> None:
    async def test(harness: RouterHarness) -> None:
        for cache in harness.caches.values():
            cache.on_request = cache.miss
        await arrival(harness)
        sent_at = harness.loop.time() - STALL_S
        await harness.wait(0.2)
        seen = advertised_to(harness, "r")
        assert len(seen) == 2
        assert advertised_too_much(seen, sent_at, CLIENT_TIMEOUT_MS) == []
        assert advertised_nearly_all(seen, sent_at, RECENT_S)

    run_with_router(test)


def test_request_unread_on_a_paused_connection_advertises_the_time_left() -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        await harness.wait(0.3)
        client.transport.write(encode_request("p") + bulk(b"PING") * (MAX_PIPELINE - 1))
        await harness.wait(0.2)
        sent_at = harness.loop.time()
        client.transport.write(encode_request("r", key="other", d=CLIENT_TIMEOUT_MS))
        await harness.wait(0.5)
        cache = harness.caches["a"]
        cache.serve(cache.connection_of("p"), "p")
        await harness.wait(0.1)
        seen = advertised_to(harness, "r")
        assert len(seen) == 1
        assert seen[0].at - sent_at >= 0.5
        assert advertised_too_much(seen, sent_at, CLIENT_TIMEOUT_MS) == []
        assert advertised_nearly_all(seen, sent_at, PAUSED_POLL_INTERVAL_S + RECENT_S)

    run_with_router(test)


def test_request_sent_after_a_pause_advertises_its_full_time() -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        await harness.wait(0.3)
        client.transport.write(encode_request("p") + bulk(b"PING") * (MAX_PIPELINE - 1))
        await harness.wait(1.0)
        cache = harness.caches["a"]
        cache.serve(cache.connection_of("p"), "p")
        sent_at = harness.loop.time()
        client.transport.write(encode_request("r", key="other", d=CLIENT_TIMEOUT_MS))
        await harness.wait(0.1)
        seen = advertised_to(harness, "r")
        assert len(seen) == 1
        assert advertised_nearly_all(seen, sent_at, 0.0)

    run_with_router(test)


@pytest.mark.parametrize("between_s", [0.001, 0.005, 0.3])
def test_requests_on_a_busy_connection_advertise_their_full_time(between_s: float) -> None:
    async def test(harness: RouterHarness) -> None:
        for cache in harness.caches.values():
            cache.on_request = cache.serve
        client = await harness.client()
        for number in range(200):
            sent_at = harness.loop.time()
            client.send_request(f"r{number}", key=f"k{number}", d=CLIENT_TIMEOUT_MS)
            await harness.wait(between_s)
            seen = advertised_to(harness, f"r{number}")
            assert advertised_nearly_all(seen, sent_at, 0.0), number

    run_with_router(test)


def test_multi_get_read_after_a_stall_advertises_the_time_left() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        await client.multi_get(["k1", "k2"], "warm")
        await asyncio.sleep(0.5)
        sent_at = deployment.loop.time()
        client.send_multi_get(["k1", "k2", "k3"], d=1000)
        deployment.loop.stall(STALL_S)
        await client.read_reply()
        deployment.replied_at["q"] = deployment.loop.time()
        seen = [attempt for attempt in deployment.advertised if attempt.request.startswith("q")]
        assert seen
        assert advertised_too_much(seen, sent_at, 1000) == []

    run_on_deployment(test)
