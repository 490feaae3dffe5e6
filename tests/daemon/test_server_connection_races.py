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

LEFT_S = 0.1  # after a disconnect, from when on nothing may be sent for the client


def one_way(effect: str, window_ns: int = 0, group: str = "all") -> dict[str, Any]:
    """Settings with a single class `x` of this effect: the effect can't be told from the class's name."""
    cls = {"name": "x", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": effect, "group": group}
    return {"classes": [{**cls, "dedupWindowNs": window_ns}], **LONG_DIALS}


@pytest.mark.parametrize("cls", ["get", "put", "once"])
def test_request_waiting_for_a_dial_is_dropped_after_a_disconnect(cls: str) -> None:
    async def test(bed: RouterHarness) -> None:
        gate = bed.loop.gates[bed.caches["a"].address] = asyncio.Event()
        client = await bed.client()
        client.send_request("r1", cls)
        await bed.settle()
        client.transport.abort()
        await bed.wait(LEFT_S)
        gate.set()
        await bed.wait(1.0)
        assert bed.requests == []
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_write_waiting_for_a_store_dial_is_dropped_after_a_disconnect() -> None:
    async def test(bed: RouterHarness) -> None:
        gate = bed.loop.gates[bed.origin.address] = asyncio.Event()
        client = await bed.client()
        client.send_request("w1", "put", value=b"v")
        await bed.settle()
        client.transport.abort()
        await bed.wait(LEFT_S)
        gate.set()
        await bed.wait(1.0)
        assert bed.requests == []
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_request_past_its_deadline_after_a_dial_is_not_sent() -> None:
    async def test(bed: RouterHarness) -> None:
        gate = bed.loop.gates[bed.caches["a"].address] = asyncio.Event()
        client = await bed.client()
        client.send_request("r1", d=400)
        await bed.wait(0.45)
        assert len(client.replies()) == 1
        gate.set()
        await bed.wait(1.0)
        assert bed.requests == []
        assert len(client.replies()) == 1
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_partly_sent_write_is_aborted_after_a_disconnect() -> None:
    async def test(bed: RouterHarness) -> None:
        # The peer reads nothing, so that the kernel's buffers are full before the last byte.
        bed.origin.on_accept = lambda line: line.transport.pause_reading()
        client = await bed.client()
        client.send_request("w1", "put", value=b"v" * (64 << 10))
        await bed.settle()
        (line,) = bed.origin.connections
        client.transport.abort()
        await bed.settle()
        line.transport.resume_reading()
        await bed.wait(1.0)
        assert bed.requests == []
        assert bed.origin.connections == []
        bed.assert_nothing_left()

    run_with_router(test)


def test_completely_sent_request_keeps_its_connection_after_a_disconnect() -> None:
    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        client.send_request("r1")
        await bed.settle()
        client.transport.abort()
        await bed.settle()
        line = bed.caches["a"].connection_of("r1")
        bed.caches["a"].serve(line, "r1")
        await bed.settle()
        assert bed.caches["a"].connections == [line], "the connection stays open"
        bed.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("late_s", [0.0003, 0.002, 0.004])
def test_late_second_answer_is_not_used_for_the_next_request(late_s: float) -> None:
    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()
        client.send_request("r1")
        await bed.settle()
        cache.serve(cache.connection_of("r1"), "r1")
        await bed.settle()
        client.send_request("r2")
        again = cache.connection_of("r1").transport
        bed.loop.call_later(late_s, again.write, cache.answer("r1"))

        def serve_later(line: PeerConnection, name: str) -> None:
            bed.loop.call_later(0.005, cache.serve, line, name)

        cache.on_request = serve_later
        await bed.wait(REUSE_DELAY_S * 5)
        assert client.replies() == [b"value of r1", b"value of r2"]
        bed.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("behind", ["second answer", "noise", "end", "reset"])
@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
def test_unread_input_after_an_answer_does_not_fail_the_next_request(behind: str, effect: str) -> None:
    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()
        client.send_request("r1", "x")
        await bed.settle()
        line = cache.connection_of("r1")
        cache.serve(line, "r1")
        await bed.wait(REUSE_DELAY_S * 2)
        cache.on_request = cache.serve
        # In one loop iteration; the router reads its client first, whose socket is the older one.
        client.send_request("r2", "x")
        match behind:
            case "second answer":
                line.transport.write(cache.answer("r1"))
            case "noise":
                line.transport.write(b"!")
            case "end":
                line.transport.close()
            case "reset":
                line.reset()
        await bed.wait(REUSE_DELAY_S * 3)
        assert client.replies() == [b"value of r1", b"value of r2"]
        assert cache.request_ids == ["r1", "r2"], "each is sent once, the second on a new connection"
        bed.assert_nothing_left()

    run_with_router(test, settings=one_way(effect, 10**9))


@pytest.mark.parametrize("how", ["end", "reset"])
def test_connection_end_right_after_an_answer_loses_no_request(how: str) -> None:
    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()
        client.send_request("r1", "once")
        client.send_request("r2", "once")  # waits for a connection, or gets its own
        await bed.settle()

        def answer_and_end(line: PeerConnection, name: str) -> None:
            cache.serve(line, name)
            line.transport.close()

        for name in ("r1", "r2"):
            answer_and_end(cache.connection_of(name), name)
        cache.on_request = cache.serve
        await bed.settle()
        client.send_request("r3", "once")
        await bed.wait(REUSE_DELAY_S * 3)
        assert client.replies() == [b"value of r1", b"value of r2", b"value of r3"]
        bed.assert_nothing_left()

    run_with_router(test)


def test_unsafe_request_that_the_kernel_rejects_is_retried() -> None:
    """A reset between the check for unread input and the write: no byte is sent, so a retry is safe."""

    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()
        client.send_request("r1", "once")
        await bed.settle()
        line = cache.connection_of("r1")
        cache.serve(line, "r1")
        await bed.wait(REUSE_DELAY_S * 2)
        cache.on_request, bed.origin.on_request = cache.serve, bed.origin.serve
        client.send_request("r2", "once")
        line.reset()
        with patch.object(Connection, "has_nothing_unread", True):  # checked before the reset
            await bed.wait(REUSE_DELAY_S * 3)
        assert client.replies() == [b"value of r1", b"value of r2"]
        bed.assert_nothing_left()

    run_with_router(test)


def test_retry_waiting_for_a_dial_is_not_sent_after_the_dedup_window() -> None:
    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        client.send_request("r1", "x")
        await bed.settle()
        ((_, first, _),) = bed.requests
        other = "b" if first == "a" else "a"
        gate = bed.loop.gates[bed.caches[other].address] = asyncio.Event()
        origin = bed.loop.gates[bed.origin.address] = asyncio.Event()
        again = bed.loop.gates[bed.caches[first].address] = asyncio.Event()
        await bed.wait(0.3)
        bed.caches[first].connection_of("r1").reset()  # the request may have run
        await bed.wait(0.3)
        for each in (gate, again, origin):
            each.set()
        await bed.wait(0.5)
        assert [name for _, _, name in bed.requests] == ["r1"]
        assert len(client.replies()) == 1
        bed.assert_nothing_left()

    run_with_router(test, caches=("a", "b"), settings=one_way("dedup", 500_000_000))


def test_retry_within_the_dedup_window_is_sent() -> None:
    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        client.send_request("r1", "x")
        await bed.settle()
        ((_, first, _),) = bed.requests
        for cache in bed.caches.values():
            cache.on_request = cache.serve
        bed.caches[first].connection_of("r1").reset()
        await bed.wait(0.3)
        assert client.replies() == [b"value of r1"]
        bed.assert_nothing_left()

    run_with_router(test, caches=("a", "b"), settings=one_way("dedup", 500_000_000))


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_request_waiting_for_a_dial_moves_when_its_server_drains(state: ServerState) -> None:
    async def test(bed: RouterHarness) -> None:
        bed.origin.on_request = bed.origin.serve
        gate = bed.loop.gates[bed.caches["a"].address] = asyncio.Event()
        client = await bed.client()
        client.send_request("r1")
        await bed.settle()
        bed.update_servers("a", state=state)
        gate.set()
        await bed.wait(0.2)
        assert [where for _, where, _ in bed.requests] == ["origin"]
        assert client.replies() == [b"value of r1"]
        assert bed.caches["a"].connections == [], "a connection that is established later is closed"
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_server_listed_at_a_new_address_gets_nothing_at_the_old_one() -> None:
    async def test(bed: RouterHarness) -> None:
        moved = bed.caches["b"]
        moved.on_request, bed.origin.on_request = moved.serve, bed.origin.serve
        old = bed.caches["a"].address
        gate = bed.loop.gates[old] = asyncio.Event()
        bed.update_servers("a", "origin", full=True)  # "b" is removed; its address becomes that of "a"
        client = await bed.client()
        client.send_request("r1")
        await bed.settle()
        bed.update_servers("a", state=ServerState.DRAINING)
        bed.caches["a"].address = moved.address
        bed.update_servers("a")
        client.send_request("r2")
        gate.set()
        await bed.wait(REUSE_DELAY_S * 5)
        assert all(where != "a" for _, where, _ in bed.requests)
        assert client.replies()[1] == b"value of r2"
        bed.assert_nothing_left()

    run_with_router(test, caches=("a", "b"), settings=LONG_DIALS)


def test_dial_cancelled_as_it_begins_is_no_longer_counted() -> None:
    async def test(bed: RouterHarness) -> None:
        bed.origin.on_request = bed.origin.serve
        bed.loop.gates[bed.caches["a"].address] = asyncio.Event()
        client = await bed.client()
        client.send_request("r1")
        while not bed.pool._servers["a"].dials:
            await asyncio.sleep(0)
        bed.update_servers("a", state=ServerState.REMOVED)
        await bed.wait(0.1)
        assert client.replies() == [b"value of r1"]
        assert bed.pool._connection_count == 1, "only the store's connection is counted"
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


@pytest.mark.parametrize("stay", [False, True])
def test_fetch_restarts_after_a_disconnect_only_if_a_client_waits(stay: bool) -> None:
    async def test(bed: RouterHarness) -> None:
        cache = bed.caches["a"]
        cache.on_request = cache.miss
        first, second, third = await bed.client(), await bed.client(), await bed.client()
        first.send_request("r1")
        await bed.settle()
        second.send_request("r2")
        third.send_request("r3")
        await bed.wait(REUSE_DELAY_S * 3)
        assert sorted(cache.request_ids) == ["r1", "r2", "r3"]
        assert bed.origin.request_ids == ["r1"]
        third.transport.abort()
        if not stay:
            second.transport.abort()
        await bed.settle()
        bed.origin.on_request = bed.origin.serve
        first.transport.abort()
        await bed.settle()
        bed.origin.serve(bed.origin.connection_of("r1"), "r1")
        await bed.wait(LEFT_S)
        assert bed.origin.request_ids == (["r1", "r2"] if stay else ["r1"])
        assert second.replies() == ([b"value of r2"] if stay else [])
        bed.assert_nothing_left()

    run_with_router(test)


def test_queued_fetch_without_a_waiting_client_is_not_sent() -> None:
    async def test(bed: RouterHarness) -> None:
        bed.caches["a"].on_request = bed.caches["a"].miss
        bed.host._router.origin_limits.fetch_window = 1.0
        first, second, third = await bed.client(), await bed.client(), await bed.client()
        first.send_request("r1", key="k1")
        await bed.settle()
        second.send_request("r2", key="k2")
        third.send_request("r3", key="k2")
        await bed.wait(REUSE_DELAY_S * 3)
        assert bed.caches["a"].request_ids == ["r1", "r2", "r3"]
        second.transport.abort()
        third.transport.abort()
        await bed.settle()
        bed.origin.serve(bed.origin.connection_of("r1"), "r1")
        await bed.wait(1.0)
        assert bed.origin.request_ids == ["r1"]
        assert first.replies() == [b"value of r1"]
        bed.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("name", ["subscribe", "r1"])
def test_delayed_retry_is_answered_whatever_its_request_id(name: str) -> None:
    """A request id may equal the token of another timer of the decision module."""

    async def test(bed: RouterHarness) -> None:
        def not_now(line: PeerConnection, name: str) -> None:
            line.transport.write(http_answer(503, b"", "Not-Started: 1"))

        bed.origin.on_request = not_now
        client = await bed.client()
        client.send_request(name, "put", d=1900, value=b"v")
        await bed.wait(2.0)
        assert len(bed.requests) > 1, "it was retried after a pause"
        assert len(client.replies()) == 1
        bed.assert_nothing_left()

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
@pytest.mark.parametrize(("effect", "group", "again"), GROUPS)
def test_retries_of_reads_follow_the_effect_and_its_group(
    effect: str, group: str, again: list[str], other: str
) -> None:
    """Whether a read that may have run at one server may be sent to another one."""

    async def test(bed: RouterHarness) -> None:
        bed.cells = {**CELLS, "first": ("z1", 1)}
        bed.update_servers("first", full=True)
        client = await bed.client()
        client.send_request("r1", "x")
        await bed.settle()
        bed.update_servers("first", other, full=True)
        bed.caches[other].on_request = bed.caches[other].serve
        bed.caches["first"].on_request = lambda line, name: line.reset()
        bed.caches["first"].connection_of("r1").reset()
        await bed.wait(0.2)
        came = [where for _, where, _ in bed.requests if where != "first"]
        assert came == ([other] if other in again else [])
        if other in again:
            assert client.replies() == [b"value of r1"]
        else:
            assert client.replies() == [b"-ERR failed"], "-BUSY would say that a retry is safe"
        bed.assert_nothing_left()

    run_with_router(test, ("first", *CELLS), one_way(effect, 2 * 10**9, group))


@pytest.mark.parametrize(("effect", "group", "again"), GROUPS)
def test_retries_of_writes_follow_the_effect(effect: str, group: str, again: list[str]) -> None:
    """Retries go to the store again, which is a group of its own."""

    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        client.send_request("w1", "x", value=b"v")
        await bed.wait(REUSE_DELAY_S * 2)
        bed.origin.on_request = bed.origin.serve
        bed.origin.connection_of("w1").reset()
        await bed.wait(1.5)
        assert bed.origin.request_ids == (["w1", "w1"] if again else ["w1"])
        assert client.replies() == [b"value of w1" if again else b"-ERR failed"]
        bed.assert_nothing_left()

    run_with_router(test, (), one_way(effect, 2 * 10**9, group))


def test_endless_invalid_answer_ends_with_its_attempt() -> None:
    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()

        def trickle(line: PeerConnection, name: str) -> None:
            if line in cache.connections:
                line.transport.write(b"v" * 100)
                bed.loop.call_later(0.01, trickle, line, name)

        def spoilt(line: PeerConnection, name: str) -> None:
            line.transport.write(b"*3\r\n$60000\r\n")
            trickle(line, name)

        cache.on_request = spoilt
        bed.origin.on_request = bed.origin.serve
        client.send_request("r1", "once", d=300)
        await bed.wait(0.4)
        assert client.replies() == [b"-ERR failed"]
        assert cache.connections == []
        bed.assert_nothing_left()

    run_with_router(test)


def test_restarted_server_with_the_same_id_counts_as_a_new_one() -> None:
    """Its old connections are reset in the loop iteration of the list's change; requests may have run."""

    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()
        client.send_request("r1", "once")
        await bed.settle()
        line = cache.connection_of("r1")
        bed.update_servers("a", state=ServerState.REMOVED)
        bed.update_servers("a")
        line.reset()
        cache.on_request = bed.origin.on_request = lambda line, name: line.peer.serve(line, name)
        client.send_request("r2", "once")
        await bed.wait(0.1)
        assert client.replies() == [b"-ERR failed", b"value of r2"]
        assert [name for _, _, name in bed.requests] == ["r1", "r2"]
        bed.assert_nothing_left()

    run_with_router(test)
