"""No attempt begins for a client that disconnected more than 0.1 s ago, whatever the attempt waited for.

The event loop is stalled for 0.2 s right before each place where an attempt can begin, as in a process
without CPU; the client disconnects as the stall begins. If the client stays instead, the same attempt has to
begin, which proves that the test reaches that place.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest

from pebblepass.daemon.abandoned_writes import MAX_IDS, AbandonedWrites
from pebblepass.daemon.client_connection import MAX_PIPELINE, ClientConnection
from pebblepass.daemon.connection_pool import REUSE_DELAY_S
from pebblepass.daemon.multi_get.batch_exchange import BatchExchange
from pebblepass.decisions import Send
from tests.multi_get.deployment import Deployment, run_on_deployment
from tests.sockets import bulk, http_answer
from tests.virtual_router import (
    ADDRESS,
    LONG_DIALS,
    PeerConnection,
    RouterHarness,
    VirtualClient,
    encode_request,
    run_with_router,
)

DISCONNECT_GRACE_S = 0.1  # no attempt may begin for a client later than this after its disconnect
STALL_S = 0.2
TWO_CACHES = ("a", "b")


class Stall:
    """Stalls the loop once; the client may shut down its sending side as the stall begins."""

    def __init__(self, loop: Any, client_socket: socket.socket, leaves: bool) -> None:
        self._loop, self._client_socket, self._leaves = loop, client_socket, leaves
        self.at = 0.0

    def __call__(self) -> None:
        if not self.at:
            self.at = self._loop.time()
            if self._leaves:
                self._client_socket.shutdown(socket.SHUT_WR)
            self._loop.stall(STALL_S)


def raw_socket(client: VirtualClient) -> socket.socket:
    found: socket.socket = client.transport.get_extra_info("socket")._sock
    return found


def stall_before_send(host: Any, name: str, nth: int, stall: Stall) -> None:
    """Stall between the decision module's action and the nth attempt at this request."""
    original, count = host._router.handle, [0]

    def handle(event: Any, now: int) -> Any:
        actions = original(event, now)
        for action in actions:
            if isinstance(action, Send) and action.request == name:
                count[0] += 1
                if count[0] == nth:
                    stall()
        return actions

    host._router.handle = handle


def stall_before_call(
    owner: Any, method: str, stall: Stall, when: Callable[..., bool] = lambda *_: True
) -> None:
    """Stall right before a call of this method of an object."""
    original = getattr(owner, method)

    def call(*args: Any) -> Any:
        if when(*args):
            stall()
        return original(*args)

    setattr(owner, method, call)


async def open_idle_connections(harness: RouterHarness) -> None:
    """Leave a reusable idle connection to every server, so that no dial is needed."""
    client = await harness.client()
    servers = [harness.origin, *harness.caches.values()]
    for peer in servers:
        peer.on_request = peer.serve
    client.send_request("warm", "put", value=b"v")
    for number in range(12):
        client.send_request(f"warm{number}", key=f"warm{number}")
        await harness.wait(REUSE_DELAY_S * 3)
    for peer in servers:
        assert peer.connections
        peer.on_request = lambda connection, name: None
        peer.requests.clear()


async def send_until_paused(harness: RouterHarness, client: VirtualClient, request: bytes) -> None:
    """Send a request, and so many commands after it that the connection is no longer read."""
    client.transport.write(request + bulk(b"PING") * (MAX_PIPELINE - 1))
    await harness.settle()


class AttemptCase:
    """What each way to begin an attempt needs: the request under test is `r`, its client just connected."""

    def __init__(self, harness: RouterHarness, client: VirtualClient, stall: Stall, is_paused: bool) -> None:
        self.harness, self.client, self.stall, self.is_paused = harness, client, stall, is_paused

    async def send_request(self, cls: str = "get", value: bytes | None = None) -> None:
        request = encode_request("r", cls, value=value)
        if self.is_paused:
            await send_until_paused(self.harness, self.client, request)
            assert self.stall.at or any(
                connection.paused for connection in self.harness.daemon.clients._connections
            )
        else:
            self.client.transport.write(request)
            await self.harness.settle()


async def first_attempt(case: AttemptCase) -> None:
    stall_before_send(case.harness.host, "r", 1, case.stall)
    await case.send_request()


