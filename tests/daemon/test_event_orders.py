"""Searches the orders of events around one request for one that breaks a rule.

Each run plays some events in one order: in one loop iteration, one after another, or with time between them.
The rules are checked only from outside the router: by when complete requests arrived at servers, how the
endpoint list changed, and what clients received.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any, NamedTuple
from unittest.mock import patch

import pytest

from pebblepass.daemon import (
    attempts,
    caches,
    client_connection,
    client_server,
    connection_pool,
    daemon,
    exchange,
    reply,
    router,
    server_connection,
)
from pebblepass.daemon.daemon import ACCEPT_S, Daemon
from pebblepass.decisions import Outcome, ServerState
from tests.virtual_router import PeerConnection, RouterHarness, VirtualClient, run_with_router

LEFT_S, SLACK_S = 0.1, 0.05
D_MS = 600  # the clients' timeout
WINDOW_S = 0.25  # the dedup window of the request class
EVENTS = (
    *("answer", "again", "miss", "fin", "reset", "drain", "gone"),
    *("leave", "late", "term", "next", "up", "shut", "meet"),
)
GAPS = (0.0, -1.0, 0.004, 0.32)
"""Seconds between two events: one loop iteration, once all is settled (-1), within the reuse delay, long."""
EFFECTS = ("retryable", "dedup", "fragile")


class Order(NamedTuple):
    """The events of one run, and its parameters."""

    events: tuple[str, ...]
    gaps: tuple[float, ...]
    effect: str
    warm: bool
    """Whether an earlier request has left an idle connection to a server; otherwise dials hang at first."""


def orders(length: int) -> Iterator[Order]:
    """Every order of `length` events around the request, with gaps, effects and warmth drawn at random."""
    draw = random.Random(7)
    for events in itertools.permutations(EVENTS, length):
        for at in range(2):
            placed = (*events[:at], "ask", *events[at:])
            gaps = tuple(draw.choice(GAPS) for _ in placed)
            yield Order(placed, gaps, draw.choice(EFFECTS), draw.random() < 0.6)


class Run:
    """One run of an order of events."""

    def __init__(self, bed: RouterHarness, order: Order) -> None:
        self.bed, self.order = bed, order
        self.cache, self.other = bed.caches["a"], bed.caches["b"]
        self.gate = asyncio.Event()
        self.asked_at: dict[str, float] = {}
        self.left_at: dict[str, float] = {}
        self.of: dict[str, VirtualClient] = {}
        self.told: dict[str, float] = {}
        self.answered: list[str] = []
        """Requests to which a server has written a complete answer."""
        self.ends_at = float("inf")
        self.never: set[str] = set()
        """Requests that missed, which means that they had no effect."""

    async def play(self) -> None:
        """Play the events, and wait until everything has ended."""
        bed, order = self.bed, self.order
        bed.origin.on_request = self.serve
        self.clients = [await bed.client(), await bed.client()]
        if order.warm:
            self.cache.on_request = self.other.on_request = self.serve
            self.of["r0"] = self.clients[0]
            self.ask("r0", self.clients[0])
            await bed.wait(0.05)
            self.cache.on_request = self.other.on_request = lambda line, name: None
            self.gate.set()
        for peer in (self.cache, self.other):
            bed.loop.gates[peer.address] = self.gate
        for event, gap in zip(order.events, order.gaps, strict=True):
            self.happen(event)
            if gap < 0:
                await bed.settle()
            elif gap:
                await bed.wait(gap)
        self.gate.set()
        self.cache.on_request = self.other.on_request = self.serve
        await bed.wait(3.0)

    def serve(self, line: PeerConnection, name: str) -> None:
        self.answered.append(name)
        line.peer.serve(line, name)

    def ask(self, name: str, line: VirtualClient) -> None:
        if line.transport.is_closing():
            return
        self.asked_at[name] = self.bed.loop.time()
        line.send_request(name, "x", d=D_MS)
        self.of[name] = line

    def meet(self) -> None:
        """Send a request in the loop iteration in which the router closes idle connections."""
        line = self.clients[0]
        if line.transport.is_closing() or "r3" in self.asked_at:
            return
        out = line.transport.get_extra_info("socket")._sock.outgoing
        if out.reader is not None:  # otherwise the router's kernel no longer accepts it
            self.ask("r3", line)

    def leave(self) -> None:
        """Disconnect the client; the router's kernel knows at once, as a stall may begin right afterwards."""
        transport = self.clients[0].transport
        if not transport.is_closing():
            transport.get_extra_info("socket")._sock.shutdown(socket.SHUT_WR)
            transport.abort()

    def newest(self) -> PeerConnection | None:
        """The connection to a cache on which the last request arrived."""
        used = [line for peer in (self.cache, self.other) for line in peer.connections if line.request_ids]
        return max(used, key=lambda line: line.peer.requests[-1][0], default=None)

    def happen(self, event: str) -> None:
        bed, line = self.bed, self.newest()
        match event:
            case "ask":
                self.ask("r1", self.clients[0])
            case "next":
                self.ask("r2", self.clients[1])
            case "answer" if line is not None and line.request_ids[-1] not in self.answered:
                self.serve(line, line.request_ids[-1])
            case "again" if line is not None and line.request_ids[-1] in self.answered:
                line.transport.write(line.peer.answer(line.request_ids[-1]))
            case "miss" if line is not None and line.request_ids[-1] not in self.answered:
                self.answered.append(line.request_ids[-1])
                self.never.add(line.request_ids[-1])
                line.peer.miss(line, line.request_ids[-1])
            case "fin" if line is not None:
                line.transport.close()
            case "reset" if line is not None:
                line.reset()
            case "drain" | "gone":
                bed.update_servers(
                    "a", state=ServerState.DRAINING if event == "drain" else ServerState.REMOVED
                )
                self.told.setdefault("a", bed.loop.time())
            case "leave":
                for name, client in self.of.items():
                    if client is self.clients[0]:
                        self.left_at[name] = bed.loop.time()
                self.leave()
            case "late":
                bed.loop.stall(0.2)
            case "term":
                self.ending = bed.loop.create_task(bed.daemon.drain())
                self.ends_at = bed.loop.time()
            case "up":
                self.gate.set()
            case "shut":
                self.gate.clear()
            case "meet" if self.ends_at < float("inf"):
                bed.loop.call_at(self.ends_at + ACCEPT_S, self.meet)

    def judge(self) -> list[str]:
        """Descriptions of all broken rules."""
        found: list[str] = []
        seen = self.bed.requests
        for name, asked_at in self.asked_at.items():
            mine = [(at, where) for at, where, whose in seen if whose == name]
            line = self.of[name]
            names = [each for each, client in self.of.items() if client is line]
            got = line.replies()[names.index(name) :][:1]
            due = asked_at + D_MS / 1000 + SLACK_S
            if name in self.left_at:
                sent = [at for at, _ in mine if at > self.left_at[name] + LEFT_S]
                if sent:
                    found.append(f"{name}: sent {sent} after its client left at {self.left_at[name]}")
            # A stall of the loop delays everything: nothing can be sent or answered during it.
            late = [at for at, _ in mine if at > due + 0.2 * ("late" in self.order.events)]
            if late:
                found.append(f"{name}: sent at {late}, after its deadline {due}")
            ran = [(at, where) for at, where in mine if name not in self.never]
            if self.order.effect == "fragile" and len(ran) > 1:
                found.append(f"{name}: may have run {len(ran)} times: {ran}")
            if self.order.effect == "dedup" and ran and ran[-1][0] > ran[0][0] + WINDOW_S + SLACK_S:
                found.append(f"{name}: repeated after the window: {ran}")
            if self.order.effect == "fragile" and ran and any(said.startswith(b"-BUSY") for said in got):
                found.append(f"{name}: rejected although it may have run")
            if name in self.left_at and self.left_at[name] >= asked_at:
                continue
            if len(got) != 1 or not (got[0] == f"value of {name}".encode() or got[0].startswith(b"-")):
                found.append(f"{name}: answered {got}, of {line.replies()}")
        for server, at in self.told.items():
            for sent_at, where, whose in seen:
                if where == server and sent_at > at + SLACK_S:
                    found.append(f"{whose}: sent to {server} {sent_at - at:.3f} s after its removal")
        for client in self.clients:
            own = sorted(name for name, line in self.of.items() if line is client)
            if len(client.replies()) > len(own):
                found.append(f"answers without a request: {client.replies()} for {own}")
        return found


