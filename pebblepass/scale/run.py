"""Runs hollow routers: starts processes, plays phases, limits memory and collects figures."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from pebblepass.emulators.listeners import EmulatorConnection
from pebblepass.emulators.observer import NullObserver
from pebblepass.emulators.ports import take_port
from pebblepass.emulators.registry import RegistryAgent
from pebblepass.fault_injection.relay import LOOPBACK, LinkRelays
from pebblepass.scale.figures import Snapshot, change_figures, figures_by_role
from pebblepass.scale.hollow import Order, Placement, Report, Specification
from pebblepass.scale.plan import OUTAGE_S, SETTINGS, Plan, PlanError

FLEET = "scale"
MEMORY_CHECK_INTERVAL_S = 0.5
EXIT_TIMEOUT_S = 10.0  # for processes to exit by themselves before they are killed
SETTLE_S = 1.0  # pause after a change, in which all routers report that they have accepted it
MAX_LINE_BYTES = 1 << 24  # the longest line that a process may write
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6

encode = msgspec.json.Encoder().encode


class RunError(Exception):
    """A run could not be completed; the message is one line."""


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used so far."""
    used_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(OSError):
            used_ns += int((task / "schedstat").read_text().split()[0])
    return used_ns / 1e9


def memory_mb(pid: int) -> float:
    """The resident memory of a process in MB; 0 if it has exited."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB
    except (OSError, IndexError):
        return 0.0


class CountingAgent(RegistryAgent):
    """A discovery agent that records the time of each call and whether it asks for the full list."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.calls: list[tuple[float, bool]] = []

    def handle_request(self, target: str, connection: EmulatorConnection) -> None:
        """Record a request and answer it."""
        self.calls.append((time.monotonic(), "index=" not in target))
        super().handle_request(target, connection)

    def count_since(self, start: float) -> dict[str, float]:
        """Count the calls since a time: all, those for the full list, and the most in one second."""
        later = [(time_s, is_full) for time_s, is_full in self.calls if time_s >= start]
        seconds = Counter(int(time_s - start) for time_s, _ in later)
        return {
            "calls": len(later),
            "whole": sum(is_full for _, is_full in later),
            "most_a_second": max(seconds.values(), default=0),
        }


