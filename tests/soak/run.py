"""Runs a soak: real router processes with scripted servers, drawn from a seed.

    python -m tests.soak.run FIRST_SEED LAST_SEED

Prints a line for each seed and the broken rules, and exits with 1 if there are any.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pebblepass.emulators.ports import take_port
from tests.overload.bad_clients import ID_PREFIX
from tests.overload.run import peak_memory_kb, serve_cache, start_bad_clients
from tests.processes import kill_process
from tests.soak import faults
from tests.soak.faults import Fault
from tests.soak.history import Attempt, History, Request, broken_rules
from tests.soak.slow_discovery import (
    AFTER_WAIT_S,
    RELOAD_DEADLINE_S,
    SECOND_RELOAD_AFTER_S,
    SILENCE_DEADLINE_S,
    Disruption,
    SlowDiscovery,
    make_slow_plan,
)
from tests.sockets import (
    WAIT_TIMEOUT_S,
    DiscoveryPeer,
    Peer,
    entry,
    eventually,
    get,
    hit,
    http_answer,
    is_ready,
    put,
    start_router,
)

DESCRIPTORS = 256
MEMORY_MB = 80
LEAST_MEMORY_MB = 32
BAD_CLIENT_DESCRIPTORS = 1024  # in runs with bad clients, as many as hold more than the least memory
BAD_CLIENT_LOAD_S = 1.5
BAD_CLIENTS = {
    "half-write": 300,
    "slow-write": 300,
    "unread-pipeline": 200,
    "unread-answer": 300,
    "slow-read": 200,
    "many-fields": 200,
    "error-flood": 12,
    "name-flood": 2,
}
"""How many clients a run has that stop, write or read slowly, don't read or flood."""
FAULT_LOAD_S = {Fault.VALUES_WITHOUT_LENGTH: 3.0}  # longer load, for the fault to tell
FAULT_MEMORY_MB = {Fault.VALUES_WITHOUT_LENGTH: 64}
LONGEST_DEADLINE_S = 2.0
COUNTED_DEADLINE_S = {Fault.LONG_CLASS: 3.0}  # the platform waits for no more
KILL_DELAY_S = 0.7  # after the deadline that counts, from SIGTERM; the platform kills no earlier
RECEIVE_TIMEOUT_S = 5.0  # of a client, longer than any request takes
OBSERVER_PERIOD_S = 0.01
DRAINING_SERVER = "drains"
DRAIN_OBSERVED_S = 1.0  # for how long requests go on after a drain has to be known


@dataclass(frozen=True)
class Plan:
    """What a seed draws."""

    clients: int
    crowd: int
    """Connections that send nothing; 0 in runs without a crowd."""
    load_s: float
    """Time from the first request to SIGTERM."""
    signal_gaps_s: tuple[float, float]
    """Between SIGTERM, SIGHUP and the second SIGTERM."""
    hang_share: float
    """Fraction of the requests to the first cache server that it never answers."""
    late_s: float
    """Maximum delay of the second cache server."""
    bad_clients: str = ""
    """One of BAD_CLIENTS, or empty in runs without them."""
    fault: Fault = Fault.NONE
    """What the servers do besides."""

    @property
    def descriptors(self) -> int:
        """The router's limit."""
        return BAD_CLIENT_DESCRIPTORS if self.bad_clients else DESCRIPTORS

    @property
    def memory_mb(self) -> int:
        """The router's limit."""
        return LEAST_MEMORY_MB if self.bad_clients else FAULT_MEMORY_MB.get(self.fault, MEMORY_MB)

    @property
    def gap_s(self) -> float:
        """Time between two requests of a batch; 0: they are sent at once."""
        return faults.PATIENT_GAP_S if self.fault is Fault.LONG_CLASS else 0.0

    @property
    def kill_after_s(self) -> float:
        """Time from SIGTERM to the platform's earliest SIGKILL."""
        return COUNTED_DEADLINE_S.get(self.fault, LONGEST_DEADLINE_S) + KILL_DELAY_S


