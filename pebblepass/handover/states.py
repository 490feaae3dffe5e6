"""The two parts in an upgrade as state machines: events in, steps out. No I/O, no clock.

The tables are those of docs/design/operations.md; an event that a state does not name changes nothing.
"""

from __future__ import annotations

from enum import Enum


class Step(Enum):
    """What the process has to do next."""

    TELL = "tell what is known"
    REFUSE = "refuse a further process"
    MAKE_ROOM = "give up some descriptors"
    STOP_ACCEPTING = "accept nobody any longer"
    HAND_ON = "hand on every connection that has nothing open"
    ACCEPT_AGAIN = "accept as before"
    WHOLE_SHARE = "use all of a router's descriptors and memory"
    CLOSE_IDLE = "close what has nothing open"
    SEEK_AGAIN = "look for the old process again, later"
    LEARN = "take over what was told"
    SERVE = "accept clients, and say so"
    OPEN_DOOR = "wait for a process to come"
    CLOSE_DOOR = "let no process come any longer"


class Old(Enum):
    """The states of the process that is there."""

    ALONE = "alone"
    PAIRED = "paired"
    YIELDING = "yielding"
    LEAVING = "leaving"


class OldEvent(Enum):
    """What happens to it."""

    HELLO = "a new process has come"
    READY = "the new process is ready"
    LOST = "the new process is gone"
    TERMINATE = "SIGTERM"


class New(Enum):
    """The states of the process that comes."""

    SEEKING = "seeking"
    BEGINNING = "beginning"
    SUCCEEDING = "succeeding"
    ALONE = "alone"


class NewEvent(Enum):
    """What happens to it."""

    NOBODY = "there is no other process"
    REFUSED = "the old process has another one beside it"
    TOLD = "the old process has told what it knows"
    TOO_LATE = "it tells nothing in time"
    READY = "the servers are known"
    LOST = "the old process is gone"


_OLD: dict[tuple[Old, OldEvent], tuple[Old, tuple[Step, ...]]] = {
    (Old.ALONE, OldEvent.HELLO): (Old.PAIRED, (Step.MAKE_ROOM, Step.TELL)),
    (Old.ALONE, OldEvent.TERMINATE): (Old.LEAVING, (Step.CLOSE_DOOR,)),
    (Old.PAIRED, OldEvent.HELLO): (Old.PAIRED, (Step.REFUSE,)),
    (Old.PAIRED, OldEvent.READY): (Old.YIELDING, (Step.STOP_ACCEPTING, Step.HAND_ON)),
    (Old.PAIRED, OldEvent.LOST): (Old.ALONE, (Step.WHOLE_SHARE,)),
    (Old.PAIRED, OldEvent.TERMINATE): (Old.LEAVING, (Step.CLOSE_DOOR, Step.STOP_ACCEPTING, Step.HAND_ON)),
    (Old.YIELDING, OldEvent.HELLO): (Old.YIELDING, (Step.REFUSE,)),
    (Old.YIELDING, OldEvent.LOST): (Old.ALONE, (Step.WHOLE_SHARE, Step.ACCEPT_AGAIN)),
    (Old.YIELDING, OldEvent.TERMINATE): (Old.LEAVING, (Step.CLOSE_DOOR,)),
    (Old.LEAVING, OldEvent.HELLO): (Old.LEAVING, (Step.REFUSE,)),
    (Old.LEAVING, OldEvent.LOST): (Old.LEAVING, (Step.CLOSE_IDLE,)),
}

_NEW: dict[tuple[New, NewEvent], tuple[New, tuple[Step, ...]]] = {
    (New.SEEKING, NewEvent.NOBODY): (New.ALONE, (Step.WHOLE_SHARE, Step.OPEN_DOOR)),
    (New.SEEKING, NewEvent.REFUSED): (New.SEEKING, (Step.SEEK_AGAIN,)),
    (New.SEEKING, NewEvent.TOLD): (New.BEGINNING, (Step.LEARN,)),
    (New.SEEKING, NewEvent.TOO_LATE): (New.BEGINNING, ()),
    (New.SEEKING, NewEvent.LOST): (New.ALONE, (Step.WHOLE_SHARE, Step.OPEN_DOOR)),
    (New.BEGINNING, NewEvent.READY): (New.SUCCEEDING, (Step.SERVE,)),
    (New.BEGINNING, NewEvent.LOST): (New.ALONE, (Step.WHOLE_SHARE, Step.OPEN_DOOR)),
    (New.SUCCEEDING, NewEvent.LOST): (New.ALONE, (Step.WHOLE_SHARE, Step.OPEN_DOOR)),
    # Alone it serves as soon as it can, whether it has come to a running one or not.
    (New.ALONE, NewEvent.READY): (New.ALONE, (Step.SERVE,)),
}


class OldProcess:
    """The process that is there."""

    def __init__(self) -> None:
        self.state = Old.ALONE

    def take(self, event: OldEvent) -> tuple[Step, ...]:
        """Take an event; returns the steps, in order."""
        self.state, steps = _OLD.get((self.state, event), (self.state, ()))
        return steps


class NewProcess:
    """The process that comes."""

    def __init__(self) -> None:
        self.state = New.SEEKING

    def take(self, event: NewEvent) -> tuple[Step, ...]:
        """Take an event; returns the steps, in order."""
        self.state, steps = _NEW.get((self.state, event), (self.state, ()))
        return steps


class Shares:
    """Descriptors for clients' and servers' connections: two processes together have one router's."""

    def __init__(self, clients: int, servers: int, own: int) -> None:
        """`clients` and `servers`: a whole router's; `own`: what a process needs beside them.

        That is its own, and what it keeps for clients that are only refused.
        """
        self.whole = clients, servers
        self.pair = max(clients - own // 2, 1), max(servers - own // 2, 1)
        """What two may hold together: the second one's own are gone from it."""

    def left(self, clients: int, servers: int) -> tuple[int, int]:
        """What the new process may hold while the old one, which takes nothing new, holds so many."""
        return max(self.pair[0] - clients, 0), max(self.pair[1] - servers, 0)
