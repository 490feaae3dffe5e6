"""Deduplication of writes, and detection of repeated effects."""

from __future__ import annotations

from pebblepass.emulators.effects import EffectLog, RepeatedEffect


def make_effect_log() -> tuple[EffectLog, list[RepeatedEffect]]:
    repeated: list[RepeatedEffect] = []
    return EffectLog({"yank": 5.0, "order": 0.0}, repeated.append), repeated


def test_repeat_within_the_window_is_dropped() -> None:
    effects, repeated = make_effect_log()
    assert effects.apply("one", "yank", "k", 0.0)
    assert not effects.apply("one", "yank", "k", 4.9)
    assert (effects.applied, effects.dropped, repeated) == (1, 1, [])


def test_repeat_after_the_window_is_a_repeated_effect() -> None:
    effects, repeated = make_effect_log()
    effects.apply("one", "yank", "k", 0.0)
    effects.apply("one", "yank", "k", 5.1)
    assert repeated == [RepeatedEffect("one", "yank", 5.1)]


def test_window_starts_at_the_applied_write_not_at_a_dropped_repeat() -> None:
    effects, repeated = make_effect_log()
    effects.apply("one", "yank", "k", 0.0)
    effects.apply("one", "yank", "k", 3.0)
    effects.apply("one", "yank", "k", 6.0)
    assert len(repeated) == 1


def test_write_without_key_is_never_dropped() -> None:
    effects, repeated = make_effect_log()
    effects.apply("one", "order", None, 0.0)
    effects.apply("one", "order", None, 0.01)
    assert [effect.request for effect in repeated] == ["one"]


def test_same_key_under_another_request_id_is_no_repeated_effect() -> None:
    effects, repeated = make_effect_log()
    effects.apply("one", "yank", "k", 0.0)
    assert not effects.apply("two", "yank", "k", 1.0)
    effects.apply("three", "yank", "k", 9.0)
    assert repeated == []