def played(order: Order, daemon_class: type[Daemon] = Daemon) -> list[str]:
    """Play an order; returns the broken rules, and what was left open."""
    found: list[str] = []

    async def test(bed: RouterHarness) -> None:
        run = Run(bed, order)
        await run.play()
        found.extend(run.judge())
        try:
            bed.assert_nothing_left()
        except AssertionError as error:
            found.append(f"left behind: {error}")

    cls = {"name": "x", "aimNs": 10**9, "giveUpNs": 10**9, "semantics": order.effect, "group": "all"}
    ceilings = {"mostTries": 4, "dialTimeoutNs": 2 * 10**9, "idleCloseNs": 10**10, "retryAfter": True}
    facts = {"classes": [{**cls, "dedupWindowNs": int(WINDOW_S * 1e9)}], "ceilings": ceilings}
    run_with_router(test, ("a", "b"), facts, daemon_class)
    return found


SHARDS = 8


@pytest.mark.parametrize("shard", range(SHARDS))
def test_no_order_of_two_events_breaks_a_rule(shard: int) -> None:
    for number, order in enumerate(orders(2)):
        if number % SHARDS == shard:
            assert played(order) == [], order


@pytest.mark.parametrize("shard", range(SHARDS))
def test_no_order_of_three_events_breaks_a_rule(shard: int) -> None:
    for number, order in enumerate(orders(3)):
        if number % (SHARDS * 3) == shard * 3:
            assert played(order) == [], order


@pytest.mark.long
@pytest.mark.parametrize("shard", range(SHARDS * 3))
def test_no_order_of_four_events_breaks_a_rule(shard: int) -> None:
    for number, order in enumerate(orders(4)):
        if number % (SHARDS * 3) == shard:
            assert played(order) == [], order


