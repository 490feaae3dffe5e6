"""Plays a plan: starts stand-ins and routers, lets clients ask and parts break, and gathers the report."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.emulators.listeners import LOOPBACK, SetAddressSilent, leave_address_reachable
from pebblepass.emulators.ports import take_port
from pebblepass.simulation.clock import VirtualLoop
from pebblepass.simulation.emulated_services import EmulatedServices, platform_settings
from pebblepass.simulation.load_generator import LoadGenerator
from pebblepass.simulation.plan import FaultEvent, Plan, Streams
from pebblepass.simulation.recovery import Recorder
from pebblepass.simulation.report import Series, build_report
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.routers import InProcessRouter, ProcessRouter, RouterPort
from pebblepass.simulation.rule_checker import RuleChecker
from pebblepass.wire.address import Address

READY_S = 10.0
TERM_GAP_S, KILL_GAP_S = 0.3, 1.5  # from a router's end to its next start
VIRTUAL_SLACK_S, REAL_SLACK_S = 0.001, 0.1
# Bytes take no virtual time: what is left is the rounding of times to nanoseconds, at either end.
VIRTUAL_TRANSIT_S, REAL_TRANSIT_S = 0.000_001, REAL_SLACK_S
TAIL_S = 1.0  # after the last deadline, for what routers still have out

Progress = Callable[[float, Series], None]
"""Told each second of the rehearsal's time, with the figures so far."""


class RehearsalError(Exception):
    """The rehearsal can't be played; one plain line."""


@dataclass(frozen=True, slots=True)
class Stage:
    """Where a plan is played: its clock, its network and its routers."""

    clock: str
    loop: asyncio.AbstractEventLoop
    unix_ns: Callable[[], int]
    silence: SetAddressSilent
    slack: float
    transit_slack: float
    router: Callable[[int], RouterPort]


