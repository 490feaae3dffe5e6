"""Measures the router's CPU per request, compared with a bare relay in the same run.

    .venv/bin/python benchmarks/request_path.py [--requests 4000] [--json FILE] [--only WORDS]
    .venv/bin/python benchmarks/request_path.py --soak 200000
    .venv/bin/python benchmarks/request_path.py --sizes [--rounds 7] [--requests 2000]

The daemon runs as deployed, pinned to one core. Nodes and store answer at once in another process; the
clients run in this one. The relay (uvloop, hiredis, a hash of the key, one connection per node, no decisions)
is pinned to the same core and takes turns with the router. CPU is that of the process, read from the
scheduler.

`--sizes` measures other cases: by size of the answer, number of servers, number of client connections, and
with keys that are read once. All routers run at the same time and take turns; it prints medians and ranges.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any, cast
from zlib import crc32

import hiredis
import stand
import uvloop
from stand import KEYS, ROOT, Case, Load, Process, Site, settings

from pebblepass.decisions import ListKind, Outcome, RequestArrived, Router, Send, Server, ServersChanged
from pebblepass.decisions.interface import AttemptEnded
from pebblepass.decisions.settings import read_settings
from pebblepass.emulators.ports import take_port
from pebblepass.wire.resp import command

WARM_UP_REQUESTS = 1500

CASES = (
    Case("hits"),
    Case("hits, 1 connection", connections=1),
    Case("hits, 256 connections", connections=256),
    Case("hits, pipelined 16 deep", connections=16, depth=16),
    Case("hits, 38 nodes", nodes=38),
    Case("hits, 130 nodes", nodes=130),
    Case("hits of 64 KiB", value=64 << 10, weight=0.25),
    Case("misses through the store", kind="miss", weight=0.5),
    Case("writes", kind="write", weight=0.5),
)

# 4.9 Tbit/s at 850,000 requests per second is 720 KB per answer.
SIZED = (
    Case("hits of 1 KB"),
    Case("hits of 16 KB", value=16_000, weight=0.5),
    Case("hits of 64 KB", value=64_000, weight=0.25),
    Case("hits of 720 KB", value=720_000, weight=0.1),
    Case("hits of 4 MiB", value=4 << 20, weight=0.04),
    Case("12 servers", nodes=12),
    Case("38 servers", nodes=38),
    Case("120 servers", nodes=120),
    Case("10 connections", connections=10),
    Case("100 connections", connections=100),
    Case("1,000 connections", connections=1000, sockets=4096),
    Case("120 servers, keys ever new", nodes=120, keys=0),
    Case("720 KB, 120 servers, 100 conn.", nodes=120, connections=100, value=720_000, weight=0.1),
)


# The bare relay


def relay(listen: int, ports: list[int]) -> None:
    """Forward commands by hash of the key, and answers in order, without decisions or timers."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        node_connections: list[NodeConnection] = []

        class NodeConnection(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast(asyncio.Transport, transport)
                self.reader = hiredis.Reader()
                self.waiting: deque[asyncio.Transport] = deque()

            def data_received(self, data: bytes) -> None:
                self.reader.feed(data)
                while (answer := self.reader.gets()) is not False:
                    value = answer[0]
                    self.waiting.popleft().write(b"$%d\r\n%b\r\n" % (len(value), value))

        class ClientConnection(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast(asyncio.Transport, transport)
                self.reader = hiredis.Reader()

            def data_received(self, data: bytes) -> None:
                self.reader.feed(data)
                while (words := self.reader.gets()) is not False:
                    if len(words) == 1:
                        self.transport.write(b"+PONG\r\n")
                        continue
                    node_connection = node_connections[crc32(words[1]) % len(node_connections)]
                    node_connection.waiting.append(self.transport)
                    node_connection.transport.write(command(*words))

        for port in ports:
            _, node_connection = await loop.create_connection(NodeConnection, "127.0.0.1", port)
            node_connections.append(node_connection)
        await loop.create_server(ClientConnection, "127.0.0.1", listen, backlog=1024)
        await loop.create_future()

    uvloop.run(main())


async def start_relay(site: Site, nodes: int) -> Process:
    """Start the bare relay."""
    port = take_port()
    words = [sys.executable, __file__, "--relay", str(port), *map(str, site.ports[:nodes])]
    return await site.pinned(subprocess.Popen(words, cwd=ROOT), port)


async def measure_process(site: Site, process: Process, case: Case, requests: int) -> dict[str, float]:
    """Send requests to one process; returns CPU microseconds per request, times in ms, and counts."""
    load, nodes, cpu, start = Load(case, requests), site.node_requests(), process.cpu(), time.perf_counter()
    await load.run(process.port)
    duration, cpu = time.perf_counter() - start, process.cpu() - cpu
    times = sorted(load.times) or [0.0]
    return {
        "cpu_us": cpu / requests * 1e6,
        "a_second": requests / duration,
        **{
            f"p{share:g}_ms": times[min(int(len(times) * share / 100), len(times) - 1)] * 1e3
            for share in (50, 99, 99.9)
        },
        "refused": load.refused,
        "failed": load.failed,
        "node_attempts": (site.node_requests() - nodes) / requests,
        "peak_mb": process.memory_mb("VmHWM"),
    }


async def play(site: Site, case: Case, requests: int) -> dict[str, Any]:
    """Play one case: router and relay in turn, twice each; the run with the lower CPU counts."""
    router = await site.router(case)
    relay = await start_relay(site, case.nodes) if case.kind == "hit" else None
    count = max(int(requests * case.weight), case.connections * case.depth)
    processes = [router] if relay is None else [router, relay]
    results: dict[Process, list[dict[str, float]]] = {process: [] for process in processes}
    try:
        for process in processes:
            await measure_process(site, process, case, min(WARM_UP_REQUESTS, count))
        for _ in range(2):
            for process in processes:
                results[process].append(await measure_process(site, process, case, count))
    finally:
        for process in processes:
            process.end()
    best = {process: min(rows, key=lambda row: row["cpu_us"]) for process, rows in results.items()}
    row: dict[str, Any] = {"case": case.name, **best[router]}
    for key in ("refused", "failed"):
        row[key] = sum(part[key] for part in results[router])
    if relay is not None:
        row["relay_cpu_us"] = best[relay]["cpu_us"]
        row["ratio"] = row["cpu_us"] / row["relay_cpu_us"]
    return row


async def sizes(site: Site, requests: int, rounds: int, only: str) -> list[dict[str, Any]]:
    """Start one router per sized case, and measure them in turn, round by round."""
    cases = [case for case in SIZED if only in case.name]
    routers = [await site.router(case) for case in cases]
    counts = [max(int(requests * case.weight), case.connections * case.depth) for case in cases]
    results: list[list[dict[str, float]]] = [[] for _ in cases]
    try:
        for case, router, count in zip(cases, routers, counts, strict=True):
            await measure_process(site, router, case, count)
        for _ in range(rounds):
            for case, router, count, rows in zip(cases, routers, counts, results, strict=True):
                rows.append(await measure_process(site, router, case, count))
    finally:
        for router in routers:
            router.end()
    return [sized(case, rows) for case, rows in zip(cases, results, strict=True)]


def sized(case: Case, rows: list[dict[str, float]]) -> dict[str, Any]:
    """The median of one case, with its lowest and highest round."""
    cpu = sorted(row["cpu_us"] for row in rows)
    median = statistics.median(cpu)
    return {
        "case": case.name,
        "value": case.value,
        "cpu_us": median,
        "cpu_us_least": cpu[0],
        "cpu_us_most": cpu[-1],
        "a_second_of_a_core": 1e6 / median,
        "mb_a_second_of_a_core": case.value / median,
        "refused": sum(row["refused"] for row in rows),
        "failed": sum(row["failed"] for row in rows),
        "peak_mb": max(row["peak_mb"] for row in rows),
        "rounds": [row["cpu_us"] for row in rows],
    }


def sized_table(rows: list[dict[str, Any]]) -> str:
    """Format the rows of the sized cases as text."""
    lines = []
    for row in rows:
        spread = f"{row['cpu_us_least']:.1f} to {row['cpu_us_most']:.1f}"
        lines.append(
            f"{row['case']:>30}  {row['cpu_us']:9.1f} us ({spread})  {row['a_second_of_a_core']:8.0f} a "
            f"second and {row['mb_a_second_of_a_core']:7.1f} MB a second of a core  "
            f"peak {row['peak_mb']:.1f} MB  refused {row['refused']:g}  failed {row['failed']:g}"
        )
    return "\n".join(lines)


def decide(nodes: int, requests: int = 20_000) -> float:
    """Microseconds that the decision module alone takes for one read that hits."""
    router = Router(read_settings(settings(("public",))), 7)
    servers = [Server(f"s{number}", kind="std") for number in range(nodes)]
    router.handle(ServersChanged(ListKind.FULL, (*servers, Server("store", kind="origin"))), 0)
    best = float("inf")
    for repeat in range(3):
        start = time.perf_counter()
        for number in range(requests):
            now = (repeat * requests + number) * 100_000
            name = f"{number:016x}"
            arrived = RequestArrived(name, "fetch", now + 3 * 10**9, "public", f"k{number % KEYS}/1000")
            send = router.handle(arrived, now)[0]
            assert isinstance(send, Send)
            router.handle(AttemptEnded(name, 0, send.server, Outcome.OK, True, 1_500_000), now + 1_500_000)
        best = min(best, (time.perf_counter() - start) / requests)
    return best * 1e6


def table(rows: list[dict[str, Any]]) -> str:
    """Format the rows as text."""
    headers = (
        "case",
        "cpu_us",
        "ratio",
        "a_second",
        "p50_ms",
        "p99_ms",
        "p99.9_ms",
        "refused",
        "failed",
        "node_attempts",
        "peak_mb",
    )
    lines = ["  ".join(f"{header:>24}" if header == "case" else f"{header:>9}" for header in headers)]
    for row in rows:
        cells = [f"{row['case']:>24}"]
        cells += [f"{row[header]:9.4g}" if header in row else " " * 9 for header in headers[1:]]
        lines.append("  ".join(cells))
    return "\n".join(lines)


async def measure(site: Site, requests: int, only: str, soak: int) -> dict[str, Any]:
    """Run all cases, or the soak."""
    if soak:
        rows = [await play(site, Case("soak, hits"), soak // 2)]
        return {"rows": rows}
    rows = [await play(site, case, requests) for case in CASES if only in case.name]
    return {"rows": rows, "decide_us": {str(nodes): decide(nodes) for nodes in (8, 38, 130)}}


def main() -> None:
    """Measure, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=4_000)
    parser.add_argument("--only", default="", help="only cases whose name contains this")
    parser.add_argument("--soak", type=int, default=0, help="play only this many hits")
    parser.add_argument("--sizes", action="store_true", help="by size, servers, connections, new keys")
    parser.add_argument("--rounds", type=int, default=7, help="number of rounds of --sizes")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--relay", nargs="+", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.relay:
        relay(options.relay[0], options.relay[1:])
        return
    with stand.site() as site:
        if options.sizes:
            results = {"sizes": uvloop.run(sizes(site, options.requests, options.rounds, options.only))}
        else:
            results = uvloop.run(measure(site, options.requests, options.only, options.soak))
    print(sized_table(results["sizes"]) if options.sizes else table(results["rows"]))
    if "decide_us" in results:
        shown = ", ".join(f"{nodes} nodes {us:.1f}" for nodes, us in results["decide_us"].items())
        print(f"the decision module alone, us a read that hits: {shown}")
    if options.json:
        options.json.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
