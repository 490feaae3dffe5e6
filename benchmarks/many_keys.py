"""What a key of a long list costs the router, beside single reads in the same run.

    .venv/bin/python benchmarks/many_keys.py [--keys 20000] [--json FILE]

One router as deployed with [many_keys], pinned to one core; nodes that answer at once, in another process;
clients in this one. Three questions: CPU a key for lists of 10, 100 and 1,000 keys against single reads,
asked in turn; the time of one client's list of 100 keys over 38 nodes against its 100 pipelined single
reads, in turn; and the time of single reads beside a flood of long lists, against the same without one.
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
FLOOD_KEYS = 2000  # a second, over all of them
FLOOD = 4  # clients that ask for 1,000 keys one list after another


class Asker:
    """One client that waits for each answer."""

    numbers = 0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._replies = hiredis.Reader()

    @classmethod
    async def of(cls, process: Process) -> Asker:
        """Connect."""
        return cls(*await asyncio.open_connection("127.0.0.1", process.port))

    def close(self) -> None:
        """End."""
        self._writer.close()

    @classmethod
    def _name(cls) -> bytes:
        cls.numbers += 1
        return b"m%015x" % cls.numbers

    async def _answer(self) -> Any:
        while (answer := self._replies.gets()) is False:
            self._replies.feed(await self._reader.read(1 << 18))
        return answer

    async def many(self, count: int, value: int = 1000) -> int:
        """Ask for so many keys in one command; returns how many were served."""
        keys = [
            b"k%d/%d" % ((self.numbers * count + number) % KEYS, value) for number in range(min(count, KEYS))
        ]
        keys += [b"k%d/%d" % (KEYS + number, value) for number in range(count - len(keys))]
        self._writer.write(
            command(b"KV.MGET", b"%d" % count, *keys, self._name(), b"c=fetch,t=public,d=3000")
        )
        return sum(isinstance(entry, bytes) for entry in await self._answer())

    async def pipelined(self, count: int, value: int = 1000) -> int:
        """Ask for so many keys in single reads, written at once."""
        self._writer.write(
            b"".join(
                command(b"KV.GET", b"k%d/%d" % (n % KEYS, value), self._name(), b"c=fetch,t=public,d=3000")
                for n in range(count)
            )
        )
        return sum([isinstance(await self._answer(), bytes) for _ in range(count)])


async def lists(process: Process, count: int, keys: int, clients: int = 4) -> tuple[float, float]:
    """Ask lists of `count` keys until `keys` were asked; CPU microseconds a key, and the share served."""
    askers = [await Asker.of(process) for _ in range(clients)]
    rounds, served = max(keys // count // clients, 1), 0

    async def ask(asker: Asker) -> int:
        return sum([await asker.many(count) for _ in range(rounds)])

    cpu = process.cpu()
    served = sum(await asyncio.gather(*map(ask, askers)))
    cpu = process.cpu() - cpu
    for asker in askers:
        asker.close()
    asked = rounds * clients * count
    return cpu / asked * 1e6, served / asked


async def singles(process: Process, case: Case, requests: int) -> tuple[float, list[float]]:
    """Ask single reads; CPU microseconds each, and their times."""
    load, cpu = Load(case, requests), process.cpu()
    await load.run(process.port)
    return (process.cpu() - cpu) / requests * 1e6, sorted(load.times)


async def cost(site: Site, keys: int, more: str) -> dict[str, Any]:
    """CPU a key against single reads, by turns on one router; medians of the pairs' ratios."""
    found: dict[str, Any] = {}
    for nodes in NODES:
        for name, operator in OPERATORS.items():
            router = await site.router(Case("lists", nodes=nodes), operator + more)
            try:
                await singles(router, Case("warm", nodes=nodes), 1500)
                await lists(router, 100, 2000)
                for count in COUNTS:
                    found[f"{nodes} nodes, {name}, {count} keys"] = await pairs(router, nodes, count, keys)
            finally:
                router.end()
    return found


