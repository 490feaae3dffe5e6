"""The control address on loopback, in virtual time: calls, callers that say nothing, and what is no call."""

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
DUE_S = 1.0  # in which each call has its answer


def with_control(
    work: Callable[[VirtualLoop, Address, list[bool]], Awaitable[None]],
) -> None:
    """Play `work` with a control address; it gets the address, and a list that holds whether it is ready."""

    async def play(loop: VirtualLoop) -> None:
        ready, counters = [False], Counters(["get"])
        counters.answered["get"] = 7
        control = ControlServer(loop, ControlSources(lambda: ready[0], lambda: counters.lines(3, 2, 1)))
        address = await control.listen(("127.0.0.1", take_port()))
        await work(loop, address, ready)
        control.close()
        await asyncio.sleep(0)

    run_virtual(play)


async def call(address: Address, data: bytes) -> tuple[int, str]:
    """The status and the body of what comes back before the connection is closed."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body.decode()


def asking(target: str, method: str = "GET") -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: ops\r\n\r\n".encode()


def test_ready_is_told_by_the_status_and_follows_the_router() -> None:
    async def work(_: VirtualLoop, address: Address, ready: list[bool]) -> None:
        assert (await call(address, asking("/control/ready")))[0] == 503
        ready[0] = True
        assert (await call(address, asking("/control/ready?x=1")))[0] == 200

    with_control(work)


def test_the_figures_stand_in_lines_of_a_name_a_number_and_a_kind() -> None:
    async def work(_: VirtualLoop, address: Address, __: list[bool]) -> None:
        status, body = await call(address, asking("/control/counters"))
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

    with_control(work)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (asking("/control/reddy"), 404),
        (asking("/"), 404),
        (asking("/control/counters", "POST"), 405),
        (b"\x00\xff junk\r\n\r\n", 400),
        (b"GET /" + b"x" * LIMITS.head_bytes, 400),
    ],
)
def test_what_is_no_call_is_told_no(data: bytes, status: int) -> None:
    async def work(_: VirtualLoop, address: Address, __: list[bool]) -> None:
        assert (await call(address, data))[0] == status

    with_control(work)


def test_callers_that_say_nothing_shut_nobody_out() -> None:
    async def work(loop: VirtualLoop, address: Address, _: list[bool]) -> None:
        held = []
        for number in range(4 * LIMITS.connections):
            reader, writer = await asyncio.open_connection(*address)
            if number % 2:
                writer.write(asking("/control/counters")[:-7])  # half a call
            held.append((reader, writer))
            await asyncio.sleep(0.001)
        begun = loop.time()
        assert (await call(address, asking("/control/counters")))[0] == 200
        assert loop.time() - begun < DUE_S
        # The first ones made room, and the others are closed in time.
        assert await held[0][0].read() == b""
        assert await held[-1][0].read() == b""
        assert loop.time() - begun <= LIMITS.idle_timeout_s

    with_control(work)


def test_a_caller_that_has_asked_keeps_its_place_when_others_crowd_in() -> None:
    async def play(loop: VirtualLoop) -> None:
        counters = Counters(["get"])
        control = ControlServer(loop, ControlSources(lambda: True, lambda: counters.lines(0, 0, 0)))
        address = await control.listen(("127.0.0.1", take_port()))
        # All at once: their calls come with their connections, so that none of them is silent.
        answers = await asyncio.gather(
            *(call(address, asking("/control/ready")) for _ in range(LIMITS.connections))
        )
        assert [status for status, _ in answers] == [200] * LIMITS.connections
        control.close()

    run_virtual(play)
