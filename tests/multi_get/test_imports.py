"""The modules of a package have no import cycle, imports under TYPE_CHECKING included."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

import pebblepass

ROOT = Path(pebblepass.__file__).parent


def imports_of_module(source: str) -> set[str]:
    """Return the full names of all modules and names that a source file imports, under TYPE_CHECKING too."""
    imported: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, "a relative import"
            assert node.module
            imported.add(node.module)
            imported.update(f"{node.module}.{alias.name}" for alias in node.names)
    return imported


def import_graph(sources: dict[str, str]) -> dict[str, set[str]]:
    """Return which of these modules, by full name, imports which others of them."""
    return {name: imports_of_module(source) & sources.keys() for name, source in sources.items()}


def sources_of_package(package: str) -> dict[str, str]:
    """Return the sources of a package's modules by full name."""
    directory = ROOT.joinpath(*package.split("."))
    return {
        f"pebblepass.{package}.{path.stem}": path.read_text()
        for path in directory.glob("*.py")
        if path.stem != "__init__"
    }


@pytest.mark.parametrize("package", ["multi_get", "daemon.multi_get"])
def test_packages_have_no_import_cycle(package: str) -> None:
    graph = import_graph(sources_of_package(package))
    assert len(graph) >= 5
    assert any(graph.values())
    TopologicalSorter(graph).prepare()


def test_import_cycle_through_type_checking_is_detected() -> None:
    sources = {
        "p.a": "from p.b import B",
        "p.b": "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from p import a\n",
    }
    with pytest.raises(CycleError):
        TopologicalSorter(import_graph(sources)).prepare()
