"""The ledger of a router that runs as deployed, against what scripted clients did to it."""

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

LONG = 200_000


class Site:
    """A router with a ledger, a node that answers by the key, and a store."""

    def __init__(self, running: RunningRouter, listen: int, folder: Path, released: threading.Event) -> None:
        self.running, self.listen, self.folder, self.released = running, listen, folder, released

    def document(self) -> dict[str, Any]:
        connection = http.client.HTTPConnection("127.0.0.1", self.listen, timeout=20)
        connection.request("GET", "/figures")
        told: dict[str, Any] = json.loads(connection.getresponse().read())
        connection.close()
        return told

    def row(self, namespace: str = "acme") -> dict[str, Any]:
        rows = [row for row in self.document()["figures"] if row["namespace"] == namespace]
        return rows[0] if rows else {}

    def settled(self, **counts: int) -> dict[str, Any]:
        """Wait until the account shows this."""

        def shows() -> bool:
            row = self.row()
            return all(row.get(name) == count for name, count in counts.items())

        eventually(shows, f"{counts}, not {self.row()}")
        return self.row()


@contextmanager
def site(
    folder: Path, monkeypatch: pytest.MonkeyPatch, limits: dict[str, float] | None = None, more: str = ""
) -> Iterator[Site]:
    released = threading.Event()

    def node(connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[1] == b"held":
            released.wait(20)
        if words[1] == b"long":
            value = hit(b"v" * LONG)
            connection.sendall(value[: LONG // 2])
            released.wait(20)
            return value[LONG // 2 :]
        if words[1] == b"half":
            connection.sendall(hit(b"v" * LONG)[: LONG // 2])
            return reset(connection)
        return MISS if words[1] == b"none" else hit(words[2])

    def store(_: socket.socket, message: list[bytes]) -> bytes:
        return http_answer(200, b"from the store")

    listen = take_port()
    operator = folder / "operator.toml"
    operator.write_text(f'[figures]\nlisten = "127.0.0.1:{listen}"\n{more}')
    monkeypatch.setenv("PEBBLEPASS_OPERATOR", str(operator))
    with running_router(folder, {"s0": Peer(node)}, Peer(store, is_http=True), limits) as running:
        try:
            yield Site(running, listen, folder, released)
        finally:
            released.set()


def test_served_reads_misses_and_strangers_namespaces(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with site(tmp_path, monkeypatch) as held:
        client = held.running.client()
        for number in range(5):
            client.request(get(f"q{number}"))
        assert client.request(get("miss", key="none")) == b"from the store"
        client.request(get("other").replace(b"t=acme", b"t=what"))
        row = held.settled(taken=6, served=6, open=0)
        assert row["attempts"] == {"miss": 1, "ok": 6}
        assert row["origin_fetches"] == 1
        assert sum(count for _, _, count in row["latency_us"]) == 6
        assert held.row("(other)")["taken"] == 1
        assert held.document()["breaches"] == 0


def test_clients_that_leave_before_and_in_the_midst_of_their_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with site(tmp_path, monkeypatch) as held:
        before = held.running.client()
        before.send(get("before", key="held"))
        held.settled(open=1)
        before.close()
        held.settled(gone=1, open=0)
        midst = held.running.client()
        midst.send(get("midst", key="long"))
        assert midst.stream.read(1000)
        midst.close()
        held.settled(gone=2, open=0)
        held.released.set()  # the answer to the first comes only now
        row = held.settled(taken=2, gone=2, served=0, failed=0)
        assert row["open"] == 0
        assert held.document()["breaches"] == 0


def test_a_value_that_the_node_cuts_off_has_failed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with site(tmp_path, monkeypatch) as held:
        client = held.running.client()
        client.send(get("half", key="half"))
        assert client.read_reply().startswith(b"cut off")
        row = held.settled(taken=1, failed=1)
        assert row["failed_by_reason"] == {"cut off": 1}


def test_pipelined_requests_of_which_some_are_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with site(tmp_path, monkeypatch) as held:
        client = held.running.client()
        client.send(get("a") + get("b") + get("c", key="held") + get("d", key="held"))
        assert [client.read_reply(), client.read_reply()] == [b"a", b"b"]
        held.settled(taken=4, served=2, open=2)
        client.close()
        held.settled(taken=4, served=2, gone=2, open=0)


def test_a_duplicate_id_and_junk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with site(tmp_path, monkeypatch) as held:
        one, two, three = (held.running.client() for _ in range(3))
        one.send(get("same", key="held"))
        held.settled(open=1)
        assert two.request(get("same")) == b"-ERR duplicate id"
        assert three.request(b"*junk\r\n").startswith(b"-ERR")
        assert two.request(get("x").replace(b"c=get", b"c=odd")) == b"-ERR unknown class"
        row = held.settled(taken=2, failed=1, open=1)
        assert row["failed_by_reason"] == {"duplicate id": 1}
        held.released.set()
        assert one.read_reply() == b"same"
        held.settled(taken=2, failed=1, served=1)


def test_requests_refused_at_the_limit_of_connections_were_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Of 89 descriptors clients have 19, as the ledger's own listener and its callers take 35.
    with site(tmp_path, monkeypatch, {"cores": 1.0, "memory_mb": 192, "sockets": 89}) as held:
        clients = []
        refused = 0
        for number in range(19):
            client = held.running.client()
            clients.append(client)
            client.send(get(f"q{number}", key="held"))
            # One at a time: which are refused must not depend on who is read first.
            held.settled(taken=number + 1)
        refused = held.row()["refused"]
        assert refused > 0
        assert held.row()["refused_by_reason"] == {"connections": refused}
        assert held.row()["open"] == 19 - refused


def test_a_reload_under_traffic_changes_no_figure_and_one_line_tells_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with site(tmp_path, monkeypatch) as held:
        client = held.running.client()
        client.request(get("a"))
        waiting = held.running.client()
        waiting.send(get("b", key="held"))
        before = held.settled(taken=2, open=1)
        held.running.process.send_signal(signal.SIGHUP)
        client.request(get("c"))
        after = held.settled(taken=3, open=1)
        assert (after["served"], after["bytes_served"]) == (before["served"] + 1, before["bytes_served"] + 1)
        held.running.process.send_signal(signal.SIGUSR1)
        assert held.running.process.stderr is not None
        line = held.running.process.stderr.readline()
        assert "figures: taken 3 served 2 refused 0 failed 0 gone 0 open 1; breaches 0" in line


def test_a_planned_end_under_load_closes_and_the_successor_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    lasting = tmp_path / "lasting"
    lasting.mkdir()
    more = f'directory = "{lasting}"\n'
    with site(tmp_path, monkeypatch, more=more) as held:
        client = held.running.client()
        client.request(get("a"))
        client.send(get("b", key="held"))
        held.settled(open=1)
        epoch = held.document()["epoch"]
        held.running.terminate()
        held.released.set()
        assert client.read_reply() == b"b"
        held.running.process.wait(20)
    snapshot = json.loads((lasting / "n1.figures.json").read_text())
    assert (snapshot["closing"], snapshot["figures"][0]["served"], snapshot["figures"][0]["open"]) == (
        True,
        2,
        0,
    )
    with site(tmp_path, monkeypatch, more=more) as held:
        assert held.document()["epoch"] == epoch
        held.running.client().request(get("c"))
        held.settled(taken=3, served=3)
        held.running.process.kill()
        held.running.process.wait(20)
        held.running.process.returncode = 0  # killed on purpose
    with site(tmp_path, monkeypatch, more=more) as held:
        assert held.document()["epoch"] != epoch
        assert held.document()["figures"] == []


def test_scrapes_under_load_cost_no_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with site(tmp_path, monkeypatch) as held:
        answers: list[bytes] = []

        def ask(first: int) -> None:
            client = held.running.client()
            answers.extend(client.request(get(f"q{first + number}")) for number in range(100))

        askers = [threading.Thread(target=ask, args=(first,)) for first in (0, 100, 200, 300)]
        for asker in askers:
            asker.start()
        scrapes = 0
        while scrapes < 20 or any(asker.is_alive() for asker in askers):
            connection = http.client.HTTPConnection("127.0.0.1", held.listen, timeout=20)
            connection.request("GET", "/metrics")
            assert connection.getresponse().read().endswith(b"# EOF\n")
            connection.close()
            scrapes += 1
        for asker in askers:
            asker.join()
        row = held.settled(taken=400, open=0)
        assert row["refused"] == sum(answer.startswith(b"-BUSY") for answer in answers)
        assert row["served"] == 400 - row["refused"]
        assert held.document()["breaches"] == 0
