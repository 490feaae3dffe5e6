"""A fleet's agreement without sockets, on a virtual clock: delays, losses, pauses and power losses by a seed.

The rules are the routers' own (`consensus.replica`), the files theirs too (`storage.log`) on a disk that
loses power. The same seed gives the same history to the byte.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from heapq import heappop, heappush
from typing import Any

import msgspec
from crc32c import crc32c
from msgspec.structs import astuple

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import (
    Action,
    ChangeStep,
    PolicyActivated,
    ProposalConcluded,
    Send,
    Write,
)
from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.consensus.quota_allocator import QuotaPool
from pebblepass.consensus.records import read_record
from pebblepass.consensus.replica import Replica
from pebblepass.consensus.setup import ReplicaSetup, genesis
from pebblepass.fault_injection.broken import Variant
from pebblepass.fault_injection.disk import PowerDisk
from pebblepass.fault_injection.history import Event
from pebblepass.storage.frames import FileHeader, StorageError
from pebblepass.storage.log import Log

MS = 1_000_000
QUOTA, FLOOR_SHARE = 100.0, 0.25  # of the one namespace, a second
NAMESPACE = "acme"
TURN_S, WANTED = 3.0, 3.0  # after which others want the most; fetches a second for a weight of 1
LOOK = 20 * MS  # from one look at what all routers may admit to the next
START = 10_000_000_000  # a time that no clock starts from by chance
HEAD = FileHeader("trial", 1, "fleet")


class Plan(msgspec.Struct, frozen=True):
    """What a schedule is made of; shares and seconds."""

    routers: int = 7
    voters: int = 7
    length_s: float = 12.0
    lease_s: float = 1.0
    drift: float = 0.1
    changes: int = 4
    losses: float = 0.05
    """Of the messages."""
    kills: int = 3
    pauses: int = 2
    cuts: int = 2
    empty_disks: int = 0
    old_disks: int = 0
    blackouts: int = 0
    """More than half of the routers killed in one moment."""
    trips: float = 0.0
    """The chance that a router is killed right after it has sent a vote or a decision."""
    quick: bool = False
    """Whether those that were killed are back within a tenth of a lease."""
    member_changes: bool = False
    least_voters: int = 3
    skew: float = 0.05
    """By which part a clock runs fast, or slow."""
    slow_sync: float = 0.02
    """The part of syncs that take up to 50 ms."""
    admissions_per_s: float = 40.0
    quiet_s: float = 4.0
    """At the end: everything is mended, and has to come back."""
    shares: float = 0.0
    """The part of changes whose policy splits the quota by shares; 0: none does, nor the first version."""
    deaf: int = 0
    """Times that a router hears nothing for a while, and is heard."""


class Admitter:
    """What a router admits under: the version and the time that it was told last."""

    def __init__(self) -> None:
        self.version = self.until = self.share_until = 0
        self.share = self.even = 0.0

    def told(self, action: PolicyActivated) -> None:
        """A version, and until when."""
        self.version, self.until = action.value.version, action.until
        self.share, self.share_until = (
            dict(action.quota_leases).get(NAMESPACE, 0.0),
            action.quota_leases_until,
        )
        shares = action.value.policy.store.uses_leases
        self.even = 0.0 if shares else shared(action.value) / len(action.value.fleet.members)

    def beyond(self, now: int) -> tuple[int, float]:
        """Under which version it admits how much beyond its floor."""
        version = self.admits(now)
        return version, 0.0 if not version else self.even or self.share_now(now)

    def share_now(self, now: int) -> float:
        """What it holds by grants."""
        return self.share if now < self.share_until else 0.0

    def admits(self, now: int) -> int:
        """Under which version a request is admitted now; 0: under none, at the floor."""
        return self.version if now < self.until else 0


def shared(value: m.Value) -> float:
    """What a version has for all routers beyond their floors."""
    rate = value.policy.store.rate_per_s
    return (QUOTA if rate is None else min(QUOTA, rate)) - QUOTA * FLOOR_SHARE


class Router:
    """One router of a schedule: a process that runs, is paused or is down, and its disk."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        self.world, self.name, self.rate = world, name, rate
        self.disk = PowerDisk()
        self.images: list[PowerDisk] = []
        self.replica: Replica | None = None
        self.admitter: Any = None
        self.paused_until = 0
        self.boots = 0
        self.resets = 0
        self._log: Log | None = None
        self._waiting: list[Write] = []
        self._writing = False
        self._under_way: list[bytes] = []
        self._tick_at = 0
        self._backlog: list[Callable[[], None]] = []

    def now(self) -> int:
        """Its own clock."""
        return int(self.world.now * self.rate)

    def start(self) -> None:
        """Start the process from what the disk holds."""
        world = self.world
        self.boots += 1
        boot = f"b{self.boots}"
        self.admitter = world.variant.admitter(Admitter)()
        self._waiting, self._writing, self._backlog, self.paused_until = [], False, [], 0
        self._under_way = []
        self._log = world.variant.log(Log)(self.disk, "agreement", HEAD)
        try:
            raw = self._log.open()
        except StorageError as error:
            world.record(self, "note", told=f"refused its log: {error}")
            return
        records = None if raw is None else [read_record(each) for each in raw]
        setup = ReplicaSetup(
            self.name,
            boot,
            world.terms,
            world.genesis,
            world.check(self.name),
            f"{self.name}.{world.rng.randrange(1 << 30):x}"
            if self.name in world.genesis.fleet.voters
            else "",
            world.seed,
            partial(world.pools, self.name),
            self.demand,
        )
        self.replica = world.variant.replica(Replica)(setup, records, self.now())
        world.record(self, "started", disk=self.replica.disk.disk_id)
        if self.replica.decided.version:
            self._record_decided(self.replica.decided)
        if raw is None:
            self._log.write_snapshot([m.encode(self.replica.snapshot())])
        self._carry_out(self.replica.start(self.now()))

    def demand(self) -> dict[str, int]:
        """The fetches that it has wanted so far, by the world's clock."""
        return {NAMESPACE: int(self.world.wanted(self.name))}

    def stop(self, power: bool) -> None:
        """SIGKILL; with the power, what was not synced goes too."""
        if power:
            if self._log is not None and self._under_way:
                # On its way to the disk: some of it may be there, and some not.
                self.disk.lies = True
                with suppress(OSError):
                    self._log.append(self._under_way)
                self.disk.lies = False
            self.disk.lose_power(self.world.rng)
        self.replica = None

    def pause(self, until: int) -> None:
        """SIGSTOP, until a time of the world's clock."""
        self.paused_until = until

    @property
    def runs(self) -> bool:
        """Whether the process does anything now."""
        return self.replica is not None and self.world.now >= self.paused_until

    def do(self, work: Callable[[Replica], list[Action]]) -> None:
        """Give the replica an event, now or once the process goes on."""
        replica = self.replica
        if replica is None:
            return
        if not self.runs:
            self._backlog.append(lambda: self.do(work))
            if len(self._backlog) == 1:
                self.world.at(self.paused_until, self._go_on)
            return
        self._carry_out(work(replica))

    def _go_on(self) -> None:
        backlog, self._backlog = self._backlog, []
        for work in backlog:
            work()

    def admit(self) -> None:
        """A request comes that the policy governs."""
        if self.runs and self.replica is not None:
            version = self.admitter.admits(self.now())
            self.world.record(self, "admit" if version else "floor", version=version)

    def propose(self, proposal: m.Proposal) -> None:
        """A person proposes here."""
        if self.runs:
            self.world.record(self, "proposed", change=proposal.change_id)
            self.do(lambda replica: replica.propose(proposal, self.now()))

    def _carry_out(self, actions: list[Action]) -> None:
        world = self.world
        for action in actions:
            match action:
                case Send():
                    self._record_vote(action.message)
                    world.send(self, action.to, action.message)
                    if isinstance(action.message.body, m.Promise | m.Accepted | m.Accept | m.VersionDecided):
                        world.trip(self)
                        if self.replica is None:
                            return
                case Write():
                    self._waiting.append(action)
                    self._write()
                case PolicyActivated():
                    self.admitter.told(action)
                case ProposalConcluded():
                    verdict = action.verdict
                    world.record(
                        self, "verdict", version=verdict.version, change=verdict.change_id, told=verdict.state
                    )
                case ChangeStep():
                    if action.event == "learned" and self.replica is not None:
                        self._record_decided(self.replica.decided)
        self._set_tick()

    def _record_decided(self, value: m.Value) -> None:
        digest = f"{crc32c(m.encode(value)):08x}"
        facts = {"amount": shared(value)} if self.world.plan.shares else {}
        self.world.record(
            self, "decided", version=value.version, change=value.change_id, told=digest, **facts
        )

    def _record_vote(self, message: m.Message) -> None:
        body, disk = message.body, message.sender.disk_id
        if isinstance(body, m.Promise):
            told = body.value.change_id if body.value is not None else ""
            self.world.record(
                self, "promised", version=body.version, ballot=astuple(body.ballot), disk=disk, told=told
            )
        elif isinstance(body, m.Accepted):
            change = self.replica.acceptor.value if self.replica is not None else None
            told = change.change_id if change is not None else ""
            self.world.record(
                self, "accepted", version=body.version, ballot=astuple(body.ballot), disk=disk, change=told
            )

    def _set_tick(self) -> None:
        if self.replica is None:
            return
        due = int(self.replica.due(self.now()) / self.rate) + 1
        if self._tick_at <= self.world.now or due < self._tick_at:
            self._tick_at = max(due, self.world.now + 1)
            at, replica = self._tick_at, self.replica
            self.world.at(at, lambda: self._tick(at, replica))

    def _tick(self, at: int, replica: Replica) -> None:
        if self.replica is replica and self._tick_at == at:
            self._tick_at = 0
            self.do(lambda replica: replica.tick(self.now()))

    def _write(self) -> None:
        """As the routers' shell: all that waits goes in one sync, and one is under way at a time."""
        if self._writing or not self._waiting or self._log is None or self.replica is None:
            return
        self._writing = True
        batch, self._waiting = self._waiting, []
        log, replica = self._log, self.replica
        snapshot = m.encode(replica.snapshot()) if log.needs_snapshot else None
        took = self.world.sync_time()
        self._under_way = [m.encode(record) for write in batch for record in write.records]
        records = self._under_way

        def done() -> None:
            if self.replica is not replica:
                return
            try:
                if snapshot is not None:
                    log.write_snapshot([snapshot])
                else:
                    log.append(records)
            except OSError:
                self._waiting = batch + self._waiting
                self.world.at(self.world.now + 100 * MS, retry)
                return
            self._writing, self._under_way = False, []
            self.do(lambda replica: replica.written(batch[-1].token, self.now()))
            self._write()

        def retry() -> None:
            if self.replica is replica:
                self._writing = False
                self._write()

        # What is written and not synced is on its way to the disk: a power loss may keep it, or tear it.
        self.world.at(self.world.now + took, done)


