"""All open watches stall 13 s after the start, then a quarter of the servers begin to drain.

A router has to know a missed drain 6 s after the stall, or 2 s after the end of the call's wait if that is
later; a drain that arrives earlier counts immediately. With the grace of the settings added, no new request
may be sent to a drained server after that. Each router has its own registry on the virtual clock, and serves
requests throughout.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import NamedTuple, cast

import msgspec
import pytest

from pebblepass.decisions import (
    Action,
    Event,
    ListKind,
    Outcome,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Subscribe,
    TimerFired,
)
from pebblepass.decisions.slot_table import SlotTable
from pebblepass.discovery.call_schedule import CallSchedule, PlannedCall
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList
from pebblepass.simulation.clock import VirtualLoop
from tests.decisions.builders import S, request, result_of, settings
from tests.discovery.test_discovery_faults import server_entry
from tests.discovery.test_watches import AFTER_WAIT_S, GRACE_S, STALL_S, RegistryStub
from tests.virtual_router import GatedLoop

ROUTERS, SERVERS = 6, 16
STALL_AT_S = 13.0
FIRST_DRAIN_S, DRAIN_INTERVAL_S = 0.02, 0.3  # after the stall; between two servers
REQUEST_INTERVAL_S = 0.05
MAX_RESPONSE_S = 0.3
FAILURE_FRACTION = 0.2  # of the attempts; the router retries them at another server
RUN_S = 36.0  # past the deadlines of all watches, with some time of sends after them
NAMES = tuple(f"s{number}" for number in range(SERVERS))


class DrainingRegistry(RegistryStub):
    """A registry with several servers, some of which drain."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.draining: dict[str, float] = {}
        """When each server began to drain."""

    def begin_drain(self, name: str) -> None:
        self.generation += 1
        self.draining[name] = self.loop.time()
        for connection in self.connections:
            connection.notify()

    def response(self, full: bool) -> bytes:
        entries = [server_entry(name, "draining" if name in self.draining else "up") for name in NAMES]
        body = msgspec.json.encode({"generation": self.generation, "reset": full, "instances": entries})
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    @property
    def open_watch(self) -> tuple[float, float]:
        """When the last call arrived, and its wait in seconds."""
        call_started_at, target = self.calls[-1]
        return call_started_at, int(target.partition("wait=")[2]) / 1000


