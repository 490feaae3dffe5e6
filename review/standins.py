"""Stand-ins for the platform, cache servers, the store, discovery and clients, and the record of a run.

Everything uses loopback addresses and the real clock. The router is started by the `run` line of the deploy
file, in a process of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 10, 2  # exit codes; run.sh turns BROKEN into 1, which a Python error has too
MS, SECOND = 10**6, 10**9  # in nanoseconds
READY_TIMEOUT_S = 30.0  # of a router
READ_LIMIT = 16 << 20  # bytes that a stream buffers

Handler = Callable[..., "bytes | Awaitable[bytes | None] | None"]


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, one line each with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._started_at = time.monotonic()
        self.line(f"TROUBLE={int(TROUBLE)}")

    def line(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def get(key: str, request_id: str, cls: str, deadline_ms: int) -> bytes:
    info = f"c={cls},t=acme,d={deadline_ms}"
    return command(b"KV.GET", key.encode(), request_id.encode(), info.encode())


def put(key: str, request_id: str, cls: str, deadline_ms: int, value: bytes) -> bytes:
    info = f"c={cls},t=acme,d={deadline_ms},k=key-{request_id}"
    return command(b"KV.SET", key.encode(), request_id.encode(), info.encode(), value)


def hit(value: bytes) -> bytes:
    """A cache server's answer with a value and its load report."""
    return b"*3\r\n%b%b%b" % (bulk(value), bulk(b"hit"), bulk(b"latency_ms=1.5,queue=0"))


MISS = b"*3\r\n$-1\r\n%b%b" % (bulk(b"miss"), bulk(b"latency_ms=1.5,queue=0"))


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read one command, an array of bulk strings; None at the end of the stream."""
    header = await reader.readline()
    if not header.endswith(b"\r\n"):
        return None
    words = []
    for _ in range(int(header[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one reply: a bulk string with its header, or a line. Raises EOFError if it does not come whole."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError("the connection ended before the reply was whole")
    if not line.startswith(b"$") or line.startswith(b"$-1"):
        return line.strip()
    try:
        return line + await reader.readexactly(int(line[1:]) + 2)
    except asyncio.IncompleteReadError as error:
        raise EOFError(f"the connection ended within a value, after {len(error.partial)} bytes") from None


async def _answer(handler: Handler, *arguments: Any) -> bytes | None:
    found = handler(*arguments)
    return await found if inspect.isawaitable(found) else found


class Listener:
    """A server at a free port of the loopback interface; a subclass reads and answers its requests."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accepted, HOST, 0, limit=READ_LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass  # the peer has gone, or the case is over
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()


class CacheServer(Listener):
    """A cache server. The handler gets the words of a command and returns the answer's bytes.

    A handler that takes a second argument gets the connection's writer too; None means that it has answered.
    """

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self._handler = handler
        self._takes_writer = len(inspect.signature(handler).parameters) > 1

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (words := await read_command(reader)) is not None:
            arguments = (words, writer) if self._takes_writer else (words,)
            answer = await _answer(self._handler, *arguments)
            if answer is not None:
                writer.write(answer)
                await writer.drain()


class Store(Listener):
    """The store. The handler gets method, path, headers and body, and returns the body of a 200 answer."""

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self._handler = handler

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while request := await read_http(reader):
            body = await _answer(self._handler, *request)
            if body is not None:
                writer.write(http_answer(body))
                await writer.drain()


async def read_http(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes] | None:
    """Read one HTTP request: its method, target, headers (names in lower case) and body."""
    line = (await reader.readline()).decode()
    if not line:
        return None
    method, target, _ = line.split(" ", 2)
    headers = {}
    while (header := (await reader.readline()).decode().strip()) != "":
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def http_answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Discovery(Listener):
    """The agent that pushes lists: it answers at once with the full list, and a watch after its wait."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        super().__init__()
        self.instances = instances

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while request := await read_http(reader):
            target = request[1]
            is_watch = "wait=" in target
            if is_watch:
                await asyncio.sleep(int(target.split("wait=")[1]) / 1000)
            body = {"generation": 1, "reset": not is_watch, "instances": [] if is_watch else self.instances}
            writer.write(http_answer(json.dumps(body).encode()))
            await writer.drain()


def instance(name: str, port: int, kind: str = "std") -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": "a",
        "machineType": kind,
        "cell": 0,
        "lifecycle": "up",
        "weight": 1.0,
        "startedAtMs": 0,
    }


def settings(classes: list[dict[str, Any]], **ceilings: Any) -> dict[str, Any]:
    """The settings of a small deployment with one router, cache servers of kind `std` and a store."""
    return {
        "balancers": 1,
        "ceilings": {
            "mostTries": 4,
            "retryAfter": False,
            "secondCopies": True,
            "dialTimeoutNs": 250 * MS,
            "idleCloseNs": 10 * SECOND,
            "maxOpen": 20_000,
            **ceilings,
        },
        "classes": classes,
        "familyInfo": {"mode": "aside", "originKind": 1},
        "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
        "kinds": ["std", "origin"],
        "membershipMode": "automatic",
        "rules": {"drainGraceNs": 500 * MS, "graceToAnswerNs": 20 * MS},
        "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 1000.0}],
    }


class Router:
    """A router process, started by the deploy file's `run` line."""

    def __init__(self, record: Record, folder: str, config: dict[str, Any]) -> None:
        self.record, self.port, self.ops = record, free_port(), free_port()
        config = {**config, "name": "n1", "seed": "8c1f30d27a5be964"}
        config |= {"listen": f"{HOST}:{self.port}", "ops": f"{HOST}:{self.ops}"}
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environ |= {"LB_CONFIG": str(path), "TMPDIR": folder}
        self.log = Path(folder) / "router.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=log, stderr=log
            )

    async def ready(self) -> None:
        """Wait until it answers PING; raises CaseError if it does not."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and self.process.poll() is None:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command(b"PING"))
                reply = await read_reply(reader)
                writer.close()
                if reply == b"+PONG":
                    self.record.line(f"router {self.process.pid} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"the router did not become ready: {self.log.read_text()[-2000:]}")

    def send_signal(self, number: signal.Signals) -> None:
        self.record.line(f"platform: {number.name} to the router")
        self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Its resident memory in MiB."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(status.split("VmRSS:")[1].split()[0]) / 1024
        except (OSError, IndexError):
            return 0.0  # it has ended

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        text = self.log.read_text(errors="replace")
        for line in text.splitlines()[-40:]:
            self.record.line(f"router log: {line}")


def run_case(case: Callable[[Record, str], Awaitable[int]], folder: Path, limit_s: float = 110.0) -> int:
    """Run a case with a record and a temporary folder; return its exit code."""
    record = Record(folder)
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(asyncio.wait_for(case(record, temporary), limit_s))
    except Exception as error:  # noqa: BLE001  # whatever it is, the case has not run
        record.line(f"the case could not run: {type(error).__name__}: {error}")
    record.line(f"exit {code}")
    record.close()
    return code
