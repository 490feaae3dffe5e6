"""Explores every order of events in a small fleet: messages, losses, repeats, syncs, crashes and time.

A state consists of the replicas (`consensus.replica`), their disks and the messages in transit. The search
starts from a fleet that has formed and takes each possible step from each new state. States that differ
only in the order of a table's entries count as one.

Votes, learned versions, syncs, crashes and timeouts are taken in every order. Lease requests and grants,
heartbeats, policy and liveness checks and start confirmations are not: they decide nothing and are delivered
at once, in sending order.
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
from pebblepass.fault_injection.variants import Variant

LEASE = 1_000_000_000
STEP = LEASE // 3 + 1
DELIVERED_AT_ONCE = (
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
    """The limits of one path, and of the entire search."""

    routers: int = 3
    changes: int = 2
    crashes: int = 2
    losses: int = 1
    repeats: int = 0
    times: int = 4
    """Time steps of a third of a lease."""
    states: int = 100_000
    """The most states to visit."""


class Report(msgspec.Struct):
    """The result of an exploration."""

    states: int
    depth: int
    complete: bool
    """Whether every reachable state was visited."""
    violation: str
    path: tuple[str, ...]


class FixedRandom:
    """A deterministic random source: randomness adds nothing, since all orders are taken."""

    def uniform(self, least: float, most: float) -> float:
        """Return the middle of the range."""
        return (least + most) / 2

    def randrange(self, most: int) -> int:
        """Return 0."""
        return 0


def accept_policy(before: Policy, after: Policy) -> str:
    """A policy check that accepts every policy."""
    return ""


class FleetState:
    """One state: routers, disks, messages in transit, and the events that may still happen."""

    def __init__(self, bounds: Bounds, kind: type[Replica]) -> None:
        self.kind, self.now = kind, 10 * LEASE
        self.remaining = {"change": bounds.changes, "crash": bounds.crashes, "lose": bounds.losses}
        self.remaining |= {"repeat": bounds.repeats, "time": bounds.times}
        self.names = [f"r{number}" for number in range(bounds.routers)]
        self.replicas: dict[str, Replica | None] = {}
        self.disks: dict[str, list[Record]] = {name: [] for name in self.names}
        self.unsynced_writes: dict[str, list[Write]] = {name: [] for name in self.names}
        self.in_transit: list[tuple[str, m.Message]] = []
        self.immediate_messages: deque[tuple[str, m.Message]] = deque()
        self.boot_count = 0
        self.decided: dict[int, str] = {}
        self.newest_admitted = 0
        self.violation = ""
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a router with the content of its disk."""
        self.boot_count += 1
        first = genesis(dict.fromkeys(self.names, "x:1"), self.names)
        setup = ReplicaSetup(
            name,
            f"b{self.boot_count}",
            LeaseTerms(LEASE, 0.1),
            first,
            accept_policy,
            f"{name}.{self.boot_count}",
        )
        replica = self.kind(setup, list(self.disks[name]) or None, self.now, FixedRandom())
        self.replicas[name] = replica
        self.execute(name, replica.start(self.now))

    def execute(self, name: str, actions: list[Action]) -> None:
        """Execute a router's actions; messages that are delivered at once are only queued here."""
        for action in actions:
            match action:
                case Send() if isinstance(action.message.body, DELIVERED_AT_ONCE):
                    self.immediate_messages.append((action.to, action.message))
                case Send():
                    self.in_transit.append((action.to, action.message))
                case Write():
                    self.unsynced_writes[name].append(action)
                case PolicyActivated():
                    value = action.value
                    if self.decided.setdefault(value.version, value.change_id) != value.change_id:
                        self.violation = (
                            f"version {value.version} is {self.decided[value.version]} and {value.change_id}"
                        )

    def deliver_at_once(self) -> None:
        """Deliver the messages that are not taken in every order."""
        while self.immediate_messages:
            to, message = self.immediate_messages.popleft()
            replica = self.replicas.get(to)
            if replica is not None:
                self.execute(to, replica.received(message, self.now))

    def check(self) -> str:
        """Return the violation in this state; empty if there is none."""
        holders = [replica for replica in self.replicas.values() if replica and replica.may_admit(self.now)]
        versions = [replica.decided.version for replica in holders]
        if versions and min(versions) < self.newest_admitted:
            self.violation = f"admits under {min(versions)} after {self.newest_admitted}"
        self.newest_admitted = max([self.newest_admitted, *versions])
        if len(set(versions)) > 1:
            self.violation = f"versions {sorted(set(versions))} in force at once"
        return self.violation

    def complete_sync(self, name: str) -> None:
        """Complete the sync of a router's waiting writes."""
        writes, self.unsynced_writes[name] = self.unsynced_writes[name], []
        self.disks[name] += [record for write in writes for record in write.records]
        replica = self.replicas[name]
        if replica is not None and writes:
            self.execute(name, replica.written(writes[-1].token, self.now))

    def possible_steps(self) -> Iterator[tuple[str, ...]]:
        """Yield every step that is possible in this state."""
        seen = set()
        for at, (to, message) in enumerate(self.in_transit):
            key = (to, m.encode(message))
            if key not in seen:
                seen.add(key)
                yield ("deliver", str(at))
                if self.remaining["lose"]:
                    yield ("lose", str(at))
                if self.remaining["repeat"]:
                    yield ("repeat", str(at))
        for name in self.names:
            if self.replicas[name] is None:
                yield ("start", name)
                continue
            if self.unsynced_writes[name]:
                yield ("sync", name)
            if self.remaining["crash"]:
                yield ("crash", name)
        if self.remaining["change"]:
            # The routers are interchangeable, so the proposers are fixed, a different one for each change.
            proposer = self.names[self.remaining["change"] % len(self.names)]
            if self.replicas[proposer] is not None:
                yield ("change", proposer)
        if self.remaining["time"]:
            yield ("time",)

    def apply(self, step: tuple[str, ...]) -> None:
        """Apply a step to this state."""
        kind = step[0]
        if kind in self.remaining:
            self.remaining[kind] -= 1
        if kind in ("deliver", "repeat", "lose"):
            at = int(step[1])
            to, message = self.in_transit[at] if kind == "repeat" else self.in_transit.pop(at)
            replica = self.replicas[to]
            if kind != "lose" and replica is not None:
                self.execute(to, replica.received(message, self.now))
        elif kind == "sync":
            self.complete_sync(step[1])
        elif kind == "crash":
            self.replicas[step[1]], self.unsynced_writes[step[1]] = None, []
        elif kind == "start":
            self.start(step[1])
        elif kind == "change":
            number = self.remaining["change"]
            wanted = m.Proposal(f"c{number}", "", "", Policy(StorePolicy(rate_per_s=1.0 + number)))
            replica = self.replicas[step[1]]
            assert replica is not None
            self.execute(step[1], replica.propose(wanted, self.now))
        else:
            self.now += STEP
            for name, replica in self.replicas.items():
                if replica is not None:
                    self.execute(name, replica.tick(self.now))
        self.deliver_at_once()

    def fingerprint(self) -> bytes:
        """Return a digest that is equal for states with the same future."""
        parts = [
            self.now,
            sorted(self.remaining.items()),
            self.disks,
            self.unsynced_writes,
            self.newest_admitted,
        ]
        parts += [_plain(self.replicas[name]) for name in self.names]
        messages = sorted(to.encode() + m.encode(message) for to, message in self.in_transit)
        return blake2b(repr(_plain(parts)).encode() + b"".join(messages), digest_size=16).digest()


