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
AMPLE_LIMITS: Any = {"sockets": 1024.0, "memory_mb": 192.0}
SERVICE_S = (0.0, 0.03)
RESET_ALL_EVERY = 90  # requests at a cache server, after which it resets all its connections
REPORT = b"latency_ms=1.5,queue=2"
VALUES = (b"", b"v", b"\r\n", b"*1\r\n$4\r\nPING\r\n", bytes(range(256)), b"$5\r\n" * 40)
MIN_PIECE_FOR_LONG_VALUES = 150  # bytes; in shorter pieces the longest values would take long to send
MAX_REJECTED_FRACTION = 0.2  # of the reads


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
"""The kinds to draw from, each repeated by its frequency."""


class AttemptResult(Enum):
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
        return self in (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.RESET_MIDWAY)


CACHE_RESULTS = (
    (AttemptResult.SERVED,) * 10
    + (AttemptResult.MISS,) * 2
    + (AttemptResult.BUSY, AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.RESET_MIDWAY)
)
STORE_RESULTS = (AttemptResult.SERVED,) * 5 + (
    AttemptResult.BUSY,
    AttemptResult.ERROR,
    AttemptResult.RESET,
    AttemptResult.RESET_MIDWAY,
)


@dataclass
class SentCommand:
    """A command as a client sends it."""

    name: str
    kind: Kind
    data: bytes
    key: bytes = b""
    value: bytes = b""


def request_info(rng: random.Random, cls: str) -> bytes:
    """The request's fields, in any order and with any of the optional ones."""
    pairs = [f"c={cls}", "d=2000", "k=5c0f6e1a2b3d4c59"]
    pairs += rng.sample(["t=acme", "r=1", "h=77", "size=9"], rng.randrange(5))
    rng.shuffle(pairs)
    return ",".join(pairs).encode()


def random_case(rng: random.Random, word: bytes) -> bytes:
    return rng.choice((word, word.lower(), word.title()))


def command(rng: random.Random, name: str, kind: Kind, value: bytes | None = None) -> SentCommand:
    """One command of this kind, in one of its forms."""
    if kind is Kind.PING:
        return SentCommand(name, kind, bulk(random_case(rng, b"PING")))
    if kind is Kind.INVALID:
        invalid_commands = (
            bulk(b"KV.DROP", b"k"),
            bulk(b"KV.GET", b"k", name.encode()),
            bulk(b"KV.GET", b"k", name.encode(), b"c=nobody,d=2000"),
            bulk(b"KV.GET", b"k", name.encode(), b"c=get,d=soon"),
            bulk(b"KV.SET", b"", name.encode(), b"c=put,d=2000", b"v"),
        )
        return SentCommand(name, kind, rng.choice(invalid_commands))
    key = rng.choice((f"key/{name}", f"npm:@scope/{name}-1.0.tgz", f"schlüssel-{name}")).encode()
    words = [key, name.encode(), request_info(rng, CLASSES[kind])]
    if kind is Kind.READ:
        return SentCommand(name, kind, bulk(random_case(rng, b"KV.GET"), *words), key)
    value = rng.choice(VALUES) if value is None else value
    return SentCommand(name, kind, bulk(random_case(rng, b"KV.SET"), *words, value), key, value)


