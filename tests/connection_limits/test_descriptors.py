"""Allocation of descriptors: with every use at its maximum, the sum stays within the limit."""

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

# Descriptors counted in a running process, and those that one iteration of the event loop may add.
STREAMS, LOOP, LISTENER, WATCHES, FILE, PENDING = 3, 10, 1, 2, 1, 3
CONTROL_LISTENER, CONTROL_PENDING = 1, 2
INHERITED_LISTENER, HANDOVER_LISTENER, HANDOVER_CONNECTION, SECOND_HANDOVER_CONNECTION = 1, 1, 1, 1


def max_own_descriptors(control: int, inherited: bool) -> int:
    """Return the maximum of descriptors that the process itself holds at once."""
    base = STREAMS + LOOP + LISTENER + WATCHES + FILE + PENDING
    at_control = control + CONTROL_LISTENER + CONTROL_PENDING if control else 0
    in_upgrade = (
        INHERITED_LISTENER + HANDOVER_LISTENER + HANDOVER_CONNECTION + SECOND_HANDOVER_CONNECTION
        if inherited
        else 0
    )
    return base + at_control + in_upgrade


def max_descriptors(allocation: Allocation, control: int, inherited: bool) -> int:
    """Return the descriptors in use when each use is at its maximum."""
    return (
        max_own_descriptors(control, inherited) + allocation.served + allocation.rejected + allocation.servers
    )


def allocate_without_callers(limit: int, control: int, inherited: bool) -> Allocation:
    """An earlier allocation: 32 descriptors for the process, its callers not counted."""
    return allocate(limit, 32)


def allocate_with_callers(limit: int, control: int, inherited: bool) -> Allocation:
    return allocate(limit, own_descriptors(control, inherited))


def exceeded_limits(
    allocate_for: Callable[[int, int, bool], Allocation], callers_for: Callable[[int], int]
) -> list[tuple[int, bool]]:
    return [
        (limit, inherited)
        for limit in LIMITS
        for inherited in (False, True)
        if max_descriptors(allocate_for(limit, callers_for(limit), inherited), callers_for(limit), inherited)
        > limit
    ]


def test_maximum_use_stays_within_every_limit() -> None:
    assert not exceeded_limits(
        allocate_with_callers, lambda limit: caller_limit(limit, MAX_CONTROL_CONNECTIONS)
    )
    assert not exceeded_limits(allocate_with_callers, lambda _: 0)


def test_check_detects_an_allocation_without_callers() -> None:
    assert exceeded_limits(allocate_without_callers, lambda _: MAX_CONTROL_CONNECTIONS) == [
        (limit, inherited) for limit in LIMITS for inherited in (False, True)
    ]


@pytest.mark.parametrize("limit", LIMITS)
def test_each_use_gets_descriptors_and_clients_get_most(limit: int) -> None:
    allocation = allocate_with_callers(limit, caller_limit(limit, MAX_CONTROL_CONNECTIONS), False)
    assert allocation.served > allocation.servers > allocation.rejected >= 0
    assert allocation.rejected <= MAX_REJECTED_CONNECTIONS
    assert allocation.rejected * 8 <= allocation.served + allocation.rejected


def test_higher_limit_reduces_no_allocation_with_the_same_callers() -> None:
    for lower_limit, higher_limit in itertools.pairwise(LIMITS):
        lower, higher = (
            allocate_with_callers(lower_limit, 4, True),
            allocate_with_callers(higher_limit, 4, True),
        )
        assert lower.served <= higher.served
        assert lower.servers <= higher.servers


def test_descriptors_of_sections_are_not_allocated_to_connections() -> None:
    assert own_descriptors(0, False, sections=40) == own_descriptors(0, False) + 40
    assert (
        allocate(1024, own_descriptors(0, False, 40)).servers
        < allocate(1024, own_descriptors(0, False)).servers
    )
    assert own_descriptors(16, False) - own_descriptors(0, False) == 16 + CONTROL_DESCRIPTORS
    assert max_own_descriptors(0, False) <= BASE_DESCRIPTORS


@pytest.mark.parametrize("limit", LIMITS)
def test_two_processes_of_an_upgrade_share_the_limit_of_one(limit: int) -> None:
    control = caller_limit(limit, MAX_CONTROL_CONNECTIONS)
    allocation = allocate_with_callers(limit, control, True)
    split = DescriptorSplit(allocation.served, allocation.servers, allocation.own + allocation.rejected)
    old_clients, old_servers = split.shared
    for old_clients_open in range(0, old_clients + allocation.rejected + 1):
        clients, servers = split.remaining(old_clients_open, old_servers)
        total = (
            old_clients_open
            + old_servers
            + clients
            + servers
            + allocation.rejected
            + 2 * max_own_descriptors(control, True)
        )
        assert total <= limit


@pytest.mark.parametrize("limit", [256, 1024])
def test_sections_take_no_descriptors_from_other_uses(limit: int) -> None:
    accounting = accounting_descriptors(MAX_CONNECTIONS, writes=True, posts=True)
    voter = fleet_descriptors(voters=3, incoming=29, unidentified=MAX_UNIDENTIFIED, writes=True)
    control = caller_limit(limit, MAX_CONTROL_CONNECTIONS)
    allocation = allocate(limit, own_descriptors(control, False, accounting + voter))
    for_accounting = 1 + MAX_CONNECTIONS + 2 + 3 + 1  # listener, callers, pending accepts, files, webhook
    # Listener, links to voters, incoming links, unidentified connections, pending accepts, files.
    for_fleet = 1 + 3 + 29 + MAX_UNIDENTIFIED + 2 + 3
    assert max_descriptors(allocation, control, False) + for_accounting + for_fleet <= limit
    assert (
        max_descriptors(allocate(limit, own_descriptors(control, False)), control, False)
        + for_accounting
        + for_fleet
        > limit
    )
    assert accounting_descriptors(0, writes=False, posts=False) == 0


def test_operator_is_warned_when_hardly_any_client_can_be_served() -> None:
    """Guards against a voter of a large fleet that has four places for clients and says nothing."""
    voter = own_descriptors(16, True, fleet_descriptors(3, 1100, MAX_UNIDENTIFIED, writes=True))
    allocation = allocate(1024, voter)
    assert allocation.served == 4
    assert allocation.warning.startswith("only 4 clients can be served at a time, ")
    assert "\n" not in allocation.warning
    member = own_descriptors(16, True, fleet_descriptors(3, 0, MAX_UNIDENTIFIED, writes=True))
    assert allocate(256, member).warning == ""
