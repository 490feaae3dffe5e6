"""Each name in `frozen/outward-names.txt`, that is, each one that leaves the process, occurs in the program.

It counts as a literal, as a word of a literal without blanks, or as a field of a class. A name of several
words, or the prefix of a log line, may be part of a longer literal; words of sentences do not count.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.compatibility.checks import frozen_lines

PACKAGE = Path(__file__).resolve().parents[2] / "pebblepass"
WORD = re.compile(r"[\w.:/-]+")


def docstrings(tree: ast.AST) -> set[ast.AST]:
    """Return the constants that are whole statements, as docstrings are."""
    return {node.value for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def literals(tree: ast.AST) -> Iterator[str]:
    """Yield the text and bytes literals of a module, without docstrings."""
    excluded = docstrings(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or node in excluded:
            continue
        if isinstance(node.value, bytes):
            yield node.value.decode("latin-1")
        elif isinstance(node.value, str):
            yield node.value


def fields(tree: ast.AST) -> Iterator[str]:
    """Yield the annotated fields of a module's classes."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            for statement in node.body:
                if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
                    yield statement.target.id


def names(source: str) -> set[str]:
    """Return the names that a module may write or recognise."""
    tree = ast.parse(source)
    found = set(fields(tree))
    for literal in literals(tree):
        found.add(literal.strip())
        if not re.search(r"\s", literal.strip()):
            found.update(WORD.findall(literal))
            found.update(re.findall(r"[A-Za-z_]\w*", literal))
    return found


def missing(listed: list[str], found: set[str], texts: str) -> list[str]:
    """Return the listed names that are not found; several words or a log prefix may be part of a literal."""
    return [
        name
        for name in listed
        if name not in found and not ((" " in name or name.endswith(":")) and name in texts)
    ]


def test_every_listed_name_occurs_in_the_program() -> None:
    sources = [path.read_text() for path in sorted(PACKAGE.rglob("*.py"))]
    found = set().union(*map(names, sources))
    texts = "\n".join(literal for source in sources for literal in literals(ast.parse(source)))
    assert missing(frozen_lines("outward-names.txt"), found, texts) == []


def test_list_is_sorted_without_duplicates() -> None:
    listed = frozen_lines("outward-names.txt")
    assert listed == sorted(set(listed))


REPLY = 'REPLY = b"-BUSY\\r\\n"'
LOG = 'LOG = "handover: {} failed"'


@pytest.mark.parametrize(
    ("source", "expected_missing"),
    [
        (['"""giveUpAtNs"""', 'KEY = "giveUpAtNs"', REPLY, LOG], []),
        (['"""giveUpAtNs"""', 'KEY = "deadline"', REPLY, LOG], ["giveUpAtNs"]),
        (['KEY = "giveUpAtNs"', 'REPLY = b"-PENDING\\r\\n"', LOG], ["-BUSY"]),
        (
            ["class Form:", "    giveUpAtNs: int", REPLY, 'LOG = "upgrade: {} failed"'],
            ["handover: {} failed"],
        ),
        (['ERROR = "giveUpAtNs is missing"', REPLY, LOG], ["giveUpAtNs"]),
        (["giveUpAtNs = 1", REPLY, LOG], ["giveUpAtNs"]),
    ],
    ids=["nothing missing", "key", "reply", "log line", "word of a sentence", "only a variable"],
)
def test_removed_name_is_found(source: list[str], expected_missing: list[str]) -> None:
    listed = ["-BUSY", "giveUpAtNs", "handover: {} failed"]
    module = "\n".join(source)
    texts = "\n".join(literals(ast.parse(module)))
    assert missing(listed, names(module), texts) == expected_missing
