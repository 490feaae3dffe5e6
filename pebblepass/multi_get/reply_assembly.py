"""One command's answer under way: which keys are to be asked, what each came to, and what may be written.

Keys are numbered by their first place in the list; a key that stands there more than once has one number.
Every number ends exactly once: with a value, or with a mark. Entries leave in the order asked.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from enum import Enum

LATE = b"-LATE its time ran out\r\n"
TOO_LONG = b"-BUSY\r\n"  # a second place of a value too long to keep: asking for it again is harmless


class State(Enum):
    """Where one number stands."""

    WAITING = "waiting"
    """Not asked yet."""
    ASKED = "asked"
    """Owed an answer by the decision module."""
    STREAMING = "streaming"
    """Its value is too long to be gathered, and passes by in its turn."""
    ENDED = "ended"


class Gathering:
    """The state of one command. Events in, bytes out; bytes are counted from before they are asked for."""

    def __init__(self, keys: Sequence[bytes], value_bytes: int) -> None:
        """`value_bytes` are set aside for each number that is asked, until what it came to is known."""
        self._numbers: dict[bytes, int] = {}
        self._places: list[int] = []  # the number at each place of the list
        for key in keys:
            number = self._numbers.setdefault(key, len(self._numbers))
            self._places.append(number)
        self.keys = list(self._numbers)
        """Each key once, by number."""
        self._value_bytes = value_bytes
        self._states = [State.WAITING] * len(self.keys)
        self._entries: list[bytes | None] = [None] * len(self.keys)
        self._uses = [0] * len(self.keys)  # places that are still to be written
        for number in self._places:
            self._uses[number] += 1
        self._next = 0  # the first number not yet asked
        self._at = 0  # the place to be written next
        self._passing: int | None = None  # the number whose long value is being written
        self.asked = 0
        """Numbers that are owed an answer now."""
        self.open = len(self.keys)
        """Numbers that have not ended."""
        self.held = 0
        """Bytes set aside for what is asked, and taken up by what has come and is not written."""

    def state(self, number: int) -> State:
        """Where a number stands."""
        return self._states[number]

    @property
    def head(self) -> bytes:
        """What the answer begins with."""
        return b"*%d\r\n" % len(self._places)

    @property
    def waiting(self) -> int:
        """Numbers that are not asked yet."""
        return len(self.keys) - self._next

    @property
    def written(self) -> bool:
        """Whether the whole answer has been written."""
        return self._at == len(self._places) and self._passing is None

    def unended(self) -> Iterator[int]:
        """The numbers that have not ended, in order."""
        return (number for number, state in enumerate(self._states) if state is not State.ENDED)

    def ask(self, most: int) -> list[int]:
        """Take so many numbers to be asked now, the first in the list first, and set their bytes aside."""
        first = self._next
        self._next = min(first + most, len(self.keys))
        numbers = list(range(first, self._next))
        for number in numbers:
            self._states[number] = State.ASKED
        self.asked += len(numbers)
        self.held += len(numbers) * self._value_bytes
        return numbers

    def end(self, number: int, entry: bytes) -> None:
        """A number has ended; `entry` is what stands in the answer for it, as RESP2."""
        assert self._states[number] is State.ASKED
        self._leave_asked(number)
        self._states[number] = State.ENDED
        self._entries[number] = entry
        self.open -= 1
        self.held += len(entry)

    def end_all(self, numbers: Sequence[int], entries: Sequence[bytes]) -> None:
        """`end` for many, each with its entry."""
        states, kept, held, asked, ended = self._states, self._entries, 0, State.ASKED, State.ENDED
        for number, entry in zip(numbers, entries, strict=True):
            assert states[number] is asked
            states[number] = ended
            kept[number] = entry
            held += len(entry)
        self.asked -= len(numbers)
        self.open -= len(numbers)
        self.held += held - len(numbers) * self._value_bytes

    def stream(self, number: int) -> None:
        """A number's value is too long: it is announced, and passes by when its turn comes."""
        assert self._states[number] is State.ASKED
        self._leave_asked(number)
        self._states[number] = State.STREAMING

    def hold(self, size: int) -> None:
        """Bytes of a long value came before its turn; below 0: they are written."""
        self.held += size

    def stream_broke(self, number: int, entry: bytes) -> None:
        """A long value ended before its turn came: nothing of it is written, and `entry` stands for it."""
        assert self._states[number] is State.STREAMING
        assert self._passing != number
        self._states[number] = State.ENDED
        self._entries[number] = entry
        self.open -= 1
        self.held += len(entry)

    def stream_ended(self, number: int) -> None:
        """The last byte of a long value is written."""
        assert self._states[number] is State.STREAMING
        self._states[number] = State.ENDED
        self.open -= 1
        self._uses[number] -= 1
        # Guards the memory: a value too long to be gathered can't be kept for its other places.
        self._entries[number] = TOO_LONG
        self.held += len(TOO_LONG) if self._uses[number] else 0
        self._at += 1
        self._passing = None

    def time_up(self) -> list[int]:
        """The command's time is up: what has not ended is late, but for a long value that is being written.

        Returns the numbers that are late.
        """
        late = [number for number in self.unended() if number != self._passing]
        self._next = len(self.keys)
        for number in late:
            if self._states[number] is State.ASKED:
                self._leave_asked(number)
            self._states[number] = State.ENDED
            self._entries[number] = LATE
            self.open -= 1
            self.held += len(LATE)
        return late

    def _leave_asked(self, number: int) -> None:
        self.asked -= 1
        self.held -= self._value_bytes

    def passes(self, number: int) -> bool:
        """Whether it is this long value's turn to be written."""
        return self._passing == number

    def turn(self) -> int | None:
        """The number whose long value is to be written next, if it is its turn and nothing else's."""
        if self._passing is None and self._at < len(self._places):
            number = self._places[self._at]
            if self._states[number] is State.STREAMING:
                self._passing = number
                return number
        return None

    def due(self) -> list[bytes]:
        """What may be written now, in order: each entry once for each of its places."""
        out: list[bytes] = []
        places, states, entries, uses, ended = (
            self._places, self._states, self._entries, self._uses, State.ENDED,
        )  # fmt: skip
        at, freed = self._at, 0
        while self._passing is None and at < len(places):
            number = places[at]
            entry = entries[number]
            if entry is None or states[number] is not ended:
                break
            out.append(entry)
            at += 1
            uses[number] -= 1
            if not uses[number]:
                entries[number] = None
                freed += len(entry)
        self._at, self.held = at, self.held - freed
        return out
