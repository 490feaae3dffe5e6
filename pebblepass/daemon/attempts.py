"""Open requests and their attempts, used by the host, the clients' connections and multi-gets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from pebblepass.control.counters import Counters
from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.deadlines import Deadline
from pebblepass.daemon.exchange import Answer, Exchange, ValueSource
from pebblepass.daemon.lag import LoopLag, after_poll
from pebblepass.daemon.value_stream import ValueStream, hold_time
from pebblepass.decisions import AttemptEnded, Event, Outcome, StreamStarted
from pebblepass.decisions.interface import NS_PER_S
from pebblepass.wire import http, resp
from pebblepass.wire.address import Address
from pebblepass.wire.resp import Command

if TYPE_CHECKING:
    from pebblepass.accounting.ledger import Ledger

PATH_SAFE_CHARACTERS = "/:@!$&'()*+,;=-._~"  # of a key; besides these, only letters and digits are not quoted


def _quote_path(key: bytes) -> str:
    if key.isalnum():
        return key.decode("ascii")
    # Imported only for a key that needs quoting: the platform's keys do not, and the import slows the start.
    from urllib.parse import quote

    return quote(key, safe=PATH_SAFE_CHARACTERS)


class ReplySlot(Protocol):
    """The reply of one request, in the order of the replies of its connection or its multi-get."""

    source: ValueSource | None
    request: Any
    """Set and read by the host."""

    @property
    def unread_ns(self) -> int:
        """Nanoseconds for which its command may have been unread; valid only while it is being dispatched."""

    @property
    def null(self) -> bytes:
        """The null value in the client's protocol version."""

    def send(self, data: bytes) -> None:
        """Write the complete reply, or its last part."""

    def start_value(self, length: int, source: ValueSource, hold_s: float) -> None:
        """Begin a reply with a long value of `length` bytes, which may be held for `hold_s` seconds."""

    def write(self, data: bytes) -> bool:
        """Write a part; returns False if it is buffered until the replies ahead are written."""

    def abort(self) -> None:
        """Abort a streamed reply, so that the client sees that it is incomplete."""

    def free_command(self) -> None:
        """Release the memory of the command, which the host no longer needs."""

    def client_state(self) -> ClientState:
        """Return whether the client is still connected, by a recent read or else by a poll."""

    def detach_request(self) -> None:
        """Detach the request, which the host has dropped: the disconnect will not be reported for it."""


class CarryingBatch(Protocol):
    """The batch that carries an attempt without a connection of its own."""

    begun_at: int
    lag_before: int

    def give_up(self, outcome: Outcome) -> None:
        """End all attempts that it carries."""


class AttemptHost(Protocol):
    """The interface of the decision module's host that attempts use."""

    loop: asyncio.AbstractEventLoop
    lag: LoopLag
    counters: Counters
    ledger: Ledger | None
    now: Callable[[], int]
    call_at: Callable[[int, Callable[[], None]], Deadline]
    parse_load_report: Callable[[bytes | None], tuple[float, ...] | None]

    def forget_if_settled(self, request: OpenRequest) -> None:
        """Forget a request that is closed and has no attempt in flight."""

    def drop_request(self, request: OpenRequest) -> None:
        """Close a request whose client has disconnected."""

    def end_unconfirmed(self, request: OpenRequest) -> None:
        """End a request whose client may have disconnected, before a further attempt begins."""

    def handle_event(self, event: Event) -> None:
        """Give the decision module an event."""


class OpenRequest:
    """A request without a final answer, or with attempts in flight."""

    __slots__ = (  # noqa: RUF023
        "id", "command", "reply", "deadline", "is_multi_get_key",
        "attempts", "attempts_in_flight", "closed", "streaming", "accounted", "unsent", "was_sent",
    )  # fmt: skip

    def __init__(
        self,
        request_id: str,
        command: Command,
        reply: ReplySlot,
        deadline: int,
        is_multi_get_key: bool = False,
    ) -> None:
        """`deadline`: in nanoseconds of the host's clock; `is_multi_get_key`: it is a key of a multi-get."""
        self.id, self.command, self.reply, self.deadline = request_id, command, reply, deadline
        self.is_multi_get_key = is_multi_get_key
        self.attempts = self.attempts_in_flight = 0
        self.closed = self.streaming = self.accounted = self.was_sent = False
        self.unsent: list[Attempt] | None = None
        """Attempts that had to wait before they could be sent, if there are any."""

    def withdraw(self) -> None:
        """Withdraw the attempts that are not sent: it has its final answer, or its client has disconnected.

        Warning: an attempt that waits for a connection would otherwise still be sent once that connection is
        established, perhaps a second later.
        """
        unsent, self.unsent = self.unsent, None
        for attempt in unsent or ():
            attempt.withdraw()


