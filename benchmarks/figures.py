"""What the ledger costs a router: CPU a request with figures off and on, in one run, pair by pair.

    .venv/bin/python benchmarks/figures.py [--pairs 7] [--requests 20000]

A router as deployed, in its own process, against stand-in nodes and clients in this one; all reads hit.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from pebblepass.daemon.loop import DaemonLoop
from pebblepass.standins.clients import Answer, ClientPool, Request
from pebblepass.standins.core import CoreFacts
from pebblepass.standins.effects import Effects
from pebblepass.standins.node import MirrorNode, NodeSetup, Works
from pebblepass.standins.registry import RegistryAgent
from pebblepass.standins.witness import Nobody

ROOT = Path(__file__).resolve().parent.parent
NODES, KEYS, CLIENTS, WARM = 8, 500, 64, 2000
READY_S = 10.0
NAMESPACES = [f"ns{number}" for number in range(50)]
TICK = os.sysconf("SC_CLK_TCK")

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ceilings": {"mostTries": 4, "dialTimeoutNs": 500_000_000, "idleCloseNs": 10**10, "maxOpen": 5000},
    "classes": [
        {"name": "fetch", "aimNs": 10**9, "giveUpNs": 3 * 10**9, "semantics": "retryable"},
    ],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
    "kinds": ["std", "origin"],
    "membershipMode": "automatic",
    "tenants": [{"name": name, "portion": 1 / len(NAMESPACES)} for name in NAMESPACES],
}


class Site:
    """Nodes, a registry, and routers started one after another against them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.nodes: list[MirrorNode] = []
        self.entries: list[dict[str, Any]] = []
        self.number = 0
        self.core = max(os.sched_getaffinity(0))

    async def start(self) -> None:
        """Start the nodes, each with a copy of every key."""
        for place in range(NODES):
            setup = NodeSetup(
                id=f"s{place}",
                core=CoreFacts(speed=1.0, slots=64, queue=1000, shared=False),
                memory=KEYS,
                report_period=0.1,
                works={"fetch": Works(0.0005, 0.0005)},
                miss_work=1.0,
                error_rate=0.0,
                value_bytes=(1000, 1000),
                delays={"here": 0.0},
            )
            effects = Effects({}, lambda _: None)
            node = MirrorNode(self.loop, setup, random.Random(place), effects, Nobody(), lambda _, __: None)
            await node.start()
            for key in range(KEYS):
                node.keep(f"k{key}")
            host, port = node.station.address("here")
            self.nodes.append(node)
            self.entries.append(
                {
                    "instanceId": setup.id,
                    "hostPort": f"{host}:{port}",
                    "zone": "here",
                    "machineType": "std",
                    "cell": 0,
                    "lifecycle": "up",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
            )

    async def run(self, folder: Path, figures: bool, requests: int) -> dict[str, float]:
        """One router from its start to its end; returns its CPU a request and its memory."""
        agent = RegistryAgent(self.loop, "r0", self.entries, Nobody())
        await agent.start()
        free = [await self.loop.create_server(asyncio.Protocol, "127.0.0.1", 0) for _ in range(2)]
        port, listen = (server.sockets[0].getsockname()[1] for server in free)
        for server in free:
            server.close()
            await server.wait_closed()
        config = folder / "config.json"
        told = {
            "name": "r0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{agent.address[1]}",
            "settings": SETTINGS,
        }
        config.write_text(json.dumps(told))
        environ = {**os.environ, "LB_CONFIG": str(config)}
        environ.pop("PEBBLEPASS_OPERATOR", None)
        if figures:
            operator = folder / "operator.toml"
            operator.write_text(f'[figures]\nlisten = "127.0.0.1:{listen}"\n')
            environ["PEBBLEPASS_OPERATOR"] = str(operator)
        process = subprocess.Popen([sys.executable, "-m", "pebblepass.daemon"], cwd=ROOT, env=environ)
        os.sched_setaffinity(process.pid, {self.core})
        pool = ClientPool(self.loop, ("127.0.0.1", port))
        try:
            await asyncio.wait_for(self._ready(port), READY_S)
            await self._ask(pool, WARM)
            before, begun = _cpu(process.pid), time.perf_counter()
            served = await self._ask(pool, requests)
            took = time.perf_counter() - begun
            cpu = _cpu(process.pid) - before
            status = Path(f"/proc/{process.pid}/status").read_text()
            memory = int(status.split("VmRSS:")[1].split()[0]) / 1024
        finally:
            pool.close()
            process.terminate()
            process.wait()
            agent.close()
        return {
            "cpu_us": cpu / requests * 1e6,
            "a_second": requests / took,
            "memory_mb": memory,
            "served": served / requests,
        }

    async def _ready(self, port: int) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)

    async def _ask(self, pool: ClientPool, requests: int) -> int:
        """Ask so often, over as many connections as there are clients, each as soon as it is answered."""
        done = self.loop.create_future()
        served = asked = ended = 0

        def ask() -> None:
            nonlocal asked
            asked += 1
            self.number += 1
            key, name = f"k{asked % KEYS}", f"{self.number:016x}"
            info = f"c=fetch,t={NAMESPACES[asked % len(NAMESPACES)]},d=3000"
            words = (b"KV.GET", key.encode(), name.encode(), info.encode())
            pool.ask(Request(words, f"{key} {name} ".encode(), lambda: None, answered))

        def answered(answer: Answer, _: int) -> None:
            nonlocal served, ended
            served += answer is Answer.SERVED
            ended += 1
            if asked < requests:
                ask()
            elif ended == requests:
                done.set_result(None)

        for _ in range(min(CLIENTS, requests)):
            ask()
        await done
        return served


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


async def measure(pairs: int, requests: int) -> None:
    """Run the pairs and print them."""
    site = Site(asyncio.get_running_loop())
    # A core each: on one that is shared, what the others leave in its caches is counted too.
    os.sched_setaffinity(0, (os.sched_getaffinity(0) - {site.core}) or {site.core})
    await site.start()
    ratios, rows = [], []
    with tempfile.TemporaryDirectory() as folder:
        for number in range(pairs):
            # Which goes first changes from pair to pair: the machine's speed drifts.
            order = (False, True) if number % 2 == 0 else (True, False)
            found = {on: await site.run(Path(folder), on, requests) for on in order}
            off, on = found[False], found[True]
            ratios.append(on["cpu_us"] / off["cpu_us"])
            rows.append((off, on))
            print(
                f"pair {number}: off {off['cpu_us']:.1f} us, on {on['cpu_us']:.1f} us a request, "
                f"ratio {ratios[-1]:.3f}; memory {off['memory_mb']:.1f} and {on['memory_mb']:.1f} MB; "
                f"served {off['served']:.4f} and {on['served']:.4f}"
            )
    print(
        f"ratio on/off: median {statistics.median(ratios):.3f}, from {min(ratios):.3f} to {max(ratios):.3f}"
    )


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--pairs", type=int, default=7)
    parser.add_argument("--requests", type=int, default=20_000)
    told = parser.parse_args()
    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        runner.run(measure(told.pairs, told.requests))


if __name__ == "__main__":
    main()
