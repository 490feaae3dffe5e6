"""Simulates a fleet's consensus on a virtual clock without sockets, with faults drawn from a seed.

Replicas (`consensus.replica`) and log files (`storage.log`) are the production code, on disks that lose
power. The faults are message delays and losses, network cuts, pauses, kills and power losses. The same seed
gives the same history, byte for byte.
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
from pebblepass.fault_injection.disk import PowerLossDisk
from pebblepass.fault_injection.history import Event
from pebblepass.fault_injection.variants import Variant
from pebblepass.storage.frames import FileHeader, StorageError
from pebblepass.storage.log import Log

MS = 1_000_000
QUOTA, FLOOR_SHARE = 100.0, 0.25  # the only namespace's quota per second, and the part of it for the floors
NAMESPACE = "acme"
TURN_S, DEMAND_PER_S = 3.0, 3.0  # how often the high demand moves to other routers; demand for a weight of 1
SAMPLE_INTERVAL = 20 * MS  # between samples of what all routers may admit
START = 10_000_000_000  # arbitrary; no clock starts at this time by default
LOG_HEADER = FileHeader("trial", 1, "fleet")


class Plan(msgspec.Struct, frozen=True):
    """The parameters of a schedule: counts of faults, probabilities, and times in seconds."""

    routers: int = 7
    voters: int = 7
    length_s: float = 12.0
    lease_s: float = 1.0
    drift: float = 0.1
    changes: int = 4
    losses: float = 0.05
    """The fraction of messages lost."""
    kills: int = 3
    pauses: int = 2
    cuts: int = 2
    empty_disks: int = 0
    old_disks: int = 0
    blackouts: int = 0
    """Times that more than half of the routers are killed at once."""
    step_kills: float = 0.0
    """The probability that a router is killed right after it has sent a vote or a decision."""
    quick_restarts: bool = False
    """Whether killed routers restart within a tenth of a lease."""
    member_changes: bool = False
    least_voters: int = 3
    skew: float = 0.05
    """The largest fraction by which a clock runs fast or slow."""
    slow_sync: float = 0.02
    """The fraction of syncs that take up to 50 ms."""
    admissions_per_s: float = 40.0
    quiet_s: float = 4.0
    """The time at the end without faults, in which the fleet has to recover."""
    shares: float = 0.0
    """The fraction of changes whose policy uses quota leases; unless 0, the first version uses them too."""
    deaf: int = 0
    """Times that a router receives nothing for a while, but can send."""


class Admitter:
    """A router's admission state: the version last activated and the end of its lease."""

    def __init__(self) -> None:
        self.version = self.until = self.share_until = 0
        self.share = self.even_share = 0.0

    def activate(self, action: PolicyActivated) -> None:
        """Take over a version, the end of its lease and the granted share."""
        self.version, self.until = action.value.version, action.until
        self.share, self.share_until = (
            dict(action.quota_leases).get(NAMESPACE, 0.0),
            action.quota_leases_until,
        )
        shares = action.value.policy.store.uses_leases
        self.even_share = 0.0 if shares else rate_above_floors(action.value) / len(action.value.fleet.members)

    def rate_above_floor(self, now: int) -> tuple[int, float]:
        """The version it admits under and the rate that it admits above its floor."""
        version = self.admits(now)
        return version, 0.0 if not version else self.even_share or self.granted_share(now)

    def granted_share(self, now: int) -> float:
        """The share granted by the voters; 0 once it has expired."""
        return self.share if now < self.share_until else 0.0

    def admits(self, now: int) -> int:
        """The version under which a request is admitted now; 0: none, only the floor applies."""
        return self.version if now < self.until else 0


def rate_above_floors(value: m.Value) -> float:
    """The rate that a version allows all routers together above their floors."""
    rate = value.policy.store.rate_per_s
    return (QUOTA if rate is None else min(QUOTA, rate)) - QUOTA * FLOOR_SHARE


