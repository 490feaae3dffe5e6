"""Connections that come up late or never, one by one: what they tell of their server."""

from __future__ import annotations

import asyncio

import pytest

from tests.sockets import SETTINGS
from tests.virtual_router import RouterHarness, VirtualClient, run_with_router

S = 10**9
DIALS_NS = (S // 2, S + S // 5)  # below the aim, and above it: an attempt that waited for it is late


def dials(timeout_ns: int) -> dict[str, object]:
    return {"ceilings": {**SETTINGS["ceilings"], "dialTimeoutNs": timeout_ns}}


def held_dead(bed: RouterHarness) -> list[str]:
    """The caches that get next to nothing."""
    return list(bed.host._router.avoided(bed.host.now()))


async def one_runs_out(bed: RouterHarness, client: VirtualClient, name: str, timeout_ns: int) -> None:
    """Ask for what is at the one cache, to which no connection comes up."""
    client.send_request(name, d=5000)
    await bed.wait(timeout_ns / S + 0.1)
    client_left = bed.host._requests.get(name)
    assert client_left is None or client_left.attempts > 1, "the attempt has not ended"


@pytest.mark.parametrize("timeout_ns", DIALS_NS)
def test_one_connection_that_does_not_come_up_takes_no_server_out(timeout_ns: int) -> None:
    async def test(bed: RouterHarness) -> None:
        cache = bed.caches["a"]
        cache.on_request, bed.origin.on_request = cache.serve, bed.origin.serve
        client = await bed.client()
        for round_ in range(3):  # heard in between: each is the first one again
            gate = bed.loop.gates[cache.address] = asyncio.Event()
            await one_runs_out(bed, client, f"late{round_}", timeout_ns)
            assert held_dead(bed) == []
            del bed.loop.gates[cache.address]
            gate.set()
            client.send_request(f"well{round_}")
            await bed.settle()
            assert cache.request_ids[-1] == f"well{round_}"
            cache.connections[0].transport.close()  # so that the next one needs a connection again
            await bed.wait(0.1)

    run_with_router(test, settings=dials(timeout_ns))


@pytest.mark.parametrize("timeout_ns", DIALS_NS)
def test_connections_that_run_out_side_by_side_count_as_one(timeout_ns: int) -> None:
    async def test(bed: RouterHarness) -> None:
        bed.origin.on_request = bed.origin.serve
        client, other = await bed.client(), await bed.client()
        bed.loop.gates[bed.caches["a"].address] = asyncio.Event()
        other.send_request("beside", d=5000, key="k2")
        await bed.wait(0.01)
        await one_runs_out(bed, client, "late", timeout_ns)
        assert held_dead(bed) == []

    run_with_router(test, settings=dials(timeout_ns))


@pytest.mark.parametrize("timeout_ns", DIALS_NS)
def test_a_server_to_which_two_in_a_row_do_not_come_up_is_held_dead(timeout_ns: int) -> None:
    async def test(bed: RouterHarness) -> None:
        bed.origin.on_request = bed.origin.serve
        client = await bed.client()
        bed.loop.gates[bed.caches["a"].address] = asyncio.Event()
        await one_runs_out(bed, client, "first", timeout_ns)
        await one_runs_out(bed, client, "second", timeout_ns)
        assert held_dead(bed) == ["a"]

    run_with_router(test, settings=dials(timeout_ns))


def test_a_server_that_refuses_a_connection_is_held_dead_at_once() -> None:
    async def test(bed: RouterHarness) -> None:
        bed.origin.on_request = bed.origin.serve
        client = await bed.client()

        async def refused(*_: object, **__: object) -> None:
            raise ConnectionRefusedError

        connect, bed.loop.create_connection = bed.loop.create_connection, refused  # type: ignore[assignment]
        client.send_request("r", d=5000)
        await bed.settle()
        bed.loop.create_connection = connect  # type: ignore[method-assign]
        assert held_dead(bed) == ["a"]

    run_with_router(test)


def test_a_fetch_whose_connection_does_not_come_up_is_made_again_and_cuts_nobody() -> None:
    async def test(bed: RouterHarness) -> None:
        cache = bed.caches["a"]
        cache.on_request, bed.origin.on_request = cache.miss, bed.origin.serve
        client = await bed.client()
        gate = bed.loop.gates[bed.origin.address] = asyncio.Event()
        client.send_request("r", d=5000)
        await bed.wait(1.25)  # the dial ran out after 1.2 s, later than the aim
        gate.set()
        await bed.wait(0.1)
        assert client.replies() == [b"value of r"]
        assert bed.host._router.origin_limits.bad_fetch_fraction == 0
        assert bed.host._router.origin_limits.fetch_window == float("inf")

    run_with_router(test, settings=dials(S + S // 5))
