"""The clairvoyant bound, compared with cases computed by hand."""

from __future__ import annotations

import msgspec

from pebblepass.simulation.clairvoyant_bound import (
    BoundInputs,
    ClairvoyantCache,
    bound_inputs,
    clairvoyant_bound,
)
from pebblepass.simulation.plan import Operation, make_plan
from pebblepass.simulation.scenario import Disturbance, Fault, Range, Scenario, Store, Traffic

FACTS = BoundInputs(memory=2, slots=1, work=1.0, initial_keys=(), invalidations=(), outages=())
TARGET_S = 2.5


def operations(*reads: tuple[float, str]) -> tuple[Operation, ...]:
    """Return operations at these times for these keys; a key that begins with `w` is written."""
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
        for number, (at, key) in enumerate(reads)
    )


def run_bound(facts: BoundInputs, *reads: tuple[float, str], draw: float = 0.0) -> ClairvoyantCache:
    bound = ClairvoyantCache(
        facts,
        operations(*reads),
        lambda operation: (operation.key.startswith("w"), 1.0, TARGET_S),
        lambda: draw,
    )
    bound.run()
    return bound


def served(bound: ClairvoyantCache) -> list[bool]:
    return [bound.in_time[number] for number in sorted(bound.in_time)]


def test_most_valuable_missed_key_is_fetched_first() -> None:
    # `a` is fetched until 1. `c`, with three reads, is fetched before `b`, which was read earlier: until 2.
    # The second read of `c` waits too, the third is a hit. `b` would complete at 3, too late for its read.
    bound = run_bound(FACTS, (0.0, "a"), (0.1, "b"), (0.2, "c"), (1.5, "c"), (2.2, "c"))
    assert served(bound) == [True, False, True, True, True]
    assert bound.fetches == 2  # `b` is not read again, and its read can't be served in time


def test_copy_with_furthest_next_use_is_evicted() -> None:
    # `c` (fetched at 7) evicts `a` (next read at 20), not `b` (next read at 8).
    bound = run_bound(FACTS, (0.0, "a"), (1.0, "b"), (6.0, "c"), (8.0, "b"), (9.0, "c"), (20.0, "a"))
    assert served(bound) == [True] * 6
    assert bound.fetches == 4


def test_write_goes_before_fetches_and_drops_the_copy() -> None:

    bound = run_bound(FACTS, (0.0, "a"), (0.1, "wx"), (0.2, "b"), (0.3, "wx"))
    # `a` until 1, the writes until 2 and 3, `b` until 4: too late.
    assert served(bound) == [True, True, False, False]
    assert (bound.fetches, bound.writes) == (1, 2)


def test_invalidation_drops_copies_and_outage_delays_fetches() -> None:
    facts = BoundInputs(
        memory=2,
        slots=1,
        work=1.0,
        initial_keys=("a", "b"),
        invalidations=((5.0, 0.5),),
        outages=((5.0, 9.0),),
    )
    unaffected = run_bound(facts, (1.0, "a"), (5.5, "a"), (12.0, "a"), draw=0.9)
    assert served(unaffected) == [True, True, True]
    # Invalidated at 5; the fetch starts after the outage at 9 and completes at 10, late for the second read.
    invalidated = run_bound(facts, (1.0, "a"), (5.5, "a"), (9.5, "a"), (12.0, "a"), draw=0.1)
    assert served(invalidated) == [True, False, True, True]
    assert invalidated.fetches == 1


def test_larger_store_serves_nearly_all_and_more_than_a_small_one() -> None:
    small = Scenario(title="t", length_s=20, traffic=Traffic(rate=60), store=Store(capacity=Range(0.5, 0.5)))
    roomy = msgspec.structs.replace(small, store=Store(capacity=Range(4, 4)))
    shares = {}
    for name, scenario in (("small", small), ("roomy", roomy)):
        bound = clairvoyant_bound(make_plan(scenario, 7))
        assert len(bound.in_time) == len(make_plan(scenario, 7).operations)
        shares[name] = sum(bound.in_time.values()) / len(bound.in_time)
    assert shares["roomy"] > 0.99
    assert shares["small"] < shares["roomy"]


def test_facts_are_taken_from_the_plan() -> None:
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
    facts = bound_inputs(plan)
    assert facts.invalidations == ((3.0, 0.4),)
    assert facts.outages == ((5.0, 7.0),)
    assert facts.memory == sum(node.memory for node in plan.nodes)
    assert (facts.slots, facts.work) == (plan.store.slots, plan.store.work)
