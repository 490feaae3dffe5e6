"""Who of a fleet is alive, by what one router hears itself and what others tell it. No I/O, no clock.

| state | what is known | until |
| --- | --- | --- |
| alive | heard within three beats | silent for longer |
| suspected | silent for longer; the voters are asked | one of them heard it, or nobody did within two beats |
| unheard | silent here, but another hears it: a link is cut | heard again, or nobody hears it |
| down | silent for all that were asked | heard again |

One missed beat says nothing: a process that is paused or a link that is slow is not dead.
"""

from __future__ import annotations

from enum import Enum

MISSED = 3  # beats that may be missed before a router is suspected
ASKING = 2  # beats in which those asked have to answer


class Liveness(Enum):
    """What is believed of a router."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    UNHEARD = "unheard"
    DOWN = "down"


class View:
    """One router's view of the others."""

    def __init__(self, beat: int, now: int) -> None:
        """`beat`: nanoseconds from one sign of life to the next."""
        self.beat, self._begun = beat, now
        self.heard_at: dict[str, int] = {}
        """When each router was heard last; one that never was is not in it."""
        self._asked_at: dict[str, int] = {}
        self._told: dict[str, int] = {}
        """When another router heard it last, by what that one said."""

    def heard(self, name: str, now: int) -> None:
        """A message of its own has come."""
        self.heard_at[name] = now
        self._asked_at.pop(name, None)

    def told(self, name: str, age: int, now: int) -> None:
        """Another router heard it so long ago; below 0: never."""
        if age >= 0:
            self._told[name] = max(self._told.get(name, 0), now - age)

    def alive(self, name: str, now: int) -> bool:
        """Whether it is heard here."""
        return name in self.heard_at and now - self.heard_at[name] <= MISSED * self.beat

    def age(self, name: str, now: int) -> int:
        """Nanoseconds since it was heard here; -1: never."""
        return now - self.heard_at[name] if name in self.heard_at else -1

    def suspects(self, names: list[str], now: int) -> list[str]:
        """Those of these routers that others are to be asked about now."""
        found = []
        for name in names:
            silent = not self.alive(name, now) and now - self._begun > MISSED * self.beat
            # Asked again now and then: it may be back where this router doesn't hear it.
            if silent and now - self._asked_at.get(name, -(1 << 62)) > MISSED * self.beat:
                self._asked_at[name] = now
                found.append(name)
        return found

    def state(self, name: str, now: int) -> Liveness:
        """What is believed of it."""
        if self.alive(name, now):
            return Liveness.ALIVE
        if name in self._told and now - self._told[name] <= (MISSED + ASKING) * self.beat:
            return Liveness.UNHEARD
        begun = self._asked_at.get(name)
        if begun is None or now - max(begun, self.heard_at.get(name, 0)) <= ASKING * self.beat:
            return Liveness.SUSPECTED if not self._silent_for_long(name, now) else Liveness.DOWN
        return Liveness.DOWN

    def _silent_for_long(self, name: str, now: int) -> bool:
        """Whether an earlier question has been answered by nobody already."""
        silent_since = self.heard_at.get(name, self._begun)
        return now - silent_since > (2 * MISSED + ASKING) * self.beat
