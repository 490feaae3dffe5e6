"""The ledger at work: who is told of a breach and when, what is exported, and what a successor opens with."""

from __future__ import annotations

import asyncio
import json
import threading
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from prometheus_client.openmetrics.parser import text_string_to_metric_families

from pebblepass.accounting.ledger import OTHER
from pebblepass.accounting.listener import MAX_CONNECTIONS, MAX_HEAD_BYTES
from pebblepass.accounting.service import AUDIT_INTERVAL_S, DEADLINE_SLACK_NS, AccountingService
from pebblepass.accounting.snapshot import SnapshotError, decode, encode
from pebblepass.accounting.webhook import MAX_QUEUED
from pebblepass.emulators.ports import take_port
from pebblepass.operator_config import AccountingSection
from pebblepass.simulation.clock import VirtualLoop
from tests.decisions.builders import MS, settings
from tests.virtual import run_virtual

HOST = "127.0.0.1"


def free_listen() -> str:
    return f"{HOST}:{take_port()}"


class Running:
    """A service with a ledger that the test moves by hand."""

    def __init__(self, loop: VirtualLoop, **section: Any) -> None:
        self.loop = loop
        self.open: set[str] = set()
        self.service = AccountingService(
            loop, AccountingSection(**section), "n1", settings(), loop.unix_ns, "epoch-1"
        )
        self.ledger = self.service.ledger

    def now(self) -> int:
        return int(self.loop.time() * 1e9)

    async def start(self) -> tuple[str, int]:
        bound = await self.service.start(self.now, lambda: self.open)
        return bound or ("", 0)

    def take(self, request: str, namespace: str = "a", due_ms: int = 1000) -> None:
        self.open.add(request)
        now = self.now()
        self.ledger.open_request(request, "read", namespace, now, now + due_ms * MS, 10, "test")


async def get(address: tuple[str, int], words: str) -> tuple[int, dict[str, str], bytes]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{words} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:])
    assert len(body) == int(headers["Content-Length"])
    return int(lines[0].split()[1]), headers, body


async def subscribed(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET /breaches HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readuntil(b": open\n\n")
    return reader, writer


async def next_event(reader: asyncio.StreamReader) -> dict[str, Any]:
    event = await reader.readuntil(b"\n\n")
    fields = dict(line.split(": ", 1) for line in event.decode().strip().split("\n"))
    assert fields["event"] == "breach"
    told: dict[str, Any] = json.loads(fields["data"])
    assert fields["id"] == str(told["number"])
    return told


def test_a_breach_reaches_subscriber_page_and_webhook_within_a_tenth_of_a_second() -> None:
    async def work(loop: VirtualLoop) -> None:
        posts: list[tuple[float, dict[str, Any]]] = []
        hook, _ = await hook_server(loop, posts, lambda _: b"HTTP/1.1 204 X\r\n\r\n")
        running = Running(loop, listen=free_listen(), webhook=hook)
        address = await running.start()
        reader, _ = await subscribed(address)
        begun = loop.time()
        running.ledger.record_disconnected("nobody", running.now())
        told = await next_event(reader)
        assert (told["kind"], told["request"]) == ("an answer for nothing", "nobody")
        assert loop.time() - begun < 0.1
        status, _, body = await get(address, "GET /figures")
        assert status == 200
        assert json.loads(body)["unacknowledged"][0]["request"] == "nobody"
        assert loop.time() - begun < 0.1
        await asyncio.sleep(0.05)
        assert [(at - begun < 0.1, post["router"], post["number"]) for at, post in posts] == [(True, "n1", 1)]
        running.service.stop(closing=True)

    run_virtual(work)


def test_a_request_that_is_never_closed_is_told_within_a_tenth_of_a_second() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, listen=free_listen())
        reader, _ = await subscribed(await running.start())
        begun = loop.time()
        running.take("q", due_ms=500)
        told = await next_event(reader)
        assert told["kind"] == "never closed"
        due = begun + 0.5 + DEADLINE_SLACK_NS / 1e9
        assert due <= loop.time() <= due + AUDIT_INTERVAL_S + 0.001 <= due + 0.1
        running.service.stop(closing=True)

    run_virtual(work)


