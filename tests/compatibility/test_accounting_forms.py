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
    check_round_trip,
    frozen_bytes,
    frozen_lines,
    paths,
    with_field_renamed,
)

SNAPSHOT = frozen_bytes("snapshot.json")
ROWS: list[dict[str, Any]] = msgspec.json.decode(frozen_bytes("snapshot-closing.json"))["figures"]


@pytest.mark.parametrize("name", ["snapshot.json", "snapshot-closing.json"])
def test_snapshot_is_decoded_and_encoded_to_the_same_bytes(name: str) -> None:
    check_round_trip(frozen_bytes(name), forms.SNAPSHOT)


def test_ledger_exports_the_rows_that_it_imported() -> None:
    assert forms.imported_rows(ROWS) == ROWS


def test_metrics_equal_the_frozen_ones() -> None:
    assert forms.accounting_exposition(ROWS).encode() == frozen_bytes("accounting-metrics.txt")


def test_breach_has_the_frozen_format() -> None:
    assert msgspec.json.encode(forms.breach()) == frozen_bytes("breach.json")
    check_names(forms.BREACH_KINDS, frozen_lines("breach-kinds.txt"))


def test_listener_pages_and_files_equal_the_frozen_ones(tmp_path: Path) -> None:
    pages = asyncio.run(forms.accounting_pages(tmp_path, ROWS))
    statuses = [f"{call}: {page.split()[0].decode()}" for call, page in pages.items()]
    check_names(statuses, frozen_lines("accounting-pages.txt"))
    export = msgspec.json.decode(pages["GET /figures"].partition(b"\n")[2])
    check_names(list(paths(export)), frozen_lines("accounting-export.txt"))
    check_names([file.name for file in tmp_path.iterdir()], frozen_lines("accounting-files.txt"))


def test_collected_cuts_give_the_frozen_table() -> None:
    lines = frozen_bytes("cuts.jsonl").splitlines()
    assert forms.cuts_table(lines).encode() == frozen_bytes("cuts.csv")


# The checks fail for a renamed key


@pytest.mark.parametrize("index", range(8))
def test_renamed_key_of_a_snapshot_is_detected(index: int) -> None:
    kind = forms.SNAPSHOT_TYPES[0]
    check_round_trip(SNAPSHOT, forms.snapshot_codec(kind))
    with pytest.raises(AssertionError):
        check_round_trip(SNAPSHOT, forms.snapshot_codec(with_field_renamed(kind, index)))


@pytest.mark.parametrize("index", range(17))
def test_renamed_key_of_a_row_is_detected(index: int) -> None:
    kind, row = forms.SNAPSHOT_TYPES[1], msgspec.json.encode(ROWS[0]) + b"\n"
    check_round_trip(row, forms.snapshot_codec(kind))
    with pytest.raises(AssertionError):
        check_round_trip(row, forms.snapshot_codec(with_field_renamed(kind, index)))


@pytest.mark.parametrize(
    "key", ["unix_ns", "routers", "router", "epoch", "figures", "class", "taken", "gone"]
)
def test_renamed_key_of_a_cut_is_refused(key: str) -> None:
    changed = frozen_bytes("cuts.jsonl").replace(f'"{key}"'.encode(), f'"{key}_renamed"'.encode())
    with pytest.raises(ValueError, match="line 1"):
        forms.cuts_table(changed.splitlines())


@pytest.mark.parametrize("name", ["accounting-export.txt", "accounting-pages.txt", "breach-kinds.txt"])
def test_renamed_entry_of_a_list_is_detected(name: str) -> None:
    frozen = frozen_lines(name)
    check_names(frozen, frozen)
    for index, line in enumerate(frozen):
        with pytest.raises(AssertionError):
            check_names([*frozen[:index], f"{line}_renamed", *frozen[index + 1 :]], frozen)
