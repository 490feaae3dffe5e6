"""Clients' commands off the wire: arrays of bulk strings, read strictly and within bounds.

Caches' answers are left to hiredis. For commands it would allocate whatever a header claims (an array of
a thousand million places, say) before anything of it has come, and strangers write those headers.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from types import MappingProxyType

from msgspec import Struct

# Guards the memory (32 MB on some days) against strangers who announce values that no client has.
MAX_VALUE_BYTES = 64 << 10  # PROTOCOL: values hold at most 64 KiB
MAX_ANSWER_VALUE_BYTES = (
    4 << 20
)  # a server's value is taken up to this length, in parts where it is over LONG_VALUE_BYTES
LONG_VALUE_BYTES = 64 << 10
MAX_WORDS = 16
MAX_NON_VALUE_BYTES = 16 << 10  # all words of a command but its value together: far more than any has
MULTI_GET_COMMAND = b"KV.MGET"
MAX_KEYS = 1024  # of one command that reads many
MAX_MULTI_GET_WORDS = (
    16 << 10
)  # words of such a command that are cut, so that one too long is answered and passed over
MIN_WORD_BYTES = 6  # bytes that a word takes up at least, with its header and ends
MAX_SINGLE_READ_BYTES = 1024  # bytes of a command that is read in one step
MAX_CACHED_FIELDS_BYTES = 128  # bytes of a list whose reading is remembered
MAX_HEADER_BYTES = 16  # a length line: its mark, digits and end


class FramingError(Exception):
    """The stream breaks the protocol's framing; the text is for the client."""


class UnknownCommandError(ValueError):
    """A command of another name than a read's or a write's."""


class Command(Struct):
    """A request as it came: what is passed on, and the list of names and values taken apart."""

    name: bytes
    key: bytes
    id: bytes
    info: bytes
    value: bytes | None
    fields: Mapping[str, str]
    timeout_ms: int

    @property
    def size(self) -> int:
        """The bytes of its words."""
        value = len(self.value) if self.value is not None else 0
        return len(self.key) + len(self.id) + len(self.info) + value

    def as_bytes(self, timeout_ms: int) -> bytes:
        """Encode the command for a cache server, advertising a timeout in milliseconds."""
        info = with_timeout(self.info, timeout_ms)
        if self.value is not None:
            return command(self.name, self.key, self.id, info, self.value)
        return read_command(self.key, self.id, info)


class CommandReader:
    """Cuts a client's bytes into commands, each a list of its words."""

    def __init__(self, accepts_multi_get: bool = False) -> None:
        """`accepts_multi_get`: whether multi-gets, which have far more words, are accepted."""
        self._accepts_multi_get = accepts_multi_get
        self._buffer = bytearray()
        self.needed_bytes = 0
        """Bytes that the command under way is known to need; 0 between commands."""
        self.framing_error = ""
        """Why the stream can't be followed any further, once that is so."""

    @property
    def buffered(self) -> bytes:
        """What has come of the command under way."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """How much that is."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the commands that are now whole, up to a broken one if `broken` is set by it."""
        if self.needed_bytes:
            self._buffer += data
            if len(self._buffer) < self.needed_bytes:
                return []
            data = bytes(self._buffer)
            self._buffer.clear()
            self.needed_bytes = 0
        elif (words := _parse_single_read(data)) is not None:
            return [words]
        if self._accepts_multi_get and (words := _parse_single_multi_get(data)) is not None:
            return [words]
        commands: list[list[bytes]] = []
        position = 0
        while position < len(data):
            try:
                words, end = self._command(data, position)
            except FramingError as error:
                self.framing_error = str(error)
                break
            if not end:
                self._buffer += data[position:]
                break
            commands.append(words)
            position = end
        return commands

    def _command(self, data: bytes, begin: int) -> tuple[list[bytes], int]:
        count, position = self._length(data, begin, b"*")
        if position and not 1 <= count <= (MAX_MULTI_GET_WORDS if self._accepts_multi_get else MAX_WORDS):
            raise FramingError("invalid multibulk length")
        words: list[bytes] = []
        while position and len(words) < count:
            size, start = self._length(data, position, b"$")
            if not start:
                position = 0
                break
            position = start + size + 2
            if size > MAX_VALUE_BYTES:
                raise FramingError("value too long")
            if position - begin > MAX_VALUE_BYTES + MAX_NON_VALUE_BYTES:
                raise FramingError("command too long")
            if len(data) < position:
                # The words behind it take up room too: else a long list that trickles in is cut at each byte.
                self.needed_bytes = position - begin + MIN_WORD_BYTES * (count - len(words) - 1)
                return [], 0
            if data[position - 2 : position] != b"\r\n":
                raise FramingError("bulk string without its end")
            words.append(data[start : position - 2])
            if count > MAX_WORDS and words[0].upper() != MULTI_GET_COMMAND:
                raise FramingError("invalid multibulk length")
        if not position:
            self.needed_bytes = len(data) - begin + max(MIN_WORD_BYTES * (count - len(words) - 1), 1)
        return words, position

    def _length(self, data: bytes, begin: int, mark: bytes) -> tuple[int, int]:
        """A length line's number and where the line ends; 0 where it is not whole."""
        end = data.find(b"\r\n", begin, begin + MAX_HEADER_BYTES)
        if end < 0 and len(data) - begin < MAX_HEADER_BYTES and mark.startswith(data[begin : begin + 1]):
            return 0, 0
        digits = data[begin + 1 : end] if end > 0 else b""
        if data[begin : begin + 1] != mark or not digits.isdigit():
            raise FramingError(f"expected {mark.decode()!r} and a length")
        return int(digits), end + 2


