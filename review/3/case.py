"""A planned restart while a class has a deadline of 4 s: SIGTERM, and SIGKILL 3.7 s later.

The disruption is the restart. With TROUBLE=0 the same requests come and no signal is sent.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
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
    Discovery,
    Record,
    Router,
    Store,
    hit,
    instance,
    put,
    read_reply,
    run_case,
    settings,
)

DEADLINE_S = 4.0  # of the class: deadline_ms of emergency-credit in irbid-prepaid.toml
LONGEST_S, KILL_SLACK_S = 3.0, 0.7  # SIGKILL: the longest deadline, 3 s at most, and 0.7 s after SIGTERM
STORE_S = 3.85  # for which the store works on a write
BEFORE_SIGTERM_S = 0.1  # the first request is sent so long before SIGTERM
AFTER_SIGTERM_S = 1.0  # the second one so long after it, on the same connection
LATE_S = 0.5  # after its time an answer only earns nothing; then the request is lost
CLASSES: list[dict[str, Any]] = [
    {
        "name": "balance-read",
        "aimNs": 750 * MS,
        "giveUpNs": 1500 * MS,
        "semantics": "retryable",
        "group": "all",
        "dedupWindowNs": 20 * SECOND,
    },
    {
        "name": "emergency-credit",
        "aimNs": SECOND,
        "giveUpNs": 4 * SECOND,
        "semantics": "dedup",
        "group": "all",
        "dedupWindowNs": 20 * SECOND,
    },
]


class Client:
    """A client with one connection, on which it sends two writes."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._record, self._reader, self._writer = record, reader, writer
        self._sent_at: list[float] = []
        self.lost: list[str] = []

    def send(self, request_id: str) -> None:
        self._record.line(f"client: sends {request_id}")
        self._writer.write(
            put(f"key-of-{request_id}", request_id, "emergency-credit", int(DEADLINE_S * 1000), b"5")
        )
        self._sent_at.append(time.monotonic())

    async def read(self, request_id: str) -> None:
        """Read the answers in the order of the requests; `lost` names those that get none."""
        sent_at = self._sent_at.pop(0)
        try:
            async with asyncio.timeout(DEADLINE_S + LATE_S + sent_at - time.monotonic()):
                reply = await read_reply(self._reader)
            self._record.line(f"client: {request_id} got {reply!r} after {time.monotonic() - sent_at:.2f} s")
        except (OSError, EOFError) as error:
            after_s = time.monotonic() - sent_at
            self._record.line(f"client: {request_id} is lost: {type(error).__name__} after {after_s:.2f} s")
            self.lost.append(request_id)


async def platform(router: Router, record: Record) -> None:
    """The planned restart."""
    router.send_signal(signal.SIGTERM)
    end = time.monotonic() + LONGEST_S + KILL_SLACK_S
    while router.process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.005)
    if router.process.poll() is None:
        router.send_signal(signal.SIGKILL)
    else:
        record.line(f"the router has ended with exit code {router.process.returncode}")


async def case(record: Record, folder: str) -> int:
    async def write(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        record.line(f"store: {method} {target} begins ({headers['request-info']})")
        await asyncio.sleep(STORE_S)
        record.line(f"store: {method} {target} has run, answers")
        return b"receipt"

    cache, store = (
        CacheServer(lambda words: hit(b"value") if words[0] == b"KV.GET" else b"+PONG\r\n"),
        Store(write),
    )
    await cache.start()
    await store.start()
    discovery = Discovery([instance("s0", cache.port), instance("store", store.port, "origin")])
    await discovery.start()
    config = {
        "discovery": f"{HOST}:{discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": discovery.instances},
        "settings": settings(CLASSES),
    }
    router = Router(record, folder, config)
    try:
        await router.ready()
        await asyncio.sleep(2.0)  # the platform sends no signal in the first seconds
        client = Client(record, *await asyncio.open_connection(HOST, router.port))
        client.send("first")
        await asyncio.sleep(BEFORE_SIGTERM_S)
        restart = asyncio.create_task(platform(router, record)) if TROUBLE else None
        await asyncio.sleep(AFTER_SIGTERM_S)
        client.send("second")
        await client.read("first")
        await client.read("second")
        if restart is not None:
            await restart
    finally:
        router.close()
        for listener in (cache, store, discovery):
            listener.close()
    return BROKEN if client.lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