def make_plan(seed: int) -> Plan:
    """Draw a plan."""
    rng, kinds = random.Random(seed), ("", *BAD_CLIENTS)
    return Plan(
        clients=rng.randint(4, 12),
        crowd=rng.choice((0, 0, 200, 300)),
        load_s=rng.uniform(0.3, 1.0),
        signal_gaps_s=(rng.uniform(0, 0.3), rng.uniform(0, 0.3)),
        hang_share=rng.choice((0.0, 0.05, 0.3)),
        late_s=rng.choice((0.0, 0.02, 0.3)),
        bad_clients="" if faults.fault_of(seed) is not Fault.NONE else kinds[seed % len(kinds)],
        fault=faults.fault_of(seed),
    )


class ReplyStream:
    """Splits received bytes into replies; keeps those that were received before a reset."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection, self._buffer = connection, b""

    def next_reply(self) -> bytes | None:
        """Return the value or the line of the next reply; None at the end of the stream."""
        while (reply := self._take()) is None:
            try:
                data = self._connection.recv(1 << 16)
            except OSError:
                return None
            if not data:
                return None
            self._buffer += data
        return reply

    def _take(self) -> bytes | None:
        line, end, rest = self._buffer.partition(b"\r\n")
        if not end:
            return None
        if not line.startswith(b"$") or line == b"$-1":
            self._buffer = rest
            return line
        size = int(line[1:])
        if len(rest) < size + 2:
            return None
        self._buffer = rest[size + 2 :]
        return rest[:size]


class Soak:
    """One run."""

    def __init__(self, seed: int, folder: Path, plan: Plan, module: str) -> None:
        """`module`: the router's; a broken variant in tests of the soak."""
        self.seed, self.plan, self._folder, self._module = seed, plan, folder, module
        self.history = History(
            descriptor_limit=plan.descriptors,
            memory_limit_kb=plan.memory_mb << 10,
            has_bad_clients=bool(plan.bad_clients),
        )
        self._lock, self._stopped = threading.Lock(), threading.Event()
        self._rng = random.Random(seed)
        self._port = 0
        self._config: dict[str, Any] = {}

    def run(self) -> History:
        """Run it, and return what was observed."""
        caches = {"hangs": Peer(self._hang_or_answer), "late": Peer(self._answer_late)}
        origin = Peer(self._serve_origin, is_http=True)
        is_slow = self.plan.fault is Fault.SLOW_DISCOVERY
        if is_slow:
            caches[DRAINING_SERVER] = Peer(self._answer_while_draining)
        listed = [*(entry(peer, name) for name, peer in caches.items()), entry(origin, "origin", "origin")]
        discovery = SlowDiscovery(listed) if is_slow else DiscoveryPeer(listed)
        process = self._start(discovery.peers[0] if isinstance(discovery, SlowDiscovery) else discovery.peer)
        try:
            eventually(lambda: is_ready(self._port) or process.poll() is not None, "the router is ready")
            self._load_and_end(process, discovery)
        finally:
            self._stopped.set()
            kill_process(process)
            discovery.close()
            for peer in (*caches.values(), origin):
                peer.close()
        self.history.log = (self._folder / "log").read_text()
        figures = self._folder / "n1.figures.json"
        if figures.exists():
            self.history.figures = json.loads(figures.read_text())["figures"]
        return self.history

    def _start(self, discovery: Peer) -> subprocess.Popen[str]:
        self._port = take_port()
        operator = self._folder / "operator.toml"
        operator.write_text(f'[figures]\ndirectory = "{self._folder}"\nsnapshot_every_s = 1\n')
        self._config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.plan.memory_mb,
                "sockets": self.plan.descriptors,
            },
            "settings": faults.settings(self.plan.fault),
        }
        return start_router(
            self._folder, self._config, module=self._module, PEBBLEPASS_OPERATOR=str(operator)
        )

    def _load_and_end(self, process: subprocess.Popen[str], discovery: DiscoveryPeer | SlowDiscovery) -> None:
        log = threading.Thread(target=self._copy_log, args=(process,))
        workers = [threading.Thread(target=self._run_client, args=(n,)) for n in range(self.plan.clients)]
        workers.append(threading.Thread(target=self._observe, args=(process,)))
        for thread in (log, *workers):
            thread.start()
        bad_clients = self._start_bad_clients()
        load_s = self.plan.load_s + FAULT_LOAD_S.get(self.plan.fault, 0.0)
        self._stopped.wait(load_s + BAD_CLIENT_LOAD_S * len(bad_clients))
        if isinstance(discovery, SlowDiscovery):
            self._disrupt(process, discovery)
        crowd = self._connect_crowd()
        terminated_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        for gap_s, number in zip(self.plan.signal_gaps_s, (signal.SIGHUP, signal.SIGTERM), strict=True):
            self._stopped.wait(gap_s)
            process.send_signal(number)
        try:
            process.wait(terminated_at + self.plan.kill_after_s - time.monotonic())
        except subprocess.TimeoutExpired:
            self.history.was_killed = True
            process.kill()
        self.history.exit_code = process.wait(WAIT_TIMEOUT_S)
        self._stopped.set()
        for thread in (*workers, log):
            thread.join(WAIT_TIMEOUT_S)
        for connection in crowd:
            connection.close()
        for started in bad_clients:
            kill_process(started)

    def _disrupt(self, process: subprocess.Popen[str], discovery: SlowDiscovery) -> None:
        """Let a cache server drain while discovery is slow, and wait until the router has to know it."""
        plan = make_slow_plan(self.seed)
        discovery.response_time_s = plan.response_time_s
        if plan.disruption is Disruption.SILENT_WATCH:
            discovery.silence()
        started_at = time.monotonic()
        discovery.change(DRAINING_SERVER, plan.lifecycle)
        if plan.disruption is Disruption.SILENT_WATCH:
            watch_started_at, wait_s = discovery.last_watch
            known_by = max(started_at + SILENCE_DEADLINE_S, watch_started_at + wait_s + AFTER_WAIT_S)
        else:
            known_by = started_at + RELOAD_DEADLINE_S
            if plan.disruption is Disruption.RELOAD_AND_LOST_CALL:
                discovery.lose_next_call()
            self._reload(process, discovery, 0)
            if plan.disruption is Disruption.TWO_RELOADS:
                self._stopped.wait(SECOND_RELOAD_AFTER_S)
                self._reload(process, discovery, 1)
        self.history.drain_known_by = known_by
        self._stopped.wait(known_by + DRAIN_OBSERVED_S - time.monotonic())

    def _reload(self, process: subprocess.Popen[str], discovery: SlowDiscovery, old: int) -> None:
        """Move discovery from an address to the next one."""
        self._config["discovery"] = f"127.0.0.1:{discovery.peers[old + 1].port}"
        new_file = self._folder / "config.new"
        new_file.write_text(json.dumps(self._config))
        new_file.rename(self._folder / "config.json")
        process.send_signal(signal.SIGHUP)
        discovery.move_away(old)

    def _start_bad_clients(self) -> list[subprocess.Popen[str]]:
        name = self.plan.bad_clients
        if not name:
            return []
        return [start_bad_clients(name, self._port, BAD_CLIENTS[name], WAIT_TIMEOUT_S)]

    def _copy_log(self, process: subprocess.Popen[str]) -> None:
        assert process.stderr is not None
        with (self._folder / "log").open("w") as file:
            for line in process.stderr:
                file.write(line)

    def _observe(self, process: subprocess.Popen[str]) -> None:
        """Count the process's descriptors, and measure how late this process runs."""
        while not self._stopped.is_set():
            due = time.monotonic() + OBSERVER_PERIOD_S
            self._stopped.wait(OBSERVER_PERIOD_S)
            delay_s = time.monotonic() - due
            with suppress(OSError):
                count = len(os.listdir(f"/proc/{process.pid}/fd"))
                self.history.max_descriptors = max(self.history.max_descriptors, count)
            with suppress(OSError, IndexError):
                self.history.peak_memory_kb = peak_memory_kb(process.pid)
            self.history.observer_delay_s = max(self.history.observer_delay_s, delay_s)

    def _connect_crowd(self) -> list[socket.socket]:
        crowd = []
        for _ in range(self.plan.crowd):
            with suppress(OSError):
                crowd.append(socket.create_connection(("127.0.0.1", self._port), RECEIVE_TIMEOUT_S))
        return crowd

    # Servers

    def _record_attempt(self, request_id: bytes, server: str = "") -> float:
        """Record an attempt; return a random number from 0 to 1 for what its server does."""
        with self._lock:
            self.history.attempts.append(Attempt(request_id.decode(), time.monotonic(), server))
            return self._rng.random()

    def _hang_or_answer(self, connection: socket.socket, words: list[bytes]) -> bytes | None:
        if is_bad(words[2]):
            return serve_cache(connection, words)
        draw = self._record_attempt(words[2])
        if words[2].startswith(b"fault"):
            return self._answer_fault(connection, words[2], draw)
        return None if draw < self.plan.hang_share else hit(words[2])

    def _answer_late(self, connection: socket.socket, words: list[bytes]) -> bytes:
        if is_bad(words[2]):
            return serve_cache(connection, words)
        draw = self._record_attempt(words[2])
        if words[2].startswith(b"fault"):
            return self._answer_fault(connection, words[2], draw)
        self._stopped.wait(draw * self.plan.late_s)
        return hit(words[2])

    def _answer_while_draining(self, _: socket.socket, words: list[bytes]) -> bytes:
        self._record_attempt(words[2], DRAINING_SERVER)
        return hit(words[2])

    def _answer_fault(self, connection: socket.socket, request_id: bytes, draw: float) -> bytes:
        self.history.requests[request_id.decode()].is_broken_off = self.plan.fault is Fault.BREAKING_VALUES
        return faults.answer_from_cache(self.plan.fault, connection, request_id, draw, self._stopped)

    def _serve_origin(self, connection: socket.socket, message: list[bytes]) -> bytes:
        headers = dict(line.split(b": ", 1) for line in message[2].splitlines() if b": " in line)
        request_id = headers.get(b"Request-Id", b"")
        draw = self._record_attempt(request_id) if request_id and not is_bad(request_id) else 0.0
        if request_id.startswith(b"fault") and self.plan.fault is Fault.LONG_CLASS:
            self._stopped.wait(faults.PATIENT_ANSWER_S)
        elif request_id.startswith(b"fault"):
            return faults.answer_without_length(Fault.VALUES_WITHOUT_LENGTH, connection, request_id, draw)
        if request_id.startswith(b"once"):
            with self._lock:
                self.history.executed_writes[request_id.decode()] += 1
        return http_answer(200, request_id or b"v")

    # Clients

    def _run_client(self, number: int) -> None:
        rng, count = random.Random(f"{self.seed}.{number}"), 0
        while not self._stopped.is_set():
            try:
                connection = socket.create_connection(("127.0.0.1", self._port), RECEIVE_TIMEOUT_S)
            except OSError:
                self._stopped.wait(OBSERVER_PERIOD_S)
                continue
            with connection:
                goes_on = True
                while goes_on and not self._stopped.is_set():
                    batch, data = self._draw_batch(rng, number, count)
                    count += len(batch)
                    goes_on = self._send_batch(connection, batch, data, leaves=rng.random() < 0.03)
                    self._stopped.wait(rng.uniform(0, 0.05))

    def _draw_batch(self, rng: random.Random, client: int, count: int) -> tuple[list[Request], list[bytes]]:
        """Draw a batch of pipelined requests, each due relative to when the first one is sent."""
        batch: list[Request] = []
        data: list[bytes] = []
        size = rng.choice((1, 1, 2, 4)) if not self.plan.gap_s else faults.PATIENT_BATCH
        for offset in range(size):
            request_class = rng.choice(("get", "get", "get", "put", "once"))
            timeout_ms = rng.choice((5, 50, 300, 900))
            if self.plan.fault is not Fault.NONE and rng.random() < faults.request_fraction(self.plan.fault):
                request_id = f"fault-{client}.{count + offset}"
                encoded, timeout_s = faults.request(self.plan.fault, request_id, f"long{rng.randrange(20)}")
                batch.append(Request(request_id, "fault", timeout_s + offset * self.plan.gap_s))
                data.append(encoded)
                continue
            request_id = f"{request_class}-{client}.{count + offset}"
            batch.append(Request(request_id, request_class, timeout_ms / 1000 + offset * self.plan.gap_s))
            if request_class == "get":
                data.append(get(request_id, f"k{rng.randrange(20)}", timeout_ms))
            else:
                data.append(put(request_id, cls=request_class, d=timeout_ms))
        return batch, data

    def _send_batch(
        self, connection: socket.socket, batch: list[Request], data: list[bytes], leaves: bool
    ) -> bool:
        """Send a batch and wait for its answers; return whether the connection can still be used."""
        due_at = sent_at = time.monotonic()
        for request in batch:
            due_at = max(due_at, sent_at + request.due_at)
            request.due_at, request.client_left = due_at, leaves
        with self._lock:
            self.history.requests.update((request.id, request) for request in batch)
        replies = ReplyStream(connection)
        try:
            self._send(connection, data)
        except OSError:
            leaves = False  # answers may have been received before the connection was closed
        if leaves:
            return False
        outstanding = deque(batch)
        while outstanding:
            reply = replies.next_reply()
            if reply is None:
                return False
            request = outstanding.popleft()
            request.answer, request.answered_at = reply, time.monotonic()
            if not reply.startswith((b"-", b"$")) and reply.rstrip(b".") != request.id.encode():
                self.history.unexpected_replies.append(reply)
        return True

    def _send(self, connection: socket.socket, data: list[bytes]) -> None:
        if not self.plan.gap_s:
            connection.sendall(b"".join(data))
            return
        for part in data:
            connection.sendall(part)
            self._stopped.wait(self.plan.gap_s)


