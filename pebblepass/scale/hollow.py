"""A process of hollow routers: of each the fleet's part as the daemon has it, nothing that takes requests.

    python -m pebblepass.scale.hollow SPECIFICATION

It is told what to do in lines of JSON on its standard input, tells what happens on its standard output, and
ends with its input: so none is left behind by a run that was killed.
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
from pebblepass.daemon.__main__ import GC_THRESHOLD
from pebblepass.daemon.fleet import FleetMember
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.decisions import PolicyChanged, Settings
from pebblepass.decisions.settings import read_settings
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList
from pebblepass.operator_config import FleetSection
from pebblepass.wire.address import Address, parse_address

FRAME = 4  # bytes before each message on a link


class Place(Struct, frozen=True):
    """One router of a process."""

    name: str
    listen: str
    directory: str = ""
    """Where a control machine keeps its promises; empty: it does not vote."""
    reached: dict[str, str] = {}
    """Others that it reaches at another address than the fleet's."""


class Specification(Struct, frozen=True):
    """What a process is told."""

    fleet: str
    settings: dict[str, Any]
    members: dict[str, str]
    voters: tuple[str, ...]
    places: tuple[Place, ...]
    lease_ms: int
    seed: int
    pace_s: float = 0.0
    """From the start of one router to the next; a restart knows no pace."""
    counted: bool = False
    """Whether messages are counted, by the router on the other side: at the control machines alone."""


class Order(Struct, frozen=True, forbid_unknown_fields=True):
    """A line that it is sent."""

    do: str
    """`start`, `restart`, `propose`, `follow`, `figures`."""
    names: tuple[str, ...] = ()
    """Of the routers that restart."""
    change: str = ""
    rate: float = 0.0
    discovery: str = ""
    """HOST:PORT, for `follow`."""


class Report(Struct, omit_defaults=True):
    """A line that it tells; times are the machine's, in nanoseconds."""

    what: str
    at: int
    name: str = ""
    version: int = 0
    state: str = ""
    figures: dict[str, Any] = {}


Tell = Callable[[Report], None]


class HollowHost:
    """What a hollow router has in place of the request path."""

    def __init__(self, settings: Settings, now: Callable[[], int], name: str, tell: Tell) -> None:
        self.settings, self._now, self._name, self._tell = settings, now, name, tell
        self._until = 0

    def now(self) -> int:
        """The time in nanoseconds."""
        return self._now()

    def handle_event(self, event: PolicyChanged) -> None:
        """Take a lease; one after none is told."""
        now = self._now()
        if self._until <= now < event.expires_at:
            self._tell(Report("held", now, self._name, event.policy.version))
        self._until = event.expires_at

    def demand(self) -> dict[str, int]:
        """No fetches: nobody asks a hollow router for anything."""
        return {}


class CountingService(ConsensusService):
    """The service of a control machine, with a count of what it is sent and what it sends, by router."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.messages_in: Counter[str] = Counter()
        self.messages_out: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        """Messages sent, by kind and by the first letter of the router's name: of what sort it is."""
        sound = self.links.send

        def send(name: str, message: bytes, boot_id: str = "") -> None:
            self.messages_out[name] += 1
            self.bytes_out[name] += len(message) + FRAME
            sound(name, message, boot_id)

        self.links.send = send  # type: ignore[method-assign]

    def _received(self, name: str, data: bytes) -> None:
        self.messages_in[name] += 1
        self.bytes_in[name] += len(data) + FRAME
        super()._received(name, data)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.kinds[f"{m.tag_of(action.message.body).capitalize()} {action.to[0]}"] += 1
        super()._carry_out(actions)


class CountingPart(FleetMember):
    """A control machine's part."""

    service_class = CountingService


class Identity(Struct, frozen=True):
    """A router's name, and the seed of what it draws."""

    name: str
    seed: int


