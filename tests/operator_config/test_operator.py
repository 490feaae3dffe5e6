"""The operator's file: checked whole, and told of in one plain line."""

from __future__ import annotations

from pathlib import Path

import pytest

from pebblepass.operator_config import FileError, Operator, decode_toml, describe, load_operator

ROOT = Path(__file__).resolve().parent.parent.parent


def test_example_file_says_what_is_in_force_anyway() -> None:
    assert load_operator(ROOT / "deploy/operator.example.toml") == Operator()


def test_every_key_is_told_with_its_value_and_its_meaning() -> None:
    told = {name: (value, meaning) for name, value, meaning in describe(Operator())}
    assert told["log.level"][0] == "info"
    assert all(meaning for _, meaning in told.values())


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (b"[log]\nlevel = 'loud'", "log.level: invalid enum value 'loud' (the least grave line"),
        (b"[log]\nlines_per_second = 0", "log.lines_per_second: expected `int` >= 1 (lines written a second"),
        (b"[log]\nlines_per_second = 'many'", "log.lines_per_second: expected `int`, got `str`"),
        (b"[lgo]", "lgo: unknown key"),
        (b"[log]\nlevels = 'info'", "log.levels: unknown key"),
        (b"log = 3", "log: expected `object`, got `int`"),
        (b"[log", "not TOML"),
        (b"\xff", "not TOML"),
    ],
)
def test_what_cannot_be_used_is_one_line_that_names_the_place(text: bytes, words: str) -> None:
    with pytest.raises(FileError) as raised:
        decode_toml("site.toml", text, Operator)
    assert str(raised.value).startswith(f"site.toml: {words}")
    assert "\n" not in str(raised.value)


def test_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(FileError, match=r"none\.toml: No such file"):
        load_operator(tmp_path / "none.toml")
