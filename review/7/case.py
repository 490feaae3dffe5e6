"""A planned restart of a router with a class of 4 s: the platform may kill it 3.7 s after SIGTERM."""

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
    MS,
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
    run_case,
    set_command,
)

CLASSES = [
    ("balance-read", 750, 1500, "retryable", 0),
    ("top-up", 1200, 3000, "dedup", 6000),
    ("emergency-credit", 1000, 4000, "dedup", 20000),
]
"""Name, aim, deadline, effect and window for repeats, in milliseconds."""
CLASS, DEADLINE_MS = "emergency-credit", 3200  # a try is given up after 50 to 80 % of the class's time
ORIGIN_S = 2.5
"""How long the origin takes for a write: within the time that the clients wait."""
KILL_AFTER_S = 3.0 + 0.7  # from SIGTERM: "the longest deadline (3 s at most) and 0.7 s more"
COUNTED_AFTER_S = 0.7 + 0.05  # what came sooner may be found unanswered by SIGKILL
WRITES_AT_S = (-0.5, 0.9, 1.4, 1.9)  # from SIGTERM, on each connection
CLIENTS = 4


class Write:
    """One write: when it was sent, and its answer."""

    def __init__(self, request_id: str, sent_s: float) -> None:
        self.id, self.sent_s = request_id, sent_s
        self.reply: bytes | None = None


async def use_connection(record: Record, port: int, number: int, terms_at: float) -> list[Write]:
    """Send writes on one connection for as long as it stays open, without waiting for their answers."""
    client = await Client.connect(port)
    writes: list[Write] = []
    reader = asyncio.create_task(read_replies(record, client, writes))
    for index, at_s in enumerate(WRITES_AT_S):
        await asyncio.sleep(max(terms_at + at_s - record.now(), 0))
        if client.has_ended:
            break
        write = Write(f"{number:08x}{index:08x}", record.now() - terms_at)
        writes.append(write)
        client.send(set_command(write.id, f"account/{number}.{index}", b"+5", CLASS, DEADLINE_MS))
        record.line(f"client {number} sent {write.id}, {write.sent_s:.2f} s after SIGTERM")
    await reader
    client.close()
    return writes


async def read_replies(record: Record, client: Client, writes: list[Write]) -> None:
    """Read the answers in the order of the writes."""
    for index in range(len(WRITES_AT_S)):
        reply = await client.read_reply()
        if reply is None:
            return
        writes[index].reply = reply
        record.line(f"client has the answer to {writes[index].id}: {reply.decode()}")


async def case(record: Record) -> int:
    """Play the case."""
    settings = {
        **SETTINGS,
        "classes": [
            {
                "name": name,
                "aimNs": aim * MS,
                "giveUpNs": deadline * MS,
                "semantics": effect,
                "group": "all",
                "dedupWindowNs": window * MS,
                "lateValue": 0.0,
                "streamed": False,
                "worth": 5.0,
            }
            for name, aim, deadline, effect, window in CLASSES
        ],
    }
    server = CacheServer("s-0", record)
    origin = Origin(record, [server], ORIGIN_S)
    world = World()
    discovery = Discovery("agent", record, world)
    for peer in (server, origin, discovery):
        await peer.start()
    world.change(server.entry(), origin.entry())
    router = Router(record, discovery.address, settings)
    try:
        await router.start()
        await router.wait_ready()
        return await play(record, router, origin)
    finally:
        await router.end()


async def play(record: Record, router: Router, origin: Origin) -> int:
    """End the router as at a planned restart, while clients go on using their connections."""
    assert router.process is not None
    terms_at = record.now() + 1.0
    clients = [
        asyncio.create_task(use_connection(record, router.port, number, terms_at))
        for number in range(CLIENTS)
    ]
    if WITH_TROUBLE:
        await asyncio.sleep(terms_at - record.now())
        router.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(router.process.wait(), KILL_AFTER_S)
            record.line(f"the router ended by itself with exit code {code}")
        except TimeoutError:
            router.signal(signal.SIGKILL)
    writes = [write for client in clients for write in await client]
    await asyncio.sleep(ORIGIN_S)  # until the origin has carried out all that it got
    lost = 0
    for write in writes:
        ran = origin.runs.get(write.id, 0)
        if write.reply is None:
            # A write that never reached the origin may have crossed the end of the connection unread.
            is_counted = write.sent_s >= COUNTED_AFTER_S and write.id in origin.got
            lost += is_counted
            word = "lost" if is_counted else "excused"
            record.line(
                f"{write.id}, sent at {write.sent_s:.2f} s, has no answer: {word}; it ran {ran} times"
            )
    record.line(f"{len(writes)} writes, {lost} lost")
    if not any(write.reply and write.reply.startswith(b"receipt") for write in writes):
        raise CaseError("no write was served")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    run_case(FOLDER, case)
