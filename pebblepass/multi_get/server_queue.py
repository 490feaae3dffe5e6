"""One server's queue of keys, its batches in flight, and its latency."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable
from operator import itemgetter
from typing import Generic

from pebblepass.multi_get.batch import Item, QueuedKey

EWMA_SAMPLES = 8  # the weight of a new sample in a moving average is 1 / EWMA_SAMPLES
SLOW_DEVIATIONS = 3  # mean deviations above the mean latency beyond which a batch is slow

_SEND_ORDER = itemgetter(0, 1)  # of a queued key: those sent alone last, else by position in the command


class BatchLatency:
    """Moving averages of a server's latency for a batch, in nanoseconds; 0 before the first sample."""

    def __init__(self) -> None:
        self.per_key = 0.0
        """Mean of a batch's latency divided by its number of keys."""
        self.mean = 0.0
        """Mean latency of a batch."""
        self.deviation = 0.0
        """Mean absolute deviation from that mean."""

    def record(self, latency: float, keys: int) -> None:
        """Record the latency of a complete batch of `keys` keys."""
        if not self.mean:
            self.per_key, self.mean, self.deviation = latency / keys, latency, latency / 2
            return
        difference = latency - self.mean
        self.per_key += (latency / keys - self.per_key) / EWMA_SAMPLES
        self.mean += difference / EWMA_SAMPLES
        self.deviation += (abs(difference) - self.deviation) / EWMA_SAMPLES

    def upper_bound(self, keys: int) -> int:
        """Return the nanoseconds after which a batch of `keys` keys is slower than expected."""
        # Some servers take as long for one key as for many, others in proportion to their number.
        return int(max(self.mean, self.per_key * keys) + self.deviation * SLOW_DEVIATIONS)


class ServerQueue(Generic[Item]):
    """Keys queued for one server by command, and counts of the batches it has in flight."""

    def __init__(self) -> None:
        self.queues: dict[Hashable, list[QueuedKey[Item]]] = {}
        """Queued keys by command; a command without queued keys has no entry."""
        self.round_robin: deque[Hashable] = deque()
        """The commands with queued keys, the next one to be served first."""
        self.in_flight = 0
        """Batches in flight that are not stalled."""
        self.stalled: Counter[Hashable] = Counter()
        """Stalled batches by command."""
        self.is_removed = False
        """Whether the server is draining or was removed from the endpoint list."""
        self.latency = BatchLatency()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return not (self.in_flight or self.stalled or self.round_robin)

    def queue_of(self, owner: Hashable) -> list[QueuedKey[Item]]:
        """Return a command's queue; a new queue is created and gets a turn if there is none."""
        queue = self.queues.get(owner)
        if queue is None:
            queue = self.queues[owner] = []
            self.round_robin.append(owner)
        return queue

    def has_full_batch(self, max_keys: int) -> bool:
        """Return whether the command whose turn is next has enough keys queued for a full batch."""
        return len(self.queues[self.round_robin[0]]) >= max_keys

    def take_next(self, max_keys: int, max_bytes: int) -> tuple[Hashable, list[QueuedKey[Item]]]:
        """Take a batch's keys from the command whose turn it is, and give it another turn if more are queued.

        Return the command and the keys. The first key is always taken, whatever its size.
        """
        owner = self.round_robin.popleft()
        queue = self.queues[owner]
        # Order matters: a streamed value waits for the keys ahead of it. A key that is sent alone comes last.
        if len(queue) > 1:
            queue.sort(key=_SEND_ORDER)
        limit, size, count = min(max_keys, len(queue)), queue[0][3], 1
        while count < limit and not queue[count][0] and size + queue[count][3] <= max_bytes:
            size += queue[count][3]
            count += 1
        if count < len(queue):
            chosen, queue[:count] = queue[:count], []
            self.round_robin.append(owner)
        else:
            chosen = queue
            del self.queues[owner]
        return owner, chosen

    def cancel(self, owner: Hashable) -> list[Item]:
        """Remove a command's queued keys, and return them."""
        if owner not in self.queues:
            return []
        self.round_robin.remove(owner)
        return [queued[2] for queued in self.queues.pop(owner)]

    def cancel_all(self) -> list[Item]:
        """Remove the queued keys of all commands, and return them."""
        cancelled = [queued[2] for queue in self.queues.values() for queued in queue]
        self.queues.clear()
        self.round_robin.clear()
        return cancelled
