"""The operator's file: its validation, one-line errors and descriptions."""

from __future__ import annotations

from pathlib import Path

import pytest

from pebblepass.operator_config import FileError, Operator, decode_toml, describe, load_operator

ROOT = Path(__file__).resolve().parent.parent.parent


def test_example_file_equals_the_defaults() -> None:
    assert load_operator(ROOT / "deploy/operator.example.toml") == Operator()


def test_every_key_is_described_with_its_value() -> None:
    entries = {name: (value, description) for name, value, description in describe(Operator())}
    assert entries["log.level"][0] == "info"
    assert all(description for _, description in entries.values())


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (b"[log]\nlevel = 'loud'", "log.level: invalid enum value 'loud' (the lowest level"),
        (
            b"[log]\nlines_per_second = 0",
            "log.lines_per_second: expected `int` >= 1 (maximum number of lines",
        ),
        (b"[log]\nlines_per_second = 'many'", "log.lines_per_second: expected `int`, got `str`"),
        (b"[lgo]", "lgo: unknown key"),
        (b"[log]\nlevels = 'info'", "log.levels: unknown key"),
        (b"log = 3", "log: expected `object`, got `int`"),
        (b"[log", "not TOML"),
        (b"\xff", "not TOML"),
    ],
)
def test_invalid_file_gives_one_line_that_names_the_key(text: bytes, message: str) -> None:
    with pytest.raises(FileError) as raised:
        decode_toml("site.toml", text, Operator)
    assert str(raised.value).startswith(f"site.toml: {message}")
    assert "\n" not in str(raised.value)


def test_missing_file_is_named_in_the_error(tmp_path: Path) -> None:
    with pytest.raises(FileError, match=r"none\.toml: No such file"):
        load_operator(tmp_path / "none.toml")
