"""A process of hollow routers, which run the daemon's fleet membership without a request path.

    python -m pebblepass.scale.hollow SPECIFICATION

The process reads orders as lines of JSON from its standard input and writes reports as lines of JSON to its
standard output. It exits when its input ends, so that no process outlives a run that was killed.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import resource
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, Send
from pebblepass.consensus.policy import Policy, StorePolicy
from pebblepass.consensus.service import ConsensusService
from pebblepass.daemon.fleet import FleetMember
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.daemon.process import GC_THRESHOLD
from pebblepass.decisions import PolicyChanged, Settings
from pebblepass.decisions.settings import read_settings
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList
from pebblepass.operator_config import FleetSection
from pebblepass.wire.address import Address, parse_address

FRAME_HEADER_BYTES = 4  # before each message on a link


class Placement(Struct, frozen=True):
    """The addresses and the directory of one router of a process."""

    name: str
    listen: str
    directory: str = ""
    """Directory of a control machine's consensus log; empty: the router does not vote."""
    reached: dict[str, str] = {}
    """Addresses of members, such as a relay's, that replace those in the fleet's member list."""


class Specification(Struct, frozen=True):
    """The configuration file of a process."""

    fleet: str
    settings: dict[str, Any]
    members: dict[str, str]
    voters: tuple[str, ...]
    places: tuple[Placement, ...]
    lease_ms: int
    seed: int
    pace_s: float = 0.0
    """Time between the starts of two routers; restarts are not paced."""
    counted: bool = False
    """Whether messages are counted by peer; only control machines do so."""


class Order(Struct, frozen=True, forbid_unknown_fields=True):
    """A line that the process receives."""

    kind: str = msgspec.field(name="do")
    """`start`, `restart`, `propose`, `follow` or `figures`."""
    names: tuple[str, ...] = ()
    """The routers that restart."""
    change: str = ""
    rate: float = 0.0
    discovery: str = ""
    """Address of discovery as HOST:PORT, for `follow`."""


class Report(Struct, omit_defaults=True):
    """A line that the process writes; times are nanoseconds of the monotonic clock."""

    kind: str = msgspec.field(name="what")
    """`ready`, `held`, `listed`, `proposed`, `verdict` or `figures`."""
    at: int
    name: str = ""
    version: int = 0
    state: str = ""
    figures: dict[str, Any] = {}


ReportSink = Callable[[Report], None]


class HollowHost:
    """Replaces the request path of a hollow router."""

    def __init__(
        self, settings: Settings, now: Callable[[], int], name: str, report_sink: ReportSink
    ) -> None:
        self.settings, self._now, self._name, self._report = settings, now, name, report_sink
        self._lease_expires_at = 0

    def now(self) -> int:
        """The time in nanoseconds."""
        return self._now()

    def handle_event(self, event: PolicyChanged) -> None:
        """Accept a lease; the first one after a time without a lease is reported."""
        now = self._now()
        if self._lease_expires_at <= now < event.expires_at:
            self._report(Report("held", now, self._name, event.policy.version))
        self._lease_expires_at = event.expires_at

    def demand(self) -> dict[str, int]:
        """Report no demand: a hollow router receives no requests."""
        return {}


class CountingService(ConsensusService):
    """The consensus service of a control machine, which counts messages and bytes in and out by peer."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.messages_in: Counter[str] = Counter()
        self.messages_out: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        """Messages sent, by kind and first letter of the recipient's name, which gives its role."""
        send_uncounted = self.links.send

        def send(name: str, message: bytes, boot_id: str = "") -> None:
            self.messages_out[name] += 1
            self.bytes_out[name] += len(message) + FRAME_HEADER_BYTES
            send_uncounted(name, message, boot_id)

        self.links.send = send  # type: ignore[method-assign]

    def _received(self, name: str, data: bytes) -> None:
        self.messages_in[name] += 1
        self.bytes_in[name] += len(data) + FRAME_HEADER_BYTES
        super()._received(name, data)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.kinds[f"{m.tag_of(action.message.body).capitalize()} {action.to[0]}"] += 1
        super()._carry_out(actions)


class CountingMember(FleetMember):
    """Fleet membership of a control machine, with counted messages."""

    service_class = CountingService


class Identity(Struct, frozen=True):
    """A router's name, and the seed of its random numbers."""

    name: str
    seed: int