async def first_attempt_in_one_read(case: AttemptCase) -> None:
    """The command itself arrives in the stall, followed by its client's disconnect."""
    case.client.transport.write(encode_request("r"))
    case.stall()


async def fetch_after_miss(case: AttemptCase) -> None:
    """The fetch after a miss."""
    for cache in case.harness.caches.values():
        cache.on_request = cache.miss
    stall_before_send(case.harness.host, "r", 2, case.stall)
    await case.send_request()


async def retry_after_rejection(case: AttemptCase) -> None:
    """Another server is tried after one has rejected the request."""
    caches = case.harness.caches.values()

    def busy(connection: PeerConnection, name: str) -> None:
        connection.transport.write(b"-BUSY latency_ms=1.5,queue=2\r\n")

    for cache in caches:
        cache.on_request = busy
    stall_before_send(case.harness.host, "r", 2, case.stall)
    await case.send_request()


async def attempt_after_dial(case: AttemptCase) -> None:
    harness = case.harness
    for connection in [connection for cache in harness.caches.values() for connection in cache.connections]:
        connection.transport.close()
    await harness.settle()
    gate = asyncio.Event()
    harness.loop.gates.update((cache.address, gate) for cache in harness.caches.values())
    stall_before_call(harness.pool, "opened", case.stall)
    await case.send_request()
    assert harness.requests == []
    gate.set()


async def attempt_after_reuse_delay(case: AttemptCase) -> None:
    """It waits for a connection that has just delivered an answer."""
    harness = case.harness
    for cache in harness.caches.values():
        cache.on_request = cache.serve
    other = await harness.client()
    other.send_request("other")
    await harness.settle()
    stall_before_call(harness.pool, "_wake", case.stall)
    await case.send_request()
    assert "r" not in [name for _, _, name in harness.requests]


async def queued_fetch(case: AttemptCase) -> None:
    """It is queued for the store, behind another fetch."""
    harness = case.harness
    for cache in harness.caches.values():
        cache.on_request = cache.miss
    harness.host._router.origin_limits.fetch_window = 1.0
    other = await harness.client()
    other.send_request("other", key="other")
    await harness.settle()
    stall_before_send(harness.host, "r", 2, case.stall)
    await case.send_request()
    await harness.wait(REUSE_DELAY_S * 2)
    assert harness.origin.request_ids == ["other"]
    harness.origin.serve(harness.origin.connection_of("other"), "other")


async def delayed_retry(case: AttemptCase) -> None:
    """A write that the store rejected is retried after a pause."""

    def busy(connection: PeerConnection, name: str) -> None:
        connection.transport.write(http_answer(503, b"", "Not-Started: 1"))

    case.harness.origin.on_request = busy
    stall_before_send(case.harness.host, "r", 2, case.stall)
    await case.send_request("put", b"v")


CASES = {
    "first attempt": first_attempt,
    "first attempt in one read": first_attempt_in_one_read,
    "fetch after a miss": fetch_after_miss,
    "retry after a rejection": retry_after_rejection,
    "attempt after a dial": attempt_after_dial,
    "attempt after the reuse delay": attempt_after_reuse_delay,
    "queued fetch": queued_fetch,
    "delayed retry": delayed_retry,
}


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize(
    ("name", "is_paused"),
    # A first attempt begins when its command is read; the next test covers paused reading.
    [
        (name, is_paused)
        for name in CASES
        for is_paused in (False, True)
        if not is_paused or "first" not in name
    ],
)
def test_no_attempt_begins_for_a_client_that_left_in_a_stall(
    name: str, is_paused: bool, leaves: bool
) -> None:
    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        client = await harness.client()
        await harness.wait(0.3)
        stall = Stall(harness.loop, raw_socket(client), leaves)
        await CASES[name](AttemptCase(harness, client, stall, is_paused))
        await harness.wait(1.0)
        assert stall.at
        late = [
            seen for seen in harness.requests if seen[2] == "r" and seen[0] > stall.at + DISCONNECT_GRACE_S
        ]
        assert bool(late) != leaves, harness.requests
        await harness.wait(2.0)
        harness.assert_nothing_left()

    run_with_router(test, TWO_CACHES, LONG_DIALS)


