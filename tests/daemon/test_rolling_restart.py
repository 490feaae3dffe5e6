"""A rolling restart of several routers, while a quarter to a half of the cache servers hang.

Clients keep sending on every connection that stays open, some right after each answer, and open new
connections for 0.4 s after SIGTERM. Every accepted request gets exactly one final answer before its deadline,
and every router exits before SIGKILL. The routers run in this process and share the servers, in virtual time.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, cast
from unittest.mock import patch

import pytest

from pebblepass.daemon.attempts import Attempt
from pebblepass.daemon.client_connection import ClientConnection
from pebblepass.daemon.config import read_config
from pebblepass.daemon.daemon import Daemon
from pebblepass.simulation.network import CountedSocket
from tests.sockets import SETTINGS
from tests.virtual_router import (
    ADDRESS,
    GatedLoop,
    Peer,
    PeerConnection,
    RouterHarness,
    VirtualClient,
    encode_request,
)

ROUTERS, CACHES = 3, 8
SIGTERM_INTERVAL_S = 0.9  # between two routers' SIGTERM
LONGEST_DEADLINE_S = 2.0  # the longest deadline of these tests' settings
KILL_DELAY_S = 0.7  # after the longest deadline; SIGKILL comes no sooner
NEW_CONNECTIONS_S = 0.4  # after SIGTERM, during which clients still open connections
LATE_ANSWER_S = 0.5  # after the deadline; an answer that arrives later is lost
SLACK_S = 0.05  # tolerance of the platform's rules on every time limit
SERVICE_S = (0.005, 0.04)
REQUEST_PAUSE_S = 0.03  # of a client between a served request and its next one
DEADLINES_MS = (300, 800, 2000)
IDLE_CLIENTS, BUSY_CLIENTS, NEW_CLIENTS = 6, 6, 20  # of each router; the last connect after its SIGTERM


class SentRequest(NamedTuple):
    """A request that the kernel of its router has accepted."""

    name: str
    at: float
    timeout_s: float


class AnsweredRequest(NamedTuple):
    """A request and its answer."""

    request: SentRequest
    answer: bytes
    at: float

    @property
    def late(self) -> bool:
        return self.at > self.request.at + self.request.timeout_s + LATE_ANSWER_S + SLACK_S

    @property
    def served(self) -> bool:
        return self.answer == b"value of " + self.request.name.encode()

    @property
    def is_invalid(self) -> bool:
        """Whether it is neither this request's value nor an error that says it was not served."""
        return not self.served and not self.answer.startswith((b"-BUSY", b"-ERR"))


class Client(VirtualClient):
    """A client that records its requests and answers, and may send the next request at once."""

    def __init__(self, site: Site, harness: RouterHarness, name: str, keeps_sending: bool) -> None:
        super().__init__()
        self.site, self.harness, self.name, self.keeps_sending = site, harness, name, keeps_sending
        self.waiting: deque[SentRequest] = deque()
        self.count = 0
        self.extra_answers: list[bytes] = []

    def request(self) -> None:
        """Send a request, if the router's kernel still accepts it."""
        if self.transport.is_closing() or not self._is_accepted():
            return
        self.count += 1
        rng = self.site.rng
        name, timeout_ms = f"{self.name}.{self.count}", rng.choice(DEADLINES_MS)
        cls = rng.choice(("get", "get", "get", "put", "once"))
        value = None if cls == "get" else b"v"
        self.site.classes[name] = cls
        self.waiting.append(SentRequest(name, self.harness.loop.time(), timeout_ms / 1000))
        self.transport.write(encode_request(name, cls, timeout_ms, f"k{rng.randrange(1000)}", value))

    def _is_accepted(self) -> bool:
        """Whether the router will read it; after a close in this loop iteration the client retries."""
        outgoing = cast(CountedSocket, self.transport.get_extra_info("socket")._sock).outgoing
        if outgoing is None:
            return False
        if outgoing.reader is None:  # the connection is not accepted yet, or closed
            return not outgoing.reset
        return not any(
            connection.transport.is_closing()
            for connection in self.harness.daemon.clients._connections
            if connection.transport is not None
            and connection.transport.get_extra_info("socket")._sock is outgoing.reader
        )

    def data_received(self, data: bytes) -> None:
        known_count = len(self.replies())
        super().data_received(data)
        for answer in self.replies()[known_count:]:
            if not self.waiting:
                self.extra_answers.append(answer)
                continue
            answered = AnsweredRequest(self.waiting.popleft(), answer, self.harness.loop.time())
            self.site.answered.append(answered)
            if self.keeps_sending:
                pause = REQUEST_PAUSE_S if answered.served else 0.0
                self.harness.loop.call_later(pause, self.request)


