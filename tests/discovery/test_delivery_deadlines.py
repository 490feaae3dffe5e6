"""A router applies a change by its deadline, whichever calls to the discovery service have failed.

The deadline is 6 s after the service has the change and can be reached. If a watch stalls (its connection
stays open without a response) and no call has failed before, it is 2 s after the end of the watch's wait, if
that is later. After a failed call, the 6 s apply until a watch has got a response again.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, cast

import pytest

from pebblepass.discovery.call_schedule import CallSchedule, PlannedCall
from pebblepass.discovery.endpoint_list import EndpointList
from pebblepass.discovery.watch import MAX_OPEN_CALLS
from pebblepass.wire.address import Address
from tests.discovery.test_discovery_faults import PollingRouter
from tests.discovery.test_watches import (
    AFTER_WAIT_S,
    GRACE_S,
    RELOADED_S,
    STALL_S,
    PushWatcher,
    RegistryStub,
    StubConnection,
)
from tests.virtual_router import GatedLoop

DELIVERY_S = 6.0  # deadline after the service has the change and can be reached
KINDS = ("pushed", "polled")
IMMEDIATE_FAULTS = ("503", "reset", "refused")
STALLING_FAULTS = ("connect hangs", "stall")
FAULTS = (*IMMEDIATE_FAULTS, *STALLING_FAULTS)
SECOND_STALL_S = (
    3.5  # after the response that ends a stall; a second stall within this time has the 6 s deadline
)
SEEDS = range(8)
FLEET = 200
WASTED_CALLS = 1.1  # calls that the service responds to, for each one whose response is used
MAX_QUEUE_S = 2.0  # a call that would wait longer for its response gets a 503
PAGE = Path(__file__).parents[2] / "docs" / "design" / "narrow-moments.md"


class FaultyRegistry(RegistryStub):
    """A discovery service at one address whose calls fail as configured."""

    def __init__(self, loop: FaultyLoop) -> None:
        super().__init__(loop)
        self.outage_fault: str | None = None
        """The fault of every call; None: calls succeed."""
        self.next_faults: list[str] = []
        """The faults of the next calls, one for each, before `outage_fault` applies."""
        self.last_watch = (0.0, 0.0)
        """When the last call with a wait arrived, and its wait in seconds."""
        self.registries = loop.registries
        self.response_time_s = 0.0
        """The time that a response takes; calls are handled one after another."""
        self.busy_until = 0.0

    async def open(self) -> None:
        server = await self.loop.create_server(lambda: FaultyConnection(self), "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()
        self.registries[self.address] = self

    def begin_outage(self, fault: str) -> None:
        """Let every open watch and every later call fail in this way."""
        self.outage_fault = fault
        for connection in list(self.connections):
            cast(FaultyConnection, connection).apply_fault(fault)

    def current_fault(self) -> str | None:
        """Return the fault of a call or connection attempt at this time; None: it succeeds."""
        return self.next_faults[0] if self.next_faults else self.outage_fault


class FaultyConnection(StubConnection):
    """A connection to a FaultyRegistry."""

    registry: FaultyRegistry

    def apply_fault(self, fault: str) -> None:
        if fault in STALLING_FAULTS:
            self.stalled = True
        elif fault == "503":
            self.version = None
            self.transport.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        else:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        target = data.split(b" ")[1].decode()
        now, fault = self.registry.loop.time(), self.registry.current_fault()
        if "wait=" in target:
            self.registry.last_watch = (now, int(target.partition("wait=")[2]) / 1000)
        if fault is None or self.stalled:
            super().data_received(data)
            return
        del self.registry.next_faults[:1]
        self.registry.calls.append((now, target))
        self.apply_fault(fault)

    def respond(self, full: bool) -> None:
        registry, loop = self.registry, self.registry.loop
        done = max(registry.busy_until, loop.time()) + registry.response_time_s
        if self.stalled or not registry.response_time_s:
            super().respond(full)
        elif done > loop.time() + MAX_QUEUE_S:
            self.apply_fault("503")
        else:
            self.version, registry.busy_until = None, done
            loop.call_at(
                done, lambda: None if self.transport.is_closing() else StubConnection.respond(self, full)
            )


class FaultyLoop(GatedLoop):
    """A loop on which connection attempts to a FaultyRegistry fail with its faults."""

    def __init__(self) -> None:
        super().__init__()
        self.registries: dict[Address, FaultyRegistry] = {}

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        registry = self.registries[host, port]
        if (fault := registry.current_fault()) in ("refused", "connect hangs"):
            del registry.next_faults[:1]
            if fault == "refused":
                raise ConnectionRefusedError("no listener")
            await self.create_future()
        return await super().create_connection(protocol_factory, host, port, **more)


class PollWatcher(PollingRouter):
    """A router that polls the service, and records when it applied the drain."""

    applied_at = math.inf

    def _apply(self, endpoint_list: EndpointList) -> None:
        super()._apply(endpoint_list)
        if self.applied_at == math.inf and self.ready_servers != ["s1"]:
            self.applied_at = self.loop.time()


def create_watcher(kind: str, registry: FaultyRegistry, seed: int) -> PushWatcher | PollWatcher:
    return (
        PushWatcher(registry.loop, registry)
        if kind == "pushed"
        else PollWatcher(registry.loop, registry.address, seed)
    )


FaultSequence = Callable[[str, FaultyRegistry, int], Awaitable[tuple[float, float]]]
"""Runs one router through faults; returns after how many seconds it applied the change, and the deadline."""


def assert_applied_in_time(kind: str, fault: str, fault_sequences: Iterable[FaultSequence]) -> None:
    """Check that the change is applied in time in every sequence; print a row for the table of PAGE."""
    results = [worst_case(kind, fault_sequence) for fault_sequence in fault_sequences]
    applied_after, deadline = max(results, key=lambda result: result[0] - result[1])
    print(
        f"| {fault} | {kind} | {applied_after:.2f} | {deadline:.2f} | {max(end[0] for end in results):.2f} |"
    )
    assert applied_after <= deadline + GRACE_S


def worst_case(kind: str, fault_sequence: FaultSequence) -> tuple[float, float]:
    """Run a sequence with each seed; return the result that is closest to its deadline or exceeds it most."""

    async def run_one(loop: FaultyLoop, seed: int) -> tuple[float, float]:
        registry = FaultyRegistry(loop)
        await registry.open()
        return await fault_sequence(kind, registry, seed)

    async def run() -> tuple[float, float]:
        loop = cast(FaultyLoop, asyncio.get_running_loop())
        results = await asyncio.gather(*(run_one(loop, seed) for seed in SEEDS))
        return max(results, key=lambda result: result[0] - result[1])

    with asyncio.Runner(loop_factory=FaultyLoop) as runner:
        return runner.run(run())


async def start_watcher(kind: str, registry: FaultyRegistry, seed: int) -> PushWatcher | PollWatcher:
    """Return a router that has watched its list for some time. Watches of other seeds are in other phases."""
    watcher = create_watcher(kind, registry, seed)
    await asyncio.sleep(25.0 + seed * 1.7)
    return watcher


async def wait_until_applied(watcher: PushWatcher | PollWatcher, after: float) -> float:
    """Return how long after a time the drain was applied, in seconds; infinite if not within 40 s."""
    for _ in range(1600):
        if watcher.applied_at < math.inf:
            break
        await asyncio.sleep(0.025)
    watcher.discovery.close()
    return watcher.applied_at - after


def outage(fault: str, duration_s: float, later_fault: str | None = None) -> FaultSequence:
    """The service fails for some time, and the first call after that may fail again.

    The change happens in the middle of the outage. Times count from the service's recovery.
    """

    async def fault_sequence(kind: str, registry: FaultyRegistry, seed: int) -> tuple[float, float]:
        watcher = await start_watcher(kind, registry, seed)
        started_at, wait = registry.last_watch
        registry.begin_outage(fault)
        await asyncio.sleep(duration_s / 2)
        registry.drain()
        await asyncio.sleep(duration_s / 2)
        registry.outage_fault, recovered_at = None, registry.loop.time()
        if later_fault is not None:
            registry.next_faults.append(later_fault)
        # The limit for a watch that stalls without a failed call before it.
        first_stall_limit = (
            started_at + wait + AFTER_WAIT_S - recovered_at if fault in STALLING_FAULTS else 0.0
        )
        return await wait_until_applied(watcher, recovered_at), max(DELIVERY_S, first_stall_limit)

    return fault_sequence


def stall(phase: float, *later_faults: str) -> FaultSequence:
    """The watch stalls after a fraction of its wait, the change happens, and the next calls fail.

    Times count from the stall.
    """

    async def fault_sequence(kind: str, registry: FaultyRegistry, seed: int) -> tuple[float, float]:
        watcher = await start_watcher(kind, registry, seed)
        started_at = registry.last_watch[0]
        while registry.last_watch[0] == started_at:
            await asyncio.sleep(0.01)
        started_at, wait = registry.last_watch
        await asyncio.sleep(max(started_at + phase * wait - registry.loop.time(), 0.0))
        assert registry.last_watch[0] == started_at
        registry.stall()
        registry.drain()
        registry.next_faults.extend(later_faults)
        stalled_at = registry.loop.time()
        return await wait_until_applied(watcher, stalled_at), max(
            STALL_S, started_at + wait + AFTER_WAIT_S - stalled_at
        )

    return fault_sequence


def second_stall(delay_s: float, *later_faults: str) -> FaultSequence:
    """A watch stalls and times out; `delay_s` after the next response the next watch stalls too.

    The change happens with the second stall, from which times count.
    """

    async def fault_sequence(kind: str, registry: FaultyRegistry, seed: int) -> tuple[float, float]:
        watcher = await start_watcher(kind, registry, seed)
        calls = len(registry.calls)
        registry.stall()
        while len(registry.calls) == calls:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.06 + delay_s)
        registry.stall()
        registry.drain()
        registry.next_faults.extend(later_faults)
        stalled_at, (started_at, wait) = registry.loop.time(), registry.last_watch
        # After a watch with a response, a watch with a long wait begins, whose stall counts as a first one.
        first_stall_limit = (
            started_at + wait + AFTER_WAIT_S - stalled_at if delay_s >= SECOND_STALL_S else 0.0
        )
        return await wait_until_applied(watcher, stalled_at), max(DELIVERY_S, first_stall_limit)

    return fault_sequence


def reload(fault: str, duration_s: float, later_fault: str | None = None) -> FaultSequence:
    """A reload changes the address; the new one fails for some time, and the watch at the old one stalls.

    Times count from the reload.
    """

    async def fault_sequence(kind: str, registry: FaultyRegistry, seed: int) -> tuple[float, float]:
        watcher = await start_watcher(kind, registry, seed)
        new_registry = FaultyRegistry(cast(FaultyLoop, registry.loop))
        await new_registry.open()
        new_registry.begin_outage(fault)
        if later_fault is not None:
            new_registry.next_faults.append(later_fault)
        new_registry.drain()
        reloaded_at = registry.loop.time()
        watcher.discovery.change_address(new_registry.address)
        registry.stall()
        await asyncio.sleep(duration_s)
        new_registry.outage_fault = None
        return await wait_until_applied(watcher, reloaded_at), max(
            RELOADED_S, duration_s + DELIVERY_S if duration_s else 0.0
        )

    return fault_sequence


def run_fleet(
    count: int, fault_sequence: Callable[[FaultyRegistry, list[PollWatcher]], Awaitable[None]]
) -> None:
    """Run routers that poll one service through faults, once all have open watches."""

    async def run() -> None:
        loop = cast(FaultyLoop, asyncio.get_running_loop())
        registry = FaultyRegistry(loop)
        await registry.open()
        routers = []
        for seed in range(count):
            routers.append(PollWatcher(loop, registry.address, seed))
            await asyncio.sleep(10 / count)
        await asyncio.sleep(30.0)
        await fault_sequence(registry, routers)
        for router in routers:
            router.discovery.close()

    with asyncio.Runner(loop_factory=FaultyLoop) as runner:
        runner.run(run())


def call_rate(registry: FaultyRegistry, start: float, end: float) -> tuple[float, int]:
    """Return the mean number of calls a second between two times, and the most in one second."""
    times = [called_at - start for called_at, _ in registry.calls if start <= called_at < end]
    return len(times) / (end - start), max(Counter(map(int, times)).values(), default=0)


async def wait_until_all_applied(registry: FaultyRegistry, routers: list[PollWatcher]) -> float:
    """Return how long it takes until all routers have applied the change, in seconds."""
    started_at = registry.loop.time()
    while (
        any(router.applied_at == math.inf for router in routers) and registry.loop.time() < started_at + 120
    ):
        await asyncio.sleep(0.1)
    return max(router.applied_at for router in routers) - started_at


# Deadlines at one router


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_change_is_applied_in_time_after_outage_and_failed_call(kind: str, fault: str) -> None:
    duration_s = 9.0 if kind == "pushed" else 25.0  # long enough for every watch to fail
    assert_applied_in_time(
        kind,
        fault,
        [outage(fault, duration_s, later_fault) for later_fault in (None, "503", *STALLING_FAULTS)],
    )


@pytest.mark.parametrize("kind", KINDS)
def test_change_is_applied_in_time_after_one_or_two_stalls(kind: str) -> None:
    assert_applied_in_time(
        kind,
        "stall",
        [stall(phase, *later_faults) for phase in (0.0, 0.7) for later_faults in ((), ("503",), ("stall",))],
    )


@pytest.mark.parametrize("kind", KINDS)
def test_change_is_applied_in_time_after_a_later_second_stall(kind: str) -> None:
    assert_applied_in_time(
        kind,
        "second stall",
        [second_stall(delay_s, *later_faults) for delay_s in (0.0, 3.4) for later_faults in ((), ("stall",))],
    )


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_change_is_applied_in_time_after_reload_and_failures(kind: str, fault: str) -> None:
    assert_applied_in_time(
        kind,
        fault,
        [
            reload(fault, duration_s, later_fault)
            for duration_s in (0.3, 9.0)
            for later_fault in (None, "stall")
        ],
    )


@pytest.mark.long
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_every_outage_with_every_later_fault(kind: str, fault: str) -> None:
    assert_applied_in_time(
        kind,
        fault,
        [outage(fault, s, later_fault) for s in (0.0, 2.0, 9.0, 45.0) for later_fault in (None, *FAULTS)],
    )


@pytest.mark.long
@pytest.mark.parametrize("kind", KINDS)
def test_every_stall_phase_with_every_later_fault(kind: str) -> None:
    later_faults = [(), *((fault,) for fault in FAULTS)]
    assert_applied_in_time(
        kind,
        "stall",
        [stall(phase, *faults) for phase in (0.0, 0.01, 0.3, 0.7, 0.99) for faults in later_faults],
    )
    assert_applied_in_time(
        kind,
        "second stall",
        [second_stall(s, *faults) for s in (0.0, 0.5, 1.5, 3.0, 3.4) for faults in later_faults],
    )
    assert_applied_in_time(
        kind,
        "second stall, later",
        [second_stall(s, *faults) for s in (3.6, 6.0) for faults in later_faults],
    )


@pytest.mark.long
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_every_reload_with_every_later_fault(kind: str, fault: str) -> None:
    assert_applied_in_time(
        kind,
        fault,
        [
            reload(fault, s, later_fault)
            for s in (0.0, 0.3, 2.0, 9.0, 30.0)
            for later_fault in (None, *FAULTS)
        ],
    )


class NoImmediateCall(CallSchedule):
    """A broken schedule: a failure is followed by a watch with a long wait."""

    def plan(self, full: bool) -> PlannedCall:
        return super().plan(full)._replace(overlap_after_s=math.inf)

    def record_failure(self, timed_out: bool) -> float | None:
        super().record_failure(timed_out)
        self._immediate, self._short_watch = False, None
        return None


class NoShortWatch(CallSchedule):
    """A broken schedule: the first response after a stall is followed by a watch with a long wait."""

    def record_success(self, overdue: int = 0) -> None:
        super().record_success(overdue)
        self._short_watch = None


@pytest.mark.parametrize(
    ("broken", "fault_sequence"),
    [
        (NoImmediateCall, stall(0.0, "stall")),
        (NoImmediateCall, outage("503", 45.0, "stall")),
        (NoImmediateCall, outage("stall", 45.0)),
        (NoShortWatch, second_stall(0.5)),
    ],
)
def test_broken_call_schedule_is_detected(
    broken: type[CallSchedule], fault_sequence: FaultSequence, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("pebblepass.discovery.client.CallSchedule", broken)
    applied_after, deadline = worst_case("polled", fault_sequence)
    assert applied_after > deadline + GRACE_S


# Load on the service


def check_call_rates(routers: int, calls_per_s: float) -> None:
    """Check the rate of calls before, during and after an outage of a service with limited capacity."""

    for fault in ("503", "stall"):

        async def fault_sequence(
            registry: FaultyRegistry, watchers: list[PollWatcher], fault: str = fault
        ) -> None:
            started_at = registry.loop.time()
            await asyncio.sleep(42.0)
            idle_rate = call_rate(registry, started_at, started_at + 42.0)
            registry.response_time_s = 1 / calls_per_s
            registry.begin_outage(fault)
            started_at = registry.loop.time()
            await asyncio.sleep(45.0)
            outage_rate = call_rate(registry, started_at + 25.0, started_at + 45.0)
            open_calls = [watcher.discovery.open_calls for watcher in watchers]
            assert len(registry.connections) <= sum(open_calls), "failed calls leave no connection open"
            assert max(open_calls) <= (MAX_OPEN_CALLS if fault == "stall" else 1)
            registry.outage_fault = None
            registry.drain()
            started_at = registry.loop.time()
            last_applied = await wait_until_all_applied(registry, watchers)
            await asyncio.sleep(max(started_at + 140.0 - registry.loop.time(), 0.0))
            recovery_rate, later_rate = (
                call_rate(registry, started_at, started_at + 10.0),
                call_rate(registry, started_at + 100.0, started_at + 140.0),
            )
            print(
                fault,
                calls_per_s,
                "idle",
                idle_rate,
                "outage",
                outage_rate,
                "recovery",
                recovery_rate,
                "later",
                later_rate,
                "applied",
                last_applied,
            )
            assert idle_rate[0] <= routers / 20.0
            assert outage_rate[0] <= routers * 0.7
            assert later_rate[0] <= routers / 10.0, "the rate returns to normal"
            assert last_applied <= max(DELIVERY_S, routers / calls_per_s) + GRACE_S

        run_fleet(routers, fault_sequence)


def test_outage_causes_a_bounded_number_of_calls() -> None:
    check_call_rates(40, 10.0)


@pytest.mark.long
@pytest.mark.parametrize("calls_per_s", [25.0, 50.0, 1000.0])
def test_200_routers_do_not_overload_the_service_for_good(calls_per_s: float) -> None:
    check_call_rates(FLEET, calls_per_s)


def check_reload(routers: int, calls_per_s: float) -> None:
    """Reload all routers at once: the service's time for its calls goes into lists that are used."""

    async def fault_sequence(registry: FaultyRegistry, watchers: list[PollWatcher]) -> None:
        new_registry = FaultyRegistry(cast(FaultyLoop, registry.loop))
        await new_registry.open()
        new_registry.response_time_s = 1 / calls_per_s
        registry.stall()
        new_registry.drain()
        started_at = registry.loop.time()
        for watcher in watchers:
            watcher.discovery.change_address(new_registry.address)
        last_applied = await wait_until_all_applied(registry, watchers)
        assert last_applied > 0.0
        await asyncio.sleep(max(started_at + 100.0 - registry.loop.time(), 0.0))
        later_rate = call_rate(new_registry, started_at + 60.0, started_at + 100.0)
        print("reload", calls_per_s, "later", later_rate, "applied", last_applied)
        assert last_applied <= max(RELOADED_S, WASTED_CALLS * routers / calls_per_s) + GRACE_S
        assert later_rate[0] <= routers / 10.0, "the rate returns to normal"

    run_fleet(routers, fault_sequence)


