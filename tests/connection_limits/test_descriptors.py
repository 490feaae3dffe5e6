"""Who has how many descriptors: whatever each user takes at once, the sum stays within the limit."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from pebblepass.accounting.listener import MAX_CONNECTIONS
from pebblepass.connection_limits.descriptors import (
    BASE_DESCRIPTORS,
    CONTROL_DESCRIPTORS,
    MAX_REJECTED_CONNECTIONS,
    Allocation,
    accounting_descriptors,
    allocate,
    caller_limit,
    fleet_descriptors,
    own_descriptors,
)
from pebblepass.control.control_server import MAX_CONNECTIONS as MAX_CONTROL_CONNECTIONS
from pebblepass.handover.descriptor_split import DescriptorSplit
from pebblepass.peers.links import MAX_UNIDENTIFIED

LIMITS = [80, 128, 160, 256, 512, 1024, 4096]

# What was counted at a running process, and what may come beside it for a turn of the loop.
STREAMS, LOOP, LISTENER, WATCHES, FILE, NEWCOMERS = 3, 10, 1, 2, 1, 3
CONTROL_LISTENER, CONTROL_NEWCOMERS = 1, 2
SECOND_LISTENER, DOOR, CHANNEL, THIRD_PROCESS = 1, 1, 1, 1


def needed(control: int, inherited: bool) -> int:
    """All that the process itself holds in the worst moment."""
    bare = STREAMS + LOOP + LISTENER + WATCHES + FILE + NEWCOMERS
    at_control = control + CONTROL_LISTENER + CONTROL_NEWCOMERS if control else 0
    in_upgrade = SECOND_LISTENER + DOOR + CHANNEL + THIRD_PROCESS if inherited else 0
    return bare + at_control + in_upgrade


def worst(dealt: Allocation, control: int, inherited: bool) -> int:
    """Descriptors where every user has taken all that it may."""
    return needed(control, inherited) + dealt.served + dealt.rejected + dealt.servers


def before(limit: int, control: int, inherited: bool) -> Allocation:
    """As it was: 32 for the process, its callers not counted."""
    return allocate(limit, 32)


def now(limit: int, control: int, inherited: bool) -> Allocation:
    return allocate(limit, own_descriptors(control, inherited))


def broken(
    deal: Callable[[int, int, bool], Allocation], places: Callable[[int], int]
) -> list[tuple[int, bool]]:
    return [
        (limit, inherited)
        for limit in LIMITS
        for inherited in (False, True)
        if worst(deal(limit, places(limit), inherited), places(limit), inherited) > limit
    ]


def test_the_worst_sum_stays_within_every_limit() -> None:
    assert not broken(now, lambda limit: caller_limit(limit, MAX_CONTROL_CONNECTIONS))
    assert not broken(now, lambda _: 0)


def test_the_check_finds_a_sum_without_the_callers() -> None:
    assert broken(before, lambda _: MAX_CONTROL_CONNECTIONS) == [
        (limit, each) for limit in LIMITS for each in (False, True)
    ]


@pytest.mark.parametrize("limit", LIMITS)
def test_everybody_has_some_and_clients_most(limit: int) -> None:
    dealt = now(limit, caller_limit(limit, MAX_CONTROL_CONNECTIONS), False)
    assert dealt.served > dealt.servers > dealt.rejected >= 0
    assert dealt.rejected <= MAX_REJECTED_CONNECTIONS
    assert dealt.rejected * 8 <= dealt.served + dealt.rejected


def test_more_descriptors_never_mean_less_of_anything_in_a_step_that_adds_no_callers() -> None:
    for few, many in itertools.pairwise(LIMITS):
        a, b = now(few, 4, True), now(many, 4, True)
        assert a.served <= b.served
        assert a.servers <= b.servers


def test_what_the_operator_asked_for_beside_is_nobody_elses() -> None:
    assert own_descriptors(0, False, beside=40) == own_descriptors(0, False) + 40
    assert (
        allocate(1024, own_descriptors(0, False, 40)).servers
        < allocate(1024, own_descriptors(0, False)).servers
    )
    assert own_descriptors(16, False) - own_descriptors(0, False) == 16 + CONTROL_DESCRIPTORS
    assert needed(0, False) <= BASE_DESCRIPTORS


@pytest.mark.parametrize("limit", LIMITS)
def test_two_processes_of_an_upgrade_stay_within_the_limit_of_one(limit: int) -> None:
    control = caller_limit(limit, MAX_CONTROL_CONNECTIONS)
    dealt = now(limit, control, True)
    split = DescriptorSplit(dealt.served, dealt.servers, dealt.own + dealt.rejected)
    old_clients, old_servers = split.shared
    for at_old in range(0, old_clients + dealt.rejected + 1):
        clients, servers = split.remaining(at_old, old_servers)
        both = at_old + old_servers + clients + servers + dealt.rejected + 2 * needed(control, True)
        assert both <= limit


@pytest.mark.parametrize("limit", [256, 1024])
def test_the_operators_sections_take_none_of_anybody_elses(limit: int) -> None:
    ledger = accounting_descriptors(MAX_CONNECTIONS, writes=True, posts=True)
    voter = fleet_descriptors(voters=3, incoming=29, unidentified=MAX_UNIDENTIFIED, writes=True)
    control = caller_limit(limit, MAX_CONTROL_CONNECTIONS)
    dealt = allocate(limit, own_descriptors(control, False, ledger + voter))
    at_ledger = 1 + MAX_CONNECTIONS + 2 + 3 + 1  # listener, callers, newcomers, files, webhook
    at_fleet = 1 + 3 + 29 + MAX_UNIDENTIFIED + 2 + 3  # listener, dialled, came, strangers, newcomers, files
    assert worst(dealt, control, False) + at_ledger + at_fleet <= limit
    assert (
        worst(allocate(limit, own_descriptors(control, False)), control, False) + at_ledger + at_fleet > limit
    )
    assert accounting_descriptors(0, writes=False, posts=False) == 0
