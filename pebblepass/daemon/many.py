"""Reads of many keys on sockets: the thin shell round `pebblepass.manykeys`.

Each key is a request of its own to the decision module, under the command's id and its number; its answer's
bytes, as a single read would have them, are its entry in the command's answer.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.attempts import OpenRequest
from pebblepass.daemon.clients import Reply
from pebblepass.daemon.lag import after_news
from pebblepass.daemon.upstream import Answer, Exchange, Pool, ValueSource
from pebblepass.decisions import AttemptSlow, Effect, KeysArrived, KeysServed, Outcome, SendKeys
from pebblepass.manykeys import (
    Gathering,
    HedgeBudget,
    ManyKeys,
    Part,
    PartBounds,
    Parts,
    Queued,
    ShareBounds,
    Shares,
    State,
    parse_many,
)
from pebblepass.wire.address import Address
from pebblepass.wire.answers import AnswerError
from pebblepass.wire.resp import LARGE, MANY, Command, bulk_length, command, read_command, with_timeout

if TYPE_CHECKING:
    from pebblepass.daemon.attempts import Attempt
    from pebblepass.daemon.deadlines import Deadline
    from pebblepass.daemon.router import RouterHost
    from pebblepass.operator import ManyKeysSection

NS_PER_MS = 1_000_000
PATH = "RESP2 client, many keys"
RETRY_S = 0.01
TURNS = 12  # in which keys are dealt before short parts leave too
TURN_PARTS = 8  # that leave in one turn
NEVER = 1 << 63
LOOK_AGAIN_NS = 5_000_000  # until a slow part is looked at again that is not the last one
MEMORY_SHARE = 0.25  # of the router's memory at most, for what is gathered

log = logging.getLogger("pebblepass")


def key_number(command: Command) -> int:
    """The number of a key in its command, by the id of its request."""
    return int(command.id.rpartition(b".")[2])


class KeyReply:
    """Stands where a client's reply does, for one key of a command."""

    __slots__ = ("_held", "_number", "_read", "request", "source")

    def __init__(self, read: ManyRead, number: int) -> None:
        self._read, self._number = read, number
        self._held: list[bytes] = []
        self.source: ValueSource | None = None
        self.request: object = None

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


class ManyRead:
    """One command under way. As the source of its reply it is paused while its client takes nothing."""

    def __init__(self, reads: ManyReads, command: ManyKeys, reply: Reply, now: int) -> None:
        self.reads, self.command, self.reply = reads, command, reply
        self.name = command.id.decode()
        self.gathering = Gathering(command.keys, reads.shares.bounds.value)
        self.deadline = now + command.timeout_ms * NS_PER_MS
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


