"""What refused connections and dials that time out say about the health of their server."""

from __future__ import annotations

import asyncio

import pytest

from tests.sockets import SETTINGS
from tests.virtual_router import RouterHarness, VirtualClient, run_with_router

S = 10**9
DIALS_NS = (S // 2, S + S // 5)  # below and above the latency target: an attempt that waited is late


def dials(timeout_ns: int) -> dict[str, object]:
    return {"ceilings": {**SETTINGS["ceilings"], "dialTimeoutNs": timeout_ns}}


def held_dead(bed: RouterHarness) -> list[str]:
    """The caches that the router avoids: they get hardly any requests."""
    return list(bed.host._router.avoided(bed.host.now()))


async def one_runs_out(bed: RouterHarness, client: VirtualClient, name: str, timeout_ns: int) -> None:
    """Send a request to the only cache, to which no dial succeeds, and wait until the dial times out."""
    client.send_request(name, d=5000)
    await bed.wait(timeout_ns / S + 0.1)
    client_left = bed.host._requests.get(name)
    assert client_left is None or client_left.attempts > 1, "the attempt has not ended"


@pytest.mark.parametrize("timeout_ns", DIALS_NS)
def test_single_dial_timeout_does_not_eject_the_server(timeout_ns: int) -> None:
    async def test(bed: RouterHarness) -> None:
        cache = bed.caches["a"]
        cache.on_request, bed.origin.on_request = cache.serve, bed.origin.serve
        client = await bed.client()
        for round_ in range(3):  # the server answers in between, so that each timeout is the first again
            gate = bed.loop.gates[cache.address] = asyncio.Event()
            await one_runs_out(bed, client, f"late{round_}", timeout_ns)
            assert held_dead(bed) == []
            del bed.loop.gates[cache.address]
            gate.set()
            client.send_request(f"well{round_}")
            await bed.settle()
            assert cache.request_ids[-1] == f"well{round_}"
            cache.connections[0].transport.close()  # so that the next request needs a dial
            await bed.wait(0.1)

    run_with_router(test, settings=dials(timeout_ns))


@pytest.mark.parametrize("timeout_ns", DIALS_NS)
def test_concurrent_dial_timeouts_count_as_one(timeout_ns: int) -> None:
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
def test_two_consecutive_dial_timeouts_eject_the_server(timeout_ns: int) -> None:
    async def test(bed: RouterHarness) -> None:
        bed.origin.on_request = bed.origin.serve
        client = await bed.client()
        bed.loop.gates[bed.caches["a"].address] = asyncio.Event()
        await one_runs_out(bed, client, "first", timeout_ns)
        await one_runs_out(bed, client, "second", timeout_ns)
        assert held_dead(bed) == ["a"]

    run_with_router(test, settings=dials(timeout_ns))


def test_refused_connection_ejects_the_server_at_once() -> None:
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


def test_dial_timeout_of_a_fetch_does_not_reduce_the_fetch_window() -> None:
    async def test(bed: RouterHarness) -> None:
        cache = bed.caches["a"]
        cache.on_request, bed.origin.on_request = cache.miss, bed.origin.serve
        client = await bed.client()
        gate = bed.loop.gates[bed.origin.address] = asyncio.Event()
        client.send_request("r", d=5000)
        await bed.wait(1.25)  # the dial timed out after 1.2 s, above the latency target
        gate.set()
        await bed.wait(0.1)
        assert client.replies() == [b"value of r"]
        assert bed.host._router.origin_limits.bad_fetch_fraction == 0
        assert bed.host._router.origin_limits.fetch_window == float("inf")

    run_with_router(test, settings=dials(S + S // 5))
