"""A stand-in mirror node: RESP2 on loopback in front of one modelled core and its kept copies."""

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

GARBLED = (b"*3\r\n$9\r\nnot nine\r\n", b"\x00\xfe\x17\r\n", b"*2\r\n*1\r\n$1\r\nx\r\n", b"$-7\r\n")
DRAIN_S = 4.0  # a node that drains ends after so long
MANY_WORDS = 5  # of a read of many keys at least: its name, the number of keys, a key, its id and its list


@dataclass(frozen=True, slots=True)
class WorkRange:
    """What one class of requests costs a core, in seconds, least and most."""

    least: float
    most: float


@dataclass(frozen=True, slots=True)
class NodeSetup:
    """Everything that a stand-in mirror node is told."""

    id: str
    core: CoreParameters
    memory: int
    """Copies that it keeps at most; the one used longest ago goes first."""
    report_period: float
    works: dict[str, WorkRange]
    miss_work: float
    """The work of a miss, as a share of a hit's."""
    error_rate: float
    value_bytes: tuple[float, float]
    delays: dict[str, float]
    """One way from each zone to this node, in seconds."""
    overload_multiple: float = 4.0
    fall_window: float = 2.0


@dataclass(slots=True)
class AnswerFaults:
    """How a node answers while it is in trouble: the share of its answers that each touches."""

    half: float = 0.0
    garble: float = 0.0
    reset: float = 0.0
    draining: bool = False
    overloaded: bool = False


@dataclass(slots=True)
class _Asked:
    request: str
    request_class: str
    key: str
    idempotency: str | None
    write: bool
    place: PendingReply
    hit: bool = False


