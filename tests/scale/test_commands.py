"""`pebblepass scale`: what it prints and how it ends."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from pebblepass.cli import main


def figures(folder: Path, routers: int, **values: float) -> str:
    """A run's figures as if it had been made."""
    folder.mkdir()
    told: dict[str, Any] = {"plan": {"routers": routers}, "phases": {"idle": {"router": values}}}
    (folder / "figures.json").write_bytes(msgspec.json.encode(told))
    return str(folder)


def runs(tmp_path: Path, slope: float) -> list[str]:
    return [figures(tmp_path / f"a{n}", n, bytes_per_s=100 + slope * n) for n in (58, 116, 232, 465)]


def test_slopes_are_told_drawn_and_written(tmp_path: Path) -> None:
    plots, written = tmp_path / "plots", tmp_path / "fits.json"
    words = ["scale", "fit", *runs(tmp_path, 2.0), "--plots", str(plots), "--json", str(written)]
    told = CliRunner().invoke(main, words)
    assert told.exit_code == 0, told.output
    row = next(line for line in told.output.splitlines() if "router: bytes" in line)
    assert "1960" in row
    assert [path.name for path in plots.iterdir()] == ["router-bytes.png"]
    assert msgspec.json.decode(written.read_bytes())[0]["predicted"] == pytest.approx(1960)


def test_a_bound_that_is_missed_ends_with_1(tmp_path: Path) -> None:
    told = CliRunner().invoke(main, ["scale", "fit", *runs(tmp_path, 10.0)])
    assert told.exit_code == 1
    assert "MISSED" in told.output


@pytest.mark.parametrize(("seen", "code"), [(2200.0, 0), (2400.0, 0), (6100.0, 1)])
def test_a_run_at_the_target_is_held_against_the_prediction(tmp_path: Path, seen: float, code: int) -> None:
    against = figures(tmp_path / "at", 930, bytes_per_s=seen)
    told = CliRunner().invoke(main, ["scale", "fit", *runs(tmp_path, 2.0), "--against", against])
    assert told.exit_code == code
    assert ("off by" in told.output) == (seen > 1.15 * 1960)


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["run", "--routers", "0", "--out", "{}"], "--routers: expected 1 to 5000, got 0"),
        (["run", "--routers", "9", "--out", "{}", "--phase", "x"], "--phase: no phase 'x'; there are "),
        (["run", "--routers", "930", "--out", "{}", "--memory-mb", "64"], "memory: 930 routers need some "),
        (["run", "--routers", "9", "--out", "/dev/null/x"], "/dev/null/x: Not a directory"),
        (["fit", "/nowhere"], "/nowhere: No such file or directory"),
        (["fit", "{}/other"], "{}/other: not the figures of a run: "),
        (["fit", "{}/one"], "router: bytes: 1 sizes are too few for 2 factors of its form"),
        (["fit", "{}/one", "--against", "{}/one"], "{}/one: a run of 58 routers, and the target is 930"),
    ],
)
def test_wrong_usage_is_one_plain_line_and_exit_code_2(tmp_path: Path, words: list[str], said: str) -> None:
    (tmp_path / "other").write_text('{"plan": 3}')
    figures(tmp_path / "one", 58, bytes_per_s=1.0)
    told = CliRunner().invoke(main, ["scale", *(word.format(tmp_path) for word in words)])
    assert told.exit_code == 2
    assert told.output.startswith(f"pebblepass: {said.format(tmp_path)}")
    assert told.output.count("\n") == 1


def test_the_daemon_loads_none_of_it() -> None:
    import subprocess
    import sys

    script = "import sys, pebblepass.daemon.__main__, pebblepass.daemon.fleet; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert not [name for name in loaded.stdout.split() if name.startswith(("pebblepass.scale", "numpy"))]
