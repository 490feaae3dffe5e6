"""Measures a rehearsal's speed, the packages that its time is spent in, and whether it is deterministic.

    .venv/bin/python benchmarks/rehearsal.py            # present scale, digests, real against virtual time
    .venv/bin/python benchmarks/rehearsal.py --grown    # also 130 nodes, 28 routers, 1,300 requests a second

Prints a line per result, and writes JSON with --json FILE. Each run is a separate process, so that its peak
memory is measured separately.
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
PACKAGES = ("decisions", "daemon", "discovery", "wire", "emulators", "simulation")


def play(name: str, seed: int, routers: int, nodes: int, rate: float, length: float) -> dict[str, Any]:
    """Play once; returns wall time per virtual second, peak memory and the digest of the report."""
    scenario = load_scenario(name).scaled(routers or None, nodes or None, rate or None)
    if length:
        scenario = msgspec.structs.replace(scenario, length_s=length)
    start = time.perf_counter()
    plan = make_plan(scenario, seed)
    planned = time.perf_counter()
    report = rehearse(plan)
    ended = time.perf_counter()
    return {
        "asks": len(plan.operations),
        "plan_s": round(planned - start, 2),
        "wall_per_virtual_s": round((ended - planned) / scenario.length_s, 3),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10,
        "weighted": report["service"]["weighted"],
        "digest": hashlib.sha256(json.dumps(report, sort_keys=True).encode()).hexdigest()[:16],
        "rules_held": all(rule["held"] for rule in report["rules"].values()),
    }


def play_in_process(*arguments: str, **environ: str) -> dict[str, Any]:
    """Play in a separate process."""
    done = subprocess.run(
        [sys.executable, __file__, "--play", *arguments],
        check=True,
        capture_output=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT), **environ},
    )
    result: dict[str, Any] = json.loads(done.stdout)
    return result


def shares(name: str, seed: int, routers: int, nodes: int, rate: float) -> dict[str, float]:
    """The fraction of time spent in each package's own code, in asyncio and in built-in functions."""
    plan = make_plan(load_scenario(name).scaled(routers, nodes, rate), seed)
    profile = cProfile.Profile()
    profile.runcall(rehearse, plan)
    spent: dict[str, float] = {}
    for (file, _, _), (_, _, own, _, _) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        package = next((package for package in PACKAGES if f"/pebblepass/{package}/" in file), "")
        if file.endswith("simulation/clock.py"):
            package = "virtual clock"
        elif not package:
            package = "asyncio" if "/asyncio/" in file else "built in (sockets among it)"
        spent[package] = spent.get(package, 0.0) + own
    total = sum(spent.values())
    return {
        package: round(own / total, 3) for package, own in sorted(spent.items(), key=lambda item: -item[1])
    }


def real_against_virtual(name: str, seed: int) -> dict[str, Any]:
    """Play the same plan in real and in virtual time."""
    file = Path(os.environ.get("TMPDIR", "/tmp")) / f"rehearsal-{os.getpid()}.json"
    command = [sys.executable, "-m", "pebblepass.cli", "rehearse", name, "--seed", str(seed)]
    subprocess.run(
        [*command, "--real-time", "--report", str(file)], check=False, cwd=ROOT, capture_output=True
    )
    report = json.loads(file.read_bytes())
    file.unlink()
    real, virtual = report["compared"].get("service weighted", [report["service"]["weighted"]] * 2)
    return {
        "real": real,
        "virtual": virtual,
        "apart": round(abs(real - virtual), 3),
        "rules_held_in_real_time": all(rule["held"] for rule in report["rules"].values()),
    }


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--grown", action="store_true")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--play", nargs=6, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.play:
        name, seed, routers, nodes, rate, length = options.play
        print(json.dumps(play(name, int(seed), int(routers), int(nodes), float(rate), float(length))))
        return
    results: dict[str, Any] = {"today": play_in_process("release-morning", "7", "4", "38", "400", "60")}
    if options.grown:
        results["grown"] = play_in_process("release-morning", "7", "28", "130", "1300", "60")
    digests = [
        play_in_process("broken-parts", "7", "0", "0", "0", "0", PYTHONHASHSEED=str(n)) for n in range(20)
    ]
    results["digests of 20 runs"] = sorted({run["digest"] for run in digests})
    results["time goes to"] = shares("release-morning", 7, 4, 38, 400)
    results["real against virtual"] = {
        f"{name}, seed {seed}": real_against_virtual(name, seed)
        for name in ("quiet", "release-morning")
        for seed in (7, 8)
    }
    for name, value in results.items():
        print(f"{name}: {json.dumps(value)}")
    if options.json:
        options.json.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
