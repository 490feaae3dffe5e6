"""A cache server hangs for some seconds in the middle of a long value, and then gives the rest."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402 - found by the line above
    BROKEN,
    HELD,
    REPORT,
    WITH_TROUBLE,
    CacheServer,
    CaseError,
    Client,
    Discovery,
    Origin,
    Record,
    Router,
    World,
    get_command,
    run_case,
)

VALUE_BYTES = 1 << 20  # of at most 4 MiB
HANG_S = 4.0 if WITH_TROUBLE else 0.1  # of at most 6 s


class HangingServer(CacheServer):
    """A cache server that hangs once, half way through a long value."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record)
        self.answer = self.long_answer
        self.value = bytes(number % 251 for number in range(VALUE_BYTES))

    async def long_answer(self, _: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Give half of the value, hang, and give the rest on the same connection."""
        half = len(self.value) // 2
        writer.write(b"*3\r\n$%d\r\n%b" % (len(self.value), self.value[:half]))
        await writer.drain()
        self.record.line(f"server {self.name} has given {half} bytes and hangs")
        await asyncio.sleep(HANG_S)
        is_open = not writer.is_closing()
        self.record.line(f"server {self.name} goes on; its connection is {'open' if is_open else 'closed'}")
        writer.write(self.value[half:] + b"\r\n$3\r\nhit\r\n$%d\r\n%b\r\n" % (len(REPORT), REPORT))
        await writer.drain()


async def case(record: Record) -> int:
    """Play the case."""
    server = HangingServer("s-0", record)
    origin = Origin(record, [server])
    world = World()
    discovery = Discovery("agent", record, world)
    for peer in (server, origin, discovery):
        await peer.start()
    world.change(server.entry(), origin.entry())
    router = Router(record, discovery.address)
    try:
        await router.start()
        await router.wait_ready()
        return await play(record, router, server)
    finally:
        await router.end()


async def play(record: Record, router: Router, server: HangingServer) -> int:
    """Read the long value as it comes."""
    client = await Client.connect(router.port)
    client.send(get_command("00000000000000a1", "item/long"))
    record.line("client sent the read 00000000000000a1")
    head = await asyncio.wait_for(client.read_line(), 5)
    if head != b"$%d" % VALUE_BYTES:
        raise CaseError(f"the answer begins with {head!r}")
    received = bytearray()
    while len(received) < VALUE_BYTES + 2:
        data = await asyncio.wait_for(client.read_some(), HANG_S + 10)
        if not data:
            break
        received += data
    record.line(f"client has {len(received)} of {VALUE_BYTES + 2} bytes, and the answer ends")
    whole = bytes(received) == server.value + b"\r\n"
    await asyncio.sleep(0 if whole else HANG_S)  # until the server has gone on
    client.close()
    return HELD if whole else BROKEN


if __name__ == "__main__":
    run_case(FOLDER, case)
