"""Runs a replica in a router's process: performs its actions with links, a disk and timers."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import (
    Action,
    ChangeStep,
    PolicyActivated,
    ProposalConcluded,
    Send,
    Write,
)
from pebblepass.consensus.records import Record, read_record
from pebblepass.consensus.replica import Replica
from pebblepass.consensus.setup import ReplicaSetup
from pebblepass.peers.links import Links
from pebblepass.storage.disk import Disk
from pebblepass.storage.frames import FileHeader, StorageError
from pebblepass.storage.log import Log
from pebblepass.storage.worker_threads import worker_threads
from pebblepass.wire.address import Address

FORMAT, VERSION = "pebblepass-agreement", 1
FILE = "agreement.log"
WRITE_RETRY_S = 0.1  # delay before a failed write is retried
PROPOSAL_TIMEOUT_S = 30.0

log = logging.getLogger("pebblepass")


class ServiceCallbacks(Struct, frozen=True):
    """The callbacks of the service into its router."""

    policy_activated: Callable[[PolicyActivated], None]
    """Called with the version under which the router may admit requests, and until when."""
    change_step: Callable[[ChangeStep], None]
    """Called with each step of a change, to be logged and counted."""


class OpenLog(Struct, frozen=True):
    """A router's log and its records."""

    log: Log
    records: Sequence[Record] | None
    """None: there is no log yet."""


def open_log(disk: Disk, fleet: str, name: str) -> OpenLog:
    """Open a router's log; raises StorageError with a one-line text, or OSError."""
    opened = Log(disk, FILE, FileHeader(FORMAT, VERSION, f"{fleet}/{name}"))
    raw = opened.open()
    try:
        return OpenLog(opened, None if raw is None else [read_record(record) for record in raw])
    except ValueError as error:
        raise StorageError(f"{FILE}: can't decode a record: {' '.join(str(error).split())}") from None


