"""The checks of frozen formats. Tests also run each check on a changed format, which must fail it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

FROZEN = Path(__file__).parent / "frozen"


@dataclass(frozen=True, slots=True)
class Codec:
    """The program's decoder and encoder of one format."""

    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes]


def frozen_bytes(name: str) -> bytes:
    """Return the bytes of a frozen file."""
    return (FROZEN / name).read_bytes()


def frozen_lines(name: str) -> list[str]:
    """Return the lines of a frozen list."""
    return (FROZEN / name).read_text().splitlines()


def frozen_samples(name: str) -> dict[str, bytes]:
    """Return byte strings by name; each line of the file is a name, a space and the bytes in hexadecimal."""
    rows = (line.split(" ") for line in frozen_lines(name))
    return {name: bytes.fromhex(data) for name, data in rows}


def check_round_trip(data: bytes, codec: Codec) -> Any:
    """Check that frozen bytes are decoded and encoded to the same bytes; return the decoded value."""
    try:
        value = codec.read(data)
    except Exception as error:
        raise AssertionError(f"the frozen bytes can't be decoded: {error}") from error
    assert codec.write(value) == data
    return value


def check_values(data: bytes, read: Callable[[bytes], Any], expected: bytes) -> None:
    """Check that frozen bytes are decoded to the frozen values; fields are compared by position."""
    try:
        value = read(data)
    except Exception as error:
        raise AssertionError(f"the frozen bytes can't be decoded: {error}") from error
    assert without_identifiers(value) == msgspec.json.decode(expected)


def check_names(found: list[str], expected: list[str]) -> None:
    """Check that names equal the frozen ones in any order: none missing, new or renamed."""
    assert sorted(found) == sorted(expected)


def without_identifiers(value: Any) -> Any:
    """Return a value without the program's identifiers: structs as lists of values, enums as positions."""
    if isinstance(value, msgspec.Struct):
        return [without_identifiers(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, dict):
        return {key: without_identifiers(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [without_identifiers(item) for item in value]
    if isinstance(value, float) and value in (float("inf"), float("-inf")):
        return str(value)
    return value


def paths(value: Any, prefix: str = "") -> Iterator[str]:
    """Yield the dotted paths of all keys of plain values; items of a list share their paths."""
    if isinstance(value, dict):
        for key, item in value.items():
            path = f"{prefix}.{key}" if prefix else str(key)
            yield path
            yield from paths(item, path)
    elif isinstance(value, list | tuple):
        yield from dict.fromkeys(path for row in value for path in paths(row, f"{prefix}[]"))


def with_field_renamed(kind: type[msgspec.Struct], index: int) -> type[msgspec.Struct]:
    """Return a struct type like `kind` whose field at this index is encoded under another name."""
    config = kind.__struct_config__
    fields: list[tuple[str, Any, Any]] = []
    for position, field in enumerate(msgspec.structs.fields(kind)):
        encoded = field.encode_name + ("_renamed" if position == index else "")
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
    """Return plain values with the key at this dotted path renamed, in every item of a list."""
    head, _, rest = path.partition(".")
    key = head.removesuffix("[]")
    inner = value[key]
    if not rest:
        return {(f"{name}_renamed" if name == key else name): item for name, item in value.items()}
    if head.endswith("[]"):
        return {**value, key: [with_key_renamed(row, rest) if _has(row, rest) else row for row in inner]}
    return {**value, key: with_key_renamed(inner, rest)}


def _has(row: Any, path: str) -> bool:
    return path in paths(row)
