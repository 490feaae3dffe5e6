"""No attempt advertises more time than its client has left, on whatever path it is made."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pebblepass.daemon.deadline_propagation import NS_PER_MS, SHORTEST_TIMEOUT_MS, remaining_ms
from pebblepass.wire.resp import with_timeout
from tests.multi_get.site import Site, on_site
from tests.sockets import MISS, SETTINGS, bulk, http_answer
from tests.virtual_router import Advertised, PeerConnection, RouterHarness, VirtualClient, run_with_router

CLIENT_TIMEOUT_MS = 2000
DIAL_S = 1.5
SLOW_DIALS = {"ceilings": {**SETTINGS["ceilings"], "dialTimeoutNs": int(DIAL_S * 1.2 * 1e9)}}
TWO_CACHES = ("a", "b")
BUSY = b"-BUSY latency_ms=1.5,queue=2\r\n"


def advertised_too_much(seen: list[Advertised], sent_at: float, timeout_ms: int) -> list[Advertised]:
    """The attempts that advertised more time than was left for a request sent at `sent_at`."""
    return [each for each in seen if each.timeout_ms > left_ms(each, sent_at, timeout_ms)]


def left_ms(attempt: Advertised, sent_at: float, timeout_ms: int) -> float:
    """The time left when an attempt's bytes were written; rounded, as the virtual clock adds up floats."""
    return round(timeout_ms - (attempt.at - sent_at) * 1000, 3)


def advertised_to(bed: RouterHarness, request: str) -> list[Advertised]:
    """The timeouts that all attempts at a request advertised, in order of time."""
    peers = [*bed.caches.values(), bed.origin]
    return sorted(each for peer in peers for each in peer.advertised if each.request == request)


def answer_after(bed: RouterHarness, seconds: float, answer: bytes) -> Callable[[PeerConnection, str], None]:
    """Return a handler that answers every request after a delay."""

    def came(line: PeerConnection, name: str) -> None:
        bed.loop.call_later(seconds, line.transport.write, answer)

    return came


async def learn_usual_latencies(bed: RouterHarness) -> None:
    """Serve reads at once for a while, so that attempts at a server that is silent later time out early."""
    for peer in bed.caches.values():
        peer.on_request = peer.serve
    other = await bed.client()
    for number in range(120):
        other.send_request(f"learn{number}", key=f"learn{number}")
        await bed.wait(0.012)
    for peer in bed.caches.values():
        peer.on_request = lambda line, name: None


# Single requests: each path makes at least one attempt, some of them late in the client's time


async def first_read(bed: RouterHarness, client: VirtualClient) -> int:
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await bed.wait(0.1)
    return 1


async def read_after_miss(bed: RouterHarness, client: VirtualClient) -> int:
    for cache in bed.caches.values():
        cache.on_request = answer_after(bed, 0.4, MISS)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await bed.wait(1.0)
    return 2


async def read_after_busy(bed: RouterHarness, client: VirtualClient) -> int:
    for cache in bed.caches.values():
        cache.on_request = answer_after(bed, 0.3, BUSY)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await bed.wait(1.5)
    return 3


async def read_after_reset(bed: RouterHarness, client: VirtualClient) -> int:
    def reset_later(line: PeerConnection, name: str) -> None:
        bed.loop.call_later(0.3, line.reset)

    for cache in bed.caches.values():
        cache.on_request = reset_later
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await bed.wait(1.5)
    return 2


async def read_after_attempt_timeout(bed: RouterHarness, client: VirtualClient) -> int:
    await learn_usual_latencies(bed)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await bed.wait(1.9)
    return 2


async def read_behind_another_fetch(bed: RouterHarness, client: VirtualClient) -> int:
    for cache in bed.caches.values():
        cache.on_request = cache.miss
    bed.host._router.origin_limits.fetch_window = 1.0
    other = await bed.client()
    other.send_request("other", key="other")
    await bed.settle()
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await bed.wait(0.05)
    bed.origin.serve(bed.origin.connection_of("other"), "other")
    await bed.wait(0.2)
    return 2


async def read_that_waits_for_a_dial(bed: RouterHarness, client: VirtualClient) -> int:
    gates = {cache.address: asyncio.Event() for cache in bed.caches.values()}
    bed.loop.gates.update(gates)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await bed.wait(DIAL_S)
    for gate in gates.values():
        gate.set()
    await bed.wait(0.1)
    return 1


async def write(bed: RouterHarness, client: VirtualClient, request_class: str) -> None:
    client.send_request("r", request_class, d=CLIENT_TIMEOUT_MS, value=b"v")
    await bed.wait(1.5)


async def keyed_write_after_refusals(bed: RouterHarness, client: VirtualClient) -> int:
    bed.origin.on_request = answer_after(bed, 0.3, http_answer(503, b"", "Not-Started: 1"))
    await write(bed, client, "put")
    return 2


async def unsafe_write_after_refusals(bed: RouterHarness, client: VirtualClient) -> int:
    bed.origin.on_request = answer_after(bed, 0.3, http_answer(503, b"", "Not-Started: 1"))
    await write(bed, client, "once")
    return 2


