"""A log that lasts: records behind one another, and now and then one that stands for all before it."""

from __future__ import annotations

import errno
import struct

from pebblepass.storage.disk import Disk, replace_whole
from pebblepass.storage.frames import DurableError, Head, frame, head_frame, read_head, scan

COMPACT_BYTES = 64 << 10  # of records since the last summary: about a hundred changes


class Log:
    """One log file. Its owner says when to sync: a promise holds from the return of `write` on.

    `write` may run in another thread, one call at a time.
    """

    def __init__(self, disk: Disk, name: str, head: Head) -> None:
        self._disk, self._name, self._head = disk, name, head
        self._size = self._base = 0
        self._unsure = False
        self.cut_bytes = 0
        """Bytes of a torn tail that the last `open` has cut off."""

    def open(self) -> list[bytes] | None:
        """The records since the last summary, that one first; None: there is no log yet.

        A torn tail is cut, durably. Raises DurableError in one plain line where the log is damaged or
        another's, OSError where the disk will not.
        """
        data = self._disk.read(self._name)
        if data is None:
            return None
        try:
            frames, good = scan(data)
            if not frames:
                # The head is written whole and renamed into place: a log without one has lost it.
                raise DurableError("no head")
            read_head(frames[0], self._head)
            records = [record for each in frames[1:] for record in _records(each)]
        except DurableError as error:
            raise DurableError(f"{self._name}: {error}") from None
        self.cut_bytes = len(data) - good
        if self.cut_bytes:
            self._disk.cut(self._name, good)
            self._disk.sync(self._name)
        self._size, self._base = good, 0
        return records

    def begin(self, records: list[bytes]) -> None:
        """Make the log anew, with these records; they last on return. Raises OSError."""
        data = head_frame(self._head) + frame(_batch(records))
        replace_whole(self._disk, self._name, data)
        # Danger: a log whose name does not last may be gone after a power loss, with all that it promised.
        self._disk.sync_names()
        self._size = self._base = len(data)
        self._unsure = False

    @property
    def wants_summary(self) -> bool:
        """Whether the log has to be begun anew: so much was written since, or a write has failed."""
        return self._unsure or self._size - self._base > COMPACT_BYTES

    def write(self, records: list[bytes]) -> None:
        """Add records, all or none; they last on return. Raises OSError: then only `begin` goes on."""
        if self._unsure:
            raise OSError(errno.EIO, "not written since a write failed; it has to be begun anew")
        data = frame(_batch(records))
        try:
            self._disk.append(self._name, data)
            self._disk.sync(self._name)
        except OSError:
            # Danger: a part may stand there, and what a failed sync has lost no later sync tells of.
            self._unsure = True
            raise
        self._size += len(data)


def _batch(records: list[bytes]) -> bytes:
    return b"".join(struct.pack("<I", len(record)) + record for record in records)


def _records(batch: bytes) -> list[bytes]:
    found, at = [], 0
    while at < len(batch):
        size = struct.unpack_from("<I", batch, at)[0]
        found.append(batch[at + 4 : at + 4 + size])
        at += 4 + size
    return found
