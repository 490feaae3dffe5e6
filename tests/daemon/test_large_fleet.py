"""A router process with 1,100 peers and 1,100 cache servers: start, memory and changes of the list."""

from __future__ import annotations

import itertools
import os
import subprocess
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, wait
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from pebblepass.emulators.ports import take_port
from tests.daemon.test_operations import read_counters
from tests.daemon.test_upgrade import Site, site
from tests.processes import end_by_sigterm
from tests.sockets import (
    SETTINGS,
    WAIT_TIMEOUT_S,
    Client,
    DiscoveryPeer,
    Peer,
    RunningRouter,
    bulk,
    entry,
    eventually,
    get,
    hit,
    is_ready,
    start_router,
)

SERVERS = PEERS = 1100
KEYS = 300
ACTIVE_CLIENT_INTERVAL_S = 0.2
READY_LIMIT_S = 10.0  # within which nine in ten restarted routers have to be ready
MEMORY_LIMIT_MB = 192  # above it the platform kills a router
CHARGED_ABOVE_KB = MEMORY_LIMIT_MB * 1024 // 2  # the platform charges for memory above half of the limit


def addresses(count: int) -> list[str]:
    return [f"10.3.{number >> 8}.{number & 255}:7946" for number in range(count)]


def servers(peer: Peer, started_ms: int = 0) -> list[dict[str, Any]]:
    return [{**entry(peer, f"s-{number:08x}"), "startedAtMs": started_ms} for number in range(SERVERS)]


def configuration(discovery: DiscoveryPeer, port: int, known: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.peer.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 1024},
        "peer_listen": "127.0.0.1:7946",
        "peers": addresses(PEERS),
        "peers_all": "10.3.255.1:7946",
        "known": {"generation": 0, "reset": True, "instances": known},
        "settings": {**SETTINGS, "balancers": PEERS},
    }


@contextmanager
def running(folder: Path, discovery: DiscoveryPeer, known: list[dict[str, Any]]) -> Iterator[RunningRouter]:
    """Run a router; checks that it is ready in time, and that it exits without an error."""
    port = take_port()
    started_at = time.monotonic()
    process = start_router(folder, configuration(discovery, port, known))
    try:
        eventually(lambda: is_ready(port) or process.poll() is not None, "the router is ready")
        elapsed_s = time.monotonic() - started_at
        print(f"ready after {elapsed_s:.2f} s")
        assert elapsed_s < READY_LIMIT_S
        yield RunningRouter(process, port, discovery, folder / "config.json")
    finally:
        log = end_by_sigterm(process, WAIT_TIMEOUT_S)
    assert process.returncode == 0, log
    assert "Traceback" not in log, log


def peak_kb(router: RunningRouter, when: str) -> int:
    """The router's peak memory so far; prints it with its CPU time so far."""
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    peak = int(status.split("VmHWM:")[1].split()[0])
    cpu_ticks = Path(f"/proc/{router.process.pid}/stat").read_text().rpartition(") ")[2].split()[11:13]
    cpu = sum(map(int, cpu_ticks)) / os.sysconf("SC_CLK_TCK")
    print(f"{when}: {router.memory_kb()} KB, {peak} at the peak, {cpu:.2f} s of CPU")
    return peak


def has_applied(discovery: DiscoveryPeer, generation: int) -> bool:
    """Whether the router has applied this list: its next call to discovery names the generation."""
    return any(f"index={generation}&".encode() in message[1] for message in list(discovery.peer.requests))


def check_answers(router: RunningRouter, expected: bytes, run: str) -> None:
    client = router.client()
    assert client.request(bulk(b"PING")) == b"+PONG"
    for number in range(KEYS):
        assert client.request(get(f"{run}{number}", f"key-{number}")) == expected
    client.close()


def test_router_with_1100_servers_and_1100_peers_stays_within_limits(tmp_path: Path) -> None:
    def answer(value: bytes) -> Peer:
        return Peer(lambda _, words: hit(value))

    first, second = answer(b"first"), answer(b"second")
    discovery = DiscoveryPeer(servers(first))
    with running(tmp_path, discovery, servers(first)) as router:
        eventually(lambda: has_applied(discovery, 1), "the full list is applied")
        peaks = [peak_kb(router, "with the full list")]
        check_answers(router, b"first", "a")
        peaks.append(peak_kb(router, f"after {KEYS} keys"))
        assert len({message[1] for message in first.requests}) == KEYS

        started_at = time.monotonic()
        discovery.change(*servers(second, started_ms=int(time.time() * 1000) - 60_000))
        eventually(lambda: has_applied(discovery, 2), "the change of all servers is applied")
        print(f"a change of all {SERVERS} servers applied after {time.monotonic() - started_at:.3f} s")
        seen = len(first.requests)
        check_answers(router, b"second", "b")
        peaks.append(peak_kb(router, f"after the change and {KEYS} keys"))
        assert len(first.requests) == seen  # nothing goes to an address that is no longer listed
        assert max(peaks) < CHARGED_ABOVE_KB
    for peer in (first, second, discovery.peer):
        peer.close()


def start_beside_active_clients(upgrade: Site, clients: list[Client]) -> tuple[subprocess.Popen[str], int]:
    """Start a process while the clients keep sending: a connection that is idle for 2 s would be closed."""
    with ThreadPoolExecutor(max_workers=1) as executor:
        started = executor.submit(upgrade.start)
        for turn in itertools.count():
            for number, client in enumerate(clients):
                assert client.request(get(f"during{turn}-{number}", f"key-{number}")) == b"v"
            if wait([started], timeout=ACTIVE_CLIENT_INTERVAL_S).done:
                break
        return started.result()


def test_upgrade_with_1100_servers_keeps_them_all(tmp_path: Path) -> None:
    """The successor gets the list from the old process: discovery only returns errors meanwhile."""
    peer = Peer(lambda _, words: hit(b"v"))
    with site(tmp_path, {f"s-{number:08x}": peer for number in range(SERVERS)}) as upgrade:
        old, _ = upgrade.start()
        clients = [upgrade.client() for _ in range(20)]
        for number, client in enumerate(clients):
            assert client.request(get(f"a{number}", f"key-{number}")) == b"v"
        upgrade.discovery.invalid_reply = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        new, ops = start_beside_active_clients(upgrade, clients)
        upgrade.end(old)
        for number, client in enumerate(clients):
            assert client.request(get(f"b{number}", f"key-{number}")) == b"v"
        assert read_counters(ops)["cluster_size"] == SERVERS
        assert new.poll() is None
