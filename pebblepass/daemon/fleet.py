"""A router's part in a fleet: its member of the agreement, what operators ask, and when it is ready."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import ChangeStep, PolicyActivated
from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.policy import PolicyChecker, PolicyError, fleet_policy, read_policy
from pebblepass.consensus.reports import history, status
from pebblepass.consensus.service import ConsensusService, ServiceCallbacks, open_log
from pebblepass.consensus.setup import ReplicaSetup, genesis
from pebblepass.control.http_server import Page
from pebblepass.daemon.config import ConfigError
from pebblepass.decisions import PolicyChanged, Settings
from pebblepass.operator_config import FleetSection
from pebblepass.storage.disk import Directory
from pebblepass.storage.frames import StorageError
from pebblepass.wire.address import parse_address

CALLS = "/control/policy/"
LOCK_STEP_S = 0.2

log = logging.getLogger("pebblepass")


class PolicyHost(Protocol):
    """What carries a router's decisions, as far as its part in a fleet is concerned."""

    @property
    def settings(self) -> Settings:
        """The platform's settings."""

    def now(self) -> int:
        """The time in nanoseconds."""

    def handle_event(self, event: PolicyChanged) -> None:
        """Take the policy that may be admitted under, and until when."""

    def demand(self) -> dict[str, int]:
        """The fetches that each namespace has wanted of the store so far, and its writes."""


class Identity(Protocol):
    """What a router's configuration says of itself."""

    @property
    def name(self) -> str:
        """Its name in the fleet."""

    @property
    def seed(self) -> int:
        """Of what it draws."""


