"""Replies to the commands of one connection.

A reply with a long value, once the replies ahead are written:

| state | when | if its server breaks it off |
| --- | --- | --- |
| held | commands are behind it, and there is memory for all of it | it fails, the others are answered |
| passed on | no command is behind it, or it can't be held (any longer) | the connection is aborted |

Nothing more is read from the client while an incomplete value is passed on: only the end of the connection
tells the client that the value is incomplete, and no answer may be lost with it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.close_reasons import CloseReason
from pebblepass.daemon.exchange import ValueSource
from pebblepass.daemon.long_value import LongValue
from pebblepass.daemon.memory_account import ANSWER_BYTES, MemoryAccount

if TYPE_CHECKING:
    from pebblepass.daemon.session_commands import ClientSession

FAILED = b"-ERR failed\r\n"
LINE_END_BYTES = 2


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

    @property
    def has_waiting_commands(self) -> bool:
        """Whether commands that were read wait for their turn."""

    def value_begun(self) -> None:
        """Handle that an incomplete long value is being passed on."""

    def value_ended(self) -> None:
        """Handle that the long value that was being passed on is complete."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back after a delay."""

    def abort(self, reason: CloseReason) -> None:
        """Abort the connection."""


class Reply:
    """The reply to one command; replies are written in the order of the commands on the connection."""

    __slots__ = (
        "_buffered", "_connection", "_value", "answer_bytes", "command_bytes", "done", "request", "source",
    )  # fmt: skip

    def __init__(self, connection: ReplyConnection) -> None:
        self._connection = connection
        self._buffered: list[bytes] = []
        self._value: LongValue | None = None
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
        if self._value is not None:
            self._complete_value(self._value)
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
        is_held = self._value is not None and self._value.is_held
        if connection.blocked or connection.replies[0] is not self or is_held:
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

    # A long value

    def start_value(self, length: int, source: ValueSource, hold_s: float) -> None:
        """Begin a reply with a value of `length` bytes, which may be held for `hold_s` seconds.

        Its source is paused until the replies ahead are written, and while the client does not read.
        """
        header = b"$%d\r\n" % length
        self.source = source
        self._value = LongValue(len(header) + length + LINE_END_BYTES, hold_s)
        self._buffer(header)
        if self.is_next and not self._connection.blocked:
            self._hold_or_begin(self._value)
        if not self.is_next or self._connection.blocked:
            source.pause()

    @property
    def is_passing_on(self) -> bool:
        """Whether a part of a long value is written, and it is incomplete."""
        return self._value is not None and self._value.is_begun

    def _hold_or_begin(self, value: LongValue) -> None:
        """Hold the value, or begin to pass it on: all replies ahead are written."""
        if value.is_held:
            return
        if self._may_hold(value):
            self._reserve(value.size - sum(map(len, self._buffered)))
            value.hold(self._connection.call_later(value.hold_s, self._hold_expired))
        else:
            self._begin_value(value)

    def _may_hold(self, value: LongValue) -> bool:
        connection = self._connection
        is_last = connection.replies[-1] is self and not connection.has_waiting_commands
        return not is_last and value.hold_s > 0 and value.size <= connection.memory.free_for_optional_use

    def _reserve(self, size: int) -> None:
        """Reserve memory for what is missing of the reply."""
        self._connection.memory.replies.take(size - self.answer_bytes)
        self.answer_bytes = size

    def _hold_expired(self) -> None:
        value = self._value
        if value is None or self._connection.closed:
            return
        value.release()
        if not self._connection.blocked:  # else it begins once the client has read the replies ahead
            self._begin_value(value)

    def _begin_value(self, value: LongValue) -> None:
        value.is_begun = True
        self._release_answer()
        self._connection.value_begun()
        self._write_parts()

    def _complete_value(self, value: LongValue) -> None:
        """Write what is held: only the last part is missing."""
        value.release()
        self._value = self.source = None
        if value.is_begun:
            self._connection.value_ended()
        elif self.is_next and not self._connection.closed:
            self.write_buffered()

    def discard(self) -> None:
        """Release the memory of the answer: the client has disconnected."""
        if self._value is not None:
            self._value.release()
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
        """Fail an incomplete streamed reply; if it is begun, by the end of the connection."""
        # Warning: the source refers to this reply. Until the garbage collector finds them, what the client
        # has sent would stay in memory.
        self.source = None
        value, connection = self._value, self._connection
        if value is None or value.is_begun or connection.closed:
            connection.abort(CloseReason.INCOMPLETE_VALUE)
            return
        self.discard()
        self._value = None
        self.send(FAILED)

    def free_command(self) -> None:
        """Release the memory reserved for the command, which the host no longer needs."""
        if self.command_bytes:
            self._connection.memory.commands.take(-self.command_bytes)
            self.command_bytes = 0

    def write_buffered(self) -> None:
        """Write what is buffered, until the client has to read: the replies ahead have been written."""
        connection, value = self._connection, self._value
        if value is None or value.is_begun:
            self._write_parts()
        elif not connection.blocked:
            self._hold_or_begin(value)
        if self.source is not None and not connection.blocked:
            self.source.resume()

    def _write_parts(self) -> None:
        connection, written = self._connection, 0
        for data in self._buffered:
            if connection.blocked:
                break
            written += 1
            connection.memory.replies.take(-len(data))
            connection.write(data)
        del self._buffered[:written]
