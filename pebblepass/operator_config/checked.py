"""TOML files decoded into frozen structs; whatever can't be used is one plain line that names the key."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

_PLACE = re.compile(r" - at `\$(.*)`$", re.S)
_STEP = re.compile(r"\.([A-Za-z_][A-Za-z_0-9-]*)|\[(\d+|\.\.\.)\]")
_UNKNOWN = re.compile(r"Object contains unknown field `(.*)`", re.S)
_MISSING = re.compile(r"Object missing required field `(.*)`", re.S)


class FileError(Exception):
    """A file can't be used; the text is one plain line that names the file and the place."""


def read_toml(path: str | Path, kind: type[T]) -> T:
    """Read a file; raises FileError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from None
    return decode_toml(str(path), data, kind)


def decode_toml(name: str, data: bytes, kind: type[T]) -> T:
    """Decode a file's bytes, whole or not at all; raises FileError."""
    try:
        return msgspec.toml.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise FileError(f"{name}: {_explain(str(error), kind)}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FileError(f"{name}: not TOML: {_one_line(str(error))}") from None


def describe(value: msgspec.Struct, prefix: str = "") -> Iterator[tuple[str, Any, str]]:
    """Every key that is in force, as its dotted name, its value and its meaning."""
    hints = _hints(type(value))
    for field in msgspec.structs.fields(type(value)):
        name, held = prefix + field.encode_name, getattr(value, field.name)
        meaning = _meaning(hints[field.name])
        if isinstance(held, msgspec.Struct):
            yield from describe(held, name + ".")
        elif isinstance(held, tuple | list) and held and isinstance(held[0], msgspec.Struct):
            for place, entry in enumerate(held):
                yield from describe(entry, f"{name}[{place}].")
        else:
            yield name, held, meaning


def _explain(message: str, kind: type[msgspec.Struct]) -> str:
    place = _PLACE.search(message)
    steps = [a or b for a, b in _STEP.findall(place[1])] if place else []
    what = _PLACE.sub("", message)
    for pattern, words in ((_UNKNOWN, "unknown key"), (_MISSING, "missing key")):
        if found := pattern.search(what):
            steps, what = [*steps, found[1]], words
    name = ""
    for step in steps:
        name += f"[{step}]" if step.isdigit() or step == "..." else f".{step}" if name else step
    meaning = _meaning_at(kind, steps)
    what = what[0].lower() + what[1:] if what else what
    told = f"{name}: {what}" if name else what
    return _one_line(f"{told} ({meaning})" if meaning else told)


def _one_line(text: str) -> str:
    return " ".join(text.split())


def _hints(kind: type) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def _meaning(hint: Any) -> str:
    for extra in getattr(hint, "__metadata__", ()):
        if isinstance(extra, msgspec.Meta) and extra.description:
            return extra.description
    return ""


def _structs(hint: Any) -> Iterator[type[msgspec.Struct]]:
    """The struct types that a hint mentions: itself, in a union, or as an array's element."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        yield hint
    for part in getattr(hint, "__args__", ()):
        yield from _structs(part)
    if hasattr(hint, "__origin__") and hasattr(hint, "__metadata__"):
        yield from _structs(hint.__origin__)


def _meaning_at(kind: type[msgspec.Struct], steps: list[str]) -> str:
    kinds: list[type[msgspec.Struct]] = [kind]
    meaning = ""
    for step in steps:
        if step.isdigit() or step == "...":
            continue
        found = [
            (inner, field)
            for inner in kinds
            for field in msgspec.structs.fields(inner)
            if field.encode_name == step
        ]
        if not found:
            return ""
        inner, field = found[0]
        hint = _hints(inner)[field.name]
        meaning = _meaning(hint)
        kinds = list(dict.fromkeys(_structs(hint)))
    return meaning
