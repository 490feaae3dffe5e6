"""What one process tells its successor in an upgrade: the messages, and the account of what it knows."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import (
    check_rewritten,
    check_values,
    frozen_bytes,
    frozen_samples,
    with_key_renamed,
)

MESSAGES = frozen_samples("handover-messages.txt")
ACCOUNTS = ["account", "account-unlimited"]
ACCOUNT = msgspec.json.decode(frozen_bytes("account.json"))
VALUES = frozen_bytes("account.values.json")


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_read_and_written_again_to_the_byte(name: str) -> None:
    check_rewritten(MESSAGES[name], forms.HANDOVER_MESSAGE)


@pytest.mark.parametrize("name", ACCOUNTS)
def test_an_account_is_read_and_written_again_to_the_byte(name: str) -> None:
    check_rewritten(frozen_bytes(f"{name}.json"), forms.HANDOVER_ACCOUNT)


@pytest.mark.parametrize("name", ACCOUNTS)
def test_an_account_gives_the_frozen_values(name: str) -> None:
    values = frozen_bytes(f"{name}.values.json")
    check_values(frozen_bytes(f"{name}.json"), forms.HANDOVER_ACCOUNT.read, values)


def test_an_account_travels_in_parts_of_the_frozen_size() -> None:
    size = 48 << 10
    account = bytes(range(1, 201)) * 500
    cuts = [account[at : at + size] for at in range(0, len(account), size)]
    letters = [b"P"] * (len(cuts) - 1) + [b"E"]
    assert len(cuts) == 3
    assert forms.account_parts(account) == [a + b for a, b in zip(letters, cuts, strict=True)]


def test_the_processes_meet_at_the_frozen_name() -> None:
    assert forms.HANDOVER_SOCKET == "pebblepass-handover"


# The checks find a form that has changed


@pytest.mark.parametrize("name", MESSAGES)
def test_another_letter_of_a_message_is_found(name: str) -> None:
    with pytest.raises(AssertionError):
        check_rewritten(b"Z" + MESSAGES[name][1:], forms.HANDOVER_MESSAGE)


@pytest.mark.parametrize("key", ACCOUNT)
def test_a_renamed_key_of_an_account_is_found(key: str) -> None:
    with pytest.raises(AssertionError):
        check_rewritten(msgspec.json.encode(with_key_renamed(ACCOUNT, key)), forms.HANDOVER_ACCOUNT)


def swapped(row: list[Any], at: int) -> list[Any]:
    return [*row[:at], row[at + 1], row[at], *row[at + 2 :]]


@pytest.mark.parametrize("at", range(12))
def test_two_values_of_a_server_that_are_swapped_are_found(at: int) -> None:
    changed = {**ACCOUNT, "nodes": [swapped(ACCOUNT["nodes"][0], at), *ACCOUNT["nodes"][1:]]}
    with pytest.raises(AssertionError):
        check_values(msgspec.json.encode(changed), forms.HANDOVER_ACCOUNT.read, VALUES)


@pytest.mark.parametrize("at", range(6))
def test_two_values_of_the_store_that_are_swapped_are_found(at: int) -> None:
    changed = {**ACCOUNT, "store": swapped(ACCOUNT["store"], at)}
    with pytest.raises(AssertionError):
        check_values(msgspec.json.encode(changed), forms.HANDOVER_ACCOUNT.read, VALUES)


@pytest.mark.parametrize("data", [MESSAGES["hello"].replace(b"1", b"2"), b"", MESSAGES["held"][:-2]])
def test_another_version_or_half_a_message_is_refused(data: bytes) -> None:
    with pytest.raises(forms.HandoverError):
        forms.HANDOVER_MESSAGE.read(data)
