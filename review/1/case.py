"""A second answer comes 6 ms after the first, from cache servers and the store in another zone.

The disruption is the second answers. With TROUBLE=0 the same servers, network and clients play without them.
"""

from __future__ import annotations

import asyncio
import random
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
    http_answer,
    instance,
    put,
    read_command,
    read_http,
    read_reply,
    run_case,
    settings,
)

SEED = 1
ONE_WAY_S = 0.020  # between zones: cross_ms of irbid-prepaid.toml is 10 to 20
JITTER = 0.3  # of that; jitter of irbid-prepaid.toml is 0.12 to 0.31
SECOND_ANSWER_S = 0.006  # after the first
SECOND_ANSWER_SHARE = 0.1  # of the answers
SERVICE_S = 0.004
SERVERS, CLIENTS, WRITERS, KEYS = 4, 32, 12, 500  # of the clients the first ones write
PAUSE_S = 0.1  # mean, of a client between two requests
PLAY_S = 30.0
READ_DEADLINE_MS, WRITE_DEADLINE_MS = 1050, 2100  # a try is given up after 70 % of the class's deadline
TURNED_AWAY_SHARE = 0.1  # of the writes, with and without the disruption
TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
SETTLE_S = 1.0  # after the last answer, for what is still under way to a server
CLASSES = [
    {
        "name": "balance-read",
        "aimNs": 750 * MS,
        "giveUpNs": 1500 * MS,
        "semantics": "retryable",
        "group": "all",
        "dedupWindowNs": 5 * SECOND,
    },
    {
        "name": "top-up",
        "aimNs": 1200 * MS,
        "giveUpNs": 3000 * MS,
        "semantics": "dedup",
        "group": "all",
        "dedupWindowNs": 6 * SECOND,
    },
]


class Zone:
    """The other zone: its network, its second answers, and what its servers have run."""

    def __init__(self, record: Record, counts: Counter[str]) -> None:
        self.record, self.counts, self.rng = record, counts, random.Random(SEED)
        self.writes_run: set[str] = set()

    def one_way_s(self) -> float:
        return ONE_WAY_S * self.rng.uniform(1 - JITTER, 1 + JITTER)


class RemoteConnection:
    """A connection to a server in the other zone: its messages are under way for a while, in their order."""

    def __init__(self, zone: Zone, name: str, writer: asyncio.StreamWriter) -> None:
        self._zone, self._name, self._writer = zone, name, writer
        self._last_arrival, self._received = 0.0, 0

    async def request_arrived(self) -> None:
        """Wait until the request that was just read has arrived and is worked on."""
        await asyncio.sleep(self._zone.one_way_s() + SERVICE_S)
        self._received += 1

    def send(self, answer: bytes) -> None:
        loop, writer = asyncio.get_running_loop(), self._writer
        self._last_arrival = max(loop.time() + self._zone.one_way_s(), self._last_arrival)
        loop.call_at(self._last_arrival, lambda: None if writer.is_closing() else writer.write(answer))

    def send_good(self, answer: bytes, request_id: str) -> None:
        """Send a good answer; a share of them comes a second time."""
        self._zone.record.line(f"{self._name}: ran {request_id}, answers")
        self.send(answer)
        if TROUBLE and self._zone.rng.random() < SECOND_ANSWER_SHARE:
            loop = asyncio.get_running_loop()
            loop.call_later(SECOND_ANSWER_S, self._send_again, answer, self._received, request_id)

    def _send_again(self, answer: bytes, number: int, request_id: str) -> None:
        if self._received != number:
            return  # another request waits on the connection
        self._zone.counts["second answers"] += 1
        self._zone.record.line(f"{self._name}: second answer to {request_id}")
        self.send(answer)


class RemoteCacheServer(CacheServer):
    """Answers each read with the value made for it."""

    def __init__(self, zone: Zone, name: str) -> None:
        super().__init__(lambda words: None)
        self._zone, self._name = zone, name

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = RemoteConnection(self._zone, self._name, writer)
        while (words := await read_command(reader)) is not None:
            await connection.request_arrived()
            if words[0] == b"KV.GET":
                connection.send_good(hit(value(words[1], words[2])), words[2].decode())
            else:
                connection.send(b"+PONG\r\n")