@pytest.mark.parametrize("leaves", [True, False])
def test_command_unread_in_a_pause_is_not_sent_after_the_disconnect(leaves: bool) -> None:
    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        client = await harness.client()
        stall = Stall(harness.loop, raw_socket(client), leaves)
        await send_until_paused(harness, client, encode_request("p"))
        await harness.settle()
        client.transport.write(encode_request("r", key="other"))
        (server_name,) = {server for _, server, _ in harness.requests}
        cache = harness.caches[server_name]
        cache.serve(cache.connection_of("p"), "p")
        stall()
        await harness.wait(1.0)
        assert ("r" in [name for _, _, name in harness.requests]) != leaves
        await harness.wait(2.0)
        harness.assert_nothing_left()

    run_with_router(test, TWO_CACHES)


@pytest.mark.parametrize("leaves", [True, False])
def test_command_on_a_pending_connection_is_not_sent_after_the_disconnect(leaves: bool) -> None:
    """The connection, the command and the disconnect all arrive while the loop is stalled."""

    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        client = harness.loop.network.adopt()
        client.connect((ADDRESS, harness.port))
        client.send(encode_request("r"))
        stall = Stall(harness.loop, client, leaves)
        stall()
        await harness.wait(1.0)
        assert ("r" in [name for _, _, name in harness.requests]) != leaves
        await harness.wait(2.0)
        harness.assert_nothing_left()
        client.close()

    run_with_router(test, TWO_CACHES)


# Multi-gets


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("is_paused", [False, True], ids=["read", "paused"])
@pytest.mark.parametrize("method", ["submit", "opened"])
def test_no_batch_of_a_multi_get_begins_for_a_client_that_left(
    method: str, is_paused: bool, leaves: bool
) -> None:
    """The first batch, and the first that waited for a dial; one poll of the client serves all keys."""

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        if method == "submit":  # otherwise dials succeed one by one, and the disconnect is read meanwhile
            await client.multi_get([f"k{number}" for number in range(40)], "warm")
        await asyncio.sleep(0.3)
        attempts_before = len(deployment.attempts)
        sock = client.writer.transport.get_extra_info("socket")._sock
        stall = Stall(deployment.loop, sock, leaves)
        if method == "submit":
            is_batch = lambda server, exchange: isinstance(exchange, BatchExchange)  # noqa: E731
            stall_before_call(deployment.daemon._pool, "submit", stall, is_batch)
        else:
            stall_before_call(deployment.daemon._pool, "opened", stall)
        client.send_multi_get([f"k{number}" for number in range(40)])
        if is_paused:
            client.writer.write(bulk(b"PING") * (MAX_PIPELINE - 1))
        await asyncio.sleep(1.0)
        assert stall.at
        late = [
            at for at, _, _, _ in deployment.attempts[attempts_before:] if at > stall.at + DISCONNECT_GRACE_S
        ]
        assert bool(late) != leaves

    run_on_deployment(test)


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("is_paused", [False, True], ids=["read", "paused"])
def test_no_second_copy_begins_for_a_client_that_left(is_paused: bool, leaves: bool) -> None:
    def behavior(server: str, key: str, attempt_number: int) -> str:
        return "silent" if key == "slow" and attempt_number == 1 else "ok"

    async def test(deployment: Deployment) -> None:
        for i in range(40):
            client = await deployment.client()
            await client.multi_get([f"k{number}" for number in range(20)], request=f"w{i}")
        attempts_before = len(deployment.attempts)
        sock = client.writer.transport.get_extra_info("socket")._sock
        stall = Stall(deployment.loop, sock, leaves)
        stall_before_send(deployment.host, "q.3", 1, stall)
        client.send_multi_get(["a", "b", "c", "slow"])
        if is_paused:
            client.writer.write(bulk(b"PING") * (MAX_PIPELINE - 1))
        await asyncio.sleep(1.5)
        assert stall.at
        late = [
            at for at, _, _, _ in deployment.attempts[attempts_before:] if at > stall.at + DISCONNECT_GRACE_S
        ]
        assert bool(late) != leaves

    run_on_deployment(test, behavior=behavior)


@pytest.mark.parametrize("leaves", [True, False])
def test_no_fetch_of_a_multi_get_begins_for_a_client_that_left(leaves: bool) -> None:
    """Further fetches of the command do not begin either, although each dropped one frees its slot."""

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        await client.multi_get([f"k{number}" for number in range(40)], "warm")
        await asyncio.sleep(0.3)
        stall = Stall(deployment.loop, client.writer.transport.get_extra_info("socket")._sock, leaves)
        stall_before_call(deployment.host, "_send", stall, lambda action: action.server == "store")
        client.send_multi_get([f"k{number}" for number in range(40)])
        await asyncio.sleep(1.0)
        assert stall.at
        late = [at for at, _, _, _ in deployment.attempts if at > stall.at + DISCONNECT_GRACE_S]
        assert bool(late) != leaves

    run_on_deployment(
        test, behavior=lambda server, key, attempt_number: "ok" if server == "store" else "miss"
    )


