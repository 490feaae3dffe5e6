"""The agreement at work in a running router: links, the disk, timers. The thin shell; it decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.member import Action, Conclude, InForce, Member, Note, Send, Setup, Write
from pebblepass.peers.links import Links
from pebblepass.storage.disk import Disk
from pebblepass.storage.frames import DurableError, Head
from pebblepass.storage.log import Log
from pebblepass.wire.address import Address

FORMAT, VERSION = "pebblepass-agreement", 1
FILE = "agreement.log"
RETRY_S = 0.1  # after a write that failed
WAIT_S = 30.0  # for a proposal's end, at most

log = logging.getLogger("pebblepass")


class Told(Struct, frozen=True):
    """What the service tells its router."""

    in_force: Callable[[InForce], None]
    """Under what it may admit, and until when."""
    step: Callable[[Note], None]
    """A step of a change, for the log."""


def open_log(disk: Disk, fleet: str, name: str) -> tuple[Log, list[m.Record] | None]:
    """A router's log and what it holds; raises DurableError in one plain line, or OSError."""
    held = Log(disk, FILE, Head(FORMAT, VERSION, f"{fleet}/{name}"))
    raw = held.open()
    try:
        return held, None if raw is None else [m.read_record(each) for each in raw]
    except ValueError as error:
        raise DurableError(f"{FILE}: a record that can't be read: {' '.join(str(error).split())}") from None


class AgreementService:
    """One router's member of the agreement, on its loop."""

    member_class = Member
    """The rules; a trial of a broken program puts others here."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        setup: Setup,
        fleet: str,
        disk: tuple[Log, list[m.Record] | None] | None,
        told: Told,
    ) -> None:
        """`disk`: the log and what it holds; None: this router keeps none."""
        self._loop, self._now, self._told = loop, now, told
        self._log = disk[0] if disk is not None else None
        records = disk[1] if disk is not None else None
        self.member = self.member_class(setup, records, now())
        if self._log is not None and records is None:
            self._log.begin([m.encode(self.member.summary())])
        self.links = Links(loop, fleet, setup.name, setup.boot, self._take, self._known, self._expected_links)
        self.counts: Counter[str] = Counter()
        """Messages, writes and failed writes."""
        self._worker = ThreadPoolExecutor(1) if self._log is not None else None
        self._waiting: list[Write] = []
        self._writing = False
        self._timer: asyncio.TimerHandle | None = None
        self._asked: dict[str, list[asyncio.Future[m.Verdict]]] = {}
        self._dialled: dict[str, str] = {}
        self._closed = False

    async def start(self, listen: Address | None) -> None:
        """Listen where this process is the one that does, and begin; raises OSError."""
        if listen is not None:
            await self.links.listen(listen)
        self._carry_out(self.member.start(self._now()))

    def close(self) -> None:
        """End; what is being written is written."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.links.close()
        if self._worker is not None:
            self._worker.shutdown(wait=True)
        for futures in self._asked.values():
            for future in futures:
                future.cancel()

    async def propose(self, proposal: m.Proposal) -> m.Verdict:
        """Propose, and wait for the end; asked again with the same id, it is the same proposal."""
        future: asyncio.Future[m.Verdict] = self._loop.create_future()
        self._asked.setdefault(proposal.change, []).append(future)
        if len(self._asked[proposal.change]) == 1:
            self._carry_out(self.member.propose(proposal, self._now()))
        try:
            async with asyncio.timeout(WAIT_S):
                return await future
        except TimeoutError:
            return m.Verdict(proposal.change, "open", 0, (f"open: no end within {WAIT_S:.0f} s",))
        finally:
            waiting = self._asked.get(proposal.change, [])
            if future in waiting:
                waiting.remove(future)
            if not waiting:
                self._asked.pop(proposal.change, None)

    def _known(self, name: str) -> bool:
        return name in self.member.decided.fleet.members or name in self.member.setup.genesis.fleet.members

    def _expected_links(self) -> int:
        """How many routers dial this one: all others, if it is a voter."""
        fleet = self.member.decided.fleet
        voters = fleet.voters or self.member.setup.genesis.fleet.voters
        return len(fleet.members) - 1 if self.member.name in voters else 0

    def _take(self, name: str, data: bytes) -> None:
        message = m.read_message(data)
        if message.sender.name != name:
            raise ValueError(f"{name} speaks for {message.sender.name}")
        self._carry_out(self.member.received(message, self._now()))

    def _tick(self) -> None:
        self._carry_out(self.member.tick(self._now()))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self.counts["messages"] += 1
                    self.links.send(action.to, m.encode(action.message), action.boot)
                case Write():
                    self._waiting.append(action)
                case InForce():
                    self._told.in_force(action)
                case Conclude():
                    for future in self._asked.pop(action.verdict.change, []):
                        if not future.done():
                            future.set_result(action.verdict)
                case Note():
                    self._told.step(action)
        self._write()
        self._keep_links()
        if self._timer is not None:
            self._timer.cancel()
        if not self._closed:
            now = self._now()
            wait = max(self.member.due(now) - now, 0) / 1e9
            self._timer = self._loop.call_later(wait, self._tick)

    def _keep_links(self) -> None:
        fleet = self.member.decided.fleet
        voters = {*fleet.voters, *self.member.decided.before}
        # The router's own file goes before what the fleet says: it may reach another by a way of its own.
        reached = {**fleet.members, **self.member.setup.genesis.fleet.members}
        wanted = {name: reached[name] for name in voters if name in fleet.members}
        if wanted != self._dialled:
            self._dialled = wanted
            self.links.dial(wanted)

    def _write(self) -> None:
        """All that waits goes in one sync, beside the loop; one is under way at a time."""
        if self._writing or not self._waiting or self._log is None or self._worker is None or self._closed:
            return
        self._writing = True
        batch, self._waiting = self._waiting, []
        held, summary = self._log, m.encode(self.member.summary()) if self._log.wants_summary else None
        records = [m.encode(record) for write in batch for record in write.records]

        def work() -> None:
            if summary is not None:
                held.begin([summary])
            else:
                held.write(records)

        self.counts["writes"] += 1
        self._loop.run_in_executor(self._worker, work).add_done_callback(
            lambda done: self._written(batch, done)
        )

    def _written(self, batch: list[Write], done: asyncio.Future[None]) -> None:
        if done.cancelled() or self._closed:
            return
        error = done.exception()
        if error is not None:
            # Nothing of it was promised: it is tried again, and until then this voter is one that is missing.
            self.counts["failed writes"] += 1
            log.error("fleet: %s: %s; this router promises nothing until it can write", FILE, error)
            self._waiting = batch + self._waiting
            self._loop.call_later(RETRY_S, self._again)
            return
        self._writing = False
        self._carry_out(self.member.written(batch[-1].token, self._now()))

    def _again(self) -> None:
        self._writing = False
        self._write()
