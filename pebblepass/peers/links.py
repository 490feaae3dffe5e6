"""Links between the routers of a fleet: TCP, frames with a size, a hello first. The thin shell; no policy.

Each router dials the voters; what it is answered comes back on the same link, and so does what a voter has
to tell a router that it doesn't dial. A link is lost whole or not at all, and what was on its
way with it: whoever sends says again what matters. A stranger, another fleet, another version or garbage is
closed and counted.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import struct
from collections import Counter
from collections.abc import Callable
from typing import cast

import msgspec

from pebblepass.wire.address import Address, parse_address

VERSION = 1  # of the messages between routers
MOST_BYTES = 4 << 20  # of one message
MOST_QUEUED = 1 << 20  # bytes that wait for a slow peer; what comes beyond is dropped, as a cut would
HELLO_S = 2.0  # in which a newcomer says who it is
FIRST_BACKOFF_S, MOST_BACKOFF_S = 0.05, 2.0
STRANGERS = 32  # connections that have not said who they are, beyond the places of members that have not come
BACKLOG = 2048  # connections that wait to be accepted: after a voter's start all of a fleet dial it at once

log = logging.getLogger("pebblepass")


class Hello(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The first message of each side."""

    fleet: str
    version: int
    name: str
    boot: str
    """The run of the process."""


_hello = msgspec.msgpack.Decoder(Hello)
_encode = msgspec.msgpack.Encoder().encode


def framed(data: bytes) -> bytes:
    """A message as it travels."""
    return struct.pack("<I", len(data)) + data


class Link(asyncio.Protocol):
    """One connection, dialled or accepted."""

    def __init__(self, links: Links, expected: str = "") -> None:
        """`expected`: the name of the router that was dialled."""
        self._links, self.expected = links, expected
        self.name = ""
        """Who is on the other side; empty until it has said so."""
        self.boot = ""
        self._transport: asyncio.Transport | None = None
        self._held = b""
        self._waiting: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Say who we are."""
        wire = self._transport = cast(asyncio.Transport, transport)
        self._waiting = self._links.loop.call_later(HELLO_S, self.close, "no hello")
        if not self._links.came(self):
            self.close("too many strangers")
            return
        wire.write(framed(_encode(Hello(self._links.fleet, VERSION, self._links.name, self._links.boot))))

    def data_received(self, data: bytes) -> None:
        """Cut what came into messages."""
        self._held += data
        while len(self._held) >= 4 and self._transport is not None:
            size = struct.unpack_from("<I", self._held)[0]
            if size > MOST_BYTES or (not self.name and size > 1024):
                self.close("a message too long")
                return
            if len(self._held) < 4 + size:
                return
            message, self._held = self._held[4 : 4 + size], self._held[4 + size :]
            self._take(message)

    def _take(self, message: bytes) -> None:
        if self.name:
            try:
                self._links.take(self.name, message)
            except ValueError as error:
                self.close(f"a message that can't be read: {error}")
            return
        try:
            hello = _hello.decode(message)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.close("no hello")
            return
        if hello.fleet != self._links.fleet or hello.version != VERSION:
            self.close(f"of fleet {hello.fleet!r}, version {hello.version}")
        elif not self._links.known(hello.name) or (self.expected and hello.name != self.expected):
            self.close(f"a stranger: {hello.name!r}")
        else:
            self.name, self.boot = hello.name, hello.boot
            if self._waiting is not None:
                self._waiting.cancel()
            self._links.up(self)

    def send(self, message: bytes) -> bool:
        """Send; False: too much waits already, or the link is down."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MOST_QUEUED:
            self._links.closed["queue full"] += 1
            return False
        self._transport.write(framed(message))
        return True

    def close(self, why: str = "") -> None:
        """End it."""
        if self._transport is not None and not self._transport.is_closing():
            if why:
                self._links.closed[why.partition(":")[0]] += 1
                log.warning("fleet: link to %s closed: %s", self.name or self.expected or "a newcomer", why)
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self._transport = None
        if self._waiting is not None:
            self._waiting.cancel()
        self._links.down(self)


