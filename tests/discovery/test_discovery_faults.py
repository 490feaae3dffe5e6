"""Discovery that breaks in every way, by the sum over forty routers: virtual time, real loopback sockets."""

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
from tests.decisions.cases import S, settings
from tests.virtual import run_virtual

ROUTERS, SERVERS = 40, 20
FAULT_S = 10
GOOD = [f"s{i}" for i in range(SERVERS)]
Says = Callable[[int, int], bytes | None]
"""What is written for a call (the version it has, its number); None: the connection is reset."""


def entry(name: str, lifecycle: str = "up") -> dict[str, object]:
    return {"instanceId": name, "hostPort": "127.0.0.1:7", "machineType": "std", "lifecycle": lifecycle}


def told(generation: int, entries: list[dict[str, object]], whole: bool) -> bytes:
    body = msgspec.json.encode({"generation": generation, "reset": whole, "instances": entries})
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def text(body: bytes, length: int | None = None) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (length or len(body), body)


class Registry:
    """Says what it is told to, and notes when it was asked."""

    def __init__(self, loop: VirtualLoop, says: Says) -> None:
        self.loop, self.says = loop, says
        self.calls: list[float] = []
        self.lines: list[asyncio.Transport] = []

    async def open(self) -> tuple[str, int]:
        server = await self.loop.create_server(lambda: Line(self), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return host, port

    def busiest(self, begins: float, ends: float) -> int:
        """The most calls that came in one second between these times."""
        return max(Counter(int(at) for at in self.calls if begins <= at < ends).values(), default=0)


class Line(asyncio.Protocol):
    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.held = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.held += data
        while b"\r\n\r\n" in self.held:
            head, _, self.held = self.held.partition(b"\r\n\r\n")
            self.registry.calls.append(self.registry.loop.time())
            version = int(head.partition(b"index=")[2].partition(b"&")[0])
            answer = self.registry.says(version, len(self.registry.calls))
            if answer is None:
                self.transport.abort()
                return
            self.transport.write(answer)


class Follower:
    """A router that follows the list, as the daemon has it."""

    def __init__(self, loop: VirtualLoop, address: tuple[str, int], seed: int) -> None:
        self.loop = loop
        self.router = Router(settings(must_subscribe=True, subscribe_within=8 * S, routers=ROUTERS), seed)
        clock = ClockOffset(loop.time_ns(), loop.unix_ns())
        self.discovery = DiscoveryClient(address, True, clock, self._take, self._failed, random.Random(seed))
        self.seen: list[ListKind] = []
        self._tell(ServersChanged(ListKind.CACHED))

    def _take(self, listing: EndpointList) -> None:
        self.seen.append(listing.change.kind)
        self._tell(listing.change)

    def _failed(self) -> None:
        self._tell(ServersChanged(ListKind.FAILED))

    def _tell(self, event: Event) -> None:
        for action in self.router.handle(event, self.loop.time_ns()):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.loop.call_later(action.delay / S, lambda: self._tell(TimerFired(action.token)))
        elif isinstance(action, Subscribe):
            self.discovery.subscribe()

    @property
    def held(self) -> list[str]:
        return sorted(server.id for server in self.router.ready_servers())


def newer(generation: int, entries: list[dict[str, object]]) -> Says:
    """This whole list for whoever has an older one; the others wait."""
    return lambda version, number: told(generation, entries, True) if version < generation else b""


FAULTS: dict[str, Says] = {
    "503": lambda version, number: b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "reset": lambda version, number: None,
    "silence": lambda version, number: b"",
    "half a body": lambda version, number: text(b'{"generation":6,"reset":true,"instances":[', 400),
    "no JSON": lambda version, number: text(b"<html>"),
    "nested too deep": lambda version, number: text(b"[" * 100_000),
    "a missing field": lambda version, number: text(
        b'{"generation":6,"reset":true,"instances":[{"instanceId":"x"}]}'
    ),
    "an unknown state": lambda version, number: told(6, [entry("s1", "asleep")], False),
    "one bad entry among good ones": lambda version, number: told(6, [entry("s1", "removed"), {}], False),
    "in turn": lambda version, number: FAULTS[list(FAULTS)[number % 9]](version, number),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_the_list_in_force_stays_whole_and_calls_are_bounded(fault: str) -> None:
    async def test(loop: VirtualLoop) -> None:
        registry = Registry(loop, newer(5, [entry(name) for name in GOOD]))
        address = await registry.open()
        followers = [Follower(loop, address, seed) for seed in range(ROUTERS)]
        await asyncio.sleep(5)
        assert [follower.held for follower in followers] == [sorted(GOOD)] * ROUTERS

        registry.says = FAULTS[fault]
        await asyncio.sleep(20)  # the watches that waited are over by now, and all meet the fault
        begins = loop.time()
        await asyncio.sleep(FAULT_S)
        assert [follower.held for follower in followers] == [sorted(GOOD)] * ROUTERS
        # Each asks once in 1.3 to 1.9 s by now, and one that meets silence once in 2.2 s.
        assert registry.busiest(begins, loop.time()) <= ROUTERS
        asked = sum(begins <= at for at in registry.calls)
        assert asked <= ROUTERS * FAULT_S // 1.5

        drained = [entry(name, "draining" if name == "s3" else "up") for name in GOOD]
        registry.says = newer(7, drained)
        await asyncio.sleep(26)  # a watch that is silent is given up after 21.4 s
        left = sorted(set(GOOD) - {"s3"})
        assert [follower.held for follower in followers] == [left] * ROUTERS
        for follower in followers:
            follower.discovery.close()

    run_virtual(test)


def test_a_version_that_goes_back_and_an_empty_list_are_taken_whole() -> None:
    async def test(loop: VirtualLoop) -> None:
        steps = [
            told(5, [entry(name) for name in GOOD], True),
            told(3, [entry(name) for name in GOOD[:8]], True),
            told(4, [], True),
            told(5, [entry("s9")], False),
        ]
        registry = Registry(loop, lambda version, number: steps[number - 1] if number <= len(steps) else b"")
        follower = Follower(loop, await registry.open(), 7)
        await asyncio.sleep(5)
        assert follower.seen == [ListKind.FULL] * 3 + [ListKind.DELTA]
        assert follower.held == ["s9"]
        follower.discovery.close()

    run_virtual(test)
