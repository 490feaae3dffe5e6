"""Session commands of Redis clients, which are not requests: the handshake and a few queries.

Their formats are those of Redis (https://redis.io/docs/latest/commands/hello/ and the other commands' pages).
Of RESP3, replies use only maps and the null.
"""

from __future__ import annotations

from msgspec import Struct

from pebblepass import __version__
from pebblepass.wire.resp import UnknownCommandError, bulk

OK = b"+OK\r\n"
NO_PROTOCOL = b"-NOPROTO unsupported protocol version\r\n"
NO_PASSWORD = b"-ERR AUTH called without any password configured\r\n"
LOADING = b"-LOADING no list of servers yet\r\n"
MAX_NAME_BYTES = 128
REDIS_VERSION = b"7.4.0"  # clients infer the server's features from it


class ClientSession(Struct):
    """The state that a client has set by session commands."""

    number: int
    """The number of the connection, which the client sees as its id."""
    protocol: int = 2
    name: bytes = b""
    has_quit: bool = False
    """Whether the client has sent QUIT."""


def answer_session_command(words: list[bytes], client: ClientSession, ready: bool, connected: int) -> bytes:
    """Return the reply to a session command; one that is replied to with an error changes nothing.

    `ready`: whether the router has an endpoint list; `connected`: number of client connections.
    Raises UnknownCommandError.
    """
    name, args = words[0].upper(), words[1:]
    match name:
        case b"PING" if len(args) <= 1:
            return (bulk(args[0]) if args else b"+PONG\r\n") if ready else LOADING
        case b"ECHO" if len(args) == 1:
            return bulk(args[0])
        case b"HELLO":
            return _hello(args, client)
        case b"AUTH" if 1 <= len(args) <= 2:
            return NO_PASSWORD
        case b"CLIENT" if args:
            return _client(args[0].upper(), args[1:], client)
        case b"SELECT" if len(args) == 1:
            return OK if args[0] == b"0" else b"-ERR DB index is out of range\r\n"
        case b"COMMAND":
            return _command(args, client)
        case b"INFO":
            return _info(ready, connected)
        case b"RESET" if not args:
            client.protocol, client.name = 2, b""
            return b"+RESET\r\n"
        case b"QUIT":
            client.has_quit = True
            return OK
        case b"PING" | b"ECHO" | b"AUTH" | b"CLIENT" | b"SELECT" | b"RESET":
            return b"-ERR wrong number of arguments for '%b' command\r\n" % name.lower()
    raise UnknownCommandError("unknown command")


def _hello(args: list[bytes], client: ClientSession) -> bytes:
    protocol, client_name = client.protocol, client.name
    if args:
        if args[0] not in (b"2", b"3"):
            return NO_PROTOCOL
        protocol = int(args[0])
    rest = args[1:]
    while rest:
        option = rest[0].upper()
        if option == b"AUTH" and len(rest) >= 3:
            return NO_PASSWORD
        if option != b"SETNAME" or len(rest) < 2 or not _is_name(rest[1]):
            return b"-ERR syntax error in HELLO\r\n"
        client_name, rest = rest[1], rest[2:]
    client.protocol, client.name = protocol, client_name
    properties = (
        (b"server", bulk(b"pebblepass")),
        (b"version", bulk(REDIS_VERSION)),
        (b"proto", b":%d\r\n" % protocol),
        (b"id", b":%d\r\n" % client.number),
        (b"mode", bulk(b"standalone")),
        (b"role", bulk(b"master")),
        (b"modules", b"*0\r\n"),
    )
    header = b"%%%d\r\n" % len(properties) if protocol == 3 else b"*%d\r\n" % (2 * len(properties))
    return header + b"".join(bulk(name) + value for name, value in properties)


def _client(subcommand: bytes, args: list[bytes], client: ClientSession) -> bytes:
    match subcommand:
        case b"SETNAME" if len(args) == 1:
            if not _is_name(args[0]):
                return b"-ERR Client names cannot contain spaces, newlines or special characters.\r\n"
            client.name = args[0]
            return OK
        case b"SETINFO" if len(args) == 2 and args[0].upper() in (b"LIB-NAME", b"LIB-VER"):
            return OK if _is_name(args[1]) else b"-ERR a library's name can't hold spaces\r\n"
        case b"GETNAME" if not args:
            return bulk(client.name) if client.name else null(client.protocol)
        case b"ID" if not args:
            return b":%d\r\n" % client.number
    return b"-ERR unknown subcommand or wrong number of arguments for 'client' command\r\n"


def _command(args: list[bytes], client: ClientSession) -> bytes:
    subcommand = args[0].upper() if args else b""
    if subcommand == b"COUNT":
        return b":0\r\n"
    return b"%0\r\n" if subcommand == b"DOCS" and client.protocol == 3 else b"*0\r\n"


def _info(ready: bool, connected: int) -> bytes:
    lines = (
        "# Server",
        "server_name:pebblepass",
        f"pebblepass_version:{__version__}",
        f"redis_version:{REDIS_VERSION.decode()}",
        "redis_mode:standalone",
        "# Clients",
        f"connected_clients:{connected}",
        "# Persistence",
        f"loading:{int(not ready)}",
        "# Replication",
        "role:master",
    )
    return bulk("".join(f"{line}\r\n" for line in lines).encode())


def _is_name(word: bytes) -> bool:
    return len(word) <= MAX_NAME_BYTES and all(33 <= byte <= 126 for byte in word)


def null(protocol: int) -> bytes:
    """Encode the null value for this version of the protocol."""
    return b"_\r\n" if protocol == 3 else b"$-1\r\n"
