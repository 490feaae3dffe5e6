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
from tests.multi_get.deployment import Deployment, run_on_deployment
from tests.sockets import MISS, SETTINGS, bulk, http_answer
from tests.virtual_router import Advertised, PeerConnection, RouterHarness, VirtualClient, run_with_router

CLIENT_TIMEOUT_MS = 2000
DIAL_DELAY_S = 1.5
SLOW_DIALS = {"ceilings": {**SETTINGS["ceilings"], "dialTimeoutNs": int(DIAL_DELAY_S * 1.2 * 1e9)}}
TWO_CACHES = ("a", "b")
BUSY = b"-BUSY latency_ms=1.5,queue=2\r\n"


def advertised_too_much(seen: list[Advertised], sent_at: float, timeout_ms: int) -> list[Advertised]:
    """The attempts that advertised more time than was left for a request sent at `sent_at`."""
    return [attempt for attempt in seen if attempt.timeout_ms > left_ms(attempt, sent_at, timeout_ms)]


def left_ms(attempt: Advertised, sent_at: float, timeout_ms: int) -> float:
    """The time left when an attempt's bytes were written; rounded, as the virtual clock adds up floats."""
    return round(timeout_ms - (attempt.at - sent_at) * 1000, 3)


def advertised_to(harness: RouterHarness, request: str) -> list[Advertised]:
    """The timeouts that all attempts at a request advertised, in order of time."""
    peers = [*harness.caches.values(), harness.origin]
    return sorted(attempt for peer in peers for attempt in peer.advertised if attempt.request == request)


def answer_after(
    harness: RouterHarness, seconds: float, answer: bytes
) -> Callable[[PeerConnection, str], None]:
    """Return a handler that answers every request after a delay."""

    def answer_later(connection: PeerConnection, name: str) -> None:
        harness.loop.call_later(seconds, connection.transport.write, answer)

    return answer_later


async def learn_usual_latencies(harness: RouterHarness) -> None:
    """Serve reads at once for a while, so that attempts at a server that is silent later time out early."""
    for peer in harness.caches.values():
        peer.on_request = peer.serve
    other = await harness.client()
    for number in range(120):
        other.send_request(f"learn{number}", key=f"learn{number}")
        await harness.wait(0.012)
    for peer in harness.caches.values():
        peer.on_request = lambda connection, name: None


# Single requests: each path makes at least one attempt, some of them late in the client's time


async def first_read(harness: RouterHarness, client: VirtualClient) -> int:
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await harness.wait(0.1)
    return 1


async def read_after_miss(harness: RouterHarness, client: VirtualClient) -> int:
    for cache in harness.caches.values():
        cache.on_request = answer_after(harness, 0.4, MISS)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await harness.wait(1.0)
    return 2


async def read_after_busy(harness: RouterHarness, client: VirtualClient) -> int:
    for cache in harness.caches.values():
        cache.on_request = answer_after(harness, 0.3, BUSY)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await harness.wait(1.5)
    return 3


async def read_after_reset(harness: RouterHarness, client: VirtualClient) -> int:
    def reset_later(connection: PeerConnection, name: str) -> None:
        harness.loop.call_later(0.3, connection.reset)

    for cache in harness.caches.values():
        cache.on_request = reset_later
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await harness.wait(1.5)
    return 2


async def read_after_attempt_timeout(harness: RouterHarness, client: VirtualClient) -> int:
    await learn_usual_latencies(harness)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await harness.wait(1.9)
    return 2


async def read_behind_another_fetch(harness: RouterHarness, client: VirtualClient) -> int:
    for cache in harness.caches.values():
        cache.on_request = cache.miss
    harness.host._router.origin_limits.fetch_window = 1.0
    other = await harness.client()
    other.send_request("other", key="other")
    await harness.settle()
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await harness.wait(0.05)
    harness.origin.serve(harness.origin.connection_of("other"), "other")
    await harness.wait(0.2)
    return 2


async def read_that_waits_for_a_dial(harness: RouterHarness, client: VirtualClient) -> int:
    gates = {cache.address: asyncio.Event() for cache in harness.caches.values()}
    harness.loop.gates.update(gates)
    client.send_request("r", d=CLIENT_TIMEOUT_MS)
    await harness.wait(DIAL_DELAY_S)
    for gate in gates.values():
        gate.set()
    await harness.wait(0.1)
    return 1


async def write(harness: RouterHarness, client: VirtualClient, request_class: str) -> None:
    client.send_request("r", request_class, d=CLIENT_TIMEOUT_MS, value=b"v")
    await harness.wait(1.5)


