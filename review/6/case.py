"""Answers of the origin without a length are reset on the way, and the router uses more than its memory."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402 - found by the line above
    BROKEN,
    HELD,
    WITH_TROUBLE,
    CacheServer,
    CaseError,
    Client,
    Discovery,
    HttpRequest,
    Origin,
    Record,
    Router,
    World,
    get_command,
    run_case,
)

MEMORY_MB = 192
VALUE_BYTES = 3 << 20  # of at most 4 MiB
RESET_EVERY = 20
"""One of so many answers of the origin is reset, when nearly all of the value was given."""
RESET_LEFT_BYTES = 64 << 10
CLIENTS = 8
PAUSE_S = 0.02  # of a client between two reads
LOAD_S = 90.0
SAMPLE_S = 0.05


class ResettingOrigin(Origin):
    """An origin that gives long values without a length, and resets some of its answers on the way."""

    def __init__(self, record: Record, caches: list[CacheServer]) -> None:
        super().__init__(record, caches)
        self.value = bytes(number % 251 for number in range(VALUE_BYTES))
        self.resets = self.answers = 0
        self._number = 0

    async def answer(self, request: HttpRequest, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Answer a read without a length; the end of the connection ends the value."""
        self._number += 1
        is_reset = WITH_TROUBLE and self._number % RESET_EVERY == 0
        await asyncio.sleep(self.work_s)
        writer.write(b"HTTP/1.1 200 OK\r\nServer-Load: recent_ms=1.5,backlog=0\r\n\r\n")
        if not is_reset:
            writer.write(self.value)
            await writer.drain()
            self.answers += 1
            writer.close()
            return
        writer.write(self.value[:-RESET_LEFT_BYTES])
        await writer.drain()
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)  # the router has read what was sent
        self.resets += 1
        self.record.line(f"origin resets the answer to {request.target} {request_id}")
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


def memory_mb(process_id: int) -> float:
    """Return the memory that a process has now, in MB."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


async def case(record: Record) -> int:
    """Play the case."""
    server = CacheServer("s-0", record)
    origin = ResettingOrigin(record, [])
    world = World()
    discovery = Discovery("agent", record, world)
    for peer in (server, origin, discovery):
        await peer.start()
    world.change(server.entry(), origin.entry())
    router = Router(record, discovery.address)
    router.config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    try:
        await router.start()
        await router.wait_ready()
        return await play(record, router, origin)
    finally:
        await router.end()


async def read_values(router: Router, first: int, replies: dict[str, int]) -> None:
    """Read one long value after another on one connection, each of another key."""
    client = await Client.connect(router.port)
    for number in range(first, first + 10_000):
        client.send(get_command(f"{number:016x}", f"item/{number}"))
        reply = await client.read_reply()
        if reply is None:
            client.close()
            client = await Client.connect(router.port)
        kind = "none" if reply is None else "value" if len(reply) == VALUE_BYTES else reply[:5].decode()
        replies[kind] = replies.get(kind, 0) + 1
        await asyncio.sleep(PAUSE_S)


async def play(record: Record, router: Router, origin: ResettingOrigin) -> int:
    """Watch the memory, and end the router once it is over its limit, as the platform does."""
    assert router.process is not None
    replies: dict[str, int] = {}
    readers = [asyncio.create_task(read_values(router, n * 10_000, replies)) for n in range(CLIENTS)]
    begun, peak, code = record.now(), 0.0, HELD
    while record.now() - begun < LOAD_S and code == HELD:
        await asyncio.sleep(SAMPLE_S)
        if router.process.returncode is not None:
            raise CaseError("the router has ended")
        now = memory_mb(router.process.pid)
        if now > peak + 5:
            record.line(f"the router has {now:.0f} MB after {origin.resets} resets, {origin.answers} values")
        peak = max(peak, now)
        if now > MEMORY_MB:
            record.line(f"the router is over its limit of {MEMORY_MB} MB, and is killed")
            router.signal(signal.SIGKILL)
            code = BROKEN
    for reader in readers:
        reader.cancel()
    await asyncio.gather(*readers, return_exceptions=True)
    record.line(f"peak {peak:.0f} MB, {origin.resets} resets, {origin.answers} whole answers, {replies}")
    if not origin.answers:
        raise CaseError("no value was given")
    return code


if __name__ == "__main__":
    run_case(FOLDER, case)
