"""Faults of the discovery service with forty polling routers, on loopback sockets in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import cast

import msgspec
import pytest

from pebblepass.decisions import (
    Action,
    Event,
    ListKind,
    Router,
    ServersChanged,
    SetTimer,
    Subscribe,
    TimerFired,
)
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList
from pebblepass.simulation.clock import VirtualLoop
from tests.decisions.builders import S, settings
from tests.virtual import run_virtual

ROUTERS, SERVERS = 40, 20
FAULT_S = 10
NAMES = [f"s{i}" for i in range(SERVERS)]
Responder = Callable[[int, int], bytes | None]
"""Returns the response to a call, given its generation and number; None: the connection is reset."""


def server_entry(name: str, lifecycle: str = "up") -> dict[str, object]:
    return {"instanceId": name, "hostPort": "127.0.0.1:7", "machineType": "std", "lifecycle": lifecycle}


def list_response(generation: int, entries: list[dict[str, object]], full: bool) -> bytes:
    body = msgspec.json.encode({"generation": generation, "reset": full, "instances": entries})
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def raw_response(body: bytes, length: int | None = None) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (length or len(body), body)


class ScriptedRegistry:
    """A discovery service that responds by a function, and records when it was called."""

    def __init__(self, loop: VirtualLoop, responder: Responder) -> None:
        self.loop, self.responder = loop, responder
        self.calls: list[float] = []
        self.connections: list[asyncio.Transport] = []

    async def open(self) -> tuple[str, int]:
        server = await self.loop.create_server(lambda: ScriptedConnection(self), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return host, port

    def peak_calls_per_second(self, start: float, end: float) -> int:
        """Return the largest number of calls in one second between two times."""
        return max(Counter(int(time) for time in self.calls if start <= time < end).values(), default=0)


class ScriptedConnection(asyncio.Protocol):
    def __init__(self, registry: ScriptedRegistry) -> None:
        self.registry = registry
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            self.registry.calls.append(self.registry.loop.time())
            known_generation = int(head.partition(b"index=")[2].partition(b"&")[0])
            response = self.registry.responder(known_generation, len(self.registry.calls))
            if response is None:
                self.transport.abort()
                return
            self.transport.write(response)


class PollingRouter:
    """A router that polls the service, connected to its decisions as in the daemon."""

    def __init__(self, loop: VirtualLoop, address: tuple[str, int], seed: int) -> None:
        self.loop = loop
        self.router = Router(settings(must_subscribe=True, subscribe_within=8 * S, routers=ROUTERS), seed)
        clock = ClockOffset(loop.time_ns(), loop.unix_ns())
        self.discovery = DiscoveryClient(address, True, clock, self._apply, self._failed, random.Random(seed))
        self.kinds: list[ListKind] = []
        self._handle(ServersChanged(ListKind.CACHED))

    def _apply(self, endpoint_list: EndpointList) -> None:
        self.kinds.append(endpoint_list.change.kind)
        self._handle(endpoint_list.change)

    def _failed(self) -> None:
        self._handle(ServersChanged(ListKind.FAILED))

    def _handle(self, event: Event) -> None:
        for action in self.router.handle(event, self.loop.time_ns()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.loop.call_later(action.delay / S, lambda: self._handle(TimerFired(action.token)))
        elif isinstance(action, Subscribe):
            self.discovery.subscribe()

    @property
    def ready_servers(self) -> list[str]:
        return sorted(server.id for server in self.router.ready_servers())


def list_if_newer(generation: int, entries: list[dict[str, object]]) -> Responder:
    """Return the full list to calls with an older generation, and nothing to other calls."""
    return lambda known_generation, number: (
        list_response(generation, entries, True) if known_generation < generation else b""
    )


FAULTS: dict[str, Responder] = {
    "503": lambda known_generation, number: b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "reset": lambda known_generation, number: None,
    "stall": lambda known_generation, number: b"",
    "truncated body": lambda known_generation, number: raw_response(
        b'{"generation":6,"reset":true,"instances":[', 400
    ),
    "invalid JSON": lambda known_generation, number: raw_response(b"<html>"),
    "nested too deep": lambda known_generation, number: raw_response(b"[" * 100_000),
    "missing field": lambda known_generation, number: raw_response(
        b'{"generation":6,"reset":true,"instances":[{"instanceId":"x"}]}'
    ),
    "unknown state": lambda known_generation, number: list_response(6, [server_entry("s1", "asleep")], False),
    "one invalid entry": lambda known_generation, number: list_response(
        6, [server_entry("s1", "removed"), {}], False
    ),
    "all in turn": lambda known_generation, number: FAULTS[list(FAULTS)[number % 9]](
        known_generation, number
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_keeps_the_list_and_bounds_the_calls(fault: str) -> None:
    async def scenario(loop: VirtualLoop) -> None:
        registry = ScriptedRegistry(loop, list_if_newer(5, [server_entry(name) for name in NAMES]))
        address = await registry.open()
        routers = [PollingRouter(loop, address, seed) for seed in range(ROUTERS)]
        await asyncio.sleep(5)
        assert [router.ready_servers for router in routers] == [sorted(NAMES)] * ROUTERS

        registry.responder = FAULTS[fault]
        await asyncio.sleep(20)  # all watches that were open have ended, and later calls fail
        start = loop.time()
        await asyncio.sleep(FAULT_S)
        assert [router.ready_servers for router in routers] == [sorted(NAMES)] * ROUTERS
        # By now each router calls once in 1.3 to 1.9 s, or once in 2.2 s if calls stall.
        assert registry.peak_calls_per_second(start, loop.time()) <= ROUTERS
        call_count = sum(start <= time for time in registry.calls)
        assert call_count <= ROUTERS * FAULT_S // 1.5

        entries = [server_entry(name, "draining" if name == "s3" else "up") for name in NAMES]
        registry.responder = list_if_newer(7, entries)
        await asyncio.sleep(26)  # a stalled watch times out after 21.4 s
        remaining = sorted(set(NAMES) - {"s3"})
        assert [router.ready_servers for router in routers] == [remaining] * ROUTERS
        for router in routers:
            router.discovery.close()

    run_virtual(scenario)


def test_full_list_with_older_generation_or_no_server_is_applied() -> None:
    async def scenario(loop: VirtualLoop) -> None:
        steps = [
            list_response(5, [server_entry(name) for name in NAMES], True),
            list_response(3, [server_entry(name) for name in NAMES[:8]], True),
            list_response(4, [], True),
            list_response(5, [server_entry("s9")], False),
        ]
        registry = ScriptedRegistry(
            loop, lambda known_generation, number: steps[number - 1] if number <= len(steps) else b""
        )
        router = PollingRouter(loop, await registry.open(), 7)
        await asyncio.sleep(5)
        assert router.kinds == [ListKind.FULL] * 3 + [ListKind.DELTA]
        assert router.ready_servers == ["s9"]
        router.discovery.close()

    run_virtual(scenario)
