"""The learner: the decided version, its history, and announcements to other routers. No I/O, no clock.

| state of version v | event | guard | next |
| --- | --- | --- | --- |
| unknown | learn(v) | v is newer than the decided version | decided; its record is being written |
| unknown, decided | learn(v) | v is not newer than the decided version | unchanged |
| decided | written | its record is synced | durable |
| decided, durable | learn(w) | w > v | in the history |
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.acceptor import quorum
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.policy import Check
from pebblepass.consensus.records import DecisionRecord

HISTORY_VERSIONS = 32
REPEATS_PER_LEASE = 4  # at most this many announcements of a version to one router within a lease
REMEMBERED_ANNOUNCEMENTS = 4096
NEVER = -(1 << 62)  # a time before any that the clock returns


class _Announcement(Struct, frozen=True):
    name: str
    boot_id: str
    version: int


class _PendingWrite(Struct, frozen=True):
    token: int
    version: int


class Learner:
    """The decided versions."""

    def __init__(self, name: str, genesis: m.Value, check: Check, outbox: Outbox) -> None:
        self._name, self._check, self._outbox = name, check, outbox
        self.decided = genesis
        self.history: deque[m.Value] = deque(maxlen=HISTORY_VERSIONS)
        self.decided_changes: dict[int, str] = {}
        """The change id of each decided version, including versions whose values this router has missed."""
        self.durable_version = 0
        """The latest decided version that is synced to the disk."""
        self.problem = ""
        """Why this router can't use the decided version; empty: it can."""
        self._pending_writes: deque[_PendingWrite] = deque()
        self._announced_at: dict[_Announcement, int] = {}

    @property
    def version(self) -> int:
        """The number of the decided version."""
        return self.decided.version

    @property
    def voters(self) -> dict[str, str]:
        """The voters on the next version: disk id by router name."""
        return self.decided.fleet.voters

    @property
    def is_forming(self) -> bool:
        """Whether the fleet has not formed yet."""
        return self.decided.version == 0

    @property
    def quorum_size(self) -> int:
        """How many voters decide the next version."""
        return quorum(self.voters, self.is_forming)

    def peers(self) -> list[str]:
        """Return the other members of the fleet."""
        return [name for name in self.decided.fleet.members if name != self._name]

    def other_voters(self) -> list[str]:
        """Return the other voters."""
        return [name for name in self.voters if name != self._name]

    def version_of(self, change_id: str) -> int:
        """Return the version as which a change was decided; 0: it is not known to be decided."""
        return next((version for version, change in self.decided_changes.items() if change == change_id), 0)

    def known_changes(self) -> tuple[m.DecidedChange, ...]:
        """Return the known decided versions with their change ids."""
        return tuple(
            m.DecidedChange(version, change_id) for version, change_id in self.decided_changes.items()
        )

    def restore_decision(self, value: m.Value) -> None:
        """Restore a decided version from its record."""
        self.decided = value
        self.history.append(value)
        self.decided_changes[value.version] = value.change_id

    def restore_history(
        self, decided: m.Value, history: Iterable[m.Value], changes: Iterable[m.DecidedChange]
    ) -> None:
        """Restore the versions from a snapshot."""
        self.decided = decided
        self.history.extend(history)
        self.decided_changes = {change.version: change.change_id for change in changes}

    def finish_recovery(self) -> None:
        """Finish the recovery: everything restored is durable."""
        self.durable_version = self.decided.version

    def learn(self, value: m.Value, changes: Iterable[m.DecidedChange], keeps_disk: bool) -> None:
        """Adopt a newer decided version, and write its record if the router keeps a disk."""
        self.decided_changes.update({change.version: change.change_id for change in changes})
        self.decided_changes[value.version] = value.change_id
        for version in sorted(self.decided_changes)[:-HISTORY_VERSIONS]:
            del self.decided_changes[version]
        self.decided = value
        self.history.append(value)
        if keeps_disk:
            token = self._outbox.write(DecisionRecord(value))
            self._pending_writes.append(_PendingWrite(token, value.version))
        else:
            self.durable_version = value.version

    def update_durable_version(self) -> None:
        """Update the durable version after a sync."""
        while self._pending_writes and self._outbox.is_synced(self._pending_writes[0].token):
            self.durable_version = self._pending_writes.popleft().version

    def check_decided(self, before: m.Value) -> None:
        """Check whether this router can use the decided version; `before`: the previous one."""
        self.problem = self._check(before.policy, self.decided.policy)
        if self.problem:
            self._outbox.log_step("unusable", self.version, self._name, self.problem)

    def check(self, request: m.PolicyCheck) -> m.PolicyCheckResult:
        """Check whether this router can use a proposed value."""
        value = request.value
        problem = self._check(self.decided.policy, value.policy)
        return m.PolicyCheckResult(value.version, value.change_id, problem)

    def announcement(self) -> m.VersionDecided:
        """Return the message that brings a router up to date."""
        changes = sorted(self.known_changes(), key=lambda change: change.version)
        return m.VersionDecided(self.decided, tuple(changes))

    def catch_up(self, sender: m.Sender, interval_ns: int) -> None:
        """Announce the decided version to a sender that is behind; send a heartbeat to one that is ahead.

        The heartbeat makes that sender announce its own version. Each run of a process is sent this at most
        once an interval for the same decided version.
        """
        if sender.decided_version == self.version:
            return
        is_behind = sender.decided_version < self.version
        body = self.announcement() if is_behind else m.Heartbeat()
        key = _Announcement(sender.name, sender.boot_id, self.version)
        if self._outbox.now - self._announced_at.get(key, NEVER) >= interval_ns:
            if len(self._announced_at) > REMEMBERED_ANNOUNCEMENTS:
                self._announced_at.clear()
            self._announced_at[key] = self._outbox.now
            self._outbox.send(sender.name, body, sender.boot_id)