def commands(rng: random.Random, long_values: bool) -> list[SentCommand]:
    """COMMANDS commands of all kinds; with `long_values` some writes have the longest allowed value."""
    plan = [command(rng, f"r{index:04}", rng.choice(KINDS)) for index in range(COMMANDS)]
    if long_values:
        for index in range(0, COMMANDS, COMMANDS // 3):
            kind = rng.choice((Kind.KEYED_WRITE, Kind.UNSAFE_WRITE))
            plan[index] = command(rng, f"r{index:04}", kind, b"\r\n" * (MAX_VALUE_BYTES // 2))
    return plan


class ReceivedRequest(NamedTuple):
    """A request as a server received it."""

    name: str
    at_store: bool
    data: bytes

    def matches(self, sent: SentCommand) -> bool:
        """Whether key and value are those that the client sent."""
        if not self.at_store:
            return self.data.split(b"\r\n")[4] == sent.key
        head, _, body = self.data.partition(b"\r\n\r\n")
        target = head.split(b" ", 2)[1]
        return unquote_to_bytes(target) == b"/" + sent.key and body == sent.value


@dataclass
class Servers:
    """The caches and the store: they answer in every allowed form, and reset connections during requests."""

    harness: RouterHarness
    rng: random.Random
    serves_all: bool = False
    """Whether every attempt is served."""
    first_results: dict[str, AttemptResult] = field(default_factory=dict)
    """What happened to each request's first attempt: of a read at a cache, of a write at the store."""
    attempted: set[tuple[str, bool]] = field(default_factory=set)
    received: list[ReceivedRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        for peer in self.harness.caches.values():
            peer.on_request = self.handle_cache_request
        self.harness.origin.on_request = self.handle_store_request
        for peer in (*self.harness.caches.values(), self.harness.origin):
            peer.on_accept = lambda connection: disable_nagle(connection.transport)
            self._record_requests(peer)

    def _record_requests(self, peer: Peer) -> None:
        original_split = peer.split_request

        def split_request(data: bytes) -> tuple[str, bytes] | None:
            parsed = original_split(data)
            if parsed is not None:
                name, rest = parsed
                self.received.append(ReceivedRequest(name, peer.is_http, data[: len(data) - len(rest)]))
            return parsed

        peer.split_request = split_request  # type: ignore[method-assign]

    def handle_cache_request(self, connection: PeerConnection, name: str) -> None:
        result = self._draw_result(connection, name, CACHE_RESULTS)
        value = b"value of " + name.encode()
        answer = self.rng.choice((hit(value), b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)))
        if result is AttemptResult.MISS:
            answer = self.rng.choice((MISS, MISS.replace(b"$4\r\nmiss", b"$7\r\npending")))
        elif result is AttemptResult.BUSY:
            answer = self.rng.choice((b"-BUSY\r\n", b"-BUSY " + REPORT + b"\r\n"))
        elif result is AttemptResult.ERROR:
            answer = self.rng.choice((b"-ERR failed\r\n", b"-ERR failed " + REPORT + b"\r\n"))
        self._answer(connection, answer, result)
        if len(connection.peer.requests) % RESET_ALL_EVERY == 0:
            for other in list(connection.peer.connections):
                self._break(other)

    def handle_store_request(self, connection: PeerConnection, name: str) -> None:
        result = self._draw_result(connection, name, STORE_RESULTS)
        value = b"value of " + name.encode()
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(value), value)
        answer = self.rng.choice(
            (
                http_answer(200, value),
                http_answer(200, value, "server-load: latency_ms=2,queue=1"),
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunk,
                b"HTTP/1.1 200 OK\r\ncontent-length:%d\r\n\r\n%b" % (len(value), value),
            )
        )
        if result is AttemptResult.BUSY:
            answer = http_answer(self.rng.choice((503, 504)), b"", "Not-Started: 1")
        elif result is AttemptResult.ERROR:
            answer = http_answer(500)
        self._answer(connection, answer, result)

    def _draw_result(
        self, connection: PeerConnection, name: str, results: tuple[AttemptResult, ...]
    ) -> AttemptResult:
        at_store = connection.peer.is_http
        if self.serves_all or (name, at_store) in self.attempted:
            return AttemptResult.SERVED
        self.attempted.add((name, at_store))
        result = self.rng.choice(results)
        self.first_results.setdefault(name, result)
        return result

    def _answer(self, connection: PeerConnection, answer: bytes, result: AttemptResult) -> None:
        """Write the answer in pieces after a delay, or reset the connection."""
        loop, delay = self.harness.loop, self.rng.uniform(*SERVICE_S)
        if result is AttemptResult.RESET:
            loop.call_later(delay, self._break, connection)
            return
        pieces = list(split_randomly(self.rng, answer, len(answer)))
        if result is AttemptResult.RESET_MIDWAY:
            pieces = [answer[: len(answer) // 2]]
            loop.call_later(delay + 0.002, self._break, connection)
        for index, piece in enumerate(pieces):
            loop.call_later(delay + index * 0.0005, self._write, connection, piece)

    @staticmethod
    def _write(connection: PeerConnection, data: bytes) -> None:
        if not connection.transport.is_closing():
            connection.transport.write(data)

    @staticmethod
    def _break(connection: PeerConnection) -> None:
        if not connection.transport.is_closing():
            connection.reset()


def disable_nagle(transport: asyncio.Transport) -> None:
    """Disable Nagle's algorithm, which would delay the small pieces."""
    transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect(harness: RouterHarness) -> VirtualClient:
    client = await harness.client()
    await harness.settle()
    disable_nagle(client.transport)
    for connection in harness.daemon.clients._connections:
        assert connection.transport is not None
        disable_nagle(connection.transport)
    return client


def split_randomly(rng: random.Random, data: bytes, longest: int) -> Iterator[bytes]:
    position = 0
    while position < len(data):
        size = rng.randint(1, longest)
        yield data[position : position + size]
        position += size


async def send(
    harness: RouterHarness, client: VirtualClient, rng: random.Random, data: bytes, longest: int
) -> None:
    """Send the data in pieces, which the router reads alone or together with others."""
    for piece in split_randomly(rng, data, longest):
        client.transport.write(piece)
        for _ in range(rng.randrange(4)):
            await asyncio.sleep(0)


def is_valid_answer(sent: SentCommand, answer: bytes, result: AttemptResult) -> bool:
    """Whether the answer is a valid one for the command."""
    if sent.kind is Kind.PING:
        return answer == b"+PONG"
    if sent.kind is Kind.INVALID:
        return answer.startswith(b"-ERR ")
    if sent.kind is Kind.UNSAFE_WRITE and result.may_have_run:
        return answer.startswith(b"-ERR")  # -BUSY would say that a retry is safe
    if sent.kind is Kind.READ and answer.startswith(b"-BUSY"):
        return True  # `excess_rejections` checks how many
    return answer == b"value of " + sent.name.encode()


def excess_rejections(plan: list[SentCommand], answers: list[bytes], servers: Servers) -> list[str]:
    """Descriptions of too many rejected reads.

    A few are rejected because servers that reset connections are avoided. Reads that missed do not count:
    the failing store may reject them.
    """
    reads = [
        (servers.first_results.get(sent.name, AttemptResult.SERVED), answer.startswith(b"-BUSY"))
        for sent, answer in zip(plan, answers, strict=False)
        if sent.kind is Kind.READ and servers.first_results.get(sent.name) is not AttemptResult.MISS
    ]
    after_break = [is_rejected for result, is_rejected in reads if result.may_have_run]
    found = []
    if sum(after_break) > MAX_REJECTED_FRACTION * len(after_break):
        found.append(
            f"{sum(after_break)} of {len(after_break)} reads whose first attempt broke were rejected"
        )
    if sum(is_rejected for _, is_rejected in reads) > MAX_REJECTED_FRACTION * len(reads):
        found.append("many reads rejected")
    return found


def violations(plan: list[SentCommand], answers: list[bytes], servers: Servers) -> list[str]:
    """Descriptions of all violations of the protocol."""
    found = [] if len(answers) == len(plan) else [f"{len(answers)} answers to {len(plan)} commands"]
    attempts = Counter(name for _, _, name in servers.harness.requests)
    for sent, answer in zip(plan, answers, strict=False):
        result = servers.first_results.get(sent.name, AttemptResult.SERVED)
        if not is_valid_answer(sent, answer, result):
            found.append(f"{sent.name}, {sent.kind.name}, {result.name}: answered {answer[:40]!r}")
        if sent.kind is Kind.UNSAFE_WRITE and result.may_have_run and attempts[sent.name] != 1:
            found.append(f"{sent.name}: an unsafe write sent {attempts[sent.name]} times")
        if sent.kind not in REQUESTS and attempts[sent.name]:
            found.append(f"{sent.name}: not a request, but forwarded")
    by_name = {sent.name: sent for sent in plan}
    found += [
        f"{request.name}: forwarded with another key or value"
        for request in servers.received
        if not request.matches(by_name[request.name])
    ]
    return found + excess_rejections(plan, answers, servers)


def pipelined(seed: int, longest: int, check_nothing_left: bool = True) -> tuple[list[str], Servers]:
    """Send all commands on one connection, without waiting for an answer; returns the violations."""
    results: list[tuple[list[str], Servers]] = []

    async def test(harness: RouterHarness) -> None:
        servers = Servers(harness, random.Random(seed + 1))
        rng = random.Random(seed)
        sent_commands = commands(rng, long_values=longest >= MIN_PIECE_FOR_LONG_VALUES)
        client = await connect(harness)
        await send(harness, client, rng, b"".join(sent.data for sent in sent_commands), longest)
        await harness.wait(5.0)
        results.append((violations(sent_commands, client.replies(), servers), servers))
        if check_nothing_left:
            harness.assert_nothing_left()

    run_with_router(test, CACHES, **AMPLE_LIMITS)
    return results[0]


LONGEST = [1, 7, 150, 5000, 1 << 20]
"""Maximum sizes of the pieces: single bytes, cuts in each command, several commands at once, all at once."""


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("longest", LONGEST)
def test_pipelined_commands_are_each_answered_once_in_order(longest: int, seed: int) -> None:
    found, servers = pipelined(seed, longest)
    assert found == []
    assert COMMANDS > MAX_PIPELINE, "too few commands to pause reading"
    assert set(servers.first_results.values()) == set(AttemptResult)


def test_commands_split_at_any_byte_are_each_answered_once_in_order() -> None:
    """One command of each kind, sent in two pieces on one connection, for each position of the split."""

    async def test(harness: RouterHarness) -> None:
        servers = Servers(harness, random.Random(1), serves_all=True)
        client = await connect(harness)
        size, cut = 1, 0
        while cut < size:
            plan = [command(random.Random(7), f"c{cut:04}.{kind.value}", kind) for kind in Kind]
            data = b"".join(sent.data for sent in plan)
            size, client.received = len(data), b""
            client.transport.write(data[:cut])
            await harness.settle()
            client.transport.write(data[cut:])
            await harness.wait(0.3)
            assert violations(plan, client.replies(), servers) == [], cut
            servers.received.clear()
            for peer in (*harness.caches.values(), harness.origin):
                peer.requests.clear()
            cut += 1
        harness.assert_nothing_left()

    run_with_router(test, CACHES, **AMPLE_LIMITS)


# Faulty routers, which the checks have to detect


def answer_out_of_order(reply: Reply, data: bytes) -> bool:
    """Fault: an answer does not wait until the earlier ones are written."""
    reply._connection.write(data)
    return True


def require_upper_case(words: list[bytes]) -> Command:
    """Fault: a command's name has to be in upper case."""
    if words[0] != words[0].upper():
        raise UnknownCommandError("unknown command")
    return parse_request(words)


def strip_words(words: list[bytes]) -> Command:
    """Fault: line ends at the edges of a value are removed as if they were the protocol's."""
    return parse_request([word.strip() for word in words])


ORIGINAL_FEED = CommandReader.feed


def drop_partial_commands(reader: CommandReader, data: bytes) -> list[list[bytes]]:
    """Fault: the received part of a command is dropped when the next one arrives."""
    if reader.needed_bytes:
        reader._buffer.clear()
        reader.needed_bytes = 0
    return ORIGINAL_FEED(reader, data)


def always_may_send(request: Request, node: Node, now: int) -> bool:
    """Fault: an unsafe write that may have run is sent once more."""
    return True


def never_retry(attempts: Attempts, request: Request) -> bool:
    """Fault: nothing is retried."""
    return request.attempts < 1


@pytest.mark.parametrize(
    ("owner", "method", "fault", "longest", "description"),
    [
        (Reply, "write", answer_out_of_order, 1 << 20, "answered"),
        (client_connection, "parse_request", require_upper_case, 150, "answered b'-ERR unknown command'"),
        (client_connection, "parse_request", strip_words, 150, "forwarded with another key or value"),
        (CommandReader, "feed", drop_partial_commands, 150, "answers to 300 commands"),
        (Request, "may_send", always_may_send, 150, "an unsafe write sent"),
        (Attempts, "may_attempt", never_retry, 150, "reads whose first attempt broke were rejected"),
    ],
)
def test_faulty_routers_are_detected(
    owner: Any, method: str, fault: Callable[..., Any], longest: int, description: str
) -> None:
    with patch.object(owner, method, fault):
        found, _ = pipelined(1, longest, check_nothing_left=False)
    assert any(description in violation for violation in found), found
