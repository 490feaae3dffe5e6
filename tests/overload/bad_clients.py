"""Clients that stop, stall or flood, in a process of their own.

    python -m tests.overload.bad_clients PICTURE PORT CLIENTS SECONDS

A client whose connection is closed opens a new one, a bounded number of times.
"""

from __future__ import annotations

import asyncio
import resource
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress

from tests.sockets import bulk, get, put

LONG_WRITE_BYTES = 60_000
PIPELINED_READS = 40
PIECE_BYTES, PIECE_INTERVAL_S = 1024, 0.1
SMALL_RECEIVE_BUFFER_BYTES = 4096
SHORT_FIELDS = 3200  # of a list of about 16 KB
CONNECTIONS_PER_CLIENT = 20
RECONNECT_DELAY_S = 0.05
FLOOD_BATCH = 500

Picture = Callable[["BadClient"], Awaitable[None]]


class BadClient:
    """One client, which plays its picture on one connection after another."""

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port, self.sent = number, port, 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.socket: socket.socket

    def next_id(self) -> str:
        """Return a new request id."""
        self.sent += 1
        return f"bad{self.number}.{self.sent}"

    async def play(self, picture: Picture) -> None:
        """Play the picture until the connections are used up."""
        for _ in range(CONNECTIONS_PER_CLIENT):
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._connect()
                try:
                    await picture(self)
                finally:
                    self.writer.transport.abort()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _connect(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.socket, ("127.0.0.1", self.port))
        self.reader, self.writer = await asyncio.open_connection(sock=self.socket, limit=1024)

    def send(self, data: bytes) -> None:
        """Send without waiting."""
        self.writer.write(data)

    async def read_to_end(self) -> None:
        """Read what the router sends until it closes the connection."""
        while await self.reader.read(1 << 16):
            pass

    async def never_read(self) -> None:
        """Stay connected without reading."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(3600)


async def half_write(client: BadClient) -> None:
    """Stop in the middle of a long write."""
    client.send(put(client.next_id(), bytes(LONG_WRITE_BYTES))[: LONG_WRITE_BYTES // 2])
    await client.read_to_end()


async def slow_write(client: BadClient) -> None:
    """Send a long write in small pieces, too slowly to complete it in time."""
    data = put(client.next_id(), bytes(LONG_WRITE_BYTES))
    for start in range(0, len(data), PIECE_BYTES):
        client.send(data[start : start + PIECE_BYTES])
        await asyncio.sleep(PIECE_INTERVAL_S)
    await client.read_to_end()


async def long_writes(client: BadClient) -> None:
    """Send complete long writes, which the store answers late."""
    while True:
        client.send(put(client.next_id(), bytes(LONG_WRITE_BYTES), d=1500))
        if not await client.reader.readline():
            return


async def unread_pipeline(client: BadClient) -> None:
    """Send many reads of long values at once, and read no answer."""
    client.send(b"".join(get(client.next_id(), f"long{n}", 2000) for n in range(PIPELINED_READS)))
    await client.never_read()


async def unread_answer(client: BadClient) -> None:
    """Send one read of a long value, and do not read the answer."""
    client.send(get(client.next_id(), "long", 2000))
    await client.never_read()


async def streamed_unread(client: BadClient) -> None:
    """Send one read of a value that is streamed, and do not read it."""
    client.send(get(client.next_id(), "stream", 2000))
    await client.never_read()


async def slow_read(client: BadClient) -> None:
    """Read long values slowly."""
    while True:
        client.send(get(client.next_id(), "long", 2000))
        for _ in range(30):
            if not await client.reader.read(2048):
                return
            await asyncio.sleep(PIECE_INTERVAL_S)


async def many_fields(client: BadClient) -> None:
    """Send reads with lists of thousands of short fields, which are answered late."""
    fields = "".join(f",{n}=" for n in range(SHORT_FIELDS))
    client.send(get(client.next_id(), "late", 1500, fields[:16_000]))
    await client.reader.readline()
    client.send(get(client.next_id(), "late", 1500, fields[:16_000])[:15_000])
    await client.read_to_end()


async def error_flood(client: BadClient) -> None:
    """Send commands that get an error, at full speed."""
    batch = bulk(b"NOPE", b"x") * FLOOD_BATCH
    client.writer.transport.set_write_buffer_limits(high=1 << 20)
    discarding = asyncio.ensure_future(client.read_to_end())
    try:
        while not discarding.done():
            client.send(batch)
            await client.writer.drain()
    finally:
        discarding.cancel()


async def name_flood(client: BadClient) -> None:
    """Send valid reads under ever new keys, tenants, classes and fields, at full speed."""
    discarding = asyncio.ensure_future(client.read_to_end())
    try:
        while not discarding.done():
            names = [client.next_id() for _ in range(FLOOD_BATCH // 10)]
            for name in names:
                info = f"c={'get' if len(name) % 2 else name},t={name},d=500,{name}=1".encode()
                client.send(bulk(b"KV.GET", name.encode(), name.encode(), info))
            await client.writer.drain()
    finally:
        discarding.cancel()


ID_PREFIX = "bad"  # of all their requests

PICTURES: dict[str, Picture] = {
    "half-write": half_write,
    "slow-write": slow_write,
    "long-writes": long_writes,
    "unread-pipeline": unread_pipeline,
    "unread-answer": unread_answer,
    "streamed-unread": streamed_unread,
    "slow-read": slow_read,
    "many-fields": many_fields,
    "error-flood": error_flood,
    "name-flood": name_flood,
}


async def play(picture: str, port: int, clients: int, seconds: float) -> None:
    """Play a picture with this many clients for so many seconds."""
    tasks = [asyncio.ensure_future(BadClient(n, port).play(PICTURES[picture])) for n in range(clients)]
    await asyncio.wait(tasks, timeout=seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main(arguments: list[str]) -> None:
    """Play the picture that the arguments name."""
    picture, port, clients, seconds = arguments
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    asyncio.run(play(picture, int(port), int(clients), float(seconds)))


if __name__ == "__main__":
    main(sys.argv[1:])
