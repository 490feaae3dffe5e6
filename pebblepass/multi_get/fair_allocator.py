"""Who may ask for how many keys now: commands share the router's keys in flight and its memory fairly."""

from __future__ import annotations

from dataclasses import dataclass

from pebblepass.multi_get.reply_assembly import Gathering


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

    def deal(self, room: int) -> tuple[Gathering, list[int]] | None:
        """Deal a chunk of keys, `room` at most, to one command; None: nobody may ask for more now."""
        bounds = self.bounds
        ready = [g for g, since in self._gatherings.items() if since is None and g.waiting]
        if not ready:
            return None
        left = min(
            bounds.chunk, room, bounds.keys - self.asked, (bounds.held - self.held) // max(bounds.value, 1)
        )
        if left <= 0:
            return None
        # The whole chunk to one command: keys that come together can travel together.
        for gathering in sorted(ready, key=lambda gathering: gathering.asked):
            count = min(left, self._room_of(gathering))
            if count > 0:
                return gathering, gathering.ask(count)
        return None

    def _room_of(self, gathering: Gathering) -> int:
        bounds = self.bounds
        in_memory = (bounds.held_of_one - gathering.held) // max(bounds.value, 1)
        # One key may always be asked: what is held then is what its own client has to take.
        fits = max(in_memory, 0 if gathering.asked else 1)
        return min(gathering.waiting, bounds.keys_of_one - gathering.asked, fits)
