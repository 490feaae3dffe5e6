"""Ordered assembly of one command's reply: which keys are requested next, and what may be written.

Keys are numbered by their first position in the command; a key at several positions has one number. Each
number completes exactly once, with a value or an error entry. Entries are written in the command's order.

A number's states:

| state         | event             | guard                 | next      | effect                           |
| ------------- | ----------------- | --------------------- | --------- | -------------------------------- |
| PENDING       | `take_pending`    |                       | REQUESTED | memory for a value is reserved   |
| REQUESTED     | `complete`        |                       | COMPLETED | its entry replaces that memory   |
| REQUESTED     | `start_stream`    |                       | STREAMING | that memory is released          |
| STREAMING     | `complete_stream` | it is being written   | COMPLETED | the next position may be written |
| STREAMING     | `fail_stream`     | not being written yet | COMPLETED | its error entry is buffered      |
| not COMPLETED | `expire`          | not being written yet | COMPLETED | a LATE entry is buffered         |
| COMPLETED     | `take_writable`   | all ahead are written | COMPLETED | freed after its last position    |
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from enum import Enum

LATE = b"-LATE its time ran out\r\n"
STREAMED_ONCE = b"-BUSY\r\n"  # at later positions of a streamed value; the client may safely retry the key

NO_LIMIT = 1 << 62


class KeyState(Enum):
    """The state of one number."""

    PENDING = "pending"
    """Not requested yet."""
    REQUESTED = "requested"
    """In flight: its outcome is not known yet."""
    STREAMING = "streaming"
    """Its value is too long to be buffered, and is streamed when its position is reached."""
    COMPLETED = "completed"


class ReplyAssembly:
    """The state of one command's reply. Its memory, in bytes, is reserved before a key is requested."""

    def __init__(self, keys: Sequence[bytes], value_bytes: int) -> None:
        """`value_bytes`: memory reserved for each number in flight, until its outcome is known."""
        self._numbers: dict[bytes, int] = {}
        self._number_at: list[int] = []  # by position in the command
        for key in keys:
            number = self._numbers.setdefault(key, len(self._numbers))
            self._number_at.append(number)
        self.keys = list(self._numbers)
        """The distinct keys, by number."""
        self._value_bytes = value_bytes
        self._states = [KeyState.PENDING] * len(self.keys)
        self._entries: list[bytes | None] = [None] * len(self.keys)
        self._unwritten_uses = [0] * len(self.keys)  # positions of each number that are not written yet
        for number in self._number_at:
            self._unwritten_uses[number] += 1
        self._next_pending = 0  # the first number not requested yet
        self._position = 0  # to be written next
        self._streaming: int | None = None  # the number whose streamed value is being written
        self.in_flight = 0
        """The number of keys that are requested and have no outcome yet."""
        self.incomplete = len(self.keys)
        """The number of keys that are not completed."""
        self.memory = 0
        """Bytes reserved for keys in flight, and buffered for what is not written yet."""

    def state(self, number: int) -> KeyState:
        """Return the state of a number."""
        return self._states[number]

    @property
    def head(self) -> bytes:
        """The RESP2 array header that the reply begins with."""
        return b"*%d\r\n" % len(self._number_at)

    @property
    def pending(self) -> int:
        """The number of keys that are not requested yet."""
        return len(self.keys) - self._next_pending

    @property
    def is_written(self) -> bool:
        """Whether the complete reply has been written."""
        return self._position == len(self._number_at) and self._streaming is None

    def incomplete_numbers(self) -> Iterator[int]:
        """Iterate over the numbers that are not completed, in order."""
        return (number for number, state in enumerate(self._states) if state is not KeyState.COMPLETED)

    def take_pending(self, count: int) -> list[int]:
        """Return up to `count` numbers to be requested now, in order, and reserve their memory."""
        first = self._next_pending
        self._next_pending = min(first + count, len(self.keys))
        numbers = list(range(first, self._next_pending))
        for number in numbers:
            self._states[number] = KeyState.REQUESTED
        self.in_flight += len(numbers)
        self.memory += len(numbers) * self._value_bytes
        return numbers

    def complete(self, number: int, entry: bytes) -> None:
        """Complete a number in flight; `entry` stands for it in the reply, in RESP2."""
        assert self._states[number] is KeyState.REQUESTED
        self._release_reserved(number)
        self._buffer_entry(number, entry)

    def complete_all(self, numbers: Sequence[int], entries: Sequence[bytes]) -> None:
        """Complete several numbers in flight, each with its entry."""
        states, buffered, size = self._states, self._entries, 0
        requested, completed = KeyState.REQUESTED, KeyState.COMPLETED
        for number, entry in zip(numbers, entries, strict=True):
            assert states[number] is requested
            states[number] = completed
            buffered[number] = entry
            size += len(entry)
        self.in_flight -= len(numbers)
        self.incomplete -= len(numbers)
        self.memory += size - len(numbers) * self._value_bytes

    def start_stream(self, number: int) -> None:
        """Record that a number's value is too long to be buffered, and will be streamed at its position."""
        assert self._states[number] is KeyState.REQUESTED
        self._release_reserved(number)
        self._states[number] = KeyState.STREAMING

    def stream_bytes_buffered(self, size: int) -> None:
        """Count bytes of a streamed value that are buffered before its position is reached."""
        self.memory += size

    def stream_bytes_released(self, size: int) -> None:
        """Subtract bytes of a streamed value that are written or discarded."""
        self.memory -= size

    def fail_stream(self, number: int, entry: bytes) -> None:
        """Complete a streamed value that failed before any of it was written; `entry` replaces it."""
        assert self._states[number] is KeyState.STREAMING
        assert self._streaming != number
        self._buffer_entry(number, entry)

    def complete_stream(self, number: int) -> None:
        """Complete a streamed value whose last byte is written."""
        assert self._states[number] is KeyState.STREAMING
        self._states[number] = KeyState.COMPLETED
        self.incomplete -= 1
        self._unwritten_uses[number] -= 1
        # Bounds the memory: a value too long to be buffered cannot be kept for its later positions.
        self._entries[number] = STREAMED_ONCE
        self.memory += len(STREAMED_ONCE) if self._unwritten_uses[number] else 0
        self._position += 1
        self._streaming = None

    def expire(self) -> list[int]:
        """Complete all incomplete numbers as late at the deadline, except a streamed value being written.

        Return the late numbers.
        """
        late = [number for number in self.incomplete_numbers() if number != self._streaming]
        self._next_pending = len(self.keys)
        for number in late:
            if self._states[number] is KeyState.REQUESTED:
                self._release_reserved(number)
            self._buffer_entry(number, LATE)
        return late

    def _release_reserved(self, number: int) -> None:
        self.in_flight -= 1
        self.memory -= self._value_bytes

    def _buffer_entry(self, number: int, entry: bytes) -> None:
        self._states[number] = KeyState.COMPLETED
        self._entries[number] = entry
        self.incomplete -= 1
        self.memory += len(entry)

    def is_streaming(self, number: int) -> bool:
        """Return whether this number's streamed value is being written."""
        return self._streaming == number

    def start_next_stream(self) -> int | None:
        """Return the number of a streamed value that is to be written next, if its position is reached."""
        if self._streaming is None and self._position < len(self._number_at):
            number = self._number_at[self._position]
            if self._states[number] is KeyState.STREAMING:
                self._streaming = number
                return number
        return None

    def take_writable(self, max_bytes: int = NO_LIMIT) -> list[bytes]:
        """Return the entries that may be written now, in order: each once for each of its positions.

        They end with the entry that reaches `max_bytes`: a key may stand at a thousand positions.
        """
        writable: list[bytes] = []
        number_at, states, entries, unwritten_uses, completed = (
            self._number_at, self._states, self._entries, self._unwritten_uses, KeyState.COMPLETED,
        )  # fmt: skip
        position, released, size = self._position, 0, 0
        while self._streaming is None and size < max_bytes and position < len(number_at):
            number = number_at[position]
            entry = entries[number]
            if entry is None or states[number] is not completed:
                break
            writable.append(entry)
            size += len(entry)
            position += 1
            unwritten_uses[number] -= 1
            if not unwritten_uses[number]:
                entries[number] = None
                released += len(entry)
        self._position, self.memory = position, self.memory - released
        return writable
