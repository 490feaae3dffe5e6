"""Builders of settings, servers, requests and results, and a timeline of events, for the tests."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from typing import Generic, TypeVar

from pebblepass.decisions import (
    Action,
    AttemptEnded,
    DedupScope,
    Effect,
    Fail,
    ListKind,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    Settings,
    Tenant,
)

MS = 1_000_000
S = 1_000 * MS
ORIGIN = Server("origin:1", kind="origin")

Item = TypeVar("Item")


class Timeline(Generic[Item]):
    """A queue of future items by time; items of the same time stay in the order in which they were added."""

    def __init__(self) -> None:
        self._order, self._due = count(), list[tuple[int, int, Item]]()

    def add(self, when: int, item: Item) -> None:
        heappush(self._due, (when, next(self._order), item))

    def pop_until(self, now: int) -> Iterator[tuple[int, Item]]:
        """Yield the items due until `now`, with their times, those added meanwhile included."""
        while self._due and self._due[0][0] <= now:
            when, _, item = heappop(self._due)
            yield when, item


def settings(**changes: object) -> Settings:
    base: dict[str, object] = {
        "classes": (
            RequestClass("read", latency_target=300 * MS, deadline=S),
            RequestClass(
                "edit", latency_target=500 * MS, deadline=S, effect=Effect.IDEMPOTENCY_KEY, dedup_window=2 * S
            ),
            RequestClass("order", latency_target=500 * MS, deadline=S, effect=Effect.NOT_IDEMPOTENT),
            RequestClass(
                "zonal",
                latency_target=500 * MS,
                deadline=S,
                effect=Effect.IDEMPOTENCY_KEY,
                dedup_scope=DedupScope.ZONE,
                dedup_window=2 * S,
            ),
        ),
        "tenants": (Tenant("a", 0.6, 60.0), Tenant("b", 0.4, 40.0)),
        "origin_kind": "origin",
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def fleet(count: int, **changes: object) -> tuple[Server, ...]:
    return tuple(Server(f"10.0.0.{i}:80", kind="std", **changes) for i in range(count))  # type: ignore[arg-type]


def started(
    config: Settings, servers: tuple[Server, ...], origin: bool = True, now: int = 0, seed: int = 7
) -> Router:
    router = Router(config, seed)
    router.handle(ServersChanged(ListKind.CACHED, servers + ((ORIGIN,) if origin else ())), now)
    return router


def request(name: str, now: int = 0, cls: str = "read", **changes: object) -> RequestArrived:
    fields: dict[str, object] = {
        "request": name,
        "request_class": cls,
        "deadline": now + S,
        "tenant": "a",
        "key": "k",
        "write": cls != "read",
    }
    return RequestArrived(**{**fields, **changes})  # type: ignore[arg-type]


def result_of(
    send: Send,
    outcome: Outcome,
    attempt: int = 0,
    answered: bool | None = None,
    latency: int = 20 * MS,
    connection_failed: bool = False,
) -> AttemptEnded:
    return AttemptEnded(
        request=send.request,
        attempt=attempt,
        server=send.server,
        outcome=outcome,
        answered=outcome is Outcome.OK if answered is None else answered,
        latency=latency,
        connection_failed=connection_failed,
    )


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def only_send(actions: list[Action]) -> Send:
    (send,) = sends(actions)
    return send


def finals(actions: list[Action]) -> list[Reject | Fail]:
    return [action for action in actions if isinstance(action, Reject | Fail)]
