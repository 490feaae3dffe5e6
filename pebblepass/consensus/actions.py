"""Actions that a replica returns to its shell."""

from __future__ import annotations

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.records import Record


class Send(Struct, frozen=True):
    """Send a message to a router; it may be lost."""

    to: str
    message: m.Message
    boot_id: str = ""
    """The run of its process that must get it; empty: the one that votes."""


class Write(Struct, frozen=True):
    """Write records, in order, and call `written` with the token once they are synced."""

    token: int
    records: tuple[Record, ...]


class PolicyActivated(Struct, frozen=True):
    """The version under which the router may admit, and until when."""

    value: m.Value
    until: int
    """Nanoseconds of the router's clock; 0: it holds no lease on the version."""
    quota_leases: m.Rates = ()
    """Fetches a second by namespace beyond the floors, where the policy splits quotas by leases."""
    quota_leases_until: int = 0
    """Nanoseconds of the router's clock."""


class ProposalConcluded(Struct, frozen=True):
    """The outcome of a proposal that was made through this router."""

    verdict: m.Verdict


class ChangeStep(Struct, frozen=True):
    """A step of a change, for the log."""

    event: str
    version: int
    peer: str = ""
    cause: str = ""


Action = Send | Write | PolicyActivated | ProposalConcluded | ChangeStep