def test_a_subscriber_that_never_reads_is_dropped_and_delays_nobody() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, listen=free_listen())
        address = await running.start()
        _, silent = await subscribed(address)
        assert isinstance(silent.transport, asyncio.ReadTransport)
        silent.transport.pause_reading()
        reader, _ = await subscribed(address)
        listener = running.service._listener
        assert len(listener.subscribers) == 2
        for number in range(2000):
            begun = loop.time()
            running.ledger.record_disconnected(f"nobody-{number}", running.now())
            assert (await next_event(reader))["request"] == f"nobody-{number}"
            assert loop.time() - begun < 0.1
        assert len(listener.subscribers) == 1
        running.service.stop(closing=True)

    run_virtual(work)


def test_who_subscribes_later_is_told_what_nobody_has_taken_note_of() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, listen=free_listen())
        address = await running.start()
        for number in range(3):
            running.ledger.record_disconnected(f"nobody-{number}", running.now())
        status, _, body = await get(address, "POST /breaches/acknowledge?through=2")
        assert (status, body) == (200, b'{"acknowledged":2}\n')
        reader, _ = await subscribed(address)
        assert (await next_event(reader))["number"] == 3
        running.service.stop(closing=True)

    run_virtual(work)


def test_figures_and_metrics_tell_the_same() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, listen=free_listen())
        address = await running.start()
        for number in range(4):
            running.take(f"q{number}")
        running.take("other", namespace="invented")
        running.ledger.record_served("q0", running.now() + 20 * MS, 100)
        running.ledger.record_rejected("q1", running.now(), "shed")
        running.ledger.record_failed("q2", running.now(), "attempts")
        _, _, body = await get(address, "GET /figures")
        rows = {row["namespace"]: row for row in json.loads(body)["figures"]}
        status, headers, text = await get(address, "GET /metrics")
        assert status == 200
        assert headers["Content-Type"].startswith("application/openmetrics-text")
        samples = {
            (sample.name, sample.labels.get("namespace"), sample.labels.get("reason")): sample.value
            for family in text_string_to_metric_families(text.decode())  # type: ignore[no-untyped-call]
            for sample in family.samples
        }
        for namespace in ("a", OTHER):
            assert samples["pebblepass_taken_total", namespace, None] == rows[namespace]["taken"]
            assert samples["pebblepass_open", namespace, None] == rows[namespace]["open"]
        assert samples["pebblepass_refused_total", "a", "shed"] == 1
        assert samples["pebblepass_failed_total", "a", "attempts"] == 1
        assert samples["pebblepass_latency_seconds_count", "a", None] == 1
        assert samples["pebblepass_breaches_total", None, None] == 0
        running.service.stop(closing=True)

    run_virtual(work)


@pytest.mark.parametrize(
    ("words", "status"),
    [
        ("GET /nothing", 404),
        ("POST /figures", 405),
        ("GET /breaches/acknowledge?through=1", 405),
        ("POST /breaches/acknowledge?through=all", 400),
        ("POST /breaches/acknowledge", 400),
    ],
)
def test_what_cannot_be_answered_is_told_plainly(words: str, status: int) -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, listen=free_listen())
        assert (await get(await running.start(), words))[0] == status
        running.service.stop(closing=True)

    run_virtual(work)


def test_junk_long_heads_and_too_many_connections_end_in_an_answer_and_a_close() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, listen=free_listen())
        address = await running.start()
        for junk in (b"\x00\xff\r\n\r\n", b"GET /" + b"x" * MAX_HEAD_BYTES):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(junk)
            assert (await reader.read()).startswith(b"HTTP/1.1 400")
        held = [await asyncio.open_connection(*address) for _ in range(MAX_CONNECTIONS)]
        await asyncio.sleep(0.1)
        reader, _ = await asyncio.open_connection(*address)
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        assert len(held) == MAX_CONNECTIONS
        await asyncio.sleep(11)  # of virtual time: idle ones are closed
        assert (await get(address, "GET /figures"))[0] == 200
        running.service.stop(closing=True)

    run_virtual(work)