async def keyed_write_after_refusals(harness: RouterHarness, client: VirtualClient) -> int:
    harness.origin.on_request = answer_after(harness, 0.3, http_answer(503, b"", "Not-Started: 1"))
    await write(harness, client, "put")
    return 2


async def unsafe_write_after_refusals(harness: RouterHarness, client: VirtualClient) -> int:
    harness.origin.on_request = answer_after(harness, 0.3, http_answer(503, b"", "Not-Started: 1"))
    await write(harness, client, "once")
    return 2


async def keyed_write_after_error(harness: RouterHarness, client: VirtualClient) -> int:
    harness.origin.on_request = answer_after(harness, 0.3, http_answer(500))
    await write(harness, client, "put")
    return 2


async def write_that_waits_for_a_dial(harness: RouterHarness, client: VirtualClient) -> int:
    gate = harness.loop.gates[harness.origin.address] = asyncio.Event()
    client.send_request("r", "once", d=CLIENT_TIMEOUT_MS, value=b"v")
    await harness.wait(DIAL_DELAY_S)
    gate.set()
    await harness.wait(0.1)
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
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        sent: list[float] = []
        original_send = client.send_request

        def ask_and_record(*args: Any, **kwargs: Any) -> None:
            sent.append(harness.loop.time())
            original_send(*args, **kwargs)

        client.send_request = ask_and_record  # type: ignore[method-assign]
        minimum = await path(harness, client)
        (sent_at,) = sent
        seen = advertised_to(harness, "r")
        assert len(seen) >= minimum
        assert advertised_too_much(seen, sent_at, CLIENT_TIMEOUT_MS) == []
        assert all(attempt.timeout_ms >= SHORTEST_TIMEOUT_MS for attempt in seen)
        # Nor less, but for the rounding down to milliseconds: the server may use all the time left.
        assert all(attempt.timeout_ms > left_ms(attempt, sent_at, CLIENT_TIMEOUT_MS) - 1 for attempt in seen)

    run_with_router(test, TWO_CACHES, SLOW_DIALS)


def test_retry_by_the_client_advertises_its_own_timeout() -> None:
    async def test(harness: RouterHarness) -> None:
        for cache in harness.caches.values():
            cache.on_request = cache.miss
        client = await harness.client()
        client.send_request("r1", d=900)
        await harness.wait(0.5)
        sent_at = harness.loop.time()
        info = b"c=get,t=acme,d=400,r=1"
        client.transport.write(bulk(b"KV.GET", b"other", b"r2", info))
        await harness.wait(0.1)
        seen = advertised_to(harness, "r2")
        assert len(seen) == 2
        assert advertised_too_much(seen, sent_at, 400) == []

    run_with_router(test, TWO_CACHES)


def test_origin_gets_all_other_fields_unchanged_and_in_order() -> None:
    async def test(harness: RouterHarness) -> None:
        heads: list[bytes] = []
        original_cut = harness.origin.split_request

        def cut(data: bytes) -> tuple[str, bytes] | None:
            parsed = original_cut(data)
            if parsed is not None:
                heads.append(data)
            return parsed

        harness.origin.split_request = cut  # type: ignore[method-assign]
        client = await harness.client()
        info = b"size=9,c=put,d=0700,t=acme,x=d=2,k=5c,r=1"
        client.transport.write(bulk(b"KV.SET", b"key", b"w", info, b"value"))
        await harness.wait(0.1)
        assert b"Request-Info: size=9,c=put,d=700,t=acme,x=d=2,k=5c,r=1\r\n" in heads[0]

    run_with_router(test)


# Too little time for any attempt


@pytest.mark.parametrize(("left_us", "is_sent"), [(1500, True), (500, False)])
@pytest.mark.parametrize("request_class", ["get", "put", "once"])
def test_nothing_is_sent_with_less_than_a_millisecond_left(
    request_class: str, left_us: int, is_sent: bool
) -> None:
    """The dial succeeds shortly before the deadline, whose own timer is not due yet."""

    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        peers = [*harness.caches.values(), harness.origin]
        gate = asyncio.Event()
        harness.loop.gates.update((peer.address, gate) for peer in peers)
        value = None if request_class == "get" else b"v"
        client.send_request("r", request_class, d=100, value=value)
        await harness.wait(0.1 - left_us / 1e6)
        gate.set()
        await harness.wait(1.0)
        seen = advertised_to(harness, "r")
        assert [attempt.timeout_ms for attempt in seen] == ([1] if is_sent else [])
        assert len(client.replies()) == 1
        await harness.wait(2.0)
        harness.assert_nothing_left()

    run_with_router(test, settings=SLOW_DIALS)