def _plain(value: Any, numbers: dict[int, int] | None = None) -> Any:
    """Convert to plain data that is equal for equal states; a shared object is written out once."""
    numbers = {} if numbers is None else numbers
    if isinstance(value, dict):
        # Sorted first, so that the numbers of shared objects don't depend on the order of entries.
        rows = sorted(value.items(), key=lambda row: repr(row[0]))
        return [(repr(key), _plain(inner, numbers)) for key, inner in rows]
    if isinstance(value, set):
        return sorted(value)
    if isinstance(value, list | tuple | deque):
        return [_plain(inner, numbers) for inner in value]
    is_shared = isinstance(value, ReplicaSetup) or hasattr(value, "__dict__")
    if is_shared and id(value) in numbers:
        return numbers[id(value)]
    if is_shared:
        numbers[id(value)] = len(numbers)
    if isinstance(value, msgspec.Struct | Enum | type):
        return repr(value)
    if is_shared:
        return [(key, _plain(inner, numbers)) for key, inner in sorted(vars(value).items())]
    return repr(value)


def formed_fleet(bounds: Bounds, kind: type[Replica]) -> FleetState:
    """Return a fleet that has formed, with no message in transit."""
    state = FleetState(bounds, kind)
    for _ in range(60):
        for name in state.names:
            state.complete_sync(name)
        while state.in_transit:
            to, message = state.in_transit.pop(0)
            replica = state.replicas[to]
            assert replica is not None
            state.execute(to, replica.received(message, state.now))
            state.deliver_at_once()
        state.now += STEP // 4
        for name, replica in state.replicas.items():
            if replica is not None:
                state.execute(name, replica.tick(state.now))
        state.deliver_at_once()
    assert all(replica and replica.may_admit(state.now) for replica in state.replicas.values())
    return state


def explore(bounds: Bounds, variant: Variant) -> Report:
    """Search breadth-first: take every step from every state, so that the shortest path is found first."""
    kind = variant.replica(Replica)
    if kind is not Replica:  # states are pickled, and pickle finds a class by its name
        kind.__module__, kind.__qualname__ = __name__, "Explored"
        globals()["Explored"] = kind
    first = formed_fleet(bounds, kind)
    seen = {first.fingerprint()}
    queue: deque[tuple[bytes, tuple[str, ...]]] = deque([(pickle.dumps(first), ())])
    depth = 0
    while queue:
        pickled_state, path = queue.popleft()
        depth = max(depth, len(path))
        for step in pickle.loads(pickled_state).possible_steps():
            state: FleetState = pickle.loads(pickled_state)
            state.apply(step)
            next_path = (*path, " ".join(step))
            if violation := state.check():
                return Report(len(seen), depth + 1, False, violation, next_path)
            fingerprint = state.fingerprint()
            if fingerprint not in seen:
                if len(seen) >= bounds.states:
                    return Report(len(seen), depth, False, "", ())
                seen.add(fingerprint)
                queue.append((pickle.dumps(state), next_path))
    return Report(len(seen), depth, True, "", ())