def _parse_single_read(data: bytes) -> list[bytes] | None:
    """The words, if these bytes are one whole read and nothing else; None: look closer.

    Nearly all that comes is that. What holds line ends of its own falls into other parts.
    """
    if not data.startswith(b"*4\r\n$6\r\n") or len(data) > MAX_SINGLE_READ_BYTES:
        return None
    parts = data.split(b"\r\n")
    if len(parts) != 10 or parts[9]:
        return None
    _, _, name, at_key, key, at_id, request, at_info, info, _ = parts
    whole = (
        len(name) == 6
        and at_key == b"$%d" % len(key)
        and at_id == b"$%d" % len(request)
        and at_info == b"$%d" % len(info)
    )
    return [name, key, request, info] if whole else None


def _parse_single_multi_get(data: bytes) -> list[bytes] | None:
    """The words, if these bytes are one whole read of many keys and nothing else; None: look closer."""
    if (
        not data.startswith(b"*")
        or data.find(MULTI_GET_COMMAND, 0, MAX_HEADER_BYTES * 2) < 0
        or not data.endswith(b"\r\n")
    ):
        return None
    parts = data.split(b"\r\n")
    words = parts[2::2]
    if (
        parts[0] != b"*%d" % len(words)
        or len(parts) != 2 * len(words) + 2
        or len(data) > MAX_VALUE_BYTES + MAX_NON_VALUE_BYTES
    ):
        return None
    headers = parts[1:-1:2]
    whole = words[0] == MULTI_GET_COMMAND and all(
        header == b"$%d" % len(word) for header, word in zip(headers, words, strict=True)
    )
    return words if whole else None


def parse_request(words: list[bytes]) -> Command:
    """Take a request apart; raises ValueError in one plain line."""
    name = words[0].upper()
    if name not in (b"KV.GET", b"KV.SET"):
        raise UnknownCommandError("unknown command")
    is_write = name == b"KV.SET"
    if len(words) != (5 if is_write else 4):
        raise ValueError(f"wrong number of arguments for {name.decode()}")
    key, request, info = words[1:4]
    if len(key) + len(request) + len(info) > MAX_NON_VALUE_BYTES:
        raise ValueError("key, id or list too long")
    check_key(key)
    fields, timeout = read_fields(request, info)
    return Command(name, key, request, info, words[4] if is_write else None, fields, timeout)


def check_key(key: bytes) -> None:
    """Raise ValueError for a key that is none."""
    try:
        if not key or not key.decode().isprintable() or b" " in key:
            raise ValueError("key must be text without spaces")
    except UnicodeDecodeError:
        raise ValueError("key must be text without spaces") from None


def read_fields(request: bytes, info: bytes) -> tuple[Mapping[str, str], int]:
    """The list of names and values beside an id, and the client's patience in milliseconds; ValueError."""
    # Danger: these words become HTTP lines at the origin, where a line break would forge a header.
    if not request or not _is_plain_text(request):
        raise ValueError("id and list must be plain text")
    return _cached_fields(info) if len(info) <= MAX_CACHED_FIELDS_BYTES else _parse_fields(info)


def _parse_fields(info: bytes) -> tuple[Mapping[str, str], int]:
    if not info or not _is_plain_text(info):
        raise ValueError("id and list must be plain text")
    try:
        pairs = [part.split("=", 1) for part in info.decode("ascii").split(",")]
        fields: dict[str, str] = dict(pairs)
    except ValueError:
        raise ValueError("expected a list of names and values") from None
    if len(fields) < len(pairs) and sum(name == "d" for name, _ in pairs) > 1:
        # Danger: of two times one would be kept to here, and the other passed on.
        raise ValueError("d must stand once")
    timeout = fields.get("d", "")
    if not timeout.isdecimal() or len(timeout) > 9:
        raise ValueError("d must be a number of milliseconds")
    if not fields.get("c"):
        raise ValueError("c must name a class")
    return MappingProxyType(fields), int(timeout)


# Clients say the same time and again. Short ones alone: strangers' lists must not fill the memory.
_cached_fields = lru_cache(256)(_parse_fields)


def _is_plain_text(word: bytes) -> bool:
    return word.isascii() and word.decode("ascii").isprintable()


def with_timeout(info: bytes, timeout_ms: int) -> bytes:
    """Return a request's list of names and values with the value of `d` replaced, in milliseconds.

    All other names, their values and their order stay as they are. Raises ValueError where `d` is missing.
    """
    listed = b"," + info
    start = listed.index(b",d=") + len(b",d=")
    end = listed.find(b",", start)
    rest = listed[end:] if end >= 0 else b""
    return b"%b%d%b" % (listed[1:start], timeout_ms, rest)


def read_command(key: bytes, name: bytes, info: bytes) -> bytes:
    """Encode one read: in one format, as nearly all commands are reads."""
    sizes = len(key), key, len(name), name, len(info), info
    return b"*4\r\n$6\r\nKV.GET\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % sizes


def bulk(value: bytes) -> bytes:
    """Encode one bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def bulk_length(encoded: bytes) -> int:
    """The bytes of a bulk string's value, by its header."""
    return int(encoded[1 : encoded.index(b"\r")])


def command(*words: bytes) -> bytes:
    """Encode one command."""
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def parse_load(report: bytes, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """Read a load report into the order of the settings; None where it is not whole."""
    try:
        told = dict(part.split("=", 1) for part in report.decode("ascii").split(","))
        return tuple(float(told[name]) for name in names) or None
    except (ValueError, KeyError):
        return None