async def hook_server(
    loop: VirtualLoop, posts: list[tuple[float, dict[str, Any]]], answer: Callable[[int], bytes]
) -> tuple[str, asyncio.Server]:
    """A webhook's server; `answer` is given how many posts came before."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length")
        )
        assert head.startswith(b"POST /breach HTTP/1.1")
        body = await reader.readexactly(length)
        said = answer(len(posts))
        posts.append((loop.time(), json.loads(body)))
        writer.write(said)

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    return f"http://{HOST}:{port}/breach", server


def test_the_webhook_is_tried_again_until_it_answers_well_and_in_order() -> None:
    async def work(loop: VirtualLoop) -> None:
        posts: list[tuple[float, dict[str, Any]]] = []
        answers = {
            0: b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            1: b"HTTP/1.1 302 X\r\nContent-Length: 0\r\n\r\n",
        }
        hook, _ = await hook_server(
            loop, posts, lambda n: answers.get(n, b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        )
        running = Running(loop, webhook=hook)
        await running.start()
        for number in range(3):
            running.ledger.record_disconnected(f"nobody-{number}", running.now())
        await asyncio.sleep(20)
        assert [post["number"] for _, post in posts] == [1, 1, 1, 2, 3]
        pauses = [later - sooner for (sooner, _), (later, _) in pairwise(posts[:3])]
        assert pauses == [pytest.approx(0.25), pytest.approx(0.5)]
        running.service.stop(closing=True)

    run_virtual(work)


def test_a_webhook_that_hangs_holds_nothing_up_and_its_queue_is_bounded() -> None:
    async def work(loop: VirtualLoop) -> None:
        posts: list[tuple[float, dict[str, Any]]] = []
        hook, server = await hook_server(loop, posts, lambda _: b"")
        running = Running(loop, webhook=hook)
        await running.start()
        begun = loop.time()
        for number in range(3 * MAX_QUEUED):
            running.ledger.record_disconnected(f"nobody-{number}", running.now())
        assert loop.time() == begun
        webhook = running.service._webhook
        assert webhook is not None
        assert webhook.dropped == 2 * MAX_QUEUED
        await asyncio.sleep(10)
        assert webhook.posted == 0
        assert len(posts) > 1  # given up after its time, and tried again
        server.close()
        running.service.stop(closing=True)

    run_virtual(work)


# Snapshots


def test_a_planned_restart_goes_on_with_the_same_figures_in_the_same_epoch(tmp_path: Path) -> None:
    async def work(loop: VirtualLoop) -> None:
        first = Running(loop, directory=str(tmp_path))
        await first.start()
        first.take("q")
        first.ledger.record_served("q", first.now() + 17 * MS, 100)
        first.ledger.record_attempt("read", "a", "ok", to_origin=True)
        first.open.clear()
        before = first.ledger.export_rows()
        first.service.stop(closing=True)
        second = Running(loop, directory=str(tmp_path))
        assert second.ledger.export_rows() == before
        assert (second.service.epoch, second.service.unknown) == ("epoch-1", 0)

    run_virtual(work)


def test_a_killed_router_begins_another_epoch_and_what_was_open_is_unknown(tmp_path: Path) -> None:
    async def work(loop: VirtualLoop) -> None:
        first = Running(loop, directory=str(tmp_path), snapshot_every_s=1.0)
        await first.start()
        first.take("q", due_ms=5000)
        first.take("r", due_ms=5000)
        await asyncio.sleep(1.5)  # killed here: nothing is written at its end
        second = AccountingService(
            loop, AccountingSection(directory=str(tmp_path)), "n1", settings(), loop.unix_ns, "epoch-2"
        )
        assert (second.epoch, second.unknown, second.ledger.export_rows()) == ("epoch-2", 2, [])
        first.service.stop(closing=False)

    run_virtual(work)


def test_a_closing_balance_is_used_once(tmp_path: Path) -> None:
    async def work(loop: VirtualLoop) -> None:
        first = Running(loop, directory=str(tmp_path))
        first.take("q")
        first.ledger.record_disconnected("q", 0)
        first.service.stop(closing=True)
        second = Running(loop, directory=str(tmp_path))
        await second.start()  # and is killed
        third = AccountingService(
            loop, AccountingSection(directory=str(tmp_path)), "n1", settings(), loop.unix_ns, "epoch-3"
        )
        assert third.epoch == "epoch-3"
        second.service.stop(closing=False)

    run_virtual(work)


ROW = {
    "class": "read",
    "namespace": "a",
    "taken": 1,
    "served": 1,
    "served_in_aim": 1,
    "served_late": 0,
    "refused": 0,
    "refused_by_reason": {},
    "failed": 0,
    "failed_by_reason": {},
    "gone": 0,
    "open": 0,
    "attempts": {},
    "origin_fetches": 0,
    "bytes_taken": 1,
    "bytes_served": 1,
    "latency_us": [[1, 2, 1]],
}
GOOD = encode("n1", "e", 0, True, 0, [ROW])

BAD = [
    (GOOD[: len(GOOD) // 2], "half-written, or no snapshot"),
    (b"", "half-written, or no snapshot"),
    (b"\xff\xfe", "half-written, or no snapshot"),
    (b'{"some": "json"}', "half-written, or no snapshot"),
    (GOOD.replace(b"pebblepass-figures", b"something-else"), "of another form: something-else"),
    (encode("n2", "e", 0, True, 0, [ROW]), "of another router: n2"),
    (encode("n1", "e", 0, True, 0, [{**ROW, "taken": 5}]), "does not add up: read in a"),
]


@pytest.mark.parametrize(("data", "words"), BAD)
def test_a_snapshot_that_cannot_be_used_is_refused_in_one_line(
    tmp_path: Path, data: bytes, words: str
) -> None:
    assert decode(GOOD, "n1").figures[0].taken == 1
    (tmp_path / "n1.figures.json").write_bytes(data)

    async def work(loop: VirtualLoop) -> None:
        with pytest.raises(SnapshotError) as raised:
            Running(loop, directory=str(tmp_path))
        assert str(raised.value).startswith(f"{tmp_path}/n1.figures.json: {words}")
        assert "\n" not in str(raised.value)

    run_virtual(work)


def test_a_folder_that_cannot_be_written_is_told_and_stops_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, directory=str(tmp_path / "none"))
        await running.start()
        running.service.stop(closing=True)

    run_virtual(work)
    assert "No such file or directory" in caplog.text


def test_one_line_tells_all() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop)
        assert running.service.summary_line() == "figures: nothing taken; breaches 0"
        running.take("q")
        running.take("r", namespace="b")
        running.ledger.record_rejected("q", 0, "shed")
        assert running.service.summary_line() == (
            "figures: taken 2 served 0 refused 1 failed 0 gone 0 open 1; breaches 0"
        )

    run_virtual(work)


def test_a_disk_that_hangs_delays_neither_the_pages_nor_the_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On the real loop, with real threads: a snapshot's write does not return until the test lets it."""
    under_way, go_on = threading.Event(), threading.Event()

    def hang(path: Path, data: bytes) -> None:
        under_way.set()
        assert go_on.wait(60)

    monkeypatch.setattr("pebblepass.accounting.snapshot.write_file", hang)

    async def work() -> None:
        loop = asyncio.get_running_loop()
        section = AccountingSection(listen=free_listen(), directory=str(tmp_path), snapshot_every_s=0.1)
        service = AccountingService(loop, section, "n1", settings(), time.time_ns, "epoch-1")
        bound = await service.start(time.monotonic_ns, lambda: ())
        assert bound is not None
        try:
            await asyncio.to_thread(under_way.wait, 60)
            status, _, body = await get(bound, "GET /figures")
            assert (status, json.loads(body)["epoch"]) == (200, "epoch-1")
            assert (await get(bound, "GET /metrics"))[0] == 200
        finally:
            go_on.set()
            service.stop(closing=True)

    asyncio.run(asyncio.wait_for(work(), 60))


def test_pipelined_pages_are_answered_in_their_order() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = Running(loop, listen=free_listen())
        reader, writer = await asyncio.open_connection(*await running.start())
        for page in ("metrics", "nothing", "figures"):
            writer.write(b"GET /%b HTTP/1.1\r\nHost: r\r\n\r\n" % page.encode())
        kinds = []
        for _ in range(3):
            head = await reader.readuntil(b"\r\n\r\n")
            kinds.append(head.split(b"Content-Type: ")[1].split(b"\r\n")[0].split(b";")[0])
            await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))
        assert kinds == [b"application/openmetrics-text", b"text/plain", b"application/json"]
        writer.close()
        running.service.stop(closing=False)

    run_virtual(work)