async def keyed_write_after_error(bed: RouterHarness, client: VirtualClient) -> int:
    bed.origin.on_request = answer_after(bed, 0.3, http_answer(500))
    await write(bed, client, "put")
    return 2


async def write_that_waits_for_a_dial(bed: RouterHarness, client: VirtualClient) -> int:
    gate = bed.loop.gates[bed.origin.address] = asyncio.Event()
    client.send_request("r", "once", d=CLIENT_TIMEOUT_MS, value=b"v")
    await bed.wait(DIAL_S)
    gate.set()
    await bed.wait(0.1)
    return 1


PATHS: list[Callable[[RouterHarness, VirtualClient], Awaitable[int]]] = [
    first_read,
    read_after_miss,
    read_after_busy,
    read_after_reset,
    read_after_attempt_timeout,
    read_behind_another_fetch,
    read_that_waits_for_a_dial,
    keyed_write_after_refusals,
    unsafe_write_after_refusals,
    keyed_write_after_error,
    write_that_waits_for_a_dial,
]
"""Each returns the minimum number of attempts that it makes."""


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.__name__)
def test_every_attempt_advertises_at_most_the_time_left(
    path: Callable[[RouterHarness, VirtualClient], Awaitable[int]],
) -> None:
    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        sent: list[float] = []
        ask = client.send_request

        def ask_and_note(*args: Any, **more: Any) -> None:
            sent.append(bed.loop.time())
            ask(*args, **more)

        client.send_request = ask_and_note  # type: ignore[method-assign]
        least = await path(bed, client)
        (sent_at,) = sent
        seen = advertised_to(bed, "r")
        assert len(seen) >= least
        assert advertised_too_much(seen, sent_at, CLIENT_TIMEOUT_MS) == []
        assert all(each.timeout_ms >= SHORTEST_TIMEOUT_MS for each in seen)
        # Nor less, but for the rounding down to milliseconds: the server may use all the time left.
        assert all(each.timeout_ms > left_ms(each, sent_at, CLIENT_TIMEOUT_MS) - 1 for each in seen)

    run_with_router(test, TWO_CACHES, SLOW_DIALS)


def test_retry_by_the_client_advertises_its_own_timeout() -> None:
    async def test(bed: RouterHarness) -> None:
        for cache in bed.caches.values():
            cache.on_request = cache.miss
        client = await bed.client()
        client.send_request("r1", d=900)
        await bed.wait(0.5)
        sent_at = bed.loop.time()
        info = b"c=get,t=acme,d=400,r=1"
        client.transport.write(bulk(b"KV.GET", b"other", b"r2", info))
        await bed.wait(0.1)
        seen = advertised_to(bed, "r2")
        assert len(seen) == 2
        assert advertised_too_much(seen, sent_at, 400) == []

    run_with_router(test, TWO_CACHES)


def test_origin_gets_all_other_fields_unchanged_and_in_order() -> None:
    async def test(bed: RouterHarness) -> None:
        heads: list[bytes] = []
        whole = bed.origin.split_request

        def cut(data: bytes) -> tuple[str, bytes] | None:
            found = whole(data)
            if found is not None:
                heads.append(data)
            return found

        bed.origin.split_request = cut  # type: ignore[method-assign]
        client = await bed.client()
        info = b"size=9,c=put,d=0700,t=acme,x=d=2,k=5c,r=1"
        client.transport.write(bulk(b"KV.SET", b"key", b"w", info, b"value"))
        await bed.wait(0.1)
        assert b"Request-Info: size=9,c=put,d=700,t=acme,x=d=2,k=5c,r=1\r\n" in heads[0]

    run_with_router(test)


# Too little time for any attempt


@pytest.mark.parametrize(("left_us", "is_sent"), [(1500, True), (500, False)])
@pytest.mark.parametrize("request_class", ["get", "put", "once"])
def test_nothing_is_sent_with_less_than_a_millisecond_left(
    request_class: str, left_us: int, is_sent: bool
) -> None:
    """The dial succeeds shortly before the deadline, whose own timer is not due yet."""

    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        peers = [*bed.caches.values(), bed.origin]
        gate = asyncio.Event()
        bed.loop.gates.update((peer.address, gate) for peer in peers)
        value = None if request_class == "get" else b"v"
        client.send_request("r", request_class, d=100, value=value)
        await bed.wait(0.1 - left_us / 1e6)
        gate.set()
        await bed.wait(1.0)
        seen = advertised_to(bed, "r")
        assert [each.timeout_ms for each in seen] == ([1] if is_sent else [])
        assert len(client.replies()) == 1
        await bed.wait(2.0)
        bed.assert_nothing_left()

    run_with_router(test, settings=SLOW_DIALS)


