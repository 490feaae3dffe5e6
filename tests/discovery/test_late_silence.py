"""All open watches fall silent 13 s into the day, then a quarter of the servers begin to drain.

What a silent watch misses counts as told 6 s after it fell silent, or 2 s after its call's wait is over where
that is later; what arrives before that counts at once. Later than the settings' grace after that nothing new
may be sent to a drained server. Each router follows a registry of its own, on the virtual clock, and goes on
serving requests all the while.
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
from tests.decisions.cases import S, request, result_of, settings
from tests.discovery.test_discovery_faults import entry
from tests.discovery.test_watches import AFTER_WAIT_S, GRACE_S, SILENCE_S, Agent
from tests.virtual_router import GatedLoop

ROUTERS, SERVERS = 6, 16
SILENT_AT_S = 13.0
DRAINS_BEGIN_S, DRAIN_APART_S = 0.02, 0.3  # after the silence; between two servers
REQUEST_EVERY_S = 0.05
ANSWERS_WITHIN_S = 0.3
FAILED_SHARE = 0.2  # of the attempts: tried again at another server
DAY_S = 36.0  # by then every watch that was open counts as told, and the sending has gone on
NAMES = tuple(f"s{number}" for number in range(SERVERS))


class Registry(Agent):
    """A list of several servers, some of which drain."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.draining: dict[str, float] = {}
        """Since when."""

    def begin_drain(self, name: str) -> None:
        self.generation += 1
        self.draining[name] = self.loop.time()
        for line in self.lines:
            line.look()

    def answer(self, whole: bool) -> bytes:
        entries = [entry(name, "draining" if name in self.draining else "up") for name in NAMES]
        body = msgspec.json.encode({"generation": self.generation, "reset": whole, "instances": entries})
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    @property
    def open_watch(self) -> tuple[float, float]:
        """When the last call came, and for how long it may wait."""
        begun, target = self.calls[-1]
        return begun, int(target.partition("wait=")[2]) / 1000


class ServingRouter:
    """A router that follows its registry and serves one request after another."""

    def __init__(self, loop: VirtualLoop, registry: Registry, asked: bool, seed: int) -> None:
        self.loop, self.registry, self.rng = loop, registry, random.Random(seed)
        self.sent: list[tuple[float, str]] = []
        self.arrived: dict[str, float] = {}
        """When the router was sent the news of a drain."""
        self._count = 0
        self._attempts: dict[str, int] = {}
        self._router = Router(settings(must_subscribe=asked, subscribe_within=8 * S, routers=ROUTERS), seed)
        clock = ClockOffset(loop.time_ns(), loop.unix_ns())
        failed = ServersChanged(ListKind.FAILED)
        self.discovery = DiscoveryClient(
            registry.address, asked, clock, self._take, lambda: self._tell(failed), random.Random(seed)
        )
        if asked:
            self._tell(ServersChanged(ListKind.CACHED))
        else:
            self.discovery.start()

    def serve(self) -> None:
        """Take a request now, and others after it."""
        self._count += 1
        now = self.loop.time_ns()
        self._tell(request(f"r{self._count}", now, key=f"k{self.rng.randrange(10_000)}"))
        self.loop.call_later(REQUEST_EVERY_S, self.serve)

    def _take(self, listing: EndpointList) -> None:
        for server in listing.change.servers:
            if server.state is ServerState.DRAINING:
                self.arrived.setdefault(server.id, self.loop.time())
        self._tell(listing.change)

    def _tell(self, event: Event) -> None:
        for action in self._router.handle(event, self.loop.time_ns()):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.loop.call_later(action.delay / S, self._tell, TimerFired(action.token))
        elif isinstance(action, Subscribe):
            self.discovery.subscribe()
        elif isinstance(action, Send):
            self.sent.append((self.loop.time(), action.server))
            self.loop.call_later(self.rng.uniform(0.0, ANSWERS_WITHIN_S), self._answer, action)

    def _answer(self, send: Send) -> None:
        number = self._attempts.get(send.request, 0)
        self._attempts[send.request] = number + 1
        failed = self.rng.random() < FAILED_SHARE
        self._tell(result_of(send, Outcome.OVERLOADED if failed else Outcome.OK, number))


