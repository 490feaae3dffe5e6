"""Routers under rehearsal: the daemon's own code, in this process or as the deploy file starts it."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import tomllib
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

import msgspec

from pebblepass.accounting import snapshot
from pebblepass.accounting.service import AccountingService
from pebblepass.daemon.config import read_config
from pebblepass.daemon.daemon import Daemon
from pebblepass.operator_config import AccountingSection, MultiGetSection
from pebblepass.simulation.clock import VirtualLoop
from pebblepass.simulation.recovery import RouterState
from pebblepass.wire.address import Address

WATCH_S = 0.25
LEDGER_MB = 48  # a memory limit under which a process is rehearsed without its ledger
END_S = 10.0  # in which a process with nothing open must end in good order


class RouterPort(Protocol):
    """What a rehearsal does with a router."""

    peak_kb: int
    """The most memory seen; 0 where it has no process of its own."""

    async def figures(self) -> list[dict[str, Any]] | None:
        """End it in good order, and return what its ledgers say, one after another.

        None where nothing can be known, as after a kill.
        """

    async def start(self, told: dict[str, Any]) -> None:
        """Start it with this configuration."""

    async def terminate(self) -> None:
        """End it in good order, as SIGTERM does; returns when it has ended."""

    async def kill(self) -> None:
        """End it at once."""

    def reload(self, discovery: Address) -> None:
        """Give it a new configuration that names another address of the registry."""

    def stall(self, seconds: float) -> None:
        """Let it do nothing for so long, as where the machine gives its core to others."""

    def state(self) -> RouterState | None:
        """Its refusals so far and its limits now; None where it can't be looked into."""

    def crash(self) -> str:
        """Why it has ended by itself; empty while it has not."""


class InProcessRouter:
    """The daemon on the rehearsal's own loop."""

    peak_kb = 0

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        unix_ns: Callable[[], int],
        make: Callable[..., Daemon] = Daemon,
        many: bool = False,
    ) -> None:
        """`many`: whether it takes reads of many keys."""
        self._loop, self._unix_ns, self._make, self._many = loop, unix_ns, make, many
        self._daemon: Daemon | None = None
        self._figures: list[AccountingService] = []  # one for each start
        self._killed = False

    async def start(self, told: dict[str, Any]) -> None:
        """Start it."""
        config = read_config(told, {})
        self._daemon = self._make(self._loop, config, self._unix_ns)
        if self._many:
            self._daemon.enable_multi_get(MultiGetSection())
        host, starts = self._daemon.host, len(self._figures)
        figures = AccountingService(
            self._loop, AccountingSection(), config.name, config.settings, self._unix_ns, f"start {starts}"
        )
        self._figures.append(figures)
        host.ledger = figures.ledger
        await figures.start(host.now, host.open_requests)
        await self._daemon.start()

    async def terminate(self) -> None:
        """Drain it, and stop it."""
        if self._daemon is not None:
            await self._daemon.drain()
            self._stop(self._daemon)

    async def kill(self) -> None:
        """Stop it; what it knew is gone with it."""
        if self._daemon is not None:
            self._killed = True
            self._stop(self._daemon)

    def _stop(self, daemon: Daemon) -> None:
        daemon.stop()
        self._figures[-1].stop(closing=True)
        self._daemon = None

    async def figures(self) -> list[dict[str, Any]] | None:
        """All its ledgers; None once it was killed. It runs on: its open entries are told as such."""
        if self._killed:
            return None
        return [row for figures in self._figures for row in figures.ledger.export_rows()]

    def reload(self, discovery: Address) -> None:
        """Move its watch, as the reload of a file does."""
        if self._daemon is not None:
            self._daemon.move_discovery(discovery)

    def stall(self, seconds: float) -> None:
        """Hold up the loop; it is the stand-ins' too, so that their answers stand unread as well."""
        if isinstance(self._loop, VirtualLoop):
            self._loop.stall(seconds)

    def state(self) -> RouterState | None:
        """Over all its starts; the limits of one that is down are none."""
        refused = Counter[str]()
        for figures in self._figures:
            for account in figures.ledger.accounts.values():
                refused.update(account.refused)
        return RouterState(refused, self._daemon.host.limits() if self._daemon is not None else {})

    def crash(self) -> str:
        """A breach of its ledger; any other fault in this process is an exception that is logged."""
        breaches = [breach for figures in self._figures for breach in figures.ledger.breaches]
        return f"breach: {breaches[0].kind.value}: {breaches[0].request}" if breaches else ""


