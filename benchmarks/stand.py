"""What the benchmarks share: a router as deployed, nodes and a store that answer at once, and who asks.

Nodes and store run in a process of their own, routers on a core of their own, clients where the benchmark is.
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
    """A router's settings, with these namespaces in equal portions."""
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
    namespaces: tuple[str, ...] = ("public",)
    weight: float = 1.0
    """The share of the usual number of requests that is asked."""
    keys: int = KEYS
    """Different keys that are asked for, in turn; 0: each key once."""
    sockets: int = 1024
    """The router's descriptors."""


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
            if words[0] == b"KV.MGET":
                keys = words[2:-2]
                Node.asked += len(keys)
                self._transport.write(b"*%d\r\n%b" % (len(keys), b"".join(map(self._answer, keys))))
                continue
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

    def __init__(self, process: subprocess.Popen[bytes], port: int, agent: RegistryAgent | None) -> None:
        self.process, self.port, self._agent = process, port, agent

    def cpu(self) -> float:
        """Seconds of CPU used."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def memory_mb(self, which: str = "VmRSS") -> float:
        """The memory held; with `VmHWM` the most that was."""
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
        """End it."""
        self.process.terminate()
        self.process.wait()
        if self._agent is not None:
            self._agent.close()


class Site:
    """All that one run of the benchmark starts."""

    def __init__(self, folder: Path, pipe: Connection, core: int) -> None:
        self.folder, self.pipe, self.core = folder, pipe, core
        self.ports: list[int] = pipe.recv()

    def asked(self) -> int:
        """How often nodes were asked so far."""
        self.pipe.send("asked")
        return int(self.pipe.recv())

    async def router(self, case: Case, operator: str = "", checkout: Path = ROOT) -> Process:
        """Start the daemon of a checkout against the case's nodes and the store.

        `operator`: the text of its operator's file.
        """
        places = [(f"s{number}", "std", port) for number, port in enumerate(self.ports[: case.nodes])]
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
        agent = RegistryAgent(asyncio.get_running_loop(), "r0", entries, NullObserver())
        await agent.start()
        port = take_port()
        config = self.folder / f"{port}.json"
        told = {
            "name": "r0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{agent.address[1]}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": case.sockets},
            "settings": settings(case.namespaces),
        }
        config.write_text(json.dumps(told))
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
        """Pin a process to the measured core, and wait until it is ready."""
        process = Process(started, port, agent)
        os.sched_setaffinity(started.pid, {self.core})
        await asyncio.wait_for(process.ready(), READY_S)
        return process


@contextmanager
def site() -> Iterator[Site]:
    """The nodes' process, a folder, and a core that is left to what is measured."""
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
