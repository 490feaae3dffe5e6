"""Checks of a trial's history; they don't depend on the routers' implementation."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from msgspec import Struct

from pebblepass.fault_injection.history import Event


class Violation(Struct, frozen=True):
    """A failed check, with the events that prove it."""

    check: str
    message: str
    evidence: tuple[Event, ...]


Check = Callable[[Sequence[Event]], Iterator[Violation]]


def one_outcome(events: Sequence[Event]) -> Iterator[Violation]:
    """A version is decided once, with one value on all routers; a refused change is never decided."""
    decided: dict[int, Event] = {}
    by_change: dict[str, Event] = {}
    for event in events:
        if event.kind == "decided":
            first = decided.setdefault(event.version, event)
            if (first.change, first.detail) != (event.change, event.detail):
                here, there = f"{first.change} at {first.router}", f"{event.change} at {event.router}"
                message = f"version {event.version} is {here}, {there}"
                yield Violation("one outcome", message, (first, event))
            by_change.setdefault(event.change, event)
    for event in events:
        if event.kind == "verdict" and event.detail == "refused" and event.change in by_change:
            message = f"{event.change} was refused, but is version {by_change[event.change].version}"
            yield Violation("one outcome", message, (event, by_change[event.change]))


def single_version_in_force(events: Sequence[Event]) -> Iterator[Violation]:
    """After the first admission under a version, none is under an older or an undecided version."""
    newest: Event | None = None
    decided: set[int] = set()
    for event in events:
        if event.kind == "decided":
            decided.add(event.version)
        elif event.kind == "admit":
            if newest is not None and event.version < newest.version:
                late = (event.at - newest.at) / 1e6
                message = f"{event.router} admits under {event.version}, {late:.1f} ms after {newest.version}"
                yield Violation("everywhere or nowhere", message, (newest, event))
            elif newest is None or event.version > newest.version:
                newest = event
            if event.version not in decided:
                message = f"{event.router} admits under {event.version}, which is not decided"
                yield Violation("everywhere or nowhere", message, (event,))


def promises_kept(events: Sequence[Event]) -> Iterator[Violation]:
    """A disk votes in no round below the one that it promised, and keeps what it accepted."""
    promised: dict[tuple[str, int], Event] = {}
    accepted: dict[tuple[str, int], Event] = {}
    for event in events:
        if event.kind not in ("promised", "accepted") or event.ballot is None:
            continue
        key = (event.disk, event.version)
        promised_before, accepted_before = promised.get(key), accepted.get(key)
        if (
            promised_before is not None
            and promised_before.ballot is not None
            and event.ballot < promised_before.ballot
        ):
            message = f"{event.router} {event.kind} round {event.ballot[0]} below {promised_before.ballot[0]}"
            yield Violation("promises kept", message, (promised_before, event))
        if event.kind == "promised" and accepted_before is not None and not event.detail:
            message = f"{event.router} forgot that it had accepted {accepted_before.change}"
            yield Violation("promises kept", message, (accepted_before, event))
        promised[key] = event
        if event.kind == "accepted":
            accepted[key] = event


def versions_in_order(events: Sequence[Event]) -> Iterator[Violation]:
    """A change that is proposed after the verdict on another one gets a later version."""
    proposals: dict[str, Event] = {}
    concluded: list[Event] = []
    for event in events:
        if event.kind == "proposed":
            proposals.setdefault(event.change, event)
        elif event.kind == "verdict" and event.detail == "in force" and event.version:
            proposal = proposals.get(event.change)
            for other in concluded:
                if proposal is not None and other.at < proposal.at and other.version >= event.version:
                    message = f"{event.change} follows {other.change}, but its version is not later"
                    yield Violation("in order", message, (other, proposal, event))
            concluded.append(event)


def within_quota(events: Sequence[Event]) -> Iterator[Violation]:
    """At any time the routers' rates above their floors add up to no more than the version allows."""
    quota_by_version: dict[int, float] = {}
    share_by_router: dict[str, Event] = {}
    for index, event in enumerate(events):
        if event.kind == "decided" and event.amount:
            quota_by_version.setdefault(event.version, event.amount)
        if event.kind != "share":
            continue
        share_by_router[event.router] = event
        if index + 1 < len(events) and events[index + 1].at == event.at and events[index + 1].kind == "share":
            continue  # samples of one time are counted together
        valid = [share for share in share_by_router.values() if share.until >= event.at and share.amount > 0]
        total = sum(share.amount for share in valid)
        limit = min((quota_by_version.get(share.version, 0.0) for share in valid), default=0.0)
        if total > limit * (1 + ROUNDING) + ROUNDING:
            rates = ", ".join(f"{share.router} {share.amount:.3g}" for share in valid)
            message = f"{total:.4g} fetches per second above the floors, limit {limit:.4g}: {rates}"
            yield Violation("within the quota", message, tuple(valid))


def within_client_deadline(events: Sequence[Event]) -> Iterator[Violation]:
    """No attempt advertises more time than its client has left when the attempt is written."""
    for event in events:
        if event.kind != "advertised":
            continue
        left_ms = (event.until - event.at) / 1e6
        if event.amount < 0 or event.amount > left_ms:
            advertised = f"{event.amount:.0f} ms" if event.amount >= 0 else "no timeout"
            message = f"{event.router}: {event.detail} advertised {advertised} with {left_ms:.3f} ms left"
            yield Violation("within the client's time", message, (event,))


ROUNDING = 1e-6  # relative and absolute tolerance of sums of floats
CHECKS: tuple[Check, ...] = (
    one_outcome,
    single_version_in_force,
    promises_kept,
    versions_in_order,
    within_quota,
    within_client_deadline,
)


def check_all(events: Sequence[Event]) -> list[Violation]:
    """Return the first violation of each check."""
    found = [next(check(events), None) for check in CHECKS]
    return [violation for violation in found if violation is not None]
