"""Messages between the routers of a fleet, and the values on which they reach consensus. No I/O.

`rename` and `tag` define the names on the wire, which the frozen bytes in `tests/compatibility` pin. The
records of the log are in `records`.
"""

from __future__ import annotations

import math
from typing import Annotated, Literal

import msgspec

from pebblepass.consensus.policy import Policy


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True, forbid_unknown_fields=True):
    """Identifies a round of voting; a higher ballot takes precedence. Encoded as an array."""

    number: int
    proposer: str
    """The router and the run of its process that began the round."""


NO_BALLOT = Ballot(0, "")


class Fleet(msgspec.Struct, frozen=True):
    """The members and the voters of a fleet."""

    members: dict[str, str]
    """Address by router name, at which the other routers reach it."""
    voters: dict[str, str]
    """Disk id by router name; the id is empty before the fleet has formed."""


class DecidedChange(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A decided version and the id of its change. Encoded as an array."""

    version: int
    change_id: str


Kind = Literal["none", "form", "policy", "members", "withdrawn"]


class Value(
    msgspec.Struct,
    frozen=True,
    rename={
        "change_id": "change",
        "previous_voters": "before",
        "author": "who",
        "reason": "why",
        "proposer": "by",
    },
):
    """A complete version: the value that a quorum decides once."""

    version: int
    change_id: str
    """The change that produced the version."""
    kind: Kind
    policy: Policy
    fleet: Fleet
    previous_voters: dict[str, str]
    """The voters of the previous version, which decide this one: disk id by router name."""
    author: str = ""
    reason: str = ""
    proposer: str = ""
    """The router that proposed it."""


class Proposal(
    msgspec.Struct,
    frozen=True,
    rename={
        "change_id": "change",
        "author": "who",
        "reason": "why",
        "added_members": "add",
        "removed_members": "retire",
        "withdrawn_change_id": "withdraw",
    },
):
    """A change that an operator or a router proposes."""

    change_id: str
    author: str
    reason: str
    policy: Policy | None = None
    """None: the policy stays as it is."""
    added_members: dict[str, str] = {}
    """Address by router name."""
    removed_members: tuple[str, ...] = ()
    voters: tuple[str, ...] = ()
    """The voters on later versions; empty: unchanged."""
    withdrawn_change_id: str = ""
    """The id of a change to withdraw before it is decided; empty: none."""


class Verdict(msgspec.Struct, frozen=True, rename={"change_id": "change"}):
    """The outcome of a proposal, with lines for the operator."""

    change_id: str
    state: Literal["in force", "refused", "open"]
    version: int
    lines: tuple[str, ...]


class Sender(
    msgspec.Struct,
    frozen=True,
    rename={
        "boot_id": "boot",
        "disk_id": "incarnation",
        "start_count": "boots",
        "decided_version": "decided",
        "durable_version": "lasting",
        "released_version": "clear",
        "closed_version": "closed",
        "leased_version": "held",
        "start_confirmed": "sure",
    },
):
    """The sender's state, which every message carries."""

    name: str
    boot_id: str
    """Identifies one run of the process."""
    disk_id: str
    """Identifies the router's disk; empty: it keeps none."""
    start_count: int
    """How often a process has been started from this disk."""
    decided_version: int
    durable_version: int
    """The latest decided version that is synced to the router's disk."""
    released_version: int
    """No lease that this router granted on this version or an older one is valid any more."""
    closed_version: int
    """No router can hold a lease on this version or an older one any more."""
    leased_version: int
    """The version that the router holds a lease on; 0: none."""
    start_confirmed: bool
    """Whether a quorum knows of this start, so that the router may vote."""


PerSecond = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Rates = tuple[tuple[str, PerSecond], ...]
"""Fetches a second by namespace."""


NO_RATES: Rates = ()


class LeaseRequest(
    msgspec.Struct,
    frozen=True,
    tag="renew",
    omit_defaults=True,
    rename={"sequence": "seq", "applied_sequence": "applied"},
):
    """Requests a lease on a version, and releases all leases on older ones."""

    sequence: int
    version: int
    applied_sequence: int = 0
    """With quota leases: the sequence of the receiver's grant that the router applied last; 0: none."""
    demand: Rates = ()
    """With quota leases: the fetches a second that the router would make without a limit."""


class LeaseGrant(
    msgspec.Struct,
    frozen=True,
    tag="grant",
    omit_defaults=True,
    rename={"sequence": "seq", "boot_id": "boot", "quota_leases": "shares"},
):
    """Grants a lease, which runs from when the request was sent."""

    sequence: int
    version: int
    boot_id: str
    """The run of the process that requested it: during an upgrade two processes share a name."""
    quota_leases: Rates = ()
    """Leases of this voter's part of the quotas, valid as long as the lease."""


class QuotaLeaseApplied(msgspec.Struct, frozen=True, tag="applied", rename={"sequence": "seq"}):
    """The sender has applied a much smaller quota lease and releases the rest of the previous one."""

    sequence: int
    version: int


class Heartbeat(msgspec.Struct, frozen=True, tag="state"):
    """Carries only the sender's state."""


class StartConfirmed(msgspec.Struct, frozen=True, tag="welcome", rename={"boot_id": "boot"}):
    """The sender knows of this start, and that it was not from an older copy of the disk."""

    boot_id: str


class VersionDecided(msgspec.Struct, frozen=True, tag="learn", rename={"decided_changes": "past"}):
    """Announces a decided version."""

    value: Value
    decided_changes: tuple[DecidedChange, ...] = ()
    """The decided versions that the sender knows, with their change ids."""


class PolicyCheck(msgspec.Struct, frozen=True, tag="check"):
    """Asks whether a router can use this value's policy."""

    value: Value


class PolicyCheckResult(msgspec.Struct, frozen=True, tag="checked", rename={"change_id": "change"}):
    """Answers a policy check."""

    version: int
    change_id: str
    problem: str
    """Why the router can't use the policy; empty: it can."""


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Begins a round: asks a voter to promise that it will not vote in a lower one."""

    version: int
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """A voter's promise, synced to its disk, with the value that it has accepted."""

    version: int
    ballot: Ballot
    accepted: Ballot | None = None
    """The ballot with which the voter has accepted `value`; None: it has accepted nothing."""
    value: Value | None = None


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    """Asks a voter to accept this value."""

    version: int
    ballot: Ballot
    value: Value


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """A voter's acceptance, synced to its disk."""

    version: int
    ballot: Ballot


class Rejected(msgspec.Struct, frozen=True, tag="rejected", rename={"promised_number": "promised"}):
    """A higher ballot has been promised, or the version before the decided one is not closed yet."""

    version: int
    ballot: Ballot
    """The ballot that is rejected."""
    promised_number: int
    """The number of the ballot that was promised."""


class Rejoin(msgspec.Struct, frozen=True, tag="join"):
    """A voter's disk is not the one that the fleet knows; requests to admit the voter with its new disk."""


class StaleDisk(msgspec.Struct, frozen=True, tag="stale", rename={"boot_id": "boot", "start_count": "boots"}):
    """Reports to a run of a router that its disk is an older copy, which may lack promises."""

    boot_id: str
    start_count: int


class ForwardedProposal(msgspec.Struct, frozen=True, tag="relay"):
    """A proposal that a router without a vote forwards to a voter."""

    proposal: Proposal


class ForwardedVerdict(msgspec.Struct, frozen=True, tag="answer"):
    """The outcome of a forwarded proposal."""

    verdict: Verdict


class LivenessQuery(msgspec.Struct, frozen=True, tag="ask"):
    """Asks when a router's last heartbeat arrived."""

    name: str


class LivenessReport(msgspec.Struct, frozen=True, tag="heard", rename={"age_ns": "age"}):
    """Reports when a router's last heartbeat arrived."""

    name: str
    age_ns: int
    """Nanoseconds since then; -1: never."""


Body = (
    LeaseRequest
    | LeaseGrant
    | QuotaLeaseApplied
    | Heartbeat
    | StartConfirmed
    | VersionDecided
    | PolicyCheck
    | PolicyCheckResult
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Rejected
    | Rejoin
    | StaleDisk
    | ForwardedProposal
    | ForwardedVerdict
    | LivenessQuery
    | LivenessReport
)


class Message(msgspec.Struct, frozen=True):
    """A message: the sender's state and a body."""

    sender: Sender
    body: Body


_message_decoder = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode
"""Encode a message or a record."""


def read_message(data: bytes) -> Message:
    """Decode a message; raises ValueError with a one-line text."""
    message = _message_decoder.decode(data)
    if isinstance(message.body, LeaseRequest | LeaseGrant):
        body = message.body
        rates = body.demand if isinstance(body, LeaseRequest) else body.quota_leases
        # Warning: a NaN passes the bounds of the type and turns every sum that contains it into NaN.
        if any(math.isnan(rate) for _, rate in rates):
            raise ValueError("a rate is not a number")
    return message


def tag_of(encoded: msgspec.Struct) -> str:
    """Return the tag with which a body or a record is encoded."""
    return str(encoded.__struct_config__.tag)
