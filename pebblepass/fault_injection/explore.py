"""Every order of what can happen to a small fleet: messages, losses, repeats, syncs, crashes and time.

The state is the routers' own rules (`consensus.replica`), what their disks hold, and what is under way. From
a fleet that has formed each step that is possible is taken, and from each state that is new again. States
that differ only in the order of a table's entries count as one.

What is not taken in every order: leases' questions and answers, checks and welcomes. They are delivered at
once, in the order of their sending, as they decide nothing; the votes, what is learned, syncs, crashes and
time-outs are.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterator
from enum import Enum
from hashlib import blake2b
from typing import Any

import msgspec

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, PolicyActivated, Send, Write
from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.consensus.records import Record
from pebblepass.consensus.replica import Replica
from pebblepass.consensus.setup import ReplicaSetup, genesis
from pebblepass.fault_injection.broken import Variant

LEASE = 1_000_000_000
STEP = LEASE // 3 + 1
AT_ONCE = (
    m.LeaseRequest,
    m.LeaseGrant,
    m.QuotaLeaseApplied,
    m.Heartbeat,
    m.StartConfirmed,
    m.PolicyCheck,
    m.PolicyCheckResult,
    m.LivenessQuery,
    m.LivenessReport,
)


class Bounds(msgspec.Struct, frozen=True):
    """How much may happen on one path."""

    routers: int = 3
    changes: int = 2
    crashes: int = 2
    losses: int = 1
    repeats: int = 0
    times: int = 4
    """A third of a lease goes by, so often."""
    states: int = 100_000
    """States looked at, at most."""


class Report(msgspec.Struct):
    """What was found."""

    states: int
    depth: int
    whole: bool
    """Whether no state was left out."""
    broken: str
    path: tuple[str, ...]


class Even:
    """Draws that are none: the orders are all taken anyway."""

    def uniform(self, least: float, most: float) -> float:
        """The middle."""
        return (least + most) / 2

    def randrange(self, most: int) -> int:
        """The first."""
        return 0


def usable(before: Policy, after: Policy) -> str:
    """Every router can use everything."""
    return ""


class Small:
    """One state: routers, disks, messages under way, and what may happen still."""

    def __init__(self, bounds: Bounds, kind: type[Replica]) -> None:
        self.kind, self.now = kind, 10 * LEASE
        self.left = {"change": bounds.changes, "crash": bounds.crashes, "lose": bounds.losses}
        self.left |= {"repeat": bounds.repeats, "time": bounds.times}
        self.names = [f"r{number}" for number in range(bounds.routers)]
        self.replicas: dict[str, Replica | None] = {}
        self.disks: dict[str, list[Record]] = {name: [] for name in self.names}
        self.waiting: dict[str, list[Write]] = {name: [] for name in self.names}
        self.sent: list[tuple[str, m.Message]] = []
        self.at_once: deque[tuple[str, m.Message]] = deque()
        self.boots = 0
        self.decided: dict[int, str] = {}
        self.admitted = 0
        self.wrong = ""
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a router from what its disk holds."""
        self.boots += 1
        first = genesis(dict.fromkeys(self.names, "x:1"), self.names)
        setup = ReplicaSetup(
            name, f"b{self.boots}", LeaseTerms(LEASE, 0.1), first, usable, f"{name}.{self.boots}"
        )
        replica = self.kind(setup, list(self.disks[name]) or None, self.now, Even())
        self.replicas[name] = replica
        self.carry(name, replica.start(self.now))

    def carry(self, name: str, actions: list[Action]) -> None:
        """Carry out what a router wants; what is taken at once arrives before this returns."""
        for action in actions:
            match action:
                case Send() if isinstance(action.message.body, AT_ONCE):
                    self.at_once.append((action.to, action.message))
                case Send():
                    self.sent.append((action.to, action.message))
                case Write():
                    self.waiting[name].append(action)
                case PolicyActivated():
                    value = action.value
                    if self.decided.setdefault(value.version, value.change_id) != value.change_id:
                        self.wrong = (
                            f"version {value.version} is {self.decided[value.version]} and {value.change_id}"
                        )

    def deliver_at_once(self) -> None:
        """Deliver what is not taken in every order."""
        while self.at_once:
            to, message = self.at_once.popleft()
            replica = self.replicas.get(to)
            if replica is not None:
                self.carry(to, replica.received(message, self.now))

    def check(self) -> str:
        """What does not hold in this state; empty: all does."""
        held = [replica for replica in self.replicas.values() if replica and replica.may_admit(self.now)]
        versions = [replica.decided.version for replica in held]
        if versions and min(versions) < self.admitted:
            self.wrong = f"admits under {min(versions)} after {self.admitted}"
        self.admitted = max([self.admitted, *versions])
        if len(set(versions)) > 1:
            self.wrong = f"versions {sorted(set(versions))} in force at once"
        return self.wrong

    def settle(self, name: str) -> None:
        """The disk has synced all that waited."""
        writes, self.waiting[name] = self.waiting[name], []
        self.disks[name] += [record for write in writes for record in write.records]
        replica = self.replicas[name]
        if replica is not None and writes:
            self.carry(name, replica.written(writes[-1].token, self.now))

    def steps(self) -> Iterator[tuple[str, ...]]:
        """All that can happen now."""
        seen = set()
        for at, (to, message) in enumerate(self.sent):
            key = (to, m.encode(message))
            if key not in seen:
                seen.add(key)
                yield ("deliver", str(at))
                if self.left["lose"]:
                    yield ("lose", str(at))
                if self.left["repeat"]:
                    yield ("repeat", str(at))
        for name in self.names:
            if self.replicas[name] is None:
                yield ("start", name)
                continue
            if self.waiting[name]:
                yield ("sync", name)
            if self.left["crash"]:
                yield ("crash", name)
        if self.left["change"]:
            # The routers are alike: whoever proposes first is the first of them, the next one the second.
            proposer = self.names[self.left["change"] % len(self.names)]
            if self.replicas[proposer] is not None:
                yield ("change", proposer)
        if self.left["time"]:
            yield ("time",)

    def take(self, step: tuple[str, ...]) -> None:
        """Let it happen."""
        what = step[0]
        if what in self.left:
            self.left[what] -= 1
        if what in ("deliver", "repeat", "lose"):
            at = int(step[1])
            to, message = self.sent[at] if what == "repeat" else self.sent.pop(at)
            replica = self.replicas[to]
            if what != "lose" and replica is not None:
                self.carry(to, replica.received(message, self.now))
        elif what == "sync":
            self.settle(step[1])
        elif what == "crash":
            self.replicas[step[1]], self.waiting[step[1]] = None, []
        elif what == "start":
            self.start(step[1])
        elif what == "change":
            number = self.left["change"]
            wanted = m.Proposal(f"c{number}", "", "", Policy(StorePolicy(rate_per_s=1.0 + number)))
            replica = self.replicas[step[1]]
            assert replica is not None
            self.carry(step[1], replica.propose(wanted, self.now))
        else:
            self.now += STEP
            for name, replica in self.replicas.items():
                if replica is not None:
                    self.carry(name, replica.tick(self.now))
        self.deliver_at_once()

    def fingerprint(self) -> bytes:
        """Equal for states from which the same follows."""
        told = [self.now, sorted(self.left.items()), self.disks, self.waiting, self.admitted]
        told += [_plain(self.replicas[name]) for name in self.names]
        messages = sorted(to.encode() + m.encode(message) for to, message in self.sent)
        return blake2b(repr(_plain(told)).encode() + b"".join(messages), digest_size=16).digest()