class Router:
    """A simulated router: a process that runs, is paused or is down, and its disk."""

    def __init__(self, simulation: Simulation, name: str, rate: float) -> None:
        self.simulation, self.name, self.rate = simulation, name, rate
        self.disk = PowerLossDisk()
        self.images: list[PowerLossDisk] = []
        self.replica: Replica | None = None
        self.admitter: Any = None
        self.paused_until = 0
        self.boots = 0
        self.resets = 0
        self._log: Log | None = None
        self._waiting: list[Write] = []
        self._writing = False
        self._unsynced: list[bytes] = []
        self._tick_at = 0
        self._backlog: list[Callable[[], None]] = []

    def now(self) -> int:
        """The time of the router's own clock."""
        return int(self.simulation.now * self.rate)

    def start(self) -> None:
        """Start the process with the content of its disk."""
        simulation = self.simulation
        self.boots += 1
        boot = f"b{self.boots}"
        self.admitter = simulation.variant.admitter(Admitter)()
        self._waiting, self._writing, self._backlog, self.paused_until = [], False, [], 0
        self._unsynced = []
        self._log = simulation.variant.log(Log)(self.disk, "agreement", LOG_HEADER)
        try:
            raw = self._log.open()
        except StorageError as error:
            simulation.record(self, "note", detail=f"can't open its log: {error}")
            return
        records = None if raw is None else [read_record(record) for record in raw]
        setup = ReplicaSetup(
            self.name,
            boot,
            simulation.terms,
            simulation.genesis,
            simulation.check(self.name),
            f"{self.name}.{simulation.rng.randrange(1 << 30):x}"
            if self.name in simulation.genesis.fleet.voters
            else "",
            simulation.seed,
            partial(simulation.pools, self.name),
            self.demand,
        )
        self.replica = simulation.variant.replica(Replica)(setup, records, self.now())
        simulation.record(self, "started", disk=self.replica.disk.disk_id)
        if self.replica.decided.version:
            self._record_decided(self.replica.decided)
        if raw is None:
            self._log.write_snapshot([m.encode(self.replica.snapshot())])
        self._execute(self.replica.start(self.now()))

    def demand(self) -> dict[str, int]:
        """The total demand for fetches so far, by the simulation's clock."""
        return {NAMESPACE: int(self.simulation.total_demand(self.name))}

    def stop(self, power: bool) -> None:
        """Kill the process; `power`: with a power loss, which takes unsynced data."""
        if power:
            if self._log is not None and self._unsynced:
                # An unfinished write: any part of it may have reached the disk.
                self.disk.ignores_sync = True
                with suppress(OSError):
                    self._log.append(self._unsynced)
                self.disk.ignores_sync = False
            self.disk.lose_power(self.simulation.rng)
        self.replica = None

    def pause(self, until: int) -> None:
        """Pause the process, as SIGSTOP does, until a time of the simulation's clock."""
        self.paused_until = until

    @property
    def runs(self) -> bool:
        """Whether the process is up and not paused."""
        return self.replica is not None and self.simulation.now >= self.paused_until

    def dispatch(self, work: Callable[[Replica], list[Action]]) -> None:
        """Pass an event to the replica, now or when the process resumes."""
        replica = self.replica
        if replica is None:
            return
        if not self.runs:
            self._backlog.append(lambda: self.dispatch(work))
            if len(self._backlog) == 1:
                self.simulation.at(self.paused_until, self._resume)
            return
        self._execute(work(replica))

    def _resume(self) -> None:
        backlog, self._backlog = self._backlog, []
        for work in backlog:
            work()

    def admit(self) -> None:
        """Record the admission of a request that the policy covers."""
        if self.runs and self.replica is not None:
            version = self.admitter.admits(self.now())
            self.simulation.record(self, "admit" if version else "floor", version=version)

    def propose(self, proposal: m.Proposal) -> None:
        """Propose a change at this router."""
        if self.runs:
            self.simulation.record(self, "proposed", change=proposal.change_id)
            self.dispatch(lambda replica: replica.propose(proposal, self.now()))

    def _execute(self, actions: list[Action]) -> None:
        simulation = self.simulation
        for action in actions:
            match action:
                case Send():
                    self._record_vote(action.message)
                    simulation.send(self, action.to, action.message)
                    if isinstance(action.message.body, m.Promise | m.Accepted | m.Accept | m.VersionDecided):
                        simulation.maybe_kill_at_step(self)
                        if self.replica is None:
                            return
                case Write():
                    self._waiting.append(action)
                    self._write()
                case PolicyActivated():
                    self.admitter.activate(action)
                case ProposalConcluded():
                    verdict = action.verdict
                    simulation.record(
                        self,
                        "verdict",
                        version=verdict.version,
                        change=verdict.change_id,
                        detail=verdict.state,
                    )
                case ChangeStep():
                    if action.event == "learned" and self.replica is not None:
                        self._record_decided(self.replica.decided)
        self._set_tick()

    def _record_decided(self, value: m.Value) -> None:
        digest = f"{crc32c(m.encode(value)):08x}"
        fields = {"amount": rate_above_floors(value)} if self.simulation.plan.shares else {}
        self.simulation.record(
            self, "decided", version=value.version, change=value.change_id, detail=digest, **fields
        )

    def _record_vote(self, message: m.Message) -> None:
        body, disk = message.body, message.sender.disk_id
        if isinstance(body, m.Promise):
            detail = body.value.change_id if body.value is not None else ""
            self.simulation.record(
                self, "promised", version=body.version, ballot=astuple(body.ballot), disk=disk, detail=detail
            )
        elif isinstance(body, m.Accepted):
            change = self.replica.acceptor.value if self.replica is not None else None
            change_id = change.change_id if change is not None else ""
            self.simulation.record(
                self,
                "accepted",
                version=body.version,
                ballot=astuple(body.ballot),
                disk=disk,
                change=change_id,
            )

    def _set_tick(self) -> None:
        if self.replica is None:
            return
        due = int(self.replica.due(self.now()) / self.rate) + 1
        if self._tick_at <= self.simulation.now or due < self._tick_at:
            self._tick_at = max(due, self.simulation.now + 1)
            at, replica = self._tick_at, self.replica
            self.simulation.at(at, lambda: self._tick(at, replica))

    def _tick(self, at: int, replica: Replica) -> None:
        if self.replica is replica and self._tick_at == at:
            self._tick_at = 0
            self.dispatch(lambda replica: replica.tick(self.now()))

    def _write(self) -> None:
        """Write all waiting records with one sync; one write is pending at a time, as in the service."""
        if self._writing or not self._waiting or self._log is None or self.replica is None:
            return
        self._writing = True
        batch, self._waiting = self._waiting, []
        log, replica = self._log, self.replica
        snapshot = m.encode(replica.snapshot()) if log.needs_snapshot else None
        sync_time = self.simulation.sync_time()
        self._unsynced = [m.encode(record) for write in batch for record in write.records]
        records = self._unsynced

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
                self.simulation.at(self.simulation.now + 100 * MS, retry)
                return
            self._writing, self._unsynced = False, []
            self.dispatch(lambda replica: replica.written(batch[-1].token, self.now()))
            self._write()

        def retry() -> None:
            if self.replica is replica:
                self._writing = False
                self._write()

        # Until `done` the records are unsynced: a power loss may keep them, lose them or tear them.
        self.simulation.at(self.simulation.now + sync_time, done)


