"""The ledger's snapshots, its export over HTTP, and its metrics."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import (
    check_names,
    check_rewritten,
    frozen_bytes,
    frozen_lines,
    paths,
    renamed,
)

SNAPSHOT = frozen_bytes("snapshot.json")
ROWS: list[dict[str, Any]] = msgspec.json.decode(frozen_bytes("snapshot-closing.json"))["figures"]


@pytest.mark.parametrize("name", ["snapshot.json", "snapshot-closing.json"])
def test_a_snapshot_is_read_and_written_again_to_the_byte(name: str) -> None:
    check_rewritten(frozen_bytes(name), forms.SNAPSHOT)


def test_a_ledger_that_opens_with_a_closing_balance_gives_the_same_rows() -> None:
    assert forms.carried(ROWS) == ROWS


def test_metrics_are_the_frozen_ones() -> None:
    assert forms.accounting_exposition(ROWS).encode() == frozen_bytes("accounting-metrics.txt")


def test_breaches_are_told_in_the_frozen_form() -> None:
    assert msgspec.json.encode(forms.breach()) == frozen_bytes("breach.json")
    check_names(forms.BREACH_KINDS, frozen_lines("breach-kinds.txt"))


def test_the_listener_answers_as_frozen_and_keeps_the_frozen_files(tmp_path: Path) -> None:
    pages = asyncio.run(forms.accounting_pages(tmp_path, ROWS))
    answered = [f"{call}: {page.split()[0].decode()}" for call, page in pages.items()]
    check_names(answered, frozen_lines("accounting-pages.txt"))
    export = msgspec.json.decode(pages["GET /figures"].partition(b"\n")[2])
    check_names(list(paths(export)), frozen_lines("accounting-export.txt"))
    check_names([file.name for file in tmp_path.iterdir()], frozen_lines("accounting-files.txt"))


def test_collected_cuts_are_read_and_give_the_frozen_table() -> None:
    lines = frozen_bytes("cuts.jsonl").splitlines()
    assert forms.cuts_table(lines).encode() == frozen_bytes("cuts.csv")


# The checks find a key under another name


@pytest.mark.parametrize("place", range(8))
def test_a_renamed_key_of_a_snapshot_is_found(place: int) -> None:
    kind = forms.SNAPSHOT_TYPES[0]
    check_rewritten(SNAPSHOT, forms.snapshot_form(kind))
    with pytest.raises(AssertionError):
        check_rewritten(SNAPSHOT, forms.snapshot_form(renamed(kind, place)))


@pytest.mark.parametrize("place", range(17))
def test_a_renamed_key_of_a_row_is_found(place: int) -> None:
    kind, row = forms.SNAPSHOT_TYPES[1], msgspec.json.encode(ROWS[0]) + b"\n"
    check_rewritten(row, forms.snapshot_form(kind))
    with pytest.raises(AssertionError):
        check_rewritten(row, forms.snapshot_form(renamed(kind, place)))


@pytest.mark.parametrize(
    "key", ["unix_ns", "routers", "router", "epoch", "figures", "class", "taken", "gone"]
)
def test_a_renamed_key_of_a_cut_is_refused(key: str) -> None:
    changed = frozen_bytes("cuts.jsonl").replace(f'"{key}"'.encode(), f'"{key}_renamed"'.encode())
    with pytest.raises(ValueError, match="line 1"):
        forms.cuts_table(changed.splitlines())


@pytest.mark.parametrize("name", ["accounting-export.txt", "accounting-pages.txt", "breach-kinds.txt"])
def test_a_renamed_entry_of_a_list_is_found(name: str) -> None:
    frozen = frozen_lines(name)
    check_names(frozen, frozen)
    for place, line in enumerate(frozen):
        with pytest.raises(AssertionError):
            check_names([*frozen[:place], f"{line}_renamed", *frozen[place + 1 :]], frozen)
