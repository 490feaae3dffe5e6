"""Discovery's client: the whole list once, then a watch that goes on without a gap."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, cast

import msgspec
from msgspec import Struct

from pebblepass.decisions import ListKind, Server, ServersChanged, ServerState
from pebblepass.discovery.pace import ASKED, PUSHED, Pace
from pebblepass.wire.address import Address, parse_address
from pebblepass.wire.http import HttpError, HttpReader, request

MAX_BODY = 8 << 20
LIST_PATH = "/registry/instances"


RETRY_S = 0.1  # a watch goes on if the next call comes within 0.2 s
TAKE_AGAIN_S = 0.5  # after a list that this router could not take: another one may do

_STATES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.REMOVED}

log = logging.getLogger("pebblepass")


class Listing(Struct, frozen=True):
    """One answer of discovery: the module's event, and the address of each server in it."""

    generation: int
    change: ServersChanged
    addresses: dict[str, Address]


class Clock:
    """Turns Unix times into times of the monotonic clock, always by the same difference."""

    def __init__(self, monotonic_ns: int, unix_ns: int) -> None:
        """Both times were taken at one moment."""
        self._behind = unix_ns - monotonic_ns

    def monotonic(self, unix_ms: int) -> int:
        """The monotonic time in nanoseconds; 0 stays 0, for long ago."""
        return unix_ms * 1_000_000 - self._behind if unix_ms else 0

    def unix_ms(self, monotonic_ns: int) -> int:
        """The Unix time in milliseconds from which `monotonic` has made this one."""
        return (monotonic_ns + self._behind) // 1_000_000 if monotonic_ns else 0


def read_listing(body: Any, clock: Clock, kind: ListKind | None = None) -> Listing:
    """Read discovery's form; raises ValueError on anything amiss, and then nothing of it counts."""
    try:
        servers = tuple(_server(entry, clock) for entry in body["instances"])
        addresses = {
            entry["instanceId"]: parse_address("hostPort", entry["hostPort"])
            for entry in body["instances"]
            if entry["lifecycle"] != "removed"
        }
        if kind is None:
            kind = ListKind.FULL if body["reset"] else ListKind.DELTA
        return Listing(int(body["generation"]), ServersChanged(kind, servers), addresses)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None


def write_listing(
    generation: int, servers: Iterable[Server], addresses: Mapping[str, Address], clock: Clock
) -> dict[str, Any]:
    """Write the ready servers down in discovery's form; one without an address is left out."""
    words = {state: word for word, state in _STATES.items()}
    return {
        "generation": generation,
        "reset": True,
        "instances": [
            {
                "instanceId": server.id,
                "hostPort": "{}:{}".format(*addresses[server.id]),
                "zone": server.zone,
                "machineType": server.kind,
                "cell": server.cell,
                "lifecycle": words[server.state],
                "weight": server.weight,
                "startedAtMs": clock.unix_ms(server.started),
            }
            for server in servers
            if server.id in addresses
        ],
    }


def _server(entry: dict[str, Any], clock: Clock) -> Server:
    if not isinstance(entry["instanceId"], str):
        raise TypeError("instanceId must be a string")
    weight = entry.get("weight")
    return Server(
        id=entry["instanceId"],
        kind=entry.get("machineType") or "",
        state=_STATES[entry["lifecycle"]],
        weight=1.0 if weight is None else float(weight),
        started=clock.monotonic(int(entry.get("startedAtMs") or 0)),
        zone=entry.get("zone") or "",
        cell=int(entry.get("cell") or 0),
    )


class _Call(asyncio.Protocol, HttpReader):
    """One connection to discovery."""

    def __init__(self) -> None:
        HttpReader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass

    def ask(self, target: str, host: str) -> asyncio.Future[tuple[int, bytes]]:
        assert self.transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request("GET", target, host))
        return self._answer

    def data_received(self, data: bytes) -> None:
        try:
            if self.read(data):
                self._take()
        except HttpError as error:
            self._fail(error)
            self.close()

    def eof_received(self) -> None:
        if self.is_complete_at_eof():
            self._take()

    def _take(self) -> None:
        status, body = self.status, bytes(self._body)
        self._body.clear()
        if not self.finish_response():
            self.close()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result((status, body))

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_BODY:
            raise HttpError("list too long")

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionResetError("discovery closed the connection"))

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _Watch:
    """The calls at one address: the whole list or a watch, and the version that they have come to."""

    def __init__(self, address: Address, clock: Clock, pace: Pace, generation: int, whole: bool) -> None:
        self.address, self.generation, self._clock = address, generation, clock
        self.pace = pace
        self.whole = whole  # the next call asks for the whole list
        self._call: _Call | None = None
        self.task: asyncio.Task[None] | None = None

    async def ask_once(self) -> Listing:
        """Make one call; raises an exception of any kind where nothing came of it."""
        call = self.pace.plan(self.whole)
        target = LIST_PATH
        if call.wait is not None:
            target += f"?index={self.generation}&wait={int(call.wait * 1000)}"
        try:
            async with asyncio.timeout(call.limit):
                if self._call is None or not self._call.usable:
                    loop = asyncio.get_running_loop()
                    try:
                        async with asyncio.timeout(self.pace.times.connect):
                            _, self._call = await loop.create_connection(_Call, *self.address)
                    except TimeoutError:
                        raise ConnectionError("no connection came up in time") from None
                host, port = self.address
                status, body = await self._call.ask(target, f"{host}:{port}")
        except BaseException:
            if self._call is not None:
                self._call.close()
            raise
        if status != 200:
            raise ValueError(f"answered {status}")
        listing = read_listing(msgspec.json.decode(body), self._clock)
        if listing.change.kind is ListKind.DELTA and listing.generation < self.generation:
            # Danger: changes against a list that discovery has lost would be laid over one that it never had.
            self.whole = True
            raise ValueError(f"went back from version {self.generation} to {listing.generation}")
        self.pace.answered()
        return listing

    def taken(self, listing: Listing) -> None:
        """Go on behind this list."""
        self.generation, self.whole = listing.generation, False

    def not_taken(self) -> None:
        """Ask for all of it: what a fault has left of the list is not known."""
        self.whole = True

    def failed(self, error: Exception) -> bool:
        """A call came to nothing; returns whether the next is due at once."""
        if not self.pace.failing:
            log.warning("discovery: %s", str(error) or type(error).__name__)
        return self.pace.failed(isinstance(error, TimeoutError))

    def hang_up(self) -> None:
        """Close the connection."""
        if self._call is not None:
            self._call.close()

    def close(self) -> None:
        """End the calls."""
        if self.task is not None:
            self.task.cancel()
        self.hang_up()


