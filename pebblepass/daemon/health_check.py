"""One health check of a server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pebblepass.daemon.deadlines import Deadline
from pebblepass.daemon.exchange import Answer, Exchange
from pebblepass.decisions import Event, HealthCheckEnded, Outcome, Settings
from pebblepass.wire import http, resp
from pebblepass.wire.address import Address


class HealthCheckHost(Protocol):
    """What a health check needs of its host."""

    settings: Settings
    now: Callable[[], int]
    call_at: Callable[[int, Callable[[], None]], Deadline]
    parse_load_report: Callable[[bytes | None], tuple[float, ...] | None]

    def handle_event(self, event: Event) -> None:
        """Give the decision module an event."""


class HealthCheckExchange(Exchange):
    """Requests a load report, or a PING where servers send no reports, within `timeout` nanoseconds."""

    is_probe = True

    def __init__(self, host: HealthCheckHost, server: str, to_origin: bool, timeout: int) -> None:
        self._host, self._server, self._to_origin = host, server, to_origin
        self._sent_at = host.now()
        self._timer = host.call_at(self._sent_at + timeout, self._timed_out)

    def _timed_out(self) -> None:
        self.give_up(Outcome.TIMEOUT)

    def request_bytes(self, address: Address) -> bytes:
        """Encode the request for a load report, or a plain liveness check."""
        reports = bool(self._host.settings.load_fields)
        if self._to_origin:
            path = "/stats" if reports else "/health/live"
            return http.request("GET", path, f"{address[0]}:{address[1]}")
        return resp.command(b"INFO", b"load") if reports else resp.command(b"PING")

    def handle_outcome(self, outcome: Outcome, answer: Answer) -> None:
        """Report the result to the decision module."""
        self._timer.cancel()
        latency = self._host.now() - self._sent_at
        load = self._host.parse_load_report(answer.report or answer.value)
        self._host.handle_event(HealthCheckEnded(self._server, outcome, latency, load))
