"""Upgrades between router processes that share the clients' listening socket, which the test holds."""

from __future__ import annotations

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import threading
from collections.abc import Iterator
from pathlib import Path

from pebblepass.daemon.server_connection import MAX_CONNECTIONS_PER_SERVER
from pebblepass.emulators.ports import take_port
from tests.daemon.test_operations import call_control, read_counters
from tests.processes import kill_process
from tests.sockets import (
    LONG_DEADLINE_CLASSES,
    LONG_DEADLINE_MS,
    ROOT,
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
    put,
    start_router,
)


class Site:
    """What the platform provides: the listening socket, the folder, the endpoint list and the processes."""

    def __init__(self, folder: Path, caches: dict[str, Peer], sockets: int = 256) -> None:
        self.folder, self.caches = folder, caches
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.port = int(self.listener.getsockname()[1])
        self.discovery = DiscoveryPeer([entry(peer, name) for name, peer in caches.items()])
        self.limits = {"cores": 1.0, "memory_mb": 80, "sockets": sockets}
        self.processes: list[subprocess.Popen[str]] = []
        self.logs: list[str] = []
        self.numbers = itertools.count()
        self.cleanup = contextlib.ExitStack()

    def start(self, checkout: Path = ROOT) -> tuple[subprocess.Popen[str], int]:
        """Start a checkout's process, and wait until it is ready; returns it and its control address."""
        ops = take_port()
        config = {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.peer.port}",
            "settings": {**SETTINGS, "classes": LONG_DEADLINE_CLASSES},
            "limits": self.limits,
            "ops": f"127.0.0.1:{ops}",
        }
        folder = self.folder / str(len(self.processes))
        folder.mkdir()
        descriptor = self.listener.fileno()
        environ = {"LB_INHERITED_FD": str(descriptor), "TMPDIR": str(self.folder)}
        process = start_router(folder, config, (descriptor,), checkout, **environ)
        self.processes.append(process)
        self.cleanup.callback(kill_process, process)
        eventually(lambda: process.poll() is not None or is_ready_at(ops), "the router is ready")
        assert process.poll() is None, process.communicate()[1]
        return process, ops

    def end(self, process: subprocess.Popen[str]) -> None:
        """Shut a process down by SIGTERM."""
        process.send_signal(signal.SIGTERM)
        _, log = process.communicate(timeout=WAIT_TIMEOUT_S)
        self.logs.append(log)
        assert process.returncode == 0, log

    def client(self) -> Client:
        return Client(self.port)


def is_ready_at(ops: int) -> bool:
    with contextlib.suppress(OSError):
        return call_control(ops, "ready")[0] == 200
    return False


@contextlib.contextmanager
def site(folder: Path, caches: dict[str, Peer], sockets: int = 256) -> Iterator[Site]:
    upgrade = Site(folder, caches, sockets)
    with upgrade.cleanup:
        try:
            yield upgrade
        finally:
            for process in upgrade.processes:
                if process.poll() is None:
                    upgrade.end(process)
            upgrade.listener.close()
            for peer in (*caches.values(), upgrade.discovery.peer):
                peer.close()
    assert not any("Traceback" in log for log in upgrade.logs), upgrade.logs


def served(ops: int) -> int:
    return read_counters(ops)["answered.get"]


def descriptor_count(process: subprocess.Popen[str]) -> int:
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def test_clients_keep_their_connections_through_two_upgrades(tmp_path: Path) -> None:
    with site(tmp_path, {"s1": Peer(lambda _, words: hit(b"v"))}) as upgrade:
        old, _ = upgrade.start()
        clients = [upgrade.client() for _ in range(40)]
        for number, client in enumerate(clients):
            assert client.request(get(f"a{number}")) == b"v"
        for turn in ("b", "c"):
            new, ops = upgrade.start()
            upgrade.end(old)
            for number, client in enumerate(clients):
                assert client.request(get(f"{turn}{number}")) == b"v"
            assert served(ops) == len(clients)
            old = new


def test_partial_command_is_completed_at_the_new_process(tmp_path: Path) -> None:
    with site(tmp_path, {"s1": Peer(lambda _, words: hit(b"v"))}) as upgrade:
        old, _ = upgrade.start()
        client, command = upgrade.client(), get("q1")
        assert client.request(bulk(b"HELLO", b"2")).startswith(b"*")
        assert [client.read_reply() for _ in range(14)][-1] == b"*0"
        client.send(command[:30])
        _, ops = upgrade.start()
        upgrade.end(old)
        assert client.request(command[30:]) == b"v"
        assert served(ops) == 1


