"""A polled service responds just within its limit of 2 s, and a router knows each change by its deadline.

Guards against calls that are given up before the service's limit: each then queued anew, and a router went on
sending to a draining server for 6 s after a reload.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import math
import weakref
from collections.abc import Awaitable, Callable
from typing import Any, cast

import msgspec
import pytest

from pebblepass.daemon.daemon import UPGRADE_READY_S
from pebblepass.discovery.call import Call
from pebblepass.discovery.call_schedule import CallSchedule, PlannedCall
from pebblepass.discovery.endpoint_list import EndpointList
from pebblepass.discovery.watch import MAX_OPEN_CALLS
from tests.discovery.test_delivery_deadlines import FaultyConnection, FaultyLoop, FaultyRegistry
from tests.discovery.test_discovery_faults import PollingRouter, server_entry
from tests.discovery.test_watches import AFTER_WAIT_S, GRACE_S, RELOADED_S, STALL_S, StubConnection

RESPONSE_TIMES_S = (1.0, 1.55, 1.8, 1.95, 2.0)
CLOSES_AFTER_S = 1.5  # after a reload, the old address closes its connections
CHANGES = ("drain", "removal", "new server")
FIRST_CALL_FAULTS = ("503", "reset", "refused", "connect hangs", "stall", "truncated")
READY_BEFORE = ["s1", "s2"]
READY_AFTER = {"drain": ["s2"], "removal": ["s2"], "new server": ["s1", "s2", "s3"]}


class SlowRegistry(FaultyRegistry):
    """A discovery service at one address, each of whose responses takes a time."""

    def __init__(self, loop: FaultyLoop, response_time_s: float, generation: int = 1) -> None:
        super().__init__(loop)
        self.delay_s, self.generation = response_time_s, generation
        self.is_composed_early = False
        """Whether a response is what was known when its call arrived."""
        self.lifecycles = dict.fromkeys(READY_BEFORE, "up")

    async def open(self) -> None:
        self.server = await self.loop.create_server(lambda: SlowConnection(self), "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        self.registries[self.address] = self

    def change(self, change: str) -> None:
        """Tell a change to every open watch."""
        self.generation += 1
        name, lifecycle = {
            "drain": ("s1", "draining"),
            "removal": ("s1", "removed"),
            "new server": ("s3", "up"),
        }[change]
        self.lifecycles[name] = lifecycle
        for connection in self.connections:
            connection.notify()

    def response(self, full: bool) -> bytes:
        entries = [
            server_entry(name, lifecycle)
            for name, lifecycle in self.lifecycles.items()
            if not (full and lifecycle == "removed")
        ]
        body = msgspec.json.encode({"generation": self.generation, "reset": full, "instances": entries})
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def move_away(self) -> None:
        """Accept no further connection, and close the open ones a little later."""
        self.server.close()
        for connection in self.connections:
            self.loop.call_later(CLOSES_AFTER_S, connection.transport.abort)


class SlowConnection(FaultyConnection):
    """A connection to a SlowRegistry."""

    registry: SlowRegistry

    def apply_fault(self, fault: str) -> None:
        if fault == "truncated":
            self.transport.write(self.registry.response(True)[:-20])
            self.stalled = True
        else:
            super().apply_fault(fault)

    def respond(self, full: bool) -> None:
        self.version = None
        response = self.registry.response(full) if self.registry.is_composed_early else None
        self.registry.loop.call_later(self.registry.delay_s, self.write_response, full, response)

    def write_response(self, full: bool, response: bytes | None) -> None:
        if self.transport.is_closing():
            return
        if response is None:
            StubConnection.respond(self, full)
        elif not self.stalled:
            self.transport.write(response)


class RecordingRouter(PollingRouter):
    """A router that records when its servers first were the expected ones, and when no longer."""

    expected: list[str] | None = None
    known_at = math.inf
    lost_at = math.inf
    generations: tuple[int, ...] = ()

    def expect(self, servers: list[str]) -> None:
        self.expected, self.known_at = servers, math.inf

    def _apply(self, endpoint_list: EndpointList) -> None:
        super()._apply(endpoint_list)
        self.generations = (*self.generations, endpoint_list.generation)
        if self.ready_servers == self.expected:
            self.known_at = min(self.known_at, self.loop.time())
        elif self.known_at < math.inf:
            self.lost_at = min(self.lost_at, self.loop.time())


Scenario = Callable[[FaultyLoop], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def main() -> None:
        await scenario(cast(FaultyLoop, asyncio.get_running_loop()))

    with asyncio.Runner(loop_factory=FaultyLoop) as runner:
        runner.run(main())


async def open_registries(loop: FaultyLoop, count: int, response_time_s: float) -> list[SlowRegistry]:
    registries = [SlowRegistry(loop, response_time_s) for _ in range(count)]
    for registry in registries:
        await registry.open()
    return registries


async def start_router(loop: FaultyLoop, registry: SlowRegistry, seed: int = 1) -> RecordingRouter:
    """Return a router with a list, whose watch is open."""
    router = RecordingRouter(loop, registry.address, seed)
    await asyncio.sleep(6.0)
    assert router.ready_servers == READY_BEFORE
    return router


async def wait_until_known(router: RecordingRouter, limit_s: float) -> float:
    """Wait, and return when the change was known; it must not be forgotten again."""
    await asyncio.sleep(limit_s)
    router.discovery.close()
    assert router.lost_at == math.inf
    return router.known_at


async def reload(router: RecordingRouter, old: SlowRegistry, new: SlowRegistry) -> None:
    router.discovery.change_address(new.address)
    old.move_away()


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("first_call", ["answered", *FIRST_CALL_FAULTS])
@pytest.mark.parametrize("response_time_s", RESPONSE_TIMES_S)
def test_change_is_known_in_time_after_reload(response_time_s: float, first_call: str, change: str) -> None:
    async def scenario(loop: FaultyLoop) -> None:
        old, new = await open_registries(loop, 2, response_time_s)
        router = await start_router(loop, old)
        if first_call != "answered":
            new.next_faults.append(first_call)
        router.expect(READY_AFTER[change])
        for registry in (old, new):
            registry.change(change)
        reloaded_at = loop.time()
        await reload(router, old, new)
        assert await wait_until_known(router, 9.0) <= reloaded_at + RELOADED_S

    run(scenario)


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("first_call", ["answered", "stall"])
@pytest.mark.parametrize("gap_s", [0.05, 0.4, 0.9])
@pytest.mark.parametrize("moves", ["abc", "aba", "abcd"])
def test_change_is_known_in_time_after_reloads_in_quick_succession(
    moves: str, gap_s: float, first_call: str, change: str
) -> None:
    """The time counts from each reload for what discovery had then."""

    async def scenario(loop: FaultyLoop) -> None:
        registries = dict(zip("abcd", await open_registries(loop, 4, 2.0), strict=True))
        router = await start_router(loop, registries["a"])
        router.expect(READY_AFTER[change])
        for registry in registries.values():
            registry.change(change)
        last = registries[moves[-1]]
        if first_call != "answered":
            last.next_faults.append(first_call)
        old, reloaded_at = registries["a"], []
        for name in moves[1:]:
            reloaded_at.append(loop.time())
            router.discovery.change_address(registries[name].address)
            if old is not last:
                old.move_away()
            old = registries[name]
            await asyncio.sleep(gap_s)
        deadline = reloaded_at[0 if first_call == "answered" else -1] + RELOADED_S
        assert await wait_until_known(router, 9.0) <= deadline

    run(scenario)


def test_change_is_known_in_time_while_reloads_go_on() -> None:
    """Each address is replaced before it has responded."""

    async def scenario(loop: FaultyLoop) -> None:
        registries = await open_registries(loop, 12, 1.95)
        router = await start_router(loop, registries[0])
        router.expect(READY_AFTER["drain"])
        for registry in registries:
            registry.change("drain")
        reloaded_at = loop.time()
        most_calls = 0
        for old, new in itertools.pairwise(registries):
            await reload(router, old, new)
            most_calls = max(most_calls, router.discovery.open_calls)
            await asyncio.sleep(0.55)
        assert await wait_until_known(router, 9.0) <= reloaded_at + RELOADED_S
        assert most_calls <= MAX_OPEN_CALLS + 2

    run(scenario)


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("phase", [0.0, 0.3, 0.75, 0.95])
@pytest.mark.parametrize("response_time_s", RESPONSE_TIMES_S)
def test_change_is_known_in_time_after_a_silent_watch(
    response_time_s: float, phase: float, change: str
) -> None:
    """A watch falls silent after a fraction of its wait; the call after it takes its time."""

    async def scenario(loop: FaultyLoop) -> None:
        async def run_one(seed: int) -> None:
            (registry,) = await open_registries(loop, 1, response_time_s)
            router = await start_router(loop, registry, seed)
            started_at, wait = registry.last_watch
            await asyncio.sleep(max(started_at + phase * wait - loop.time(), 0.0))
            registry.stall()
            router.expect(READY_AFTER[change])
            registry.change(change)
            deadline = max(loop.time() + STALL_S, started_at + wait + AFTER_WAIT_S)
            assert await wait_until_known(router, 30.0) <= deadline + GRACE_S

        await asyncio.gather(*(run_one(seed) for seed in range(4)))

    run(scenario)


@pytest.mark.parametrize("first_call", ["answered", *FIRST_CALL_FAULTS])
@pytest.mark.parametrize("response_time_s", RESPONSE_TIMES_S)
def test_first_list_is_known_before_an_upgrade_counts(response_time_s: float, first_call: str) -> None:
    """A change counts as known 2 s after the new process is ready, which waits for its first list."""

    async def scenario(loop: FaultyLoop) -> None:
        (registry,) = await open_registries(loop, 1, response_time_s)
        if first_call != "answered":
            registry.next_faults.append(first_call)
        router = RecordingRouter(loop, registry.address, 1)
        router.expect(READY_BEFORE)
        started_at = loop.time()
        router.discovery.start()
        assert await wait_until_known(router, 9.0) <= started_at + UPGRADE_READY_S + 2.0

    run(scenario)


@pytest.mark.parametrize("response_time_s", RESPONSE_TIMES_S)
def test_slow_responses_take_few_more_calls(response_time_s: float) -> None:
    async def scenario(loop: FaultyLoop) -> None:
        old, new = await open_registries(loop, 2, response_time_s)
        router = await start_router(loop, old)
        await reload(router, old, new)
        await asyncio.sleep(10.0)
        lists = [target for _, target in new.calls if "wait=" not in target]
        assert len(lists) <= (2 if response_time_s > 1.7 else 1)
        assert len(new.connections) == 1, "a call that was not needed leaves no connection open"
        started_at = loop.time()
        await asyncio.sleep(100.0)
        router.discovery.close()
        watches = sum(called_at > started_at for called_at, _ in new.calls)
        # A watch that is overdue has a call beside it, and another one 1.9 s after its wait.
        assert watches <= (3 if response_time_s > 1.9 else 2) * 100.0 / 21.0 + 1

    run(scenario)


def test_quick_responses_take_one_call_for_each_wait() -> None:
    async def scenario(loop: FaultyLoop) -> None:
        (registry,) = await open_registries(loop, 1, 0.15)
        router = await start_router(loop, registry)
        calls = len(registry.calls)
        await asyncio.sleep(210.0)
        router.discovery.close()
        assert len(registry.calls) - calls <= 210.0 / 20.0

    run(scenario)


def test_older_list_of_an_earlier_address_does_not_replace_a_later_one() -> None:
    """The new address composed its list before the change that the old one has told meanwhile."""

    async def scenario(loop: FaultyLoop) -> None:
        old, new = await open_registries(loop, 2, 0.0)
        router = await start_router(loop, old)
        new.delay_s, new.is_composed_early = 1.5, True
        router.discovery.change_address(new.address)
        await asyncio.sleep(0.5)
        router.expect(READY_AFTER["drain"])
        for registry in (old, new):
            registry.change("drain")
        changed_at = loop.time()
        assert await wait_until_known(router, 9.0) <= changed_at + 0.1

    run(scenario)


def test_list_with_restarted_generations_of_a_new_address_is_used() -> None:
    """The old address tells a change while the new one, which counts from the start, is called."""

    async def scenario(loop: FaultyLoop) -> None:
        old, new = await open_registries(loop, 2, 0.0)
        old.generation = 41
        router = await start_router(loop, old)
        new.delay_s, new.is_composed_early, new.generation = 1.5, True, 2
        router.discovery.change_address(new.address)
        reloaded_at = loop.time()
        await asyncio.sleep(0.5)
        old.change("drain")
        new.change("new server")
        router.expect(["s1", "s2", "s3"])
        assert await wait_until_known(router, 9.0) <= reloaded_at + RELOADED_S
        assert router.generations[-1] == 3

    run(scenario)


@pytest.mark.parametrize("fault", ["503", "reset", "refused"])
def test_failed_calls_are_freed_without_the_garbage_collector(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls: list[weakref.ref[Call]] = []

    class TrackedCall(Call):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            calls.append(weakref.ref(self))

    async def scenario(loop: FaultyLoop) -> None:
        (registry,) = await open_registries(loop, 1, 0.0)
        registry.next_faults.extend([fault] * 4)
        router = RecordingRouter(loop, registry.address, 1)
        router.discovery.start()
        await asyncio.sleep(15.0)
        assert len(calls) >= 5
        assert [call() for call in calls[:-1]] == [None] * (len(calls) - 1)
        assert router.discovery.open_calls == 1, "the last call is the watch that is open"
        router.discovery.close()

    monkeypatch.setattr("pebblepass.discovery.watch.Call", TrackedCall)
    gc.collect()
    gc.disable()
    try:
        run(scenario)
    finally:
        gc.enable()


@pytest.mark.parametrize("seed", range(8))
def test_superseded_watch_without_an_open_call_ends(seed: int) -> None:
    """Its calls have ended, and the time for the next one was set as another address was configured."""

    async def scenario(loop: FaultyLoop) -> None:
        old, new, last = await open_registries(loop, 3, 0.0)
        router = await start_router(loop, old, seed)
        new.next_faults.extend(["503", "stall"])
        new.outage_fault = "503"
        router.discovery.change_address(new.address)
        (_, new_watch) = router.discovery._watches
        while len(new.calls) < 3 or new_watch.open_calls:
            await asyncio.sleep(0.01)
        reloaded_at = loop.time()
        router.expect(READY_AFTER["drain"])
        last.change("drain")
        last.delay_s = 1.9
        router.discovery.change_address(last.address)
        assert await wait_until_known(router, 9.0) <= reloaded_at + RELOADED_S

    run(scenario)


class GivesUpEarly(CallSchedule):
    """A broken schedule: a call is given up when the next one begins."""

    def plan_immediate(self, full: bool, unanswered: int = 0) -> PlannedCall:
        planned = super().plan_immediate(full, unanswered)
        return planned._replace(timeout_s=planned.overlap_after_s)


class NeverOverlaps(CallSchedule):
    """A broken schedule: a call begins only once the one before has been given up."""

    def plan(self, full: bool) -> PlannedCall:
        return super().plan(full)._replace(overlap_after_s=math.inf)

    def plan_immediate(self, full: bool, unanswered: int = 0) -> PlannedCall:
        return super().plan_immediate(full, unanswered)._replace(overlap_after_s=math.inf)


@pytest.mark.parametrize(("broken", "first_call"), [(GivesUpEarly, "answered"), (NeverOverlaps, "stall")])
def test_broken_schedule_is_detected(
    broken: type[CallSchedule], first_call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("pebblepass.discovery.client.CallSchedule", broken)
    with pytest.raises(AssertionError):
        test_change_is_known_in_time_after_reload(1.95, first_call, "drain")
