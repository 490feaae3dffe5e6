"""No attempt begins for a client that disconnected more than 0.1 s ago, whatever the attempt waited for.

The event loop is stalled for 0.2 s right before each place where an attempt can begin, as in a process
without CPU; the client disconnects as the stall begins. If the client stays instead, the same attempt has to
begin, which proves that the test reaches that place.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest

from pebblepass.daemon.client_connection import MAX_PIPELINE, ClientConnection
from pebblepass.daemon.connection_pool import REUSE_DELAY_S
from pebblepass.daemon.multi_get.batch_exchange import BatchExchange
from pebblepass.decisions import Send
from tests.multi_get.site import Site, on_site
from tests.sockets import bulk, http_answer
from tests.virtual_router import (
    ADDRESS,
    LONG_DIALS,
    PeerConnection,
    RouterHarness,
    VirtualClient,
    encode_request,
    run_with_router,
)

GONE_S = 0.1  # after a disconnect, from when on no attempt may begin for the client
HOLD_S = 0.2
TWO = ("a", "b")


class HoldUp:
    """Stalls the loop once; the client may shut down its sending side as the stall begins."""

    def __init__(self, loop: Any, raw: socket.socket, leaves: bool) -> None:
        self._loop, self._raw, self._leaves = loop, raw, leaves
        self.at = 0.0

    def __call__(self) -> None:
        if not self.at:
            self.at = self._loop.time()
            if self._leaves:
                self._raw.shutdown(socket.SHUT_WR)
            self._loop.stall(HOLD_S)


def raw(line: VirtualClient) -> socket.socket:
    found: socket.socket = line.transport.get_extra_info("socket")._sock
    return found


def before_send(host: Any, name: str, nth: int, hold: HoldUp) -> None:
    """Stall between the decision module's action and the nth attempt at this request."""
    whole, seen = host._router.handle, [0]

    def handle(event: Any, now: int) -> Any:
        actions = whole(event, now)
        for action in actions:
            if isinstance(action, Send) and action.request == name:
                seen[0] += 1
                if seen[0] == nth:
                    hold()
        return actions

    host._router.handle = handle


def before_call(owner: Any, method: str, hold: HoldUp, when: Callable[..., bool] = lambda *_: True) -> None:
    """Stall right before a call of this method of an object."""
    whole = getattr(owner, method)

    def call(*args: Any) -> Any:
        if when(*args):
            hold()
        return whole(*args)

    setattr(owner, method, call)


async def warm(bed: RouterHarness) -> None:
    """Leave a reusable idle connection to every server, so that no dial is needed."""
    line = await bed.client()
    served = [bed.origin, *bed.caches.values()]
    for peer in served:
        peer.on_request = peer.serve
    line.send_request("warm", "put", value=b"v")
    for number in range(12):
        line.send_request(f"warm{number}", key=f"warm{number}")
        await bed.wait(REUSE_DELAY_S * 3)
    for peer in served:
        assert peer.connections
        peer.on_request = lambda line, name: None
        peer.requests.clear()


async def paused(bed: RouterHarness, line: VirtualClient, request: bytes) -> None:
    """Send a request, and so many commands after it that the connection is no longer read."""
    line.transport.write(request + bulk(b"PING") * (MAX_PIPELINE - 1))
    await bed.settle()


class Kind:
    """What each way to begin an attempt needs: the request under test is `r`, its client just connected."""

    def __init__(self, bed: RouterHarness, line: VirtualClient, hold: HoldUp, is_paused: bool) -> None:
        self.bed, self.line, self.hold, self.is_paused = bed, line, hold, is_paused

    async def ask(self, cls: str = "get", value: bytes | None = None) -> None:
        request = encode_request("r", cls, value=value)
        if self.is_paused:
            await paused(self.bed, self.line, request)
            assert self.hold.at or any(held.paused for held in self.bed.daemon.clients._connections)
        else:
            self.line.transport.write(request)
            await self.bed.settle()


async def first(kind: Kind) -> None:
    before_send(kind.bed.host, "r", 1, kind.hold)
    await kind.ask()


async def first_in_one_read(kind: Kind) -> None:
    """The command itself arrives in the stall, followed by its client's disconnect."""
    kind.line.transport.write(encode_request("r"))
    kind.hold()


