"""The daemon as run in a trial: it records its admissions and votes, and may run a defective variant.

    PEBBLEPASS_HISTORY=FILE [PEBBLEPASS_BREAK=NAME] [PEBBLEPASS_KILL=STEP:N] \\
        python -m pebblepass.fault_injection.router

PEBBLEPASS_KILL kills the process when it takes a step for the Nth time: a message (check, prepare, accept,
learn) or a write (promised, took, decided). The variant `clients-timeout-advertised` exists only here: every
attempt advertises its client's own timeout. With PEBBLEPASS_CLOCK=1.05 the process's clock runs 5 % fast.
Everything else is the production daemon. Times in the history are the machine's.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from crc32c import crc32c
from msgspec.structs import astuple, replace

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, PolicyActivated, Send, Write
from pebblepass.consensus.replica import Replica
from pebblepass.consensus.service import ConsensusService
from pebblepass.daemon import deadline_propagation, fleet
from pebblepass.daemon import process as daemon_main
from pebblepass.daemon.attempts import Attempt
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.daemon.router import RouterHost
from pebblepass.decisions import PolicyChanged
from pebblepass.decisions import Send as SendRequest
from pebblepass.emulators.advertised import read_advertised_timeout
from pebblepass.fault_injection.history import Event
from pebblepass.fault_injection.variants import UNMODIFIED, VARIANTS
from pebblepass.wire.address import Address

VARIANT = VARIANTS.get(os.environ.get("PEBBLEPASS_BREAK", ""), UNMODIFIED)
CLIENTS_TIMEOUT_VARIANT = "clients-timeout-advertised"
HTTP_INFO_PREFIX = b"Request-Info: "
RESP_INFO_LINE_INDEX = 8  # in a single-key command: the array header, then length and word alternate
KILL_STEP, _, _count = os.environ.get("PEBBLEPASS_KILL", "").partition(":")
KILL_STEP_COUNT = int(_count or 1)
# Each line is appended with a single write, so a kill truncates at most the last one.
_file = os.open(os.environ["PEBBLEPASS_HISTORY"], os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600)
_encode = msgspec.json.Encoder().encode


CLOCK_RATE = float(os.environ.get("PEBBLEPASS_CLOCK", "1"))
_started_at = time.monotonic_ns()


def to_machine_time(at: int) -> int:
    """Convert a time of this process's clock, which may run fast or slow, to the machine's time."""
    return _started_at + int((at - _started_at) / CLOCK_RATE)


def record(event: Event) -> None:
    """Append an event to the history; its `at` is in this process's time."""
    os.write(_file, _encode(replace(event, at=to_machine_time(event.at))) + b"\n")


def set_clock() -> None:
    """Make this process's clock run at `CLOCK_RATE`."""
    if CLOCK_RATE != 1:
        DaemonLoop.time_ns = staticmethod(_time_ns)
        DaemonLoop.time = staticmethod(_time)


def _time_ns() -> int:
    return _started_at + int((time.monotonic_ns() - _started_at) * CLOCK_RATE)


def _time() -> float:
    return _time_ns() / 1e9


def _steps(action: Action) -> list[str]:
    """The step names of an action: the tags of its message or of its records."""
    if isinstance(action, Send):
        return [m.tag_of(action.message.body)]
    if isinstance(action, Write):
        return [m.tag_of(record) for record in action.records]
    return []


def advertised_info(data: bytes) -> bytes:
    """Extract the info list from an attempt's bytes: a command's fourth word, or the origin's header."""
    lines = data.split(b"\r\n")
    if data.startswith(b"*"):
        return lines[RESP_INFO_LINE_INDEX]
    return next(
        (line.removeprefix(HTTP_INFO_PREFIX) for line in lines if line.startswith(HTTP_INFO_PREFIX)), b""
    )


def record_advertised_timeouts() -> None:
    """Record each attempt's advertised timeout together with its client's deadline."""
    original = Attempt.request_bytes

    def request_bytes(attempt: Attempt, address: Address) -> bytes:
        now, data = attempt._host.now(), original(attempt, address)
        timeout_ms = read_advertised_timeout(advertised_info(data))
        amount = -1.0 if timeout_ms is None else float(timeout_ms)
        until = to_machine_time(now) + attempt._request.deadline - now
        name = RecordingHost.name
        record(Event(now, name, "advertised", detail=attempt.request_id, amount=amount, until=until))
        return data

    Attempt.request_bytes = request_bytes  # type: ignore[assignment, method-assign]


