"""Scripted servers on loopback sockets, and the router as a process of its own."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, Protocol

from pebblepass.emulators.ports import take_port
from tests.processes import end_by_sigterm, spawn

ROOT = Path(__file__).resolve().parent.parent

WAIT_TIMEOUT_S = 20.0  # far longer than anything takes, so that a busy machine fails no test

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ceilings": {
        "mostTries": 4,
        "retryAfter": True,
        "maxRetryAfterNs": 10**9,
        "dialTimeoutNs": 500_000_000,
        "idleCloseNs": 10**10,
        "maxOpen": 1000,
    },
    "classes": [
        {"name": "get", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "retryable"},
        {"name": "put", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "dedup", "dedupWindowNs": 10**9},
        {"name": "once", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "fragile"},
    ],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
    "kinds": ["std", "origin"],
    "membershipMode": "automatic",
    "tenants": [{"name": "acme", "portion": 1.0}],
}

LONG_DEADLINE_CLASSES = [{**cls, "aimNs": 30 * 10**9, "giveUpNs": 60 * 10**9} for cls in SETTINGS["classes"]]
"""The same classes with deadlines that even a busy machine meets, for tests that are not about deadlines."""
LONG_DEADLINE_MS = 60_000


def eventually(check: Callable[[], Any], description: str) -> Any:
    """Wait until `check` returns something true, and return it; `description` is for the failure."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        if found := check():
            return found
        time.sleep(0.01)
    raise AssertionError(f"timed out waiting for: {description}")


