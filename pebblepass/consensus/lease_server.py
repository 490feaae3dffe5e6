"""The server side of leases, at a voter: grants them, and detects when a version is closed. No I/O, no clock.

A version is released at one voter when no lease that this voter granted on it is valid any more. It is closed
when no router can hold a lease on it any more. A voter grants leases on the decided version once that version
is on its disk and the previous one is closed.

| state of version v at this router | event | guard | next |
| --- | --- | --- | --- |
| granting | v + 1 is decided and durable | a lease on v granted here is valid | releasing |
| granting, releasing | v + 1 is durable | no lease on v granted here is valid | released, announced |
| released | another voter reports v released | a quorum of the voters of v have | closed, announced |
| any | another router reports v closed | - | closed |
"""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.acceptor import quorum
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.leases import LeaseGranter, LeaseReply, ProcessId
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.quota_allocator import QuotaAllocator
from pebblepass.consensus.records import ClosedRecord
from pebblepass.consensus.setup import ReplicaSetup


class LeaseServer:
    """The leases and quota leases that a voter grants on the decided version."""

    def __init__(
        self,
        setup: ReplicaSetup,
        learner: Learner,
        disk: DiskIdentity,
        peers: PeerTable,
        outbox: Outbox,
        allocator: QuotaAllocator,
        restarted: bool,
    ) -> None:
        """`restarted`: an earlier process on this disk may have granted leases that are not known here."""
        self._setup, self._learner, self._disk = setup, learner, disk
        self._peers, self._outbox = peers, outbox
        self.granter = LeaseGranter(setup.terms, outbox.now, restarted)
        self.allocator = allocator
        self.released_version = 0
        """No lease that this voter granted on this version or an older one is valid any more."""
        self.closed_version = 0
        """No router can hold a lease on this version or an older one any more."""

    def restore_closed(self, version: int) -> None:
        """Restore the closed version from a record of the log."""
        self.closed_version = version

    def request(self, sender: m.Sender, request: m.LeaseRequest) -> None:
        """Handle a member's lease request; a member that was started from a stale disk gets no lease."""
        if sender.name not in self._learner.decided.fleet.members or self._disk.is_stale(sender):
            return
        process, now = ProcessId(sender.name, sender.boot_id), self._outbox.now
        if not self.granter.request(process, request.sequence, request.version, now):
            return
        if self._learner.decided.policy.store.uses_leases:
            applied = request.applied_sequence
            self.allocator.request(process, request.version, applied, request.demand, now)
        self.grant()

    def quota_lease_applied(self, sender: m.Sender, message: m.QuotaLeaseApplied) -> None:
        """Handle the message that a router has applied a smaller quota lease."""
        process = ProcessId(sender.name, sender.boot_id)
        self.allocator.applied(process, message.version, message.sequence, self._outbox.now)

    def grant(self) -> None:
        """Grant the waiting requests, if the decided version is durable and the previous one is closed."""
        version = self._learner.version
        if version < 1 or not self._disk.can_vote(self._learner.voters):
            return
        if self._learner.durable_version < version or self.closed_version < version - 1:
            return
        replies = self.granter.grant(version, self._outbox.now)
        if replies and self._learner.decided.policy.store.uses_leases:
            self._begin_quota_leases(version)
        for reply in replies:
            self._send_grant(reply, version)

    def _begin_quota_leases(self, version: int) -> None:
        if self.allocator.version == version:
            return
        decided = self._learner.decided
        pools = self._setup.quota_pools(decided.policy, len(decided.fleet.members))
        self.allocator.begin(version, pools, len(decided.fleet.voters))

    def _send_grant(self, reply: LeaseReply, version: int) -> None:
        process, rates = reply.process, m.NO_RATES
        if self._learner.decided.policy.store.uses_leases:
            rates = self.allocator.grant(process, reply.sequence, self._outbox.now)
        grant = m.LeaseGrant(reply.sequence, version, process.boot_id, rates)
        self._outbox.send(process.name, grant, process.boot_id)

    def settle(self) -> None:
        """Update the released and closed versions, announce changes, and grant what has become possible."""
        target = self._learner.durable_version - 1
        if self.released_version < target and self.granter.is_released(target, self._outbox.now):
            self.released_version = target
            self._announce()
        version = self._learner.version
        if self.closed_version < version - 1:
            before = self._learner.decided.previous_voters
            released = sum(
                1 for name, disk_id in before.items() if self.has_released(name, disk_id, version - 1)
            )
            # Version 0, before the fleet forms, has no leases.
            if released >= quorum(before, False) or version == 1:
                self.close(version - 1)
                self._announce()
        self.grant()

    def close(self, version: int) -> None:
        """Record that a version is closed."""
        self.closed_version = version
        if self._disk.disk_id:
            # After a restart the voters of that version may have left the fleet and can't be asked again.
            self._outbox.write(ClosedRecord(version))
        self._outbox.log_step("closed", version)

    def has_released(self, name: str, disk_id: str, version: int) -> bool:
        """Whether a voter with this disk has reported that it released a version."""
        if name == self._setup.name:
            return self._disk.disk_id == disk_id and self.released_version >= version
        state = self._peers.state(name)
        return state is not None and state.disk_id == disk_id and state.released_version >= version

    def next_release(self, now: int) -> int | None:
        """Return when the last lease on the previous version expires; None: no expiry is pending."""
        if self.released_version >= self._learner.durable_version - 1:
            return None
        return self.granter.last_expiry(self._learner.durable_version - 1, now)

    def _announce(self) -> None:
        voters = self._learner.voters
        self._outbox.send_all((name for name in self._learner.peers() if name in voters), m.Heartbeat())
