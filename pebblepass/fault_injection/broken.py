"""Programs that are broken in known ways: each has to be caught, or the checks show nothing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pebblepass.consensus import messages as m
from pebblepass.consensus.member import InForce, Member
from pebblepass.consensus.shares import Allocator, Pool, Rows, ShareHolder
from pebblepass.fault_injection.disk import PowerDisk
from pebblepass.storage.log import Log


class Variant:
    """The program as it is; the others change one part of it."""

    name = ""

    def member(self, sound: type[Member]) -> type[Member]:
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


class _NoSync(Variant):
    """Promises leave before they last."""

    name = "no-sync"

    def member(self, sound: type[Member]) -> type[Member]:
        class Hasty(sound):  # type: ignore[valid-type, misc]
            def _once_lasting(self, record: m.Record, to: str, body: m.Body) -> None:
                self._write(record)
                self._send(to, body)

        return Hasty


class _Forgets(Variant):
    """What was promised is forgotten at a restart."""

    name = "promise-forgotten"

    def member(self, sound: type[Member]) -> type[Member]:
        class Forgetful(sound):  # type: ignore[valid-type, misc]
            def _restore(self, record: m.Record) -> None:
                super()._restore(record)
                self.acceptor.over()

        return Forgetful


class _AnyDisk(Variant):
    """A router with an empty disk votes as if it remembered."""

    name = "empty-disk-votes"

    def member(self, sound: type[Member]) -> type[Member]:
        class Bold(sound):  # type: ignore[valid-type, misc]
            @property
            def votes(self) -> bool:
                return self.name in self.voters and bool(self.incarnation)

            def _carry(self, value: m.Value, takeover: bool) -> None:
                super()._carry(value, takeover)
                if self.change is not None:
                    self.change.round._forming = True  # any disk counts

            def _is_clear(self, name: str, incarnation: str, version: int) -> bool:
                heard = self._heard.get(name)
                return super()._is_clear(name, incarnation, version) or (
                    heard is not None and heard.clear >= version
                )

            def _take(self, message: m.Message) -> None:
                if isinstance(message.body, m.Grant) and message.sender.name in self.voters:
                    self.holder.granted(message.sender.name, message.body.seq, message.body.version)
                super()._take(message)

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


class _OneTerm(Variant):
    """Two that carry a change may have the same ballot."""

    name = "two-coordinators-in-one-term"

    def member(self, sound: type[Member]) -> type[Member]:
        class Equal(sound):  # type: ignore[valid-type, misc]
            def _send_all(self, names: Any, body: m.Body) -> None:
                if isinstance(body, m.Prepare):
                    body = m.Prepare(body.version, (body.ballot[0], ""))
                    if self.change is not None:
                        self.change.round.ballot = body.ballot
                super()._send_all(names, body)

            def _vote(self, sender: m.Sender, body: m.Prepare | m.Accept) -> None:
                if isinstance(body, m.Prepare) and body.ballot == self.acceptor.promised:
                    self.acceptor.promised = (body.ballot[0] - 1, "")
                super()._vote(sender, body)

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
            def told(self, action: InForce) -> None:
                if action.until:
                    super().told(action)

            def admits(self, now: int) -> int:
                return int(self.version)

        return Going


class _Early(Variant):
    """A change is told decided before a quorum has accepted it."""

    name = "commit-before-quorum"

    def member(self, sound: type[Member]) -> type[Member]:
        class Eager(sound):  # type: ignore[valid-type, misc]
            def _carry(self, value: m.Value, takeover: bool) -> None:
                super()._carry(value, takeover)
                if self.change is not None and not self.forming:
                    self.change.round.needed = 2

        return Eager


class _BelievingLog(Log):
    def open(self) -> list[bytes] | None:
        """Read whatever has a size, whole or not."""
        from pebblepass.storage.log import _records

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
        for record in (each for batch in found[1:] for each in _records(batch)):
            try:
                m.read_record(record)
            except ValueError:
                continue
            kept.append(record)
        return kept


class _TornTail(Variant):
    """What the power loss has torn is believed."""

    name = "torn-tail-believed"

    def log(self, sound: type[Log]) -> type[Log]:
        return _BelievingLog


class _NewVoters(Variant):
    """A change of the voters is decided by the new ones."""

    name = "members-changed-at-once"

    def member(self, sound: type[Member]) -> type[Member]:
        class AtOnce(sound):  # type: ignore[valid-type, misc]
            def _carry(self, value: m.Value, takeover: bool) -> None:
                super()._carry(value, takeover)
                change = self.change
                if change is not None and value.kind == "members":
                    change.round._voters = value.fleet.voters
                    change.round.needed = len(value.fleet.voters) // 2 + 1

        return AtOnce


class _NotClosed(Variant):
    """A voter grants a version while leases on the one before are out elsewhere."""

    name = "granted-before-closed"

    def member(self, sound: type[Member]) -> type[Member]:
        class Quick(sound):  # type: ignore[valid-type, misc]
            def _settle(self) -> None:
                self.closed: int = max(self.closed, self.lasting - 1)
                super()._settle()

        return Quick


class _NoQuiet(Variant):
    """A voter that was restarted takes its grants for over."""

    name = "grants-forgotten-at-restart"

    def member(self, sound: type[Member]) -> type[Member]:
        class Blank(sound):  # type: ignore[valid-type, misc]
            def start(self, now: int) -> list[Any]:
                self.granter.quiet_from = now
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

    def member(self, sound: type[Member]) -> type[Member]:
        class Last(Allocator):
            def grant(self, who: tuple[str, str], seq: int, now: int) -> Rows:
                client = self._clients.get(who)
                if client is not None:
                    client.grants.clear()
                    self._count(client)
                return super().grant(who, seq, now)

        return _with(sound, Last)


class _FreedAtTheAnswer(Variant):
    """A voter takes a router's next question for its word that it has applied the last share."""

    name = "share-freed-at-the-answer"

    def member(self, sound: type[Member]) -> type[Member]:
        class Hopeful(Allocator):
            def asked(self, who: Any, version: int, applied: int, demand: Any, now: int) -> None:
                client = self._clients.get(who)
                if client is not None and client.grants and version == self.version:
                    applied = client.grants[-1][0]
                super().asked(who, version, applied, demand, now)

        return _with(sound, Hopeful)


