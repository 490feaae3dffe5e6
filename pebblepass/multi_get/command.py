"""The command `KV.MGET COUNT KEY... ID INFO`: parsed and checked completely before any key is requested."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from pebblepass.wire.resp import MAX_KEYS, MULTI_GET_COMMAND, Command, check_key, read_fields

MAX_COMMAND_BYTES = 64 << 10  # of all words together
FIXED_WORDS = 4  # all but the keys: the name, the count, the id, the list of names and values
MAX_COUNT_DIGITS = 9


@dataclass(slots=True)
class MultiGetCommand:
    """A parsed multi-get command."""

    keys: list[bytes]
    """In the order of the command; a key may occur more than once."""
    id: bytes
    info: bytes
    fields: Mapping[str, str]
    timeout_ms: int

    def read(self, number: int, key: bytes) -> Command:
        """Return the read of one key, with its own id and the command's names and values."""
        name = b"%b.%d" % (self.id, number)
        return Command(b"KV.GET", key, name, self.info, None, self.fields, self.timeout_ms)

    def key_size(self, key: bytes) -> int:
        """Return the bytes of the key, the id and the names and values, as in a single read."""
        return len(key) + len(self.id) + len(self.info)


def parse_multi_get(words: list[bytes]) -> MultiGetCommand:
    """Parse a multi-get command. Raises ValueError with the line that is sent to the client."""
    if len(words) < FIXED_WORDS:
        raise ValueError(f"wrong number of arguments for {MULTI_GET_COMMAND.decode()}")
    count_word, keys, request, info = words[1], words[2:-2], words[-2], words[-1]
    if not count_word.isdigit() or len(count_word) > MAX_COUNT_DIGITS:
        raise ValueError("the count must be a number")
    count = int(count_word)
    if not 1 <= count <= MAX_KEYS:
        raise ValueError(f"the count must lie between 1 and {MAX_KEYS}")
    if count != len(keys):
        raise ValueError(f"expected {count} keys, an id and a list of names and values")
    if sum(map(len, words)) > MAX_COMMAND_BYTES:
        raise ValueError(f"more than {MAX_COMMAND_BYTES} bytes of words")
    # One check of all keys, as a thousand would block the event loop. No character extends over the slash.
    if b"" in keys:
        check_key(b"")
    check_key(b"/".join(keys))
    fields, timeout = read_fields(request, info)
    return MultiGetCommand(keys, request, info, fields, timeout)
