"""The ledger in a running router: audits, breach reports, export pages, snapshots."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection
from concurrent.futures import ThreadPoolExecutor
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
from pebblepass.wire.address import Address, parse_address

AUDIT_INTERVAL_S = 0.08  # breaches are reported within 0.1 s
DEADLINE_SLACK_NS = 120_000_000  # after its deadline a request may still be answered for so long

T = TypeVar("T")

log = logging.getLogger("pebblepass")


def make_ledger(settings: Settings, on_breach: Callable[[Breach], None] | None = None) -> Ledger:
    """Return a ledger with the settings' classes and namespaces."""
    aims = {cls.name: cls.latency_target for cls in settings.classes}
    return Ledger(aims, (tenant.name for tenant in settings.tenants), on_breach)


class AccountingService:
    """Owns the ledger of a router; its own work never delays a request."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        section: AccountingSection,
        router: str,
        settings: Settings,
        unix_ns: Callable[[], int],
        fresh_epoch: str,
    ) -> None:
        """Open the ledger, with the closing balance of a predecessor where there is one.

        Raises SnapshotError where a snapshot lies there that can't be used, ValueError on an address.
        """
        self._loop, self._section, self._router = loop, section, router
        self._unix_ns = unix_ns
        self._file = Path(section.directory) / f"{router}.figures.json" if section.directory else None
        self.ledger = make_ledger(settings, self._report_breach)
        self.epoch, self.unknown = fresh_epoch, 0
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
        self._webhook = _webhook(loop, section.webhook) if section.webhook else None
        # One for the disk, which may hang, and one for the pages; a thread begins with its first work.
        self._workers = ThreadPoolExecutor(2)
        self._writing: asyncio.Future[None] | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._open: Callable[[], Collection[str]] = tuple
        self._now: Callable[[], int] = lambda: 0

    async def start(
        self, now: Callable[[], int], open_requests: Callable[[], Collection[str]]
    ) -> Address | None:
        """Start audits, pages and snapshots; raises OSError if the address can't be bound.

        `open_requests` returns the ids of requests without a final answer.
        """
        self._now, self._open = now, open_requests
        bound = await self._listener.listen(self._address) if self._address is not None else None
        self._audit()
        if self._file is not None:
            self._write_regularly()
        return bound

    def stop(self, closing: bool) -> None:
        """Stop; `closing`: write a closing balance, so that a successor can continue it."""
        for timer in self._timers.values():
            timer.cancel()
        # Warning: a snapshot that is still under way must not come after the closing one.
        self._workers.shutdown(wait=True)
        if self._file is not None:
            self._snapshot(closing)()
        if self._webhook is not None:
            self._webhook.close()
        self._listener.close()

    def summary_line(self) -> str:
        """Return the totals in one line, for operators without a listener."""
        total: dict[str, int] = {}
        for row in self.ledger.export_rows():
            for name in ("taken", "served", "refused", "failed", "gone", "open"):
                total[name] = total.get(name, 0) + row[name]
        told = " ".join(f"{name} {count}" for name, count in total.items())
        return f"figures: {told or 'nothing taken'}; breaches {self.ledger.breach_count}"

    # Checks

    def _audit(self) -> None:
        self._timers["audit"] = self._loop.call_later(AUDIT_INTERVAL_S, self._audit)
        self.ledger.audit(self._now(), DEADLINE_SLACK_NS, self._open())

    def _report_breach(self, breach: Breach) -> None:
        log.error("breach %d: %s: %s %s", breach.number, breach.kind.value, breach.request, breach.path)
        self._listener.publish(_event(breach))
        if self._webhook is not None:
            self._webhook.send(msgspec.json.encode({"router": self._router, **breach.as_dict()}))

    # Export

    async def _export_page(self) -> bytes:
        cut = self.ledger.cut()
        facts: dict[str, Any] = {
            "router": self._router,
            "epoch": self.epoch,
            "unix_ns": self._unix_ns(),
            "unknown": self.unknown,
            "breaches": cut.breach_count,
            "unacknowledged": [breach.as_dict() for breach in cut.breaches],
        }

        def encode() -> bytes:
            return msgspec.json.encode({**facts, "figures": cut.export_rows()}) + b"\n"

        return await self._run_in_worker(encode)

    async def _metrics_page(self) -> Page:
        from pebblepass.accounting.metrics import CONTENT_TYPE, exposition  # only who scrapes pays for it

        cut = self.ledger.cut()
        text = await self._run_in_worker(lambda: exposition(cut))
        return Page(200, text, CONTENT_TYPE)

    def _run_in_worker(self, work: Callable[[], T]) -> asyncio.Future[T]:
        """Run work on a cut or the disk in another thread, beside the requests."""
        return self._loop.run_in_executor(self._workers, work)

    def _pending_events(self) -> list[bytes]:
        return [_event(breach) for breach in self.ledger.breaches]

    # Snapshots

    def _write_regularly(self) -> None:
        due = self._section.snapshot_every_s
        self._timers["snapshot"] = self._loop.call_later(due, self._write_regularly)
        # Guards against a disk that hangs: its snapshots are left out, and don't pile up.
        if self._writing is None or self._writing.done():
            self._writing = self._run_in_worker(self._snapshot(closing=False))

    def _snapshot(self, closing: bool) -> Callable[[], None]:
        """Return a function that writes the ledger as it is now."""
        file, cut, now = self._file, self.ledger.cut(), self._unix_ns()
        assert file is not None

        def write() -> None:
            try:
                data = snapshot.encode(
                    self._router, self.epoch, now, closing, cut.breach_count, cut.export_rows()
                )
                snapshot.write_file(file, data)
            except OSError as error:
                log.error("%s: writing the accounting snapshot failed: %s", file, error.strerror)

        return write


def _event(breach: Breach) -> bytes:
    return b"id: %d\nevent: breach\ndata: %b\n\n" % (breach.number, msgspec.json.encode(breach.as_dict()))


def _webhook(loop: asyncio.AbstractEventLoop, url: str) -> Webhook:
    parts = urlsplit(url)
    if parts.scheme != "http":
        raise ValueError(f"figures.webhook: expected http://HOST:PORT/PATH, got {url!r}")
    return Webhook(loop, parse_address("figures.webhook", parts.netloc), parts.path or "/")