@pytest.mark.parametrize("request_class", ["get", "put", "once"])
def test_dial_that_succeeds_in_a_stall_past_the_deadline_sends_nothing(request_class: str) -> None:
    async def test(bed: RouterHarness) -> None:
        client = await bed.client()
        gate = asyncio.Event()
        bed.loop.gates.update((peer.address, gate) for peer in [*bed.caches.values(), bed.origin])
        value = None if request_class == "get" else b"v"
        client.send_request("r", request_class, d=100, value=value)
        await bed.settle()
        gate.set()
        opened = bed.pool.opened

        def opened_late(connection: Any) -> None:
            bed.loop.stall(0.2)
            opened(connection)

        bed.pool.opened = opened_late
        await bed.wait(1.0)
        assert advertised_to(bed, "r") == []
        assert len(client.replies()) == 1
        await bed.wait(2.0)
        bed.assert_nothing_left()

    run_with_router(test, settings=SLOW_DIALS)


# Multi-gets


def fate_of_batches(place: str, key: str, time: int) -> str:
    """Some keys miss, some are rejected, and one gets no answer from its first node."""
    if place == "store":
        return "ok"
    if key == "silent" and time == 1:
        return "silent"
    return {"0": "miss", "1": "busy", "2": "slow0.2"}.get(key[-1:], "ok")


def test_batches_and_fetches_of_a_multi_get_advertise_the_time_left() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        sent_at = site.loop.time()
        await client.many([f"k{number}" for number in range(40)] + ["silent"])
        seen = [each for each in site.advertised if each.request.startswith("q")]
        assert len([at for at, place, _, _ in site.attempts if place == "store"]) > 0
        assert any(each.at - sent_at > 0.05 for each in seen), "no attempt was late"
        assert advertised_too_much(seen, sent_at, 1000) == []

    on_site(test, fate=fate_of_batches)


def test_batch_that_waited_for_connections_advertises_the_time_left() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        for node in site.nodes:
            site.loop.set_silent(("127.0.0.1", node.ports["here"]), True)
        sent_at = site.loop.time()
        client.ask_many([f"k{number}" for number in range(8)], d=3000)
        await asyncio.sleep(0.6)
        for node in site.nodes:
            site.loop.set_silent(("127.0.0.1", node.ports["here"]), False)
        await client.answer()
        site.answered["q"] = site.loop.time()
        seen = [each for each in site.advertised if each.request.startswith("q")]
        assert any(each.at - sent_at > 0.4 for each in seen), "no attempt waited"
        assert advertised_too_much(seen, sent_at, 3000) == []

    on_site(test)


def test_second_copy_advertises_at_most_the_time_left() -> None:
    def fate(place: str, key: str, time: int) -> str:
        return "silent" if key == "slow" and time == 1 else "ok"

    async def test(site: Site) -> None:
        for number in range(40):
            client = await site.client()
            await client.many([f"k{each}" for each in range(20)], request=f"warm{number}")
        sent_at = site.loop.time()
        await client.many(["a", "b", "c", "slow"])
        copies = [each for each in site.advertised if each.request == "q.3"]
        assert len(copies) == 2
        assert copies[1].at > copies[0].at
        assert advertised_too_much(copies, sent_at, 1000) == []

    on_site(test, fate=fate)


def test_no_batch_is_sent_after_the_deadline_of_its_command() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        await client.many([f"k{number}" for number in range(40)], "warm")
        await asyncio.sleep(0.1)  # every node has an idle connection: no dial is needed
        pool: Any = site.daemon._pool
        submit = pool.submit
        held: list[Any] = []

        def submit_late(server: str, exchange: Any) -> None:
            if not held:
                held.append(exchange)
                site.loop.stall(0.5)
            submit(server, exchange)

        pool.submit = submit_late
        sent_at = site.loop.time()
        await client.many(["k1", "k2", "k3"], d=200)
        assert held
        late = [each for each in site.advertised if each.at > sent_at + 0.2 - 0.001]
        assert late == []

    on_site(test)


# Computing the remaining time, and rewriting it in the request


@given(
    st.integers(0, 1 << 50),
    st.integers(-10 * NS_PER_MS, 10_000 * NS_PER_MS),
    st.integers(1, 10_000),
)
def test_advertised_time_is_between_the_minimum_and_the_time_left(
    now: int, left: int, client_timeout_ms: int
) -> None:
    advertised = remaining_ms(now + left, now, client_timeout_ms)
    assert SHORTEST_TIMEOUT_MS <= advertised <= client_timeout_ms
    if left >= NS_PER_MS:
        assert advertised * NS_PER_MS <= left


names = st.text("abcdkrtx", min_size=1, max_size=4).filter(lambda name: name != "d")
words = st.text("abcd=0159.", max_size=6)


@given(
    st.lists(st.tuples(names, words), max_size=6), st.integers(0, 6), st.integers(0, 10**9), st.integers(1)
)
def test_rewriting_the_timeout_keeps_the_other_fields_and_their_order(
    others: list[tuple[str, str]], place: int, before: int, after: int
) -> None:
    def listed(timeout: int) -> bytes:
        pairs = [f"{name}={word}" for name, word in others]
        pairs.insert(min(place, len(pairs)), f"d={timeout}")
        return ",".join(pairs).encode()

    assert with_timeout(listed(before), after) == listed(after)
