"""Frames: what a durable file is made of. No I/O.

A file is a head and frames. The head names the format, its version and whose it is. A frame is its size and
the checksum (CRC-32C) of size and content, both four bytes, little-endian, and the content. One frame is what
is synced at once: a power loss can tear the last one only.

A torn frame is cut: it ends behind the file's end, or whole sectors of it read as zeros, as nothing of it was
ever promised. One that is there in full and does not match its checksum is damaged, and so is whatever stands
before a whole frame: then the file is refused, since what it held may have been promised.
"""

from __future__ import annotations

import struct

import msgspec
from crc32c import crc32c

MOST_BYTES = 16 << 20  # of one frame: a size beyond it is no size
SECTOR = 512  # what a disk writes at once or not at all
_HEAD = struct.Struct("<II")


class DurableError(ValueError):
    """A file can't be used; the text is one plain line."""


class Head(msgspec.Struct, frozen=True):
    """The first frame's content: what the file is."""

    format: str
    version: int
    owner: str
    """Whose it is: a fleet and a router, say."""


def frame(content: bytes) -> bytes:
    """One frame's bytes; raises DurableError where the content is too long."""
    if len(content) > MOST_BYTES:
        raise DurableError(f"a record of {len(content)} bytes, of {MOST_BYTES} at most")
    size = struct.pack("<I", len(content))
    return size + struct.pack("<I", crc32c(content, crc32c(size))) + content


def head_frame(head: Head) -> bytes:
    """The head's bytes, with which a file begins."""
    return frame(msgspec.json.encode(head))


def scan(data: bytes) -> tuple[list[bytes], int]:
    """The contents of all frames, and the bytes that they take; what stands behind is torn, to be cut.

    Raises DurableError where something before the end is damaged.
    """
    found, at = [], 0
    while at < len(data):
        content = _whole(data, at)
        if content is None:
            if not _torn(data, at):
                raise DurableError(f"damaged at byte {at}")
            break
        found.append(content)
        at += _HEAD.size + len(content)
    return found, at


def read_head(content: bytes, expected: Head) -> None:
    """Check that a file is what is expected; raises DurableError."""
    try:
        head = msgspec.json.decode(content, type=Head)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise DurableError("no head") from None
    if head.format != expected.format:
        raise DurableError(f"of another form: {head.format}")
    if head.version != expected.version:
        raise DurableError(f"of version {head.version}, this program writes {expected.version}")
    if head.owner != expected.owner:
        raise DurableError(f"of another owner: {head.owner}, not {expected.owner}")


def _whole(data: bytes, at: int) -> bytes | None:
    if at + _HEAD.size > len(data):
        return None
    size, checksum = _HEAD.unpack_from(data, at)
    content = data[at + _HEAD.size : at + _HEAD.size + size]
    if size > MOST_BYTES or len(content) < size or crc32c(content, crc32c(data[at : at + 4])) != checksum:
        return None
    return content


def _torn(data: bytes, at: int) -> bool:
    """Whether the frame that begins here can be the one that was being written when the power went."""
    if any(_whole(data, later) is not None for later in range(at + 1, len(data) - _HEAD.size)):
        return False  # it was synced before that was written
    if at + _HEAD.size > len(data) or at + _HEAD.size + _HEAD.unpack_from(data, at)[0] > len(data):
        return True
    return _lost_sector(data, at)


def _lost_sector(data: bytes, at: int) -> bool:
    """Whether a sector, or what the frame has of one, reads as zeros."""
    while at < len(data):
        after = min((at // SECTOR + 1) * SECTOR, len(data))
        if not any(data[at:after]):
            return True
        at = after
    return False
