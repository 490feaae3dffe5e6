"""When a change is acted on after calls to discovery that came to nothing, against when it counts as told.

The strictest reading: told 6 s after discovery had it and could be reached, whatever failed before, and that
goes before all older sentences; behind a silence with no failed call before it, 2 s after the call's wait if
that is later. Whoever has failed once is held to it until a watch of its own has been answered again.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, cast

import pytest

from pebblepass.discovery.call_schedule import CallSchedule
from pebblepass.discovery.endpoint_list import EndpointList
from pebblepass.wire.address import Address
from tests.discovery.test_discovery_faults import Follower
from tests.discovery.test_watches import (
    AFTER_WAIT_S,
    GRACE_S,
    RELOADED_S,
    SILENCE_S,
    Agent,
    AgentLine,
    Watcher,
)
from tests.virtual_router import GatedLoop

TOLD_S = 6.0  # after discovery had it and could be reached
KINDS = ("pushed", "asked")
QUICK = ("503", "reset", "refused")
MUTE = ("connect hangs", "silence")
FAULTS = (*QUICK, *MUTE)
HELD_S = 3.5  # behind the answer that follows on a silence: for so long a second one is held to 6 s
SEEDS = range(8)
FLEET = 200
MOST_QUEUED_S = 2.0  # a call that would wait longer for its answer is turned away
PAGE = Path(__file__).parents[2] / "docs" / "design" / "narrow-moments.md"


class Desk(Agent):
    """Discovery at one address, for one router, with its faults."""

    def __init__(self, loop: DeskLoop) -> None:
        super().__init__(loop)
        self.fault: str | None = None
        """What every call meets."""
        self.once: list[str] = []
        """What the next calls meet, one each, before that."""
        self.watch = (0.0, 0.0)
        """When the last call came that may wait, and how long."""
        self.desks = loop.desks
        self.each = 0.0
        """What the answer to a call takes; discovery works through them in turn."""
        self.busy_until = 0.0

    async def open(self) -> None:
        server = await self.loop.create_server(lambda: DeskLine(self), "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()
        self.desks[self.address] = self

    def begin(self, fault: str) -> None:
        """Every watch that is open, and every call from here on, meets it."""
        self.fault = fault
        for line in list(self.lines):
            cast(DeskLine, line).meet(fault)

    def meets(self) -> str | None:
        """What a call or a dial meets that comes now."""
        return self.once[0] if self.once else self.fault


class DeskLine(AgentLine):
    """A connection on which calls meet faults."""

    agent: Desk

    def meet(self, fault: str) -> None:
        if fault in MUTE:
            self.silent = True
        elif fault == "503":
            self.version = None
            self.transport.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        else:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        target = data.split(b" ")[1].decode()
        now, fault = self.agent.loop.time(), self.agent.meets()
        if "wait=" in target:
            self.agent.watch = (now, int(target.partition("wait=")[2]) / 1000)
        if fault is None or self.silent:
            super().data_received(data)
            return
        del self.agent.once[:1]
        self.agent.calls.append((now, target))
        self.meet(fault)

    def say(self, whole: bool) -> None:
        desk, loop = self.agent, self.agent.loop
        done = max(desk.busy_until, loop.time()) + desk.each
        if self.silent or not desk.each:
            super().say(whole)
        elif done > loop.time() + MOST_QUEUED_S:
            self.meet("503")
        else:
            self.version, desk.busy_until = None, done
            loop.call_at(done, lambda: None if self.transport.is_closing() else AgentLine.say(self, whole))


class DeskLoop(GatedLoop):
    """Dials to a desk meet its faults."""

    def __init__(self) -> None:
        super().__init__()
        self.desks: dict[Address, Desk] = {}

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        desk = self.desks[host, port]
        if (fault := desk.meets()) in ("refused", "connect hangs"):
            del desk.once[:1]
            if fault == "refused":
                raise ConnectionRefusedError("nobody listens")
            await self.create_future()
        return await super().create_connection(protocol_factory, host, port, **more)


class Asking(Follower):
    """A router that asks, and when it acted on the drain."""

    heard_at = math.inf

    def _take(self, listing: EndpointList) -> None:
        super()._take(listing)
        if self.heard_at == math.inf and self.held != ["s1"]:
            self.heard_at = self.loop.time()


def router(kind: str, desk: Desk, seed: int) -> Watcher | Asking:
    return Watcher(desk.loop, desk) if kind == "pushed" else Asking(desk.loop, desk.address, seed)


Course = Callable[[str, Desk, int], Awaitable[tuple[float, float]]]
"""What one router meets: returns when it acted on the change, and when that counted as told."""


def held(kind: str, fault: str, courses: Iterable[Course]) -> None:
    """Every one of them is acted on in time; prints the closest for the page's table."""
    ends = [latest(kind, course) for course in courses]
    at, told = max(ends, key=lambda end: end[0] - end[1])
    print(f"| {fault} | {kind} | {at:.2f} | {told:.2f} | {max(end[0] for end in ends):.2f} |")
    assert at <= told + GRACE_S


