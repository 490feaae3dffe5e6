"""RESP2: parses clients' commands, and encodes commands and bulk strings.

Commands come from untrusted clients. A general parser such as hiredis would allocate as much as a header
claims, for instance an array of a thousand million elements, before any of it is received. This parser
accepts only arrays of bulk strings, within the bounds below.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from types import MappingProxyType

from msgspec import Struct

# The bounds limit the memory, which may be as small as 32 MB, against commands that no valid client sends.
MAX_VALUE_BYTES = 64 << 10  # PROTOCOL: values hold at most 64 KiB
MAX_ANSWER_VALUE_BYTES = 4 << 20  # of a server's value; one over LONG_VALUE_BYTES is streamed
LONG_VALUE_BYTES = 64 << 10
MAX_WORDS = 16
MAX_NON_VALUE_BYTES = 16 << 10  # of all words of a command but its value; no valid command comes near
MULTI_GET_COMMAND = b"KV.MGET"
MAX_KEYS = 1024  # of one multi-get
MAX_MULTI_GET_WORDS = 16 << 10  # of a multi-get; one with too many keys is parsed, and gets an error reply
MIN_WORD_BYTES = 6  # of an encoded word: its header and line ends
MAX_SINGLE_READ_BYTES = 1024  # of a command that is parsed in one step
MAX_CACHED_FIELDS_BYTES = 128  # of a list of fields whose parsed form is cached
MAX_HEADER_BYTES = 16  # of a length line: type byte, digits and line end
WORD_OBJECT_BYTES = 40  # of a word beside its bytes
KEPT_WORDS = 4  # of a discarded command: its name, key, id and list
USED_FIELDS = frozenset("cdrt")  # of a request's list; the others are only passed on
UNLIMITED = 1 << 30  # commands of one call


class FramingError(Exception):
    """The stream violates the framing of the protocol; the message is sent to the client."""


class UnknownCommandError(ValueError):
    """The command is neither a read nor a write."""


class Command(Struct):
    """A request as received: the words to pass on, and the fields that this router uses."""

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
    """Splits a client's bytes into commands, each a list of words.

    It parses each byte when it is received, and continues where it has stopped: a malformed command is
    rejected at the byte that decides it, and a long one in small pieces is parsed once.
    """

    def __init__(self, accepts_multi_get: bool = False) -> None:
        """`accepts_multi_get`: whether multi-gets, which have far more words, are accepted."""
        self._max_words = MAX_MULTI_GET_WORDS if accepts_multi_get else MAX_WORDS
        self._accepts_multi_get = accepts_multi_get
        self._buffer = bytearray()
        self._partial = _PartialCommand()
        self.needed_bytes = 0
        """Minimum number of bytes of the partial command; 0 if there is none."""
        self.has_unparsed = False
        """Whether bytes are left behind as many commands as the caller wanted; they are parsed by `take`."""
        self.discarded: list[bytes] | None = None
        """The last command of which a word was discarded, once it is complete."""
        self.framing_error = ""
        """Why the stream can't be parsed any further; empty as long as it can."""

    @property
    def buffered(self) -> bytes:
        """The received bytes of the partial command."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """The number of received bytes of the partial command."""
        return len(self._buffer)

    @property
    def held_bytes(self) -> int:
        """The bytes that the partial command takes: those received, and copies of its complete words."""
        words = self._partial.words
        return len(self._buffer) + sum(map(len, words)) + WORD_OBJECT_BYTES * len(words)

    @property
    def is_discarding(self) -> bool:
        """Whether a word of the partial command was discarded."""
        return self._partial.is_discarded

    def discard_word(self) -> None:
        """Drop what is received of the partial command but its first words; it is refused once complete.

        The bytes to come of the current word are dropped too, and so is the content of all later words.
        """
        partial = self._partial
        partial.is_discarded = True
        partial.words[KEPT_WORDS:] = [b""] * (len(partial.words) - KEPT_WORDS)
        end = min(partial.parsed_bytes + (partial.word_bytes or 0), len(self._buffer))
        if partial.word_bytes is not None:
            partial.word_bytes -= end - partial.parsed_bytes
        partial.dropped_bytes += end
        partial.parsed_bytes = 0
        del self._buffer[:end]

    def feed(self, data: bytes, limit: int = UNLIMITED) -> list[list[bytes]]:
        """Add received bytes; return at most `limit` commands that are complete, up to an invalid one.

        An invalid one sets `framing_error`.
        """
        if self.needed_bytes or self.has_unparsed or not limit:
            self._buffer += data
            if self._partial.is_discarded:
                self.discard_word()
            return self._parse(self._buffer, limit)
        if (words := _parse_single_read(data)) is not None:
            return [words]
        if self._accepts_multi_get and (words := _parse_single_multi_get(data)) is not None:
            return [words]
        return self._parse(data, limit)

    def add(self, data: bytes) -> None:
        """Add received bytes that are not parsed before `take`."""
        self._buffer += data
        self.has_unparsed = True

    def take(self, limit: int) -> list[list[bytes]]:
        """Return at most `limit` further commands of the bytes received before, as `feed` does."""
        return self._parse(self._buffer, limit)

    def _parse(self, data: bytes | bytearray, limit: int) -> list[list[bytes]]:
        """Parse data that begins with the partial command, if there is one; keep the next partial one."""
        commands: list[list[bytes]] = []
        begin = 0
        try:
            while begin < len(data) and len(commands) < limit and (end := self._advance(data, begin)):
                commands.append(self._partial.words)
                if self._partial.is_discarded:
                    self.discarded = self._partial.words
                self._partial = _PartialCommand()
                begin = end
        except FramingError as error:
            self.framing_error = str(error)
            begin = len(data)
        if data is self._buffer:
            del self._buffer[:begin]
        else:
            self._buffer += data[begin:]
        self.has_unparsed = bool(self._buffer) and len(commands) == limit
        self.needed_bytes = 0
        if (self._buffer or self._partial.is_discarded) and not self.has_unparsed:
            self.needed_bytes = self._partial.needed_bytes(len(self._buffer))
        return commands

    def _advance(self, data: bytes | bytearray, begin: int) -> int:
        """Parse the command that begins there as far as it is received; return its end, 0 if incomplete.

        Raises FramingError.
        """
        partial = self._partial
        if not partial.count:
            count, position = _length_line(data, begin, b"*")
            if not position:
                return 0
            if not 1 <= count <= self._max_words:
                raise FramingError("invalid multibulk length")
            partial.count, partial.parsed_bytes = count, position - begin
        while len(partial.words) < partial.count:
            if partial.word_bytes is None:
                size, position = _length_line(data, begin + partial.parsed_bytes, b"$")
                if not position:
                    return 0
                partial.parsed_bytes = position - begin
                partial.start_word(size)
            if not self._finish_word(data, begin):
                return 0
        return begin + partial.parsed_bytes

    def _finish_word(self, data: bytes | bytearray, begin: int) -> bool:
        """Add the word whose length is known, unless it is incomplete. Raises FramingError."""
        partial = self._partial
        assert partial.word_bytes is not None
        start = begin + partial.parsed_bytes
        end = start + partial.word_bytes
        line_end = data[end : end + 2]
        if line_end != b"\r\n":
            if not b"\r\n".startswith(line_end):
                raise FramingError("bulk string without its end")
            return False
        is_kept = not partial.is_discarded or len(partial.words) < KEPT_WORDS
        partial.words.append(bytes(data[start:end]) if is_kept else b"")
        partial.parsed_bytes, partial.word_bytes = end + 2 - begin, None
        if partial.count > MAX_WORDS and partial.words[0].upper() != MULTI_GET_COMMAND:
            raise FramingError("invalid multibulk length")
        return True


class _PartialCommand:
    """What is parsed of a command."""

    __slots__ = ("count", "dropped_bytes", "is_discarded", "parsed_bytes", "word_bytes", "words")

    def __init__(self) -> None:
        self.count = 0
        """The announced number of words; 0 before its line is complete."""
        self.words: list[bytes] = []
        self.parsed_bytes = 0
        """The bytes up to the end of the last complete word, or of the length line of the current one."""
        self.word_bytes: int | None = None
        """The announced length of the current word; None before its line is complete."""
        self.is_discarded = False
        """Whether bytes of it were dropped."""
        self.dropped_bytes = 0
        """How many of its bytes are in the buffer no longer."""

    def start_word(self, size: int) -> None:
        """Start a word of this length in bytes; raises FramingError if the command becomes too long."""
        if size > MAX_VALUE_BYTES:
            raise FramingError("value too long")
        if self.parsed_bytes + self.dropped_bytes + size + 2 > MAX_VALUE_BYTES + MAX_NON_VALUE_BYTES:
            raise FramingError("command too long")
        self.word_bytes = size

    def needed_bytes(self, received: int) -> int:
        """Return the minimum number of bytes of the command, of which `received` are there."""
        missing_words = self.count - len(self.words)
        if self.word_bytes is None:
            # At least one byte of a length line is missing.
            return max(received + 1, self.parsed_bytes + MIN_WORD_BYTES * missing_words)
        return self.parsed_bytes + self.word_bytes + 2 + MIN_WORD_BYTES * (missing_words - 1)


def _length_line(data: bytes | bytearray, begin: int, type_byte: bytes) -> tuple[int, int]:
    """Return the number in a length line and the position after the line; 0 and 0 if it is incomplete.

    Raises FramingError.
    """
    end = data.find(b"\r\n", begin, begin + MAX_HEADER_BYTES)
    if end < 0 and _is_partial_length_line(data[begin : begin + MAX_HEADER_BYTES], type_byte):
        return 0, 0
    digits = data[begin + 1 : end] if end > 0 else b""
    if data[begin : begin + 1] != type_byte or not digits.isdigit():
        raise FramingError(f"expected {type_byte.decode()!r} and a length")
    return int(digits), end + 2


def _is_partial_length_line(line: bytes | bytearray, type_byte: bytes) -> bool:
    """Whether further bytes can complete this to a length line."""
    if len(line) >= MAX_HEADER_BYTES or not type_byte.startswith(line[:1]):
        return False
    number = line[1:]
    digits = number.removesuffix(b"\r")
    return not number or digits.isdigit()


def _parse_single_read(data: bytes) -> list[bytes] | None:
    """Return the words if the data is exactly one complete read; None: parse it in full.

    Nearly all data is a single read. Words that contain line ends are left to the full parser.
    """
    if not data.startswith(b"*4\r\n$6\r\n") or len(data) > MAX_SINGLE_READ_BYTES:
        return None
    parts = data.split(b"\r\n")
    if len(parts) != 10 or parts[9]:
        return None
    _, _, name, key_header, key, id_header, request, info_header, info, _ = parts
    is_valid = (
        len(name) == 6
        and key_header == b"$%d" % len(key)
        and id_header == b"$%d" % len(request)
        and info_header == b"$%d" % len(info)
    )
    return [name, key, request, info] if is_valid else None


def _parse_single_multi_get(data: bytes) -> list[bytes] | None:
    """Return the words if the data is exactly one complete multi-get; None: parse it in full."""
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
    is_valid = words[0] == MULTI_GET_COMMAND and all(
        header == b"$%d" % len(word) for header, word in zip(headers, words, strict=True)
    )
    return words if is_valid else None


def parse_request(words: list[bytes]) -> Command:
    """Parse a request; raises ValueError, whose message is sent to the client."""
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
    """Raise ValueError if the key is invalid."""
    try:
        if not key or not key.decode().isprintable() or b" " in key:
            raise ValueError("key must be text without spaces")
    except UnicodeDecodeError:
        raise ValueError("key must be text without spaces") from None


def read_fields(request: bytes, info: bytes) -> tuple[Mapping[str, str], int]:
    """Return a request's fields and its timeout in milliseconds; raises ValueError."""
    # Warning: these words become HTTP headers of origin requests, where a line break would inject a header.
    if not request or not _is_plain_text(request):
        raise ValueError("id and list must be plain text")
    return _cached_fields(info) if len(info) <= MAX_CACHED_FIELDS_BYTES else _parse_fields(info)