def is_bad(request_id: bytes) -> bool:
    """Return whether this is a request of a bad client, which is not recorded."""
    return request_id.startswith(ID_PREFIX.encode())


def run_soak(seed: int, plan: Plan | None = None, module: str = "pebblepass.daemon") -> History:
    """Run one soak in a folder of its own; `plan`: in place of the seed's; `module`: the router's."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return Soak(seed, Path(folder), plan or make_plan(seed), module).run()


def main(arguments: list[str], show: Callable[[str], None] = print) -> int:
    """Run the seeds from the first to the last; return the exit code."""
    first, last = map(int, arguments)
    total = broken_seeds = 0
    for seed in range(first, last + 1):
        history = run_soak(seed)
        broken = broken_rules(history)
        answered = sum(request.answer is not None for request in history.requests.values())
        total += len(history.requests)
        broken_seeds += bool(broken)
        show(
            f"seed {seed}: {len(history.requests)} requests, {answered} answered,"
            f" {make_plan(seed).bad_clients or 'no'} bad clients, {history.peak_memory_kb} of"
            f" {history.memory_limit_kb} KB,"
            f" exit code {history.exit_code}, {broken or 'no rule broken'}"
        )
    show(f"{last - first + 1} seeds, {total} requests, {broken_seeds} seeds with broken rules")
    return 1 if broken_seeds else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
