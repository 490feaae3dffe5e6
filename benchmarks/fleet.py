"""Measures CPU and memory of a router with and without `[fleet]`, in alternating batches.

    .venv/bin/python benchmarks/fleet.py [--pairs 60] [--requests 2000] [--voters 7]

Both routers run as deployed, against nodes that answer at once (stand.py). The other voters run beside them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
from pathlib import Path

import stand
from figures import WARM_UP_REQUESTS, batch
from stand import ROOT, Case, Process, Site, settings

from pebblepass.consensus.commands import NoAnswerError, request
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.emulators.ports import take_port

CASE = Case("hits")
NAME = "r0"  # the name that stand.py gives its routers


def fleet_config(folder: Path, name: str, members: dict[str, str]) -> str:
    """The operator configuration of one router."""
    disk = folder / f"disk-{name}"
    disk.mkdir()
    lines = [
        "[fleet]",
        'id = "bench"',
        f"voters = {json.dumps(list(members))}",
        f"directory = {json.dumps(str(disk))}",
    ]
    return "\n".join([*lines, "[fleet.members]", *(f"{n} = {json.dumps(a)}" for n, a in members.items())])


def start_voter(folder: Path, name: str, members: dict[str, str], ops: int) -> subprocess.Popen[bytes]:
    """Start another voter, which has no clients."""
    config_content = {
        "name": name,
        "listen": f"127.0.0.1:{take_port()}",
        "discovery": f"127.0.0.1:{take_port()}",
        "ops": f"127.0.0.1:{ops}",
        "settings": settings(CASE.namespaces),
    }
    config, operator = folder / f"{name}.json", folder / f"{name}.toml"
    config.write_text(json.dumps(config_content))
    operator.write_text(fleet_config(folder, name, members))
    environ = {**os.environ, "LB_CONFIG": str(config), "PEBBLEPASS_OPERATOR": str(operator)}
    with (folder / f"{name}.log").open("wb") as log:
        command = [sys.executable, "-m", "pebblepass.daemon"]
        return subprocess.Popen(command, cwd=ROOT, env=environ, stderr=log)


async def measure(site: Site, pairs: int, requests: int, voters: int) -> None:
    """Send batches in turn to two routers that differ only in their fleet section."""
    names = [NAME, *(f"r{number}" for number in range(1, voters))]
    members = {name: f"127.0.0.1:{take_port()}" for name in names}
    ops = {name: take_port() for name in names[1:]}
    off = await site.router(CASE)
    on = await site.router(CASE, fleet_config(site.folder, NAME, members))
    others = [start_voter(site.folder, name, members, ops[name]) for name in names[1:]]
    try:
        while not all(in_force(port) for port in ops.values()):
            await asyncio.sleep(0.1)
        for router in (off, on):
            await batch(router, WARM_UP_REQUESTS)
        ratios, cpu = [], {off: 0.0, on: 0.0}
        for number in range(pairs):
            cpu_s: dict[Process, float] = {}
            for router in (off, on) if number % 2 == 0 else (on, off):
                cpu_s[router], _ = await batch(router, requests)
                cpu[router] += cpu_s[router]
            ratios.append(cpu_s[on] / cpu_s[off])
        low, median, high = statistics.quantiles(ratios, n=4)
        for name, router in (("off", off), ("on", on)):
            used = cpu[router] / (pairs * requests) * 1e6
            print(f"fleet {name}: {used:.1f} us of CPU a request, {router.memory_mb():.1f} MB")
        print(
            f"on/off over {pairs} pairs of {requests}, {voters} voters: of the sums "
            f"{cpu[on] / cpu[off]:.3f}, median {median:.3f}, half of the pairs from {low:.3f} to {high:.3f}"
        )
        print(f"in force at the end: {all(in_force(port) for port in ops.values())}")
    finally:
        for process in others:
            process.kill()
            process.wait()
        for router in (off, on):
            router.end()


def in_force(ops: int) -> bool:
    """Whether a voter holds its lease."""
    try:
        return bool(request(f"127.0.0.1:{ops}", "GET", "status").content["in_force"])
    except NoAnswerError:
        return False


def main() -> None:
    """Start the nodes, and measure."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--pairs", type=int, default=60)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--voters", type=int, default=7)
    options = parser.parse_args()
    with stand.site() as site, asyncio.Runner(loop_factory=DaemonLoop) as runner:
        runner.run(measure(site, options.pairs, options.requests, options.voters))


if __name__ == "__main__":
    main()
