"""Who is dealt how many keys, and when a stalled client is shed."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.multi_get import Gathering, HedgeBudget, ShareBounds, Shares

S = 1_000_000_000


def gathering(count: int, value: int = 100) -> Gathering:
    return Gathering([b"k%d" % number for number in range(count)], value)


def test_the_command_with_the_fewest_keys_in_flight_is_dealt_to_first() -> None:
    shares = Shares(ShareBounds(chunk=8, value=100))
    long, short = gathering(1000), gathering(3)
    shares.join(long)
    shares.deal(1000)
    shares.join(short)
    assert shares.deal(1000) == (short, [0, 1, 2])
    assert shares.deal(1000) == (long, list(range(8, 16)))


@given(
    strategies.lists(strategies.integers(1, 40), min_size=1, max_size=6),
    strategies.integers(1, 30),
    strategies.integers(1, 10),
    strategies.integers(200, 3000),
    strategies.integers(0, 50),
)
def test_no_bound_is_ever_passed_and_none_in_need_is_passed_over(
    counts: list[int], keys: int, of_one: int, held: int, room: int
) -> None:
    bounds = ShareBounds(keys=keys, keys_of_one=of_one, held=held, held_of_one=held // 2, value=100, chunk=7)
    shares = Shares(bounds)
    all_of_them = [gathering(count) for count in counts]
    for each in all_of_them:
        shares.join(each)
    while dealt := shares.deal(room):
        poorest = min(each.asked for each in all_of_them if each.waiting or each is dealt[0])
        assert 0 < len(dealt[1]) <= min(bounds.chunk, room)
        assert dealt[0].asked - len(dealt[1]) <= poorest
        assert shares.asked <= keys
        assert shares.held <= held
        assert all(each.asked <= of_one for each in all_of_them)
        assert all(each.held <= held // 2 or each.asked == 1 for each in all_of_them)
    spread = [each.asked for each in all_of_them if each.waiting]
    assert not spread or max(spread) - min(spread) <= bounds.chunk or room == 0


def test_a_client_that_takes_nothing_is_dealt_nothing_and_others_go_on() -> None:
    shares = Shares(ShareBounds(value=100))
    stalled, reading = gathering(5), gathering(5)
    shares.join(stalled)
    shares.join(reading)
    shares.stalls(stalled, 0)
    assert shares.deal(100) == (reading, [0, 1, 2, 3, 4])
    assert shares.deal(100) is None
    shares.reads(stalled)
    assert shares.deal(100) == (stalled, [0, 1, 2, 3, 4])


def test_a_stalled_client_is_shed_only_after_its_time_and_where_others_lack_its_memory() -> None:
    shares = Shares(ShareBounds(held=250, held_of_one=250, value=100))
    stalled, other = gathering(2), gathering(2)
    shares.join(stalled)
    shares.deal(100)
    for number in (0, 1):
        stalled.end(number, b"x" * 100)  # held until its client takes it
    shares.stalls(stalled, now=S)
    assert shares.to_shed(10 * S) is None  # nobody is in need
    shares.join(other)
    assert shares.deal(100) is None
    assert shares.to_shed(S + S // 2) is None
    assert shares.to_shed(2 * S) is stalled
    shares.leave(stalled)
    assert shares.deal(100) == (other, [0, 1])


def test_commands_past_the_bound_do_not_join() -> None:
    shares = Shares(ShareBounds(commands=1))
    assert shares.join(gathering(1))
    assert not shares.join(gathering(1))


@pytest.mark.parametrize("share", [0.0, 0.02, 0.5])
def test_second_copies_stay_within_their_share_of_all_attempts(share: float) -> None:
    budget, attempts = HedgeBudget(share), 0
    for _ in range(500):
        budget.attempted(3)
        attempts += 3
        while budget.spend():
            pass
        assert budget.spent <= attempts * share
    assert budget.spent >= attempts * share - 1
    budget.attempted(10**9)
    assert sum(budget.spend() for _ in range(1000)) <= 8  # what is saved up is bounded
