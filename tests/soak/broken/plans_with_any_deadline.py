"""A shutdown plans with the longest deadline of the classes, however long the platform waits."""

from __future__ import annotations

import sys

from pebblepass.daemon import shutdown_plan
from pebblepass.daemon.process import main

shutdown_plan.MAX_COUNTED_DEADLINE_S = float("inf")

if __name__ == "__main__":
    sys.exit(main())
