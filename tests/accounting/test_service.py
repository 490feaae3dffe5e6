"""The accounting service: reports of breaches, exported pages, webhook and snapshots."""

from __future__ import annotations

import asyncio
import errno
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
from pebblepass.accounting.service import (
    AUDIT_INTERVAL_S,
    DEADLINE_SLACK_NS,
    FIRST_SNAPSHOT_TIMEOUT_S,
    AccountingService,
)
from pebblepass.accounting.snapshot import SnapshotError, decode, encode, load_initial_state
from pebblepass.accounting.webhook import MAX_QUEUED
from pebblepass.emulators.ports import take_port
from pebblepass.operator_config import AccountingSection
from pebblepass.simulation.clock import VirtualLoop
from tests.decisions.builders import MS, settings
from tests.virtual import run_virtual

HOST = "127.0.0.1"


def free_listen() -> str:
    return f"{HOST}:{take_port()}"


class RunningService:
    """An accounting service whose ledger the test updates directly."""

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

    def take(self, request: str, namespace: str = "a", deadline_ms: int = 1000) -> None:
        self.open.add(request)
        now = self.now()
        self.ledger.open_request(request, "read", namespace, now, now + deadline_ms * MS, 10, "test")


async def get(address: tuple[str, int], call: str) -> tuple[int, dict[str, str], bytes]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{call} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:])
    assert len(body) == int(headers["Content-Length"])
    return int(lines[0].split()[1]), headers, body


async def subscribe(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET /breaches HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readuntil(b": open\n\n")
    return reader, writer


async def next_event(reader: asyncio.StreamReader) -> dict[str, Any]:
    event = await reader.readuntil(b"\n\n")
    fields = dict(line.split(": ", 1) for line in event.decode().strip().split("\n"))
    assert fields["event"] == "breach"
    breach: dict[str, Any] = json.loads(fields["data"])
    assert fields["id"] == str(breach["number"])
    return breach


def test_breach_reaches_subscriber_page_and_webhook_within_100_ms() -> None:
    async def work(loop: VirtualLoop) -> None:
        posts: list[tuple[float, dict[str, Any]]] = []
        webhook_url, _ = await start_webhook_server(loop, posts, lambda _: b"HTTP/1.1 204 X\r\n\r\n")
        running = RunningService(loop, listen=free_listen(), webhook=webhook_url)
        address = await running.start()
        reader, _ = await subscribe(address)
        start_time = loop.time()
        running.ledger.record_disconnected("unknown", running.now())
        breach = await next_event(reader)
        assert (breach["kind"], breach["request"]) == ("an answer for nothing", "unknown")
        assert loop.time() - start_time < 0.1
        status, _, body = await get(address, "GET /figures")
        assert status == 200
        assert json.loads(body)["unacknowledged"][0]["request"] == "unknown"
        assert loop.time() - start_time < 0.1
        await asyncio.sleep(0.05)
        assert [(at - start_time < 0.1, post["router"], post["number"]) for at, post in posts] == [
            (True, "n1", 1)
        ]
        running.service.stop(closing=True)

    run_virtual(work)


def test_overdue_request_is_reported_within_100_ms() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, listen=free_listen())
        reader, _ = await subscribe(await running.start())
        start_time = loop.time()
        running.take("q", deadline_ms=500)
        breach = await next_event(reader)
        assert breach["kind"] == "never closed"
        due = start_time + 0.5 + DEADLINE_SLACK_NS / 1e9
        assert due <= loop.time() <= due + AUDIT_INTERVAL_S + 0.001 <= due + 0.1
        running.service.stop(closing=True)

    run_virtual(work)


def test_subscriber_that_never_reads_is_dropped_without_delay_for_others() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, listen=free_listen())
        address = await running.start()
        _, silent = await subscribe(address)
        assert isinstance(silent.transport, asyncio.ReadTransport)
        silent.transport.pause_reading()
        reader, _ = await subscribe(address)
        listener = running.service._listener
        assert len(listener.subscribers) == 2
        for number in range(2000):
            start_time = loop.time()
            running.ledger.record_disconnected(f"unknown-{number}", running.now())
            assert (await next_event(reader))["request"] == f"unknown-{number}"
            assert loop.time() - start_time < 0.1
        assert len(listener.subscribers) == 1
        running.service.stop(closing=True)

    run_virtual(work)