class _SharesForgotten(Variant):
    """A voter that was restarted takes its shares for over."""

    name = "shares-forgotten-at-restart"

    def member(self, sound: type[Member]) -> type[Member]:
        class Blank(Allocator):
            def __init__(self, terms: Any, now: int, restarted: bool) -> None:
                super().__init__(terms, now, restarted=False)

        return _with(sound, Blank)


class _NoFloors(Variant):
    """The floors are not set aside: whoever is at the floor comes on top."""

    name = "floors-not-set-aside"

    def member(self, sound: type[Member]) -> type[Member]:
        class Whole(Allocator):
            def begin(self, version: int, pools: Any, voters: int) -> None:
                whole = {n: Pool(p.shared * 4 / 3, p.floor) for n, p in pools.items()}
                super().begin(version, whole, voters)

        return _with(sound, Whole)


class _OverAVersion(Variant):
    """A router keeps its shares when it begins another version."""

    name = "share-kept-over-a-version"

    def member(self, sound: type[Member]) -> type[Member]:
        class Keeping(ShareHolder):
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

    def member(self, sound: type[Member]) -> type[Member]:
        class Wall(Allocator):
            def grant(self, who: Any, seq: int, now: int) -> Rows:
                return super().grant(who, seq, now + (now // 1_000_000_000 % 2) * 2_000_000_000)

            def applied(self, who: Any, version: int, applied: int, now: int) -> None:
                stepped = now + (now // 1_000_000_000 % 2) * 2_000_000_000
                super().applied(who, version, applied, stepped)

        return _with(sound, Wall)


def _with(
    sound: type[Member],
    allocator: type[Allocator] = Allocator,
    holder: type[ShareHolder] = ShareHolder,
) -> type[Member]:
    """The rules with other shares."""

    class Other(sound):  # type: ignore[valid-type, misc]
        allocator_class = allocator
        share_holder_class = holder

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
