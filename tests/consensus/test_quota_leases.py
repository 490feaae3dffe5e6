"""The rules of shares: what a voter has out never exceeds its part, whatever becomes of the messages."""

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
    st.tuples(st.just("ask"), st.integers(0, ROUTERS - 1), st.tuples(rates, rates)),
    st.tuples(st.just("answer"), st.integers(0, 7), st.booleans()),
    st.tuples(st.just("question"), st.integers(0, 7), st.booleans()),
    st.tuples(st.just("pass"), st.integers(1, 700), st.none()),
    st.tuples(st.just("restart router"), st.integers(0, ROUTERS - 1), st.none()),
    st.tuples(st.just("restart voter"), st.none(), st.none()),
    st.tuples(st.just("look"), st.none(), st.none()),
)


def taken(queue: list[Message], at: int, again: bool) -> Message:
    """One of the last few; `again`: it comes once more later. The oldest are lost."""
    del queue[:-8]
    at = len(queue) - 1 - at % len(queue)
    return queue[at] if again else queue.pop(at)


class Fleet:
    """One voter and routers whose clocks run fast and slow; every message may be late, lost or doubled."""

    def __init__(self, rates: list[float]) -> None:
        self.now, self.rates = 100 * SECOND, rates
        self.voter = QuotaAllocator(TERMS, self.now, restarted=False)
        self.voter.begin(1, POOLS, 3)
        self.last_seq: dict[ProcessId, int] = {}
        self.boots = [0] * ROUTERS
        self.seqs = [0] * ROUTERS
        self.holders = [QuotaLeaseHolder(TERMS) for _ in range(ROUTERS)]
        self.asked: dict[tuple[int, int, int], int] = {}
        self.questions: list[tuple[int, int, int, int, m.Rates]] = []
        self.answers: list[tuple[int, int, int, m.Rates]] = []

    def clock(self, router: int) -> int:
        return int(self.now * self.rates[router])

    def do(self, what: str, at: int | None, more: object) -> None:
        if what == "ask":
            assert at is not None
            assert isinstance(more, tuple)
            self.seqs[at] += 1
            self.asked[at, self.boots[at], self.seqs[at]] = self.clock(at)
            rows = tuple(zip(POOLS, more, strict=True))
            self.questions.append(
                (at, self.boots[at], self.seqs[at], self.holders[at].applied_sequence("v"), rows)
            )
        elif what == "question" and self.questions:
            assert at is not None
            router, boot, seq, applied, rows = taken(self.questions, at, bool(more))
            who = ProcessId(str(router), str(boot))
            if seq > self.last_seq.get(who, 0):  # as Granter.asked has it
                self.last_seq[who] = seq
                self.voter.request(who, 1, applied, rows, self.now)
                self.answers.append((router, boot, seq, self.voter.grant(who, seq, self.now)))
        elif what == "answer" and self.answers:
            assert at is not None
            router, boot, seq, rows = taken(self.answers, at, bool(more))
            if boot == self.boots[router]:
                holder = self.holders[router]
                if holder.granted("v", seq, self.asked[router, boot, seq], rows):
                    self.voter.applied(ProcessId(str(router), str(boot)), 1, seq, self.now)
        elif what == "pass":
            assert at is not None
            self.now += at * SECOND // 1000
        elif what == "restart router":
            assert at is not None
            self.boots[at] += 1
            self.holders[at] = QuotaLeaseHolder(TERMS)
        elif what == "restart voter":
            self.voter = QuotaAllocator(TERMS, self.now, restarted=True)
            self.voter.begin(1, POOLS, 3)
            self.last_seq.clear()

    def held(self) -> dict[str, float]:
        total = dict.fromkeys(POOLS, 0.0)
        for router, holder in enumerate(self.holders):
            quota = holder.total(self.clock(router))
            if self.clock(router) < quota.until:
                for name, amount in quota.rates:
                    total[name] += amount
        return total


