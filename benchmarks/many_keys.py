"""Compares the router's cost per key of multi-key commands and of single reads, in the same run.

    .venv/bin/python benchmarks/many_keys.py [--keys 20000] [--json FILE]

One router runs as deployed with [many_keys], pinned to one core. The nodes answer at once in another process,
and the clients run in this one. There are three measurements, in which the compared loads take turns:

`cost`: the CPU per key for lists of 10, 100 and 1,000 keys, against single reads.
`wall`: one client's response time for a list of 100 keys over 38 nodes, against 100 pipelined single reads.
`beside`: the response times of single reads during a flood of long lists, against those without one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import statistics
import time
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import hiredis
import stand
import uvloop
from stand import KEYS, Case, Load, Process, Site

from pebblepass.wire.resp import command

NODES = (12, 38)
OPERATORS = {
    "single reads to nodes": "[many_keys]\n",
    "lists to nodes": '[many_keys]\nnode_kinds = ["std"]\n',
}
PAIRS = 7
COUNTS = (10, 100, 1000)
FLOOD_KEYS_PER_S = 2000  # by all flooding clients together
FLOOD_CLIENTS = 4  # each sends lists of 1,000 keys one after another


class ListClient:
    """A client that waits for each answer."""

    numbers = 0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._replies = hiredis.Reader()

    @classmethod
    async def connect(cls, process: Process) -> ListClient:
        """Connect to a process."""
        return cls(*await asyncio.open_connection("127.0.0.1", process.port))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    @classmethod
    def _name(cls) -> bytes:
        cls.numbers += 1
        return b"m%015x" % cls.numbers

    async def _answer(self) -> Any:
        while (answer := self._replies.gets()) is False:
            self._replies.feed(await self._reader.read(1 << 18))
        return answer

    async def read_list(self, count: int, value: int = 1000) -> int:
        """Request several keys in one command; returns how many were served."""
        keys = [
            b"k%d/%d" % ((self.numbers * count + number) % KEYS, value) for number in range(min(count, KEYS))
        ]
        keys += [b"k%d/%d" % (KEYS + number, value) for number in range(count - len(keys))]
        self._writer.write(
            command(b"KV.MGET", b"%d" % count, *keys, self._name(), b"c=fetch,t=public,d=3000")
        )
        return sum(isinstance(entry, bytes) for entry in await self._answer())

    async def read_pipelined(self, count: int, value: int = 1000) -> int:
        """Request several keys in single reads, written at once; returns how many were served."""
        self._writer.write(
            b"".join(
                command(b"KV.GET", b"k%d/%d" % (n % KEYS, value), self._name(), b"c=fetch,t=public,d=3000")
                for n in range(count)
            )
        )
        return sum([isinstance(await self._answer(), bytes) for _ in range(count)])


async def lists(process: Process, count: int, keys: int, clients: int = 4) -> tuple[float, float]:
    """Send lists of `count` keys, `keys` in all; returns CPU microseconds per key, and served fraction."""
    connected_clients = [await ListClient.connect(process) for _ in range(clients)]
    rounds, served = max(keys // count // clients, 1), 0

    async def send_lists(client: ListClient) -> int:
        return sum([await client.read_list(count) for _ in range(rounds)])

    cpu = process.cpu()
    served = sum(await asyncio.gather(*map(send_lists, connected_clients)))
    cpu = process.cpu() - cpu
    for client in connected_clients:
        client.close()
    requested = rounds * clients * count
    return cpu / requested * 1e6, served / requested


async def singles(process: Process, case: Case, requests: int) -> tuple[float, list[float]]:
    """Send single reads; returns CPU microseconds per read, and the sorted response times."""
    load, cpu = Load(case, requests), process.cpu()
    await load.run(process.port)
    return (process.cpu() - cpu) / requests * 1e6, sorted(load.times)


async def cost(site: Site, keys: int, more: str) -> dict[str, Any]:
    """CPU per key against single reads, in turn on one router; medians of the pairs' ratios."""
    results: dict[str, Any] = {}
    for nodes in NODES:
        for name, operator in OPERATORS.items():
            router = await site.router(Case("lists", nodes=nodes), operator + more)
            try:
                await singles(router, Case("warm", nodes=nodes), 1500)
                await lists(router, 100, 2000)
                for count in COUNTS:
                    results[f"{nodes} nodes, {name}, {count} keys"] = await pairs(router, nodes, count, keys)
            finally:
                router.end()
    return results


