"""An emulated origin store: HTTP/1.1 on loopback with a few slow service slots."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote

import httptools

from pebblepass.emulators.advertised import AdvertisedTimeout, read_advertised_timeout
from pebblepass.emulators.core import CoreParameters
from pebblepass.emulators.core_runner import CoreRunner
from pebblepass.emulators.effects import EffectLog
from pebblepass.emulators.listeners import (
    EmulatorConnection,
    ListenerGroup,
    PendingReply,
    SetAddressSilent,
    leave_address_reachable,
)
from pebblepass.emulators.node import make_value
from pebblepass.emulators.observer import EmulatorObserver


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """An emulated store's configuration."""

    id: str
    core: CoreParameters
    work: float
    """The mean service time of a request, in seconds."""
    error_rate: float
    value_bytes: tuple[float, float]
    delays: dict[str, float]


@dataclass(slots=True)
class _PendingRequest:
    request_id: str
    fields: dict[str, str]
    key: str
    write: bool
    reply: PendingReply


class EmulatedStore:
    """The emulated origin store."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        setup: StoreSetup,
        rng: random.Random,
        effects: EffectLog,
        observer: EmulatorObserver,
        on_fetch: Callable[[str, str], None],
        on_write: Callable[[str], None],
        set_address_silent: SetAddressSilent = leave_address_reachable,
    ) -> None:
        self.loop, self.setup, self.rng = loop, setup, rng
        self._effects, self._observer = effects, observer
        self._on_fetch, self._on_write = on_fetch, on_write
        self.listeners = ListenerGroup(loop, tuple(setup.delays), set_address_silent)
        self.core_runner: CoreRunner[_PendingRequest] = CoreRunner(loop, setup.core, self._on_done)
        self.fetches = self.writes = 0

    async def start(self) -> None:
        """Open the listeners."""
        await self.listeners.open(lambda zone: _StoreConnection(self, self.setup.delays[zone]))

    def kill(self) -> None:
        """Emulate an outage: reset connections, refuse new ones, lose the pending requests."""
        self.listeners.stop_accepting()
        self.listeners.reset_connections()
        self.core_runner.restart(cold=False)

    def restart(self) -> None:
        """End the outage and listen again."""
        self.listeners.reopen()

    def handle_request(
        self,
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        connection: EmulatorConnection,
        first_byte_at: float,
    ) -> None:
        """Handle a request that its router has written in full."""
        reply = connection.reserve_reply()
        if method == b"GET" and target in ("/health/live", "/stats"):
            reply.answer(_http_response(200, self.report()))
            return
        request = headers.get(b"request-id", b"").decode()
        info = headers.get(b"request-info", b"").decode()
        if method in (b"GET", b"PUT") and request:
            timeout_ms, now = read_advertised_timeout(info.encode()), self.loop.time()
            self._observer.timeout_advertised(
                AdvertisedTimeout(request, self.setup.id, timeout_ms, first_byte_at, now)
            )
        if method not in (b"GET", b"PUT") or not request or not info:
            reply.answer(_http_response(400, b""))
            return
        fields = dict(part.partition("=")[::2] for part in info.split(","))
        self._observer.attempt_received(request, self.setup.id, self.loop.time())
        pending = _PendingRequest(request, fields, unquote(target[1:]), method == b"PUT", reply)
        self.loop.call_later(connection.delay, self._offer, pending, self.core_runner.incarnation)

    def _offer(self, pending: _PendingRequest, incarnation: int) -> None:
        if incarnation != self.core_runner.incarnation:
            return
        now = self.loop.time()
        work = self.setup.work * self.rng.uniform(0.6, 1.4)
        if not self.core_runner.offer(pending, work):
            self._observer.attempt_answered(pending.request_id, self.setup.id, "busy", now)
            pending.reply.answer(_http_response(503, b"", b"Not-Started: 1\r\n", self.report()))

    def _on_done(self, pending: _PendingRequest, now: float) -> None:
        self.writes += pending.write
        self.fetches += not pending.write
        if self.rng.random() < self.setup.error_rate:
            self._observer.attempt_answered(pending.request_id, self.setup.id, "error", now)
            pending.reply.answer(_http_response(500, b"", report=self.report()))
            return
        if pending.write:
            self._effects.apply(pending.request_id, pending.fields.get("c", ""), pending.fields.get("k"), now)
            self._on_write(pending.key)
        else:
            self._on_fetch(pending.request_id, pending.key)
        outcome = "stored" if pending.write else "fetched"
        self._observer.attempt_answered(pending.request_id, self.setup.id, outcome, now)
        value = make_value(self.rng, pending.key, pending.request_id, self.setup.id, self.setup.value_bytes)
        pending.reply.answer(_http_response(200, value, report=self.report()))

    def report(self) -> bytes:
        """The load report that each reply carries."""
        return b"latency_ms=%.2f,queue=%d" % (self.setup.work * 1000, self.core_runner.core.queue_length)


_REASONS = {200: b"OK", 400: b"Bad Request", 500: b"Internal Server Error", 503: b"Service Unavailable"}


def _http_response(status: int, body: bytes, headers: bytes = b"", report: bytes = b"") -> bytes:
    load = b"Server-Load: %b\r\n" % report if report else b""
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, _REASONS[status], len(body))
    return b"%b%b%b\r\n%b" % (head, headers, load, body)


class _StoreConnection(EmulatorConnection):
    """A router's connection to the store."""

    def __init__(self, store: EmulatedStore, delay: float) -> None:
        super().__init__(store.listeners, delay)
        self._store = store
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._first_byte_at = 0.0

    def data_received(self, data: bytes) -> None:
        """Parse requests; malformed data closes the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnicodeDecodeError):
            self.close()

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self._first_byte_at = self.listeners.loop.time()

    def on_url(self, url: bytes) -> None:
        """Called by httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Called by httptools."""
        target, headers = self._target.decode(), self._headers
        self._target, self._headers = b"", {}
        self._store.handle_request(self._parser.get_method(), target, headers, self, self._first_byte_at)
