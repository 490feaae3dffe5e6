"""A cache server's connection breaks within a long value, with other commands read behind it."""

from __future__ import annotations

import asyncio
import socket
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
    set_command,
)

VALUE_BYTES = 512 << 10  # of at most 4 MiB
LONG_KEY = b"item/long"
BREAK_AFTER_S = 0.5  # from the first bytes of the value
ROUNDS = 5


class BreakingServer(CacheServer):
    """A cache server whose connection breaks half way through each long value."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record)
        self.answer = self.long_answer
        self.value = bytes(number % 251 for number in range(VALUE_BYTES))

    async def long_answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        """Give half of the long value, wait, and break; answer other keys as usual."""
        if words[1] != LONG_KEY:
            return await self.usual_answer(words, writer)
        half = VALUE_BYTES // 2
        writer.write(b"*3\r\n$%d\r\n%b" % (VALUE_BYTES, self.value[:half]))
        await writer.drain()
        await asyncio.sleep(BREAK_AFTER_S)
        if WITH_TROUBLE:
            self.record.line(f"server {self.name} resets the connection in the middle of the value")
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return None
        return self.value[half:] + b"\r\n$3\r\nhit\r\n$%d\r\n%b\r\n" % (len(REPORT), REPORT)


async def case(record: Record) -> int:
    """Play the case."""
    server = BreakingServer("s-0", record)
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
        lost = 0
        for number in range(ROUNDS):
            lost += await play(record, router, server, origin, number)
        record.line(f"{lost} of {2 * ROUNDS} requests behind a long value had no final answer")
        return BROKEN if lost else HELD
    finally:
        await router.end()


async def play(record: Record, router: Router, server: BreakingServer, origin: Origin, number: int) -> int:
    """Send three commands on one connection; return how many of the last two had no final answer.

    Only those that a server got are counted: the router had read them, so they did not cross the end unread.
    """
    client = await Client.connect(router.port)
    long_read, write, read = (f"{number:04x}{kind:012x}" for kind in (1, 2, 3))
    client.send(get_command(long_read, LONG_KEY.decode()))
    client.send(set_command(write, f"item/w{number}", b"a new version"))
    client.send(get_command(read, f"item/r{number}"))
    record.line(f"client sent {long_read} (long), {write} (publish), {read} (read)")
    lost = 0
    for name in (long_read, write, read):
        reply = await asyncio.wait_for(client.read_reply(), 10)
        shown = "no whole answer" if reply is None else f"{reply[:60]!r}"
        record.line(f"client: {name}: {shown}")
        was_read = name in server.got or name in origin.got
        lost += reply is None and was_read and name != long_read
    if origin.runs.get(write) != 1:
        raise CaseError(f"the write ran {origin.runs.get(write, 0)} times")
    client.close()
    return lost


if __name__ == "__main__":
    run_case(FOLDER, case)
