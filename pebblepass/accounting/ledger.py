"""The ledger: every request stands in exactly one account, and the sums balance. No I/O, no clock.

For each class and namespace: taken = served + refused + failed + gone + open. A request is opened once and
closed once, into one of the other counts. Open requests are counted from the entries themselves, never by a
counter of their own, so that a move that was missed or made twice is found.

Times are nanoseconds of the caller's clock; sizes are bytes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

OTHER = "(other)"
"""The label of all namespaces that the settings don't name: clients must not create labels."""

CLOSED_HISTORY = 256  # closed requests remembered at least: tells a second answer from one without a request
MAX_PENDING_BREACHES = 256  # kept until they are acknowledged; all are counted
SUB_BITS = 4  # a latency bucket is at most a sixteenth wide, as in HDR histograms (Tene)


class BreachKind(Enum):
    """What can be wrong with an entry or an account."""

    TWICE_TAKEN = "taken twice"
    TWICE_CLOSED = "a second final answer"
    NEVER_TAKEN = "an answer for nothing"
    NEVER_CLOSED = "never closed"
    NOT_OPEN = "open, but without an entry"
    NO_BALANCE = "taken is not the sum of the others"


@dataclass(frozen=True, slots=True)
class Breach:
    """One illegal move, or one account that does not add up."""

    number: int
    kind: BreachKind
    at: int
    request: str
    request_class: str
    namespace: str
    path: str
    """The interface that the request came by, and the move that failed."""

    def as_dict(self) -> dict[str, Any]:
        """Return the breach in plain values, as it is reported."""
        return {
            "number": self.number,
            "kind": self.kind.value,
            "at_ns": self.at,
            "request": self.request,
            "class": self.request_class,
            "namespace": self.namespace,
            "path": self.path,
        }


@dataclass(slots=True)
class Account:
    """The counts of one class in one namespace."""

    request_class: str
    namespace: str
    taken: int = 0
    served_in_aim: int = 0
    served_late: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    gone: int = 0
    attempts: Counter[str] = field(default_factory=Counter)
    """Attempts at servers by their outcome."""
    fetches: int = 0
    """Attempts at the origin among them."""
    bytes_taken: int = 0
    bytes_served: int = 0
    latency: Counter[int] = field(default_factory=Counter)
    """Served requests by latency bucket; `bucket_bounds` gives a bucket's times."""

    def copy(self) -> Account:
        """Return a copy that later moves do not change."""
        copies = {name: getattr(self, name).copy() for name in ("refused", "failed", "attempts", "latency")}
        return replace(self, **copies)

    @property
    def closed(self) -> int:
        """How many requests are closed."""
        done = self.served_in_aim + self.served_late + self.gone
        return done + sum(self.refused.values()) + sum(self.failed.values())


_Entry = tuple[str, str, int, int, str, int]
"""A request's class, namespace, time of opening, deadline, path and size; a plain tuple, since one is made
for each request."""


def bucket(latency_ns: int) -> int:
    """Return the histogram bucket of a latency: a sixteenth of a power of two, in microseconds."""
    micros = latency_ns // 1000
    shift = max(micros.bit_length() - SUB_BITS - 1, 0)
    return (shift << SUB_BITS) + (micros >> shift)


def bucket_bounds(number: int) -> tuple[int, int]:
    """Return the bounds of a bucket in microseconds: the first included, the second excluded."""
    shift = max((number >> SUB_BITS) - 1, 0)
    base = number - (shift << SUB_BITS)
    return base << shift, (base + 1) << shift


