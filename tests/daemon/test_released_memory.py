"""What a connection has received and sent leaves the memory at its end, without a garbage collection."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from pebblepass.accounting.webhook import _PostConnection
from pebblepass.control.http_server import Connection as ControlConnection
from pebblepass.control.http_server import HttpServer
from pebblepass.daemon.attempts import Attempt, OpenRequest
from pebblepass.daemon.client_connection import ClientConnection
from pebblepass.daemon.multi_get.multi_get import MultiGet
from pebblepass.daemon.reply import Reply
from pebblepass.daemon.server_connection import Connection
from pebblepass.discovery.connection import DiscoveryConnection
from pebblepass.operator_config import MultiGetSection
from tests.sockets import bulk
from tests.virtual_router import PeerConnection, RouterHarness, VirtualClient, encode_request, run_with_router

HOLDERS = (ClientConnection, Connection, Attempt, OpenRequest, Reply, MultiGet)
"""The objects that hold what peers have sent, or refer to one that does."""
LONG_VALUE = bytes(300 << 10)
TOO_LONG_VALUE = bytes(5 << 20)
SHORT_VALUE = bytes(60_000)
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"


def origin_sends(harness: RouterHarness, data: bytes, closes: bool = False) -> None:
    """Let the cache server miss, and the origin send these bytes."""

    def send(connection: PeerConnection, name: str) -> None:
        connection.transport.write(data)
        if closes:
            connection.transport.close()

    harness.caches["a"].on_request = harness.caches["a"].miss
    harness.origin.on_request = send


def cache_sends(harness: RouterHarness, value: bytes, size: int) -> None:
    """Let the cache server send only the first `size` bytes of each answer."""
    cache = harness.caches["a"]
    cache.on_request = lambda connection, name: connection.transport.write(cache.answer(name, value)[:size])


async def reset_servers(harness: RouterHarness) -> None:
    await harness.wait(0.1)
    for peer in (harness.caches["a"], harness.origin):
        for connection in list(peer.connections):
            connection.reset()


async def value_without_length_is_reset(harness: RouterHarness, client: VirtualClient) -> None:
    origin_sends(harness, NO_LENGTH + LONG_VALUE)
    client.send_request("r")
    await reset_servers(harness)


async def value_without_length_times_out(harness: RouterHarness, client: VirtualClient) -> None:
    origin_sends(harness, NO_LENGTH + LONG_VALUE)
    client.send_request("r")
    await harness.wait(3.0)


async def value_without_length_is_too_long(harness: RouterHarness, client: VirtualClient) -> None:
    origin_sends(harness, NO_LENGTH + TOO_LONG_VALUE)
    client.send_request("r")
    await harness.wait(3.0)


async def value_without_length_is_served(harness: RouterHarness, client: VirtualClient) -> None:
    origin_sends(harness, NO_LENGTH + LONG_VALUE, closes=True)
    client.send_request("r")
    await harness.wait(0.5)
    assert client.replies() == [LONG_VALUE]


async def value_without_length_is_not_read(harness: RouterHarness, client: VirtualClient) -> None:
    origin_sends(harness, NO_LENGTH + LONG_VALUE * 4, closes=True)
    client.transport.pause_reading()
    client.send_request("r")
    await harness.wait(0.5)


async def long_value_is_cut_off(harness: RouterHarness, client: VirtualClient) -> None:
    cache_sends(harness, LONG_VALUE, 200_000)
    client.send_request("r")
    await reset_servers(harness)


async def client_leaves_in_a_long_value(harness: RouterHarness, client: VirtualClient) -> None:
    cache_sends(harness, LONG_VALUE, 200_000)
    client.send_request("r")
    await harness.wait(0.1)


async def client_leaves_with_a_long_value_behind_a_write(
    harness: RouterHarness, client: VirtualClient
) -> None:
    cache_sends(harness, LONG_VALUE, 200_000)
    client.transport.write(encode_request("w", "put", value=SHORT_VALUE) + encode_request("r", key="r"))
    await harness.wait(0.1)


async def short_value_is_cut_off(harness: RouterHarness, client: VirtualClient) -> None:
    cache_sends(harness, SHORT_VALUE, 50_000)
    client.send_request("r")
    await reset_servers(harness)


async def client_leaves_after_a_write(harness: RouterHarness, client: VirtualClient) -> None:
    client.send_request("w", "put", value=SHORT_VALUE)
    await harness.wait(0.1)


async def multi_get_is_answered(harness: RouterHarness, client: VirtualClient) -> None:
    harness.caches["a"].on_request = harness.caches["a"].serve
    client.transport.write(bulk(b"KV.MGET", b"2", b"x", b"y", b"m", b"c=get,t=acme,d=2000"))
    await harness.wait(0.5)
    assert client.received.startswith(b"*2\r\n$")


async def client_leaves_in_a_multi_get(harness: RouterHarness, client: VirtualClient) -> None:
    cache_sends(harness, LONG_VALUE, 200_000)
    client.transport.write(bulk(b"KV.MGET", b"2", b"x", b"y", b"m", b"c=get,t=acme,d=2000"))
    await harness.wait(0.1)


Scenario = Callable[[RouterHarness, VirtualClient], Awaitable[None]]
SCENARIOS: list[Scenario] = [
    value_without_length_is_reset,
    value_without_length_times_out,
    value_without_length_is_too_long,
    value_without_length_is_served,
    value_without_length_is_not_read,
    long_value_is_cut_off,
    client_leaves_in_a_long_value,
    client_leaves_with_a_long_value_behind_a_write,
    short_value_is_cut_off,
    client_leaves_after_a_write,
    multi_get_is_answered,
    client_leaves_in_a_multi_get,
]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_nothing_is_left_of_closed_connections_without_a_garbage_collection(scenario: Scenario) -> None:
    """Guards against a router that is killed for bytes which its memory account has released already."""

    async def test(harness: RouterHarness) -> None:
        harness.daemon.enable_multi_get(MultiGetSection())
        gc.collect()
        gc.disable()
        try:
            client = await harness.client()
            await scenario(harness, client)
            client.transport.abort()
            await reset_servers(harness)
            await harness.wait(3.0)
            # By class, as the proxy of an object claims to be an instance of the object's.
            assert [found for found in gc.get_objects() if issubclass(type(found), HOLDERS)] == []
            assert harness.daemon.clients.memory.used == 0
        finally:
            gc.enable()

    run_with_router(test)


def end_of_discovery() -> DiscoveryConnection:
    connection = DiscoveryConnection()
    connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n" + LONG_VALUE)
    connection.connection_lost(None)
    return connection


def end_of_a_post() -> _PostConnection:
    connection = _PostConnection(asyncio.get_running_loop())
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
    connection.connection_lost(None)
    assert isinstance(connection.status_received.exception(), ConnectionResetError)
    return connection


def end_of_a_control_call() -> ControlConnection:
    limits: Any = None
    server = HttpServer(asyncio.get_running_loop(), limits, limits)
    connection = ControlConnection(server)
    connection._parser.feed_data(b"GET /control/counters HTTP/1.1\r\nHost: ")  # type: ignore[union-attr]
    connection.connection_lost(None)
    return connection


@pytest.mark.parametrize("end", [end_of_discovery, end_of_a_post, end_of_a_control_call])
def test_connections_that_speak_http_are_freed_at_their_end(end: Callable[[], object]) -> None:
    """Guards against lists of megabytes that stay in memory after their connection."""

    async def test() -> None:
        gc.collect()
        gc.disable()
        try:
            ended = weakref.ref(end())  # not in the assertion, which keeps what it evaluates
            assert ended() is None
        finally:
            gc.enable()

    asyncio.run(test())