def _plain(value: Any, places: dict[int, int] | None = None) -> Any:
    """Plain data that is equal for equal states; an object that several refer to is written out once."""
    places = {} if places is None else places
    if isinstance(value, dict):
        # Sorted first: the places of shared objects must not depend on the order of entries.
        rows = sorted(value.items(), key=lambda row: repr(row[0]))
        return [(repr(key), _plain(inner, places)) for key, inner in rows]
    if isinstance(value, set):
        return sorted(value)
    if isinstance(value, list | tuple | deque):
        return [_plain(inner, places) for inner in value]
    is_shared = isinstance(value, ReplicaSetup) or hasattr(value, "__dict__")
    if is_shared and id(value) in places:
        return places[id(value)]
    if is_shared:
        places[id(value)] = len(places)
    if isinstance(value, msgspec.Struct | Enum | type):
        return repr(value)
    if is_shared:
        return [(key, _plain(inner, places)) for key, inner in sorted(vars(value).items())]
    return repr(value)


def formed(bounds: Bounds, kind: type[Replica]) -> Small:
    """A fleet that has formed, with nothing under way."""
    state = Small(bounds, kind)
    for _ in range(60):
        for name in state.names:
            state.settle(name)
        while state.sent:
            to, message = state.sent.pop(0)
            replica = state.replicas[to]
            assert replica is not None
            state.carry(to, replica.received(message, state.now))
            state.deliver_at_once()
        state.now += STEP // 4
        for name, replica in state.replicas.items():
            if replica is not None:
                state.carry(name, replica.tick(state.now))
        state.deliver_at_once()
    assert all(replica and replica.may_admit(state.now) for replica in state.replicas.values())
    return state


def explore(bounds: Bounds, variant: Variant) -> Report:
    """Take every step from every state, the shortest paths first."""
    kind = variant.replica(Replica)
    if kind is not Replica:  # a state is kept as a pickle, which finds a class by its name
        kind.__module__, kind.__qualname__ = __name__, "Explored"
        globals()["Explored"] = kind
    first = formed(bounds, kind)
    seen = {first.fingerprint()}
    queue: deque[tuple[bytes, tuple[str, ...]]] = deque([(pickle.dumps(first), ())])
    depth = 0
    while queue:
        held, path = queue.popleft()
        depth = max(depth, len(path))
        for step in pickle.loads(held).steps():
            state: Small = pickle.loads(held)
            state.take(step)
            longer = (*path, " ".join(step))
            if wrong := state.check():
                return Report(len(seen), depth + 1, False, wrong, longer)
            mark = state.fingerprint()
            if mark not in seen:
                if len(seen) >= bounds.states:
                    return Report(len(seen), depth, False, "", ())
                seen.add(mark)
                queue.append((pickle.dumps(state), longer))
    return Report(len(seen), depth, True, "", ())