@settings(max_examples=300, deadline=None)
@given(st.lists(step, max_size=150), st.lists(st.floats(0.95, 1.05), min_size=ROUTERS, max_size=ROUTERS))
def test_what_routers_hold_of_a_voter_never_exceeds_its_part(
    steps: list[tuple[str, int | None, object]], rates: list[float]
) -> None:
    fleet = Fleet(rates)
    for each in steps:
        fleet.do(*each)
        for name, amount in fleet.held().items():
            assert amount <= PART[name] * (1 + 1e-9)
            assert fleet.voter.outstanding(name) <= PART[name] * (1 + 1e-9)


def drawn(seed: int) -> Fleet:
    """Long random runs, which come to more states than the short ones of the search."""
    rng = random.Random(seed)
    fleet = Fleet([rng.uniform(0.95, 1.05) for _ in range(ROUTERS)])
    kinds = ["ask"] * 6 + ["question"] * 6 + ["answer"] * 6 + ["pass"] * 3 + ["restart router"]
    for _ in range(2000):
        what = "restart voter" if rng.random() < 0.004 else rng.choice(kinds)
        more: object = rng.random() < 0.2
        at = rng.randrange(8)
        if what == "ask":
            more = (rng.choice((0.0, 2.0, 40.0, 400.0)), rng.choice((0.0, 1.0, 9.0)))
        if what in ("ask", "restart router"):
            at %= ROUTERS
        fleet.do(what, rng.randrange(1, 300) if what == "pass" else at, more)
        for name, amount in fleet.held().items():
            assert amount <= PART[name] * (1 + 1e-9), (seed, name)
    return fleet


def long_runs() -> None:
    for seed in range(20):
        drawn(seed)


def test_long_runs_never_exceed_it_either() -> None:
    long_runs()


