"""Races of requests with disconnects and with the router's shutdown, each order forced, in virtual time."""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack
from typing import Any, cast
from unittest.mock import patch

import pytest

from pebblepass.daemon import attempts
from pebblepass.daemon.client_connection import MAX_PIPELINE, ClientConnection
from pebblepass.daemon.client_server import SWEEP_INTERVAL_S
from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.client_timeouts import IDLE_TIMEOUT_S
from pebblepass.daemon.shutdown_plan import ACCEPT_S, ANSWER_SLACK_S, KILL_SLACK_S, PARTIAL_COMMANDS_S
from pebblepass.simulation.network import CountedSocket
from tests.sockets import http_answer
from tests.virtual_router import (
    ADDRESS,
    LONG_DIALS,
    PeerConnection,
    RouterHarness,
    VirtualClient,
    encode_request,
    run_with_router,
)

DISCONNECT_GRACE_S = 0.1  # nothing may be sent for a client later than this after its disconnect
KILL_DELAY_S = 0.7  # after the longest deadline; SIGKILL comes no sooner
LONGEST_DEADLINE_S = 2.0  # the longest deadline of these tests' settings
AMPLE_LIMITS: Any = {"sockets": 1024.0, "memory_mb": 192.0}


def counted_socket(client: VirtualClient) -> CountedSocket:
    return cast(CountedSocket, client.transport.get_extra_info("socket")._sock)


class Sender:
    """Sends a request at a given time, if the router's kernel still accepts it."""

    def __init__(self, harness: RouterHarness, client: VirtualClient, name: str, at: float) -> None:
        self.harness, self.client, self.name = harness, client, name
        self.accepted = False
        harness.loop.call_at(at, self.send)

    def send(self) -> None:
        if self.client.transport.is_closing():
            return
        outgoing = counted_socket(self.client).outgoing
        assert outgoing is not None
        # If the router closes the connection in this loop iteration, the protocol leaves the retry to the
        # client.
        self.accepted = any(
            connection.transport.get_extra_info("socket")._sock is outgoing.reader
            for connection in self.harness.daemon.clients._connections
            if connection.transport is not None and not connection.transport.is_closing()
        )
        if self.accepted:
            self.client.transport.write(encode_request(self.name, key=self.name))


# Clients that disconnect


@pytest.mark.parametrize("reset", [False, True])
def test_nothing_is_sent_after_the_disconnect_of_a_paused_connection(reset: bool) -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        first = [f"r{i}" for i in range(MAX_PIPELINE)]
        client.transport.write(b"".join(encode_request(name, key=name) for name in first))
        await harness.settle()
        later = [f"b{i}" for i in range(50)]
        client.transport.write(b"".join(encode_request(name, key=name) for name in later))
        await harness.settle()
        if reset:
            client.transport.abort()
        else:
            client.transport.close()
        left_at = harness.loop.time()
        await harness.wait(DISCONNECT_GRACE_S)
        seen_before = len(harness.requests)
        harness.caches["a"].on_request = harness.caches["a"].serve
        for connection in list(harness.caches["a"].connections):
            harness.caches["a"].serve(connection, connection.request_ids[-1])
        await harness.wait(LONGEST_DEADLINE_S)
        assert [name for at, _, name in harness.requests if at > left_at + DISCONNECT_GRACE_S] == []
        assert len(harness.requests) == seen_before
        harness.assert_nothing_left()

    run_with_router(test, **AMPLE_LIMITS)


def test_nothing_is_sent_after_the_disconnect_of_a_blocked_connection() -> None:
    async def test(harness: RouterHarness) -> None:
        cache, client = harness.caches["a"], await harness.client()

        def serve_much(connection: PeerConnection, name: str) -> None:
            connection.transport.write(cache.answer(name, b"v" * 60_000))

        cache.on_request = serve_much
        client.transport.pause_reading()
        for i in range(8):
            client.send_request(f"r{i}", key=f"k{i}")
            await harness.wait(0.02)
        assert next(iter(harness.daemon.clients._connections)).blocked
        cache.on_request = lambda connection, name: None
        client.send_request("late", key="late")
        await harness.settle()
        client.transport.close()
        await harness.wait(DISCONNECT_GRACE_S)
        seen = len(harness.requests)
        await harness.wait(LONGEST_DEADLINE_S)
        assert len(harness.requests) == seen
        assert "late" not in cache.request_ids
        assert harness.daemon.clients.connected == 0
        harness.assert_nothing_left()

    run_with_router(test)


