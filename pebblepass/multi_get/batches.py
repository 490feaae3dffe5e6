"""Grouping of the keys that the decisions have placed on a server into batches.

A batch's answers arrive in the order of its keys, so a slow key blocks those behind it. A batch is therefore
only as long as its server should answer within a fraction of the latency objective, if the server's latency
is known. When a batch times out, all its unanswered keys have timed out, and the decisions may retry each.

A batch's states:

| state     | event                                 | next      | effect                                     |
| --------- | ------------------------------------- | --------- | ------------------------------------------ |
| in flight | `record_answer`                       | in flight | restarts the stall timeout                 |
| in flight | `check_stall` after the stall timeout | stalled   | keys behind it and its slot are released   |
| in flight | `finish`                              | finished  | its slot is released                       |
| stalled   | `record_answer`                       | stalled   | restarts the stall timeout                 |
| stalled   | `check_stall`                         | stalled   | none: one key is left                      |
| stalled   | `finish`                              | finished  | its command may send to the server again   |
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from typing import Generic

from pebblepass.multi_get.batch import Batch, BatchBounds, Item, QueuedKey, StallCheck
from pebblepass.multi_get.server_queue import ServerQueue

BATCH_LATENCY_FRACTION = 0.5  # of the latency objective, within which a batch should be answered
INITIAL_MAX_KEYS = 8  # keys of a batch to a server whose latency is not known
MIN_STALL_TIMEOUT_FRACTION = 0.125  # of the latency objective: longer than a short pause of the server
LATER_KEYS_TIMEOUT_FACTOR = 2  # times the mean latency per key, for each key behind a batch's first
NO_LIMIT = 1 << 30


class Batches(Generic[Item]):
    """Keys queued for servers, and batches in flight. Times are nanoseconds of the caller's clock."""

    def __init__(self, bounds: BatchBounds, latency_objective: int) -> None:
        """`latency_objective`: the lowest of all request classes, in nanoseconds."""
        self._bounds, self._latency_objective = bounds, latency_objective
        self._servers: dict[str, ServerQueue[Item]] = {}
        self._stalled_count = 0  # stalled batches, over all servers
        self._ready: dict[str, None] = {}  # servers to which a batch may have to be sent

    def enqueue(
        self,
        server: str,
        owner: Hashable,
        item: Item,
        order: int,
        size: int = 0,
        timeout: int = 0,
        alone: bool = False,
    ) -> None:
        """Queue one key for its server; `order`: its position in its command, `owner`; `size` in bytes.

        `timeout`: nanoseconds after which a single attempt has timed out, 0: never. `alone`: the key has
        blocked a batch before, and must not block another.
        """
        self._queue(server, owner).append((alone, order, item, size, timeout))

    def enqueue_all(self, server: str, owner: Hashable, queued: Iterable[QueuedKey[Item]]) -> None:
        """Queue several keys of one command for their server."""
        self._queue(server, owner).extend(queued)

    def _queue(self, server: str, owner: Hashable) -> list[QueuedKey[Item]]:
        server_queue = self._servers.get(server)
        if server_queue is None:
            server_queue = self._servers[server] = ServerQueue()
        server_queue.is_removed = False
        self._ready[server] = None
        return server_queue.queue_of(owner)

    def take_due(
        self,
        now: int,
        accepts_command: Callable[[str], bool],
        full_only: bool = False,
        limit: int = NO_LIMIT,
    ) -> list[Batch[Item]]:
        """Return the batches to send now, at most `limit`.

        `accepts_command`: whether a server accepts several keys in one command. `full_only`: take only full
        batches, as more keys are about to be queued.
        """
        batches: list[Batch[Item]] = []
        for server in list(self._ready):
            server_queue = self._servers[server]
            as_command = accepts_command(server)
            max_keys = self._max_keys(server_queue, as_command)
            while server_queue.round_robin and server_queue.in_flight < self._bounds.in_flight_per_server:
                if full_only and not server_queue.has_full_batch(max_keys):
                    break
                if len(batches) == limit:
                    return batches
                batches.append(self._start_batch(server, server_queue, now, as_command, max_keys))
            if not full_only:
                del self._ready[server]  # until a batch ends, or a key is queued
        return batches

    def _max_keys(self, server_queue: ServerQueue[Item], as_command: bool) -> int:
        bounds, latency = self._bounds, server_queue.latency
        limit = bounds.keys if as_command else bounds.pipelined
        within_objective = INITIAL_MAX_KEYS
        if latency.mean:
            within_objective = int(self._latency_objective * BATCH_LATENCY_FRACTION / latency.per_key)
        return max(1, min(limit, within_objective))

    def _start_batch(
        self, server: str, server_queue: ServerQueue[Item], now: int, as_command: bool, max_keys: int
    ) -> Batch[Item]:
        owner, chosen = server_queue.take_next(max_keys, self._bounds.key_bytes)
        server_queue.in_flight += 1
        batch = Batch(server, owner, [queued[2] for queued in chosen], now, as_command)
        latency, count, first_timeout = server_queue.latency, len(chosen), chosen[0][4]
        later_keys_time = int(latency.per_key * LATER_KEYS_TIMEOUT_FACTOR * (count - 1))
        if first_timeout and all(queued[4] for queued in chosen):
            batch.attempt_timeout = first_timeout + later_keys_time
        batch.hedge_delay = latency.upper_bound(count) if latency.mean else 0
        # A server that works on all keys at once answers the first only when nearly all are done.
        min_stall_timeout = int(self._latency_objective * MIN_STALL_TIMEOUT_FRACTION)
        batch.stall_timeout = min_stall_timeout + latency.upper_bound(count)
        return batch

    def check_stall(self, batch: Batch[Item], now: int) -> StallCheck[Item]:
        """Check for head-of-line blocking: whether the first unanswered key is overdue.

        If so, the keys behind it leave the batch, which continues with that key alone and no longer counts
        against the batches that its server may have in flight.
        """
        wait = batch.last_answer_at + batch.stall_timeout - now
        if wait > 0:
            return StallCheck(wait, [])
        unblocked = batch.unanswered[1:]
        del batch.items[batch.answered + 1 :]
        if not batch.is_stalled:
            batch.is_stalled = True
            server_queue = self._servers[batch.server]
            server_queue.in_flight -= 1
            server_queue.stalled[batch.owner] += 1
            self._stalled_count += 1
            self._ready[batch.server] = None
        return StallCheck(0, unblocked)

    def take_blocked(self) -> list[Item]:
        """Remove and return the keys queued for a server where their command has too many stalled batches."""
        blocked: list[Item] = []
        if not self._stalled_count:
            return blocked
        limit = self._bounds.in_flight_per_server
        for server_queue in self._servers.values():
            for owner in [owner for owner, count in server_queue.stalled.items() if count >= limit]:
                blocked += server_queue.cancel(owner)
        return blocked

    def record_answer(self, batch: Batch[Item], now: int) -> int:
        """Record that the batch's next key is answered; return that key's latency in nanoseconds, at least 1.

        A server that processes keys one by one cannot be distinguished from one that processes all at once.
        The time since the batch was sent is divided by the mean of the number of keys answered and the number
        of all its keys. For the latter kind the result is between one and two times its time per key; for
        the former it rises with each key, up to its time per key for the last.
        """
        position, count = batch.answered + 1, len(batch.items)
        latency, batch.last_answer_at = max(now - batch.sent_at, 1), now
        if position == count:
            self._servers[batch.server].latency.record(latency, count)
        return max(latency * 2 // (position + count), 1)

    def finish(self, batch: Batch[Item]) -> None:
        """Release a batch that has ended, with whatever outcome."""
        server_queue = self._servers[batch.server]
        if batch.is_stalled:
            server_queue.stalled[batch.owner] -= 1
            self._stalled_count -= 1
            if not server_queue.stalled[batch.owner]:
                del server_queue.stalled[batch.owner]
        else:
            server_queue.in_flight -= 1
        if server_queue.round_robin:
            self._ready[batch.server] = None
        else:
            self._discard_if_unused(batch.server, server_queue)

    def _discard_if_unused(self, server: str, server_queue: ServerQueue[Item]) -> None:
        # Bounds the memory: servers are replaced all day, each under a new id.
        if server_queue.is_removed and server_queue.is_idle:
            del self._servers[server]
            self._ready.pop(server, None)

    def remove_server(self, server: str) -> list[Item]:
        """Cancel the keys queued for a server that drains or has been removed, and return them."""
        server_queue = self._servers.get(server)
        if server_queue is None:
            return []
        cancelled = server_queue.cancel_all()
        self._ready.pop(server, None)
        server_queue.is_removed = True
        self._discard_if_unused(server, server_queue)
        return cancelled

    def cancel(self, owner: Hashable) -> list[Item]:
        """Cancel the queued keys of a command that has ended, and return them."""
        return [item for server_queue in self._servers.values() for item in server_queue.cancel(owner)]
