"""Two events that cross at a connection to a server, each order forced: a test for each suspect."""

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

LEFT_S = 0.1  # after which nothing is sent for a client that has left


def one_way(effect: str, window_ns: int = 0, group: str = "all") -> dict[str, Any]:
    """Settings with one class of this effect, under a name that tells nothing."""
    cls = {"name": "x", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": effect, "group": group}
    return {"classes": [{**cls, "dedupWindowNs": window_ns}], **LONG_DIALS}


@pytest.mark.parametrize("cls", ["get", "put", "once"])
def test_what_waits_for_a_dial_is_not_sent_once_its_client_has_left(cls: str) -> None:
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


def test_a_write_that_waits_for_a_dial_to_the_store_is_not_sent_once_its_client_has_left() -> None:
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


def test_a_request_whose_time_is_up_while_it_waits_for_a_dial_is_not_sent() -> None:
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


def test_a_write_of_which_the_kernel_has_taken_a_part_is_taken_back_with_its_client() -> None:
    async def test(bed: RouterHarness) -> None:
        # The peer reads nothing: the kernel's window is full before the last byte.
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


def test_what_the_kernel_has_whole_is_not_taken_back_and_tells_of_its_server() -> None:
    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        client.send_request("r1")
        await bed.settle()
        client.transport.abort()
        await bed.settle()
        line = bed.caches["a"].connection_of("r1")
        bed.caches["a"].serve(line, "r1")
        await bed.settle()
        assert bed.caches["a"].connections == [line], "its connection goes on"
        bed.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("late_s", [0.0003, 0.002, 0.004])
def test_a_late_second_answer_is_not_taken_for_the_next_requests(late_s: float) -> None:
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
def test_what_stands_unread_behind_an_answer_costs_the_next_request_nothing(behind: str, effect: str) -> None:
    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()
        client.send_request("r1", "x")
        await bed.settle()
        line = cache.connection_of("r1")
        cache.serve(line, "r1")
        await bed.wait(REUSE_DELAY_S * 2)
        cache.on_request = cache.serve
        # In one turn: the router reads its client first, which it has known for longer.
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
        assert cache.request_ids == ["r1", "r2"], "written once, on a connection of its own"
        bed.assert_nothing_left()

    run_with_router(test, settings=one_way(effect, 10**9))


@pytest.mark.parametrize("how", ["end", "reset"])
def test_an_end_behind_the_last_byte_of_an_answer_takes_nothing_with_it(how: str) -> None:
    async def test(bed: RouterHarness) -> None:
        cache, client = bed.caches["a"], await bed.client()
        client.send_request("r1", "once")
        client.send_request("r2", "once")  # waits for a connection, or has one of its own
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


def test_a_request_that_the_kernel_does_not_take_has_never_run() -> None:
    """A reset comes between the look and the write: what may not be repeated is asked again all the same."""

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
        with patch.object(Connection, "has_nothing_unread", True):  # it looked too early
            await bed.wait(REUSE_DELAY_S * 3)
        assert client.replies() == [b"value of r1", b"value of r2"]
        bed.assert_nothing_left()

    run_with_router(test)


def test_a_repeat_that_waits_for_a_dial_is_not_sent_after_the_time_in_which_it_is_dropped() -> None:
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
        bed.caches[first].connection_of("r1").reset()  # it may have run
        await bed.wait(0.3)
        for each in (gate, again, origin):
            each.set()
        await bed.wait(0.5)
        assert [name for _, _, name in bed.requests] == ["r1"]
        assert len(client.replies()) == 1
        bed.assert_nothing_left()

    run_with_router(test, caches=("a", "b"), settings=one_way("dedup", 500_000_000))


def test_a_repeat_within_that_time_is_sent() -> None:
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
def test_what_waits_for_a_dial_to_a_server_that_drains_goes_elsewhere(state: ServerState) -> None:
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
        assert bed.caches["a"].connections == [], "what came up after all is closed"
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_a_server_that_drains_and_is_back_elsewhere_in_one_turn_is_not_sent_to_at_the_old_address() -> None:
    async def test(bed: RouterHarness) -> None:
        moved = bed.caches["b"]
        moved.on_request, bed.origin.on_request = moved.serve, bed.origin.serve
        old = bed.caches["a"].address
        gate = bed.loop.gates[old] = asyncio.Event()
        bed.update_servers("a", "origin", full=True)  # "b" is gone; its address is where "a" will be
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


def test_a_dial_that_is_called_off_in_the_turn_in_which_it_begins_leaves_no_count_behind() -> None:
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
        assert bed.pool._connection_count == 1, "the store's"
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


@pytest.mark.parametrize("stay", [False, True])
def test_a_fetch_whose_client_has_left_is_begun_again_only_for_who_still_waits(stay: bool) -> None:
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


def test_a_fetch_in_line_that_nobody_waits_for_any_longer_is_not_sent() -> None:
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
def test_a_request_that_waits_on_a_timer_is_answered_whatever_its_name(name: str) -> None:
    async def test(bed: RouterHarness) -> None:
        def not_now(line: PeerConnection, name: str) -> None:
            line.transport.write(http_answer(503, b"", "Not-Started: 1"))

        bed.origin.on_request = not_now
        client = await bed.client()
        client.send_request(name, "put", d=1900, value=b"v")
        await bed.wait(2.0)
        assert len(bed.requests) > 1, "it was tried again after a pause"
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
def test_repeats_of_reads_go_by_the_effect_and_its_group(
    effect: str, group: str, again: list[str], other: str
) -> None:
    """What may have run at one server, of a class whose name tells nothing, and whether it may come again."""

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
            assert client.replies() == [b"-ERR failed"], "a refusal says that it may be tried again"
        bed.assert_nothing_left()

    run_with_router(test, ("first", *CELLS), one_way(effect, 2 * 10**9, group))


@pytest.mark.parametrize(("effect", "group", "again"), GROUPS)
def test_repeats_of_writes_go_by_the_effect_too(effect: str, group: str, again: list[str]) -> None:
    """At the store, which is of its own group."""

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


def test_a_spoilt_answer_that_never_ends_goes_with_its_attempt() -> None:
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


def test_a_server_that_has_started_anew_under_its_id_is_not_taken_for_the_one_before() -> None:
    """Its old connections are reset in the turn in which the list tells so; what was asked may have run."""

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