async def further(kind: Kind) -> None:
    """The fetch after a miss."""
    for cache in kind.bed.caches.values():
        cache.on_request = cache.miss
    before_send(kind.bed.host, "r", 2, kind.hold)
    await kind.ask()


async def retry(kind: Kind) -> None:
    """Another server is tried after one has rejected the request."""
    caches = kind.bed.caches.values()

    def busy(line: PeerConnection, name: str) -> None:
        line.transport.write(b"-BUSY latency_ms=1.5,queue=2\r\n")

    for cache in caches:
        cache.on_request = busy
    before_send(kind.bed.host, "r", 2, kind.hold)
    await kind.ask()


async def dial(kind: Kind) -> None:
    bed = kind.bed
    for line in [line for cache in bed.caches.values() for line in cache.connections]:
        line.transport.close()
    await bed.settle()
    gate = asyncio.Event()
    bed.loop.gates.update((cache.address, gate) for cache in bed.caches.values())
    before_call(bed.pool, "opened", kind.hold)
    await kind.ask()
    assert bed.requests == []
    gate.set()


async def rest(kind: Kind) -> None:
    """It waits for a connection that has just delivered an answer."""
    bed = kind.bed
    for cache in bed.caches.values():
        cache.on_request = cache.serve
    other = await bed.client()
    other.send_request("other")
    await bed.settle()
    before_call(bed.pool, "_wake", kind.hold)
    await kind.ask()
    assert "r" not in [name for _, _, name in bed.requests]


async def store(kind: Kind) -> None:
    """It is queued for the store, behind another fetch."""
    bed = kind.bed
    for cache in bed.caches.values():
        cache.on_request = cache.miss
    bed.host._router.origin_limits.fetch_window = 1.0
    other = await bed.client()
    other.send_request("other", key="other")
    await bed.settle()
    before_send(bed.host, "r", 2, kind.hold)
    await kind.ask()
    await bed.wait(REUSE_DELAY_S * 2)
    assert bed.origin.request_ids == ["other"]
    bed.origin.serve(bed.origin.connection_of("other"), "other")


async def timer(kind: Kind) -> None:
    """A write that the store rejected is retried after a pause."""

    def busy(line: PeerConnection, name: str) -> None:
        line.transport.write(http_answer(503, b"", "Not-Started: 1"))

    kind.bed.origin.on_request = busy
    before_send(kind.bed.host, "r", 2, kind.hold)
    await kind.ask("put", b"v")


KINDS = {
    "first": first,
    "first in one read": first_in_one_read,
    "further": further,
    "retry": retry,
    "dial": dial,
    "rest": rest,
    "store": store,
    "timer": timer,
}


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize(
    ("name", "is_paused"),
    # A first attempt begins when its command is read; the next test covers paused reading.
    [
        (name, is_paused)
        for name in KINDS
        for is_paused in (False, True)
        if not is_paused or "first" not in name
    ],
)
def test_no_attempt_begins_for_a_client_that_left_in_a_stall(
    name: str, is_paused: bool, leaves: bool
) -> None:
    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        line = await bed.client()
        await bed.wait(0.3)
        hold = HoldUp(bed.loop, raw(line), leaves)
        await KINDS[name](Kind(bed, line, hold, is_paused))
        await bed.wait(1.0)
        assert hold.at
        late = [seen for seen in bed.requests if seen[2] == "r" and seen[0] > hold.at + GONE_S]
        assert bool(late) != leaves, bed.requests
        await bed.wait(2.0)
        bed.assert_nothing_left()

    run_with_router(test, TWO, LONG_DIALS)


@pytest.mark.parametrize("leaves", [True, False])
def test_command_unread_in_a_pause_is_not_sent_after_the_disconnect(leaves: bool) -> None:
    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        line = await bed.client()
        hold = HoldUp(bed.loop, raw(line), leaves)
        await paused(bed, line, encode_request("p"))
        await bed.settle()
        line.transport.write(encode_request("r", key="other"))
        (where,) = {server for _, server, _ in bed.requests}
        cache = bed.caches[where]
        cache.serve(cache.connection_of("p"), "p")
        hold()
        await bed.wait(1.0)
        assert ("r" in [name for _, _, name in bed.requests]) != leaves
        await bed.wait(2.0)
        bed.assert_nothing_left()

    run_with_router(test, TWO)


