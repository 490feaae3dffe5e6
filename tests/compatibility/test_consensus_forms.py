"""The formats of messages between routers, of a link's first message and of a voter's records."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import (
    Codec,
    check_names,
    check_round_trip,
    frozen_bytes,
    frozen_lines,
    frozen_samples,
    with_field_renamed,
)

MESSAGES = frozen_samples("messages.txt")
RECORDS = frozen_samples("records.txt")
HELLO = frozen_samples("link-hello.txt")["hello"]


def fields_of(kinds: tuple[type[msgspec.Struct], ...]) -> list[Any]:
    """Return test parameters for every field of these structs."""
    return [
        pytest.param(kind, index, id=f"{kind.__name__}-{field.encode_name}")
        for kind in kinds
        for index, field in enumerate(msgspec.structs.fields(kind))
    ]


def structs_in(value: Any) -> Iterator[msgspec.Struct]:
    """Yield all structs within a decoded value."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    if isinstance(value, dict):
        value = list(value.values())
    for item in value if isinstance(value, list | tuple) else ():
        yield from structs_in(item)


def check_all(samples: list[bytes], codec: Codec) -> None:
    assert samples
    for data in samples:
        check_round_trip(data, codec)


@pytest.mark.parametrize("name", MESSAGES)
def test_message_is_decoded_and_encoded_to_the_same_bytes(name: str) -> None:
    check_round_trip(MESSAGES[name], forms.MESSAGE)


@pytest.mark.parametrize("name", RECORDS)
def test_record_is_decoded_and_encoded_to_the_same_bytes(name: str) -> None:
    check_round_trip(RECORDS[name], forms.RECORD)


def test_every_message_and_record_type_is_frozen() -> None:
    bodies = {type(forms.body_of(forms.MESSAGE.read(data))) for data in MESSAGES.values()}
    assert bodies == set(forms.MESSAGE_BODIES)
    assert {type(forms.RECORD.read(data)) for data in RECORDS.values()} == set(forms.RECORDS)


def test_hello_is_decoded_and_encoded_to_the_same_bytes() -> None:
    check_round_trip(HELLO, forms.hello_codec(forms.HELLO_TYPE))
    assert forms.LINK_VERSION == 1


def test_messages_are_counted_under_the_frozen_kinds() -> None:
    counted = asyncio.run(forms.counted_kinds(list(MESSAGES.values())))
    check_names(counted, frozen_lines("message-kinds.txt"))


# The checks fail for a field that is encoded under another name


def bodies_of(kind: type[msgspec.Struct]) -> list[bytes]:
    bodies = {data: forms.body_of(forms.MESSAGE.read(data)) for data in MESSAGES.values()}
    return [data for data, body in bodies.items() if type(body) is kind]


@pytest.mark.parametrize(("kind", "index"), fields_of(forms.MESSAGE_BODIES))
def test_renamed_field_of_a_message_body_is_detected(kind: type[msgspec.Struct], index: int) -> None:
    sender = type(forms.sender_of(forms.MESSAGE.read(MESSAGES["state"])))
    check_all(bodies_of(kind), forms.message_codec(sender, kind))
    with pytest.raises(AssertionError):
        check_all(bodies_of(kind), forms.message_codec(sender, with_field_renamed(kind, index)))


@pytest.mark.parametrize(("kind", "index"), fields_of(forms.RECORDS))
def test_renamed_field_of_a_record_is_detected(kind: type[msgspec.Struct], index: int) -> None:
    samples = [data for data in RECORDS.values() if type(forms.RECORD.read(data)) is kind]
    check_all(samples, forms.struct_codec(kind))
    with pytest.raises(AssertionError):
        check_all(samples, forms.struct_codec(with_field_renamed(kind, index)))


@pytest.mark.parametrize(("kind", "index"), fields_of(forms.MESSAGE_PARTS))
def test_renamed_field_of_a_nested_struct_is_detected(kind: type[msgspec.Struct], index: int) -> None:
    messages = [forms.MESSAGE.read(data) for data in MESSAGES.values()]
    samples = [forms.MESSAGE.write(part) for part in structs_in(messages) if type(part) is kind]
    check_all(samples, forms.struct_codec(kind))
    with pytest.raises(AssertionError):
        check_all(samples, forms.struct_codec(with_field_renamed(kind, index)))


@pytest.mark.parametrize(("kind", "index"), fields_of((forms.HELLO_TYPE,)))
def test_renamed_field_of_hello_is_detected(kind: type[msgspec.Struct], index: int) -> None:
    with pytest.raises(AssertionError):
        check_round_trip(HELLO, forms.hello_codec(with_field_renamed(kind, index)))


@pytest.mark.parametrize("name", ["renew", "grant", "learn"])
def test_message_with_unknown_tag_is_refused(name: str) -> None:
    tag = name.encode()
    with pytest.raises(AssertionError):
        check_round_trip(MESSAGES[name].replace(tag, tag.upper(), 1), forms.MESSAGE)


# Policy files


def test_policy_file_with_every_key_is_decoded() -> None:
    policy_file = forms.policy_file(frozen_bytes("policy.toml"))
    assert msgspec.json.encode(policy_file) == frozen_bytes("policy.json")


@pytest.mark.parametrize("key", ["who", "held_out", "floor_share", "retire", "voters", "[add]", "window_s"])
def test_unknown_key_of_a_policy_file_is_refused(key: str) -> None:
    changed = frozen_bytes("policy.toml").replace(key.encode(), key.replace("a", "x").encode() + b"_", 1)
    with pytest.raises(ValueError, match=r"policy: "):
        forms.policy_file(changed)
