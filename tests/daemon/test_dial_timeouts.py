"""What refused connections and dials that time out say about the health of their server."""

from __future__ import annotations

import asyncio

import pytest

from tests.sockets import SETTINGS
from tests.virtual_router import RouterHarness, VirtualClient, run_with_router

NS_PER_S = 10**9
# Below and above the latency target; an attempt that waited for a dial of the longer timeout is late.
DIAL_TIMEOUTS_NS = (NS_PER_S // 2, NS_PER_S + NS_PER_S // 5)


def dial_timeout_facts(timeout_ns: int) -> dict[str, object]:
    return {"ceilings": {**SETTINGS["ceilings"], "dialTimeoutNs": timeout_ns}}


def avoided_caches(harness: RouterHarness) -> list[str]:
    """The caches that the router avoids: they get hardly any requests."""
    return list(harness.host._router.avoided(harness.host.now()))


async def wait_for_dial_timeout(
    harness: RouterHarness, client: VirtualClient, name: str, timeout_ns: int
) -> None:
    """Send a request to the only cache, to which no dial succeeds, and wait until the dial times out."""
    client.send_request(name, d=5000)
    await harness.wait(timeout_ns / NS_PER_S + 0.1)
    open_request = harness.host._requests.get(name)
    assert open_request is None or open_request.attempts > 1, "the attempt has not ended"


@pytest.mark.parametrize("timeout_ns", DIAL_TIMEOUTS_NS)
def test_single_dial_timeout_does_not_eject_the_server(timeout_ns: int) -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request, harness.origin.on_request = cache.serve, harness.origin.serve
        client = await harness.client()
        for turn in range(3):  # the server answers in between, so that each timeout is the first again
            gate = harness.loop.gates[cache.address] = asyncio.Event()
            await wait_for_dial_timeout(harness, client, f"late{turn}", timeout_ns)
            assert avoided_caches(harness) == []
            del harness.loop.gates[cache.address]
            gate.set()
            client.send_request(f"well{turn}")
            await harness.settle()
            assert cache.request_ids[-1] == f"well{turn}"
            cache.connections[0].transport.close()  # so that the next request needs a dial
            await harness.wait(0.1)

    run_with_router(test, settings=dial_timeout_facts(timeout_ns))


@pytest.mark.parametrize("timeout_ns", DIAL_TIMEOUTS_NS)
def test_concurrent_dial_timeouts_count_as_one(timeout_ns: int) -> None:
    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        client, other = await harness.client(), await harness.client()
        harness.loop.gates[harness.caches["a"].address] = asyncio.Event()
        other.send_request("beside", d=5000, key="k2")
        await harness.wait(0.01)
        await wait_for_dial_timeout(harness, client, "late", timeout_ns)
        assert avoided_caches(harness) == []

    run_with_router(test, settings=dial_timeout_facts(timeout_ns))


@pytest.mark.parametrize("timeout_ns", DIAL_TIMEOUTS_NS)
def test_two_consecutive_dial_timeouts_eject_the_server(timeout_ns: int) -> None:
    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        client = await harness.client()
        harness.loop.gates[harness.caches["a"].address] = asyncio.Event()
        await wait_for_dial_timeout(harness, client, "first", timeout_ns)
        await wait_for_dial_timeout(harness, client, "second", timeout_ns)
        assert avoided_caches(harness) == ["a"]

    run_with_router(test, settings=dial_timeout_facts(timeout_ns))


def test_refused_connection_ejects_the_server_at_once() -> None:
    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        client = await harness.client()

        async def refused(*_: object, **__: object) -> None:
            raise ConnectionRefusedError

        connect, harness.loop.create_connection = harness.loop.create_connection, refused  # type: ignore[assignment]
        client.send_request("r", d=5000)
        await harness.settle()
        harness.loop.create_connection = connect  # type: ignore[method-assign]
        assert avoided_caches(harness) == ["a"]

    run_with_router(test)


def test_dial_timeout_of_a_fetch_does_not_reduce_the_fetch_window() -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request, harness.origin.on_request = cache.miss, harness.origin.serve
        client = await harness.client()
        gate = harness.loop.gates[harness.origin.address] = asyncio.Event()
        client.send_request("r", d=5000)
        await harness.wait(1.25)  # the dial timed out after 1.2 s, above the latency target
        gate.set()
        await harness.wait(0.1)
        assert client.replies() == [b"value of r"]
        assert harness.host._router.origin_limits.bad_fetch_fraction == 0
        assert harness.host._router.origin_limits.fetch_window == float("inf")

    run_with_router(test, settings=dial_timeout_facts(NS_PER_S + NS_PER_S // 5))
