"""A run of hollow routers: processes, phases, a watch on the memory, and what is read of them."""

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
from pebblepass.scale.figures import Look, by_role, of_changes
from pebblepass.scale.hollow import Order, Place, Report, Specification
from pebblepass.scale.plan import OUTAGE_S, SETTINGS, Plan, PlanError

FLEET = "scale"
WATCH_S = 0.5
END_S = 10.0  # in which processes end by themselves
SETTLE_S = 1.0  # after a change, in which all tell that they hold it
LINE = 1 << 24  # bytes of the longest one that a process tells
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6

encode = msgspec.json.Encoder().encode


class RunError(Exception):
    """A run came to no end that could be measured; the text is one plain line."""


def cpu_s(pid: int) -> float:
    """Seconds of CPU that a process has had so far."""
    spent = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(OSError):
            spent += int((task / "schedstat").read_text().split()[0])
    return spent / 1e9


def memory_mb(pid: int) -> float:
    """Its resident memory; 0: it is over."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB
    except (OSError, IndexError):
        return 0.0


class CountingAgent(RegistryAgent):
    """Discovery, with a count of its calls: when each came, and whether it asks for the whole list."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.calls: list[tuple[float, bool]] = []

    def handle_request(self, target: str, connection: EmulatorConnection) -> None:
        """Take a request."""
        self.calls.append((time.monotonic(), "index=" not in target))
        super().handle_request(target, connection)

    def since(self, at: float) -> dict[str, float]:
        """The calls since a time: how many, whole ones, and the most in a second."""
        later = [(when, whole) for when, whole in self.calls if when >= at]
        seconds = Counter(int(when - at) for when, _ in later)
        return {
            "calls": len(later),
            "whole": sum(whole for _, whole in later),
            "most_a_second": max(seconds.values(), default=0),
        }


