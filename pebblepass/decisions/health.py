"""Health of cache servers: smoothed latency, time-out odds, and the chance to be sent a request."""

from __future__ import annotations

import random
from collections import deque
from hashlib import blake2b

from pebblepass.decisions import interface as api
from pebblepass.decisions.interface import NS_PER_S, Outcome

# A server's chance to be sent to: what an attempt tells of it, and how long that holds.
PASS_CUT, PASS_RISE = 0.25, 0.2  # a late answer cuts it to this share, a good one raises it by that
PASS_FLOOR = 0.05  # the least chance of one that is up
DEAD = -0.02  # the chance of one that could not be reached: none, until it is regained by the clock
# A queue that made one answer late is gone within two seconds, by whoever asked; a server that turns away or
# is silent stays so for longer; a dead one is news for discovery. By the clock and not by this router's own
# answers: one that asks a server once in three seconds would go on refusing for half a minute what forty
# like it could have had served.
REGAIN_LATE, REGAIN_SILENT, REGAIN_DEAD = 2 * NS_PER_S, 8 * NS_PER_S, 60 * NS_PER_S
HOLD_SILENT = 4 * NS_PER_S  # before that begins: of the requests in these seconds half go unanswered too
NO_ROOM, NO_ROOM_DOUBLED = NS_PER_S, 4  # the first pause after one had no place for a connection; doublings
ODDS_ATTEMPTS, EVEN = 32, 0.5  # attempts that the odds of an answer are told by; below these none is sent


class Pace:
    """How long answers take: their smoothed time, and its smoothed deviation."""

    def __init__(self, usual: float = 0.0) -> None:
        self.usual = self.spread = usual
        self.sampled = 0.0  # how much of it comes from answers, the rest from where it began

    def learn(self, latency: int) -> None:
        """Take one answer's time into account."""
        off = latency - self.usual
        self.usual += off / 16
        self.spread += (abs(off) - self.spread) / 16
        self.sampled += (1 - self.sampled) / 16

    def expected(self, others: float) -> float:
        """The time to expect where this one began at 0: for what no answer has told, that of `others`.

        Danger: by its own few answers alone a server that has just come would look quicker than any.
        """
        return self.usual + (1 - self.sampled) * others


class Odds:
    """How likely a server is to answer within some time, by what the last attempts at any of them took."""

    def __init__(self) -> None:
        self._took: deque[tuple[int, bool]] = deque(maxlen=ODDS_ATTEMPTS)

    def learn(self, took: int, answered: bool) -> None:
        """Take one attempt into account; one without an answer has been waited for so long."""
        self._took.append((took, answered))

    def within(self, time: int) -> float:
        """The share answered so soon, of the attempts that tell; 1 where none does."""
        soon = sum(1 for took, answered in self._took if answered and took <= time)
        told = sum(1 for took, answered in self._took if answered or took >= time)
        return (soon + 1) / (told + 1)


class Node:
    """A ready server as this router sees it: own attempts out, and health as the chance to be sent to."""

    def __init__(self, entry: api.Server, weighted: bool) -> None:
        self.entry, self.load = entry, 0
        self.weight = entry.weight if weighted else 1.0
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        self.down = False
        self.unheard = self.heard_at = 0
        self.pace = Pace()
        self._chance, self._judged_at, self._regain = 1.0, 0, REGAIN_LATE
        self._crowded, self._room_at = 0, 0
        self.unanswered_at = -HOLD_SILENT
        """When its last attempt ended, if that was without an answer, however short its time was."""

    def chance(self, now: int) -> float:
        """Return the chance to be sent to; it is regained by the time since it was judged.

        Danger: by the clock alone a machine that has been up for a minute would hold nothing against anyone.
        """
        if self._chance >= 1.0:
            return 1.0
        return min(1.0, self._chance + max(now - self._judged_at, 0) / self._regain)

    @property
    def sound(self) -> bool:
        """Whether nothing is held against it."""
        return self._chance >= 1.0 and not self._crowded

    def avoided(self, now: int) -> bool:
        """Whether it is down, or has no more than the least chance of one that is up."""
        return (self.down and self.chance(now) < 1.0) or self.chance(now) <= PASS_FLOOR

    def has_room(self, now: int) -> bool:
        """Whether it may be asked for a connection again."""
        return now >= self._room_at

    def crowded(self, now: int, rng: random.Random) -> None:
        """It takes no more connections: ask elsewhere, and here again after a growing pause.

        The pauses bound the dials of many routers at one full server; the draws keep them apart.
        """
        self._room_at = now + int(rng.uniform(0.5, 1.0) * (NO_ROOM << self._crowded))
        self._crowded = min(self._crowded + 1, NO_ROOM_DOUBLED)

    def judge(self, outcome: Outcome, late: bool, now: int) -> None:
        """Learn from an attempt's end; quick errors count neither way, the next-ranked server is asked."""
        chance, hold = self.chance(now), 0
        self.heard_at = now
        self.unheard = self.unheard + 1 if outcome in (Outcome.TIMEOUT, Outcome.RESET) else 0
        if outcome is Outcome.CONNECT_FAILED or (outcome is Outcome.RESET and self.unheard > 1):
            chance, self.down, self._regain = DEAD, True, REGAIN_DEAD
        elif late or outcome is Outcome.FULL or self.unheard > 1:
            answered = outcome in (Outcome.OK, Outcome.MISS)
            silent = outcome is Outcome.TIMEOUT
            chance = PASS_FLOOR if silent else max(chance * PASS_CUT, PASS_FLOOR)
            self._regain = REGAIN_LATE if answered else REGAIN_SILENT
            hold = HOLD_SILENT if silent else 0
        elif outcome in (Outcome.OK, Outcome.MISS):
            chance, self.down = min(1.0, chance + PASS_RISE), False
            self._crowded = self._room_at = 0
        self._chance, self._judged_at = chance, now + hold

    def known(self) -> api.NodeKnown:
        """What is held of it, for another router."""
        return api.NodeKnown(
            self.entry.id,
            self.entry.started,
            self.heard_at,
            1.0,
            self._chance,
            self._judged_at,
            self._regain,
            self.down,
            self.unheard,
            self._crowded,
            self._room_at,
            self.pace.usual,
            self.pace.spread,
            self.pace.sampled,
        )

    def learn(self, known: api.NodeKnown) -> None:
        """Take over what another router holds of it; times of answers count by their weight, as 0 is none."""
        # Danger: a server that has started since has lost its queue and its faults, and is cold.
        if known.started != self.entry.started or known.heard_at <= self.heard_at:
            return
        self.heard_at, self.down, self.unheard = known.heard_at, known.down, known.unheard
        self._chance, self._judged_at, self._regain = known.chance, known.judged_at, known.regain
        self._crowded, self._room_at = known.crowded, known.room_at
        self.pace.usual, self.pace.spread = known.usual * known.weight, known.spread * known.weight
        self.pace.sampled = known.sampled * known.weight


def of_connection(event: api.AttemptEnded, late: bool) -> bool:
    """Whether this tells of its connection alone; one that did not come up does however long that took."""
    return event.stale and (event.outcome is Outcome.CONNECT_FAILED or not late)
