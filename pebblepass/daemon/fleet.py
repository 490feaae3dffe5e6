"""A router's membership in a fleet: its consensus service, the operators' calls, and its readiness."""

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
LOCK_RETRY_S = 0.2

log = logging.getLogger("pebblepass")


class PolicyHost(Protocol):
    """The interface of the decision module's host that the fleet member uses."""

    @property
    def settings(self) -> Settings:
        """The platform's settings."""

    def now(self) -> int:
        """Return the time in nanoseconds."""

    def handle_event(self, event: PolicyChanged) -> None:
        """Give the decision module the policy in force, and until when it applies."""

    def demand(self) -> dict[str, int]:
        """Return the number of origin fetches requested so far, and of writes, by namespace."""


class Identity(Protocol):
    """The part of a router's configuration that identifies it."""

    @property
    def name(self) -> str:
        """The router's name in the fleet."""

    @property
    def seed(self) -> int:
        """The seed of its random numbers."""


class FleetMember:
    """Makes a running router a member of its fleet."""

    service_class: type[ConsensusService] = ConsensusService
    """Replaced by fault injection."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: PolicyHost, config: Identity, section: FleetSection
    ) -> None:
        """Open the log of a voter; raises a ConfigError of one line if the section or the log is invalid."""
        self._loop, self._host, self._section = loop, host, section
        self.name = config.name
        if self.name not in section.members:
            raise ConfigError(f"fleet.members: this router, {self.name}, is not listed")
        listen = section.listen or section.members[self.name]
        self._listen = parse_address("fleet.listen", listen)
        for name, address in section.members.items():
            parse_address(f"fleet.members.{name}", address)
        if self.name in section.voters and not section.directory:
            raise ConfigError(f"fleet.directory: missing, but {self.name} is a voter and has to keep its log")
        self._directory = Directory(section.directory) if section.directory else None
        try:
            # In an upgrade the older process has the lock: two processes must not vote as one member.
            self.has_lock = self._directory is None or self._directory.lock()
            disk = (
                open_log(self._directory, section.id, self.name)
                if self._directory and self.has_lock
                else None
            )
        except (OSError, StorageError) as error:
            raise ConfigError(f"fleet.directory {section.directory}: {error}") from None
        boot = os.urandom(6).hex()
        terms = LeaseTerms(section.lease_ms * 1_000_000, section.drift)
        checker = PolicyChecker(host.settings)
        setup = ReplicaSetup(
            self.name,
            boot,
            terms,
            genesis(dict(section.members), section.voters),
            checker.check,
            f"{self.name}.{boot}" if disk is not None else "",
            config.seed,
            checker.pools,
            host.demand,
        )
        self._setup = setup
        self._ready_at = host.now() + int(section.alone_after_s * 1e9)
        self._was_ready = False
        self._callbacks = ServiceCallbacks(self._apply_policy, self._record_step)
        self.steps: Counter[str] = Counter()
        """Steps of changes so far, by name."""
        self.service = self.service_class(loop, host.now, setup, section.id, disk, self._callbacks)
        self._lock_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start the service; raises OSError if the address can't be bound."""
        await self.service.start(self._listen if self.has_lock else None)
        if not self.has_lock:
            self._lock_timer = self._loop.call_later(LOCK_RETRY_S, self._retry_lock)

    def _retry_lock(self) -> None:
        """Vote in place of the older process of an upgrade, once it has unlocked the directory."""
        assert self._directory is not None
        try:
            if self._directory.lock():
                disk = open_log(self._directory, self._section.id, self.name)
                self.service.close()
                boot = os.urandom(6).hex()  # messages sent before belong to another boot
                setup = msgspec.structs.replace(self._setup, boot_id=boot, new_disk_id=f"{self.name}.{boot}")
                self.service = self.service_class(
                    self._loop, self._host.now, setup, self._section.id, disk, self._callbacks
                )
                self.has_lock = True
                self._lock_timer = None
                self._starting = self._loop.create_task(self.service.start(self._listen))
                return
        except (OSError, StorageError) as error:
            log.error(
                "opening the log in fleet.directory %s failed, retrying: %s", self._section.directory, error
            )
        self._lock_timer = self._loop.call_later(LOCK_RETRY_S, self._retry_lock)

    def close(self) -> None:
        """Close the service, and release the address and the directory for a successor."""
        if self._lock_timer is not None:
            self._lock_timer.cancel()
        self.service.close()
        if self._directory is not None and self.has_lock:
            self._directory.unlock()

    def ready(self) -> bool:
        """Whether it has held a lease since its start, or has waited for one for `alone_after_s`."""
        if not self._was_ready:
            now = self._host.now()
            self._was_ready = self.service.replica.may_admit(now) or now >= self._ready_at
        return self._was_ready

    def _apply_policy(self, action: PolicyActivated) -> None:
        policy = fleet_policy(action.value.version, action.value.policy)
        self._host.handle_event(
            PolicyChanged(policy, action.until, action.quota_leases, action.quota_leases_until)
        )

    def _record_step(self, step: ChangeStep) -> None:
        self.steps[step.event] += 1
        fields = {"event": step.event, "version": step.version, "peer": step.peer, "cause": step.cause}
        log.info("fleet: %s", msgspec.json.encode({k: v for k, v in fields.items() if v}).decode())

    # Calls of operators

    async def answer(self, method: str, path: str, body: bytes) -> Page | None:
        """Answer a call at the control address; None: the call does not concern the fleet."""
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
        metrics = FleetMetrics(
            replica.decided.version,
            replica.may_admit(now),
            sum(replica.peers.is_alive(name, now) for name in others),
            self.steps,
            self.service.counts,
            self.service.links.closed,
        )
        return Page(200, exposition(metrics), CONTENT_TYPE)

    def _proposal(self, call: str, change: str, body: bytes) -> m.Proposal:
        if call == "withdraw":
            author = body.decode("utf-8", "replace")[:200]
            return m.Proposal(f"withdraw.{change}", author, f"{change} withdrawn", withdrawn_change_id=change)
        policy_file = read_policy("policy", body)
        for name, address in policy_file.added_members.items():
            try:
                parse_address(f"add.{name}", address)
            except ValueError as error:
                raise PolicyError(f"policy: {error}") from None
        changes_only_fleet = policy_file.policy() == type(policy_file.policy())() and bool(
            policy_file.added_members or policy_file.removed_members or policy_file.voters
        )
        policy = None if changes_only_fleet else policy_file.policy()
        return m.Proposal(
            change or os.urandom(6).hex(),
            policy_file.author,
            policy_file.reason,
            policy,
            policy_file.added_members,
            policy_file.removed_members,
            policy_file.voters,
        )


def _page(status: int, content: Any) -> Page:
    return Page(status, msgspec.json.encode(content) + b"\n", "application/json")
