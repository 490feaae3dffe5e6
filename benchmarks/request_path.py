"""What a request costs the router, beside a bare relay in the same run.

    .venv/bin/python benchmarks/request_path.py [--requests 4000] [--json FILE] [--only WORDS]
    .venv/bin/python benchmarks/request_path.py --soak 200000

The daemon as deployed, pinned to one core; nodes and store that answer at once, in another process; clients
in this one. The relay (uvloop, hiredis, a hash of the key, one connection a node, no decisions) is pinned to
the same core and asked in turn with the router. CPU is the process's own, read from the scheduler.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, ClassVar, cast
from zlib import crc32

import hiredis
import httptools
import uvloop

from pebblepass.decisions import ListKind, Outcome, RequestArrived, Router, Send, Server, ServersChanged
from pebblepass.decisions.interface import AttemptEnded
from pebblepass.decisions.settings import read_settings
from pebblepass.standins.ports import take_port
from pebblepass.standins.registry import RegistryAgent
from pebblepass.standins.witness import Nobody
from pebblepass.wire.resp import command

ROOT = Path(__file__).resolve().parent.parent
KEYS, WARM, MOST_NODES = 500, 1500, 130
READY_S = 10.0
LOAD = b"latency_ms=1.5,queue=2"
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ceilings": {"mostTries": 4, "dialTimeoutNs": 500_000_000, "idleCloseNs": 10**10, "maxOpen": 5000},
    "classes": [
        {"name": "fetch", "aimNs": 10**9, "giveUpNs": 3 * 10**9, "semantics": "retryable"},
        {
            "name": "yank",
            "aimNs": 10**9,
            "giveUpNs": 3 * 10**9,
            "semantics": "dedup",
            "dedupWindowNs": 5 * 10**9,
        },
    ],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
    "kinds": ["std", "origin"],
    "membershipMode": "automatic",
    "tenants": [{"name": "public", "portion": 1.0, "quotaPerS": 10**6}],
}


@dataclass(frozen=True, slots=True)
class Case:
    """One load."""

    name: str
    nodes: int = 8
    connections: int = 64
    depth: int = 1
    """Requests of a connection that are under way at once."""
    value: int = 1000
    """Bytes of a value; a key's name tells the nodes."""
    kind: str = "hit"
    """hit, miss or write."""
    weight: float = 1.0
    """The share of the usual number of requests that is asked."""


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


# Nodes and store


