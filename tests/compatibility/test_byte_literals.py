"""The bytes that the program writes and recognises: its literals are those of commit ae9ac8f."""

from __future__ import annotations

import ast
from collections import Counter
from pathlib import Path

import pytest

FROZEN = Path(__file__).parent / "frozen" / "byte-literals.txt"
PACKAGE = Path(__file__).resolve().parents[2] / "pebblepass"


def byte_literals(source: str) -> list[bytes]:
    """Return the bytes literals of a module."""
    return [
        node.value
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Constant) and isinstance(node.value, bytes)
    ]


def literals_of_package() -> Counter[bytes]:
    """Count the bytes literals of all modules."""
    found: Counter[bytes] = Counter()
    for path in sorted(PACKAGE.rglob("*.py")):
        found.update(byte_literals(path.read_text()))
    return found


def frozen_literals() -> set[bytes]:
    """Return the literals of commit ae9ac8f."""
    return {ast.literal_eval(line) for line in FROZEN.read_text().splitlines()}


def differences(frozen: set[bytes], found: set[bytes]) -> tuple[list[bytes], list[bytes]]:
    """Return the removed literals, and the new ones."""
    return sorted(frozen - found), sorted(found - frozen)


def test_bytes_literals_equal_the_frozen_ones() -> None:
    assert differences(frozen_literals(), set(literals_of_package())) == ([], [])


def test_busy_reply_has_its_frozen_number_of_literals() -> None:
    """Guards against a rename that also changes a literal, as a rename of an enum member once did."""
    assert literals_of_package()[b"-BUSY\r\n"] == 5


@pytest.mark.parametrize(
    ("source", "removed", "new"),
    [
        ('reply.send(b"-BUSY\\r\\n")', [], []),
        ('reply.send(b"-REPLY_PENDING\\r\\n")', [b"-BUSY\r\n"], [b"-REPLY_PENDING\r\n"]),
        ("reply.send(busy)", [b"-BUSY\r\n"], []),
    ],
)
def test_changed_literal_is_found(source: str, removed: list[bytes], new: list[bytes]) -> None:
    assert differences({b"-BUSY\r\n"}, set(byte_literals(source))) == (removed, new)
