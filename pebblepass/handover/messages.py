"""The messages between predecessor and successor, and their bytes. No I/O.

A message is one datagram of a sequenced-packet socket: a letter, and behind it JSON. A router's state may
take several.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from pebblepass.handover.errors import HandoverError

VERSION = 1  # of the messages and of the snapshot; any other is rejected
MAX_CHUNK_BYTES = 48 << 10  # of a snapshot in one message: far under what a socket's buffer takes
MAX_PARTIAL_COMMAND = 4 << 10  # bytes of a command under way that move with its connection
MAX_CONNECTIONS_PER_MESSAGE = 16

Count = Annotated[int, Meta(ge=0)]


class Hello(Struct, frozen=True):
    """A successor has connected."""


class Rejected(Struct, frozen=True):
    """The predecessor has another successor."""


class StateChunk(Struct, frozen=True):
    """A part of a snapshot; `last`: no more follows."""

    data: bytes
    last: bool


class Ready(Struct, frozen=True):
    """The successor serves clients."""


class ConnectionCounts(Struct, frozen=True):
    """How many connections the predecessor still has."""

    clients: int
    servers: int


class ConnectionState(Struct, frozen=True):
    """The state that moves with one client's connection."""

    partial_command: bytes
    """The bytes received of a command under way."""
    command_age_ms: int
    """How long ago that command, or the connection, began; milliseconds."""
    has_sent_command: bool
    """Whether the client has sent a complete command before."""
    protocol: int
    """The protocol version of the client's HELLO; 0: it has sent none."""
    client_name: bytes
    connection_number: int


class Connections(Struct, frozen=True):
    """Clients' connections; their descriptors travel beside, in the same order."""

    states: tuple[ConnectionState, ...]


Message = Hello | Rejected | StateChunk | Ready | ConnectionCounts | Connections


class _HelloBody(Struct, frozen=True):
    version: object


class _CountsBody(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    clients: Count
    servers: Count


class _ConnectionRow(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One connection in a message; bytes are in hexadecimal."""

    partial_command: str
    command_age_ms: Count
    has_sent_command: bool | int
    protocol: Count
    client_name: str
    connection_number: Count


_HELLO = msgspec.json.Decoder(_HelloBody)
_COUNTS = msgspec.json.Decoder(_CountsBody)
_CONNECTIONS = msgspec.json.Decoder(tuple[_ConnectionRow, ...])


def encode(message: Message) -> bytes:
    """Return the bytes of one message."""
    match message:
        case Hello():
            return b"H" + msgspec.json.encode(_HelloBody(VERSION))
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


def decode(data: bytes) -> Message:
    """Parse one message; raises HandoverError."""
    try:
        return _decode(data[:1], data[1:])
    except (ValueError, RecursionError) as error:
        raise HandoverError(f"a message that can't be read: {error}") from None


def split_snapshot(snapshot: bytes) -> list[StateChunk]:
    """Split an encoded snapshot into messages."""
    starts = range(0, len(snapshot), MAX_CHUNK_BYTES)
    return [
        StateChunk(snapshot[start : start + MAX_CHUNK_BYTES], start + MAX_CHUNK_BYTES >= len(snapshot))
        for start in starts
    ]


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
    raise HandoverError(f"a message of an unknown kind: {kind!r}")


def _decode_hello(body: bytes) -> Hello:
    version = _HELLO.decode(body).version
    if version != VERSION:
        raise HandoverError(f"a process that speaks version {version} of the handover")
    return Hello()


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
