"""A durable log of records. From time to time a snapshot replaces all records so far.

| state | event | guard | next |
| --- | --- | --- | --- |
| open | append | the write and its sync succeed | open |
| open | append | the write or its sync fails | failed |
| failed | append | - | failed; the append is rejected |
| open, failed | write snapshot | the new file is in place, and its name is synced | open |
"""

from __future__ import annotations

import errno
import struct

from pebblepass.storage.disk import Disk, replace_file
from pebblepass.storage.frames import (
    FileHeader,
    Frames,
    StorageError,
    check_header,
    encode_frame,
    encode_header,
    read_frames,
)

COMPACTION_BYTES = 64 << 10  # records since the last snapshot; about a hundred changes
_RECORD_SIZE = struct.Struct("<I")


class Log:
    """One log file. A record is durable once `append` has returned.

    `append` may run in another thread, one call at a time.
    """

    def __init__(self, disk: Disk, name: str, header: FileHeader) -> None:
        self._disk, self._name, self._header = disk, name, header
        self._size = self._snapshot_size = 0
        self._failed = False
        self.truncated_bytes = 0
        """How many bytes of a torn tail the last `open` has cut off."""

    def open(self) -> list[bytes] | None:
        """Return the records of the last snapshot and those after it; None: there is no log yet.

        A torn tail is truncated and the file synced. Raises StorageError with a one-line text if the log is
        damaged or belongs to another owner, and OSError if the disk fails.
        """
        data = self._disk.read(self._name)
        if data is None:
            return None
        try:
            frames = read_frames(data)
            records = self._records_of(frames)
        except StorageError as error:
            raise StorageError(f"{self._name}: {error}") from None
        self.truncated_bytes = len(data) - frames.size
        if self.truncated_bytes:
            self._disk.truncate(self._name, frames.size)
            self._disk.sync(self._name)
        self._size, self._snapshot_size = frames.size, 0
        return records

    def _records_of(self, frames: Frames) -> list[bytes]:
        if not frames.contents:
            # A new log is renamed into place with its header: a log without one has lost it.
            raise StorageError("the file header is missing")
        check_header(frames.contents[0], self._header)
        return [record for batch in frames.contents[1:] for record in decode_batch(batch)]

    def write_snapshot(self, records: list[bytes]) -> None:
        """Replace the log by one with these records, which are durable on return. Raises OSError."""
        data = encode_header(self._header) + encode_frame(encode_batch(records))
        replace_file(self._disk, self._name, data)
        # Warning: until the name of the new file is durable, a power loss may bring back the old log and lose
        # all records that are appended to the new one.
        self._disk.sync_directory()
        self._size = self._snapshot_size = len(data)
        self._failed = False

    @property
    def needs_snapshot(self) -> bool:
        """Whether a snapshot is due, because of the records since the last one or a failed write."""
        return self._failed or self._size - self._snapshot_size > COMPACTION_BYTES

    def append(self, records: list[bytes]) -> None:
        """Append records atomically; they are durable on return.

        Raises OSError. After that, `append` fails until `write_snapshot` succeeds.
        """
        if self._failed:
            raise OSError(errno.EIO, "an earlier write failed; the log needs a new snapshot")
        data = encode_frame(encode_batch(records))
        try:
            self._disk.append(self._name, data)
            self._disk.sync(self._name)
        except OSError:
            # Warning: the write may be incomplete, and a later sync does not report what a failed sync lost.
            self._failed = True
            raise
        self._size += len(data)


def encode_batch(records: list[bytes]) -> bytes:
    """Return the content of one frame: the records, each with its size before it."""
    return b"".join(_RECORD_SIZE.pack(len(record)) + record for record in records)


def decode_batch(batch: bytes) -> list[bytes]:
    """Return the records of one frame."""
    records, offset = [], 0
    while offset < len(batch):
        size = _RECORD_SIZE.unpack_from(batch, offset)[0]
        start = offset + _RECORD_SIZE.size
        records.append(batch[start : start + size])
        offset = start + size
    return records