class RemoteStore(Store):
    """Turns a share of the writes away, as its queue is full, and runs the others."""

    def __init__(self, zone: Zone) -> None:
        super().__init__(lambda *_: None)
        self._zone = zone

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = RemoteConnection(self._zone, "store", writer)
        while (request := await read_http(reader)) is not None:
            await connection.request_arrived()
            request_id = request[2]["request-id"]
            if self._zone.rng.random() < TURNED_AWAY_SHARE:
                self._zone.record.line(f"store: turns {request_id} away, it never ran")
                connection.send(TURNED_AWAY)
            else:
                self._zone.writes_run.add(request_id)
                connection.send_good(http_answer(receipt(request_id)), request_id)


def value(key: bytes, request_id: bytes) -> bytes:
    """The value that a cache server makes for one request."""
    return b"value of %b for %b" % (key, request_id)


def receipt(request_id: str) -> bytes:
    """The receipt that the store makes for one write."""
    return b"receipt for " + request_id.encode()


class Client:
    """Sends one request after another on a connection: all reads, or all writes."""

    def __init__(self, number: int, router: Router, zone: Zone) -> None:
        self._number, self._router, self._zone = number, router, zone
        self._rng = random.Random(f"{SEED} {number}")
        self._writes = number < WRITERS
        self.acknowledged: list[str] = []
        """The writes that were answered as served."""

    async def play(self, end: float) -> None:
        reader, writer = await asyncio.open_connection(HOST, self._router.port)
        sent = 0
        while time.monotonic() < end:
            sent += 1
            key, request_id = f"k{self._rng.randrange(KEYS)}", f"c{self._number}-{sent}"
            self._zone.record.line(f"client: sends {request_id} for {key}")
            try:
                if self._writes:
                    writer.write(put(key, request_id, "top-up", WRITE_DEADLINE_MS, b"5"))
                else:
                    writer.write(get(key, request_id, "balance-read", READ_DEADLINE_MS))
                self._check(key, request_id, await read_reply(reader))
            except (OSError, EOFError):  # closed between two requests: goes on with a new connection
                self._zone.counts["connections closed"] += 1
                reader, writer = await asyncio.open_connection(HOST, self._router.port)
            await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))
        writer.close()

    def _check(self, key: str, request_id: str, reply: bytes) -> None:
        sort, counts, record = ("writes" if self._writes else "reads"), self._zone.counts, self._zone.record
        if not reply.startswith(b"$"):
            counts[f"{sort} refused or failed"] += 1
            record.line(f"client: {request_id} got {reply.decode()}")
            return
        if self._writes:
            self.acknowledged.append(request_id)
        got = reply[reply.index(b"\r\n") + 2 : -2]
        made = receipt(request_id) if self._writes else value(key.encode(), request_id.encode())
        if got == made:
            counts[f"{sort} served"] += 1
            record.line(f"client: {request_id} is served")
        else:
            counts[f"{sort} served with a foreign answer"] += 1
            record.line(f"client: {request_id} for {key} is served with a foreign answer: {got.decode()!r}")


async def case(record: Record, folder: str) -> int:
    counts = Counter[str]()
    zone = Zone(record, counts)
    servers, store = [RemoteCacheServer(zone, f"s{number}") for number in range(SERVERS)], RemoteStore(zone)
    for listener in (*servers, store):
        await listener.start()
    instances = [instance(f"s{number}", server.port) for number, server in enumerate(servers)]
    discovery = Discovery([*instances, instance("store", store.port, "origin")])
    await discovery.start()
    known = {"generation": 1, "reset": True, "instances": discovery.instances}
    config: dict[str, Any] = {
        "discovery": f"{HOST}:{discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings(CLASSES),
    }
    router = Router(record, folder, config)
    try:
        await router.ready()
        end = time.monotonic() + PLAY_S
        clients = [Client(number, router, zone) for number in range(CLIENTS)]
        await asyncio.gather(*(client.play(end) for client in clients))
        await asyncio.sleep(SETTLE_S)
        if router.process.poll() is not None:
            record.line("the router has ended")
            return BROKEN
    finally:
        router.close()
        for listener in (*servers, store, discovery):
            listener.close()
    never_run = [name for client in clients for name in client.acknowledged if name not in zone.writes_run]
    record.line(f"writes that were acknowledged and never ran: {len(never_run)} {' '.join(never_run)}")
    record.line(", ".join(f"{name}: {count}" for name, count in sorted(counts.items())))
    if not (counts["reads served"] and counts["writes served"]) or (TROUBLE and not counts["second answers"]):
        raise CaseError("nothing was served, or no second answer was sent")
    foreign = counts["reads served with a foreign answer"] + counts["writes served with a foreign answer"]
    return BROKEN if foreign or never_run else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
