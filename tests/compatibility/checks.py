"""The checks that every frozen form passes through; a broken variant of a form has to fail the same ones."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

FROZEN = Path(__file__).parent / "frozen"


@dataclass(frozen=True, slots=True)
class Form:
    """How the program reads a form, and how it writes what it has read."""

    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes]


def frozen_bytes(name: str) -> bytes:
    """A frozen file as it is."""
    return (FROZEN / name).read_bytes()


def frozen_lines(name: str) -> list[str]:
    """The lines of a frozen list."""
    return (FROZEN / name).read_text().splitlines()


def frozen_samples(name: str) -> dict[str, bytes]:
    """Named byte strings: each line is a name, a blank and the bytes in hexadecimal."""
    rows = (line.split(" ") for line in frozen_lines(name))
    return {name: bytes.fromhex(data) for name, data in rows}


def check_rewritten(data: bytes, form: Form) -> Any:
    """Check that frozen bytes are read, and written again to the byte; returns what was read."""
    try:
        value = form.read(data)
    except Exception as error:
        raise AssertionError(f"frozen bytes are refused: {error}") from error
    assert form.write(value) == data
    return value


def check_values(data: bytes, read: Callable[[bytes], Any], expected: bytes) -> None:
    """Check that frozen bytes give the frozen values, field by field in the order of the fields."""
    try:
        value = read(data)
    except Exception as error:
        raise AssertionError(f"frozen bytes are refused: {error}") from error
    assert plain(value) == msgspec.json.decode(expected)


def check_names(found: list[str], expected: list[str]) -> None:
    """Check that names are the frozen ones: none missing, none new, none renamed."""
    assert sorted(found) == sorted(expected)


def plain(value: Any) -> Any:
    """A value without any name of the program: structs as lists of their values, enums as their places."""
    if isinstance(value, msgspec.Struct):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, dict):
        return {key: plain(held) for key, held in value.items()}
    if isinstance(value, list | tuple):
        return [plain(held) for held in value]
    if isinstance(value, float) and value in (float("inf"), float("-inf")):
        return str(value)
    return value


def paths(value: Any, prefix: str = "") -> Iterator[str]:
    """The dotted paths of all keys of plain values; the rows of a list count as one."""
    if isinstance(value, dict):
        for key, held in value.items():
            path = f"{prefix}.{key}" if prefix else str(key)
            yield path
            yield from paths(held, path)
    elif isinstance(value, list | tuple):
        yield from dict.fromkeys(path for row in value for path in paths(row, f"{prefix}[]"))


def renamed(kind: type[msgspec.Struct], place: int) -> type[msgspec.Struct]:
    """A struct like `kind`, whose field at this place is encoded under another name."""
    config = kind.__struct_config__
    fields: list[tuple[str, Any, Any]] = []
    for at, field in enumerate(msgspec.structs.fields(kind)):
        encoded = field.encode_name + ("_renamed" if at == place else "")
        defaults: dict[str, Any] = {"default": field.default, "default_factory": field.default_factory}
        fields.append((field.name, field.type, msgspec.field(**defaults, name=encoded)))
    return msgspec.defstruct(
        kind.__name__,
        fields,
        frozen=True,
        tag=config.tag,
        omit_defaults=config.omit_defaults,
        forbid_unknown_fields=config.forbid_unknown_fields,
    )


def with_key_renamed(value: Any, path: str) -> Any:
    """Plain values in which the key at this dotted path has another name, in every row of a list."""
    head, _, rest = path.partition(".")
    key = head.removesuffix("[]")
    held = value[key]
    if not rest:
        return {(f"{name}_renamed" if name == key else name): each for name, each in value.items()}
    if head.endswith("[]"):
        return {**value, key: [with_key_renamed(row, rest) if _has(row, rest) else row for row in held]}
    return {**value, key: with_key_renamed(held, rest)}


def _has(row: Any, path: str) -> bool:
    return path in paths(row)