class ManyReads:
    """All commands under way in one router."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: RouterHost,
        pool: Pool,
        section: ManyKeysSection,
        memory: int,
    ) -> None:
        """`memory`: the router's, in bytes."""
        self.loop, self.host, self._pool = loop, host, pool
        held = min(section.held_kib << 10, int(memory * MEMORY_SHARE))
        self.shares = Shares(
            ShareBounds(
                keys=section.keys_in_flight,
                keys_of_one=section.keys_of_one,
                held=held,
                held_of_one=max(held // 2, LARGE),
                value=LARGE,
                chunk=section.chunk,
                commands=section.commands,
            )
        )
        settings = host.settings
        bounds = PartBounds(
            keys=section.part_keys,
            pipelined=min(section.part_keys, settings.per_connection),
            words=section.part_kib << 10,
            side_by_side=section.parts_of_server,
        )
        self.parts: Parts[KeyAttempt] = Parts(bounds, min(cls.aim for cls in settings.classes))
        self.hedges = HedgeBudget(section.hedge_share)
        self.margin = section.margin_ms * NS_PER_MS
        self._kinds = frozenset(section.node_kinds)
        self._safe = {cls.name for cls in settings.classes if cls.effect is Effect.SAFE}
        self._reads: dict[str, ManyRead] = {}
        self._changed: dict[ManyRead, None] = {}
        self._of: dict[Gathering, ManyRead] = {}
        self.light = 0
        """Keys that the module has been told of and that have no open request."""
        self._scheduled = False
        self._turns = 0  # in a row in which keys were dealt
        self._retry: asyncio.TimerHandle | None = None

    # Clients

    def arrived(self, words: list[bytes], reply: Reply, refusing: bool) -> None:
        """Take a command whole, or answer it with one line."""
        host = self.host
        try:
            command = parse_many(words)
        except ValueError as error:
            self._answer(reply, b"-ERR %b\r\n" % str(error).encode())
            return
        cls = command.fields["c"]
        if cls not in host.classes:
            self._answer(reply, b"-ERR unknown class\r\n")
            return
        if cls not in self._safe:
            self._answer(reply, b"-ERR many keys are read in a class that is safe to repeat\r\n")
            return
        read = ManyRead(self, command, reply, host.now())
        if refusing:
            self._turn_away(read, b"-BUSY\r\n", refused="connections")
        elif read.name in self._reads or host.knows_key_of(read.name):
            # Danger: two requests under one id would share attempts, and one would have the other's answer.
            self._turn_away(read, b"-ERR duplicate id\r\n", failed="duplicate id")
        elif not self.shares.join(read.gathering):
            self._turn_away(read, b"-BUSY\r\n", refused="commands of many keys")
        else:
            self._take(read)

    def _answer(self, reply: Reply, line: bytes) -> None:
        reply.send(line)
        reply.forgotten()

    def _turn_away(self, read: ManyRead, line: bytes, refused: str = "", failed: str = "") -> None:
        read.over = True
        read.timer.cancel()
        self._answer(read.reply, line)
        for number, key in enumerate(read.gathering.keys):
            self.host.turned_away(read.command.read(number, key), refused, failed)

    def _take(self, read: ManyRead) -> None:
        host, command, now = self.host, read.command, self.host.now()
        self._reads[read.name] = self._of[read.gathering] = read
        if host.ledger is not None:
            cls, tenant = command.fields["c"], command.fields.get("t")
            for number, key in enumerate(read.gathering.keys):
                size = command.key_size(key)
                host.ledger.take(read.request_id(number), cls, tenant, now, read.deadline, size, PATH)
        read.reply.request = read
        read.reply.forgotten()
        read.reply.start(read.gathering.head, read)
        self.schedule(read)

    def owns(self, request_id: str) -> bool:
        """Whether this is the id of a key of a command under way."""
        name, _, number = request_id.rpartition(".")
        return name in self._reads and number.isdigit()

    def open_ids(self) -> list[str]:
        """The ids of all keys that are owed their end."""
        return [name for read in self._reads.values() for name in read.open_ids()]

    def client_gone(self, read: ManyRead) -> None:
        """The client has left."""
        self.close(read, "")

    def close(self, read: ManyRead, failed: str) -> None:
        """Nothing is owed any more; each key that has not ended is gone, or has failed for this reason."""
        if read.over:
            return
        read.over = True
        for number in list(read.gathering.unended()):
            self.give_up(read, number, failed)
        self.drop(read)
        self.forget(read)

    def give_up(self, read: ManyRead, number: int, failed: str) -> None:
        """End one key without an answer of the module's."""
        if number in read.let_go:
            return
        host, request_id = self.host, read.request_id(number)
        request = host.request(request_id)
        if request is not None:
            host.let_go(request, failed)
        elif host.ledger is not None:  # it was never asked
            if failed:
                host.ledger.fail(request_id, host.now(), failed)
            else:
                host.ledger.leave(request_id, host.now())

    def drop(self, read: ManyRead) -> None:
        """What waits to be sent for a command is not sent."""
        for key in self.parts.drop(read):
            key.made().end(Outcome.MOOT)
        for exchange in list(read.exchanges):
            exchange.withdraw()

    def forget(self, read: ManyRead) -> None:
        """A command is over."""
        read.over = True
        read.timer.cancel()
        self._reads.pop(read.name, None)
        self._of.pop(read.gathering, None)
        self._changed.pop(read, None)
        self.shares.leave(read.gathering)
        self.schedule()

    # Turns

    def schedule(self, read: ManyRead | None = None) -> None:
        """Something has changed: deal, cut parts and write in a turn of their own, soon."""
        if read is not None:
            self._changed[read] = None
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._scheduled = False
        changed, self._changed = self._changed, {}
        for read in changed:
            read.write()
        dealt = self.shares.deal(self.host.room)
        self._turns = self._turns + 1 if dealt is not None else 0
        if dealt is not None:
            gathering, numbers = dealt
            self._ask(self._of[gathering], numbers)
            # One chunk a turn: single requests have their turns in between.
            self.schedule()
        elif self.shares.starved() and self._retry is None:
            # Nothing of ours is out whose end would lead here again: single requests take all the room.
            self._retry = self.loop.call_later(RETRY_S, self._try_again)
        # Parts wait for as many keys as come at once: a short part costs its server and this router as much.
        self._send_parts(full_only=self._turns % TURNS != 0)

    def _try_again(self) -> None:
        self._retry = None
        stalled = self.shares.to_shed(self.host.now())
        if stalled is not None:
            log.warning("a client takes nothing of its answer, and others wait for the memory")
            self._of[stalled].reply.cut_off()
        self.schedule()

    def _ask(self, read: ManyRead, numbers: list[int]) -> None:
        if read.over:
            return
        fields, keys, name = read.command.fields, read.gathering.keys, read.name
        asked = [KeyAttempt(read, number, f"{name}.{number}") for number in numbers]
        names = [key.request_id for key in asked]
        read.light.update(zip(names, asked, strict=True))
        self.light += len(asked)
        texts = [keys[number].decode() for number in numbers]
        tenant = fields.get("t")
        self.host.tell(KeysArrived(names, texts, fields["c"], read.deadline, tenant, name))

    def opened(self, request_id: str) -> OpenRequest | None:
        """The open request of a key that had none until now; None: there is no such key."""
        read = self._reads.get(request_id.rpartition(".")[0])
        key = read.light.get(request_id) if read is not None else None
        return None if key is None else self.open(key)

    def open(self, key: KeyAttempt) -> OpenRequest:
        """Make a key's request an open one, and what was sent for it an attempt."""
        read, number = key.read, key.number
        del read.light[key.request_id]
        self.light -= 1
        command = read.command.read(number, read.gathering.keys[number])
        request = OpenRequest(key.request_id, command, KeyReply(read, number), read.deadline, of_command=True)
        self.host.enter(request)
        if key.server:
            key.attempt = self.host.attempt(request, key.server)
            if key.part is not None:
                key.attempt.begin(key.part)
        return request

    def offer_keys(self, action: SendKeys) -> None:
        """The module has chosen a server for keys that it was just told of."""
        read, server = self._reads[action.command], action.server
        words, light, timeout = read.gathering.keys, read.light, action.timeout
        offered: list[Queued[KeyAttempt]] = []
        for request_id in action.requests:
            key = light[request_id]
            key.server, number = server, key.number
            offered.append((False, number, key, len(words[number]) + 1, timeout))
        self.parts.offer_all(server, read, offered)
        self.schedule()

    def offer(self, attempt: Attempt, server: str, timeout: int) -> None:
        """The module has chosen a server for a key that is asked once more, or by itself."""
        command = attempt.command
        read = self._reads.get(attempt.request_id.rpartition(".")[0])
        if read is None:
            attempt.end(Outcome.MOOT)
            return
        number = key_number(command)
        key = KeyAttempt(read, number, attempt.request_id, attempt)
        self.parts.offer(server, read, key, number, len(command.key) + 1, timeout, number in read.suspects)
        self.schedule()

    def _send_parts(self, full_only: bool) -> None:
        for key in self.parts.blocked():
            attempt = key.made()
            attempt.spare(always=True)  # never sent: it says nothing
            attempt.end(Outcome.MOOT)
        parts = self.parts.due(self.host.now(), self._speaks, full_only, TURN_PARTS)
        if len(parts) == TURN_PARTS:
            self.schedule()
        for part in parts:
            self.hedges.attempted(len(part.items))
            exchange = PartExchange(self, part)
            self._pool.submit(part.server, exchange)

    # The list of servers

    def _speaks(self, server: str) -> bool:
        """Whether a server takes many keys in one command."""
        return self.host.kinds.get(server) in self._kinds

    def left(self, server: str) -> None:
        """A server drains or is gone: nothing that waits for it is sent there."""
        for key in self.parts.server_left(server):
            key.made().end(Outcome.CONNECT_FAILED)

    def time_up(self) -> None:
        """Give every command its answer now: what is not answered is late."""
        for read in list(self._reads.values()):
            read.time_up()

    def abandon(self) -> None:
        """The router ends."""
        for read in list(self._reads.values()):
            for key in list(read.light.values()):
                self.open(key)
            self.forget(read)


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
