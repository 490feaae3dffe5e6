"""Output and exit codes of `pebblepass scale`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from pebblepass.cli import main


def figures(folder: Path, routers: int, **values: float) -> str:
    """Write the figures of a made-up run; returns its folder."""
    folder.mkdir()
    content: dict[str, Any] = {"plan": {"routers": routers}, "phases": {"idle": {"router": values}}}
    (folder / "figures.json").write_bytes(msgspec.json.encode(content))
    return str(folder)


def runs(tmp_path: Path, slope: float) -> list[str]:
    return [figures(tmp_path / f"a{n}", n, bytes_per_s=100 + slope * n) for n in (58, 116, 232, 465)]


def test_fit_prints_plots_and_writes_predictions(tmp_path: Path) -> None:
    plots, json_path = tmp_path / "plots", tmp_path / "fits.json"
    words = ["scale", "fit", *runs(tmp_path, 2.0), "--plots", str(plots), "--json", str(json_path)]
    result = CliRunner().invoke(main, words)
    assert result.exit_code == 0, result.output
    row = next(line for line in result.output.splitlines() if "router: bytes" in line)
    assert "1960" in row
    assert [path.name for path in plots.iterdir()] == ["router-bytes.png"]
    assert msgspec.json.decode(json_path.read_bytes())[0]["predicted"] == pytest.approx(1960)


def test_exceeded_bound_exits_with_1(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["scale", "fit", *runs(tmp_path, 10.0)])
    assert result.exit_code == 1
    assert "MISSED" in result.output


@pytest.mark.parametrize(("measured", "code"), [(2200.0, 0), (2400.0, 0), (6100.0, 1)])
def test_run_at_target_is_compared_with_prediction(tmp_path: Path, measured: float, code: int) -> None:
    against = figures(tmp_path / "at", 930, bytes_per_s=measured)
    result = CliRunner().invoke(main, ["scale", "fit", *runs(tmp_path, 2.0), "--against", against])
    assert result.exit_code == code
    assert ("off by" in result.output) == (measured > 1.15 * 1960)


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (["run", "--routers", "0", "--out", "{}"], "--routers: expected 1 to 5000, got 0"),
        (
            ["run", "--routers", "9", "--out", "{}", "--phase", "x"],
            "--phase: unknown phase 'x'; expected one of ",
        ),
        (["run", "--routers", "930", "--out", "{}", "--memory-mb", "64"], "memory: 930 routers need about "),
        (["run", "--routers", "9", "--out", "/dev/null/x"], "/dev/null/x: Not a directory"),
        (["fit", "/nowhere"], "/nowhere: No such file or directory"),
        (["fit", "{}/other"], "{}/other: not the figures of a scale run: "),
        (["fit", "{}/one"], "router: bytes: 1 different sizes are too few to fit 2 coefficients"),
        (["fit", "{}/one", "--against", "{}/one"], "{}/one: the run has 58 routers, but the target is 930"),
    ],
)
def test_wrong_usage_prints_one_line_and_exits_with_2(tmp_path: Path, words: list[str], message: str) -> None:
    (tmp_path / "other").write_text('{"plan": 3}')
    figures(tmp_path / "one", 58, bytes_per_s=1.0)
    result = CliRunner().invoke(main, ["scale", *(word.format(tmp_path) for word in words)])
    assert result.exit_code == 2
    assert result.output.startswith(f"pebblepass: {message.format(tmp_path)}")
    assert result.output.count("\n") == 1


def test_daemon_does_not_import_scale_or_numpy() -> None:
    import subprocess
    import sys

    script = "import sys, pebblepass.daemon.process, pebblepass.daemon.fleet; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert not [name for name in loaded.stdout.split() if name.startswith(("pebblepass.scale", "numpy"))]
