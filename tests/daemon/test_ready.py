"""How soon a started router is ready, by the state of discovery and by the list that it knows."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from importlib.util import find_spec
from typing import Any, cast

import pytest

from pebblepass.daemon.config import read_config
from pebblepass.daemon.daemon import MAX_SETTLING_S, READY_S, UPGRADE_READY_S, Daemon
from pebblepass.decisions import ListKind
from pebblepass.discovery.endpoint_list import parse_endpoint_list
from pebblepass.emulators.ports import take_port
from pebblepass.simulation.clock import VirtualLoop
from tests.sockets import ROOT, SETTINGS
from tests.virtual import run_virtual

READY_LIMIT_S = 10.0  # within which nine in ten restarted routers have to be ready
INSTANCES = [
    {
        "instanceId": "s1",
        "hostPort": "127.0.0.1:9",
        "zone": "a",
        "machineType": "std",
        "cell": 0,
        "lifecycle": "up",
        "weight": 1.0,
        "startedAtMs": 0,
    }
]


class Agent(asyncio.Protocol):
    """A discovery agent that accepts connections, but answers only from `answers_from` on."""

    def __init__(self, loop: VirtualLoop, answers_from: float) -> None:
        self._loop, self._answers_from = loop, answers_from

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self._loop.time() >= self._answers_from and b"index=3" not in data:
            body = json.dumps({"generation": 3, "reset": True, "instances": INSTANCES}).encode()
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def ready_after(mode: str, known: dict[str, Any] | None, silent_s: float, spent: float = 0.0) -> float:
    """Seconds from a router's start until it is ready, while discovery is silent for `silent_s`."""

    async def work(loop: VirtualLoop) -> float:
        started_at = loop.time()
        agent = await loop.create_server(lambda: Agent(loop, started_at + silent_s), "127.0.0.1", 0)
        port = agent.sockets[0].getsockname()[1]
        config = {
            "listen": f"127.0.0.1:{take_port()}",
            "discovery": f"127.0.0.1:{port}",
            "settings": {**SETTINGS, "membershipMode": mode},
            "known": known,
            "limits": {"cores": 0.1, "sockets": 160},
        }
        daemon = Daemon(loop, read_config(config, {}), loop.unix_ns, startup_cpu_s=spent)
        await daemon.start()
        while not daemon.is_ready() and loop.time() < started_at + 60:
            await asyncio.sleep(0.01)
        elapsed_s = loop.time() - started_at
        daemon.stop()
        agent.close()
        await asyncio.sleep(0.1)
        return elapsed_s

    return cast(float, run_virtual(work))


LAST_LIST = {"generation": 2, "reset": True, "instances": INSTANCES}


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_router_is_ready_soon_if_discovery_answers(mode: str) -> None:
    assert ready_after(mode, None, 0.0, spent=0.4) < MAX_SETTLING_S + 0.1
    assert ready_after(mode, LAST_LIST, 0.0, spent=0.4) < READY_S + MAX_SETTLING_S  # after a random delay


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_silent_discovery_does_not_delay_a_router_that_knows_a_list(mode: str) -> None:
    assert READY_S - 0.02 <= ready_after(mode, LAST_LIST, 60.0, spent=0.4) < READY_S + MAX_SETTLING_S + 0.1


@pytest.mark.parametrize("silent_s", [0.5, 1.5, 3.0, 8.0])
@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_router_without_a_list_is_ready_soon_after_discovery_answers(mode: str, silent_s: float) -> None:
    """The router must not keep waiting for the call that got no answer."""
    assert silent_s <= ready_after(mode, None, silent_s) < silent_s + READY_LIMIT_S / 2


class ImportedState:
    """An upgrade in which the process before has sent its state."""

    has_imported_state = True

    def ready(self) -> None:
        """Ignore that this process is ready."""

    def close(self) -> None:
        """Nothing to close."""


class Successor(Daemon):
    """A router that has imported the endpoint list of the process before."""

    async def _start_upgrade(self, listener: socket.socket) -> None:
        self._upgrade = cast(Any, ImportedState())
        self.host.servers_changed(parse_endpoint_list(LAST_LIST, self._clock, ListKind.CACHED))
        listener.detach()


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
@pytest.mark.parametrize("known", [None, LAST_LIST])
@pytest.mark.parametrize("silent_s", [0.0, 1.0, 60.0])
def test_successor_waits_for_its_first_list_so_that_changes_are_known_in_time(
    silent_s: float, known: dict[str, Any] | None, mode: str
) -> None:
    """A change has to be known 2 s after a successor is ready, however late discovery answers its calls."""

    async def work(loop: VirtualLoop) -> None:
        started_at = loop.time()
        agent = await loop.create_server(lambda: Agent(loop, started_at + silent_s), "127.0.0.1", 0)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            config = {
                "listen": "{}:{}".format(*listener.getsockname()),
                "discovery": "{}:{}".format(*agent.sockets[0].getsockname()),
                "settings": {**SETTINGS, "membershipMode": mode},
                "known": known,
                "limits": {"cores": 0.1, "sockets": 160},
            }
            environ = {"LB_INHERITED_FD": str(listener.fileno())}
            daemon = Successor(loop, read_config(config, environ), loop.unix_ns)
            await daemon.start()
            while not daemon.host.ready:
                await asyncio.sleep(0.01)
            ready_s = loop.time() - started_at
            await asyncio.sleep(2.0)
            lines = [line.split() for line in daemon._diagnostic_lines() if line.startswith("discovery.")]
            figures = {name: float(figure) for name, figure in lines}
            daemon.stop()
        agent.close()
        await asyncio.sleep(0.1)
        if silent_s < UPGRADE_READY_S:
            assert silent_s <= ready_s <= UPGRADE_READY_S + 0.1
            assert figures["discovery.list_generation"] == 3
            assert figures["discovery.list_received_seconds_ago"] >= 0.0
        else:
            assert UPGRADE_READY_S - 0.02 <= ready_s <= UPGRADE_READY_S + 0.1
            assert "discovery.list_received_seconds_ago" not in figures
            assert figures["discovery.open_calls"] >= 1
        assert figures["discovery.earlier_addresses_called"] == 0

    run_virtual(work)


def test_start_imports_nothing_that_only_the_operators_file_needs() -> None:
    """Imports take most of a start's CPU, which on a fraction of a core is the time until it is ready."""
    packages = (
        "consensus",
        "accounting",
        "handover",
        "multi_get",
        "daemon.multi_get",
        "operator_config",
        "peers",
        "emulators",
        "simulation",
    )
    assert [name for name in packages if find_spec(f"pebblepass.{name}") is None] == []  # all of these exist
    libraries = ("click", "rich", "numpy", "matplotlib", "sqlite3", "hypothesis")
    script = "import sys, pebblepass.daemon.process; print(*sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    loaded = set(output.stdout.split())
    assert "pebblepass.daemon.router" in loaded
    assert not loaded & {*libraries, *(f"pebblepass.{package}" for package in packages)}
