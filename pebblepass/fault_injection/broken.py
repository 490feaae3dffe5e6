"""Programs that are broken in known ways: each has to be caught, or the checks show nothing."""

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
from pebblepass.fault_injection.disk import PowerDisk
from pebblepass.storage.log import Log, decode_batch


class Variant:
    """The program as it is; the others change one part of it."""

    name = ""

    def replica(self, sound: type[Replica]) -> type[Replica]:
        """The rules."""
        return sound

    def log(self, sound: type[Log]) -> type[Log]:
        """The file."""
        return sound

    def admitter(self, sound: Any) -> Any:
        """What admits."""
        return sound

    def disturb(self, disks: Iterable[PowerDisk]) -> None:
        """What else befalls the routers' disks; not what is broken."""


class _HastyOutbox(Outbox):
    def send_after_write(self, record: Record, to: str, body: m.Body) -> None:
        """Send at once."""
        self.write(record)
        self.send(to, body)


class _NoSync(Variant):
    """Promises leave before they last."""

    name = "no-sync"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Hasty(sound):  # type: ignore[valid-type, misc]
            outbox_class = _HastyOutbox

        return Hasty


class _ForgetfulRecovery(Recovery):
    def restore(self, record: Record) -> None:
        """Leave out promises and what was accepted."""
        super().restore(record)
        self._acceptor.reset()


class _Forgets(Variant):
    """What was promised is forgotten at a restart."""

    name = "promise-forgotten"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Forgetful(sound):  # type: ignore[valid-type, misc]
            recovery_class = _ForgetfulRecovery

        return Forgetful


class _BoldDisk(DiskIdentity):
    def can_vote(self, voters: Mapping[str, str]) -> bool:
        """Vote with any disk."""
        return self._name in voters and bool(self.disk_id)


class _AnyDiskProposer(Proposer):
    def begin(self, value: m.Value, takeover: bool) -> None:
        """Count votes from any disk."""
        super().begin(value, takeover)
        if self.change is not None:
            self.change.round.any_disk = True


class _AnyDiskLeaseServer(LeaseServer):
    def has_released(self, name: str, disk_id: str, version: int) -> bool:
        """Believe any disk."""
        state = self._peers.state(name)
        return super().has_released(name, disk_id, version) or (
            state is not None and state.released_version >= version
        )


class _AnyDisk(Variant):
    """A router with an empty disk votes as if it remembered."""

    name = "empty-disk-votes"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Bold(sound):  # type: ignore[valid-type, misc]
            disk_identity_class = _BoldDisk
            proposer_class = _AnyDiskProposer
            lease_server_class = _AnyDiskLeaseServer

            def _handle_message(self, message: m.Message) -> None:
                sender, body = message.sender, message.body
                if isinstance(body, m.LeaseGrant) and sender.name in self.learner.voters:
                    self.lease_client.count_grant(sender.name, body)
                super()._handle_message(message)

        return Bold


