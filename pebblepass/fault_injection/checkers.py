"""What must hold of a history. Nothing here knows how the routers come to it."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from msgspec import Struct

from pebblepass.fault_injection.history import Event


class Broken(Struct, frozen=True):
    """A check that did not hold, and the shortest part of the history that shows it."""

    check: str
    line: str
    shown: tuple[Event, ...]


Check = Callable[[Sequence[Event]], Iterator[Broken]]


def one_outcome(events: Sequence[Event]) -> Iterator[Broken]:
    """A version is decided once, alike everywhere; what was told refused is never decided."""
    decided: dict[int, Event] = {}
    by_change: dict[str, Event] = {}
    for event in events:
        if event.what == "decided":
            first = decided.setdefault(event.version, event)
            if (first.change, first.told) != (event.change, event.told):
                here, there = f"{first.change} at {first.router}", f"{event.change} at {event.router}"
                line = f"version {event.version} is {here}, {there}"
                yield Broken("one outcome", line, (first, event))
            by_change.setdefault(event.change, event)
    for event in events:
        if event.what == "verdict" and event.told == "refused" and event.change in by_change:
            line = f"{event.change} was told refused, and is version {by_change[event.change].version}"
            yield Broken("one outcome", line, (event, by_change[event.change]))


def everywhere_or_nowhere(events: Sequence[Event]) -> Iterator[Broken]:
    """After the first request admitted under a version none is under an older one, or an open one."""
    newest: Event | None = None
    decided: set[int] = set()
    for event in events:
        if event.what == "decided":
            decided.add(event.version)
        elif event.what == "admit":
            if newest is not None and event.version < newest.version:
                late = (event.at - newest.at) / 1e6
                line = f"{event.router} admits under {event.version}, {late:.1f} ms after {newest.version}"
                yield Broken("everywhere or nowhere", line, (newest, event))
            elif newest is None or event.version > newest.version:
                newest = event
            if event.version not in decided:
                line = f"{event.router} admits under {event.version}, which is not decided"
                yield Broken("everywhere or nowhere", line, (event,))


def promises_kept(events: Sequence[Event]) -> Iterator[Broken]:
    """A disk that has promised a round takes part in no lower one, and forgets nothing that it accepted."""
    promised: dict[tuple[str, int], Event] = {}
    accepted: dict[tuple[str, int], Event] = {}
    for event in events:
        if event.what not in ("promised", "accepted") or event.ballot is None:
            continue
        key = (event.disk, event.version)
        before, took = promised.get(key), accepted.get(key)
        if before is not None and before.ballot is not None and event.ballot < before.ballot:
            line = f"{event.router} {event.what} round {event.ballot[0]}, and promised {before.ballot[0]}"
            yield Broken("promises kept", line, (before, event))
        if event.what == "promised" and took is not None and not event.told:
            line = f"{event.router} forgot that it had accepted {took.change}"
            yield Broken("promises kept", line, (took, event))
        promised[key] = event
        if event.what == "accepted":
            accepted[key] = event


def in_order(events: Sequence[Event]) -> Iterator[Broken]:
    """A change that is proposed after another's verdict gets a later version."""
    begun: dict[str, Event] = {}
    ended: list[Event] = []
    for event in events:
        if event.what == "proposed":
            begun.setdefault(event.change, event)
        elif event.what == "verdict" and event.told == "in force" and event.version:
            mine = begun.get(event.change)
            for other in ended:
                if mine is not None and other.at < mine.at and other.version >= event.version:
                    line = f"{event.change} came after {other.change} had ended, and is not the later version"
                    yield Broken("in order", line, (other, mine, event))
            ended.append(event)


def within_the_quota(events: Sequence[Event]) -> Iterator[Broken]:
    """At no time may all routers together admit more beyond their floors than the version in force has."""
    whole: dict[int, float] = {}
    held: dict[str, Event] = {}
    for at, event in enumerate(events):
        if event.what == "decided" and event.amount:
            whole.setdefault(event.version, event.amount)
        if event.what != "share":
            continue
        held[event.router] = event
        if at + 1 < len(events) and events[at + 1].at == event.at and events[at + 1].what == "share":
            continue  # what is seen at one time counts together
        now = [each for each in held.values() if each.until >= event.at and each.amount > 0]
        total = sum(each.amount for each in now)
        least = min((whole.get(each.version, 0.0) for each in now), default=0.0)
        if total > least * (1 + ROUNDING) + ROUNDING:
            by = ", ".join(f"{each.router} {each.amount:.3g}" for each in now)
            line = f"{total:.4g} a second beyond the floors, of {least:.4g}: {by}"
            yield Broken("within the quota", line, tuple(now))


def within_the_clients_time(events: Sequence[Event]) -> Iterator[Broken]:
    """No attempt advertises more time than its client has left when it is written."""
    for event in events:
        if event.what != "advertised":
            continue
        left_ms = (event.until - event.at) / 1e6
        if event.amount < 0 or event.amount > left_ms:
            advertised = f"{event.amount:.0f} ms" if event.amount >= 0 else "no timeout"
            line = f"{event.router}: {event.told} advertised {advertised} with {left_ms:.3f} ms left"
            yield Broken("within the client's time", line, (event,))


ROUNDING = 1e-6
CHECKS: tuple[Check, ...] = (
    one_outcome,
    everywhere_or_nowhere,
    promises_kept,
    in_order,
    within_the_quota,
    within_the_clients_time,
)


def check_all(events: Sequence[Event]) -> list[Broken]:
    """All that does not hold of a history, each check's first."""
    found = [next(check(events), None) for check in CHECKS]
    return [broken for broken in found if broken is not None]