def test_late_subscriber_receives_unacknowledged_breaches() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, listen=free_listen())
        address = await running.start()
        for number in range(3):
            running.ledger.record_disconnected(f"unknown-{number}", running.now())
        status, _, body = await get(address, "POST /breaches/acknowledge?through=2")
        assert (status, body) == (200, b'{"acknowledged":2}\n')
        reader, _ = await subscribe(address)
        assert (await next_event(reader))["number"] == 3
        running.service.stop(closing=True)

    run_virtual(work)


def test_figures_and_metrics_pages_agree() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, listen=free_listen())
        address = await running.start()
        for number in range(4):
            running.take(f"q{number}")
        running.take("other", namespace="unconfigured")
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
    ("call", "status"),
    [
        ("GET /nothing", 404),
        ("POST /figures", 405),
        ("GET /breaches/acknowledge?through=1", 405),
        ("POST /breaches/acknowledge?through=all", 400),
        ("POST /breaches/acknowledge", 400),
    ],
)
def test_invalid_call_is_answered_with_its_error_status(call: str, status: int) -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, listen=free_listen())
        assert (await get(await running.start(), call))[0] == status
        running.service.stop(closing=True)

    run_virtual(work)


def test_malformed_heads_and_excess_connections_are_answered_and_closed() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, listen=free_listen())
        address = await running.start()
        for malformed in (b"\x00\xff\r\n\r\n", b"GET /" + b"x" * MAX_HEAD_BYTES):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(malformed)
            assert (await reader.read()).startswith(b"HTTP/1.1 400")
        connections = [await asyncio.open_connection(*address) for _ in range(MAX_CONNECTIONS)]
        await asyncio.sleep(0.1)
        reader, _ = await asyncio.open_connection(*address)
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        assert len(connections) == MAX_CONNECTIONS
        await asyncio.sleep(11)  # of virtual time: idle connections are closed
        assert (await get(address, "GET /figures"))[0] == 200
        running.service.stop(closing=True)

    run_virtual(work)


