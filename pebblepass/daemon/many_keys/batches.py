"""Keys of one command that travel together on one connection to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.lag import after_news
from pebblepass.daemon.many_keys.reading import ManyRead
from pebblepass.daemon.upstream import Answer, Exchange, ValueSource
from pebblepass.decisions import AttemptSlow, KeysServed, Outcome
from pebblepass.manykeys import Part
from pebblepass.wire.address import Address
from pebblepass.wire.answers import AnswerError
from pebblepass.wire.resp import MANY, bulk_length, command, read_command

if TYPE_CHECKING:
    from pebblepass.daemon.many_keys.entries import KeyAttempt
    from pebblepass.daemon.many_keys.reads import ManyReads

NEVER = 1 << 63
LOOK_AGAIN_NS = 5_000_000  # until a slow part is looked at again that is not the last one


class PartExchange(Exchange):
    """Keys of one command on one connection: as one command, or as single reads one behind another."""

    several = True

    def __init__(self, reads: ManyReads, part: Part[KeyAttempt]) -> None:
        self._reads, self._part = reads, part
        read = part.owner
        assert isinstance(read, ManyRead)
        self._read: ManyRead = read
        read.exchanges[self] = None
        host, now = reads.host, reads.host.now()
        self.begun_at, self.lag_before = now, host.lag.total(now)
        self._served: list[str] = []  # keys that are answered, of which the module has not heard
        self._latency = 0  # one key's share of their time
        for key in part.items:
            key.begin(self)
        due = min(now + part.patience, read.deadline) if part.patience else read.deadline
        self._due = due
        hedged = part.slow_after and host.settings.second_copies
        self._slow_at = now + part.slow_after if hedged else due
        self._held_up_at = now + part.held_up_after
        self._look_at()

    def _look_at(self) -> None:
        """One timer for all that a part waits for: most are over before any of it."""
        at = min(self._due, self._slow_at, self._held_up_at)
        self._timer = self._reads.host.call_at(at, self._look_soon)

    def _look_soon(self) -> None:
        after_news(self._reads.loop, self._look)

    def _look(self) -> None:
        if self.over:
            return
        now = self._reads.host.now()
        if now >= self._due:
            self._due = NEVER
            self._timed_out()
        if not self.over and now >= self._held_up_at:
            self._held_up_at = self._see_whether_held_up(now)
        if not self.over and now >= self._slow_at:
            self._slow_at = self._see_whether_slow(now)
        if not self.over and min(self._due, self._slow_at, self._held_up_at) < NEVER:
            self._look_at()

    def may_begin(self) -> bool:
        """Whether the command has time left and its client is there: one look for all keys.

        A command without a client is let go.
        """
        if self._reads.host.now() >= deadline_propagation.latest_start(self._read.deadline):
            return False
        if self._read.reply.awaited():
            return True
        self._reads.client_gone(self._read)
        return False

    def request_bytes(self, address: Address) -> bytes:
        """The reads of those keys that still want an answer."""
        part, now = self._part, self._reads.host.now()
        part.heard_at = now  # the wait for a connection is not the server's silence
        wanted = []
        for key in part.items:
            if key.wanted:
                wanted.append(key)
            else:
                key.made().end(Outcome.MOOT)
        part.items = wanted
        if not wanted:
            self._reads.loop.call_soon(self.give_up, Outcome.MOOT)
            return b""
        info, keys = self._read.info_to_send(now), self._read.gathering.keys
        if not part.as_one:
            return b"".join([read_command(keys[key.number], key.request_id.encode(), info) for key in wanted])
        self.array_expected = True
        name = wanted[0].request_id.encode()
        return command(MANY, b"%d" % len(wanted), *[keys[key.number] for key in wanted], name, info)

    def array_begins(self, count: int) -> None:
        """Each key has its answer in the array; an error line stands for all of them."""
        self.array_expected = False
        if count != len(self._part.items) and count >= 0:
            # Danger: answers that are too few or too many would be taken for other keys'.
            raise AnswerError("answers to another number of keys")
        self._one_line = count < 0

    _one_line = False

    def takes_more(self, outcome: Outcome, answer: Answer) -> bool:
        """Take one key's answer."""
        part = self._part
        if self._one_line:
            return False
        attempt = part.items[part.answered].made()
        attempt.took(self._reads.parts.answer(part, part.sent_at + attempt.elapsed()))
        if part.answered + 1 == len(part.items):
            return False
        part.answered += 1
        attempt.end(outcome, answer)
        return True

    @property
    def plain(self) -> int:
        """How many of the next keys have no attempt made for them, and still are their command's."""
        if self._one_line:
            return 0
        part, count = self._part, 0
        for key in part.items[part.answered :]:
            if key.attempt is not None:
                break
            count += 1
        return count

    def hits_came(self, entries: list[bytes]) -> bool:
        """Take those keys' values; whether the part is answered."""
        reads, read, part = self._reads, self._read, self._part
        first, host, now = part.answered, reads.host, reads.host.now()
        taken = part.items[first : first + len(entries)]
        held_up = host.lag.total(now) - self.lag_before
        part.answered += len(taken) - 1
        self._latency = reads.parts.answer(part, max(now - held_up, part.sent_at + 1))
        part.answered += 1
        for key in taken:
            del read.light[key.request_id]
        reads.light -= len(taken)
        names = [key.request_id for key in taken]
        self._served += names
        if host.ledger is not None:
            fields = read.command.fields
            for name, entry in zip(names, entries, strict=True):
                host.ledger.serve(name, now, bulk_length(entry))
                host.ledger.attempt(fields["c"], fields.get("t"), Outcome.OK.value, False)
        host.counters.answered[read.command.fields["c"]] += len(names)
        read.gathering.end_all([key.number for key in taken], entries)
        reads.schedule(read)
        return part.answered == len(part.items)

    def _tell_served(self) -> None:
        served, self._served = self._served, []
        if served:
            self._reads.host.tell(KeysServed(served, self._part.server, self._latency))

    def value_started(self, length: int, source: ValueSource) -> None:
        """The next key's value is a long one."""
        self._part.items[self._part.answered].made().value_started(length, source)

    def value_came(self, data: bytes) -> None:
        """A part of it has come."""
        self._part.items[self._part.answered].made().value_came(data)

    def _see_whether_slow(self, now: int) -> int:
        """The last part out is slower than usual: its keys may have a second copy each, while that lasts.

        Returns when to look again.
        """
        reads, part, gathering = self._reads, self._part, self._read.gathering
        left = part.left
        if gathering.waiting or gathering.open > len(left):
            return now + max(part.slow_after, LOOK_AGAIN_NS)
        for key in left:
            if key.wanted and reads.hedges.spend():
                key.made()
                reads.host.tell(AttemptSlow(key.request_id))
        return NEVER

    def _see_whether_held_up(self, now: int) -> int:
        """Keys behind a silent one are asked for elsewhere, where the module wants that; it is waited for.

        Returns when to look again.
        """
        reads, part, connection = self._reads, self._part, self.connection
        wait, behind = (part.held_up_after, []) if connection is None else reads.parts.held_up(part, now)
        if wait:
            return now + wait
        self._tell_served()  # the part may live on for long
        head = part.left[0]
        if not head.streaming:  # else its own client holds it up, and no server
            self._suspect([head, *behind] if part.as_one else [head])
        if connection is not None and behind:
            connection.retired = True  # what still comes behind that key's answer is nobody's
        for key in behind:
            attempt = key.made()
            attempt.spare(head.streaming)
            attempt.end(Outcome.TIMEOUT)
        if part.as_one and not part.answered:
            self.give_up(Outcome.TIMEOUT)  # which of its keys is withheld can't be told
        reads.schedule()
        return NEVER

    def _suspect(self, keys: list[KeyAttempt]) -> None:
        """From now on these keys travel alone: one of them holds others up."""
        self._read.suspects.update(key.number for key in keys)

    def _timed_out(self) -> None:
        # A long value that has begun goes on; those behind it have been taken out by then.
        if not self.over and not (self._part.left and self._part.left[0].streaming):
            self.give_up(Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, answer: Answer) -> None:
        """What is unanswered ends as the connection did; the last answer is its key's own."""
        part = self._part
        self._timer.cancel()
        self._read.exchanges.pop(self, None)
        left = part.left
        self._reads.parts.end(part)
        self._tell_served()
        if left:
            if outcome not in (Outcome.OK, Outcome.MISS, Outcome.CONNECT_FAILED):
                self._suspect(left if part.as_one else left[:1])
            head = left[0].made()
            head.stale, head.crowded = self.stale, self.crowded
            head.end(outcome, answer)
            for key in left[1:]:
                attempt = key.made()
                # One event is held against the server once: on the first of its keys.
                if outcome is not Outcome.CONNECT_FAILED:
                    attempt.spare()
                attempt.end(outcome)
        self._reads.schedule()
