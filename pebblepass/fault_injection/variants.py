"""Variants of the program with a known defect each, which the checks have to detect."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import PolicyActivated
from pebblepass.consensus.disk_identity import DiskIdentity
from pebblepass.consensus.lease_server import LeaseServer
from pebblepass.consensus.leases import LeaseTerms, ProcessId
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.proposer import Proposer
from pebblepass.consensus.quota_allocator import QuotaAllocator, QuotaPool, Rates
from pebblepass.consensus.quota_leases import QuotaLeaseHolder
from pebblepass.consensus.records import Record, read_record
from pebblepass.consensus.recovery import Recovery
from pebblepass.consensus.replica import Replica
from pebblepass.consensus.voter import Voter
from pebblepass.fault_injection.disk import PowerLossDisk
from pebblepass.storage.log import Log, decode_batch


class Variant:
    """The unmodified program; each subclass changes one part of it."""

    name = ""

    def replica(self, base: type[Replica]) -> type[Replica]:
        """Return the class of the replicas."""
        return base

    def log(self, base: type[Log]) -> type[Log]:
        """Return the class of the log file."""
        return base

    def admitter(self, base: Any) -> Any:
        """Return the class that admits requests."""
        return base

    def inject_disk_faults(self, disks: Iterable[PowerLossDisk]) -> None:
        """Inject faults into the routers' disks."""


class _UnsyncedOutbox(Outbox):
    def send_after_write(self, record: Record, to: str, body: m.Body) -> None:
        """Send before the record is synced."""
        self.write(record)
        self.send(to, body)


class _NoSync(Variant):
    """A vote is sent before it is synced to disk."""

    name = "no-sync"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            outbox_class = _UnsyncedOutbox

        return Modified


class _PromiseLosingRecovery(Recovery):
    def restore(self, record: Record) -> None:
        """Restore neither promises nor accepted values."""
        super().restore(record)
        self._acceptor.reset()


class _PromisesLost(Variant):
    """A restart loses the promises and accepted values."""

    name = "promise-forgotten"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            recovery_class = _PromiseLosingRecovery

        return Modified


class _UncheckedDiskIdentity(DiskIdentity):
    def can_vote(self, voters: Mapping[str, str]) -> bool:
        """Vote whichever disk is present."""
        return self._name in voters and bool(self.disk_id)


class _AnyDiskProposer(Proposer):
    def begin(self, value: m.Value, takeover: bool) -> None:
        """Count votes whichever disk they come from."""
        super().begin(value, takeover)
        if self.change is not None:
            self.change.round.any_disk = True


class _AnyDiskLeaseServer(LeaseServer):
    def has_released(self, name: str, disk_id: str, version: int) -> bool:
        """Accept the release of any disk incarnation."""
        state = self._peers.state(name)
        return super().has_released(name, disk_id, version) or (
            state is not None and state.released_version >= version
        )


class _AnyDisk(Variant):
    """A router whose disk is empty still votes."""

    name = "empty-disk-votes"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            disk_identity_class = _UncheckedDiskIdentity
            proposer_class = _AnyDiskProposer
            lease_server_class = _AnyDiskLeaseServer

            def _handle_message(self, message: m.Message) -> None:
                sender, body = message.sender, message.body
                if isinstance(body, m.LeaseGrant) and sender.name in self.learner.voters:
                    self.lease_client.count_grant(sender.name, body)
                super()._handle_message(message)

        return Modified


