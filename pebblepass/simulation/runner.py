"""Runs a plan: starts emulators and routers, generates load, injects faults, and builds the report."""

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
from pebblepass.simulation.network import DeliveryError
from pebblepass.simulation.plan import FaultEvent, Plan, Streams
from pebblepass.simulation.recovery import Recorder
from pebblepass.simulation.report import Series, build_report
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.routers import InProcessRouter, ProcessRouter, RouterControl
from pebblepass.simulation.rule_checker import RuleChecker
from pebblepass.wire.address import Address

READY_S = 10.0  # within which a router must be ready after its start
TERM_GAP_S, KILL_GAP_S = 0.3, 1.5  # from a router's exit to its next start
VIRTUAL_SLACK_S, REAL_SLACK_S = 0.001, 0.1  # by which an event may be observed late
# Bytes take no virtual time: the slack covers the rounding of times to nanoseconds at either end.
VIRTUAL_TRANSIT_S, REAL_TRANSIT_S = 0.000_001, REAL_SLACK_S
TAIL_S = 1.0  # after the last deadline, for the last attempts of the routers

Progress = Callable[[float, Series], None]
"""Called once for each second of the rehearsal, with that second and the figures so far."""


class RehearsalError(Exception):
    """The rehearsal can't be run; the message is one line."""


@dataclass(frozen=True, slots=True)
class Environment:
    """The clock, network and routers that a plan runs on."""

    clock: str
    loop: asyncio.AbstractEventLoop
    unix_ns: Callable[[], int]
    silence: SetAddressSilent
    slack: float
    transit_slack: float
    router: Callable[[int], RouterControl]