async def pairs(router: Process, nodes: int, count: int, keys: int) -> dict[str, Any]:
    """Measure single reads and lists of `count` keys in turn."""
    ratios, cpu_pairs, served = [], [], 1.0
    for _ in range(PAIRS):
        single_us, _ = await singles(router, Case("single", nodes=nodes, connections=16), keys // 4)
        list_us, part = await lists(router, count, keys // 2)
        ratios.append(list_us / single_us)
        cpu_pairs.append((single_us, list_us))
        served = min(served, part)
    return {
        "ratio": statistics.median(ratios),
        "from": min(ratios),
        "to": max(ratios),
        "single_us": statistics.median(single_us for single_us, _ in cpu_pairs),
        "key_us": statistics.median(list_us for _, list_us in cpu_pairs),
        "served": served,
        "peak_mb": router.memory_mb("VmHWM"),
    }


async def wall(site: Site, more: str) -> dict[str, Any]:
    """Response times of a list of 100 keys and of 100 pipelined reads of the same client, in turn."""
    router = await site.router(Case("wall", nodes=38), OPERATORS["single reads to nodes"] + more)
    try:
        client = await ListClient.connect(router)
        await client.read_list(100)
        await client.read_pipelined(100)
        times: dict[str, list[float]] = {"list": [], "pipelined": []}
        for _ in range(60):
            for name, read in (("list", client.read_list), ("pipelined", client.read_pipelined)):
                start = time.perf_counter()
                assert await read(100) == 100
                times[name].append(time.perf_counter() - start)
        client.close()
    finally:
        router.end()
    row = {f"{name}_ms": statistics.median(durations) * 1e3 for name, durations in times.items()}
    return {**row, "ratio": row["list_ms"] / row["pipelined_ms"]}


def flood(port: int, pipe: Connection) -> None:
    """Send long lists from a separate process until a message arrives; sends back (requested, served)."""

    async def main() -> None:
        loop, stop, requested, served = asyncio.get_running_loop(), asyncio.Event(), 0, 0

        async def send_lists() -> None:
            nonlocal requested, served
            client = ListClient(*await asyncio.open_connection("127.0.0.1", port))
            while not stop.is_set():
                start = time.perf_counter()
                served_keys = await client.read_list(1000)
                requested, served = requested + 1000, served + served_keys
                await asyncio.sleep(
                    max(FLOOD_CLIENTS * 1000 / FLOOD_KEYS_PER_S - (time.perf_counter() - start), 0)
                )

        loop.add_reader(pipe.fileno(), stop.set)
        ListClient.numbers = port << 24  # request ids that differ from the other clients'
        await asyncio.gather(*(send_lists() for _ in range(FLOOD_CLIENTS)))
        pipe.send((requested, served))

    uvloop.run(main())


async def beside(site: Site, operator: str) -> dict[str, Any]:
    """Response times of single reads with and without a flood of long lists, in turn."""
    router = await site.router(Case("flood", nodes=38), operator)
    rows: dict[str, list[float]] = {"alone": [], "flooded": []}
    served = requested = 0
    spawn = multiprocessing.get_context("spawn")

    async def paced(count: int, a_second: float) -> list[float]:
        """Send single reads at a fixed rate over eight connections."""
        connected_clients = [await ListClient.connect(router) for _ in range(8)]
        times: list[float] = []

        async def send_reads(client: ListClient) -> None:
            for _ in range(count // len(connected_clients)):
                start = time.perf_counter()
                await client.read_pipelined(1)
                times.append(time.perf_counter() - start)
                await asyncio.sleep(max(len(connected_clients) / a_second - (time.perf_counter() - start), 0))

        await asyncio.gather(*map(send_reads, connected_clients))
        for client in connected_clients:
            client.close()
        return times

    try:
        await paced(400, 400)
        for _ in range(PAIRS):
            rows["alone"] += await paced(800, 400)
            here, there = multiprocessing.Pipe()
            process = spawn.Process(target=flood, args=(router.port, there), daemon=True)
            process.start()
            await asyncio.sleep(1.5)  # time to start, and for its lists to spread over the interval
            rows["flooded"] += await paced(800, 400)
            here.send("end")
            flood_requested, flood_served = await asyncio.to_thread(here.recv)
            requested, served = requested + flood_requested, served + flood_served
            await asyncio.to_thread(process.join)
    finally:
        router.end()
    row: dict[str, Any] = {"flood_served": served / max(requested, 1), "flood_keys": requested}
    for name, times in rows.items():
        times.sort()
        for share in (50, 99):
            row[f"{name}_p{share}_ms"] = times[int(len(times) * share / 100)] * 1e3
    row["ratio_p99"] = row["flooded_p99_ms"] / row["alone_p99_ms"]
    return row


async def measure(site: Site, keys: int, more: str, only: str) -> dict[str, Any]:
    """Run all measurements, or one; `more` is added to [many_keys]."""
    results: dict[str, Any] = {}
    if only in ("", "cost"):
        results["cost"] = await cost(site, keys, more)
    if only in ("", "wall"):
        results["wall"] = await wall(site, more)
    if only in ("", "beside"):
        results["beside"] = await beside(site, OPERATORS["single reads to nodes"] + more)
    return results


def main() -> None:
    """Measure, and print a row per result."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--only", default="", choices=("", "cost", "wall", "beside"))
    parser.add_argument("--more", default="", help="further lines of [many_keys]")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    with stand.site() as site:
        results = uvloop.run(measure(site, options.keys, options.more + "\n", options.only))
    for name, row in results.get("cost", {}).items():
        shown = "  ".join(f"{key} {value:.3g}" for key, value in row.items())
        print(f"{name:>36}  {shown}")
    for part in ("wall", "beside"):
        if part not in results:
            continue
        print(f"{part:>36}  " + "  ".join(f"{key} {value:.3g}" for key, value in results[part].items()))
    if options.json:
        options.json.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
