"""What routers of a fleet say to each other about a change, and what each writes down. No I/O."""

from __future__ import annotations

import math
from typing import Annotated, Literal

import msgspec

from pebblepass.consensus.policy import Policy

Ballot = tuple[int, str]
"""A round's number and who began it; the higher one goes before."""


class Fleet(msgspec.Struct, frozen=True):
    """Who belongs to the fleet."""

    members: dict[str, str]
    """Names, and the addresses where others reach them."""
    voters: dict[str, str]
    """Those that decide, each with the incarnation of its disk; empty before the fleet has formed."""


Kind = Literal["none", "form", "policy", "members", "withdrawn"]


class Value(msgspec.Struct, frozen=True):
    """What one version is, whole: decided once."""

    version: int
    change: str
    """The id of the change that it came from."""
    kind: Kind
    policy: Policy
    fleet: Fleet
    before: dict[str, str]
    """The voters of the version before, who decide this one."""
    who: str = ""
    why: str = ""
    by: str = ""
    """The router that proposed it."""


class Proposal(msgspec.Struct, frozen=True):
    """What a person, or a router, wants."""

    change: str
    who: str
    why: str
    policy: Policy | None = None
    add: dict[str, str] = {}
    retire: tuple[str, ...] = ()
    voters: tuple[str, ...] = ()
    withdraw: str = ""
    """The id of a change that is to end without coming into force."""


class Verdict(msgspec.Struct, frozen=True):
    """How a proposal ended, in plain lines."""

    change: str
    state: Literal["in force", "refused", "open"]
    version: int
    lines: tuple[str, ...]


class Sender(msgspec.Struct, frozen=True):
    """What every message tells of its sender."""

    name: str
    boot: str
    """One run of the process."""
    incarnation: str
    """Of its disk; empty: it keeps none."""
    boots: int
    """How often this disk has been started from."""
    decided: int
    lasting: int
    """The version that its disk holds as decided."""
    clear: int
    """No lease that it granted on this version or an older one holds any more."""
    closed: int
    """It knows that no router can admit under this version or an older one any more."""
    held: int
    """The version that it has a lease on; 0: none."""
    sure: bool
    """Whether enough voters have heard of this start."""


PerSecond = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Rows = tuple[tuple[str, PerSecond], ...]
"""Namespaces, and fetches a second."""


class Renew(msgspec.Struct, frozen=True, tag="renew", omit_defaults=True):
    """A router asks for its lease on a version, and lets go of all older ones."""

    seq: int
    version: int
    applied: int = 0
    """Where shares are split: the question whose grant of this voter it has applied last."""
    demand: Rows = ()
    """What it would fetch."""


class Grant(msgspec.Struct, frozen=True, tag="grant", omit_defaults=True):
    """A voter grants it; the lease runs from when the question was sent."""

    seq: int
    version: int
    boot: str
    """The run of the process that asked: in an upgrade two of one name are there."""
    shares: Rows = ()
    """Of this voter's part, for as long as the lease."""


class Applied(msgspec.Struct, frozen=True, tag="applied"):
    """A router has applied a share that took much away: what it held before is free."""

    seq: int
    version: int


class State(msgspec.Struct, frozen=True, tag="state"):
    """Nothing but what every message tells."""


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """A voter's start is known, and is none from an older copy of its disk."""

    boot: str


class Learn(msgspec.Struct, frozen=True, tag="learn"):
    """A version that is decided."""

    value: Value
    past: tuple[tuple[int, str], ...] = ()
    """Versions decided before it, and the changes that they were."""


class Check(msgspec.Struct, frozen=True, tag="check"):
    """Can this be used?"""

    value: Value


class Checked(msgspec.Struct, frozen=True, tag="checked"):
    """Yes where `problem` is empty."""

    version: int
    change: str
    problem: str


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """A round begins: promise to take part in no lower one, and tell what you have accepted."""

    version: int
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """Promised, durably."""

    version: int
    ballot: Ballot
    accepted: Ballot | None = None
    value: Value | None = None


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    """Accept this value."""

    version: int
    ballot: Ballot
    value: Value


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """Accepted, durably."""

    version: int
    ballot: Ballot


class Rejected(msgspec.Struct, frozen=True, tag="rejected"):
    """A higher round has been promised, or the version before is not closed yet."""

    version: int
    ballot: Ballot
    promised: int
    """The number of the round that goes before."""


class Join(msgspec.Struct, frozen=True, tag="join"):
    """A voter's disk is another one than the fleet knows: take it in anew."""


class Stale(msgspec.Struct, frozen=True, tag="stale"):
    """The disk that this run was started from is an older copy: it may have forgotten promises."""

    boot: str
    boots: int


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """A router that does not vote passes a proposal on."""

    proposal: Proposal


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """How it ended."""

    verdict: Verdict


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Have you heard of this router lately?"""

    name: str


class Heard(msgspec.Struct, frozen=True, tag="heard"):
    """So long ago, in nanoseconds; -1: never."""

    name: str
    age: int


Body = (
    Renew
    | Grant
    | Applied
    | State
    | Welcome
    | Learn
    | Check
    | Checked
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Rejected
    | Join
    | Stale
    | Relay
    | Answer
    | Ask
    | Heard
)


class Message(msgspec.Struct, frozen=True):
    """One message."""

    sender: Sender
    body: Body


# What is written down


class Booted(msgspec.Struct, frozen=True, tag="booted"):
    """The process was started from this disk once more."""

    incarnation: str
    boots: int


class Promised(msgspec.Struct, frozen=True, tag="promised"):
    """A promise, for the version after the decided one."""

    version: int
    ballot: Ballot


class Took(msgspec.Struct, frozen=True, tag="took"):
    """A value accepted."""

    version: int
    ballot: Ballot
    value: Value


class Decided(msgspec.Struct, frozen=True, tag="decided"):
    """A version decided."""

    value: Value


class Seen(msgspec.Struct, frozen=True, tag="seen"):
    """How often another voter's disk has been started from, and by which run of the process last."""

    name: str
    incarnation: str
    boots: int
    boot: str


class Whole(msgspec.Struct, frozen=True, tag="whole"):
    """All of it."""

    incarnation: str
    boots: int
    decided: Value
    promised: Ballot | None
    accepted: Ballot | None
    value: Value | None
    seen: dict[str, tuple[str, int, str]]
    history: tuple[Value, ...]
    closed: int
    past: tuple[tuple[int, str], ...]


class Closed(msgspec.Struct, frozen=True, tag="closed"):
    """No router can admit under this version any more."""

    version: int


Record = Booted | Promised | Took | Decided | Seen | Closed | Whole

_message = msgspec.msgpack.Decoder(Message)
_record = msgspec.msgpack.Decoder(Record)
encode = msgspec.msgpack.Encoder().encode
"""A message's or a record's bytes."""


def read_message(data: bytes) -> Message:
    """Read a message; raises ValueError in one plain line."""
    message = _message.decode(data)
    if isinstance(message.body, Renew | Grant):
        rows = message.body.demand if isinstance(message.body, Renew) else message.body.shares
        # Danger: a NaN is neither over nor under a bound, and would spoil every sum that it gets into.
        if any(math.isnan(rate) for _, rate in rows):
            raise ValueError("a rate that is no number")
    return message


def read_record(data: bytes) -> Record:
    """Read a record; raises ValueError in one plain line."""
    return _record.decode(data)
