"""All multi-get commands in progress in one router: their admission, the requests for keys, and their end."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from pebblepass.daemon.attempts import OpenRequest
from pebblepass.daemon.connection_pool import Pool
from pebblepass.daemon.multi_get.batch_exchange import BatchExchange
from pebblepass.daemon.multi_get.key_attempt import KeyAttempt
from pebblepass.daemon.multi_get.key_reply import KeyReply
from pebblepass.daemon.multi_get.limits import allocation_bounds, batch_bounds
from pebblepass.daemon.multi_get.multi_get import NS_PER_MS, MultiGet
from pebblepass.daemon.reply import Reply
from pebblepass.decisions import BatchArrived, Effect, Outcome, SendBatch
from pebblepass.multi_get import (
    Batches,
    FairAllocator,
    HedgeBudget,
    QueuedKey,
    ReplyAssembly,
    parse_multi_get,
)
from pebblepass.wire.resp import Command

if TYPE_CHECKING:
    from pebblepass.daemon.attempts import Attempt
    from pebblepass.daemon.router import RouterHost
    from pebblepass.operator_config import MultiGetSection

PATH = "RESP2 client, many keys"
STARVED_RETRY_S = 0.01  # seconds until the next turn while other requests occupy all the capacity
TURNS_BEFORE_SHORT_BATCHES = 12  # turns that request keys, after which batches that are not full are sent too
MAX_BATCHES_PER_TURN = 8

log = logging.getLogger("pebblepass")


def key_number(command: Command) -> int:
    """Return the number of a key in its multi-get command, from the id of its request."""
    return int(command.id.rpartition(b".")[2])


class MultiGetRegistry:
    """All commands in progress in one router."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: RouterHost,
        pool: Pool,
        section: MultiGetSection,
        memory: int,
    ) -> None:
        """`memory`: of the router, in bytes."""
        self.loop, self.host, self._pool = loop, host, pool
        self.allocator = FairAllocator(allocation_bounds(section, memory))
        settings = host.settings
        lowest_objective = min(cls.latency_target for cls in settings.classes)
        self.batches: Batches[KeyAttempt] = Batches(batch_bounds(section, settings), lowest_objective)
        self.hedges = HedgeBudget(section.hedge_share)
        self.deadline_margin = section.margin_ms * NS_PER_MS
        self._multi_get_kinds = frozenset(section.node_kinds)
        self._idempotent_classes = {cls.name for cls in settings.classes if cls.effect is Effect.IDEMPOTENT}
        self._multi_gets: dict[str, MultiGet] = {}
        self._changed: dict[MultiGet, None] = {}
        self._by_assembly: dict[ReplyAssembly, MultiGet] = {}
        self.unopened = 0
        """The number of keys that the decision module has received and that have no open request yet."""
        self._scheduled = False
        self._consecutive_allocations = 0  # turns in a row in which keys were requested
        self._retry: asyncio.TimerHandle | None = None

    # Clients

    def command_arrived(self, words: list[bytes], reply: Reply, is_over_limit: bool) -> None:
        """Accept a command, or reply with an error line."""
        host = self.host
        try:
            command = parse_multi_get(words)
        except ValueError as error:
            self._answer(reply, b"-ERR %b\r\n" % str(error).encode())
            return
        cls = command.fields["c"]
        if cls not in host.classes:
            self._answer(reply, b"-ERR unknown class\r\n")
            return
        if cls not in self._idempotent_classes:
            self._answer(reply, b"-ERR many keys are read in a class that is safe to repeat\r\n")
            return
        multi_get = MultiGet(self, command, reply, host.now())
        if is_over_limit:
            self._reject(multi_get, b"-BUSY\r\n", refused="connections")
        elif multi_get.name in self._multi_gets or host.knows_key_of(multi_get.name):
            # Two requests with the same id would share attempts, and one would get the other's answer.
            self._reject(multi_get, b"-ERR duplicate id\r\n", failed="duplicate id")
        elif not self.allocator.add(multi_get.assembly):
            self._reject(multi_get, b"-BUSY\r\n", refused="commands of many keys")
        else:
            self._accept(multi_get)

    def _answer(self, reply: Reply, line: bytes) -> None:
        reply.send(line)
        reply.free_command()

    def _reject(self, multi_get: MultiGet, line: bytes, refused: str = "", failed: str = "") -> None:
        multi_get.is_over = True
        multi_get.timer.cancel()
        self._answer(multi_get.reply, line)
        for number, key in enumerate(multi_get.assembly.keys):
            self.host.record_rejection(multi_get.command.read(number, key), refused, failed)

    def _accept(self, multi_get: MultiGet) -> None:
        host, command, now = self.host, multi_get.command, self.host.now()
        self._multi_gets[multi_get.name] = self._by_assembly[multi_get.assembly] = multi_get
        if host.ledger is not None:
            cls, tenant = command.fields["c"], command.fields.get("t")
            for number, key in enumerate(multi_get.assembly.keys):
                size = command.key_size(key)
                request_id = multi_get.request_id(number)
                host.ledger.open_request(request_id, cls, tenant, now, multi_get.deadline, size, PATH)
        multi_get.reply.request = multi_get
        multi_get.reply.free_command()
        multi_get.reply.start(multi_get.assembly.head, multi_get)
        self.schedule(multi_get)

    def owns(self, request_id: str) -> bool:
        """Return whether this is the request id of a key of a command in progress."""
        name, _, number = request_id.rpartition(".")
        return name in self._multi_gets and number.isdigit()

    def open_ids(self) -> list[str]:
        """Return the request ids of all keys without a final answer."""
        return [name for multi_get in self._multi_gets.values() for name in multi_get.open_ids()]

    def client_disconnected(self, multi_get: MultiGet) -> None:
        """Close a command whose client has disconnected."""
        self.close(multi_get, "")

    def close(self, multi_get: MultiGet, failed: str) -> None:
        """End a command early: its unfinished keys fail for this reason, or are abandoned if it is empty."""
        if multi_get.is_over:
            return
        multi_get.is_over = True
        for number in list(multi_get.assembly.incomplete_numbers()):
            self.end_unanswered(multi_get, number, failed)
        self.cancel_unsent(multi_get)
        self.remove(multi_get)

    def end_unanswered(self, multi_get: MultiGet, number: int, failed: str) -> None:
        """End one key without an answer from the decision module."""
        if number in multi_get.abandoned:
            return
        host, request_id = self.host, multi_get.request_id(number)
        request = host.request(request_id)
        if request is not None:
            host.drop_request(request, failed)
        elif host.ledger is not None:  # the key was not requested
            if failed:
                host.ledger.record_failed(request_id, host.now(), failed)
            else:
                host.ledger.record_disconnected(request_id, host.now())

    def cancel_unsent(self, multi_get: MultiGet) -> None:
        """Cancel a command's queued keys, and withdraw its batches."""
        for key in self.batches.cancel(multi_get):
            key.ensure_attempt().end(Outcome.SUPERSEDED)
        for exchange in list(multi_get.exchanges):
            exchange.withdraw()

    def remove(self, multi_get: MultiGet) -> None:
        """Remove a command that is finished."""
        multi_get.is_over = True
        multi_get.timer.cancel()
        # Warning: the reply and its command refer to each other. Until the garbage collector finds them, the
        # values of finished commands would stay in memory.
        multi_get.reply.request = multi_get.reply.source = None
        self._multi_gets.pop(multi_get.name, None)
        self._by_assembly.pop(multi_get.assembly, None)
        self._changed.pop(multi_get, None)
        self.allocator.remove(multi_get.assembly)
        self.schedule()

    # Turns

    def schedule(self, multi_get: MultiGet | None = None) -> None:
        """Run a turn soon: write entries, request keys, send batches. `multi_get`: it has changed."""
        if multi_get is not None:
            self._changed[multi_get] = None
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._scheduled = False
        changed, self._changed = self._changed, {}
        for multi_get in changed:
            multi_get.write_due()
        allocation = self.allocator.allocate(self.host.free_capacity)
        self._consecutive_allocations = self._consecutive_allocations + 1 if allocation is not None else 0
        if allocation is not None:
            assembly, numbers = allocation
            self._request_keys(self._by_assembly[assembly], numbers)
            # One chunk per turn, so that single requests are served in between.
            self.schedule()
        elif self.allocator.is_starved() and self._retry is None:
            # Single requests occupy all the capacity: no key is in flight whose answer would schedule a turn.
            self._retry = self.loop.call_later(STARVED_RETRY_S, self._retry_starved)
        # Batches wait until they are full: a short one costs its server and this router as much as a full
        # one.
        self._send_batches(full_only=self._consecutive_allocations % TURNS_BEFORE_SHORT_BATCHES != 0)

    def _retry_starved(self) -> None:
        self._retry = None
        stalled = self.allocator.command_to_shed(self.host.now())
        if stalled is not None:
            log.warning("client does not read its reply while others wait for memory: connection aborted")
            self._by_assembly[stalled].reply.abort()
        self.schedule()

    def _request_keys(self, multi_get: MultiGet, numbers: list[int]) -> None:
        if multi_get.is_over:
            return
        fields, keys, name = multi_get.command.fields, multi_get.assembly.keys, multi_get.name
        chunk = [KeyAttempt(multi_get, number, f"{name}.{number}") for number in numbers]
        names = [key.request_id for key in chunk]
        multi_get.unopened.update(zip(names, chunk, strict=True))
        self.unopened += len(chunk)
        texts = [keys[number].decode() for number in numbers]
        tenant = fields.get("t")
        self.host.handle_event(BatchArrived(names, texts, fields["c"], multi_get.deadline, tenant, name))

    def open_request(self, request_id: str) -> OpenRequest | None:
        """Open the request of a key that has none; None if there is no such key."""
        multi_get = self._multi_gets.get(request_id.rpartition(".")[0])
        key = multi_get.unopened.get(request_id) if multi_get is not None else None
        return None if multi_get is None or key is None else self._open(multi_get, key)

    def open_key(self, multi_get: MultiGet, request_id: str) -> None:
        """Open the request of one of the command's keys, and create its attempt if it was already sent."""
        self._open(multi_get, multi_get.unopened[request_id])

    def _open(self, multi_get: MultiGet, key: KeyAttempt) -> OpenRequest:
        number = key.number
        del multi_get.unopened[key.request_id]
        self.unopened -= 1
        command = multi_get.command.read(number, multi_get.assembly.keys[number])
        reply = KeyReply(multi_get, number)
        request = OpenRequest(key.request_id, command, reply, multi_get.deadline, is_multi_get_key=True)
        self.host.add_request(request)
        if key.server:
            key.attempt = self.host.attempt(request, key.server)
            if key.batch is not None:
                key.attempt.begin(key.batch)
        return request

    def send_batch(self, action: SendBatch) -> None:
        """Queue keys for the server that the decision module has chosen for them."""
        multi_get, server = self._multi_gets[action.command], action.server
        words, unopened, timeout = multi_get.assembly.keys, multi_get.unopened, action.timeout
        queued: list[QueuedKey[KeyAttempt]] = []
        for request_id in action.requests:
            key = unopened[request_id]
            key.server, number = server, key.number
            queued.append((False, number, key, len(words[number]) + 1, timeout))
        self.batches.enqueue_all(server, multi_get, queued)
        self.schedule()

    def send_single(self, attempt: Attempt, server: str, timeout: int) -> None:
        """Queue one key for its chosen server: a retry, a hedge, or a key that is sent by itself."""
        command = attempt.command
        multi_get = self._multi_gets.get(attempt.request_id.rpartition(".")[0])
        if multi_get is None:
            attempt.end(Outcome.SUPERSEDED)
            return
        number = key_number(command)
        key = KeyAttempt(multi_get, number, attempt.request_id, attempt)
        self.batches.enqueue(
            server, multi_get, key, number, len(command.key) + 1, timeout, number in multi_get.quarantined
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
            self.hedges.record_attempts(len(batch.items))
            exchange = BatchExchange(self, batch)
            self._pool.submit(batch.server, exchange)

    # Endpoint list

    def _supports_batches(self, server: str) -> bool:
        """Return whether a server accepts many keys in one command."""
        return self.host.kinds.get(server) in self._multi_get_kinds

    def server_left(self, server: str) -> None:
        """Fail the keys that are queued for a server that drains or has been removed."""
        for key in self.batches.remove_server(server):
            key.ensure_attempt().end(Outcome.CONNECT_FAILED)

    def end_all(self) -> None:
        """End every command now, as if its deadline had passed."""
        for multi_get in list(self._multi_gets.values()):
            multi_get.expire()

    def abandon(self) -> None:
        """Open every pending key's request, and remove all commands: the router shuts down."""
        for multi_get in list(self._multi_gets.values()):
            for key in list(multi_get.unopened.values()):
                self._open(multi_get, key)
            self.remove(multi_get)
