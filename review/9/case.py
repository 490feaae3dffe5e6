"""SIGTERM while a long value is being passed on, as fast as its cache server gives it."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402 - found by the line above
    BROKEN,
    HELD,
    REPORT,
    SETTINGS,
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

VALUE_BYTES = 2 << 20  # of at most 4 MiB
PIECE_BYTES = 32 << 10
PIECE_PAUSE_S = 0.08  # between two pieces: the whole value takes some 5 s
SIGTERM_AFTER_S = 1.0  # from the first bytes at the client
LONGEST_DEADLINE_S = max(cls["giveUpNs"] for cls in SETTINGS["classes"]) / 1e9
KILL_AFTER_S = 10.0  # from SIGTERM; the platform kills no sooner than the longest deadline and 0.7 s


class SlowServer(CacheServer):
    """A cache server that gives one long value slowly, in pieces."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record)
        self.answer = self.slow_answer
        self.value = bytes(number % 251 for number in range(VALUE_BYTES))
        self.given_bytes = 0

    async def slow_answer(self, _: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Give the value piece by piece, until the router cuts it off."""
        writer.write(b"*3\r\n$%d\r\n" % len(self.value))
        for start in range(0, len(self.value), PIECE_BYTES):
            writer.write(self.value[start : start + PIECE_BYTES])
            await writer.drain()
            self.given_bytes = min(start + PIECE_BYTES, len(self.value))
            await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(b"\r\n$3\r\nhit\r\n$%d\r\n%b\r\n" % (len(REPORT), REPORT))
        await writer.drain()
        self.record.line(f"server {self.name} has given the whole value")


async def case(record: Record) -> int:
    """Play the case."""
    server = SlowServer("s-0", record)
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


async def play(record: Record, router: Router, server: SlowServer) -> int:
    """Read the long value as it comes; SIGTERM in the middle."""
    client = await Client.connect(router.port)
    client.send(get_command("00000000000000a1", "item/long"))
    record.line("client sent the read 00000000000000a1")
    head = await asyncio.wait_for(client.read_line(), 5)
    if head != b"$%d" % VALUE_BYTES:
        raise CaseError(f"the answer begins with {head!r}")
    first_at = record.now()
    record.line("client has the first bytes of the answer")
    ended = asyncio.create_task(end_router(record, router)) if WITH_TROUBLE else None
    received = bytearray()
    while len(received) < VALUE_BYTES + 2 and (data := await client.read_some()):
        received += data
    took = record.now() - first_at
    record.line(
        f"client has {len(received)} of {VALUE_BYTES + 2} bytes after {took:.2f} s;"
        f" the server has given {server.given_bytes}"
    )
    whole = bytes(received) == server.value + b"\r\n"
    client.close()
    if ended is not None:
        killed = await ended
        if not whole and killed:
            raise CaseError("SIGKILL came before the value was given")
    return HELD if whole else BROKEN


async def end_router(record: Record, router: Router) -> bool:
    """End the router as at a planned restart; return whether SIGKILL was needed."""
    assert router.process is not None
    await asyncio.sleep(SIGTERM_AFTER_S)
    router.signal(signal.SIGTERM)
    at = record.now()
    try:
        code = await asyncio.wait_for(router.process.wait(), KILL_AFTER_S)
    except TimeoutError:
        router.signal(signal.SIGKILL)
        return True
    after = record.now() - at
    record.line(f"the router ended by itself {after:.2f} s after SIGTERM, with exit code {code}")
    record.line(f"SIGKILL would have come no sooner than {LONGEST_DEADLINE_S + 0.7:.2f} s after SIGTERM")
    return False


if __name__ == "__main__":
    run_case(FOLDER, case)
