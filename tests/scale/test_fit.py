"""Slopes against made-up figures whose slopes are known."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pebblepass.scale.fit import (
    QUANTITIES,
    FitError,
    Quantity,
    at_size,
    fit,
    fit_all,
    off,
    student,
    value_of,
)

SIZES = (58.0, 116.0, 232.0, 465.0)
LINE = Quantity("line", ("x",), "B", 1, "made up", 100.0)
SQUARE = Quantity("square", ("x",), "B", 2, "made up")
FACTOR = st.floats(-1e3, 1e3)


@given(FACTOR, FACTOR, st.sampled_from([(SIZES), (SIZES * 2)]))
def test_a_line_is_found_and_told_at_the_target(constant: float, slope: float, sizes: Any) -> None:
    told = fit(LINE, sizes, [constant + slope * size for size in sizes])
    near = 1e-8 * (abs(constant) + 1e3 * abs(slope) + 1)
    assert told.predicted == pytest.approx(constant + 930 * slope, abs=near)
    assert told.factors[1] == pytest.approx(slope, abs=near)
    assert told.margin <= near


@given(FACTOR, FACTOR, st.floats(-10, 10))
def test_a_square_is_found_where_the_reason_says_square(constant: float, slope: float, bend: float) -> None:
    told = fit(SQUARE, SIZES, [constant + slope * size + bend * size**2 for size in SIZES])
    wanted = constant + 930 * slope + bend * 930**2
    assert told.predicted == pytest.approx(wanted, rel=1e-6, abs=1e-3)
    assert at_size(told, 930) == pytest.approx(told.predicted, rel=1e-6, abs=1e-3)


def test_a_line_through_squares_is_off_and_its_interval_does_not_hide_it() -> None:
    told = fit(LINE, SIZES, [size**2 for size in SIZES])
    assert off(told.predicted, 930.0**2) > 0.15


def test_the_interval_holds_nineteen_runs_of_twenty() -> None:
    rng, held = random.Random(41), 0
    for _ in range(1000):
        told = fit(LINE, SIZES, [5 + 0.1 * size + rng.gauss(0, 1) for size in SIZES])
        held += abs(5 + 93 + rng.gauss(0, 1) - told.predicted) <= told.margin
    assert 930 <= held <= 970


def test_errors_shrink_with_runs_and_are_unknown_without_any_to_spare() -> None:
    assert fit(LINE, SIZES[:2], [1.0, 2.0]).margin == float("inf")
    few = fit(LINE, SIZES, [1.1, 1.9, 4.2, 7.9])
    many = fit(LINE, SIZES * 3, [1.1, 1.9, 4.2, 7.9] * 3)
    assert many.errors[1] < few.errors[1]
    assert [student(n) for n in (0, 1, 10, 11)] == [float("inf"), 12.71, 2.23, 1.96]


def test_too_few_sizes_are_told_in_one_line() -> None:
    with pytest.raises(FitError, match=r"^square: 2 sizes are too few for 3 factors of its form$"):
        fit(SQUARE, [58, 58, 116], [1, 1, 2])
    with pytest.raises(FitError, match="no run has measured anything"):
        fit_all([{"plan": {"routers": 58}}])


def test_a_bound_is_missed_by_the_prediction_and_only_beyond_it() -> None:
    assert not fit(LINE, SIZES, [size / 10 for size in SIZES]).missed
    assert fit(LINE, SIZES, [size / 9 for size in SIZES]).missed
    assert not fit(SQUARE, SIZES, [size**2 for size in SIZES]).missed  # nobody bounds it


def test_what_a_run_has_not_measured_is_not_a_nought() -> None:
    assert value_of({"x": True}, LINE) is None
    assert value_of({"x": {"y": 1}}, LINE) is None
    assert value_of({}, LINE) is None
    assert value_of({"x": 2}, LINE) == 2.0
    assert off(0.0, 0.0) == 0.0
    assert off(0.0, 1.0) == float("inf")
    assert len({quantity.name for quantity in QUANTITIES}) == len(QUANTITIES)
