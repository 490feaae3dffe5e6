"""One multi-get command in progress: its reply, its deadline and its keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.exchange import Exchange
from pebblepass.daemon.lag import after_poll
from pebblepass.daemon.multi_get.interfaces import CommandRegistry, StreamedReply
from pebblepass.daemon.multi_get.key_attempt import KeyAttempt
from pebblepass.daemon.reply import Reply
from pebblepass.multi_get import KeyState, MultiGetCommand, ReplyAssembly
from pebblepass.wire.resp import with_timeout

if TYPE_CHECKING:
    from pebblepass.daemon.deadlines import Deadline

NS_PER_MS = 1_000_000
WRITE_BYTES = 64 << 10
"""Written at once, before the client has to read."""


class MultiGet:
    """One command in progress; as the source of its reply it is paused while the client does not read."""

    def __init__(
        self, registry: CommandRegistry[MultiGet], command: MultiGetCommand, reply: Reply, now: int
    ) -> None:
        self.registry, self.command, self.reply = registry, command, reply
        self.name = command.id.decode()
        self.assembly = ReplyAssembly(command.keys, registry.allocator.bounds.value_bytes)
        self.deadline = now - reply.unread_ns + command.timeout_ms * NS_PER_MS
        self.is_paused = False
        self.is_over = False
        """Whether the client has disconnected, or the reply is written."""
        self.streams: dict[int, StreamedReply] = {}
        self.exchanges: dict[Exchange, None] = {}
        self._advertised_ms, self._info = -1, b""
        self.unopened: dict[str, KeyAttempt] = {}
        """Keys that the decision module has received and that have no open request yet, by request id."""
        self.abandoned: set[int] = set()
        """Numbers of keys that were closed one by one when an attempt found the client disconnected."""
        self.quarantined: set[int] = set()
        """Numbers of keys that are sent alone, as they have blocked or failed a batch."""
        due = max(self.deadline - registry.deadline_margin, now)
        self.timer: Deadline = registry.host.call_at(due, lambda: after_poll(registry.loop, self.expire))

    def info_to_send(self, now: int) -> bytes:
        """Return the encoded fields for a batch that is written at the time `now`, in nanoseconds.

        Batches written within the same millisecond share one encoding.
        """
        remaining_ms = deadline_propagation.remaining_ms(self.deadline, now, self.command.timeout_ms)
        if remaining_ms != self._advertised_ms:
            self._advertised_ms, self._info = remaining_ms, with_timeout(self.command.info, remaining_ms)
        return self._info

    def request_id(self, number: int) -> str:
        """Return the id of one key's request."""
        return f"{self.name}.{number}"

    def open_ids(self) -> list[str]:
        """Return the request ids of the keys without a final answer."""
        return [self.request_id(number) for number in self.assembly.incomplete_numbers()]

    def pause(self) -> None:
        """Stop requesting keys and reading long values, as the client's connection accepts no more data."""
        self.is_paused = True
        if self.reply.is_next:  # else it waits for the replies ahead, and its keys may be requested meanwhile
            self.registry.allocator.client_stalled(self.assembly, self.registry.host.now())
        for reply in self.streams.values():
            if reply.source is not None:
                reply.source.pause()

    def resume(self) -> None:
        """Continue: the client reads again, or the replies ahead on its connection are written."""
        self.is_paused = False
        self.registry.allocator.client_resumed(self.assembly)
        for number, reply in self.streams.items():
            if reply.source is not None and self.assembly.is_streaming(number):
                reply.source.resume()
        self.registry.schedule(self)

    def complete_key(self, number: int, entry: bytes) -> None:
        """Record a key's final answer."""
        if not self.is_over:
            self.assembly.complete(number, entry)
            self.registry.schedule(self)

    def open_key(self, request_id: str) -> None:
        """Open the request of a key that has none, and create its attempt if the key was already sent."""
        self.registry.open_key(self, request_id)

    def start_stream(self, number: int, reply: StreamedReply) -> None:
        """Record that a key's value is streamed."""
        self.streams[number] = reply
        self.registry.schedule(self)

    def complete_stream(self, number: int) -> None:
        """Record that a streamed value is complete."""
        self.streams.pop(number, None)
        if self.is_over:
            return
        self.assembly.complete_stream(number)
        self.registry.schedule(self)

    def fail_stream(self, number: int) -> None:
        """Handle a truncated value: fail the key if none of it is written yet, else abort the connection."""
        self.streams.pop(number, None)
        if self.is_over or self.assembly.state(number) is KeyState.COMPLETED:
            return
        if not self.assembly.is_streaming(number):
            self.assembly.fail_stream(number, b"-ERR failed\r\n")
            self.registry.schedule(self)
            return
        self.registry.close(self, "cut off")
        self.reply.abort()

    def write_due(self) -> None:
        """Write the entries whose turn it is; finish the reply after the last one."""
        assembly, reply = self.assembly, self.reply
        while not self.is_paused and not self.is_over:
            entries = assembly.take_writable(WRITE_BYTES)
            if entries:
                reply.write(b"".join(entries))
                continue
            number = assembly.start_next_stream()
            if number is None:
                break
            stream = self.streams.get(number)
            if stream is not None:
                stream.write_buffered()
        if assembly.is_written and not self.is_over:
            self.registry.remove(self)
            reply.send(b"")

    def expire(self) -> None:
        """End the unanswered keys at the deadline, and cancel what is not sent yet."""
        if self.is_over:
            return
        registry, assembly = self.registry, self.assembly
        for number in assembly.expire():
            registry.end_unanswered(self, number, "time")
        registry.cancel_unsent(self)
        registry.schedule(self)
