"""The daemon's event loop, whose time is the daemon's clock."""

from __future__ import annotations

from time import monotonic, monotonic_ns

import uvloop


class DaemonLoop(uvloop.Loop):
    """uvloop with `time()` read from the system's clock at each call.

    uvloop's own time is that of the start of the current iteration, in whole milliseconds: too coarse for
    answers that take one or two milliseconds, and outdated in a long iteration.
    """

    # The functions themselves, without a wrapper: the clock is read several times for each request.
    time = staticmethod(monotonic)
    time_ns = staticmethod(monotonic_ns)
