"""Actions that a replica returns to the service that runs it."""

from __future__ import annotations

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.records import Record


class Send(Struct, frozen=True):
    """Send a message to a router. Delivery is not guaranteed."""

    to: str
    message: m.Message
    boot_id: str = ""
    """The run of the receiver's process to send to; empty: the one that this router is linked to."""


class Write(Struct, frozen=True):
    """Write records in order, and call `Replica.written` with the token once they are synced."""

    token: int
    records: tuple[Record, ...]


class PolicyActivated(Struct, frozen=True):
    """The version under which the router may admit requests, and until when."""

    value: m.Value
    until: int
    """Nanoseconds of the router's clock; 0: the router holds no lease on the version."""
    quota_leases: m.Rates = ()
    """Fetches a second by namespace, in addition to the floors, where the policy splits quotas by leases."""
    quota_leases_until: int = 0
    """Nanoseconds of the router's clock."""


class ProposalConcluded(Struct, frozen=True):
    """The outcome of a proposal that an operator made through this router."""

    verdict: m.Verdict


class ChangeStep(Struct, frozen=True):
    """A step of a change, to be logged and counted."""

    event: str
    version: int
    peer: str = ""
    cause: str = ""


Action = Send | Write | PolicyActivated | ProposalConcluded | ChangeStep
