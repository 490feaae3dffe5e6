"""The daemon as a trial runs it: what it admits and promises is written down, and a part may be broken.

    PEBBLEPASS_HISTORY=FILE [PEBBLEPASS_BREAK=NAME] [PEBBLEPASS_KILL=STEP:N] \\
        python -m pebblepass.fault_injection.router

With a step (check, prepare, accept, learn, or promised, took, decided: a write) the process is killed as it
takes it for the Nth time. The name `clients-timeout-advertised` is known here only: every attempt advertises
its client's own timeout. With PEBBLEPASS_CLOCK=1.05 its clock runs fast. All else is the daemon's own.
Times in the history are the machine's.
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
from pebblepass.daemon import __main__ as daemon_main
from pebblepass.daemon import deadline_propagation, fleet
from pebblepass.daemon.attempts import Attempt
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.daemon.router import RouterHost
from pebblepass.decisions import PolicyChanged
from pebblepass.decisions import Send as SendRequest
from pebblepass.emulators.advertised import read_advertised_timeout
from pebblepass.fault_injection.broken import SOUND, VARIANTS
from pebblepass.fault_injection.history import Event
from pebblepass.wire.address import Address

VARIANT = VARIANTS.get(os.environ.get("PEBBLEPASS_BREAK", ""), SOUND)
CLIENTS_TIMEOUT = "clients-timeout-advertised"
HTTP_INFO = b"Request-Info: "
RESP_INFO_LINE = 8  # of a command for one key: the array's head, then a length and a word in turn
STEP, _, _count = os.environ.get("PEBBLEPASS_KILL", "").partition(":")
STEP_COUNT = int(_count or 1)
# In one write each, behind one another: a kill tears the last line at most.
_file = os.open(os.environ["PEBBLEPASS_HISTORY"], os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600)
_encode = msgspec.json.Encoder().encode


CLOCK = float(os.environ.get("PEBBLEPASS_CLOCK", "1"))
_begun = time.monotonic_ns()


def machine(at: int) -> int:
    """The machine's time at a time of this process's clock, which may run fast or slow."""
    return _begun + int((at - _begun) / CLOCK)


def record(event: Event) -> None:
    """Write a line of the history; its time is one of this process's clock."""
    os.write(_file, _encode(replace(event, at=machine(event.at))) + b"\n")


def set_clock() -> None:
    """Let this process's clock run at its own rate."""
    if CLOCK != 1:
        DaemonLoop.time_ns = staticmethod(_time_ns)
        DaemonLoop.time = staticmethod(_time)


def _time_ns() -> int:
    return _begun + int((time.monotonic_ns() - _begun) * CLOCK)


def _time() -> float:
    return _time_ns() / 1e9


def _steps(action: Action) -> list[str]:
    """The names of the steps that an action is: the tags of its message or records."""
    if isinstance(action, Send):
        return [m.tag_of(action.message.body)]
    if isinstance(action, Write):
        return [m.tag_of(record) for record in action.records]
    return []


def advertised_info(data: bytes) -> bytes:
    """The list of names and values in an attempt's bytes: a command's fourth word, or the origin's header."""
    lines = data.split(b"\r\n")
    if data.startswith(b"*"):
        return lines[RESP_INFO_LINE]
    return next((line.removeprefix(HTTP_INFO) for line in lines if line.startswith(HTTP_INFO)), b"")


def record_advertised_timeouts() -> None:
    """Write down each attempt's advertised timeout, with its client's deadline by this process's clock."""
    sound = Attempt.request_bytes

    def request_bytes(attempt: Attempt, address: Address) -> bytes:
        now, data = attempt._host.now(), sound(attempt, address)
        timeout_ms = read_advertised_timeout(advertised_info(data))
        amount = -1.0 if timeout_ms is None else float(timeout_ms)
        until = machine(now) + attempt._request.deadline - now
        name = RecordingHost.name
        record(Event(now, name, "advertised", told=attempt.request_id, amount=amount, until=until))
        return data

    Attempt.request_bytes = request_bytes  # type: ignore[assignment, method-assign]


