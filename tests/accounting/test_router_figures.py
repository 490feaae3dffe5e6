"""The ledger of a router process, compared with the actions of scripted clients."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from pebblepass.emulators.ports import take_port
from tests.sockets import MISS, Peer, RunningRouter, eventually, get, hit, http_answer, reset, running_router

LONG_VALUE_BYTES = 200_000


class Deployment:
    """A router with a ledger, a node whose answers depend on the key, and a store."""

    def __init__(self, running: RunningRouter, listen: int, folder: Path, released: threading.Event) -> None:
        self.running, self.listen, self.folder, self.released = running, listen, folder, released

    def document(self) -> dict[str, Any]:
        connection = http.client.HTTPConnection("127.0.0.1", self.listen, timeout=20)
        connection.request("GET", "/figures")
        document: dict[str, Any] = json.loads(connection.getresponse().read())
        connection.close()
        return document

    def row(self, namespace: str = "acme") -> dict[str, Any]:
        rows = [row for row in self.document()["figures"] if row["namespace"] == namespace]
        return rows[0] if rows else {}

    def wait_for_counts(self, **counts: int) -> dict[str, Any]:
        """Wait until the account has these counts, and return it."""

        def has_counts() -> bool:
            row = self.row()
            return all(row.get(name) == count for name, count in counts.items())

        eventually(has_counts, f"{counts}, not {self.row()}")
        return self.row()


@contextmanager
def deployed(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
    limits: dict[str, float] | None = None,
    section_keys: str = "",
) -> Iterator[Deployment]:
    released = threading.Event()

    def node(connection: socket.socket, command: list[bytes]) -> bytes | None:
        if command[1] == b"held":
            released.wait(20)
        if command[1] == b"long":
            value = hit(b"v" * LONG_VALUE_BYTES)
            connection.sendall(value[: LONG_VALUE_BYTES // 2])
            released.wait(20)
            return value[LONG_VALUE_BYTES // 2 :]
        if command[1] == b"half":
            connection.sendall(hit(b"v" * LONG_VALUE_BYTES)[: LONG_VALUE_BYTES // 2])
            return reset(connection)
        return MISS if command[1] == b"none" else hit(command[2])

    def store(_: socket.socket, message: list[bytes]) -> bytes:
        return http_answer(200, b"from the store")

    listen = take_port()
    operator = folder / "operator.toml"
    operator.write_text(f'[figures]\nlisten = "127.0.0.1:{listen}"\n{section_keys}')
    monkeypatch.setenv("PEBBLEPASS_OPERATOR", str(operator))
    with running_router(folder, {"s0": Peer(node)}, Peer(store, is_http=True), limits) as running:
        try:
            yield Deployment(running, listen, folder, released)
        finally:
            released.set()


def test_served_reads_misses_and_unconfigured_namespaces_are_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with deployed(tmp_path, monkeypatch) as deployment:
        client = deployment.running.client()
        for number in range(5):
            client.request(get(f"q{number}"))
        assert client.request(get("miss", key="none")) == b"from the store"
        client.request(get("other").replace(b"t=acme", b"t=what"))
        row = deployment.wait_for_counts(taken=6, served=6, open=0)
        assert row["attempts"] == {"miss": 1, "ok": 6}
        assert row["origin_fetches"] == 1
        assert sum(count for _, _, count in row["latency_us"]) == 6
        assert deployment.row("(other)")["taken"] == 1
        assert deployment.document()["breaches"] == 0


def test_client_that_leaves_before_or_during_its_answer_is_counted_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with deployed(tmp_path, monkeypatch) as deployment:
        before = deployment.running.client()
        before.send(get("before", key="held"))
        deployment.wait_for_counts(open=1)
        before.close()
        deployment.wait_for_counts(gone=1, open=0)
        during = deployment.running.client()
        during.send(get("during", key="long"))
        assert during.stream.read(1000)
        during.close()
        deployment.wait_for_counts(gone=2, open=0)
        deployment.released.set()  # the node answers the first request only now
        row = deployment.wait_for_counts(taken=2, gone=2, served=0, failed=0)
        assert row["open"] == 0
        assert deployment.document()["breaches"] == 0


def test_value_cut_off_by_the_node_is_counted_as_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with deployed(tmp_path, monkeypatch) as deployment:
        client = deployment.running.client()
        client.send(get("half", key="half"))
        assert client.read_reply().startswith(b"cut off")
        row = deployment.wait_for_counts(taken=1, failed=1)
        assert row["failed_by_reason"] == {"cut off": 1}


def test_pipelined_requests_are_counted_when_only_some_are_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with deployed(tmp_path, monkeypatch) as deployment:
        client = deployment.running.client()
        client.send(get("a") + get("b") + get("c", key="held") + get("d", key="held"))
        assert [client.read_reply(), client.read_reply()] == [b"a", b"b"]
        deployment.wait_for_counts(taken=4, served=2, open=2)
        client.close()
        deployment.wait_for_counts(taken=4, served=2, gone=2, open=0)


def test_duplicate_id_is_counted_and_malformed_input_is_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with deployed(tmp_path, monkeypatch) as deployment:
        first, second, third = (deployment.running.client() for _ in range(3))
        first.send(get("same", key="held"))
        deployment.wait_for_counts(open=1)
        assert second.request(get("same")) == b"-ERR duplicate id"
        assert third.request(b"*junk\r\n").startswith(b"-ERR")
        assert second.request(get("x").replace(b"c=get", b"c=odd")) == b"-ERR unknown class"
        row = deployment.wait_for_counts(taken=2, failed=1, open=1)
        assert row["failed_by_reason"] == {"duplicate id": 1}
        deployment.released.set()
        assert first.read_reply() == b"same"
        deployment.wait_for_counts(taken=2, failed=1, served=1)


def test_requests_refused_at_the_connection_limit_are_counted_as_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Of 89 descriptors 19 remain for clients, as the accounting listener and its connections use 35.
    with deployed(tmp_path, monkeypatch, {"cores": 1.0, "memory_mb": 192, "sockets": 89}) as deployment:
        clients = []
        refused = 0
        for number in range(19):
            client = deployment.running.client()
            clients.append(client)
            client.send(get(f"q{number}", key="held"))
            # One at a time, so that the read order does not decide which requests are refused.
            deployment.wait_for_counts(taken=number + 1)
        refused = deployment.row()["refused"]
        assert refused > 0
        assert deployment.row()["refused_by_reason"] == {"connections": refused}
        assert deployment.row()["open"] == 19 - refused


def test_reload_keeps_the_counts_and_sigusr1_logs_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with deployed(tmp_path, monkeypatch) as deployment:
        client = deployment.running.client()
        client.request(get("a"))
        waiting = deployment.running.client()
        waiting.send(get("b", key="held"))
        before = deployment.wait_for_counts(taken=2, open=1)
        deployment.running.process.send_signal(signal.SIGHUP)
        client.request(get("c"))
        after = deployment.wait_for_counts(taken=3, open=1)
        assert (after["served"], after["bytes_served"]) == (before["served"] + 1, before["bytes_served"] + 1)
        deployment.running.process.send_signal(signal.SIGUSR1)
        assert deployment.running.process.stderr is not None
        line = deployment.running.process.stderr.readline()
        assert "figures: taken 3 served 2 refused 0 failed 0 gone 0 open 1; breaches 0" in line


def test_planned_stop_writes_closing_snapshot_that_the_successor_continues(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    directory = tmp_path / "lasting"
    directory.mkdir()
    section_keys = f'directory = "{directory}"\n'
    with deployed(tmp_path, monkeypatch, section_keys=section_keys) as deployment:
        client = deployment.running.client()
        client.request(get("a"))
        client.send(get("b", key="held"))
        deployment.wait_for_counts(open=1)
        epoch = deployment.document()["epoch"]
        deployment.running.terminate()
        deployment.released.set()
        assert client.read_reply() == b"b"
        deployment.running.process.wait(20)
    snapshot = json.loads((directory / "n1.figures.json").read_text())
    assert (snapshot["closing"], snapshot["figures"][0]["served"], snapshot["figures"][0]["open"]) == (
        True,
        2,
        0,
    )
    with deployed(tmp_path, monkeypatch, section_keys=section_keys) as deployment:
        assert deployment.document()["epoch"] == epoch
        deployment.running.client().request(get("c"))
        deployment.wait_for_counts(taken=3, served=3)
        deployment.running.process.kill()
        deployment.running.process.wait(20)
        deployment.running.process.returncode = 0  # killed on purpose
    with deployed(tmp_path, monkeypatch, section_keys=section_keys) as deployment:
        assert deployment.document()["epoch"] != epoch
        assert deployment.document()["figures"] == []


def test_scrapes_under_load_lose_no_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with deployed(tmp_path, monkeypatch) as deployment:
        answers: list[bytes] = []

        def send_requests(first: int) -> None:
            client = deployment.running.client()
            answers.extend(client.request(get(f"q{first + number}")) for number in range(100))

        threads = [threading.Thread(target=send_requests, args=(first,)) for first in (0, 100, 200, 300)]
        for thread in threads:
            thread.start()
        scrapes = 0
        while scrapes < 20 or any(thread.is_alive() for thread in threads):
            connection = http.client.HTTPConnection("127.0.0.1", deployment.listen, timeout=20)
            connection.request("GET", "/metrics")
            assert connection.getresponse().read().endswith(b"# EOF\n")
            connection.close()
            scrapes += 1
        for thread in threads:
            thread.join()
        row = deployment.wait_for_counts(taken=400, open=0)
        assert row["refused"] == sum(answer.startswith(b"-BUSY") for answer in answers)
        assert row["served"] == 400 - row["refused"]
        assert deployment.document()["breaches"] == 0
