"""Outages of the origin: their detection, and the state to return to when one is over."""

from __future__ import annotations

from typing import NamedTuple

from pebblepass.decisions.interface import NS_PER_S

OUTAGE_FETCHES = 3  # in a row without an answer, after which a quick one tells of a way that was cut


class Store(NamedTuple):
    """What a router holds of the origin as a whole; `limits` by tenant."""

    width: float
    window: float
    bad: float
    mean: float
    deviation: float
    limits: dict[str, float]


class Outage:
    """Fetches in a row that had no answer of any kind, and what was held of the origin before them.

    An origin that has too much to do answers late or declines; one that can't be reached says nothing at all,
    and answers quickly once it can. What was cut in between was cut for the way, and is taken back.
    """

    def __init__(self) -> None:
        self._unanswered = 0
        self._before: Store | None = None
        self._asked_at = 0

    @property
    def on(self) -> bool:
        """Whether the way seems to be cut."""
        return self._unanswered >= OUTAGE_FETCHES

    def ask(self, now: int) -> bool:
        """Whether one more fetch may go, to hear whether it still is: one a second."""
        due = self.on and now - self._asked_at >= NS_PER_S
        if due:
            self._asked_at = now
        return due

    def unanswered(self, held: Store) -> None:
        """A fetch has ended without an answer; `held` counts if it is the first."""
        if not self._unanswered:
            self._before = held
        self._unanswered += 1

    def answered(self, quickly: bool) -> Store | None:
        """An answer has come; returns what to go back to, if there was an outage and it is over."""
        over = quickly and self.on
        self._unanswered = 0
        return self._before if over else None
