"""How late the loop runs, and what its own lateness is not held against."""

from __future__ import annotations

import asyncio

from pebblepass.daemon.lag import BEAT_S, MEMORY_S, LoopLag, after_news
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.rehearsal.clock import VirtualLoop
from tests.virtual import played

HOST = "127.0.0.1"


def test_a_hold_up_is_told_and_forgotten_after_a_while() -> None:
    async def work(loop: VirtualLoop) -> None:
        told: list[int] = []
        lag = LoopLag(loop, told.append)
        await asyncio.sleep(1)
        assert (told, lag.total) == ([], 0)
        loop.stall(0.05)
        assert told == []
        assert 0.029e9 <= lag.total <= 0.05e9  # known before the beat tells it
        await asyncio.sleep(BEAT_S)
        assert 0.029e9 <= told[-1] <= 0.05e9
        assert lag.total == told[-1]
        loop.stall(0.1)
        await asyncio.sleep(BEAT_S)
        assert 0.079e9 <= told[-1] <= 0.1e9
        await asyncio.sleep(2 * MEMORY_S + 1)
        assert told[-1] == 0
        lag.close()

    played(work)


def test_what_comes_in_a_hold_up_is_read_before_a_timer_s_verdict() -> None:
    """The answer's timer and the verdict's are both due when the hold-up ends."""

    async def work(loop: VirtualLoop) -> None:
        seen: list[str] = []

        class Reader(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                seen.append("answer")

        server = await loop.create_server(Reader, HOST, 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        loop.call_later(0.005, writer.write, b"x")
        loop.call_later(0.010, after_news, loop, lambda: seen.append("verdict"))
        loop.call_soon(loop.stall, 0.03)
        await asyncio.sleep(0.1)
        assert seen == ["answer", "verdict"]
        writer.close()
        server.close()

    played(work)


def test_on_the_daemon_s_loop_what_stands_unread_is_read_before_a_timer_s_verdict() -> None:
    """Bytes in the kernel and a timer that is due, both found after a hold-up: the bytes come first."""

    async def work() -> list[str]:
        loop = asyncio.get_running_loop()
        seen: list[str] = []
        done = loop.create_future()

        class Reader(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                seen.append("answer")

        def verdict() -> None:
            seen.append("verdict")
            done.set_result(None)

        server = await loop.create_server(Reader, HOST, 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"hello")
        await writer.drain()
        while seen != ["answer"]:  # the connection is up at both ends
            await asyncio.sleep(0)
        seen.clear()

        def hold_up() -> None:
            # From here to the end of this callback the loop reads nothing.
            writer.write(b"x")
            begun = loop.time()
            while loop.time() < begun + 0.03:
                pass

        loop.call_later(0.01, lambda: after_news(loop, verdict))
        loop.call_soon(hold_up)
        await done
        server.close()
        writer.close()
        return seen

    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        for _ in range(5):
            assert runner.run(work()) == ["answer", "verdict"]
