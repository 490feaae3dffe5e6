"""One key of a command: where its answer is delivered, and its attempt."""

from __future__ import annotations

from pebblepass.daemon.attempts import Attempt, Carrier
from pebblepass.daemon.multi_get.interfaces import KeyOwner
from pebblepass.daemon.upstream import ValueSource
from pebblepass.multi_get import KeyState


class KeyReply:
    """The reply of one key: it has a client reply's interface, and passes the answer to the command."""

    __slots__ = ("_held", "_number", "_read", "request", "source")

    def __init__(self, read: KeyOwner, number: int) -> None:
        self._read, self._number = read, number
        self._held: list[bytes] = []
        self.source: ValueSource | None = None
        self.request: object = None

    @property
    def unread_ns(self) -> int:
        """Always 0: the command's deadline already accounts for the time unread."""
        return 0

    def send(self, data: bytes) -> None:
        """Deliver the key's entry, or the last chunk of its streamed value."""
        read = self._read
        if self.source is None:
            read.ended(self._number, data)
        else:
            self.write(data)
            self.source = None
            read.stream_ended(self._number)

    def start(self, data: bytes, source: ValueSource) -> None:
        """Begin a streamed value, paused until the entries ahead of it are written."""
        self.source = source
        self._read.assembly.start_stream(self._number)
        self.write(data)
        source.pause()
        self._read.stream_started(self._number, self)

    def write(self, data: bytes) -> bool:
        """Write a chunk of a streamed value, or buffer it; return whether it was written."""
        if self._read.assembly.is_streaming(self._number):
            self._read.reply.write(data)
            return True
        self._held.append(data)
        self._read.assembly.stream_bytes_buffered(len(data))
        return False

    def write_buffered(self) -> None:
        """Write what is buffered: the entries ahead have been written."""
        for data in self._held:
            self._read.assembly.stream_bytes_released(len(data))
            self._read.reply.write(data)
        self._held.clear()
        if self.source is not None and not self._read.paused:
            self.source.resume()

    def abort(self) -> None:
        """Discard what is buffered: the streamed value ended too early."""
        self.source = None
        for data in self._held:
            self._read.assembly.stream_bytes_released(len(data))
        self._held.clear()
        self._read.stream_broke(self._number)

    def free_command(self) -> None:
        """Do nothing: no memory is reserved for a single key's words."""

    def client_is_alive(self) -> bool:
        """Return whether the command's client is still connected."""
        return self._read.reply.client_is_alive()

    def detach_request(self) -> None:
        """End this key: the client has disconnected. Its connection closes the rest of the command."""
        read = self._read
        read.abandoned.add(self._number)
        if read.assembly.state(self._number) is KeyState.REQUESTED:
            read.ended(self._number, b"")

    @property
    def null(self) -> bytes:
        """The null in its client's protocol."""
        return self._read.reply.null


class KeyAttempt:
    """The minimal state of a key that is in flight: enough for a hit. Any other outcome creates an attempt.

    Nearly all keys are hits of healthy servers; a request and an attempt for each would cost as much as a
    single read.
    """

    __slots__ = ("attempt", "batch", "number", "read", "request_id", "server")

    def __init__(self, read: KeyOwner, number: int, request_id: str, attempt: Attempt | None = None) -> None:
        self.read, self.number, self.request_id = read, number, request_id
        self.server = ""
        """The server that the decision module has chosen; empty: not chosen yet, or the request is open."""
        self.batch: Carrier | None = None
        self.attempt = attempt

    @property
    def is_wanted(self) -> bool:
        """Whether its request has no final answer yet."""
        return self.attempt is None or self.attempt.is_wanted

    @property
    def streaming(self) -> bool:
        """Whether a long value of it is under way."""
        return self.attempt is not None and self.attempt.streaming

    def begin(self, batch: Carrier) -> None:
        """Mark the key as sent in this batch."""
        self.batch = batch
        if self.attempt is not None:
            self.attempt.begin(batch)

    def ensure_attempt(self) -> Attempt:
        """Return the key's attempt, and create it, with its request, if there is none yet."""
        if self.attempt is None:
            self.read.open_key(self.request_id)
        assert self.attempt is not None
        return self.attempt
