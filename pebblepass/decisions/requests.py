"""Open requests, and the commands that several of them belong to."""

from __future__ import annotations

from collections import deque

from pebblepass.decisions import interface as api
from pebblepass.decisions.health import Node
from pebblepass.decisions.interface import Effect, Group
from pebblepass.decisions.suppressor import Suppressor


class Command:
    """The keys of one command: how many are open, how many are being fetched, and which wait for that."""

    def __init__(self, name: str) -> None:
        self.name, self.open, self.fetching = name, 0, 0
        self.waiting: deque[Request] = deque()


class Request:
    """An open request; it lives on after its final answer until its attempt has ended."""

    slot = sends = sent_at = 0
    share = 0.0
    node: Node | None = None
    ran: tuple[Node, int] | None = None  # the first attempt that may have run: where, when sent
    fetching = refetching = out = leads = waiting = done = False
    command: Command | None = None
    queued = False  # stands in its command's line for a fetch
    lined = False  # stands in line for the origin
    again = False  # its client has asked for it before
    placed = False  # counts among its command's fetches
    twin: Node | None = None  # asked for a second copy while the first is out

    def __init__(
        self, name: str, key: str | None, deadline: int, write: bool, cls: api.RequestClass, guard: Suppressor
    ) -> None:
        self.id, self.key, self.deadline, self.write = name, key, deadline, write
        self.cls, self.guard = cls, guard
        self.failed: list[Node] = []

    def may_send(self, node: Node, now: int) -> bool:
        """Rule 2: what may have run goes out again only where and while its repeat is dropped."""
        if self.ran is None or self.cls.effect is Effect.SAFE:
            return True
        here, there = node.entry, self.ran[0].entry
        if self.cls.effect is Effect.UNSAFE or now - self.ran[1] >= self.cls.dedup_window:
            return False
        if self.cls.group is Group.ALL:
            return True
        return here.zone == there.zone and (self.cls.group is Group.ZONE or here.cell == there.cell)

    def repeat_until(self) -> int:
        """Until when an attempt that is decided on now may leave; 0: as late as may be."""
        if self.ran is None or self.cls.effect is not Effect.KEYED:
            return 0
        return self.ran[1] + self.cls.dedup_window

    def may_repeat(self) -> bool:
        """Whether it does no harm to try again, whatever became of the attempts before."""
        keyed_anywhere = self.cls.effect is Effect.KEYED and self.cls.group is Group.ALL
        return self.cls.effect is Effect.SAFE or keyed_anywhere

    def may_refuse(self) -> bool:
        """Rule 2: a refusal says that a further try is harmless."""
        return self.ran is None or self.may_repeat()