def test_open_request_is_answered_by_the_process_that_accepted_it(tmp_path: Path) -> None:
    waiting: list[socket.socket] = []

    def cache(connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[1] == b"slow":
            waiting.append(connection)
            return None
        return hit(b"quick")

    with site(tmp_path, {"s1": Peer(cache)}) as upgrade:
        old, old_ops = upgrade.start()
        client = upgrade.client()
        client.send(get("q1", "slow", LONG_DEADLINE_MS))
        eventually(lambda: waiting, "the request at its server")
        _, ops = upgrade.start()
        old.send_signal(signal.SIGTERM)
        # The new process serves everything else from now on.
        assert upgrade.client().request(get("q2")) == b"quick"
        assert read_counters(old_ops)["current"] == 1
        waiting[0].sendall(hit(b"late"))
        assert client.read_reply() == b"late"
        assert client.request(get("q3")) == b"quick"
        assert served(ops) == 2
        old.communicate(timeout=WAIT_TIMEOUT_S)
        assert old.returncode == 0


def test_old_process_keeps_the_server_connections_that_its_open_requests_wait_for(tmp_path: Path) -> None:
    """Guards against requests that are rejected for want of connections: those that rest look idle."""
    at_server, pipelined, rounds = MAX_CONNECTIONS_PER_SERVER, 16, 8
    may_answer = threading.Event()
    # An answer comes only while every connection has a request.
    all_connections = threading.Barrier(at_server)

    def cache(_: socket.socket, words: list[bytes]) -> bytes:
        may_answer.wait(WAIT_TIMEOUT_S)
        all_connections.wait(WAIT_TIMEOUT_S)
        return hit(words[2])

    with site(tmp_path, {"s1": Peer(cache)}) as upgrade:
        old, _ = upgrade.start()
        clients = [upgrade.client() for _ in range(at_server * rounds // pipelined)]
        for name, client in enumerate(clients):
            requests = [get(f"q{name}.{n}", f"k{n}", LONG_DEADLINE_MS) for n in range(pipelined)]
            client.send(b"".join(requests))
        eventually(lambda: len(upgrade.caches["s1"].requests) == at_server, "every connection has a request")
        upgrade.start()
        old.send_signal(signal.SIGTERM)
        may_answer.set()
        for name, client in enumerate(clients):
            assert [client.read_reply() for _ in range(pipelined)] == [
                f"q{name}.{n}".encode() for n in range(pipelined)
            ]
        upgrade.end(old)


def test_old_process_serves_again_when_the_new_one_is_killed(tmp_path: Path) -> None:
    with site(tmp_path, {"s1": Peer(lambda _, words: hit(b"v"))}) as upgrade:
        old, ops = upgrade.start()
        new, _ = upgrade.start()
        eventually(lambda: not is_ready_at(ops), "the old process is not ready")
        new.kill()
        new.communicate(timeout=WAIT_TIMEOUT_S)
        eventually(lambda: is_ready_at(ops), "the old process is ready again")
        assert upgrade.client().request(get("q1")) == b"v"
        # It still hands over to the next process.
        _, next_ops = upgrade.start()
        upgrade.end(old)
        assert upgrade.client().request(get("q2")) == b"v"
        assert served(next_ops) == 1


def test_old_process_serves_again_when_the_new_one_is_terminated(
    tmp_path: Path,
) -> None:
    waiting: list[socket.socket] = []

    def cache(connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[1] == b"slow":
            waiting.append(connection)
            return None
        return hit(b"quick")

    with site(tmp_path, {"s1": Peer(cache)}) as upgrade:
        _, old_ops = upgrade.start()
        new, ops = upgrade.start()
        eventually(lambda: not is_ready_at(old_ops), "the old process is not ready")
        client = upgrade.client()
        client.send(get("q1", "slow", LONG_DEADLINE_MS))
        eventually(lambda: waiting, "the request at its server")
        new.send_signal(signal.SIGTERM)
        eventually(lambda: not is_ready_at(ops), "the new process is not ready")
        assert new.poll() is None, "it still has an open request"
        waiting[0].sendall(hit(b"late"))
        assert client.read_reply() == b"late"
        assert client.at_end()
        new.communicate(timeout=WAIT_TIMEOUT_S)
        assert new.returncode == 0
        eventually(lambda: is_ready_at(old_ops), "the old process is ready again")
        assert upgrade.client().request(get("q2")) == b"quick"


def test_leftover_socket_of_a_killed_process_does_not_block_a_start(tmp_path: Path) -> None:
    with site(tmp_path, {"s1": Peer(lambda _, words: hit(b"v"))}) as upgrade:
        old, _ = upgrade.start()
        old.kill()
        old.communicate(timeout=WAIT_TIMEOUT_S)
        _, ops = upgrade.start()
        assert upgrade.client().request(get("q1")) == b"v"
        assert served(ops) == 1


def test_stopped_old_process_does_not_block_a_start(tmp_path: Path) -> None:
    with site(tmp_path, {"s1": Peer(lambda _, words: hit(b"v"))}) as upgrade:
        old, _ = upgrade.start()
        old.send_signal(signal.SIGSTOP)
        try:
            _, ops = upgrade.start()
            assert upgrade.client().request(get("q1")) == b"v"
            assert served(ops) == 1
        finally:
            old.send_signal(signal.SIGCONT)


def test_endpoint_list_comes_from_the_old_process_if_discovery_fails(tmp_path: Path) -> None:
    with site(tmp_path, {"s1": Peer(lambda _, words: hit(b"v"))}) as upgrade:
        old, _ = upgrade.start()
        assert upgrade.client().request(get("q1")) == b"v"
        upgrade.discovery.invalid_reply = http_answer(503)
        _, ops = upgrade.start()
        upgrade.end(old)
        assert upgrade.client().request(get("q2")) == b"v"
        assert (served(ops), read_counters(ops)["cluster_size"]) == (1, 1)


def test_health_of_servers_is_known_to_the_new_process(tmp_path: Path) -> None:
    caches = {"up": Peer(lambda _, words: hit(b"v")), "dead": Peer(lambda _, words: hit(b"v"))}
    with site(tmp_path, caches) as upgrade:
        caches["dead"].close()
        old, ops = upgrade.start()
        client = upgrade.client()

        def found() -> bool:
            for number in range(8):
                client.request(get(f"q{served(ops)}.{number}", f"k{number}"))
            return read_counters(ops)["cluster_unhealthy"] == 1

        eventually(found, "a server is found unhealthy")
        _, ops = upgrade.start()
        upgrade.end(old)
        assert read_counters(ops)["cluster_unhealthy"] == 1


def new_client_is_served(upgrade: Site) -> bool:
    """Whether a new client is served; one that is closed without an answer connects again, as clients do."""
    with contextlib.suppress(ConnectionError):
        return upgrade.client().request(get(f"q{next(upgrade.numbers)}")) == b"v"
    return False


def test_both_processes_together_stay_within_one_descriptor_limit(tmp_path: Path) -> None:
    limit = 160
    caches = {f"s{i}": Peer(lambda _, words: hit(b"v")) for i in range(4)}
    with site(tmp_path, caches, sockets=limit) as upgrade:
        old, _ = upgrade.start()
        clients: list[Client] = []

        def connect_more() -> None:
            for _ in range(60):
                with contextlib.suppress(OSError):
                    clients.append(upgrade.client())

        connect_more()
        eventually(lambda: descriptor_count(old) > limit // 3, "many connections at the old process")
        peak = descriptor_count(old)
        new, _ = upgrade.start()
        connect_more()
        for _ in range(20):
            peak = max(peak, descriptor_count(old) + descriptor_count(new))
            eventually(lambda: new_client_is_served(upgrade), "an answer among many connections")
        upgrade.end(old)
        connect_more()
        eventually(lambda: descriptor_count(new) > limit // 3, "many connections at the new process")
        assert max(peak, descriptor_count(new)) <= limit


def sent_to(store: Peer, request_id: str) -> int:
    """Return how often a request was sent to the store."""
    return sum(f"Request-Id: {request_id}\r\n".encode() in message[2] for message in store.requests)


def test_write_in_flight_at_the_old_process_is_not_run_again_at_the_new_one(tmp_path: Path) -> None:
    """Guards against an effect twice, as a client leaves one process and comes again at the other."""
    may_answer = threading.Event()

    def serve_store(_: socket.socket, message: list[bytes]) -> bytes:
        if b"Request-Id: w\r\n" in message[2]:
            may_answer.wait(WAIT_TIMEOUT_S)
        return http_answer(200, b"receipt")

    store = Peer(serve_store, is_http=True)
    with site(tmp_path, {"s1": Peer(lambda _, words: hit(b"v"))}) as upgrade:
        upgrade.discovery.instances.append(entry(store, "origin", "origin"))
        old, _ = upgrade.start()
        write = put("w", cls="once", d=LONG_DEADLINE_MS)
        leaving = upgrade.client()
        leaving.send(write)
        eventually(
            lambda: any(b"Request-Id: w\r\n" in sent[2] for sent in store.requests), "the write is sent"
        )
        upgrade.start()
        old.send_signal(signal.SIGTERM)
        leaving.close()
        again = upgrade.client()
        again.send(write + get("r"))
        may_answer.set()
        assert again.read_reply().startswith(b"-")
        assert again.read_reply() == b"v"
        assert sent_to(store, "w") == 1
        again.close()
    store.close()
