"""A stand-in package store: HTTP/1.1 on loopback in front of a few slow places of service."""

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
    """Everything that a stand-in store is told."""

    id: str
    core: CoreParameters
    work: float
    """Seconds that one request takes, on average."""
    error_rate: float
    value_bytes: tuple[float, float]
    delays: dict[str, float]


@dataclass(slots=True)
class _Asked:
    request: str
    fields: dict[str, str]
    key: str
    write: bool
    place: PendingReply


class EmulatedStore:
    """The one slow origin. What it has served is stored where the request missed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        setup: StoreSetup,
        rng: random.Random,
        effects: EffectLog,
        observer: EmulatorObserver,
        fetched: Callable[[str, str], None],
        written: Callable[[str], None],
        silence: SetAddressSilent = leave_address_reachable,
    ) -> None:
        self.loop, self.setup, self.rng = loop, setup, rng
        self._effects, self._observer = effects, observer
        self._fetched, self._written = fetched, written
        self.listeners = ListenerGroup(loop, tuple(setup.delays), silence)
        self.core_runner: CoreRunner[_Asked] = CoreRunner(loop, setup.core, self._done)
        self.fetches = self.writes = 0

    async def start(self) -> None:
        """Listen."""
        await self.listeners.open(lambda zone: _StoreLine(self, self.setup.delays[zone]))

    def kill(self) -> None:
        """The store goes down: connections are reset, new ones refused, all that it held is gone."""
        self.listeners.stop_accepting()
        self.listeners.reset_connections()
        self.core_runner.restart(cold=False)

    def restart(self) -> None:
        """The store is back."""
        self.listeners.reopen()

    def handle_request(
        self,
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        line: EmulatorConnection,
        first_byte_at: float,
    ) -> None:
        """Take a request whose last byte has left its router."""
        place = line.reserve_reply()
        if method == b"GET" and target in ("/health/live", "/stats"):
            place.answer(_answer(200, self.report()))
            return
        request = headers.get(b"request-id", b"").decode()
        info = headers.get(b"request-info", b"").decode()
        if method in (b"GET", b"PUT") and request:
            timeout_ms, now = read_advertised_timeout(info.encode()), self.loop.time()
            self._observer.timeout_advertised(
                AdvertisedTimeout(request, self.setup.id, timeout_ms, first_byte_at, now)
            )
        if method not in (b"GET", b"PUT") or not request or not info:
            place.answer(_answer(400, b""))
            return
        fields = dict(part.partition("=")[::2] for part in info.split(","))
        self._observer.attempt_received(request, self.setup.id, self.loop.time())
        asked = _Asked(request, fields, unquote(target[1:]), method == b"PUT", place)
        self.loop.call_later(line.delay, self._offer, asked, self.core_runner.incarnation)

    def _offer(self, asked: _Asked, incarnation: int) -> None:
        if incarnation != self.core_runner.incarnation:
            return
        now = self.loop.time()
        work = self.setup.work * self.rng.uniform(0.6, 1.4)
        if not self.core_runner.offer(asked, work):
            self._observer.attempt_answered(asked.request, self.setup.id, "busy", now)
            asked.place.answer(_answer(503, b"", b"Not-Started: 1\r\n", self.report()))

    def _done(self, asked: _Asked, now: float) -> None:
        self.writes += asked.write
        self.fetches += not asked.write
        if self.rng.random() < self.setup.error_rate:
            self._observer.attempt_answered(asked.request, self.setup.id, "error", now)
            asked.place.answer(_answer(500, b"", report=self.report()))
            return
        if asked.write:
            self._effects.run(asked.request, asked.fields.get("c", ""), asked.fields.get("k"), now)
            self._written(asked.key)
        else:
            self._fetched(asked.request, asked.key)
        outcome = "stored" if asked.write else "fetched"
        self._observer.attempt_answered(asked.request, self.setup.id, outcome, now)
        value = make_value(self.rng, asked.key, asked.request, self.setup.id, self.setup.value_bytes)
        asked.place.answer(_answer(200, value, report=self.report()))

    def report(self) -> bytes:
        """The load report."""
        return b"latency_ms=%.2f,queue=%d" % (self.setup.work * 1000, self.core_runner.core.queue_length)


_REASONS = {200: b"OK", 400: b"Bad Request", 500: b"Internal Server Error", 503: b"Service Unavailable"}


def _answer(status: int, body: bytes, headers: bytes = b"", report: bytes = b"") -> bytes:
    load = b"Server-Load: %b\r\n" % report if report else b""
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, _REASONS[status], len(body))
    return b"%b%b%b\r\n%b" % (head, headers, load, body)


class _StoreLine(EmulatorConnection):
    """A router's connection to the store."""

    def __init__(self, store: EmulatedStore, delay: float) -> None:
        super().__init__(store.listeners, delay)
        self._store = store
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._first_byte_at = 0.0

    def data_received(self, data: bytes) -> None:
        """Read requests; what can't be read closes the connection."""
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
