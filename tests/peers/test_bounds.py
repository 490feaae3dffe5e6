"""A fleet of 1,100 routers that all dial one voter at once, as after its start."""

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
BACKLOG_AT = 28  # tcpi_sacked in the kernel's tcp_info: of a listening socket the length of its queue


class Wire(asyncio.Transport):
    """A transport that keeps what is written, and ends when it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []
        self.ended = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written.append(bytes(data))

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.ended

    def abort(self) -> None:
        self.ended = True


def hello(name: str) -> bytes:
    return framed(msgspec.msgpack.encode(Hello("sofia", VERSION, name, f"{name}.1")))


def links(loop: asyncio.AbstractEventLoop, coming: int) -> Links:
    return Links(loop, "sofia", "v0", "v0.1", lambda *_: None, lambda _: True, lambda: coming)


def dialled(at: Links, count: int) -> list[tuple[Link, Wire]]:
    """So many connections that come before one of them has said who it is."""
    found = []
    for _ in range(count):
        link, wire = Link(at), Wire()
        link.connection_made(wire)
        found.append((link, wire))
    return found


async def voter_with_its_fleet() -> None:
    at = links(asyncio.get_running_loop(), ROUTERS)
    come = dialled(at, ROUTERS)
    for number, (link, _) in enumerate(come):
        link.data_received(hello(f"r{number}"))
    assert at.closed == {}
    assert len(at._accepted) == ROUTERS
    assert not any(wire.ended for _, wire in come)
    at.close()


def test_a_fleet_that_dials_at_once_is_taken_in_whole() -> None:
    asyncio.run(voter_with_its_fleet())


async def strangers_beside_a_whole_fleet() -> None:
    at = links(asyncio.get_running_loop(), ROUTERS)
    for number, (link, _) in enumerate(dialled(at, ROUTERS)):
        link.data_received(hello(f"r{number}"))
    strangers = dialled(at, MAX_UNIDENTIFIED + 1)
    assert [wire.ended for _, wire in strangers] == [False] * MAX_UNIDENTIFIED + [True]
    assert at.closed == {"too many strangers": 1}
    at.close()


def test_strangers_get_no_place_beyond_those_of_the_routers_that_have_not_come() -> None:
    asyncio.run(strangers_beside_a_whole_fleet())


async def queue_of_the_listener() -> int:
    at = links(asyncio.get_running_loop(), ROUTERS)
    await at.listen(("127.0.0.1", 0))
    assert at._server is not None
    told = at._server.sockets[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
    at.close()
    return int(struct.unpack_from("=I", told, BACKLOG_AT)[0])


def test_a_fleet_that_dials_at_once_fits_into_the_listener_s_queue() -> None:
    assert asyncio.run(queue_of_the_listener()) >= ROUTERS


async def expected_at(name: str) -> int:
    members = {f"r{number}": "127.0.0.1:9" for number in range(ROUTERS)}
    first = genesis(members, ["r0", "r1", "r2"])
    setup = ReplicaSetup(name, "boot", LeaseTerms(10**9, 0.1), first, lambda *_: "", "")
    told = ServiceCallbacks(lambda _: None, lambda _: None)
    service = ConsensusService(asyncio.get_running_loop(), lambda: 0, setup, "sofia", None, told)
    expected = service.links.expected_links()
    service.close()
    return expected


def test_a_voter_expects_all_others_and_who_does_not_vote_nobody() -> None:
    assert asyncio.run(expected_at("r1")) == ROUTERS - 1
    assert asyncio.run(expected_at("r7")) == 0