class Rehearsal:
    """One run of a plan."""

    def __init__(self, plan: Plan, environment: Environment, progress: Progress = lambda _, __: None) -> None:
        self.plan, self._environment, self._progress = plan, environment, progress
        self._loop = environment.loop
        self.rule_checker = RuleChecker(environment.slack, environment.transit_slack)
        self.count = RequestCounts(plan)
        extra_listening = 0.0 if environment.slack == VIRTUAL_SLACK_S else environment.slack
        self.recorder = Recorder(plan)
        self.load_generator = LoadGenerator(
            self._loop, plan, self.count, self.rule_checker, self.recorder, extra_listening
        )
        self.services = EmulatedServices(
            self._loop, plan, self.rule_checker, environment.unix_ns, environment.silence, self.recorder
        )
        self.routers = [environment.router(index) for index in range(len(plan.routers))]
        self.series = Series(list(self.services.nodes))
        self.events: list[tuple[float, str]] = []
        self._addresses: list[Address] = []
        self._started_at = 0.0
        self._detection_rng = Streams(plan.seed).of("front")
        self._tasks: set[asyncio.Task[None]] = set()
        self._listings: dict[int, dict[str, Any]] = {}

    async def run(self) -> dict[str, Any]:
        """Run the plan; returns the report, also of an interrupted run."""
        interrupted = False
        figures: dict[str, list[dict[str, Any]] | None] = {}
        with _DaemonErrorCollector() as errors:
            self._loop.set_exception_handler(errors.on_loop)
            try:
                await self._run_plan()
            except asyncio.CancelledError:
                interrupted = True
            else:
                names = [planned.id for planned in self.plan.routers]
                for name, router in zip(names, self.routers, strict=True):
                    figures[name] = await router.figures()
            finally:
                await self._stop()
        crashes = [
            f"{planned.id}: {reason}"
            for planned, router in zip(self.plan.routers, self.routers, strict=True)
            if (reason := router.crash())
        ]
        return build_report(
            self.plan,
            self.count,
            self.rule_checker,
            self.series,
            self.services,
            recovery=self.recorder.report(self.count),
            clock=self._environment.clock,
            events=sorted([*self.plan.disturbances, *self.events]),
            figures=figures,
            # Only a router in a process of its own has a memory figure.
            peaks_kb={
                planned.id: router.peak_kb
                for planned, router in zip(self.plan.routers, self.routers, strict=True)
                if router.peak_kb
            },
            crashes=[*crashes, *errors.errors],
            interrupted=interrupted,
        )

    async def _run_plan(self) -> None:
        plan, loop = self.plan, self._loop
        await self.services.start()
        for index, router in enumerate(plan.routers):
            self._addresses.append((LOOPBACK, take_port()))
            self.load_generator.add_router(index, self._addresses[index])
            self._listings[index] = self.services.agents[router.id].listing()
            await self._start_router(index)
        for index in range(len(plan.routers)):
            await self._wait_ready(index)
        self._started_at = loop.time()
        self.services.start_clock()
        handles = [
            loop.call_at(self._started_at + event.at, self._inject, event) for event in plan.fault_events
        ]
        self._sample()
        for operation in plan.operations:
            delay = self._started_at + operation.at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.load_generator.start(operation)
        longest_deadline = max(cls.deadline_ms for cls in plan.scenario.classes) / 1000
        await asyncio.sleep(max(0.0, self._started_at + plan.scenario.length_s - loop.time()))
        while (
            self.load_generator.open
            or loop.time() < self._started_at + plan.scenario.length_s + longest_deadline + TAIL_S
        ):
            await asyncio.sleep(0.1)
        for handle in handles:
            handle.cancel()

    async def _stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        self.load_generator.close()
        for router in self.routers:
            with suppress(OSError):
                await router.kill()
        for agent in self.services.agents.values():
            agent.close()
        for node in self.services.nodes.values():
            node.listeners.stop_accepting()
            node.listeners.reset_connections()
        self.services.store.listeners.stop_accepting()
        self.services.store.listeners.reset_connections()
        await asyncio.sleep(0)

    def _sample(self) -> None:
        """Record the figures of the second that has just passed."""
        second = self._loop.time() - self._started_at
        services = self.services
        busy = {name: node.core_runner.core.busy_s for name, node in services.nodes.items()}
        self.series.add_second(second, self.load_generator.open, services.store.fetches, busy)
        states = [state for router in self.routers if (state := router.state()) is not None]
        copies = [node.copies for node in services.nodes.values()]
        self.recorder.sample(copies, services.store.fetches, services.store.writes, states)
        self._progress(second, self.series)
        if second < self.plan.scenario.length_s:
            due = self._started_at + round(second) + 1
            self._loop.call_at(due, self._sample)

    # Routers

    async def _start_router(self, index: int) -> None:
        planned = self.plan.routers[index]
        agent = self.services.agents[planned.id]
        fleet = self.plan.scenario.fleet
        host, port = self._addresses[index]
        self.rule_checker.router_started(planned.id)
        config = {
            "name": planned.id,
            "listen": f"{host}:{port}",
            "discovery": f"{agent.address[0]}:{agent.address[1]}",
            "seed": f"{planned.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": self._listings[index],
            "settings": platform_settings(self.plan, planned),
        }
        try:
            await self.routers[index].start(config)
        except OSError as error:
            raise RehearsalError(f"{planned.id} can't listen at {host}:{port}: {error.strerror}") from None

    async def _wait_ready(self, index: int) -> None:
        """Wait until the router answers PING."""
        give_up_at = self._loop.time() + READY_S
        while self._loop.time() < give_up_at:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self._addresses[index])
                try:
                    async with asyncio.timeout(1.0):
                        writer.write(b"*1\r\n$4\r\nPING\r\n")
                        if await reader.readline() == b"+PONG\r\n":
                            return
                finally:
                    writer.close()
            if self.routers[index].crash():
                break
            await asyncio.sleep(0.02)
        reason = self.routers[index].crash() or f"not ready after {READY_S:g} s"
        raise RehearsalError(f"{self.plan.routers[index].id}: {reason}")

    def _inject(self, event: FaultEvent) -> None:
        if event.kind.startswith("router"):
            index = event.place % len(self.routers)
            name = self.plan.routers[index].id
            if event.kind == "router-stall":
                self.routers[index].stall(event.length)
                self.events.append((event.at, f"{name} is suspended for {event.length:g} s"))
                return
            if event.kind == "router-reload":
                description, change = (
                    f"{name} is reconfigured with another registry address",
                    self._reload(index),
                )
            elif event.kind == "router-term":
                description, change = f"{name} is shut down and restarted", self._restart(index, killed=False)
            else:
                description, change = f"{name} is killed and restarted", self._restart(index, killed=True)
            task = self._loop.create_task(change)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif event.kind == "clients-leave":
            self.load_generator.disconnect_share = event.share
            self._loop.call_later(event.length, setattr, self.load_generator, "disconnect_share", 0.0)
            description = (
                f"{event.share:.0%} of the clients disconnect before their answer for {event.length:g} s"
            )
        else:
            description = self.services.inject(event)
        self.events.append((event.at, description))

    async def _reload(self, index: int) -> None:
        name = self.plan.routers[index].id
        self.services.agents[name] = await self.services.agents[name].move()
        self.routers[index].reload(self.services.agents[name].address)

    async def _restart(self, index: int, killed: bool) -> None:
        load_generator, router = self.load_generator, self.routers[index]
        bounds = self.plan.scenario.traffic.notice_s
        delay = bounds.least + (bounds.most - bounds.least) * self._detection_rng.random()
        self._listings[index] = self.services.agents[self.plan.routers[index].id].listing()
        detection = self._loop.call_later(delay, load_generator.set_detected_down, index, True)
        if killed:
            load_generator.killed_at[index] = self._loop.time()
            await router.kill()
            await asyncio.sleep(KILL_GAP_S)
        else:
            await router.terminate()
            await asyncio.sleep(TERM_GAP_S)
        await self._start_router(index)
        await self._wait_ready(index)
        detection.cancel()
        load_generator.set_detected_down(index, False)


