"""The actions that the decisions return, for the router's host to carry out. All times are nanoseconds."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Send(Struct, frozen=True):
    """Start an attempt at a server."""

    request: str
    server: str
    timeout: int = 0
    """0: until the client's deadline."""
    send_before: int = 0
    """Clock time after which it must not be sent, if it has to wait for a connection; 0: no such time."""


class SendBatch(Struct, frozen=True):
    """Start the first attempts of several reads of one command at one server, possibly as one batch."""

    requests: list[str]
    server: str
    command: str
    timeout: int = 0
    """For each attempt; 0: until the client's deadline."""


class Reason(Enum):
    """Why a request was given up; for its accounting only."""

    SHED = "shed"
    """Load shedding: its cache servers' send probabilities are low, and the origin has no headroom."""
    RATE_LIMITED = "limit"
    """The tenant's rate limit or the fetch queue declined the fetch."""
    NO_SERVER = "no server"
    DEADLINE = "time"
    """The deadline has passed, or the time left is too short for an answer."""
    ATTEMPTS = "attempts"
    """No attempt is left, or another one might run a request twice that must not run twice."""
    ORIGIN_FAILED = "store"
    NOT_FOUND = "missing"
    """The origin has no such key, which is not a failure."""


class Reject(Struct, frozen=True):
    """Final answer: no result, and the client may safely retry the request."""

    request: str
    retry_after: int = 0
    """0: none is stated."""
    reason: Reason = Reason.ATTEMPTS


class Fail(Struct, frozen=True):
    """Final answer: failed; the request may have run."""

    request: str
    reason: Reason = Reason.ATTEMPTS


class SetTimer(Struct, frozen=True):
    """Return a TimerFired event with this token after `delay`."""

    delay: int
    token: str


class Subscribe(Struct, frozen=True):
    """Subscribe to the changes of the server list."""


class HealthCheck(Struct, frozen=True):
    """Check a server's health.

    The decisions never request one: health is learned from attempts, and recovers with time.
    """

    server: str


Action = Send | SendBatch | Reject | Fail | SetTimer | Subscribe | HealthCheck
