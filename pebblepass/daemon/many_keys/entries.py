"""One key of a command: where its answer is delivered, and its attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pebblepass.daemon.upstream import ValueSource
from pebblepass.manykeys import State

if TYPE_CHECKING:
    from pebblepass.daemon.attempts import Attempt
    from pebblepass.daemon.many_keys.batches import PartExchange
    from pebblepass.daemon.many_keys.reading import ManyRead


class KeyReply:
    """Stands where a client's reply does, for one key of a command."""

    __slots__ = ("_held", "_number", "_read", "request", "source")

    def __init__(self, read: ManyRead, number: int) -> None:
        self._read, self._number = read, number
        self._held: list[bytes] = []
        self.source: ValueSource | None = None
        self.request: object = None

    @property
    def unread_ns(self) -> int:
        """Nothing: its command's deadline is the key's."""
        return 0

    def send(self, data: bytes) -> None:
        """Give the key's entry, or the end of its long value."""
        read = self._read
        if self.source is None:
            read.ended(self._number, data)
        else:
            self.write(data)
            self.source = None
            read.stream_ended(self._number)

    def start(self, data: bytes, source: ValueSource) -> None:
        """Announce a long value: it waits for its turn."""
        self.source = source
        self._read.gathering.stream(self._number)
        self.write(data)
        source.pause()
        self._read.streams[self._number] = self
        self._read.reads.schedule(self._read)

    def write(self, data: bytes) -> bool:
        """Write a part of a long value, or hold it until its turn."""
        if self._read.gathering.passes(self._number):
            self._read.reply.write(data)
            return True
        self._held.append(data)
        self._read.gathering.hold(len(data))
        return False

    def its_turn(self) -> None:
        """The entries ahead have been written."""
        for data in self._held:
            self._read.gathering.hold(-len(data))
            self._read.reply.write(data)
        self._held.clear()
        if self.source is not None and not self._read.paused:
            self.source.resume()

    def cut_off(self) -> None:
        """The long value ended too early."""
        self.source = None
        for data in self._held:
            self._read.gathering.hold(-len(data))
        self._held.clear()
        self._read.stream_broke(self._number)

    def forgotten(self) -> None:
        """Nothing is set aside for a single key's words."""

    def awaited(self) -> bool:
        """Whether its command's client is there."""
        return self._read.reply.awaited()

    def abandoned(self) -> None:
        """Its client has gone: the rest of the command goes with its connection."""
        read = self._read
        read.let_go.add(self._number)
        if read.gathering.state(self._number) is State.ASKED:
            read.ended(self._number, b"")

    @property
    def null(self) -> bytes:
        """The null in its client's protocol."""
        return self._read.reply.null


class KeyAttempt:
    """A key on its way: what a hit needs, and no more. An attempt is made for whatever else becomes of it.

    Nearly all keys are hits of sound servers; a request and an attempt for each would cost as much as a read.
    """

    __slots__ = ("attempt", "number", "part", "read", "request_id", "server")

    def __init__(self, read: ManyRead, number: int, request_id: str, attempt: Attempt | None = None) -> None:
        self.read, self.number, self.request_id = read, number, request_id
        self.server = ""
        """Where the module wants it to be sent; empty: it has not said, or its request is open."""
        self.part: PartExchange | None = None
        self.attempt = attempt

    @property
    def wanted(self) -> bool:
        """Whether its request has no final answer yet."""
        return self.attempt is None or self.attempt.wanted

    @property
    def streaming(self) -> bool:
        """Whether a long value of it is under way."""
        return self.attempt is not None and self.attempt.streaming

    def begin(self, part: PartExchange) -> None:
        """It leaves now, in this part."""
        self.part = part
        if self.attempt is not None:
            self.attempt.begin(part)

    def made(self) -> Attempt:
        """Its attempt, made if need be: from here on it is one like any other."""
        if self.attempt is None:
            self.read.reads.open(self)
        assert self.attempt is not None
        return self.attempt
