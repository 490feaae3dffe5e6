"""The event being processed, shared by all parts of a router's decisions."""

from __future__ import annotations

from pebblepass.decisions import interface as api


class EventContext:
    """The current time (nanoseconds) and the actions decided so far, in order.

    A router has one context; `Router.handle` resets both values for each event.
    """

    __slots__ = ("actions", "now")

    def __init__(self) -> None:
        self.now = 0
        self.actions: list[api.Action] = []
