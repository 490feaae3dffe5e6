"""A router process's control address, and the clients' socket that it inherits from the platform."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from pebblepass.emulators.ports import take_port
from tests.processes import end_by_sigterm, ending
from tests.sockets import (
    MISS,
    SETTINGS,
    WAIT_TIMEOUT_S,
    Client,
    DiscoveryPeer,
    Peer,
    bulk,
    entry,
    eventually,
    get,
    hit,
    http_answer,
    is_ready,
    put,
    running_router,
    start_router,
)


def call_control(port: int, path: str) -> tuple[int, str]:
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_S) as connection:
        connection.sendall(f"GET /control/{path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        answer = b"".join(iter(lambda: connection.recv(65536), b""))
    head, _, body = answer.decode().partition("\r\n\r\n")
    return int(head.split()[1]), body


def read_counters(port: int) -> dict[str, int]:
    status, body = call_control(port, "counters")
    assert status == 200
    lines = (line.removeprefix("svc.").partition("|")[0].partition(":") for line in body.split())
    return {name: int(value) for name, _, value in lines}


def test_counters_match_the_requests_that_were_sent(tmp_path: Path) -> None:
    slow = bytes(200 << 10)

    def cache(_: socket.socket, words: list[bytes]) -> bytes | None:
        match words[1]:
            case b"long":
                return hit(slow)
            case b"bad":
                return b"-ERR failed\r\n"
            case b"open":
                return None
        return MISS

    ops = take_port()
    statuses = {b"/nobody": 404, b"/bad": 500}
    store = Peer(lambda _, words: http_answer(statuses.get(words[1], 200), b"v"), True)
    caches = {f"s{i}": Peer(cache) for i in range(3)}
    with running_router(tmp_path, caches, store, ops=ops) as router:
        client = router.client()
        assert call_control(ops, "ready")[0] == 200
        before = read_counters(ops)
        assert (before["cluster_size"], before["cluster_unhealthy"], before["current"]) == (3, 0, 0)
        assert client.request(get("q1", "long")) == slow  # one send
        assert client.request(get("q2", "k")) == b"v"  # a miss, and a fetch
        assert client.request(put("q3")) == b"v"  # one send, to the store
        client.send(get("q4", "nobody"))
        assert client.stream.readline() == b"$-1\r\n"
        assert client.request(get("q5", "bad")).startswith(b"-BUSY")
        assert client.request(get("q6", "k", d=0)).startswith(b"-BUSY")
        counters = read_counters(ops)
        assert (counters["answered.get"], counters["answered.put"]) == (2, 1)
        assert (counters["deferred.get"], counters["errored.get"]) == (2, 1)
        sent = sum(len(peer.requests) for peer in (*caches.values(), store))
        assert counters["sends"] == sent
        client.send(get("q7", "open"))
        eventually(lambda: read_counters(ops)["current"] == 1, "the open request")
        client.close()
        eventually(lambda: read_counters(ops)["current"] == 0, "the end of the open request")
        for peer in caches.values():
            peer.close()


def test_router_in_shutdown_is_not_ready(tmp_path: Path) -> None:
    silent = Peer(lambda _, words: None)
    ops = take_port()
    with running_router(tmp_path, {"s1": silent}, ops=ops) as router:
        client = router.client()
        client.send(get("q1", d=1500))
        eventually(lambda: silent.requests, "the request at its server")
        router.terminate()
        eventually(lambda: call_control(ops, "ready")[0] == 503, "the router is not ready")
        assert client.read_reply().startswith((b"-BUSY", b"-ERR"))


def test_router_listens_on_an_inherited_socket(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"v"))
    discovery = DiscoveryPeer([entry(cache, "s1")])
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        config = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery.peer.port}",
            "settings": SETTINGS,
        }
        # A client that connects before the router starts is served too.
        early = Client(port)
        early.send(bulk(b"PING"))
        process = start_router(tmp_path, config, (listener.fileno(),), LB_INHERITED_FD=str(listener.fileno()))
        try:
            eventually(lambda: is_ready(port), "the router is ready")
            assert early.read_reply() in (b"+PONG", b"-LOADING no list of servers yet")
            assert Client(port).request(get("q1")) == b"v"
        finally:
            end_by_sigterm(process, WAIT_TIMEOUT_S)
        assert process.returncode == 0
        # The router closes its copy of the socket; the platform's own stays open.
        assert listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)


@pytest.mark.parametrize(
    ("given", "complaint"),
    [
        ("three", "LB_INHERITED_FD: expected the number of a descriptor, got 'three'"),
        ("987", "LB_INHERITED_FD: descriptor 987: Bad file descriptor"),
        ("0", "LB_INHERITED_FD: descriptor 0: "),
        ("silent", "does not listen"),
        ("other", "listens at 127.0.0.1:"),
    ],
)
def test_invalid_inherited_descriptor_is_reported_in_one_line(
    tmp_path: Path, given: str, complaint: str
) -> None:
    with socket.socket() as silent, socket.create_server(("127.0.0.1", 0)) as other:
        descriptors = {"silent": silent.fileno(), "other": other.fileno()}
        config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
        number = str(descriptors.get(given, given))
        process = start_router(tmp_path, config, tuple(descriptors.values()), LB_INHERITED_FD=number)
        with ending(process):
            _, log = process.communicate(timeout=WAIT_TIMEOUT_S)
    assert process.returncode == 2
    assert complaint in log
    assert log.count("\n") == 1