class Links:
    """All links of one router."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        fleet: str,
        name: str,
        boot: str,
        take: Callable[[str, bytes], None],
        known: Callable[[str], bool],
        expected: Callable[[], int] = lambda: 0,
    ) -> None:
        """`take` gets each message with its sender's name, and raises ValueError where it can't be read.

        `expected`: how many routers keep a link to this one.
        """
        self.loop, self.fleet, self.name, self.boot = loop, fleet, name, boot
        self.take, self.known, self.expected = take, known, expected
        self.closed: Counter[str] = Counter()
        """Links closed and messages dropped, by cause."""
        self._dialled: dict[str, Link] = {}
        self._came: dict[str, Link] = {}
        self._runs: dict[tuple[str, str], Link] = {}
        self._strangers: set[Link] = set()
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._lost: dict[str, asyncio.Event] = {}

    async def listen(self, address: Address) -> None:
        """Take links; raises OSError where the address can't be had."""
        self._server = await self.loop.create_server(lambda: Link(self), *address, backlog=BACKLOG)

    def stop_listening(self) -> None:
        """Take no more links: another process of this router does."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def dial(self, addresses: dict[str, str]) -> None:
        """Keep links to these routers, and to no others."""
        for name in [name for name in self._dialling if name not in addresses]:
            self._dialling.pop(name).cancel()
            if name in self._dialled:
                self._dialled[name].close()
        for name, address in addresses.items():
            if name != self.name and name not in self._dialling:
                where = parse_address(f"fleet member {name}", address)
                self._dialling[name] = self.loop.create_task(self._keep(name, where))

    async def _keep(self, name: str, address: Address) -> None:
        backoff = FIRST_BACKOFF_S
        while True:
            lost = self._lost[name] = asyncio.Event()
            try:
                async with asyncio.timeout(HELLO_S):
                    await self.loop.create_connection(lambda: Link(self, name), *address)
            except (OSError, TimeoutError):
                pass
            else:
                begun = self.loop.time()
                await lost.wait()
                if self.loop.time() - begun > MOST_BACKOFF_S:
                    backoff = FIRST_BACKOFF_S
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MOST_BACKOFF_S)

    def came(self, link: Link) -> bool:
        """A connection is there; False: too many have not said who they are."""
        if link.expected:
            return True
        self._strangers.add(link)
        # All of a fleet may come before one of them is read: those that are missing have places of their own.
        missing = max(self.expected() - len(self._came), 0)
        return len(self._strangers) <= STRANGERS + missing

    def up(self, link: Link) -> None:
        """The other side has said who it is; the newest link to a router counts."""
        self._strangers.discard(link)
        (self._dialled if link.expected else self._came)[link.name] = link
        self._runs[link.name, link.boot] = link

    def down(self, link: Link) -> None:
        """A link is over."""
        self._strangers.discard(link)
        for table in (self._dialled, self._came):
            if table.get(link.name) is link:
                del table[link.name]
        if self._runs.get((link.name, link.boot)) is link:
            del self._runs[link.name, link.boot]
            for table in (self._dialled, self._came):
                other = table.get(link.name)
                if other is not None and other.boot == link.boot:
                    self._runs[link.name, link.boot] = other
        if link.expected and link.expected in self._lost:
            self._lost[link.expected].set()

    def send(self, name: str, message: bytes, boot: str = "") -> None:
        """Send a message, by whichever link there is; it may be lost.

        `boot`: the run of its process that is meant; empty: the one that is dialled.
        """
        for table in (self._dialled, self._came):
            link = table.get(name)
            # Always the same one of two: on the other an older message could come after a newer one.
            if link is not None and boot in ("", link.boot) and link.send(message):
                return
        meant = self._runs.get((name, boot))
        if meant is not None:
            meant.send(message)

    def close(self) -> None:
        """End all."""
        self.stop_listening()
        for task in self._dialling.values():
            task.cancel()
        for link in [*self._dialled.values(), *self._came.values(), *self._strangers]:
            with contextlib.suppress(OSError):
                link.close()
