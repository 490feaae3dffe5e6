"""Shared parts of the benchmarks: a router as deployed, nodes and a store that answer at once, and clients.

Nodes and store run in a separate process, routers on a separate core, and clients in the benchmark's process.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, ClassVar, cast

import hiredis
import httptools
import uvloop

from pebblepass.emulators.observer import NullObserver
from pebblepass.emulators.ports import take_port
from pebblepass.emulators.registry import RegistryAgent
from pebblepass.wire.resp import command

ROOT = Path(__file__).resolve().parent.parent
KEYS, MOST_NODES = 500, 130
READY_S = 10.0
LOAD = b"latency_ms=1.5,queue=2"


def settings(namespaces: tuple[str, ...]) -> dict[str, Any]:
    """A router's settings, with equal portions for these namespaces."""
    return {
        "balancers": 1,
        "ceilings": {
            "mostTries": 4,
            "dialTimeoutNs": 500_000_000,
            "idleCloseNs": 10**10,
            "maxOpen": 5000,
            "streamsPerConn": 32,
            "secondCopies": True,
        },
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
        "tenants": [
            {"name": name, "portion": 1 / len(namespaces), "quotaPerS": 10**6} for name in namespaces
        ],
    }


@dataclass(frozen=True, slots=True)
class Case:
    """The parameters of one load."""

    name: str
    nodes: int = 8
    connections: int = 64
    depth: int = 1
    """Requests in flight per connection."""
    value: int = 1000
    """Bytes of a value; the nodes read this from the key's name."""
    kind: str = "hit"
    """The kind of request: hit, miss or write."""
    namespaces: tuple[str, ...] = ("public",)
    weight: float = 1.0
    """Number of requests sent, as a fraction of the usual number."""
    keys: int = KEYS
    """Number of different keys, requested in turn; 0: each key is requested once."""
    sockets: int = 1024
    """The router's descriptor limit."""


# Nodes and store