@pytest.mark.parametrize("leaves", [True, False])
def test_command_on_a_pending_connection_is_not_sent_after_the_disconnect(leaves: bool) -> None:
    """The connection, the command and the disconnect all arrive while the loop is stalled."""

    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        made = bed.loop.network.adopt()
        made.connect((ADDRESS, bed.port))
        made.send(encode_request("r"))
        hold = HoldUp(bed.loop, made, leaves)
        hold()
        await bed.wait(1.0)
        assert ("r" in [name for _, _, name in bed.requests]) != leaves
        await bed.wait(2.0)
        bed.assert_nothing_left()
        made.close()

    run_with_router(test, TWO)


# Multi-gets


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("is_paused", [False, True], ids=["read", "paused"])
@pytest.mark.parametrize("where", ["submit", "opened"])
def test_no_batch_of_a_multi_get_begins_for_a_client_that_left(
    where: str, is_paused: bool, leaves: bool
) -> None:
    """The first batch, and the first that waited for a dial; one poll of the client serves all keys."""

    async def test(site: Site) -> None:
        client = await site.client()
        if where == "submit":  # otherwise dials succeed one by one, and the disconnect is read meanwhile
            await client.many([f"k{number}" for number in range(40)], "warm")
        await asyncio.sleep(0.3)
        held = len(site.attempts)
        sock = client.writer.transport.get_extra_info("socket")._sock
        hold = HoldUp(site.loop, sock, leaves)
        if where == "submit":
            is_part = lambda server, exchange: isinstance(exchange, BatchExchange)  # noqa: E731
            before_call(site.daemon._pool, "submit", hold, is_part)
        else:
            before_call(site.daemon._pool, "opened", hold)
        client.ask_many([f"k{number}" for number in range(40)])
        if is_paused:
            client.writer.write(bulk(b"PING") * (MAX_PIPELINE - 1))
        await asyncio.sleep(1.0)
        assert hold.at
        late = [at for at, _, _, _ in site.attempts[held:] if at > hold.at + GONE_S]
        assert bool(late) != leaves

    on_site(test)


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("is_paused", [False, True], ids=["read", "paused"])
def test_no_second_copy_begins_for_a_client_that_left(is_paused: bool, leaves: bool) -> None:
    def fate(place: str, key: str, time: int) -> str:
        return "silent" if key == "slow" and time == 1 else "ok"

    async def test(site: Site) -> None:
        for i in range(40):
            client = await site.client()
            await client.many([f"k{number}" for number in range(20)], request=f"w{i}")
        held = len(site.attempts)
        sock = client.writer.transport.get_extra_info("socket")._sock
        hold = HoldUp(site.loop, sock, leaves)
        before_send(site.host, "q.3", 1, hold)
        client.ask_many(["a", "b", "c", "slow"])
        if is_paused:
            client.writer.write(bulk(b"PING") * (MAX_PIPELINE - 1))
        await asyncio.sleep(1.5)
        assert hold.at
        late = [at for at, _, _, _ in site.attempts[held:] if at > hold.at + GONE_S]
        assert bool(late) != leaves

    on_site(test, fate=fate)


@pytest.mark.parametrize("leaves", [True, False])
def test_no_fetch_of_a_multi_get_begins_for_a_client_that_left(leaves: bool) -> None:
    """Nor do further fetches of the command, although each dropped one frees its slot for the next."""

    async def test(site: Site) -> None:
        client = await site.client()
        await client.many([f"k{number}" for number in range(40)], "warm")
        await asyncio.sleep(0.3)
        hold = HoldUp(site.loop, client.writer.transport.get_extra_info("socket")._sock, leaves)
        before_call(site.host, "_send", hold, lambda action: action.server == "store")
        client.ask_many([f"k{number}" for number in range(40)])
        await asyncio.sleep(1.0)
        assert hold.at
        late = [at for at, _, _, _ in site.attempts if at > hold.at + GONE_S]
        assert bool(late) != leaves

    on_site(test, fate=lambda place, key, time: "ok" if place == "store" else "miss")


# Several requests that wait for one fetch


