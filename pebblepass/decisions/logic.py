"""Every decision of pebblepass, without I/O; the settings, events and actions are in interface.py.

Ordinary path: key -> slot -> the ready cache server with the highest weighted hash of (slot, server id);
a read that misses there -> the origin, if its tenant's Suppressor admits the fetch; a write -> the origin.
docs/design/decisions.md gives the source and the condition of every departure.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from hashlib import blake2b
from heapq import nlargest
from itertools import takewhile
from operator import itemgetter
from typing import NamedTuple
from zlib import crc32

from pebblepass.decisions import interface as api
from pebblepass.decisions.interface import NS_PER_S, Effect, Group, ListKind, Outcome, Reason, ServerState

# Placement: the slot table, and slots that several servers hold.
SLOTS = 8192  # far more than servers, so that a slot's load is small beside a server's
DEPTH = 8  # servers ranked for a slot: more than a request may try, with some to pass over
WORD = (1 << 64) - 1  # of the hash
HEAT_SHARE = 0.25  # part of a server's fair load that one slot may bring before it is spread
HEAT_MEMORY = 1024  # requests after which counts are halved: many servers' worth, yet seconds when busy
HEAT_TOLD = 256  # slots that another router is told of
APART = 0.4  # by how much routers differ in what they think of a hot slot's owners

# The Suppressor: the paper's three regimes, and how its limit is tuned (ours).
HARD_LIMIT_FACTOR = 1.5  # of the soft limit, as the paper recommends
CHANCE_CACHED = NS_PER_S // 10  # for which the paper keeps the chance between the limits
WINDOW_CALLS = 8  # calls that a window should be able to hold at the generous limit
WINDOW_MIN_S, WINDOW_MAX_S = 5.0, 20.0  # seconds
UNSTATED_LIMIT = 1000.0  # calls a second of all routers together to begin with, where no quota is stated
CUT, RISE_S = 0.7, 15.0  # the limit's cut, of what was used; seconds from the floor back to the cap
BAD_SAMPLES, BAD_SHARE = 8, 0.2  # fetches that the share of bad ones is smoothed over; above it: a cut

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

# An attempt's time: when it counts as lost, and when there is too little of it to begin.
SPREADS = 6  # deviations beyond the usual that an answer may take before it counts as lost
PATIENCE_FLOOR, PATIENCE_SHARE = 0.125, 0.95  # of the aim: the least and the most patience
SLOW_SHARE = 0.8  # of the aim: servers that usually take so long are waited for to the end
ODDS_ATTEMPTS, EVEN = 32, 0.5  # attempts that the odds of an answer are told by; below these none is sent

# Fetches out at the origin.
QUICK_SHARE, SLOW_FETCH_SHARE = 0.4, 0.55  # of the aim: fetches that widen the window, and that narrow it
NARROWED = 0.8  # to this share of what is out
LINE = 3  # reads in line for the origin, for each that may be out
EASE_SHARE = 0.05  # of the calls that the origin had: declined at most, for it to be at ease
OUTAGE_FETCHES = 3  # in a row without an answer, after which a quick one tells of a way that was cut
COMMAND_FETCHES = 4  # fetches that one command's keys may have out at the origin, or in line for it
# The pause before discovery is asked: at the start, and after one, two and more failures in a row. Two pauses
# and a call that fails between them (2.5 s) end in time: what discovery has to tell counts as told after 6 s.
ASK_AGAIN = tuple((a * NS_PER_S // 20, b * NS_PER_S // 20) for a, b in ((5, 20), (3, 12), (12, 38), (26, 38)))


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


class SlotTable:
    """Weighted rendezvous hashing of slots over the ready servers, remembered slot by slot."""

    def __init__(self, settings: api.Settings) -> None:
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        self._memo: dict[int, list[tuple[float, Node]]] = {}
        self.settled: dict[int, list[Node]] = {}  # the memo's nodes alone, while none of them is cold
        self.cold_until = 0
        self._only: list[Node] = []

    def update(self, ready: list[api.Server], left: list[str]) -> None:
        """Take over what changed in the list; other slots keep their rankings."""
        changed = [e for e in ready if e.id not in self.nodes or self.nodes[e.id].entry != e]
        gone = {*left, *(entry.id for entry in changed)}
        self.settled.clear()
        for server_id in gone:
            self.nodes.pop(server_id, None)
        if len(gone) > DEPTH:
            self._memo.clear()
        for slot in [s for s, held in self._memo.items() if any(n.entry.id in gone for _, n in held)]:
            del self._memo[slot]
        for node in [Node(entry, self._settings.weighted) for entry in changed]:
            self.nodes[node.entry.id] = node
            for slot, held in self._memo.items():
                ranked = [*held, (self._score(slot, node), node)]
                held[:] = nlargest(max(DEPTH, len(held)), ranked, key=itemgetter(0))
        self._only = list(self.nodes.values())[:1]
        newest = max((node.entry.started for node in self.nodes.values()), default=0)
        self.cold_until = newest + self._settings.cold_time

    def _score(self, slot: int, node: Node) -> float:
        mixed = (node.seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & WORD
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & WORD
        return -node.weight / math.log(((mixed ^ mixed >> 32) + 1) / (WORD + 2))

    def warmth(self, node: Node, now: int) -> float:
        """Return the share of its work that a server can do so soon after its start."""
        age = max(now - node.entry.started, 0)  # clocks differ: a start may lie ahead
        cold, cold_time = self._settings.cold_share, self._settings.cold_time
        warm = not node.entry.started or age >= cold_time
        return 1.0 if warm else cold + (1 - cold) * age / cold_time

    def rank(self, slot: int, now: int, depth: int = DEPTH) -> Sequence[Node]:
        """The slot's best servers, at least `depth`, best first, with cold ones at their ramped weight."""
        if len(self.nodes) <= 1:  # the origin's table: a ranking for each slot would be kept for nothing
            return self._only
        known = self.settled.get(slot, ())
        if len(known) >= min(depth, len(self.nodes)) and now >= self.cold_until:
            return known
        held = self._memo.get(slot, [])
        if len(held) < min(depth, len(self.nodes)):
            scored = ((self._score(slot, node), node) for node in self.nodes.values())
            held = self._memo[slot] = nlargest(2 * depth, scored, key=itemgetter(0))
        if now < self.cold_until:
            ramped = [(score * self.warmth(node, now), node) for score, node in held]
            return [node for _, node in sorted(ramped, key=itemgetter(0), reverse=True)]
        ranked = self.settled[slot] = [node for _, node in held]
        return ranked


