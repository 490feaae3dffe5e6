"""The reply of one key of a command."""

from __future__ import annotations

from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.exchange import ValueSource
from pebblepass.daemon.multi_get.interfaces import KeyOwner
from pebblepass.multi_get import KeyState


class KeyReply:
    """The reply of one key: has the interface of a client's reply, and passes the answer to the command."""

    __slots__ = ("_buffered", "_multi_get", "_number", "request", "source")

    def __init__(self, multi_get: KeyOwner, number: int) -> None:
        self._multi_get, self._number = multi_get, number
        self._buffered: list[bytes] = []
        self.source: ValueSource | None = None
        self.request: object = None

    @property
    def unread_ns(self) -> int:
        """Always 0, as the command's deadline accounts for the time unread."""
        return 0

    def send(self, data: bytes) -> None:
        """Pass on the key's entry, or the last part of its streamed value."""
        multi_get = self._multi_get
        if self.source is None:
            multi_get.complete_key(self._number, data)
        else:
            self.write(data)
            self.source = None
            multi_get.complete_stream(self._number)

    def start_value(self, length: int, source: ValueSource, hold_s: float) -> None:
        """Begin a streamed value, paused until the entries ahead of it are written; it is not held."""
        self.source = source
        self._multi_get.assembly.start_stream(self._number)
        self.write(b"$%d\r\n" % length)
        source.pause()
        self._multi_get.start_stream(self._number, self)

    def write(self, data: bytes) -> bool:
        """Write a part of a streamed value, or buffer it; return whether it was written."""
        if self._multi_get.assembly.is_streaming(self._number):
            self._multi_get.reply.write(data)
            return True
        self._buffered.append(data)
        self._multi_get.assembly.stream_bytes_buffered(len(data))
        return False

    def write_buffered(self) -> None:
        """Write what is buffered: the entries ahead have been written."""
        for data in self._buffered:
            self._multi_get.assembly.stream_bytes_released(len(data))
            self._multi_get.reply.write(data)
        self._buffered.clear()
        if self.source is not None and not self._multi_get.is_paused:
            self.source.resume()

    def abort(self) -> None:
        """Discard what is buffered: the streamed value was cut off before it was complete."""
        self.source = None
        for data in self._buffered:
            self._multi_get.assembly.stream_bytes_released(len(data))
        self._buffered.clear()
        self._multi_get.fail_stream(self._number)

    def free_command(self) -> None:
        """Do nothing: no memory is reserved for a single key."""

    def client_state(self) -> ClientState:
        """Return whether the command's client is still connected."""
        return self._multi_get.reply.client_state()

    def detach_request(self) -> None:
        """End this key, whose client has disconnected; its connection closes the rest of the command."""
        multi_get = self._multi_get
        multi_get.abandoned.add(self._number)
        if multi_get.assembly.state(self._number) is KeyState.REQUESTED:
            multi_get.complete_key(self._number, b"")

    @property
    def null(self) -> bytes:
        """The null value in the client's protocol version."""
        return self._multi_get.reply.null
