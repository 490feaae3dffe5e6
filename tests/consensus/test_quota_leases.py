"""Quota leases: a voter never grants more than its part, whatever happens to messages and processes."""

from __future__ import annotations

import math
import random
from typing import TypeVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pebblepass.consensus import messages as m
from pebblepass.consensus.demand import DemandEstimator
from pebblepass.consensus.leases import LeaseTerms, ProcessId
from pebblepass.consensus.policy import NamespacePolicy, Policy, PolicyChecker, StorePolicy, read_policy
from pebblepass.consensus.quota_allocator import QuotaAllocator, QuotaPool, allocate
from pebblepass.consensus.quota_leases import Quota, QuotaLeaseHolder
from pebblepass.decisions.interface import RequestClass, Settings, Tenant

SECOND = 1_000_000_000
TERMS = LeaseTerms(SECOND, 0.1)
POOLS = {"acme": QuotaPool(75.0, 5.0), "zoo": QuotaPool(7.5, 0.5)}
PART = {name: pool.shared / 3 for name, pool in POOLS.items()}
ROUTERS = 4

Message = TypeVar("Message")
rates = st.floats(0, 1e4, allow_nan=False)
step = st.one_of(
    st.tuples(st.just("send request"), st.integers(0, ROUTERS - 1), st.tuples(rates, rates)),
    st.tuples(st.just("deliver grant"), st.integers(0, 7), st.booleans()),
    st.tuples(st.just("deliver request"), st.integers(0, 7), st.booleans()),
    st.tuples(st.just("advance clock"), st.integers(1, 700), st.none()),
    st.tuples(st.just("restart router"), st.integers(0, ROUTERS - 1), st.none()),
    st.tuples(st.just("restart voter"), st.none(), st.none()),
    st.tuples(st.just("check only"), st.none(), st.none()),
)


def pick(queue: list[Message], index: int, duplicate: bool) -> Message:
    """Return one of the last eight messages; older ones are lost. A duplicate stays in the queue."""
    del queue[:-8]
    index = len(queue) - 1 - index % len(queue)
    return queue[index] if duplicate else queue.pop(index)


class Fleet:
    """A voter, and routers with fast and slow clocks. Messages may be delayed, lost or duplicated."""

    def __init__(self, clock_rates: list[float]) -> None:
        self.now, self.clock_rates = 100 * SECOND, clock_rates
        self.voter = QuotaAllocator(TERMS, self.now, restarted=False)
        self.voter.begin(1, POOLS, 3)
        self.last_sequence: dict[ProcessId, int] = {}
        self.runs = [0] * ROUTERS
        self.sequences = [0] * ROUTERS
        self.holders = [QuotaLeaseHolder(TERMS) for _ in range(ROUTERS)]
        self.requested_at: dict[tuple[int, int, int], int] = {}
        self.requests: list[tuple[int, int, int, int, m.Rates]] = []
        self.grants: list[tuple[int, int, int, m.Rates]] = []

    def clock(self, router: int) -> int:
        return int(self.now * self.clock_rates[router])

    def perform(self, action: str, index: int | None, argument: object) -> None:
        if action == "send request":
            assert index is not None
            assert isinstance(argument, tuple)
            self.sequences[index] += 1
            self.requested_at[index, self.runs[index], self.sequences[index]] = self.clock(index)
            demand = tuple(zip(POOLS, argument, strict=True))
            self.requests.append(
                (
                    index,
                    self.runs[index],
                    self.sequences[index],
                    self.holders[index].applied_sequence("v"),
                    demand,
                )
            )
        elif action == "deliver request" and self.requests:
            assert index is not None
            router, run, sequence, applied, demand = pick(self.requests, index, bool(argument))
            process = ProcessId(str(router), str(run))
            if sequence > self.last_sequence.get(process, 0):  # as in LeaseGranter.request
                self.last_sequence[process] = sequence
                self.voter.request(process, 1, applied, demand, self.now)
                self.grants.append((router, run, sequence, self.voter.grant(process, sequence, self.now)))
        elif action == "deliver grant" and self.grants:
            assert index is not None
            router, run, sequence, granted = pick(self.grants, index, bool(argument))
            if run == self.runs[router]:
                holder = self.holders[router]
                if holder.granted("v", sequence, self.requested_at[router, run, sequence], granted):
                    self.voter.applied(ProcessId(str(router), str(run)), 1, sequence, self.now)
        elif action == "advance clock":
            assert index is not None
            self.now += index * SECOND // 1000
        elif action == "restart router":
            assert index is not None
            self.runs[index] += 1
            self.holders[index] = QuotaLeaseHolder(TERMS)
        elif action == "restart voter":
            self.voter = QuotaAllocator(TERMS, self.now, restarted=True)
            self.voter.begin(1, POOLS, 3)
            self.last_sequence.clear()

    def leased(self) -> dict[str, float]:
        total = dict.fromkeys(POOLS, 0.0)
        for router, holder in enumerate(self.holders):
            quota = holder.total(self.clock(router))
            if self.clock(router) < quota.until:
                for name, amount in quota.rates:
                    total[name] += amount
        return total


