"""An emulated cache server: RESP2 on loopback, one modelled core and the stored copies."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import hiredis

from pebblepass.emulators.advertised import AdvertisedTimeout, read_advertised_timeout
from pebblepass.emulators.core import ColdBudget, CoreParameters
from pebblepass.emulators.core_runner import CoreRunner
from pebblepass.emulators.effects import EffectLog
from pebblepass.emulators.listeners import (
    EmulatorConnection,
    ListenerGroup,
    PendingReply,
    SetAddressSilent,
    leave_address_reachable,
)
from pebblepass.emulators.observer import EmulatorObserver
from pebblepass.wire.resp import MULTI_GET_COMMAND, bulk

GARBLED_REPLIES = (b"*3\r\n$9\r\nnot nine\r\n", b"\x00\xfe\x17\r\n", b"*2\r\n*1\r\n$1\r\nx\r\n", b"$-7\r\n")
DRAIN_S = 4.0  # from the start of a node's drain to its end
MULTI_GET_MIN_WORDS = 5  # the name, the number of keys, at least one key, the request id and the info list


@dataclass(frozen=True, slots=True)
class WorkRange:
    """The least and the most work of a request of one class, in seconds of a core of speed 1."""

    least: float
    most: float


@dataclass(frozen=True, slots=True)
class NodeSetup:
    """An emulated cache server's configuration."""

    id: str
    core: CoreParameters
    memory: int
    """The most copies that it stores; the least recently used is evicted first."""
    report_period: float
    work_by_class: dict[str, WorkRange]
    miss_work: float
    """The work of a miss, as a fraction of the work of a hit."""
    error_rate: float
    value_bytes: tuple[float, float]
    delays: dict[str, float]
    """The one-way delay from each zone to this node, in seconds."""
    overload_multiple: float = 4.0
    fall_window: float = 2.0


@dataclass(slots=True)
class AnswerFaults:
    """Faults injected into a node's replies.

    `half`, `garble` and `reset` are upper bounds for one random draw per reply; scenarios set them by name.
    """

    half: float = 0.0
    garble: float = 0.0
    reset: float = 0.0
    draining: bool = False
    overloaded: bool = False


@dataclass(slots=True)
class _PendingRequest:
    request_id: str
    request_class: str
    key: str
    idempotency_key: str | None
    write: bool
    reply: PendingReply
    hit: bool = False


