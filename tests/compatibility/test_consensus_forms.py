"""Messages between routers, their first message on a link, and the records that a voter keeps."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import (
    Form,
    check_names,
    check_rewritten,
    frozen_bytes,
    frozen_lines,
    frozen_samples,
    renamed,
)

MESSAGES = frozen_samples("messages.txt")
RECORDS = frozen_samples("records.txt")
HELLO = frozen_samples("link-hello.txt")["hello"]


def fields_of(kinds: tuple[type[msgspec.Struct], ...]) -> list[Any]:
    """A test's parameters: every field of these structs."""
    return [
        pytest.param(kind, place, id=f"{kind.__name__}-{field.encode_name}")
        for kind in kinds
        for place, field in enumerate(msgspec.structs.fields(kind))
    ]


def structs_in(value: Any) -> Iterator[msgspec.Struct]:
    """All structs that a decoded value holds."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    if isinstance(value, dict):
        value = list(value.values())
    for held in value if isinstance(value, list | tuple) else ():
        yield from structs_in(held)


def check_all(samples: list[bytes], form: Form) -> None:
    assert samples
    for data in samples:
        check_rewritten(data, form)


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_read_and_written_again_to_the_byte(name: str) -> None:
    check_rewritten(MESSAGES[name], forms.MESSAGE)


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_is_read_and_written_again_to_the_byte(name: str) -> None:
    check_rewritten(RECORDS[name], forms.RECORD)


def test_every_kind_of_message_and_of_record_is_frozen() -> None:
    bodies = {type(forms.body_of(forms.MESSAGE.read(data))) for data in MESSAGES.values()}
    assert bodies == set(forms.MESSAGE_BODIES)
    assert {type(forms.RECORD.read(data)) for data in RECORDS.values()} == set(forms.RECORDS)


def test_hello_is_read_and_written_again_to_the_byte() -> None:
    check_rewritten(HELLO, forms.hello_form(forms.HELLO_TYPE))
    assert forms.LINK_VERSION == 1


def test_messages_are_counted_under_their_frozen_kinds() -> None:
    counted = asyncio.run(forms.counted_kinds(list(MESSAGES.values())))
    check_names(counted, frozen_lines("message-kinds.txt"))


# The checks find a field that is encoded under another name


def bodies_of(kind: type[msgspec.Struct]) -> list[bytes]:
    read = {data: forms.body_of(forms.MESSAGE.read(data)) for data in MESSAGES.values()}
    return [data for data, body in read.items() if type(body) is kind]


@pytest.mark.parametrize(("kind", "place"), fields_of(forms.MESSAGE_BODIES))
def test_a_renamed_field_of_a_body_is_found(kind: type[msgspec.Struct], place: int) -> None:
    sender = type(forms.sender_of(forms.MESSAGE.read(MESSAGES["state"])))
    check_all(bodies_of(kind), forms.message_form(sender, kind))
    with pytest.raises(AssertionError):
        check_all(bodies_of(kind), forms.message_form(sender, renamed(kind, place)))


@pytest.mark.parametrize(("kind", "place"), fields_of(forms.RECORDS))
def test_a_renamed_field_of_a_record_is_found(kind: type[msgspec.Struct], place: int) -> None:
    samples = [data for data in RECORDS.values() if type(forms.RECORD.read(data)) is kind]
    check_all(samples, forms.struct_form(kind))
    with pytest.raises(AssertionError):
        check_all(samples, forms.struct_form(renamed(kind, place)))


@pytest.mark.parametrize(("kind", "place"), fields_of(forms.MESSAGE_PARTS))
def test_a_renamed_field_of_a_part_of_messages_is_found(kind: type[msgspec.Struct], place: int) -> None:
    read = [forms.MESSAGE.read(data) for data in MESSAGES.values()]
    samples = [forms.MESSAGE.write(part) for part in structs_in(read) if type(part) is kind]
    check_all(samples, forms.struct_form(kind))
    with pytest.raises(AssertionError):
        check_all(samples, forms.struct_form(renamed(kind, place)))


@pytest.mark.parametrize(("kind", "place"), fields_of((forms.HELLO_TYPE,)))
def test_a_renamed_field_of_hello_is_found(kind: type[msgspec.Struct], place: int) -> None:
    with pytest.raises(AssertionError):
        check_rewritten(HELLO, forms.hello_form(renamed(kind, place)))


@pytest.mark.parametrize("name", ["renew", "grant", "learn"])
def test_a_message_of_an_unknown_tag_is_refused(name: str) -> None:
    tag = name.encode()
    with pytest.raises(AssertionError):
        check_rewritten(MESSAGES[name].replace(tag, tag.upper(), 1), forms.MESSAGE)


# A policy file to propose


def test_a_policy_file_with_every_key_is_read() -> None:
    read = forms.policy_file(frozen_bytes("policy.toml"))
    assert msgspec.json.encode(read) == frozen_bytes("policy.json")


@pytest.mark.parametrize("key", ["who", "held_out", "floor_share", "retire", "voters", "[add]", "window_s"])
def test_an_unknown_key_of_a_policy_file_is_refused(key: str) -> None:
    changed = frozen_bytes("policy.toml").replace(key.encode(), key.replace("a", "x").encode() + b"_", 1)
    with pytest.raises(ValueError, match=r"policy: "):
        forms.policy_file(changed)