class Rehearsal:
    """One playing of one plan."""

    def __init__(self, plan: Plan, stage: Stage, progress: Progress = lambda _, __: None) -> None:
        self.plan, self._stage, self._progress = plan, stage, progress
        self._loop = stage.loop
        self.rule_checker = RuleChecker(stage.slack, stage.transit_slack)
        self.count = RequestCounts(plan)
        listening = 0.0 if stage.slack == VIRTUAL_SLACK_S else stage.slack
        self.recorder = Recorder(plan)
        self.front = LoadGenerator(self._loop, plan, self.count, self.rule_checker, self.recorder, listening)
        self.world = EmulatedServices(
            self._loop, plan, self.rule_checker, stage.unix_ns, stage.silence, self.recorder
        )
        self.routers = [stage.router(place) for place in range(len(plan.routers))]
        self.series = Series(list(self.world.nodes))
        self.events: list[tuple[float, str]] = []
        self._addresses: list[Address] = []
        self._begun = 0.0
        self._notice_rng = Streams(plan.seed).of("front")
        self._tasks: set[asyncio.Task[None]] = set()
        self._known: dict[int, dict[str, Any]] = {}

    async def run(self) -> dict[str, Any]:
        """Play it; returns the report, also where it was interrupted."""
        interrupted = False
        figures: dict[str, list[dict[str, Any]] | None] = {}
        with _DaemonFaults() as faults:
            self._loop.set_exception_handler(faults.on_loop)
            try:
                await self._play()
            except asyncio.CancelledError:
                interrupted = True
            else:
                names = [facts.id for facts in self.plan.routers]
                for name, router in zip(names, self.routers, strict=True):
                    figures[name] = await router.figures()
            finally:
                await self._stop()
        crashes = [
            f"{facts.id}: {why}"
            for facts, router in zip(self.plan.routers, self.routers, strict=True)
            if (why := router.crash())
        ]
        return build_report(
            self.plan,
            self.count,
            self.rule_checker,
            self.series,
            self.world,
            recovery=self.recorder.report(self.count),
            clock=self._stage.clock,
            events=sorted([*self.plan.disturbances, *self.events]),
            figures=figures,
            # Only a process has memory of its own.
            peaks_kb={
                facts.id: router.peak_kb
                for facts, router in zip(self.plan.routers, self.routers, strict=True)
                if router.peak_kb
            },
            crashes=[*crashes, *faults.seen],
            interrupted=interrupted,
        )

    async def _play(self) -> None:
        plan, loop = self.plan, self._loop
        await self.world.start()
        for place, router in enumerate(plan.routers):
            self._addresses.append((LOOPBACK, take_port()))
            self.front.add_router(place, self._addresses[place])
            self._known[place] = self.world.agents[router.id].listing()
            await self._start_router(place)
        for place in range(len(plan.routers)):
            await self._wait_ready(place)
        self._begun = loop.time()
        self.world.begin()
        handles = [loop.call_at(self._begun + event.at, self._happen, event) for event in plan.fault_events]
        self._sample()
        for operation in plan.operations:
            left = self._begun + operation.at - loop.time()
            if left > 0:
                await asyncio.sleep(left)
            self.front.start(operation)
        longest = max(cls.deadline_ms for cls in plan.scenario.classes) / 1000
        await asyncio.sleep(max(0.0, self._begun + plan.scenario.length_s - loop.time()))
        while self.front.open or loop.time() < self._begun + plan.scenario.length_s + longest + TAIL_S:
            await asyncio.sleep(0.1)
        for handle in handles:
            handle.cancel()

    async def _stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        self.front.close()
        for router in self.routers:
            with suppress(OSError):
                await router.kill()
        for agent in self.world.agents.values():
            agent.close()
        for node in self.world.nodes.values():
            node.listeners.stop_accepting()
            node.listeners.reset_connections()
        self.world.store.listeners.stop_accepting()
        self.world.store.listeners.reset_connections()
        await asyncio.sleep(0)

    def _sample(self) -> None:
        """Take the figures of the second that ends."""
        second = self._loop.time() - self._begun
        world = self.world
        busy = {name: node.core_runner.core.busy_s for name, node in world.nodes.items()}
        self.series.take(second, self.front.open, world.store.fetches, busy)
        states = [state for router in self.routers if (state := router.state()) is not None]
        copies = [node.copies for node in world.nodes.values()]
        self.recorder.sample(copies, world.store.fetches, world.store.writes, states)
        self._progress(second, self.series)
        if second < self.plan.scenario.length_s:
            due = self._begun + round(second) + 1
            self._loop.call_at(due, self._sample)

    # Routers

    async def _start_router(self, place: int) -> None:
        facts = self.plan.routers[place]
        agent = self.world.agents[facts.id]
        fleet = self.plan.scenario.fleet
        host, port = self._addresses[place]
        self.rule_checker.router_started(facts.id)
        told = {
            "name": facts.id,
            "listen": f"{host}:{port}",
            "discovery": f"{agent.address[0]}:{agent.address[1]}",
            "seed": f"{facts.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": self._known[place],
            "settings": platform_settings(self.plan, facts),
        }
        try:
            await self.routers[place].start(told)
        except OSError as error:
            raise RehearsalError(f"{facts.id} can't listen at {host}:{port}: {error.strerror}") from None

    async def _wait_ready(self, place: int) -> None:
        """Wait until the router answers PING, as clients do."""
        end = self._loop.time() + READY_S
        while self._loop.time() < end:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self._addresses[place])
                try:
                    async with asyncio.timeout(1.0):
                        writer.write(b"*1\r\n$4\r\nPING\r\n")
                        if await reader.readline() == b"+PONG\r\n":
                            return
                finally:
                    writer.close()
            if self.routers[place].crash():
                break
            await asyncio.sleep(0.02)
        why = self.routers[place].crash() or f"not ready after {READY_S:g} s"
        raise RehearsalError(f"{self.plan.routers[place].id}: {why}")

    def _happen(self, event: FaultEvent) -> None:
        if event.kind.startswith("router"):
            place = event.place % len(self.routers)
            name = self.plan.routers[place].id
            if event.kind == "router-stall":
                self.routers[place].stall(event.length)
                self.events.append((event.at, f"{name} stands still for {event.length:g} s"))
                return
            if event.kind == "router-reload":
                what, work = f"{name} is given another address of the registry", self._reload(place)
            elif event.kind == "router-term":
                what, work = f"{name} is restarted in good order", self._restart(place, killed=False)
            else:
                what, work = f"{name} is killed", self._restart(place, killed=True)
            task = self._loop.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif event.kind == "clients-leave":
            self.front.leaving = event.share
            self._loop.call_later(event.length, setattr, self.front, "leaving", 0.0)
            what = f"{event.share:.0%} of the clients leave before their answer for {event.length:g} s"
        else:
            what = self.world.happen(event)
        self.events.append((event.at, what))

    async def _reload(self, place: int) -> None:
        name = self.plan.routers[place].id
        self.world.agents[name] = await self.world.agents[name].move()
        self.routers[place].reload(self.world.agents[name].address)

    async def _restart(self, place: int, killed: bool) -> None:
        front, router = self.front, self.routers[place]
        bounds = self.plan.scenario.traffic.notice_s
        notice = bounds.least + (bounds.most - bounds.least) * self._notice_rng.random()
        self._known[place] = self.world.agents[self.plan.routers[place].id].listing()
        noticed = self._loop.call_later(notice, front.notice, place, True)
        if killed:
            front.killed_at[place] = self._loop.time()
            await router.kill()
            await asyncio.sleep(KILL_GAP_S)
        else:
            await router.terminate()
            await asyncio.sleep(TERM_GAP_S)
        await self._start_router(place)
        await self._wait_ready(place)
        noticed.cancel()
        front.notice(place, False)