def break_deadline_propagation() -> None:
    """Make every attempt advertise its client's own timeout."""

    def clients_timeout(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
        return client_timeout_ms

    deadline_propagation.remaining_ms = clients_timeout


class RecordingHost(RouterHost):
    """Records each admitted fetch with the time at which the decision read the clock."""

    name = ""
    _recorded_rate = 0.0  # the last recorded rate above the floors
    keeps_expired_lease = VARIANT.name == "old-version-served-when-cut-off"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._decided_at = 0
        original = self._router.handle

        def handle(event: Any, now: int) -> Any:
            self._decided_at = now
            return original(event, now)

        self._router.handle = handle  # type: ignore[method-assign]

    def handle_event(self, event: Any) -> None:
        """Violation on demand: a router that takes no end of its lease."""
        if self.keeps_expired_lease and isinstance(event, PolicyChanged):
            if not event.expires_at:
                return
            event = PolicyChanged(event.policy, 1 << 62)
        super().handle_event(event)
        if isinstance(event, PolicyChanged) and (event.policy.uses_leases or self._recorded_rate):
            self._record_share(event)

    def _record_share(self, event: PolicyChanged) -> None:
        """Record the rate that the router may admit above its floors, and until when."""
        policy, until = event.policy, min(event.expires_at, event.leases_until)
        rate = 0.0
        for suppressor in self._router.tenants.suppressors.values():
            if suppressor.has_quota:
                rate += suppressor.cap - suppressor.configured_limit.cap * policy.floor_fraction
        at = self.now()
        version = self._router.policy_version()
        amount = self._recorded_rate = max(rate, 0.0) if until > at and policy.uses_leases else 0.0
        record(Event(at, RecordingHost.name, "share", version, amount=amount, until=to_machine_time(until)))

    def _carry_out(self, action: Any) -> None:
        if isinstance(action, SendRequest) and action.server in self._origins:
            request = self.request(action.request)
            version = self._router.policy_version()
            # Writes are counted but never refused, so they are not admitted under a policy.
            if request is not None and request.command.value is None:
                kind = "admit" if version else "floor"
                record(Event(self._decided_at, RecordingHost.name, kind, version))
        super()._carry_out(action)


class RecordingService(ConsensusService):
    """Records votes and decided versions, and kills the process at a given step."""

    replica_class = VARIANT.replica(Replica)
    _newest_version = _step_count = 0
    _counts_steps = False

    async def propose(self, proposal: m.Proposal) -> m.Verdict:
        """Propose a change; steps are counted from the first proposal on."""
        self._counts_steps = bool(KILL_STEP)
        return await super().propose(proposal)

    def _carry_out(self, actions: list[Action]) -> None:
        for at, action in enumerate(actions):
            if isinstance(action, Send):
                self._record_vote(action.message)
            if self._counts_steps and KILL_STEP in _steps(action):
                self._step_count += 1
                if self._step_count == KILL_STEP_COUNT:
                    super()._carry_out(actions[: at + 1])
                    os.kill(os.getpid(), signal.SIGKILL)
            if isinstance(action, Send):
                continue
            if isinstance(action, PolicyActivated) and action.value.version > self._newest_version:
                self._newest_version = action.value.version
                value = action.value
                digest = f"{crc32c(m.encode(value)):08x}"
                now, name = self._now(), self.replica.name
                total = self._rate_above_floors(value)
                record(Event(now, name, "decided", value.version, value.change_id, digest, amount=total))
        super()._carry_out(actions)

    def _rate_above_floors(self, value: m.Value) -> float:
        policy = replace(value.policy, store=replace(value.policy.store, uses_leases=True))
        pools = self.replica.setup.quota_pools(policy, len(value.fleet.members))
        return sum(pool.shared for pool in pools.values())

    def _record_vote(self, message: m.Message) -> None:
        body, disk, name = message.body, message.sender.disk_id, self.replica.name
        if isinstance(body, m.Promise):
            change_id = body.value.change_id if body.value is not None else ""
            record(
                Event(self._now(), name, "promised", body.version, "", change_id, astuple(body.ballot), disk)
            )
        elif isinstance(body, m.Accepted):
            value = self.replica.acceptor.value
            change = value.change_id if value is not None else ""
            record(Event(self._now(), name, "accepted", body.version, change, "", astuple(body.ballot), disk))


class RecordingDaemon(Daemon):
    """The daemon with the recording classes."""

    host_class: type[RouterHost] = RecordingHost


def main() -> int:
    """Run the router; returns its exit code."""
    set_clock()
    record_advertised_timeouts()
    if os.environ.get("PEBBLEPASS_BREAK") == CLIENTS_TIMEOUT_VARIANT:
        break_deadline_propagation()
    fleet.FleetMember.service_class = RecordingService
    daemon_main.daemon_class = RecordingDaemon
    config = msgspec.json.decode(Path(os.environ["LB_CONFIG"]).read_bytes())
    RecordingHost.name = os.environ.get("LB_NAME") or config.get("name", "router")
    return daemon_main.main()


if __name__ == "__main__":
    sys.exit(main())
