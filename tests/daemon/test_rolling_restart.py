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
from pebblepass.simulation.clock import CountedSocket
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
TERM_APART_S = 0.9  # between two routers' SIGTERM
LONGEST_S = 2.0  # the longest deadline of these tests' settings
KILLED_S = 0.7  # after the longest deadline; SIGKILL comes no sooner
NEW_CONNECTIONS_S = 0.4  # after SIGTERM, during which clients still open connections
LATE_S = 0.5  # after the deadline; an answer that arrives later is lost
SLACK_S = 0.05  # allowed beyond every time limit
SERVICE_S = (0.005, 0.04)
THINKING_S = 0.03  # pause of a client between a served request and its next one
DEADLINES_MS = (300, 800, 2000)
RESTING, RESTLESS, NEWCOMERS = 6, 6, 20  # clients of each router; the last connect after its SIGTERM


class Asked(NamedTuple):
    """A request that the kernel of its router has accepted."""

    name: str
    at: float
    within_s: float


class Answered(NamedTuple):
    """A request and its answer."""

    request: Asked
    answer: bytes
    at: float

    @property
    def late(self) -> bool:
        return self.at > self.request.at + self.request.within_s + LATE_S + SLACK_S

    @property
    def served(self) -> bool:
        return self.answer == b"value of " + self.request.name.encode()

    @property
    def foreign(self) -> bool:
        """Whether it is neither this request's value nor an error that says it was not served."""
        return not self.served and not self.answer.startswith((b"-BUSY", b"-ERR"))


class Client(VirtualClient):
    """A client that records its requests and answers, and may send the next request at once."""

    def __init__(self, site: Site, bed: RouterHarness, name: str, comes_again: bool) -> None:
        super().__init__()
        self.site, self.bed, self.name, self.comes_again = site, bed, name, comes_again
        self.waiting: deque[Asked] = deque()
        self.count = 0
        self.too_many: list[bytes] = []

    def request(self) -> None:
        """Send a request, if the router's kernel still accepts it."""
        if self.transport.is_closing() or not self._is_taken():
            return
        self.count += 1
        draw = self.site.rng
        name, within_ms = f"{self.name}.{self.count}", draw.choice(DEADLINES_MS)
        cls = draw.choice(("get", "get", "get", "put", "once"))
        value = None if cls == "get" else b"v"
        self.site.classes[name] = cls
        self.waiting.append(Asked(name, self.bed.loop.time(), within_ms / 1000))
        self.transport.write(encode_request(name, cls, within_ms, f"k{draw.randrange(1000)}", value))

    def _is_taken(self) -> bool:
        """Whether the router will see it; one that crosses a close in this loop iteration is the client's."""
        out = cast(CountedSocket, self.transport.get_extra_info("socket")._sock).outgoing
        if out is None:
            return False
        if out.reader is None:  # the connection is not accepted yet, or closed
            return not out.reset
        return not any(
            held.transport.is_closing()
            for held in self.bed.daemon.clients._connections
            if held.transport is not None and held.transport.get_extra_info("socket")._sock is out.reader
        )

    def data_received(self, data: bytes) -> None:
        known = len(self.replies())
        super().data_received(data)
        for answer in self.replies()[known:]:
            if not self.waiting:
                self.too_many.append(answer)
                continue
            answered = Answered(self.waiting.popleft(), answer, self.bed.loop.time())
            self.site.answered.append(answered)
            if self.comes_again:
                pause = THINKING_S if answered.served else 0.0
                self.bed.loop.call_later(pause, self.request)


