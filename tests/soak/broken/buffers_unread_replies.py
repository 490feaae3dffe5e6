"""Replies that clients do not read are not counted, and stop nothing."""

from __future__ import annotations

import sys

from pebblepass.daemon import client_connection, reply
from pebblepass.daemon.memory_account import MemoryAccount
from pebblepass.daemon.process import main


def count_nothing(self: MemoryAccount, size: int) -> None:
    self.used += size


client_connection.WRITE_HIGH_WATER_BYTES = 64 << 20
vars(reply)["ANSWER_BYTES"] = 0
MemoryAccount.change = count_nothing  # type: ignore[method-assign]
MemoryAccount.free_answers = 1000  # type: ignore[assignment, method-assign]

if __name__ == "__main__":
    sys.exit(main())
