"""When a change is heard of whose watch fell silent, in each phase, against the page's clock; and moves."""

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
from tests.discovery.test_discovery_faults import Follower, entry
from tests.virtual_router import GatedLoop, RouterHarness, run_with_router

SILENCE_S = 6.0  # after which what a silent watch misses counts as told
AFTER_WAIT_S = 2.0  # or so long after its call's wait is over, if that is later
RELOADED_S = 4.0  # after SIGHUP what the new address has to tell counts as told
GRACE_S = 0.3  # the shortest of the settings that are known


class Agent:
    """Discovery at one address: a list with a version, and lines that fall silent when told to."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.generation, self.drained = 1, False
        self.lines: list[AgentLine] = []
        self.opened: list[float] = []
        """When each connection came."""
        self.calls: list[tuple[float, str]] = []
        self.half = False
        """Answers break off in their midst, and what follows is silence."""
        self.down = False
        """Calls fail at once."""
        self.address = ("127.0.0.1", 0)

    async def open(self) -> None:
        server = await self.loop.create_server(lambda: AgentLine(self), "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()

    def drain(self) -> None:
        """The list's one server begins to drain."""
        self.generation, self.drained = self.generation + 1, True
        for line in self.lines:
            line.look()

    def fall_silent(self) -> None:
        """Every watch that is open says nothing from here on, and stays open."""
        for line in self.lines:
            line.silent = True

    def answer(self, whole: bool) -> bytes:
        entries = [entry("s1", "draining" if self.drained else "up")]
        body = msgspec.json.encode({"generation": self.generation, "reset": whole, "instances": entries})
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class AgentLine(asyncio.Protocol):
    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.silent = False
        self.version: int | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.agent.lines.append(self)
        self.agent.opened.append(self.agent.loop.time())

    def connection_lost(self, exc: Exception | None) -> None:
        self.agent.lines.remove(self)

    def data_received(self, data: bytes) -> None:
        target = data.split(b" ")[1].decode()
        self.agent.calls.append((self.agent.loop.time(), target))
        if self.agent.down:
            self.transport.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            return
        if "index=" not in target:
            self.say(whole=True)
            return
        self.version = int(target.partition("index=")[2].partition("&")[0])
        wait = int(target.partition("wait=")[2]) / 1000
        self.agent.loop.call_later(wait, self.waited, self.version)
        self.look()

    def look(self) -> None:
        if self.version is not None and self.version < self.agent.generation:
            self.say(whole=False)

    def waited(self, version: int) -> None:
        if self.version == version:
            self.say(whole=False)

    def say(self, whole: bool) -> None:
        self.version = None
        if not self.silent:
            answer = self.agent.answer(whole)
            self.transport.write(answer[:-20] if self.agent.half else answer)
            self.silent = self.agent.half


class Watcher:
    """A router's discovery where lists are pushed, and when it heard of what."""

    def __init__(self, loop: VirtualLoop, agent: Agent) -> None:
        self.loop = loop
        self.heard: list[tuple[float, EndpointList]] = []
        self.faults = 0
        clock = ClockOffset(loop.time_ns(), loop.unix_ns())
        self.discovery = DiscoveryClient(
            agent.address, False, clock, self.take, lambda: None, random.Random(1)
        )
        self.discovery.start()

    def take(self, listing: EndpointList) -> None:
        if self.faults:
            self.faults -= 1
            raise RuntimeError("a fault in taking it")
        self.heard.append((self.loop.time(), listing))

    @property
    def heard_at(self) -> float:
        """When the drain was told; infinite if it was not."""
        for at, listing in self.heard:
            if any(server.state is ServerState.DRAINING for server in listing.change.servers):
                return at
        return float("inf")


def watched(test: Callable[[GatedLoop, Agent], Awaitable[None]]) -> None:
    async def main() -> None:
        loop = cast(GatedLoop, asyncio.get_running_loop())
        agent = Agent(loop)
        await agent.open()
        await test(loop, agent)

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        runner.run(main())


@pytest.mark.parametrize("again", ["answers", "connect hangs", "silent once more", "half an answer"])
@pytest.mark.parametrize("phase", [0.0, 0.001, 0.5, 1.0, 1.9, 1.999])
def test_a_pushed_change_behind_a_silence_is_heard_before_it_counts_as_told(phase: float, again: str) -> None:
    """The silence falls so long into a call; the next watch may fail as well."""

    async def test(loop: GatedLoop, agent: Agent) -> None:
        watcher = Watcher(loop, agent)
        await asyncio.sleep(0.05)
        begun = agent.calls[-1][0]
        await asyncio.sleep(max(begun + phase - loop.time(), 0))
        agent.fall_silent()
        silent_at = loop.time()
        agent.drain()
        agent.half = again == "half an answer"
        if again == "connect hangs":
            loop.set_silent(agent.address, True)
            loop.call_later(5.5, loop.set_silent, agent.address, False)
        if again in ("silent once more", "half an answer"):
            while len(agent.calls) < 3:
                await asyncio.sleep(0.01)
            agent.fall_silent()
            agent.half = False
        told_by = max(silent_at + SILENCE_S, begun + PUSH_TIMING.min_wait_s + AFTER_WAIT_S)
        await asyncio.sleep(told_by + GRACE_S - loop.time())
        assert watcher.heard_at <= told_by + GRACE_S
        watcher.discovery.close()

    watched(test)