class Heat:
    """Each slot's share of the requests seen lately, by counts halved now and then."""

    def __init__(self) -> None:
        self._counts: dict[int | str, float] = {}
        self.total = 0.0

    def add(self, slot: int | str, requests: int = 1) -> float:
        """Count requests of this slot; returns the slot's share before them."""
        count = self._counts.get(slot, 0.0)
        share = count / self.total if self.total > 1.0 else count
        self._counts[slot] = count + requests
        self.total += requests
        if self.total >= HEAT_MEMORY:
            self._counts = {slot: count / 2 for slot, count in self._counts.items() if count > 1}
            self.total = sum(self._counts.values())
        return share

    def hottest(self) -> list[tuple[int | str, float]]:
        """What was asked for most, and how often."""
        return nlargest(HEAT_TOLD, self._counts.items(), key=itemgetter(1))

    def learn(self, known: Sequence[tuple[int | str, float]], weight: float) -> None:
        """Count what another router has counted."""
        for slot, count in known:
            self._counts[slot] = self._counts.get(slot, 0.0) + count * weight
            self.total += count * weight


def of_connection(event: api.AttemptEnded, late: bool) -> bool:
    """Whether this tells of its connection alone; one that did not come up does however long that took."""
    return event.stale and (event.outcome is Outcome.CONNECT_FAILED or not late)


class Suppressor:
    """One tenant's guard of the origin: sliding-window counts, three regimes, AIMD rate limit."""

    def __init__(self, tenant: api.Tenant, routers: int, rng: random.Random) -> None:
        self.portion, self.excess = tenant.portion, 1.0  # excess: (share of requests here / portion) squared
        self.cap = self.limit = (tenant.quota_per_s or UNSTATED_LIMIT) / routers
        self.window_s = min(max(WINDOW_CALLS / self.cap, WINDOW_MIN_S), WINDOW_MAX_S)
        self.floor = min(1 / self.window_s, self.cap)  # one call a window: with none counted a fetch goes
        self._calls: deque[tuple[int, bool]] = deque()
        self.declined = self.wanted = 0  # wanted: fetches and writes so far, those tried again once
        self.hard_factor = HARD_LIMIT_FACTOR
        self._stated = self.portion, self.cap, self.window_s
        self._has_quota, self._shared = tenant.quota_per_s > 0, False
        self._gap, self._gap_at = 0.0, 0  # by what the limit was higher before its share fell, and when
        self._tuned: float | None = None  # the limit before the floor, while that holds
        self._rng = rng
        self._chance, self._chance_until = 1.0, 0
        self._last_rise = 0

    def hold(
        self,
        policy: api.PolicyHeld,
        told: api.NamespaceHeld | None,
        routers: int,
        share: float | None,
        now: int,
    ) -> None:
        """Take a policy over; or the floor, for a router that can't tell whether it still is in force.

        `share`: what it is granted beyond the floor, where the policy splits quotas so; None: the floor.
        """
        portion, cap, window_s = self._stated
        if told is not None:
            portion = portion if told.portion is None else told.portion
            cap = cap if told.quota_per_s is None else told.quota_per_s / routers
        if policy.rate_per_s is not None:
            cap = min(cap, policy.rate_per_s * portion / routers)
        shared, full = policy.shares and self._has_quota, cap
        used = self.limit / self.cap if self.cap else 1.0
        if share is None or shared:
            cap = min(cap, self._stated[1] * policy.floor_share) + (share or 0.0)
        self.portion, self.cap, self.hard_factor = portion, cap, policy.hard_factor
        self.window_s = window_s if policy.window_s is None else policy.window_s
        self.floor = min(1 / self.window_s, cap)
        # What was tuned before the floor holds again after it: it was no sign of the origin's.
        tuned = self.limit if self._tuned is None else self._tuned
        if self._shared and not shared:
            tuned = used * full
        eased = self.limit + self._eased(now)
        self.limit, self._tuned = min(tuned, cap), tuned if share is None else None
        if shared:  # a share that moves is no sign of the origin's either: of the cap it keeps its part
            self.limit, self._tuned = min(used, 1.0) * cap, None
        # Calls that the window holds from before a share fell were allowed then: nobody pays for them now.
        self._gap, self._gap_at = max(eased - self.limit, 0.0) if shared and share else 0.0, now
        self._shared = shared
        self._chance_until = 0

    def _eased(self, now: int) -> float:
        """What is left of the gap: about half of the window's calls are from before half a window."""
        return self._gap * math.exp((self._gap_at - now) / NS_PER_S * 2 / self.window_s) if self._gap else 0.0

    def count(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin."""
        self._calls.append((now, declined))
        self.declined += declined
        self.wanted += 1

    def known(self, tenant: str, now: int) -> api.LimitKnown:
        """The limit and the window's calls, for another router."""
        self.accepted(now)
        counts: dict[int, list[int]] = {}
        for at, declined in self._calls:
            counts.setdefault(at // CHANCE_CACHED, [0, 0])[declined] += 1
        calls = tuple((step * CHANCE_CACHED, each[0], each[1]) for step, each in counts.items())
        return api.LimitKnown(tenant, self.limit, calls)

    def learn(self, known: api.LimitKnown, weight: float) -> None:
        """Take over another router's limit, by its weight, and its calls beside those counted here."""
        self.limit += (min(max(known.limit, self.floor), self.cap) - self.limit) * weight
        told = [(at, bool(i)) for at, *counts in known.calls for i in (0, 1) for _ in range(counts[i])]
        self._calls = deque(sorted([*told, *self._calls]))
        self.declined = sum(declined for _, declined in self._calls)

    def accepted(self, now: int) -> int:
        """Calls of the window that went to the origin."""
        while self._calls and self._calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self._calls.popleft()[1]
        return len(self._calls) - self.declined

    def admit(self, now: int, again: bool = False) -> bool:
        """Decide on one fetch, and count it; `again`: its client has asked for it before."""
        accepted, soft = self.accepted(now), self.window_s * (self.limit + self._eased(now))
        over = len(self._calls) >= soft * self.hard_factor
        allowed = not (over and accepted >= soft)
        if allowed and self._calls and (over or accepted >= soft):
            # Departure: refusals alone that hold total at the hard limit would pin a tenant there, as
            # every retry counts anew; while accepted is under the soft limit the chance holds instead.
            allowed = self._rng.random() < self.chance(now)
        self.count(now, declined=not allowed)
        self.wanted -= again
        return allowed

    def chance(self, now: int) -> float:
        """The chance of a fetch between the limits: rate limit / perceived rate, cached, at most 1."""
        if now >= self._chance_until:
            self._chance_until = now + CHANCE_CACHED
            last = sum(1 for _ in takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self._calls)))
            self._chance = min(1.0, self.limit / max(len(self._calls) / self.window_s, last))
        return self._chance

    def rise(self, now: int) -> None:
        """Additive rise after a good fetch, up to the cap, and only while the limit is in use."""
        if self.accepted(now) * 2 >= self.limit * self.window_s:
            idle = min((now - self._last_rise) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / RISE_S * idle)
        self._last_rise = now

    def cut(self, now: int) -> None:
        """Multiplicative cut from what was really used, harder for a tenant over its portion."""
        self._last_rise, self._gap = now, 0.0
        used = min(self.limit, max(self.accepted(now), 1) / self.window_s)
        self.limit = max(self.floor, used * CUT ** min(max(self.excess, 0.5), 2.0))