@pytest.mark.parametrize("fault", ["last grant", "restart", "old grant"])
def test_long_runs_catch_rules_that_are_broken(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if fault == "last grant":

        def count(self: QuotaAllocator, client: object) -> None:
            del client.grants[:-1]  # type: ignore[attr-defined]
            sound(self, client)  # type: ignore[arg-type]

        sound = QuotaAllocator._recount
        monkeypatch.setattr(QuotaAllocator, "_recount", count)
    elif fault == "restart":
        init = QuotaAllocator.__init__
        monkeypatch.setattr(
            QuotaAllocator, "__init__", lambda self, terms, now, restarted: init(self, terms, now, False)
        )
    else:
        granted = QuotaLeaseHolder.granted

        def any_order(self: QuotaLeaseHolder, voter: str, seq: int, at: int, share: m.Rates) -> bool:
            leases, self._leases = self._leases, {}
            told = granted(self, voter, seq, at, share)
            self._leases = {**leases, **self._leases}
            return told

        monkeypatch.setattr(QuotaLeaseHolder, "granted", any_order)
    with pytest.raises(AssertionError):
        long_runs()


def test_a_restarted_voter_grants_nothing_until_all_that_it_may_have_granted_is_over() -> None:
    voter = QuotaAllocator(TERMS, 0, restarted=True)
    voter.begin(1, POOLS, 1)
    voter.request(ProcessId("r1", "b"), 1, 0, (("acme", 50.0),), 0)
    assert voter.grant(ProcessId("r1", "b"), 1, TERMS.granter_duration - 1) == ()
    voter.request(ProcessId("r1", "b"), 1, 0, (("acme", 50.0),), TERMS.granter_duration)
    assert dict(voter.grant(ProcessId("r1", "b"), 2, TERMS.granter_duration))["acme"] > 40


def test_a_share_moves_once_its_holder_says_that_it_has_applied_less() -> None:
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
    assert voter.outstanding("acme") == pytest.approx(75)  # the answer may be lost
    voter.applied(one, 1, 2, now + SECOND // 5)
    voter.request(other, 1, 1, (("acme", 400.0),), now + SECOND // 4)
    assert dict(voter.grant(other, 2, now + SECOND // 4))["acme"] == pytest.approx(first)


def test_another_version_lets_go_of_all_shares() -> None:
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
def test_a_split_gives_out_what_there_is_and_no_more(wanted: list[float], whole: float, floor: float) -> None:
    split = allocate(dict(enumerate(wanted)), whole, floor)
    assert math.fsum(split.values()) <= whole * (1 + 1e-6)
    needs = [max(each - floor, 0.0) for each in wanted]
    if math.fsum(needs) <= whole:
        assert all(split[at] >= need - 1e-6 * max(need, 1) for at, need in enumerate(needs))
    else:  # max-min: whoever lacks something has at least as much as anybody
        assert math.fsum(split.values()) == pytest.approx(whole)
        most = max(split.values())
        assert all(split[at] >= min(need, most) - 1e-6 * most for at, need in enumerate(needs))


def test_a_demand_that_moves_is_seen_within_seconds_and_one_that_does_not_is_smooth() -> None:
    demand, rng, count = DemandEstimator(), random.Random(3), 0
    seen = []
    for at in range(0, 120, 2):
        rate = 20.0 if at < 60 else 200.0
        count += round(rng.gauss(2 * rate, math.sqrt(2 * rate)))
        rows = dict(demand.update({"acme": count}, at * SECOND))
        seen.append(rows.get("acme", 0.0))
    assert all(14 < each < 28 for each in seen[5:30])
    assert all(150 < each < 260 for each in seen[33:])


def test_floors_are_set_aside_for_every_member_and_bad_policies_are_refused_in_one_line() -> None:
    made = Settings((RequestClass("get", 1, 2),), (Tenant("acme", 1.0, 40.0), Tenant("free", 0.0)), routers=4)
    checker = PolicyChecker(made)
    assert checker.pools(Policy(), 4) == {}
    shares = Policy(StorePolicy(uses_leases=True))
    assert checker.pools(shares, 4) == {"acme": QuotaPool(30.0, 2.5)}
    assert checker.pools(shares, 6) == {
        "acme": QuotaPool(25.0, 2.5)
    }  # more members than the settings know of
    assert checker.pools(shares, 2) == {"acme": QuotaPool(30.0, 2.5)}
    tight = Policy(
        StorePolicy(rate_per_s=20.0, uses_leases=True), {"acme": NamespacePolicy(quota_per_s=16.0)}
    )
    assert checker.pools(tight, 4) == {"acme": QuotaPool(6.0, 2.5)}
    assert checker.check(Policy(), shares) == ""
    wrong = Policy(StorePolicy(uses_leases=True), floor_fraction=1.0)
    assert checker.check(Policy(), wrong) == "store.shares: no namespace has a quota beyond its floors"
    with pytest.raises(ValueError, match=r"^f: store.shares: expected `bool`, got `int`$"):
        read_policy("f", b"[store]\nshares = 1\n")


@pytest.mark.parametrize("rate", [math.nan, math.inf, -1.0])
def test_a_message_with_a_rate_that_is_none_can_not_be_read(rate: float) -> None:
    sender = m.Sender("r1", "b", "", 0, 1, 1, 0, 0, 1, True)
    for body in (m.LeaseRequest(1, 1, 0, (("acme", rate),)), m.LeaseGrant(1, 1, "b", (("acme", rate),))):
        with pytest.raises(ValueError, match=r"^[^\n]+$"):
            m.read_message(m.encode(m.Message(sender, body)))


def test_without_shares_messages_are_what_they_were() -> None:
    sender = m.Sender("r1", "b", "", 0, 1, 1, 0, 0, 1, True)
    assert b"demand" not in m.encode(m.Message(sender, m.LeaseRequest(1, 1)))
    assert b"shares" not in m.encode(m.Message(sender, m.LeaseGrant(1, 1, "b")))
    assert b"shares" not in m.encode(Policy())
    read = m.read_message(m.encode(m.Message(sender, m.LeaseRequest(3, 2, 2, (("acme", 0.5),)))))
    assert read.body == m.LeaseRequest(3, 2, 2, (("acme", 0.5),))