class ServingRouter:
    """A router that watches its registry and serves requests at a fixed interval."""

    def __init__(self, loop: VirtualLoop, registry: DrainingRegistry, polled: bool, seed: int) -> None:
        self.loop, self.registry, self.rng = loop, registry, random.Random(seed)
        self.sends: list[tuple[float, str]] = []
        self.drain_received_at: dict[str, float] = {}
        """When the router received each server's drain."""
        self._count = 0
        self._attempts: dict[str, int] = {}
        self._router = Router(settings(must_subscribe=polled, subscribe_within=8 * S, routers=ROUTERS), seed)
        clock = ClockOffset(loop.time_ns(), loop.unix_ns())
        failed = ServersChanged(ListKind.FAILED)
        self.discovery = DiscoveryClient(
            registry.address, polled, clock, self._apply, lambda: self._handle(failed), random.Random(seed)
        )
        if polled:
            self._handle(ServersChanged(ListKind.CACHED))
        else:
            self.discovery.start()

    def serve(self) -> None:
        """Handle a request now, and others at a fixed interval."""
        self._count += 1
        now = self.loop.time_ns()
        self._handle(request(f"r{self._count}", now, key=f"k{self.rng.randrange(10_000)}"))
        self.loop.call_later(REQUEST_INTERVAL_S, self.serve)

    def _apply(self, endpoint_list: EndpointList) -> None:
        for server in endpoint_list.change.servers:
            if server.state is ServerState.DRAINING:
                self.drain_received_at.setdefault(server.id, self.loop.time())
        self._handle(endpoint_list.change)

    def _handle(self, event: Event) -> None:
        for action in self._router.handle(event, self.loop.time_ns()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.loop.call_later(action.delay / S, self._handle, TimerFired(action.token))
        elif isinstance(action, Subscribe):
            self.discovery.subscribe()
        elif isinstance(action, Send):
            self.sends.append((self.loop.time(), action.server))
            self.loop.call_later(self.rng.uniform(0.0, MAX_RESPONSE_S), self._complete, action)

    def _complete(self, send: Send) -> None:
        number = self._attempts.get(send.request, 0)
        self._attempts[send.request] = number + 1
        failed = self.rng.random() < FAILURE_FRACTION
        self._handle(result_of(send, Outcome.OVERLOADED if failed else Outcome.OK, number))


class LateSend(NamedTuple):
    """A send to a drained server, and its delay after the time at which the router had to know the drain."""

    server: str
    delay_s: float


class Result(NamedTuple):
    """One router's late sends, and the number of sends before it had to know a drain."""

    late_sends: list[LateSend]
    unaware_sends: int


async def run_router(loop: VirtualLoop, polled: bool, start_s: float, seed: int) -> Result:
    """Run a router that starts `start_s` after its registry."""
    run_started_at = loop.time()
    registry = DrainingRegistry(loop)
    await registry.open()
    await asyncio.sleep(start_s)
    router = ServingRouter(loop, registry, polled, seed)
    await asyncio.sleep(run_started_at + STALL_AT_S - 0.5 - loop.time())
    router.serve()
    await asyncio.sleep(run_started_at + STALL_AT_S - loop.time())
    call_started_at, wait = registry.open_watch
    registry.stall()
    deadline = max(loop.time() + STALL_S, call_started_at + wait + AFTER_WAIT_S)
    drained = random.Random(seed).sample(NAMES, SERVERS // 4)
    for index, name in enumerate(drained):
        loop.call_later(FIRST_DRAIN_S + index * DRAIN_INTERVAL_S, registry.begin_drain, name)
    await asyncio.sleep(run_started_at + RUN_S - loop.time())
    router.discovery.close()
    drain_known_by = {name: min(deadline, router.drain_received_at.get(name, math.inf)) for name in drained}
    sends_after = [
        LateSend(name, sent_at - drain_known_by[name])
        for sent_at, name in router.sends
        if name in drain_known_by
    ]
    unaware_sends = sum(
        registry.draining[name] < sent_at <= drain_known_by[name]
        for sent_at, name in router.sends
        if name in drain_known_by
    )
    return Result([send for send in sends_after if send.delay_s > GRACE_S], unaware_sends)


def run_routers(kind: str, start_spread_s: float) -> list[Result]:
    """Run routers whose starts, and so the phases of their watches, are spread over `start_spread_s`."""

    async def run() -> list[Result]:
        loop = cast(VirtualLoop, asyncio.get_running_loop())
        step = start_spread_s / ROUTERS
        routers = (run_router(loop, kind == "polled", seed * step, seed) for seed in range(ROUTERS))
        return await asyncio.gather(*routers)

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        return runner.run(run())


@pytest.mark.parametrize("start_spread_s", [0.5, 11.0])
@pytest.mark.parametrize("kind", ["pushed", "polled"])
def test_drained_servers_get_no_sends_after_the_deadline(kind: str, start_spread_s: float) -> None:
    results = run_routers(kind, start_spread_s)
    assert [result.late_sends for result in results] == [[]] * ROUTERS
    assert sum(result.unaware_sends for result in results) > 0, (
        "the stall has hidden the drains for some time"
    )


class LongTimeoutSchedule(CallSchedule):
    """A broken schedule: a watch times out only long after its wait."""

    def plan(self, full: bool) -> PlannedCall:
        wait_s, overlap_after_s, timeout_s = super().plan(full)
        return PlannedCall(wait_s, overlap_after_s + 8.0, timeout_s + 8.0)


ORIGINAL_UPDATE = SlotTable.update


def update_without_removal(table: SlotTable, ready: list[Server], removed: list[str]) -> None:
    ORIGINAL_UPDATE(table, ready, [])


@pytest.mark.parametrize("kind", ["pushed", "polled"])
def test_too_long_watch_timeout_is_detected(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pebblepass.discovery.client.CallSchedule", LongTimeoutSchedule)
    assert any(result.late_sends for result in run_routers(kind, 11.0))


@pytest.mark.parametrize("kind", ["pushed", "polled"])
def test_sends_to_drained_servers_are_detected(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlotTable, "update", update_without_removal)
    assert all(result.late_sends for result in run_routers(kind, 0.5))