def break_deadline_propagation() -> None:
    """Let every attempt advertise its client's own timeout."""

    def clients_timeout(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
        return client_timeout_ms

    deadline_propagation.remaining_ms = clients_timeout


class RecordingHost(RouterHost):
    """Writes down each fetch that the decisions admit, with the time at which they looked at the clock."""

    name = ""
    _beyond = 0.0  # what was written down last of its shares
    serves_on = VARIANT.name == "old-version-served-when-cut-off"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._decided_at = 0
        sound = self._router.handle

        def handle(event: Any, now: int) -> Any:
            self._decided_at = now
            return sound(event, now)

        self._router.handle = handle  # type: ignore[method-assign]

    def handle_event(self, event: Any) -> None:
        """Broken on demand: a router that takes no end of its lease."""
        if self.serves_on and isinstance(event, PolicyChanged):
            if not event.expires_at:
                return
            event = PolicyChanged(event.policy, 1 << 62)
        super().handle_event(event)
        if isinstance(event, PolicyChanged) and (event.policy.uses_leases or self._beyond):
            self._record_share(event)

    def _record_share(self, event: PolicyChanged) -> None:
        """Write down how much it may admit beyond its floors, and until when."""
        policy, until = event.policy, min(event.expires_at, event.leases_until)
        beyond = 0.0
        for guard in self._router.tenants.suppressors.values():
            if guard.has_quota:
                beyond += guard.cap - guard.configured_limit.cap * policy.floor_fraction
        at = self.now()
        version = self._router.policy_version()
        told = self._beyond = max(beyond, 0.0) if until > at and policy.uses_leases else 0.0
        record(Event(at, RecordingHost.name, "share", version, amount=told, until=machine(until)))

    def _carry_out(self, action: Any) -> None:
        if isinstance(action, SendRequest) and action.server in self._origins:
            request = self.request(action.request)
            version = self._router.policy_version()
            # Writes are counted, and never refused: no policy admits them.
            if request is not None and request.command.value is None:
                what = "admit" if version else "floor"
                record(Event(self._decided_at, RecordingHost.name, what, version))
        super()._carry_out(action)


class RecordingService(ConsensusService):
    """Writes down what is promised and what is decided."""

    replica_class = VARIANT.replica(Replica)
    _seen = _taken = 0
    _armed = False

    async def propose(self, proposal: m.Proposal) -> m.Verdict:
        """From the first proposal on its steps count."""
        self._armed = bool(STEP)
        return await super().propose(proposal)

    def _carry_out(self, actions: list[Action]) -> None:
        for at, action in enumerate(actions):
            if isinstance(action, Send):
                self._record_vote(action.message)
            if self._armed and STEP in _steps(action):
                self._taken += 1
                if self._taken == STEP_COUNT:
                    super()._carry_out(actions[: at + 1])
                    os.kill(os.getpid(), signal.SIGKILL)
            if isinstance(action, Send):
                continue
            if isinstance(action, PolicyActivated) and action.value.version > self._seen:
                self._seen = action.value.version
                value = action.value
                digest = f"{crc32c(m.encode(value)):08x}"
                now, name = self._now(), self.replica.name
                whole = self._beyond_the_floors(value)
                record(Event(now, name, "decided", value.version, value.change_id, digest, amount=whole))
        super()._carry_out(actions)

    def _beyond_the_floors(self, value: m.Value) -> float:
        policy = replace(value.policy, store=replace(value.policy.store, uses_leases=True))
        pools = self.replica.setup.quota_pools(policy, len(value.fleet.members))
        return sum(pool.shared for pool in pools.values())

    def _record_vote(self, message: m.Message) -> None:
        body, disk, name = message.body, message.sender.disk_id, self.replica.name
        if isinstance(body, m.Promise):
            told = body.value.change_id if body.value is not None else ""
            record(Event(self._now(), name, "promised", body.version, "", told, astuple(body.ballot), disk))
        elif isinstance(body, m.Accepted):
            value = self.replica.acceptor.value
            change = value.change_id if value is not None else ""
            record(Event(self._now(), name, "accepted", body.version, change, "", astuple(body.ballot), disk))


class RecordingDaemon(Daemon):
    """The daemon with both."""

    host_class: type[RouterHost] = RecordingHost


def main() -> int:
    """Run the router."""
    set_clock()
    record_advertised_timeouts()
    if os.environ.get("PEBBLEPASS_BREAK") == CLIENTS_TIMEOUT:
        break_deadline_propagation()
    fleet.FleetMember.service_class = RecordingService
    daemon_main.daemon_class = RecordingDaemon
    told = msgspec.json.decode(Path(os.environ["LB_CONFIG"]).read_bytes())
    RecordingHost.name = os.environ.get("LB_NAME") or told.get("name", "router")
    return daemon_main.main()


if __name__ == "__main__":
    sys.exit(main())
