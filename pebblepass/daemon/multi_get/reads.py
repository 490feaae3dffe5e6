"""All multi-get commands in progress in one router: admission, turns in which keys are requested, and end."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from pebblepass.daemon.attempts import OpenRequest
from pebblepass.daemon.clients import Reply
from pebblepass.daemon.multi_get.batch_exchange import BatchExchange
from pebblepass.daemon.multi_get.entries import KeyAttempt, KeyReply
from pebblepass.daemon.multi_get.reading import NS_PER_MS, MultiGet
from pebblepass.daemon.upstream import Pool
from pebblepass.decisions import BatchArrived, Effect, Outcome, SendBatch
from pebblepass.multi_get import (
    AllocationBounds,
    BatchBounds,
    Batches,
    FairAllocator,
    HedgeBudget,
    QueuedKey,
    ReplyAssembly,
    parse_many,
)
from pebblepass.wire.resp import LARGE, Command

if TYPE_CHECKING:
    from pebblepass.daemon.attempts import Attempt
    from pebblepass.daemon.router import RouterHost
    from pebblepass.operator_config import ManyKeysSection

PATH = "RESP2 client, many keys"
STARVED_RETRY_S = 0.01
TURNS_BEFORE_SHORT_BATCHES = 12  # with keys requested, after which batches that are not full are sent too
MAX_BATCHES_PER_TURN = 8
MAX_MEMORY_FRACTION = 0.25  # of the router's memory at most, for what is gathered

log = logging.getLogger("pebblepass")


def key_number(command: Command) -> int:
    """The number of a key in its command, by the id of its request."""
    return int(command.id.rpartition(b".")[2])


class MultiGetReads:
    """All commands in progress in one router."""

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
        reply_memory = min(section.held_kib << 10, int(memory * MAX_MEMORY_FRACTION))
        self.allocator = FairAllocator(
            AllocationBounds(
                keys_in_flight=section.keys_in_flight,
                keys_in_flight_per_command=section.keys_of_one,
                memory=reply_memory,
                memory_per_command=max(reply_memory // 2, LARGE),
                value_bytes=LARGE,
                chunk=section.chunk,
                commands=section.commands,
            )
        )
        settings = host.settings
        bounds = BatchBounds(
            keys=section.part_keys,
            pipelined=min(section.part_keys, settings.requests_per_connection),
            key_bytes=section.part_kib << 10,
            in_flight_per_server=section.parts_of_server,
        )
        self.batches: Batches[KeyAttempt] = Batches(
            bounds, min(cls.latency_target for cls in settings.classes)
        )
        self.hedges = HedgeBudget(section.hedge_share)
        self.deadline_margin = section.margin_ms * NS_PER_MS
        self._kinds = frozenset(section.node_kinds)
        self._safe = {cls.name for cls in settings.classes if cls.effect is Effect.IDEMPOTENT}
        self._reads: dict[str, MultiGet] = {}
        self._changed: dict[MultiGet, None] = {}
        self._read_by_assembly: dict[ReplyAssembly, MultiGet] = {}
        self.unopened = 0
        """The number of keys that the decision module knows and that have no open request yet."""
        self._scheduled = False
        self._consecutive_allocations = 0  # turns in a row in which keys were requested
        self._retry: asyncio.TimerHandle | None = None

    # Clients

    def command_arrived(self, words: list[bytes], reply: Reply, refusing: bool) -> None:
        """Accept a command, or answer it with one error line."""
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
        read = MultiGet(self, command, reply, host.now())
        if refusing:
            self._reject(read, b"-BUSY\r\n", refused="connections")
        elif read.name in self._reads or host.knows_key_of(read.name):
            # Two requests under one id would share attempts, and one would get the other's answer.
            self._reject(read, b"-ERR duplicate id\r\n", failed="duplicate id")
        elif not self.allocator.add(read.assembly):
            self._reject(read, b"-BUSY\r\n", refused="commands of many keys")
        else:
            self._accept(read)

    def _answer(self, reply: Reply, line: bytes) -> None:
        reply.send(line)
        reply.free_command()

    def _reject(self, read: MultiGet, line: bytes, refused: str = "", failed: str = "") -> None:
        read.over = True
        read.timer.cancel()
        self._answer(read.reply, line)
        for number, key in enumerate(read.assembly.keys):
            self.host.record_rejection(read.command.read(number, key), refused, failed)

    def _accept(self, read: MultiGet) -> None:
        host, command, now = self.host, read.command, self.host.now()
        self._reads[read.name] = self._read_by_assembly[read.assembly] = read
        if host.ledger is not None:
            cls, tenant = command.fields["c"], command.fields.get("t")
            for number, key in enumerate(read.assembly.keys):
                size = command.key_size(key)
                host.ledger.take(read.request_id(number), cls, tenant, now, read.deadline, size, PATH)
        read.reply.request = read
        read.reply.free_command()
        read.reply.start(read.assembly.head, read)
        self.schedule(read)

    def owns(self, request_id: str) -> bool:
        """Return whether this is the request id of a key of a command in progress."""
        name, _, number = request_id.rpartition(".")
        return name in self._reads and number.isdigit()

    def open_ids(self) -> list[str]:
        """Return the request ids of all keys that have not ended."""
        return [name for read in self._reads.values() for name in read.open_ids()]

    def client_disconnected(self, read: MultiGet) -> None:
        """Close a command whose client has disconnected."""
        self.close(read, "")

    def close(self, read: MultiGet, failed: str) -> None:
        """End a command early: its unfinished keys fail for this reason, or are abandoned if it is empty."""
        if read.over:
            return
        read.over = True
        for number in list(read.assembly.incomplete_numbers()):
            self.end_unanswered(read, number, failed)
        self.drop(read)
        self.forget(read)

    def end_unanswered(self, read: MultiGet, number: int, failed: str) -> None:
        """End one key without an answer from the decision module."""
        if number in read.abandoned:
            return
        host, request_id = self.host, read.request_id(number)
        request = host.request(request_id)
        if request is not None:
            host.drop_request(request, failed)
        elif host.ledger is not None:  # it was never requested
            if failed:
                host.ledger.fail(request_id, host.now(), failed)
            else:
                host.ledger.leave(request_id, host.now())

    def drop(self, read: MultiGet) -> None:
        """Cancel a command's queued keys, and withdraw its batches."""
        for key in self.batches.cancel(read):
            key.ensure_attempt().end(Outcome.SUPERSEDED)
        for exchange in list(read.exchanges):
            exchange.withdraw()

    def forget(self, read: MultiGet) -> None:
        """Remove a command that is finished."""
        read.over = True
        read.timer.cancel()
        self._reads.pop(read.name, None)
        self._read_by_assembly.pop(read.assembly, None)
        self._changed.pop(read, None)
        self.allocator.remove(read.assembly)
        self.schedule()

    # Turns

    def schedule(self, read: MultiGet | None = None) -> None:
        """Run a turn soon: it writes answers, requests keys and sends batches. `read`: it has changed."""
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
        allocation = self.allocator.allocate(self.host.free_capacity)
        self._consecutive_allocations = self._consecutive_allocations + 1 if allocation is not None else 0
        if allocation is not None:
            assembly, numbers = allocation
            self._request_keys(self._read_by_assembly[assembly], numbers)
            # One chunk a turn: single requests are served in between.
            self.schedule()
        elif self.allocator.is_starved() and self._retry is None:
            # No key is in flight whose end would schedule a turn: single requests occupy all the capacity.
            self._retry = self.loop.call_later(STARVED_RETRY_S, self._retry_starved)
        # Batches wait to fill up: a short one costs its server and this router as much as a full one.
        self._send_batches(full_only=self._consecutive_allocations % TURNS_BEFORE_SHORT_BATCHES != 0)

    def _retry_starved(self) -> None:
        self._retry = None
        stalled = self.allocator.command_to_shed(self.host.now())
        if stalled is not None:
            log.warning("closing a client that reads nothing of its reply: others wait for the memory")
            self._read_by_assembly[stalled].reply.abort()
        self.schedule()

    def _request_keys(self, read: MultiGet, numbers: list[int]) -> None:
        if read.over:
            return
        fields, keys, name = read.command.fields, read.assembly.keys, read.name
        chunk = [KeyAttempt(read, number, f"{name}.{number}") for number in numbers]
        names = [key.request_id for key in chunk]
        read.unopened.update(zip(names, chunk, strict=True))
        self.unopened += len(chunk)
        texts = [keys[number].decode() for number in numbers]
        tenant = fields.get("t")
        self.host.handle_event(BatchArrived(names, texts, fields["c"], read.deadline, tenant, name))

    def open_request(self, request_id: str) -> OpenRequest | None:
        """Open the request of a key that had none until now; None: there is no such key."""
        read = self._reads.get(request_id.rpartition(".")[0])
        key = read.unopened.get(request_id) if read is not None else None
        return None if read is None or key is None else self._open(read, key)

    def open_key(self, read: MultiGet, request_id: str) -> None:
        """Open the request of one of the command's keys, and create the attempt for what was already sent."""
        self._open(read, read.unopened[request_id])

    def _open(self, read: MultiGet, key: KeyAttempt) -> OpenRequest:
        number = key.number
        del read.unopened[key.request_id]
        self.unopened -= 1
        command = read.command.read(number, read.assembly.keys[number])
        request = OpenRequest(key.request_id, command, KeyReply(read, number), read.deadline, of_command=True)
        self.host.add_request(request)
        if key.server:
            key.attempt = self.host.attempt(request, key.server)
            if key.batch is not None:
                key.attempt.begin(key.batch)
        return request

    def send_batch(self, action: SendBatch) -> None:
        """Queue keys for the server that the decision module has chosen for them."""
        read, server = self._reads[action.command], action.server
        words, unopened, timeout = read.assembly.keys, read.unopened, action.timeout
        queued: list[QueuedKey[KeyAttempt]] = []
        for request_id in action.requests:
            key = unopened[request_id]
            key.server, number = server, key.number
            queued.append((False, number, key, len(words[number]) + 1, timeout))
        self.batches.enqueue_all(server, read, queued)
        self.schedule()

    def send_single(self, attempt: Attempt, server: str, timeout: int) -> None:
        """Queue one key for its chosen server: a retry, a hedge, or a key that is sent by itself."""
        command = attempt.command
        read = self._reads.get(attempt.request_id.rpartition(".")[0])
        if read is None:
            attempt.end(Outcome.SUPERSEDED)
            return
        number = key_number(command)
        key = KeyAttempt(read, number, attempt.request_id, attempt)
        self.batches.enqueue(
            server, read, key, number, len(command.key) + 1, timeout, number in read.quarantined
        )
        self.schedule()

    def _send_batches(self, full_only: bool) -> None:
        for key in self.batches.take_blocked():
            attempt = key.ensure_attempt()
            attempt.exclude_from_health(always=True)  # it was never sent
            attempt.end(Outcome.SUPERSEDED)
        now = self.host.now()
        batches = self.batches.take_due(now, self._supports_batches, full_only, MAX_BATCHES_PER_TURN)
        if len(batches) == MAX_BATCHES_PER_TURN:
            self.schedule()
        for batch in batches:
            self.hedges.attempted(len(batch.items))
            exchange = BatchExchange(self, batch)
            self._pool.submit(batch.server, exchange)

    # The list of servers

    def _supports_batches(self, server: str) -> bool:
        """Return whether a server accepts many keys in one command."""
        return self.host.kinds.get(server) in self._kinds

    def server_left(self, server: str) -> None:
        """Fail the keys that are queued for a server that drains or has been removed."""
        for key in self.batches.remove_server(server):
            key.ensure_attempt().end(Outcome.CONNECT_FAILED)

    def end_all(self) -> None:
        """End every command now, as if its deadline had passed."""
        for read in list(self._reads.values()):
            read.time_up()

    def abandon(self) -> None:
        """Open every pending key's request, and remove all commands: the router shuts down."""
        for read in list(self._reads.values()):
            for key in list(read.unopened.values()):
                self._open(read, key)
            self.forget(read)