@settings(max_examples=300, deadline=None)
@given(st.lists(step, max_size=150), st.lists(st.floats(0.95, 1.05), min_size=ROUTERS, max_size=ROUTERS))
def test_leases_of_a_voter_never_exceed_its_part(
    steps: list[tuple[str, int | None, object]], rates: list[float]
) -> None:
    fleet = Fleet(rates)
    for step in steps:
        fleet.perform(*step)
        for name, amount in fleet.leased().items():
            assert amount <= PART[name] * (1 + 1e-9)
            assert fleet.voter.outstanding(name) <= PART[name] * (1 + 1e-9)


def run_randomly(seed: int) -> Fleet:
    """Play a long random run, which reaches more states than the short ones of hypothesis."""
    rng = random.Random(seed)
    fleet = Fleet([rng.uniform(0.95, 1.05) for _ in range(ROUTERS)])
    actions = (
        ["send request"] * 6
        + ["deliver request"] * 6
        + ["deliver grant"] * 6
        + ["advance clock"] * 3
        + ["restart router"]
    )
    for _ in range(2000):
        action = "restart voter" if rng.random() < 0.004 else rng.choice(actions)
        argument: object = rng.random() < 0.2
        index = rng.randrange(8)
        if action == "send request":
            argument = (rng.choice((0.0, 2.0, 40.0, 400.0)), rng.choice((0.0, 1.0, 9.0)))
        if action in ("send request", "restart router"):
            index %= ROUTERS
        fleet.perform(action, rng.randrange(1, 300) if action == "advance clock" else index, argument)
        for name, amount in fleet.leased().items():
            assert amount <= PART[name] * (1 + 1e-9), (seed, name)
    return fleet


def run_20_seeds() -> None:
    for seed in range(20):
        run_randomly(seed)


def test_leases_never_exceed_the_part_in_long_runs() -> None:
    run_20_seeds()


