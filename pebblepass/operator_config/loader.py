"""Loads TOML files into structs and validates them; each error is one line that names the key."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, get_type_hints

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

_ERROR_PATH = re.compile(r" - at `\$(.*)`$", re.S)
_PATH_STEP = re.compile(r"\.([A-Za-z_][A-Za-z_0-9-]*)|\[(\d+|\.\.\.)\]")
_UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.*)`", re.S)
_MISSING_FIELD = re.compile(r"Object missing required field `(.*)`", re.S)


class FileError(Exception):
    """A file can't be used; the text is one line that names the file and the key."""


class ConfigEntry(NamedTuple):
    """A configuration key with the value in force."""

    name: str
    """The dotted path of the key, as in `figures.listen`."""
    value: Any
    description: str


def read_toml(path: str | Path, kind: type[T]) -> T:
    """Read and validate a file; raises FileError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from None
    return decode_toml(str(path), data, kind)


def decode_toml(name: str, data: bytes, kind: type[T]) -> T:
    """Decode and validate a file's bytes; raises FileError, with `name` as the file's name."""
    try:
        return msgspec.toml.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise FileError(f"{name}: {_error_message(str(error), kind)}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FileError(f"{name}: not TOML: {_one_line(str(error))}") from None


def describe(value: msgspec.Struct, prefix: str = "") -> Iterator[ConfigEntry]:
    """Yield an entry for every key of a struct, with those of nested structs."""
    hints = _type_hints(type(value))
    for field in msgspec.structs.fields(type(value)):
        name, setting = prefix + field.encode_name, getattr(value, field.name)
        if isinstance(setting, msgspec.Struct):
            yield from describe(setting, name + ".")
        elif isinstance(setting, tuple | list) and setting and isinstance(setting[0], msgspec.Struct):
            for index, entry in enumerate(setting):
                yield from describe(entry, f"{name}[{index}].")
        else:
            yield ConfigEntry(name, setting, _description(hints[field.name]))


def _error_message(message: str, kind: type[msgspec.Struct]) -> str:
    path = _ERROR_PATH.search(message)
    steps = [key or index for key, index in _PATH_STEP.findall(path[1])] if path else []
    problem = _ERROR_PATH.sub("", message)
    for pattern, replacement in ((_UNKNOWN_FIELD, "unknown key"), (_MISSING_FIELD, "missing key")):
        if match := pattern.search(problem):
            steps, problem = [*steps, match[1]], replacement
    problem = problem[:1].lower() + problem[1:]
    name = _dotted_name(steps)
    description = _description_at(kind, steps)
    text = f"{name}: {problem}" if name else problem
    return _one_line(f"{text} ({description})" if description else text)


def _dotted_name(steps: list[str]) -> str:
    name = ""
    for step in steps:
        if _is_array_index(step):
            name += f"[{step}]"
        else:
            name += f".{step}" if name else step
    return name


def _is_array_index(step: str) -> bool:
    return step.isdigit() or step == "..."


def _one_line(text: str) -> str:
    return " ".join(text.split())


def _type_hints(kind: type) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def _description(hint: Any) -> str:
    for extra in getattr(hint, "__metadata__", ()):
        if isinstance(extra, msgspec.Meta) and extra.description:
            return extra.description
    return ""


def _struct_types(hint: Any) -> Iterator[type[msgspec.Struct]]:
    """Yield the struct types in a type hint: itself, members of a union, and element types."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        yield hint
    for part in getattr(hint, "__args__", ()):
        yield from _struct_types(part)
    if hasattr(hint, "__origin__") and hasattr(hint, "__metadata__"):
        yield from _struct_types(hint.__origin__)


def _description_at(kind: type[msgspec.Struct], steps: list[str]) -> str:
    kinds: list[type[msgspec.Struct]] = [kind]
    description = ""
    for step in steps:
        if _is_array_index(step):
            continue
        matches = [
            (struct, field)
            for struct in kinds
            for field in msgspec.structs.fields(struct)
            if field.encode_name == step
        ]
        if not matches:
            return ""
        struct, field = matches[0]
        hint = _type_hints(struct)[field.name]
        description = _description(hint)
        kinds = list(dict.fromkeys(_struct_types(hint)))
    return description