def latest(kind: str, course: Course) -> tuple[float, float]:
    """Play it with a router and a desk to each seed; returns the end closest to its limit, or past it."""

    async def one(loop: DeskLoop, seed: int) -> tuple[float, float]:
        desk = Desk(loop)
        await desk.open()
        return await course(kind, desk, seed)

    async def main() -> tuple[float, float]:
        loop = cast(DeskLoop, asyncio.get_running_loop())
        ends = await asyncio.gather(*(one(loop, seed) for seed in SEEDS))
        return max(ends, key=lambda end: end[0] - end[1])

    with asyncio.Runner(loop_factory=DeskLoop) as runner:
        return runner.run(main())


async def settled(kind: str, desk: Desk, seed: int) -> Watcher | Asking:
    """A router that has followed its list for a while; those of all seeds are in different phases."""
    following = router(kind, desk, seed)
    await asyncio.sleep(25.0 + seed * 1.7)
    return following


async def acted(following: Watcher | Asking, after: float) -> float:
    """How long after that time the drain was acted on; infinite where it was not within 40 s."""
    for _ in range(1600):
        if following.heard_at < math.inf:
            break
        await asyncio.sleep(0.025)
    following.discovery.close()
    return following.heard_at - after


def outage(fault: str, lasts: float, then: str | None = None) -> Course:
    """Discovery fails for so long, and the first call after that once more; the change falls in its midst.

    Times count from discovery's return.
    """

    async def course(kind: str, desk: Desk, seed: int) -> tuple[float, float]:
        following = await settled(kind, desk, seed)
        begun, wait = desk.watch
        desk.begin(fault)
        await asyncio.sleep(lasts / 2)
        desk.drain()
        await asyncio.sleep(lasts / 2)
        desk.fault, back = None, desk.loop.time()
        if then is not None:
            desk.once.append(then)
        # A watch that fell silent, with no failed call before it.
        first = begun + wait + AFTER_WAIT_S - back if fault in MUTE else 0.0
        return await acted(following, back), max(TOLD_S, first)

    return course


def silence(phase: float, *then: str) -> Course:
    """The watch falls silent so far into its wait (a share), the change comes; the next calls fail too.

    Times count from the silence.
    """

    async def course(kind: str, desk: Desk, seed: int) -> tuple[float, float]:
        following = await settled(kind, desk, seed)
        begun = desk.watch[0]
        while desk.watch[0] == begun:
            await asyncio.sleep(0.01)
        begun, wait = desk.watch
        await asyncio.sleep(max(begun + phase * wait - desk.loop.time(), 0.0))
        assert desk.watch[0] == begun
        desk.fall_silent()
        desk.drain()
        desk.once.extend(then)
        silent = desk.loop.time()
        return await acted(following, silent), max(SILENCE_S, begun + wait + AFTER_WAIT_S - silent)

    return course


def silence_again(later: float, *then: str) -> Course:
    """A watch falls silent and is given up; so long after the next answer it falls silent again.

    Times count from the second silence, with which the change comes.
    """

    async def course(kind: str, desk: Desk, seed: int) -> tuple[float, float]:
        following = await settled(kind, desk, seed)
        calls = len(desk.calls)
        desk.fall_silent()
        while len(desk.calls) == calls:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.06 + later)
        desk.fall_silent()
        desk.drain()
        desk.once.extend(then)
        silent, (begun, wait) = desk.loop.time(), desk.watch
        # A watch with a long wait follows on an answered one: its silence is a first one again.
        first = begun + wait + AFTER_WAIT_S - silent if later >= HELD_S else 0.0
        return await acted(following, silent), max(TOLD_S, first)

    return course


