"""Searches the orders of events around one request for one that breaks a rule.

Each run plays some events in one order: in one loop iteration, one after another, or with time between them.
The rules are checked only from outside the router: by the times at which complete requests arrived at
servers, the changes of the endpoint list, and what clients received.
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
    exchange,
    reply,
    router,
    server_connection,
    shutdown,
)
from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.shutdown_plan import ACCEPT_S
from pebblepass.decisions import Outcome, ServerState
from tests.virtual_router import PeerConnection, RouterHarness, VirtualClient, run_with_router

DISCONNECT_GRACE_S, SLACK_S = 0.1, 0.05
TIMEOUT_MS = 600  # the clients' timeout
DEDUP_WINDOW_S = 0.25  # the dedup window of the request class
EVENTS = (
    *("answer", "second answer", "miss", "fin", "reset", "drain", "remove"),
    *("disconnect", "stall", "sigterm", "next request", "open gate", "close gate", "request at close"),
)
GAPS = (0.0, -1.0, 0.004, 0.32)
"""Seconds between two events: 0 in one loop iteration, -1 once all has settled, 0.004 in the reuse delay."""
EFFECTS = ("retryable", "dedup", "fragile")


class Order(NamedTuple):
    """The events of one run, with the gaps between them and the conditions of the run."""

    events: tuple[str, ...]
    gaps: tuple[float, ...]
    effect: str
    warm: bool
    """Whether an earlier request has left an idle connection to a server; otherwise dials hang at first."""


def orders(length: int) -> Iterator[Order]:
    """Every order of `length` events around the request, with gaps, effects and warmth drawn at random."""
    rng = random.Random(7)
    for events in itertools.permutations(EVENTS, length):
        for at in range(2):
            events_with_request = (*events[:at], "request", *events[at:])
            gaps = tuple(rng.choice(GAPS) for _ in events_with_request)
            yield Order(events_with_request, gaps, rng.choice(EFFECTS), rng.random() < 0.6)


class Run:
    """One run of an order of events."""

    def __init__(self, harness: RouterHarness, order: Order) -> None:
        self.harness, self.order = harness, order
        self.cache, self.other = harness.caches["a"], harness.caches["b"]
        self.gate = asyncio.Event()
        self.sent_at: dict[str, float] = {}
        self.disconnected_at: dict[str, float] = {}
        self.client_of: dict[str, VirtualClient] = {}
        self.unlisted_at: dict[str, float] = {}
        self.answered: list[str] = []
        """Requests to which a server has written a complete answer."""
        self.sigterm_at = float("inf")
        self.without_effect: set[str] = set()
        """Requests that missed, which means that they had no effect."""

    async def play(self) -> None:
        """Play the events, and wait until everything has ended."""
        harness, order = self.harness, self.order
        harness.origin.on_request = self.serve
        self.clients = [await harness.client(), await harness.client()]
        if order.warm:
            self.cache.on_request = self.other.on_request = self.serve
            self.client_of["r0"] = self.clients[0]
            self.send_request("r0", self.clients[0])
            await harness.wait(0.05)
            self.cache.on_request = self.other.on_request = lambda connection, name: None
            self.gate.set()
        for peer in (self.cache, self.other):
            harness.loop.gates[peer.address] = self.gate
        for event, gap in zip(order.events, order.gaps, strict=True):
            self.play_event(event)
            if gap < 0:
                await harness.settle()
            elif gap:
                await harness.wait(gap)
        self.gate.set()
        self.cache.on_request = self.other.on_request = self.serve
        await harness.wait(3.0)

    def serve(self, connection: PeerConnection, name: str) -> None:
        self.answered.append(name)
        connection.peer.serve(connection, name)

    def send_request(self, name: str, client: VirtualClient) -> None:
        if client.transport.is_closing():
            return
        self.sent_at[name] = self.harness.loop.time()
        client.send_request(name, "x", d=TIMEOUT_MS)
        self.client_of[name] = client

    def request_at_close(self) -> None:
        """Send a request in the loop iteration in which the router closes idle connections."""
        client = self.clients[0]
        if client.transport.is_closing() or "r3" in self.sent_at:
            return
        outgoing = client.transport.get_extra_info("socket")._sock.outgoing
        if outgoing.reader is not None:  # otherwise the router's kernel no longer accepts it
            self.send_request("r3", client)

    def disconnect(self) -> None:
        """Disconnect the client; the router's kernel knows at once, as a stall may begin right afterwards."""
        transport = self.clients[0].transport
        if not transport.is_closing():
            transport.get_extra_info("socket")._sock.shutdown(socket.SHUT_WR)
            transport.abort()

    def last_used(self) -> PeerConnection | None:
        """The connection to a cache on which the last request arrived."""
        connections = [
            connection
            for peer in (self.cache, self.other)
            for connection in peer.connections
            if connection.request_ids
        ]
        return max(connections, key=lambda connection: connection.peer.requests[-1][0], default=None)

    def play_event(self, event: str) -> None:
        harness, connection = self.harness, self.last_used()
        match event:
            case "request":
                self.send_request("r1", self.clients[0])
            case "next request":
                self.send_request("r2", self.clients[1])
            case "answer" if connection is not None and connection.request_ids[-1] not in self.answered:
                self.serve(connection, connection.request_ids[-1])
            case "second answer" if connection is not None and connection.request_ids[-1] in self.answered:
                connection.transport.write(connection.peer.answer(connection.request_ids[-1]))
            case "miss" if connection is not None and connection.request_ids[-1] not in self.answered:
                self.answered.append(connection.request_ids[-1])
                self.without_effect.add(connection.request_ids[-1])
                connection.peer.miss(connection, connection.request_ids[-1])
            case "fin" if connection is not None:
                connection.transport.close()
            case "reset" if connection is not None:
                connection.reset()
            case "drain" | "remove":
                harness.update_servers(
                    "a", state=ServerState.DRAINING if event == "drain" else ServerState.REMOVED
                )
                self.unlisted_at.setdefault("a", harness.loop.time())
            case "disconnect":
                for name, client in self.client_of.items():
                    if client is self.clients[0]:
                        self.disconnected_at[name] = harness.loop.time()
                self.disconnect()
            case "stall":
                harness.loop.stall(0.2)
            case "sigterm":
                self.ending = harness.loop.create_task(harness.daemon.drain())
                self.sigterm_at = harness.loop.time()
            case "open gate":
                self.gate.set()
            case "close gate":
                self.gate.clear()
            case "request at close" if self.sigterm_at < float("inf"):
                harness.loop.call_at(self.sigterm_at + ACCEPT_S, self.request_at_close)

    def check_rules(self) -> list[str]:
        """Descriptions of all broken rules."""
        found: list[str] = []
        seen = self.harness.requests
        for name, sent_at in self.sent_at.items():
            arrivals = [(at, server_name) for at, server_name, request in seen if request == name]
            client = self.client_of[name]
            names = [request for request, other in self.client_of.items() if other is client]
            answers = client.replies()[names.index(name) :][:1]
            deadline = sent_at + TIMEOUT_MS / 1000 + SLACK_S
            if name in self.disconnected_at:
                sent_late = [at for at, _ in arrivals if at > self.disconnected_at[name] + DISCONNECT_GRACE_S]
                if sent_late:
                    found.append(
                        f"{name}: sent {sent_late} after its client left at {self.disconnected_at[name]}"
                    )
            # A stall of the loop delays everything: nothing can be sent or answered during it.
            late = [at for at, _ in arrivals if at > deadline + 0.2 * ("stall" in self.order.events)]
            if late:
                found.append(f"{name}: sent at {late}, after its deadline {deadline}")
            executions = [
                (at, server_name) for at, server_name in arrivals if name not in self.without_effect
            ]
            if self.order.effect == "fragile" and len(executions) > 1:
                found.append(f"{name}: may have run {len(executions)} times: {executions}")
            if (
                self.order.effect == "dedup"
                and executions
                and executions[-1][0] > executions[0][0] + DEDUP_WINDOW_S + SLACK_S
            ):
                found.append(f"{name}: repeated after the window: {executions}")
            if (
                self.order.effect == "fragile"
                and executions
                and any(answer.startswith(b"-BUSY") for answer in answers)
            ):
                found.append(f"{name}: rejected although it may have run")
            if name in self.disconnected_at and self.disconnected_at[name] >= sent_at:
                continue
            if len(answers) != 1 or not (
                answers[0] == f"value of {name}".encode() or answers[0].startswith(b"-")
            ):
                found.append(f"{name}: answered {answers}, of {client.replies()}")
        for server, at in self.unlisted_at.items():
            for sent_at, server_name, request in seen:
                if server_name == server and sent_at > at + SLACK_S:
                    found.append(f"{request}: sent to {server} {sent_at - at:.3f} s after its removal")
        for client in self.clients:
            requests = sorted(name for name, other in self.client_of.items() if other is client)
            if len(client.replies()) > len(requests):
                found.append(f"answers without a request: {client.replies()} for {requests}")
        return found