async def pairs(router: Process, nodes: int, count: int, keys: int) -> dict[str, Any]:
    """Single reads and lists of `count` keys in turn."""
    ratios, each, served = [], [], 1.0
    for _ in range(PAIRS):
        one, _ = await singles(router, Case("single", nodes=nodes, connections=16), keys // 4)
        many, part = await lists(router, count, keys // 2)
        ratios.append(many / one)
        each.append((one, many))
        served = min(served, part)
    return {
        "ratio": statistics.median(ratios),
        "from": min(ratios),
        "to": max(ratios),
        "single_us": statistics.median(one for one, _ in each),
        "key_us": statistics.median(many for _, many in each),
        "served": served,
        "peak_mb": router.memory_mb("VmHWM"),
    }


async def wall(site: Site, more: str) -> dict[str, Any]:
    """The time of one list of 100 keys against 100 pipelined reads of the same client, by turns."""
    router = await site.router(Case("wall", nodes=38), OPERATORS["single reads to nodes"] + more)
    try:
        asker = await Asker.of(router)
        await asker.many(100)
        await asker.pipelined(100)
        times: dict[str, list[float]] = {"list": [], "pipelined": []}
        for _ in range(60):
            for name, ask in (("list", asker.many), ("pipelined", asker.pipelined)):
                begun = time.perf_counter()
                assert await ask(100) == 100
                times[name].append(time.perf_counter() - begun)
        asker.close()
    finally:
        router.end()
    told = {f"{name}_ms": statistics.median(taken) * 1e3 for name, taken in times.items()}
    return {**told, "ratio": told["list_ms"] / told["pipelined_ms"]}


def flood(port: int, pipe: Connection) -> None:
    """A process of its own that asks long lists until it is told to stop, and tells (asked, served)."""

    async def main() -> None:
        loop, over, asked, served = asyncio.get_running_loop(), asyncio.Event(), 0, 0

        async def ask() -> None:
            nonlocal asked, served
            asker = Asker(*await asyncio.open_connection("127.0.0.1", port))
            while not over.is_set():
                begun = time.perf_counter()
                found = await asker.many(1000)
                asked, served = asked + 1000, served + found
                await asyncio.sleep(max(FLOOD * 1000 / FLOOD_KEYS - (time.perf_counter() - begun), 0))

        loop.add_reader(pipe.fileno(), over.set)
        Asker.numbers = port << 24  # ids of its own
        await asyncio.gather(*(ask() for _ in range(FLOOD)))
        pipe.send((asked, served))

    uvloop.run(main())


async def beside(site: Site, operator: str) -> dict[str, Any]:
    """Single reads' times with and without a flood of long lists, by turns."""
    router = await site.router(Case("flood", nodes=38), operator)
    rows: dict[str, list[float]] = {"alone": [], "flooded": []}
    served = asked = 0
    spawn = multiprocessing.get_context("spawn")

    async def paced(count: int, a_second: float) -> list[float]:
        """Single reads at a rate, on a few connections, whatever becomes of the ones before."""
        askers = [await Asker.of(router) for _ in range(8)]
        times: list[float] = []

        async def one(asker: Asker) -> None:
            for _ in range(count // len(askers)):
                begun = time.perf_counter()
                await asker.pipelined(1)
                times.append(time.perf_counter() - begun)
                await asyncio.sleep(max(len(askers) / a_second - (time.perf_counter() - begun), 0))

        await asyncio.gather(*map(one, askers))
        for asker in askers:
            asker.close()
        return times

    try:
        await paced(400, 400)
        for _ in range(PAIRS):
            rows["alone"] += await paced(800, 400)
            here, there = multiprocessing.Pipe()
            process = spawn.Process(target=flood, args=(router.port, there), daemon=True)
            process.start()
            await asyncio.sleep(1.5)  # it starts, and its lists are spread over the time
            rows["flooded"] += await paced(800, 400)
            here.send("end")
            told_asked, told_served = await asyncio.to_thread(here.recv)
            asked, served = asked + told_asked, served + told_served
            await asyncio.to_thread(process.join)
    finally:
        router.end()
    told: dict[str, Any] = {"flood_served": served / max(asked, 1), "flood_keys": asked}
    for name, times in rows.items():
        times.sort()
        for share in (50, 99):
            told[f"{name}_p{share}_ms"] = times[int(len(times) * share / 100)] * 1e3
    told["ratio_p99"] = told["flooded_p99_ms"] / told["alone_p99_ms"]
    return told


async def measure(site: Site, keys: int, more: str, only: str) -> dict[str, Any]:
    """Run everything, or one question; `more` goes into [many_keys]."""
    found: dict[str, Any] = {}
    if only in ("", "cost"):
        found["cost"] = await cost(site, keys, more)
    if only in ("", "wall"):
        found["wall"] = await wall(site, more)
    if only in ("", "beside"):
        found["beside"] = await beside(site, OPERATORS["single reads to nodes"] + more)
    return found


def main() -> None:
    """Measure, and print."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--only", default="", choices=("", "cost", "wall", "beside"))
    parser.add_argument("--more", default="", help="further lines of [many_keys]")
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    with stand.site() as site:
        found = uvloop.run(measure(site, told.keys, told.more + "\n", told.only))
    for name, row in found.get("cost", {}).items():
        shown = "  ".join(f"{key} {value:.3g}" for key, value in row.items())
        print(f"{name:>36}  {shown}")
    for part in ("wall", "beside"):
        if part not in found:
            continue
        print(f"{part:>36}  " + "  ".join(f"{key} {value:.3g}" for key, value in found[part].items()))
    if told.json:
        told.json.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