async def start_webhook_server(
    loop: VirtualLoop, posts: list[tuple[float, dict[str, Any]]], answer: Callable[[int], bytes]
) -> tuple[str, asyncio.Server]:
    """A webhook server; `answer` is called with the number of earlier posts."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length")
        )
        assert head.startswith(b"POST /breach HTTP/1.1")
        body = await reader.readexactly(length)
        response = answer(len(posts))
        posts.append((loop.time(), json.loads(body)))
        writer.write(response)

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    return f"http://{HOST}:{port}/breach", server


def test_webhook_posts_are_retried_until_success_and_in_order() -> None:
    async def work(loop: VirtualLoop) -> None:
        posts: list[tuple[float, dict[str, Any]]] = []
        answers = {
            0: b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            1: b"HTTP/1.1 302 X\r\nContent-Length: 0\r\n\r\n",
        }
        webhook_url, _ = await start_webhook_server(
            loop, posts, lambda number: answers.get(number, b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        )
        running = RunningService(loop, webhook=webhook_url)
        await running.start()
        for number in range(3):
            running.ledger.record_disconnected(f"unknown-{number}", running.now())
        await asyncio.sleep(20)
        assert [post["number"] for _, post in posts] == [1, 1, 1, 2, 3]
        pauses = [later - earlier for (earlier, _), (later, _) in pairwise(posts[:3])]
        assert pauses == [pytest.approx(0.25), pytest.approx(0.5)]
        running.service.stop(closing=True)

    run_virtual(work)


def test_hanging_webhook_blocks_nothing_and_its_queue_is_bounded() -> None:
    async def work(loop: VirtualLoop) -> None:
        posts: list[tuple[float, dict[str, Any]]] = []
        webhook_url, server = await start_webhook_server(loop, posts, lambda _: b"")
        running = RunningService(loop, webhook=webhook_url)
        await running.start()
        start_time = loop.time()
        for number in range(3 * MAX_QUEUED):
            running.ledger.record_disconnected(f"unknown-{number}", running.now())
        assert loop.time() == start_time
        webhook = running.service._webhook
        assert webhook is not None
        assert webhook.dropped == 2 * MAX_QUEUED
        await asyncio.sleep(10)
        assert webhook.posted == 0
        assert len(posts) > 1  # the first post timed out and was retried
        server.close()
        running.service.stop(closing=True)

    run_virtual(work)


# Snapshots


class SlowDiskLoop(VirtualLoop):
    """Runs what is given to a worker thread only after some time, or never."""

    delay_s: float | None = None

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> asyncio.Future[Any]:  # type: ignore[override]
        done: asyncio.Future[Any] = self.create_future()
        if self.delay_s is not None:
            self.call_later(self.delay_s, self._finish, done, func, args)
        return done

    @staticmethod
    def _finish(done: asyncio.Future[Any], func: Any, args: tuple[Any, ...]) -> None:
        if not done.cancelled():
            done.set_result(func(*args))


@pytest.mark.parametrize(
    ("delay_s", "is_writable", "is_continued"),
    [(0.0, True, True), (1.0, True, True), (30.0, True, False), (None, True, False), (0.0, False, False)],
)
def test_no_count_joins_an_epoch_that_the_next_process_would_continue(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    delay_s: float | None,
    is_writable: bool,
    is_continued: bool,
) -> None:
    """Guards against counts that are missing without a sign after a kill before the first snapshot."""
    file = tmp_path / "n1.figures.json"
    file.write_bytes(encode("n1", "epoch-0", 0, True, 0, [ROW]))

    def fail(path: Path, data: bytes) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    if not is_writable:
        monkeypatch.setattr("pebblepass.accounting.snapshot.write_file", fail)

    async def work() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SlowDiskLoop)
        loop.delay_s = delay_s
        running = RunningService(loop, directory=str(tmp_path))
        started_at = loop.time()
        await running.start()
        assert loop.time() - started_at <= FIRST_SNAPSHOT_TIMEOUT_S
        service = running.service
        assert service.epoch == ("epoch-0" if is_continued else "epoch-1")
        assert bool(service.ledger.export_rows()) == is_continued
        next_process = load_initial_state(file, "n1", "epoch-2")
        assert next_process.epoch != service.epoch

    with asyncio.Runner(loop_factory=SlowDiskLoop) as runner:
        runner.run(work())


def test_planned_restart_continues_the_counts_in_the_same_epoch(tmp_path: Path) -> None:
    async def work(loop: VirtualLoop) -> None:
        first = RunningService(loop, directory=str(tmp_path))
        await first.start()
        first.take("q")
        first.ledger.record_served("q", first.now() + 17 * MS, 100)
        first.ledger.record_attempt("read", "a", "ok", to_origin=True)
        first.open.clear()
        before = first.ledger.export_rows()
        first.service.stop(closing=True)
        second = RunningService(loop, directory=str(tmp_path))
        assert second.ledger.export_rows() == before
        assert (second.service.epoch, second.service.unknown) == ("epoch-1", 0)

    run_virtual(work)


def test_killed_router_starts_new_epoch_and_open_requests_are_unknown(tmp_path: Path) -> None:
    async def work(loop: VirtualLoop) -> None:
        first = RunningService(loop, directory=str(tmp_path), snapshot_every_s=1.0)
        await first.start()
        first.take("q", deadline_ms=5000)
        first.take("r", deadline_ms=5000)
        await asyncio.sleep(1.5)  # stands for a kill: no closing snapshot is written
        second = AccountingService(
            loop, AccountingSection(directory=str(tmp_path)), "n1", settings(), loop.unix_ns, "epoch-2"
        )
        assert (second.epoch, second.unknown, second.ledger.export_rows()) == ("epoch-2", 2, [])
        first.service.stop(closing=False)

    run_virtual(work)


def test_closing_snapshot_is_continued_only_once(tmp_path: Path) -> None:
    async def work(loop: VirtualLoop) -> None:
        first = RunningService(loop, directory=str(tmp_path))
        first.take("q")
        first.ledger.record_disconnected("q", 0)
        first.service.stop(closing=True)
        second = RunningService(loop, directory=str(tmp_path))
        await second.start()  # stands for a kill: no closing snapshot is written
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
VALID_SNAPSHOT = encode("n1", "e", 0, True, 0, [ROW])

INVALID_SNAPSHOTS = [
    (VALID_SNAPSHOT[: len(VALID_SNAPSHOT) // 2], "truncated, or not a snapshot"),
    (b"", "truncated, or not a snapshot"),
    (b"\xff\xfe", "truncated, or not a snapshot"),
    (b'{"some": "json"}', "truncated, or not a snapshot"),
    (
        VALID_SNAPSHOT.replace(b"pebblepass-figures", b"something-else"),
        "unsupported format or version: something-else",
    ),
    (encode("n2", "e", 0, True, 0, [ROW]), "belongs to another router: n2"),
    (encode("n1", "e", 0, True, 0, [{**ROW, "taken": 5}]), "does not balance: class read in namespace a"),
]


@pytest.mark.parametrize(("data", "message"), INVALID_SNAPSHOTS)
def test_unusable_snapshot_is_refused_with_a_one_line_error(
    tmp_path: Path, data: bytes, message: str
) -> None:
    assert decode(VALID_SNAPSHOT, "n1").figures[0].taken == 1
    (tmp_path / "n1.figures.json").write_bytes(data)

    async def work(loop: VirtualLoop) -> None:
        with pytest.raises(SnapshotError) as raised:
            RunningService(loop, directory=str(tmp_path))
        assert str(raised.value).startswith(f"{tmp_path}/n1.figures.json: {message}")
        assert "\n" not in str(raised.value)

    run_virtual(work)


def test_unwritable_directory_is_logged_and_stops_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, directory=str(tmp_path / "none"))
        await running.start()
        running.service.stop(closing=True)

    run_virtual(work)
    assert "No such file or directory" in caplog.text


def test_summary_line_has_the_totals() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop)
        assert running.service.summary_line() == "figures: nothing taken; breaches 0"
        running.take("q")
        running.take("r", namespace="b")
        running.ledger.record_rejected("q", 0, "shed")
        assert running.service.summary_line() == (
            "figures: taken 2 served 0 refused 1 failed 0 gone 0 open 1; breaches 0"
        )

    run_virtual(work)


def test_hanging_disk_delays_neither_the_pages_nor_the_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a snapshot write that blocks the event loop.

    Uses a real loop and real threads; the write returns only when the test releases it.
    """
    write_started, release_write = threading.Event(), threading.Event()

    def hang(path: Path, data: bytes) -> None:
        write_started.set()
        assert release_write.wait(60)

    monkeypatch.setattr("pebblepass.accounting.snapshot.write_file", hang)

    async def work() -> None:
        loop = asyncio.get_running_loop()
        section = AccountingSection(listen=free_listen(), directory=str(tmp_path), snapshot_every_s=0.1)
        service = AccountingService(loop, section, "n1", settings(), time.time_ns, "epoch-1")
        bound = await service.start(time.monotonic_ns, lambda: ())
        assert bound is not None
        try:
            await asyncio.to_thread(write_started.wait, 60)
            status, _, body = await get(bound, "GET /figures")
            assert (status, json.loads(body)["epoch"]) == (200, "epoch-1")
            assert (await get(bound, "GET /metrics"))[0] == 200
        finally:
            release_write.set()
            service.stop(closing=True)

    asyncio.run(asyncio.wait_for(work(), 60))


def test_pipelined_calls_are_answered_in_order() -> None:
    async def work(loop: VirtualLoop) -> None:
        running = RunningService(loop, listen=free_listen())
        reader, writer = await asyncio.open_connection(*await running.start())
        for page in ("metrics", "nothing", "figures"):
            writer.write(b"GET /%b HTTP/1.1\r\nHost: r\r\n\r\n" % page.encode())
        content_types = []
        for _ in range(3):
            head = await reader.readuntil(b"\r\n\r\n")
            content_types.append(head.split(b"Content-Type: ")[1].split(b"\r\n")[0].split(b";")[0])
            await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))
        assert content_types == [b"application/openmetrics-text", b"text/plain", b"application/json"]
        writer.close()
        running.service.stop(closing=False)

    run_virtual(work)
