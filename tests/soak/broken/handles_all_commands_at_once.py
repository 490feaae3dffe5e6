"""All that one read brings is handled in one call."""

from __future__ import annotations

import sys

from pebblepass.daemon import command_turns, limited_reads
from pebblepass.daemon.process import main

command_turns.MAX_COMMANDS_PER_READ = command_turns.MAX_DISPATCHES_PER_TURN = 10**9
limited_reads._BUFFER = memoryview(bytearray(8 << 20))

if __name__ == "__main__":
    sys.exit(main())
