"""SIGHUP moves discovery to an address whose calls wait for their turn, and a cache server drains."""

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

QUEUE_S = 1.8 if WITH_TROUBLE else 0.0
"""How long a call waits for its turn; discovery fails calls that have waited for 2 s."""
TOLD_AFTER_S = 4.0  # from SIGHUP
GRACE_S = SETTINGS["rules"]["drainGraceNs"] / 1e9 + 0.05
OLD_CLOSES_S = 1.5  # after SIGHUP the old address closes its open connections
KEYS = 61
PUBLIC_PERCENT = 63  # of the requests, as the settings have it
RATE = 300  # requests a second
WATCH_S = 9.0  # from SIGHUP


async def ask(port: int, number: int, replies: dict[str, int]) -> None:
    """Send one read on a connection of its own, and count its reply."""
    client = await Client.connect(port)
    tenant = "public" if number % 100 < PUBLIC_PERCENT else "municipal"
    client.send(get_command(f"{number:016x}", f"item/{number % KEYS}", tenant=tenant))
    reply = await client.read_reply()
    kind = "lost" if reply is None else reply.split(b" ")[0].decode() if reply[:1] == b"-" else "value"
    replies[kind] = replies.get(kind, 0) + 1
    client.close()


async def case(record: Record) -> int:
    """Play the case."""
    caches = [CacheServer(f"s-{number}", record) for number in range(4)]
    origin = Origin(record, caches)
    world = World()
    old, new = (Discovery(name, record, world, QUEUE_S) for name in ("old", "new"))
    for peer in (*caches, origin, old, new):
        await peer.start()
    world.change(*(cache.entry() for cache in caches), origin.entry())
    router = Router(record, old.address, {**SETTINGS, "membershipMode": "subscribe"})
    try:
        await router.start()
        await router.wait_ready()
        return await play(record, router, caches[0], world, old, new)
    finally:
        await router.end()


async def play(
    record: Record, router: Router, server: CacheServer, world: World, old: Discovery, new: Discovery
) -> int:
    """Send reads throughout; the server drains in the moment of SIGHUP."""
    replies: dict[str, int] = {}
    late: list[float] = []
    tasks = []
    signalled_at = float("inf")
    usual = server.answer

    async def answer(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        after = record.now() - signalled_at
        if after > TOLD_AFTER_S + GRACE_S:
            late.append(after)
            record.line(f"server {server.name} drains, and this came {after:.3f} s after SIGHUP")
        return await usual(words, writer)

    server.answer = answer
    started, number = record.now(), 0
    steady_s = 6.0  # until the list was told and the caches hold the keys
    asked_before = 0
    while record.now() - started < steady_s + WATCH_S:
        tasks.append(asyncio.create_task(ask(router.port, number, replies)))
        number += 1
        if signalled_at == float("inf") and record.now() - started >= steady_s:
            asked_before = len(server.missed) + len(server.values)
            router.config["discovery"] = new.address
            router.write_config()
            server.is_draining = True
            world.change(server.entry("draining"))
            record.line(f"server {server.name} drains: version {world.generation} of the list")
            router.signal(signal.SIGHUP)
            signalled_at = record.now()
            old.stop_listening()
            asyncio.get_running_loop().call_later(OLD_CLOSES_S, old.close_connections)
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    record.line(f"replies: {replies}")
    if not asked_before or not replies.get("value"):
        raise CaseError("the server was not used, or no read was served")
    if late:
        record.line(f"{len(late)} commands too late, the last {late[-1]:.3f} s after SIGHUP")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(FOLDER, case)
