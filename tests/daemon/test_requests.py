"""Tests of a router process over loopback sockets: reads, writes, failures and invalid input."""

from __future__ import annotations

import re
import socket
import threading
import time
from pathlib import Path

import pytest

from tests.sockets import (
    LONG_DEADLINE_CLASSES,
    LONG_DEADLINE_MS,
    MISS,
    WAIT_TIMEOUT_S,
    Peer,
    bulk,
    entry,
    eventually,
    get,
    hit,
    http_answer,
    put,
    reset,
    running_router,
)


def fields(info: bytes) -> dict[str, str]:
    return dict(part.split("=", 1) for part in info.decode().split(","))


def test_read_that_hits_forwards_all_fields_but_the_timeout(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"value of " + words[1]))
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert client.request(get("id1", "a/key", 5000, ",r=1,size=9,h=77")) == b"value of a/key"
        (words,) = cache.requests
        assert words[:3] == [b"KV.GET", b"a/key", b"id1"]
        info = fields(words[3])
        assert 0 < int(info.pop("d")) <= 5000
        assert info == {"c": "get", "t": "acme", "r": "1", "size": "9", "h": "77"}
        assert client.request(get("id2")) == b"value of k"
        assert cache.connection_count == 1  # the connection is reused


def test_read_that_misses_is_fetched_from_the_origin(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: MISS)
    origin = Peer(lambda _, words: http_answer(200, b"fetched", "Server-Load: latency_ms=2,queue=1"), True)
    with running_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().request(get("id1", "p kg".replace(" ", "/"), 4321)) == b"fetched"
        (message,) = origin.requests
        assert message[:2] == [b"GET", b"/p/kg"]
        assert b"Request-Id: id1\r\n" in message[2]
        (timeout,) = re.findall(rb"Request-Info: c=get,t=acme,d=(\d+)\r\n", message[2])
        assert 0 < int(timeout) <= 4321


def test_write_goes_to_the_origin_with_its_value(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"wrong"))
    origin = Peer(lambda _, message: http_answer(200, b"receipt " + message[3]), True)
    with running_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().request(put("w1", b"\r\n$bytes\x00")) == b"receipt \r\n$bytes\x00"
        assert origin.requests[0][0] == b"PUT"
        assert b"k=5c" in origin.requests[0][2]
        assert not cache.requests


def test_pipelined_commands_are_answered_in_order(tmp_path: Path) -> None:
    fast_arrived = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        if words[2] == b"slow":
            fast_arrived.wait(10)
        else:
            fast_arrived.set()
        return hit(words[2])

    cache = Peer(answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("slow") + get("fast") + bulk(b"PING"))
        assert [client.read_reply() for _ in range(3)] == [b"slow", b"fast", b"+PONG"]


@pytest.mark.parametrize(
    ("status", "header", "is_retried"),
    [
        (500, "X: 1", False),
        (503, "Not-Started: 1", True),
        (504, "Not-Started: 1", True),
        (503, "X: 1", False),
    ],
)
def test_unsafe_write_is_retried_only_if_it_never_ran(
    tmp_path: Path, status: int, header: str, is_retried: bool
) -> None:
    answers = [http_answer(status, b"", header), http_answer(200, b"done")]
    origin = Peer(lambda _, message: answers[min(len(origin.requests), 2) - 1], True)
    with running_router(tmp_path, {}, origin) as router:
        answer = router.client().request(put("w1", cls="once"))
        assert answer == (b"done" if is_retried else b"-ERR failed")
        assert len(origin.requests) == (2 if is_retried else 1)


def test_unsafe_write_is_not_retried_after_a_reset(tmp_path: Path) -> None:
    origin = Peer(lambda connection, _: reset(connection), True)
    with running_router(tmp_path, {}, origin) as router:
        assert router.client().request(put("w1", cls="once")) == b"-ERR failed"
        assert len(origin.requests) == 1