@dataclass
class Site:
    """The routers and the servers that they share."""

    loop: GatedLoop
    rng: random.Random
    caches: dict[str, Peer]
    origin: Peer
    harnesses: list[RouterHarness] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    answered: list[AnsweredRequest] = field(default_factory=list)
    classes: dict[str, str] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    """New connections that were refused within NEW_CONNECTIONS_S of SIGTERM."""
    alive_at_sigkill: list[int] = field(default_factory=list)
    """Routers that SIGKILL would have ended."""

    async def add_router(self) -> None:
        config = {
            "listen": f"{ADDRESS}:1",
            "discovery": f"{ADDRESS}:2",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": {**SETTINGS, "balancers": ROUTERS},
        }
        daemon = Daemon(self.loop, read_config(config, {}), self.loop.unix_ns)
        harness = RouterHarness(self.loop, daemon, self.caches, self.origin)
        await daemon.clients.listen((ADDRESS, 0))
        listener = daemon.clients._listener
        assert listener is not None
        harness.port = listener.sockets[0].getsockname()[1]
        harness.update_servers(*self.caches, "origin", full=True)
        daemon.host.ready = True
        self.harnesses.append(harness)

    async def add_client(self, harness: RouterHarness, name: str, keeps_sending: bool) -> Client:
        _, client = await self.loop.create_connection(
            lambda: Client(self, harness, name, keeps_sending), ADDRESS, harness.port
        )
        self.clients.append(cast(Client, client))
        return cast(Client, client)

    async def connect_later(self, harness: RouterHarness, name: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        try:
            (await self.add_client(harness, name, True)).request()
        except ConnectionRefusedError:
            self.refused.append(name)

    def serve(self, connection: PeerConnection, name: str) -> None:
        self.loop.call_later(self.rng.uniform(*SERVICE_S), self._answer, connection, name)

    def _answer(self, connection: PeerConnection, name: str) -> None:
        if not connection.transport.is_closing():
            connection.peer.serve(connection, name)

    def hang(self, share: float) -> None:
        """From now on only a new random choice of caches is silent; what arrives there stays unanswered."""
        silent = self.rng.sample(sorted(self.caches), int(CACHES * share))
        for name, peer in self.caches.items():
            peer.on_request = (lambda connection, name: None) if name in silent else self.serve

    async def end(self, number: int) -> None:
        """Shut a router down as from SIGTERM to SIGKILL."""
        harness = self.harnesses[number]
        task = self.loop.create_task(harness.daemon.drain())
        arrivals = (self.rng.uniform(0.0, NEW_CONNECTIONS_S) for _ in range(NEW_CLIENTS))
        connecting = [
            self.loop.create_task(self.connect_later(harness, f"new{number}.{place}", after_s))
            for place, after_s in enumerate(arrivals)
        ]
        # An idle client sends at a random time of the drain, if its connection is still open.
        for client in self.clients:
            if client.harness is harness and not client.keeps_sending:
                self.loop.call_later(self.rng.uniform(0.0, LONGEST_DEADLINE_S), client.request)
        await asyncio.wait([task], timeout=LONGEST_DEADLINE_S + KILL_DELAY_S)
        if not task.done():
            self.alive_at_sigkill.append(number)
            task.cancel()
        harness.daemon.stop()
        await asyncio.gather(*connecting)


async def play(site: Site, hanging_share: float) -> None:
    for peer in (*site.caches.values(), site.origin):
        await peer.open()
        peer.on_request = site.serve
    for number in range(ROUTERS):
        await site.add_router()
        for place in range(IDLE_CLIENTS + BUSY_CLIENTS):
            client = await site.add_client(
                site.harnesses[number], f"r{number}.{place}", place >= IDLE_CLIENTS
            )
            client.request()
    await asyncio.sleep(0.5)
    ends = []
    for number in range(ROUTERS):
        site.hang(hanging_share)
        ends.append(site.loop.create_task(site.end(number)))
        await asyncio.sleep(SIGTERM_INTERVAL_S)
    await asyncio.gather(*ends)
    await site.harnesses[0].settle()


def run_rolling_restart(hanging_share: float, seed: int) -> Site:
    """Run the rolling restart until the last router has exited."""

    async def main() -> Site:
        loop = cast(GatedLoop, asyncio.get_running_loop())
        caches = {name: Peer(loop, name) for name in "abcdefgh"[:CACHES]}
        site = Site(loop, random.Random(seed), caches, Peer(loop, "origin", is_http=True))
        await play(site, hanging_share)
        return site

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        return runner.run(main())


def violations(site: Site) -> dict[str, list[Any]]:
    """All violations of the rules, by their description."""
    runs = Counter(name for _, name in site.origin.requests if site.classes[name] == "once")
    found: dict[str, list[Any]] = {
        "never answered": [request.name for client in site.clients for request in client.waiting],
        "answered twice": [answer for client in site.clients for answer in client.extra_answers],
        "answered with something else": [answered for answered in site.answered if answered.is_invalid],
        "answered late": [answered for answered in site.answered if answered.late],
        "executed twice": [name for name, count in runs.items() if count > 1],
        "refused right after SIGTERM": site.refused,
        "alive at SIGKILL": site.alive_at_sigkill,
    }
    return {description: found for description, found in found.items() if found}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("hanging_share", [0.25, 0.5])
def test_rolling_restart_answers_every_accepted_request_in_time(hanging_share: float, seed: int) -> None:
    site = run_rolling_restart(hanging_share, seed)
    assert violations(site) == {}
    assert len(site.answered) > ROUTERS * (IDLE_CLIENTS + BUSY_CLIENTS + NEW_CLIENTS)
    assert sum(answered.served for answered in site.answered) > 0.6 * len(site.answered)


async def accept_no_connections(daemon: Daemon) -> None:
    """Fault: accepts no connections after SIGTERM."""
    daemon.clients.stop_accepting()
    daemon.clients.finish(with_partial_commands=False)
    while daemon.clients.connected:
        await asyncio.sleep(0.01)


async def ignore_open_requests(daemon: Daemon) -> None:
    """Fault: exits while open requests are unanswered."""
    await asyncio.sleep(0.5)


def never_time_out(attempt: Attempt, due: int) -> None:
    """Fault: an attempt waits for its server forever."""


def close_with_open_requests(connection: ClientConnection, with_partial_commands: bool) -> None:
    """Fault: a connection is closed with requests open."""
    assert connection.transport is not None
    connection.transport.close()


@pytest.mark.parametrize(
    ("owner", "method", "fault", "violation"),
    [
        (Daemon, "drain", accept_no_connections, "refused right after SIGTERM"),
        (Daemon, "drain", ignore_open_requests, "never answered"),
        (Attempt, "wait_until", never_time_out, "answered late"),
        (ClientConnection, "finish", close_with_open_requests, "never answered"),
    ],
)
def test_faulty_shutdowns_are_detected(
    owner: type, method: str, fault: Callable[..., Any], violation: str
) -> None:
    with patch.object(owner, method, fault):
        assert violation in violations(run_rolling_restart(0.5, 1))