class Simulation:
    """The simulated clock, network and routers."""

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
        self.refusing: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.losses = plan.losses
        self.faults_end = START + int((plan.length_s - plan.quiet_s) * 1e9)
        self.routers = {
            name: Router(self, name, 1 + self.rng.uniform(-plan.skew, plan.skew)) for name in names
        }

    def pools(self, name: str, policy: Policy, members: int) -> dict[str, QuotaPool]:
        """The quota pools of a policy; the floors are set aside for every member."""
        if not policy.store.uses_leases:
            return {}
        rate = policy.store.rate_per_s
        quota = QUOTA if rate is None else min(QUOTA, rate)
        floor = QUOTA * FLOOR_SHARE / self.plan.routers
        return {NAMESPACE: QuotaPool(quota - floor * members, floor)}

    def total_demand(self, name: str) -> float:
        """A router's total demand so far; it is uneven, and high demand moves to others every `TURN_S`."""
        number, (turns, rest) = int(name[1:]), divmod((self.now - START) / 1e9, TURN_S)
        weights = (1 + number * number, 1 + (self.plan.routers - number) ** 2)
        total_weight = (weights[0] + weights[1]) * (turns // 2) + weights[0] * (turns % 2)
        return float(DEMAND_PER_S * (total_weight * TURN_S + weights[int(turns % 2)] * rest))

    def sample_shares(self) -> None:
        """Record what each running router may admit at this time, and schedule the next sample."""
        for router in self.routers.values():
            if router.runs:
                version, amount = router.admitter.rate_above_floor(router.now())
                self.record(router, "share", version=version, amount=amount, until=self.now)
        self.at(self.now + SAMPLE_INTERVAL, self.sample_shares)

    def check(self, name: str) -> Callable[[Policy, Policy], str]:
        """Return a router's policy check, which fails if the schedule makes the router refuse."""
        return lambda before, after: "unknown namespace" if name in self.refusing and before != after else ""

    def record(self, router: Router, kind: str, **fields: Any) -> None:
        """Append an event to the history."""
        self.events.append(Event(self.now, router.name, kind, **fields))

    def at(self, time: int, work: Callable[[], None]) -> None:
        """Schedule a callback for a time."""
        self._number += 1
        heappush(self._queue, (max(time, self.now), self._number, work))

    def send(self, source: Router, to: str, message: m.Message) -> None:
        """Deliver a message after a random delay, or lose it."""
        self.messages += 1
        router = self.routers.get(to)
        if router is None or (source.name, to) in self.cut or self.rng.random() < self.losses:
            return
        slow = self.rng.random() < 0.02
        delay = int(self.rng.uniform(0.1, 200 if slow else 2) * MS)

        def arrive() -> None:
            if (source.name, to) not in self.cut:
                router.dispatch(lambda replica: replica.received(message, router.now()))

        self.at(self.now + delay, arrive)

    def maybe_kill_at_step(self, router: Router) -> None:
        """Kill a router after a step of a change, with the plan's probability."""
        if self.now < self.faults_end and self.rng.random() < self.plan.step_kills:
            _kill(self, router, "")

    def sync_time(self) -> int:
        """Draw the duration of the next sync."""
        slow = self.rng.random() < self.plan.slow_sync
        return int(self.rng.uniform(0.2, 50 if slow else 3) * MS)

    def run_until(self, time: int) -> None:
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= time:
            self.now, _, work = heappop(self._queue)
            work()
        self.now = max(self.now, time)

    def schedule_admissions(self, until: int) -> None:
        """Draw the requests of all routers up to a time."""
        mean_interval = 1e9 / self.plan.admissions_per_s
        for router in self.routers.values():
            at = self.now + self.rng.uniform(0, mean_interval)
            while at < until:
                self.at(int(at), router.admit)
                at += self.rng.uniform(0.5, 1.5) * mean_interval


def proposal(number: int, rng: random.Random) -> m.Proposal:
    """A change of the store's rate; some have a long reason, so that a record spans sectors."""
    reason = f"trial {number} " + "".join(rng.choice("abcdefgh") for _ in range(rng.choice((0, 900))))
    return m.Proposal(f"c{number}", "trial", reason, Policy(StorePolicy(rate_per_s=100.0 + number)))


def quota_lease_proposal(number: int, rng: random.Random, share: float) -> m.Proposal:
    """A change of the store's rate, a fraction `share` of them with quota leases."""
    store = StorePolicy(rate_per_s=rng.choice((60.0, 80.0, 100.0)), uses_leases=rng.random() < share)
    return m.Proposal(f"c{number}", "trial", f"trial {number}", Policy(store))


def draw_faults(simulation: Simulation, until: int) -> None:
    """Draw changes and faults up to a time."""
    plan, rng, routers = simulation.plan, simulation.rng, list(simulation.routers.values())
    begin = simulation.now + int(1.5e9)

    def random_time() -> int:
        return rng.randrange(begin, until)

    for number in range(plan.changes):
        router, change = rng.choice(routers), proposal(number, rng)
        if plan.shares:
            change = quota_lease_proposal(number, rng, plan.shares)
        simulation.at(random_time() if number or not plan.shares else begin, partial(router.propose, change))
    if plan.member_changes:
        for number in range(2):
            voter_names = list(simulation.genesis.fleet.voters)
            voters = tuple(sorted(rng.sample(voter_names, rng.randint(plan.least_voters, len(voter_names)))))
            change = m.Proposal(f"v{number}", "trial", "other voters", voters=voters)
            at, (first_router, second_router) = random_time(), rng.sample(routers, 2)
            simulation.at(at, partial(first_router.propose, change))
            rival_change = proposal(100 + number, rng)  # concurrent, at another router
            simulation.at(at + rng.randrange(10 * MS), partial(second_router.propose, rival_change))
    for _ in range(plan.kills):
        simulation.at(random_time(), partial(_kill, simulation, rng.choice(routers), ""))
    for kind in ("empty",) * plan.empty_disks + ("old",) * plan.old_disks:
        simulation.at(random_time(), partial(_kill, simulation, rng.choice(routers), kind))
    for _ in range(plan.blackouts):
        simulation.at(random_time(), partial(_kill_majority, simulation))
    for _ in range(plan.pauses):
        simulation.at(random_time(), partial(_pause, simulation, rng.choice(routers)))
    for _ in range(plan.cuts):
        simulation.at(random_time(), partial(_cut, simulation))
    for _ in range(plan.deaf):
        simulation.at(random_time(), partial(_block_incoming, simulation, rng.choice(routers)))


def _kill(simulation: Simulation, router: Router, disk: str) -> None:
    if router.replica is None:
        return
    simulation.record(router, "fault", detail=f"killed, disk {disk or 'kept'}")
    router.images.append(router.disk.copy())
    router.stop(power=simulation.rng.random() < 0.7)
    if disk == "empty":
        router.disk = PowerLossDisk()
    elif disk == "old":
        router.disk = router.images[0].copy()
    longest_downtime_s = 0.1 * simulation.plan.lease_s if simulation.plan.quick_restarts else 2.5
    simulation.at(simulation.now + int(simulation.rng.uniform(0.01, longest_downtime_s) * 1e9), router.start)


def _kill_majority(simulation: Simulation) -> None:
    routers = list(simulation.routers.values())
    for router in simulation.rng.sample(routers, simulation.rng.randint(len(routers) // 2 + 1, len(routers))):
        _kill(simulation, router, "")


def _pause(simulation: Simulation, router: Router) -> None:
    length = int(simulation.rng.uniform(0.2, 3.0) * simulation.terms.duration)
    simulation.record(router, "fault", detail=f"paused for {length / 1e6:.0f} ms")
    router.pause(simulation.now + length)


def _block_incoming(simulation: Simulation, router: Router) -> None:
    links = {(name, router.name) for name in simulation.routers if name != router.name}
    simulation.cut |= links
    simulation.record(router, "fault", detail=f"{router.name} receives nothing")

    def restore() -> None:
        simulation.cut -= links

    simulation.at(simulation.now + int(simulation.rng.uniform(0.5, 2.0) * simulation.terms.duration), restore)


def _cut(simulation: Simulation) -> None:
    rng, names = simulation.rng, list(simulation.routers)
    side = set(rng.sample(names, rng.randint(1, len(names) - 1)))
    one_way = rng.random() < 0.3
    links = {(a, b) for a in side for b in names if b not in side}
    if not one_way:
        links |= {(b, a) for a, b in links}
    simulation.cut |= links
    description = f"{','.join(sorted(side))} cut off{' one way' if one_way else ''}"
    simulation.record(simulation.routers[min(side)], "fault", detail=description)

    def restore() -> None:
        simulation.cut -= links

    simulation.at(simulation.now + int(rng.uniform(0.3, 3.0) * simulation.terms.duration), restore)


class Result(msgspec.Struct):
    """The outcome of a schedule."""

    seed: int
    events: list[Event]
    stuck: str
    """Why the fleet did not recover after the faults ended; empty: it did."""
    messages: int


def run_schedule(plan: Plan, seed: int, variant: Variant) -> Result:
    """Run one schedule."""
    simulation = Simulation(plan, seed, variant)
    for router in simulation.routers.values():
        simulation.at(simulation.now + simulation.rng.randrange(200 * MS), router.start)
    faults_end = simulation.faults_end
    end = faults_end + int(plan.quiet_s * 1e9)
    draw_faults(simulation, faults_end)
    simulation.schedule_admissions(end)
    if plan.shares:
        simulation.sample_shares()
    variant.inject_disk_faults([router.disk for router in simulation.routers.values()])
    simulation.run_until(faults_end)
    simulation.losses = 0.0
    simulation.cut.clear()
    simulation.run_until(end)
    return Result(seed, simulation.events, _recovery_failure(simulation), simulation.messages)


def _recovery_failure(simulation: Simulation) -> str:
    """Return which router holds no lease on the newest version, or no share that it needs; empty: none."""
    version_by_router: dict[str, int] = {}
    newest = max((r.replica.decided.version for r in simulation.routers.values() if r.replica), default=0)
    for name, router in simulation.routers.items():
        if router.replica is not None and router.runs:
            version_by_router[name] = (
                router.replica.decided.version if router.replica.may_admit(router.now()) else 0
            )
            if router.replica.acceptor.value is not None:
                return f"{name} still has {router.replica.acceptor.value.change_id} open"
    lacking = sorted(name for name, version in version_by_router.items() if version != newest)
    if lacking:
        return f"{', '.join(lacking)} not under version {newest} at the end"
    lacking = sorted(name for name in version_by_router if not _has_share(simulation.routers[name]))
    return f"{', '.join(lacking)} at the floor at the end with demand above it" if lacking else ""


def _has_share(router: Router) -> bool:
    """Whether every voter grants a share, if the policy uses shares, and it is above zero under demand."""
    replica = router.replica
    if replica is None or not replica.decided.policy.store.uses_leases:
        return True
    granting_voters = replica.lease_client.quota_holder.granting_voters(router.now())
    if not granting_voters >= replica.learner.voters.keys():
        return False
    floor = QUOTA * FLOOR_SHARE / router.simulation.plan.routers
    has_demand = dict(replica.lease_client.demand.rates()).get(NAMESPACE, 0.0) > floor
    return not has_demand or router.admitter.rate_above_floor(router.now())[1] > 0
