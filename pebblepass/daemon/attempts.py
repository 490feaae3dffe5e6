"""Requests that are open, and the attempts at them: what the host, clients and reads of many keys meet in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from pebblepass.control.counters import Counters
from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.deadlines import Deadline
from pebblepass.daemon.exchange import Answer, Exchange, ValueSource
from pebblepass.daemon.lag import LoopLag, after_poll
from pebblepass.decisions import AttemptEnded, Event, Outcome, StreamStarted
from pebblepass.wire import http, resp
from pebblepass.wire.address import Address
from pebblepass.wire.resp import Command

if TYPE_CHECKING:
    from pebblepass.accounting.ledger import Ledger

STALL_S = 2.0  # a server pauses a value for 0.1 s at most; one silent for so long has vanished
KEY_SAFE = "/:@!$&'()*+,;=-._~"  # what a path may hold as it is


def _as_path(key: bytes) -> str:
    if key.isalnum():
        return key.decode("ascii")
    # Loaded with the first key that needs it: the platform's never do, and a start pays for it.
    from urllib.parse import quote

    return quote(key, safe=KEY_SAFE)


class ReplySlot(Protocol):
    """Where one request's answer goes: among those of its connection, or of its command."""

    source: ValueSource | None
    request: Any
    """The host's."""

    @property
    def unread_ns(self) -> int:
        """Nanoseconds for which its command may have stood unread, while that command is being taken."""

    @property
    def null(self) -> bytes:
        """The null in its client's protocol."""

    def send(self, data: bytes) -> None:
        """Give the whole answer, or its last part."""

    def start(self, data: bytes, source: ValueSource) -> None:
        """Begin an answer that comes in parts."""

    def write(self, data: bytes) -> bool:
        """Write a part; False: it is held back."""

    def abort(self) -> None:
        """End a begun answer so that the client sees that it is not whole."""

    def free_command(self) -> None:
        """The host needs the command no longer."""

    def client_is_alive(self) -> bool:
        """Whether its client is there: it has been heard just now, or is looked at."""

    def detach_request(self) -> None:
        """Its client was found to have gone, and its request is let go already."""


class Carrier(Protocol):
    """What carries an attempt that has no connection for itself."""

    begun_at: int
    lag_before: int

    def give_up(self, outcome: Outcome) -> None:
        """End all that it carries."""


