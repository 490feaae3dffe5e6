"""The daemon's event loop, and with it its clock."""

from __future__ import annotations

from time import monotonic, monotonic_ns

import uvloop


class DaemonLoop(uvloop.Loop):
    """uvloop with `time()` read from the system's clock at each call.

    uvloop's own time is that of the current turn in whole milliseconds: too coarse for answers that take
    one or two, and as old as the turn is long.
    """

    # The functions themselves: the clock is read several times for each request.
    time = staticmethod(monotonic)
    time_ns = staticmethod(monotonic_ns)
