"""Watches that stall in any phase of a call, failures to apply a list, and changes of the address."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import cast

import msgspec
import pytest

from pebblepass.decisions import ListKind, ServerState
from pebblepass.discovery.call_schedule import POLL_TIMING, PUSH_TIMING
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList
from pebblepass.simulation.clock import VirtualLoop
from tests.discovery.test_discovery_faults import PollingRouter, server_entry
from tests.virtual_router import GatedLoop, RouterHarness, run_with_router

STALL_S = 6.0  # deadline for a change that a stalled watch misses, after the stall
AFTER_WAIT_S = 2.0  # or after the end of the call's wait, if that is later
RELOADED_S = 4.0  # deadline for the list of a new address, after a reload
GRACE_S = 0.3  # the shortest grace in the known settings


class RegistryStub:
    """A discovery service at one address with one server. Its open watches can be stalled."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.generation, self.drained = 1, False
        self.connections: list[StubConnection] = []
        self.connected_at: list[float] = []
        """When each connection was accepted."""
        self.calls: list[tuple[float, str]] = []
        self.truncates = False
        """Whether responses are truncated and their connections then stall."""
        self.down = False
        """Whether calls fail immediately."""
        self.address = ("127.0.0.1", 0)

    async def open(self) -> None:
        server = await self.loop.create_server(lambda: StubConnection(self), "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()

    def drain(self) -> None:
        """Let the only server begin to drain."""
        self.generation, self.drained = self.generation + 1, True
        for connection in self.connections:
            connection.notify()

    def stall(self) -> None:
        """Let every open connection stay open without further responses."""
        for connection in self.connections:
            connection.stalled = True

    def response(self, full: bool) -> bytes:
        entries = [server_entry("s1", "draining" if self.drained else "up")]
        body = msgspec.json.encode({"generation": self.generation, "reset": full, "instances": entries})
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class StubConnection(asyncio.Protocol):
    def __init__(self, registry: RegistryStub) -> None:
        self.registry = registry
        self.stalled = False
        self.version: int | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.registry.connections.append(self)
        self.registry.connected_at.append(self.registry.loop.time())

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.connections.remove(self)

    def data_received(self, data: bytes) -> None:
        target = data.split(b" ")[1].decode()
        self.registry.calls.append((self.registry.loop.time(), target))
        if self.registry.down:
            self.transport.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            return
        if "index=" not in target:
            self.respond(full=True)
            return
        self.version = int(target.partition("index=")[2].partition("&")[0])
        wait = int(target.partition("wait=")[2]) / 1000
        self.registry.loop.call_later(wait, self.wait_expired, self.version)
        self.notify()

    def notify(self) -> None:
        if self.version is not None and self.version < self.registry.generation:
            self.respond(full=False)

    def wait_expired(self, version: int) -> None:
        if self.version == version:
            self.respond(full=False)

    def respond(self, full: bool) -> None:
        self.version = None
        if not self.stalled:
            response = self.registry.response(full)
            self.transport.write(response[:-20] if self.registry.truncates else response)
            self.stalled = self.registry.truncates


class PushWatcher:
    """The discovery client of a router whose service pushes, with the lists that it applied and when."""

    def __init__(self, loop: VirtualLoop, registry: RegistryStub) -> None:
        self.loop = loop
        self.received: list[tuple[float, EndpointList]] = []
        self.remaining_faults = 0
        clock = ClockOffset(loop.time_ns(), loop.unix_ns())
        self.discovery = DiscoveryClient(
            registry.address, False, clock, self.apply, lambda: None, random.Random(1)
        )
        self.discovery.start()

    def apply(self, endpoint_list: EndpointList) -> None:
        if self.remaining_faults:
            self.remaining_faults -= 1
            raise RuntimeError("applying the list failed")
        self.received.append((self.loop.time(), endpoint_list))

    @property
    def applied_at(self) -> float:
        """When the drain was applied; infinite if it was not."""
        for time, endpoint_list in self.received:
            if any(server.state is ServerState.DRAINING for server in endpoint_list.change.servers):
                return time
        return float("inf")


def run_with_registry(scenario: Callable[[GatedLoop, RegistryStub], Awaitable[None]]) -> None:
    async def run() -> None:
        loop = cast(GatedLoop, asyncio.get_running_loop())
        registry = RegistryStub(loop)
        await registry.open()
        await scenario(loop, registry)

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        runner.run(run())


@pytest.mark.parametrize("next_watch", ["responds", "connect hangs", "stalls again", "truncated response"])
@pytest.mark.parametrize("phase", [0.0, 0.001, 0.5, 1.0, 1.9, 1.999])
def test_pushed_change_after_stall_is_applied_by_deadline(phase: float, next_watch: str) -> None:
    """The watch stalls `phase` seconds into a call; the next watch may fail as well."""

    async def scenario(loop: GatedLoop, registry: RegistryStub) -> None:
        watcher = PushWatcher(loop, registry)
        await asyncio.sleep(0.05)
        call_started_at = registry.calls[-1][0]
        await asyncio.sleep(max(call_started_at + phase - loop.time(), 0))
        registry.stall()
        stalled_at = loop.time()
        registry.drain()
        registry.truncates = next_watch == "truncated response"
        if next_watch == "connect hangs":
            loop.set_silent(registry.address, True)
            loop.call_later(5.5, loop.set_silent, registry.address, False)
        if next_watch in ("stalls again", "truncated response"):
            while len(registry.calls) < 3:
                await asyncio.sleep(0.01)
            registry.stall()
            registry.truncates = False
        deadline = max(stalled_at + STALL_S, call_started_at + PUSH_TIMING.min_wait_s + AFTER_WAIT_S)
        await asyncio.sleep(deadline + GRACE_S - loop.time())
        assert watcher.applied_at <= deadline + GRACE_S
        watcher.discovery.close()

    run_with_registry(scenario)


@pytest.mark.parametrize("phase", [0.0, 5.0, 13.0, 19.9])
def test_polled_change_after_stall_is_applied_by_deadline(phase: float) -> None:
    """Forty routers, which draw different waits, all meet the deadline."""

    async def scenario(loop: GatedLoop, _: RegistryStub) -> None:
        async def run_router(seed: int) -> None:
            registry = RegistryStub(loop)
            await registry.open()
            router = PollingRouter(loop, registry.address, seed)
            await asyncio.sleep(5.0)
            call_started_at = registry.calls[-1][0]
            await asyncio.sleep(max(call_started_at + phase - loop.time(), 0))
            assert registry.calls[-1][0] == call_started_at
            registry.stall()
            registry.drain()
            deadline = max(loop.time() + STALL_S, call_started_at + POLL_TIMING.min_wait_s + AFTER_WAIT_S)
            await asyncio.sleep(deadline + GRACE_S - loop.time())
            assert router.ready_servers == [], seed
            router.discovery.close()

        await asyncio.gather(*(run_router(seed) for seed in range(40)))

    run_with_registry(scenario)


def test_stalled_watches_reconnect_at_different_times() -> None:
    async def scenario(loop: GatedLoop, registry: RegistryStub) -> None:
        routers = [PollingRouter(loop, registry.address, seed) for seed in range(40)]
        await asyncio.sleep(5.0)
        calls = len(registry.calls)
        registry.stall()
        await asyncio.sleep(POLL_TIMING.min_wait_s + AFTER_WAIT_S)
        connected_at = registry.connected_at[40:]
        assert len(connected_at) == 40
        assert connected_at[-1] - connected_at[0] > 0.5
        call_times = sorted(time for time, _ in registry.calls[calls:])
        assert max(sum(time <= other < time + 0.1 for other in call_times) for time in call_times) < 20
        assert len(call_times) <= 40 * 3, "an immediate call, a short watch and a long one for each router"
        for router in routers:
            router.discovery.close()

    run_with_registry(scenario)


def test_failure_to_apply_a_list_loses_no_change() -> None:
    async def scenario(loop: GatedLoop, registry: RegistryStub) -> None:
        watcher = PushWatcher(loop, registry)
        await asyncio.sleep(0.05)
        watcher.remaining_faults = 1
        registry.drain()
        await asyncio.sleep(1.0)
        assert watcher.applied_at < float("inf")
        assert watcher.received[-1][1].change.kind is ListKind.FULL, (
            "it is unknown how much of the failed list was applied"
        )
        assert len(registry.calls) < 8, "there is a delay between calls"
        watcher.discovery.close()

    run_with_registry(scenario)


def test_delta_of_restarted_service_is_replaced_by_full_list() -> None:
    async def scenario(loop: GatedLoop, registry: RegistryStub) -> None:
        registry.generation = 41
        watcher = PushWatcher(loop, registry)
        await asyncio.sleep(0.05)
        # The service restarts and counts generations from the start.
        registry.generation, registry.drained = 2, True
        await asyncio.sleep(PUSH_TIMING.min_wait_s + 0.5)
        assert watcher.received[-1][1].change.kind is ListKind.FULL
        assert watcher.received[-1][1].generation == 2
        assert watcher.applied_at < float("inf")
        watcher.discovery.close()

    run_with_registry(scenario)


@pytest.mark.parametrize("moves", ["ab", "aba", "abab", "abb"])
@pytest.mark.parametrize("state", ["responds", "down", "slow", "hangs"])
def test_pushed_list_is_watched_at_last_reloaded_address(moves: str, state: str) -> None:
    """The address changes from A to B and back within 50 ms; B is down, hanging or slow for some time."""

    async def scenario(loop: GatedLoop, registry: RegistryStub) -> None:
        other = RegistryStub(loop)
        await other.open()
        registries = {"a": registry, "b": other}
        watcher = PushWatcher(loop, registry)
        await asyncio.sleep(0.05)
        last = registries[moves[-1]]
        if last is other:
            other.down = state == "down"
            if state == "hangs":
                loop.set_silent(other.address, True)
            if state == "slow":
                gate = loop.gates[other.address] = asyncio.Event()
                loop.call_later(0.9, gate.set)
        reloaded = loop.time()
        for name in moves[1:]:
            watcher.discovery.change_address(registries[name].address)
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.5)
        if last is other:
            registry.stall()  # the old address sends nothing more
        await asyncio.sleep(1.0)
        other.down = False
        loop.set_silent(other.address, False)
        last.drain()
        await asyncio.sleep(reloaded + RELOADED_S + GRACE_S - loop.time())
        assert watcher.applied_at <= reloaded + RELOADED_S + GRACE_S
        watcher.discovery.close()

    run_with_registry(scenario)