class AttemptHost(Protocol):
    """What an attempt needs of its host."""

    loop: asyncio.AbstractEventLoop
    lag: LoopLag
    counters: Counters
    ledger: Ledger | None
    now: Callable[[], int]
    call_at: Callable[[int, Callable[[], None]], Deadline]
    parse_load_report: Callable[[bytes | None], tuple[float, ...] | None]

    def forget_if_settled(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has nothing out."""

    def drop_request(self, request: OpenRequest) -> None:
        """Nothing is owed to this request any more: its client has left."""

    def handle_event(self, event: Event) -> None:
        """Give the module an event."""


class OpenRequest:
    """A request that is owed an answer, or has attempts out still."""

    __slots__ = (  # noqa: RUF023
        "id", "command", "reply", "deadline", "of_command",
        "attempts", "out", "closed", "streaming", "accounted", "unsent",
    )  # fmt: skip

    def __init__(
        self,
        request_id: str,
        command: Command,
        reply: ReplySlot,
        deadline: int,
        of_command: bool = False,
    ) -> None:
        """`of_command`: it is a key of a read of many."""
        self.id, self.command, self.reply, self.deadline = request_id, command, reply, deadline
        self.of_command = of_command
        self.attempts = self.out = 0
        self.closed = self.streaming = self.accounted = False
        self.unsent: list[Attempt] | None = None
        """Attempts that had to wait before they could be sent, if there are any."""

    def withdraw(self) -> None:
        """It has its final answer, or nobody waits for it: what can be taken back is not sent.

        Danger: a connection that comes up a second later would send an attempt that waits for it still.
        """
        unsent, self.unsent = self.unsent, None
        for attempt in unsent or ():
            attempt.withdraw()


class Attempt(Exchange):
    """One attempt at a request."""

    # Set where it comes to that: nearly all attempts are over without it.
    _latency = _length = 0  # until a long value's first bytes; that value's length
    _source: ValueSource | None = None
    _came_at = 0.0
    _timer: Deadline | asyncio.TimerHandle | None = None
    _part: Carrier | None = None  # that carries it, where it has no connection for itself
    _spared = False

    def __init__(
        self,
        host: AttemptHost,
        request: OpenRequest,
        server: str,
        to_origin: bool,
        now: int,
        until: int = 0,
    ) -> None:
        """`until`: a time from which it must not be sent, before its client's own; 0: there is none."""
        self._host, self._request, self._server, self._to_origin = host, request, server, to_origin
        latest = deadline_propagation.latest_start(request.deadline)
        self._latest_start = min(until, latest) if until else latest
        self._number = request.attempts
        self._sent_at, self._lag_before = now, host.lag.total(now)
        self.is_write = request.command.value is not None
        request.attempts += 1
        request.out += 1

    # What a part needs to know of those that it carries

    @property
    def command(self) -> Command:
        """What is asked."""
        return self._request.command

    @property
    def request_id(self) -> str:
        """Whose attempt it is."""
        return self._request.id

    @property
    def is_wanted(self) -> bool:
        """Whether its request has no final answer yet, and the time in which it may be sent is not over."""
        return not self._request.closed and self._host.now() < self._latest_start

    def may_begin(self) -> bool:
        """Whether it is wanted, and its client is there; one whose client has gone is let go."""
        if not self.is_wanted:
            return False
        request = self._request
        if request.reply.client_is_alive():
            return True
        # Danger: its connection goes a turn later, and until then what has failed would be tried again.
        self._host.drop_request(request)
        request.reply.detach_request()
        self.withdraw()
        return False

    def mark_unsent(self) -> None:
        """Be taken back with its request, as long as that can be done."""
        if self._request.unsent is None:
            self._request.unsent = []
        self._request.unsent.append(self)

    def withdraw(self) -> None:
        """Take it back, unless it has left; what has not been sent tells nothing of its server."""
        if self._part is None and not self.is_over:
            if self.connection is None or self.connection.unsent:
                self.exclude_from_health(always=True)
            super().withdraw()

    @property
    def streaming(self) -> bool:
        """Whether a long value of it is under way."""
        return self._source is not None

    def begin(self, part: Carrier) -> None:
        """It has left in this part."""
        self._part = part
        self._sent_at, self._lag_before = part.begun_at, part.lag_before

    def elapsed(self) -> int:
        """Nanoseconds that its server has had."""
        return self._elapsed(self._host.now())

    def record_latency(self, latency: int) -> None:
        """Its share of the time that its part took."""
        self._latency = self._latency or latency

    def exclude_from_health(self, always: bool = False) -> None:
        """Its end says nothing of its server that another's has not said; but for one after another."""
        self._spared = always or self._number == 0
        self._latency = self._latency or 1

    def give_up(self, outcome: Outcome) -> None:
        """End it before its answer has come; what shares its connection ends with it."""
        if self._part is not None and not self.is_over:
            self._part.give_up(outcome)
        else:
            super().give_up(outcome)

    def wait_until(self, due: int) -> None:
        """Give up at the time `due`."""
        self._timer = self._host.call_at(due, self._timed_out)

    def _timed_out(self) -> None:
        # Guards a server that has answered: after a hold-up of this loop its answer stands unread.
        after_poll(self._host.loop, self._no_answer)

    def _no_answer(self) -> None:
        if self._source is None:  # else a long value has begun in the last moment
            self.give_up(Outcome.TIMEOUT)

    def request_bytes(self, address: Address) -> bytes:
        """Encode the client's request for this server, advertising what is left of the client's time."""
        request, command = self._request, self._request.command
        timeout_ms = deadline_propagation.remaining_ms(request.deadline, self._host.now(), command.timeout_ms)
        if self._to_origin:
            method = "GET" if command.value is None else "PUT"
            info = resp.with_timeout(command.info, timeout_ms)
            headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (command.id, info)
            target = "/" + _as_path(command.key)
            return http.request(method, target, f"{address[0]}:{address[1]}", headers, command.value)
        return command.as_bytes(timeout_ms)

    def written(self) -> None:
        """Count it as sent."""
        self._host.counters.sends += 1

    def value_started(self, length: int, source: ValueSource) -> None:
        """Begin the client's answer with a long value's header."""
        self._latency = self._elapsed(self._host.now())
        request = self._request
        if request.closed:
            return  # nobody reads it: the attempt's time runs on
        if self._timer is not None:
            self._timer.cancel()
        request.streaming = request.closed = True
        request.withdraw()
        self._source, self._length = source, length
        self._came_at = self._host.loop.time()
        self._timer = self._host.loop.call_later(STALL_S, self._check_stall)
        request.reply.start(b"$%d\r\n" % length, self)
        self._host.handle_event(StreamStarted(request.id, self._number))

    def _elapsed(self, now: int) -> int:
        """The time that the server took: what this router's own loop was held up is not held against it."""
        return max(now - self._sent_at - (self._host.lag.total(now) - self._lag_before), 1)

    def value_received(self, data: bytes) -> None:
        """Pass on a part of a long value."""
        if self._source is not None:
            self._came_at = self._host.loop.time()
            self._request.reply.write(data)

    def pause(self) -> None:
        """The client can't take more: stop reading at the server."""
        self._came_at = float("inf")
        if self._source is not None:
            self._source.pause()

    def resume(self) -> None:
        """The client takes again."""
        self._came_at = self._host.loop.time()
        if self._source is not None:
            self._source.resume()

    def _check_stall(self) -> None:
        if self._host.loop.time() - self._came_at >= STALL_S:
            self.give_up(Outcome.RESET)
        else:
            self._timer = self._host.loop.call_later(STALL_S / 4, self._check_stall)

    def client_left(self) -> None:
        """Stop: nobody reads the value."""
        self.give_up(Outcome.CANCELLED)

    def ended(self, outcome: Outcome, answer: Answer) -> None:
        """The first OK is the client's answer; the module is told of every end."""
        if self._timer is not None:
            self._timer.cancel()
        host, request, now = self._host, self._request, self._host.now()
        value, note, report = answer
        reply, ledger = request.reply, host.ledger
        request.out -= 1
        if self._source is not None:
            self._source = None
            request.streaming = False
            # Accounted for first: to cut the client off ends its connection, as if it had left by itself.
            if ledger is not None and not request.accounted:
                if outcome is Outcome.OK:
                    ledger.serve(request.id, now, self._length)
                else:
                    ledger.fail(request.id, now, "cut off")
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
                ledger.serve(request.id, now, len(value), self._to_origin)
                ledger = None  # told of both
        if ledger is not None:
            fields = request.command.fields
            ledger.attempt(fields["c"], fields.get("t"), outcome.value, self._to_origin)
        latency = self._latency or self._elapsed(now)
        load, stale = host.parse_load_report(report), self._spared or self.connection_failed
        told = request.closed, latency, note, load, stale, self.connection_rejected
        event = AttemptEnded(request.id, self._number, self._server, outcome, *told)
        host.forget_if_settled(request)
        host.handle_event(event)
