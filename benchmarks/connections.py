"""Connections that one router holds and opens before many cache servers: its pool on a virtual clock.

    .venv/bin/python benchmarks/connections.py [--servers 120] [--pair 7.62] [--seconds 30] [--json FILE]

The daemon's own pool and connections over loopback sockets; the servers are in this process and answer after
a drawn time. Counted over one router; what a server holds of a fleet is that, times its routers.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
from collections import Counter
from pathlib import Path
from typing import Any, cast

import hiredis

from pebblepass.daemon.caches import CacheConnection
from pebblepass.daemon.connection_pool import Pool
from pebblepass.daemon.daemon import CLIENT_SHARE, OWN_DESCRIPTORS
from pebblepass.daemon.exchange import Answer, Exchange
from pebblepass.decisions import Outcome
from pebblepass.simulation.clock import VirtualLoop
from pebblepass.wire.address import Address
from pebblepass.wire.resp import command

ANSWER = b"*3\r\n$2\r\nok\r\n$3\r\nhit\r\n$-1\r\n"
SETTLED_S = 12  # by then connections of the start that are not needed have been closed as idle


class Loop(VirtualLoop):
    """A virtual loop on which a connection takes as long as a handshake does."""

    dial_s = 0.0

    async def create_connection(self, *words: Any, **named: Any) -> Any:
        """Connect, later."""
        await asyncio.sleep(self.dial_s)
        return await super().create_connection(*words, **named)


class Peer(asyncio.Protocol):
    """A server's end of one connection."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet, self._number = fleet, number
        self._reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count it."""
        self.transport = cast(asyncio.Transport, transport)
        self._fleet.held[self._number].add(self)
        self._fleet.dials[int(self._fleet.loop.time() - self._fleet.began)] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Count it no longer."""
        self._fleet.held[self._number].discard(self)

    def data_received(self, data: bytes) -> None:
        """Answer after a drawn time."""
        self._reader.feed(data)
        while self._reader.gets() is not False:
            self._fleet.loop.call_later(self._fleet.rng.expovariate(1 / self._fleet.took_s), self._answer)

    def _answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(ANSWER)


class Fleet:
    """The servers, and who is connected to them."""

    def __init__(self, loop: Loop, servers: int, took_s: float) -> None:
        self.loop, self.took_s, self.rng = loop, took_s, random.Random(3)
        self.held: list[set[Peer]] = [set() for _ in range(servers)]
        self.dials: Counter[int] = Counter()
        self.began = loop.time()

    def reset(self, servers: int) -> None:
        """So many servers break all that they hold."""
        for held in self.held[:servers]:
            for peer in list(held):
                peer.transport.abort()


class Ask(Exchange):
    """One read."""

    ends: Counter[str]

    def request_bytes(self, address: Address) -> bytes:
        """Write it down."""
        return command(b"KV.GET", b"k", b"0", b"c=read,d=1000")

    def ended(self, outcome: Outcome, answer: Answer) -> None:
        """Count its end."""
        self.ends[outcome.value] += 1


async def play(
    loop: Loop, servers: int, pair: float, took_s: float, limit: int, seconds: int
) -> dict[str, Any]:
    """Ask for so long from a start; then all servers, and then an eighth of them, break what they hold."""
    fleet = Fleet(loop, servers, took_s)
    pool = Pool(loop, limit, dial_timeout=1.0, idle_close=10.0)
    ends = Ask.ends = Counter()
    listening = []
    for number in range(servers):
        listener = await loop.create_server(lambda number=number: Peer(fleet, number), "127.0.0.1", 0)
        listening.append(listener)
        pool.list_server(str(number), listener.sockets[0].getsockname(), CacheConnection)
    fleet.began = loop.time()
    rng, now, rate = random.Random(1), loop.time(), pair * servers
    held: list[int] = []
    broken = {fleet.began + seconds: servers, fleet.began + seconds + SETTLED_S: max(servers // 8, 1)}
    over = fleet.began + seconds + 2 * SETTLED_S
    sampled = 0.0
    while now < over:
        now += rng.expovariate(rate)
        for at in [at for at in broken if at <= now]:
            await asyncio.sleep(max(at - loop.time(), 0))
            fleet.reset(broken.pop(at))
        await asyncio.sleep(max(now - loop.time(), 0))
        pool.submit(str(rng.randrange(servers)), Ask())
        if SETTLED_S <= loop.time() - fleet.began < seconds and loop.time() - sampled >= 0.5:
            sampled = loop.time()
            held += [len(each) for each in fleet.held]
    pool.close()
    for listener in listening:
        listener.close()
    steady = [fleet.dials[second] for second in range(SETTLED_S, seconds - 1)]
    return {
        "servers": servers,
        "pair_a_second": pair,
        "took_ms": took_s * 1000,
        "limit": limit,
        "held_of_a_server": statistics.mean(held),
        "held_most": max(held),
        "dials_a_second": statistics.mean(steady),
        "dials_first_second": fleet.dials[0],
        "dials_after_all_broke": fleet.dials[seconds] + fleet.dials[seconds + 1],
        "dials_after_an_eighth_broke": fleet.dials[seconds + SETTLED_S]
        + fleet.dials[seconds + SETTLED_S + 1],
        "ends": dict(ends),
    }


def main() -> None:
    """Measure, and print the rows."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--servers", type=int, nargs="+", default=[120])
    parser.add_argument(
        "--pair", type=float, nargs="+", default=[7.62], help="requests a second for a server"
    )
    parser.add_argument(
        "--took-ms", type=float, nargs="+", default=[5.0, 50.0], help="mean time of an answer"
    )
    parser.add_argument("--dial-ms", type=float, default=5.0)
    parser.add_argument(
        "--sockets", type=int, nargs="+", default=[1024, 4096], help="descriptors of the router"
    )
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    rows = []
    Loop.dial_s = told.dial_ms / 1000
    for servers in told.servers:
        for pair in told.pair:
            for took in told.took_ms:
                for sockets in told.sockets:
                    descriptors = sockets - OWN_DESCRIPTORS
                    limit = descriptors - int(descriptors * CLIENT_SHARE)
                    with asyncio.Runner(loop_factory=Loop) as runner:
                        loop = cast(Loop, runner.get_loop())
                        row = runner.run(play(loop, servers, pair, took / 1000, limit, told.seconds))
                    rows.append(row)
                    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
    if told.json:
        told.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