def test_commands_sent_right_before_a_disconnect_are_not_forwarded() -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        client.transport.write(b"".join(encode_request(f"r{i}", key=f"r{i}") for i in range(100)))
        client.transport.close()
        await harness.wait(LONGEST_DEADLINE_S)
        assert harness.requests == []
        harness.assert_nothing_left()

    run_with_router(test)


def test_requests_queued_for_connections_are_not_sent_after_a_disconnect() -> None:
    """There are more requests than connections allowed to one server; the rest wait for a free one."""

    async def test(harness: RouterHarness) -> None:
        harness.update_servers("origin", full=True)
        harness.update_servers("a")
        client = await harness.client()
        for i in range(40):
            client.send_request(f"r{i}", key="k")
        await harness.settle()
        seen_before = list(harness.requests)
        assert 0 < len(seen_before) < 40
        client.transport.abort()
        await harness.wait(DISCONNECT_GRACE_S)
        for connection in list(harness.caches["a"].connections):
            harness.caches["a"].serve(connection, connection.request_ids[-1])
        await harness.wait(LONGEST_DEADLINE_S)
        assert harness.requests == seen_before
        harness.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("reset", [False, True])
def test_cancelled_handover_drops_a_connection_whose_client_left(reset: bool) -> None:
    """The client disconnects during the handover, while nothing reads the connection."""

    async def test(harness: RouterHarness) -> None:
        cache, client, clients = harness.caches["a"], await harness.client(), harness.daemon.clients
        cache.on_request = cache.serve
        client.send_request("r1")
        await harness.settle()
        handed_over: list[Any] = []
        clients.hand_over(handed_over.append)
        assert len(handed_over) == 1
        client.send_request("r2")
        if reset:
            client.transport.abort()
        else:
            client.transport.close()
        await harness.wait(DISCONNECT_GRACE_S)
        clients.on_handover = None
        handed_over[0].cancel()
        await harness.wait(DISCONNECT_GRACE_S)
        assert cache.request_ids == ["r1"]
        assert clients.connected == 0
        harness.assert_nothing_left()

    run_with_router(test)


# Connection limit and idle timeout


def test_connection_with_an_unread_request_is_not_evicted() -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        clients = harness.daemon.clients
        clients.limit = 2
        old, young = await harness.client(), await harness.client()
        for client, name in ((old, "r1"), (young, "r2")):
            client.send_request(name, key=name)
            await harness.wait(0.1)
        await harness.wait(0.4)
        # In one loop iteration; the listener's socket is the oldest, so that the new connection is accepted
        # before the request is read.
        connecting = harness.loop.create_task(
            harness.loop.create_connection(VirtualClient, ADDRESS, harness.port)
        )
        old.send_request("r3", key="r3")
        await harness.wait(0.1)
        _, third = await connecting
        cast(VirtualClient, third).send_request("r4", key="r4")
        await harness.wait(0.1)
        assert old.replies() == [b"value of r1", b"value of r3"]
        assert cast(VirtualClient, third).replies() == [b"value of r4"]
        assert young.closed
        harness.assert_nothing_left()

    run_with_router(test)


def test_request_sent_as_the_idle_timeout_expires_is_answered() -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        started_at = harness.loop.time()
        senders = []
        for i in range(200):
            client = await harness.client()
            client.send_request(f"first{i}", key=f"k{i}")
            senders.append(
                Sender(harness, client, f"r{i}", started_at + IDLE_TIMEOUT_S + i * SWEEP_INTERVAL_S / 100)
            )
        await harness.wait(IDLE_TIMEOUT_S + 4 * SWEEP_INTERVAL_S)
        accepted = [sender for sender in senders if sender.accepted]
        assert 0 < len(accepted) < len(senders)
        assert [sender.name for sender in accepted if len(sender.client.replies()) != 2] == []
        harness.assert_nothing_left()

    run_with_router(test, **AMPLE_LIMITS)


# SIGTERM


def drain(harness: RouterHarness) -> asyncio.Task[None]:
    """Do what the process does from SIGTERM to its exit."""

    async def shut_down() -> None:
        await harness.daemon.drain()
        harness.daemon.stop()

    return harness.loop.create_task(shut_down())


