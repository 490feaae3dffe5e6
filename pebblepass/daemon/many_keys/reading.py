"""One command under way: its answer, its deadline and its keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.clients import Reply
from pebblepass.daemon.lag import after_news
from pebblepass.manykeys import Gathering, ManyKeys, State
from pebblepass.wire.resp import with_timeout

if TYPE_CHECKING:
    from pebblepass.daemon.deadlines import Deadline
    from pebblepass.daemon.many_keys.batches import PartExchange
    from pebblepass.daemon.many_keys.entries import KeyAttempt, KeyReply
    from pebblepass.daemon.many_keys.reads import ManyReads

NS_PER_MS = 1_000_000


class ManyRead:
    """One command under way. As the source of its reply it is paused while its client takes nothing."""

    def __init__(self, reads: ManyReads, command: ManyKeys, reply: Reply, now: int) -> None:
        self.reads, self.command, self.reply = reads, command, reply
        self.name = command.id.decode()
        self.gathering = Gathering(command.keys, reads.shares.bounds.value)
        self.deadline = now - reply.unread_ns + command.timeout_ms * NS_PER_MS
        self.paused = False
        self.over = False
        """Its client has left, or its answer is written."""
        self.streams: dict[int, KeyReply] = {}
        self.exchanges: dict[PartExchange, None] = {}
        self._advertised_ms, self._info = -1, b""
        self.light: dict[str, KeyAttempt] = {}
        """Keys that the module has been told of and that have no open request, by their request's id."""
        self.let_go: set[int] = set()
        """Numbers that were let go by themselves, as their client was found to have gone."""
        self.suspects: set[int] = set()
        """Numbers on which a part has broken: from then on they travel alone."""
        due = max(self.deadline - reads.margin, now)
        self.timer: Deadline = reads.host.call_at(due, lambda: after_news(reads.loop, self.time_up))

    def info_to_send(self, now: int) -> bytes:
        """Return the list of names and values for a batch that is written at this time, in nanoseconds.

        Batches written within the same millisecond share one encoding.
        """
        remaining_ms = deadline_propagation.remaining_ms(self.deadline, now, self.command.timeout_ms)
        if remaining_ms != self._advertised_ms:
            self._advertised_ms, self._info = remaining_ms, with_timeout(self.command.info, remaining_ms)
        return self._info

    def request_id(self, number: int) -> str:
        """The id of one key's request."""
        return f"{self.name}.{number}"

    def open_ids(self) -> list[str]:
        """The ids of the keys that are owed their end."""
        return [self.request_id(number) for number in self.gathering.unended()]

    def pause(self) -> None:
        """Its client can't take more: nothing more is asked for it, or read for it."""
        self.paused = True
        if self.reply.in_turn:  # else it waits for the answers ahead, and its keys may be asked meanwhile
            self.reads.shares.stalls(self.gathering, self.reads.host.now())
        for reply in self.streams.values():
            if reply.source is not None:
                reply.source.pause()

    def resume(self) -> None:
        """Its client takes again, or its turn on the connection has come."""
        self.paused = False
        self.reads.shares.reads(self.gathering)
        for number, reply in self.streams.items():
            if reply.source is not None and self.gathering.passes(number):
                reply.source.resume()
        self.reads.schedule(self)

    def ended(self, number: int, entry: bytes) -> None:
        """A key has its final answer."""
        if not self.over:
            self.gathering.end(number, entry)
            self.reads.schedule(self)

    def stream_ended(self, number: int) -> None:
        """A long value is whole."""
        self.streams.pop(number, None)
        if self.over:
            return
        self.gathering.stream_ended(number)
        self.reads.schedule(self)

    def stream_broke(self, number: int) -> None:
        """A long value broke off: before its turn it has failed alone, else the client must see it."""
        self.streams.pop(number, None)
        if self.over or self.gathering.state(number) is State.ENDED:
            return
        if not self.gathering.passes(number):
            self.gathering.stream_broke(number, b"-ERR failed\r\n")
            self.reads.schedule(self)
            return
        self.reads.close(self, "cut off")
        self.reply.cut_off()

    def write(self) -> None:
        """Write what is due; the answer is over with its last entry."""
        gathering, reply = self.gathering, self.reply
        while not self.paused and not self.over:
            due = gathering.due()
            if due:
                reply.write(b"".join(due))
            number = gathering.turn()
            if number is None:
                break
            stream = self.streams.get(number)
            if stream is not None:
                stream.its_turn()
        if gathering.written and not self.over:
            self.reads.forget(self)
            reply.send(b"")

    def time_up(self) -> None:
        """What is not answered is late; nothing more is sent for it."""
        if self.over:
            return
        reads, gathering = self.reads, self.gathering
        for number in gathering.time_up():
            reads.give_up(self, number, "time")
        reads.drop(self)
        reads.schedule(self)