class World:
    """The clock, the network and the routers."""

    def __init__(self, plan: Plan, seed: int, variant: Variant) -> None:
        self.plan, self.seed, self.variant = plan, seed, variant
        self.rng = random.Random(f"schedule {seed}")
        self.now = START
        self.terms = LeaseTerms(int(plan.lease_s * 1e9), plan.drift)
        self.events: list[Event] = []
        self.messages = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._number = 0
        names = [f"r{number}" for number in range(plan.routers)]
        self.genesis = genesis({name: name for name in names}, names[: plan.voters])
        if plan.shares:
            policy = Policy(StorePolicy(uses_leases=True))
            self.genesis = msgspec.structs.replace(self.genesis, policy=policy)
        self.refuses: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.losses = plan.losses
        self.busy_until = START + int((plan.length_s - plan.quiet_s) * 1e9)
        self.routers = {
            name: Router(self, name, 1 + self.rng.uniform(-plan.skew, plan.skew)) for name in names
        }

    def pools(self, name: str, policy: Policy, members: int) -> dict[str, QuotaPool]:
        """What there is to share; the floors are set aside for every replica."""
        if not policy.store.uses_leases:
            return {}
        rate = policy.store.rate_per_s
        quota = QUOTA if rate is None else min(QUOTA, rate)
        floor = QUOTA * FLOOR_SHARE / self.plan.routers
        return {NAMESPACE: QuotaPool(quota - floor * members, floor)}

    def wanted(self, name: str) -> float:
        """A router's fetches so far: some want far more than others, and who does changes now and then."""
        number, (turns, rest) = int(name[1:]), divmod((self.now - START) / 1e9, TURN_S)
        weights = (1 + number * number, 1 + (self.plan.routers - number) ** 2)
        whole = (weights[0] + weights[1]) * (turns // 2) + weights[0] * (turns % 2)
        return float(WANTED * (whole * TURN_S + weights[int(turns % 2)] * rest))

    def look(self) -> None:
        """See what all that run may admit at this moment, all together."""
        for router in self.routers.values():
            if router.runs:
                version, amount = router.admitter.beyond(router.now())
                self.record(router, "share", version=version, amount=amount, until=self.now)
        self.at(self.now + LOOK, self.look)

    def check(self, name: str) -> Callable[[Policy, Policy], str]:
        """What a router says of a policy: no, where the schedule has it refuse."""
        return lambda before, after: "unknown namespace" if name in self.refuses and before != after else ""

    def record(self, router: Router, what: str, **facts: Any) -> None:
        """Add to the history."""
        self.events.append(Event(self.now, router.name, what, **facts))

    def at(self, time: int, work: Callable[[], None]) -> None:
        """Do something at a time."""
        self._number += 1
        heappush(self._queue, (max(time, self.now), self._number, work))

    def send(self, source: Router, to: str, message: m.Message) -> None:
        """Carry a message, or lose it."""
        self.messages += 1
        router = self.routers.get(to)
        if router is None or (source.name, to) in self.cut or self.rng.random() < self.losses:
            return
        slow = self.rng.random() < 0.02
        delay = int(self.rng.uniform(0.1, 200 if slow else 2) * MS)

        def arrive() -> None:
            if (source.name, to) not in self.cut:
                router.do(lambda replica: replica.received(message, router.now()))

        self.at(self.now + delay, arrive)

    def trip(self, router: Router) -> None:
        """A step of a change has been made: its router may be killed at it."""
        if self.now < self.busy_until and self.rng.random() < self.plan.trips:
            _kill(self, router, "")

    def sync_time(self) -> int:
        """How long the next sync takes."""
        slow = self.rng.random() < self.plan.slow_sync
        return int(self.rng.uniform(0.2, 50 if slow else 3) * MS)

    def run_until(self, time: int) -> None:
        """Play on."""
        while self._queue and self._queue[0][0] <= time:
            self.now, _, work = heappop(self._queue)
            work()
        self.now = max(self.now, time)

    def stop_admissions(self, until: int) -> None:
        """Draw the requests that come until then, at all routers."""
        gap = 1e9 / self.plan.admissions_per_s
        for router in self.routers.values():
            at = self.now + self.rng.uniform(0, gap)
            while at < until:
                self.at(int(at), router.admit)
                at += self.rng.uniform(0.5, 1.5) * gap


def proposal(number: int, rng: random.Random) -> m.Proposal:
    """A change of the store's rate; its reason is long, so that a record spans sectors."""
    why = f"trial {number} " + "".join(rng.choice("abcdefgh") for _ in range(rng.choice((0, 900))))
    return m.Proposal(f"c{number}", "trial", why, Policy(StorePolicy(rate_per_s=100.0 + number)))


def shared_proposal(number: int, rng: random.Random, share: float) -> m.Proposal:
    """A change of the store's rate, most of them with shares."""
    store = StorePolicy(rate_per_s=rng.choice((60.0, 80.0, 100.0)), uses_leases=rng.random() < share)
    return m.Proposal(f"c{number}", "trial", f"trial {number}", Policy(store))


def draw_faults(world: World, until: int) -> None:
    """Draw changes and faults up to a time."""
    plan, rng, routers = world.plan, world.rng, list(world.routers.values())
    begin = world.now + int(1.5e9)

    def when() -> int:
        return rng.randrange(begin, until)

    for number in range(plan.changes):
        chosen, wanted = rng.choice(routers), proposal(number, rng)
        if plan.shares:
            wanted = shared_proposal(number, rng, plan.shares)
        world.at(when() if number or not plan.shares else begin, partial(chosen.propose, wanted))
    if plan.member_changes:
        for number in range(2):
            names = list(world.genesis.fleet.voters)
            voters = tuple(sorted(rng.sample(names, rng.randint(plan.least_voters, len(names)))))
            wanted = m.Proposal(f"v{number}", "trial", "other voters", voters=voters)
            at, (one, other) = when(), rng.sample(routers, 2)
            world.at(at, partial(one.propose, wanted))
            rival = proposal(100 + number, rng)  # at the same time, elsewhere
            world.at(at + rng.randrange(10 * MS), partial(other.propose, rival))
    for _ in range(plan.kills):
        world.at(when(), partial(_kill, world, rng.choice(routers), ""))
    for kind in ("empty",) * plan.empty_disks + ("old",) * plan.old_disks:
        world.at(when(), partial(_kill, world, rng.choice(routers), kind))
    for _ in range(plan.blackouts):
        world.at(when(), partial(_black_out, world))
    for _ in range(plan.pauses):
        world.at(when(), partial(_pause, world, rng.choice(routers)))
    for _ in range(plan.cuts):
        world.at(when(), partial(_cut, world))
    for _ in range(plan.deaf):
        world.at(when(), partial(_deafen, world, rng.choice(routers)))


def _kill(world: World, router: Router, disk: str) -> None:
    if router.replica is None:
        return
    world.record(router, "fault", told=f"killed, disk {disk or 'kept'}")
    router.images.append(router.disk.copy())
    router.stop(power=world.rng.random() < 0.7)
    if disk == "empty":
        router.disk = PowerDisk()
    elif disk == "old":
        router.disk = router.images[0].copy()
    longest = 0.1 * world.plan.lease_s if world.plan.quick else 2.5
    world.at(world.now + int(world.rng.uniform(0.01, longest) * 1e9), router.start)


def _black_out(world: World) -> None:
    routers = list(world.routers.values())
    for router in world.rng.sample(routers, world.rng.randint(len(routers) // 2 + 1, len(routers))):
        _kill(world, router, "")


def _pause(world: World, router: Router) -> None:
    length = int(world.rng.uniform(0.2, 3.0) * world.terms.duration)
    world.record(router, "fault", told=f"paused for {length / 1e6:.0f} ms")
    router.pause(world.now + length)


def _deafen(world: World, router: Router) -> None:
    links = {(name, router.name) for name in world.routers if name != router.name}
    world.cut |= links
    world.record(router, "fault", told=f"{router.name} hears nothing")

    def mend() -> None:
        world.cut -= links

    world.at(world.now + int(world.rng.uniform(0.5, 2.0) * world.terms.duration), mend)


def _cut(world: World) -> None:
    rng, names = world.rng, list(world.routers)
    side = set(rng.sample(names, rng.randint(1, len(names) - 1)))
    one_way = rng.random() < 0.3
    links = {(a, b) for a in side for b in names if b not in side}
    if not one_way:
        links |= {(b, a) for a, b in links}
    world.cut |= links
    told = f"{','.join(sorted(side))} cut off{' one way' if one_way else ''}"
    world.record(world.routers[min(side)], "fault", told=told)

    def mend() -> None:
        world.cut -= links

    world.at(world.now + int(rng.uniform(0.3, 3.0) * world.terms.duration), mend)


class Result(msgspec.Struct):
    """A schedule's end."""

    seed: int
    events: list[Event]
    stuck: str
    """Why the fleet did not come back once all was mended; empty: it did."""
    messages: int


def play(plan: Plan, seed: int, variant: Variant) -> Result:
    """Play one schedule."""
    world = World(plan, seed, variant)
    for router in world.routers.values():
        world.at(world.now + world.rng.randrange(200 * MS), router.start)
    busy = world.busy_until
    end = busy + int(plan.quiet_s * 1e9)
    draw_faults(world, busy)
    world.stop_admissions(end)
    if plan.shares:
        world.look()
    variant.disturb([router.disk for router in world.routers.values()])
    world.run_until(busy)
    world.losses = 0.0
    world.cut.clear()
    world.run_until(end)
    return Result(seed, world.events, _stuck(world), world.messages)


def _stuck(world: World) -> str:
    """Whether all routers that are up hold a lease on one version at the end."""
    held: dict[str, int] = {}
    newest = max((r.replica.decided.version for r in world.routers.values() if r.replica), default=0)
    for name, router in world.routers.items():
        if router.replica is not None and router.runs:
            held[name] = router.replica.decided.version if router.replica.may_admit(router.now()) else 0
            if router.replica.acceptor.value is not None:
                return f"{name} still holds {router.replica.acceptor.value.change_id} open"
    lacking = sorted(name for name, version in held.items() if version != newest)
    if lacking:
        return f"{', '.join(lacking)} not under version {newest} at the end"
    lacking = sorted(name for name in held if not _has_its_share(world.routers[name]))
    return f"{', '.join(lacking)} at the floor at the end, and wants more" if lacking else ""


def _has_its_share(router: Router) -> bool:
    """Whether every voter grants it a share, where the policy has such, and it has one if it wants any."""
    replica = router.replica
    if replica is None or not replica.decided.policy.store.uses_leases:
        return True
    holding = replica.lease_client.quota_holder.granting_voters(router.now())
    if not holding >= replica.learner.voters.keys():
        return False
    floor = QUOTA * FLOOR_SHARE / router.world.plan.routers
    wants = dict(replica.lease_client.demand.rates()).get(NAMESPACE, 0.0) > floor
    return not wants or router.admitter.beyond(router.now())[1] > 0