@pytest.mark.parametrize("stall_s", [0.0, 0.06])
def test_every_request_sent_during_the_shutdown_is_answered(stall_s: float) -> None:
    """Clients send on idle connections, one each millisecond, around every step of the drain."""

    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        clients = [await harness.client() for _ in range(300)]
        for i, client in enumerate(clients):
            client.send_request(f"first{i}", key=f"k{i}")
        await harness.wait(0.05)
        started_at = harness.loop.time()
        task = drain(harness)
        senders = [
            Sender(harness, client, f"r{i}", started_at + ACCEPT_S - 0.1 + i / 1000)
            for i, client in enumerate(clients)
        ]
        if stall_s:
            for step in (ACCEPT_S, PARTIAL_COMMANDS_S):
                harness.loop.call_at(started_at + step - stall_s / 2, harness.loop.stall, stall_s)
        await harness.wait(LONGEST_DEADLINE_S + KILL_DELAY_S)
        assert task.done()
        accepted = [sender for sender in senders if sender.accepted]
        assert len(accepted) > 80
        assert [sender.name for sender in accepted if len(sender.client.replies()) != 2] == []

    run_with_router(test, **AMPLE_LIMITS)


@pytest.mark.parametrize("stall_s", [0.0, 0.06])
def test_clients_accepted_before_the_listener_closes_are_answered(stall_s: float) -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        started_at = harness.loop.time()
        task = drain(harness)
        answered: dict[int, list[bytes]] = {}

        async def connect_and_send(number: int) -> None:
            await asyncio.sleep(ACCEPT_S - 0.05 + number / 2000)
            try:
                client = await harness.client()
            except ConnectionRefusedError:
                return
            client.send_request(f"r{number}", key=f"k{number}")
            answered[number] = []
            await asyncio.sleep(0.5)
            answered[number] = client.replies()

        if stall_s:
            harness.loop.call_at(started_at + ACCEPT_S - stall_s / 2, harness.loop.stall, stall_s)
        tasks = [harness.loop.create_task(connect_and_send(number)) for number in range(200)]
        await asyncio.gather(*tasks)
        assert 80 <= len(answered) < 200
        assert {number: answers for number, answers in answered.items() if len(answers) != 1} == {}
        await task

    run_with_router(test, **AMPLE_LIMITS)


def test_busy_client_gets_every_answer_before_its_connection_closes() -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]

        def serve_late(connection: PeerConnection, name: str) -> None:
            harness.loop.call_later(0.2, cache.serve, connection, name)

        cache.on_request = serve_late
        client = await harness.client()
        sent: list[str] = []
        started_at = harness.loop.time()

        def send_next(number: int) -> None:
            outgoing = counted_socket(client).outgoing if not client.transport.is_closing() else None
            if outgoing is not None and outgoing.reader is not None:
                sent.append(f"r{number}")
                client.send_request(sent[-1], key=f"k{number}")
                harness.loop.call_later(0.02, send_next, number + 1)

        send_next(0)
        await harness.wait(0.3)
        task = drain(harness)
        await harness.wait(LONGEST_DEADLINE_S + KILL_DELAY_S)
        assert task.done()
        assert len(sent) > 30
        assert len(client.replies()) == len(sent)
        assert client.closed
        assert harness.loop.time() - started_at < LONGEST_DEADLINE_S + KILL_DELAY_S + 0.4

    run_with_router(test, **AMPLE_LIMITS)


@pytest.mark.parametrize("d", [100, 1200, 2000, 8000])
@pytest.mark.parametrize("silent_server", ["cache", "store"])
def test_requests_at_hanging_servers_are_answered_during_the_drain(d: int, silent_server: str) -> None:
    """Also a request whose own timeout exceeds its class's deadline: SIGKILL does not wait for it."""

    async def test(harness: RouterHarness) -> None:
        if silent_server == "store":
            harness.caches["a"].on_request = harness.caches["a"].miss
        client = await harness.client()
        client.send_request("r1", d=d)
        client.send_request("r2", "once", d=d, key="k2")
        await harness.settle()
        task = drain(harness)
        last = await harness.client()
        harness.loop.call_later(ACCEPT_S - 0.01, lambda: last.send_request("r3", d=d, key="k3"))
        await harness.wait(LONGEST_DEADLINE_S + KILL_SLACK_S + 0.02)
        assert len(client.replies()) == 2
        assert len(last.replies()) == 1
        assert client.closed
        assert last.closed
        assert task.done()
        assert ANSWER_SLACK_S < KILL_SLACK_S < KILL_DELAY_S

    run_with_router(test)


def test_drain_answers_completed_commands_and_drops_partial_ones() -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        completed, partial = await harness.client(), await harness.client()
        request = encode_request("r1")
        for client in (completed, partial):
            client.transport.write(request[:20])
        await harness.settle()
        task = drain(harness)
        harness.loop.call_later(ACCEPT_S + 0.1, completed.transport.write, request[20:])
        await harness.wait(PARTIAL_COMMANDS_S + 0.1)
        assert completed.replies() == [b"value of r1"]
        assert partial.replies() == []
        assert partial.closed
        await harness.wait(0.1)
        assert task.done()

    run_with_router(test)