class Child:
    """A process of the run."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.spent = 0.0
        """Of CPU, by processes of this name that are over."""
        self.figures: asyncio.Future[dict[str, Any]] | None = None
        self.last = ""
        """The last line that it wrote to its log."""
        self.wanted = True
        """Whether its end would be a fault."""

    async def order(self, order: Order) -> None:
        """Send it a line."""
        assert self.process.stdin is not None
        self.process.stdin.write(encode(order) + b"\n")
        await self.process.stdin.drain()


class Run:
    """One run; `play` gives its figures."""

    def __init__(self, plan: Plan, folder: Path, say: Callable[[str], None]) -> None:
        self._plan, self._folder, self._say = plan, folder, say
        self._children: dict[str, Child] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._held: dict[str, tuple[int, int]] = {}  # router: the version that it took last, and when
        self._listed: dict[str, tuple[int, int]] = {}  # likewise, of the list of servers
        self._news = asyncio.Event()
        self._ready: set[str] = set()
        self._verdicts: list[Report] = []
        self._proposed: list[Report] = []
        self._failure: Exception | None = None
        self._main: asyncio.Task[Any] | None = None
        self._relays: LinkRelays | None = None
        self._agent: RegistryAgent | None = None
        self._lists: CountingAgent | None = None
        self._peak = 0.0
        self._where = "start"
        self._version = 0
        self.figures: dict[str, Any] = {"plan": msgspec.to_builtins(plan), "phases": {}}

    # Addresses

    def _lay_out(self) -> None:
        plan = self._plan
        self._ports = {name: take_port() for name in plan.voter_names()}
        port = take_port()
        routers = [*plan.hollow_names(), *plan.full_names()]
        # One address of the loopback network each: as long as a real one, and no port is used up.
        self._members = {name: f"{LOOPBACK}:{port}" for name, port in self._ports.items()}
        for number, name in enumerate(routers):
            self._members[name] = f"127.1.{number >> 8}.{number & 255}:{port}"
        if plan.relayed:
            relays = self._relays = LinkRelays(self._ports, plan.zones())
            for zone in plan.zones():
                far = [name for name in self._ports if not zone.startswith(str(plan.region(name)))]
                for name in far:
                    relays.delay(plan.delay_ms / 1000, (zone, name), (name, zone))

    def _reached(self, name: str) -> dict[str, str]:
        relays, zone = self._relays, self._plan.zone(name)
        if relays is None:
            return {}
        return {voter: f"{LOOPBACK}:{relays.port(zone, voter)}" for voter in self._ports if voter != name}

    def _place(self, name: str) -> Place:
        directory = self._folder / f"disk-{name}"
        if name in self._ports:
            directory.mkdir(exist_ok=True)
        kept = str(directory) if name in self._ports else ""
        return Place(name, self._members[name], kept, self._reached(name))

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
            limit=LINE,
        )
        child = Child(name, process)
        if name in self._children:
            child.spent = self._children[name].spent
        self._children[name] = child
        for read in (self._read_reports(child), self._read_log(child)):
            task = asyncio.create_task(read)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _spawn_hollow(self, process: str, names: list[str], counted: bool = False) -> None:
        plan = self._plan
        specification = Specification(
            FLEET,
            SETTINGS,
            self._members,
            tuple(plan.voter_names()),
            tuple(self._place(name) for name in names),
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
        told = {
            "name": name,
            "listen": f"{LOOPBACK}:{take_port()}",
            "ops": f"{LOOPBACK}:{take_port()}",
            "discovery": f"{host}:{port}",
            "settings": SETTINGS,
        }
        config = self._folder / f"{process}.json"
        config.write_bytes(encode(told))
        environ = {"LB_CONFIG": str(config)}
        lines = ["[log]", "lines_per_second = 1000"]
        if in_fleet:
            members = {**self._members, **self._reached(name)}
            section = {
                "id": FLEET,
                "listen": self._members[name],
                "voters": self._plan.voter_names(),
                "lease_ms": self._plan.lease_ms,
                "alone_after_s": 3600,
            }
            lines += ["[fleet]", *(f"{key} = {json.dumps(value)}" for key, value in section.items())]
            lines += ["[fleet.members]", *(f"{key} = {json.dumps(each)}" for key, each in members.items())]
        operator = self._folder / f"{process}.toml"
        operator.write_text("\n".join(lines))
        environ["PEBBLEPASS_OPERATOR"] = str(operator)
        await self._spawn(process, ["pebblepass.scale.full"], environ)

    async def _read_reports(self, child: Child) -> None:
        assert child.process.stdout is not None
        while line := await child.process.stdout.readline():
            report = msgspec.json.decode(line, type=Report)
            match report.what:
                case "held":
                    self._held[report.name] = (report.version, report.at)
                case "listed":
                    self._listed[report.name] = (report.version, report.at)
                case "ready":
                    self._ready.add(child.name)
                case "proposed":
                    self._proposed.append(report)
                case "verdict":
                    self._verdicts.append(report)
                case "figures" if child.figures is not None and not child.figures.done():
                    child.figures.set_result(report.figures)
            self._news.set()
        if child.wanted:
            await child.process.wait()
            self._fail(RunError(f"{child.name} ended in {self._where}: {child.last or 'without a word'}"))

    async def _read_log(self, child: Child) -> None:
        """A full router tells in its log when it holds a lease."""
        assert child.process.stderr is not None
        while line := await child.process.stderr.readline():
            text = line.decode("utf-8", "replace").strip()
            child.last = text or child.last
            _, found, told = text.partition("fleet: {")
            if found and '"event":"in force"' in told:
                step = msgspec.json.decode("{" + told)
                self._held[child.name] = (step["version"], time.monotonic_ns())
                self._news.set()

    def _fail(self, error: Exception) -> None:
        if self._failure is None:
            self._failure = error
            if self._main is not None:
                self._main.cancel()

    async def _watch(self) -> None:
        """Ends the run before it takes more memory than it may."""
        while True:
            alive = [child.process.pid for child in self._children.values()]
            sum_mb = sum(memory_mb(pid) for pid in [*alive, os.getpid()])
            self._peak = max(self._peak, sum_mb)
            if sum_mb > self._plan.memory_mb:
                most = self._plan.memory_mb
                self._fail(PlanError(f"memory: {sum_mb:.0f} MB in {self._where}, and {most} may be taken"))
                return
            await asyncio.sleep(WATCH_S)

    # Waiting

    async def _until(self, check: Callable[[], bool], what: str) -> None:
        try:
            async with asyncio.timeout(self._plan.patience_s):
                while not check():
                    self._news.clear()
                    await self._news.wait()
        except TimeoutError:
            raise RunError(f"{self._where}: never came within {self._plan.patience_s:g} s: {what}") from None

    async def _all_hold(self, names: Iterable[str], version: int, since: int) -> int:
        """Wait until these routers have taken a version after a time; returns when the last one did."""
        left = set(names)

        def none_left() -> bool:
            for name in list(left):
                held, at = self._held.get(name, (0, 0))
                if held >= version and at >= since:
                    left.discard(name)
            return not left

        try:
            await self._until(none_left, f"a lease on version {version}")
        except RunError as error:
            some = ", ".join(sorted(left)[:5])
            raise RunError(f"{error}; {len(left)} without it, {some} among them") from None
        return max((self._held[name][1] for name in names), default=since)

    def _routers(self) -> list[str]:
        return [*self._plan.hollow_names(), *self._plan.full_names()]

    async def _ask_figures(self, name: str) -> dict[str, Any]:
        child = self._children[name]
        child.figures = asyncio.get_running_loop().create_future()
        await child.order(Order("figures"))
        try:
            async with asyncio.timeout(self._plan.patience_s):
                return await child.figures
        except TimeoutError:
            raise RunError(f"{self._where}: {name} told no figures") from None

    async def _look(self) -> Look:
        told = {}
        for name in self._plan.voter_names():
            child = self._children[name]
            if child.wanted:
                told[name] = {**await self._ask_figures(name), "pid": child.process.pid}
        cpu, memory = {}, {}
        for name, child in self._children.items():
            with contextlib.suppress(OSError):
                cpu[name] = child.spent + cpu_s(child.process.pid)
                memory[name] = memory_mb(child.process.pid)
        return Look(time.monotonic(), cpu, memory, told)

    async def _holding(self) -> set[str]:
        """The hollow routers that hold a lease at this moment."""
        found: set[str] = set()
        for number in range(self._plan.hollow_processes):
            found.update((await self._ask_figures(f"hollow{number}"))["holding"])
        return found

    # Phases

    async def play(self) -> None:
        """Play all; raises RunError or PlanError. The figures so far stand in either case."""
        self._main = asyncio.current_task()
        watch = asyncio.create_task(self._watch())
        begun = time.monotonic()
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
            watch.cancel()
            self.figures["processes"] = len(self._children)
            self.figures["memory_peak_mb"] = self._peak
            self.figures["run_s"] = time.monotonic() - begun
            self.figures["load_after"] = os.getloadavg()
            await self._end()

    async def _causes(self) -> dict[str, int]:
        """Links that control machines have closed so far, by cause."""
        sums: Counter[str] = Counter()
        for name in self._plan.voter_names():
            if self._children[name].wanted:
                sums.update((await self._ask_figures(name))["closed"])
        return dict(sums)

    async def _phase(self, name: str, play: Callable[[], Awaitable[dict[str, Any]]]) -> None:
        self._where = name
        self._say(f"{name} ...")
        before = await self._look()
        try:
            extra = await play()
        except RunError as error:
            self.figures["failed"] = {"phase": name, "why": str(error)}
            with contextlib.suppress(RunError):
                self.figures["failed"] |= {
                    **by_role(self._plan, before, await self._look()),
                    "links_closed": await self._causes(),
                }
            raise
        after = await self._look()
        closed = {"links_closed": await self._causes()}
        self.figures["phases"][name] = {**by_role(self._plan, before, after), **closed, **extra}

    async def _start(self) -> None:
        plan, loop = self._plan, asyncio.get_running_loop()
        self._lay_out()
        self._say(f"{plan.routers} routers, {plan.hollow_processes} processes of hollow ones ...")
        for name in plan.voter_names():
            await self._spawn_hollow(name, [name], counted=True)
        for number, names in enumerate(plan.spread()):
            await self._spawn_hollow(f"hollow{number}", names)
        await self._spawn_hollow("empty", [])
        own = [f"hollow{number}" for number in range(plan.hollow_processes)]
        await self._until(lambda: self._ready >= {*plan.voter_names(), *own, "empty"}, "all processes")
        for name in plan.voter_names():
            await self._children[name].order(Order("start"))
        await self._all_hold(plan.voter_names(), 1, 0)
        self._version = 1
        if plan.full:
            self._agent = RegistryAgent(loop, "scale", [], NullObserver())
            await self._agent.start()

        async def join() -> dict[str, Any]:
            begun = time.monotonic_ns()
            for name in own:
                await self._children[name].order(Order("start"))
            last = await self._all_hold(plan.hollow_names(), 1, begun)
            return {"all_joined_s": (last - begun) / 1e9}

        await self._phase("join", join)
        for number, name in enumerate(plan.full_names()):
            await self._spawn_full(f"lone{number}", name, in_fleet=False)
            await self._spawn_full(name, name, in_fleet=True)
        await self._all_hold(plan.full_names(), 1, 0)
        # Whoever dialled while it was crowded, dials again within two seconds; then it is quiet.
        await asyncio.sleep(min(plan.lease_ms / 1000, 6.0))

    async def _idle(self) -> dict[str, Any]:
        await asyncio.sleep(self._plan.window_s)
        holding = await self._holding()
        return {"holding": len(holding)}

    async def _change(self) -> dict[str, Any]:
        plan, took, told_open = self._plan, [], 0
        before = await self._look()
        for number in range(plan.changes):
            seen, said = len(self._proposed), len(self._verdicts)
            order = Order("propose", change=f"{plan.seed}.{number}", rate=1000.0 + number)
            proposer = plan.voter_names()[number % plan.voters]
            await self._children[proposer].order(order)
            await self._until(lambda seen=seen: len(self._proposed) > seen, "a proposal")  # type: ignore[misc]
            begun = self._proposed[-1].at
            await self._until(lambda said=said: len(self._verdicts) > said, "a verdict")  # type: ignore[misc]
            verdict = self._verdicts[-1]
            told_open += verdict.state == "open"  # it ends by itself, and is waited for
            if verdict.state == "refused":
                raise RunError(f"change {number}: {verdict.state}, version {verdict.version}")
            self._version = verdict.version
            await self._all_hold(self._routers(), self._version, begun)
            took.append([(self._held[name][1] - begun) / 1e9 for name in self._routers()])
            await asyncio.sleep(SETTLE_S)
        after = await self._look()
        idle = self.figures["phases"].get("idle")
        value = max(each["value_bytes"] for each in after.told.values())
        told = {"value_bytes": value, "told_open": told_open}
        return {**of_changes(plan, before, after, took, idle), **told}

    async def _all_listed(self, generation: int, since: int) -> float:
        """Wait until all have a list; returns the seconds that it took."""
        names = self._plan.hollow_names()

        def has(name: str) -> bool:
            told, at = self._listed.get(name, (0, 0))
            return told >= generation and at >= since

        await self._until(lambda: all(has(name) for name in names), f"list {generation} at all")
        return (max(self._listed[name][1] for name in names) - since) / 1e9

    async def _discovery(self) -> dict[str, Any]:
        plan, entries = self._plan, self._plan.listed()
        agent = self._lists = CountingAgent(asyncio.get_running_loop(), "scale", entries, NullObserver())
        await agent.start()
        begun = time.monotonic_ns()
        for number in range(plan.hollow_processes):
            order = Order("follow", discovery="{}:{}".format(*agent.address))
            await self._children[f"hollow{number}"].order(order)
        told: dict[str, Any] = {"servers": len(entries), "list_bytes": len(encode(agent.listing()))}
        told["all_listed_s"] = await self._all_listed(1, begun)
        told["start"] = agent.since(begun / 1e9)
        quiet, quiet_cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(plan.window_s)
        calls = agent.since(quiet)["calls"]
        told["calls_per_router_s"] = calls / plan.hollow / (time.monotonic() - quiet)
        told["cpu_per_call_s"] = (time.process_time() - quiet_cpu) / max(calls, 1)
        begun = time.monotonic_ns()
        agent.apply_change({**entries[0], "lifecycle": "draining"})
        told["change_s"] = await self._all_listed(agent.generation, begun)
        agent.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        agent.apply_change({**entries[1], "lifecycle": "draining"})
        begun = time.monotonic_ns()
        agent.set_down(False)
        told["after_outage_s"] = await self._all_listed(agent.generation, begun)
        told["after_outage"] = agent.since(begun / 1e9)
        return told

    async def _kill(self, name: str) -> None:
        child = self._children[name]
        child.wanted = False
        child.spent += cpu_s(child.process.pid)
        child.process.kill()
        await child.process.wait()

    async def _restart_voters(self, names: list[str]) -> int:
        """Start these control machines again; returns when all are back and begin."""
        for name in names:
            await self._spawn_hollow(name, [name], counted=True)
        await self._until(lambda: self._ready >= set(names), "control machines")
        begun = time.monotonic_ns()
        for name in names:
            await self._children[name].order(Order("start"))
        return begun

    async def _voter(self) -> dict[str, Any]:
        victim, lease = self._plan.victim(), self._plan.lease_ms / 1000
        await self._kill(victim)
        await asyncio.sleep(2 * lease)
        holding = await self._holding()
        begun = await self._restart_voters([victim])
        last = await self._all_hold([victim], self._version, begun)
        return {
            "victim": victim,
            "holding_without_it": len(holding),
            "back_s": (last - begun) / 1e9,
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
        begun = time.monotonic_ns()
        last = await self._all_hold(inside, self._version, begun)
        return {
            "zones": zones,
            "inside": len(inside),
            "inside_holding": len(holding & set(inside)),
            "outside": len(outside),
            "outside_holding": len(holding & set(outside)),
            "all_joined_s": (last - begun) / 1e9,
        }

    async def _cut(self) -> dict[str, Any]:
        return await self._cut_off("cut")

    async def _zone(self) -> dict[str, Any]:
        return await self._cut_off("zone")

    async def _restart(self, names: list[str]) -> None:
        wanted = set(names)
        for number, own in enumerate(self._plan.spread()):
            here = tuple(name for name in own if name in wanted)
            if here:
                await self._children[f"hollow{number}"].order(Order("restart", names=here))

    async def _some(self) -> dict[str, Any]:
        names, begun = self._plan.restarted(), time.monotonic_ns()
        await self._restart(names)
        last = await self._all_hold(names, self._version, begun)
        return {"restarted": len(names), "all_joined_s": (last - begun) / 1e9}

    async def _all(self) -> dict[str, Any]:
        names, begun = self._plan.hollow_names(), time.monotonic_ns()
        for name in self._plan.voter_names():
            await self._kill(name)
        await self._restart(names)
        back = await self._restart_voters(self._plan.voter_names())
        last = await self._all_hold(names, self._version, begun)
        return {
            "restarted": len(names),
            "voters_back_s": (back - begun) / 1e9,
            "after_voters_s": (last - back) / 1e9,
            "all_joined_s": (last - begun) / 1e9,
        }

    async def _end(self) -> None:
        """Nothing is left behind, whatever came."""
        for child in self._children.values():
            child.wanted = False
            if child.process.stdin is not None:
                child.process.stdin.close()
        waiting = [child.process.wait() for child in self._children.values()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_S):
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
        for agent in (self._agent, self._lists):
            if agent is not None:
                agent.close()


def most_descriptors() -> int:
    """How many this process may open; its own limit goes up to what it may."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def play(plan: Plan, out: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Play a run and write its figures; raises RunError, PlanError or KeyboardInterrupt."""
    with tempfile.TemporaryDirectory(prefix="pebblepass-scale-") as folder:
        run: Run | None = None

        async def whole() -> None:
            nonlocal run
            run = Run(plan, Path(folder), say)
            await run.play()

        try:
            asyncio.run(whole())
        finally:
            if run is not None:
                (out / "figures.json").write_bytes(msgspec.json.format(encode(run.figures)) + b"\n")
    return run.figures if run is not None else {}
