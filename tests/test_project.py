"""Limits that the project keeps on itself, and the README's example."""

from __future__ import annotations

import ast
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


MAX_DECISION_FILE_LINES, MAX_FUNCTION_LINES = 400, 40
NOT_POLICY = {"__init__.py", "settings.py"}  # re-exports and parsing; they decide nothing
INTERFACE = "interface"  # the directory of declarations alone
TO_BE_SPLIT: dict[str, int] = {}
"""Files still over the limit, each with the size that it may not exceed until it is split."""


def test_every_decision_module_is_named_as_policy_and_small() -> None:
    named = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    modules = set((ROOT / "pebblepass/decisions").rglob("*.py"))
    assert {ROOT / name for name in named} == {
        path for path in modules if path.name not in NOT_POLICY and path.parent.name != INTERFACE
    }
    for path in modules:
        limit = TO_BE_SPLIT.get(str(path.relative_to(ROOT)), MAX_DECISION_FILE_LINES)
        assert len(path.read_text().splitlines()) <= limit, path.name
        assert functions_over(path.read_text(), MAX_FUNCTION_LINES) == [], path.name


def test_a_function_over_the_limit_is_found() -> None:
    body = "    value = 1\n"
    assert functions_over(f"def short():\n{body * 39}", MAX_FUNCTION_LINES) == []
    assert functions_over(f"def long():\n{body * 40}", MAX_FUNCTION_LINES) == ["long"]


def functions_over(source: str, limit: int) -> list[str]:
    """Return the names of the functions that have more lines than the limit."""
    functions = (
        node
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )
    return [node.name for node in functions if (node.end_lineno or 0) - node.lineno + 1 > limit]


def test_the_build_compiles_all_that_a_start_loads(tmp_path: Path) -> None:
    """Where a router runs it can write nothing: each start would compile what is not compiled."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    shutil.copytree(
        ROOT / "pebblepass", tmp_path / "pebblepass", ignore=shutil.ignore_patterns("__pycache__")
    )
    (tmp_path / ".venv/bin").mkdir(parents=True)
    (tmp_path / ".venv/bin/python").symlink_to(sys.executable)
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    shutil.copy(ROOT / "requirements.txt", tmp_path / ".venv/installed.txt")  # nothing to install
    environ = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=tmp_path, env=environ, check=True)
    loaded = [path for name in (*deploy["policy"], *deploy["node"]) for path in _sources(tmp_path / name)]
    assert len(loaded) > 30
    assert [path for path in loaded if not _compiled(path).exists()] == []


def _sources(path: Path) -> list[Path]:
    return [path] if path.is_file() else sorted(path.rglob("*.py"))


def _compiled(path: Path) -> Path:
    return path.parent / "__pycache__" / f"{path.stem}.{sys.implementation.cache_tag}.pyc"