@pytest.mark.parametrize("calls_per_s", [5.0, 10.0, 20.0])
def test_reload_of_a_fleet_is_applied_about_as_soon_as_the_service_can_respond(calls_per_s: float) -> None:
    check_reload(40, calls_per_s)


@pytest.mark.long
@pytest.mark.parametrize("calls_per_s", [25.0, 50.0, 100.0])
def test_reload_of_200_routers_is_applied_about_as_soon_as_the_service_can_respond(
    calls_per_s: float,
) -> None:
    check_reload(FLEET, calls_per_s)


# Regressions


def test_full_list_is_requested_after_the_service_lost_its_list() -> None:
    async def fault_sequence(kind: str, registry: FaultyRegistry, seed: int) -> tuple[float, float]:
        registry.generation = 41
        watcher = await start_watcher(kind, registry, seed)
        # The service restarts and counts generations from the start.
        registry.generation, registry.drained = 2, True
        return await wait_until_applied(watcher, registry.loop.time()), 21.0 + AFTER_WAIT_S

    applied_after, deadline = worst_case("polled", fault_sequence)
    assert applied_after <= deadline


def test_full_list_is_requested_at_new_address_without_watch() -> None:
    async def fault_sequence(kind: str, registry: FaultyRegistry, seed: int) -> tuple[float, float]:
        watcher = await start_watcher(kind, registry, seed)
        new_registry = FaultyRegistry(cast(FaultyLoop, registry.loop))
        await new_registry.open()
        registry.begin_outage("503")
        await asyncio.sleep(0.01)
        new_registry.drained = True  # its generations are unrelated to those of the old address
        watcher.discovery.change_address(new_registry.address)
        return await wait_until_applied(watcher, registry.loop.time()), RELOADED_S

    applied_after, deadline = worst_case("polled", fault_sequence)
    assert applied_after <= deadline + GRACE_S