class ConsensusService:
    """Runs one router's replica on an event loop."""

    replica_class = Replica
    """The class of the replica. Fault injection replaces it by a mutant."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        setup: ReplicaSetup,
        fleet: str,
        disk: OpenLog | None,
        callbacks: ServiceCallbacks,
    ) -> None:
        """`disk`: the log and its records; None: this router keeps no disk."""
        self._loop, self._now, self._callbacks = loop, now, callbacks
        self._log = disk.log if disk is not None else None
        records = disk.records if disk is not None else None
        self.replica = self.replica_class(setup, records, now())
        if self._log is not None and records is None:
            self._log.write_snapshot([m.encode(self.replica.snapshot())])
        self.links = Links(
            loop, fleet, setup.name, setup.boot_id, self._received, self._is_member, self._expected_links
        )
        self.counts: Counter[str] = Counter()
        """Counts of messages, writes and failed writes."""
        self._worker = worker_threads(1) if self._log is not None else None
        self._pending_writes: list[Write] = []
        self._writing = False
        self._timer: asyncio.TimerHandle | None = None
        self._proposals: dict[str, list[asyncio.Future[m.Verdict]]] = {}
        self._dialled: dict[str, str] = {}
        self._closed = False

    async def start(self, listen: Address | None) -> None:
        """Start the replica, and listen at `listen` unless it is None; raises OSError."""
        if listen is not None:
            await self.links.listen(listen)
        self._carry_out(self.replica.start(self._now()))

    def close(self) -> None:
        """Stop, after the write in progress has finished."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.links.close()
        if self._worker is not None:
            self._worker.shutdown(wait=True)
        for futures in self._proposals.values():
            for future in futures:
                future.cancel()

    async def propose(self, proposal: m.Proposal) -> m.Verdict:
        """Propose a change, and wait for its verdict. Proposals with the same change id share one verdict."""
        future: asyncio.Future[m.Verdict] = self._loop.create_future()
        change_id = proposal.change_id
        self._proposals.setdefault(change_id, []).append(future)
        if len(self._proposals[change_id]) == 1:
            self._carry_out(self.replica.propose(proposal, self._now()))
        try:
            async with asyncio.timeout(PROPOSAL_TIMEOUT_S):
                return await future
        except TimeoutError:
            line = f"open: no verdict within {PROPOSAL_TIMEOUT_S:.0f} s"
            return m.Verdict(change_id, "open", 0, (line,))
        finally:
            self._forget_proposal(change_id, future)

    def _forget_proposal(self, change_id: str, future: asyncio.Future[m.Verdict]) -> None:
        futures = self._proposals.get(change_id, [])
        if future in futures:
            futures.remove(future)
        if not futures:
            self._proposals.pop(change_id, None)

    def _is_member(self, name: str) -> bool:
        replica = self.replica
        return name in replica.decided.fleet.members or name in replica.setup.genesis.fleet.members

    def _expected_links(self) -> int:
        """Return how many routers dial this one: all others if it is a voter, else none."""
        fleet = self.replica.decided.fleet
        voters = fleet.voters or self.replica.setup.genesis.fleet.voters
        return len(fleet.members) - 1 if self.replica.name in voters else 0

    def _received(self, name: str, data: bytes) -> None:
        message = m.read_message(data)
        if message.sender.name != name:
            raise ValueError(f"{name} sent a message with the sender name {message.sender.name}")
        self._carry_out(self.replica.received(message, self._now()))

    def _tick(self) -> None:
        self._carry_out(self.replica.tick(self._now()))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            self._carry_out_one(action)
        self._write()
        self._update_links()
        self._set_timer()

    def _carry_out_one(self, action: Action) -> None:
        match action:
            case Send():
                self.counts["messages"] += 1
                self.links.send(action.to, m.encode(action.message), action.boot_id)
            case Write():
                self._pending_writes.append(action)
            case PolicyActivated():
                self._callbacks.policy_activated(action)
            case ProposalConcluded():
                for future in self._proposals.pop(action.verdict.change_id, []):
                    if not future.done():
                        future.set_result(action.verdict)
            case ChangeStep():
                self._callbacks.change_step(action)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._closed:
            now = self._now()
            delay_s = max(self.replica.due(now) - now, 0) / 1e9
            self._timer = self._loop.call_later(delay_s, self._tick)

    def _update_links(self) -> None:
        decided = self.replica.decided
        voters = {*decided.fleet.voters, *decided.previous_voters}
        # Addresses in the router's own file take precedence: it may reach a member at another address.
        addresses = {**decided.fleet.members, **self.replica.setup.genesis.fleet.members}
        dialled = {name: addresses[name] for name in voters if name in decided.fleet.members}
        if dialled != self._dialled:
            self._dialled = dialled
            self.links.dial(dialled)

    def _write(self) -> None:
        """Write all pending records with one sync, in the worker thread. Only one sync runs at a time."""
        if self._writing or not self._pending_writes or self._closed:
            return
        if self._log is None or self._worker is None:
            return
        self._writing = True
        batch, self._pending_writes = self._pending_writes, []
        target = self._log
        snapshot = m.encode(self.replica.snapshot()) if target.needs_snapshot else None
        records = [m.encode(record) for write in batch for record in write.records]

        def write_and_sync() -> None:
            if snapshot is not None:
                target.write_snapshot([snapshot])
            else:
                target.append(records)

        self.counts["writes"] += 1
        self._loop.run_in_executor(self._worker, write_and_sync).add_done_callback(
            lambda done: self._written(batch, done)
        )

    def _written(self, batch: list[Write], done: asyncio.Future[None]) -> None:
        if done.cancelled() or self._closed:
            return
        error = done.exception()
        if error is not None:
            # No message that depends on these records was sent: the router casts no vote before it can write.
            self.counts["failed writes"] += 1
            log.error("fleet: writing %s failed, retrying; no votes are cast until then: %s", FILE, error)
            self._pending_writes = batch + self._pending_writes
            self._loop.call_later(WRITE_RETRY_S, self._retry_write)
            return
        self._writing = False
        self._carry_out(self.replica.written(batch[-1].token, self._now()))

    def _retry_write(self) -> None:
        self._writing = False
        self._write()
