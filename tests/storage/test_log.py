"""Durable logs and files: torn tails are cut off, damage is rejected, and a full disk loses no records."""

from __future__ import annotations

import errno
import random
from pathlib import Path

import pytest

from pebblepass.fault_injection.disk import PowerLossDisk
from pebblepass.storage.disk import Directory, replace_file
from pebblepass.storage.frames import SECTOR_BYTES, FileHeader, StorageError
from pebblepass.storage.log import Log

HEADER = FileHeader("test-log", 1, "fleet/r0")


class PowerLossError(BaseException):
    """Simulates a power loss at a step of the disk."""


def create_log(disk: PowerLossDisk | Directory, *records: bytes) -> Log:
    log = Log(disk, "log", HEADER)
    log.write_snapshot(list(records))
    return log


def read_log(disk: PowerLossDisk | Directory) -> list[bytes] | None:
    return Log(disk, "log", HEADER).open()


def test_records_are_read_back_by_the_next_process(tmp_path: Path) -> None:
    log = create_log(Directory(tmp_path), b"first")
    log.append([b"a", b""])
    log.append([b"b" * 2000])
    assert read_log(Directory(tmp_path)) == [b"first", b"a", b"", b"b" * 2000]


def test_power_loss_at_any_step_keeps_appended_records() -> None:
    """All appended records are read back in order, and at most the one that was being written in addition."""
    for fail_step in range(1, 40):
        for seed in range(12):
            disk = PowerLossDisk()
            appended: list[bytes] = []
            pending = b""

            def cut_power(_: str, disk: PowerLossDisk = disk, fail_step: int = fail_step) -> None:
                if disk.steps == fail_step:
                    raise PowerLossError

            disk.before = cut_power
            log = Log(disk, "log", HEADER)
            is_created = False
            try:
                log.write_snapshot([b"s0"])
                appended, is_created = [b"s0"], True
                for number in range(8):
                    pending = b"%d" % number * random.Random(number).randint(1, 1500)
                    log.append([pending])
                    appended.append(pending)
                    if number == 4:
                        snapshot = b"sum" + b"|".join(appended)
                        pending = snapshot
                        log.write_snapshot([snapshot])
                        appended = [snapshot]
            except PowerLossError:
                pass
            disk.before = lambda _: None
            disk.lose_power(random.Random(seed))
            records = read_log(disk) if is_created else None
            if is_created:
                assert records in (appended, [*appended, pending], [pending]), (fail_step, seed)


def test_torn_tail_is_cut_off_and_the_log_continues(tmp_path: Path) -> None:
    log = create_log(Directory(tmp_path), b"first")
    log.append([b"second"])
    with (tmp_path / "log").open("ab") as file:
        file.write(b"\x40\x00\x00\x00half a fra")
    log = Log(Directory(tmp_path), "log", HEADER)
    assert log.open() == [b"first", b"second"]
    assert log.truncated_bytes == 14
    log.append([b"third"])
    assert read_log(Directory(tmp_path)) == [b"first", b"second", b"third"]


def test_lost_sector_at_the_end_is_torn_and_flipped_bit_is_damage(tmp_path: Path) -> None:
    log = create_log(Directory(tmp_path), b"first")
    log.append([b"x" * (3 * SECTOR_BYTES)])
    intact = (tmp_path / "log").read_bytes()
    losses = bytearray(intact)
    losses[SECTOR_BYTES : 2 * SECTOR_BYTES] = bytes(SECTOR_BYTES)
    (tmp_path / "log").write_bytes(losses)
    assert read_log(Directory(tmp_path)) == [b"first"]
    flipped = bytearray(intact)
    flipped[-5] ^= 1
    (tmp_path / "log").write_bytes(flipped)
    with pytest.raises(StorageError, match=r"^log: damaged at byte \d+$"):
        read_log(Directory(tmp_path))


def test_corrupt_byte_before_the_last_record_is_rejected(tmp_path: Path) -> None:
    log = create_log(Directory(tmp_path), b"first")
    log.append([b"second"])
    log.append([b"third"])
    intact = (tmp_path / "log").read_bytes()
    last = intact.index(b"third") - 12
    for position in range(last):
        flipped = bytearray(intact)
        flipped[position] ^= 0x41
        (tmp_path / "log").write_bytes(flipped)
        with pytest.raises(StorageError):
            read_log(Directory(tmp_path))


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (FileHeader("test-log", 2, "fleet/r0"), "the file has version 1, this program writes 2"),
        (FileHeader("test-log", 1, "fleet/r1"), "the file belongs to fleet/r0, not fleet/r1"),
        (FileHeader("other", 1, "fleet/r0"), "the file has another format: test-log"),
    ],
)
def test_log_with_another_header_is_rejected_in_one_line(header: FileHeader, expected: str) -> None:
    disk = PowerLossDisk()
    create_log(disk, b"first")
    with pytest.raises(StorageError) as error:
        Log(disk, "log", header).open()
    assert str(error.value) == f"log: {expected}"


def test_append_after_a_failed_write_needs_a_new_snapshot() -> None:
    """A later sync does not report what a failed sync lost, as the kernel may mark the pages as clean."""
    disk_is_full = [False]

    def before(step: str) -> None:
        if disk_is_full[0] and step in ("append", "sync"):
            raise OSError(errno.ENOSPC, "No space left on device")

    disk = PowerLossDisk(before)
    log = create_log(disk, b"first")
    disk_is_full[0] = True
    with pytest.raises(OSError, match="No space"):
        log.append([b"second"])
    disk_is_full[0] = False
    with pytest.raises(OSError, match="an earlier write failed; the log needs a new snapshot"):
        log.append([b"third"])
    assert log.needs_snapshot
    log.write_snapshot([b"all"])
    log.append([b"fourth"])
    assert read_log(disk) == [b"all", b"fourth"]


def test_replaced_file_is_old_or_new_after_power_loss() -> None:
    for fail_step in range(1, 6):
        for seed in range(20):
            disk = PowerLossDisk()
            replace_file(disk, "file", b"old" * 400)
            disk.steps = 0

            def cut_power(_: str, disk: PowerLossDisk = disk, fail_step: int = fail_step) -> None:
                if disk.steps == fail_step:
                    raise PowerLossError

            disk.before = cut_power
            is_replaced = False
            try:
                replace_file(disk, "file", b"new" * 500)
                is_replaced = True
            except PowerLossError:
                pass
            disk.before = lambda _: None
            disk.lose_power(random.Random(seed))
            assert disk.read("file") in ((b"new" * 500,) if is_replaced else (b"old" * 400, b"new" * 500))


def test_disk_that_ignores_sync_loses_records() -> None:
    """Shows that the power loss tests can fail."""
    losses = 0
    for seed in range(20):
        disk = PowerLossDisk()
        log = create_log(disk, b"first")
        disk.ignores_sync = True
        log.append([b"second"])
        disk.lose_power(random.Random(seed))
        losses += read_log(disk) != [b"first", b"second"]
    assert losses > 5


def test_two_processes_cannot_lock_one_directory(tmp_path: Path) -> None:
    first, second = Directory(tmp_path), Directory(tmp_path)
    assert first.lock()
    assert not second.lock()
    first.unlock()
    assert second.lock()