# Several requests that wait for one fetch


@pytest.mark.parametrize("stays", [True, False])
def test_unsent_fetch_continues_for_a_client_that_still_waits(stays: bool) -> None:
    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        cache = harness.caches["a"]
        cache.on_request = cache.miss
        for connection in list(harness.origin.connections):
            connection.transport.close()
        await harness.settle()
        gate = harness.loop.gates[harness.origin.address] = asyncio.Event()
        harness.origin.on_request = harness.origin.serve
        leader, follower = await harness.client(), await harness.client()
        leader.send_request("r1")
        await harness.wait(REUSE_DELAY_S * 3)
        follower.send_request("r2")
        await harness.wait(REUSE_DELAY_S * 3)
        assert [name for _, _, name in harness.requests] == ["r1", "r2"]
        stall = Stall(harness.loop, raw_socket(leader), leaves=True)
        stall_before_call(harness.pool, "opened", stall)
        if not stays:
            follower.transport.abort()
            await harness.settle()
        gate.set()
        await harness.wait(1.0)
        assert stall.at
        assert harness.origin.request_ids == (["r2"] if stays else [])
        assert follower.replies() == ([b"value of r2"] if stays else [])
        await harness.wait(2.0)
        harness.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_fetch_does_not_pass_to_another_request_of_a_client_that_left() -> None:
    """A disconnect drops the connection's requests one by one: nothing is sent for the next meanwhile."""

    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        cache = harness.caches["a"]
        cache.on_request = cache.miss
        other = await harness.client()
        other.send_request("w1", "put", value=b"v", key="w")
        await harness.wait(REUSE_DELAY_S * 3)
        client = await harness.client()
        for name in ("r1", "r2", "r3"):
            client.send_request(name)
            await harness.wait(REUSE_DELAY_S * 3)
        assert harness.origin.request_ids == ["w1", "r1"]
        harness.origin.serve(harness.origin.connection_of("w1"), "w1")
        await harness.wait(REUSE_DELAY_S * 3)
        stall = Stall(harness.loop, raw_socket(client), leaves=True)
        stall()
        await harness.wait(1.0)
        assert harness.origin.request_ids == ["w1", "r1"]
        await harness.wait(2.0)
        harness.assert_nothing_left()

    run_with_router(test)


def test_id_reused_in_the_loop_iteration_of_a_disconnect_is_answered() -> None:
    """The close of the old connection, a loop iteration later, does not drop the new request."""

    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        cache = harness.caches["a"]
        client, second = await harness.client(), await harness.client()
        await harness.wait(0.3)
        stall = Stall(harness.loop, raw_socket(client), leaves=True)
        client.send_request("r")
        second.send_request("r")
        stall()
        cache.on_request = cache.serve
        await harness.wait(1.0)
        assert second.replies() == [b"value of r"]
        assert cache.request_ids == ["r"]
        harness.assert_nothing_left()

    run_with_router(test)


# The number of polls


def test_recently_read_client_is_not_polled() -> None:
    """Only clients that were not read lately are polled: none while the event loop is on time."""

    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        client = await harness.client()
        polls = []
        original = ClientConnection.client_has_disconnected

        def poll(self: ClientConnection) -> bool:
            polls.append(harness.loop.time())
            return original(self)

        with patch.object(ClientConnection, "client_has_disconnected", poll):
            for number in range(200):
                client.send_request(f"r{number}", key=f"k{number}")
                await harness.wait(0.015)
        assert len(client.replies()) == 200
        assert len(polls) == 1, "only for the first command of the connection"

    run_with_router(test)