def reload(fault: str, lasts: float, then: str | None = None) -> Course:
    """SIGHUP names an address that fails for so long, and once more; the old one falls silent.

    Times count from SIGHUP.
    """

    async def course(kind: str, desk: Desk, seed: int) -> tuple[float, float]:
        following = await settled(kind, desk, seed)
        other = Desk(cast(DeskLoop, desk.loop))
        await other.open()
        other.begin(fault)
        if then is not None:
            other.once.append(then)
        other.drain()
        at = desk.loop.time()
        following.discovery.move(other.address)
        desk.fall_silent()
        await asyncio.sleep(lasts)
        other.fault = None
        return await acted(following, at), max(RELOADED_S, lasts + TOLD_S if lasts else 0.0)

    return course


def fleet(count: int, course: Callable[[Desk, list[Asking]], Awaitable[None]]) -> None:
    """So many routers that ask one discovery, with their watches under way."""

    async def main() -> None:
        loop = cast(DeskLoop, asyncio.get_running_loop())
        desk = Desk(loop)
        await desk.open()
        routers = []
        for seed in range(count):
            routers.append(Asking(loop, desk.address, seed))
            await asyncio.sleep(10 / count)
        await asyncio.sleep(30.0)
        await course(desk, routers)
        for each in routers:
            each.discovery.close()

    with asyncio.Runner(loop_factory=DeskLoop) as runner:
        runner.run(main())


def rate(desk: Desk, begins: float, ends: float) -> tuple[float, int]:
    """Calls a second between these times: the mean, and the most in one second."""
    times = [at - begins for at, _ in desk.calls if begins <= at < ends]
    return len(times) / (ends - begins), max(Counter(map(int, times)).values(), default=0)


async def last_acted(desk: Desk, routers: list[Asking]) -> float:
    """How long until the last one has acted."""
    since = desk.loop.time()
    while any(each.heard_at == math.inf for each in routers) and desk.loop.time() < since + 120:
        await asyncio.sleep(0.1)
    return max(each.heard_at for each in routers) - since


# What is seen by one router


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_after_an_outage_and_one_more_failed_call_a_change_is_acted_on_in_time(kind: str, fault: str) -> None:
    lasts = 9.0 if kind == "pushed" else 25.0  # by then each watch has failed
    held(kind, fault, [outage(fault, lasts, then) for then in (None, "503", *MUTE)])


@pytest.mark.parametrize("kind", KINDS)
def test_behind_one_silence_or_two_in_a_row_a_change_is_acted_on_in_time(kind: str) -> None:
    held(
        kind,
        "silence",
        [silence(phase, *then) for phase in (0.0, 0.7) for then in ((), ("503",), ("silence",))],
    )


@pytest.mark.parametrize("kind", KINDS)
def test_a_second_silence_behind_an_answer_is_acted_on_in_time(kind: str) -> None:
    held(kind, "again", [silence_again(later, *then) for later in (0.0, 3.4) for then in ((), ("silence",))])


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_after_a_reload_and_failed_calls_there_a_change_is_acted_on_in_time(kind: str, fault: str) -> None:
    held(kind, fault, [reload(fault, lasts, then) for lasts in (0.3, 9.0) for then in (None, "silence")])


@pytest.mark.long
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_every_outage_with_every_further_fault(kind: str, fault: str) -> None:
    held(kind, fault, [outage(fault, s, then) for s in (0.0, 2.0, 9.0, 45.0) for then in (None, *FAULTS)])


@pytest.mark.long
@pytest.mark.parametrize("kind", KINDS)
def test_every_phase_of_a_silence_with_every_further_fault(kind: str) -> None:
    thens = [(), *((fault,) for fault in FAULTS)]
    held(kind, "silence", [silence(phase, *then) for phase in (0.0, 0.01, 0.3, 0.7, 0.99) for then in thens])
    held(kind, "again", [silence_again(s, *then) for s in (0.0, 0.5, 1.5, 3.0, 3.4) for then in thens])
    held(kind, "again, later", [silence_again(s, *then) for s in (3.6, 6.0) for then in thens])


