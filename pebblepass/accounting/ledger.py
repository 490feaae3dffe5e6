"""The ledger: counts every request exactly once. No I/O, no clock.

For each class and namespace: taken = served + refused + failed + gone + open. A request is opened once and
closed once, which adds it to one of the other counts. Open requests are counted from the entries themselves,
not by a counter, so that the audit finds a request that was never closed or was closed twice.

Times are nanoseconds of the caller's clock; sizes are bytes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

OTHER = "(other)"
"""The label of all namespaces that the settings don't name, so that clients can't create labels."""

CLOSED_HISTORY = 256  # at least so many closed requests are kept, to recognise a second final answer
MAX_PENDING_BREACHES = 256  # kept until acknowledged; further ones are only counted and reported
SUB_BUCKET_BITS = 4  # a bucket is at most 1/16 of its lower bound wide, as in HDR histograms (Tene)


class BreachKind(Enum):
    """The kinds of accounting errors."""

    OPENED_TWICE = "taken twice"
    CLOSED_TWICE = "a second final answer"
    NEVER_OPENED = "an answer for nothing"
    NEVER_CLOSED = "never closed"
    OPEN_WITHOUT_ENTRY = "open, but without an entry"
    UNBALANCED = "taken is not the sum of the others"


@dataclass(frozen=True, slots=True)
class Breach:
    """One invalid operation on a request, or one account that does not balance."""

    number: int
    kind: BreachKind
    at: int
    request: str
    request_class: str
    namespace: str
    path: str
    """The interface that received the request, and the operation that failed."""

    def as_dict(self) -> dict[str, Any]:
        """Return the breach as plain values, under the keys of reports."""
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
    origin_fetches: int = 0
    """Those of `attempts` that went to the origin."""
    bytes_taken: int = 0
    bytes_served: int = 0
    latency: Counter[int] = field(default_factory=Counter)
    """Served requests by latency bucket; see `bucket_bounds`."""

    def copy(self) -> Account:
        """Return a copy that later operations do not change."""
        copies = {name: getattr(self, name).copy() for name in ("refused", "failed", "attempts", "latency")}
        return replace(self, **copies)

    @property
    def closed(self) -> int:
        """The number of closed requests."""
        without_reason = self.served_in_aim + self.served_late + self.gone
        return without_reason + sum(self.refused.values()) + sum(self.failed.values())


_Entry = tuple[str, str, int, int, str, int]
"""A request's class, namespace, opening time, deadline, path and size.