class Ledger:
    """All accounts of one router since its start."""

    def __init__(
        self,
        aims: dict[str, int],
        namespaces: Iterable[str],
        on_breach: Callable[[Breach], None] | None = None,
    ) -> None:
        """`aims`: latency objective of each class in nanoseconds; `on_breach` is called with each breach."""
        self._aims = aims
        self._namespace_labels: dict[str | None, str] = {name: name for name in namespaces}
        self._accounts: dict[tuple[str, str], Account] = {
            (name, namespace): Account(name, namespace)
            for name in aims
            for namespace in (*self._namespace_labels.values(), OTHER)
        }
        self._entries: dict[str, _Entry] = {}
        # Moves that are checked, but not yet added to their accounts.
        self._taken: list[_Entry] = []
        self._served: list[tuple[_Entry, int, int, bool | None]] = []
        self._attempts: list[tuple[str, str, str, bool]] = []
        # Closed requests in two generations: dropping the older one saves a removal per request.
        self._closed: dict[str, _Entry] = {}
        self._closed_before: dict[str, _Entry] = {}
        self._on_breach = on_breach
        self._overdue: set[str] = set()
        self._unbalanced: set[tuple[str, str]] = set()
        self.breaches: list[Breach] = []
        """Unacknowledged breaches, at most MAX_PENDING_BREACHES."""
        self.breach_count = 0

    # Moves

    def open_request(
        self,
        request: str,
        request_class: str,
        namespace: str | None,
        now: int,
        due: int,
        size: int,
        path: str,
    ) -> None:
        """Open a request that must get its final answer by `due`."""
        name = self._namespace_labels.get(namespace, OTHER)
        entry = (request_class, name, now, due, path, size)
        if request in self._entries:
            self._breach(BreachKind.TWICE_TAKEN, now, request, entry)
            return
        self._entries[request] = entry
        self._taken.append(entry)

    def record_served(self, request: str, now: int, size: int, to_origin: bool | None = None) -> None:
        """Close a request as served; `to_origin`, unless None, also counts the attempt that served it."""
        if (entry := self._close(request, now, "served")) is not None:
            self._served.append((entry, now, size, to_origin))

    def record_rejected(self, request: str, now: int, reason: str) -> None:
        """Close a request as rejected."""
        if (entry := self._close(request, now, "refused")) is not None:
            self._accounts[entry[:2]].refused[reason] += 1

    def record_failed(self, request: str, now: int, reason: str) -> None:
        """Close a request as failed."""
        if (entry := self._close(request, now, "failed")) is not None:
            self._accounts[entry[:2]].failed[reason] += 1

    def record_disconnected(self, request: str, now: int) -> None:
        """Close a request whose client has disconnected."""
        if (entry := self._close(request, now, "gone")) is not None:
            self._accounts[entry[:2]].gone += 1

    def record_unopened(
        self,
        request_class: str,
        namespace: str | None,
        now: int,
        size: int,
        path: str,
        refused: str = "",
        failed: str = "",
    ) -> None:
        """Count a request that ends before it reaches the decision module, as rejected or failed."""
        account = self._accounts[request_class, self._namespace_labels.get(namespace, OTHER)]
        account.taken += 1
        account.bytes_taken += size
        if refused:
            account.refused[refused] += 1
        else:
            account.failed[failed] += 1

    def record_attempt(
        self, request_class: str, namespace: str | None, outcome: str, to_origin: bool
    ) -> None:
        """Count the end of an attempt; it may come long after its request was closed."""
        name = self._namespace_labels.get(namespace, OTHER)
        self._attempts.append((request_class, name, outcome, to_origin))

    def _post_moves(self) -> None:
        """Add the recorded moves to the accounts.

        In batches, as the same few steps in a row cost less than between the other steps of each request;
        nothing reads the accounts in between.
        """
        accounts, aims = self._accounts, self._aims
        for name, namespace, _, _, _, size in self._taken:
            account = accounts[name, namespace]
            account.taken += 1
            account.bytes_taken += size
        self._taken.clear()
        for (name, namespace, taken_at, _, _, _), now, size, to_origin in self._served:
            account, latency = accounts[name, namespace], now - taken_at
            if latency <= aims[name]:
                account.served_in_aim += 1
            else:
                account.served_late += 1
            account.bytes_served += size
            account.latency[bucket(latency)] += 1
            if to_origin is not None:
                account.attempts["ok"] += 1
                account.fetches += to_origin
        self._served.clear()
        for name, namespace, outcome, fetched in self._attempts:
            account = accounts[name, namespace]
            account.attempts[outcome] += 1
            account.fetches += fetched
        self._attempts.clear()

    @property
    def accounts(self) -> dict[tuple[str, str], Account]:
        """All accounts by class and namespace, up to date."""
        self._post_moves()
        return self._accounts

    def _close(self, request: str, now: int, what: str) -> _Entry | None:
        entry = self._entries.pop(request, None)
        if entry is None:
            before = self._closed.get(request) or self._closed_before.get(request)
            kind = BreachKind.NEVER_TAKEN if before is None else BreachKind.TWICE_CLOSED
            self._breach(kind, now, request, before, what)
            return None
        self._closed[request] = entry
        if len(self._closed) >= CLOSED_HISTORY:
            self._closed, self._closed_before = {}, self._closed
        if self._overdue:
            self._overdue.discard(request)
        return entry

    def import_rows(self, rows: Iterable[dict[str, Any]]) -> None:
        """Add a predecessor's closing balance, in the form of `export_rows`.

        A namespace that the settings no longer name is added to OTHER; a class that they no longer name is
        left out.
        """
        for row in rows:
            if row["class"] not in self._aims:
                continue
            account = self._accounts[row["class"], self._namespace_labels.get(row["namespace"], OTHER)]
            account.taken += row["taken"]
            account.served_in_aim += row["served_in_aim"]
            account.served_late += row["served_late"]
            account.gone += row["gone"]
            account.fetches += row["origin_fetches"]
            account.bytes_taken += row["bytes_taken"]
            account.bytes_served += row["bytes_served"]
            account.refused.update(row["refused_by_reason"])
            account.failed.update(row["failed_by_reason"])
            account.attempts.update(row["attempts"])
            for least, _, count in row["latency_us"]:
                account.latency[bucket(least * 1000)] += count

    # Checks

    def audit(self, now: int, slack: int, open_requests: Collection[str] | None = None) -> None:
        """Check every account, and the entries against the requests that are open at the router.

        `slack`: nanoseconds after its deadline in which an entry may still be closed. Each fault is reported
        once.
        """
        counts: Counter[tuple[str, str]] = Counter()
        for request, entry in self._entries.items():
            counts[entry[:2]] += 1
            gone = open_requests is not None and request not in open_requests
            if (gone or now > entry[3] + slack) and request not in self._overdue:
                self._overdue.add(request)
                self._breach(BreachKind.NEVER_CLOSED, now, request, entry, "forgotten" if gone else "overdue")
        for request in open_requests or ():
            if request not in self._entries and request not in self._overdue:
                self._overdue.add(request)
                known = self._closed.get(request) or self._closed_before.get(request)
                self._breach(BreachKind.NOT_OPEN, now, request, known)
        for key, account in self.accounts.items():
            if account.taken != account.closed + counts.get(key, 0) and key not in self._unbalanced:
                self._unbalanced.add(key)
                self._breach(BreachKind.NO_BALANCE, now, "", (*key, 0, 0, "", 0))

    def acknowledge(self, number: int) -> int:
        """Acknowledge all breaches up to this number; return how many those were."""
        pending = [breach for breach in self.breaches if breach.number > number]
        acknowledged, self.breaches = len(self.breaches) - len(pending), pending
        return acknowledged

    def _breach(self, kind: BreachKind, now: int, request: str, entry: _Entry | None, what: str = "") -> None:
        self.breach_count += 1
        name, namespace, path = (*entry[:2], entry[4]) if entry is not None else ("", "", "")
        breach = Breach(
            number=self.breach_count,
            kind=kind,
            at=now,
            request=request,
            request_class=name,
            namespace=namespace,
            path=f"{path}: {what}" if path and what else path or what,
        )
        if len(self.breaches) < MAX_PENDING_BREACHES:
            self.breaches.append(breach)
        if self._on_breach is not None:
            self._on_breach(breach)

    # Export

    def cut(self) -> Cut:
        """Return a copy of all accounts, cheaply, that another thread may use."""
        counts = Counter(entry[:2] for entry in self._entries.values())
        rows = [(account.copy(), counts[key]) for key, account in self.accounts.items() if account.taken]
        return Cut(rows, self.breach_count, tuple(self.breaches))

    def export_rows(self) -> list[dict[str, Any]]:
        """Return every account with any request in plain values, sorted by class and namespace."""
        return self.cut().export_rows()