class Late(NamedTuple):
    """A send to a drained server, so many seconds after its drain counted as told."""

    server: str
    by_s: float


class Day(NamedTuple):
    """What one router did: sends that came too late, and how many it made while the drain was not told."""

    late: list[Late]
    unaware: int


async def one_day(loop: VirtualLoop, asked: bool, begins_s: float, seed: int) -> Day:
    """Play a router that starts so far into the day."""
    day = loop.time()
    registry = Registry(loop)
    await registry.open()
    await asyncio.sleep(begins_s)
    router = ServingRouter(loop, registry, asked, seed)
    await asyncio.sleep(day + SILENT_AT_S - 0.5 - loop.time())
    router.serve()
    await asyncio.sleep(day + SILENT_AT_S - loop.time())
    begun, wait = registry.open_watch
    registry.fall_silent()
    told_by = max(loop.time() + SILENCE_S, begun + wait + AFTER_WAIT_S)
    drained = random.Random(seed).sample(NAMES, SERVERS // 4)
    for place, name in enumerate(drained):
        loop.call_later(DRAINS_BEGIN_S + place * DRAIN_APART_S, registry.begin_drain, name)
    await asyncio.sleep(day + DAY_S - loop.time())
    router.discovery.close()
    told = {name: min(told_by, router.arrived.get(name, math.inf)) for name in drained}
    after = [Late(name, at - told[name]) for at, name in router.sent if name in told]
    unaware = sum(registry.draining[name] < at <= told[name] for at, name in router.sent if name in told)
    return Day([each for each in after if each.by_s > GRACE_S], unaware)


def days(kind: str, begins_within_s: float) -> list[Day]:
    """What each router did whose starts lie so far apart, and with them the phases of their watches."""

    async def main() -> list[Day]:
        loop = cast(VirtualLoop, asyncio.get_running_loop())
        step = begins_within_s / ROUTERS
        routers = (one_day(loop, kind == "asked", seed * step, seed) for seed in range(ROUTERS))
        return await asyncio.gather(*routers)

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        return runner.run(main())


@pytest.mark.parametrize("begins_within_s", [0.5, 11.0])
@pytest.mark.parametrize("kind", ["pushed", "asked"])
def test_nothing_new_is_sent_to_servers_that_drain_behind_a_late_silence_once_that_counts_as_told(
    kind: str, begins_within_s: float
) -> None:
    played = days(kind, begins_within_s)
    assert [each.late for each in played] == [[]] * ROUTERS
    assert sum(each.unaware for each in played) > 0, "the silence hid the drains for a while"


class SlowToGiveUp(CallSchedule):
    """Broken: a watch is held for silent only long after its wait."""

    def plan(self, full: bool) -> PlannedCall:
        wait_s, timeout_s = super().plan(full)
        return PlannedCall(wait_s, timeout_s + 8.0)


UPDATE = SlotTable.update


def keeps_drained_servers(table: SlotTable, ready: list[Server], left: list[str]) -> None:
    UPDATE(table, ready, [])


@pytest.mark.parametrize("kind", ["pushed", "asked"])
def test_a_router_that_takes_a_silence_for_quiet_is_caught(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("pebblepass.discovery.client.CallSchedule", SlowToGiveUp)
    assert any(each.late for each in days(kind, 11.0))


@pytest.mark.parametrize("kind", ["pushed", "asked"])
def test_a_router_that_goes_on_sending_to_drained_servers_is_caught(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlotTable, "update", keeps_drained_servers)
    assert all(each.late for each in days(kind, 0.5))
