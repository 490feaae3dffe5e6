"""The daemon, unchanged except that it exits when its standard input ends.

A scale run starts it as a full router, so that no process outlives a run that was killed.

LB_CONFIG=FILE [PEBBLEPASS_OPERATOR=FILE] python -m pebblepass.scale.full
"""

from __future__ import annotations

import os
import signal
import sys
import threading

from pebblepass.daemon.process import main


def _exit_at_end_of_input() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())  # see daemon.exit_signals
    while os.read(0, 1 << 12):
        pass
    os._exit(0)


if __name__ == "__main__":
    threading.Thread(target=_exit_at_end_of_input, daemon=True).start()
    sys.exit(main())
