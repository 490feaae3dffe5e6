"""Messages between the routers of a fleet, and the values that they agree on. No I/O.

The encoded names and tags are the wire form: defined here once, by `rename` and `tag`, and pinned by the
frozen bytes in `tests/compatibility`. Records of the log are in `records`.
"""

from __future__ import annotations

import math
from typing import Annotated, Literal

import msgspec

from pebblepass.consensus.policy import Policy


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True, forbid_unknown_fields=True):
    """Identifies a round; the higher one takes precedence. Encoded as an array."""

    number: int
    proposer: str
    """The run of a process that began the round."""


NO_BALLOT = Ballot(0, "")


class Fleet(msgspec.Struct, frozen=True):
    """The members and the voters of a fleet."""

    members: dict[str, str]
    """Address by router name, where the other routers reach it."""
    voters: dict[str, str]
    """Disk id by router name; the id is empty before the fleet has formed."""


class DecidedChange(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A decided version, and the change that it came from. Encoded as an array."""

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
    """One version in full: the value that a quorum decides once."""

    version: int
    change_id: str
    """The change that it came from."""
    kind: Kind
    policy: Policy
    fleet: Fleet
    previous_voters: dict[str, str]
    """The voters of the version before, who decide this one: disk id by router name."""
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
    """The voters from then on; empty: as before."""
    withdrawn_change_id: str = ""
    """A change that must end without coming into force; empty: none."""


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
    """Identifies its disk; empty: it keeps none."""
    start_count: int
    """How often a process has been started from this disk."""
    decided_version: int
    durable_version: int
    """The latest decided version that is synced to its disk."""
    released_version: int
    """No lease that this router granted on this version or an older one is valid any more."""
    closed_version: int
    """No router can hold a lease on this version or an older one any more."""
    leased_version: int
    """The version that it holds a lease on; 0: none."""
    start_confirmed: bool
    """Whether enough voters know of this start for it to vote."""


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
    """Request a lease on a version, and release all leases on older ones."""

    sequence: int
    version: int
    applied_sequence: int = 0
    """With quota leases: the request whose grant of this voter the router has applied last; 0: none."""
    demand: Rates = ()
    """With quota leases: the fetches a second that the router would make."""


class LeaseGrant(
    msgspec.Struct,
    frozen=True,
    tag="grant",
    omit_defaults=True,
    rename={"sequence": "seq", "boot_id": "boot", "quota_leases": "shares"},
):
    """Grant a lease; it runs from when the request was sent."""

    sequence: int
    version: int
    boot_id: str
    """The run of the process that requested it: during an upgrade there are two of one name."""
    quota_leases: Rates = ()
    """Of this voter's part of the quotas, for as long as the lease."""


class QuotaLeaseApplied(msgspec.Struct, frozen=True, tag="applied", rename={"sequence": "seq"}):
    """A router has applied a quota lease that is much smaller than the one before, which is free now."""

    sequence: int
    version: int


class Heartbeat(msgspec.Struct, frozen=True, tag="state"):
    """The sender's state alone."""


class StartConfirmed(msgspec.Struct, frozen=True, tag="welcome", rename={"boot_id": "boot"}):
    """The sender knows of this start, and that it was not from a stale copy of the disk."""

    boot_id: str


class VersionDecided(msgspec.Struct, frozen=True, tag="learn", rename={"decided_changes": "past"}):
    """Announce a decided version."""

    value: Value
    decided_changes: tuple[DecidedChange, ...] = ()
    """The versions decided before it, as far as they are known."""


class PolicyCheck(msgspec.Struct, frozen=True, tag="check"):
    """Query whether a router can use this value's policy."""

    value: Value


class PolicyCheckResult(msgspec.Struct, frozen=True, tag="checked", rename={"change_id": "change"}):
    """Answer a policy check."""

    version: int
    change_id: str
    problem: str
    """Why the router can't use the policy; empty: it can."""


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Begin a round: promise to vote in no lower one, and report what has been accepted."""

    version: int
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """A promise, synced to the voter's disk."""

    version: int
    ballot: Ballot
    accepted: Ballot | None = None
    """The ballot with which the voter has accepted `value`; None: it has accepted nothing."""
    value: Value | None = None


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    """Propose this value to a voter for acceptance."""

    version: int
    ballot: Ballot
    value: Value


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """An acceptance, synced to the voter's disk."""

    version: int
    ballot: Ballot


class Rejected(msgspec.Struct, frozen=True, tag="rejected", rename={"promised_number": "promised"}):
    """A higher round has been promised, or the version before is not closed yet."""

    version: int
    ballot: Ballot
    """The ballot that is rejected."""
    promised_number: int
    """The number of the round that takes precedence."""


class Rejoin(msgspec.Struct, frozen=True, tag="join"):
    """A voter has another disk than the fleet knows, and requests to be admitted with it."""


class StaleDisk(msgspec.Struct, frozen=True, tag="stale", rename={"boot_id": "boot", "start_count": "boots"}):
    """The disk from which this run was started is an older copy and may lack promises."""

    boot_id: str
    start_count: int


class ForwardedProposal(msgspec.Struct, frozen=True, tag="relay"):
    """A proposal that a router without a vote forwards to a voter."""

    proposal: Proposal


class ForwardedVerdict(msgspec.Struct, frozen=True, tag="answer"):
    """The outcome of a forwarded proposal."""

    verdict: Verdict


class LivenessQuery(msgspec.Struct, frozen=True, tag="ask"):
    """Query when a router's last heartbeat arrived."""

    name: str


class LivenessReport(msgspec.Struct, frozen=True, tag="heard", rename={"age_ns": "age"}):
    """Report when a router's last heartbeat arrived."""

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
    """Decode a message; raises ValueError with a message of one line."""
    message = _message_decoder.decode(data)
    if isinstance(message.body, LeaseRequest | LeaseGrant):
        body = message.body
        rates = body.demand if isinstance(body, LeaseRequest) else body.quota_leases
        # Danger: a NaN is neither above nor below a bound, and would spoil every sum that it enters.
        if any(math.isnan(rate) for _, rate in rates):
            raise ValueError("a rate that is no number")
    return message


def tag_of(encoded: msgspec.Struct) -> str:
    """Return the tag with which a body or a record is encoded."""
    return str(encoded.__struct_config__.tag)