@pytest.mark.parametrize("request_class", ["get", "put", "once"])
def test_dial_that_succeeds_in_a_stall_past_the_deadline_sends_nothing(request_class: str) -> None:
    async def test(harness: RouterHarness) -> None:
        client = await harness.client()
        gate = asyncio.Event()
        harness.loop.gates.update((peer.address, gate) for peer in [*harness.caches.values(), harness.origin])
        value = None if request_class == "get" else b"v"
        client.send_request("r", request_class, d=100, value=value)
        await harness.settle()
        gate.set()
        opened = harness.pool.opened

        def opened_late(connection: Any) -> None:
            harness.loop.stall(0.2)
            opened(connection)

        harness.pool.opened = opened_late
        await harness.wait(1.0)
        assert advertised_to(harness, "r") == []
        assert len(client.replies()) == 1
        await harness.wait(2.0)
        harness.assert_nothing_left()

    run_with_router(test, settings=SLOW_DIALS)


# Multi-gets


def behavior_of_batches(server: str, key: str, attempt_number: int) -> str:
    """Some keys miss, some are rejected, and one gets no answer from its first node."""
    if server == "store":
        return "ok"
    if key == "silent" and attempt_number == 1:
        return "silent"
    return {"0": "miss", "1": "busy", "2": "slow0.2"}.get(key[-1:], "ok")


def test_batches_and_fetches_of_a_multi_get_advertise_the_time_left() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        sent_at = deployment.loop.time()
        await client.multi_get([f"k{number}" for number in range(40)] + ["silent"])
        seen = [attempt for attempt in deployment.advertised if attempt.request.startswith("q")]
        assert len([at for at, server, _, _ in deployment.attempts if server == "store"]) > 0
        assert any(attempt.at - sent_at > 0.05 for attempt in seen), "no attempt was late"
        assert advertised_too_much(seen, sent_at, 1000) == []

    run_on_deployment(test, behavior=behavior_of_batches)


def test_batch_that_waited_for_connections_advertises_the_time_left() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        for node in deployment.nodes:
            deployment.loop.set_silent(("127.0.0.1", node.ports["here"]), True)
        sent_at = deployment.loop.time()
        client.send_multi_get([f"k{number}" for number in range(8)], d=3000)
        await asyncio.sleep(0.6)
        for node in deployment.nodes:
            deployment.loop.set_silent(("127.0.0.1", node.ports["here"]), False)
        await client.read_reply()
        deployment.replied_at["q"] = deployment.loop.time()
        seen = [attempt for attempt in deployment.advertised if attempt.request.startswith("q")]
        assert any(attempt.at - sent_at > 0.4 for attempt in seen), "no attempt waited"
        assert advertised_too_much(seen, sent_at, 3000) == []

    run_on_deployment(test)


def test_second_copy_advertises_at_most_the_time_left() -> None:
    def behavior(server: str, key: str, attempt_number: int) -> str:
        return "silent" if key == "slow" and attempt_number == 1 else "ok"

    async def test(deployment: Deployment) -> None:
        for number in range(40):
            client = await deployment.client()
            await client.multi_get([f"k{index}" for index in range(20)], request=f"warm{number}")
        sent_at = deployment.loop.time()
        await client.multi_get(["a", "b", "c", "slow"])
        copies = [attempt for attempt in deployment.advertised if attempt.request == "q.3"]
        assert len(copies) == 2
        assert copies[1].at > copies[0].at
        assert advertised_too_much(copies, sent_at, 1000) == []

    run_on_deployment(test, behavior=behavior)


def test_no_batch_is_sent_after_the_deadline_of_its_command() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        await client.multi_get([f"k{number}" for number in range(40)], "warm")
        await asyncio.sleep(0.1)  # every node has an idle connection: no dial is needed
        pool: Any = deployment.daemon._pool
        submit = pool.submit
        delayed: list[Any] = []

        def submit_late(server: str, exchange: Any) -> None:
            if not delayed:
                delayed.append(exchange)
                deployment.loop.stall(0.5)
            submit(server, exchange)

        pool.submit = submit_late
        sent_at = deployment.loop.time()
        await client.multi_get(["k1", "k2", "k3"], d=200)
        assert delayed
        sent_late = [attempt for attempt in deployment.advertised if attempt.at > sent_at + 0.2 - 0.001]
        assert sent_late == []

    run_on_deployment(test)


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
    others: list[tuple[str, str]], position: int, before: int, after: int
) -> None:
    def info_with(timeout: int) -> bytes:
        pairs = [f"{name}={word}" for name, word in others]
        pairs.insert(min(position, len(pairs)), f"d={timeout}")
        return ",".join(pairs).encode()

    assert with_timeout(info_with(before), after) == info_with(after)
