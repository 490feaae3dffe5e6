"""All commands under way in one router: their admission, the turns in which keys are asked, and their end."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from pebblepass.daemon.attempts import OpenRequest
from pebblepass.daemon.clients import Reply
from pebblepass.daemon.many_keys.batches import PartExchange
from pebblepass.daemon.many_keys.entries import KeyAttempt, KeyReply
from pebblepass.daemon.many_keys.reading import NS_PER_MS, ManyRead
from pebblepass.daemon.upstream import Pool
from pebblepass.decisions import Effect, KeysArrived, Outcome, SendKeys
from pebblepass.manykeys import (
    Gathering,
    HedgeBudget,
    PartBounds,
    Parts,
    Queued,
    ShareBounds,
    Shares,
    parse_many,
)
from pebblepass.wire.resp import LARGE, Command

if TYPE_CHECKING:
    from pebblepass.daemon.attempts import Attempt
    from pebblepass.daemon.router import RouterHost
    from pebblepass.operator import ManyKeysSection

PATH = "RESP2 client, many keys"
RETRY_S = 0.01
TURNS = 12  # in which keys are dealt before short parts leave too
TURN_PARTS = 8  # that leave in one turn
MEMORY_SHARE = 0.25  # of the router's memory at most, for what is gathered

log = logging.getLogger("pebblepass")


def key_number(command: Command) -> int:
    """The number of a key in its command, by the id of its request."""
    return int(command.id.rpartition(b".")[2])


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
