"""Policies: parsing, checks against the settings, and the difference of two policies."""

from __future__ import annotations

import pytest

from pebblepass.consensus.policy import (
    Policy,
    PolicyChecker,
    PolicyError,
    difference,
    fleet_policy,
    read_policy,
)
from pebblepass.decisions import RequestClass, Settings, Tenant

SETTINGS = Settings(
    (RequestClass("get", 1, 2),), (Tenant("public", 0.7, 60.0), Tenant("municipal", 0.3, 20.0))
)


def parse(text: str) -> Policy:
    return read_policy("p.toml", text.encode()).policy()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[store]\nrate_per_s = -1", "p.toml: store.rate_per_s: expected `float` > 0.0"),
        ("[store]\nrate = 1", "p.toml: store: object contains unknown field `rate`"),
        ("held_out = 3", "p.toml: held_out: expected `array`, got `int`"),
        ("[store", "p.toml: not TOML:"),
    ],
)
def test_invalid_file_is_reported_in_one_line_with_the_key(text: str, expected: str) -> None:
    with pytest.raises(PolicyError) as error:
        parse(text)
    assert str(error.value).startswith(expected)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[namespaces.publik]\nquota_per_s = 3", "namespaces.publik: no such namespace"),
        ("[namespaces.public]\nquota_per_s = 3", "namespaces.public.quota_per_s: 3 is under its floor, 15"),
        ("[namespaces.public]\nportion = 0.8", "namespaces: the portions add up to more than 1"),
        ("floor_share = 0.1", "floor_share: 0.1 is under 0.25; it can only rise"),
        ("[store]\nrate_per_s = 10", "store.rate_per_s: 10 leaves public under its floor; 21.4286 would do"),
        ("[namespaces.public]\nquota_per_s = 30\n[store]\nrate_per_s = 60", ""),
    ],
)
def test_policy_is_checked_against_settings(text: str, expected: str) -> None:
    assert PolicyChecker(SETTINGS).check(Policy(), parse(text)) == expected


def test_quota_below_the_floor_of_earlier_version_is_rejected() -> None:
    """A partitioned router keeps the floors of its version, so no later version may admit less than these."""
    checker, before = PolicyChecker(SETTINGS), parse("floor_share = 0.5")
    assert checker.check(Policy(), before) == ""
    for quota in (14, 29, 30, 60):
        after = parse(f"floor_share = 0.5\n[namespaces.public]\nquota_per_s = {quota}")
        assert (checker.check(before, after) == "") == (quota >= 30)


def test_difference_names_each_changed_key() -> None:
    after = parse('held_out = ["n3"]\n[namespaces.public]\nquota_per_s = 30')
    assert difference(Policy(), after) == [
        "namespaces.public.quota_per_s: as before -> 30.0",
        "held_out: as before -> n3",
    ]
    assert fleet_policy(4, after).cordoned == ("n3",)
