"""How long each call of discovery waits and may take, by how the calls before it ended. No I/O, no clock.

A watch that says nothing can't be told from one that has nothing to say before its wait is over. So a wait is
long only while calls are answered: behind one that was given up in silence the next asks for an answer at
once, behind one that failed otherwise it waits for a short time.
"""

from __future__ import annotations

import random
from typing import NamedTuple


class Call(NamedTuple):
    """A call: its wait in seconds (None: the whole list, at once), and how long it may take."""

    wait: float | None
    limit: float


class Times(NamedTuple):
    """What a kind of list allows its calls, in seconds."""

    wait: float
    """The wait of a watch; each is drawn between this one and `most`."""
    most: float
    slack: float
    """How long after its wait a watch is given up."""
    at_once: tuple[float, ...]
    """How long a call that asks for an answer at once may take, by the calls that failed in a row before."""
    connect: float
    """How long a connection may take; it counts towards the call."""
    after_silence: Call | None = None
    """The watch that follows on the first answer behind a silence."""
    after_failure: Call | None = None
    """The watch that follows on a call that failed otherwise."""


SOON_S = 0.05  # the wait of a call that asks for an answer at once; some services read 0 as their default
APART = 0.05  # by which share what a call may take differs, so that many routers' next calls lie apart

# A change counts as told 6 s after discovery has it and can be reached, whatever failed before; behind a
# first silence 2 s after the call's wait, if that is later. Pushed lists cost nothing: three calls that fail
# in a row fit into 6 s. Where discovery is asked each call costs it work, and it may take 2 s for its answer
# when it is busy. Danger: where more than the first calls after a failure are given up before that, two
# hundred routers keep the slowest discovery that the simulator knows busy for good.
PUSHED = Times(wait=2.0, most=2.0, slack=0.5, at_once=(1.0,), connect=0.4)
ASKED = Times(
    wait=20.0,
    most=21.0,
    slack=0.4,
    at_once=(1.5, 1.0, 1.5, 2.2),
    connect=0.5,
    after_silence=Call(3.5, 3.9),
    after_failure=Call(1.2, 3.4),
)


class Pace:
    """Decides on the calls at one address of discovery, one after another."""

    def __init__(self, times: Times, rng: random.Random) -> None:
        """The draws keep many routers, whose watches a change has ended in one moment, apart."""
        self.times = times
        self._rng = rng
        self._failed = 0  # in a row
        self._at_once = False  # the next call asks for an answer at once
        self._short: Call | None = None  # the next watch, before any with a long wait

    def plan(self, whole: bool) -> Call:
        """Return the next call, for the whole list or for what is newer."""
        times = self.times
        if whole or self._at_once:
            limit = times.at_once[min(self._failed, len(times.at_once) - 1)]
            return Call(None if whole else SOON_S, limit * self._rng.uniform(1.0, 1.0 + APART))
        if self._short is not None:
            return self._short
        wait = self._rng.uniform(times.wait, times.most)
        return Call(wait, wait + times.slack)

    def answered(self) -> None:
        """The last call has been answered with a list, or with changes."""
        if not self._at_once:
            self._short = None
        self._failed, self._at_once = 0, False

    def failed(self, silent: bool) -> bool:
        """The last call came to nothing; returns whether the next is due at once, without a pause.

        That is so for one that was given up in silence: what it has missed may count as told by now, and what
        it took is pause enough. Otherwise the pause is drawn where all others are, by the decision module.
        """
        self._failed += 1
        self._at_once = silent
        if not silent:
            self._short = self.times.after_failure
        else:  # more than one are an outage: at its end each further call is one more from every router
            self._short = self.times.after_silence if self._failed == 1 else None
        return silent

    @property
    def failing(self) -> bool:
        """Whether the last call came to nothing."""
        return self._failed > 0