class Process:
    """All routers of one process."""

    def __init__(self, loop: DaemonLoop, specification: Specification, report_sink: ReportSink) -> None:
        self._loop, self._specification, self._report = loop, specification, report_sink
        self._settings = read_settings(specification.settings)
        self._placements = {placement.name: placement for placement in specification.places}
        self._members: dict[str, FleetMember] = {}
        self._discovery_clients: list[DiscoveryClient] = []
        self._proposals: set[asyncio.Task[None]] = set()

    async def start(self, name: str) -> None:
        """Start a router; raises OSError if it can't listen on its address."""
        specification, placement = self._specification, self._placements[name]
        members = (
            {**specification.members, **placement.reached} if placement.reached else specification.members
        )
        section = FleetSection(
            id=specification.fleet,
            members=members,
            voters=specification.voters,
            listen=placement.listen,
            directory=placement.directory,
            lease_ms=specification.lease_ms,
            alone_after_s=3600,
        )
        host = HollowHost(self._settings, self._loop.time_ns, name, self._report)
        member_class = CountingMember if specification.counted else FleetMember
        member = self._members[name] = member_class(
            self._loop, host, Identity(name, specification.seed), section
        )
        await member.start()

    async def carry_out(self, order: Order) -> None:
        """Carry out one order."""
        match order.kind:
            case "start":
                for name in self._placements:
                    await self.start(name)
                    await asyncio.sleep(self._specification.pace_s)
            case "restart":
                for name in order.names:
                    self._members.pop(name).close()
                for name in order.names:
                    await self.start(name)
            case "propose":
                task = self._loop.create_task(self._propose(order))
                self._proposals.add(task)
                task.add_done_callback(self._proposals.discard)
            case "follow":
                for name in self._members:
                    self._follow(name, parse_address("discovery", order.discovery))
            case "figures":
                self._report(Report("figures", self._loop.time_ns(), figures=self._figures()))
            case _:
                raise ValueError(f"unknown order {order.kind!r}")

    async def _propose(self, order: Order) -> None:
        member = next(iter(self._members.values()))
        policy = Policy(StorePolicy(rate_per_s=order.rate))
        self._report(Report("proposed", self._loop.time_ns(), member.name))
        verdict = await member.service.propose(m.Proposal(order.change, "scale", "a measured change", policy))
        self._report(Report("verdict", self._loop.time_ns(), member.name, verdict.version, verdict.state))

    def _follow(self, name: str, address: Address) -> None:
        """Start the daemon's discovery client for one router, with pushed lists."""

        def report_listing(listing: EndpointList) -> None:
            self._report(Report("listed", self._loop.time_ns(), name, listing.generation))

        clock = ClockOffset(self._loop.time_ns(), time.time_ns())
        client = DiscoveryClient(address, False, clock, report_listing, lambda: None, random.Random(name))
        self._discovery_clients.append(client)
        client.start()

    def _figures(self) -> dict[str, Any]:
        now = self._loop.time_ns()
        figures: dict[str, Any] = {
            "holding": [
                name for name, member in self._members.items() if member.service.replica.may_admit(now)
            ]
        }
        for member in self._members.values():
            service = member.service
            if isinstance(service, CountingService):
                figures["messages_in"], figures["messages_out"] = service.messages_in, service.messages_out
                figures["bytes_in"], figures["bytes_out"] = service.bytes_in, service.bytes_out
                figures["kinds"], figures["closed"] = service.kinds, service.links.closed
                figures["connections"] = len(os.listdir("/proc/self/fd"))
                figures["value_bytes"] = len(m.encode(service.replica.decided))
        return figures

    def close(self) -> None:
        """Stop all routers."""
        for client in self._discovery_clients:
            client.close()
        for member in self._members.values():
            member.close()


async def serve(specification: Specification) -> None:
    """Carry out orders until the end of the input."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, DaemonLoop)
    encode = msgspec.json.Encoder().encode

    def write_report(report: Report) -> None:
        os.write(1, encode(report) + b"\n")

    process = Process(loop, specification, write_report)
    orders = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), os.fdopen(0, "rb"))
    write_report(Report("ready", loop.time_ns()))
    try:
        while line := await orders.readline():
            await process.carry_out(msgspec.json.decode(line, type=Order))
    finally:
        process.close()


def main() -> int:
    """Run the process; an OSError or ValueError prints one line and gives exit code 2."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    specification = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Specification)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)  # as in the daemon
    try:
        with asyncio.Runner(loop_factory=DaemonLoop) as runner:
            runner.run(serve(specification))
    except KeyboardInterrupt:
        return 130
    except (OSError, ValueError) as error:
        print(f"pebblepass: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
