"""Tests of the event loop's lag, and of `after_poll`, which keeps it from being blamed on servers."""

from __future__ import annotations

import asyncio

from pebblepass.daemon.lag import HEARTBEAT_NS, PEAK_WINDOW_NS, LoopLag, after_poll
from pebblepass.simulation.clock import VirtualLoop
from tests.virtual import run_virtual

HOST = "127.0.0.1"


def test_peak_lag_is_reported_and_expires_after_its_window() -> None:
    async def work(loop: VirtualLoop) -> None:
        reported: list[int] = []
        lag = LoopLag(loop, loop.time_ns, reported.append)
        await asyncio.sleep(1)
        assert (reported, lag.total(loop.time_ns())) == ([], 0)
        loop.stall(0.05)
        assert reported == []
        assert 0.029e9 <= lag.total(loop.time_ns()) <= 0.05e9  # included before the heartbeat reports it
        await asyncio.sleep(HEARTBEAT_NS / 1e9)
        assert 0.029e9 <= reported[-1] <= 0.05e9
        assert lag.total(loop.time_ns()) == reported[-1]
        loop.stall(0.1)
        await asyncio.sleep(HEARTBEAT_NS / 1e9)
        assert 0.079e9 <= reported[-1] <= 0.1e9
        await asyncio.sleep(2 * PEAK_WINDOW_NS / 1e9 + 1)
        assert reported[-1] == 0
        lag.close()

    run_virtual(work)


def test_input_received_in_a_stall_is_read_before_the_callback() -> None:
    """The timers of the answer and of the callback are both due when the stall ends."""

    async def work(loop: VirtualLoop) -> None:
        seen: list[str] = []

        class Reader(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                seen.append("answer")

        server = await loop.create_server(Reader, HOST, 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        loop.call_later(0.005, writer.write, b"x")
        loop.call_later(0.010, after_poll, loop, lambda: seen.append("verdict"))
        loop.call_soon(loop.stall, 0.03)
        await asyncio.sleep(0.1)
        assert seen == ["answer", "verdict"]
        writer.close()
        server.close()

    run_virtual(work)