class EmulatedNode:
    """One mirror node. It stores; what it lacks it reports as a miss."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        setup: NodeSetup,
        rng: random.Random,
        effects: EffectLog,
        observer: EmulatorObserver,
        missed: Callable[[str, EmulatedNode], None],
        silence: SetAddressSilent = leave_address_reachable,
        read: Callable[[str, str], None] = lambda _, __: None,
    ) -> None:
        """`missed` is told a request and this node; `read` the key of a copy that was read, and the id."""
        self.loop, self.setup, self.rng = loop, setup, rng
        self._effects, self._observer, self._missed, self._read = effects, observer, missed, read
        self.listeners = ListenerGroup(loop, tuple(setup.delays), silence)
        self.faults = AnswerFaults()
        self.copies: OrderedDict[str, None] = OrderedDict()
        self.core_runner: CoreRunner[_Asked] = CoreRunner(loop, setup.core, self._done)
        self._cold: ColdBudget | None = None
        self._report, self._report_until = b"", 0.0
        self._recent = (sum((w.least + w.most) / 2 for w in setup.works.values()) / len(setup.works)) * 1000

    async def start(self, cold: bool = False) -> None:
        """Listen; a node that starts cold warms up first and keeps no copies yet."""
        self._begin(cold)
        await self.listeners.open(lambda zone: _NodeLine(self, self.setup.delays[zone]))

    def _begin(self, cold: bool) -> None:
        setup = self.setup
        self.core_runner.restart(cold)
        started = self.loop.time()
        self._cold = (
            ColdBudget(setup.core, started, setup.overload_multiple, setup.fall_window) if cold else None
        )
        self._report_until = 0.0

    # What breaks

    def kill(self) -> None:
        """The process dies: connections are reset, new ones refused, all that it held is gone."""
        self.listeners.stop_accepting()
        self.listeners.reset_connections()
        self.copies.clear()
        self._begin(cold=False)

    def restart(self) -> None:
        """The process starts again, cold, at the same addresses."""
        self.faults = AnswerFaults()
        self._begin(cold=True)
        self.listeners.reopen()

    def drop_copies(self, share: float) -> None:
        """That share of the kept copies goes void."""
        for key in [key for key in self.copies if self.rng.random() < share]:
            del self.copies[key]

    def store_copy(self, key: str) -> None:
        """Store a copy."""
        self.copies[key] = None
        self.copies.move_to_end(key)
        while len(self.copies) > self.setup.memory:
            self.copies.popitem(last=False)

    # What is asked

    def handle_request(self, words: list[bytes], line: _NodeLine, first_byte_at: float) -> None:
        """Take a command whose last byte has left its router."""
        place = line.reserve_reply()
        name = words[0].upper() if words else b""
        if name == b"PING":
            place.answer(b"+PONG\r\n")
        elif name == b"INFO":
            place.answer(bulk(self.report()))
        elif name in (b"CLIENT", b"SELECT"):
            place.answer(b"+OK\r\n")
        elif name == MULTI_GET_COMMAND and len(words) >= MANY_WORDS:
            # Routers are told that this node takes no such command; what one advertises counts all the same.
            self._report_timeout(words[-2].decode(), words[-1], first_byte_at)
            place.answer(b"-SYNTAX unknown command\r\n")
        elif name not in (b"KV.GET", b"KV.SET") or len(words) != (4 if name == b"KV.GET" else 5):
            place.answer(b"-SYNTAX unknown command\r\n")
        else:
            info = dict(part.partition("=")[::2] for part in words[3].decode().split(","))
            request = words[2].decode()
            self._observer.attempt_received(request, self.setup.id, self.loop.time())
            self._report_timeout(request, words[3], first_byte_at)
            asked = _Asked(
                request, info.get("c", ""), words[1].decode(), info.get("k"), name == b"KV.SET", place
            )
            self.loop.call_later(line.delay, self._offer, asked, self.core_runner.incarnation)

    def _report_timeout(self, request: str, info: bytes, first_byte_at: float) -> None:
        """Report to the observer how much time an attempt says that its client has left."""
        timeout_ms, now = read_advertised_timeout(info), self.loop.time()
        self._observer.timeout_advertised(
            AdvertisedTimeout(request, self.setup.id, timeout_ms, first_byte_at, now)
        )

    def _offer(self, asked: _Asked, incarnation: int) -> None:
        if incarnation != self.core_runner.incarnation or self.listeners.silent:
            return
        now = self.loop.time()
        works = self.setup.works.get(asked.request_class)
        if works is None:
            asked.place.answer(b"-SYNTAX unknown class\r\n")
            return
        work = works.least + (works.most - works.least) * self.rng.random()
        asked.hit = asked.write or asked.key in self.copies
        if not asked.hit:
            work *= self.setup.miss_work
        informed = self._observer.router_knows_start(asked.request, self.setup.id)
        over = self._cold.add_work(now, work, informed) if self._cold is not None else None
        if over is not None:
            self._observer.cold_node_overloaded(self.setup.id, over, now)
            self.faults.overloaded = True
            self.kill()
            return
        if self.faults.draining or not self.core_runner.offer(asked, work):
            self._observer.attempt_answered(asked.request, self.setup.id, "busy", now)
            asked.place.answer(b"-BUSY %b\r\n" % self.report())

    def _done(self, asked: _Asked, now: float) -> None:
        works = self.setup.works[asked.request_class]
        self._recent += ((works.least + works.most) * 500 - self._recent) / 16
        if asked.write:
            self._effects.run(asked.request, asked.request_class, asked.idempotency, now)
        if self.rng.random() < self.setup.error_rate:
            self._observer.attempt_answered(asked.request, self.setup.id, "error", now)
            asked.place.answer(b"-ERR failed\r\n")
            return
        if not asked.hit:
            self._missed(asked.request, self)
            self._observer.attempt_answered(asked.request, self.setup.id, "miss", now)
            asked.place.answer(b"*3\r\n$-1\r\n$4\r\nmiss\r\n" + bulk(self.report()))
            return
        if not asked.write and asked.key in self.copies:
            self.copies.move_to_end(asked.key)
            self._read(asked.key, self.setup.id)
        value = make_value(self.rng, asked.key, asked.request, self.setup.id, self.setup.value_bytes)
        answer = b"*3\r\n%b$3\r\nhit\r\n%b" % (bulk(value), bulk(self.report()))
        self._answer(asked, answer, now)

    def _answer(self, asked: _Asked, answer: bytes, now: float) -> None:
        """Answer, unless the node is in a trouble that spoils this one."""
        trouble, line = self.faults, asked.place.line
        draw = self.rng.random()
        if draw < trouble.half:
            asked.place.answer(answer[: len(answer) // 2], line.close)
        elif draw < trouble.garble:
            asked.place.answer(self.rng.choice(GARBLED))
        elif draw < trouble.reset:
            asked.place.answer(answer[: len(answer) // 3], line.reset)
        else:
            self._observer.attempt_answered(asked.request, self.setup.id, "hit", now)
            asked.place.answer(answer)
            return
        self._observer.attempt_answered(asked.request, self.setup.id, "spoilt", now)

    def report(self) -> bytes:
        """The load report, as of its last refresh."""
        now = self.loop.time()
        if now >= self._report_until:
            self._report = b"latency_ms=%.2f,queue=%d" % (self._recent, self.core_runner.core.queue_length)
            self._report_until = now + self.setup.report_period
        return self._report


def make_value(rng: random.Random, key: str, request: str, server: str, length: tuple[float, float]) -> bytes:
    """A value that tells for which key and request it was made, and by whom."""
    told = f"{key} {request} {server} ".encode()
    size = int(length[0] + (length[1] - length[0]) * rng.random())
    return told + b"." * max(0, size - len(told))


def encoded_length(words: list[bytes]) -> int:
    """How many bytes a command took on the wire."""
    return len(b"*%d\r\n" % len(words)) + sum(len(b"$%d\r\n\r\n" % len(word)) + len(word) for word in words)


class FirstBytes:
    """When the first byte of the command under way on one connection came, however it is cut into pieces."""

    def __init__(self) -> None:
        self._pending = 0  # bytes that belong to no command that is whole
        self._first_at = self._came_at = 0.0

    def came(self, length: int, now: float) -> None:
        """Take so many bytes."""
        if not self._pending:
            self._first_at = now
        self._pending += length
        self._came_at = now

    def command_ended(self, length: int) -> float:
        """Take note that a command of this length is whole; returns when its first byte came."""
        first_at, self._first_at = self._first_at, self._came_at  # what follows has come with its last byte
        self._pending -= length
        return first_at


class _NodeLine(EmulatorConnection):
    """A router's connection to a node."""

    def __init__(self, node: EmulatedNode, delay: float) -> None:
        super().__init__(node.listeners, delay)
        self._node = node
        self._reader = hiredis.Reader()
        self._first_bytes = FirstBytes()

    def data_received(self, data: bytes) -> None:
        """Read commands; what can't be read closes the connection."""
        if self.listeners.silent:
            return
        self._first_bytes.came(len(data), self.listeners.loop.time())
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not False:
                if not isinstance(words, list) or not all(isinstance(word, bytes) for word in words):
                    raise hiredis.ProtocolError("not a command")
                first_byte_at = self._first_bytes.command_ended(encoded_length(words))
                self._node.handle_request(words, self, first_byte_at)
        except (hiredis.ProtocolError, UnicodeDecodeError):
            self.close()