def _parse_fields(info: bytes) -> tuple[Mapping[str, str], int]:
    if not info or not _is_plain_text(info):
        raise ValueError("id and list must be plain text")
    fields: dict[str, str] = {}
    for part in info.decode("ascii").split(","):
        name, separator, value = part.partition("=")
        if not separator:
            raise ValueError("expected a list of names and values")
        if name == "d" and name in fields:
            # Warning: with two timeouts, this router could apply one and advertise the other.
            raise ValueError("d must stand once")
        # Only these: a list may have thousands of fields, each of which would take far more than its bytes.
        if name in USED_FIELDS:
            fields[name] = value
    timeout = fields.get("d", "")
    if not timeout.isdecimal() or len(timeout) > 9:
        raise ValueError("d must be a number of milliseconds")
    if not fields.get("c"):
        raise ValueError("c must name a class")
    return MappingProxyType(fields), int(timeout)


# Clients repeat the same lists. Only short ones are cached, as long ones could use up the memory.
_cached_fields = lru_cache(256)(_parse_fields)


def _is_plain_text(word: bytes) -> bool:
    return word.isascii() and word.decode("ascii").isprintable()


def with_timeout(info: bytes, timeout_ms: int) -> bytes:
    """Return a request's list of fields with the value of `d` replaced, in milliseconds.

    The other fields and the order stay unchanged. Raises ValueError if `d` is missing.
    """
    prefixed = b"," + info
    start = prefixed.index(b",d=") + len(b",d=")
    end = prefixed.find(b",", start)
    rest = prefixed[end:] if end >= 0 else b""
    return b"%b%d%b" % (prefixed[1:start], timeout_ms, rest)


def read_command(key: bytes, name: bytes, info: bytes) -> bytes:
    """Encode a read with a single format operation, as nearly all commands are reads."""
    words = len(key), key, len(name), name, len(info), info
    return b"*4\r\n$6\r\nKV.GET\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % words


def bulk(value: bytes) -> bytes:
    """Encode one bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def bulk_length(encoded: bytes) -> int:
    """Return the length in bytes of an encoded bulk string's value."""
    return int(encoded[1 : encoded.index(b"\r")])


def command(*words: bytes) -> bytes:
    """Encode one command."""
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def parse_load(report: bytes, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """Return the values of a load report in the order of `names`; None if one is missing or invalid."""
    try:
        values = dict(part.split("=", 1) for part in report.decode("ascii").split(","))
        return tuple(float(values[name]) for name in names) or None
    except (ValueError, KeyError):
        return None
