"""The messages between the two processes, and their bytes. No I/O.

A message is one datagram of a sequenced-packet socket: a letter, and behind it JSON. What is known may take
several. A message of a foreign version, or one that can't be read, raises HandoverError in one plain line.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct

from pebblepass.decisions.interface import LimitState, OriginHealth, RouterState, ServerHealth

VERSION = 1  # of the messages and of what is told; another one is refused
MOST_BYTES = 48 << 10  # of one message: far under what a socket's buffer takes
MOST_TOLD = 4 << 20
MOST_CROWDED = 8
MAX_PARTIAL_COMMAND = 4 << 10  # bytes of a command under way that change hands with its connection
MAX_CONNECTIONS_PER_MESSAGE = 16  # connections in one message


class HandoverError(Exception):
    """What came can't be used; the text is one plain line."""


class Hello(Struct, frozen=True):
    """A new process has come."""


class Refused(Struct, frozen=True):
    """Another new process is there."""


class Told(Struct, frozen=True):
    """A part of what is known; `last`: no more follows."""

    part: bytes
    last: bool


class Ready(Struct, frozen=True):
    """The new process serves."""


class Held(Struct, frozen=True):
    """How many connections the old process still holds."""

    clients: int
    servers: int


class ConnectionState(Struct, frozen=True):
    """What goes with one client's connection."""

    held: bytes
    """The bytes of a command under way."""
    begun_ms: int
    """How long ago that command, or the connection, began."""
    spoken: bool
    """Whether it has brought a whole command before."""
    protocol: int
    """Its protocol, where it has greeted; else 0."""
    name: bytes
    number: int


class Connections(Struct, frozen=True):
    """Clients' connections; their descriptors travel beside, in the same order."""

    handed: tuple[ConnectionState, ...]


Message = Hello | Refused | Told | Ready | Held | Connections


class Account(Struct, frozen=True):
    """All that a router tells its successor."""

    listing: dict[str, Any]
    """The list of servers, in discovery's form."""
    knowledge: RouterState
    told_at: int


def encode(message: Message) -> bytes:
    """The bytes of one message."""
    match message:
        case Hello():
            return b"H" + msgspec.json.encode({"version": VERSION})
        case Refused():
            return b"N"
        case Told():
            return (b"E" if message.last else b"P") + message.part
        case Ready():
            return b"R"
        case Held():
            return b"D" + msgspec.json.encode([message.clients, message.servers])
        case Connections():
            rows = [
                [each.held.hex(), each.begun_ms, each.spoken, each.protocol, each.name.hex(), each.number]
                for each in message.handed
            ]
            return b"C" + msgspec.json.encode(rows)


def decode(data: bytes) -> Message:
    """Read one message; raises HandoverError."""
    kind, body = data[:1], data[1:]
    try:
        match kind:
            case b"H":
                version = msgspec.json.decode(body)["version"]
                if version != VERSION:
                    raise HandoverError(f"a process that speaks version {version} of the handover")
                return Hello()
            case b"N":
                return Refused()
            case b"P" | b"E":
                return Told(body, kind == b"E")
            case b"R":
                return Ready()
            case b"D":
                clients, servers = msgspec.json.decode(body)
                return Held(_count(clients), _count(servers))
            case b"C":
                return Connections(tuple(_handed(*row) for row in msgspec.json.decode(body)))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise HandoverError(f"a message that can't be read: {error}") from None
    raise HandoverError(f"a message of an unknown kind: {kind!r}")


def _count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"expected a count, got {value!r}")
    return value


def _handed(held: str, begun_ms: Any, spoken: Any, protocol: Any, name: str, number: Any) -> ConnectionState:
    count = _count(begun_ms), _count(protocol), _count(number)
    return ConnectionState(
        bytes.fromhex(held), count[0], bool(spoken), count[1], bytes.fromhex(name), count[2]
    )


def parts(account: bytes) -> list[Told]:
    """Cut an account into messages."""
    cuts = range(0, len(account), MOST_BYTES)
    return [Told(account[at : at + MOST_BYTES], at + MOST_BYTES >= len(account)) for at in cuts]


def write_account(account: Account, unix_ms: Callable[[int], int]) -> bytes:
    """Write an account down; `unix_ms` turns a server's start into Unix milliseconds, as it was listed."""
    known, now = account.knowledge, account.told_at
    told = {
        "version": VERSION,
        "listing": account.listing,
        "nodes": [
            [
                node.server,
                unix_ms(node.started),
                now - node.last_outcome_at,
                node.send_probability,
                now - node.recovers_from,
                node.recovery_time,
                node.unreachable,
                node.consecutive_unanswered,
                node.connect_rejections,
                node.next_connect_at - now,
                node.mean_latency,
                node.latency_deviation,
                node.sample_weight,
            ]
            for node in known.servers
        ],
        "limits": [
            [limit.tenant, limit.limit, [[now - at, went, declined] for at, went, declined in limit.calls]]
            for limit in known.limits
        ],
        "store": [
            _finite(known.origin.fetch_window),
            _finite(known.origin.write_limit),
            known.origin.bad_fraction,
            known.origin.fetch_latency_mean,
            known.origin.fetch_latency_deviation,
            known.origin.cache_latency_mean,
            known.origin.cache_latency_deviation,
        ],
        "heat": known.slot_counts,
        "usage": known.tenant_counts,
    }
    return msgspec.json.encode(told)


def _finite(value: float) -> float | None:
    return None if math.isinf(value) else value


def read_account(data: bytes, now: int, monotonic: Callable[[int], int]) -> Account:
    """Read an account; `monotonic` turns a start in Unix milliseconds back. Raises HandoverError.

    Times in the account are those of the reader's clock: what was told counts as put together now.
    """
    try:
        told = msgspec.json.decode(data)
        if told["version"] != VERSION:
            raise HandoverError(f"an account of version {told['version']}")
        nodes = []
        for row in told["nodes"]:
            (
                server,
                start,
                heard,
                chance,
                judged,
                regain,
                down,
                unheard,
                crowded,
                room,
                usual,
                spread,
                sampled,
            ) = row
            if (
                not -1 <= chance <= 1
                or _count(regain) < 1
                or usual < 0
                or spread < 0
                or not 0 <= sampled <= 1
            ):
                raise ValueError(f"{server}: out of range")
            node = ServerHealth(
                str(server),
                monotonic(_count(start)),
                now - _count(heard),
                1.0,
                float(chance),
                now - int(judged),
                regain,
                bool(down),
                _count(unheard),
                min(_count(crowded), MOST_CROWDED),
                now + int(room),
                float(usual),
                float(spread),
                float(sampled),
            )
            nodes.append(node)
        limits = []
        for tenant, limit, calls in told["limits"]:
            if not limit >= 0:
                raise ValueError(f"limit of {tenant!r}: out of range")
            rows = tuple((now - int(age), _count(went), _count(declined)) for age, went, declined in calls)
            limits.append(LimitState(str(tenant), float(limit), rows))
        window, width, *rest = told["store"]
        ends = [math.inf if value is None else float(value) for value in (window, width)]
        store = OriginHealth(*ends, *[float(value) for value in rest])
        heat = tuple((_count(slot), float(count)) for slot, count in told["heat"])
        usage = tuple((str(name), float(count)) for name, count in told["usage"])
        if not isinstance(told["listing"], dict):
            raise TypeError("listing: expected an object")
        return Account(told["listing"], RouterState(tuple(nodes), tuple(limits), store, heat, usage), now)
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise HandoverError(f"an account that can't be read: {error}") from None
