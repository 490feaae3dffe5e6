"""The timeout that an attempt advertises to its server: `d` in its info list. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MAX_TIMEOUT_DIGITS = 9  # the same limit as for the timeouts that clients send


@dataclass(frozen=True, slots=True)
class AdvertisedTimeout:
    """The timeout that an attempt carried to its server; `*_at` are loop times in seconds."""

    request: str
    server: str
    timeout_ms: int | None
    """None if `d` is missing or can't be parsed."""
    first_byte_at: float
    last_byte_at: float


def read_advertised_timeout(info: bytes) -> int | None:
    """Parse `d` from an info list; None if it is missing, malformed or present twice."""
    values = [field[len(b"d=") :] for field in info.split(b",") if field.startswith(b"d=")]
    if len(values) != 1 or not values[0].isdigit() or len(values[0]) > MAX_TIMEOUT_DIGITS:
        return None
    return int(values[0])
