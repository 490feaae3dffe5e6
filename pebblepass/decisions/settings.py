"""Reads the settings in the simulator's JSON form, for the adapter and the daemon."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar, cast

from pebblepass.decisions import interface as api

_EFFECTS = {
    "retryable": api.Effect.IDEMPOTENT,
    "dedup": api.Effect.IDEMPOTENCY_KEY,
    "fragile": api.Effect.NOT_IDEMPOTENT,
}
_SIZED_WEIGHTS = ("nominal", "rough")
_TYPE_NAMES = {dict: "object", list: "array", str: "string", int: "integer", bool: "bool"}

Fields = dict[str, Any]
Value = TypeVar("Value")


class WireError(Exception):
    """Malformed input; the message is one line that names the field and the fault."""


def require_type(where: str, value: object, kind: type[Value]) -> Value:
    """Return `value` if it has this type; a bool is not accepted as an integer. Raises WireError."""
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise WireError(f"{where}: expected {_TYPE_NAMES[kind]}, got {type(value).__name__}")
    return value


def require_choice(where: str, table: Mapping[str, Value], value: object) -> Value:
    """Return the entry of `table` for a value of the input. Raises WireError."""
    try:
        return table[cast("str", value)]
    except (KeyError, TypeError):
        raise WireError(f"{where}: unknown value {value!r}") from None


def _request_class(fields: Fields) -> api.RequestClass:
    return api.RequestClass(
        name=fields["name"],
        latency_target=fields["aimNs"],
        deadline=fields["giveUpNs"],
        effect=require_choice("classes.semantics", _EFFECTS, fields["semantics"]),
        dedup_scope=api.DedupScope(fields.get("group") or "all"),
        dedup_window=fields.get("dedupWindowNs") or 0,
        streamed=bool(fields.get("streamed")),
    )


def read_settings(fields: Fields) -> api.Settings:
    """Read the settings; unknown keys are ignored, and null counts as absent."""
    family = fields.get("familyInfo") or {}
    ceilings = fields.get("ceilings") or {}
    rules = fields.get("rules") or {}
    kinds: list[str] = fields.get("kinds") or []
    origin = -1 if family.get("originKind") is None else family["originKind"]
    is_cache_aside = family.get("mode") == "aside"
    optional = {
        "subscribe_within": rules.get("askWithinNs"),
        "cold_capacity": rules.get("coldShare"),
        "warm_up_time": rules.get("coldNs"),
        "overload_multiple": rules.get("fallMultiple"),
        "max_attempts": ceilings.get("mostTries"),
        "retry_after": ceilings.get("retryAfter"),
        "max_retry_after": ceilings.get("maxRetryAfterNs"),
        "may_health_check": ceilings.get("mayProbe"),
        "may_hedge": ceilings.get("secondCopies"),
        "requests_per_connection": ceilings.get("streamsPerConn"),
    }
    return api.Settings(
        classes=tuple(_request_class(entry) for entry in fields["classes"]),
        tenants=tuple(
            api.Tenant(entry["name"], entry["portion"], entry.get("quotaPerS") or 0.0)
            for entry in fields.get("tenants") or ()
        ),
        routers=fields.get("balancers") or 1,
        origin_kind=kinds[origin] if is_cache_aside and 0 <= origin < len(kinds) else None,
        weighted=fields.get("weightKind") in _SIZED_WEIGHTS,
        must_subscribe=fields.get("membershipMode") == "subscribe",
        load_fields=tuple((fields.get("feedback") or {}).get("fields") or ()),
        **{key: value for key, value in optional.items() if value is not None},
    )
