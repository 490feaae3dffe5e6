"""Clients that pipeline many commands, in pieces and in every form that the protocol allows.

Each command gets exactly one answer, in the order of the commands, even if connections to servers are reset
while requests are in flight: safe reads are retried, unsafe writes are not. One router in this process,
loopback sockets, virtual time.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, NamedTuple
from unittest.mock import patch
from urllib.parse import unquote_to_bytes

import pytest

from pebblepass.daemon import client_connection
from pebblepass.daemon.client_connection import MAX_PIPELINE
from pebblepass.daemon.reply import Reply
from pebblepass.decisions.attempts import Attempts
from pebblepass.decisions.health import Node
from pebblepass.decisions.requests import Request
from pebblepass.wire.resp import MAX_VALUE_BYTES, Command, CommandReader, UnknownCommandError, parse_request
from tests.sockets import MISS, bulk, hit, http_answer
from tests.virtual_router import Peer, PeerConnection, RouterHarness, VirtualClient, run_with_router

COMMANDS = 300
CACHES = ("a", "b", "c", "d")
ROOM: Any = {"sockets": 1024.0, "memory_mb": 192.0}
SERVICE_S = (0.0, 0.03)
ALL_RESET_EVERY = 90  # requests at a cache server, after which it resets all its connections
REPORT = b"latency_ms=1.5,queue=2"
VALUES = (b"", b"v", b"\r\n", b"*1\r\n$4\r\nPING\r\n", bytes(range(256)), b"$5\r\n" * 40)
LONG_PIECES = 150  # bytes; in shorter pieces the longest values would take long to send
MOST_REFUSED = 0.2  # fraction of the reads


class Kind(Enum):
    """The kind of a command, which determines its valid answers."""

    READ = auto()
    KEYED_WRITE = auto()
    UNSAFE_WRITE = auto()
    PING = auto()
    INVALID = auto()


CLASSES = {Kind.READ: "get", Kind.KEYED_WRITE: "put", Kind.UNSAFE_WRITE: "once"}
REQUESTS = tuple(CLASSES)
KINDS = (*Kind, Kind.READ, Kind.READ, Kind.READ, Kind.UNSAFE_WRITE)
"""The kinds to draw from, repeated by their frequency."""


class Fate(Enum):
    """What happens to a request's first attempt at a server; later attempts are served."""

    SERVED = auto()
    MISS = auto()
    BUSY = auto()
    ERROR = auto()
    RESET = auto()
    RESET_MIDWAY = auto()
    """After a part of the answer."""

    @property
    def may_have_run(self) -> bool:
        return self in (Fate.ERROR, Fate.RESET, Fate.RESET_MIDWAY)


CACHE_FATES = (Fate.SERVED,) * 10 + (Fate.MISS,) * 2 + (Fate.BUSY, Fate.ERROR, Fate.RESET, Fate.RESET_MIDWAY)
STORE_FATES = (Fate.SERVED,) * 5 + (Fate.BUSY, Fate.ERROR, Fate.RESET, Fate.RESET_MIDWAY)


@dataclass
class Sent:
    """A command as a client sends it."""

    name: str
    kind: Kind
    data: bytes
    key: bytes = b""
    value: bytes = b""


def names_and_values(draw: random.Random, cls: str) -> bytes:
    """The request's fields, in any order and with any of the optional ones."""
    pairs = [f"c={cls}", "d=2000", "k=5c0f6e1a2b3d4c59"]
    pairs += draw.sample(["t=acme", "r=1", "h=77", "size=9"], draw.randrange(5))
    draw.shuffle(pairs)
    return ",".join(pairs).encode()


def spelled(draw: random.Random, word: bytes) -> bytes:
    return draw.choice((word, word.lower(), word.title()))


def command(draw: random.Random, name: str, kind: Kind, value: bytes | None = None) -> Sent:
    """One command of this kind, in one of its forms."""
    if kind is Kind.PING:
        return Sent(name, kind, bulk(spelled(draw, b"PING")))
    if kind is Kind.INVALID:
        wrong = (
            bulk(b"KV.DROP", b"k"),
            bulk(b"KV.GET", b"k", name.encode()),
            bulk(b"KV.GET", b"k", name.encode(), b"c=nobody,d=2000"),
            bulk(b"KV.GET", b"k", name.encode(), b"c=get,d=soon"),
            bulk(b"KV.SET", b"", name.encode(), b"c=put,d=2000", b"v"),
        )
        return Sent(name, kind, draw.choice(wrong))
    key = draw.choice((f"key/{name}", f"npm:@scope/{name}-1.0.tgz", f"schlüssel-{name}")).encode()
    words = [key, name.encode(), names_and_values(draw, CLASSES[kind])]
    if kind is Kind.READ:
        return Sent(name, kind, bulk(spelled(draw, b"KV.GET"), *words), key)
    value = draw.choice(VALUES) if value is None else value
    return Sent(name, kind, bulk(spelled(draw, b"KV.SET"), *words, value), key, value)


