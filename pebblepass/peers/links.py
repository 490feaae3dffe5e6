"""Links between the routers of a fleet: TCP connections that carry messages with a size prefix.

Each router dials the voters. Both sides send a hello first. A voter answers on the same link, and also uses
it for messages to routers that it does not dial. Messages in transit are lost when a link breaks; senders
repeat those that are needed. A link is closed and counted if its peer is unknown, belongs to another fleet,
speaks another version or sends invalid data.

| state of a link | event | guard | next |
| --- | --- | --- | --- |
| connected | connection accepted | too many links are not identified | closed |
| connected | hello | from a member of this fleet with this version | identified |
| connected | another hello, invalid data, timeout | - | closed |
| identified | message | it is valid | identified |
| identified | message | it is invalid | closed |
| any | connection lost | - | closed; dialled again after a backoff if this side dialled |
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

VERSION = 1  # of the protocol between routers
MAX_MESSAGE_BYTES = 4 << 20
MAX_HELLO_BYTES = 1024
MAX_QUEUED_BYTES = 1 << 20  # queued for a slow peer; further messages are dropped
HELLO_TIMEOUT_S = 2.0  # within which a new connection must send its hello
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0
MAX_UNIDENTIFIED = 32  # connections without a hello, in addition to one for each member not connected
BACKLOG = 2048  # connections waiting to be accepted: after a voter's start the whole fleet dials it at once

log = logging.getLogger("pebblepass")


class Hello(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"boot_id": "boot"}):
    """The first message of each side."""

    fleet: str
    version: int
    name: str
    boot_id: str
    """Identifies the run of the process."""


_hello_decoder = msgspec.msgpack.Decoder(Hello)
_SIZE = struct.Struct("<I")
_encode = msgspec.msgpack.Encoder().encode


def framed(data: bytes) -> bytes:
    """Return a message with its prefix: its size in four bytes, little-endian."""
    return _SIZE.pack(len(data)) + data


class Link(asyncio.Protocol):
    """One connection, either dialled or accepted."""

    def __init__(self, links: Links, expected_name: str = "") -> None:
        """`expected_name`: of the router that was dialled; empty: the connection was accepted."""
        self._links, self.expected_name = links, expected_name
        self.name = ""
        """The name of the peer; empty before its hello."""
        self.boot_id = ""
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._hello_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello."""
        connection = self._transport = cast(asyncio.Transport, transport)
        self._hello_timer = self._links.loop.call_later(HELLO_TIMEOUT_S, self.close, "no hello")
        if not self._links.connected(self):
            self.close("too many strangers")
            return
        hello = Hello(self._links.fleet, VERSION, self._links.name, self._links.boot_id)
        connection.write(framed(_encode(hello)))

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into messages and handle them."""
        self._buffer += data
        while len(self._buffer) >= _SIZE.size and self._transport is not None:
            size = _SIZE.unpack_from(self._buffer)[0]
            if size > (MAX_MESSAGE_BYTES if self.name else MAX_HELLO_BYTES):
                self.close("a message too long")
                return
            end = _SIZE.size + size
            if len(self._buffer) < end:
                return
            message, self._buffer = self._buffer[_SIZE.size : end], self._buffer[end:]
            if self.name:
                self._receive(message)
            else:
                self._receive_hello(message)

    def _receive(self, message: bytes) -> None:
        try:
            self._links.receive(self.name, message)
        except ValueError as error:
            self.close(f"a message that can't be read: {error}")

    def _receive_hello(self, message: bytes) -> None:
        try:
            hello = _hello_decoder.decode(message)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.close("no hello")
            return
        if hello.fleet != self._links.fleet or hello.version != VERSION:
            self.close(f"of fleet {hello.fleet!r}, version {hello.version}")
        elif not self._links.is_member(hello.name) or (
            self.expected_name and hello.name != self.expected_name
        ):
            self.close(f"a stranger: {hello.name!r}")
        else:
            self.name, self.boot_id = hello.name, hello.boot_id
            if self._hello_timer is not None:
                self._hello_timer.cancel()
            self._links.identified(self)

    def send(self, message: bytes) -> bool:
        """Send a message; return False if the queue is full or the link is down."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MAX_QUEUED_BYTES:
            self._links.closed["queue full"] += 1
            return False
        self._transport.write(framed(message))
        return True

    def close(self, reason: str = "") -> None:
        """Close the link. A `reason` is logged, and counted up to its first colon."""
        if self._transport is not None and not self._transport.is_closing():
            if reason:
                self._links.closed[reason.partition(":")[0]] += 1
                peer = self.name or self.expected_name or "an unidentified peer"
                log.warning("fleet: link to %s closed: %s", peer, reason)
            self._transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the link."""
        self._transport = None
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self._links.disconnected(self)


class Links:
    """The links of one router."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        fleet: str,
        name: str,
        boot_id: str,
        receive: Callable[[str, bytes], None],
        is_member: Callable[[str], bool],
        expected_links: Callable[[], int] = lambda: 0,
    ) -> None:
        """`receive` handles a message from the named router, and raises ValueError if it is invalid.

        `expected_links` returns how many routers keep a link to this one.
        """
        self.loop, self.fleet, self.name, self.boot_id = loop, fleet, name, boot_id
        self.receive, self.is_member, self.expected_links = receive, is_member, expected_links
        self.closed: Counter[str] = Counter()
        """Counts of links closed and messages dropped, by cause."""
        self._dialled: dict[str, Link] = {}
        self._accepted: dict[str, Link] = {}
        self._by_run: dict[tuple[str, str], Link] = {}
        self._unidentified: set[Link] = set()
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._lost_events: dict[str, asyncio.Event] = {}

    async def listen(self, address: Address) -> None:
        """Listen for connections; raises OSError if the address can't be bound."""
        self._server = await self.loop.create_server(lambda: Link(self), *address, backlog=BACKLOG)

    def stop_listening(self) -> None:
        """Stop listening, so that this router's next process can listen."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def dial(self, addresses: dict[str, str]) -> None:
        """Keep links to these routers, given as addresses by name, and close links to others."""
        for name in [name for name in self._dialling if name not in addresses]:
            self._dialling.pop(name).cancel()
            if name in self._dialled:
                self._dialled[name].close()
        for name, address in addresses.items():
            if name != self.name and name not in self._dialling:
                parsed = parse_address(f"fleet member {name}", address)
                self._dialling[name] = self.loop.create_task(self._keep_link(name, parsed))

    async def _keep_link(self, name: str, address: Address) -> None:
        backoff = MIN_BACKOFF_S
        while True:
            lost = self._lost_events[name] = asyncio.Event()
            try:
                async with asyncio.timeout(HELLO_TIMEOUT_S):
                    await self.loop.create_connection(lambda: Link(self, name), *address)
            except (OSError, TimeoutError):
                pass
            else:
                connected_at = self.loop.time()
                await lost.wait()
                if self.loop.time() - connected_at > MAX_BACKOFF_S:
                    backoff = MIN_BACKOFF_S
            await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_BACKOFF_S)

    def connected(self, link: Link) -> bool:
        """Register a new connection; return False if too many are not identified yet."""
        if link.expected_name:
            return True
        self._unidentified.add(link)
        # The whole fleet may connect before the first hello is read: each missing member has a slot.
        missing = max(self.expected_links() - len(self._accepted), 0)
        return len(self._unidentified) <= MAX_UNIDENTIFIED + missing

    def identified(self, link: Link) -> None:
        """Register a link after its hello; it replaces an older link to the same router."""
        self._unidentified.discard(link)
        (self._dialled if link.expected_name else self._accepted)[link.name] = link
        self._by_run[link.name, link.boot_id] = link

    def disconnected(self, link: Link) -> None:
        """Remove a closed link."""
        self._unidentified.discard(link)
        for table in (self._dialled, self._accepted):
            if table.get(link.name) is link:
                del table[link.name]
        if self._by_run.get((link.name, link.boot_id)) is link:
            del self._by_run[link.name, link.boot_id]
            for table in (self._dialled, self._accepted):
                other = table.get(link.name)
                if other is not None and other.boot_id == link.boot_id:
                    self._by_run[link.name, link.boot_id] = other
        if link.expected_name and link.expected_name in self._lost_events:
            self._lost_events[link.expected_name].set()

    def send(self, name: str, message: bytes, boot_id: str = "") -> None:
        """Send a message on a link to the router, if there is one. Delivery is not guaranteed.

        `boot_id`: the run of the receiver's process; empty: the one that this router is linked to.
        """
        for table in (self._dialled, self._accepted):
            link = table.get(name)
            # Of two links always the same one is used: otherwise messages could arrive out of order.
            if link is not None and boot_id in ("", link.boot_id) and link.send(message):
                return
        link = self._by_run.get((name, boot_id))
        if link is not None:
            link.send(message)

    def close(self) -> None:
        """Close all links and stop dialling."""
        self.stop_listening()
        for task in self._dialling.values():
            task.cancel()
        for link in [*self._dialled.values(), *self._accepted.values(), *self._unidentified]:
            with contextlib.suppress(OSError):
                link.close()
