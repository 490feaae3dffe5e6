"""The daemon as a run of hollow routers starts it: its own in all, but that it ends with its standard input.

LB_CONFIG=FILE [PEBBLEPASS_OPERATOR=FILE] python -m pebblepass.scale.full
"""

from __future__ import annotations

import os
import sys
import threading

from pebblepass.daemon.__main__ import main


def _end_with_input() -> None:
    while os.read(0, 1 << 12):
        pass
    os._exit(0)


if __name__ == "__main__":
    threading.Thread(target=_end_with_input, daemon=True).start()
    sys.exit(main())
