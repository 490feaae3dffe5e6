"""Replies to the commands of one connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.close_reasons import CloseReason
from pebblepass.daemon.exchange import ValueSource
from pebblepass.daemon.memory_account import ANSWER_BYTES, MemoryAccount

if TYPE_CHECKING:
    from pebblepass.daemon.session_commands import ClientSession


class ReplyConnection(Protocol):
    """The interface of a client's connection that its replies use."""

    replies: deque[Reply]
    blocked: bool
    closed: bool
    unread_ns: int
    session: ClientSession | None

    @property
    def memory(self) -> MemoryAccount:
        """The account of memory."""

    def write(self, data: bytes) -> None:
        """Write to the client."""

    def flush(self) -> None:
        """Start the next reply."""

    def client_state(self) -> ClientState:
        """Return whether the client is connected."""

    def abort(self, reason: CloseReason) -> None:
        """Abort the connection."""


class Reply:
    """The reply to one command; replies are written in the order of the commands on the connection."""

    __slots__ = (
        "_buffered", "_connection", "answer_bytes", "command_bytes", "done", "request", "source",
    )  # fmt: skip

    def __init__(self, connection: ReplyConnection) -> None:
        self._connection = connection
        self._buffered: list[bytes] = []
        self.answer_bytes = 0
        """Bytes of memory reserved for an answer that is not known yet."""
        self.command_bytes = 0
        """Bytes of memory that are counted for its command."""
        self.done = False
        self.source: ValueSource | None = None
        self.request: Any = None  # set and read by the host

    def reserve_answer(self) -> None:
        """Reserve memory for the answer of a command behind others."""
        self.answer_bytes = ANSWER_BYTES
        self._connection.memory.replies.take(ANSWER_BYTES)

    def count_command(self, size: int) -> None:
        """Count the bytes of its command until `free_command`."""
        self.command_bytes = size
        self._connection.memory.commands.take(size)

    def send(self, data: bytes) -> None:
        """Write the complete reply, or its last part."""
        self.write(data)
        self.done, self.source = True, None
        if self.answer_bytes:
            self._release_answer()
        self._connection.flush()

    def start(self, data: bytes, source: ValueSource) -> None:
        """Begin a streamed reply; the source is paused while the client does not read."""
        self.source = source
        if not self.write(data) or self._connection.blocked:
            source.pause()

    def write(self, data: bytes) -> bool:
        """Write a part; returns False if it is buffered until the client has read the replies ahead."""
        connection = self._connection
        if connection.closed:
            return True
        if connection.blocked or connection.replies[0] is not self:
            self._buffer(data)
            return False
        connection.write(data)
        return True

    def _buffer(self, data: bytes) -> None:
        self._buffered.append(data)
        reserved = min(self.answer_bytes, len(data))
        self.answer_bytes -= reserved
        self._connection.memory.replies.take(len(data) - reserved)

    def _release_answer(self) -> None:
        self._connection.memory.replies.take(-self.answer_bytes)
        self.answer_bytes = 0

    @property
    def is_written(self) -> bool:
        """Whether it is complete, and no part of it is buffered here."""
        return self.done and not self._buffered

    def discard(self) -> None:
        """Release the memory of the answer: the client has disconnected."""
        self._release_answer()
        self._connection.memory.replies.take(-sum(map(len, self._buffered)))
        self._buffered.clear()

    @property
    def is_next(self) -> bool:
        """Whether all replies ahead are written."""
        replies = self._connection.replies
        return bool(replies) and replies[0] is self

    @property
    def unread_ns(self) -> int:
        """Nanoseconds for which the command may have been unread; valid only while it is being dispatched."""
        return self._connection.unread_ns

    @property
    def null(self) -> bytes:
        """The null value in the client's protocol version."""
        session = self._connection.session
        return b"$-1\r\n" if session is None or session.protocol == 2 else b"_\r\n"

    def client_state(self) -> ClientState:
        """Return whether the client is still connected, by a recent read or else by a poll."""
        return self._connection.client_state()

    def detach_request(self) -> None:
        """Detach the request, which the host has dropped: the disconnect will not be reported for it."""
        self.request = None

    def abort(self) -> None:
        """Abort the connection, so that the client sees that a streamed reply is incomplete."""
        # Warning: the source refers to this reply. Until the garbage collector finds them, what the client
        # has sent would stay in memory.
        self.source = None
        self._connection.abort(CloseReason.INCOMPLETE_VALUE)

    def free_command(self) -> None:
        """Release the memory reserved for the command, which the host no longer needs."""
        if self.command_bytes:
            self._connection.memory.commands.take(-self.command_bytes)
            self.command_bytes = 0

    def write_buffered(self) -> None:
        """Write what is buffered, until the client has to read: the replies ahead have been written."""
        connection, written = self._connection, 0
        for data in self._buffered:
            if connection.blocked:
                break
            written += 1
            connection.memory.replies.take(-len(data))
            connection.write(data)
        del self._buffered[:written]
        if self.source is not None and not connection.blocked:
            self.source.resume()
