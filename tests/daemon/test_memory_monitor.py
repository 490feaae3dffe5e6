"""The warning of a process that is near its memory limit, and the figures for whoever is on call."""

from __future__ import annotations

import logging

import pytest

from pebblepass.daemon.memory_monitor import (
    WARNING_INTERVAL_S,
    ClientFigures,
    MemoryMonitor,
    MemorySources,
    MemoryUse,
)
from tests.virtual_router import RouterHarness, encode_request, run_with_router

LIMIT = 32 << 20
CLIENTS = ClientFigures(connected=9, partial_commands=5, deferred=1, paused=2, blocked=3)
SOURCES = MemorySources(lambda: [MemoryUse("long commands", 1 << 20, 2 << 20)], lambda: CLIENTS, lambda: 4)


def test_warns_near_the_limit_with_what_is_in_use(caplog: pytest.LogCaptureFixture) -> None:
    monitor = MemoryMonitor(LIMIT, SOURCES, lambda _: 30 << 20)
    with caplog.at_level(logging.WARNING, "pebblepass"):
        monitor.check(100.0)
        monitor.check(100.0 + WARNING_INTERVAL_S / 2)
    (line,) = caplog.messages
    assert line.startswith(
        "30.0 of 32.0 MB of memory in use: long commands 1.0 of 2.0 MB; 4 open requests; 9 c"
    )
    assert "5 with a partial command, 1 with deferred commands, 2 not read, 3 that do not read" in line


def test_does_not_warn_far_from_the_limit(caplog: pytest.LogCaptureFixture) -> None:
    MemoryMonitor(LIMIT, SOURCES, lambda _: 20 << 20).check(100.0)
    assert not caplog.messages


def test_figures_tell_partial_commands_and_reasons_of_closes() -> None:
    async def test(harness: RouterHarness) -> None:
        leaving, stopping = await harness.client(), await harness.client()
        stopping.transport.write(encode_request("half", "put", value=bytes(1000))[:500])
        await harness.settle()
        leaving.transport.close()
        await harness.settle()
        lines = harness.daemon._diagnostic_lines()
        assert "clients.partial_commands 1" in lines
        assert "closed.client_left 1" in lines
        await harness.wait(4.0)
        assert "closed.last_reply 1" in harness.daemon._diagnostic_lines()

    run_with_router(test)