class Discovery:
    """Keeps the list of servers up to date; a failed call changes nothing of what is held."""

    def __init__(
        self,
        address: Address,
        asked: bool,
        clock: Clock,
        take: Callable[[Listing], None],
        failed: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """The draws should differ from one router to the next."""
        self._address, self._asked, self._clock = address, asked, clock
        self._take, self._failed = take, failed
        self._rng = rng
        self._pace = self._new_pace()
        self._heard_at = address  # where the list that is held, and its version, come from
        self._whole = False  # the next watch begins with the whole list
        self._watch: _Watch | None = None
        self._next: _Watch | None = None  # at the address that the watch moves to, until it has spoken
        self.generation = 0

    def start(self) -> None:
        """Follow the list, unless a new configuration has begun that already."""
        if self._watch is None:
            self._watch = self._begin(whole=True)

    def subscribe(self) -> None:
        """Begin a watch, unless one is on where the list is now."""
        if self._next is not None:
            return
        if self._watch is None:
            self._watch = self._begin(whole=self._whole or self._heard_at != self._address)
        elif self._watch.address != self._address:
            self._next = self._begin(whole=True)

    def move(self, address: Address) -> None:
        """Go on at another address; the watch at the old one lasts until the new one has spoken."""
        if address == self._address:
            return
        self._address = address
        if self._next is not None:
            self._next.close()
            self._next = None
        if self._watch is not None and self._watch.address == address:
            self._pace = self._watch.pace
            return
        self._pace = self._new_pace()
        if self._watch is not None:
            self._next = self._begin(whole=True)
        elif not self._asked:
            self.start()

    def close(self) -> None:
        """End the watch."""
        for watch in (self._watch, self._next):
            if watch is not None:
                watch.close()
        self._watch = self._next = None

    def _new_pace(self) -> Pace:
        return Pace(ASKED if self._asked else PUSHED, self._rng)

    def _begin(self, whole: bool) -> _Watch:
        watch = _Watch(self._address, self._clock, self._pace, self.generation, whole)
        run = self._watch_asked(watch) if self._asked else self._follow(watch)
        watch.task = asyncio.get_running_loop().create_task(run)
        return watch

    async def _follow(self, watch: _Watch) -> None:
        while True:
            try:
                listing = await watch.ask_once()
                if not self._told(watch, listing):
                    await asyncio.sleep(TAKE_AGAIN_S)
            except Exception as error:
                watch.failed(error)
                await asyncio.sleep(RETRY_S)

    async def _watch_asked(self, watch: _Watch) -> None:
        at_once = True
        while at_once:
            try:
                listing = await watch.ask_once()
                if not self._told(watch, listing):
                    await asyncio.sleep(TAKE_AGAIN_S)
            except Exception as error:
                at_once = watch.failed(error)
        watch.hang_up()  # one that answers with failures stays open, and the next watch opens its own
        self._whole = self._whole or watch.whole
        if watch is self._next:
            # Danger: the watch at the old address may last for long, and nobody else asks at the new one.
            self._next = None
        else:
            self._watch = None
        if self._next is None:
            self._failed()

    def _told(self, watch: _Watch, listing: Listing) -> bool:
        """Hand a list on; whether it was taken: one that was not is asked for again, whole."""
        if watch is self._next:
            # Guards against a gap: only now does what the old address still has to tell no longer count.
            if self._watch is not None:
                self._watch.close()
            self._watch, self._next = watch, None
            log.info("discovery: now at %s:%d", *watch.address)
        try:
            self._take(listing)
        except Exception:
            log.exception("discovery: a list could not be taken, all of it is asked for again")
            watch.not_taken()
            return False
        watch.taken(listing)
        self.generation = listing.generation
        self._heard_at, self._whole = watch.address, False
        return True
