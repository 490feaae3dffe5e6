"""The snapshot of a router with 1,100 cache servers stays within its limit and passes a channel."""

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
SECOND = 10**9
NOW = 1000 * SECOND
NAME = "cache-{:04d}.zone-a.region-1"


def large_snapshot() -> bytes:
    """Return a snapshot with long server names and the maximum numbers of slots and tenants."""
    ids = [NAME.format(number) for number in range(SERVERS)]
    servers = [
        Server(server_id, "std", ServerState.READY, 1.0, NOW - SECOND, "zone-a", number % 8)
        for number, server_id in enumerate(ids)
    ]
    addresses = {server_id: (f"{server_id}.internal.example", 6379) for server_id in ids}
    server_health = tuple(
        ServerHealth(
            server_id,
            NOW - SECOND,
            NOW - SECOND,
            1.0,
            0.05,
            NOW - SECOND,
            60 * SECOND,
            False,
            1,
            2,
            NOW + SECOND,
            2.5e6,
            1.25e6,
            0.5,
        )
        for server_id in ids
    )
    slot_counts = tuple((slot, 1.0 / 3) for slot in range(256))
    tenant_counts = tuple((f"tenant-{number}", 1.0 / 3) for number in range(256))
    state = RouterState(
        server_health, (), OriginHealth(math.inf, 4.0, 0.1, 5e6, 1e6, 2e6, 1e6), slot_counts, tenant_counts
    )
    endpoint_list = encode_endpoint_list(41, servers, addresses, ClockOffset(0, 0))
    return encode_snapshot(RouterSnapshot(endpoint_list, state, NOW), lambda start: start // 10**6)


async def send_over_channel(data: bytes) -> bytes:
    """Send a snapshot over a channel without a pause; return what arrives."""
    loop = asyncio.get_running_loop()
    predecessor_socket, successor_socket = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    received, done = bytearray(), loop.create_future()

    def on_message(message: Message, _: list[socket.socket]) -> None:
        assert isinstance(message, StateChunk)
        received.extend(message.data)
        if message.last:
            done.set_result(None)

    sender = Channel(loop, predecessor_socket, lambda *_: None, lambda: None)
    receiver = Channel(loop, successor_socket, on_message, lambda: None)
    for chunk in split_snapshot(data):
        sender.send(chunk)
    async with asyncio.timeout(20):
        await done
    sender.close()
    receiver.close()
    return bytes(received)


def test_snapshot_of_1100_servers_fits_and_arrives_complete() -> None:
    data = large_snapshot()
    assert len(data) <= MAX_SNAPSHOT_BYTES // 4  # leaves room for the calls in the windows of the limits
    assert asyncio.run(send_over_channel(data)) == data
    snapshot = decode_snapshot(data, NOW, lambda unix_ms: unix_ms * 10**6)
    assert len(snapshot.state.servers) == SERVERS
    assert len(parse_endpoint_list(snapshot.endpoint_list, ClockOffset(0, 0)).addresses) == SERVERS
