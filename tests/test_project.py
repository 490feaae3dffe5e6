"""Limits on the source code, the import contracts, and the build of the deploy file."""

from __future__ import annotations

import ast
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


MAX_DECISION_FILE_LINES, MAX_FUNCTION_LINES = 400, 40
NOT_POLICY = {"__init__.py", "settings.py"}  # they contain re-exports and parsing, but no decisions
INTERFACE = "interface"  # a directory with declarations only
LONGER_FILES: dict[str, int] = {}
"""The files that are over the limit until they are split, each with its own limit."""


def test_every_decision_module_is_listed_as_policy_and_short() -> None:
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    modules = set((ROOT / "pebblepass/decisions").rglob("*.py"))
    assert {ROOT / name for name in listed} == {
        path for path in modules if path.name not in NOT_POLICY and path.parent.name != INTERFACE
    }
    for path in modules:
        limit = LONGER_FILES.get(str(path.relative_to(ROOT)), MAX_DECISION_FILE_LINES)
        assert len(path.read_text().splitlines()) <= limit, path.name
        assert functions_over(path.read_text(), MAX_FUNCTION_LINES) == [], path.name


def test_a_function_over_the_limit_is_reported() -> None:
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


def lint_imports(root: Path) -> subprocess.CompletedProcess[str]:
    """Check the import contracts of the project at this root."""
    command = [str(Path(sys.executable).with_name("lint-imports")), "--no-cache"]
    environ = os.environ | {"PYTHONPATH": str(root)}
    return subprocess.run(command, cwd=root, env=environ, capture_output=True, text=True)


@pytest.mark.parametrize(
    ("module", "line", "contract"),
    [
        ("decisions/health.py", "import asyncio", "The decisions have no I/O, no clock and no event loop"),
        (
            "consensus/proposer.py",
            "import time",
            "The rules of consensus have no I/O, no clock and no event loop",
        ),
        ("wire/http.py", "import pebblepass.decisions.health", "Dependencies point down the layers"),
        ("daemon/lag.py", "import pebblepass.emulators.core", "Dependencies point down the layers"),
    ],
)
def test_an_import_that_violates_a_contract_is_reported(
    tmp_path: Path, module: str, line: str, contract: str
) -> None:
    shutil.copytree(ROOT / "pebblepass", tmp_path / "pebblepass")
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    path = tmp_path / "pebblepass" / module
    path.write_text(path.read_text() + f"\n{line}\n")
    checked = lint_imports(tmp_path)
    assert checked.returncode == 1
    assert f"{contract} BROKEN" in checked.stdout


def calls_of_shared_random(source: str) -> list[str]:
    """Return the functions of the random module that are called, except for its generator class."""
    called = [node.func for node in ast.walk(ast.parse(source)) if isinstance(node, ast.Call)]
    return [
        function.attr
        for function in called
        if isinstance(function, ast.Attribute)
        and ast.unparse(function.value) == "random"
        and function.attr != "Random"
    ]


def test_the_decision_module_uses_only_its_own_random_generator() -> None:
    for path in (ROOT / "pebblepass/decisions").rglob("*.py"):
        source = path.read_text()
        assert calls_of_shared_random(source) == [], path.name
        assert "from random import" not in source, path.name
    assert calls_of_shared_random("x = random.Random(1).random() + random.uniform(0, 1)") == ["uniform"]


def test_the_build_compiles_every_module_that_a_start_loads(tmp_path: Path) -> None:
    """A deployed router can write no files, so it would compile a missing module again at each start."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    shutil.copytree(
        ROOT / "pebblepass", tmp_path / "pebblepass", ignore=shutil.ignore_patterns("__pycache__")
    )
    (tmp_path / ".venv/bin").mkdir(parents=True)
    (tmp_path / ".venv/bin/python").symlink_to(sys.executable)
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    shutil.copy(ROOT / "requirements.txt", tmp_path / ".venv/installed.txt")  # so that nothing is installed
    environ = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=tmp_path, env=environ, check=True)
    loaded = [path for name in (*deploy["policy"], *deploy["node"]) for path in _sources(tmp_path / name)]
    assert len(loaded) > 30
    assert [path for path in loaded if not _compiled(path).exists()] == []


def _sources(path: Path) -> list[Path]:
    return [path] if path.is_file() else sorted(path.rglob("*.py"))


def _compiled(path: Path) -> Path:
    return path.parent / "__pycache__" / f"{path.stem}.{sys.implementation.cache_tag}.pyc"