class EmulatedNode:
    """One emulated cache server; a key without a stored copy is a miss."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        setup: NodeSetup,
        rng: random.Random,
        effects: EffectLog,
        observer: EmulatorObserver,
        on_miss: Callable[[str, EmulatedNode], None],
        set_address_silent: SetAddressSilent = leave_address_reachable,
        on_read: Callable[[str, str], None] = lambda _, __: None,
    ) -> None:
        """`on_miss` gets the request id and this node; `on_read` the key of a read copy and the node id."""
        self.loop, self.setup, self.rng = loop, setup, rng
        self._effects, self._observer, self._on_miss, self._on_read = effects, observer, on_miss, on_read
        self.listeners = ListenerGroup(loop, tuple(setup.delays), set_address_silent)
        self.faults = AnswerFaults()
        self.copies: OrderedDict[str, None] = OrderedDict()
        self.core_runner: CoreRunner[_PendingRequest] = CoreRunner(loop, setup.core, self._on_done)
        self._cold_budget: ColdBudget | None = None
        self._report, self._report_until = b"", 0.0
        self._mean_latency_ms = (
            sum((w.least + w.most) / 2 for w in setup.work_by_class.values()) / len(setup.work_by_class)
        ) * 1000

    async def start(self, cold: bool = False) -> None:
        """Listen; a node that starts cold has no copies and warms up first."""
        self._begin(cold)
        await self.listeners.open(lambda zone: _NodeConnection(self, self.setup.delays[zone]))

    def _begin(self, cold: bool) -> None:
        setup = self.setup
        self.core_runner.restart(cold)
        started = self.loop.time()
        self._cold_budget = (
            ColdBudget(setup.core, started, setup.overload_multiple, setup.fall_window) if cold else None
        )
        self._report_until = 0.0

    # Faults

    def kill(self) -> None:
        """Emulate the death of the process: reset connections, refuse new ones, lose copies and requests."""
        self.listeners.stop_accepting()
        self.listeners.reset_connections()
        self.copies.clear()
        self._begin(cold=False)

    def restart(self) -> None:
        """Start again, cold, at the same addresses."""
        self.faults = AnswerFaults()
        self._begin(cold=True)
        self.listeners.reopen()

    def drop_copies(self, share: float) -> None:
        """Drop a random share of the copies."""
        for key in [key for key in self.copies if self.rng.random() < share]:
            del self.copies[key]

    def store_copy(self, key: str) -> None:
        """Store a copy and evict the least recently used ones beyond the limit."""
        self.copies[key] = None
        self.copies.move_to_end(key)
        while len(self.copies) > self.setup.memory:
            self.copies.popitem(last=False)

    # Requests

    def handle_request(self, words: list[bytes], connection: _NodeConnection, first_byte_at: float) -> None:
        """Handle a command that its router has written in full."""
        reply = connection.reserve_reply()
        name = words[0].upper() if words else b""
        if name == b"PING":
            reply.answer(b"+PONG\r\n")
        elif name == b"INFO":
            reply.answer(bulk(self.report()))
        elif name in (b"CLIENT", b"SELECT"):
            reply.answer(b"+OK\r\n")
        elif name == MULTI_GET_COMMAND and len(words) >= MULTI_GET_MIN_WORDS:
            # Routers know that this node rejects multi-get; the timeout of one is reported anyway.
            self._report_timeout(words[-2].decode(), words[-1], first_byte_at)
            reply.answer(b"-SYNTAX unknown command\r\n")
        elif name not in (b"KV.GET", b"KV.SET") or len(words) != (4 if name == b"KV.GET" else 5):
            reply.answer(b"-SYNTAX unknown command\r\n")
        else:
            info = dict(part.partition("=")[::2] for part in words[3].decode().split(","))
            request = words[2].decode()
            self._observer.attempt_received(request, self.setup.id, self.loop.time())
            self._report_timeout(request, words[3], first_byte_at)
            pending = _PendingRequest(
                request, info.get("c", ""), words[1].decode(), info.get("k"), name == b"KV.SET", reply
            )
            self.loop.call_later(connection.delay, self._offer, pending, self.core_runner.incarnation)

    def _report_timeout(self, request: str, info: bytes, first_byte_at: float) -> None:
        """Report the timeout that an attempt advertises to the observer."""
        timeout_ms, now = read_advertised_timeout(info), self.loop.time()
        self._observer.timeout_advertised(
            AdvertisedTimeout(request, self.setup.id, timeout_ms, first_byte_at, now)
        )

    def _offer(self, pending: _PendingRequest, incarnation: int) -> None:
        if incarnation != self.core_runner.incarnation or self.listeners.silent:
            return
        now = self.loop.time()
        work_range = self.setup.work_by_class.get(pending.request_class)
        if work_range is None:
            pending.reply.answer(b"-SYNTAX unknown class\r\n")
            return
        work = work_range.least + (work_range.most - work_range.least) * self.rng.random()
        pending.hit = pending.write or pending.key in self.copies
        if not pending.hit:
            work *= self.setup.miss_work
        informed = self._observer.router_knows_start(pending.request_id, self.setup.id)
        overload_informed_share = (
            self._cold_budget.add_work(now, work, informed) if self._cold_budget is not None else None
        )
        if overload_informed_share is not None:
            self._observer.cold_node_overloaded(self.setup.id, overload_informed_share, now)
            self.faults.overloaded = True
            self.kill()
            return
        if self.faults.draining or not self.core_runner.offer(pending, work):
            self._observer.attempt_answered(pending.request_id, self.setup.id, "busy", now)
            pending.reply.answer(b"-BUSY %b\r\n" % self.report())

    def _on_done(self, pending: _PendingRequest, now: float) -> None:
        work_range = self.setup.work_by_class[pending.request_class]
        self._mean_latency_ms += ((work_range.least + work_range.most) * 500 - self._mean_latency_ms) / 16
        if pending.write:
            self._effects.apply(pending.request_id, pending.request_class, pending.idempotency_key, now)
        if self.rng.random() < self.setup.error_rate:
            self._observer.attempt_answered(pending.request_id, self.setup.id, "error", now)
            pending.reply.answer(b"-ERR failed\r\n")
            return
        if not pending.hit:
            self._on_miss(pending.request_id, self)
            self._observer.attempt_answered(pending.request_id, self.setup.id, "miss", now)
            pending.reply.answer(b"*3\r\n$-1\r\n$4\r\nmiss\r\n" + bulk(self.report()))
            return
        if not pending.write and pending.key in self.copies:
            self.copies.move_to_end(pending.key)
            self._on_read(pending.key, self.setup.id)
        value = make_value(self.rng, pending.key, pending.request_id, self.setup.id, self.setup.value_bytes)
        answer = b"*3\r\n%b$3\r\nhit\r\n%b" % (bulk(value), bulk(self.report()))
        self._answer(pending, answer, now)

    def _answer(self, pending: _PendingRequest, answer: bytes, now: float) -> None:
        """Send a hit, or a faulty reply if an injected fault applies to it."""
        faults, connection = self.faults, pending.reply.connection
        draw = self.rng.random()
        if draw < faults.half:
            pending.reply.answer(answer[: len(answer) // 2], connection.close)
        elif draw < faults.garble:
            pending.reply.answer(self.rng.choice(GARBLED_REPLIES))
        elif draw < faults.reset:
            pending.reply.answer(answer[: len(answer) // 3], connection.reset)
        else:
            self._observer.attempt_answered(pending.request_id, self.setup.id, "hit", now)
            pending.reply.answer(answer)
            return
        self._observer.attempt_answered(pending.request_id, self.setup.id, "spoilt", now)

    def report(self) -> bytes:
        """The load report, refreshed once per report period."""
        now = self.loop.time()
        if now >= self._report_until:
            self._report = b"latency_ms=%.2f,queue=%d" % (
                self._mean_latency_ms,
                self.core_runner.core.queue_length,
            )
            self._report_until = now + self.setup.report_period
        return self._report


def make_value(rng: random.Random, key: str, request: str, server: str, length: tuple[float, float]) -> bytes:
    """Make a value that names its key, its request and the server that made it."""
    prefix = f"{key} {request} {server} ".encode()
    size = int(length[0] + (length[1] - length[0]) * rng.random())
    return prefix + b"." * max(0, size - len(prefix))


def encoded_length(words: list[bytes]) -> int:
    """The size of a RESP command on the wire, in bytes."""
    return len(b"*%d\r\n" % len(words)) + sum(len(b"$%d\r\n\r\n" % len(word)) + len(word) for word in words)


class FirstByteTracker:
    """Tracks when the first byte of each command arrived, however the commands are split into segments."""

    def __init__(self) -> None:
        self._pending = 0  # bytes after the last complete command
        self._first_at = self._last_at = 0.0

    def bytes_received(self, length: int, now: float) -> None:
        """Count bytes that have arrived."""
        if not self._pending:
            self._first_at = now
        self._pending += length
        self._last_at = now

    def command_ended(self, length: int) -> float:
        """Count a complete command of this length; returns when its first byte arrived."""
        first_at, self._first_at = self._first_at, self._last_at  # bytes after it arrived with its last byte
        self._pending -= length
        return first_at


class _NodeConnection(EmulatorConnection):
    """A router's connection to an emulated cache server."""

    def __init__(self, node: EmulatedNode, delay: float) -> None:
        super().__init__(node.listeners, delay)
        self._node = node
        self._reader = hiredis.Reader()
        self._first_byte_tracker = FirstByteTracker()

    def data_received(self, data: bytes) -> None:
        """Parse commands; malformed data closes the connection."""
        if self.listeners.silent:
            return
        self._first_byte_tracker.bytes_received(len(data), self.listeners.loop.time())
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not False:
                if not isinstance(words, list) or not all(isinstance(word, bytes) for word in words):
                    raise hiredis.ProtocolError("not a command")
                first_byte_at = self._first_byte_tracker.command_ended(encoded_length(words))
                self._node.handle_request(words, self, first_byte_at)
        except (hiredis.ProtocolError, UnicodeDecodeError):
            self.close()
