"""Tests of a router process: long values, heavy load, shutdown, invalid configuration and reloads."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.sockets import (
    MISS,
    ROOT,
    SETTINGS,
    WAIT_TIMEOUT_S,
    Client,
    DiscoveryPeer,
    Peer,
    RunningRouter,
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

LONG_VALUE = bytes(range(256)) * 4096 * 2  # 2 MiB


def test_long_value_is_complete_and_its_connection_is_reused(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(LONG_VALUE if words[1] == b"long" else b"short"))
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        for i in range(3):
            assert client.request(get(f"l{i}", "long")) == LONG_VALUE
            assert client.request(get(f"s{i}")) == b"short"
        assert cache.connection_count == 1


def test_long_value_of_the_origin_is_complete(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
    origin = Peer(lambda _, words: http_answer(200, LONG_VALUE), True)
    with running_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert client.request(get("l1")) == LONG_VALUE
        assert client.request(get("l2")) == LONG_VALUE
        assert origin.connection_count == 1


def test_truncated_long_value_ends_visibly_incomplete(tmp_path: Path) -> None:
    def answer(connection: socket.socket, words: list[bytes]) -> bytes:
        connection.sendall(hit(LONG_VALUE)[: len(LONG_VALUE) // 2])
        connection.shutdown(socket.SHUT_RDWR)
        return b""

    cache = Peer(answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        with contextlib.suppress(ConnectionResetError):
            assert client.request(get("l1")).startswith(b"cut off")
        assert router.client().request(bulk(b"PING")) == b"+PONG"


def test_long_value_of_a_wrong_length_ends_visibly_incomplete(tmp_path: Path) -> None:
    # The bytes after the announced length can be parsed as the rest of the answer.
    answer = b"*3\r\n$%d\r\n" % len(LONG_VALUE) + LONG_VALUE + b"xx+of\r\n$3\r\nhit\r\n$-1\r\n"
    cache = Peer(lambda _, words: answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("l1"))
        with contextlib.suppress(ConnectionResetError):
            assert client.read_reply().startswith(b"cut off")
        assert router.client().request(bulk(b"PING")) == b"+PONG"


def test_long_value_waits_for_earlier_answers(tmp_path: Path) -> None:
    request_arrived = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        if words[2] == b"slow":
            request_arrived.wait(10)
            return hit(b"slow")
        request_arrived.set()
        return hit(LONG_VALUE)

    cache = Peer(answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("slow") + get("l1", "long"))
        assert client.read_reply() == b"slow"
        assert client.read_reply() == LONG_VALUE


def test_long_values_for_clients_that_never_read_stay_within_memory(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(LONG_VALUE * 2))
    with running_router(tmp_path, {"s1": cache}) as router:
        before = router.memory_kb()
        clients = [router.client() for _ in range(15)]  # the maximum number of attempts at one server
        for i, client in enumerate(clients):
            client.send(get(f"l{i}", f"k{i}"))
        eventually(lambda: len(cache.requests) == len(clients), "all attempts")
        assert router.client().request(bulk(b"PING")) == b"+PONG"
        assert router.memory_kb() - before < 15 * 1024  # of 60 MiB in transit
        for client in clients:
            client.close()


def test_long_commands_of_many_clients_are_read_in_turn(tmp_path: Path) -> None:
    origin = Peer(lambda _, message: http_answer(200, b"%d" % len(message[3])), True)
    limits = {"cores": 1.0, "memory_mb": 32, "sockets": 512}
    value = bytes(64 << 10)
    with running_router(tmp_path, {}, origin, limits=limits) as router:
        stuck = [router.client() for _ in range(120)]  # more than the memory for long commands suffices for
        for i, client in enumerate(stuck):
            client.send(put(f"stuck{i}", value)[:1000])
        answers: list[bytes] = []

        def write(i: int) -> None:
            client = router.client()
            answers.append(client.request(put(f"w{i}", value, d=15_000)))
            client.close()

        writers = [threading.Thread(target=write, args=(i,)) for i in range(12)]
        for writer in writers:
            writer.start()
        for writer in writers:
            writer.join(WAIT_TIMEOUT_S)
        assert answers == [b"%d" % len(value)] * 12
        for client in stuck:
            assert client.read_reply().startswith(b"-ERR")
        assert router.memory_kb() < 64 * 1024


def test_deep_pipeline_is_answered_in_order(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with running_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(b"".join(get(f"r{i}", f"k{i}", 15_000) for i in range(600)))
        assert [client.read_reply() for _ in range(600)] == [b"r%d" % i for i in range(600)]


def test_connection_reset_by_its_server_does_not_fail_a_safe_read(tmp_path: Path) -> None:
    def answer(connection: socket.socket, words: list[bytes]) -> bytes | None:
        connection.sendall(hit(words[2]))
        reset(connection)
        return None

    first, second = Peer(answer), Peer(answer)
    with running_router(tmp_path, {"s1": first, "s2": second}) as router:
        client = router.client()
        for i in range(20):
            assert client.request(get(f"r{i}", f"k{i}")) in (b"r%d" % i, b"-BUSY")


DEADLINE_S = 2.0  # of every class in SETTINGS
SHUTDOWN_REJECTS_AFTER_S = 0.65 + DEADLINE_S / 2  # from SIGTERM on; then busy connections get -BUSY


def _send_requests(
    router_port: int,
    stop: threading.Event,
    unserved: list[tuple[float, bytes]],
    served: list[str],
    name: str,
) -> None:
    """Send requests as the protocol requires: after a close between requests on a new connection."""
    client, i = Client(router_port), 0
    while not stop.is_set():
        i += 1
        try:
            answer = client.request(get(f"{name}.{i}"))
        except OSError:
            answer = b""
        if not answer:
            try:
                client = Client(router_port)
            except OSError:
                return  # the router has exited, with no request of this client open
            continue
        if answer == f"{name}.{i}".encode():
            served.append(answer.decode())
        else:
            unserved.append((time.monotonic(), answer))


def test_sigterm_under_load_answers_all_accepted_requests(tmp_path: Path) -> None:
    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        threading.Event().wait(0.02)
        return hit(words[2])

    cache = Peer(answer)
    with running_router(tmp_path, {"s1": cache}) as router:
        stop, unserved, served = threading.Event(), list[tuple[float, bytes]](), list[str]()
        threads = [
            threading.Thread(target=_send_requests, args=(router.port, stop, unserved, served, f"c{i}"))
            for i in range(6)
        ]
        for thread in threads:
            thread.start()
        eventually(lambda: len(served) > 30, "load")
        slow = router.client()
        slow.send(get("taken"))
        rejects_from = time.monotonic() + SHUTDOWN_REJECTS_AFTER_S
        router.terminate()
        late = router.client()  # it still accepts connections for a while
        assert late.request(get("late")) == b"late"
        assert slow.read_reply() == b"taken"
        assert router.process.wait(WAIT_TIMEOUT_S) == 0
        stop.set()
        for thread in threads:
            thread.join(WAIT_TIMEOUT_S)
        # A client that never pauses may keep its connection until the shutdown rejects new commands.
        assert [(at, answer) for at, answer in unserved if answer != b"-BUSY" or at < rejects_from] == []
        assert slow.at_end()


def _bad_configs() -> Iterator[tuple[str | None, str]]:
    good: dict[str, Any] = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    yield None, "LB_CONFIG"
    yield "{nonsense", "config"
    yield "[]", "expected object"
    yield json.dumps({**good, "settings": {}}), "classes"
    yield json.dumps({**good, "listen": "nowhere"}), "listen"
    yield json.dumps({**good, "limits": {"sockets": "many"}}), "sockets"
    yield json.dumps({**good, "known": {"instances": 5}}), "list of servers"
    yield json.dumps({key: value for key, value in good.items() if key != "settings"}), "settings"


@pytest.mark.parametrize(("text", "words"), list(_bad_configs()))
def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, text: str | None, words: str) -> None:
    environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        environ["LB_CONFIG"] = str(tmp_path / "config.json")
    result = subprocess.run(
        [sys.executable, "-m", "pebblepass.daemon"],
        cwd=ROOT,
        env=environ,
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S,
        check=False,
    )
    assert result.returncode != 0
    assert len(result.stderr.splitlines()) == 1
    assert words in result.stderr


def test_clients_and_servers_together_stay_within_the_descriptors(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(WAIT_TIMEOUT_S)
        return hit(words[2])

    caches = {f"s{i}": Peer(answer) for i in range(8)}
    limit = 160
    with running_router(tmp_path, caches, limits={"cores": 1.0, "memory_mb": 64, "sockets": limit}) as router:
        clients = []
        for i in range(limit):
            clients.append(router.client())
            with contextlib.suppress(OSError):  # one over the limit is closed
                clients[-1].send(get(f"r{i}", f"k{i}", 15_000))
        assert clients[-1].at_end()  # by then every connection within the limit is accepted
        eventually(lambda: sum(len(cache.requests) for cache in caches.values()) > 40, "load on both sides")
        assert router.descriptors() <= limit
        release.set()
        for client in clients:
            client.close()


def _reload(router: RunningRouter, discovery_port: int) -> None:
    config = json.loads(router.config.read_text())
    config["discovery"] = f"127.0.0.1:{discovery_port}"
    router.config.write_text(json.dumps(config))
    router.process.send_signal(signal.SIGHUP)


def test_reload_keeps_the_list_until_the_new_discovery_answers(tmp_path: Path) -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))
    with running_router(tmp_path, {"s1": old}) as router:
        client = router.client()
        assert client.request(get("r0")) == b"old"
        may_answer = threading.Event()
        second = DiscoveryPeer([entry(new, "s2")])
        answer = second.peer.handler
        second.peer.handler = lambda connection, words: (
            may_answer.wait(WAIT_TIMEOUT_S),
            answer(connection, words),
        )[1]
        _reload(router, second.peer.port)
        eventually(lambda: second.peer.requests, "a call of the new discovery")
        assert router.client().request(get("r1")) == b"old"
        third = entry(new, "s3")
        router.discovery.change(third)  # changes at the old discovery still apply
        request_ids = (f"w{i}" for i in range(100_000))
        eventually(
            lambda: router.client().request(get(next(request_ids))) == b"new", "the list of the old discovery"
        )
        router.discovery.peer.close()
        second.instances = [entry(old, "s1")]
        may_answer.set()
        eventually(
            lambda: router.client().request(get(next(request_ids))) == b"old", "the list of the new discovery"
        )
        second.change(entry(old, "s1", lifecycle="removed"), third)
        eventually(
            lambda: router.client().request(get(next(request_ids))) == b"new", "the new discovery's changes"
        )
        second.peer.close()


@pytest.mark.parametrize("text", ["", '{"listen": "127.0', "[]", '{"discovery": 5}'])
def test_reload_of_an_invalid_file_changes_nothing_until_a_valid_one(tmp_path: Path, text: str) -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))
    with running_router(tmp_path, {"s1": old}) as router:
        good = router.config.read_text()
        router.config.write_text(text)
        router.process.send_signal(signal.SIGHUP)
        assert router.client().request(get("r0")) == b"old"
        router.config.write_text(good)
        second = DiscoveryPeer([entry(new, "s2")])
        _reload(router, second.peer.port)
        request_ids = (f"w{i}" for i in range(100_000))
        eventually(
            lambda: router.client().request(get(next(request_ids))) == b"new", "the new discovery's list"
        )
        second.peer.close()


def test_reload_of_a_partly_written_file_applies_it_once_complete(tmp_path: Path) -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))
    second = DiscoveryPeer([entry(new, "s2")])
    with running_router(tmp_path, {"s1": old}) as router:
        config = json.loads(router.config.read_text())
        config["discovery"] = f"127.0.0.1:{second.peer.port}"
        complete = json.dumps(config)
        router.config.write_text(complete[:100])
        router.process.send_signal(signal.SIGHUP)
        assert router.client().request(get("r0")) == b"old"
        router.config.write_text(complete)
        request_ids = (f"w{i}" for i in range(100_000))
        eventually(
            lambda: router.client().request(get(next(request_ids))) == b"new", "the new discovery's list"
        )
    second.peer.close()


def test_long_values_of_unknown_length_stay_within_memory(tmp_path: Path) -> None:
    value, count, limit = bytes(range(256)) * 4096 * 3, 16, 40
    may_finish = threading.Event()
    may_finish.set()

    def store(connection: socket.socket, words: list[bytes]) -> bytes | None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(value)
        connection.sendall(head + value[:-1])
        may_finish.wait(WAIT_TIMEOUT_S)
        return value[-1:] + b"\r\n0\r\n\r\n"

    cache = Peer(lambda _, words: MISS)
    origin = Peer(store, True)
    limits = {"cores": 1.0, "memory_mb": limit, "sockets": 512}
    with running_router(tmp_path, {"s1": cache}, origin, limits=limits) as router:
        assert router.client().request(get("first", "first", d=60_000)) == value
        before = router.memory_kb()
        clients = [router.client() for _ in range(count)]
        may_finish.clear()
        for number, client in enumerate(clients):
            client.send(get(f"q{number}", f"k{number}", d=60_000))
        eventually(lambda: len(origin.requests) > count, "all requests at the store")
        samples = [before]

        def at_rest() -> bool:
            samples.append(router.memory_kb())
            return len(samples) > 30 and len(set(samples[-20:])) == 1

        eventually(at_rest, "the memory stops growing")
        may_finish.set()
        for client in clients:
            assert client.read_reply() == value
            samples.append(router.memory_kb())
        peak = max(samples)
        assert (peak - before) / 1024 < limit / 2 < count * len(value) / (1 << 20)