@pytest.mark.parametrize("fault", ["last grant", "restart", "old grant"])
def test_long_runs_detect_broken_rules(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if fault == "last grant":

        def count_last_grant(self: QuotaAllocator, client: object) -> None:
            del client.grants[:-1]  # type: ignore[attr-defined]
            recount(self, client)  # type: ignore[arg-type]

        recount = QuotaAllocator._recount
        monkeypatch.setattr(QuotaAllocator, "_recount", count_last_grant)
    elif fault == "restart":
        init = QuotaAllocator.__init__
        monkeypatch.setattr(
            QuotaAllocator, "__init__", lambda self, terms, now, restarted: init(self, terms, now, False)
        )
    else:
        granted = QuotaLeaseHolder.granted

        def accept_any_order(
            self: QuotaLeaseHolder, voter: str, sequence: int, requested_at: int, rates: m.Rates
        ) -> bool:
            leases, self._leases = self._leases, {}
            is_reduced = granted(self, voter, sequence, requested_at, rates)
            self._leases = {**leases, **self._leases}
            return is_reduced

        monkeypatch.setattr(QuotaLeaseHolder, "granted", accept_any_order)
    with pytest.raises(AssertionError):
        run_20_seeds()


def test_restarted_voter_grants_nothing_until_old_leases_expire() -> None:
    voter = QuotaAllocator(TERMS, 0, restarted=True)
    voter.begin(1, POOLS, 1)
    voter.request(ProcessId("r1", "b"), 1, 0, (("acme", 50.0),), 0)
    assert voter.grant(ProcessId("r1", "b"), 1, TERMS.granter_duration - 1) == ()
    voter.request(ProcessId("r1", "b"), 1, 0, (("acme", 50.0),), TERMS.granter_duration)
    assert dict(voter.grant(ProcessId("r1", "b"), 2, TERMS.granter_duration))["acme"] > 40


def test_reduced_lease_is_regranted_once_its_holder_applied_it() -> None:
    voter, now = QuotaAllocator(TERMS, 0, restarted=False), SECOND
    voter.begin(1, POOLS, 1)
    one, other = ProcessId("r1", "b"), ProcessId("r2", "b")
    voter.request(one, 1, 0, (("acme", 400.0),), now)
    first = dict(voter.grant(one, 1, now))["acme"]
    assert first == pytest.approx(75 * 15 / 16)
    voter.request(other, 1, 0, (("acme", 400.0),), now + SECOND // 10)
    assert dict(voter.grant(other, 1, now + SECOND // 10))["acme"] == pytest.approx(75 - first)
    voter.request(one, 1, 1, (("acme", 0.0),), now + SECOND // 5)
    assert dict(voter.grant(one, 2, now + SECOND // 5))["acme"] == pytest.approx(0, abs=0.01)
    assert voter.outstanding("acme") == pytest.approx(75)  # the grant may be lost
    voter.applied(one, 1, 2, now + SECOND // 5)
    voter.request(other, 1, 1, (("acme", 400.0),), now + SECOND // 4)
    assert dict(voter.grant(other, 2, now + SECOND // 4))["acme"] == pytest.approx(first)


def test_another_version_releases_all_quota_leases() -> None:
    voter, holder = QuotaAllocator(TERMS, 0, restarted=False), QuotaLeaseHolder(TERMS)
    voter.begin(1, POOLS, 1)
    voter.request(ProcessId("r1", "b"), 1, 0, (("acme", 50.0),), 0)
    holder.granted("v", 1, 0, voter.grant(ProcessId("r1", "b"), 1, 0))
    assert holder.total(1).rates
    holder.begin()
    assert holder.total(1) == Quota((), 0)
    voter.begin(2, POOLS, 1)
    assert voter.outstanding("acme") == 0


@given(st.lists(rates, max_size=30), st.floats(0.1, 1e5), st.floats(0, 100))
def test_split_allocates_the_total_and_is_max_min_fair(
    demands: list[float], total: float, floor: float
) -> None:
    split = allocate(dict(enumerate(demands)), total, floor)
    assert math.fsum(split.values()) <= total * (1 + 1e-6)
    needs = [max(demand - floor, 0.0) for demand in demands]
    if math.fsum(needs) <= total:
        assert all(split[key] >= need - 1e-6 * max(need, 1) for key, need in enumerate(needs))
    else:  # max-min fair: a router that gets less than its need has the largest share
        assert math.fsum(split.values()) == pytest.approx(total)
        largest = max(split.values())
        assert all(split[key] >= min(need, largest) - 1e-6 * largest for key, need in enumerate(needs))


def test_demand_estimate_follows_a_step_and_smooths_noise() -> None:
    estimator, rng, count = DemandEstimator(), random.Random(3), 0
    estimates = []
    for second in range(0, 120, 2):
        rate = 20.0 if second < 60 else 200.0
        count += round(rng.gauss(2 * rate, math.sqrt(2 * rate)))
        rates = dict(estimator.update({"acme": count}, second * SECOND))
        estimates.append(rates.get("acme", 0.0))
    assert all(14 < estimate < 28 for estimate in estimates[5:30])
    assert all(150 < estimate < 260 for estimate in estimates[33:])


def test_floors_are_reserved_and_invalid_policies_rejected() -> None:
    platform_settings = Settings(
        (RequestClass("get", 1, 2),), (Tenant("acme", 1.0, 40.0), Tenant("free", 0.0)), routers=4
    )
    checker = PolicyChecker(platform_settings)
    assert checker.pools(Policy(), 4) == {}
    leased = Policy(StorePolicy(uses_leases=True))
    assert checker.pools(leased, 4) == {"acme": QuotaPool(30.0, 2.5)}
    assert checker.pools(leased, 6) == {"acme": QuotaPool(25.0, 2.5)}  # more members than the settings have
    assert checker.pools(leased, 2) == {"acme": QuotaPool(30.0, 2.5)}
    limited = Policy(
        StorePolicy(rate_per_s=20.0, uses_leases=True), {"acme": NamespacePolicy(quota_per_s=16.0)}
    )
    assert checker.pools(limited, 4) == {"acme": QuotaPool(6.0, 2.5)}
    assert checker.check(Policy(), leased) == ""
    without_rest = Policy(StorePolicy(uses_leases=True), floor_fraction=1.0)
    assert checker.check(Policy(), without_rest) == "store.shares: no namespace has a quota beyond its floors"
    with pytest.raises(ValueError, match=r"^f: store.shares: expected `bool`, got `int`$"):
        read_policy("f", b"[store]\nshares = 1\n")


@pytest.mark.parametrize("rate", [math.nan, math.inf, -1.0])
def test_message_with_an_invalid_rate_is_rejected(rate: float) -> None:
    sender = m.Sender("r1", "b", "", 0, 1, 1, 0, 0, 1, True)
    for body in (m.LeaseRequest(1, 1, 0, (("acme", rate),)), m.LeaseGrant(1, 1, "b", (("acme", rate),))):
        with pytest.raises(ValueError, match=r"^[^\n]+$"):
            m.read_message(m.encode(m.Message(sender, body)))


def test_messages_without_quota_leases_omit_their_fields() -> None:
    sender = m.Sender("r1", "b", "", 0, 1, 1, 0, 0, 1, True)
    assert b"demand" not in m.encode(m.Message(sender, m.LeaseRequest(1, 1)))
    assert b"shares" not in m.encode(m.Message(sender, m.LeaseGrant(1, 1, "b")))
    assert b"shares" not in m.encode(Policy())
    decoded = m.read_message(m.encode(m.Message(sender, m.LeaseRequest(3, 2, 2, (("acme", 0.5),)))))
    assert decoded.body == m.LeaseRequest(3, 2, 2, (("acme", 0.5),))
