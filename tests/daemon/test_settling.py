"""The pause between a start and its first clients, which keeps the process within its CPU quota."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from pebblepass.daemon.config import read_config
from pebblepass.daemon.daemon import MAX_SETTLING_S, Daemon, settling_delay
from pebblepass.simulation.clock import VirtualLoop
from tests.sockets import SETTINGS
from tests.virtual import run_virtual

CONFIG: dict[str, Any] = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": SETTINGS,
    "limits": {"cores": 0.8},
}


class ReadyRecorder:
    """Records when the router became ready."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.ready_at: list[float] = []

    def ready(self) -> None:
        self.ready_at.append(self.loop.time())

    def close(self) -> None:
        pass


def test_pause_grows_with_the_cpu_of_the_start_up_to_a_limit() -> None:
    assert settling_delay(0.0, 0.8) == 0
    assert settling_delay(0.1, 0.8) == pytest.approx(0.1 / 0.32 - 0.1)
    assert settling_delay(0.1, 4.0) == 0
    assert settling_delay(5.0, 0.1) == MAX_SETTLING_S


@pytest.mark.parametrize("spent", [0.0, 0.1])
def test_router_becomes_ready_once_after_the_pause(spent: float) -> None:
    async def work(loop: VirtualLoop) -> None:
        daemon = Daemon(loop, read_config(CONFIG, {}), loop.unix_ns, startup_cpu_s=spent)
        started_at, recorder, wait = loop.time(), ReadyRecorder(loop), settling_delay(spent, 0.8)
        daemon._upgrade = cast(Any, recorder)
        daemon._become_ready()
        daemon._become_ready()  # the next list may arrive before the pause is over
        assert daemon.host.ready == (not spent)
        await asyncio.sleep(wait + 0.01)
        assert daemon.host.ready
        assert [at - started_at for at in recorder.ready_at] == [pytest.approx(wait, abs=0.002)]
        daemon.stop()
        await asyncio.sleep(0)

    run_virtual(work)