@pytest.mark.parametrize("stays", [True, False])
def test_unsent_fetch_continues_for_a_client_that_still_waits(stays: bool) -> None:
    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        cache = bed.caches["a"]
        cache.on_request = cache.miss
        for line in list(bed.origin.connections):
            line.transport.close()
        await bed.settle()
        gate = bed.loop.gates[bed.origin.address] = asyncio.Event()
        bed.origin.on_request = bed.origin.serve
        leader, follower = await bed.client(), await bed.client()
        leader.send_request("r1")
        await bed.wait(REUSE_DELAY_S * 3)
        follower.send_request("r2")
        await bed.wait(REUSE_DELAY_S * 3)
        assert [name for _, _, name in bed.requests] == ["r1", "r2"]
        hold = HoldUp(bed.loop, raw(leader), leaves=True)
        before_call(bed.pool, "opened", hold)
        if not stays:
            follower.transport.abort()
            await bed.settle()
        gate.set()
        await bed.wait(1.0)
        assert hold.at
        assert bed.origin.request_ids == (["r2"] if stays else [])
        assert follower.replies() == ([b"value of r2"] if stays else [])
        await bed.wait(2.0)
        bed.assert_nothing_left()

    run_with_router(test, settings=LONG_DIALS)


def test_fetch_does_not_pass_to_another_request_of_a_client_that_left() -> None:
    """A disconnect drops the connection's requests one by one: nothing is sent for the next meanwhile."""

    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        cache = bed.caches["a"]
        cache.on_request = cache.miss
        other = await bed.client()
        other.send_request("w1", "put", value=b"v", key="w")
        await bed.wait(REUSE_DELAY_S * 3)
        line = await bed.client()
        for name in ("r1", "r2", "r3"):
            line.send_request(name)
            await bed.wait(REUSE_DELAY_S * 3)
        assert bed.origin.request_ids == ["w1", "r1"]
        bed.origin.serve(bed.origin.connection_of("w1"), "w1")
        await bed.wait(REUSE_DELAY_S * 3)
        hold = HoldUp(bed.loop, raw(line), leaves=True)
        hold()
        await bed.wait(1.0)
        assert bed.origin.request_ids == ["w1", "r1"]
        await bed.wait(2.0)
        bed.assert_nothing_left()

    run_with_router(test)


def test_id_reused_in_the_loop_iteration_of_a_disconnect_is_answered() -> None:
    """The close of the old connection, a loop iteration later, does not drop the new request."""

    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        cache = bed.caches["a"]
        line, again = await bed.client(), await bed.client()
        await bed.wait(0.3)
        hold = HoldUp(bed.loop, raw(line), leaves=True)
        line.send_request("r")
        again.send_request("r")
        hold()
        cache.on_request = cache.serve
        await bed.wait(1.0)
        assert again.replies() == [b"value of r"]
        assert cache.request_ids == ["r"]
        bed.assert_nothing_left()

    run_with_router(test)


# The number of polls


def test_recently_read_client_is_not_polled() -> None:
    """Only clients that were not read lately are polled: none while the loop is on time."""

    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        cache = bed.caches["a"]
        cache.on_request = cache.serve
        line = await bed.client()
        looked = []
        whole = ClientConnection.client_has_disconnected

        def look(self: ClientConnection) -> bool:
            looked.append(bed.loop.time())
            return whole(self)

        with patch.object(ClientConnection, "client_has_disconnected", look):
            for number in range(200):
                line.send_request(f"r{number}", key=f"k{number}")
                await bed.wait(0.015)
        assert len(line.replies()) == 200
        assert len(looked) == 1, "only for the first command of the connection"

    run_with_router(test)


def test_busy_connection_is_polled_every_50_ms() -> None:
    """Behind bytes that arrive in every loop iteration only a poll of the socket finds a disconnect."""

    async def test(bed: RouterHarness) -> None:
        await warm(bed)
        cache = bed.caches["a"]
        cache.on_request = cache.serve
        line = await bed.client()
        looked = []
        whole = ClientConnection.client_has_disconnected

        def look(self: ClientConnection) -> bool:
            looked.append(bed.loop.time())
            return whole(self)

        with patch.object(ClientConnection, "client_has_disconnected", look):
            for number in range(1000):
                line.send_request(f"r{number}", key=f"k{number}")
                await bed.wait(0.001)
        await bed.wait(REUSE_DELAY_S * 2)
        assert len(line.replies()) == 1000
        assert len(looked) <= 1.0 / 0.05 + 2

    run_with_router(test)