class Store(NamedTuple):
    """What a router holds of the origin as a whole; `limits` by tenant."""

    width: float
    window: float
    bad: float
    usual: float
    spread: float
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


class Router:
    """One router's decisions: feed it events with the time, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        tenants = (*settings.tenants, api.Tenant("", 1.0))
        self._guards = {tenant.name: Suppressor(tenant, settings.routers, self._rng) for tenant in tenants}
        self._caches, self._origins = SlotTable(settings), SlotTable(settings)
        self._heat, self._usage = Heat(), Heat()  # by slot; by tenant
        self._requests: dict[str, Request] = {}
        self._flights: dict[str, list[Request]] = {}
        self._commands: dict[str, Command] = {}
        aim = min(cls.aim for cls in settings.classes)
        self._width, self._last_cut = math.inf, 0  # writes that may be out
        self._window, self._narrowed_at = math.inf, 0  # fetches that may be out, so that none waits long
        self._line: list[Request] = []  # reads that wait for one of them to end
        self._held: list[Request] = []  # writes waiting for one of them to end; the newest goes first
        self._origin_bad = 0.0  # smoothed share of bad fetches
        self._outage = Outage()  # of the way to the origin
        self._answers, self._fetches = Pace(aim), Pace(aim / 2)  # of the caches; good ones of the origin
        self._odds = Odds()  # of the caches' answers
        self._asking, self._failed_calls = False, 0
        self._lag = 0  # how late this router's own loop runs
        self._policy: api.PolicyHeld | None = None
        self._policy_until = math.inf  # when it can't be told any more whether the policy is in force
        self._shares: dict[str, float] = {}
        self._shares_until = self._look_at = math.inf  # look at: when the first of the two runs out
        self._held_out: dict[str, api.Server] = {}  # ready, and to get nothing new by the policy
        self._now = 0
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Take one event at clock time `now` and return the actions to carry out, in order."""
        self._now, self._actions = now, []
        if now >= self._look_at:  # by the clock at each event: a process may have been stopped for long
            self._run_out()
        match event:
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.RequestArrived():
                self._arrived(event)
            case api.KeysServed():
                self._keys_served(event)
            case api.KeysArrived():
                self._keys_arrived(event)
            case api.ServersChanged():
                self._servers_changed(event)
            case api.TimerFired():
                self._timer(event.token)
            case api.RouterLate():
                self._lag = event.lag
            case api.KnowledgeGained():
                self._learn(event.knowledge)
            case api.PolicyChanged():
                self._change_policy(event)
            case api.AttemptSlow() if event.request in self._requests:
                self._send_twin(self._requests[event.request])
            case api.ClientGone() if event.request in self._requests:
                self._finish(self._requests[event.request])
        return self._actions

    def limits(self) -> dict[str, float]:
        """The fetches a second that each tenant may have now, for the account of them only."""
        return {name: guard.limit for name, guard in self._guards.items() if name}

    def wanted(self) -> dict[str, int]:
        """The fetches and writes that each tenant has asked of the origin so far, refused ones once."""
        return {name: guard.wanted for name, guard in self._guards.items() if name}

    def listed(self) -> list[api.Server]:
        """The ready servers, the origin among them, as they were listed last."""
        held = [node.entry for table in (self._caches, self._origins) for node in table.nodes.values()]
        return [*held, *self._held_out.values()]

    def version(self) -> int:
        """The policy's version that fetches are admitted under; 0: none, or the floor."""
        at_floor = self._policy is None or self._policy_until == math.inf
        return 0 if at_floor or self._policy is None else self._policy.version

    def knowledge(self, now: int) -> api.Knowledge:
        """What this router has learned, for one that begins beside it."""
        nodes = self._caches.nodes.values()  # of the origin nothing is held by node
        fetches, answers = self._fetches, self._answers
        store = (fetches.usual, fetches.spread, answers.usual, answers.spread)
        return api.Knowledge(
            tuple(node.known() for node in nodes if node.heard_at),
            tuple(guard.known(name, now) for name, guard in self._guards.items()),
            api.StoreKnown(self._window, self._width, self._origin_bad, *store),
            tuple((slot, count) for slot, count in self._heat.hottest() if isinstance(slot, int)),
            tuple((name, count) for name, count in self._usage.hottest() if isinstance(name, str)),
        )

    def _learn(self, known: api.Knowledge) -> None:
        for node in known.nodes:
            if node.server in self._caches.nodes:
                self._caches.nodes[node.server].learn(node)
        for limit in known.limits:
            if limit.tenant in self._guards:
                self._guards[limit.tenant].learn(limit, known.weight)
        self._heat.learn(known.heat, known.weight)
        self._usage.learn(known.usage, known.weight)
        store, weight = known.store, known.weight
        self._origin_bad += (store.bad - self._origin_bad) * weight
        for pace, usual, spread in (
            (self._fetches, store.fetch_usual, store.fetch_spread),
            (self._answers, store.answer_usual, store.answer_spread),
        ):
            pace.usual += (usual - pace.usual) * weight
            pace.spread += (spread - pace.spread) * weight
        if weight > 0:  # what is infinite here is not known: in parts it would be no less
            self._window, self._width = (
                min(mine, max(told, 1.0) / weight)
                for mine, told in ((self._window, store.window), (self._width, store.width))
            )

    def avoided(self, now: int) -> list[str]:
        """The ready caches that get next to nothing, by what is held against them.

        One that was late now and then is not among them: it is asked less for a second or two.
        """
        nodes = self._caches.nodes.items()
        return [name for name, node in nodes if node.avoided(now) or not node.has_room(now)]

    def _servers_changed(self, event: api.ServersChanged) -> None:
        if self._settings.must_subscribe:
            self._keep_subscribed(event.kind)
        if event.kind is ListKind.FAILED:
            return
        ready = [entry for entry in event.servers if entry.state is ServerState.READY]
        if self._policy is not None and self._policy.held_out:
            ready = self._without_held(ready, event)
        left = [entry.id for entry in event.servers if entry.state is not ServerState.READY]
        for table, is_origin in ((self._caches, False), (self._origins, True)):
            mine = [e for e in ready if (e.kind == self._settings.origin_kind) == is_origin]
            unlisted = table.nodes.keys() - {e.id for e in mine} if event.kind is not ListKind.DELTA else ()
            table.update(mine, [*left, *unlisted])

    def _change_policy(self, event: api.PolicyChanged) -> None:
        same = self._policy == event.policy and self._policy_until != math.inf
        shares = dict(event.shares) if self._now < event.shares_until else {}
        same = same and shares == self._shares
        self._shares, self._shares_until = shares, event.shares_until if shares else math.inf
        before = self._policy.held_out if self._policy is not None else ()
        self._policy = event.policy
        if self._now >= event.until:
            self._hold_policy(floor=True)
        else:
            self._policy_until = event.until
            if not same:
                self._hold_policy(floor=False)
        self._look_at = min(self._policy_until, self._shares_until)
        if before != event.policy.held_out:
            entries = self.listed()
            self._held_out.clear()
            self._servers_changed(api.ServersChanged(ListKind.FULL, tuple(entries)))

    def _run_out(self) -> None:
        floor = self._now >= self._policy_until
        self._shares, self._shares_until = {}, math.inf
        self._hold_policy(floor)
        self._look_at = self._policy_until

    def _hold_policy(self, floor: bool) -> None:
        if floor:
            self._policy_until, self._shares, self._shares_until = math.inf, {}, math.inf
        if self._policy is not None:
            told = {each.name: each for each in self._policy.namespaces}
            for name, guard in self._guards.items():
                share = None if floor else self._shares.get(name, 0.0)
                guard.hold(self._policy, told.get(name), self._settings.routers, share, self._now)

    def _without_held(self, ready: list[api.Server], event: api.ServersChanged) -> list[api.Server]:
        out = self._policy.held_out if self._policy is not None else ()
        if event.kind is not ListKind.DELTA:
            self._held_out.clear()
        for entry in event.servers:
            self._held_out.pop(entry.id, None)
        # The origin is never held out: nothing could be served without it.
        self._held_out |= {e.id: e for e in ready if e.id in out and e.kind != self._settings.origin_kind}
        return [entry for entry in ready if entry.id not in self._held_out]

    def _keep_subscribed(self, kind: ListKind) -> None:
        """Subscribe at the start and after every failure; jitter and back-off spare discovery."""
        if kind not in (ListKind.CACHED, ListKind.FAILED):
            self._failed_calls = 0
        elif not self._asking:
            self._asking = True
            self._failed_calls += kind is ListKind.FAILED
            least, most = ASK_AGAIN[min(self._failed_calls, len(ASK_AGAIN) - 1)]
            most = min(self._settings.ask_within // 2, most)
            self._actions.append(api.SetTimer(self._rng.randint(min(least, most), most), "subscribe"))

    def _timer(self, token: str) -> None:
        if token == "subscribe":
            self._asking = False
            self._actions.append(api.Subscribe())
            # Danger: clients name their requests; one of this name has timers too, and must have its answer.
        request = self._requests.get(token)
        if request and request.lined:
            self._give_up(request, Reason.LIMIT)
        elif request and request.waiting and self._now >= request.deadline:
            self._give_up(request, Reason.TIME)
        elif request and request.waiting and request.write:
            self._fetch(request)

    def _arrived(self, event: api.RequestArrived) -> None:
        guard = self._guards.get(event.tenant or "", self._guards[""])
        cls = self._classes[event.request_class]
        request = Request(event.request, event.key, event.deadline, event.write, cls, guard)
        request.slot = self._rng.randrange(SLOTS) if event.key is None else crc32(event.key.encode()) % SLOTS
        self._requests[request.id] = request
        if event.retry:
            request.again = True
        if request.write and self._settings.origin_kind is not None:
            self._fetch(request)
        else:
            request.share = self._heat.add(request.slot)
            guard.excess = (self._usage.add(event.tenant or "") / max(guard.portion, 0.001)) ** 2
            self._route(request)

    def _keys_arrived(self, event: api.KeysArrived) -> None:
        """Each key is decided on as a request of its own; those that go to one server are told together."""
        guard = self._guards.get(event.tenant or "", self._guards[""])
        cls, now = self._classes[event.request_class], self._now
        cold, settled = HEAT_SHARE / max(len(self._caches.nodes), 1), self._caches.settled
        command = self._commands.setdefault(event.command, Command(event.command))
        command.open += len(event.requests)
        usage = self._usage.add(event.tenant or "", len(event.requests))
        guard.excess = (usage / max(guard.portion, 0.001)) ** 2
        in_haste = event.deadline - now < cls.aim
        sends: dict[Node, api.SendKeys] = {}
        for name, key in zip(event.requests, event.keys, strict=True):
            request = self._requests[name] = Request(name, key, event.deadline, False, cls, guard)
            slot = request.slot = crc32(key.encode()) % SLOTS
            request.command, request.share = command, self._heat.add(slot)
            held = settled.get(slot) if request.share <= cold else None
            ranking = held or self._candidates(request)
            # The plain case of _route: the first choice is sound, and there is time left.
            if not ranking or not ranking[0].sound or in_haste:
                self._route(request)
                continue
            node = ranking[0]
            request.sends, request.node, request.sent_at, request.out = 1, node, now, True
            node.load += 1
            if (send := sends.get(node)) is None:
                send = sends[node] = api.SendKeys(
                    [], node.entry.id, event.command, self._patience(request, node)
                )
                self._actions.append(send)
            send.requests.append(name)

    def _keys_served(self, event: api.KeysServed) -> None:
        judged: Node | None = None
        for name in event.requests:
            request = self._requests.pop(name, None)
            if request is None or request.node is None or request.command is None:
                continue
            node, command = request.node, request.command
            node.load -= 1
            command.open -= 1
            request.out, request.done = False, True
            if not command.open:
                del self._commands[command.name]
            if node is not judged:  # one event, one judgement
                judged, late = node, event.latency > request.cls.aim
                node.judge(Outcome.OK, late, self._now)
                node.unanswered_at = -HOLD_SILENT
                self._odds.learn(event.latency, answered=True)
                node.pace.learn(event.latency)
                self._answers.learn(event.latency)

    def _send(self, request: Request, node: Node) -> None:
        request.sends += 1
        request.node, request.sent_at, request.out = node, self._now, True
        node.load += 1
        patience = self._patience(request, node)
        self._actions.append(api.Send(request.id, node.entry.id, patience, request.repeat_until()))

    def _usual(self, known: Pace, node: Node) -> tuple[float, float]:
        """The usual time of a server's answers and its spread: its own where they are longer than all's."""
        pace = node.pace
        usual = pace.usual if pace.usual > known.usual else known.usual
        return usual, pace.spread if pace.spread > known.spread else known.spread

    def _patience(self, request: Request, node: Node) -> int:
        aim = request.cls.aim
        usual, spread = self._usual(self._fetches if request.fetching else self._answers, node)
        slow = usual + spread * SPREADS / 2 > aim * SLOW_SHARE
        first = not request.refetching if request.fetching else request.sends == 1
        if slow or not first or not request.may_repeat():
            return 0
        # Guards quick servers: six spreads of theirs are less than a hiccup, above all one of this router.
        enough = max(usual + spread * SPREADS, aim * PATIENCE_FLOOR) + self._lag
        return int(min(enough, aim * PATIENCE_SHARE))

    def _may_try(self, request: Request) -> bool:
        return request.sends < self._settings.max_attempts and self._now < request.deadline

    def _route(self, request: Request) -> None:
        if not self._may_try(request):
            self._give_up(request, self._spent(request))
            return
        if request.failed and request.sends == self._settings.max_attempts - 1 and self._origins.nodes:
            self._missed(request)  # the last attempt is the origin's: a cache's miss would leave none for it
            return
        shed = False
        for node in self._candidates(request):
            if node in request.failed or not (node.has_room(self._now) and request.may_send(node, self._now)):
                continue
            chance = node.chance(self._now)
            # Tenants over their portion are shed first, those well within it last.
            if chance >= 1.0 or (chance > 0 and self._rng.random() < chance**request.guard.excess):
                if self._hopeless(request, node):
                    self._give_up(request, Reason.TIME)
                else:
                    self._send(request, node)
                return
            if not node.down:
                again, shed = shed, True
                if again or not self._store_at_ease(request):
                    break
        if shed:
            self._give_up(request, Reason.SHED)
        else:
            self._missed(request)

    def _hopeless(self, request: Request, node: Node) -> bool:
        """Whether a client's time is more likely than not too short: then it is refused at once.

        Sent all the same it costs its server as much as one that is served, and its client the time that a
        further try has. A few are sent: danger, where all clients are in haste nothing else would tell that
        the caches are quick again.
        """
        left = request.deadline - self._now
        if left >= request.cls.aim or request.sends or request.write:
            return False
        missed = node.unanswered_at > self._now - HOLD_SILENT
        return (missed or self._odds.within(left) < EVEN) and self._rng.random() >= PASS_FLOOR

    def _store_at_ease(self, request: Request) -> bool:
        """Whether the origin answers well within the aim, and nobody is refused or waits for it."""
        guard = request.guard
        return (
            guard.declined <= EASE_SHARE * guard.accepted(self._now)
            and self._fetches.usual < request.cls.aim * QUICK_SHARE
            and not self._line
        )

    def _candidates(self, request: Request) -> Sequence[Node]:
        owners = math.ceil(request.share * len(self._caches.nodes) / HEAT_SHARE)
        ranking = self._caches.rank(request.slot, self._now, max(owners, DEPTH))
        if owners > 1:
            return [*sorted(ranking[:owners], key=self._draw), *ranking[owners:]]
        if self._now < self._caches.cold_until and ranking and self._passed_over(ranking[0]):
            return sorted(ranking, key=lambda node: self._caches.warmth(node, self._now) < 1.0)
        return ranking

    def _passed_over(self, node: Node) -> bool:
        """Whether a cold server is not asked yet, as this router can't tell that the slot is not a hot one.

        Danger: all routers give a slot to the same server, and many that have just begun know of none that it
        is hot. Beside its own part a cold one has room for `fall_multiple` - 1 of these. That a slot has more
        is not known before so many requests are seen that one was its own: asked with the chance that it is,
        all routers that know nothing send it 1/e of that room for any one slot, however many they are.
        """
        warmth, servers = self._caches.warmth(node, self._now), len(self._caches.nodes)
        if warmth >= 1.0:
            return False
        known = self._heat.total * (self._settings.fall_multiple - 1) * warmth
        return known < servers and self._rng.random() * servers >= known

    def _draw(self, node: Node) -> float:
        """The time that a further request is likely to take there, with a draw that keeps routers apart.

        The own requests out tell nothing of a server's speed, nor of other routers' load on it: its times do.
        """
        weight = node.weight * self._caches.warmth(node, self._now)
        expected = node.pace.expected(self._answers.usual)
        return (node.load + 1) * expected / weight * self._rng.uniform(1 - APART, 1.0)

    def _missed(self, request: Request) -> None:
        flight = None if request.key is None else self._flights.get(request.key)
        command = request.command
        if flight is not None and not request.write:
            flight.append(request)
        elif command is not None and command.fetching >= COMMAND_FETCHES:
            command.waiting.append(request)  # else one scan's misses would queue at the origin all at once
            request.queued = True
        else:
            self._fetch(request)
            return
        self._wait(request, request.deadline - self._now)

    def _next_fetch(self, command: Command) -> None:
        """One of a command's fetches is over: those that wait for it go on."""
        while command.waiting and command.fetching < COMMAND_FETCHES:
            waiter = command.waiting.popleft()
            if waiter.queued and waiter.waiting:
                waiter.queued = waiter.waiting = False
                self._missed(waiter)

    def _stored(self, key: str) -> None:
        """A fetch has come back: those that wait for a fetch of their own of this key ask the cache again."""
        queued = [w for command in self._commands.values() for w in command.waiting if w.key == key]
        for waiter in queued:
            if waiter.queued and waiter.waiting:
                waiter.queued = waiter.waiting = False
                self._route(waiter)

    def _send_twin(self, request: Request) -> None:
        """Ask the next server of the slot for a second copy; the first good answer counts."""
        idle = request.twin is None and request.out and not (request.fetching or request.done)
        if not idle or not self._settings.second_copies or request.cls.effect is not Effect.SAFE:
            return
        for node in self._candidates(request):
            # Only a sound and warm server: a copy is a luxury.
            sound = node.chance(self._now) >= 1.0 and self._caches.warmth(node, self._now) >= 1.0
            sound = sound and node.has_room(self._now)
            if node is not request.node and node not in request.failed and sound and self._may_try(request):
                request.sends += 1
                request.twin = node
                node.load += 1
                self._actions.append(api.Send(request.id, node.entry.id))
                return

    def _twin_ended(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """A miss of the second copy says nothing while the first is out; else it stands for both."""
        request.twin = None
        node.load -= 1
        self._judge_cache(request, node, event)
        request.failed.append(node)
        if event.closed or request.done:
            self._finish(request)
        elif request.out or request.waiting:
            return
        elif event.outcome is Outcome.MISS and self._settings.origin_kind is not None:
            self._missed(request)
        else:
            self._route(request)

    def _fetch(self, request: Request) -> None:
        request.waiting = False
        origins = self._origins.rank(request.slot, self._now)
        if not origins or not self._may_try(request) or not request.may_send(origins[0], self._now):
            self._give_up(request, self._spent(request) if origins else Reason.NO_SERVER)
            return
        if request.write and origins[0].load >= self._width:
            self._held.append(request)
            self._wait(request, request.deadline - self._now)
            return
        if request.write:
            request.guard.count(self._now)
        else:
            again = request.again or request.refetching
            if not (request.guard.admit(self._now, again) or self._outage.ask(self._now)):
                self._give_up(request, Reason.LIMIT)
                return
        if request.key is not None and not request.write:
            self._flights.setdefault(request.key, [])
            request.leads = True
            if origins[0].load >= self._window and not request.refetching:
                self._line_up(request)
                return
        self._begin_fetch(request, origins[0])

    def _begin_fetch(self, request: Request, origin: Node) -> None:
        request.fetching = True
        self._take_place(request)
        self._send(request, origin)

    def _take_place(self, request: Request) -> None:
        """Count a fetch among its command's, from when it stands in line."""
        if request.command is not None and not request.placed:
            request.placed = True
            request.command.fetching += 1

    def _give_place(self, request: Request) -> Command | None:
        """Count it no longer; returns the command that has a place to give, if there is one."""
        if request.command is None or not request.placed:
            return None
        request.placed = False
        request.command.fetching -= 1
        return request.command

    def _asked_for(self, request: Request) -> int:
        return len(self._flights.get(request.key or "", ()))

    def _line_up(self, request: Request) -> None:
        """As many fetches are out as the origin answers well within the aim: wait for one, if there is time.

        In a line that is full the key that fewest wait for makes room.
        """
        left = min(request.deadline - self._now, int(request.cls.aim * SLOW_FETCH_SHARE))
        left -= int(self._fetches.usual)
        if len(self._line) >= LINE * self._window:
            least = min(self._line, key=self._asked_for)
            if left > 0 and not self._asked_for(least):
                self._give_up(least, Reason.LIMIT)
            else:
                left = 0
        if left <= 0:
            self._give_up(request, Reason.LIMIT)
            return
        request.lined = True
        self._take_place(request)
        self._line.append(request)
        self._wait(request, left)

    def _next_in_line(self) -> None:
        """Fetches go on while there is room: the key that most wait for first."""
        while self._line:
            best = max(self._line, key=self._asked_for)
            origins = self._origins.rank(best.slot, self._now)
            if origins and origins[0].load >= self._window:
                return
            self._line.remove(best)
            best.lined = best.waiting = False
            if origins and self._may_try(best):
                self._begin_fetch(best, origins[0])
            else:
                self._give_up(best, self._spent(best) if origins else Reason.NO_SERVER)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or request.node is None:
            return
        if request.twin is not None and event.server == request.twin.entry.id:
            self._twin_ended(request, request.twin, event)
            return
        freed = self._give_place(request) if request.fetching else None
        self._first_ended(request, request.node, event)
        if freed is not None:
            self._next_fetch(freed)

    def _judge_cache(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        late = event.latency > request.cls.aim
        # A kept connection that breaks says nothing of its server: nobody is judged by it, or asked less.
        answered = event.outcome in (Outcome.OK, Outcome.MISS)
        if answered or (event.outcome is Outcome.TIMEOUT and not event.stale):
            self._odds.learn(event.latency, answered)
            node.unanswered_at = -HOLD_SILENT if answered else self._now
        if event.crowded:
            node.crowded(self._now, self._rng)
        elif not of_connection(event, late) and (late or not self._too_short(request, node, event)):
            node.judge(event.outcome, late, self._now)
            if answered:
                node.pace.learn(event.latency)
                self._answers.learn(event.latency)

    def _too_short(self, request: Request, node: Node, event: api.AttemptEnded) -> bool:
        """Whether a client's time was up before the server's answer could be missed.

        Held against it all the same, clients in haste would have sound servers taken for silent ones.
        """
        if event.outcome is not Outcome.TIMEOUT or self._now < request.deadline:
            return False
        usual, spread = self._usual(self._answers, node)
        return event.latency < usual + spread * SPREADS / 2

    def _first_ended(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        fetched, outcome = request.fetching, event.outcome
        request.out = request.fetching = False
        node.load -= 1
        late = event.latency > request.cls.aim
        stale = of_connection(event, late)
        if fetched:
            self._judge_fetch(node, event, late, request.cls.aim)
        else:
            self._judge_cache(request, node, event)
        if not outcome.never_ran and request.ran is None:
            request.ran = node, request.sent_at
        if event.closed or request.done:
            self._finish(request, stored=fetched and outcome is Outcome.OK)
        elif outcome is Outcome.MISS and not fetched and self._settings.origin_kind is not None:
            self._missed(request)
        elif fetched and outcome is Outcome.MISS:
            self._nobody_has(request)
        elif fetched:
            self._fetch_failed(request, outcome, late, stale)
        else:
            if (
                outcome not in (Outcome.TIMEOUT, Outcome.RESET) or late or node.unheard > 1
            ):  # else it is asked once more
                request.failed.append(node)
            if request.twin is None:  # else that one's end decides
                self._route(request)

    def _nobody_has(self, request: Request) -> None:
        """The origin knows no such key: so it is for all that wait for this fetch."""
        for each in (*(self._flights.get(request.key or "", ()) if request.leads else ()), request):
            if not each.done:
                self._actions.append(api.Fail(each.id, Reason.MISSING))
                self._finish(each)

    def _judge_fetch(self, node: Node, event: api.AttemptEnded, late: bool, aim: int) -> None:
        """Rise while the origin answers well; on failures cut the tenants over their portion first."""
        self._watch_outage(event, late, aim)
        mute = of_connection(event, late)
        if event.latency > aim * SLOW_FETCH_SHARE and not mute:
            # An answer that waited behind this router's own fetches is met by fewer of them, and no sign of
            # trouble while there can be fewer.
            late = late and (event.outcome is not Outcome.OK or self._window <= 1.0)
            if self._now - self._narrowed_at >= self._fetches.usual:
                self._narrowed_at = self._now
                self._window = max(1.0, min(self._window, node.load + 1) * NARROWED)
        elif event.latency <= aim * QUICK_SHARE and event.outcome is Outcome.OK:
            self._window += 1 / self._window
        if event.outcome is Outcome.TIMEOUT:
            self._fetches.learn(event.latency)
        if event.outcome in (Outcome.OK, Outcome.MISS) and not late:
            self._origin_bad -= self._origin_bad / BAD_SAMPLES
            self._fetches.learn(event.latency)
            self._width += 1 / self._width
            for guard in self._guards.values():
                guard.rise(self._now)
        elif not mute and (late or event.outcome not in (Outcome.MOOT, Outcome.CANCELLED, Outcome.TIMEOUT)):
            # A time-out that is not late had too little time left: not the origin's fault.
            self._origin_bad += (1 - self._origin_bad) / BAD_SAMPLES
            # A lone bad fetch is chance (a heavy tail), and one round-trip's bad fetches are one sign.
            if self._origin_bad >= BAD_SHARE and self._now - self._last_cut >= self._fetches.usual:
                self._last_cut = self._now
                self._width = max(1.0, min(self._width, node.load + 1) * CUT)
                for guard in self._guards.values():  # the origin is shared: it speaks for all
                    guard.cut(self._now)
        self._next_in_line()
        while self._held and node.load < self._width:
            waiter = self._held.pop()
            if waiter.waiting:
                self._fetch(waiter)
            if self._held and self._held[-1] is waiter:
                # Danger: after a change of the origin's entry its new node, not this one, is full for good.
                break

    def _watch_outage(self, event: api.AttemptEnded, late: bool, aim: int) -> None:
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            # A time-out that is not late had too little time left, and tells nothing.
            if not event.stale and (late or event.outcome is not Outcome.TIMEOUT):
                limits = {name: guard.limit for name, guard in self._guards.items()}
                pace = self._fetches.usual, self._fetches.spread
                self._outage.unanswered(Store(self._width, self._window, self._origin_bad, *pace, limits))
        elif event.outcome in (Outcome.OK, Outcome.MISS, Outcome.ERROR, Outcome.FULL):
            good = event.outcome in (Outcome.OK, Outcome.MISS)
            before = self._outage.answered(good and event.latency <= aim * QUICK_SHARE)
            if before is not None:
                self._width, self._window, self._origin_bad = before.width, before.window, before.bad
                self._fetches.usual, self._fetches.spread = before.usual, before.spread
                for name, guard in self._guards.items():
                    guard.limit = max(guard.limit, before.limits[name])

    def _fetch_failed(self, request: Request, outcome: Outcome, late: bool, stale: bool) -> None:
        """A write is tried again after a pause; a read is the client's to retry, to spare the origin.

        An attempt that counts as lost is made once more at once: it was none of the origin's doing.
        """
        if (stale or (outcome is Outcome.TIMEOUT and not late)) and not request.refetching:
            request.refetching = True
            self._fetch(request)
            return
        pause = int(self._fetches.usual * self._rng.uniform(0.5, 1.5))
        if request.write and self._now + pause < request.deadline and outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._give_up(request, Reason.STORE)

    def _land(self, request: Request, stored: bool) -> None:
        """End a flight: its waiters ask the cache again, or one of them fetches in the leader's place."""
        request.leads = False
        for waiter in self._flights.pop(request.key or "", ()):
            if not waiter.done:
                waiter.waiting = False
                (self._route if stored else self._missed)(waiter)
        if stored and request.key is not None and self._commands:
            self._stored(request.key)

    def _wait(self, request: Request, delay: int) -> None:
        request.waiting = True
        self._actions.append(api.SetTimer(delay, request.id))

    def _spent(self, request: Request) -> Reason:
        return Reason.TIME if self._now >= request.deadline else Reason.ATTEMPTS

    def _give_up(self, request: Request, reason: Reason) -> None:
        if request.may_refuse():
            wait = int(self._rng.uniform(0.5, 1.0) * self._settings.max_retry_after)
            self._actions.append(api.Refuse(request.id, wait if self._settings.retry_after else 0, reason))
        else:
            self._actions.append(api.Fail(request.id, reason))
        self._finish(request)

    def _finish(self, request: Request, stored: bool = False) -> None:
        request.done, request.waiting = True, False
        freed = None
        if request.lined:
            request.lined = False
            self._line.remove(request)
            freed = self._give_place(request)
        if not request.out and request.twin is None:
            del self._requests[request.id]
            if request.command is not None:
                request.command.open -= 1
                if not request.command.open:
                    del self._commands[request.command.name]
        if request.leads:
            self._land(request, stored)
        if freed is not None:
            self._next_fetch(freed)