def bulk(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def get(request_id: str, key: str = "k", d: int = 5000, more: str = "") -> bytes:
    return bulk(b"KV.GET", key.encode(), request_id.encode(), f"c=get,t=acme,d={d}{more}".encode())


def put(request_id: str, value: bytes = b"v", cls: str = "put", d: int = 5000) -> bytes:
    return bulk(b"KV.SET", b"k", request_id.encode(), f"c={cls},t=acme,d={d},k=5c".encode(), value)


def hit(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$22\r\nlatency_ms=1.5,queue=2\r\n" % (len(value), value)


MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def http_answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = "".join(f"{line}\r\n" for line in headers)
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


Handler = Callable[[socket.socket, list[bytes]], bytes | None]


class Peer:
    """A server on loopback, with a thread for each connection and a handler that answers each message.

    The handler receives the connection and the words of the message: those of a command, or the method,
    target, headers and body of an HTTP request. It returns the answer, or None if it has sent one itself.
    """

    def __init__(self, handler: Handler, is_http: bool = False, port: int = 0) -> None:
        self.handler, self._http = handler, is_http
        self.requests: list[list[bytes]] = []
        self.connection_count = 0
        self._listener = socket.create_server(("127.0.0.1", port))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connection_count += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        try:
            while message := (self._http_message(stream) if self._http else self._command(stream)):
                self.requests.append(message)
                answer = self.handler(connection, message)
                if answer is not None:
                    connection.sendall(answer)
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            connection.close()

    @staticmethod
    def _command(stream: Any) -> list[bytes]:
        head = stream.readline()
        words = []
        for _ in range(int(head[1:] or b"0") if head else 0):
            size = int(stream.readline()[1:])
            words.append(stream.read(size + 2)[:-2])
        return words

    @staticmethod
    def _http_message(stream: Any) -> list[bytes]:
        method, _, target = stream.readline().partition(b" ")
        head = b""
        while (line := stream.readline()) not in (b"\r\n", b""):
            head += line
        length = [
            int(line.split(b":")[1]) for line in head.splitlines() if line.startswith(b"Content-Length")
        ]
        body = stream.read(length[0]) if length else b""
        return [method, target.split(b" ")[0], head, body] if method else []

    def close(self) -> None:
        with suppress(OSError):  # it was closed before
            self._listener.shutdown(socket.SHUT_RDWR)  # else the accepting thread takes one more connection
        self._listener.close()


def reset(connection: socket.socket) -> bytes:
    """Reset a connection, as happens when its process dies; usable as the result of a handler."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    connection.shutdown(socket.SHUT_RD)
    raise OSError("reset")


class ListedServer(Protocol):
    """A server that an endpoint list can name."""

    port: int

    def close(self) -> None:
        """Stop listening."""


def entry(peer: ListedServer, name: str, kind: str = "std", lifecycle: str = "up") -> dict[str, Any]:
    """Return the entry of a server in discovery's endpoint list."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{peer.port}",
        "zone": "a",
        "machineType": kind,
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class DiscoveryPeer:
    """The agent of discovery: it serves an endpoint list, and sends each later change to all watches."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self.generation, self.instances = 1, instances
        self.changed = threading.Condition()
        self.invalid_reply: bytes | None = None
        """Sent instead of every reply, if set."""
        self.peer = Peer(self._answer, is_http=True)

    def change(self, *entries: dict[str, Any]) -> None:
        """Make these the entries of the next change."""
        with self.changed:
            self.generation += 1
            self.instances = list(entries)
            self.changed.notify_all()

    def close(self) -> None:
        """Stop listening."""
        self.peer.close()

    def _answer(self, _: socket.socket, message: list[bytes]) -> bytes:
        target = message[1].decode()
        if self.invalid_reply is not None:
            return self.invalid_reply
        with self.changed:
            is_full = "index=" not in target
            if not is_full:
                index = int(target.split("index=")[1].split("&")[0])
                self.changed.wait_for(lambda: self.generation != index, timeout=2)
                entries = self.instances if self.generation != index else []
            body = {
                "generation": self.generation,
                "reset": is_full,
                "instances": self.instances if is_full else entries,
            }
        return http_answer(200, json.dumps(body).encode())


class Client:
    """A client's connection, with a read timeout far longer than anything takes."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_S)
        self.stream = self.socket.makefile("rb")

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def read_reply(self) -> bytes:
        """Return the bytes of a bulk string, or the line of another reply; b"" at the end of the stream."""
        line: bytes = self.stream.readline()
        if line.startswith(b"$"):
            size = int(line[1:])
            value: bytes = self.stream.read(size + 2)
            return value[:-2] if len(value) == size + 2 else b"cut off after %d" % len(value)
        return line.strip()

    def request(self, data: bytes) -> bytes:
        """Send a command and return its reply."""
        self.send(data)
        return self.read_reply()

    def at_end(self) -> bool:
        """Return whether the router closes the connection without sending anything else."""
        try:
            return self.stream.read(1) == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self.stream.close()
        self.socket.close()


class RunningRouter:
    """A router in its own process, with its discovery and its configuration file."""

    def __init__(
        self, process: subprocess.Popen[str], port: int, discovery: DiscoveryPeer, config: Path
    ) -> None:
        self.process, self.port, self.discovery, self.config = process, port, discovery, config

    def client(self) -> Client:
        return Client(self.port)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def memory_kb(self) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


def start_router(
    folder: Path,
    config: Mapping[str, Any],
    inherited: tuple[int, ...] = (),
    checkout: Path = ROOT,
    module: str = "pebblepass.daemon",
    **environ: str,
) -> subprocess.Popen[str]:
    """Start the router of a checkout.

    `inherited`: the descriptors that it inherits; `module`: its module, or that of a broken variant;
    `environ`: additional environment variables.
    """
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    return spawn(
        [sys.executable, "-m", module],
        cwd=checkout,
        env={**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder), **environ},
        stderr=subprocess.PIPE,
        text=True,
        pass_fds=inherited,
    )


def is_ready(port: int) -> bool:
    """Return whether a router listens at this port and is ready."""
    try:
        client = Client(port)
    except OSError:
        return False
    try:
        return client.request(bulk(b"PING")) == b"+PONG"
    except OSError:
        return False
    finally:
        client.close()


@contextmanager
def running_router(
    folder: Path,
    caches: Mapping[str, ListedServer],
    origin: ListedServer | None = None,
    limits: dict[str, float] | None = None,
    settings: dict[str, Any] | None = None,
    known: list[dict[str, Any]] | None = None,
    discovery_reply: bytes | None = None,
    ops: int | None = None,
) -> Iterator[RunningRouter]:
    """Start a router with these servers; check at the end that it exited with 0 and logged no exception.

    `known`: the cached endpoint list; `discovery_reply`: sent by discovery instead of a list; `ops`: the port
    of the control address.
    """
    entries = [entry(peer, name) for name, peer in caches.items()]
    if origin is not None:
        entries.append(entry(origin, "origin", "origin"))
    discovery = DiscoveryPeer(entries)
    discovery.invalid_reply = discovery_reply
    port = take_port()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.peer.port}",
        "seed": "8c1f30d27a5be964",
        "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": known or []},
        "settings": {**SETTINGS, **(settings or {})},
        "ops": None if ops is None else f"127.0.0.1:{ops}",
    }
    process = start_router(folder, config)
    try:
        eventually(lambda: is_ready(port) or process.poll() is not None, "the router is ready")
        yield RunningRouter(process, port, discovery, folder / "config.json")
    finally:
        log = end_by_sigterm(process, WAIT_TIMEOUT_S)
        for peer in [*caches.values(), discovery.peer, *([origin] if origin else [])]:
            peer.close()
    assert process.returncode == 0, log
    assert "Traceback" not in log, log
