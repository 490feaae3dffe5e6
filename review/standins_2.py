"""Stand-ins for the cases of the second review: cache servers, the origin, discovery, clients, and a router.

They follow the protocol page and use the standard library only. The router is the project's own program,
started by the `run` line of the deploy file as a process of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 11, 12
"""How a case ends. `run.sh` makes its exit codes of these; an error of Python is never taken for a result."""

WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MS = 1_000_000
SECOND = 1_000_000_000

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "callers": {"marksRetry": False},
    "ceilings": {
        "cancel": True,
        "cpuUsPerRequest": 0,
        "cpuUsPerS": 500_000,
        "dialTimeoutNs": 250 * MS,
        "idleCloseNs": 10 * SECOND,
        "maxOpen": 20_000,
        "maxRetryAfterNs": 1200 * MS,
        "mayProbe": True,
        "mostTries": 4,
        "peers": False,
        "retryAfter": False,
        "secondCopies": True,
        "streamsPerConn": 32,
    },
    "classes": [
        {
            "name": "fetch",
            "aimNs": 300 * MS,
            "giveUpNs": 1200 * MS,
            "semantics": "retryable",
            "group": "all",
            "dedupWindowNs": 5 * SECOND,
            "lateValue": 0.25,
            "streamed": False,
            "worth": 3.0,
        },
        {
            "name": "yank",
            "aimNs": 500 * MS,
            "giveUpNs": 1000 * MS,
            "semantics": "dedup",
            "group": "all",
            "dedupWindowNs": 5 * SECOND,
            "lateValue": 0.3,
            "streamed": False,
            "worth": 2.0,
        },
        {
            "name": "publish",
            "aimNs": 500 * MS,
            "giveUpNs": 1200 * MS,
            "semantics": "dedup",
            "group": "all",
            "dedupWindowNs": 2500 * MS,
            "lateValue": 0.3,
            "streamed": False,
            "worth": 8.0,
        },
    ],
    "domainType": "cache",
    "failureDomains": ["lozenets", "mladost", "druzhba"],
    "familyInfo": {"mode": "aside", "originFallMultiple": 0.0, "originFallNs": 3 * SECOND, "originKind": 1},
    "feedback": {"fields": ["recent_ms", "backlog"], "how": "answers"},
    "kinds": ["std-1c", "origin"],
    "layer": 0,
    "me": 0,
    "membershipMode": "automatic",
    "rules": {
        "askWithinNs": 10 * SECOND,
        "coldNs": 8900 * MS,
        "coldShare": 0.32,
        "drainGraceNs": 500 * MS,
        "fallMultiple": 4.0,
        "fallNs": 2 * SECOND,
        "graceToAnswerNs": 20 * MS,
    },
    "tenants": [
        {"name": "public", "portion": 0.63, "quotaPerS": 113.0},
        {"name": "municipal", "portion": 0.37, "quotaPerS": 66.0},
    ],
    "tiers": ["mirror-caches"],
    "weightKind": "none",
    "zone": "mladost",
}
"""The settings of the wire page's example, for one router."""

REPORT = b"recent_ms=1.5,backlog=0"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, one line each with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def command(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n%b" % (len(words), b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words))


def hit(value: bytes) -> bytes:
    """Encode a cache server's answer with a value."""
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$%d\r\n%b\r\n" % (len(value), value, len(REPORT), REPORT)


MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$%d\r\n%b\r\n" % (len(REPORT), REPORT)
BUSY = b"-BUSY %b\r\n" % REPORT


def http_answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    """Encode an HTTP answer; `more` are complete header lines."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read one command; None at the end of the connection."""
    head = await reader.readline()
    if not head.endswith(b"\r\n") or not head.startswith(b"*"):
        return None
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class HttpRequest:
    """A request that a stand-in has received."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_http(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Read one HTTP request; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers: dict[str, str] = {}
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpRequest(method, target, headers, body)


class Listener:
    """A stand-in that listens on a free port, and runs `serve` for each connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accepted, HOST, self.port, limit=1 << 23)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Accept no further connection."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> None:
        """Close all connections."""
        for writer in list(self.writers):
            writer.close()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{HOST}:{self.port}"


Answer = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[bytes | None]]
"""Answers a command; None: it has written the answer itself."""


