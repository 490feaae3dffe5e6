"""The simulator's protocol: how events are decoded and actions are encoded."""

from __future__ import annotations

import re

import msgspec
import pytest

from tests.compatibility import forms
from tests.compatibility.checks import check_values, frozen_bytes

EVENTS = frozen_bytes("adapter-events.jsonl")
VALUES = frozen_bytes("adapter-events.values.json")
KEYS = sorted({key.decode() for key in re.findall(rb'"(\w+)": ', EVENTS)})
VERDICTS = sorted({word.decode() for word in re.findall(rb'"verdict": "(\w+)"', EVENTS)})


def decode(lines: bytes) -> list[object]:
    return forms.AdapterRecorder().feed(lines).events


def test_events_are_decoded_to_the_frozen_values() -> None:
    check_values(EVENTS, decode, VALUES)


def test_actions_are_encoded_as_frozen() -> None:
    orders = forms.AdapterRecorder().feed(EVENTS).orders
    assert msgspec.json.encode(orders) == frozen_bytes("adapter-orders.json")


@pytest.mark.parametrize("word", [*KEYS, *VERDICTS])
def test_renamed_key_or_verdict_of_an_event_is_detected(word: str) -> None:
    changed = EVENTS.replace(f'"{word}"'.encode(), f'"{word}_renamed"'.encode())
    with pytest.raises(AssertionError):
        check_values(changed, decode, VALUES)
