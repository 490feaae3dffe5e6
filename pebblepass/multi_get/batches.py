"""Which keys travel together: the module's choices by server, cut into parts that run side by side.

A part's answers come in the order of its keys, so that a slow key holds up those behind it. Hence a part is
only as long as its server can answer in a share of the aim, as far as its pace is known; and where a part
runs out of time, all of it that is unanswered has: each of those keys is the decision module's to try again.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from operator import itemgetter
from typing import Generic, TypeVar

Item = TypeVar("Item")

AIM_SHARE = 0.5  # of the aim, in which a part should be answered
FIRST_KEYS = 8  # of a part to a server whose pace is not known
SMOOTHING = 8
SPREADS = 3  # deviations beyond the usual after which a part is slow
HELD_UP_SHARE = 0.125  # of the aim: less may be a hiccup
PATIENCE = 2  # times its usual time that a part's keys behind the first may take


@dataclass(frozen=True, slots=True)
class BatchBounds:
    """The bounds of a part and of what one server has side by side."""

    keys: int = 32
    """Keys of a part that goes as one command."""
    pipelined: int = 8
    """Keys of a part that goes as single reads on one connection, which begins so many at once."""
    words: int = 16 << 10
    """Bytes of a part's keys."""
    side_by_side: int = 3
    """Parts that one server has under way."""


class Batch(Generic[Item]):
    """Keys of one command that go to one server together."""

    __slots__ = (  # noqa: RUF023
        "server", "owner", "items", "sent_at", "as_one", "answered", "heard_at",
        "patience", "slow_after", "held_up_after", "stuck",
    )  # fmt: skip

    def __init__(
        self, server: str, owner: Hashable, items: list[Item], sent_at: int, as_one: bool = False
    ) -> None:
        self.server, self.owner, self.items, self.sent_at = server, owner, items, sent_at
        self.as_one = as_one
        """Whether it goes as one command."""
        self.answered = 0
        self.heard_at = sent_at
        """When its last answer came."""
        self.stuck = False
        """Its first key is not heard of; those behind it were taken out, and its place given to others."""
        self.patience = 0
        """Nanoseconds after which what is unanswered has timed out; 0: not before its time is up."""
        self.slow_after = 0
        """Nanoseconds after which the part is slower than usual; 0: not known."""
        self.held_up_after = 0
        """Nanoseconds without an answer after which its first key holds the others up."""

    @property
    def left(self) -> list[Item]:
        """What is unanswered."""
        return self.items[self.answered :]


Queued = tuple[bool, int, Item, int, int]
"""A key that waits: whether it has to go alone, its place in the command, itself, its bytes, its patience."""
_TURN = itemgetter(0, 1)


class _Server(Generic[Item]):
    """One server: what waits for it by command, what runs, and how long a key takes it."""

    def __init__(self) -> None:
        self.queues: dict[Hashable, list[Queued[Item]]] = {}
        self.turns: deque[Hashable] = deque()  # the commands that wait, in the order of their turns
        self.running = 0
        self.stuck: Counter[Hashable] = Counter()  # parts that are stuck, by command
        self.gone = False
        self.per_key = 0.0  # smoothed time of a part divided by its keys
        self.usual = self.spread = 0.0  # smoothed time of a part as a whole, and its smoothed deviation

    def learn(self, took: float, keys: int) -> None:
        if not self.usual:
            self.per_key, self.usual, self.spread = took / keys, took, took / 2
            return
        off = took - self.usual
        self.per_key += (took / keys - self.per_key) / SMOOTHING
        self.usual += off / SMOOTHING
        self.spread += (abs(off) - self.spread) / SMOOTHING

    def enough(self, keys: int) -> int:
        """After so many nanoseconds a part of so many keys takes longer than usual."""
        # Some servers take as long for one key as for many, some so much for each.
        return int(max(self.usual, self.per_key * keys) + self.spread * SPREADS)


