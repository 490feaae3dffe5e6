"""A call to discovery is given up before the service's limit, and only then another one begins."""

from __future__ import annotations

import math
import sys

from pebblepass.discovery import call_schedule


def main() -> int:
    """Run the router with the broken timing."""
    call_schedule.POLL_TIMING = call_schedule.POLL_TIMING._replace(
        immediate_overlap_s=math.inf, immediate_timeout_s=1.1
    )
    from pebblepass.daemon import process  # it takes the timing by its import

    return process.main()


if __name__ == "__main__":
    sys.exit(main())
