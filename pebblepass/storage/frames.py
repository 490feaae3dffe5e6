"""Frames, of which a durable file consists. No I/O.

A file is a header and frames. The header names the format, its version and the owner. A frame is its size and
the checksum (CRC-32C) of size and content, both four bytes, little-endian, and the content. One frame is what
is synced at once: a power loss can tear the last one only.

A torn frame is cut off: it ends behind the file's end, or whole sectors of it read as zeros, as nothing of it
was ever promised. One that is complete and does not match its checksum is damaged, and so is whatever stands
before a complete frame: then the file is refused, since what it held may have been promised.
"""

from __future__ import annotations

import struct

import msgspec
from crc32c import crc32c

MAX_FRAME_BYTES = 16 << 20  # a larger size is taken for damage
SECTOR_BYTES = 512  # what a disk writes at once or not at all
_PREFIX = struct.Struct("<II")
_SIZE = struct.Struct("<I")


class StorageError(ValueError):
    """A file can't be used: its content is at fault, not the disk. The message is one line."""


class FileHeader(msgspec.Struct, frozen=True):
    """The content of the first frame."""

    format: str
    version: int
    owner: str
    """Whose the file is: a fleet and a router, for example."""


class Frames(msgspec.Struct, frozen=True):
    """The complete frames of a file."""

    contents: list[bytes]
    size: int
    """The bytes that they take; what stands behind is torn, to be truncated."""


def encode_frame(content: bytes) -> bytes:
    """Return one frame's bytes; raises StorageError where the content is too long."""
    if len(content) > MAX_FRAME_BYTES:
        raise StorageError(f"a record of {len(content)} bytes, of {MAX_FRAME_BYTES} at most")
    size = _SIZE.pack(len(content))
    return size + _SIZE.pack(crc32c(content, crc32c(size))) + content


def encode_header(header: FileHeader) -> bytes:
    """Return the bytes with which a file begins."""
    return encode_frame(msgspec.json.encode(header))


def read_frames(data: bytes) -> Frames:
    """Return all complete frames; raises StorageError where something before the end is damaged."""
    contents, offset = [], 0
    while offset < len(data):
        content = _complete_frame(data, offset)
        if content is None:
            if not _is_torn(data, offset):
                raise StorageError(f"damaged at byte {offset}")
            break
        contents.append(content)
        offset += _PREFIX.size + len(content)
    return Frames(contents, offset)


def check_header(content: bytes, expected: FileHeader) -> None:
    """Check that a file is the expected one; raises StorageError."""
    try:
        header = msgspec.json.decode(content, type=FileHeader)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise StorageError("no head") from None
    if header.format != expected.format:
        raise StorageError(f"of another form: {header.format}")
    if header.version != expected.version:
        raise StorageError(f"of version {header.version}, this program writes {expected.version}")
    if header.owner != expected.owner:
        raise StorageError(f"of another owner: {header.owner}, not {expected.owner}")


def _complete_frame(data: bytes, offset: int) -> bytes | None:
    """Return the content of the frame at an offset; None: it is not complete, or its checksum differs."""
    start = offset + _PREFIX.size
    if start > len(data):
        return None
    size, checksum = _PREFIX.unpack_from(data, offset)
    content = data[start : start + size]
    if size > MAX_FRAME_BYTES or len(content) < size:
        return None
    size_bytes = data[offset : offset + _SIZE.size]
    return content if crc32c(content, crc32c(size_bytes)) == checksum else None


def _is_torn(data: bytes, offset: int) -> bool:
    """Whether the frame that begins here can be the one that was being written at a power loss."""
    later_offsets = range(offset + 1, len(data) - _PREFIX.size)
    if any(_complete_frame(data, later) is not None for later in later_offsets):
        return False  # it was synced before that was written
    start = offset + _PREFIX.size
    if start > len(data) or start + _SIZE.unpack_from(data, offset)[0] > len(data):
        return True
    return _has_lost_sector(data, offset)


def _has_lost_sector(data: bytes, offset: int) -> bool:
    """Whether a sector, or what the frame has of one, reads as zeros."""
    while offset < len(data):
        end = min((offset // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data))
        if not any(data[offset:end]):
            return True
        offset = end
    return False
