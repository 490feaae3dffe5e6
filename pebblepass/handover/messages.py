"""The messages between predecessor and successor, and their encoding. No I/O.

A message is one packet of the socket: a letter that names its kind, followed by JSON or by a part of a
snapshot. A snapshot may take several messages.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from pebblepass.handover.errors import HandoverError

VERSION = 1  # of the messages and of the snapshot; other versions are rejected
MAX_CHUNK_BYTES = 48 << 10  # of a snapshot in one message; far below the size of a socket buffer
MAX_PARTIAL_COMMAND = 4 << 10  # bytes of an incomplete command that are handed over with its connection
MAX_CONNECTIONS_PER_MESSAGE = 16
MAX_WRITES_PER_MESSAGE = 100
MAX_WRITE_ID_CHARACTERS = 256  # a longer id is not passed on, so that a message stays small

Count = Annotated[int, Meta(ge=0)]


class Hello(Struct, frozen=True):
    """Sent by a successor when it has connected."""

    accepts_writes: bool = False
    """Whether it understands `SentWrites`; older versions do not."""


class Rejected(Struct, frozen=True):
    """The predecessor already has another successor."""


class StateChunk(Struct, frozen=True):
    """A part of a snapshot; `last`: whether it is the last one."""

    data: bytes
    last: bool


class Ready(Struct, frozen=True):
    """The successor serves clients."""


class ConnectionCounts(Struct, frozen=True):
    """How many connections the predecessor still has."""

    clients: int
    servers: int


class ConnectionState(Struct, frozen=True):
    """The state that is handed over with one client connection."""

    partial_command: bytes
    """The bytes received of an incomplete command."""
    command_age_ms: int
    """The time since that command, or without one the connection, began, in milliseconds."""
    has_sent_command: bool
    """Whether the client has sent a complete command before."""
    protocol: int
    """The protocol version in the client's HELLO; 0: it has sent no HELLO."""
    client_name: bytes
    connection_number: int


class Connections(Struct, frozen=True):
    """Client connections. Their descriptors are sent with the message, in the same order."""

    states: tuple[ConnectionState, ...]


class SentWrites(Struct, frozen=True):
    """Ids of writes that the predecessor may have sent, and that must not be sent again."""

    request_ids: tuple[str, ...]


Message = Hello | Rejected | StateChunk | Ready | ConnectionCounts | Connections | SentWrites


class _HelloBody(Struct, frozen=True, omit_defaults=True):
    version: object
    accepts_writes: bool = False


class _CountsBody(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    clients: Count
    servers: Count


class _ConnectionRow(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One connection in a message. Byte strings are encoded in hexadecimal."""

    partial_command: str
    command_age_ms: Count
    has_sent_command: bool | int
    protocol: Count
    client_name: str
    connection_number: Count


_HELLO = msgspec.json.Decoder(_HelloBody)
_COUNTS = msgspec.json.Decoder(_CountsBody)
_CONNECTIONS = msgspec.json.Decoder(tuple[_ConnectionRow, ...])
_WRITES = msgspec.json.Decoder(tuple[str, ...])


def encode(message: Message) -> bytes:
    """Encode a message."""
    match message:
        case Hello():
            return b"H" + msgspec.json.encode(_HelloBody(VERSION, message.accepts_writes))
        case Rejected():
            return b"N"
        case StateChunk():
            return (b"E" if message.last else b"P") + message.data
        case Ready():
            return b"R"
        case ConnectionCounts():
            return b"D" + msgspec.json.encode(_CountsBody(message.clients, message.servers))
        case Connections():
            return b"C" + msgspec.json.encode([_connection_row(state) for state in message.states])
        case SentWrites():
            return b"W" + msgspec.json.encode(message.request_ids)


def decode(data: bytes) -> Message:
    """Decode a message; raises HandoverError if it is invalid."""
    try:
        return _decode(data[:1], data[1:])
    except (ValueError, RecursionError) as error:
        raise HandoverError(f"can't decode a message: {error}") from None


def split_snapshot(snapshot: bytes) -> list[StateChunk]:
    """Split an encoded snapshot into messages."""
    starts = range(0, len(snapshot), MAX_CHUNK_BYTES)
    return [
        StateChunk(snapshot[start : start + MAX_CHUNK_BYTES], start + MAX_CHUNK_BYTES >= len(snapshot))
        for start in starts
    ]


def split_writes(request_ids: list[str]) -> list[SentWrites]:
    """Split the ids of sent writes into messages; without those of over MAX_WRITE_ID_CHARACTERS."""
    short = [request_id for request_id in request_ids if len(request_id) <= MAX_WRITE_ID_CHARACTERS]
    starts = range(0, len(short), MAX_WRITES_PER_MESSAGE)
    return [SentWrites(tuple(short[start : start + MAX_WRITES_PER_MESSAGE])) for start in starts]


def _decode(kind: bytes, body: bytes) -> Message:
    match kind:
        case b"H":
            return _decode_hello(body)
        case b"N":
            return Rejected()
        case b"P" | b"E":
            return StateChunk(body, last=kind == b"E")
        case b"R":
            return Ready()
        case b"D":
            counts = _COUNTS.decode(body)
            return ConnectionCounts(counts.clients, counts.servers)
        case b"C":
            return Connections(tuple(_connection_state(row) for row in _CONNECTIONS.decode(body)))
        case b"W":
            return SentWrites(_WRITES.decode(body))
    raise HandoverError(f"unknown kind of message: {kind!r}")


def _decode_hello(body: bytes) -> Hello:
    hello = _HELLO.decode(body)
    if hello.version != VERSION:
        raise HandoverError(f"the other process uses version {hello.version} of the handover protocol")
    return Hello(hello.accepts_writes)


def _connection_row(state: ConnectionState) -> _ConnectionRow:
    return _ConnectionRow(
        partial_command=state.partial_command.hex(),
        command_age_ms=state.command_age_ms,
        has_sent_command=state.has_sent_command,
        protocol=state.protocol,
        client_name=state.client_name.hex(),
        connection_number=state.connection_number,
    )


def _connection_state(row: _ConnectionRow) -> ConnectionState:
    return ConnectionState(
        partial_command=bytes.fromhex(row.partial_command),
        command_age_ms=row.command_age_ms,
        has_sent_command=bool(row.has_sent_command),
        protocol=row.protocol,
        client_name=bytes.fromhex(row.client_name),
        connection_number=row.connection_number,
    )
