"""How fast a rehearsal runs, where its time goes, and whether it is the same each time.

    .venv/bin/python benchmarks/rehearsal.py            # today's scale, digests, real against virtual time
    .venv/bin/python benchmarks/rehearsal.py --grown    # also 130 nodes, 28 routers, 1,300 requests a second

Prints a table, and JSON with --json FILE. Each playing is a process of its own, so that memory is its own.
"""

from __future__ import annotations

import argparse
import cProfile
import hashlib
import json
import os
import pstats
import resource
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from pebblepass.simulation.plan import make_plan
from pebblepass.simulation.runner import rehearse
from pebblepass.simulation.scenario import load_scenario

ROOT = Path(__file__).resolve().parent.parent
ROOMS = ("decisions", "daemon", "discovery", "wire", "emulators", "simulation")


def play(name: str, seed: int, routers: int, nodes: int, rate: float, length: float) -> dict[str, Any]:
    """Play once; returns wall time a virtual second, memory and the digest of the report."""
    scenario = load_scenario(name).scaled(routers or None, nodes or None, rate or None)
    if length:
        scenario = msgspec.structs.replace(scenario, length_s=length)
    begun = time.perf_counter()
    plan = make_plan(scenario, seed)
    planned = time.perf_counter()
    report = rehearse(plan)
    ended = time.perf_counter()
    return {
        "asks": len(plan.operations),
        "plan_s": round(planned - begun, 2),
        "wall_per_virtual_s": round((ended - planned) / scenario.length_s, 3),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10,
        "weighted": report["service"]["weighted"],
        "digest": hashlib.sha256(json.dumps(report, sort_keys=True).encode()).hexdigest()[:16],
        "rules_held": all(told["held"] for told in report["rules"].values()),
    }


def apart(*words: str, **environ: str) -> dict[str, Any]:
    """Play in a process of its own."""
    done = subprocess.run(
        [sys.executable, __file__, "--play", *words],
        check=True,
        capture_output=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT), **environ},
    )
    told: dict[str, Any] = json.loads(done.stdout)
    return told


def shares(name: str, seed: int, routers: int, nodes: int, rate: float) -> dict[str, float]:
    """The share of the time that is spent in each room's own code, and in asyncio and the kernel."""
    plan = make_plan(load_scenario(name).scaled(routers, nodes, rate), seed)
    profile = cProfile.Profile()
    profile.runcall(rehearse, plan)
    spent: dict[str, float] = {}
    for (file, _, _), (_, _, own, _, _) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        room = next((room for room in ROOMS if f"/pebblepass/{room}/" in file), "")
        if file.endswith("rehearsal/clock.py"):
            room = "virtual clock"
        elif not room:
            room = "asyncio" if "/asyncio/" in file else "built in (sockets among it)"
        spent[room] = spent.get(room, 0.0) + own
    total = sum(spent.values())
    return {room: round(own / total, 3) for room, own in sorted(spent.items(), key=lambda item: -item[1])}


def real_against_virtual(name: str, seed: int) -> dict[str, Any]:
    """The same plan in both times."""
    file = Path(os.environ.get("TMPDIR", "/tmp")) / f"rehearsal-{os.getpid()}.json"
    command = [sys.executable, "-m", "pebblepass.cli", "rehearse", name, "--seed", str(seed)]
    subprocess.run(
        [*command, "--real-time", "--report", str(file)], check=False, cwd=ROOT, capture_output=True
    )
    told = json.loads(file.read_bytes())
    file.unlink()
    real, virtual = told["compared"].get("service weighted", [told["service"]["weighted"]] * 2)
    return {
        "real": real,
        "virtual": virtual,
        "apart": round(abs(real - virtual), 3),
        "rules_held_in_real_time": all(held["held"] for held in told["rules"].values()),
    }


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--grown", action="store_true")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--play", nargs=6, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.play:
        name, seed, routers, nodes, rate, length = told.play
        print(json.dumps(play(name, int(seed), int(routers), int(nodes), float(rate), float(length))))
        return
    found: dict[str, Any] = {"today": apart("release-morning", "7", "4", "38", "400", "60")}
    if told.grown:
        found["grown"] = apart("release-morning", "7", "28", "130", "1300", "60")
    digests = [apart("broken-parts", "7", "0", "0", "0", "0", PYTHONHASHSEED=str(n)) for n in range(20)]
    found["digests of 20 runs"] = sorted({each["digest"] for each in digests})
    found["time goes to"] = shares("release-morning", 7, 4, 38, 400)
    found["real against virtual"] = {
        f"{name}, seed {seed}": real_against_virtual(name, seed)
        for name in ("quiet", "release-morning")
        for seed in (7, 8)
    }
    for what, value in found.items():
        print(f"{what}: {json.dumps(value)}")
    if told.json:
        told.json.write_text(json.dumps(found, indent=2) + "\n")


if __name__ == "__main__":
    main()