def test_read_is_retried_elsewhere_after_any_failure_of_a_cache(tmp_path: Path) -> None:
    def fail(connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[2] == b"reset":
            reset(connection)
        return {b"error": b"-ERR failed latency_ms=3,queue=4\r\n", b"full": b"-BUSY\r\n"}.get(
            words[2], b"junk\r\n"
        )

    bad, good = Peer(fail), Peer(lambda _, words: hit(words[2]))
    with running_router(tmp_path, {"s1": bad, "s2": good}) as router:
        client = router.client()
        for name in ("error", "junk", "reset"):
            for i in range(30):  # enough keys that each cache is the first choice for some
                sent = name if i % 2 else "fine"
                answer = client.request(get(f"{name}" if sent == name else f"fine{name}{i}", f"k{i}"))
                assert answer in (name.encode(), f"fine{name}{i}".encode())
        assert bad.requests


def test_server_that_resets_every_connection_is_avoided(tmp_path: Path) -> None:
    bad, good = Peer(lambda connection, _: reset(connection)), Peer(lambda _, words: hit(words[2]))
    with running_router(tmp_path, {"s1": bad, "s2": good}) as router:
        client = router.client()
        for i in range(80):  # enough keys that each cache is the first choice for about half
            assert client.request(get(f"r{i}", f"k{i}")) == b"r%d" % i
        assert 2 <= len(bad.requests) < 20


def test_server_that_resets_reused_connections_is_still_used(tmp_path: Path) -> None:
    served: dict[socket.socket, int] = {}
    both_connected = threading.Barrier(2)

    def answer(connection: socket.socket, words: list[bytes]) -> bytes | None:
        served[connection] = served.get(connection, 0) + 1
        if words[2] in (b"first", b"second"):
            both_connected.wait(WAIT_TIMEOUT_S)  # so that there are two connections, each with an answer
        return hit(words[2]) if served[connection] == 1 else reset(connection)

    shaky = Peer(answer)
    with running_router(tmp_path, {"s1": shaky}) as router:
        one, two = router.client(), router.client()
        one.send(get("first"))
        two.send(get("second"))
        assert (one.read_reply(), two.read_reply()) == (b"first", b"second")
        assert one.request(get("third")) == b"third"  # after two resets, on a new connection
        assert len(shaky.requests) == 5


def test_attempt_at_a_silent_server_times_out(tmp_path: Path) -> None:
    silent = Peer(lambda _, words: None)
    with running_router(tmp_path, {"s1": silent}) as router:
        client = router.client()
        started_at = time.monotonic()
        assert client.request(get("r1", d=300)).startswith(b"-BUSY ")
        assert time.monotonic() - started_at >= 0.25
        assert client.request(bulk(b"PING")) == b"+PONG"


def test_late_answer_reaches_no_other_request(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        if words[2] == b"first":
            release.wait(10)
        return hit(words[2])

    cache = Peer(answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert client.request(get("first", d=200)).startswith(b"-BUSY")
        release.set()
        for i in range(10):
            # the decision module may reject requests after a timeout; a value must be the request's own
            reply = client.request(get(f"r{i}"))
            assert reply == b"r%d" % i or reply.startswith(b"-BUSY")


def test_answer_without_a_request_is_dropped_with_its_connection(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]) + (hit(b"stray") if words[2] == b"r0" else b""))
    with running_router(tmp_path, {"s1": cache}, settings={"classes": LONG_DEADLINE_CLASSES}) as router:
        client = router.client()
        answers = [client.request(get(f"r{i}", d=LONG_DEADLINE_MS)) for i in range(3)]
        assert answers == [b"r0", b"r1", b"r2"]
        assert cache.connection_count >= 2


def test_request_id_is_free_again_after_a_disconnect(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(10)
        return hit(words[2])

    cache = Peer(answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("left"))
        eventually(lambda: cache.requests, "the attempt")
        client.close()
        release.set()
        assert eventually(lambda: router.client().request(get("left")) == b"left", "the id is free again")


def test_draining_server_gets_no_new_request(tmp_path: Path) -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))
    with running_router(tmp_path, {"s1": old}) as router:
        client = router.client()
        assert client.request(get("r0")) == b"old"
        router.discovery.change(entry(old, "s1", lifecycle="draining"), entry(new, "s2"))
        request_ids = (f"w{i}" for i in range(10_000))
        eventually(lambda: client.request(get(next(request_ids))) == b"new", "the new list is used")
        count = len(old.requests)
        for i in range(20):
            assert client.request(get(f"r{i + 1}", f"k{i}")) == b"new"
        assert len(old.requests) == count


