"""Clients send many commands at once, the first of which is a write that the store answers slowly.

The disruption is that the commands come at once. With TROUBLE=0 the same clients send the same commands one
after another, each after the answer to the one before it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from standins import (
    BROKEN,
    HELD,
    HOST,
    MS,
    SECOND,
    TROUBLE,
    CacheServer,
    CaseError,
    Discovery,
    Record,
    Router,
    Store,
    get,
    hit,
    instance,
    put,
    read_reply,
    run_case,
    settings,
)

MEMORY_MB = 192  # the most that the pages give a router; they have 32 to 192
CLIENTS, READS = 16, 250  # reads that each client sends behind its write
VALUE_BYTES = 64_000  # the pages allow 64 KiB
STORE_S = 2.5  # for which the store works on a write
DEADLINE_MS = 3000
ANSWER_TIMEOUT_S = 20.0  # far beyond the deadline
SAMPLE_S = 0.005  # between two looks at the router's memory
SERVERS = 6
CLASSES: list[dict[str, Any]] = [
    {
        "name": "balance-read",
        "aimNs": 750 * MS,
        "giveUpNs": 3 * SECOND,
        "semantics": "retryable",
        "group": "all",
        "dedupWindowNs": 5 * SECOND,
    },
    {
        "name": "top-up",
        "aimNs": 1200 * MS,
        "giveUpNs": 3 * SECOND,
        "semantics": "dedup",
        "group": "all",
        "dedupWindowNs": 6 * SECOND,
    },
]


class Platform:
    """Kills the router once it uses more memory than it has."""

    def __init__(self, router: Router, record: Record) -> None:
        self._router, self._record = router, record
        self.peak_mb = 0.0
        self.has_killed = False

    async def watch(self) -> None:
        while not self.has_killed:
            used_mb = self._router.memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self._record.line(f"platform: the router uses {used_mb:.0f} MB of {MEMORY_MB}")
                self._router.send_signal(signal.SIGKILL)
                self.has_killed = True
            await asyncio.sleep(SAMPLE_S)


async def play_client(number: int, router: Router, record: Record, counts: Counter[str]) -> None:
    write = put(f"w{number}", f"w{number}", "top-up", DEADLINE_MS, b"value")
    reads = [get(f"k{number}-{n}", f"r{number}-{n}", "balance-read", DEADLINE_MS) for n in range(READS)]
    reader, writer = await asyncio.open_connection(HOST, router.port)
    commands = [write, *reads]
    if TROUBLE:
        record.line(f"client {number}: sends w{number} and r{number}-0 to r{number}-{READS - 1} at once")
        writer.write(b"".join(commands))
    for index, command in enumerate(commands):
        try:
            if not TROUBLE:
                record.line(f"client {number}: sends its command {index}")
                writer.write(command)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await read_reply(reader)
        except (OSError, EOFError) as error:
            counts["never answered"] += len(commands) - index
            record.line(f"client {number}: {type(error).__name__} after {index} answers: {error}")
            break
        counts["served" if reply.startswith(b"$") else "refused or failed"] += 1
        record.line(f"client {number}: command {index} got {reply[:30].decode()!r}")
    record.line(f"client {number}: is done")
    writer.close()


async def case(record: Record, folder: str) -> int:
    counts = Counter[str]()

    def read(words: list[bytes]) -> bytes:
        if words[0] != b"KV.GET":
            return b"+PONG\r\n"
        counts["run at cache servers"] += 1
        record.line(f"cache server: ran {words[2].decode()}")
        return hit(words[2].ljust(VALUE_BYTES, b"."))

    async def write(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        record.line(f"store: {method} {target} begins")
        await asyncio.sleep(STORE_S)
        record.line(f"store: {method} {target} has run, answers")
        return b"receipt"

    servers, store = [CacheServer(read) for _ in range(SERVERS)], Store(write)
    for listener in (*servers, store):
        await listener.start()
    instances = [instance(f"s{number}", server.port) for number, server in enumerate(servers)]
    discovery = Discovery([*instances, instance("store", store.port, "origin")])
    await discovery.start()
    config = {
        "discovery": f"{HOST}:{discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": discovery.instances},
        "settings": settings(CLASSES),
    }
    router = Router(record, folder, config)
    platform = Platform(router, record)
    try:
        await router.ready()
        await asyncio.sleep(0.5)
        record.line(f"the router uses {router.memory_mb():.0f} MB before the first request")
        watch = asyncio.create_task(platform.watch())
        began_at = time.monotonic()
        await asyncio.gather(*(play_client(number, router, record, counts) for number in range(CLIENTS)))
        record.line(f"all clients are done after {time.monotonic() - began_at:.1f} s")
        watch.cancel()
        has_ended = router.process.poll() is not None
    finally:
        router.close()
        for listener in (*servers, store, discovery):
            listener.close()
    record.line(", ".join(f"{name}: {count}" for name, count in sorted(counts.items())))
    record.line(f"peak memory of the router: {platform.peak_mb:.0f} MB of {MEMORY_MB}")
    if not counts["run at cache servers"]:
        raise CaseError("no read reached a cache server")
    return BROKEN if platform.has_killed or has_ended or counts["never answered"] else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
