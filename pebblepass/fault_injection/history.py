"""The history of a trial, which is all that the checkers read. Times are the machine's, in nanoseconds."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec


class Event(msgspec.Struct, frozen=True, omit_defaults=True, rename={"kind": "what", "detail": "told"}):
    """One line of a history."""

    at: int
    router: str
    kind: str
    """One of: admit, floor, decided, promised, accepted, proposed, verdict, started, fault, note, share,
    advertised.
    """
    version: int = 0
    change: str = ""
    detail: str = ""
    """The state of a verdict, the digest of a decided value, or the description of a fault."""
    ballot: tuple[int, str] | None = None
    disk: str = ""
    """The incarnation of the disk that holds the vote."""
    amount: float = 0.0
    """For a share: fetches per second that its router admits above the floor; for a version: their total.

    For an attempt: the advertised timeout in milliseconds; negative if there is none.
    """
    until: int = 0
    """For a share: the end of its validity, unless a later event replaces it; `at`: it was sampled then.

    For an attempt: its client's deadline.
    """


def write_history(path: Path, events: Iterable[Event]) -> None:
    """Write a history as one JSON line per event."""
    encode = msgspec.json.encode
    path.write_bytes(b"".join(encode(event) + b"\n" for event in events))


def read_history(paths: Iterable[Path]) -> list[Event]:
    """Read several files, ordered by time; a file is read up to a line that a kill has truncated."""
    events: list[Event] = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            try:
                events.append(msgspec.json.decode(line, type=Event))
            except msgspec.DecodeError:
                break
    return sorted(events, key=lambda event: event.at)
