"""The formats of an upgrade: messages between the two processes, and the router snapshot."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import (
    check_round_trip,
    check_values,
    frozen_bytes,
    frozen_samples,
    with_key_renamed,
)

MESSAGES = frozen_samples("handover-messages.txt")
SNAPSHOTS = ["account", "account-unlimited"]
SNAPSHOT = msgspec.json.decode(frozen_bytes("account.json"))
VALUES = frozen_bytes("account.values.json")


@pytest.mark.parametrize("name", MESSAGES)
def test_message_is_decoded_and_encoded_to_the_same_bytes(name: str) -> None:
    check_round_trip(MESSAGES[name], forms.HANDOVER_MESSAGE)


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_snapshot_is_decoded_and_encoded_to_the_same_bytes(name: str) -> None:
    check_round_trip(frozen_bytes(f"{name}.json"), forms.HANDOVER_SNAPSHOT)


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_snapshot_is_decoded_to_the_frozen_values(name: str) -> None:
    values = frozen_bytes(f"{name}.values.json")
    check_values(frozen_bytes(f"{name}.json"), forms.HANDOVER_SNAPSHOT.read, values)


def test_snapshot_is_split_into_messages_of_the_frozen_size() -> None:
    size = 48 << 10
    encoded = bytes(range(1, 201)) * 500
    chunks = [encoded[start : start + size] for start in range(0, len(encoded), size)]
    tags = [b"P"] * (len(chunks) - 1) + [b"E"]
    assert len(chunks) == 3
    assert forms.snapshot_messages(encoded) == [tag + chunk for tag, chunk in zip(tags, chunks, strict=True)]


def test_handover_socket_has_the_frozen_name() -> None:
    assert forms.HANDOVER_SOCKET == "pebblepass-handover"


# The checks fail for a changed format


@pytest.mark.parametrize("name", MESSAGES)
def test_message_with_another_tag_is_detected(name: str) -> None:
    with pytest.raises(AssertionError):
        check_round_trip(b"Z" + MESSAGES[name][1:], forms.HANDOVER_MESSAGE)


@pytest.mark.parametrize("key", SNAPSHOT)
def test_renamed_key_of_a_snapshot_is_detected(key: str) -> None:
    with pytest.raises(AssertionError):
        check_round_trip(msgspec.json.encode(with_key_renamed(SNAPSHOT, key)), forms.HANDOVER_SNAPSHOT)


def swapped(row: list[Any], index: int) -> list[Any]:
    return [*row[:index], row[index + 1], row[index], *row[index + 2 :]]


@pytest.mark.parametrize("index", range(12))
def test_swapped_values_of_a_server_are_detected(index: int) -> None:
    changed = {**SNAPSHOT, "nodes": [swapped(SNAPSHOT["nodes"][0], index), *SNAPSHOT["nodes"][1:]]}
    with pytest.raises(AssertionError):
        check_values(msgspec.json.encode(changed), forms.HANDOVER_SNAPSHOT.read, VALUES)


@pytest.mark.parametrize("index", range(6))
def test_swapped_values_of_the_store_are_detected(index: int) -> None:
    changed = {**SNAPSHOT, "store": swapped(SNAPSHOT["store"], index)}
    with pytest.raises(AssertionError):
        check_values(msgspec.json.encode(changed), forms.HANDOVER_SNAPSHOT.read, VALUES)


@pytest.mark.parametrize("data", [MESSAGES["hello"].replace(b"1", b"2"), b"", MESSAGES["held"][:-2]])
def test_unsupported_version_or_truncated_message_is_refused(data: bytes) -> None:
    with pytest.raises(forms.HandoverError):
        forms.HANDOVER_MESSAGE.read(data)