@pytest.mark.parametrize("moves", ["ab", "abab"])
def test_polled_list_is_requested_at_new_address_until_answered(moves: str) -> None:
    """The first call to the new address fails, and the watch at the old address stalls."""

    async def scenario(loop: GatedLoop, registry: RegistryStub) -> None:
        other = RegistryStub(loop)
        await other.open()
        router = PollingRouter(loop, registry.address, 7)
        await asyncio.sleep(2.0)
        assert router.ready_servers == ["s1"]
        other.down = True
        for name in moves[1:]:
            router.discovery.change_address(registry.address if name == "a" else other.address)
            await asyncio.sleep(0.02)
        registry.stall()
        other.drain()
        await asyncio.sleep(0.5)
        other.down = False
        await asyncio.sleep(RELOADED_S - 0.5 + GRACE_S)
        assert router.ready_servers == []
        router.discovery.close()

    run_with_registry(scenario)


def test_failure_in_decisions_requests_the_full_list_again() -> None:
    """The daemon's host reports the failure, so that the client requests the full list."""

    async def scenario(harness: RouterHarness) -> None:
        router = harness.host._router
        original_handle = router.handle
        failing = True

        def handle(event: object, now: int) -> object:
            if failing and type(event).__name__ == "ServersChanged":
                raise RuntimeError("handling the list failed")
            return original_handle(event, now)

        router.handle = handle
        assert harness.update_servers("a", state=ServerState.DRAINING) is False
        failing = False
        assert harness.update_servers("origin", full=True) is True
        assert [server.id for server in router.ready_servers()] == ["origin"]

    run_with_router(scenario)
