"""What the ledger costs a router: CPU a request with figures off and on, in one run, pair by pair.

    .venv/bin/python benchmarks/figures.py [--pairs 60] [--requests 2000] [--breaches 50]

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
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from pebblepass.daemon.loop import DaemonLoop
from pebblepass.decisions.settings import read_settings
from pebblepass.figures.service import FiguresService
from pebblepass.operator import FiguresSection
from pebblepass.standins.clients import Answer, ClientPool, Request
from pebblepass.standins.core import CoreFacts
from pebblepass.standins.effects import Effects
from pebblepass.standins.node import MirrorNode, NodeSetup, Works
from pebblepass.standins.ports import take_port
from pebblepass.standins.registry import RegistryAgent
from pebblepass.standins.witness import Nobody

ROOT = Path(__file__).resolve().parent.parent
NODES, KEYS, CLIENTS, WARM = 8, 500, 64, 2000
READY_S = 10.0
NAMESPACES = [f"ns{number}" for number in range(50)]

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


@dataclass(eq=False)
class Router:
    """A router's process, and what it is reached by."""

    process: subprocess.Popen[bytes]
    agent: RegistryAgent
    pool: ClientPool
    figures_port: int

    def cpu(self) -> float:
        """The seconds of CPU that it has used; its one thread does all."""
        told = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        return int(told.split()[0]) / 1e9

    def memory_mb(self) -> float:
        """What it holds in memory."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) / 1024

    def stop(self) -> None:
        """End it."""
        self.pool.close()
        self.process.terminate()
        self.process.wait()
        self.agent.close()


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

    async def router(self, folder: Path, figures: bool) -> Router:
        """Start a router as deployed, pinned to the core that all routers of this run share."""
        agent = RegistryAgent(self.loop, "r0", self.entries, Nobody())
        await agent.start()
        port, listen = take_port(), take_port()
        config = folder / f"config-{port}.json"
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
        await asyncio.wait_for(self._ready(port), READY_S)
        return Router(process, agent, ClientPool(self.loop, ("127.0.0.1", port)), listen)

    async def batch(self, router: Router, requests: int) -> tuple[float, int]:
        """Ask so often; returns the router's CPU in seconds and how many were served."""
        before = router.cpu()
        served = await self._ask(router.pool, requests)
        return router.cpu() - before, served

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

    async def timed(self, router: Router, requests: int) -> float:
        """The time in which 99% of the requests are answered, in seconds."""
        times: list[float] = []
        await self._ask(router.pool, requests * 5, times)
        return sorted(times)[len(times) * 99 // 100]

    async def _ask(self, pool: ClientPool, requests: int, times: list[float] | None = None) -> int:
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
            begun = time.perf_counter()
            told = partial(answered, begun)
            pool.ask(Request(words, f"{key} {name} ".encode(), lambda: None, told))

        def answered(begun: float, answer: Answer, _: int) -> None:
            nonlocal served, ended
            if times is not None:
                times.append(time.perf_counter() - begun)
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


async def measure_cost(site: Site, folder: Path, pairs: int, requests: int) -> None:
    """Two routers that differ in their figures alone, asked in turn, batch by batch."""
    off, on = await site.router(folder, False), await site.router(folder, True)
    both = (off, on)
    try:
        for router in both:
            await site.batch(router, WARM)
        cpu, served, ratios = {off: 0.0, on: 0.0}, {off: 0, on: 0}, []
        for number in range(pairs):
            took: dict[Router, float] = {}
            # Which goes first changes from pair to pair: the machine's speed drifts.
            for router in both if number % 2 == 0 else both[::-1]:
                took[router], good = await site.batch(router, requests)
                cpu[router] += took[router]
                served[router] += good
            ratios.append(took[on] / took[off])
        total = pairs * requests
        low, middle, high = statistics.quantiles(ratios, n=4)
        for name, router in (("off", off), ("on", on)):
            print(
                f"figures {name}: {cpu[router] / total * 1e6:.1f} us of CPU a request, "
                f"{router.memory_mb():.1f} MB, served {served[router] / total:.4f}"
            )
        print(
            f"on/off over {pairs} pairs of {requests}: of the sums {cpu[on] / cpu[off]:.3f}, median "
            f"{middle:.3f}, half of the pairs from {low:.3f} to {high:.3f}"
        )
        await measure_scrapes(site, on, requests)
    finally:
        for router in both:
            router.stop()


async def measure_scrapes(site: Site, router: Router, requests: int) -> None:
    """How long a scrape takes under full load, and what it does to the requests beside it."""
    alone = await site.timed(router, requests)
    took: list[float] = []

    async def scrape() -> None:
        while True:
            begun = time.perf_counter()
            reader, writer = await asyncio.open_connection("127.0.0.1", router.figures_port)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            await reader.read(-1)
            writer.close()
            took.append(time.perf_counter() - begun)
            await asyncio.sleep(0.1)

    scraping = asyncio.create_task(scrape())
    beside = await site.timed(router, requests)
    scraping.cancel()
    print(
        f"{len(took)} scrapes, ten a second at full load: median {statistics.median(took) * 1e3:.1f} ms, "
        f"longest {max(took) * 1e3:.1f} ms; p99 of the requests {alone * 1e3:.1f} ms without, "
        f"{beside * 1e3:.1f} ms with them"
    )


async def measure_breaches(breaches: int) -> None:
    """Real time from a breach to each way of telling, sockets and all; found in a move, or by the audit."""
    loop = asyncio.get_running_loop()
    told: dict[str, list[float]] = {way: [] for way in ("stream", "webhook", "page")}
    arrived: dict[str, asyncio.Future[None]] = {}

    def came(way: str) -> None:
        if way in arrived and not arrived[way].done():
            arrived[way].set_result(None)

    async def take_post(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        came("webhook")
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()

    hook = await asyncio.start_server(take_post, "127.0.0.1", 0)
    port = hook.sockets[0].getsockname()[1]
    section = FiguresSection(listen=f"127.0.0.1:{take_port()}", webhook=f"http://127.0.0.1:{port}/")
    service = FiguresService(loop, section, "r0", read_settings(SETTINGS), time.time_ns, "a")
    open_requests: set[str] = set()
    address = await service.start(time.monotonic_ns, lambda: open_requests)
    assert address is not None
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET /breaches HTTP/1.1\r\nHost: r\r\n\r\n")
    await reader.readuntil(b": open\n\n")

    async def stream() -> None:
        while True:
            await reader.readuntil(b"\n\n")
            came("stream")

    async def page(number: int) -> None:
        while b'"breaches":%d,' % number not in await _get(address, "/figures"):
            pass
        came("page")

    streaming = asyncio.create_task(stream())
    for kind in ("in a move", "by the audit"):
        for number in range(breaches):
            arrived.update({way: loop.create_future() for way in told})
            # At any time between two audits, as requests are forgotten.
            await asyncio.sleep(random.random() * 0.05)
            at = loop.time()
            if kind == "in a move":
                service.ledger.serve(f"{kind} {number}", time.monotonic_ns(), 0)
            else:
                open_requests.add(f"{kind} {number}")
            polling = asyncio.create_task(page(service.ledger.breach_count + (kind == "by the audit")))
            for way, future in arrived.items():
                future.add_done_callback(lambda _, way=way, at=at: told[way].append(loop.time() - at))
            await asyncio.gather(*arrived.values())
            await polling
        for way, times in told.items():
            print(
                f"a breach found {kind}, told by the {way}: median {statistics.median(times) * 1e3:.1f} ms, "
                f"longest {max(times) * 1e3:.1f} ms of {len(times)}"
            )
            times.clear()
    streaming.cancel()
    writer.close()
    service.stop(closing=False)
    hook.close()


async def _get(address: tuple[str, int], page: str) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET %b HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n" % page.encode())
    body = await reader.read(-1)
    writer.close()
    return body


async def measure(pairs: int, requests: int, breaches: int) -> None:
    """Run all and print it."""
    site = Site(asyncio.get_running_loop())
    # A core each: on one that is shared, what the others leave in its caches is counted too.
    os.sched_setaffinity(0, (os.sched_getaffinity(0) - {site.core}) or {site.core})
    await measure_breaches(breaches)
    await site.start()
    with tempfile.TemporaryDirectory() as folder:
        await measure_cost(site, Path(folder), pairs, requests)


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--pairs", type=int, default=60)
    parser.add_argument("--requests", type=int, default=2_000, help="in each batch")
    parser.add_argument("--breaches", type=int, default=50)
    told = parser.parse_args()
    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        runner.run(measure(told.pairs, told.requests, told.breaches))


if __name__ == "__main__":
    main()