class Process:
    """All routers of a process."""

    def __init__(self, loop: DaemonLoop, specification: Specification, tell: Tell) -> None:
        self._loop, self._told, self._tell = loop, specification, tell
        self._settings = read_settings(specification.settings)
        self._places = {place.name: place for place in specification.places}
        self._parts: dict[str, FleetMember] = {}
        self._lists: list[DiscoveryClient] = []
        self._proposals: set[asyncio.Task[None]] = set()

    async def start(self, name: str) -> None:
        """Start a router; raises OSError where its address can't be had."""
        told, place = self._told, self._places[name]
        members = {**told.members, **place.reached} if place.reached else told.members
        section = FleetSection(
            id=told.fleet,
            members=members,
            voters=told.voters,
            listen=place.listen,
            directory=place.directory,
            lease_ms=told.lease_ms,
            alone_after_s=3600,
        )
        host = HollowHost(self._settings, self._loop.time_ns, name, self._tell)
        made = CountingPart if told.counted else FleetMember
        part = self._parts[name] = made(self._loop, host, Identity(name, told.seed), section)
        await part.start()

    async def obey(self, order: Order) -> None:
        """Do what a line says."""
        match order.do:
            case "start":
                for name in self._places:
                    await self.start(name)
                    await asyncio.sleep(self._told.pace_s)
            case "restart":
                for name in order.names:
                    self._parts.pop(name).close()
                for name in order.names:
                    await self.start(name)
            case "propose":
                task = self._loop.create_task(self._propose(order))
                self._proposals.add(task)
                task.add_done_callback(self._proposals.discard)
            case "follow":
                for name in self._parts:
                    self._follow(name, parse_address("discovery", order.discovery))
            case "figures":
                self._tell(Report("figures", self._loop.time_ns(), figures=self._figures()))
            case _:
                raise ValueError(f"no order {order.do!r}")

    async def _propose(self, order: Order) -> None:
        part = next(iter(self._parts.values()))
        policy = Policy(StorePolicy(rate_per_s=order.rate))
        self._tell(Report("proposed", self._loop.time_ns(), part.name))
        verdict = await part.service.propose(m.Proposal(order.change, "scale", "a measured change", policy))
        self._tell(Report("verdict", self._loop.time_ns(), part.name, verdict.version, verdict.state))

    def _follow(self, name: str, address: Address) -> None:
        """The daemon's own client of discovery, where lists are pushed."""

        def take(listing: EndpointList) -> None:
            self._tell(Report("listed", self._loop.time_ns(), name, listing.generation))

        clock = ClockOffset(self._loop.time_ns(), time.time_ns())
        followed = DiscoveryClient(address, False, clock, take, lambda: None, random.Random(name))
        self._lists.append(followed)
        followed.start()

    def _figures(self) -> dict[str, Any]:
        now = self._loop.time_ns()
        told: dict[str, Any] = {
            "holding": [name for name, part in self._parts.items() if part.service.replica.may_admit(now)]
        }
        for part in self._parts.values():
            service = part.service
            if isinstance(service, CountingService):
                told["messages_in"], told["messages_out"] = service.messages_in, service.messages_out
                told["bytes_in"], told["bytes_out"] = service.bytes_in, service.bytes_out
                told["kinds"], told["closed"] = service.kinds, service.links.closed
                told["connections"] = len(os.listdir("/proc/self/fd"))
                told["value_bytes"] = len(m.encode(service.replica.decided))
        return told

    def end(self) -> None:
        """End all routers."""
        for followed in self._lists:
            followed.close()
        for part in self._parts.values():
            part.close()


async def serve(specification: Specification) -> None:
    """Obey until the input ends."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, DaemonLoop)
    encode = msgspec.json.Encoder().encode

    def tell(report: Report) -> None:
        os.write(1, encode(report) + b"\n")

    process = Process(loop, specification, tell)
    orders = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), os.fdopen(0, "rb"))
    tell(Report("ready", loop.time_ns()))
    try:
        while line := await orders.readline():
            await process.obey(msgspec.json.decode(line, type=Order))
    finally:
        process.end()


def main() -> int:
    """Run the process; what can't be had is one plain line and exit code 2."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    specification = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Specification)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)  # as the daemon does
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