class FleetMember:
    """What joins a running router to its fleet."""

    service_class: type[ConsensusService] = ConsensusService
    """A trial of a broken program puts another here."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: PolicyHost, config: Identity, section: FleetSection
    ) -> None:
        """Open what lasts; raises ConfigError in one plain line."""
        self._loop, self._host, self._section = loop, host, section
        self.name = config.name
        if self.name not in section.members:
            raise ConfigError(f"fleet.members: this router, {self.name}, is not among them")
        where = section.listen or section.members[self.name]
        self._listen = parse_address("fleet.listen", where)
        for name, address in section.members.items():
            parse_address(f"fleet.members.{name}", address)
        if self.name in section.voters and not section.directory:
            raise ConfigError(f"fleet.directory: {self.name} is a voter, and has to keep its promises")
        self._folder = Directory(section.directory) if section.directory else None
        try:
            # In an upgrade the process that is there holds it: two must not vote for one.
            self.alone = self._folder is None or self._folder.lock()
            disk = open_log(self._folder, section.id, self.name) if self._folder and self.alone else None
        except (OSError, StorageError) as error:
            raise ConfigError(f"fleet.directory {section.directory}: {error}") from None
        boot = os.urandom(6).hex()
        terms = LeaseTerms(section.lease_ms * 1_000_000, section.drift)
        ground = PolicyChecker(host.settings)
        setup = ReplicaSetup(
            self.name,
            boot,
            terms,
            genesis(dict(section.members), section.voters),
            ground.check,
            f"{self.name}.{boot}" if disk is not None else "",
            config.seed,
            ground.pools,
            host.demand,
        )
        self._setup = setup
        self._ready_at = host.now() + int(section.alone_after_s * 1e9)
        self._was_ready = False
        self._told = ServiceCallbacks(self._in_force, self._step)
        self.steps: Counter[str] = Counter()
        """Steps of changes so far, by name."""
        self.service = self.service_class(loop, host.now, setup, section.id, disk, self._told)
        self._lock_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Begin; raises OSError where the address can't be had."""
        await self.service.start(self._listen if self.alone else None)
        if not self.alone:
            self._lock_timer = self._loop.call_later(LOCK_STEP_S, self._succeed)

    def _succeed(self) -> None:
        """In an upgrade: once the older process has let go of the disk, this one votes for both."""
        assert self._folder is not None
        try:
            if self._folder.lock():
                disk = open_log(self._folder, self._section.id, self.name)
                self.service.close()
                boot = os.urandom(6).hex()  # what it asked before counts for another run
                fresh = msgspec.structs.replace(self._setup, boot_id=boot, new_disk_id=f"{self.name}.{boot}")
                self.service = self.service_class(
                    self._loop, self._host.now, fresh, self._section.id, disk, self._told
                )
                self.alone = True
                self._lock_timer = None
                self._starting = self._loop.create_task(self.service.start(self._listen))
                return
        except (OSError, StorageError) as error:
            log.error("fleet.directory %s: %s", self._section.directory, error)
        self._lock_timer = self._loop.call_later(LOCK_STEP_S, self._succeed)

    def close(self) -> None:
        """The router ends: its successor may have the address and the disk."""
        if self._lock_timer is not None:
            self._lock_timer.cancel()
        self.service.close()
        if self._folder is not None and self.alone:
            self._folder.unlock()

    def ready(self) -> bool:
        """Whether it has held a lease since its start, or has waited for one for as long as it is to."""
        if not self._was_ready:
            now = self._host.now()
            self._was_ready = self.service.replica.may_admit(now) or now >= self._ready_at
        return self._was_ready

    def _in_force(self, action: PolicyActivated) -> None:
        policy = fleet_policy(action.value.version, action.value.policy)
        self._host.handle_event(
            PolicyChanged(policy, action.until, action.quota_leases, action.quota_leases_until)
        )

    def _step(self, note: ChangeStep) -> None:
        self.steps[note.event] += 1
        told = {"event": note.event, "version": note.version, "peer": note.peer, "cause": note.cause}
        log.info("fleet: %s", msgspec.json.encode({k: v for k, v in told.items() if v}).decode())

    # What operators ask

    async def answer(self, method: str, path: str, body: bytes) -> Page | None:
        """Answer a call of the control address; None: it is none of the fleet's."""
        if not path.startswith(CALLS):
            return None
        calls: dict[str, tuple[str, Callable[[], Any]]] = {
            "status": ("GET", lambda: status(self.service.replica, self._host.now())),
            "history": ("GET", lambda: history(self.service.replica)),
        }
        call, _, argument = path.removeprefix(CALLS).partition("/")
        if call in calls and method == calls[call][0]:
            return _page(200, calls[call][1]())
        if call == "metrics" and method == "GET":
            return self._metrics()
        if call in ("propose", "withdraw") and method == "POST":
            try:
                proposal = self._proposal(call, argument, body)
            except PolicyError as error:
                return _page(400, {"state": "refused", "lines": [str(error)]})
            verdict = await self.service.propose(proposal)
            return _page(200 if verdict.state == "in force" else 409, msgspec.to_builtins(verdict))
        return Page(404, b"no such call\n")

    def _metrics(self) -> Page:
        from pebblepass.consensus.metrics import CONTENT_TYPE, FleetMetrics, exposition

        replica, now = self.service.replica, self._host.now()
        others = [name for name in replica.decided.fleet.members if name != self.name]
        told = FleetMetrics(
            replica.decided.version,
            replica.may_admit(now),
            sum(replica.peers.is_alive(name, now) for name in others),
            self.steps,
            self.service.counts,
            self.service.links.closed,
        )
        return Page(200, exposition(told), CONTENT_TYPE)

    def _proposal(self, call: str, change: str, body: bytes) -> m.Proposal:
        if call == "withdraw":
            who = body.decode("utf-8", "replace")[:200]
            return m.Proposal(f"withdraw.{change}", who, f"{change} withdrawn", withdrawn_change_id=change)
        told = read_policy("policy", body)
        for name, address in told.added_members.items():
            try:
                parse_address(f"add.{name}", address)
            except ValueError as error:
                raise PolicyError(f"policy: {error}") from None
        fleet_only = told.policy() == type(told.policy())() and bool(
            told.added_members or told.removed_members or told.voters
        )
        policy = None if fleet_only else told.policy()
        return m.Proposal(
            change or os.urandom(6).hex(),
            told.author,
            told.reason,
            policy,
            told.added_members,
            told.removed_members,
            told.voters,
        )


def _page(status: int, told: Any) -> Page:
    return Page(status, msgspec.json.encode(told) + b"\n", "application/json")
