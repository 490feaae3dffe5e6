"""The control address on loopback, in virtual time: valid and invalid requests, and idle connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from pebblepass.control.control_server import LIMITS, ControlServer, ControlSources
from pebblepass.control.counters import Counters
from pebblepass.emulators.ports import take_port
from pebblepass.simulation.clock import VirtualLoop
from tests.virtual import run_virtual

Address = tuple[str, int]
RESPONSE_LIMIT_S = 1.0  # within which each request gets its response


def with_control_server(
    scenario: Callable[[VirtualLoop, Address, list[bool]], Awaitable[None]],
) -> None:
    """Run `scenario` with a control server; it gets the address, and a list of one element, the readiness."""

    async def run(loop: VirtualLoop) -> None:
        ready, counters = [False], Counters(["get"])
        counters.answered["get"] = 7
        control = ControlServer(loop, ControlSources(lambda: ready[0], lambda: counters.lines(3, 2, 1)))
        address = await control.listen(("127.0.0.1", take_port()))
        await scenario(loop, address, ready)
        control.close()
        await asyncio.sleep(0)

    run_virtual(run)


async def call(address: Address, data: bytes) -> tuple[int, str]:
    """Send `data`; return the status and the body of the response."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body.decode()


def http_request(target: str, method: str = "GET") -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: ops\r\n\r\n".encode()


def test_readiness_is_reported_by_status_code() -> None:
    async def scenario(_: VirtualLoop, address: Address, ready: list[bool]) -> None:
        assert (await call(address, http_request("/control/ready")))[0] == 503
        ready[0] = True
        assert (await call(address, http_request("/control/ready?x=1")))[0] == 200

    with_control_server(scenario)


def test_counters_are_returned_as_statsd_lines() -> None:
    async def scenario(_: VirtualLoop, address: Address, __: list[bool]) -> None:
        status, body = await call(address, http_request("/control/counters"))
        assert status == 200
        assert body.split() == [
            "svc.answered.get:7|c",
            "svc.deferred.get:0|c",
            "svc.errored.get:0|c",
            "svc.sends:0|c",
            "svc.current:3|g",
            "svc.cluster_size:2|g",
            "svc.cluster_unhealthy:1|g",
        ]

    with_control_server(scenario)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (http_request("/control/reddy"), 404),
        (http_request("/"), 404),
        (http_request("/control/counters", "POST"), 405),
        (b"\x00\xff junk\r\n\r\n", 400),
        (b"GET /" + b"x" * LIMITS.head_bytes, 400),
    ],
)
def test_invalid_request_gets_an_error_status(data: bytes, status: int) -> None:
    async def scenario(_: VirtualLoop, address: Address, __: list[bool]) -> None:
        assert (await call(address, data))[0] == status

    with_control_server(scenario)


def test_idle_connections_do_not_block_other_clients() -> None:
    async def scenario(loop: VirtualLoop, address: Address, _: list[bool]) -> None:
        idle_connections = []
        for number in range(4 * LIMITS.connections):
            reader, writer = await asyncio.open_connection(*address)
            if number % 2:
                writer.write(http_request("/control/counters")[:-7])  # an incomplete request
            idle_connections.append((reader, writer))
            await asyncio.sleep(0.001)
        started_at = loop.time()
        assert (await call(address, http_request("/control/counters")))[0] == 200
        assert loop.time() - started_at < RESPONSE_LIMIT_S
        # The first connections were evicted, and the others time out.
        assert await idle_connections[0][0].read() == b""
        assert await idle_connections[-1][0].read() == b""
        assert loop.time() - started_at <= LIMITS.idle_timeout_s

    with_control_server(scenario)


def test_connection_with_open_request_is_not_evicted() -> None:
    async def run(loop: VirtualLoop) -> None:
        counters = Counters(["get"])
        control = ControlServer(loop, ControlSources(lambda: True, lambda: counters.lines(0, 0, 0)))
        address = await control.listen(("127.0.0.1", take_port()))
        # All connect at the same time with their requests, so that none of them is idle.
        answers = await asyncio.gather(
            *(call(address, http_request("/control/ready")) for _ in range(LIMITS.connections))
        )
        assert [status for status, _ in answers] == [200] * LIMITS.connections
        control.close()

    run_virtual(run)