class Child:
    """A process of the run."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.earlier_cpu_s = 0.0
        """CPU seconds of earlier processes of this name."""
        self.figures: asyncio.Future[dict[str, Any]] | None = None
        self.last_line = ""
        """The last line of its log."""
        self.should_run = True
        """Whether its exit is an error."""

    async def order(self, order: Order) -> None:
        """Send it an order."""
        assert self.process.stdin is not None
        self.process.stdin.write(encode(order) + b"\n")
        await self.process.stdin.drain()


class Run:
    """One run; `figures` holds the results after `play`."""

    def __init__(self, plan: Plan, folder: Path, print_progress: Callable[[str], None]) -> None:
        self._plan, self._folder, self._print_progress = plan, folder, print_progress
        self._children: dict[str, Child] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # By router: its last policy version or endpoint list, and when it accepted it.
        self._accepted_versions: dict[str, tuple[int, int]] = {}
        self._accepted_lists: dict[str, tuple[int, int]] = {}
        self._state_changed = asyncio.Event()
        self._ready: set[str] = set()
        self._verdicts: list[Report] = []
        self._proposed: list[Report] = []
        self._failure: Exception | None = None
        self._main: asyncio.Task[Any] | None = None
        self._relays: LinkRelays | None = None
        self._agent: RegistryAgent | None = None
        self._listing_agent: CountingAgent | None = None
        self._peak_memory_mb = 0.0
        self._phase_name = "start"
        self._version = 0
        self.figures: dict[str, Any] = {"plan": msgspec.to_builtins(plan), "phases": {}}

    # Addresses

    def _assign_addresses(self) -> None:
        plan = self._plan
        self._ports = {name: take_port() for name in plan.voter_names()}
        port = take_port()
        routers = [*plan.hollow_names(), *plan.full_names()]
        # Each router gets a loopback address of its own: it is as long as a real one, and all share one port.
        self._members = {name: f"{LOOPBACK}:{port}" for name, port in self._ports.items()}
        for number, name in enumerate(routers):
            self._members[name] = f"127.1.{number >> 8}.{number & 255}:{port}"
        if plan.relayed:
            relays = self._relays = LinkRelays(self._ports, plan.zones())
            for zone in plan.zones():
                remote_voters = [name for name in self._ports if not zone.startswith(str(plan.region(name)))]
                for name in remote_voters:
                    relays.delay(plan.delay_ms / 1000, (zone, name), (name, zone))

    def _relayed_addresses(self, name: str) -> dict[str, str]:
        relays, zone = self._relays, self._plan.zone(name)
        if relays is None:
            return {}
        return {voter: f"{LOOPBACK}:{relays.port(zone, voter)}" for voter in self._ports if voter != name}

    def _placement(self, name: str) -> Placement:
        directory = self._folder / f"disk-{name}"
        if name in self._ports:
            directory.mkdir(exist_ok=True)
        log_directory = str(directory) if name in self._ports else ""
        return Placement(name, self._members[name], log_directory, self._relayed_addresses(name))

    # Processes

    async def _spawn(self, name: str, arguments: list[str], environ: dict[str, str] | None = None) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **(environ or {})},
            limit=MAX_LINE_BYTES,
        )
        child = Child(name, process)
        if name in self._children:
            child.earlier_cpu_s = self._children[name].earlier_cpu_s
        self._children[name] = child
        for reader in (self._read_reports(child), self._read_log(child)):
            task = asyncio.create_task(reader)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _spawn_hollow(self, process: str, names: list[str], counted: bool = False) -> None:
        plan = self._plan
        specification = Specification(
            FLEET,
            SETTINGS,
            self._members,
            tuple(plan.voter_names()),
            tuple(self._placement(name) for name in names),
            plan.lease_ms,
            plan.seed,
            plan.pace_ms / 1000 * plan.hollow_processes,
            counted,
        )
        path = self._folder / f"{process}.json"
        path.write_bytes(encode(specification))
        self._ready.discard(process)
        await self._spawn(process, ["pebblepass.scale.hollow", str(path)])

    async def _spawn_full(self, process: str, name: str, in_fleet: bool) -> None:
        assert self._agent is not None
        host, port = self._agent.address
        settings = {
            "name": name,
            "listen": f"{LOOPBACK}:{take_port()}",
            "ops": f"{LOOPBACK}:{take_port()}",
            "discovery": f"{host}:{port}",
            "settings": SETTINGS,
        }
        config = self._folder / f"{process}.json"
        config.write_bytes(encode(settings))
        environ = {"LB_CONFIG": str(config)}
        lines = ["[log]", "lines_per_second = 1000"]
        if in_fleet:
            members = {**self._members, **self._relayed_addresses(name)}
            section = {
                "id": FLEET,
                "listen": self._members[name],
                "voters": self._plan.voter_names(),
                "lease_ms": self._plan.lease_ms,
                "alone_after_s": 3600,
            }
            lines += ["[fleet]", *(f"{key} = {json.dumps(value)}" for key, value in section.items())]
            lines += [
                "[fleet.members]",
                *(f"{key} = {json.dumps(address)}" for key, address in members.items()),
            ]
        operator = self._folder / f"{process}.toml"
        operator.write_text("\n".join(lines))
        environ["PEBBLEPASS_OPERATOR"] = str(operator)
        await self._spawn(process, ["pebblepass.scale.full"], environ)

    async def _read_reports(self, child: Child) -> None:
        assert child.process.stdout is not None
        while line := await child.process.stdout.readline():
            report = msgspec.json.decode(line, type=Report)
            match report.kind:
                case "held":
                    self._accepted_versions[report.name] = (report.version, report.at)
                case "listed":
                    self._accepted_lists[report.name] = (report.version, report.at)
                case "ready":
                    self._ready.add(child.name)
                case "proposed":
                    self._proposed.append(report)
                case "verdict":
                    self._verdicts.append(report)
                case "figures" if child.figures is not None and not child.figures.done():
                    child.figures.set_result(report.figures)
            self._state_changed.set()
        if child.should_run:
            await child.process.wait()
            self._fail(
                RunError(
                    f"{child.name} exited in phase {self._phase_name}: {child.last_line or 'no log output'}"
                )
            )

    async def _read_log(self, child: Child) -> None:
        """Read a process's log; a full router logs when it holds a lease."""
        assert child.process.stderr is not None
        while line := await child.process.stderr.readline():
            text = line.decode("utf-8", "replace").strip()
            child.last_line = text or child.last_line
            _, found, event = text.partition("fleet: {")
            if found and '"event":"in force"' in event:
                fields = msgspec.json.decode("{" + event)
                self._accepted_versions[child.name] = (fields["version"], time.monotonic_ns())
                self._state_changed.set()

    def _fail(self, error: Exception) -> None:
        if self._failure is None:
            self._failure = error
            if self._main is not None:
                self._main.cancel()

    async def _limit_memory(self) -> None:
        """Fail the run if its processes use more memory than the limit."""
        while True:
            alive = [child.process.pid for child in self._children.values()]
            sum_mb = sum(memory_mb(pid) for pid in [*alive, os.getpid()])
            self._peak_memory_mb = max(self._peak_memory_mb, sum_mb)
            if sum_mb > self._plan.memory_mb:
                limit = self._plan.memory_mb
                self._fail(
                    PlanError(
                        f"memory: {sum_mb:.0f} MB in phase {self._phase_name}, and the limit is {limit}"
                    )
                )
                return
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    # Waiting

    async def _wait_until(self, check: Callable[[], bool], awaited: str) -> None:
        try:
            async with asyncio.timeout(self._plan.patience_s):
                while not check():
                    self._state_changed.clear()
                    await self._state_changed.wait()
        except TimeoutError:
            raise RunError(
                f"{self._phase_name}: timed out after {self._plan.patience_s:g} s, waiting for {awaited}"
            ) from None

    async def _wait_for_version(self, names: Iterable[str], version: int, since: int) -> int:
        """Wait until these routers have accepted a version since a time; returns when the last one did."""
        missing = set(names)

        def all_accepted() -> bool:
            for name in list(missing):
                accepted, at = self._accepted_versions.get(name, (0, 0))
                if accepted >= version and at >= since:
                    missing.discard(name)
            return not missing

        try:
            await self._wait_until(all_accepted, f"a lease on version {version}")
        except RunError as error:
            examples = ", ".join(sorted(missing)[:5])
            raise RunError(f"{error}; missing at {len(missing)} routers, among them {examples}") from None
        return max((self._accepted_versions[name][1] for name in names), default=since)

    def _routers(self) -> list[str]:
        return [*self._plan.hollow_names(), *self._plan.full_names()]

    async def _request_figures(self, name: str) -> dict[str, Any]:
        child = self._children[name]
        child.figures = asyncio.get_running_loop().create_future()
        await child.order(Order("figures"))
        try:
            async with asyncio.timeout(self._plan.patience_s):
                return await child.figures
        except TimeoutError:
            raise RunError(f"{self._phase_name}: {name} reported no figures") from None

    async def _snapshot(self) -> Snapshot:
        counters = {}
        for name in self._plan.voter_names():
            child = self._children[name]
            if child.should_run:
                counters[name] = {**await self._request_figures(name), "pid": child.process.pid}
        cpu, memory = {}, {}
        for name, child in self._children.items():
            with contextlib.suppress(OSError):
                cpu[name] = child.earlier_cpu_s + cpu_s(child.process.pid)
                memory[name] = memory_mb(child.process.pid)
        return Snapshot(time.monotonic(), cpu, memory, counters)

    async def _holding(self) -> set[str]:
        """The hollow routers that hold a lease now."""
        holding: set[str] = set()
        for number in range(self._plan.hollow_processes):
            holding.update((await self._request_figures(f"hollow{number}"))["holding"])
        return holding

    # Phases

    async def play(self) -> None:
        """Play all phases; raises RunError or PlanError; `figures` then has the completed phases."""
        self._main = asyncio.current_task()
        memory_task = asyncio.create_task(self._limit_memory())
        start = time.monotonic()
        self.figures["load_before"] = os.getloadavg()
        try:
            await self._start()
            for phase in self._plan.phases:
                await self._phase(phase, getattr(self, f"_{phase}"))
        except asyncio.CancelledError:
            if self._failure is None:
                raise
            raise self._failure from None
        finally:
            memory_task.cancel()
            self.figures["processes"] = len(self._children)
            self.figures["memory_peak_mb"] = self._peak_memory_mb
            self.figures["run_s"] = time.monotonic() - start
            self.figures["load_after"] = os.getloadavg()
            await self._stop_all()

    async def _links_closed(self) -> dict[str, int]:
        """The number of links that control machines have closed so far, by cause."""
        sums: Counter[str] = Counter()
        for name in self._plan.voter_names():
            if self._children[name].should_run:
                sums.update((await self._request_figures(name))["closed"])
        return dict(sums)

    async def _phase(self, name: str, play: Callable[[], Awaitable[dict[str, Any]]]) -> None:
        self._phase_name = name
        self._print_progress(f"{name} ...")
        before = await self._snapshot()
        try:
            extra = await play()
        except RunError as error:
            self.figures["failed"] = {"phase": name, "why": str(error)}
            with contextlib.suppress(RunError):
                self.figures["failed"] |= {
                    **figures_by_role(self._plan, before, await self._snapshot()),
                    "links_closed": await self._links_closed(),
                }
            raise
        after = await self._snapshot()
        closed = {"links_closed": await self._links_closed()}
        self.figures["phases"][name] = {**figures_by_role(self._plan, before, after), **closed, **extra}

    async def _start(self) -> None:
        plan, loop = self._plan, asyncio.get_running_loop()
        self._assign_addresses()
        self._print_progress(
            f"{plan.routers} routers, {plan.hollow_processes} processes of hollow routers ..."
        )
        for name in plan.voter_names():
            await self._spawn_hollow(name, [name], counted=True)
        for number, names in enumerate(plan.routers_by_process()):
            await self._spawn_hollow(f"hollow{number}", names)
        await self._spawn_hollow("empty", [])
        processes = [f"hollow{number}" for number in range(plan.hollow_processes)]
        await self._wait_until(
            lambda: self._ready >= {*plan.voter_names(), *processes, "empty"}, "all processes to be ready"
        )
        for name in plan.voter_names():
            await self._children[name].order(Order("start"))
        await self._wait_for_version(plan.voter_names(), 1, 0)
        self._version = 1
        if plan.full:
            self._agent = RegistryAgent(loop, "scale", [], NullObserver())
            await self._agent.start()

        async def join() -> dict[str, Any]:
            start = time.monotonic_ns()
            for name in processes:
                await self._children[name].order(Order("start"))
            last = await self._wait_for_version(plan.hollow_names(), 1, start)
            return {"all_joined_s": (last - start) / 1e9}

        await self._phase("join", join)
        for number, name in enumerate(plan.full_names()):
            await self._spawn_full(f"lone{number}", name, in_fleet=False)
            await self._spawn_full(name, name, in_fleet=True)
        await self._wait_for_version(plan.full_names(), 1, 0)
        # Connections that failed while all routers joined are retried within two seconds.
        await asyncio.sleep(min(plan.lease_ms / 1000, 6.0))

    async def _idle(self) -> dict[str, Any]:
        await asyncio.sleep(self._plan.window_s)
        holding = await self._holding()
        return {"holding": len(holding)}

    async def _change(self) -> dict[str, Any]:
        plan, durations, open_verdicts = self._plan, [], 0
        before = await self._snapshot()
        for number in range(plan.changes):
            proposals, verdicts = len(self._proposed), len(self._verdicts)
            order = Order("propose", change=f"{plan.seed}.{number}", rate=1000.0 + number)
            proposer = plan.voter_names()[number % plan.voters]
            await self._children[proposer].order(order)
            await self._wait_until(lambda proposals=proposals: len(self._proposed) > proposals, "a proposal")  # type: ignore[misc]
            start = self._proposed[-1].at
            await self._wait_until(lambda verdicts=verdicts: len(self._verdicts) > verdicts, "a verdict")  # type: ignore[misc]
            verdict = self._verdicts[-1]
            open_verdicts += (
                verdict.state == "open"
            )  # an open change may still be decided; the wait below covers it
            if verdict.state == "refused":
                raise RunError(f"change {number}: {verdict.state}, version {verdict.version}")
            self._version = verdict.version
            await self._wait_for_version(self._routers(), self._version, start)
            durations.append([(self._accepted_versions[name][1] - start) / 1e9 for name in self._routers()])
            await asyncio.sleep(SETTLE_S)
        after = await self._snapshot()
        idle = self.figures["phases"].get("idle")
        value = max(counters["value_bytes"] for counters in after.counters.values())
        extra = {"value_bytes": value, "told_open": open_verdicts}
        return {**change_figures(plan, before, after, durations, idle), **extra}

    async def _wait_for_list(self, generation: int, since: int) -> float:
        """Wait until all hollow routers have an endpoint list; returns the seconds since `since`."""
        names = self._plan.hollow_names()

        def has_list(name: str) -> bool:
            listed, at = self._accepted_lists.get(name, (0, 0))
            return listed >= generation and at >= since

        await self._wait_until(
            lambda: all(has_list(name) for name in names), f"endpoint list {generation} at all routers"
        )
        return (max(self._accepted_lists[name][1] for name in names) - since) / 1e9

    async def _discovery(self) -> dict[str, Any]:
        plan, entries = self._plan, self._plan.endpoint_entries()
        agent = self._listing_agent = CountingAgent(
            asyncio.get_running_loop(), "scale", entries, NullObserver()
        )
        await agent.start()
        start = time.monotonic_ns()
        for number in range(plan.hollow_processes):
            order = Order("follow", discovery="{}:{}".format(*agent.address))
            await self._children[f"hollow{number}"].order(order)
        figures: dict[str, Any] = {"servers": len(entries), "list_bytes": len(encode(agent.listing()))}
        figures["all_listed_s"] = await self._wait_for_list(1, start)
        figures["start"] = agent.count_since(start / 1e9)
        idle_start, idle_start_cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(plan.window_s)
        calls = agent.count_since(idle_start)["calls"]
        figures["calls_per_router_s"] = calls / plan.hollow_count / (time.monotonic() - idle_start)
        figures["cpu_per_call_s"] = (time.process_time() - idle_start_cpu) / max(calls, 1)
        start = time.monotonic_ns()
        agent.apply_change({**entries[0], "lifecycle": "draining"})
        figures["change_s"] = await self._wait_for_list(agent.generation, start)
        agent.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        agent.apply_change({**entries[1], "lifecycle": "draining"})
        start = time.monotonic_ns()
        agent.set_down(False)
        figures["after_outage_s"] = await self._wait_for_list(agent.generation, start)
        figures["after_outage"] = agent.count_since(start / 1e9)
        return figures

    async def _kill(self, name: str) -> None:
        child = self._children[name]
        child.should_run = False
        child.earlier_cpu_s += cpu_s(child.process.pid)
        child.process.kill()
        await child.process.wait()

    async def _restart_voters(self, names: list[str]) -> int:
        """Restart these control machines; returns the time at which they are ordered to start."""
        for name in names:
            await self._spawn_hollow(name, [name], counted=True)
        await self._wait_until(lambda: self._ready >= set(names), "control machines")
        start = time.monotonic_ns()
        for name in names:
            await self._children[name].order(Order("start"))
        return start

    async def _voter(self) -> dict[str, Any]:
        victim, lease = self._plan.victim(), self._plan.lease_ms / 1000
        await self._kill(victim)
        await asyncio.sleep(2 * lease)
        holding = await self._holding()
        start = await self._restart_voters([victim])
        last = await self._wait_for_version([victim], self._version, start)
        return {
            "victim": victim,
            "holding_without_it": len(holding),
            "back_s": (last - start) / 1e9,
        }

    async def _cut_off(self, phase: str) -> dict[str, Any]:
        plan, relays = self._plan, self._relays
        assert relays is not None
        zones = plan.cut_zones(phase)
        inside = [name for name in plan.hollow_names() if plan.zone(name) in zones]
        outside = [name for name in plan.hollow_names() if plan.zone(name) not in zones]
        voters = [name for name in plan.voter_names() if plan.zone(name) not in zones]
        links = [(zone, voter) for zone in zones for voter in voters]
        relays.cut(*links, *((voter, zone) for zone, voter in links))
        await asyncio.sleep(2 * plan.lease_ms / 1000)
        holding = await self._holding()
        relays.restore()
        start = time.monotonic_ns()
        last = await self._wait_for_version(inside, self._version, start)
        return {
            "zones": zones,
            "inside": len(inside),
            "inside_holding": len(holding & set(inside)),
            "outside": len(outside),
            "outside_holding": len(holding & set(outside)),
            "all_joined_s": (last - start) / 1e9,
        }

    async def _cut(self) -> dict[str, Any]:
        return await self._cut_off("cut")

    async def _zone(self) -> dict[str, Any]:
        return await self._cut_off("zone")

    async def _restart(self, names: list[str]) -> None:
        selected = set(names)
        for number, routers in enumerate(self._plan.routers_by_process()):
            restarting = tuple(name for name in routers if name in selected)
            if restarting:
                await self._children[f"hollow{number}"].order(Order("restart", names=restarting))

    async def _some(self) -> dict[str, Any]:
        names, start = self._plan.restarted(), time.monotonic_ns()
        await self._restart(names)
        last = await self._wait_for_version(names, self._version, start)
        return {"restarted": len(names), "all_joined_s": (last - start) / 1e9}

    async def _all(self) -> dict[str, Any]:
        names, start = self._plan.hollow_names(), time.monotonic_ns()
        for name in self._plan.voter_names():
            await self._kill(name)
        await self._restart(names)
        voters_restarted = await self._restart_voters(self._plan.voter_names())
        last = await self._wait_for_version(names, self._version, start)
        return {
            "restarted": len(names),
            "voters_back_s": (voters_restarted - start) / 1e9,
            "after_voters_s": (last - voters_restarted) / 1e9,
            "all_joined_s": (last - start) / 1e9,
        }

    async def _stop_all(self) -> None:
        """Stop all processes and servers, also after a failure."""
        for child in self._children.values():
            child.should_run = False
            if child.process.stdin is not None:
                child.process.stdin.close()
        waiting = [child.process.wait() for child in self._children.values()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await asyncio.gather(*waiting)
        for child in self._children.values():
            if child.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    child.process.kill()
                await child.process.wait()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._relays is not None:
            self._relays.close()
        for agent in (self._agent, self._listing_agent):
            if agent is not None:
                agent.close()


def raise_descriptor_limit() -> int:
    """Raise this process's descriptor limit to the hard limit, and return it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def play(plan: Plan, out: Path, print_progress: Callable[[str], None]) -> dict[str, Any]:
    """Play a run and write figures.json; raises RunError, PlanError or KeyboardInterrupt."""
    with tempfile.TemporaryDirectory(prefix="pebblepass-scale-") as folder:
        run: Run | None = None

        async def play_run() -> None:
            nonlocal run
            run = Run(plan, Path(folder), print_progress)
            await run.play()

        try:
            asyncio.run(play_run())
        finally:
            if run is not None:
                (out / "figures.json").write_bytes(msgspec.json.format(encode(run.figures)) + b"\n")
    return run.figures if run is not None else {}