# Faulty variants, each of which the search must detect


@contextmanager
def sends_what_waited() -> Iterator[None]:
    """Fault: an attempt that waits for a connection is sent although its client has disconnected."""

    def next_waiting(self: Any, server: Any) -> Any:
        while server.waiting:
            exchange = server.waiting.popleft()
            if not exchange.is_over:
                return exchange
        return None

    with (
        patch.object(connection_pool.Pool, "_next_waiting", next_waiting),
        patch.object(attempts.OpenRequest, "withdraw", lambda self: None),
    ):
        yield


@contextmanager
def tries_after_the_answer() -> Iterator[None]:
    """Fault: a failed request is sent once more after its final answer."""
    whole = router.RouterHost._answer

    def answer(self: Any, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        request = self.request(request_id)
        whole(self, request_id, data, refused, failed)
        if request is not None and failed and self._pool._servers:
            attempt = attempts.Attempt(self, request, "origin", True, self.now())
            self.loop.call_later(0.2, self._pool.submit, "origin", attempt)

    class Forward(attempts.Attempt):
        is_wanted = True

    with patch.object(router.RouterHost, "_answer", answer), patch.object(attempts, "Attempt", Forward):
        yield


@contextmanager
def deaf_to_drains() -> Iterator[None]:
    """Fault: a draining server still gets requests."""
    whole = router.RouterHost.servers_changed

    def changed(self: Any, listing: Any) -> bool:
        if any(server.state is not ServerState.READY for server in listing.change.servers):
            return True
        return whole(self, listing)

    with patch.object(router.RouterHost, "servers_changed", changed):
        yield


@contextmanager
def stale_never_ran() -> Iterator[None]:
    """Fault: a request counts as never run if its reused connection breaks without an answer."""
    whole = exchange.Exchange.end

    def end(self: Any, outcome: Outcome, answer: Any = exchange.NOTHING) -> None:
        whole(
            self,
            Outcome.CONNECT_FAILED if self.connection_failed and outcome is Outcome.RESET else outcome,
            answer,
        )

    with patch.object(exchange.Exchange, "end", end):
        yield


@contextmanager
def takes_late_answers() -> Iterator[None]:
    """Fault: a connection is reused at once, whatever is unread on it."""
    with (
        patch.object(connection_pool, "REUSE_DELAY_S", 0.0),
        patch.object(server_connection.Connection, "has_nothing_unread", True),
    ):
        yield


@contextmanager
def closes_unheard() -> Iterator[None]:
    """Fault: a shutdown closes connections with unread requests, and does not accept pending ones."""

    async def no_news() -> None:
        pass

    with (
        patch.object(client_connection.ClientConnection, "has_unread", lambda self: False),
        patch.object(client_server.ClientServer, "accept_pending", lambda self: None),
        patch.object(daemon, "sockets_polled", no_news),
    ):
        yield


@contextmanager
def answers_twice() -> Iterator[None]:
    """Fault: a second answer follows the first."""
    whole = reply.Reply.send

    def send(self: Any, data: bytes) -> None:
        whole(self, data + (b"-ERR again\r\n" if data.startswith(b"$") else b""))

    with patch.object(reply.Reply, "send", send):
        yield


@contextmanager
def repeats_after_the_window() -> Iterator[None]:
    """Fault: a retry that had to wait is sent however late it is."""
    with patch.object(attempts.Attempt, "is_wanted", property(lambda self: not self._request.closed)):
        yield


@contextmanager
def keeps_what_was_spoilt() -> Iterator[None]:
    """Fault: a connection that received an answer without a request stays in use."""
    whole = caches.CacheConnection.data_received

    def received(self: Any, data: bytes) -> None:
        if self.exchange is None:
            self._parser.feed(data)
            return
        whole(self, data)

    with patch.object(caches.CacheConnection, "data_received", received):
        yield


@contextmanager
def looks_only_by_the_timer() -> Iterator[None]:
    """Fault: an attempt begins without a poll of its client's socket."""
    with patch.object(client_connection.ClientConnection, "is_alive", lambda self: not self.closed):
        yield


BROKEN: dict[str, Callable[[], AbstractContextManager[None]]] = {
    "sends what waited": sends_what_waited,
    "tries after the answer": tries_after_the_answer,
    "deaf to drains": deaf_to_drains,
    "stale never ran": stale_never_ran,
    "takes late answers": takes_late_answers,
    "answers twice": answers_twice,
    "closes unheard": closes_unheard,
    "repeats after the window": repeats_after_the_window,
    "keeps what was spoilt": keeps_what_was_spoilt,
    "looks only by the timer": looks_only_by_the_timer,
}


@pytest.mark.parametrize("name", BROKEN)
def test_search_detects_every_faulty_variant(name: str) -> None:
    with ExitStack() as stack:
        stack.enter_context(BROKEN[name]())
        for order in itertools.chain(orders(2), orders(3)):
            if played(order):
                return
    raise AssertionError("no order reveals the fault")
