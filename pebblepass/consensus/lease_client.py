"""The client side of leases: requests them, and activates the policy while they are valid. No I/O, no clock.

A router without a lease is "at the floor": it admits only its floor of each quota.

| state | event | guard | next |
| --- | --- | --- | --- |
| at the floor | grant | a quorum's grants on the decided version are valid | in force |
| at the floor, in force | version decided | - | at the floor; the leases are renewed immediately |
| in force | grant, timeout | the quorum's grants expire at another time | in force until that time |
| in force | expiry | - | at the floor; the router checks its clock before each event |
| any | version decided | the policy can't be used here | at the floor |
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import PolicyActivated
from pebblepass.consensus.demand import DemandEstimator
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.leases import LeaseHolder
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.quota_leases import NO_QUOTA, Quota, QuotaLeaseHolder
from pebblepass.consensus.setup import RandomSource, ReplicaSetup

MIN_RENEWAL, MAX_RENEWAL = 0.8, 1.0  # fractions of the renewal interval; the jitter spreads the requests


class _Release(Struct, frozen=True):
    """A message to a voter that a smaller quota lease is applied, and the process that granted the lease."""

    name: str
    boot_id: str
    message: m.QuotaLeaseApplied


class LeaseClient:
    """The leases and quota leases that a router holds on the decided version."""

    def __init__(
        self,
        setup: ReplicaSetup,
        learner: Learner,
        outbox: Outbox,
        rng: RandomSource,
        quota_holder: QuotaLeaseHolder,
    ) -> None:
        self._setup, self._learner, self._outbox, self._rng = setup, learner, outbox, rng
        self._holder = LeaseHolder(setup.terms)
        self._holder.begin(learner.version)
        self.quota_holder = quota_holder
        self.demand = DemandEstimator()
        self.until = 0
        """Until when the router may admit requests under the decided version, in nanoseconds of its clock."""
        self.renew_at = outbox.now
        """When the leases are requested next."""
        self._quota: Quota = NO_QUOTA
        self._releases: list[_Release] = []
        self._last_leased_version = 0

    def may_admit(self, now: int) -> bool:
        """Whether the router holds a lease on the decided version and can use that version."""
        return now < self.until and not self._learner.problem

    def leased_version(self, now: int) -> int:
        """Return the version that the router holds a lease on; 0: none."""
        return self._learner.version if self.may_admit(now) else 0

    def current_quota(self, now: int) -> Quota:
        """Return the fetches a second that the router may make in addition to its floors."""
        return self.quota_holder.total(now) if self.may_admit(now) else NO_QUOTA

    def begin(self) -> None:
        """Begin the version that has just been decided, and release the leases on the previous one."""
        self._holder.begin(self._learner.version)
        self.quota_holder.begin()
        self._releases.clear()
        self._quota = NO_QUOTA
        self.until = 0

    def renew(self) -> None:
        """Request leases from the voters, or send them a heartbeat if there is no version to lease."""
        now, learner = self._outbox.now, self._learner
        interval = self._setup.terms.renewal_interval
        self.renew_at = now + int(interval * self._rng.uniform(MIN_RENEWAL, MAX_RENEWAL))
        if learner.version < 1 or self._setup.name not in learner.decided.fleet.members:
            self._outbox.send_all(learner.other_voters(), m.Heartbeat())
            return
        sequence = self._holder.request(now)
        demand = m.NO_RATES
        if learner.decided.policy.store.uses_leases:
            demand = self.demand.update(self._setup.demand_counts(), now)
        # The request also goes to the previous version's voters, where it releases the older leases.
        for name in dict.fromkeys([*learner.voters, *learner.decided.previous_voters]):
            applied = self.quota_holder.applied_sequence(name)
            self._outbox.send(name, m.LeaseRequest(sequence, learner.version, applied, demand))

    def granted(self, sender: m.Sender, grant: m.LeaseGrant) -> None:
        """Handle a grant; it counts only from a voter that uses the disk with which it became one."""
        if sender.disk_id == self._learner.voters.get(sender.name):
            self.count_grant(sender.name, grant)
            self._quota_granted(sender, grant)

    def count_grant(self, voter: str, grant: m.LeaseGrant) -> None:
        """Count a voter's grant."""
        self._holder.granted(voter, grant.sequence, grant.version)

    def _quota_granted(self, sender: m.Sender, grant: m.LeaseGrant) -> None:
        requested_at = self._holder.requested_at(grant.sequence)
        if not self._learner.decided.policy.store.uses_leases or requested_at is None:
            return
        if grant.version != self._learner.version:
            return
        if self.quota_holder.granted(sender.name, grant.sequence, requested_at, grant.quota_leases):
            message = m.QuotaLeaseApplied(grant.sequence, grant.version)
            self._releases.append(_Release(sender.name, sender.boot_id, message))

    def refresh(self, first_leased: Callable[[], None]) -> None:
        """Activate the policy if the lease or the quota leases have changed.

        `first_leased` is called before the first activation of a decided version.
        """
        now, learner = self._outbox.now, self._learner
        until = self._holder.until(learner.voters, learner.quorum_size) if learner.version else 0
        if learner.problem:
            until = 0
        quota = self.quota_holder.total(now) if until else NO_QUOTA
        if until == self.until and quota == self._quota:
            return
        self._log_quota(quota)
        is_first = self.until <= now < until and self._last_leased_version != learner.version
        self.until = until
        if is_first:
            self._last_leased_version = learner.version
            self._outbox.log_step("in force", learner.version)
            proposer = learner.decided.proposer
            if proposer and proposer != self._setup.name:
                self._outbox.send(proposer, m.Heartbeat())
            first_leased()
        self._outbox.emit(PolicyActivated(learner.decided, until, quota.rates, quota.until))

    def _log_quota(self, quota: Quota) -> None:
        before, self._quota = self._quota, quota
        if bool(before.rates) != bool(quota.rates):
            event = "shares" if quota.rates else "no shares"
            amounts = ", ".join(f"{name} {amount:.3g}" for name, amount in quota.rates)
            self._outbox.log_step(event, self._learner.version, cause=amounts)

    def send_releases(self) -> bool:
        """Report to the voters that smaller quota leases are applied; return whether there were any.

        Warning: call this only after the policy is activated. If reported before, a voter could grant to
        another router what this one still uses.
        """
        releases, self._releases = self._releases, []
        for release in releases:
            self._outbox.send(release.name, release.message, release.boot_id)
        return bool(releases)

    def due(self, now: int) -> int:
        """Return when the leases are to be renewed or a quota lease stops counting."""
        expiry = self.quota_holder.due(now)
        return self.renew_at if expiry is None else min(self.renew_at, expiry)
