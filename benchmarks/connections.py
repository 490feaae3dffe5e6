"""Counts the connections that one router's pool holds and opens to many cache servers, on a virtual clock.

    .venv/bin/python benchmarks/connections.py [--servers 120] [--pair 7.62] [--seconds 30] [--json FILE]

It runs the daemon's pool and connections over loopback sockets. The servers run in this process and answer
after a random time. The counts are of one router; a fleet multiplies them by its number of routers.
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
SETTLED_S = 12  # by then, surplus connections from the start have been closed as idle


class Loop(VirtualLoop):
    """A virtual-time loop that delays each connection by the time of a handshake."""

    dial_s = 0.0

    async def create_connection(self, *words: Any, **named: Any) -> Any:
        """Connect after the delay."""
        await asyncio.sleep(self.dial_s)
        return await super().create_connection(*words, **named)


class Peer(asyncio.Protocol):
    """The server side of one connection."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet, self._number = fleet, number
        self._reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self._fleet.connections[self._number].add(self)
        self._fleet.dials[int(self._fleet.loop.time() - self._fleet.start)] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the count."""
        self._fleet.connections[self._number].discard(self)

    def data_received(self, data: bytes) -> None:
        """Answer each request after a random time."""
        self._reader.feed(data)
        while self._reader.gets() is not False:
            self._fleet.loop.call_later(
                self._fleet.rng.expovariate(1 / self._fleet.mean_response_s), self._answer
            )

    def _answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(ANSWER)


class Fleet:
    """The servers and the connections to them."""

    def __init__(self, loop: Loop, servers: int, mean_response_s: float) -> None:
        self.loop, self.mean_response_s, self.rng = loop, mean_response_s, random.Random(3)
        self.connections: list[set[Peer]] = [set() for _ in range(servers)]
        self.dials: Counter[int] = Counter()
        self.start = loop.time()

    def reset(self, servers: int) -> None:
        """Reset all connections of this many servers."""
        for connections in self.connections[:servers]:
            for peer in list(connections):
                peer.transport.abort()


class Read(Exchange):
    """One read."""

    ends: Counter[str]

    def request_bytes(self, address: Address) -> bytes:
        """The encoded command."""
        return command(b"KV.GET", b"k", b"0", b"c=read,d=1000")

    def handle_outcome(self, outcome: Outcome, answer: Answer) -> None:
        """Count the outcome."""
        self.ends[outcome.value] += 1


async def play(
    loop: Loop, servers: int, pair: float, mean_response_s: float, limit: int, seconds: int
) -> dict[str, Any]:
    """Send reads from a cold start; then all servers, and later an eighth, reset their connections."""
    fleet = Fleet(loop, servers, mean_response_s)
    pool = Pool(loop, limit, dial_timeout=1.0, idle_close=10.0)
    ends = Read.ends = Counter()
    listening = []
    for number in range(servers):
        listener = await loop.create_server(lambda number=number: Peer(fleet, number), "127.0.0.1", 0)
        listening.append(listener)
        pool.list_server(str(number), listener.sockets[0].getsockname(), CacheConnection)
    fleet.start = loop.time()
    rng, now, rate = random.Random(1), loop.time(), pair * servers
    connection_counts: list[int] = []
    resets = {fleet.start + seconds: servers, fleet.start + seconds + SETTLED_S: max(servers // 8, 1)}
    end = fleet.start + seconds + 2 * SETTLED_S
    last_sample = 0.0
    while now < end:
        now += rng.expovariate(rate)
        for reset_time in [reset_time for reset_time in resets if reset_time <= now]:
            await asyncio.sleep(max(reset_time - loop.time(), 0))
            fleet.reset(resets.pop(reset_time))
        await asyncio.sleep(max(now - loop.time(), 0))
        pool.submit(str(rng.randrange(servers)), Read())
        if SETTLED_S <= loop.time() - fleet.start < seconds and loop.time() - last_sample >= 0.5:
            last_sample = loop.time()
            connection_counts += [len(connections) for connections in fleet.connections]
    pool.close()
    for listener in listening:
        listener.close()
    steady = [fleet.dials[second] for second in range(SETTLED_S, seconds - 1)]
    return {
        "servers": servers,
        "pair_a_second": pair,
        "took_ms": mean_response_s * 1000,
        "limit": limit,
        "held_of_a_server": statistics.mean(connection_counts),
        "held_most": max(connection_counts),
        "dials_a_second": statistics.mean(steady),
        "dials_first_second": fleet.dials[0],
        "dials_after_all_broke": fleet.dials[seconds] + fleet.dials[seconds + 1],
        "dials_after_an_eighth_broke": fleet.dials[seconds + SETTLED_S]
        + fleet.dials[seconds + SETTLED_S + 1],
        "ends": dict(ends),
    }


def main() -> None:
    """Play all combinations, and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--servers", type=int, nargs="+", default=[120])
    parser.add_argument(
        "--pair", type=float, nargs="+", default=[7.62], help="requests per second to each server"
    )
    parser.add_argument("--took-ms", type=float, nargs="+", default=[5.0, 50.0], help="mean response time")
    parser.add_argument("--dial-ms", type=float, default=5.0)
    parser.add_argument(
        "--sockets", type=int, nargs="+", default=[1024, 4096], help="descriptor limit of the router"
    )
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    rows = []
    Loop.dial_s = options.dial_ms / 1000
    for servers in options.servers:
        for pair in options.pair:
            for response_ms in options.took_ms:
                for sockets in options.sockets:
                    descriptors = sockets - OWN_DESCRIPTORS
                    limit = descriptors - int(descriptors * CLIENT_SHARE)
                    with asyncio.Runner(loop_factory=Loop) as runner:
                        loop = cast(Loop, runner.get_loop())
                        row = runner.run(
                            play(loop, servers, pair, response_ms / 1000, limit, options.seconds)
                        )
                    rows.append(row)
                    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