@dataclass(frozen=True, slots=True)
class Cut:
    """The accounts with any request, at one moment."""

    rows: list[tuple[Account, int]]
    """Each account with its number of open requests."""
    breach_count: int
    breaches: tuple[Breach, ...]
    """Unacknowledged breaches."""

    def export_rows(self) -> list[dict[str, Any]]:
        """Return every account in plain values, sorted by class and namespace."""
        return [
            {
                "class": account.request_class,
                "namespace": account.namespace,
                "taken": account.taken,
                "served": account.served_in_aim + account.served_late,
                "served_in_aim": account.served_in_aim,
                "served_late": account.served_late,
                "refused": sum(account.refused.values()),
                "refused_by_reason": dict(sorted(account.refused.items())),
                "failed": sum(account.failed.values()),
                "failed_by_reason": dict(sorted(account.failed.items())),
                "gone": account.gone,
                "open": still_open,
                "attempts": dict(sorted(account.attempts.items())),
                "origin_fetches": account.fetches,
                "bytes_taken": account.bytes_taken,
                "bytes_served": account.bytes_served,
                "latency_us": [
                    [*bucket_bounds(number), count] for number, count in sorted(account.latency.items())
                ],
            }
            for account, still_open in sorted(
                self.rows, key=lambda row: (row[0].request_class, row[0].namespace)
            )
        ]
