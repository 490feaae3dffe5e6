"""A long value is passed on at once, although commands stand behind it."""

from __future__ import annotations

import sys

from pebblepass.daemon import value_stream
from pebblepass.daemon.process import main

value_stream.MAX_HOLD_S = 0.0

if __name__ == "__main__":
    sys.exit(main())
