"""What writes have done, and what happened twice."""

from __future__ import annotations

from pebblepass.emulators.effects import EffectLog, RepeatedEffect


def register() -> tuple[EffectLog, list[RepeatedEffect]]:
    doubled: list[RepeatedEffect] = []
    return EffectLog({"yank": 5.0, "order": 0.0}, doubled.append), doubled


def test_a_repeat_within_the_window_is_dropped() -> None:
    effects, doubled = register()
    assert effects.run("one", "yank", "k", 0.0)
    assert not effects.run("one", "yank", "k", 4.9)
    assert (effects.applied, effects.dropped, doubled) == (1, 1, [])


def test_a_repeat_after_the_window_happens_twice() -> None:
    effects, doubled = register()
    effects.run("one", "yank", "k", 0.0)
    effects.run("one", "yank", "k", 5.1)
    assert doubled == [RepeatedEffect("one", "yank", 5.1)]


def test_the_window_runs_from_the_first_run_and_not_from_a_dropped_repeat() -> None:
    effects, doubled = register()
    effects.run("one", "yank", "k", 0.0)
    effects.run("one", "yank", "k", 3.0)
    effects.run("one", "yank", "k", 6.0)
    assert len(doubled) == 1


def test_an_unsafe_write_is_never_dropped() -> None:
    effects, doubled = register()
    effects.run("one", "order", None, 0.0)
    effects.run("one", "order", None, 0.01)
    assert [each.request for each in doubled] == ["one"]


def test_a_clients_own_repeat_is_another_request() -> None:
    effects, doubled = register()
    effects.run("one", "yank", "k", 0.0)
    assert not effects.run("two", "yank", "k", 1.0)
    effects.run("three", "yank", "k", 9.0)
    assert doubled == []
