"""Tests of the deadlines that share one timer: none is early, none is lost, cancelled ones are freed."""

from __future__ import annotations

import asyncio
import gc
import random
import weakref

import pytest

from pebblepass.daemon.deadlines import STEP_NS, TIMER_ROUNDING_S, Deadlines
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.simulation.clock import VirtualLoop
from tests.virtual import run_virtual

MS = 1_000_000


def make_deadlines(loop: VirtualLoop) -> Deadlines:
    return Deadlines(loop, loop.time_ns)


def test_deadlines_added_in_any_order_fire_at_most_a_step_late() -> None:
    async def work(loop: VirtualLoop) -> None:
        deadlines, rng, lateness_ns = make_deadlines(loop), random.Random(7), []
        start = loop.time_ns()
        for _ in range(500):
            due = start + rng.randrange(0, 300 * MS)
            deadlines.add(due, lambda due=due: lateness_ns.append(loop.time_ns() - due))  # type: ignore[misc]
        await asyncio.sleep(0.4)
        assert len(lateness_ns) == 500
        assert min(lateness_ns) >= 0
        assert max(lateness_ns) <= STEP_NS + TIMER_ROUNDING_S * 1e9 + 1000

    run_virtual(work)


def test_deadline_before_all_others_does_not_wait_for_them() -> None:
    async def work(loop: VirtualLoop) -> None:
        deadlines, seen = make_deadlines(loop), []
        start = loop.time_ns()
        deadlines.add(start + 500 * MS, lambda: seen.append("late"))
        deadlines.add(start + 5 * MS, lambda: seen.append("soon"))
        await asyncio.sleep(0.1)
        assert seen == ["soon"]
        await asyncio.sleep(0.5)
        assert seen == ["soon", "late"]

    run_virtual(work)


def test_past_deadline_added_by_a_callback_fires() -> None:
    async def work(loop: VirtualLoop) -> None:
        deadlines, seen = make_deadlines(loop), []
        now = loop.time_ns()

        def first() -> None:
            seen.append("first")
            deadlines.add(now, lambda: seen.append("second"))

        deadlines.add(now + MS, first)
        await asyncio.sleep(0.05)
        assert seen == ["first", "second"]

    run_virtual(work)


def test_failing_callback_does_not_stop_other_deadlines(caplog: pytest.LogCaptureFixture) -> None:
    async def work(loop: VirtualLoop) -> None:
        deadlines, seen = make_deadlines(loop), []
        due = loop.time_ns() + MS

        def fails() -> None:
            raise ValueError("on purpose")

        deadlines.add(due, fails)
        deadlines.add(due, lambda: seen.append("with it"))
        deadlines.add(due + 10 * MS, lambda: seen.append("after it"))
        await asyncio.sleep(0.05)
        assert seen == ["with it", "after it"]

    run_virtual(work)
    assert "on purpose" in caplog.text


def test_cancelled_deadline_never_fires_and_frees_its_callback() -> None:
    class Owner:
        def due(self) -> None:
            raise AssertionError("it was cancelled")

    async def work(loop: VirtualLoop) -> None:
        deadlines, owner = make_deadlines(loop), Owner()
        reference, deadline = weakref.ref(owner), deadlines.add(loop.time_ns() + 50 * MS, owner.due)
        deadline.cancel()
        del owner
        gc.collect()
        assert reference() is None
        await asyncio.sleep(0.1)

    run_virtual(work)


def test_no_deadline_fires_early_on_the_daemons_loop() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, DaemonLoop)
        deadlines, lateness_ns, done = Deadlines(loop, loop.time_ns), [], loop.create_future()
        for number in range(40):
            due = loop.time_ns() + number * 700_000

            def record_lateness(due: int = due) -> None:
                lateness_ns.append(loop.time_ns() - due)
                if len(lateness_ns) == 40:
                    done.set_result(None)

            deadlines.add(due, record_lateness)
        await asyncio.wait_for(done, 30)
        assert min(lateness_ns) >= 0

    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        runner.run(work())
