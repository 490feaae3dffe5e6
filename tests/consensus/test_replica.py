"""The rules of one voter: what is promised when, and a log that stays bounded."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, PolicyActivated, ProposalConcluded, Send, Write
from pebblepass.consensus.leases import LeaseGranter, LeaseHolder, LeaseReply, LeaseTerms, ProcessId
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.consensus.records import PromiseRecord, Record, SnapshotRecord, read_record
from pebblepass.consensus.replica import Replica
from pebblepass.consensus.setup import ReplicaSetup, genesis
from pebblepass.fault_injection.disk import PowerLossDisk
from pebblepass.storage.frames import FileHeader
from pebblepass.storage.log import COMPACTION_BYTES, Log

SECOND = 1_000_000_000
TERMS = LeaseTerms(SECOND, 0.1)
HEAD = FileHeader("test", 1, "f/r0")


MEMBERS = dict.fromkeys(("r0", "r1", "r2"), "x:1")
DECIDED = m.Value(1, "form", "form", Policy(), m.Fleet(MEMBERS, {n: f"{n}.disk" for n in MEMBERS}), {})


def setup(*voters: str) -> ReplicaSetup:
    first = genesis(dict.fromkeys(voters, "x:1"), voters)
    return ReplicaSetup("r0", "boot", TERMS, first, lambda before, after: "", "r0.disk")


def voter(now: int = 0) -> tuple[Replica, list[Action]]:
    replica = Replica(setup("r0"), None, now)
    return replica, replica.start(now)


def test_a_router_that_starts_is_at_the_floor_until_it_has_a_lease() -> None:
    kept: list[Record] = [SnapshotRecord("r0.disk", 1, DECIDED, None, None, None, {}, (), 0, ())]
    for records in (None, kept):
        replica = Replica(setup("r0", "r1", "r2"), records, 0)
        told = [each for each in replica.start(0) if isinstance(each, PolicyActivated)]
        assert [(each.value, each.until) for each in told] == [(replica.decided, 0)]


def test_nothing_is_promised_before_it_lasts() -> None:
    made = setup("r0", "r1", "r2")
    fleet = m.Fleet(dict.fromkeys(("r0", "r1", "r2"), "x:1"), {n: f"{n}.disk" for n in ("r0", "r1", "r2")})
    decided = m.Value(1, "form", "form", Policy(), fleet, {})
    replica = Replica(made, [SnapshotRecord("r0.disk", 1, decided, None, None, None, {}, (), 0, ())], 0)
    writes = [each for each in replica.start(0) if isinstance(each, Write)]
    sender = m.Sender("r1", "b", "r1.disk", 1, 1, 1, 0, 0, 1, True)
    early = replica.received(m.Message(sender, m.Prepare(2, m.Ballot(1, "r1.b"))), 1)
    assert replica.acceptor.promised == m.Ballot(0, "")  # nobody knows this start yet
    writes += [each for each in early if isinstance(each, Write)]
    replica.written(writes[-1].token, 2)
    replica.received(m.Message(sender, m.StartConfirmed("boot")), 3)
    actions = replica.received(m.Message(sender, m.Prepare(2, m.Ballot(1, "r1.b"))), 4)
    assert not any(isinstance(each, Send) and isinstance(each.message.body, m.Promise) for each in actions)
    write = next(
        each for each in actions if isinstance(each, Write) and isinstance(each.records[0], PromiseRecord)
    )
    actions = replica.written(write.token, 5)
    assert any(isinstance(each, Send) and isinstance(each.message.body, m.Promise) for each in actions)
    # A lower round is rejected, at once and whatever the disk does.
    told = replica.received(m.Message(sender, m.Prepare(2, m.Ballot(0, "r2.b"))), 6)
    rejected = [
        e.message.body for e in told if isinstance(e, Send) and isinstance(e.message.body, m.Rejected)
    ]
    assert [each.promised_number for each in rejected] == [1]


def test_a_lease_ends_at_its_holder_before_it_does_at_its_voter_whatever_their_clocks_do() -> None:
    for fast in (0.95, 1.0, 1.05):
        holder, granter = LeaseHolder(TERMS), LeaseGranter(TERMS, 0, restarted=False)
        holder.begin(1)
        seq = holder.request(int(100 * SECOND * fast))
        granter.request(ProcessId("r1", "b"), seq, 1, 100 * SECOND)
        assert granter.grant(1, 100 * SECOND) == [LeaseReply(ProcessId("r1", "b"), seq)]
        holder.granted("r0", seq, 1)
        end = holder.until({"r0": ""}, 1) / fast
        assert not granter.is_released(1, int(end))
        assert granter.is_released(1, int(101.2 * SECOND))


def test_an_old_question_takes_nothing_back_and_a_newer_version_lets_go() -> None:
    granter = LeaseGranter(TERMS, 0, restarted=False)
    assert granter.request(ProcessId("r1", "b"), 5, 1, 0)
    granter.grant(1, 0)
    assert not granter.request(ProcessId("r1", "b"), 4, 2, 0)
    assert not granter.is_released(1, 1)
    assert granter.request(ProcessId("r1", "b"), 6, 2, 1)
    assert granter.is_released(1, 1)
    assert not LeaseGranter(TERMS, 0, restarted=True).is_released(
        1, SECOND
    )  # what its last run granted may hold


def test_ten_thousand_changes_leave_a_bounded_log_that_is_read_in_no_time() -> None:
    disk = PowerLossDisk()
    log = Log(disk, "log", HEAD)
    replica, actions = voter()
    log.write_snapshot([m.encode(replica.snapshot())])
    now, decided, longest = 0, 0, 0

    def carry(actions: list[Action]) -> None:
        nonlocal decided
        waiting = list(actions)
        while waiting:
            writes = [each for each in waiting if isinstance(each, Write)]
            decided += sum(
                isinstance(e, ProposalConcluded) and e.verdict.state == "in force" for e in waiting
            )
            if not writes:
                return
            if log.needs_snapshot:
                log.write_snapshot([m.encode(replica.snapshot())])
            else:
                log.append([m.encode(record) for each in writes for record in each.records])
            waiting = replica.written(writes[-1].token, now)

    carry(actions)
    carry(replica.tick(SECOND))
    for number in range(10_000):
        now = 2 * SECOND + number * 1000
        why = f"change {number}"
        wanted = Policy(StorePolicy(rate_per_s=1.0 + number))
        carry(replica.propose(m.Proposal(f"c{number}", "ana", why, wanted), now))
        longest = max(longest, len(disk.read("log") or b""))
    assert decided >= 10_000
    assert replica.decided.version == 10_001
    assert longest < 3 * COMPACTION_BYTES
    records = [read_record(each) for each in Log(disk, "log", HEAD).open() or []]
    assert len(records) < 2000
    again = Replica(setup("r0"), records, now)
    assert again.decided == replica.decided
    assert len(again.learner.history) <= 32


def test_a_full_disk_leaves_a_voter_that_says_nothing_and_holds_its_lease_until_its_end() -> None:
    replica, actions = voter()
    for each in actions:
        if isinstance(each, Write):
            actions = replica.written(each.token, 0)
    actions = replica.tick(SECOND)
    while writes := [each for each in actions if isinstance(each, Write)]:
        actions = replica.written(writes[-1].token, SECOND)
    assert replica.decided.version == 1
    # From here on no write returns: nothing is concluded, and nothing that was promised is taken back.
    stuck = replica.propose(m.Proposal("c", "ana", "", Policy(StorePolicy(rate_per_s=9.0))), SECOND)
    assert not any(isinstance(each, ProposalConcluded | PolicyActivated) for each in stuck)
    assert replica.may_admit(SECOND + SECOND // 2)
    assert not replica.may_admit(2 * SECOND)
