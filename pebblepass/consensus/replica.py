"""A router's replica: dispatches events to its components and returns actions. No I/O, no clock.

| event | components, in order |
| --- | --- |
| start | disk identity |
| message | peers, disk identity, catch-up; the component for the body; leases; the change in progress |
| written | learner, waiting messages, leases, the change in progress |
| proposal | proposals |
| tick | renewal, liveness queries, verdicts, membership; the change in progress or a takeover; leases |
| any | then messages to itself, activation of the policy, releases of quota leases |
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from pebblepass.consensus import messages as m
from pebblepass.consensus.acceptor import Acceptor
from pebblepass.consensus.actions import Action, PolicyActivated
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.learner import REPEATS_PER_LEASE, Learner
from pebblepass.consensus.lease_client import LeaseClient
from pebblepass.consensus.lease_server import LeaseServer
from pebblepass.consensus.liveness import LivenessQueries
from pebblepass.consensus.membership import Membership
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.proposals import Proposals
from pebblepass.consensus.proposer import Proposer
from pebblepass.consensus.quota_allocator import QuotaAllocator
from pebblepass.consensus.quota_leases import QuotaLeaseHolder
from pebblepass.consensus.records import Record, SnapshotRecord
from pebblepass.consensus.recovery import Recovery
from pebblepass.consensus.setup import RandomSource, ReplicaSetup
from pebblepass.consensus.verdicts import Verdicts
from pebblepass.consensus.voter import Voter


class Replica:
    """One router's replica.

    Call `start` first, then the method for each event, and `tick` at the time that `due` returns.
    """

    outbox_class = Outbox
    disk_identity_class = DiskIdentity
    voter_class = Voter
    proposer_class = Proposer
    lease_server_class = LeaseServer
    quota_allocator_class = QuotaAllocator
    quota_holder_class = QuotaLeaseHolder
    recovery_class = Recovery
    """The classes of the components. Fault injection replaces one by a mutant."""

    def __init__(
        self,
        setup: ReplicaSetup,
        records: Sequence[Record] | None,
        now: int,
        rng: RandomSource | None = None,
    ) -> None:
        """`records`: of the log on its disk; None: there is no log yet, or no disk."""
        self.setup, self.name = setup, setup.name
        self._outbox = self.outbox_class(setup.name, self._sender, now)
        self.learner = Learner(setup.name, setup.genesis, setup.check, self._outbox)
        self.acceptor = Acceptor(now)
        self.disk = self.disk_identity_class(setup.name, setup.boot_id, setup.new_disk_id, self._outbox)
        self.peers = PeerTable(setup.terms.renewal_interval, now)
        self._verdicts = Verdicts(self._outbox)
        self.lease_server = self._create_lease_server(restarted=bool(records))
        self._voter = self.voter_class(
            setup, self.learner, self.disk, self.acceptor, self.lease_server, self._outbox
        )
        self._liveness = LivenessQueries(self.learner, self._voter, self.peers, self._outbox)
        self._recovery = self.recovery_class(self.learner, self.acceptor, self.disk, self.lease_server)
        for record in records or ():
            self._recovery.restore(record)
        self.learner.finish_recovery()
        rng = rng or random.Random(f"{setup.seed} {setup.name} {setup.boot_id}")
        quota_holder = self.quota_holder_class(setup.terms)
        self.lease_client = LeaseClient(setup, self.learner, self._outbox, rng, quota_holder)
        self.proposer = self._create_proposer(rng)
        self._proposals = self._create_proposals(rng)
        self._membership = Membership(
            setup, self.learner, self.disk, self.acceptor, self.peers, self.proposer, self._outbox
        )
        self.learner.check_decided(self.learner.decided)

    def _create_lease_server(self, restarted: bool) -> LeaseServer:
        allocator = self.quota_allocator_class(self.setup.terms, self._outbox.now, restarted=restarted)
        return self.lease_server_class(
            self.setup, self.learner, self.disk, self.peers, self._outbox, allocator, restarted
        )

    def _create_proposer(self, rng: RandomSource) -> Proposer:
        return self.proposer_class(
            self.setup,
            self.learner,
            self.acceptor,
            self.lease_server,
            self.lease_client,
            self.peers,
            self._verdicts,
            self._outbox,
            rng,
        )

    def _create_proposals(self, rng: RandomSource) -> Proposals:
        return Proposals(
            self.name,
            self.learner,
            self.disk,
            self.peers,
            self.proposer,
            self._verdicts,
            self._outbox,
            rng,
        )

    @property
    def decided(self) -> m.Value:
        """The decided version."""
        return self.learner.decided

    @property
    def can_vote(self) -> bool:
        """Whether this router is a voter and uses the disk with which it became one."""
        return self._voter.can_vote

    def may_admit(self, now: int) -> bool:
        """Whether the router holds a lease on the decided version and can use that version."""
        return self.lease_client.may_admit(now)

    def snapshot(self) -> SnapshotRecord:
        """Return the complete durable state, in one record."""
        return self._recovery.snapshot()

    # Events

    def start(self, now: int) -> list[Action]:
        """Start the replica. It sends nothing to other routers until the record of this start is synced."""
        self._outbox.begin(now)
        # Without a lease the router admits only its floors.
        self._outbox.emit(PolicyActivated(self.decided, 0))
        self.disk.start()
        return self._finish()

    def received(self, message: m.Message, now: int) -> list[Action]:
        """Handle a message from another router of the fleet."""
        self._outbox.begin(now)
        self._handle_message(message)
        return self._finish()

    def written(self, token: int, now: int) -> list[Action]:
        """Handle the sync of all writes up to this token."""
        self._outbox.begin(now)
        if self._outbox.mark_synced(token):
            self.lease_client.renew_at = now
        self.learner.update_durable_version()
        self._outbox.send_waiting()
        self._settle()
        return self._finish()

    def propose(self, proposal: m.Proposal, now: int) -> list[Action]:
        """Handle an operator's proposal."""
        self._outbox.begin(now)
        self._proposals.propose(proposal)
        return self._finish()

    def tick(self, now: int) -> list[Action]:
        """Handle everything that is due."""
        self._outbox.begin(now)
        if now >= self.lease_client.renew_at:
            self.lease_client.renew()
            self._liveness.tick()
            self._verdicts.expire()
            self._membership.tick()
        if self.proposer.change is not None:
            self.proposer.tick()
        else:
            self._take_over()
        self._settle()
        return self._finish()

    def due(self, now: int) -> int:
        """Return when `tick` is to be called next, in nanoseconds of the router's clock."""
        times = [self.lease_client.due(now)]
        if self.proposer.change is not None:
            times.append(self.proposer.change.due)
        elif (takeover_at := self._voter.takeover_at()) is not None:
            times.append(takeover_at or now)
        if (release := self.lease_server.next_release(now)) is not None:
            times.append(release)
        return max(min(times), now)

    def _finish(self) -> list[Action]:
        self._handle_loopback()
        self.lease_client.refresh(self.proposer.report_if_in_force)
        if self.lease_client.send_releases():
            self._handle_loopback()
        return self._outbox.finish()

    def _handle_loopback(self) -> None:
        while (message := self._outbox.next_loopback()) is not None:
            self._handle_message(message)

    # Messages

    def _sender(self) -> m.Sender:
        learner, disk, now = self.learner, self.disk, self._outbox.now
        return m.Sender(
            self.name,
            self.setup.boot_id,
            disk.disk_id,
            disk.start_count,
            learner.version,
            learner.durable_version,
            self.lease_server.released_version,
            self.lease_server.closed_version,
            self.lease_client.leased_version(now),
            self._voter.is_confirmed,
        )

    def _handle_message(self, message: m.Message) -> None:
        sender, body = message.sender, message.body
        if sender.name != self.name:
            self._update_peer(sender)
            is_renewal = isinstance(body, m.LeaseRequest | m.Heartbeat)
            if is_renewal and not (sender.start_confirmed or self.disk.is_stale(sender)):
                self._outbox.send(sender.name, m.StartConfirmed(sender.boot_id), sender.boot_id)
        for dispatch in (
            self._handle_lease_message,
            self._handle_peer_message,
            self._handle_round_message,
            self._handle_change_message,
        ):
            if dispatch(sender, body):
                break
        self._settle()

    def _update_peer(self, sender: m.Sender) -> None:
        """Record the sender's state, which every message carries."""
        now, learner = self._outbox.now, self.learner
        if not self.peers.is_alive(sender.name, now):
            self._outbox.log_step("heard", learner.version, sender.name)
        self.peers.record(sender, now)
        if sender.disk_id and sender.name in learner.voters:
            self.disk.record_peer(sender, learner.version)
        if sender.closed_version > self.lease_server.closed_version:
            self.lease_server.close(sender.closed_version)
        learner.catch_up(sender, self.setup.terms.duration // REPEATS_PER_LEASE)

    def _handle_lease_message(self, sender: m.Sender, body: m.Body) -> bool:
        """Dispatch lease messages; return whether the body is one."""
        match body:
            case m.LeaseRequest():
                self.lease_server.request(sender, body)
            case m.LeaseGrant():
                if body.boot_id == self.setup.boot_id:
                    self.lease_client.granted(sender, body)
            case m.QuotaLeaseApplied():
                self.lease_server.quota_lease_applied(sender, body)
            case _:
                return False
        return True

    def _handle_peer_message(self, sender: m.Sender, body: m.Body) -> bool:
        """Dispatch messages about liveness and disks; return whether the body is one."""
        match body:
            case m.StartConfirmed():
                if body.boot_id == self.setup.boot_id:
                    self.disk.confirm(sender.name)
            case m.StaleDisk():
                self.disk.reported_stale(body, self.learner.version)
            case m.LivenessQuery():
                self._liveness.queried(sender, body)
            case m.LivenessReport():
                self._liveness.reported(body)
            case m.Rejoin():
                self._membership.rejoin_requested(sender)
            case _:
                return False
        return True

    def _handle_round_message(self, sender: m.Sender, body: m.Body) -> bool:
        """Dispatch the requests and votes of a round; return whether the body is one."""
        match body:
            case m.Prepare() | m.Accept():
                self._voter.vote(sender, body)
            case m.Promise():
                self.proposer.promised(sender, body)
            case m.Accepted():
                self._accepted(sender, body)
            case m.Rejected():
                self.proposer.rejected(body)
            case _:
                return False
        return True

    def _handle_change_message(self, sender: m.Sender, body: m.Body) -> bool:
        """Dispatch the other messages about changes; return whether the body is one."""
        match body:
            case m.VersionDecided():
                self._learn(body.value, sender.name, body.decided_changes)
            case m.PolicyCheck():
                self._outbox.send(sender.name, self.learner.check(body), sender.boot_id)
            case m.PolicyCheckResult():
                self.proposer.checked(sender, body)
            case m.ForwardedProposal():
                self._verdicts.received_from(body.proposal.change_id, sender.name)
                self._proposals.propose(body.proposal)
            case m.ForwardedVerdict():
                self._verdicts.answered(body.verdict)
            case _:
                return False
        return True

    # Votes and decisions

    def _accepted(self, sender: m.Sender, body: m.Accepted) -> None:
        value = self.proposer.accepted(sender, body)
        if value is not None:
            self._learn(value, self.name)
            self._outbox.send_all(self.learner.peers(), self.learner.announcement())

    def _learn(self, value: m.Value, source: str, changes: Sequence[m.DecidedChange] = ()) -> None:
        """Adopt a decided version in every component."""
        learner, outbox = self.learner, self._outbox
        if value.version <= learner.version:
            return
        before = learner.decided
        learner.learn(value, changes, keeps_disk=bool(self.disk.disk_id))
        self.acceptor.version_decided(outbox.now)
        self.lease_client.begin()
        learner.check_decided(before)
        outbox.log_step("learned", learner.version, source)
        outbox.emit(PolicyActivated(value, 0))
        self.lease_client.renew()
        self.proposer.version_decided()

    def _take_over(self) -> None:
        """Propose an accepted value if its proposer has stopped sending."""
        takeover_at, value = self._voter.takeover_at(), self.acceptor.value
        if takeover_at is not None and value is not None and self._outbox.now >= takeover_at:
            self.proposer.begin(value, takeover=True)

    def _settle(self) -> None:
        self.lease_server.settle()
        self.proposer.resume()
        self.proposer.report_if_in_force()
