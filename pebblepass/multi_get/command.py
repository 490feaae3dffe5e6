"""The command `KV.MGET COUNT KEY... ID INFO`, checked whole before anything of it is taken."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from pebblepass.wire.resp import MANY, MAX_KEYS, Command, check_key, read_fields

MAX_WORDS = 64 << 10  # bytes of all words together
OTHERS = 4  # words beside the keys: the name, the count, the id, the list


@dataclass(slots=True)
class MultiGetCommand:
    """A read of many keys as it came."""

    keys: list[bytes]
    """In the order asked; a key may stand more than once."""
    id: bytes
    info: bytes
    fields: Mapping[str, str]
    timeout_ms: int

    def read(self, number: int, key: bytes) -> Command:
        """The read of one key, under an id of its own; its list is the command's."""
        name = b"%b.%d" % (self.id, number)
        return Command(b"KV.GET", key, name, self.info, None, self.fields, self.timeout_ms)

    def key_size(self, key: bytes) -> int:
        """The bytes of the words of one key's read, as it would be by itself."""
        return len(key) + len(self.id) + len(self.info)


def parse_many(words: list[bytes]) -> MultiGetCommand:
    """Take a read of many keys apart; raises ValueError in one plain line."""
    if len(words) < OTHERS:
        raise ValueError(f"wrong number of arguments for {MANY.decode()}")
    told, keys, request, info = words[1], words[2:-2], words[-2], words[-1]
    if not told.isdigit() or len(told) > 9:
        raise ValueError("the count must be a number")
    count = int(told)
    if not 1 <= count <= MAX_KEYS:
        raise ValueError(f"the count must lie between 1 and {MAX_KEYS}")
    if count != len(keys):
        raise ValueError(f"expected {count} keys, an id and a list of names and values")
    if sum(map(len, words)) > MAX_WORDS:
        raise ValueError(f"more than {MAX_WORDS} bytes of words")
    # All at once: a thousand by themselves would hold up the loop. No character reaches over the slash.
    if b"" in keys:
        check_key(b"")
    check_key(b"/".join(keys))
    fields, timeout = read_fields(request, info)
    return MultiGetCommand(keys, request, info, fields, timeout)