class CacheServer(Listener):
    """A cache server: answers what it holds, and misses all else."""

    def __init__(self, name: str, record: Record, work_s: float = 0.002) -> None:
        super().__init__()
        self.name, self.record, self.work_s = name, record, work_s
        self.values: dict[bytes, bytes] = {}
        self.missed: dict[bytes, bytes] = {}
        """The keys of requests that missed, by the requests' ids."""
        self.got: set[str] = set()
        """The ids of the requests that it has received."""
        self.answer: Answer = self.usual_answer
        self.is_draining = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of one connection in order."""
        while (words := await read_command(reader)) is not None:
            name = words[0].upper()
            if name == b"PING":
                answer: bytes | None = b"+PONG\r\n"
            elif name == b"INFO":
                answer = b"$%d\r\n%b\r\n" % (len(REPORT), REPORT)
            elif name in (b"KV.GET", b"KV.SET"):
                text = b" ".join(words[:4]).decode()
                self.got.add(words[2].decode())
                self.record.line(f"server {self.name} got {text}")
                answer = await self.answer(words, writer)
            else:
                answer = b"-ERR unknown command\r\n"
            if answer is not None:
                writer.write(answer)
                await writer.drain()

    async def usual_answer(self, words: list[bytes], _: asyncio.StreamWriter) -> bytes:
        """Answer as a sound server does."""
        if self.is_draining:
            return BUSY
        await asyncio.sleep(self.work_s)
        value = self.values.get(words[1])
        if words[0].upper() == b"KV.SET" or value is None:
            self.missed[words[2]] = words[1]
            return MISS
        return hit(value)

    def entry(self, lifecycle: str = "up", started_ms: int = 0) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return list_entry(self, self.name, "std-1c", lifecycle, started_ms)


class Origin(Listener):
    """The origin: gives the value of every key, and stores it at the cache servers that missed."""

    def __init__(self, record: Record, caches: list[CacheServer], work_s: float = 0.01) -> None:
        super().__init__()
        self.name, self.record, self.caches, self.work_s = "origin", record, caches, work_s
        self.runs: dict[str, int] = {}
        """How often the write of each request ran."""
        self.got: set[str] = set()
        """The ids of the requests that it has received."""

    def value_of(self, key: str) -> bytes:
        """Return the value of a key."""
        return f"value of {key}".encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        while (request := await read_http(reader)) is not None:
            if request.target in ("/health/live", "/stats"):
                writer.write(http_answer(200, b"ok"))
                continue
            request_id = request.headers.get("request-id", "")
            self.got.add(request_id)
            self.record.line(f"origin got {request.method} {request.target} {request_id}")
            await self.answer(request, request_id, writer)
            await writer.drain()

    async def answer(self, request: HttpRequest, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Answer one request as a sound origin does."""
        await asyncio.sleep(self.work_s)
        key = request.target[1:]
        if request.method == "PUT":
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.line(f"origin ran {request_id}")
            for cache in self.caches:
                cache.values.pop(key.encode(), None)
            writer.write(http_answer(200, f"receipt {request_id}".encode()))
            return
        value = self.value_of(key)
        for cache in self.caches:
            if cache.missed.pop(request_id.encode(), None) is not None:
                cache.values[key.encode()] = value
        writer.write(http_answer(200, value))

    def entry(self, lifecycle: str = "up") -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return list_entry(self, self.name, "origin", lifecycle, 0)