@pytest.mark.long
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", KINDS)
def test_every_reload_with_every_further_fault(kind: str, fault: str) -> None:
    held(
        kind, fault, [reload(fault, s, then) for s in (0.0, 0.3, 2.0, 9.0, 30.0) for then in (None, *FAULTS)]
    )


class Trusting(CallSchedule):
    """Broken: a long wait at once, whatever failed before."""

    def record_failure(self, timed_out: bool) -> bool:
        super().record_failure(timed_out)
        self._immediate, self._short_watch = False, None
        return False


class Hasty(CallSchedule):
    """Broken: the first answer behind a silence is taken for proof."""

    def record_success(self) -> None:
        super().record_success()
        self._short_watch = None


@pytest.mark.parametrize(
    ("broken", "course"),
    [
        (Trusting, silence(0.0, "silence")),
        (Trusting, outage("503", 45.0, "silence")),
        (Trusting, outage("silence", 45.0)),
        (Hasty, silence_again(0.5)),
    ],
)
def test_a_pace_that_is_broken_is_caught(
    broken: type[CallSchedule], course: Course, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("pebblepass.discovery.client.CallSchedule", broken)
    at, told = latest("asked", course)
    assert at > told + GRACE_S


# What it costs discovery


def cost(routers: int, a_second: float) -> None:
    """Outages by 503 and by silence; then the change, and a discovery that answers so many calls a second."""

    for fault in ("503", "silence"):

        async def course(desk: Desk, asking: list[Asking], fault: str = fault) -> None:
            begun = desk.loop.time()
            await asyncio.sleep(42.0)
            quiet = rate(desk, begun, begun + 42.0)
            desk.each = 1 / a_second
            desk.begin(fault)
            begun = desk.loop.time()
            await asyncio.sleep(45.0)
            down = rate(desk, begun + 25.0, begun + 45.0)
            assert len(desk.lines) <= routers, "no connection is left open by a call that failed"
            desk.fault = None
            desk.drain()
            begun = desk.loop.time()
            last = await last_acted(desk, asking)
            await asyncio.sleep(max(begun + 140.0 - desk.loop.time(), 0.0))
            first, then = rate(desk, begun, begun + 10.0), rate(desk, begun + 100.0, begun + 140.0)
            print(fault, a_second, "quiet", quiet, "down", down, "back", first, "later", then, "acted", last)
            assert quiet[0] <= routers / 20.0
            assert down[0] <= routers * 0.7
            assert then[0] <= routers / 10.0, "it comes to rest"
            assert last <= max(TOLD_S, routers / a_second) + GRACE_S

        fleet(routers, course)


def test_an_outage_costs_discovery_a_bounded_number_of_calls() -> None:
    cost(40, 10.0)


@pytest.mark.long
@pytest.mark.parametrize("a_second", [25.0, 50.0, 1000.0])
def test_two_hundred_routers_do_not_keep_discovery_busy(a_second: float) -> None:
    cost(FLEET, a_second)


# What was found on the way


def test_a_discovery_that_has_lost_its_list_is_asked_for_all_of_it() -> None:
    async def test(kind: str, desk: Desk, seed: int) -> tuple[float, float]:
        desk.generation = 41
        following = await settled(kind, desk, seed)
        desk.generation, desk.drained = 2, True  # it was started anew, and counts from the start
        return await acted(following, desk.loop.time()), 21.0 + AFTER_WAIT_S

    at, told = latest("asked", test)
    assert at <= told


def test_where_no_watch_is_open_a_new_address_is_asked_for_all_of_its_list() -> None:
    async def test(kind: str, desk: Desk, seed: int) -> tuple[float, float]:
        following = await settled(kind, desk, seed)
        other = Desk(cast(DeskLoop, desk.loop))
        await other.open()
        desk.begin("503")
        await asyncio.sleep(0.01)
        other.drained = True  # and counts its versions as it likes
        following.discovery.move(other.address)
        return await acted(following, desk.loop.time()), RELOADED_S

    at, told = latest("asked", test)
    assert at <= told + GRACE_S
