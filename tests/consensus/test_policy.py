"""Policies: read whole or not at all, checked against the settings, and told apart."""

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


def told(text: str) -> Policy:
    return read_policy("p.toml", text.encode()).policy()


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[store]\nrate_per_s = -1", "p.toml: store.rate_per_s: expected `float` > 0.0"),
        ("[store]\nrate = 1", "p.toml: store: object contains unknown field `rate`"),
        ("held_out = 3", "p.toml: held_out: expected `array`, got `int`"),
        ("[store", "p.toml: not TOML:"),
    ],
)
def test_a_file_that_cannot_be_used_is_one_line_that_names_the_place(text: str, said: str) -> None:
    with pytest.raises(PolicyError) as error:
        told(text)
    assert str(error.value).startswith(said)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[namespaces.publik]\nquota_per_s = 3", "namespaces.publik: no such namespace"),
        ("[namespaces.public]\nquota_per_s = 3", "namespaces.public.quota_per_s: 3 is under its floor, 15"),
        ("[namespaces.public]\nportion = 0.8", "namespaces: the portions add up to more than 1"),
        ("floor_share = 0.1", "floor_share: 0.1 is under 0.25; it can only rise"),
        ("[store]\nrate_per_s = 10", "store.rate_per_s: 10 leaves public under its floor; 21.4286 would do"),
        ("[namespaces.public]\nquota_per_s = 30\n[store]\nrate_per_s = 60", ""),
    ],
)
def test_a_policy_is_checked_against_what_the_router_knows(text: str, said: str) -> None:
    assert PolicyChecker(SETTINGS).check(Policy(), told(text)) == said


def test_no_later_version_admits_less_than_the_floor_of_one_before() -> None:
    """What lets a router that is cut off hold the floor it knows: it is never looser than the rest."""
    checker, before = PolicyChecker(SETTINGS), told("floor_share = 0.5")
    assert checker.check(Policy(), before) == ""
    for quota in (14, 29, 30, 60):
        after = told(f"floor_share = 0.5\n[namespaces.public]\nquota_per_s = {quota}")
        assert (checker.check(before, after) == "") == (quota >= 30)


def test_the_difference_names_each_key() -> None:
    after = told('held_out = ["n3"]\n[namespaces.public]\nquota_per_s = 30')
    assert difference(Policy(), after) == [
        "namespaces.public.quota_per_s: as before -> 30.0",
        "held_out: as before -> n3",
    ]
    assert fleet_policy(4, after).cordoned == ("n3",)
