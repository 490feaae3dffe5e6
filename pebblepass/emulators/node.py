"""A stand-in mirror node: RESP2 on loopback in front of one modelled core and its kept copies."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import hiredis

from pebblepass.emulators.advertised import AdvertisedTimeout, read_advertised_timeout
from pebblepass.emulators.core import ColdBudget, CoreFacts
from pebblepass.emulators.effects import Effects
from pebblepass.emulators.listening import Line, Place, Silence, Station, no_silence
from pebblepass.emulators.serving import Serving
from pebblepass.emulators.witness import Witness
from pebblepass.wire.resp import MULTI_GET_COMMAND, bulk

GARBLED = (b"*3\r\n$9\r\nnot nine\r\n", b"\x00\xfe\x17\r\n", b"*2\r\n*1\r\n$1\r\nx\r\n", b"$-7\r\n")
DRAIN_S = 4.0  # a node that drains ends after so long
MANY_WORDS = 5  # of a read of many keys at least: its name, the number of keys, a key, its id and its list


@dataclass(frozen=True, slots=True)
class Works:
    """What one class of requests costs a core, in seconds, least and most."""

    least: float
    most: float


@dataclass(frozen=True, slots=True)
class NodeSetup:
    """Everything that a stand-in mirror node is told."""

    id: str
    core: CoreFacts
    memory: int
    """Copies that it keeps at most; the one used longest ago goes first."""
    report_period: float
    works: dict[str, Works]
    miss_work: float
    """The work of a miss, as a share of a hit's."""
    error_rate: float
    value_bytes: tuple[float, float]
    delays: dict[str, float]
    """One way from each zone to this node, in seconds."""
    overload_multiple: float = 4.0
    fall_window: float = 2.0


@dataclass(slots=True)
class Trouble:
    """How a node answers while it is in trouble: the share of its answers that each touches."""

    half: float = 0.0
    garble: float = 0.0
    reset: float = 0.0
    draining: bool = False
    fallen: bool = False


@dataclass(slots=True)
class _Asked:
    request: str
    request_class: str
    key: str
    idempotency: str | None
    write: bool
    place: Place
    hit: bool = False