def play_order(order: Order, daemon_class: type[Daemon] = Daemon) -> list[str]:
    """Play an order; returns the broken rules, and what was left open."""
    found: list[str] = []

    async def test(harness: RouterHarness) -> None:
        run = Run(harness, order)
        await run.play()
        found.extend(run.check_rules())
        try:
            harness.assert_nothing_left()
        except AssertionError as error:
            found.append(f"left open: {error}")

    request_class = {
        "name": "x",
        "aimNs": 10**9,
        "giveUpNs": 10**9,
        "semantics": order.effect,
        "group": "all",
    }
    ceilings = {"mostTries": 4, "dialTimeoutNs": 2 * 10**9, "idleCloseNs": 10**10, "retryAfter": True}
    settings = {
        "classes": [{**request_class, "dedupWindowNs": int(DEDUP_WINDOW_S * 1e9)}],
        "ceilings": ceilings,
    }
    run_with_router(test, ("a", "b"), settings, daemon_class)
    return found


SHARDS = 8


@pytest.mark.parametrize("shard", range(SHARDS))
def test_no_order_of_two_events_breaks_a_rule(shard: int) -> None:
    for number, order in enumerate(orders(2)):
        if number % SHARDS == shard:
            assert play_order(order) == [], order


@pytest.mark.parametrize("shard", range(SHARDS))
def test_no_order_of_three_events_breaks_a_rule(shard: int) -> None:
    for number, order in enumerate(orders(3)):
        if number % (SHARDS * 3) == shard * 3:
            assert play_order(order) == [], order


