"""Routers in a rehearsal: the daemon in this process, or a process started as the deploy file says."""

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

MEMORY_CHECK_S = 0.25
LEDGER_MIN_MB = 48  # below this memory limit a process runs without its ledger
SHUTDOWN_S = 10.0  # within which a process without open requests must shut down


class RouterControl(Protocol):
    """The operations of a rehearsal on a router."""

    peak_kb: int
    """Peak memory in KiB; 0 where the router has no process of its own."""

    async def figures(self) -> list[dict[str, Any]] | None:
        """Shut down and return the rows of the router's ledgers; None where they are lost, as by a kill."""

    async def start(self, config_values: dict[str, Any]) -> None:
        """Start the router with this configuration."""

    async def terminate(self) -> None:
        """Shut the router down as SIGTERM does; returns when it has exited."""

    async def kill(self) -> None:
        """Kill the router without draining."""

    def reload(self, discovery: Address) -> None:
        """Change the address of the registry in the router's configuration."""

    def stall(self, seconds: float) -> None:
        """Suspend the router, as when the machine gives its core to other processes."""

    def state(self) -> RouterState | None:
        """Return the router's refusals so far and its current limits; None where they are not accessible."""

    def crash(self) -> str:
        """Return why the router has failed; empty if it has not."""


class InProcessRouter:
    """A daemon on the event loop of the rehearsal."""

    peak_kb = 0

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        unix_ns: Callable[[], int],
        make: Callable[..., Daemon] = Daemon,
        multi_get: bool = False,
    ) -> None:
        """`multi_get`: whether the router accepts multi-key reads."""
        self._loop, self._unix_ns, self._make, self._multi_get = loop, unix_ns, make, multi_get
        self._daemon: Daemon | None = None
        self._services: list[AccountingService] = []  # one for each start
        self._killed = False

    async def start(self, config_values: dict[str, Any]) -> None:
        """Start a daemon with a ledger of its own."""
        config = read_config(config_values, {})
        self._daemon = self._make(self._loop, config, self._unix_ns)
        if self._multi_get:
            self._daemon.enable_multi_get(MultiGetSection())
        host, starts = self._daemon.host, len(self._services)
        service = AccountingService(
            self._loop, AccountingSection(), config.name, config.settings, self._unix_ns, f"start {starts}"
        )
        self._services.append(service)
        host.ledger = service.ledger
        await service.start(host.now, host.open_requests)
        await self._daemon.start()

    async def terminate(self) -> None:
        """Drain the daemon and stop it."""
        if self._daemon is not None:
            await self._daemon.drain()
            self._stop(self._daemon)

    async def kill(self) -> None:
        """Stop the daemon without draining; its state is lost."""
        if self._daemon is not None:
            self._killed = True
            self._stop(self._daemon)

    def _stop(self, daemon: Daemon) -> None:
        daemon.stop()
        self._services[-1].stop(closing=True)
        self._daemon = None

    async def figures(self) -> list[dict[str, Any]] | None:
        """Return the rows of the ledgers of all starts, open entries included; None after a kill."""
        if self._killed:
            return None
        return [row for service in self._services for row in service.ledger.export_rows()]

    def reload(self, discovery: Address) -> None:
        """Move the daemon's watch to the new address, as a reload of its configuration does."""
        if self._daemon is not None:
            self._daemon.move_discovery(discovery)

    def stall(self, seconds: float) -> None:
        """Block the event loop, which the emulators share: answers stay unread meanwhile."""
        if isinstance(self._loop, VirtualLoop):
            self._loop.stall(seconds)

    def state(self) -> RouterState | None:
        """Return the refusals of all starts, and the limits; a daemon that is down has none."""
        refused = Counter[str]()
        for service in self._services:
            for account in service.ledger.accounts.values():
                refused.update(account.refused)
        return RouterState(refused, self._daemon.host.limits() if self._daemon is not None else {})

    def crash(self) -> str:
        """Return the first breach of a ledger; other faults in this process are logged exceptions."""
        breaches = [breach for service in self._services for breach in service.ledger.breaches]
        return f"breach: {breaches[0].kind.value}: {breaches[0].request}" if breaches else ""


