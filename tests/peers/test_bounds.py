"""A fleet of 1,100 routers that all dial one voter at the same time, as they do after its start."""

from __future__ import annotations

import asyncio
import socket
import struct

import msgspec

from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.service import ConsensusService, ServiceCallbacks
from pebblepass.consensus.setup import ReplicaSetup, genesis
from pebblepass.peers.links import MAX_UNIDENTIFIED, VERSION, Hello, Link, Links, framed

ROUTERS = 1100
# Offset of tcpi_sacked in the kernel's tcp_info, the length of the accept queue of a listening socket.
BACKLOG_OFFSET = 28


class RecordingTransport(asyncio.Transport):
    """A transport that records the written data and whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written.append(bytes(data))

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


def hello(name: str) -> bytes:
    return framed(msgspec.msgpack.encode(Hello("sofia", VERSION, name, f"{name}.1")))


def create_links(loop: asyncio.AbstractEventLoop, expected_links: int) -> Links:
    return Links(loop, "sofia", "v0", "v0.1", lambda *_: None, lambda _: True, lambda: expected_links)


def connect(links: Links, count: int) -> list[tuple[Link, RecordingTransport]]:
    """Return `count` accepted connections, none of which has sent a hello."""
    connections = []
    for _ in range(count):
        link, transport = Link(links), RecordingTransport()
        link.connection_made(transport)
        connections.append((link, transport))
    return connections


async def identify_whole_fleet() -> None:
    links = create_links(asyncio.get_running_loop(), ROUTERS)
    connections = connect(links, ROUTERS)
    for number, (link, _) in enumerate(connections):
        link.data_received(hello(f"r{number}"))
    assert links.closed == {}
    assert len(links._accepted) == ROUTERS
    assert not any(transport.aborted for _, transport in connections)
    links.close()


def test_whole_fleet_can_connect_at_once() -> None:
    asyncio.run(identify_whole_fleet())


async def connect_beyond_the_limit() -> None:
    links = create_links(asyncio.get_running_loop(), ROUTERS)
    for number, (link, _) in enumerate(connect(links, ROUTERS)):
        link.data_received(hello(f"r{number}"))
    unidentified = connect(links, MAX_UNIDENTIFIED + 1)
    assert [transport.aborted for _, transport in unidentified] == [False] * MAX_UNIDENTIFIED + [True]
    assert links.closed == {"too many strangers": 1}
    links.close()


def test_unidentified_connections_are_limited() -> None:
    asyncio.run(connect_beyond_the_limit())


async def listener_backlog() -> int:
    links = create_links(asyncio.get_running_loop(), ROUTERS)
    await links.listen(("127.0.0.1", 0))
    assert links._server is not None
    tcp_info = links._server.sockets[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
    links.close()
    return int(struct.unpack_from("=I", tcp_info, BACKLOG_OFFSET)[0])


def test_listener_backlog_holds_the_whole_fleet() -> None:
    assert asyncio.run(listener_backlog()) >= ROUTERS


async def expected_links_of(name: str) -> int:
    members = {f"r{number}": "127.0.0.1:9" for number in range(ROUTERS)}
    initial = genesis(members, ["r0", "r1", "r2"])
    setup = ReplicaSetup(name, "boot", LeaseTerms(10**9, 0.1), initial, lambda *_: "", "")
    callbacks = ServiceCallbacks(lambda _: None, lambda _: None)
    service = ConsensusService(asyncio.get_running_loop(), lambda: 0, setup, "sofia", None, callbacks)
    expected = service.links.expected_links()
    service.close()
    return expected


def test_voter_expects_links_from_all_and_others_from_none() -> None:
    assert asyncio.run(expected_links_of("r1")) == ROUTERS - 1
    assert asyncio.run(expected_links_of("r7")) == 0