class Node(asyncio.Protocol):
    """A cache server that answers at once.

    A key that begins with `m` misses; for any other, the number after the slash is the value's length.
    """

    requests = 0
    values: ClassVar[dict[bytes, bytes]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        """Parse the data and handle what is complete."""
        self._reader.feed(data)
        while (words := self._reader.gets()) is not False:
            if words[0] == b"KV.MGET":
                keys = words[2:-2]
                Node.requests += len(keys)
                self._transport.write(b"*%d\r\n%b" % (len(keys), b"".join(map(self._answer, keys))))
                continue
            Node.requests += 1
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
    """A store that serves every fetch and accepts every write."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse the data and handle what is complete."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Answer one request."""
        body = b"" if self._parser.get_method() == b"PUT" else bytes(1000)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Load: %b\r\n\r\n"
        self._transport.write(head % (len(body), LOAD) + body)


def serve(pipe: Connection) -> None:
    """Run the nodes and the store; sends their ports, and on request the number of requests to nodes."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        factories: list[Callable[[], asyncio.Protocol]] = [Node] * MOST_NODES + [Store]
        servers = [await loop.create_server(factory, "127.0.0.1", 0) for factory in factories]
        pipe.send([server.sockets[0].getsockname()[1] for server in servers])
        finished = loop.create_future()

        def handle_message() -> None:
            if pipe.recv() == "end":
                finished.set_result(None)
            else:
                pipe.send(Node.requests)

        loop.add_reader(pipe.fileno(), handle_message)
        await finished

    uvloop.run(main())


# Clients


class LoadConnection(asyncio.Protocol):
    """One client connection that keeps `depth` requests in flight."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._reader = hiredis.Reader()
        self._sent_at: deque[float] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the unanswered requests as failed."""
        self._load.lost(len(self._sent_at))

    def send_requests(self, count: int) -> None:
        """Send this many requests in one write."""
        words = [self._load.next() for _ in range(count)]
        data = b"".join(word for word in words if word)
        self._sent_at.extend(time.perf_counter() for word in words if word)
        if data:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse the data and handle what is complete."""
        self._reader.feed(data)
        answered = 0
        while (answer := self._reader.gets()) is not False:
            self._load.answered(answer, time.perf_counter() - self._sent_at.popleft())
            answered += 1
        self.send_requests(answered)


class Load:
    """A number of requests of one case, and their results."""

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
        name = case.namespaces[number % len(case.namespaces)].encode()
        if case.kind == "write":
            words = (
                b"KV.SET",
                b"w/%d" % number,
                b"%016x" % number,
                b"c=yank,t=%b,d=3000,k=%x" % (name, number),
            )
            return command(*words, bytes(case.value))
        which = number % case.keys if case.keys else number
        key = b"m/%d" % number if case.kind == "miss" else b"k%d/%d" % (which, case.value)
        return command(b"KV.GET", key, b"%016x" % number, b"c=fetch,t=%b,d=3000" % name)

    def answered(self, answer: object, duration: float) -> None:
        """Record an answer."""
        self._open -= 1
        if isinstance(answer, hiredis.ReplyError):
            refused = str(answer).startswith("BUSY")
            self.refused += refused
            self.failed += not refused
        else:
            self.times.append(duration)
        self._check()

    def lost(self, count: int) -> None:
        """Record requests that a closed connection left unanswered."""
        self.failed += count
        self._open -= count
        self._check()

    def _check(self) -> None:
        if not self._left and not self._open and not self.done.done():
            self.done.set_result(None)

    async def run(self, port: int) -> None:
        """Send all requests, and wait for their answers."""
        loop = asyncio.get_running_loop()
        connections = [
            await loop.create_connection(lambda: LoadConnection(self), "127.0.0.1", port)
            for _ in range(self._case.connections)
        ]
        for _, connection in connections:
            connection.send_requests(self._case.depth)
        await self.done
        for transport, _ in connections:
            transport.abort()


class Process:
    """A router or a relay on the measured core."""

    def __init__(self, process: subprocess.Popen[bytes], port: int, agent: RegistryAgent | None) -> None:
        self.process, self.port, self._agent = process, port, agent

    def cpu(self) -> float:
        """CPU seconds used so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def memory_mb(self, which: str = "VmRSS") -> float:
        """Resident memory in MB; with `VmHWM` its peak."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split(f"{which}:")[1].split()[0]) / 1024

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
        """Terminate the process, and close its discovery agent."""
        self.process.terminate()
        self.process.wait()
        if self._agent is not None:
            self._agent.close()


class Site:
    """The environment of one benchmark run."""

    def __init__(self, folder: Path, pipe: Connection, core: int) -> None:
        self.folder, self.pipe, self.core = folder, pipe, core
        self.ports: list[int] = pipe.recv()

    def node_requests(self) -> int:
        """The number of requests that nodes have received so far."""
        self.pipe.send("asked")
        return int(self.pipe.recv())

    async def router(self, case: Case, operator: str = "", checkout: Path = ROOT) -> Process:
        """Start the daemon of a checkout against the case's nodes and the store.

        `operator`: the text of its operator configuration.
        """
        endpoints = [(f"s{number}", "std", port) for number, port in enumerate(self.ports[: case.nodes])]
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
            for name, kind, port in [*endpoints, ("store", "origin", self.ports[-1])]
        ]
        agent = RegistryAgent(asyncio.get_running_loop(), "r0", entries, NullObserver())
        await agent.start()
        port = take_port()
        config = self.folder / f"{port}.json"
        content = {
            "name": "r0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{agent.address[1]}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": case.sockets},
            "settings": settings(case.namespaces),
        }
        config.write_text(json.dumps(content))
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "PEBBLEPASS_"))}
        environ["LB_CONFIG"] = str(config)
        if operator:
            file = config.with_suffix(".toml")
            file.write_text(operator)
            environ["PEBBLEPASS_OPERATOR"] = str(file)
        started = subprocess.Popen([sys.executable, "-m", "pebblepass.daemon"], cwd=checkout, env=environ)
        return await self.pinned(started, port, agent)

    async def pinned(
        self, started: subprocess.Popen[bytes], port: int, agent: RegistryAgent | None = None
    ) -> Process:
        """Pin a process to the measured core, and wait until it answers."""
        process = Process(started, port, agent)
        os.sched_setaffinity(started.pid, {self.core})
        await asyncio.wait_for(process.ready(), READY_S)
        return process


@contextmanager
def site() -> Iterator[Site]:
    """Start the nodes' process, make a folder, and reserve a core for the measured processes."""
    core = max(os.sched_getaffinity(0))
    os.sched_setaffinity(0, (os.sched_getaffinity(0) - {core}) or {core})
    here, there = multiprocessing.Pipe()
    nodes = multiprocessing.get_context("spawn").Process(target=serve, args=(there,), daemon=True)
    nodes.start()
    try:
        with tempfile.TemporaryDirectory() as folder:
            yield Site(Path(folder), here, core)
    finally:
        here.send("end")
        nodes.join(5)
