"""The ledger in a running router: audits, breach reports, export pages, snapshots."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlsplit

import msgspec

from pebblepass.accounting import snapshot
from pebblepass.accounting.ledger import Breach, Ledger
from pebblepass.accounting.listener import AccountingPages, AccountingServer
from pebblepass.accounting.webhook import Webhook
from pebblepass.control.http_server import Page
from pebblepass.decisions.interface import Settings
from pebblepass.operator_config import AccountingSection
from pebblepass.storage.worker_threads import worker_threads
from pebblepass.wire.address import Address, parse_address

AUDIT_INTERVAL_S = 0.08  # so that breaches are reported within 0.1 s
DEADLINE_SLACK_NS = 120_000_000  # time after its deadline in which a request may still be closed
FIRST_SNAPSHOT_TIMEOUT_S = 2.0  # for a start on a slow disk; the platform wants it ready within some seconds

T = TypeVar("T")

log = logging.getLogger("pebblepass")


def make_ledger(settings: Settings, on_breach: Callable[[Breach], None] | None = None) -> Ledger:
    """Return a ledger for the classes and namespaces of the settings."""
    latency_targets = {cls.name: cls.latency_target for cls in settings.classes}
    return Ledger(latency_targets, (tenant.name for tenant in settings.tenants), on_breach)


class AccountingService:
    """Owns the ledger of a router; page encoding and snapshots run in threads, so that no request waits."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        section: AccountingSection,
        router: str,
        settings: Settings,
        unix_ns: Callable[[], int],
        fresh_epoch: str,
    ) -> None:
        """Open the ledger, continuing a predecessor's closing snapshot if there is one.

        Raises SnapshotError if the snapshot can't be used, ValueError if an address is invalid.
        """
        self._loop, self._section, self._router = loop, section, router
        self._unix_ns = unix_ns
        self._file = Path(section.directory) / f"{router}.figures.json" if section.directory else None
        self.ledger = make_ledger(settings, self._report_breach)
        self._fresh_epoch, self.epoch, self.unknown = fresh_epoch, fresh_epoch, 0
        if self._file is not None:
            try:
                initial = snapshot.load_initial_state(self._file, router, fresh_epoch)
            except snapshot.SnapshotError as error:
                raise snapshot.SnapshotError(f"{self._file}: {error}") from None
            self.epoch, self.unknown = initial.epoch, initial.unknown
            self.ledger.import_rows(initial.rows)
        self._address = parse_address("figures.listen", section.listen) if section.listen else None
        self._listener = AccountingServer(
            loop,
            AccountingPages(
                self._export_page, self._metrics_page, self.ledger.acknowledge, self._pending_events
            ),
        )
        self._webhook = _make_webhook(loop, section.webhook) if section.webhook else None
        # One thread for the disk, which may hang, and one for the pages; each starts with its first task.
        self._workers = worker_threads(2)
        self._pending_write: asyncio.Future[bool] | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._open_requests: Callable[[], Collection[str]] = tuple
        self._now: Callable[[], int] = lambda: 0

    async def start(
        self, now: Callable[[], int], open_requests: Callable[[], Collection[str]]
    ) -> Address | None:
        """Start audits, pages and snapshots; raises OSError if the address can't be bound.

        `open_requests` returns the ids of requests without a final answer. No request may be counted before
        it returns.
        """
        self._now, self._open_requests = now, open_requests
        if self.epoch != self._fresh_epoch:
            await self._replace_closing_snapshot()
        bound = await self._listener.listen(self._address) if self._address is not None else None
        self._audit()
        if self._file is not None:
            self._write_periodically()
        return bound

    def stop(self, closing: bool) -> None:
        """Stop, and write a last snapshot; `closing` lets a successor continue it."""
        for timer in self._timers.values():
            timer.cancel()
        # Warning: waits for a snapshot that is being written, so that it can't overwrite the closing one.
        self._workers.shutdown(wait=True)
        if self._file is not None:
            self._snapshot(closing)()
        if self._webhook is not None:
            self._webhook.close()
        self._listener.close()

    def summary_line(self) -> str:
        """Return the totals as one log line, for operators without a listener."""
        total: dict[str, int] = {}
        for row in self.ledger.export_rows():
            for name in ("taken", "served", "refused", "failed", "gone", "open"):
                total[name] = total.get(name, 0) + row[name]
        counts = " ".join(f"{name} {count}" for name, count in total.items())
        return f"figures: {counts or 'nothing taken'}; breaches {self.ledger.breach_count}"

    # Checks

    def _audit(self) -> None:
        self._timers["audit"] = self._loop.call_later(AUDIT_INTERVAL_S, self._audit)
        self.ledger.audit(self._now(), DEADLINE_SLACK_NS, self._open_requests())

    def _report_breach(self, breach: Breach) -> None:
        log.error("breach %d: %s: %s %s", breach.number, breach.kind.value, breach.request, breach.path)
        self._listener.publish(_encode_event(breach))
        if self._webhook is not None:
            self._webhook.send(msgspec.json.encode({"router": self._router, **breach.as_dict()}))

    # Export

    async def _export_page(self) -> bytes:
        cut = self.ledger.cut()
        header: dict[str, Any] = {
            "router": self._router,
            "epoch": self.epoch,
            "unix_ns": self._unix_ns(),
            "unknown": self.unknown,
            "breaches": cut.breach_count,
            "unacknowledged": [breach.as_dict() for breach in cut.breaches],
        }

        def encode() -> bytes:
            return msgspec.json.encode({**header, "figures": cut.export_rows()}) + b"\n"

        return await self._run_in_worker(encode)

    async def _metrics_page(self) -> Page:
        # A slow import that only scrapes need.
        from pebblepass.accounting.metrics import CONTENT_TYPE, exposition

        cut = self.ledger.cut()
        text = await self._run_in_worker(lambda: exposition(cut))
        return Page(200, text, CONTENT_TYPE)

    def _run_in_worker(self, task: Callable[[], T]) -> asyncio.Future[T]:
        """Run a task in a worker thread, so that it does not block requests."""
        return self._loop.run_in_executor(self._workers, task)

    def _pending_events(self) -> list[bytes]:
        return [_encode_event(breach) for breach in self.ledger.breaches]

    # Snapshots

    def _write_periodically(self) -> None:
        interval_s = self._section.snapshot_every_s
        self._timers["snapshot"] = self._loop.call_later(interval_s, self._write_periodically)
        self.write_snapshot()

    def write_snapshot(self) -> None:
        """Write a snapshot soon, if there is a folder for it: the process may be killed."""
        if self._file is None:
            return
        # While the disk hangs, snapshots are skipped so that they don't queue up.
        if self._pending_write is None or self._pending_write.done():
            self._pending_write = self._run_in_worker(self._snapshot(closing=False))

    async def _replace_closing_snapshot(self) -> None:
        """Replace the predecessor's closing snapshot by one that does not close, or start a new epoch.

        Warning: after a kill the next process continues a closing snapshot that is still there. What this
        process had counted would be missing from the epoch without a sign.
        """
        self._pending_write = self._run_in_worker(self._snapshot(closing=False))
        try:
            async with asyncio.timeout(FIRST_SNAPSHOT_TIMEOUT_S):
                if await asyncio.shield(self._pending_write):
                    return
        except TimeoutError:
            log.error("%s: writing the first snapshot takes too long", self._file)
        log.error("%s: the predecessor's epoch is not continued", self._file)
        self.epoch = self._fresh_epoch
        self.ledger.discard_imported_rows()

    def _snapshot(self, closing: bool) -> Callable[[], bool]:
        """Return a function that writes the present state of the ledger, and returns whether it succeeded."""
        file, cut, now = self._file, self.ledger.cut(), self._unix_ns()
        assert file is not None

        def write() -> bool:
            try:
                data = snapshot.encode(
                    self._router, self.epoch, now, closing, cut.breach_count, cut.export_rows()
                )
                snapshot.write_file(file, data)
            except OSError as error:
                log.error(
                    "%s: cannot write the accounting snapshot; continuing without it: %s",
                    file,
                    error.strerror,
                )
                return False
            return True

        return write


def _encode_event(breach: Breach) -> bytes:
    return b"id: %d\nevent: breach\ndata: %b\n\n" % (breach.number, msgspec.json.encode(breach.as_dict()))


def _make_webhook(loop: asyncio.AbstractEventLoop, url: str) -> Webhook:
    parts = urlsplit(url)
    if parts.scheme != "http":
        raise ValueError(f"figures.webhook: expected http://HOST:PORT/PATH, got {url!r}")
    return Webhook(loop, parse_address("figures.webhook", parts.netloc), parts.path or "/")