class Batches(Generic[Item]):
    """Keys on their way to servers. Times are nanoseconds of the caller's clock."""

    def __init__(self, bounds: BatchBounds, aim: int) -> None:
        """`aim`: that of the quickest class, in nanoseconds."""
        self._bounds, self._aim = bounds, aim
        self._servers: dict[str, _Server[Item]] = {}
        self._stuck = 0  # parts, over all servers
        self._ready: dict[str, None] = {}  # servers that something may wait for

    def offer(
        self,
        server: str,
        owner: Hashable,
        item: Item,
        order: int,
        size: int = 0,
        patience: int = 0,
        alone: bool = False,
    ) -> None:
        """The module has chosen a server for a key; `order`: its place in the command, `owner`.

        `patience`: nanoseconds after which one such attempt counts as lost, 0: never. `alone`: it has held up
        a part before, and must not hold up another.
        """
        self._queue(server, owner).append((alone, order, item, size, patience))

    def offer_all(self, server: str, owner: Hashable, queued: Iterable[Queued[Item]]) -> None:
        """The same for many."""
        self._queue(server, owner).extend(queued)

    def _queue(self, server: str, owner: Hashable) -> list[Queued[Item]]:
        held = self._servers.get(server)
        if held is None:
            held = self._servers[server] = _Server()
        held.gone = False
        queue = held.queues.get(owner)
        if queue is None:
            queue = held.queues[owner] = []
            held.turns.append(owner)
        self._ready[server] = None
        return queue

    def due(
        self, now: int, speaks: Callable[[str], bool], full_only: bool = False, most: int = 1 << 30
    ) -> list[Batch[Item]]:
        """Cut the parts that may leave now, `most` of them; `speaks`: a server takes a part as one command.

        `full_only`: more keys are about to be offered, so that parts that would be short wait for them.
        """
        parts: list[Batch[Item]] = []
        for server in list(self._ready):
            held = self._servers[server]
            as_one = speaks(server)
            keys = self._most_keys(held, as_one)
            while held.turns and held.running < self._bounds.side_by_side:
                if full_only and len(held.queues[held.turns[0]]) < keys:
                    break
                if len(parts) == most:
                    return parts
                parts.append(self._cut(server, held, now, as_one, keys))
            if not full_only:
                del self._ready[server]  # until a part ends, or a key is offered
        return parts

    def _cut(self, server: str, held: _Server[Item], now: int, as_one: bool, most: int) -> Batch[Item]:
        """The next command in turn has a part of its keys sent; with more left it waits for its next turn."""
        owner = held.turns.popleft()
        queue = held.queues[owner]
        # Danger: a long value may wait for those ahead of it in the list. What has to go alone goes last.
        if len(queue) > 1:
            queue.sort(key=_TURN)
        most, size, count = min(most, len(queue)), queue[0][3], 1
        while count < most and not queue[count][0] and size + queue[count][3] <= self._bounds.words:
            size += queue[count][3]
            count += 1
        if count < len(queue):
            chosen, queue[:count] = queue[:count], []
            held.turns.append(owner)
        else:
            chosen = queue
            del held.queues[owner]
        held.running += 1
        part = Batch(server, owner, [queued[2] for queued in chosen], now, as_one)
        first = chosen[0][4]
        behind = int(held.per_key * PATIENCE * (count - 1))
        part.patience = first + behind if first and all(queued[4] for queued in chosen) else 0
        part.slow_after = held.enough(count) if held.usual else 0
        # A server that works on all keys at once answers the first only when nearly all are done.
        part.held_up_after = int(self._aim * HELD_UP_SHARE) + held.enough(count)
        return part

    def held_up(self, part: Batch[Item], now: int) -> tuple[int, list[Item]]:
        """Whether the first unanswered key holds up those behind it, as it has been silent for too long.

        Returns how long to wait until the next look, 0: it does; and those behind it, which are taken out of
        the part: it goes on with that key alone, and no longer takes up a place beside its server's others.
        """
        wait = part.heard_at + part.held_up_after - now
        if wait > 0:
            return wait, []
        behind = part.left[1:]
        del part.items[part.answered + 1 :]
        if not part.stuck:
            part.stuck = True
            held = self._servers[part.server]
            held.running -= 1
            held.stuck[part.owner] += 1
            self._stuck += 1
            self._ready[part.server] = None
        return 0, behind

    def blocked(self) -> list[Item]:
        """Keys that wait for a server where their command has too many parts stuck: they don't go there."""
        blocked: list[Item] = []
        if not self._stuck:
            return blocked
        for held in self._servers.values():
            for owner in [o for o in held.stuck if held.stuck[o] >= self._bounds.side_by_side]:
                blocked += self._take_queue(held, owner)
        return blocked

    def _take_queue(self, held: _Server[Item], owner: Hashable) -> list[Item]:
        if owner not in held.queues:
            return []
        held.turns.remove(owner)
        return [queued[2] for queued in held.queues.pop(owner)]

    def _most_keys(self, held: _Server[Item], as_one: bool) -> int:
        bounds = self._bounds
        most = bounds.keys if as_one else bounds.pipelined
        in_time = FIRST_KEYS if not held.usual else int(self._aim * AIM_SHARE / held.per_key)
        return max(1, min(most, in_time))

    def answer(self, part: Batch[Item], now: int) -> int:
        """The part's next key is being answered; returns the time to hold against its server for it.

        Servers that take a part's keys one after another and those that work on all of them at once look
        alike from here. The time since the part was sent is divided by the mean of the keys answered so far
        and all of the part's: at most twice too long for the ones, and half too short for the others.
        """
        place, count = part.answered + 1, len(part.items)
        took, part.heard_at = max(now - part.sent_at, 1), now
        if place == count:
            self._servers[part.server].learn(took, count)
        return max(took * 2 // (place + count), 1)

    def end(self, part: Batch[Item]) -> None:
        """The part is over, however it ended."""
        held = self._servers[part.server]
        if part.stuck:
            held.stuck[part.owner] -= 1
            self._stuck -= 1
            if not held.stuck[part.owner]:
                del held.stuck[part.owner]
        else:
            held.running -= 1
        if held.turns:
            self._ready[part.server] = None
        else:
            self._forget(part.server, held)

    def _forget(self, server: str, held: _Server[Item]) -> None:
        # Danger: servers come and go all day, each under a new name.
        if held.gone and not (held.running or held.stuck or held.turns):
            del self._servers[server]
            self._ready.pop(server, None)

    def server_left(self, server: str) -> list[Item]:
        """A server drains or is gone: what waits for it is not sent; returns that."""
        held = self._servers.get(server)
        if held is None:
            return []
        left = [queued[2] for queue in held.queues.values() for queued in queue]
        held.queues.clear()
        held.turns.clear()
        self._ready.pop(server, None)
        held.gone = True
        self._forget(server, held)
        return left

    def drop(self, owner: Hashable) -> list[Item]:
        """A command is over: what waits of it is not sent; returns that."""
        return [item for held in self._servers.values() for item in self._take_queue(held, owner)]
