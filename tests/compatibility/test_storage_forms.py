"""The log file: recovery of a truncated tail, and refusal of damage elsewhere."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import frozen_bytes, frozen_samples

LOG = frozen_bytes("log.bin")
RECORDS = frozen_samples("records.txt")
BATCHES = [["whole"], ["booted"], ["promised", "took"], ["decided", "closed"], ["seen"]]
"""The names of the records in each frame after the file header."""
FRAME_HEAD_BYTES = 8
"""The size of a frame's head: its length and its checksum."""


def write_log_file(folder: Path, data: bytes) -> Path:
    (folder / forms.LOG_FILE).write_bytes(data)
    return folder


def records(batches: list[list[str]]) -> list[bytes]:
    return [RECORDS[name] for batch in batches for name in batch]


def last_frame_offset() -> int:
    """Return the offset of the last frame."""
    return len(LOG) - FRAME_HEAD_BYTES - len(forms.log_frames(LOG)[-1])


def check_recovered(folder: Path, data: bytes, batches: list[list[str]], kept: int) -> None:
    """Check which records a log recovers, and that its file is truncated to `kept` bytes."""
    try:
        found, truncated_bytes = forms.open_raw_log(write_log_file(folder, data))
    except forms.LogError as error:
        raise AssertionError(f"the log is refused: {error}") from error
    assert found == records(batches)
    assert truncated_bytes == len(data) - kept
    assert (folder / forms.LOG_FILE).read_bytes() == data[:kept]


def test_log_is_read_in_full(tmp_path: Path) -> None:
    check_recovered(tmp_path, LOG, BATCHES, len(LOG))


def test_same_records_make_the_same_file(tmp_path: Path) -> None:
    forms.write_raw_log(tmp_path, [[RECORDS[name] for name in batch] for batch in BATCHES])
    assert (tmp_path / forms.LOG_FILE).read_bytes() == LOG


def test_voter_log_has_the_frozen_file_name(tmp_path: Path) -> None:
    assert forms.LOG_FILE == "agreement.log"
    assert forms.open_voters_log(write_log_file(tmp_path, LOG)) == records(BATCHES)


@pytest.mark.parametrize("kept", [1, FRAME_HEAD_BYTES - 1, FRAME_HEAD_BYTES, FRAME_HEAD_BYTES + 1, -1])
def test_truncated_last_frame_is_dropped(tmp_path: Path, kept: int) -> None:
    end = last_frame_offset() + kept if kept > 0 else len(LOG) + kept
    check_recovered(tmp_path, LOG[:end], BATCHES[:-1], last_frame_offset())


def test_last_frame_of_zeros_is_dropped(tmp_path: Path) -> None:
    offset = last_frame_offset()
    check_recovered(tmp_path, LOG[:offset] + bytes(len(LOG) - offset), BATCHES[:-1], offset)


def with_damaged_byte(offset: int) -> bytes:
    return LOG[:offset] + bytes([LOG[offset] ^ 0xFF]) + LOG[offset + 1 :]


@pytest.mark.parametrize("offset", [FRAME_HEAD_BYTES + 1, len(LOG) // 2, len(LOG) - 1])
def test_damaged_frame_is_refused_and_the_file_is_unchanged(tmp_path: Path, offset: int) -> None:
    with pytest.raises(forms.LogError):
        forms.open_raw_log(write_log_file(tmp_path, with_damaged_byte(offset)))
    assert (tmp_path / forms.LOG_FILE).read_bytes() == with_damaged_byte(offset)


def test_recovery_check_fails_for_a_refused_or_otherwise_truncated_log(tmp_path: Path) -> None:
    with pytest.raises(AssertionError):
        check_recovered(tmp_path, with_damaged_byte(len(LOG) // 2), BATCHES, len(LOG))
    with pytest.raises(AssertionError):
        check_recovered(tmp_path, LOG[:-1], BATCHES, len(LOG) - 1)


def with_header(header: dict[str, object]) -> bytes:
    """Return the log with another file header that has a valid checksum."""
    first = forms.log_frames(LOG)[0]
    return forms.framed(msgspec.json.encode(header)) + LOG[FRAME_HEAD_BYTES + len(first) :]


def test_header_with_a_renamed_field_or_another_value_is_refused(tmp_path: Path) -> None:
    header = msgspec.json.decode(forms.log_frames(LOG)[0])
    assert header == {"format": "pebblepass-agreement", "version": 1, "owner": "fleet-1/router-2"}
    check_recovered(tmp_path, with_header(header), BATCHES, len(LOG))
    for name, value in header.items():
        others = {key: other for key, other in header.items() if key != name}
        for changed in ({**others, f"{name}_renamed": value}, {**header, name: 2 if value == 1 else "other"}):
            with pytest.raises(AssertionError):
                check_recovered(tmp_path, with_header(changed), BATCHES, len(LOG))