def test_server_is_found_at_its_new_address(tmp_path: Path) -> None:
    first, second = Peer(lambda _, words: hit(b"first")), Peer(lambda _, words: hit(b"second"))
    with running_router(tmp_path, {"s1": first}) as router:
        client = router.client()
        assert client.request(get("r0")) == b"first"
        router.discovery.change(entry(second, "s1"))
        request_ids = (f"w{i}" for i in range(10_000))
        eventually(lambda: client.request(get(next(request_ids))) == b"second", "the new address")


@pytest.mark.parametrize(
    "junk",
    [
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        http_answer(200, b"{nonsense"),
        http_answer(200, b'{"generation":9,"reset":true,"instances":[{"instanceId":"s1"}]}'),
        b"no http at all\r\n\r\n",
    ],
)
def test_invalid_answers_of_discovery_change_nothing(tmp_path: Path, junk: bytes) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with running_router(tmp_path, {"s1": cache}) as router:
        router.discovery.invalid_reply = junk
        calls_before = len(router.discovery.peer.requests)
        router.discovery.change(entry(cache, "s1"))
        eventually(lambda: len(router.discovery.peer.requests) > calls_before + 2, "more calls of discovery")
        assert router.client().request(get("r1")) == b"r1"


def test_known_list_is_used_while_discovery_is_silent(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with running_router(tmp_path, {}, known=[entry(cache, "s1")], discovery_reply=b"") as router:
        assert router.client().request(get("r1")) == b"r1"


@pytest.mark.parametrize(
    ("data", "words", "closes"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", b"Protocol error", True),
        (b"*1\r\n+PING\r\n", b"Protocol error", True),
        (b"*999999999\r\n", b"Protocol error", True),
        (b"*1\r\n$4\r\nPINGxx", b"Protocol error", True),
        (b"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nc\r\n$65537\r\n", b"too long", True),
        (bulk(b"KV.GET", b"k", b"id"), b"number of arguments", False),
        (bulk(b"KV.SET", b"k", b"id", b"c=put,d=9"), b"number of arguments", False),
        (bulk(b"FLUSHALL"), b"unknown command", False),
        (bulk(b"KV.GET", b"k", b"id", b"c=get,t=acme"), b"d must be", False),
        (bulk(b"KV.GET", b"k", b"id", b"c=get,d=soon"), b"d must be", False),
        (bulk(b"KV.GET", b"k", b"id", b"d=100"), b"c must", False),
        (bulk(b"KV.GET", b"k", b"id", b"c=nosuch,d=100"), b"unknown class", False),
        (bulk(b"KV.GET", b"k", b"id\r\nX-Forged: 1", b"c=get,d=100"), b"plain text", False),
        (bulk(b"KV.GET", b"", b"id", b"c=get,d=100"), b"key must", False),
    ],
)
def test_invalid_input_gets_an_error_and_reaches_no_server(
    tmp_path: Path, data: bytes, words: bytes, closes: bool
) -> None:
    cache = Peer(lambda _, message: hit(b"reached"))
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        answer = client.request(data)
        assert answer.startswith(b"-ERR")
        assert words in answer
        if closes:
            assert client.at_end()
        else:
            assert client.request(bulk(b"PING")) == b"+PONG"
        assert not cache.requests


def test_unknown_tenant_is_served_like_no_tenant(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"served"))
    with running_router(tmp_path, {"s1": cache}) as router:
        assert router.client().request(bulk(b"KV.GET", b"k", b"id", b"c=get,t=nobody,d=5000")) == b"served"


def test_duplicate_id_is_rejected_while_the_first_is_open(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(10)
        return hit(b"served")

    cache = Peer(answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        first, second = router.client(), router.client()
        first.send(get("same"))
        eventually(lambda: cache.requests, "the attempt")
        assert second.request(get("same")) == b"-ERR duplicate id"
        release.set()
        assert first.read_reply() == b"served"
        assert len(cache.requests) == 1


def test_incomplete_command_reaches_no_server(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"served"))
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("r1")[:-5])
        client.close()
        assert router.client().request(get("r2")) == b"served"
        assert len(cache.requests) == 1


def test_command_sent_byte_by_byte_is_served(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[1]))
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in get("r1", "slowly"):
            client.send(bytes([byte]))
        assert client.read_reply() == b"slowly"