class _LeaseByWallClock(Variant):
    """Leases end by the wall clock, which is now and then set back."""

    name = "lease-by-wall-clock"

    def admitter(self, base: Any) -> Any:
        class Modified(base):  # type: ignore[misc]
            def admits(self, now: int) -> int:
                # A time service steps the wall clock by 2 s every 3 s.
                return int(super().admits(now - (now // 3_000_000_000 % 2) * 2_000_000_000))

        return Modified


class _SharedBallotProposer(Proposer):
    def new_ballot(self, number: int) -> m.Ballot:
        """Omit the proposer's name from the ballot."""
        return m.Ballot(number, "")


class _SharedBallotVoter(Voter):
    def vote(self, sender: m.Sender, request: m.Prepare | m.Accept) -> None:
        """Promise an already promised ballot again."""
        if isinstance(request, m.Prepare) and request.ballot == self._acceptor.promised:
            self._acceptor.promised = m.Ballot(request.ballot.number - 1, "")
        super().vote(sender, request)


class _SharedBallot(Variant):
    """Two proposers may use the same ballot."""

    name = "two-coordinators-in-one-term"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            voter_class = _SharedBallotVoter
            proposer_class = _SharedBallotProposer

        return Modified


class _LeaseUncheckedAfterPause(Variant):
    """Only a timer ends the lease, so a process resumed after a pause admits before its timers run."""

    name = "lease-not-looked-at-after-a-pause"

    def admitter(self, base: Any) -> Any:
        class Modified(base):  # type: ignore[misc]
            last_admission_at = 0

            def admits(self, now: int) -> int:
                previous, self.last_admission_at = self.last_admission_at, now
                return int(super().admits(previous or now))

        return Modified


class _ServesWithoutLease(Variant):
    """A router that is cut off keeps admitting under its last version."""

    name = "old-version-served-when-cut-off"

    def admitter(self, base: Any) -> Any:
        class Modified(base):  # type: ignore[misc]
            def activate(self, action: PolicyActivated) -> None:
                if action.until:
                    super().activate(action)

            def admits(self, now: int) -> int:
                return int(self.version)

        return Modified


class _EarlyCommitProposer(Proposer):
    def begin(self, value: m.Value, takeover: bool) -> None:
        """Decide with two votes."""
        super().begin(value, takeover)
        if self.change is not None and not self._learner.is_forming:
            self.change.round.needed = 2


class _EarlyCommit(Variant):
    """A change is reported as decided before a quorum has accepted it."""

    name = "commit-before-quorum"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            proposer_class = _EarlyCommitProposer

        return Modified


class _UncheckedLog(Log):
    def open(self) -> list[bytes] | None:
        """Read each frame that has a plausible size, without checking that it is complete."""
        data = self._disk.read(self._name)
        if data is None:
            return None
        batches, at = [], 0
        while at + 8 < len(data):
            size = int.from_bytes(data[at : at + 4], "little")
            if not 0 < size < 1 << 16:
                break
            batches.append(data[at + 8 : at + 8 + size].ljust(size, b"\0"))
            at += 8 + size
        self._size = min(at, len(data))
        records = []
        for record in (record for batch in batches[1:] for record in decode_batch(batch)):
            try:
                read_record(record)
            except ValueError:
                continue
            records.append(record)
        return records


class _TornTailRead(Variant):
    """Records that a power loss has torn are read as valid."""

    name = "torn-tail-believed"

    def log(self, base: type[Log]) -> type[Log]:
        return _UncheckedLog


class _NewVotersProposer(Proposer):
    def begin(self, value: m.Value, takeover: bool) -> None:
        """Count the votes of the new set of voters."""
        super().begin(value, takeover)
        if self.change is not None and value.kind == "members":
            self.change.round.voters = value.fleet.voters
            self.change.round.needed = len(value.fleet.voters) // 2 + 1


class _NewVoters(Variant):
    """A change of the voters is decided by the new voters."""

    name = "members-changed-at-once"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            proposer_class = _NewVotersProposer

        return Modified


class _EarlyClosingLeaseServer(LeaseServer):
    def settle(self) -> None:
        """Treat every version before the durable one as closed."""
        self.closed_version = max(self.closed_version, self._learner.durable_version - 1)
        super().settle()


class _GrantedBeforeClosed(Variant):
    """A voter grants leases on a version while leases on the previous one are still valid elsewhere."""

    name = "granted-before-closed"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            lease_server_class = _EarlyClosingLeaseServer

        return Modified


class _GrantsForgotten(Variant):
    """A restarted voter assumes that the leases it granted earlier have expired."""

    name = "grants-forgotten-at-restart"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(base):  # type: ignore[valid-type, misc]
            def start(self, now: int) -> list[Any]:
                self.lease_server.granter.earlier_leases_expire_at = now
                return list(super().start(now))

        return Modified


class _DiskIgnoresSync(Variant):
    """A disk's sync returns without writing anything."""

    name = "disk-that-lies"

    def inject_disk_faults(self, disks: Iterable[PowerLossDisk]) -> None:
        for disk in disks:
            disk.ignores_sync = True


class _LastGrantOnly(Variant):
    """A voter counts only the last share that it granted a router, though that grant may have been lost."""

    name = "share-counted-by-its-last-grant"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(QuotaAllocator):
            def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
                client = self._clients.get(process)
                if client is not None:
                    client.grants.clear()
                    self._recount(client)
                return super().grant(process, sequence, now)

        return _with_quota_classes(base, Modified)


class _FreedByNextRequest(Variant):
    """A voter takes a router's next request as the confirmation that it has applied the last share."""

    name = "share-freed-at-the-answer"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(QuotaAllocator):
            def request(
                self, process: ProcessId, version: int, applied_sequence: int, demand: Any, now: int
            ) -> None:
                client = self._clients.get(process)
                if client is not None and client.grants and version == self.version:
                    applied_sequence = client.grants[-1].sequence
                super().request(process, version, applied_sequence, demand, now)

        return _with_quota_classes(base, Modified)


class _SharesForgotten(Variant):
    """A restarted voter assumes that the shares it granted earlier have expired."""

    name = "shares-forgotten-at-restart"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(QuotaAllocator):
            def __init__(self, terms: LeaseTerms, now: int, restarted: bool) -> None:
                super().__init__(terms, now, restarted=False)

        return _with_quota_classes(base, Modified)


class _FloorsNotReserved(Variant):
    """The floors are not set aside, so routers at their floor exceed the quota."""

    name = "floors-not-set-aside"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(QuotaAllocator):
            def begin(self, version: int, pools: Any, voters: int) -> None:
                quotas = {n: QuotaPool(p.shared * 4 / 3, p.floor) for n, p in pools.items()}
                super().begin(version, quotas, voters)

        return _with_quota_classes(base, Modified)


class _ShareKeptOverVersion(Variant):
    """A router keeps its shares when it activates another version."""

    name = "share-kept-over-a-version"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(QuotaLeaseHolder):
            def begin(self) -> None:
                pass

        return _with_quota_classes(base, holder=Modified)


class _ShareKeptPastLease(Variant):
    """A router uses a share until it receives another, past the end of its lease."""

    name = "share-kept-past-its-lease"

    def admitter(self, base: Any) -> Any:
        class Modified(base):  # type: ignore[misc]
            def granted_share(self, now: int) -> float:
                return float(self.share)

            def admits(self, now: int) -> int:
                return int(self.version)

        return Modified


class _ShareByWallClock(Variant):
    """A voter ends shares by the wall clock, which is now and then set forward."""

    name = "share-by-wall-clock"

    def replica(self, base: type[Replica]) -> type[Replica]:
        class Modified(QuotaAllocator):
            def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
                stepped = now + (now // 1_000_000_000 % 2) * 2_000_000_000
                return super().grant(process, sequence, stepped)

            def applied(self, process: ProcessId, version: int, applied_sequence: int, now: int) -> None:
                stepped = now + (now // 1_000_000_000 % 2) * 2_000_000_000
                super().applied(process, version, applied_sequence, stepped)

        return _with_quota_classes(base, Modified)


def _with_quota_classes(
    base: type[Replica],
    allocator: type[QuotaAllocator] = QuotaAllocator,
    holder: type[QuotaLeaseHolder] = QuotaLeaseHolder,
) -> type[Replica]:
    """Return a replica class with other classes for the quota leases."""

    class Modified(base):  # type: ignore[valid-type, misc]
        quota_allocator_class = allocator
        quota_holder_class = holder

    return Modified


VARIANTS: dict[str, Variant] = {
    variant.name: variant
    for variant in (
        _NoSync(),
        _PromisesLost(),
        _AnyDisk(),
        _LeaseByWallClock(),
        _SharedBallot(),
        _LeaseUncheckedAfterPause(),
        _ServesWithoutLease(),
        _EarlyCommit(),
        _TornTailRead(),
        _NewVoters(),
        _GrantedBeforeClosed(),
        _GrantsForgotten(),
        _DiskIgnoresSync(),
        _LastGrantOnly(),
        _FreedByNextRequest(),
        _SharesForgotten(),
        _FloorsNotReserved(),
        _ShareKeptOverVersion(),
        _ShareKeptPastLease(),
        _ShareByWallClock(),
    )
}
UNMODIFIED = Variant()