class MirrorNode:
    """One mirror node. It stores; what it lacks it reports as a miss."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        setup: NodeSetup,
        rng: random.Random,
        effects: Effects,
        witness: Witness,
        missed: Callable[[str, MirrorNode], None],
        silence: Silence = no_silence,
        read: Callable[[str, str], None] = lambda _, __: None,
    ) -> None:
        """`missed` is told a request and this node; `read` the key of a copy that was read, and the id."""
        self.loop, self.setup, self.rng = loop, setup, rng
        self._effects, self._witness, self._missed, self._read = effects, witness, missed, read
        self.station = Station(loop, tuple(setup.delays), silence)
        self.trouble = Trouble()
        self.copies: OrderedDict[str, None] = OrderedDict()
        self.serving: Serving[_Asked] = Serving(loop, setup.core, self._done)
        self._cold: ColdBudget | None = None
        self._report, self._report_until = b"", 0.0
        self._recent = (sum((w.least + w.most) / 2 for w in setup.works.values()) / len(setup.works)) * 1000

    async def start(self, cold: bool = False) -> None:
        """Listen; a node that starts cold warms up first and keeps no copies yet."""
        self._begin(cold)
        await self.station.open(lambda zone: _NodeLine(self, self.setup.delays[zone]))

    def _begin(self, cold: bool) -> None:
        setup = self.setup
        self.serving.begin(cold)
        started = self.loop.time()
        self._cold = (
            ColdBudget(setup.core, started, setup.overload_multiple, setup.fall_window) if cold else None
        )
        self._report_until = 0.0

    # What breaks

    def die(self) -> None:
        """The process dies: connections are reset, new ones refused, all that it held is gone."""
        self.station.refuse()
        self.station.break_all()
        self.copies.clear()
        self._begin(cold=False)

    def revive(self) -> None:
        """The process starts again, cold, at the same addresses."""
        self.trouble = Trouble()
        self._begin(cold=True)
        self.station.reopen()

    def drop_copies(self, share: float) -> None:
        """That share of the kept copies goes void."""
        for key in [key for key in self.copies if self.rng.random() < share]:
            del self.copies[key]

    def keep(self, key: str) -> None:
        """Store a copy."""
        self.copies[key] = None
        self.copies.move_to_end(key)
        while len(self.copies) > self.setup.memory:
            self.copies.popitem(last=False)

    # What is asked

    def asked(self, words: list[bytes], line: _NodeLine, first_byte_at: float) -> None:
        """Take a command whose last byte has left its router."""
        place = line.place()
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
            self._witness.attempt_came(request, self.setup.id, self.loop.time())
            self._report_timeout(request, words[3], first_byte_at)
            asked = _Asked(
                request, info.get("c", ""), words[1].decode(), info.get("k"), name == b"KV.SET", place
            )
            self.loop.call_later(line.delay, self._offer, asked, self.serving.born)

    def _report_timeout(self, request: str, info: bytes, first_byte_at: float) -> None:
        """Report to the witness how much time an attempt says that its client has left."""
        timeout_ms, now = read_advertised_timeout(info), self.loop.time()
        self._witness.timeout_advertised(
            AdvertisedTimeout(request, self.setup.id, timeout_ms, first_byte_at, now)
        )

    def _offer(self, asked: _Asked, born: int) -> None:
        if born != self.serving.born or self.station.silent:
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
        told = self._witness.knows_start(asked.request, self.setup.id)
        over = self._cold.take(now, work, told) if self._cold is not None else None
        if over is not None:
            self._witness.pushed_over(self.setup.id, over, now)
            self.trouble.fallen = True
            self.die()
            return
        if self.trouble.draining or not self.serving.offer(asked, work):
            self._witness.attempt_ended(asked.request, self.setup.id, "busy", now)
            asked.place.answer(b"-BUSY %b\r\n" % self.report())

    def _done(self, asked: _Asked, now: float) -> None:
        works = self.setup.works[asked.request_class]
        self._recent += ((works.least + works.most) * 500 - self._recent) / 16
        if asked.write:
            self._effects.run(asked.request, asked.request_class, asked.idempotency, now)
        if self.rng.random() < self.setup.error_rate:
            self._witness.attempt_ended(asked.request, self.setup.id, "error", now)
            asked.place.answer(b"-ERR failed\r\n")
            return
        if not asked.hit:
            self._missed(asked.request, self)
            self._witness.attempt_ended(asked.request, self.setup.id, "miss", now)
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
        trouble, line = self.trouble, asked.place.line
        draw = self.rng.random()
        if draw < trouble.half:
            asked.place.answer(answer[: len(answer) // 2], line.close)
        elif draw < trouble.garble:
            asked.place.answer(self.rng.choice(GARBLED))
        elif draw < trouble.reset:
            asked.place.answer(answer[: len(answer) // 3], line.reset)
        else:
            self._witness.attempt_ended(asked.request, self.setup.id, "hit", now)
            asked.place.answer(answer)
            return
        self._witness.attempt_ended(asked.request, self.setup.id, "spoilt", now)

    def report(self) -> bytes:
        """The load report, as of its last refresh."""
        now = self.loop.time()
        if now >= self._report_until:
            self._report = b"latency_ms=%.2f,queue=%d" % (self._recent, self.serving.core.queue)
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


class _NodeLine(Line):
    """A router's connection to a node."""

    def __init__(self, node: MirrorNode, delay: float) -> None:
        super().__init__(node.station, delay)
        self._node = node
        self._reader = hiredis.Reader()
        self._first_bytes = FirstBytes()

    def data_received(self, data: bytes) -> None:
        """Read commands; what can't be read closes the connection."""
        if self.station.silent:
            return
        self._first_bytes.came(len(data), self.station.loop.time())
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not False:
                if not isinstance(words, list) or not all(isinstance(word, bytes) for word in words):
                    raise hiredis.ProtocolError("not a command")
                first_byte_at = self._first_bytes.command_ended(encoded_length(words))
                self._node.asked(words, self, first_byte_at)
        except (hiredis.ProtocolError, UnicodeDecodeError):
            self.close()
