"""Every order of what can happen to a small fleet: messages, losses, repeats, syncs, crashes and time.

The state is the routers' own rules (`agreement.member`), what their disks hold, and what is under way. From a
fleet that has formed each step that is possible is taken, and from each state that was not seen before again.
States that differ only in the order of a table's entries count as one.

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
from pebblepass.consensus.leases import Terms
from pebblepass.consensus.member import Action, InForce, Member, Send, Setup, Write, genesis
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.fault_injection.broken import Variant

LEASE = 1_000_000_000
STEP = LEASE // 3 + 1
AT_ONCE = (m.Renew, m.Grant, m.Applied, m.State, m.Welcome, m.Check, m.Checked, m.Ask, m.Heard)


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

    def __init__(self, bounds: Bounds, kind: type[Member]) -> None:
        self.kind, self.now = kind, 10 * LEASE
        self.left = {"change": bounds.changes, "crash": bounds.crashes, "lose": bounds.losses}
        self.left |= {"repeat": bounds.repeats, "time": bounds.times}
        self.names = [f"r{number}" for number in range(bounds.routers)]
        self.members: dict[str, Member | None] = {}
        self.disks: dict[str, list[m.Record]] = {name: [] for name in self.names}
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
        setup = Setup(name, f"b{self.boots}", Terms(LEASE, 0.1), first, usable, f"{name}.{self.boots}")
        member = self.kind(setup, list(self.disks[name]) or None, self.now)
        member.rng = Even()  # type: ignore[assignment]
        self.members[name] = member
        self.carry(name, member.start(self.now))

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
                case InForce():
                    value = action.value
                    if self.decided.setdefault(value.version, value.change) != value.change:
                        self.wrong = (
                            f"version {value.version} is {self.decided[value.version]} and {value.change}"
                        )

    def deliver_at_once(self) -> None:
        """Deliver what is not taken in every order."""
        while self.at_once:
            to, message = self.at_once.popleft()
            member = self.members.get(to)
            if member is not None:
                self.carry(to, member.received(message, self.now))

    def check(self) -> str:
        """What does not hold in this state; empty: all does."""
        held = [member for member in self.members.values() if member and member.may_admit(self.now)]
        versions = [member.decided.version for member in held]
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
        member = self.members[name]
        if member is not None and writes:
            self.carry(name, member.written(writes[-1].token, self.now))

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
            if self.members[name] is None:
                yield ("start", name)
                continue
            if self.waiting[name]:
                yield ("sync", name)
            if self.left["crash"]:
                yield ("crash", name)
        if self.left["change"]:
            # The routers are alike: whoever proposes first is the first of them, the next one the second.
            proposer = self.names[self.left["change"] % len(self.names)]
            if self.members[proposer] is not None:
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
            member = self.members[to]
            if what != "lose" and member is not None:
                self.carry(to, member.received(message, self.now))
        elif what == "sync":
            self.settle(step[1])
        elif what == "crash":
            self.members[step[1]], self.waiting[step[1]] = None, []
        elif what == "start":
            self.start(step[1])
        elif what == "change":
            number = self.left["change"]
            wanted = m.Proposal(f"c{number}", "", "", Policy(StorePolicy(rate_per_s=1.0 + number)))
            member = self.members[step[1]]
            assert member is not None
            self.carry(step[1], member.propose(wanted, self.now))
        else:
            self.now += STEP
            for name, member in self.members.items():
                if member is not None:
                    self.carry(name, member.tick(self.now))
        self.deliver_at_once()

    def fingerprint(self) -> bytes:
        """Equal for states from which the same follows."""
        told = [self.now, sorted(self.left.items()), self.disks, self.waiting, self.admitted]
        told += [_plain(self.members[name]) for name in self.names]
        messages = sorted(to.encode() + m.encode(message) for to, message in self.sent)
        return blake2b(repr(_plain(told)).encode() + b"".join(messages), digest_size=16).digest()


def _plain(value: Any) -> Any:
    if isinstance(value, dict):
        return sorted((repr(key), _plain(inner)) for key, inner in value.items())
    if isinstance(value, set):
        return sorted(value)
    if isinstance(value, list | tuple | deque):
        return [_plain(inner) for inner in value]
    if isinstance(value, msgspec.Struct | Enum | type):
        return repr(value)
    if hasattr(value, "__dict__"):
        return [(key, _plain(inner)) for key, inner in sorted(vars(value).items()) if key != "rng"]
    return repr(value)


def formed(bounds: Bounds, kind: type[Member]) -> Small:
    """A fleet that has formed, with nothing under way."""
    state = Small(bounds, kind)
    for _ in range(60):
        for name in state.names:
            state.settle(name)
        while state.sent:
            to, message = state.sent.pop(0)
            member = state.members[to]
            assert member is not None
            state.carry(to, member.received(message, state.now))
            state.deliver_at_once()
        state.now += STEP // 4
        for name, member in state.members.items():
            if member is not None:
                state.carry(name, member.tick(state.now))
        state.deliver_at_once()
    assert all(member and member.may_admit(state.now) for member in state.members.values())
    return state


def explore(bounds: Bounds, variant: Variant) -> Report:
    """Take every step from every state, the shortest paths first."""
    kind = variant.member(Member)
    if kind is not Member:  # a state is kept as a pickle, which finds a class by its name
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
