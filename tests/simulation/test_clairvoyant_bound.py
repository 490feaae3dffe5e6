"""The clairvoyant bound, against cases worked out by hand."""

from __future__ import annotations

import msgspec

from pebblepass.simulation.clairvoyant_bound import (
    BoundFacts,
    ClairvoyantCache,
    bound_facts,
    clairvoyant_bound,
)
from pebblepass.simulation.plan import Operation, make_plan
from pebblepass.simulation.scenario import Disturbance, Fault, Range, Scenario, Store, Traffic

FACTS = BoundFacts(memory=2, slots=1, work=1.0, kept=(), voids=(), downs=())
AIM = 2.5


def operations(*told: tuple[float, str]) -> tuple[Operation, ...]:
    """Asks at these times for these keys; a key that begins with `w` is written."""
    return tuple(
        Operation(
            number,
            at,
            "write" if key.startswith("w") else "read",
            "n",
            key,
            "z",
            0,
            False,
            (1.0,),
            (0.0,),
            1.0,
        )
        for number, (at, key) in enumerate(told)
    )


def played(facts: BoundFacts, *told: tuple[float, str], draw: float = 0.0) -> ClairvoyantCache:
    bound = ClairvoyantCache(
        facts, operations(*told), lambda operation: (operation.key.startswith("w"), 1.0, AIM), lambda: draw
    )
    bound.play()
    return bound


def served(bound: ClairvoyantCache) -> list[bool]:
    return [bound.in_time[number] for number in sorted(bound.in_time)]


def test_the_missed_key_for_which_most_is_to_come_is_fetched_first() -> None:
    # `a` is under way until 1. Then `c`, asked for three times, goes before `b`, which came first: until 2.
    # The second `c` waits too, the third finds it kept. `b` could be done at 3: too late for one of 0.1.
    bound = played(FACTS, (0.0, "a"), (0.1, "b"), (0.2, "c"), (1.5, "c"), (2.2, "c"))
    assert served(bound) == [True, False, True, True, True]
    assert bound.fetches == 2  # nobody asks for `b` again, and it can't be in time


def test_the_copy_whose_next_use_lies_furthest_ahead_is_dropped() -> None:
    # `c` (done at 7) takes the place of `a` (next used at 20), not of `b` (next used at 8).
    bound = played(FACTS, (0.0, "a"), (1.0, "b"), (6.0, "c"), (8.0, "b"), (9.0, "c"), (20.0, "a"))
    assert served(bound) == [True] * 6
    assert bound.fetches == 4


def test_a_write_goes_first_and_makes_a_copy_void() -> None:

    bound = played(FACTS, (0.0, "a"), (0.1, "wx"), (0.2, "b"), (0.3, "wx"))
    # `a` until 1, the writes until 2 and 3, `b` until 4: too late.
    assert served(bound) == [True, True, False, False]
    assert (bound.fetches, bound.writes) == (1, 2)


def test_copies_go_void_and_a_store_that_is_down_serves_nothing() -> None:
    facts = BoundFacts(memory=2, slots=1, work=1.0, kept=("a", "b"), voids=((5.0, 0.5),), downs=((5.0, 9.0),))
    kept = played(facts, (1.0, "a"), (5.5, "a"), (12.0, "a"), draw=0.9)
    assert served(kept) == [True, True, True]
    # Void at 5; the fetch begins when the store is back at 9, and is done at 10: late for the second ask.
    void = played(facts, (1.0, "a"), (5.5, "a"), (9.5, "a"), (12.0, "a"), draw=0.1)
    assert served(void) == [True, False, True, True]
    assert void.fetches == 1


def test_a_plan_without_troubles_and_with_room_is_served_whole_and_never_better_than_one_with_less() -> None:
    small = Scenario(title="t", length_s=20, traffic=Traffic(rate=60), store=Store(capacity=Range(0.5, 0.5)))
    roomy = msgspec.structs.replace(small, store=Store(capacity=Range(4, 4)))
    shares = {}
    for name, scenario in (("small", small), ("roomy", roomy)):
        bound = clairvoyant_bound(make_plan(scenario, 7))
        assert len(bound.in_time) == len(make_plan(scenario, 7).operations)
        shares[name] = sum(bound.in_time.values()) / len(bound.in_time)
    assert shares["roomy"] > 0.99
    assert shares["small"] < shares["roomy"]


def test_the_facts_are_the_plans() -> None:
    disturbances = (
        Disturbance(kind="invalidation", at_s=3, share=Range(0.4, 0.4)),
        Disturbance(kind="burst", at_s=1, for_s=1),
    )
    plan = make_plan(
        Scenario(
            title="t",
            length_s=9,
            disturbances=disturbances,
            faults=(Fault(kind="store-down", at_s=5, for_s=2),),
        ),
        3,
    )
    facts = bound_facts(plan)
    assert facts.voids == ((3.0, 0.4),)
    assert facts.downs == ((5.0, 7.0),)
    assert facts.memory == sum(node.memory for node in plan.nodes)
    assert (facts.slots, facts.work) == (plan.store.slots, plan.store.work)
