"""The frames of which a durable file consists. No I/O.

The first frame of a file is its header, which names the format, its version and the owner. A frame consists
of the content's size, the checksum (CRC-32C) of size and content, and the content. Size and checksum have
four bytes each, little-endian. Each frame is synced before the next is written, so that a power loss can tear
only the last one.

A last frame that extends past the end of the file, or in which whole sectors are zeros, is torn. It is cut
off: it was never synced, so nothing relies on it. Any other frame that does not match its checksum is
damaged. Then the file is rejected, because the lost content may have been relied on.
"""

from __future__ import annotations

import struct

import msgspec
from crc32c import crc32c

MAX_FRAME_BYTES = 16 << 20  # a frame with a larger size is taken for damaged
SECTOR_BYTES = 512  # the unit that a disk writes atomically
_PREFIX = struct.Struct("<II")
_SIZE = struct.Struct("<I")


class StorageError(ValueError):
    """The content of a file is invalid. The text is one line."""


class FileHeader(msgspec.Struct, frozen=True):
    """The content of the first frame."""

    format: str
    version: int
    owner: str
    """The owner of the file, for example a fleet and a router."""


class Frames(msgspec.Struct, frozen=True):
    """The complete frames of a file."""

    contents: list[bytes]
    size: int
    """The size of the complete frames, in bytes. Any data after them is torn, and is to be truncated."""


def encode_frame(content: bytes) -> bytes:
    """Return the encoded frame; raises StorageError if the content is too long."""
    if len(content) > MAX_FRAME_BYTES:
        raise StorageError(f"a frame of {len(content)} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    size = _SIZE.pack(len(content))
    return size + _SIZE.pack(crc32c(content, crc32c(size))) + content


def encode_header(header: FileHeader) -> bytes:
    """Return the encoded frame of a file's header."""
    return encode_frame(msgspec.json.encode(header))


def read_frames(data: bytes) -> Frames:
    """Return all complete frames; raises StorageError if the file is damaged before its end."""
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
    """Check a file's header; raises StorageError if it is not the expected one."""
    try:
        header = msgspec.json.decode(content, type=FileHeader)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise StorageError("the file header is invalid") from None
    if header.format != expected.format:
        raise StorageError(f"the file has another format: {header.format}")
    if header.version != expected.version:
        raise StorageError(f"the file has version {header.version}, this program writes {expected.version}")
    if header.owner != expected.owner:
        raise StorageError(f"the file belongs to {header.owner}, not {expected.owner}")


def _complete_frame(data: bytes, offset: int) -> bytes | None:
    """Return the content of the frame at an offset; None: it is incomplete, or its checksum differs."""
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
    """Whether the frame at an offset can be one that was being written at a power loss."""
    later_offsets = range(offset + 1, len(data) - _PREFIX.size)
    if any(_complete_frame(data, later) is not None for later in later_offsets):
        return False  # this frame was synced before the later one was written
    start = offset + _PREFIX.size
    if start > len(data) or start + _SIZE.unpack_from(data, offset)[0] > len(data):
        return True
    return _has_lost_sector(data, offset)


def _has_lost_sector(data: bytes, offset: int) -> bool:
    """Whether a sector, or the frame's part of one, contains only zeros."""
    while offset < len(data):
        end = min((offset // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data))
        if not any(data[offset:end]):
            return True
        offset = end
    return False