A plain tuple is cheap to create, and one is created for each request."""


def bucket(latency_ns: int) -> int:
    """Return the number of the histogram bucket of a latency.

    Each power of two microseconds is divided into 16 buckets; below 32 µs a bucket is 1 µs wide.
    """
    latency_us = latency_ns // 1000
    shift = max(latency_us.bit_length() - SUB_BUCKET_BITS - 1, 0)
    return (shift << SUB_BUCKET_BITS) + (latency_us >> shift)


def bucket_bounds(number: int) -> tuple[int, int]:
    """Return the inclusive lower and exclusive upper bound of a bucket in microseconds."""
    shift = max((number >> SUB_BUCKET_BITS) - 1, 0)
    units = number - (shift << SUB_BUCKET_BITS)
    return units << shift, (units + 1) << shift


class Ledger:
    """The accounts of one router, including those imported from its predecessor."""

    def __init__(
        self,
        latency_targets: dict[str, int],
        namespaces: Iterable[str],
        on_breach: Callable[[Breach], None] | None = None,
    ) -> None:
        """`latency_targets`: nanoseconds for each class; `on_breach` is called with each breach."""
        self._latency_targets = latency_targets
        self._namespace_labels: dict[str | None, str] = {name: name for name in namespaces}
        self._accounts = self._empty_accounts()
        self._entries: dict[str, _Entry] = {}
        # Validated operations that are not yet added to the accounts; see `_post_operations`.
        self._opened: list[_Entry] = []
        self._served: list[tuple[_Entry, int, int, bool | None]] = []
        self._attempts: list[tuple[str, str, str, bool]] = []
        # Closed requests in two generations: dropping the older one as a whole saves a removal per request.
        self._closed: dict[str, _Entry] = {}
        self._closed_before: dict[str, _Entry] = {}
        self._on_breach = on_breach
        self._overdue: set[str] = set()
        self._unbalanced: set[tuple[str, str]] = set()
        self.breaches: list[Breach] = []
        """Unacknowledged breaches, at most MAX_PENDING_BREACHES."""
        self.breach_count = 0

    # Operations

    def open_request(
        self,
        request: str,
        request_class: str,
        namespace: str | None,
        now: int,
        deadline: int,
        size: int,
        path: str,
    ) -> None:
        """Open a request that must get its final answer by `deadline`."""
        name = self._namespace_labels.get(namespace, OTHER)
        entry = (request_class, name, now, deadline, path, size)
        if request in self._entries:
            self._breach(BreachKind.OPENED_TWICE, now, request, entry)
            return
        self._entries[request] = entry
        self._opened.append(entry)

    def record_served(self, request: str, now: int, size: int, to_origin: bool | None = None) -> None:
        """Close a request as served.

        `to_origin`: whether the successful attempt went to the origin; None if it is not counted here.
        """
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
        """Count a request that is rejected or fails before it reaches the decision module."""
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
        """Count an attempt that has ended; its request may have been closed long before."""
        name = self._namespace_labels.get(namespace, OTHER)
        self._attempts.append((request_class, name, outcome, to_origin))

    def _post_operations(self) -> None:
        """Add the recorded operations to the accounts.

        Adding them in batches is faster than adding each one while its request is handled, and nothing reads
        the accounts in between.
        """
        accounts, latency_targets = self._accounts, self._latency_targets
        for name, namespace, _, _, _, size in self._opened:
            account = accounts[name, namespace]
            account.taken += 1
            account.bytes_taken += size
        self._opened.clear()
        for (name, namespace, taken_at, _, _, _), now, size, to_origin in self._served:
            account, latency = accounts[name, namespace], now - taken_at
            if latency <= latency_targets[name]:
                account.served_in_aim += 1
            else:
                account.served_late += 1
            account.bytes_served += size
            account.latency[bucket(latency)] += 1
            if to_origin is not None:
                account.attempts["ok"] += 1
                account.origin_fetches += to_origin
        self._served.clear()
        for name, namespace, outcome, to_origin in self._attempts:
            account = accounts[name, namespace]
            account.attempts[outcome] += 1
            account.origin_fetches += to_origin
        self._attempts.clear()

    @property
    def accounts(self) -> dict[tuple[str, str], Account]:
        """All accounts by class and namespace, up to date."""
        self._post_operations()
        return self._accounts

    def _close(self, request: str, now: int, operation: str) -> _Entry | None:
        entry = self._entries.pop(request, None)
        if entry is None:
            known = self._closed.get(request) or self._closed_before.get(request)
            kind = BreachKind.NEVER_OPENED if known is None else BreachKind.CLOSED_TWICE
            self._breach(kind, now, request, known, operation)
            return None
        self._closed[request] = entry
        if len(self._closed) >= CLOSED_HISTORY:
            self._closed, self._closed_before = {}, self._closed
        if self._overdue:
            self._overdue.discard(request)
        return entry

    def _empty_accounts(self) -> dict[tuple[str, str], Account]:
        return {
            (name, namespace): Account(name, namespace)
            for name in self._latency_targets
            for namespace in (*self._namespace_labels.values(), OTHER)
        }

    def discard_imported_rows(self) -> None:
        """Begin at zero again; call it only before the first request."""
        self._accounts = self._empty_accounts()

    def import_rows(self, rows: Iterable[dict[str, Any]]) -> None:
        """Add a predecessor's closing balance, in the form of `export_rows`.

        Namespaces that are no longer in the settings are added to OTHER; classes that are no longer there are
        omitted.
        """
        for row in rows:
            if row["class"] not in self._latency_targets:
                continue
            account = self._accounts[row["class"], self._namespace_labels.get(row["namespace"], OTHER)]
            account.taken += row["taken"]
            account.served_in_aim += row["served_in_aim"]
            account.served_late += row["served_late"]
            account.gone += row["gone"]
            account.origin_fetches += row["origin_fetches"]
            account.bytes_taken += row["bytes_taken"]
            account.bytes_served += row["bytes_served"]
            account.refused.update(row["refused_by_reason"])
            account.failed.update(row["failed_by_reason"])
            account.attempts.update(row["attempts"])
            for lower_us, _, count in row["latency_us"]:
                account.latency[bucket(lower_us * 1000)] += count

    # Checks

    def audit(self, now: int, slack: int, open_requests: Collection[str] | None = None) -> None:
        """Check that every account balances, and that the entries match the router's `open_requests`.

        `slack`: nanoseconds after its deadline until which an entry may stay open. Each error is reported
        only once.
        """
        counts: Counter[tuple[str, str]] = Counter()
        for request, entry in self._entries.items():
            counts[entry[:2]] += 1
            forgotten = open_requests is not None and request not in open_requests
            if (forgotten or now > entry[3] + slack) and request not in self._overdue:
                self._overdue.add(request)
                self._breach(
                    BreachKind.NEVER_CLOSED, now, request, entry, "forgotten" if forgotten else "overdue"
                )
        for request in open_requests or ():
            if request not in self._entries and request not in self._overdue:
                self._overdue.add(request)
                known = self._closed.get(request) or self._closed_before.get(request)
                self._breach(BreachKind.OPEN_WITHOUT_ENTRY, now, request, known)
        for key, account in self.accounts.items():
            if account.taken != account.closed + counts.get(key, 0) and key not in self._unbalanced:
                self._unbalanced.add(key)
                self._breach(BreachKind.UNBALANCED, now, "", (*key, 0, 0, "", 0))

    def acknowledge(self, number: int) -> int:
        """Acknowledge all breaches up to this number, and return how many were pending."""
        pending = [breach for breach in self.breaches if breach.number > number]
        acknowledged, self.breaches = len(self.breaches) - len(pending), pending
        return acknowledged

    def _breach(
        self, kind: BreachKind, now: int, request: str, entry: _Entry | None, operation: str = ""
    ) -> None:
        self.breach_count += 1
        name, namespace, path = (*entry[:2], entry[4]) if entry is not None else ("", "", "")
        breach = Breach(
            number=self.breach_count,
            kind=kind,
            at=now,
            request=request,
            request_class=name,
            namespace=namespace,
            path=f"{path}: {operation}" if path and operation else path or operation,
        )
        if len(self.breaches) < MAX_PENDING_BREACHES:
            self.breaches.append(breach)
        if self._on_breach is not None:
            self._on_breach(breach)

    # Export

    def cut(self) -> Cut:
        """Return a copy of all accounts for use in another thread; the caller's thread does little work."""
        counts = Counter(entry[:2] for entry in self._entries.values())
        rows = [(account.copy(), counts[key]) for key, account in self.accounts.items() if account.taken]
        return Cut(rows, self.breach_count, tuple(self.breaches))

    def export_rows(self) -> list[dict[str, Any]]:
        """Return every account that has requests as plain values, sorted by class and namespace."""
        return self.cut().export_rows()


@dataclass(frozen=True, slots=True)
class Cut:
    """A copy of the accounts that have requests, at one moment."""

    rows: list[tuple[Account, int]]
    """Each account with its number of open requests."""
    breach_count: int
    breaches: tuple[Breach, ...]
    """Unacknowledged breaches."""

    def export_rows(self) -> list[dict[str, Any]]:
        """Return every account as plain values, sorted by class and namespace."""
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
                "open": open_count,
                "attempts": dict(sorted(account.attempts.items())),
                "origin_fetches": account.origin_fetches,
                "bytes_taken": account.bytes_taken,
                "bytes_served": account.bytes_served,
                "latency_us": [
                    [*bucket_bounds(number), count] for number, count in sorted(account.latency.items())
                ],
            }
            for account, open_count in sorted(
                self.rows, key=lambda row: (row[0].request_class, row[0].namespace)
            )
        ]