def commands(draw: random.Random, long_values: bool) -> list[Sent]:
    """COMMANDS commands of all kinds; with `long_values` some writes have the longest allowed value."""
    plan = [command(draw, f"r{place:04}", draw.choice(KINDS)) for place in range(COMMANDS)]
    if long_values:
        for place in range(0, COMMANDS, COMMANDS // 3):
            kind = draw.choice((Kind.KEYED_WRITE, Kind.UNSAFE_WRITE))
            plan[place] = command(draw, f"r{place:04}", kind, b"\r\n" * (MAX_VALUE_BYTES // 2))
    return plan


class Got(NamedTuple):
    """A request as a server received it."""

    name: str
    at_store: bool
    data: bytes

    def is_of(self, sent: Sent) -> bool:
        """Whether key and value are those that the client sent."""
        if not self.at_store:
            return self.data.split(b"\r\n")[4] == sent.key
        head, _, body = self.data.partition(b"\r\n\r\n")
        target = head.split(b" ", 2)[1]
        return unquote_to_bytes(target) == b"/" + sent.key and body == sent.value


@dataclass
class Servers:
    """The caches and the store: they answer in every allowed form, and reset connections during requests."""

    bed: RouterHarness
    draw: random.Random
    good: bool = False
    """Whether every attempt is served."""
    fates: dict[str, Fate] = field(default_factory=dict)
    """What happened to each request's first attempt: of a read at a cache, of a write at the store."""
    met: set[tuple[str, bool]] = field(default_factory=set)
    got: list[Got] = field(default_factory=list)

    def __post_init__(self) -> None:
        for peer in self.bed.caches.values():
            peer.on_request = self.cache_came
        self.bed.origin.on_request = self.store_came
        for peer in (*self.bed.caches.values(), self.bed.origin):
            peer.on_accept = lambda line: send_at_once(line.transport)
            self._note_requests(peer)

    def _note_requests(self, peer: Peer) -> None:
        whole_cut = peer.split_request

        def cut(data: bytes) -> tuple[str, bytes] | None:
            found = whole_cut(data)
            if found is not None:
                name, rest = found
                self.got.append(Got(name, peer.is_http, data[: len(data) - len(rest)]))
            return found

        peer.split_request = cut  # type: ignore[method-assign]

    def cache_came(self, line: PeerConnection, name: str) -> None:
        fate = self._fate(line, name, CACHE_FATES)
        value = b"value of " + name.encode()
        answer = self.draw.choice((hit(value), b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)))
        if fate is Fate.MISS:
            answer = self.draw.choice((MISS, MISS.replace(b"$4\r\nmiss", b"$7\r\npending")))
        elif fate is Fate.BUSY:
            answer = self.draw.choice((b"-BUSY\r\n", b"-BUSY " + REPORT + b"\r\n"))
        elif fate is Fate.ERROR:
            answer = self.draw.choice((b"-ERR failed\r\n", b"-ERR failed " + REPORT + b"\r\n"))
        self._answer(line, answer, fate)
        if len(line.peer.requests) % ALL_RESET_EVERY == 0:
            for other in list(line.peer.connections):
                self._break(other)

    def store_came(self, line: PeerConnection, name: str) -> None:
        fate = self._fate(line, name, STORE_FATES)
        value = b"value of " + name.encode()
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(value), value)
        answer = self.draw.choice(
            (
                http_answer(200, value),
                http_answer(200, value, "server-load: latency_ms=2,queue=1"),
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunk,
                b"HTTP/1.1 200 OK\r\ncontent-length:%d\r\n\r\n%b" % (len(value), value),
            )
        )
        if fate is Fate.BUSY:
            answer = http_answer(self.draw.choice((503, 504)), b"", "Not-Started: 1")
        elif fate is Fate.ERROR:
            answer = http_answer(500)
        self._answer(line, answer, fate)

    def _fate(self, line: PeerConnection, name: str, fates: tuple[Fate, ...]) -> Fate:
        at_store = line.peer.is_http
        if self.good or (name, at_store) in self.met:
            return Fate.SERVED
        self.met.add((name, at_store))
        fate = self.draw.choice(fates)
        self.fates.setdefault(name, fate)
        return fate

    def _answer(self, line: PeerConnection, answer: bytes, fate: Fate) -> None:
        """Write the answer in pieces after a delay, or reset the connection."""
        loop, delay = self.bed.loop, self.draw.uniform(*SERVICE_S)
        if fate is Fate.RESET:
            loop.call_later(delay, self._break, line)
            return
        pieces = list(in_pieces(self.draw, answer, len(answer)))
        if fate is Fate.RESET_MIDWAY:
            pieces = [answer[: len(answer) // 2]]
            loop.call_later(delay + 0.002, self._break, line)
        for place, piece in enumerate(pieces):
            loop.call_later(delay + place * 0.0005, self._write, line, piece)

    @staticmethod
    def _write(line: PeerConnection, data: bytes) -> None:
        if not line.transport.is_closing():
            line.transport.write(data)

    @staticmethod
    def _break(line: PeerConnection) -> None:
        if not line.transport.is_closing():
            line.reset()


def send_at_once(transport: asyncio.Transport) -> None:
    """Disable Nagle's algorithm, which would delay the small pieces."""
    transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connected(bed: RouterHarness) -> VirtualClient:
    client = await bed.client()
    await bed.settle()
    send_at_once(client.transport)
    for held in bed.daemon.clients._connections:
        assert held.transport is not None
        send_at_once(held.transport)
    return client


def in_pieces(draw: random.Random, data: bytes, longest: int) -> Iterator[bytes]:
    position = 0
    while position < len(data):
        size = draw.randint(1, longest)
        yield data[position : position + size]
        position += size


async def send(
    bed: RouterHarness, client: VirtualClient, draw: random.Random, data: bytes, longest: int
) -> None:
    """Send the data in pieces, which the router reads alone or together with others."""
    for piece in in_pieces(draw, data, longest):
        client.transport.write(piece)
        for _ in range(draw.randrange(4)):
            await asyncio.sleep(0)


def fits(sent: Sent, answer: bytes, fate: Fate) -> bool:
    """Whether the answer is a valid one for the command."""
    if sent.kind is Kind.PING:
        return answer == b"+PONG"
    if sent.kind is Kind.INVALID:
        return answer.startswith(b"-ERR ")
    if sent.kind is Kind.UNSAFE_WRITE and fate.may_have_run:
        return answer.startswith(b"-ERR")  # -BUSY would say that a retry is safe
    if sent.kind is Kind.READ and answer.startswith(b"-BUSY"):
        return True  # `refused_reads` checks how many
    return answer == b"value of " + sent.name.encode()


def refused_reads(plan: list[Sent], answers: list[bytes], servers: Servers) -> list[str]:
    """Descriptions of too many rejected reads.

    A few are rejected because servers that reset connections are avoided. Reads that missed do not count:
    the failing store may reject them.
    """
    reads = [
        (servers.fates.get(sent.name, Fate.SERVED), answer.startswith(b"-BUSY"))
        for sent, answer in zip(plan, answers, strict=False)
        if sent.kind is Kind.READ and servers.fates.get(sent.name) is not Fate.MISS
    ]
    begun = [refused for fate, refused in reads if fate.may_have_run]
    found = []
    if sum(begun) > MOST_REFUSED * len(begun):
        found.append(f"{sum(begun)} of {len(begun)} reads whose first attempt broke were rejected")
    if sum(refused for _, refused in reads) > MOST_REFUSED * len(reads):
        found.append("many reads rejected")
    return found


def breaks(plan: list[Sent], answers: list[bytes], servers: Servers) -> list[str]:
    """Descriptions of all violations of the protocol."""
    found = [] if len(answers) == len(plan) else [f"{len(answers)} answers to {len(plan)} commands"]
    attempts = Counter(name for _, _, name in servers.bed.requests)
    for sent, answer in zip(plan, answers, strict=False):
        fate = servers.fates.get(sent.name, Fate.SERVED)
        if not fits(sent, answer, fate):
            found.append(f"{sent.name}, {sent.kind.name}, {fate.name}: answered {answer[:40]!r}")
        if sent.kind is Kind.UNSAFE_WRITE and fate.may_have_run and attempts[sent.name] != 1:
            found.append(f"{sent.name}: an unsafe write sent {attempts[sent.name]} times")
        if sent.kind not in REQUESTS and attempts[sent.name]:
            found.append(f"{sent.name}: not a request, but forwarded")
    by_name = {sent.name: sent for sent in plan}
    found += [
        f"{got.name}: forwarded with another key or value"
        for got in servers.got
        if not got.is_of(by_name[got.name])
    ]
    return found + refused_reads(plan, answers, servers)


def pipelined(seed: int, longest: int, check_held: bool = True) -> tuple[list[str], Servers]:
    """Send all commands on one connection, without waiting for an answer; returns the violations."""
    played: list[tuple[list[str], Servers]] = []

    async def test(bed: RouterHarness) -> None:
        servers = Servers(bed, random.Random(seed + 1))
        draw = random.Random(seed)
        plan = commands(draw, long_values=longest >= LONG_PIECES)
        client = await connected(bed)
        await send(bed, client, draw, b"".join(sent.data for sent in plan), longest)
        await bed.wait(5.0)
        played.append((breaks(plan, client.replies(), servers), servers))
        if check_held:
            bed.assert_nothing_left()

    run_with_router(test, CACHES, **ROOM)
    return played[0]


LONGEST = [1, 7, 150, 5000, 1 << 20]
"""Maximum sizes of the pieces: single bytes, cuts in each command, several commands at once, all at once."""


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("longest", LONGEST)
def test_pipelined_commands_are_each_answered_once_in_order(longest: int, seed: int) -> None:
    found, servers = pipelined(seed, longest)
    assert found == []
    assert COMMANDS > MAX_PIPELINE, "too few commands to pause reading"
    assert set(servers.fates.values()) == set(Fate)


def test_commands_split_at_any_byte_are_each_answered_once_in_order() -> None:
    """One command of each kind, sent in two pieces on one connection, for each position of the split."""

    async def test(bed: RouterHarness) -> None:
        servers = Servers(bed, random.Random(1), good=True)
        client = await connected(bed)
        size, cut = 1, 0
        while cut < size:
            plan = [command(random.Random(7), f"c{cut:04}.{kind.value}", kind) for kind in Kind]
            data = b"".join(sent.data for sent in plan)
            size, client.received = len(data), b""
            client.transport.write(data[:cut])
            await bed.settle()
            client.transport.write(data[cut:])
            await bed.wait(0.3)
            assert breaks(plan, client.replies(), servers) == [], cut
            servers.got.clear()
            for peer in (*bed.caches.values(), bed.origin):
                peer.requests.clear()
            cut += 1
        bed.assert_nothing_left()

    run_with_router(test, CACHES, **ROOM)


# Faulty routers, which the checks have to detect


def as_they_come(reply: Reply, data: bytes) -> bool:
    """Fault: an answer does not wait until the earlier ones are written."""
    reply._connection.write(data)
    return True


def upper_case_only(words: list[bytes]) -> Command:
    """Fault: a command's name has to be in upper case."""
    if words[0] != words[0].upper():
        raise UnknownCommandError("unknown command")
    return parse_request(words)


def stripped(words: list[bytes]) -> Command:
    """Fault: line ends at the edges of a value are removed as if they were the protocol's."""
    return parse_request([word.strip() for word in words])


FEED = CommandReader.feed


def forgetful(reader: CommandReader, data: bytes) -> list[list[bytes]]:
    """Fault: the received part of a command is dropped when the next one arrives."""
    if reader.needed_bytes:
        reader._buffer.clear()
        reader.needed_bytes = 0
    return FEED(reader, data)


def sent_again_whatever_it_is(request: Request, node: Node, now: int) -> bool:
    """Fault: an unsafe write that may have run is sent once more."""
    return True


def tried_once(attempts: Attempts, request: Request) -> bool:
    """Fault: nothing is retried."""
    return request.attempts < 1


@pytest.mark.parametrize(
    ("owner", "method", "broken", "longest", "says"),
    [
        (Reply, "write", as_they_come, 1 << 20, "answered"),
        (client_connection, "parse_request", upper_case_only, 150, "answered b'-ERR unknown command'"),
        (client_connection, "parse_request", stripped, 150, "forwarded with another key or value"),
        (CommandReader, "feed", forgetful, 150, "answers to 300 commands"),
        (Request, "may_send", sent_again_whatever_it_is, 150, "an unsafe write sent"),
        (Attempts, "may_try", tried_once, 150, "reads whose first attempt broke were rejected"),
    ],
)
def test_faulty_routers_are_detected(
    owner: Any, method: str, broken: Callable[..., Any], longest: int, says: str
) -> None:
    with patch.object(owner, method, broken):
        found, _ = pipelined(1, longest, check_held=False)
    assert any(says in each for each in found), found
