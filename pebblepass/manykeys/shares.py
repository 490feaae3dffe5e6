"""Who may ask for how many keys now: commands share the router's keys in flight and its memory fairly."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace

from pebblepass.manykeys.gathering import Gathering


@dataclass(frozen=True, slots=True)
class ShareBounds:
    """The bounds of what all commands of a router have in flight together, and one alone."""

    keys: int = 512
    """Keys owed an answer, over all commands."""
    keys_of_one: int = 128
    held: int = 16 << 20
    """Bytes set aside or taken up, over all commands."""
    held_of_one: int = 8 << 20
    value: int = 64 << 10
    """Bytes set aside for a key that is asked."""
    chunk: int = 16
    """Keys that are asked before single requests have their turn again."""
    commands: int = 256
    """Commands under way; further ones are refused."""
    patience: int = 1_000_000_000
    """Nanoseconds that a client may take nothing while others lack the memory that it holds."""


class Shares:
    """The commands under way. The one with the fewest keys in flight is dealt to first (max-min fairness)."""

    def __init__(self, bounds: ShareBounds) -> None:
        self.bounds = bounds
        self._gatherings: dict[Gathering, int | None] = {}  # since when its client takes nothing

    def __len__(self) -> int:
        return len(self._gatherings)

    @property
    def asked(self) -> int:
        """Keys in flight."""
        return sum(gathering.asked for gathering in self._gatherings)

    @property
    def held(self) -> int:
        """Bytes set aside or taken up."""
        return sum(gathering.held for gathering in self._gatherings)

    def join(self, gathering: Gathering) -> bool:
        """Take a command in; False: there are too many."""
        if len(self._gatherings) >= self.bounds.commands:
            return False
        self._gatherings[gathering] = None
        return True

    def leave(self, gathering: Gathering) -> None:
        """A command is over."""
        self._gatherings.pop(gathering, None)

    def stalls(self, gathering: Gathering, now: int) -> None:
        """A client takes nothing of its answer: that stops its own gathering alone."""
        if self._gatherings.get(gathering, 0) is None:
            self._gatherings[gathering] = now

    def reads(self, gathering: Gathering) -> None:
        """A client takes its answer again."""
        if gathering in self._gatherings:
            self._gatherings[gathering] = None

    def starved(self) -> bool:
        """Whether commands wait for keys and none is in flight whose end would deal to them."""
        return not self.asked and any(g.waiting for g, since in self._gatherings.items() if since is None)

    def to_shed(self, now: int) -> Gathering | None:
        """A stalled client's command that holds the memory which others wait for, if there is one."""
        bounds = self.bounds
        if self.held + bounds.value <= bounds.held or not self.starved():
            return None
        stalled = [
            gathering
            for gathering, since in self._gatherings.items()
            if since is not None and now - since >= bounds.patience
        ]
        return max(stalled, key=lambda gathering: gathering.held, default=None)

    def deal(self, room: int) -> list[tuple[Gathering, list[int]]]:
        """Deal out a chunk of keys, `room` at most; empty: nobody may ask for more now."""
        bounds = self.bounds
        ready = [g for g, since in self._gatherings.items() if since is None and g.waiting]
        if not ready:
            return []
        left = min(
            bounds.chunk, room, bounds.keys - self.asked, (bounds.held - self.held) // max(bounds.value, 1)
        )
        dealt: dict[Gathering, int] = {}
        poorest = [(gathering.asked, place, gathering) for place, gathering in enumerate(ready)]
        heapify(poorest)
        while left > 0 and poorest:
            asked, place, gathering = poorest[0]
            if self._has_room(gathering, dealt.get(gathering, 0)):
                dealt[gathering] = dealt.get(gathering, 0) + 1
                left -= 1
                heapreplace(poorest, (asked + 1, place, gathering))
            else:
                heappop(poorest)
        return [(gathering, gathering.ask(count)) for gathering, count in dealt.items()]

    def _has_room(self, gathering: Gathering, more: int) -> bool:
        bounds = self.bounds
        in_flight = gathering.asked + more
        held = gathering.held + (more + 1) * bounds.value
        # One key may always be asked: what is held then is what its own client has to take.
        fits = held <= bounds.held_of_one or not in_flight
        return more < gathering.waiting and in_flight < bounds.keys_of_one and fits
