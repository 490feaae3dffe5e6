"""A fleet of daemon processes, connected by relays that can cut and delay their links."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from pebblepass.consensus.commands import NoAnswerError, request
from pebblepass.emulators.ports import take_port
from pebblepass.fault_injection.checkers import check_all
from pebblepass.fault_injection.history import Event, read_history
from pebblepass.fault_injection.relay import LinkRelays
from tests.processes import spawn
from tests.sockets import (
    MISS,
    ROOT,
    SETTINGS,
    WAIT_TIMEOUT_S,
    Client,
    DiscoveryPeer,
    Peer,
    entry,
    get,
    hit,
    http_answer,
)

LEASE_MS = 400
LONG_LEASE_MS = 4000  # outlasts pauses of a busy machine, for tests that need no lease to expire
QUOTA = 200.0


class Site:
    """The fleet, its emulated services, and clients that read keys that no cache server stores."""

    def __init__(
        self, folder: Path, routers: int, voters: int, variant: str, lease_ms: int = LEASE_MS
    ) -> None:
        self.folder, self.variant, self.lease_ms = folder, variant, lease_ms
        self.names = [f"r{number}" for number in range(routers)]
        self.voters = self.names[:voters]
        self.cache = Peer(lambda _, words: MISS if words[0] == b"KV.GET" else hit(b"v"))
        self.store = Peer(lambda _, words: http_answer(200, b"v"), is_http=True)
        listed = [entry(self.cache, "s1"), entry(self.store, "store", "origin")]
        self.discovery = DiscoveryPeer(listed)
        self.ports = {name: (take_port(), take_port(), take_port()) for name in self.names}
        self.relays = LinkRelays({name: ports[2] for name, ports in self.ports.items()})
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: dict[str, Path] = {}
        self.proposed: list[Event] = []
        self.environ: dict[str, str] = {}
        """Extra environment variables of processes started from now on."""
        self.inherited_descriptors: tuple[int, ...] = ()
        """File descriptors that processes started from now on inherit."""
        self.pause_s = 0.01
        """The time from a client's answer to its next read."""
        self.replaced_processes: list[subprocess.Popen[bytes]] = []
        """Processes that were still running when another one with the same name was started."""
        self.checkouts: dict[str, Path] = {}
        """Routers that run the unmodified daemon of another checkout; they write no history."""
        self._stop = threading.Event()
        self._clients: list[threading.Thread] = []

    def start(self, name: str, **fleet: Any) -> None:
        """Start a router's process."""
        listen, ops, link = self.ports[name]
        home = self.folder / name
        (home / "disk").mkdir(parents=True, exist_ok=True)
        tenants = fleet.pop("tenants", [{"name": "acme", "portion": 1.0, "quotaPerS": QUOTA}])
        config = {
            "name": name,
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{self.discovery.peer.port}",
            "ops": f"127.0.0.1:{ops}",
            "settings": {**SETTINGS, "balancers": len(self.names), "tenants": tenants},
        }
        (home / "config.json").write_bytes(msgspec.json.encode(config))
        section: dict[str, Any] = {
            "id": "trial",
            "listen": f"127.0.0.1:{link}",
            "members": {other: f"127.0.0.1:{self.relays.port(name, other)}" for other in self.names},
            "voters": self.voters,
            "lease_ms": self.lease_ms,
            "alone_after_s": 3600,
            **({"directory": str(home / "disk")} if name in self.voters else {}),
            **fleet,
        }
        members = section.pop("members")
        lines = [f"{key} = {json.dumps(value)}" for key, value in section.items()]
        lines += ["[fleet.members]", *(f"{key} = {json.dumps(value)}" for key, value in members.items())]
        (home / "operator.toml").write_text(
            "\n".join(["[log]", "lines_per_second = 1000", "[fleet]", *lines])
        )
        self.logs[name] = home / "log"
        if name in self.processes and self.processes[name].poll() is None:
            self.replaced_processes.append(self.processes[name])
        with self.logs[name].open("ab") as log:
            self.processes[name] = spawn(
                [sys.executable, "-m", self._module(name)],
                cwd=self.checkouts.get(name, ROOT),
                env={
                    **os.environ,
                    "LB_CONFIG": str(home / "config.json"),
                    "PEBBLEPASS_OPERATOR": str(home / "operator.toml"),
                    "PEBBLEPASS_HISTORY": str(home / f"history.{time.monotonic_ns()}"),
                    "PEBBLEPASS_BREAK": self.variant,
                    **self.environ,
                },
                stderr=log,
                pass_fds=self.inherited_descriptors,
            )

    def _module(self, name: str) -> str:
        return "pebblepass.daemon" if name in self.checkouts else "pebblepass.fault_injection.router"

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal; for SIGKILL and SIGTERM wait for the process to end."""
        self.processes[name].send_signal(signal_number)
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self.processes[name].wait(WAIT_TIMEOUT_S)

    def control_request(self, name: str, method: str, call: str, body: bytes = b"") -> Any:
        """Send a request to a router's control address; None if it doesn't answer."""
        try:
            return request(f"127.0.0.1:{self.ports[name][1]}", method, call, body).content
        except NoAnswerError:
            return None

    def propose(self, name: str, change: str, text: str) -> Any:
        """Propose a change and wait for the verdict."""
        self.proposed.append(Event(time.monotonic_ns(), name, "proposed", change=change))
        verdict = self.control_request(name, "POST", f"propose/{change}", text.encode())
        if verdict is not None:
            state, version = verdict["state"], verdict.get("version", 0)
            self.proposed.append(Event(time.monotonic_ns(), name, "verdict", version, change, state))
        return verdict

    def has_lease_on(self, name: str, version: int) -> bool:
        """Whether a router is ready and holds a lease on this version."""
        status = self.control_request(name, "GET", "status")
        return status is not None and status["in_force"] and status["version"] == version

    def wait_for_version(self, version: int, *names: str) -> None:
        """Wait until these routers (default: all) hold a lease on a version."""
        for name in names or self.names:
            end = time.monotonic() + WAIT_TIMEOUT_S
            while not self.has_lease_on(name, version):
                assert time.monotonic() < end, (
                    f"{name} got no lease on version {version}: {self.logs[name].read_text()}"
                )
                time.sleep(0.005)

    def wait_for_state(self, name: str, other: str, state: str) -> None:
        """Wait until a router sees another one in this state."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while (status := self.control_request(name, "GET", "status")) is None or status["routers"][other][
            "state"
        ] != state:
            assert time.monotonic() < end, f"{name} never saw {other} in state {state}: {status}"
            time.sleep(0.005)

    def start_clients(self, *names: str) -> None:
        """Start one more client at each of these routers (default: all); it reads uncached keys."""
        for name in names or self.names:
            thread = threading.Thread(target=self._read, args=(name,), daemon=True)
            thread.start()
            self._clients.append(thread)

    def _read(self, name: str) -> None:
        number = 0
        while not self._stop.is_set():
            with contextlib.suppress(OSError, AssertionError):
                client = Client(self.ports[name][0])
                try:
                    while not self._stop.is_set():
                        number += 1
                        client.request(get(f"{name}.{number}", f"{name}.{number}"))
                        self._stop.wait(self.pause_s)
                finally:
                    client.close()
            self._stop.wait(0.02)

    def history(self) -> list[Event]:
        """Return the routers' recorded events and the proposals, ordered by time."""
        found = read_history(sorted(self.folder.glob("*/history.*")))
        return sorted([*found, *self.proposed], key=lambda event: event.at)

    def close(self) -> None:
        """Stop the clients, the processes, the relays and the emulated services."""
        self._stop.set()
        for process in (*self.processes.values(), *self.replaced_processes):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(WAIT_TIMEOUT_S)
        for thread in self._clients:
            thread.join(WAIT_TIMEOUT_S)
        self.relays.close()
        for peer in (self.cache, self.store, self.discovery.peer):
            peer.close()


@contextlib.contextmanager
def fleet(
    folder: Path,
    routers: int = 3,
    voters: int = 3,
    variant: str = "",
    pause_s: float = 0.01,
    lease_ms: int = LEASE_MS,
) -> Iterator[Site]:
    """Run a formed fleet under load; at the end all checks must pass, unless a variant is run."""
    site = Site(folder, routers, voters, variant, lease_ms)
    site.pause_s = pause_s
    try:
        for name in site.names:
            site.start(name)
        site.wait_for_version(1)
        site.start_clients()
        yield site
    finally:
        site.close()
    if not variant:
        assert check_all(site.history()) == []
        for name, log in site.logs.items():
            assert "Traceback" not in log.read_text(), f"{name}: {log.read_text()}"
