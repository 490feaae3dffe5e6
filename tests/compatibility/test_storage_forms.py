"""The log's file: what is recovered of one with a torn tail, what is dropped, and what is refused."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import frozen_bytes, frozen_samples

LOG = frozen_bytes("log.bin")
RECORDS = frozen_samples("records.txt")
BATCHES = [["whole"], ["booted"], ["promised", "took"], ["decided", "closed"], ["seen"]]
"""What stands in the frames behind the head."""
HEAD_BYTES = 8
"""Of a frame: its size and its checksum."""


def folder_with(folder: Path, data: bytes) -> Path:
    (folder / forms.LOG_FILE).write_bytes(data)
    return folder


def records(batches: list[list[str]]) -> list[bytes]:
    return [RECORDS[name] for batch in batches for name in batch]


def last_frame() -> int:
    """Where the last frame begins."""
    return len(LOG) - HEAD_BYTES - len(forms.log_frames(LOG)[-1])


def check_recovered(folder: Path, data: bytes, batches: list[list[str]], kept: int) -> None:
    """Check what is recovered of a log, and that its file holds no more than that afterwards."""
    try:
        found, cut = forms.open_raw_log(folder_with(folder, data))
    except forms.LogError as error:
        raise AssertionError(f"a log is refused: {error}") from error
    assert found == records(batches)
    assert cut == len(data) - kept
    assert (folder / forms.LOG_FILE).read_bytes() == data[:kept]


def test_a_log_is_read_in_full(tmp_path: Path) -> None:
    check_recovered(tmp_path, LOG, BATCHES, len(LOG))


def test_the_same_records_make_the_same_file(tmp_path: Path) -> None:
    forms.write_raw_log(tmp_path, [[RECORDS[name] for name in batch] for batch in BATCHES])
    assert (tmp_path / forms.LOG_FILE).read_bytes() == LOG


def test_a_voters_folder_is_opened_by_its_name(tmp_path: Path) -> None:
    assert forms.LOG_FILE == "agreement.log"
    assert forms.open_voters_log(folder_with(tmp_path, LOG)) == records(BATCHES)


@pytest.mark.parametrize("kept", [1, HEAD_BYTES - 1, HEAD_BYTES, HEAD_BYTES + 1, -1])
def test_a_frame_that_ends_behind_the_file_is_cut_off(tmp_path: Path, kept: int) -> None:
    end = last_frame() + kept if kept > 0 else len(LOG) + kept
    check_recovered(tmp_path, LOG[:end], BATCHES[:-1], last_frame())


def test_a_last_frame_that_reads_as_zeros_is_cut_off(tmp_path: Path) -> None:
    at = last_frame()
    check_recovered(tmp_path, LOG[:at] + bytes(len(LOG) - at), BATCHES[:-1], at)


def damaged(at: int) -> bytes:
    return LOG[:at] + bytes([LOG[at] ^ 0xFF]) + LOG[at + 1 :]


@pytest.mark.parametrize("at", [HEAD_BYTES + 1, len(LOG) // 2, len(LOG) - 1])
def test_a_damaged_frame_is_refused_and_the_file_stays(tmp_path: Path, at: int) -> None:
    with pytest.raises(forms.LogError):
        forms.open_raw_log(folder_with(tmp_path, damaged(at)))
    assert (tmp_path / forms.LOG_FILE).read_bytes() == damaged(at)


def test_the_check_finds_a_log_that_is_refused_or_cut_elsewhere(tmp_path: Path) -> None:
    with pytest.raises(AssertionError):
        check_recovered(tmp_path, damaged(len(LOG) // 2), BATCHES, len(LOG))
    with pytest.raises(AssertionError):
        check_recovered(tmp_path, LOG[:-1], BATCHES, len(LOG) - 1)


def with_head(head: dict[str, object]) -> bytes:
    """The log with another head, whose checksum is right."""
    first = forms.log_frames(LOG)[0]
    return forms.framed(msgspec.json.encode(head)) + LOG[HEAD_BYTES + len(first) :]


def test_a_head_with_a_renamed_field_or_another_value_is_refused(tmp_path: Path) -> None:
    head = msgspec.json.decode(forms.log_frames(LOG)[0])
    assert head == {"format": "pebblepass-agreement", "version": 1, "owner": "fleet-1/router-2"}
    check_recovered(tmp_path, with_head(head), BATCHES, len(LOG))
    for name, value in head.items():
        others = {key: held for key, held in head.items() if key != name}
        for changed in ({**others, f"{name}_renamed": value}, {**head, name: 2 if value == 1 else "other"}):
            with pytest.raises(AssertionError):
                check_recovered(tmp_path, with_head(changed), BATCHES, len(LOG))
