"""What a router with 1,100 cache servers tells its successor: within the bound, whole over a channel."""

from __future__ import annotations

import asyncio
import math
import socket

from pebblepass.decisions import OriginHealth, RouterState, Server, ServerHealth, ServerState
from pebblepass.discovery.endpoint_list import ClockOffset, encode_endpoint_list, parse_endpoint_list
from pebblepass.handover.channel import Channel
from pebblepass.handover.messages import Message, StateChunk, split_snapshot
from pebblepass.handover.router_snapshot import (
    MAX_SNAPSHOT_BYTES,
    RouterSnapshot,
    decode_snapshot,
    encode_snapshot,
)

SERVERS = 1100
S = 10**9
NOW = 1000 * S
NAME = "cache-{:04d}.zone-a.region-1"


def account() -> bytes:
    """An account with a long name for each server, and all of it that may grow at its longest."""
    ids = [NAME.format(number) for number in range(SERVERS)]
    servers = [
        Server(each, "std", ServerState.READY, 1.0, NOW - S, "zone-a", number % 8)
        for number, each in enumerate(ids)
    ]
    addresses = {each: (f"{each}.internal.example", 6379) for each in ids}
    nodes = tuple(
        ServerHealth(
            each, NOW - S, NOW - S, 1.0, 0.05, NOW - S, 60 * S, False, 1, 2, NOW + S, 2.5e6, 1.25e6, 0.5
        )
        for each in ids
    )
    heat = tuple((slot, 1.0 / 3) for slot in range(256))
    usage = tuple((f"tenant-{number}", 1.0 / 3) for number in range(256))
    known = RouterState(nodes, (), OriginHealth(math.inf, 4.0, 0.1, 5e6, 1e6, 2e6, 1e6), heat, usage)
    listing = encode_endpoint_list(41, servers, addresses, ClockOffset(0, 0))
    return encode_snapshot(RouterSnapshot(listing, known, NOW), lambda start: start // 10**6)


async def over_a_channel(data: bytes) -> bytes:
    """What arrives of an account that is sent at once, as a router does."""
    loop = asyncio.get_running_loop()
    old, new = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    came, done = bytearray(), loop.create_future()

    def take(message: Message, _: list[socket.socket]) -> None:
        assert isinstance(message, StateChunk)
        came.extend(message.data)
        if message.last:
            done.set_result(None)

    sender = Channel(loop, old, lambda *_: None, lambda: None)
    receiver = Channel(loop, new, take, lambda: None)
    for chunk in split_snapshot(data):
        sender.send(chunk)
    async with asyncio.timeout(20):
        await done
    sender.close()
    receiver.close()
    return bytes(came)


def test_what_is_told_of_1100_servers_fits_and_arrives_whole() -> None:
    data = account()
    assert len(data) <= MAX_SNAPSHOT_BYTES // 4  # room for what the limits' windows add
    assert asyncio.run(over_a_channel(data)) == data
    told = decode_snapshot(data, NOW, lambda unix_ms: unix_ms * 10**6)
    assert len(told.state.servers) == SERVERS
    assert len(parse_endpoint_list(told.endpoint_list, ClockOffset(0, 0)).addresses) == SERVERS
