"""Plays bad clients against a real router beside ordinary ones, and observes its memory and their answers.

python -m tests.overload.run MEMORY_MB DESCRIPTORS PICTURE[+PICTURE...]:CLIENTS [SECONDS]
"""

from __future__ import annotations

import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from pebblepass.connection_limits.descriptors import allocate, own_descriptors
from tests.processes import kill_process, spawn
from tests.sockets import ROOT, Client, Peer, RunningRouter, get, hit, http_answer, put, running_router

ORDINARY_CLIENTS = 6
ORDINARY_TIMEOUT_MS = 1000
REQUEST_INTERVAL_S = 0.05
ANSWER_SLACK_S = 0.5  # after a request's time, in which its final answer only earns nothing
OBSERVER_PERIOD_S = 0.01
LONG_VALUE = bytes(64_000)
STREAMED_VALUE = bytes(300_000)
LATE_S = 1.0
SPARE_CONNECTIONS = 8  # of the limit on clients, for the ordinary ones


@dataclass
class Observation:
    """What a run has shown."""

    limit_kb: int
    peak_kb: int = 0
    """Peak of the resident memory, as the kernel records it."""
    answers: Counter[str] = field(default_factory=Counter)
    """Ordinary requests by how they ended."""
    slowest_s: float = 0.0
    observer_delay_s: float = 0.0
    """By how much this process was late at most."""

    @property
    def is_within_memory(self) -> bool:
        """Whether the router stayed under its limit."""
        return 0 < self.peak_kb <= self.limit_kb


class OrdinaryClient:
    """Sends small requests, one after another, a quarter of them writes."""

    def __init__(self, number: int, port: int, observation: Observation) -> None:
        self._number, self._port, self._observation = number, port, observation
        self._client: Client | None = None

    def run(self, ends_at: float) -> None:
        """Send requests until `ends_at`."""
        count = 0
        while time.monotonic() < ends_at:
            count += 1
            started_at = time.monotonic()
            self._observation.answers[self._request(count)] += 1
            elapsed_s = time.monotonic() - started_at
            self._observation.slowest_s = max(self._observation.slowest_s, elapsed_s)
            time.sleep(REQUEST_INTERVAL_S)

    def _request(self, count: int) -> str:
        name, started_at = f"o{self._number}.{count}", time.monotonic()
        is_write = count % 4 == 0
        data = put(name, b"v" * 100, d=ORDINARY_TIMEOUT_MS) if is_write else get(name, d=ORDINARY_TIMEOUT_MS)
        try:
            if self._client is None:
                self._client = Client(self._port)
            reply = self._client.request(data)
        except OSError:
            reply = b""
        if not reply:
            self._client = None
            return "cut off"
        allowed_s = ORDINARY_TIMEOUT_MS / 1000 + ANSWER_SLACK_S + self._observation.observer_delay_s
        if time.monotonic() - started_at > allowed_s:
            return "late"
        if reply.startswith(b"-"):
            return reply.split()[0].decode()
        return "served"


def serve_cache(connection: socket.socket, words: list[bytes]) -> bytes:
    """Answer a read; the key tells how long the value is, and whether the answer is late."""
    if words[1].startswith(b"long"):
        return hit(LONG_VALUE)
    if words[1] == b"stream":
        return hit(STREAMED_VALUE)
    if words[1] == b"late":
        time.sleep(LATE_S)
    return hit(words[2])


def serve_store(connection: socket.socket, message: list[bytes]) -> bytes:
    """Answer a request to the store; long writes are answered late."""
    if len(message[3]) > 1000:
        time.sleep(LATE_S)
    return http_answer(200, b"v")


def start_bad_clients(picture: str, port: int, clients: int, seconds: float) -> subprocess.Popen[str]:
    """Start a process with bad clients of one picture."""
    module = "tests.overload.bad_clients"
    arguments = [picture, str(port), str(clients), str(seconds)]
    return spawn([sys.executable, "-m", module, *arguments], cwd=ROOT)


def peak_memory_kb(process_id: int) -> int:
    """Return the peak of a process's resident memory, as the kernel records it."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


def client_limit(descriptors: int) -> int:
    """Return how many bad clients are served beside the ordinary ones with this many descriptors."""
    return allocate(descriptors, own_descriptors(0, inherited=False)).served - SPARE_CONNECTIONS


def run_overload(
    folder: Path, memory_mb: int, descriptors: int, pictures: dict[str, int], seconds: float = 4.0
) -> Observation:
    """Play these pictures, each with so many clients, and return what was observed."""
    observation = Observation(limit_kb=memory_mb << 10)
    caches = {name: Peer(serve_cache) for name in "abcd"}
    store = Peer(serve_store, is_http=True)
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
    with running_router(folder, caches, store, limits=limits) as router:
        bad = [start_bad_clients(name, router.port, clients, seconds) for name, clients in pictures.items()]
        try:
            _observe(router, observation, seconds)
        finally:
            for process in bad:
                kill_process(process)
    return observation


def _observe(router: RunningRouter, observation: Observation, seconds: float) -> None:
    ends_at = time.monotonic() + seconds
    clients = [OrdinaryClient(number, router.port, observation) for number in range(ORDINARY_CLIENTS)]
    threads = [threading.Thread(target=client.run, args=(ends_at,)) for client in clients]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        due = time.monotonic() + OBSERVER_PERIOD_S
        time.sleep(OBSERVER_PERIOD_S)
        observation.observer_delay_s = max(observation.observer_delay_s, time.monotonic() - due)
    observation.peak_kb = peak_memory_kb(router.process.pid)


def allow_descriptors() -> None:
    """Raise this process's limit on descriptors to the hard one, for hundreds of clients."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def main(arguments: list[str]) -> int:
    """Play what the arguments say, and print what was observed."""
    memory_mb, descriptors, plan, *rest = arguments
    names, _, count = plan.partition(":")
    pictures = names.split("+") if names else []
    clients = int(count) if count else client_limit(int(descriptors))
    each = {name: clients // len(pictures) for name in pictures}
    with tempfile.TemporaryDirectory(prefix="overload-") as folder:
        seconds = float(rest[0]) if rest else 4.0
        seen = run_overload(Path(folder), int(memory_mb), int(descriptors), each, seconds)
    print(
        f"{memory_mb} MB, {descriptors} descriptors, {each}: peak {seen.peak_kb / 1024:.1f} MB,"
        f" {dict(seen.answers)}, slowest {seen.slowest_s:.2f} s"
    )
    return 0 if seen.is_within_memory else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
