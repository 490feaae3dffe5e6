"""What happened in a trial: the one thing that checkers read. Times are the machine's, in nanoseconds."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a history."""

    at: int
    router: str
    what: str
    """admit, floor, decided, promised, accepted, proposed, verdict, started, fault, note, share,
    advertised."""
    version: int = 0
    change: str = ""
    told: str = ""
    """The state of a verdict, the digest of what was decided, the kind of a fault."""
    ballot: tuple[int, str] | None = None
    disk: str = ""
    """The incarnation of the disk that promised."""
    amount: float = 0.0
    """Of a share: fetches a second that its router admits beyond the floor; of a version: all of these.

    Of an attempt that was written: the timeout that it advertised, in milliseconds; below 0: it has none.
    """
    until: int = 0
    """Of a share: until when it admits so much, if nothing later is told; `at`: it was seen to, then.

    Of an attempt: its client's deadline.
    """


def write_history(path: Path, events: Iterable[Event]) -> None:
    """Write a history, a line an event."""
    encode = msgspec.json.encode
    path.write_bytes(b"".join(encode(event) + b"\n" for event in events))


def read_history(paths: Iterable[Path]) -> list[Event]:
    """The events of several files by their time; a last line that is torn by a kill is left out."""
    found: list[Event] = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            try:
                found.append(msgspec.json.decode(line, type=Event))
            except msgspec.DecodeError:
                break
    return sorted(found, key=lambda event: event.at)