class ProcessRouter:
    """A process started by the deploy file's `run`, with its limits enforced."""

    def __init__(self, folder: Path, deploy: Path, multi_get: bool = False) -> None:
        """`folder`: for this router's files; `multi_get`: whether the router accepts multi-key reads."""
        self._folder, self._root, self._multi_get = folder, deploy.resolve().parent.parent, multi_get
        self._command = str(tomllib.loads(deploy.read_text())["run"])
        self._process: subprocess.Popen[bytes] | None = None
        self._memory_task: asyncio.Task[None] | None = None
        self._config_values: dict[str, Any] = {}
        self._failure = ""
        self._killed = self._has_ledger = False
        self.peak_kb = 0

    async def figures(self) -> list[dict[str, Any]] | None:
        """Return the rows of the closing snapshot, which covers all starts."""
        if self._killed or self._failure or not self._has_ledger:
            return None
        try:
            async with asyncio.timeout(SHUTDOWN_S):
                await self._signal_and_wait(signal.SIGTERM)
            closing_snapshot = snapshot.decode(
                (self._folder / f"{self._config_values['name']}.figures.json").read_bytes(),
                self._config_values["name"],
            )
        except (OSError, TimeoutError, snapshot.SnapshotError) as error:
            self._failure = f"wrote no closing snapshot: {str(error) or type(error).__name__}"
            return None
        if closing_snapshot.breaches:
            self._failure = f"{closing_snapshot.breaches} breaches of its ledger"
        elif not closing_snapshot.closing:
            self._failure = "the last snapshot is not a closing one"
        return [msgspec.to_builtins(row) for row in closing_snapshot.figures]

    async def start(self, config_values: dict[str, Any]) -> None:
        """Write the configuration and start the process."""
        self._config_values = config_values
        self._write_config()
        sockets, memory_kb = config_values["limits"]["sockets"], config_values["limits"]["memory_mb"] << 10
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "PEBBLEPASS_"))}
        # Under a tight memory limit the ledger's few megabytes would determine whether the run passes.
        self._has_ledger = config_values["limits"]["memory_mb"] >= LEDGER_MIN_MB
        sections = f"[figures]\ndirectory = {json.dumps(str(self._folder))}\n" if self._has_ledger else ""
        sections += "[many_keys]\n" if self._multi_get else ""
        if sections:
            operator = self._folder / "operator.toml"
            operator.write_text(sections)
            environ["PEBBLEPASS_OPERATOR"] = str(operator)
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", self._command],
                cwd=self._root,
                env={**environ, "LB_CONFIG": str(self._config_path)},
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self._memory_task = asyncio.get_running_loop().create_task(
            self._enforce_memory_limit(self._process, memory_kb)
        )

    @property
    def _config_path(self) -> Path:
        return self._folder / "config.json"

    def _write_config(self) -> None:
        new_file = self._folder / "config.json.new"
        new_file.write_text(json.dumps(self._config_values))
        new_file.replace(self._config_path)

    async def _enforce_memory_limit(self, process: subprocess.Popen[bytes], memory_kb: int) -> None:
        """Check the memory of the process, and kill it above its limit, as the platform does."""
        while process.poll() is None:
            with suppress(OSError, IndexError, ValueError):
                status = Path(f"/proc/{process.pid}/status").read_text()
                used_kb = int(status.split("VmRSS:")[1].split()[0])
                self.peak_kb = max(self.peak_kb, used_kb)
                if used_kb > memory_kb:
                    self._failure = f"used {used_kb >> 10} MB of {memory_kb >> 10}"
                    process.kill()
            await asyncio.sleep(MEMORY_CHECK_S)
        self._failure = self._failure or f"ended unexpectedly with {process.returncode}: {self._last_line()}"

    def _last_line(self) -> str:
        lines = (self._folder / "log").read_text(errors="replace").splitlines()
        return lines[-1] if lines else "no log line"

    async def _signal_and_wait(self, stop_signal: signal.Signals) -> None:
        process, self._process = self._process, None
        if self._memory_task is not None:
            self._memory_task.cancel()
        if process is None or process.poll() is not None:
            return
        process.send_signal(stop_signal)
        while process.poll() is None:
            await asyncio.sleep(0.005)

    async def terminate(self) -> None:
        """Send SIGTERM and wait."""
        await self._signal_and_wait(signal.SIGTERM)

    async def kill(self) -> None:
        """Send SIGKILL and wait."""
        self._killed = True
        await self._signal_and_wait(signal.SIGKILL)

    def reload(self, discovery: Address) -> None:
        """Replace the configuration file and send SIGHUP."""
        self._config_values = {**self._config_values, "discovery": f"{discovery[0]}:{discovery[1]}"}
        self._write_config()
        if self._process is not None:
            self._process.send_signal(signal.SIGHUP)

    def stall(self, seconds: float) -> None:
        """Send SIGSTOP, and SIGCONT after this time."""
        if self._process is not None:
            self._process.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(seconds, self._process.send_signal, signal.SIGCONT)

    def state(self) -> RouterState | None:
        """Return None: a process writes its figures only when it exits."""
        return None

    def crash(self) -> str:
        """Return why the process has failed; empty if it has not."""
        return self._failure