@pytest.mark.parametrize("phase", [0.0, 5.0, 13.0, 19.9])
def test_an_asked_change_behind_a_silence_is_heard_before_it_counts_as_told(phase: float) -> None:
    """By each of forty routers, whose draws differ."""

    async def test(loop: GatedLoop, _: Agent) -> None:
        async def one(seed: int) -> None:
            agent = Agent(loop)
            await agent.open()
            follower = Follower(loop, agent.address, seed)
            await asyncio.sleep(5.0)
            begun = agent.calls[-1][0]
            await asyncio.sleep(max(begun + phase - loop.time(), 0))
            assert agent.calls[-1][0] == begun
            agent.fall_silent()
            agent.drain()
            told_by = max(loop.time() + SILENCE_S, begun + POLL_TIMING.min_wait_s + AFTER_WAIT_S)
            await asyncio.sleep(told_by + GRACE_S - loop.time())
            assert follower.held == [], seed
            follower.discovery.close()

        await asyncio.gather(*(one(seed) for seed in range(40)))

    watched(test)


def test_watches_that_fall_silent_all_at_once_are_not_opened_again_in_one_instant() -> None:
    async def test(loop: GatedLoop, agent: Agent) -> None:
        followers = [Follower(loop, agent.address, seed) for seed in range(40)]
        await asyncio.sleep(5.0)
        calls = len(agent.calls)
        agent.fall_silent()
        await asyncio.sleep(POLL_TIMING.min_wait_s + AFTER_WAIT_S)
        opened = agent.opened[40:]
        assert len(opened) == 40
        assert opened[-1] - opened[0] > 0.5
        asked = sorted(at for at, _ in agent.calls[calls:])
        assert max(sum(at <= each < at + 0.1 for each in asked) for at in asked) < 20
        assert len(asked) <= 40 * 3, "an answer at once, a short watch, a long one"
        for follower in followers:
            follower.discovery.close()

    watched(test)


def test_a_fault_in_taking_a_list_loses_no_change() -> None:
    async def test(loop: GatedLoop, agent: Agent) -> None:
        watcher = Watcher(loop, agent)
        await asyncio.sleep(0.05)
        watcher.faults = 1
        agent.drain()
        await asyncio.sleep(1.0)
        assert watcher.heard_at < float("inf")
        assert watcher.heard[-1][1].change.kind is ListKind.FULL, (
            "all of it: what the fault left is not known"
        )
        assert len(agent.calls) < 8, "and not without a pause"
        watcher.discovery.close()

    watched(test)


def test_changes_against_a_list_that_discovery_has_lost_are_not_taken() -> None:
    async def test(loop: GatedLoop, agent: Agent) -> None:
        agent.generation = 41
        watcher = Watcher(loop, agent)
        await asyncio.sleep(0.05)
        agent.generation, agent.drained = 2, True  # it was started anew, and counts from the start
        await asyncio.sleep(PUSH_TIMING.min_wait_s + 0.5)
        assert watcher.heard[-1][1].change.kind is ListKind.FULL
        assert watcher.heard[-1][1].generation == 2
        assert watcher.heard_at < float("inf")
        watcher.discovery.close()

    watched(test)


@pytest.mark.parametrize("moves", ["ab", "aba", "abab", "abb"])
@pytest.mark.parametrize("state", ["answers", "down", "slow", "hangs"])
def test_pushed_lists_are_followed_where_the_last_reload_named(moves: str, state: str) -> None:
    """A -> B and back, twice within 50 ms, with the new address down, hanging or slow for a while."""

    async def test(loop: GatedLoop, agent: Agent) -> None:
        other = Agent(loop)
        await other.open()
        agents = {"a": agent, "b": other}
        watcher = Watcher(loop, agent)
        await asyncio.sleep(0.05)
        last = agents[moves[-1]]
        if last is other:
            other.down = state == "down"
            if state == "hangs":
                loop.set_silent(other.address, True)
            if state == "slow":
                gate = loop.gates[other.address] = asyncio.Event()
                loop.call_later(0.9, gate.set)
        reloaded = loop.time()
        for name in moves[1:]:
            watcher.discovery.move(agents[name].address)
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.5)
        if last is other:
            agent.fall_silent()  # the old address has nothing more to say
        await asyncio.sleep(1.0)
        other.down = False
        loop.set_silent(other.address, False)
        last.drain()
        await asyncio.sleep(reloaded + RELOADED_S + GRACE_S - loop.time())
        assert watcher.heard_at <= reloaded + RELOADED_S + GRACE_S
        watcher.discovery.close()

    watched(test)


@pytest.mark.parametrize("moves", ["ab", "abab"])
def test_asked_lists_are_asked_for_at_the_new_address_until_it_answers(moves: str) -> None:
    """The first call there fails, and the watch at the old address lives on in silence."""

    async def test(loop: GatedLoop, agent: Agent) -> None:
        other = Agent(loop)
        await other.open()
        follower = Follower(loop, agent.address, 7)
        await asyncio.sleep(2.0)
        assert follower.held == ["s1"]
        other.down = True
        for name in moves[1:]:
            follower.discovery.move(agent.address if name == "a" else other.address)
            await asyncio.sleep(0.02)
        agent.fall_silent()
        other.drain()
        await asyncio.sleep(0.5)
        other.down = False
        await asyncio.sleep(RELOADED_S - 0.5 + GRACE_S)
        assert follower.held == []
        follower.discovery.close()

    watched(test)


def test_a_module_that_fails_over_a_list_is_told_all_of_it_again() -> None:
    """As the daemon has it: the host hides the fault from nobody who has to ask again."""

    async def test(bed: RouterHarness) -> None:
        router = bed.host._router
        whole = router.handle
        failing = True

        def handle(event: object, now: int) -> object:
            if failing and type(event).__name__ == "ServersChanged":
                raise RuntimeError("a fault in the decisions")
            return whole(event, now)

        router.handle = handle
        assert bed.update_servers("a", state=ServerState.DRAINING) is False
        failing = False
        assert bed.update_servers("origin", full=True) is True
        assert [server.id for server in router.ready_servers()] == ["origin"]

    run_with_router(test)