class ProcessRouter:
    """A process started by the deploy file's `run`, held to its limits."""

    def __init__(self, folder: Path, deploy: Path, many: bool = False) -> None:
        """`folder` is this router's own; `deploy` the deploy file; `many`: it takes reads of many keys."""
        self._folder, self._root, self._many = folder, deploy.resolve().parent.parent, many
        self._command = str(tomllib.loads(deploy.read_text())["run"])
        self._process: subprocess.Popen[bytes] | None = None
        self._watch: asyncio.Task[None] | None = None
        self._told: dict[str, Any] = {}
        self._crash = ""
        self._killed = self._ledger = False
        self.peak_kb = 0

    async def figures(self) -> list[dict[str, Any]] | None:
        """The closing balance, which stands for all its starts."""
        if self._killed or self._crash or not self._ledger:
            return None
        try:
            async with asyncio.timeout(END_S):
                await self._end(signal.SIGTERM)
            found = snapshot.decode(
                (self._folder / f"{self._told['name']}.figures.json").read_bytes(), self._told["name"]
            )
        except (OSError, TimeoutError, snapshot.SnapshotError) as error:
            self._crash = f"left no closing balance: {str(error) or type(error).__name__}"
            return None
        if found.breaches:
            self._crash = f"{found.breaches} breaches of its ledger"
        elif not found.closing:
            self._crash = "left a balance that does not close"
        return [msgspec.to_builtins(row) for row in found.figures]

    async def start(self, told: dict[str, Any]) -> None:
        """Start the process."""
        self._told = told
        self._write()
        sockets, memory_kb = told["limits"]["sockets"], told["limits"]["memory_mb"] << 10
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "PEBBLEPASS_"))}
        # Guards what is rehearsed: under a tight limit the ledger's few megabytes would decide.
        self._ledger = told["limits"]["memory_mb"] >= LEDGER_MB
        sections = f"[figures]\ndirectory = {json.dumps(str(self._folder))}\n" if self._ledger else ""
        sections += "[many_keys]\n" if self._many else ""
        if sections:
            operator = self._folder / "operator.toml"
            operator.write_text(sections)
            environ["PEBBLEPASS_OPERATOR"] = str(operator)
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", self._command],
                cwd=self._root,
                env={**environ, "LB_CONFIG": str(self._config)},
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self._watch = asyncio.get_running_loop().create_task(self._hold(self._process, memory_kb))

    @property
    def _config(self) -> Path:
        return self._folder / "config.json"

    def _write(self) -> None:
        fresh = self._folder / "config.json.new"
        fresh.write_text(json.dumps(self._told))
        fresh.replace(self._config)

    async def _hold(self, process: subprocess.Popen[bytes], memory_kb: int) -> None:
        """Watch the process: over its memory it is killed, as on the platform."""
        while process.poll() is None:
            with suppress(OSError, IndexError, ValueError):
                status = Path(f"/proc/{process.pid}/status").read_text()
                used = int(status.split("VmRSS:")[1].split()[0])
                self.peak_kb = max(self.peak_kb, used)
                if used > memory_kb:
                    self._crash = f"used {used >> 10} MB of {memory_kb >> 10}"
                    process.kill()
            await asyncio.sleep(WATCH_S)
        self._crash = self._crash or f"ended by itself with {process.returncode}: {self._last_line()}"

    def _last_line(self) -> str:
        lines = (self._folder / "log").read_text(errors="replace").splitlines()
        return lines[-1] if lines else "it logged nothing"

    async def _end(self, how: signal.Signals) -> None:
        process, self._process = self._process, None
        if self._watch is not None:
            self._watch.cancel()
        if process is None or process.poll() is not None:
            return
        process.send_signal(how)
        while process.poll() is None:
            await asyncio.sleep(0.005)

    async def terminate(self) -> None:
        """SIGTERM, and wait."""
        await self._end(signal.SIGTERM)

    async def kill(self) -> None:
        """SIGKILL."""
        self._killed = True
        await self._end(signal.SIGKILL)

    def reload(self, discovery: Address) -> None:
        """Replace its file and send SIGHUP."""
        self._told = {**self._told, "discovery": f"{discovery[0]}:{discovery[1]}"}
        self._write()
        if self._process is not None:
            self._process.send_signal(signal.SIGHUP)

    def stall(self, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        if self._process is not None:
            self._process.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(seconds, self._process.send_signal, signal.SIGCONT)

    def state(self) -> RouterState | None:
        """A process tells its balance at its end only."""
        return None

    def crash(self) -> str:
        """Why it has ended by itself."""
        return self._crash