@dataclass
class Site:
    """The routers and the servers that they share."""

    loop: GatedLoop
    rng: random.Random
    caches: dict[str, Peer]
    origin: Peer
    beds: list[RouterHarness] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    classes: dict[str, str] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    """New connections that were refused within NEW_CONNECTIONS_S of SIGTERM."""
    outlived: list[int] = field(default_factory=list)
    """Routers that SIGKILL would have ended."""

    async def add_router(self) -> None:
        told = {
            "listen": f"{ADDRESS}:1",
            "discovery": f"{ADDRESS}:2",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": {**SETTINGS, "balancers": ROUTERS},
        }
        daemon = Daemon(self.loop, read_config(told, {}), self.loop.unix_ns)
        bed = RouterHarness(self.loop, daemon, self.caches, self.origin)
        await daemon.clients.listen((ADDRESS, 0))
        listener = daemon.clients._listener
        assert listener is not None
        bed.port = listener.sockets[0].getsockname()[1]
        bed.update_servers(*self.caches, "origin", full=True)
        daemon.host.ready = True
        self.beds.append(bed)

    async def add_client(self, bed: RouterHarness, name: str, comes_again: bool) -> Client:
        _, line = await self.loop.create_connection(
            lambda: Client(self, bed, name, comes_again), ADDRESS, bed.port
        )
        self.clients.append(cast(Client, line))
        return cast(Client, line)

    async def newcomer(self, bed: RouterHarness, name: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        try:
            (await self.add_client(bed, name, True)).request()
        except ConnectionRefusedError:
            self.refused.append(name)

    def serve(self, line: PeerConnection, name: str) -> None:
        self.loop.call_later(self.rng.uniform(*SERVICE_S), self._answer, line, name)

    def _answer(self, line: PeerConnection, name: str) -> None:
        if not line.transport.is_closing():
            line.peer.serve(line, name)

    def hang(self, share: float) -> None:
        """From now on only a new random choice of caches is silent; what arrives there stays unanswered."""
        hanging = self.rng.sample(sorted(self.caches), int(CACHES * share))
        for name, peer in self.caches.items():
            peer.on_request = (lambda line, name: None) if name in hanging else self.serve

    async def end(self, number: int) -> None:
        """Shut a router down as from SIGTERM to SIGKILL."""
        bed = self.beds[number]
        task = self.loop.create_task(bed.daemon.drain())
        arrivals = (self.rng.uniform(0.0, NEW_CONNECTIONS_S) for _ in range(NEWCOMERS))
        coming = [
            self.loop.create_task(self.newcomer(bed, f"new{number}.{place}", after_s))
            for place, after_s in enumerate(arrivals)
        ]
        # An idle client sends at a random time of the drain, if its connection is still open.
        for client in self.clients:
            if client.bed is bed and not client.comes_again:
                self.loop.call_later(self.rng.uniform(0.0, LONGEST_S), client.request)
        await asyncio.wait([task], timeout=LONGEST_S + KILLED_S)
        if not task.done():
            self.outlived.append(number)
            task.cancel()
        bed.daemon.stop()
        await asyncio.gather(*coming)


async def play(site: Site, hanging_share: float) -> None:
    for peer in (*site.caches.values(), site.origin):
        await peer.open()
        peer.on_request = site.serve
    for number in range(ROUTERS):
        await site.add_router()
        for place in range(RESTING + RESTLESS):
            client = await site.add_client(site.beds[number], f"r{number}.{place}", place >= RESTING)
            client.request()
    await asyncio.sleep(0.5)
    ends = []
    for number in range(ROUTERS):
        site.hang(hanging_share)
        ends.append(site.loop.create_task(site.end(number)))
        await asyncio.sleep(TERM_APART_S)
    await asyncio.gather(*ends)
    await site.beds[0].settle()


def rolled(hanging_share: float, seed: int) -> Site:
    """Run the rolling restart until the last router has exited."""

    async def main() -> Site:
        loop = cast(GatedLoop, asyncio.get_running_loop())
        caches = {name: Peer(loop, name) for name in "abcdefgh"[:CACHES]}
        site = Site(loop, random.Random(seed), caches, Peer(loop, "origin", is_http=True))
        await play(site, hanging_share)
        return site

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        return runner.run(main())


def breaks(site: Site) -> dict[str, list[Any]]:
    """All violations of the rules, by their description."""
    runs = Counter(name for _, name in site.origin.requests if site.classes[name] == "once")
    found: dict[str, list[Any]] = {
        "never answered": [each.name for client in site.clients for each in client.waiting],
        "answered twice": [answer for client in site.clients for answer in client.too_many],
        "answered with something else": [each for each in site.answered if each.foreign],
        "answered late": [each for each in site.answered if each.late],
        "executed twice": [name for name, count in runs.items() if count > 1],
        "refused right after SIGTERM": site.refused,
        "alive at SIGKILL": site.outlived,
    }
    return {what: found for what, found in found.items() if found}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("hanging_share", [0.25, 0.5])
def test_rolling_restart_answers_every_accepted_request_in_time(hanging_share: float, seed: int) -> None:
    site = rolled(hanging_share, seed)
    assert breaks(site) == {}
    assert len(site.answered) > ROUTERS * (RESTING + RESTLESS + NEWCOMERS)
    assert sum(each.served for each in site.answered) > 0.6 * len(site.answered)


async def closes_at_once(daemon: Daemon) -> None:
    """Fault: accepts no connections after SIGTERM."""
    daemon.clients.stop_accepting()
    daemon.clients.finish(with_partial_commands=False)
    while daemon.clients.connected:
        await asyncio.sleep(0.01)


async def waits_for_nobody(daemon: Daemon) -> None:
    """Fault: exits while open requests are unanswered."""
    await asyncio.sleep(0.5)


def no_limit(attempt: Attempt, due: int) -> None:
    """Fault: an attempt waits for its server forever."""


def no_last_answer(connection: ClientConnection, with_partial_commands: bool) -> None:
    """Fault: a connection is closed with requests open."""
    assert connection.transport is not None
    connection.transport.close()


@pytest.mark.parametrize(
    ("owner", "method", "broken", "what"),
    [
        (Daemon, "drain", closes_at_once, "refused right after SIGTERM"),
        (Daemon, "drain", waits_for_nobody, "never answered"),
        (Attempt, "wait_until", no_limit, "answered late"),
        (ClientConnection, "finish", no_last_answer, "never answered"),
    ],
)
def test_faulty_shutdowns_are_detected(
    owner: type, method: str, broken: Callable[..., Any], what: str
) -> None:
    with patch.object(owner, method, broken):
        assert what in breaks(rolled(0.5, 1))