class Attempt(Exchange):
    """One attempt at a request."""

    # Defaults as class attributes: nearly all attempts end without setting them.
    _latency = 0  # nanoseconds; set if it is not the time until the end, as for a long value or in a batch
    _stream: ValueStream | None = None
    _timer: Deadline | None = None
    _batch: CarryingBatch | None = None  # the batch that carries it, if any
    _excluded_from_health = False

    def __init__(
        self,
        host: AttemptHost,
        request: OpenRequest,
        server: str,
        to_origin: bool,
        now: int,
        until: int = 0,
    ) -> None:
        """`now` and `until` are in nanoseconds; it must not be sent from `until` on, unless that is 0."""
        self._host, self._request, self._server, self._to_origin = host, request, server, to_origin
        latest = deadline_propagation.latest_start(request.deadline)
        self._latest_start = min(until, latest) if until else latest
        self._number = request.attempts
        self._sent_at, self._lag_before = now, host.lag.total(now)
        self.is_write = request.command.value is not None
        request.attempts += 1
        request.attempts_in_flight += 1

    # Used by the batch that carries the attempt

    @property
    def command(self) -> Command:
        """The client's command."""
        return self._request.command

    @property
    def request_id(self) -> str:
        """The id of its request."""
        return self._request.id

    @property
    def is_wanted(self) -> bool:
        """Whether its request has no final answer, and it is not too late to send it."""
        return not self._request.closed and self._host.now() < self._latest_start

    def may_begin(self) -> bool:
        """Whether it is wanted and its client is connected; otherwise the request is dropped."""
        if not self.is_wanted:
            return False
        request = self._request
        state = request.reply.client_state()
        if state is ClientState.CONNECTED:
            return True
        if state is ClientState.UNKNOWN:
            self._host.end_unconfirmed(request)
            self.withdraw()
            return False
        # Warning: the client's connection is closed in the next iteration only; failed attempts would be
        # retried until then.
        self._host.drop_request(request)
        request.reply.detach_request()
        self.withdraw()
        return False

    def mark_unsent(self) -> None:
        """Register with the request, which withdraws the attempt if it is still unsent then."""
        if self._request.unsent is None:
            self._request.unsent = []
        self._request.unsent.append(self)

    def withdraw(self) -> None:
        """End it unless it was sent; an unsent one is excluded from the server's health statistics."""
        if self._batch is None and not self.is_over:
            if self.connection is None or self.connection.unsent:
                self.exclude_from_health(always=True)
            super().withdraw()

    @property
    def streaming(self) -> bool:
        """Whether a long value is being streamed."""
        return self._stream is not None

    def begin(self, batch: CarryingBatch) -> None:
        """Record that it was sent in this batch."""
        self._batch = batch
        self._sent_at, self._lag_before = batch.begun_at, batch.lag_before

    def elapsed(self) -> int:
        """Return the nanoseconds since it was sent, without the lag of this router's event loop."""
        return self._elapsed(self._host.now())

    def record_latency(self, latency: int) -> None:
        """Record its share of the latency of its batch, in nanoseconds."""
        self._latency = self._latency or latency

    def exclude_from_health(self, always: bool = False) -> None:
        """Exclude a first attempt from the server's health statistics: another has reported the failure.

        `always`: exclude a retry too.
        """
        self._excluded_from_health = always or self._number == 0
        self._latency = self._latency or 1

    def give_up(self, outcome: Outcome) -> None:
        """End it before its answer is received, together with the batch that carries it, if any."""
        if self._batch is not None and not self.is_over:
            self._batch.give_up(outcome)
        else:
            super().give_up(outcome)

    def wait_until(self, due: int) -> None:
        """Set the time at which the attempt times out, in nanoseconds."""
        self._timer = self._host.call_at(due, self._timed_out)

    def _timed_out(self) -> None:
        # The server may have answered: when the event loop is late, the answer may still be unread.
        after_poll(self._host.loop, self._time_out)

    def _time_out(self) -> None:
        if self._stream is None:  # else a long value has just begun
            if self.connection is not None and self.connection.waits_for_memory:
                self.exclude_from_health(always=True)
            self.give_up(Outcome.TIMEOUT)

    def request_bytes(self, address: Address) -> bytes:
        """Encode the client's request for this server, and advertise the time left until its deadline."""
        request, command = self._request, self._request.command
        timeout_ms = deadline_propagation.remaining_ms(request.deadline, self._host.now(), command.timeout_ms)
        if self._to_origin:
            method = "GET" if command.value is None else "PUT"
            info = resp.with_timeout(command.info, timeout_ms)
            headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (command.id, info)
            target = "/" + _quote_path(command.key)
            return http.request(method, target, f"{address[0]}:{address[1]}", headers, command.value)
        return command.as_bytes(timeout_ms)

    def written(self) -> None:
        """Count it as sent."""
        self._host.counters.sends += 1
        self._request.was_sent = True

    def value_started(self, length: int, source: ValueSource) -> None:
        """Begin the client's reply with a long value's header."""
        now = self._host.now()
        self._latency = self._elapsed(now)
        request = self._request
        if request.closed:
            return  # the value is not used, and the attempt's timeout still applies
        if self._timer is not None:
            self._timer.cancel()
        request.streaming = request.closed = True
        request.withdraw()
        self._stream = ValueStream(self._host.loop, source, length, self._stalled)
        request.reply.start_value(length, self, hold_time((request.deadline - now) / NS_PER_S))
        self._host.handle_event(StreamStarted(request.id, self._number))

    def _elapsed(self, now: int) -> int:
        """Return the nanoseconds that the server took, without the lag of this router's event loop."""
        return max(now - self._sent_at - (self._host.lag.total(now) - self._lag_before), 1)

    def value_received(self, data: bytes) -> None:
        """Pass a part of a long value on to the client."""
        if self._stream is not None:
            self._stream.record_bytes()
            self._request.reply.write(data)

    def pause(self) -> None:
        """Pause reading the long value: the client does not read."""
        if self._stream is not None:
            self._stream.pause()

    def resume(self) -> None:
        """Resume reading the long value."""
        if self._stream is not None:
            self._stream.resume()

    def _stalled(self) -> None:
        self.give_up(Outcome.RESET)

    def client_disconnected(self) -> None:
        """Cancel it: the client that reads the value has disconnected."""
        self.give_up(Outcome.CANCELLED)

    def handle_outcome(self, outcome: Outcome, answer: Answer) -> None:
        """Reply to the client with the first OK; report every outcome to the decision module."""
        if self._timer is not None:
            self._timer.cancel()
        host, request, now = self._host, self._request, self._host.now()
        value, note, report = answer
        reply, ledger = request.reply, host.ledger
        request.attempts_in_flight -= 1
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()
            request.streaming = False
            # Accounted for first: aborting the reply closes the connection, which counts as a disconnect of
            # the client otherwise.
            if ledger is not None and not request.accounted:
                if outcome is Outcome.OK:
                    ledger.record_served(request.id, now, stream.length)
                else:
                    ledger.record_failed(request.id, now, "cut off")
            request.accounted = True
            if outcome is Outcome.OK:
                host.counters.answered[request.command.fields["c"]] += 1
                reply.send(b"\r\n")
            else:
                host.counters.errored[request.command.fields["c"]] += 1
                reply.abort()
        elif outcome is Outcome.OK and not request.closed and value is not None:
            request.closed = True
            if request.unsent is not None:
                request.withdraw()
            reply.send(resp.bulk(value))
            host.counters.answered[request.command.fields["c"]] += 1
            if ledger is not None:
                ledger.record_served(request.id, now, len(value), self._to_origin)
                ledger = None  # it has recorded the attempt too
        if ledger is not None:
            fields = request.command.fields
            ledger.record_attempt(fields["c"], fields.get("t"), outcome.value, self._to_origin)
        latency = self._latency or self._elapsed(now)
        load, is_excluded = (
            host.parse_load_report(report),
            self._excluded_from_health or self.connection_failed,
        )
        result = request.closed, latency, note, load, is_excluded, self.connection_rejected
        event = AttemptEnded(request.id, self._number, self._server, outcome, *result)
        host.forget_if_settled(request)
        host.handle_event(event)