class _DaemonErrorCollector(logging.Handler):
    """Collects exceptions from the daemons' log and from the event loop; hides their other log lines."""

    def __init__(self) -> None:
        super().__init__()
        self.errors: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Collect the exception of a log record."""
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            self.errors.append(f"{record.getMessage()}: {type(error).__name__}: {error}")

    def on_loop(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Collect an exception that the event loop caught in a callback."""
        error = context.get("exception")
        self.errors.append(f"{context['message']}: {type(error).__name__}: {error}")

    def __enter__(self) -> _DaemonErrorCollector:
        logger = logging.getLogger("pebblepass")
        self._propagated = logger.propagate
        logger.propagate = False
        logger.addHandler(self)
        return self

    def __exit__(self, *_: object) -> None:
        logger = logging.getLogger("pebblepass")
        logger.propagate = self._propagated
        logger.removeHandler(self)


def rehearse(
    plan: Plan, progress: Progress = lambda _, __: None, make: Callable[..., Daemon] = Daemon
) -> dict[str, Any]:
    """Run a plan in virtual time with the daemon's code in this process; returns the report.

    The same plan gives the same report. `make` creates a daemon; tests pass one with a fault. Raises
    RehearsalError.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        environment = Environment(
            clock="virtual",
            loop=loop,
            unix_ns=loop.unix_ns,
            silence=loop.set_silent,
            slack=VIRTUAL_SLACK_S,
            transit_slack=VIRTUAL_TRANSIT_S,
            router=lambda _: InProcessRouter(loop, loop.unix_ns, make, plan.scenario.sync is not None),
        )
        try:
            return runner.run(Rehearsal(plan, environment, progress).run())
        except DeliveryError as error:
            raise RehearsalError(f"the rehearsal was ended: {error}") from None


def rehearse_in_real_time(
    plan: Plan, folder: Path, deploy: Path, progress: Progress = lambda _, __: None
) -> dict[str, Any]:
    """Run a plan against processes started by the deploy file's `run`; `folder` is for their files."""
    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        loop = runner.get_loop()

        def router(index: int) -> RouterControl:
            router_folder = folder / plan.routers[index].id
            router_folder.mkdir(parents=True, exist_ok=True)
            return ProcessRouter(router_folder, deploy, plan.scenario.sync is not None)

        environment = Environment(
            clock="real",
            loop=loop,
            unix_ns=time.time_ns,
            silence=leave_address_reachable,
            slack=REAL_SLACK_S,
            transit_slack=REAL_TRANSIT_S,
            router=router,
        )
        return runner.run(Rehearsal(plan, environment, progress).run())