@pytest.mark.long
@pytest.mark.parametrize("shard", range(SHARDS * 3))
def test_no_order_of_four_events_breaks_a_rule(shard: int) -> None:
    for number, order in enumerate(orders(4)):
        if number % (SHARDS * 3) == shard:
            assert play_order(order) == [], order


# Faulty variants, each of which the search must detect


@contextmanager
def sends_after_disconnect() -> Iterator[None]:
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
def retries_after_the_answer() -> Iterator[None]:
    """Fault: a failed request is sent once more after its final answer."""
    original = router.RouterHost._answer

    def answer(self: Any, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        request = self.request(request_id)
        original(self, request_id, data, refused, failed)
        if request is not None and failed and self._pool._servers:
            attempt = attempts.Attempt(self, request, "origin", True, self.now())
            self.loop.call_later(0.2, self._pool.submit, "origin", attempt)

    class Forward(attempts.Attempt):
        is_wanted = True

    with patch.object(router.RouterHost, "_answer", answer), patch.object(attempts, "Attempt", Forward):
        yield


@contextmanager
def ignores_draining() -> Iterator[None]:
    """Fault: a draining server still gets requests."""
    original = router.RouterHost.servers_changed

    def changed(self: Any, listing: Any) -> bool:
        if any(server.state is not ServerState.READY for server in listing.change.servers):
            return True
        return original(self, listing)

    with patch.object(router.RouterHost, "servers_changed", changed):
        yield


@contextmanager
def treats_resets_as_unsent() -> Iterator[None]:
    """Fault: a request counts as never run if its reused connection breaks without an answer."""
    original = exchange.Exchange.end

    def end(self: Any, outcome: Outcome, answer: Any = exchange.NOTHING) -> None:
        original(
            self,
            Outcome.CONNECT_FAILED if self.connection_failed and outcome is Outcome.RESET else outcome,
            answer,
        )

    with patch.object(exchange.Exchange, "end", end):
        yield


@contextmanager
def reuses_connections_at_once() -> Iterator[None]:
    """Fault: a connection is reused at once, whatever is unread on it."""
    with (
        patch.object(connection_pool, "REUSE_DELAY_S", 0.0),
        patch.object(server_connection.Connection, "has_nothing_unread", True),
    ):
        yield


@contextmanager
def closes_with_unread_requests() -> Iterator[None]:
    """Fault: a shutdown closes connections with unread requests, and does not accept pending ones."""

    async def no_news() -> None:
        pass

    with (
        patch.object(client_connection.ClientConnection, "has_unread", lambda self: False),
        patch.object(client_server.ClientServer, "accept_pending", lambda self: None),
        patch.object(shutdown, "sockets_polled", no_news),
    ):
        yield


@contextmanager
def answers_twice() -> Iterator[None]:
    """Fault: a second answer follows the first."""
    original = reply.Reply.send

    def send(self: Any, data: bytes) -> None:
        original(self, data + (b"-ERR again\r\n" if data.startswith(b"$") else b""))

    with patch.object(reply.Reply, "send", send):
        yield


@contextmanager
def retries_after_the_dedup_window() -> Iterator[None]:
    """Fault: a retry that had to wait is sent however late it is."""
    with patch.object(attempts.Attempt, "is_wanted", property(lambda self: not self._request.closed)):
        yield


@contextmanager
def keeps_connections_after_stray_answers() -> Iterator[None]:
    """Fault: a connection that received an answer without a request stays in use."""
    original = caches.CacheConnection.data_received

    def received(self: Any, data: bytes) -> None:
        if self.exchange is None:
            self._parser.feed(data)
            return
        original(self, data)

    with patch.object(caches.CacheConnection, "data_received", received):
        yield


@contextmanager
def begins_without_polling() -> Iterator[None]:
    """Fault: an attempt begins without a poll of its client's socket."""

    def state(self: client_connection.ClientConnection) -> ClientState:
        return ClientState.DISCONNECTED if self.closed else ClientState.CONNECTED

    with patch.object(client_connection.ClientConnection, "client_state", state):
        yield


FAULTS: dict[str, Callable[[], AbstractContextManager[None]]] = {
    "sends after a disconnect": sends_after_disconnect,
    "retries after the answer": retries_after_the_answer,
    "ignores draining": ignores_draining,
    "treats resets as unsent": treats_resets_as_unsent,
    "reuses connections at once": reuses_connections_at_once,
    "answers twice": answers_twice,
    "closes with unread requests": closes_with_unread_requests,
    "retries after the dedup window": retries_after_the_dedup_window,
    "keeps connections after stray answers": keeps_connections_after_stray_answers,
    "begins without polling": begins_without_polling,
}


@pytest.mark.parametrize("name", FAULTS)
def test_search_detects_every_faulty_variant(name: str) -> None:
    with ExitStack() as stack:
        stack.enter_context(FAULTS[name]())
        for order in itertools.chain(orders(2), orders(3)):
            if play_order(order):
                return
    raise AssertionError("no order reveals the fault")