class _WallClock(Variant):
    """The lease is held by the wall clock, which is set back now and then."""

    name = "lease-by-wall-clock"

    def admitter(self, sound: Any) -> Any:
        class Wall(sound):  # type: ignore[misc]
            def admits(self, now: int) -> int:
                # An operator's time service steps it by a few seconds.
                return int(super().admits(now - (now // 3_000_000_000 % 2) * 2_000_000_000))

        return Wall


class _OneTermProposer(Proposer):
    def new_ballot(self, number: int) -> m.Ballot:
        """Leave out who proposes."""
        return m.Ballot(number, "")


class _OneTermVoter(Voter):
    def vote(self, sender: m.Sender, request: m.Prepare | m.Accept) -> None:
        """Promise the same ballot twice."""
        if isinstance(request, m.Prepare) and request.ballot == self._acceptor.promised:
            self._acceptor.promised = m.Ballot(request.ballot.number - 1, "")
        super().vote(sender, request)


class _OneTerm(Variant):
    """Two that carry a change may have the same ballot."""

    name = "two-coordinators-in-one-term"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Equal(sound):  # type: ignore[valid-type, misc]
            voter_class = _OneTermVoter
            proposer_class = _OneTermProposer

        return Equal


class _NoLook(Variant):
    """A timer ends the lease, and a process that was paused admits before its timers have run."""

    name = "lease-not-looked-at-after-a-pause"

    def admitter(self, sound: Any) -> Any:
        class Timed(sound):  # type: ignore[misc]
            looked = 0

            def admits(self, now: int) -> int:
                seen, self.looked = self.looked, now
                return int(super().admits(seen or now))

        return Timed


class _ServesOn(Variant):
    """A router that is cut off goes on under the version that it knows."""

    name = "old-version-served-when-cut-off"

    def admitter(self, sound: Any) -> Any:
        class Going(sound):  # type: ignore[misc]
            def told(self, action: PolicyActivated) -> None:
                if action.until:
                    super().told(action)

            def admits(self, now: int) -> int:
                return int(self.version)

        return Going


class _EagerProposer(Proposer):
    def begin(self, value: m.Value, takeover: bool) -> None:
        """Take two votes for a quorum."""
        super().begin(value, takeover)
        if self.change is not None and not self._learner.is_forming:
            self.change.round.needed = 2


class _Early(Variant):
    """A change is told decided before a quorum has accepted it."""

    name = "commit-before-quorum"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Eager(sound):  # type: ignore[valid-type, misc]
            proposer_class = _EagerProposer

        return Eager


class _BelievingLog(Log):
    def open(self) -> list[bytes] | None:
        """Read whatever has a size, whole or not."""
        data = self._disk.read(self._name)
        if data is None:
            return None
        found, at = [], 0
        while at + 8 < len(data):
            size = int.from_bytes(data[at : at + 4], "little")
            if not 0 < size < 1 << 16:
                break
            found.append(data[at + 8 : at + 8 + size].ljust(size, b"\0"))
            at += 8 + size
        self._size = min(at, len(data))
        kept = []
        for record in (each for batch in found[1:] for each in decode_batch(batch)):
            try:
                read_record(record)
            except ValueError:
                continue
            kept.append(record)
        return kept


class _TornTail(Variant):
    """What the power loss has torn is believed."""

    name = "torn-tail-believed"

    def log(self, sound: type[Log]) -> type[Log]:
        return _BelievingLog


class _NewVotersProposer(Proposer):
    def begin(self, value: m.Value, takeover: bool) -> None:
        """Count the votes of the voters that the change brings."""
        super().begin(value, takeover)
        if self.change is not None and value.kind == "members":
            self.change.round.voters = value.fleet.voters
            self.change.round.needed = len(value.fleet.voters) // 2 + 1


class _NewVoters(Variant):
    """A change of the voters is decided by the new ones."""

    name = "members-changed-at-once"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class AtOnce(sound):  # type: ignore[valid-type, misc]
            proposer_class = _NewVotersProposer

        return AtOnce


class _QuickLeaseServer(LeaseServer):
    def settle(self) -> None:
        """Take every version before the durable one for closed."""
        self.closed_version = max(self.closed_version, self._learner.durable_version - 1)
        super().settle()


class _NotClosed(Variant):
    """A voter grants a version while leases on the one before are out elsewhere."""

    name = "granted-before-closed"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Quick(sound):  # type: ignore[valid-type, misc]
            lease_server_class = _QuickLeaseServer

        return Quick


class _NoQuiet(Variant):
    """A voter that was restarted takes its grants for over."""

    name = "grants-forgotten-at-restart"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Blank(sound):  # type: ignore[valid-type, misc]
            def start(self, now: int) -> list[Any]:
                self.lease_server.granter.earlier_leases_expire_at = now
                return list(super().start(now))

        return Blank


class _LyingDisk(Variant):
    """A disk returns from its sync with nothing done."""

    name = "disk-that-lies"

    def disturb(self, disks: Iterable[PowerDisk]) -> None:
        for disk in disks:
            disk.lies = True


class _LastGrant(Variant):
    """A voter counts only the last share that it granted a router, which may never have come."""

    name = "share-counted-by-its-last-grant"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Last(QuotaAllocator):
            def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
                client = self._clients.get(process)
                if client is not None:
                    client.grants.clear()
                    self._recount(client)
                return super().grant(process, sequence, now)

        return _with(sound, Last)


class _FreedAtTheAnswer(Variant):
    """A voter takes a router's next question for its word that it has applied the last share."""

    name = "share-freed-at-the-answer"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Hopeful(QuotaAllocator):
            def request(
                self, process: ProcessId, version: int, applied_sequence: int, demand: Any, now: int
            ) -> None:
                client = self._clients.get(process)
                if client is not None and client.grants and version == self.version:
                    applied_sequence = client.grants[-1].sequence
                super().request(process, version, applied_sequence, demand, now)

        return _with(sound, Hopeful)


class _SharesForgotten(Variant):
    """A voter that was restarted takes its shares for over."""

    name = "shares-forgotten-at-restart"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Blank(QuotaAllocator):
            def __init__(self, terms: LeaseTerms, now: int, restarted: bool) -> None:
                super().__init__(terms, now, restarted=False)

        return _with(sound, Blank)


class _NoFloors(Variant):
    """The floors are not set aside: whoever is at the floor comes on top."""

    name = "floors-not-set-aside"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Whole(QuotaAllocator):
            def begin(self, version: int, pools: Any, voters: int) -> None:
                quotas = {n: QuotaPool(p.shared * 4 / 3, p.floor) for n, p in pools.items()}
                super().begin(version, quotas, voters)

        return _with(sound, Whole)


class _OverAVersion(Variant):
    """A router keeps its shares when it begins another version."""

    name = "share-kept-over-a-version"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Keeping(QuotaLeaseHolder):
            def begin(self) -> None:
                pass

        return _with(sound, holder=Keeping)


class _PastItsLease(Variant):
    """A router admits by a share until it hears of another."""

    name = "share-kept-past-its-lease"

    def admitter(self, sound: Any) -> Any:
        class Keeping(sound):  # type: ignore[misc]
            def share_now(self, now: int) -> float:
                return float(self.share)

            def admits(self, now: int) -> int:
                return int(self.version)

        return Keeping


class _ShareByWallClock(Variant):
    """A voter counts its shares' ends by the wall clock, which is set forward now and then."""

    name = "share-by-wall-clock"

    def replica(self, sound: type[Replica]) -> type[Replica]:
        class Wall(QuotaAllocator):
            def grant(self, process: ProcessId, sequence: int, now: int) -> Rates:
                stepped = now + (now // 1_000_000_000 % 2) * 2_000_000_000
                return super().grant(process, sequence, stepped)

            def applied(self, process: ProcessId, version: int, applied_sequence: int, now: int) -> None:
                stepped = now + (now // 1_000_000_000 % 2) * 2_000_000_000
                super().applied(process, version, applied_sequence, stepped)

        return _with(sound, Wall)


def _with(
    sound: type[Replica],
    allocator: type[QuotaAllocator] = QuotaAllocator,
    holder: type[QuotaLeaseHolder] = QuotaLeaseHolder,
) -> type[Replica]:
    """The rules with other quota leases."""

    class Other(sound):  # type: ignore[valid-type, misc]
        quota_allocator_class = allocator
        quota_holder_class = holder

    return Other


VARIANTS: dict[str, Variant] = {
    made.name: made
    for made in (
        _NoSync(),
        _Forgets(),
        _AnyDisk(),
        _WallClock(),
        _OneTerm(),
        _NoLook(),
        _ServesOn(),
        _Early(),
        _TornTail(),
        _NewVoters(),
        _NotClosed(),
        _NoQuiet(),
        _LyingDisk(),
        _LastGrant(),
        _FreedAtTheAnswer(),
        _SharesForgotten(),
        _NoFloors(),
        _OverAVersion(),
        _PastItsLease(),
        _ShareByWallClock(),
    )
}
SOUND = Variant()
