"""One replica: when it sends promises, when leases expire, and how large its log grows."""

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


def test_starting_router_is_at_the_floor_without_a_lease() -> None:
    snapshot: list[Record] = [SnapshotRecord("r0.disk", 1, DECIDED, None, None, None, {}, (), 0, ())]
    for records in (None, snapshot):
        replica = Replica(setup("r0", "r1", "r2"), records, 0)
        activated = [action for action in replica.start(0) if isinstance(action, PolicyActivated)]
        assert [(action.value, action.until) for action in activated] == [(replica.decided, 0)]


def test_promise_is_sent_only_after_its_record_is_synced() -> None:
    replica_setup = setup("r0", "r1", "r2")
    fleet = m.Fleet(dict.fromkeys(("r0", "r1", "r2"), "x:1"), {n: f"{n}.disk" for n in ("r0", "r1", "r2")})
    decided = m.Value(1, "form", "form", Policy(), fleet, {})
    replica = Replica(
        replica_setup, [SnapshotRecord("r0.disk", 1, decided, None, None, None, {}, (), 0, ())], 0
    )
    writes = [action for action in replica.start(0) if isinstance(action, Write)]
    sender = m.Sender("r1", "b", "r1.disk", 1, 1, 1, 0, 0, 1, True)
    early = replica.received(m.Message(sender, m.Prepare(2, m.Ballot(1, "r1.b"))), 1)
    assert replica.acceptor.promised == m.Ballot(0, "")  # the start is not confirmed yet
    writes += [action for action in early if isinstance(action, Write)]
    replica.written(writes[-1].token, 2)
    replica.received(m.Message(sender, m.StartConfirmed("boot")), 3)
    actions = replica.received(m.Message(sender, m.Prepare(2, m.Ballot(1, "r1.b"))), 4)
    assert not any(
        isinstance(action, Send) and isinstance(action.message.body, m.Promise) for action in actions
    )
    write = next(
        action
        for action in actions
        if isinstance(action, Write) and isinstance(action.records[0], PromiseRecord)
    )
    actions = replica.written(write.token, 5)
    assert any(isinstance(action, Send) and isinstance(action.message.body, m.Promise) for action in actions)
    # A rejection of a lower ballot needs no sync.
    actions = replica.received(m.Message(sender, m.Prepare(2, m.Ballot(0, "r2.b"))), 6)
    rejected = [
        e.message.body for e in actions if isinstance(e, Send) and isinstance(e.message.body, m.Rejected)
    ]
    assert [body.promised_number for body in rejected] == [1]


def test_lease_expires_at_holder_before_voter_despite_clock_drift() -> None:
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


def test_old_request_is_ignored_and_newer_version_releases_lease() -> None:
    granter = LeaseGranter(TERMS, 0, restarted=False)
    assert granter.request(ProcessId("r1", "b"), 5, 1, 0)
    granter.grant(1, 0)
    assert not granter.request(ProcessId("r1", "b"), 4, 2, 0)
    assert not granter.is_released(1, 1)
    assert granter.request(ProcessId("r1", "b"), 6, 2, 1)
    assert granter.is_released(1, 1)
    # After a restart, leases of the earlier run may still be valid.
    assert not LeaseGranter(TERMS, 0, restarted=True).is_released(1, SECOND)


def test_log_stays_bounded_over_ten_thousand_changes() -> None:
    disk = PowerLossDisk()
    log = Log(disk, "log", HEAD)
    replica, actions = voter()
    log.write_snapshot([m.encode(replica.snapshot())])
    now, decided, longest = 0, 0, 0

    def perform(actions: list[Action]) -> None:
        nonlocal decided
        pending = list(actions)
        while pending:
            writes = [action for action in pending if isinstance(action, Write)]
            decided += sum(
                isinstance(e, ProposalConcluded) and e.verdict.state == "in force" for e in pending
            )
            if not writes:
                return
            if log.needs_snapshot:
                log.write_snapshot([m.encode(replica.snapshot())])
            else:
                log.append([m.encode(record) for action in writes for record in action.records])
            pending = replica.written(writes[-1].token, now)

    perform(actions)
    perform(replica.tick(SECOND))
    for number in range(10_000):
        now = 2 * SECOND + number * 1000
        reason = f"change {number}"
        policy = Policy(StorePolicy(rate_per_s=1.0 + number))
        perform(replica.propose(m.Proposal(f"c{number}", "ana", reason, policy), now))
        longest = max(longest, len(disk.read("log") or b""))
    assert decided >= 10_000
    assert replica.decided.version == 10_001
    assert longest < 3 * COMPACTION_BYTES
    records = [read_record(data) for data in Log(disk, "log", HEAD).open() or []]
    assert len(records) < 2000
    restarted = Replica(setup("r0"), records, now)
    assert restarted.decided == replica.decided
    assert len(restarted.learner.history) <= 32


def test_voter_with_full_disk_sends_nothing_and_keeps_its_lease() -> None:
    replica, actions = voter()
    for action in actions:
        if isinstance(action, Write):
            actions = replica.written(action.token, 0)
    actions = replica.tick(SECOND)
    while writes := [action for action in actions if isinstance(action, Write)]:
        actions = replica.written(writes[-1].token, SECOND)
    assert replica.decided.version == 1
    # From here on no write is reported as synced, so that the proposal can't be concluded.
    actions = replica.propose(m.Proposal("c", "ana", "", Policy(StorePolicy(rate_per_s=9.0))), SECOND)
    assert not any(isinstance(action, ProposalConcluded | PolicyActivated) for action in actions)
    assert replica.may_admit(SECOND + SECOND // 2)
    assert not replica.may_admit(2 * SECOND)