def test_busy_connection_is_polled_every_50_ms() -> None:
    """A disconnect behind bytes that arrive in every loop iteration is found only by polling the socket."""

    async def test(harness: RouterHarness) -> None:
        await open_idle_connections(harness)
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        client = await harness.client()
        polls = []
        original = ClientConnection.client_has_disconnected

        def poll(self: ClientConnection) -> bool:
            polls.append(harness.loop.time())
            return original(self)

        with patch.object(ClientConnection, "client_has_disconnected", poll):
            for number in range(1000):
                client.send_request(f"r{number}", key=f"k{number}")
                await harness.wait(0.001)
        await harness.wait(REUSE_DELAY_S * 2)
        assert len(client.replies()) == 1000
        assert len(polls) <= 1.0 / 0.05 + 2

    run_with_router(test)


def test_commands_behind_more_than_there_is_memory_for_are_refused_and_never_sent() -> None:
    """Guards against requests that are sent although their client may have closed behind unread bytes."""

    async def test(harness: RouterHarness) -> None:
        harness.caches["a"].on_request = harness.caches["a"].serve
        client = await harness.client()
        client.send_request("w", "put", value=b"v")
        await harness.wait(0.1)
        names = [f"r{number}" for number in range(12_000)]
        client.transport.write(b"".join(encode_request(name, key=name.ljust(300, "x")) for name in names))
        await harness.wait(1.0)
        harness.origin.serve(harness.origin.connection_of("w"), "w")
        await harness.wait(5.0)
        replies = client.replies()
        assert replies[0] == b"value of w"
        assert len(replies) == 1 + len(names)
        served = {reply[len(b"value of ") :].decode() for reply in replies[1:] if reply != b"-BUSY"}
        assert len(served) < len(names)
        assert served == set(harness.caches["a"].request_ids)
        harness.assert_nothing_left()

    run_with_router(test, memory_mb=24.0, sockets=1024.0)


@pytest.mark.parametrize(("earlier_attempts", "answer"), [(0, b"-BUSY"), (1, b"-ERR failed")])
def test_no_attempt_begins_for_a_client_whose_end_is_not_known(earlier_attempts: int, answer: bytes) -> None:
    """Guards against an attempt that begins seconds after its client closed behind unread bytes."""

    async def test(harness: RouterHarness) -> None:
        client, memory = await harness.client(), harness.daemon.clients.memory
        client.send_request("r")
        await harness.settle()
        (connection,) = harness.daemon.clients._connections
        memory.replies.take(64 << 20)  # so that nothing can be read ahead
        assert connection.transport is not None
        connection.transport.pause_reading()
        connection.liveness.is_reading = False
        client.send_request("unread")
        await harness.wait(0.2)
        request = harness.host.request("r")
        request.attempts = earlier_attempts
        attempt = harness.host.attempt(request, "a")
        assert not attempt.may_begin()
        await harness.settle()
        assert client.replies() == [answer]
        memory.replies.take(-(64 << 20))

    run_with_router(test)


@pytest.mark.parametrize("cls", ["once", "put"])
def test_write_whose_client_left_is_not_sent_again_when_its_id_comes_again(cls: str) -> None:
    """Guards against an effect twice, as a client comes again after its write ran and it had left."""

    async def test(harness: RouterHarness) -> None:
        leaving = await harness.client()
        leaving.send_request("w", cls, value=b"v")
        await harness.wait(0.1)
        leaving.transport.abort()
        await harness.settle()
        harness.origin.serve(harness.origin.connection_of("w"), "w")
        await harness.wait(0.2)
        harness.assert_nothing_left()
        again = await harness.client()
        again.send_request("w", cls, value=b"v")
        again.send_request("other", cls, value=b"v")
        await harness.wait(0.2)
        assert harness.origin.request_ids == ["w", "other"]
        assert again.replies() == [b"-ERR duplicate id"]

    run_with_router(test)


def test_write_that_was_not_sent_before_its_client_left_may_come_again() -> None:
    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        leaving = await harness.client()
        leaving.send_request("w", "once", value=b"v")
        leaving.transport.abort()
        await harness.wait(0.2)
        again = await harness.client()
        again.send_request("w", "once", value=b"v")
        await harness.wait(0.2)
        assert harness.origin.request_ids == ["w"]
        assert again.replies() == [b"value of w"]

    run_with_router(test)


def test_ids_of_abandoned_writes_are_bounded_in_time_and_number() -> None:
    abandoned = AbandonedWrites(retention_ns=10)
    for number in range(MAX_IDS + 1):
        abandoned.record(f"w{number}", now=0)
    assert not abandoned.contains("w0", now=5)
    assert abandoned.contains("w1", now=5)
    assert not abandoned.contains("w1", now=10)
