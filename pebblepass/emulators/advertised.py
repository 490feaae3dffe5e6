"""The timeout that an attempt advertises to its server: `d` in its list of names and values. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MOST_DIGITS = 9  # as clients' own timeouts are bounded


@dataclass(frozen=True, slots=True)
class AdvertisedTimeout:
    """What an attempt told its server of its client's time; the times are the loop's, in seconds."""

    request: str
    server: str
    timeout_ms: int | None
    """None: the attempt has no `d`, or one that can't be read."""
    first_byte_at: float
    last_byte_at: float


def read_advertised_timeout(info: bytes) -> int | None:
    """Read `d` from a list of names and values; None where it is missing, malformed or there twice."""
    found = [part[len(b"d=") :] for part in info.split(b",") if part.startswith(b"d=")]
    if len(found) != 1 or not found[0].isdigit() or len(found[0]) > MOST_DIGITS:
        return None
    return int(found[0])
