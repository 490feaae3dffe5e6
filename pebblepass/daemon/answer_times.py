"""How soon a server has answered lately, and until when its connections may carry a second answer.

Answers have no id. A server may send an answer a second time some milliseconds after the first, unless it has
received another request on the connection by then. The way back may stretch that gap: by up to the difference
between the slowest and the fastest message of this network, which is below half of the shortest round trip.

| after an answer | a second answer is told apart by |
| --- | --- |
| until the connection may be reused | it arrives without a request, and its connection is closed |
| later | it arrives sooner after the next request than any answer to a request can |

No I/O, no clock.
"""

from __future__ import annotations

JITTER_FRACTION = 0.5
"""Of the shortest answer time: by how much later than the first answer the second may be under way."""
MAX_JITTER_S = 0.025
"""Limits the delay for servers that take long to answer although they are near."""
WINDOW_S = 10.0
"""The delay follows the shortest answer time of one to two windows, as the network may change."""
MIN_ANSWERS = 32
"""Number of answers before another one counts as too early: the first ones may all have been slow."""
EARLY_FRACTION = 0.5
"""Of the shortest answer time ever: an answer that takes less is too early to belong to its request."""
SCHEDULING_S = 0.002
"""By which this process or a near server may measure an answer time too short."""
SUSPECT_DELAYS = 2.0
"""Early answers are refused if the request was sent within this many reuse delays of the previous answer."""


class AnswerTimes:
    """The answer times of one server: seconds from a request to the first byte of its answer."""

    __slots__ = (
        "_count",
        "_current",
        "_previous",
        "_shortest_s",
        "_window_ends_at",
        "earliest_s",
        "jitter_s",
    )

    def __init__(self) -> None:
        self._current = self._previous = float("inf")  # the minima of this window and of the one before it
        self._window_ends_at = float("-inf")
        self._count, self._shortest_s = 0, float("inf")
        self.jitter_s = 0.0
        """By how many seconds a second answer may be later than the first beyond the gap of its server."""
        self.earliest_s = float("-inf")
        """An answer that takes less is too early to belong to its request."""

    def record(self, now: float, answer_time_s: float) -> None:
        """Record an answer that was accepted; `now` in seconds of the loop's clock."""
        if self._count < MIN_ANSWERS or answer_time_s < self._shortest_s:
            self._record_shortest(answer_time_s)
        if now < self._window_ends_at and answer_time_s >= self._current:
            return
        if now >= self._window_ends_at:
            is_next = now < self._window_ends_at + WINDOW_S
            self._previous = self._current if is_next else float("inf")
            self._current, self._window_ends_at = float("inf"), now + WINDOW_S
        self._current = min(self._current, answer_time_s)
        self.jitter_s = min(min(self._current, self._previous) * JITTER_FRACTION, MAX_JITTER_S)

    def record_refused(self, answer_time_s: float) -> None:
        """Record an answer that was refused as too early.

        A server that has become quicker is believed after one refused answer, while second answers do not
        shorten the delay.
        """
        self._record_shortest(answer_time_s)

    def _record_shortest(self, answer_time_s: float) -> None:
        self._count += 1
        self._shortest_s = min(self._shortest_s, answer_time_s)
        if self._count >= MIN_ANSWERS:
            self.earliest_s = self._shortest_s * EARLY_FRACTION - SCHEDULING_S
