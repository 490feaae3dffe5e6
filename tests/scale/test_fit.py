"""Fits of made-up figures with known coefficients."""

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
    fit_all,
    fit_quantity,
    measured_value,
    predict,
    relative_deviation,
    student_t,
)

SIZES = (58.0, 116.0, 232.0, 465.0)
LINE = Quantity("line", ("x",), "B", 1, "made up", 100.0)
SQUARE = Quantity("square", ("x",), "B", 2, "made up")
FACTOR = st.floats(-1e3, 1e3)


@given(FACTOR, FACTOR, st.sampled_from([(SIZES), (SIZES * 2)]))
def test_linear_fit_recovers_slope_and_predicts_target(constant: float, slope: float, sizes: Any) -> None:
    fitted = fit_quantity(LINE, sizes, [constant + slope * size for size in sizes])
    tolerance = 1e-8 * (abs(constant) + 1e3 * abs(slope) + 1)
    assert fitted.predicted == pytest.approx(constant + 930 * slope, abs=tolerance)
    assert fitted.factors[1] == pytest.approx(slope, abs=tolerance)
    assert fitted.margin <= tolerance


@given(FACTOR, FACTOR, st.floats(-10, 10))
def test_quadratic_fit_recovers_prediction(constant: float, slope: float, curvature: float) -> None:
    fitted = fit_quantity(SQUARE, SIZES, [constant + slope * size + curvature * size**2 for size in SIZES])
    expected = constant + 930 * slope + curvature * 930**2
    assert fitted.predicted == pytest.approx(expected, rel=1e-6, abs=1e-3)
    assert predict(fitted, 930) == pytest.approx(fitted.predicted, rel=1e-6, abs=1e-3)


def test_linear_fit_of_quadratic_data_deviates_by_over_15_percent() -> None:
    fitted = fit_quantity(LINE, SIZES, [size**2 for size in SIZES])
    assert relative_deviation(fitted.predicted, 930.0**2) > 0.15


def test_prediction_interval_holds_95_percent_of_runs() -> None:
    rng, inside = random.Random(41), 0
    for _ in range(1000):
        fitted = fit_quantity(LINE, SIZES, [5 + 0.1 * size + rng.gauss(0, 1) for size in SIZES])
        inside += abs(5 + 93 + rng.gauss(0, 1) - fitted.predicted) <= fitted.margin
    assert 930 <= inside <= 970


def test_errors_shrink_with_more_runs_and_are_infinite_without_spare_runs() -> None:
    assert fit_quantity(LINE, SIZES[:2], [1.0, 2.0]).margin == float("inf")
    few = fit_quantity(LINE, SIZES, [1.1, 1.9, 4.2, 7.9])
    many = fit_quantity(LINE, SIZES * 3, [1.1, 1.9, 4.2, 7.9] * 3)
    assert many.errors[1] < few.errors[1]
    assert [student_t(n) for n in (0, 1, 10, 11)] == [float("inf"), 12.71, 2.23, 1.96]


def test_too_few_sizes_raise_fit_error() -> None:
    with pytest.raises(FitError, match=r"^square: 2 different sizes are too few to fit 3 coefficients$"):
        fit_quantity(SQUARE, [58, 58, 116], [1, 1, 2])
    with pytest.raises(FitError, match="no run has measured anything"):
        fit_all([{"plan": {"routers": 58}}])


def test_bound_is_exceeded_only_by_larger_prediction() -> None:
    assert not fit_quantity(LINE, SIZES, [size / 10 for size in SIZES]).exceeds_bound
    assert fit_quantity(LINE, SIZES, [size / 9 for size in SIZES]).exceeds_bound
    assert not fit_quantity(SQUARE, SIZES, [size**2 for size in SIZES]).exceeds_bound  # has no bound


def test_unmeasured_quantity_is_none_not_zero() -> None:
    assert measured_value({"x": True}, LINE) is None
    assert measured_value({"x": {"y": 1}}, LINE) is None
    assert measured_value({}, LINE) is None
    assert measured_value({"x": 2}, LINE) == 2.0
    assert relative_deviation(0.0, 0.0) == 0.0
    assert relative_deviation(0.0, 1.0) == float("inf")
    assert len({quantity.name for quantity in QUANTITIES}) == len(QUANTITIES)
