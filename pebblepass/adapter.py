"""Translates between the simulator's protocol (one JSON value per line) and the decision interface."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import msgspec

from pebblepass.decisions import interface as api
from pebblepass.decisions.router import Router
from pebblepass.decisions.settings import Fields, WireError, read_settings, require_choice, require_type

_OUTCOMES_BY_VERDICT = {
    "completed": api.Outcome.OK,
    "errored": api.Outcome.ERROR,
    "saturated": api.Outcome.OVERLOADED,
    "overdue": api.Outcome.TIMEOUT,
    "refused_conn": api.Outcome.CONNECT_FAILED,
    "severed": api.Outcome.RESET,
    "recalled": api.Outcome.CANCELLED,
    "superseded": api.Outcome.SUPERSEDED,
    "lookup_miss": api.Outcome.MISS,
}
_LIST_KINDS = (api.ListKind.DELTA, api.ListKind.FULL, api.ListKind.CACHED, api.ListKind.FAILED)
_SERVER_STATES = (api.ServerState.REMOVED, api.ServerState.READY, api.ServerState.DRAINING)
_CACHE_NOTES = {1: api.CacheNote.HIT, 2: api.CacheNote.MISS, 3: api.CacheNote.FETCH_SHARED}


def _lookup(field: str, table: tuple[Any, ...], value: Any) -> Any:
    if not 0 <= require_type(field, value, int) < len(table):
        raise WireError(f"{field}: unknown value {value!r}")
    return table[value]


def _server(entry: Fields) -> api.Server:
    return api.Server(
        id=entry["server"],
        kind=entry.get("type") or "",
        state=_lookup("lines.mode", _SERVER_STATES, entry["mode"]),
        weight=1.0 if entry.get("weight") is None else entry["weight"],
        started=entry.get("bornNs") or 0,
        zone=entry.get("campus") or "",
        cell=entry.get("stripe") or 0,
    )


def _servers_changed(fields: Fields) -> api.ServersChanged:
    kind = _lookup("backendsChanged.scope", _LIST_KINDS, fields["scope"])
    return api.ServersChanged(kind, tuple(_server(entry) for entry in fields.get("lines") or ()))


def _load_report(row: list[float] | None) -> tuple[float, ...] | None:
    return tuple(row) if row else None


def _request_arrived(fields: Fields) -> api.RequestArrived:
    return api.RequestArrived(
        request=require_type("request.corr", fields["corr"], str),
        request_class=fields["category"],
        deadline=require_type("request.giveUpAtNs", fields["giveUpAtNs"], int),
        tenant=fields.get("clientGroup") or None,
        key=fields.get("pathKey"),
        write=bool(fields.get("mutates")),
        retry=bool(fields.get("repeat")),
    )


def _attempt_ended(fields: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        request=fields["corr"],
        attempt=fields["copy"],
        server=fields["server"],
        outcome=require_choice("reply.verdict", _OUTCOMES_BY_VERDICT, fields["verdict"]),
        answered=fields["terminal"],
        latency=fields["timeTakenNs"],
        note=_CACHE_NOTES.get(fields.get("note") or 0),
        load_report=_load_report(fields.get("feedback")),
    )


def _health_check_ended(fields: Fields) -> api.HealthCheckEnded:
    return api.HealthCheckEnded(
        server=fields["server"],
        outcome=require_choice("echo.verdict", _OUTCOMES_BY_VERDICT, fields["verdict"]),
        latency=fields["timeTakenNs"],
        load_report=_load_report(fields.get("feedback")),
    )


_EVENT_DECODERS: dict[str, Callable[[Fields], api.Event]] = {
    "backendsChanged": _servers_changed,
    "request": _request_arrived,
    "opened": lambda fields: api.StreamStarted(fields["corr"], fields["copy"]),
    "reply": _attempt_ended,
    "clientLeft": lambda fields: api.ClientDisconnected(fields["corr"]),
    "fired": lambda fields: api.TimerFired(fields["handle"]),
    "echo": _health_check_ended,
}


def _send(action: api.Send) -> Fields:
    return {"transmit": {"corr": action.request, "server": action.server, "patienceNs": action.timeout}}


_ACTION_ENCODERS: dict[type, Callable[[Any], Fields]] = {
    api.Send: _send,
    api.Reject: lambda action: {"sayNo": {"corr": action.request, "backoffNs": action.retry_after}},
    api.Fail: lambda action: {"finishError": {"corr": action.request}},
    api.SetTimer: lambda action: {"setAlarm": {"fromNowNs": action.delay, "handle": action.token}},
    api.Subscribe: lambda action: {"listen": {"want": True}},
    api.HealthCheck: lambda action: {"healthCheck": {"server": action.server}},
}


class Adapter:
    """Holds router instances by number, and answers batches of events with their actions."""

    def __init__(self) -> None:
        self._routers: dict[int, Router] = {}

    def answer(self, line: bytes) -> bytes:
        """Answer a line with one batch of events with one reply line; raises WireError if it is malformed."""
        try:
            batch = require_type("batch", msgspec.json.decode(line), dict)
            now = require_type("batch.nowNs", batch["nowNs"], int)
            groups = []
            for group in require_type("batch.groups", batch["groups"], list):
                number = require_type("group.router", require_type("group", group, dict)["router"], int)
                orders: list[Fields] = []
                for event in require_type("group.in", group["in"], list):
                    self._deliver(number, event, now, orders)
                if orders:
                    groups.append({"router": number, "orders": orders})
        except (msgspec.DecodeError, RecursionError) as error:
            raise WireError(f"not JSON: {error}") from None
        except KeyError as error:
            raise WireError(f"missing field {error.args[0]!r}") from None
        return msgspec.json.encode({"groups": groups}) + b"\n"

    def _deliver(self, number: int, message: Any, now: int, orders: list[Fields]) -> None:
        if len(require_type("event", message, dict)) != 1:
            raise WireError("event: expected an object with a single key, the event's name")
        ((name, fields),) = message.items()
        require_type(name, fields, dict)
        if name == "create":
            seed, settings = (
                require_type("create.salt", fields["salt"], int),
                require_type("facts", fields["facts"], dict),
            )
            try:
                self._routers[number] = Router(read_settings(settings), seed)
            except (TypeError, ValueError) as error:
                raise WireError(f"create: {error}") from None
            return
        router = self._routers.get(number)
        if router is None:
            raise WireError(f"event {name!r} for unknown instance {number}")
        if name == "destroy":
            del self._routers[number]
            return
        if name == "inbox":  # ignored: a router decides by its own observations, not by a peer's
            return
        try:
            event = _EVENT_DECODERS[name](fields)
        except KeyError as error:
            is_known_event = name in _EVENT_DECODERS
            raise WireError(
                f"{name}: missing field {error.args[0]!r}" if is_known_event else f"unknown event {name!r}"
            ) from None
        try:
            actions = router.handle(event, now)
        except Exception as error:  # the protocol has an order for reporting such a failure
            orders.append({"panic": {"message": f"{type(error).__name__}: {error}"}})
            return
        for action in actions:
            orders.append(_ACTION_ENCODERS[type(action)](action))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every line of `source` on `sink` until `source` ends."""
    adapter = Adapter()
    for line in source:
        sink.write(adapter.answer(line))
        sink.flush()


def main() -> int:
    """Serve standard input; malformed input ends the process with a one-line error and exit code 2."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"pebblepass: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
