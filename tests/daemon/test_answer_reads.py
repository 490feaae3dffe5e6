"""Connections that buffer answers: they stay within the account, and none waits forever."""

from __future__ import annotations

from hypothesis import given, strategies

from pebblepass.daemon.answer_reads import AnswerReads
from pebblepass.daemon.memory_account import SMALL_BYTES, MemoryAccount

STEP = 64 << 10
TOTAL = 48 * STEP


class BufferingReader:
    """Buffers `need` bytes in steps, while it may read."""

    def __init__(self, need: int) -> None:
        self.need, self.buffered, self.reading = need, 0, True

    def pause_buffering(self) -> None:
        assert self.reading
        self.reading = False

    def resume_buffering(self) -> None:
        assert not self.reading
        self.reading = True

    def read(self, reads: AnswerReads) -> None:
        self.buffered = min(self.buffered + STEP, self.need)
        reads.count(self, self.buffered)


@given(strategies.integers(0, TOTAL), strategies.lists(strategies.integers(1, 16 * STEP), max_size=12))
def test_all_readers_finish_and_exceed_the_account_by_a_step_at_most(others: int, needs: list[int]) -> None:
    account = MemoryAccount(TOTAL)
    account.replies.take(min(others, account.free))
    reads, readers = AnswerReads(account), [BufferingReader(need) for need in needs]
    while readers:
        progressed = False
        for reader in list(readers):
            if not reader.reading:
                continue
            progressed = True
            reader.read(reads)
            # Received bytes can't be rejected: each reader may exceed the account by one step.
            assert account.used <= TOTAL + STEP * len(needs)
            if reader.buffered == reader.need:
                readers.remove(reader)
                reads.release(reader)
        assert progressed, "all readers wait for one another"
    assert reads.used == 0


def test_reader_that_leaves_while_waiting_blocks_no_other() -> None:
    account = MemoryAccount(TOTAL)
    account.replies.take(account.free)
    reads = AnswerReads(account)
    first, second, third = (BufferingReader(8 * STEP) for _ in range(3))
    for reader in (first, second, third):
        reader.read(reads)
    assert [reader.reading for reader in (first, second, third)] == [True, False, False]
    reads.release(second)
    reads.release(first)
    assert third.reading
    assert reads.used == STEP


def test_small_answers_are_read_although_memory_is_exhausted() -> None:
    account = MemoryAccount(TOTAL)
    account.replies.take(TOTAL)
    reads, small, long = AnswerReads(account), BufferingReader(SMALL_BYTES), BufferingReader(STEP)
    small.read(reads)
    long.read(reads)
    assert (small.reading, long.reading) == (True, False)