class _DaemonFaults(logging.Handler):
    """Takes the daemons' log and what the loop catches: exceptions are faults, the rest is not shown."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep what tells of a fault."""
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            self.seen.append(f"{record.getMessage()}: {type(error).__name__}: {error}")

    def on_loop(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Take what the loop has caught: an exception in a callback."""
        error = context.get("exception")
        self.seen.append(f"{context['message']}: {type(error).__name__}: {error}")

    def __enter__(self) -> _DaemonFaults:
        log = logging.getLogger("pebblepass")
        self._propagated = log.propagate
        log.propagate = False
        log.addHandler(self)
        return self

    def __exit__(self, *_: object) -> None:
        log = logging.getLogger("pebblepass")
        log.propagate = self._propagated
        log.removeHandler(self)


def rehearse(
    plan: Plan, progress: Progress = lambda _, __: None, make: Callable[..., Daemon] = Daemon
) -> dict[str, Any]:
    """Play a plan in virtual time with the daemon's code in this process; returns the report.

    The same plan gives the same report. `make` makes the daemon, for tests that break its behaviour.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        stage = Stage(
            clock="virtual",
            loop=loop,
            unix_ns=loop.unix_ns,
            silence=loop.set_silent,
            slack=VIRTUAL_SLACK_S,
            transit_slack=VIRTUAL_TRANSIT_S,
            router=lambda _: InProcessRouter(loop, loop.unix_ns, make, plan.scenario.sync is not None),
        )
        return runner.run(Rehearsal(plan, stage, progress).run())


def rehearse_in_real_time(
    plan: Plan, folder: Path, deploy: Path, progress: Progress = lambda _, __: None
) -> dict[str, Any]:
    """Play a plan against processes started by the deploy file's `run`; `folder` holds their files."""
    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        loop = runner.get_loop()

        def router(place: int) -> RouterPort:
            own = folder / plan.routers[place].id
            own.mkdir(parents=True, exist_ok=True)
            return ProcessRouter(own, deploy, plan.scenario.sync is not None)

        stage = Stage(
            clock="real",
            loop=loop,
            unix_ns=time.time_ns,
            silence=leave_address_reachable,
            slack=REAL_SLACK_S,
            transit_slack=REAL_TRANSIT_S,
            router=router,
        )
        return runner.run(Rehearsal(plan, stage, progress).run())