def test_request_failed_at_the_end_of_the_drain_is_not_retried() -> None:
    """Nothing is sent for it after its final answer, whatever the outcomes of its attempts."""

    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        client.send_request("r1", d=8000)
        await harness.settle()
        task: Any = drain(harness)
        harness.loop.call_later(
            LONGEST_DEADLINE_S + ANSWER_SLACK_S + 0.05, harness.caches["a"].connections[0].reset
        )
        await harness.wait(LONGEST_DEADLINE_S + KILL_DELAY_S)
        assert client.replies() == [b"-ERR failed"]
        assert len(harness.requests) == 1
        assert task.done()

    run_with_router(test)


# Disconnects at random times


def random_disconnects(seed: int) -> tuple[list[str], int]:
    """Clients disconnect at random while dials hang, reads are queued, timers run, and reading is paused.

    Returns the requests with an attempt sent more than 0.1 s after the disconnect, and the number of requests
    with any attempt.
    """
    late: list[str] = []
    sent: set[str] = set()

    async def test(harness: RouterHarness) -> None:
        rng = random.Random(seed)
        cache, origin = harness.caches["a"], harness.origin
        gates = {peer.address: asyncio.Event() for peer in (cache, harness.caches["b"], origin)}
        harness.loop.gates.update(gates)
        harness.host._router.origin_limits.fetch_window = 2.0
        cache.on_request = harness.caches["b"].on_request = cache.miss

        def busy(connection: PeerConnection, name: str) -> None:
            # A write is retried after a pause; a read waits for the next free slot of the store.
            delay = rng.uniform(0.0, 0.4)
            harness.loop.call_later(
                delay, connection.transport.write, http_answer(503, b"", "Not-Started: 1")
            )

        origin.on_request = busy
        left_at: dict[str, float] = {}

        async def act_as_client(number: int) -> None:
            client = await harness.client()
            await asyncio.sleep(rng.uniform(0, 0.5))
            names = [f"r{number}.{i}" for i in range(rng.choice([1, 1, 3, MAX_PIPELINE + 40]))]
            cls = rng.choice(["get", "put", "once"])
            value = b"v" if cls != "get" and rng.random() < 0.5 else None
            half = min(len(names), MAX_PIPELINE)
            for part in (names[:half], names[half:]):
                client.transport.write(b"".join(encode_request(n, cls, key=n, value=value) for n in part))
                await asyncio.sleep(0.001)
            await asyncio.sleep(rng.uniform(0, 0.8))
            left_at.update(dict.fromkeys(names, harness.loop.time()))
            (client.transport.abort if rng.random() < 0.5 else client.transport.close)()

        async def toggle_gates() -> None:
            for _ in range(20):
                for gate in gates.values():
                    (gate.set if rng.random() < 0.5 else gate.clear)()
                await asyncio.sleep(0.1)
            for gate in gates.values():
                gate.set()

        await asyncio.gather(toggle_gates(), *(act_as_client(number) for number in range(40)))
        await harness.wait(3.0)
        sent.update(name for _, _, name in harness.requests)
        late.extend(name for at, _, name in harness.requests if at > left_at[name] + DISCONNECT_GRACE_S)
        harness.assert_nothing_left()

    run_with_router(test, ("a", "b"), LONG_DIALS, **AMPLE_LIMITS)
    return late, len(sent)


@pytest.mark.parametrize("seed", range(6))
def test_nothing_is_sent_later_than_allowed_after_a_random_disconnect(seed: int) -> None:
    late, sent = random_disconnects(seed)
    assert late == []
    assert sent > 20


@pytest.mark.parametrize("fault", ["waits", "paused"])
def test_random_disconnects_detect_a_router_that_sends_afterwards(fault: str) -> None:
    with ExitStack() as stack:
        # Disabled in both cases: each attempt checks for its client once more, which hides the fault.
        stack.enter_context(
            patch.object(ClientConnection, "client_state", lambda self: ClientState.CONNECTED)
        )
        if fault == "waits":
            stack.enter_context(patch.object(attempts.Attempt, "is_wanted", True))
            stack.enter_context(patch.object(attempts.OpenRequest, "withdraw", lambda self: None))
        else:
            stack.enter_context(patch.object(ClientConnection, "client_has_disconnected", lambda self: False))
        assert any(random_disconnects(seed)[0] for seed in range(6))