class Node(asyncio.Protocol):
    """Answers at once: a key that begins with `m` misses, and its digits tell the value's length."""

    asked = 0
    values: ClassVar[dict[bytes, bytes]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        """Take what came."""
        self._reader.feed(data)
        while (words := self._reader.gets()) is not False:
            Node.asked += 1
            self._transport.write(self._answer(words[1]))

    def _answer(self, key: bytes) -> bytes:
        if key.startswith(b"m"):
            return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$22\r\n%b\r\n" % LOAD
        size = key.split(b"/")[1]
        answer = self.values.get(size)
        if answer is None:
            length = int(size)
            answer = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$22\r\n%b\r\n" % (length, bytes(length), LOAD)
            self.values[size] = answer
        return answer


class Store(asyncio.Protocol):
    """Serves every fetch, and takes every write."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Take what came."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Answer one request."""
        body = b"" if self._parser.get_method() == b"PUT" else bytes(1000)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Load: %b\r\n\r\n"
        self._transport.write(head % (len(body), LOAD) + body)


def serve(pipe: Connection) -> None:
    """The nodes' process: tells its ports, and how often nodes were asked whenever that is wanted."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        makes: list[Callable[[], asyncio.Protocol]] = [Node] * MOST_NODES + [Store]
        servers = [await loop.create_server(make, "127.0.0.1", 0) for make in makes]
        pipe.send([server.sockets[0].getsockname()[1] for server in servers])
        over = loop.create_future()

        def wanted() -> None:
            if pipe.recv() == "end":
                over.set_result(None)
            else:
                pipe.send(Node.asked)

        loop.add_reader(pipe.fileno(), wanted)
        await over

    uvloop.run(main())


# The bare relay


def relay(listen: int, ports: list[int]) -> None:
    """Pass commands on by their key's hash, and answers back in order, with no decision and no timer."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        ups: list[Up] = []

        class Up(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast(asyncio.Transport, transport)
                self.reader = hiredis.Reader()
                self.waiting: deque[asyncio.Transport] = deque()

            def data_received(self, data: bytes) -> None:
                self.reader.feed(data)
                while (answer := self.reader.gets()) is not False:
                    value = answer[0]
                    self.waiting.popleft().write(b"$%d\r\n%b\r\n" % (len(value), value))

        class Down(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast(asyncio.Transport, transport)
                self.reader = hiredis.Reader()

            def data_received(self, data: bytes) -> None:
                self.reader.feed(data)
                while (words := self.reader.gets()) is not False:
                    if len(words) == 1:
                        self.transport.write(b"+PONG\r\n")
                        continue
                    up = ups[crc32(words[1]) % len(ups)]
                    up.waiting.append(self.transport)
                    up.transport.write(command(*words))

        for port in ports:
            _, up = await loop.create_connection(Up, "127.0.0.1", port)
            ups.append(up)
        await loop.create_server(Down, "127.0.0.1", listen, backlog=1024)
        await loop.create_future()

    uvloop.run(main())


# The side that asks


class Asker(asyncio.Protocol):
    """One connection that keeps `depth` requests under way."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._reader = hiredis.Reader()
        self._asked: deque[float] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end."""
        self._load.lost(len(self._asked))

    def ask(self, count: int) -> None:
        """Ask so many, in one write."""
        words = [self._load.next() for _ in range(count)]
        data = b"".join(word for word in words if word)
        self._asked.extend(time.perf_counter() for word in words if word)
        if data:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Take what came."""
        self._reader.feed(data)
        answered = 0
        while (answer := self._reader.gets()) is not False:
            self._load.answered(answer, time.perf_counter() - self._asked.popleft())
            answered += 1
        self.ask(answered)


class Load:
    """So many requests of one case, and what became of them."""

    numbers = 0

    def __init__(self, case: Case, requests: int) -> None:
        self._case, self._left, self._open = case, requests, 0
        self.times: list[float] = []
        self.refused = self.failed = 0
        self.done = asyncio.get_running_loop().create_future()

    def next(self) -> bytes:
        """The next request; empty at the end."""
        if not self._left:
            return b""
        self._left -= 1
        self._open += 1
        Load.numbers += 1
        case, number = self._case, Load.numbers
        if case.kind == "write":
            words = (b"KV.SET", b"w/%d" % number, b"%016x" % number, b"c=yank,t=public,d=3000,k=%x" % number)
            return command(*words, bytes(case.value))
        key = b"m/%d" % number if case.kind == "miss" else b"k%d/%d" % (number % KEYS, case.value)
        return command(b"KV.GET", key, b"%016x" % number, b"c=fetch,t=public,d=3000")

    def answered(self, answer: object, took: float) -> None:
        """Take an answer."""
        self._open -= 1
        if isinstance(answer, hiredis.ReplyError):
            refused = str(answer).startswith("BUSY")
            self.refused += refused
            self.failed += not refused
        else:
            self.times.append(took)
        self._check()

    def lost(self, count: int) -> None:
        """Take the end of a connection."""
        self.failed += count
        self._open -= count
        self._check()

    def _check(self) -> None:
        if not self._left and not self._open and not self.done.done():
            self.done.set_result(None)

    async def run(self, port: int) -> None:
        """Ask all."""
        loop = asyncio.get_running_loop()
        made = [
            await loop.create_connection(lambda: Asker(self), "127.0.0.1", port)
            for _ in range(self._case.connections)
        ]
        for _, asker in made:
            asker.ask(self._case.depth)
        await self.done
        for transport, _ in made:
            transport.abort()


class Process:
    """A router or a relay on the measured core."""

    def __init__(self, process: subprocess.Popen[bytes], port: int, core: int) -> None:
        self.process, self.port = process, port
        os.sched_setaffinity(process.pid, {core})

    def cpu(self) -> float:
        """Seconds of CPU used."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def peak_mb(self) -> float:
        """The most memory held."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    async def ready(self) -> None:
        """Wait until it answers PING."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)

    def end(self) -> None:
        """End it."""
        self.process.terminate()
        self.process.wait()


class Site:
    """All that one run of the benchmark starts."""

    def __init__(self, folder: Path, pipe: Connection, core: int) -> None:
        self.folder, self.pipe, self.core = folder, pipe, core
        self.ports: list[int] = pipe.recv()

    def asked(self) -> int:
        """How often nodes were asked so far."""
        self.pipe.send("asked")
        return int(self.pipe.recv())

    async def router(self, nodes: int) -> tuple[Process, RegistryAgent]:
        """Start the daemon against so many nodes and the store."""
        places = [(f"s{number}", "std", port) for number, port in enumerate(self.ports[:nodes])]
        entries = [
            {
                "instanceId": name,
                "hostPort": f"127.0.0.1:{port}",
                "zone": "here",
                "machineType": kind,
                "cell": 0,
                "lifecycle": "up",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for name, kind, port in [*places, ("store", "origin", self.ports[-1])]
        ]
        agent = RegistryAgent(asyncio.get_running_loop(), "r0", entries, Nobody())
        await agent.start()
        port = take_port()
        config = self.folder / f"{port}.json"
        told = {
            "name": "r0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{agent.address[1]}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
        }
        config.write_text(json.dumps(told))
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "PEBBLEPASS_"))}
        environ["LB_CONFIG"] = str(config)
        started = subprocess.Popen([sys.executable, "-m", "pebblepass.daemon"], cwd=ROOT, env=environ)
        router = Process(started, port, self.core)
        await asyncio.wait_for(router.ready(), READY_S)
        return router, agent

    async def relay(self, nodes: int) -> Process:
        """Start the bare relay."""
        port = take_port()
        words = [sys.executable, __file__, "--relay", str(port), *map(str, self.ports[:nodes])]
        relay = Process(subprocess.Popen(words, cwd=ROOT), port, self.core)
        await asyncio.wait_for(relay.ready(), READY_S)
        return relay


async def ask(site: Site, process: Process, case: Case, requests: int) -> dict[str, float]:
    """Ask one process; returns its figures: microseconds of CPU a request, times in milliseconds."""
    load, nodes, cpu, begun = Load(case, requests), site.asked(), process.cpu(), time.perf_counter()
    await load.run(process.port)
    took, cpu = time.perf_counter() - begun, process.cpu() - cpu
    times = sorted(load.times) or [0.0]
    return {
        "cpu_us": cpu / requests * 1e6,
        "a_second": requests / took,
        **{
            f"p{share:g}_ms": times[min(int(len(times) * share / 100), len(times) - 1)] * 1e3
            for share in (50, 99, 99.9)
        },
        "refused": load.refused,
        "failed": load.failed,
        "node_attempts": (site.asked() - nodes) / requests,
        "peak_mb": process.peak_mb(),
    }


async def play(site: Site, case: Case, requests: int) -> dict[str, Any]:
    """Play one case: router and relay in turn, twice each; the cheaper time of each counts."""
    router, agent = await site.router(case.nodes)
    relay = await site.relay(case.nodes) if case.kind == "hit" else None
    count = max(int(requests * case.weight), case.connections * case.depth)
    both = [router] if relay is None else [router, relay]
    found: dict[Process, list[dict[str, float]]] = {process: [] for process in both}
    try:
        for process in both:
            await ask(site, process, case, min(WARM, count))
        for _ in range(2):
            for process in both:
                found[process].append(await ask(site, process, case, count))
    finally:
        for process in both:
            process.end()
        agent.close()
    best = {process: min(rows, key=lambda row: row["cpu_us"]) for process, rows in found.items()}
    row: dict[str, Any] = {"case": case.name, **best[router]}
    for key in ("refused", "failed"):
        row[key] = sum(part[key] for part in found[router])
    if relay is not None:
        row["relay_cpu_us"] = best[relay]["cpu_us"]
        row["ratio"] = row["cpu_us"] / row["relay_cpu_us"]
    return row


def decide(nodes: int, requests: int = 20_000) -> float:
    """Microseconds that the decision module takes for one read that hits, by itself."""
    router = Router(read_settings(SETTINGS), 7)
    servers = [Server(f"s{number}", kind="std") for number in range(nodes)]
    router.handle(ServersChanged(ListKind.FULL, (*servers, Server("store", kind="origin"))), 0)
    best = float("inf")
    for repeat in range(3):
        begun = time.perf_counter()
        for number in range(requests):
            now = (repeat * requests + number) * 100_000
            name = f"{number:016x}"
            arrived = RequestArrived(name, "fetch", now + 3 * 10**9, "public", f"k{number % KEYS}/1000")
            send = router.handle(arrived, now)[0]
            assert isinstance(send, Send)
            router.handle(AttemptEnded(name, 0, send.server, Outcome.OK, True, 1_500_000), now + 1_500_000)
        best = min(best, (time.perf_counter() - begun) / requests)
    return best * 1e6


def table(rows: list[dict[str, Any]]) -> str:
    """The rows as text."""
    heads = ("case", "cpu_us", "ratio", "a_second", "p50_ms", "p99_ms", "p99.9_ms", "refused", "failed")
    heads = (*heads, "node_attempts", "peak_mb")
    lines = ["  ".join(f"{head:>24}" if head == "case" else f"{head:>9}" for head in heads)]
    for row in rows:
        cells = [f"{row['case']:>24}"]
        cells += [f"{row[head]:9.4g}" if head in row else " " * 9 for head in heads[1:]]
        lines.append("  ".join(cells))
    return "\n".join(lines)


async def measure(requests: int, only: str, soak: int, folder: Path, pipe: Connection) -> dict[str, Any]:
    """Run everything."""
    core = max(os.sched_getaffinity(0))
    os.sched_setaffinity(0, (os.sched_getaffinity(0) - {core}) or {core})
    site = Site(folder, pipe, core)
    if soak:
        rows = [await play(site, Case("soak, hits"), soak // 2)]
        return {"rows": rows}
    rows = [await play(site, case, requests) for case in CASES if only in case.name]
    return {"rows": rows, "decide_us": {str(nodes): decide(nodes) for nodes in (8, 38, 130)}}


def main() -> None:
    """Measure, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=4_000)
    parser.add_argument("--only", default="", help="cases whose name holds this")
    parser.add_argument("--soak", type=int, default=0, help="so many hits instead, on a healthy fleet")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--relay", nargs="+", type=int, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.relay:
        relay(told.relay[0], told.relay[1:])
        return
    here, there = multiprocessing.Pipe()
    nodes = multiprocessing.get_context("spawn").Process(target=serve, args=(there,), daemon=True)
    nodes.start()
    try:
        with tempfile.TemporaryDirectory() as folder:
            found = uvloop.run(measure(told.requests, told.only, told.soak, Path(folder), here))
    finally:
        here.send("end")
        nodes.join(5)
    print(table(found["rows"]))
    if "decide_us" in found:
        shown = ", ".join(f"{nodes} nodes {us:.1f}" for nodes, us in found["decide_us"].items())
        print(f"the decision module alone, us a read that hits: {shown}")
    if told.json:
        told.json.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