def list_entry(peer: Listener, name: str, kind: str, lifecycle: str, started_ms: int) -> dict[str, Any]:
    """Return the entry of a server in discovery's list."""
    return {
        "instanceId": name,
        "hostPort": peer.address,
        "zone": "mladost",
        "machineType": kind,
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


class World:
    """What discovery knows: the list and its version. Several addresses may tell the same."""

    def __init__(self) -> None:
        self.generation = 40
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()

    def change(self, *entries: dict[str, Any]) -> None:
        """Add or replace entries, as one new version of the list."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self._changed_at[entry["instanceId"]] = self.generation
        self._changed.set()
        self._changed = asyncio.Event()

    def full_list(self) -> bytes:
        """Return the complete list."""
        entries = [entry for entry in self.entries.values() if entry["lifecycle"] != "removed"]
        return json.dumps({"generation": self.generation, "reset": True, "instances": entries}).encode()

    def changes(self, index: int) -> bytes:
        """Return what has changed since a version."""
        entries = [entry for name, entry in self.entries.items() if self._changed_at[name] > index]
        return json.dumps({"generation": self.generation, "reset": False, "instances": entries}).encode()

    async def wait_for_change(self, index: int, wait_s: float) -> None:
        """Wait until there is something newer than a version, or until the wait is over."""
        end = time.monotonic() + wait_s
        while self.generation <= index and (left := end - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                return


class Discovery(Listener):
    """One address of discovery. `queue_s`: how long each call waits for its turn before it is answered."""

    def __init__(self, name: str, record: Record, world: World, queue_s: float = 0.0) -> None:
        super().__init__()
        self.name, self.record, self.world, self.queue_s = name, record, world, queue_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while (request := await read_http(reader)) is not None:
            self.record.line(f"discovery {self.name} got {request.target}")
            _, _, query = request.target.partition("?")
            fields = dict(part.split("=") for part in query.split("&")) if query else {}
            if fields:
                index = int(fields["index"])
                await self.world.wait_for_change(index, min(int(fields.get("wait", "0")), 60_000) / 1000)
                await asyncio.sleep(self.queue_s)
                body = self.world.changes(index)
            else:
                await asyncio.sleep(self.queue_s)
                body = self.world.full_list()
            if writer.is_closing() or reader.at_eof():
                return
            writer.write(http_answer(200, body))
            await writer.drain()
            generation = json.loads(body)["generation"]
            self.record.line(f"discovery {self.name} answered with version {generation}")


class Client(asyncio.Protocol):
    """A client's connection. What came before a reset is still read, as with a plain socket."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._changed = asyncio.Event()
        self.has_ended = False
        """Whether the connection has ended; what was received may still be read."""

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connect to a router."""
        _, client = await asyncio.get_running_loop().create_connection(cls, HOST, port)
        return client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Store what was received."""
        self._received += data
        self._changed.set()

    def connection_lost(self, _: Exception | None) -> None:
        """Record the end."""
        self.has_ended = True
        self._changed.set()

    def send(self, data: bytes) -> None:
        """Send bytes."""
        assert self._transport is not None
        self._transport.write(data)

    async def _more(self) -> bool:
        """Wait for further bytes; return False if there are none before the end of the connection."""
        size = len(self._received)
        while len(self._received) == size and not self.has_ended:
            self._changed.clear()
            await self._changed.wait()
        return len(self._received) > size

    async def read_some(self) -> bytes:
        """Return the bytes received, at least one; empty at the end of the connection."""
        if not self._received:
            await self._more()
        data = bytes(self._received)
        self._received.clear()
        return data

    async def read_line(self) -> bytes | None:
        """Return a line without its end; None if the connection ends before it is whole."""
        while (end := self._received.find(b"\r\n")) < 0:
            if not await self._more():
                return None
        line = bytes(self._received[:end])
        del self._received[: end + 2]
        return line

    async def read_reply(self) -> bytes | None:
        """Return a value, or the line of another reply; None if the connection ends before it is whole."""
        line = await self.read_line()
        if line is None or not line.startswith(b"$") or line == b"$-1":
            return line
        size = int(line[1:])
        while len(self._received) < size + 2:
            if not await self._more():
                return None
        value = bytes(self._received[:size])
        del self._received[: size + 2]
        return value

    def close(self, with_reset: bool = False) -> None:
        """Close the connection."""
        if self._transport is not None:
            if with_reset:
                self._transport.abort()
            else:
                self._transport.close()


def get_command(
    request_id: str, key: str, cls: str = "fetch", d: int = 1200, tenant: str = "public"
) -> bytes:
    """Encode a read."""
    return command(b"KV.GET", key.encode(), request_id.encode(), f"c={cls},t={tenant},d={d}".encode())


def set_command(request_id: str, key: str, value: bytes, cls: str = "publish", d: int = 1200) -> bytes:
    """Encode a write."""
    info = f"c={cls},t=public,d={d},k={request_id}".encode()
    return command(b"KV.SET", key.encode(), request_id.encode(), info, value)


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as probe:
        port: int = probe.getsockname()[1]
        return port


class Router:
    """The project's router as a process, started by the `run` line of the deploy file."""

    def __init__(self, record: Record, discovery: str, settings: dict[str, Any] | None = None) -> None:
        self.record, self.folder = record, Path(tempfile.mkdtemp(prefix="review-"))
        self.port, self.ops = free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.config: dict[str, Any] = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "ops": f"{HOST}:{self.ops}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings or SETTINGS,
        }

    def write_config(self) -> None:
        """Replace the configuration's file."""
        path = self.folder / "config.json"
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config))
        new.rename(path)

    async def start(self, inherited: int | None = None) -> None:
        """Start the process, without waiting until it is ready."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {
            name: value for name, value in os.environ.items() if not name.startswith(("LB_", "PEBBLE"))
        }
        environ |= {
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_OPS": self.config["ops"],
            "LB_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        if inherited is not None:
            environ["LB_INHERITED_FD"] = str(inherited)
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                pass_fds=() if inherited is None else (inherited,),
            )
        self.record.line("router started")

    async def wait_ready(self) -> None:
        """Wait until it answers a PING; raises CaseError after 30 s."""
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process is None or self.process.returncode is not None:
                break
            try:
                client = await Client.connect(self.port)
                client.send(command(b"PING"))
                reply = await asyncio.wait_for(client.read_reply(), 2)
                client.close()
            except (OSError, TimeoutError):
                reply = None
            if reply == b"+PONG":
                self.record.line("router ready")
                return
            await asyncio.sleep(0.05)
        raise CaseError("the router is not ready: " + self.log())

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the router."""
        assert self.process is not None
        self.record.line(f"router gets {number.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """Return what it has written."""
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""

    async def end(self) -> None:
        """End the process if it runs, and remove its folder."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        for line in self.log().splitlines():
            self.record.line("log: " + line)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Run a case with its record, print the result, and exit with its code."""
    record = Record(folder / "record.txt")
    try:
        code = asyncio.run(_limited(case(record), limit_s))
    except Exception as error:  # noqa: BLE001 - whatever went wrong, the case has shown nothing
        record.line(f"could not run: {error!r}")
        code = NOT_RUN
    result = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
    record.line(result)
    record.close()
    print(result)
    sys.exit(code)


async def _limited(case: Awaitable[int], limit_s: float) -> int:
    return await asyncio.wait_for(case, limit_s)
