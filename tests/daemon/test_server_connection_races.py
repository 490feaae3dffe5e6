"""Races of two events on a connection to a server, with each order of the events forced."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import patch

import pytest

from pebblepass.daemon.connection_pool import REUSE_DELAY_S
from pebblepass.daemon.server_connection import Connection
from pebblepass.decisions import ServerState
from tests.sockets import http_answer
from tests.virtual_router import LONG_DIALS, PeerConnection, RouterHarness, run_with_router

DISCONNECT_GRACE_S = 0.1  # nothing may be sent for a client later than this after its disconnect


def single_class_settings(effect: str, window_ns: int = 0, group: str = "all") -> dict[str, Any]:
    """Settings with a single class `x` of this effect, which the class's name does not imply."""
    request_class = {"name": "x", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": effect, "group": group}
    return {"classes": [{**request_class, "dedupWindowNs": window_ns}], **LONG_DIALS}


@pytest.mark.parametrize("request_class", ["get", "put", "once"])
def test_request_waiting_for_a_dial_is_dropped_after_a_disconnect(request_class: str) -> None:
    async def test(harness: RouterHarness) -> None:
        gate = harness.loop.gates[harness.caches["a"].address] = asyncio.Event()
        client = await harness.client()
        client.send_request("r1", request_class)
        await harness.settle()
        client.transport.abort()
        await harness.wait(DISCONNECT_GRACE_S)
        gate.set()
        await harness.wait(1.0)
        assert harness.requests == []
        harness.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_write_waiting_for_a_store_dial_is_dropped_after_a_disconnect() -> None:
    async def test(harness: RouterHarness) -> None:
        gate = harness.loop.gates[harness.origin.address] = asyncio.Event()
        client = await harness.client()
        client.send_request("w1", "put", value=b"v")
        await harness.settle()
        client.transport.abort()
        await harness.wait(DISCONNECT_GRACE_S)
        gate.set()
        await harness.wait(1.0)
        assert harness.requests == []
        harness.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_request_past_its_deadline_after_a_dial_is_not_sent() -> None:
    async def test(harness: RouterHarness) -> None:
        gate = harness.loop.gates[harness.caches["a"].address] = asyncio.Event()
        client = await harness.client()
        client.send_request("r1", d=400)
        await harness.wait(0.45)
        assert len(client.replies()) == 1
        gate.set()
        await harness.wait(1.0)
        assert harness.requests == []
        assert len(client.replies()) == 1
        harness.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_partly_sent_write_is_aborted_after_a_disconnect() -> None:
    async def test(harness: RouterHarness) -> None:
        # The peer reads nothing, so that the kernel's buffers are full before the last byte.
        harness.origin.on_accept = lambda connection: connection.transport.pause_reading()
        client = await harness.client()
        client.send_request("w1", "put", value=b"v" * (64 << 10))
        await harness.settle()
        (connection,) = harness.origin.connections
        client.transport.abort()
        await harness.settle()
        connection.transport.resume_reading()
        await harness.wait(1.0)
        assert harness.requests == []
        assert harness.origin.connections == []
        harness.assert_nothing_left()

    run_with_router(test)


def test_completely_sent_request_keeps_its_connection_after_a_disconnect() -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        client.send_request("r1")
        await harness.settle()
        client.transport.abort()
        await harness.settle()
        connection = harness.caches["a"].connection_of("r1")
        harness.caches["a"].serve(connection, "r1")
        await harness.settle()
        assert harness.caches["a"].connections == [connection], "the connection stays open"
        harness.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("delay_s", [0.0003, 0.002, 0.004])
def test_late_second_answer_is_not_used_for_the_next_request(delay_s: float) -> None:
    async def test(harness: RouterHarness) -> None:
        cache, client = harness.caches["a"], await harness.client()
        client.send_request("r1")
        await harness.settle()
        cache.serve(cache.connection_of("r1"), "r1")
        await harness.settle()
        client.send_request("r2")
        transport = cache.connection_of("r1").transport
        harness.loop.call_later(delay_s, transport.write, cache.answer("r1"))

        def serve_later(connection: PeerConnection, name: str) -> None:
            harness.loop.call_later(0.005, cache.serve, connection, name)

        cache.on_request = serve_later
        await harness.wait(REUSE_DELAY_S * 5)
        assert client.replies() == [b"value of r1", b"value of r2"]
        harness.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("trailing", ["second answer", "noise", "end", "reset"])
@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
def test_unread_input_after_an_answer_does_not_fail_the_next_request(trailing: str, effect: str) -> None:
    async def test(harness: RouterHarness) -> None:
        cache, client = harness.caches["a"], await harness.client()
        client.send_request("r1", "x")
        await harness.settle()
        connection = cache.connection_of("r1")
        cache.serve(connection, "r1")
        await harness.wait(REUSE_DELAY_S * 2)
        cache.on_request = cache.serve
        # In one loop iteration; the router reads its client first, whose socket is the older one.
        client.send_request("r2", "x")
        match trailing:
            case "second answer":
                connection.transport.write(cache.answer("r1"))
            case "noise":
                connection.transport.write(b"!")
            case "end":
                connection.transport.close()
            case "reset":
                connection.reset()
        await harness.wait(REUSE_DELAY_S * 3)
        assert client.replies() == [b"value of r1", b"value of r2"]
        assert cache.request_ids == ["r1", "r2"], "each is sent once, the second on a new connection"
        harness.assert_nothing_left()

    run_with_router(test, settings=single_class_settings(effect, 10**9))


@pytest.mark.parametrize("connection_end", ["end", "reset"])
def test_connection_end_right_after_an_answer_loses_no_request(connection_end: str) -> None:
    async def test(harness: RouterHarness) -> None:
        cache, client = harness.caches["a"], await harness.client()
        client.send_request("r1", "once")
        client.send_request("r2", "once")  # waits for a connection, or gets its own
        await harness.settle()

        def answer_and_end(connection: PeerConnection, name: str) -> None:
            cache.serve(connection, name)
            connection.transport.close()

        for name in ("r1", "r2"):
            answer_and_end(cache.connection_of(name), name)
        cache.on_request = cache.serve
        await harness.settle()
        client.send_request("r3", "once")
        await harness.wait(REUSE_DELAY_S * 3)
        assert client.replies() == [b"value of r1", b"value of r2", b"value of r3"]
        harness.assert_nothing_left()

    run_with_router(test)


def test_unsafe_request_that_the_kernel_rejects_is_retried() -> None:
    """A reset between the check for unread input and the write: no byte is sent, so a retry is safe."""

    async def test(harness: RouterHarness) -> None:
        cache, client = harness.caches["a"], await harness.client()
        client.send_request("r1", "once")
        await harness.settle()
        connection = cache.connection_of("r1")
        cache.serve(connection, "r1")
        await harness.wait(REUSE_DELAY_S * 2)
        cache.on_request, harness.origin.on_request = cache.serve, harness.origin.serve
        client.send_request("r2", "once")
        connection.reset()
        with patch.object(Connection, "has_nothing_unread", True):  # checked before the reset
            await harness.wait(REUSE_DELAY_S * 3)
        assert client.replies() == [b"value of r1", b"value of r2"]
        harness.assert_nothing_left()

    run_with_router(test)


def test_retry_waiting_for_a_dial_is_not_sent_after_the_dedup_window() -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        client.send_request("r1", "x")
        await harness.settle()
        ((_, first, _),) = harness.requests
        other = "b" if first == "a" else "a"
        other_gate = harness.loop.gates[harness.caches[other].address] = asyncio.Event()
        origin_gate = harness.loop.gates[harness.origin.address] = asyncio.Event()
        first_gate = harness.loop.gates[harness.caches[first].address] = asyncio.Event()
        await harness.wait(0.3)
        harness.caches[first].connection_of("r1").reset()  # the request may have run
        await harness.wait(0.3)
        for event in (other_gate, first_gate, origin_gate):
            event.set()
        await harness.wait(0.5)
        assert [name for _, _, name in harness.requests] == ["r1"]
        assert len(client.replies()) == 1
        harness.assert_nothing_left()

    run_with_router(test, caches=("a", "b"), settings=single_class_settings("dedup", 500_000_000))


def test_retry_within_the_dedup_window_is_sent() -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        client.send_request("r1", "x")
        await harness.settle()
        ((_, first, _),) = harness.requests
        for cache in harness.caches.values():
            cache.on_request = cache.serve
        harness.caches[first].connection_of("r1").reset()
        await harness.wait(0.3)
        assert client.replies() == [b"value of r1"]
        harness.assert_nothing_left()

    run_with_router(test, caches=("a", "b"), settings=single_class_settings("dedup", 500_000_000))


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_request_waiting_for_a_dial_moves_when_its_server_drains(state: ServerState) -> None:
    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        gate = harness.loop.gates[harness.caches["a"].address] = asyncio.Event()
        client = await harness.client()
        client.send_request("r1")
        await harness.settle()
        harness.update_servers("a", state=state)
        gate.set()
        await harness.wait(0.2)
        assert [server for _, server, _ in harness.requests] == ["origin"]
        assert client.replies() == [b"value of r1"]
        assert harness.caches["a"].connections == [], "a connection that is established later is closed"
        harness.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_server_listed_at_a_new_address_gets_nothing_at_the_old_one() -> None:
    async def test(harness: RouterHarness) -> None:
        new_server = harness.caches["b"]
        new_server.on_request, harness.origin.on_request = new_server.serve, harness.origin.serve
        old_address = harness.caches["a"].address
        gate = harness.loop.gates[old_address] = asyncio.Event()
        harness.update_servers("a", "origin", full=True)  # "b" is removed; its address becomes that of "a"
        client = await harness.client()
        client.send_request("r1")
        await harness.settle()
        harness.update_servers("a", state=ServerState.DRAINING)
        harness.caches["a"].address = new_server.address
        harness.update_servers("a")
        client.send_request("r2")
        gate.set()
        await harness.wait(REUSE_DELAY_S * 5)
        assert all(server != "a" for _, server, _ in harness.requests)
        assert client.replies()[1] == b"value of r2"
        harness.assert_nothing_left()

    run_with_router(test, caches=("a", "b"), settings=LONG_DIALS)


def test_dial_cancelled_as_it_begins_is_no_longer_counted() -> None:
    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        harness.loop.gates[harness.caches["a"].address] = asyncio.Event()
        client = await harness.client()
        client.send_request("r1")
        while not harness.pool._servers["a"].dials:
            await asyncio.sleep(0)
        harness.update_servers("a", state=ServerState.REMOVED)
        await harness.wait(0.1)
        assert client.replies() == [b"value of r1"]
        assert harness.pool._connection_count == 1, "only the store's connection is counted"
        harness.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


@pytest.mark.parametrize("another_waits", [False, True])
def test_fetch_restarts_after_a_disconnect_only_if_a_client_waits(another_waits: bool) -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.miss
        first, second, third = await harness.client(), await harness.client(), await harness.client()
        first.send_request("r1")
        await harness.settle()
        second.send_request("r2")
        third.send_request("r3")
        await harness.wait(REUSE_DELAY_S * 3)
        assert sorted(cache.request_ids) == ["r1", "r2", "r3"]
        assert harness.origin.request_ids == ["r1"]
        third.transport.abort()
        if not another_waits:
            second.transport.abort()
        await harness.settle()
        harness.origin.on_request = harness.origin.serve
        first.transport.abort()
        await harness.settle()
        harness.origin.serve(harness.origin.connection_of("r1"), "r1")
        await harness.wait(DISCONNECT_GRACE_S)
        assert harness.origin.request_ids == (["r1", "r2"] if another_waits else ["r1"])
        assert second.replies() == ([b"value of r2"] if another_waits else [])
        harness.assert_nothing_left()

    run_with_router(test)


def test_queued_fetch_without_a_waiting_client_is_not_sent() -> None:
    async def test(harness: RouterHarness) -> None:
        harness.caches["a"].on_request = harness.caches["a"].miss
        harness.host._router.origin_limits.fetch_window = 1.0
        first, second, third = await harness.client(), await harness.client(), await harness.client()
        first.send_request("r1", key="k1")
        await harness.settle()
        second.send_request("r2", key="k2")
        third.send_request("r3", key="k2")
        await harness.wait(REUSE_DELAY_S * 3)
        assert harness.caches["a"].request_ids == ["r1", "r2", "r3"]
        second.transport.abort()
        third.transport.abort()
        await harness.settle()
        harness.origin.serve(harness.origin.connection_of("r1"), "r1")
        await harness.wait(1.0)
        assert harness.origin.request_ids == ["r1"]
        assert first.replies() == [b"value of r1"]
        harness.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("name", ["subscribe", "r1"])
def test_delayed_retry_is_answered_whatever_its_request_id(name: str) -> None:
    """A request id may equal the token of another timer of the decision module."""

    async def test(harness: RouterHarness) -> None:
        def reject(connection: PeerConnection, name: str) -> None:
            connection.transport.write(http_answer(503, b"", "Not-Started: 1"))

        harness.origin.on_request = reject
        client = await harness.client()
        client.send_request(name, "put", d=1900, value=b"v")
        await harness.wait(2.0)
        assert len(harness.requests) > 1, "it was retried after a pause"
        assert len(client.replies()) == 1
        harness.assert_nothing_left()

    run_with_router(test)


GROUPS = [
    ("retryable", "all", ["same cell", "same zone", "other zone"]),
    ("fragile", "all", []),
    ("dedup", "all", ["same cell", "same zone", "other zone"]),
    ("dedup", "zone", ["same cell", "same zone"]),
    ("dedup", "cell", ["same cell"]),
]
CELLS = {"same cell": ("z1", 1), "same zone": ("z1", 2), "other zone": ("z2", 3)}


@pytest.mark.parametrize("other", CELLS)
@pytest.mark.parametrize(("effect", "group", "retried_at"), GROUPS)
def test_retries_of_reads_follow_the_effect_and_its_group(
    effect: str, group: str, retried_at: list[str], other: str
) -> None:
    """Whether a read that may have run at one server may be sent to another one."""

    async def test(harness: RouterHarness) -> None:
        harness.cells = {**CELLS, "first": ("z1", 1)}
        harness.update_servers("first", full=True)
        client = await harness.client()
        client.send_request("r1", "x")
        await harness.settle()
        harness.update_servers("first", other, full=True)
        harness.caches[other].on_request = harness.caches[other].serve
        harness.caches["first"].on_request = lambda connection, name: connection.reset()
        harness.caches["first"].connection_of("r1").reset()
        await harness.wait(0.2)
        arrivals = [server for _, server, _ in harness.requests if server != "first"]
        assert arrivals == ([other] if other in retried_at else [])
        if other in retried_at:
            assert client.replies() == [b"value of r1"]
        else:
            assert client.replies() == [b"-ERR failed"], "-BUSY would say that a retry is safe"
        harness.assert_nothing_left()

    run_with_router(test, ("first", *CELLS), single_class_settings(effect, 2 * 10**9, group))


@pytest.mark.parametrize(("effect", "group", "retried_at"), GROUPS)
def test_retries_of_writes_follow_the_effect(effect: str, group: str, retried_at: list[str]) -> None:
    """Retries go to the store again, which is a group of its own."""

    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        client.send_request("w1", "x", value=b"v")
        await harness.wait(REUSE_DELAY_S * 2)
        harness.origin.on_request = harness.origin.serve
        harness.origin.connection_of("w1").reset()
        await harness.wait(1.5)
        assert harness.origin.request_ids == (["w1", "w1"] if retried_at else ["w1"])
        assert client.replies() == [b"value of w1" if retried_at else b"-ERR failed"]
        harness.assert_nothing_left()

    run_with_router(test, (), single_class_settings(effect, 2 * 10**9, group))


def test_endless_invalid_answer_ends_with_its_attempt() -> None:
    async def test(harness: RouterHarness) -> None:
        cache, client = harness.caches["a"], await harness.client()

        def send_more(connection: PeerConnection, name: str) -> None:
            if connection in cache.connections:
                connection.transport.write(b"v" * 100)
                harness.loop.call_later(0.01, send_more, connection, name)

        def send_invalid_answer(connection: PeerConnection, name: str) -> None:
            connection.transport.write(b"*3\r\n$60000\r\n")
            send_more(connection, name)

        cache.on_request = send_invalid_answer
        harness.origin.on_request = harness.origin.serve
        client.send_request("r1", "once", d=300)
        await harness.wait(0.4)
        assert client.replies() == [b"-ERR failed"]
        assert cache.connections == []
        harness.assert_nothing_left()

    run_with_router(test)


def test_restarted_server_with_the_same_id_counts_as_a_new_one() -> None:
    """Its old connections are reset in the loop iteration of the list's change; requests may have run."""

    async def test(harness: RouterHarness) -> None:
        cache, client = harness.caches["a"], await harness.client()
        client.send_request("r1", "once")
        await harness.settle()
        connection = cache.connection_of("r1")
        harness.update_servers("a", state=ServerState.REMOVED)
        harness.update_servers("a")
        connection.reset()
        cache.on_request = harness.origin.on_request = lambda connection, name: connection.peer.serve(
            connection, name
        )
        client.send_request("r2", "once")
        await harness.wait(0.1)
        assert client.replies() == [b"-ERR failed", b"value of r2"]
        assert [name for _, _, name in harness.requests] == ["r1", "r2"]
        harness.assert_nothing_left()

    run_with_router(test)
